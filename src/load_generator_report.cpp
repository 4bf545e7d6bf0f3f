#include "load_generator_p.h"
#include "model_text_p.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace catkin {

namespace json = boost::json;

namespace {

constexpr double FirstBucketMs = 0.1;
constexpr double BucketGrowth = 1.05;
constexpr std::size_t MaxExamples = 10;
constexpr std::array<double, 3> Quantiles{0.5, 0.95, 0.99};
constexpr std::array<std::string_view, 3> QuantileNames{"p50", "p95", "p99"};

std::string formatMillis(double n) {
  std::array<char, 32> digits{};
  std::snprintf(digits.data(), digits.size(), "%.1f", n);
  return {digits.data()};
}

/// Pads a text with blanks to a width, with at least one blank at the end.
std::string padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size() + 1), ' ');
  return text;
}

/// Returns the string at a JSON pointer; empty if there is none.
std::string stringAt(const json::value &value, std::string_view pointer) {
  boost::system::error_code ec;
  const auto *found = value.find_pointer(pointer, ec);
  return found && found->is_string() ? std::string(found->as_string()) : std::string();
}

LoadResult makeWrongResult(std::string detail) {
  LoadResult result;
  result.outcome = LoadOutcome::Wrong;
  result.detail = std::move(detail);
  return result;
}

/// Checks an error response, which must say whether the request ran.
LoadResult checkProblemResponse(const HttpResponse &response, const json::value &body) {
  const auto status = std::to_string(response.result_int());
  const auto outcome = parseEnum<RunOutcome>(stringAt(body, "/outcome"));
  if (!outcome)
    return makeWrongResult("status " + status + " without an outcome");
  LoadResult result;
  result.outcome = *outcome == RunOutcome::NotRun ? LoadOutcome::NotRun : LoadOutcome::MayHaveRun;
  result.detail = status + " " + stringAt(body, "/detail");
  return result;
}

/// Checks that a service ran this request, by the path and the hash of the body.
LoadResult checkServiceResponse(const LoadItem &item, const json::value &body) {
  const auto path = stringAt(body, "/path");
  const auto slash = item.path.find('/');
  if (!path.ends_with(item.path.substr(slash)))
    return makeWrongResult("response for path " + path + " to a call of " + item.path);
  if (stringAt(body, "/body") != textHash(item.body))
    return makeWrongResult("response to another body on " + item.path);
  LoadResult result;
  result.outcome = LoadOutcome::Whole;
  boost::system::error_code ec;
  const auto *run = body.find_pointer("/run", ec);
  if (run && run->is_number())
    result.runNumber = run->to_number<std::uint64_t>(ec);
  return result;
}

} // namespace

void LatencyHistogram::add(Duration d) {
  const double ratio = std::max(1.0, toSeconds(d) * 1000 / FirstBucketMs);
  const auto bucket = static_cast<std::size_t>(std::log(ratio) / std::log(BucketGrowth));
  ++buckets[std::min(bucket, buckets.size() - 1)];
  ++total;
}

double LatencyHistogram::quantileMs(double q) const {
  const auto rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(total)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < buckets.size() && total > 0; ++i) {
    seen += buckets[i];
    if (seen >= rank)
      return FirstBucketMs * std::pow(BucketGrowth, static_cast<double>(i + 1));
  }
  return 0;
}

void LoadReport::add(const LoadItem &item, const LoadResult &result) {
  const auto kind = static_cast<std::size_t>(item.kind);
  ++counts[kind][static_cast<std::size_t>(result.outcome)];
  if (result.runNumber > 1)
    ++repeatedRunCount;
  recordExample(item, result);
  if (result.outcome != LoadOutcome::Whole)
    return;
  totalTimes[kind].add(result.totalTime);
  if (item.kind == LoadKind::Completion && item.stream)
    (item.cold ? coldFirstToken : warmFirstToken).add(result.firstToken);
}

void LoadReport::recordExample(const LoadItem &item, const LoadResult &result) {
  const bool unexpected = result.runNumber > 1 || (result.outcome != LoadOutcome::Whole &&
                                                   result.outcome != LoadOutcome::NotRun);
  if (!unexpected || examples.size() >= MaxExamples)
    return;
  examples.push_back(
      std::string(toString(item.kind)) + " " + (item.model.empty() ? item.path : item.model) +
      ": " + std::string(toString(result.outcome)) + " " + result.detail +
      (result.runNumber > 1 ? " ran " + std::to_string(result.runNumber) + " times" : ""));
}

std::uint64_t LoadReport::count(LoadKind kind, LoadOutcome outcome) const {
  return counts[static_cast<std::size_t>(kind)][static_cast<std::size_t>(outcome)];
}

std::vector<std::string> LoadReport::failures(bool allowUnanswered) const {
  std::array<std::uint64_t, Outcomes> sums{};
  for (const auto &row : counts)
    for (std::size_t i = 0; i < Outcomes; ++i)
      sums[i] += row[i];
  auto sum = [&](LoadOutcome o) { return sums[static_cast<std::size_t>(o)]; };
  std::vector<std::string> found;
  auto expectNone = [&](std::uint64_t n, std::string_view what) {
    if (n > 0)
      found.push_back(std::to_string(n) + " " + std::string(what));
  };
  expectNone(sum(LoadOutcome::Wrong), "responses that are wrong or incomplete");
  expectNone(repeatedRunCount, "responses of keys that ran more than once");
  expectNone(skippedCount, "requests that the generator could not send in time");
  if (!allowUnanswered)
    expectNone(sum(LoadOutcome::Unanswered), "requests without a complete response");
  if (sum(LoadOutcome::Whole) == 0)
    found.emplace_back("no request got a complete response");
  return found;
}

