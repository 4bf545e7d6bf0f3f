#include "sse_p.h"

#include <algorithm>
#include <array>

namespace catkin {

namespace {

// Fields of OpenAI-style chunks whose values are concatenated.
constexpr std::array<std::string_view, 5> ConcatenatedFields{"text", "content", "arguments",
                                                             "refusal", "reasoning_content"};

bool isConcatenated(std::string_view key) {
  return std::find(ConcatenatedFields.begin(), ConcatenatedFields.end(), key) !=
         ConcatenatedFields.end();
}

void mergeObject(json::object &into, const json::object &from);

/// Returns the member of `list` with this "index", or null.
json::object *findByIndex(json::array &list, const json::value &index) {
  for (auto &it : list) {
    auto *object = it.if_object();
    auto *existing = object ? object->if_contains("index") : nullptr;
    if (existing && *existing == index)
      return object;
  }
  return nullptr;
}

void mergeArray(json::array &into, const json::array &from) {
  for (auto &it : from) {
    auto *object = it.if_object();
    auto *index = object ? object->if_contains("index") : nullptr;
    auto *existing = index ? findByIndex(into, *index) : nullptr;
    if (existing)
      mergeObject(*existing, *object);
    else
      into.push_back(it);
  }
}

void mergeObject(json::object &into, const json::object &from) {
  for (auto &it : from) {
    auto *existing = into.if_contains(it.key());
    if (!existing)
      into[it.key()] = it.value();
    else if (existing->is_object() && it.value().is_object())
      mergeObject(existing->get_object(), it.value().get_object());
    else if (existing->is_array() && it.value().is_array())
      mergeArray(existing->get_array(), it.value().get_array());
    else if (existing->is_string() && it.value().is_string() && isConcatenated(it.key()))
      existing->get_string().append(it.value().get_string());
    else if (!it.value().is_null())
      *existing = it.value();
  }
}

/// Renames "delta" to "message", as in a chat answer that is not streamed.
void renameDeltas(json::object &answer) {
  auto *choices = answer.if_contains("choices");
  if (!choices || !choices->is_array())
    return;
  for (auto &it : choices->get_array()) {
    auto *choice = it.if_object();
    auto *delta = choice ? choice->if_contains("delta") : nullptr;
    if (!delta)
      continue;
    json::value message = std::move(*delta);
    choice->erase("delta");
    // Engines may omit the role in their chunks, but callers expect it in a message.
    if (message.is_object() && !message.get_object().contains("role"))
      message.get_object()["role"] = "assistant";
    (*choice)["message"] = std::move(message);
  }
}

/// Joins the data lines of one event.
std::string extractData(std::string_view event) {
  std::string data;
  bool first = true;
  while (!event.empty()) {
    auto end = event.find('\n');
    auto line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    if (!line.starts_with("data:"))
      continue;
    line.remove_prefix(5);
    if (line.starts_with(' '))
      line.remove_prefix(1);
    data += first ? "" : "\n";
    data += line;
    first = false;
  }
  return data;
}

} // namespace

void SseSplitter::feed(std::string_view bytes) {
  buffer.erase(0, consumed);
  consumed = 0;
  buffer += bytes;
}

std::optional<SseEvent> SseSplitter::extractEvent() {
  auto rest = std::string_view(buffer).substr(consumed);
  // The blank line that terminates an event may use LF or CRLF line ends.
  auto lf = rest.find("\n\n");
  auto crlf = rest.find("\r\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos)
    return std::nullopt;
  auto length = lf < crlf ? lf + 2 : crlf + 4;
  consumed += length;
  return SseEvent{std::string(rest.substr(0, length)), extractData(rest.substr(0, length))};
}

std::optional<SseEvent> SseSplitter::next() {
  auto event = extractEvent();
  while (event && event->data.empty())
    event = extractEvent();
  return event;
}

bool AnswerMerger::add(std::string_view data) {
  json::object event;
  if (!parseObject(data, event))
    return false;
  size += data.size();
  mergeObject(merged, event);
  return true;
}

std::string AnswerMerger::answer() const {
  auto answer = merged;
  renameDeltas(answer);
  if (auto *object = answer.if_contains("object"); object && object->is_string()) {
    auto &name = object->get_string();
    constexpr std::string_view Chunk = ".chunk";
    if (std::string_view(name).ends_with(Chunk))
      name.resize(name.size() - Chunk.size());
  }
  return json::serialize(answer);
}

} // namespace catkin
