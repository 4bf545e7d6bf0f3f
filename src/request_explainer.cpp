#include "request_explainer_p.h"

#include "json_p.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <map>

namespace catkin {

namespace {

/// Failed attempts at one endpoint within this time have one cause.
constexpr std::int64_t RelatedFailureWindowMs = 1000;
/// From an endpoint's notice of leaving to the end of its streams.
constexpr std::int64_t LeavingWindowMs = 3000;
/// Until every host should have applied a new configuration.
constexpr std::int64_t MaxConfigDelayMs = 2000;
/// From one holder of the planner lease to the next.
constexpr std::int64_t LeaseHandoverWindowMs = 5000;

/// Log messages that may explain a failed request; others are dropped.
constexpr std::array<std::string_view, 16> RelevantMessages{"attempt failed",
                                                            "stream taken up",
                                                            "endpoint does not confirm its "
                                                            "incarnation",
                                                            "request trait in quarantine, "
                                                            "engines crash on it",
                                                            "endpoint names a request limit",
                                                            "order",
                                                            "order completed",
                                                            "order not accepted",
                                                            "planner lease acquired",
                                                            "planner lease lost",
                                                            "store lost",
                                                            "endpoint",
                                                            "endpoint gone",
                                                            "configuration applied",
                                                            "engine does not answer",
                                                            "started"};

/// Parses a time such as 2026-01-26T12:42:28.019Z into Unix milliseconds.
std::optional<std::int64_t> parseTime(const std::string &text) {
  std::tm tm{};
  int ms = 0;
  const int n = std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &tm.tm_year, &tm.tm_mon,
                            &tm.tm_mday, &tm.tm_hour, &tm.tm_min, &tm.tm_sec, &ms);
  if (n != 7)
    return std::nullopt;
  tm.tm_year -= 1900;
  tm.tm_mon -= 1;
  return static_cast<std::int64_t>(::timegm(&tm)) * 1000 + ms;
}

std::string formatStep(const LogRecord &it, const std::string &what) {
  return it.time + " " + it.host + ": " + what + "\n";
}

} // namespace

std::string LogRecord::text(std::string_view key) const {
  auto *value = fields.if_contains(key);
  auto *s = value ? value->if_string() : nullptr;
  return s ? std::string(s->data(), s->size()) : std::string();
}

std::int64_t LogRecord::number(std::string_view key) const {
  auto *value = fields.if_contains(key);
  auto *n = value ? value->if_int64() : nullptr;
  return n ? *n : 0;
}

std::string LogRecord::numberText(std::string_view key) const {
  auto *value = fields.if_contains(key);
  const double number = value && value->is_number() ? value->to_number<double>() : 0;
  std::array<char, 32> buf{};
  const auto n = std::snprintf(buf.data(), buf.size(), "%g", number);
  return {buf.data(), static_cast<std::size_t>(n)};
}

std::optional<LogRecord> parseLogRecord(std::string_view line) {
  const auto begin = line.find('{');
  LogRecord out;
  if (begin == std::string_view::npos || !parseObject(line.substr(begin), out.fields))
    return std::nullopt;
  out.time = out.text("time");
  out.host = out.text("host");
  out.message = out.text("message");
  const auto at = parseTime(out.time);
  if (!at || out.message.empty())
    return std::nullopt;
  out.atMs = *at;
  return out;
}

void RequestExplainer::add(std::string_view line) {
  auto record = parseLogRecord(line);
  if (!record)
    return;
  const bool isRelevant =
      std::count(RelevantMessages.begin(), RelevantMessages.end(), record->message) > 0;
  if (isRelevant || (record->message == "request" && record->text("request") == id))
    records.push_back(std::move(*record));
}

const LogRecord *RequestExplainer::findRequestRecord() const {
  auto it = std::find_if(records.begin(), records.end(),
                         [](auto &it) { return it.message == "request"; });
  return it == records.end() ? nullptr : &*it;
}

RequestExplainer::Records RequestExplainer::findRecords(std::int64_t from, std::int64_t to,
                                                        std::string_view message) const {
  Records out;
  for (auto &it : records)
    if (it.message == message && it.atMs >= from && it.atMs <= to)
      out.push_back(&it);
  std::sort(out.begin(), out.end(), [](auto *a, auto *b) { return a->atMs < b->atMs; });
  return out;
}