std::vector<LoadReport::Series> LoadReport::series() const {
  std::vector<Series> list{{"first_token_cold", &coldFirstToken},
                           {"first_token_warm", &warmFirstToken}};
  for (std::size_t i = 0; i < Kinds; ++i)
    list.push_back({"whole_" + std::string(toString(static_cast<LoadKind>(i))), &totalTimes[i]});
  return list;
}

std::string LoadReport::toJson(const LoadOptions &options) const {
  json::object outcomes;
  for (std::size_t k = 0; k < Kinds; ++k) {
    json::object row;
    for (std::size_t o = 0; o < Outcomes; ++o)
      row[toString(static_cast<LoadOutcome>(o))] = counts[k][o];
    outcomes[toString(static_cast<LoadKind>(k))] = std::move(row);
  }
  json::object latencies;
  for (const auto &it : series()) {
    json::object row{{"count", it.histogram->count()}};
    for (std::size_t q = 0; q < Quantiles.size(); ++q)
      row[QuantileNames[q]] = it.histogram->quantileMs(Quantiles[q]);
    latencies[it.name] = std::move(row);
  }
  json::object body;
  body["workload"] = options.workload;
  body["seed"] = options.seed;
  body["skipped"] = skippedCount;
  body["outcomes"] = std::move(outcomes);
  body["latency_ms"] = std::move(latencies);
  json::array failed;
  for (const auto &it : failures(options.allowUnanswered))
    failed.emplace_back(it);
  body["ok"] = failed.empty();
  body["failures"] = std::move(failed);
  json::array list;
  for (const auto &it : examples)
    list.emplace_back(it);
  body["examples"] = std::move(list);
  return json::serialize(body) + "\n";
}

std::string LoadReport::toTable(const LoadOptions &options) const {
  std::string text = "workload " + options.workload + ", seed " + std::to_string(options.seed) +
                     ", skipped " + std::to_string(skippedCount) + "\n\n" + padded("requests", 20);
  for (std::size_t o = 0; o < Outcomes; ++o)
    text += padded(std::string(toString(static_cast<LoadOutcome>(o))), 14);
  for (std::size_t k = 0; k < Kinds; ++k) {
    text += "\n" + padded(std::string(toString(static_cast<LoadKind>(k))), 20);
    for (const auto n : counts[k])
      text += padded(std::to_string(n), 14);
  }
  text += "\n\n" + padded("latency (ms)", 20) + padded("count", 10);
  for (const auto it : QuantileNames)
    text += padded(std::string(it), 12);
  for (const auto &it : series()) {
    text += "\n" + padded(it.name, 20) + padded(std::to_string(it.histogram->count()), 10);
    for (const auto q : Quantiles)
      text += padded(formatMillis(it.histogram->quantileMs(q)), 12);
  }
  text += "\n\n";
  const auto failed = failures(options.allowUnanswered);
  text += failed.empty() ? "all checks passed\n" : "";
  for (const auto &it : failed)
    text += "check failed: " + it + "\n";
  for (const auto &it : examples)
    text += "  " + it + "\n";
  return text;
}

StreamChecker::StreamChecker(const LoadItem &item)
    : item(item), expected(answerText(item.model, item.prompt, item.maxTokens)) {}

void StreamChecker::feed(std::string_view piece) {
  incompleteLine += piece;
  std::size_t begin = 0;
  for (auto end = incompleteLine.find('\n'); end != std::string::npos;
       end = incompleteLine.find('\n', begin)) {
    processLine(std::string_view(incompleteLine).substr(begin, end - begin));
    begin = end + 1;
  }
  incompleteLine.erase(0, begin);
}

void StreamChecker::processLine(std::string_view content) {
  if (content.ends_with('\r'))
    content.remove_suffix(1);
  if (content == "event: error")
    errorReceived = true;
  if (!content.starts_with("data:"))
    return;
  content.remove_prefix(content.starts_with("data: ") ? 6 : 5);
  if (content == "[DONE]") {
    doneReceived = true;
    return;
  }
  boost::system::error_code ec;
  const auto value = json::parse({content.data(), content.size()}, ec);
  if (ec || !value.is_object() || doneReceived) {
    malformed = true;
    return;
  }
  if (value.as_object().contains("error") || value.as_object().contains("outcome"))
    errorReceived = true;
  else
    text += stringAt(value, item.chat ? "/choices/0/delta/content" : "/choices/0/text");
}

LoadOutcome StreamChecker::outcome() const {
  if (malformed || !expected.starts_with(text))
    return LoadOutcome::Wrong;
  if (!doneReceived || errorReceived)
    return LoadOutcome::Cut;
  return text == expected ? LoadOutcome::Whole : LoadOutcome::Wrong;
}

LoadResult checkResponse(const LoadItem &item, const HttpResponse &response) {
  boost::system::error_code ec;
  const auto body = json::parse(response.body(), ec);
  if (ec)
    return makeWrongResult("status " + std::to_string(response.result_int()) +
                           ", body is not JSON");
  if (response.result_int() >= 400)
    return checkProblemResponse(response, body);
  if (item.kind != LoadKind::Completion)
    return checkServiceResponse(item, body);
  const auto text = stringAt(body, item.chat ? "/choices/0/message/content" : "/choices/0/text");
  if (text != answerText(item.model, item.prompt, item.maxTokens))
    return makeWrongResult("text differs from that of the model and prompt");
  LoadResult result;
  result.outcome = LoadOutcome::Whole;
  return result;
}

} // namespace catkin
