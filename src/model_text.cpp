#include "model_text_p.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace catkin {

namespace json = boost::json;

namespace {

constexpr unsigned MaxTokensLimit = 8192;

/// Returns a string field of an object, or null if it is missing or not a string.
const json::string *textField(const json::object &object, std::string_view name) {
  const auto *value = object.if_contains(name);
  return value ? value->if_string() : nullptr;
}

/// Joins the contents of the chat messages. Returns false if there are none or if one has no text
/// content.
bool joinMessages(const json::object &body, std::string &prompt) {
  const auto *messages = body.if_contains("messages");
  if (!messages || !messages->is_array() || messages->as_array().empty())
    return false;
  for (const auto &it : messages->as_array()) {
    const auto *content = it.is_object() ? textField(it.as_object(), "content") : nullptr;
    if (!content)
      return false;
    if (!prompt.empty())
      prompt += '\n';
    prompt.append(content->data(), content->size());
  }
  return true;
}

bool readPrompt(const json::object &body, CompletionRequest &request) {
  if (request.chat)
    return joinMessages(body, request.prompt);
  const auto *prompt = textField(body, "prompt");
  if (prompt)
    request.prompt.assign(prompt->data(), prompt->size());
  return prompt;
}

/// Reads "max_tokens". A missing or null field keeps the default. Returns false if it is out of
/// range.
bool readMaxTokens(const json::object &body, CompletionRequest &request) {
  const auto *value = body.if_contains("max_tokens");
  if (!value || value->is_null())
    return true;
  if (!value->is_int64() || value->as_int64() < 1 || value->as_int64() > MaxTokensLimit)
    return false;
  request.maxTokens = static_cast<unsigned>(value->as_int64());
  return true;
}

} // namespace

std::string textHash(std::string_view text) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
  return {digits.data()};
}

std::uint64_t prefixHash(std::string_view prompt) {
  const auto prefix = prompt.substr(0, PrefixHashBytes);
  return XXH64(prefix.data(), prefix.size(), 0);
}

std::string eventText(std::string_view model, std::string_view prompt, unsigned i) {
  return std::string(model) + ":" + textHash(prompt) + ":" + std::to_string(i) + " ";
}

std::string answerText(std::string_view model, std::string_view prompt, unsigned events) {
  const std::string start = std::string(model) + ":" + textHash(prompt) + ":";
  std::string text;
  for (unsigned i = 1; i <= events; ++i)
    text += start + std::to_string(i) + " ";
  return text;
}

std::optional<CompletionRequest> parseCompletion(std::string_view body, bool chat,
                                                 std::string &error) {
  boost::system::error_code ec;
  const auto value = json::parse(body, ec);
  if (ec || !value.is_object()) {
    error = "the body must be a JSON object";
    return std::nullopt;
  }
  const auto &object = value.as_object();
  CompletionRequest request;
  request.chat = chat;
  const auto *model = textField(object, "model");
  if (!model || model->empty()) {
    error = "model must be a non-empty string";
    return std::nullopt;
  }
  request.model.assign(model->data(), model->size());
  if (!readPrompt(object, request)) {
    error = chat ? "messages must be a non-empty array of objects with a text content"
                 : "prompt must be a string";
    return std::nullopt;
  }
  if (!readMaxTokens(object, request)) {
    error = "max_tokens must be a number from 1 to " + std::to_string(MaxTokensLimit);
    return std::nullopt;
  }
  const auto *stream = object.if_contains("stream");
  request.stream = stream && stream->is_bool() && stream->as_bool();
  return request;
}

} // namespace catkin