RequestExplainer::Records RequestExplainer::findFailedAttempts() const {
  auto out = findRecords(0, INT64_MAX, "attempt failed");
  std::erase_if(out, [this](auto *it) { return it->text("request") != id; });
  return out;
}

/// A host responds with 404 according to the configuration that it has applied.
std::string RequestExplainer::explainNoRoute(const LogRecord &end) const {
  const auto own = end.number("config");
  for (auto *it : findRecords(0, end.atMs, "configuration applied"))
    if (it->number("version") > own)
      return "the host had version " + std::to_string(own) + " in force; " + it->host +
             " had put version " + std::to_string(it->number("version")) + " into force at " +
             it->time +
             (end.atMs - it->atMs > MaxConfigDelayMs ? ", too long before the request"
                                                     : ", shortly before the request");
  return "no host had a newer configuration than version " + std::to_string(own) +
         ": the route is not in it";
}

std::string RequestExplainer::explainNoModel(const LogRecord &end) const {
  const auto from = end.atMs - end.number("took_ms");
  const auto model = end.text("model");
  for (auto *it : findRecords(from, end.atMs, "order not accepted"))
    if (it->text("model") == model)
      return "an order for " + model + " was not accepted: " + it->text("result");
  for (auto *it : findRecords(from, end.atMs, "order"))
    if (it->text("model") == model)
      return "a " + it->text("action") + " of " + model + " was ordered at " + it->time + " from " +
             it->host + " and was not complete in time" +
             (it->fields.contains("remote") && it->fields.at("remote") == true
                  ? "; it came from the weight store"
                  : "");
  const auto lost = findRecords(from - LeaseHandoverWindowMs, end.atMs, "planner lease lost");
  if (!lost.empty())
    return "no order for " + model + ": " + lost.back()->host + " lost the planner's lease at " +
           lost.back()->time;
  if (findRecords(0, end.atMs, "planner lease acquired").empty())
    return "no order for " + model + ": no host held the planner's lease";
  return "no order for " + model + " came in time: engines with a copy were busy or did not answer";
}

std::string RequestExplainer::explainUsedUpLimit(const LogRecord &end) const {
  auto limits = findRecords(0, end.atMs, "endpoint names a request limit");
  std::erase_if(limits, [&](auto *it) { return it->host != end.host; });
  if (limits.empty())
    return "no limit of an endpoint is logged";
  const auto &last = *limits.back();
  return last.text("endpoint") + " named a limit of " + last.numberText("per_second") +
         " requests a second, known from " + last.time + " on";
}

std::string RequestExplainer::explainQuarantine(const LogRecord &end) const {
  const auto trait = end.text("quarantined_trait");
  auto lines = findRecords(0, end.atMs, "request trait in quarantine, engines crash on it");
  std::erase_if(lines,
                [&](auto *it) { return it->host != end.host || it->text("trait") != trait; });
  if (lines.empty())
    return "trait " + trait + " is in quarantine; the line that says why is not logged";
  return std::to_string(lines.back()->number("crashes")) + " engines crashed on requests with " +
         lines.back()->text("kind") + " " + trait + ", in quarantine from " + lines.front()->time +
         " on";
}

/// Returns how the host found the version that began the stream, or why it did not.
std::string RequestExplainer::explainOrigin() const {
  auto lines = findRecords(0, INT64_MAX, "stream taken up");
  std::erase_if(lines, [this](auto *it) { return it->text("request") != id; });
  if (lines.empty())
    return "no line says which stream the caller takes up";
  const auto &it = *lines.back();
  const auto source = it.text("source");
  const auto first = it.text("first_request");
  const auto asked = std::to_string(it.number("answered")) + " of " +
                     std::to_string(it.number("asked")) + " hosts that were asked answered";
  if (first.empty())
    return "the caller named no request that brought the first event, or several";
  if (source == "doubtful")
    return "the engine that wrote the first events of " + first +
           " may have been of another version than its entry said";
  if (source == "unknown")
    return "no host knew the stream of " + first + "; " + asked;
  if (source == "no_answer")
    return "this host did not know the stream of " + first + "; " + asked;
  return "the stream of " + first + " began at version " + it.text("version") + " (" + source +
         ", " + std::to_string(it.number("age_ms")) + " ms old)";
}

