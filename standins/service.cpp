#include "service_p.h"

#include "model_text_p.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace catkin::standin {

namespace {

constexpr std::size_t MaxKeys = 1000 * 1000;

} // namespace

ServiceStandin::ServiceStandin(asio::any_io_executor executor, ServiceOptions o)
    : Standin(std::move(executor), {.listen = o.listen}), options(std::move(o)),
      random(options.seed) {}

asio::awaitable<void> ServiceStandin::handle(HttpExchange &exchange, const Target &target) {
  const auto verb = exchange.request().method();
  if (verb == http::verb::get && target.path == "/control/runs")
    co_await listRuns(exchange, target);
  else if (verb == http::verb::post && target.path == "/control")
    co_await handleControl(exchange, target);
  else
    co_await handleCall(exchange, target);
}

asio::awaitable<void> ServiceStandin::handleCall(HttpExchange &exchange, const Target &target) {
  const auto &request = exchange.request();
  const std::string key(request["Idempotency-Key"]);
  const std::string attempt(request["X-Attempt-Id"]);
  if (!key.empty() && runsByKey.size() >= MaxKeys && !runsByKey.contains(key)) {
    co_await answerProblem(exchange, 503, "too many idempotency keys");
    co_return;
  }
  ++totalRuns;
  const auto runNumber = key.empty() ? 0 : ++runsByKey[key];
  const bool dropAnswer = options.dropAnswers > 0 &&
                          std::uniform_real_distribution<double>()(random) < options.dropAnswers;
  if (options.delay > Duration::zero())
    co_await sleepFor(options.delay);
  if (dropAnswer) {
    ++droppedAnswers;
    exchange.abort();
    co_return;
  }
  auto response = jsonResponse(json::serialize(json::object{{"service", options.name},
                                                            {"path", target.path},
                                                            {"key", key},
                                                            {"run", runNumber},
                                                            {"body", textHash(request.body())}}));
  if (!attempt.empty())
    response.set("X-Attempt-Id", attempt);
  co_await exchange.respond(std::move(response));
}

asio::awaitable<void> ServiceStandin::listRuns(HttpExchange &exchange, const Target &) {
  json::object counts;
  std::uint64_t maxRunsPerKey = 0;
  for (const auto &it : runsByKey) {
    counts[it.first] = it.second;
    maxRunsPerKey = std::max(maxRunsPerKey, it.second);
  }
  const json::object body{{"runs", std::move(counts)},
                          {"total", totalRuns},
                          {"most_per_key", maxRunsPerKey},
                          {"dropped", droppedAnswers}};
  co_await answerJson(exchange, body);
}

asio::awaitable<void> ServiceStandin::handleControl(HttpExchange &exchange, const Target &) {
  JsonFields fields(exchange.request().body());
  const auto delay = fields.count("delay_ms", static_cast<std::uint64_t>(toMillis(options.delay)));
  const auto dropShare = fields.number("drop_answers", options.dropAnswers);
  if (!fields.error().empty()) {
    co_await answerProblem(exchange, 400, fields.error());
    co_return;
  }
  options.delay = std::chrono::milliseconds(delay);
  options.dropAnswers = dropShare;
  const json::object body{{"delay_ms", delay}, {"drop_answers", dropShare}};
  co_await answerJson(exchange, body);
}

} // namespace catkin::standin