std::string RequestExplainer::explainNoVersion(const LogRecord &end) const {
  auto lines = findRecords(end.atMs - end.number("took_ms"), end.atMs,
                           "endpoint does not confirm its incarnation");
  std::erase_if(lines, [this](auto *it) { return it->text("request") != id; });
  std::string out = explainOrigin() + "; no endpoint of that version took it";
  for (auto *it : lines)
    out += "; " + it->text("endpoint") + " did not confirm that it still runs that version";
  return out;
}

std::string RequestExplainer::explainEndpointFailure(const LogRecord &end) const {
  const auto failedAttempts = findFailedAttempts();
  if (failedAttempts.empty())
    return "no attempt is logged";
  const auto &last = *failedAttempts.back();
  const auto endpoint = last.text("endpoint");
  auto others = findRecords(end.atMs - RelatedFailureWindowMs, end.atMs + RelatedFailureWindowMs,
                            "attempt failed");
  std::erase_if(others, [&](auto *it) {
    return it->text("endpoint") != endpoint || it->text("request") == id;
  });
  if (others.empty())
    return "one answer of " + endpoint + " was lost (" + last.text("failure") +
           "); no other request failed there in that second";
  return endpoint + " or its link was at fault: " + std::to_string(others.size()) +
         " other attempts failed there in the same second";
}

std::string RequestExplainer::explainStreamCut(const LogRecord &end) const {
  const auto failedAttempts = findFailedAttempts();
  if (failedAttempts.empty())
    return "no attempt is logged";
  const auto endpoint = failedAttempts.back()->text("endpoint");
  const auto version = end.text("stream_version");
  const std::string versionNote =
      version.empty() ? "" : "; it could go on at version " + version + " only";
  return explainLostEndpoint(end, endpoint) + versionNote;
}

/// Returns why the requests at an endpoint were lost when this one ended.
std::string RequestExplainer::explainLostEndpoint(const LogRecord &end,
                                                  const std::string &endpoint) const {
  const auto from = end.atMs - LeavingWindowMs;
  const auto to = end.atMs + LeavingWindowMs;
  for (auto *it : findRecords(from, to, "endpoint gone"))
    if (it->text("endpoint") == endpoint)
      return endpoint + " was gone at " + it->time + ", and its running requests were lost";
  for (auto *it : findRecords(from, to, "endpoint"))
    if (it->text("endpoint") == endpoint && it->text("state") == "leaving")
      return endpoint + " was leaving from " + it->time + " on";
  return explainEndpointFailure(end);
}

std::string RequestExplainer::findCause(const LogRecord &end) const {
  auto outcome = end.text("outcome");
  if (outcome == "stream_cut")
    return explainStreamCut(end);
  if (outcome == "the endpoint failed")
    return explainEndpointFailure(end);
  if (outcome == "no endpoint holds the model in time")
    return explainNoModel(end);
  if (outcome == "the request limit of the endpoints is used up")
    return explainUsedUpLimit(end);
  if (outcome == "engines crash on this request")
    return explainQuarantine(end);
  if (outcome == "it is not known which version began the stream")
    return explainOrigin();
  if (outcome == "no endpoint of the stream's version takes it in time")
    return explainNoVersion(end);
  if (outcome == "no route matches")
    return explainNoRoute(end);
  if (outcome == "caller_gone")
    return "the caller closed its connection";
  return outcome;
}

std::string RequestExplainer::explain() const {
  const auto *end = findRequestRecord();
  if (!end)
    return {};
  std::string out;
  for (auto *it : findFailedAttempts())
    out +=
        formatStep(*it, "attempt at " + it->text("endpoint") + " failed: " + it->text("failure") +
                            ", after " + std::to_string(it->number("after_ms")) + " ms and " +
                            std::to_string(it->number("events")) + " events");
  out += formatStep(*end, "ended with status " + std::to_string(end->number("status")) + ", \"" +
                              end->text("outcome") + "\", after " +
                              std::to_string(end->number("took_ms")) + " ms, " +
                              std::to_string(end->number("sends")) + " sends and " +
                              std::to_string(end->number("waited_ms")) + " ms of waiting");
  return out + "cause: " + findCause(*end) + "\n";
}

} // namespace catkin
