#include "weights_p.h"

#include <algorithm>

namespace catkin::standin {

namespace {

constexpr Duration CallerCheckInterval = std::chrono::milliseconds(100);
constexpr Duration MinWait = std::chrono::microseconds(100);

} // namespace

WeightsStandin::WeightsStandin(asio::any_io_executor executor, WeightsOptions o)
    : Standin(std::move(executor), {.listen = o.listen}), options(std::move(o)),
      checkpoints(options.loadsAtFullSpeed), adapters(options.adaptersAtFullSpeed),
      random(options.seed) {}

asio::awaitable<void> WeightsStandin::handle(HttpExchange &exchange, const Target &target) {
  using W = WeightsStandin;
  static constexpr std::array<Route<W>, 3> Routes{{
      {http::verb::post, "/loads", &W::handleLoad},
      {http::verb::post, "/control", &W::handleControl},
      {http::verb::get, "/status", &W::getStatus},
  }};
  co_await runRoute(*this, Routes, exchange, target);
}

asio::awaitable<void> WeightsStandin::handleLoad(HttpExchange &exchange, const Target &) {
  JsonFields fields(exchange.request().body());
  const auto model = fields.text("model");
  const auto bytes = fields.count("bytes", 0);
  const bool adapter = fields.flag("adapter", false);
  if (!fields.error().empty() || model.empty()) {
    co_await answerProblem(exchange, 400,
                           model.empty() ? "the load needs a model" : fields.error());
    co_return;
  }
  bool complete = false;
  if (adapter) {
    complete = co_await transfer(exchange, adapters, drawAdapterTime());
  } else {
    const bool proceed = co_await waitForStartTime(exchange);
    const auto work = fromSeconds(static_cast<double>(bytes) / options.bytesPerSecond);
    if (proceed)
      complete = co_await transfer(exchange, checkpoints, work);
  }
  if (!complete) {
    exchange.abort();
    co_return;
  }
  const json::object body{{"model", model}, {"bytes", bytes}};
  co_await answerJson(exchange, body);
}

/// Limits the rate at which checkpoint transfers start. Returns false if the caller has
/// disconnected.
asio::awaitable<bool> WeightsStandin::waitForStartTime(HttpExchange &exchange) {
  const Instant startTime = std::max(now(), nextStart);
  nextStart = startTime + fromSeconds(1 / options.loadsPerSecond);
  ++queued;
  while (now() < startTime && !exchange.isCallerGone())
    co_await sleepFor(std::min(startTime - now(), CallerCheckInterval));
  --queued;
  co_return !exchange.isCallerGone();
}

/// Runs one transfer. Returns false if the caller has disconnected before its end.
asio::awaitable<bool> WeightsStandin::transfer(HttpExchange &exchange, TransferQueue &queue,
                                               Duration work) {
  const auto id = queue.pool.add(work, now());
  const std::string key = std::to_string(id);
  queue.complete[id] = false;
  while (!queue.complete[id] && !exchange.isCallerGone()) {
    const auto wait = queue.pool.timeUntilNextCompletion().value_or(MinWait);
    co_await queue.waiters.wait(key, std::clamp(wait, MinWait, CallerCheckInterval));
    completeTransfers(queue);
  }
  const bool complete = queue.complete[id];
  queue.complete.erase(id);
  if (!complete)
    queue.pool.remove(id, now());
  co_return complete;
}

/// Marks the transfers that have ended as complete and resumes their coroutines.
void WeightsStandin::completeTransfers(TransferQueue &queue) {
  for (const auto id : queue.pool.advance(now())) {
    queue.complete[id] = true;
    ++queue.finishedCount;
    queue.waiters.notify(std::to_string(id));
  }
}

Duration WeightsStandin::drawAdapterTime() {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      options.adapterTimeMin.count(), options.adapterTimeMax.count())(random));
}

asio::awaitable<void> WeightsStandin::handleControl(HttpExchange &exchange, const Target &) {
  JsonFields fields(exchange.request().body());
  const double slowdown = fields.number("slow", 1);
  if (!fields.error().empty() || slowdown <= 0) {
    co_await answerProblem(exchange, 400, "slow must be a number above 0");
    co_return;
  }
  checkpoints.pool.setSlowdown(slowdown, now());
  adapters.pool.setSlowdown(slowdown, now());
  const json::object body{{"slow", slowdown}};
  co_await answerJson(exchange, body);
}

asio::awaitable<void> WeightsStandin::getStatus(HttpExchange &exchange, const Target &) {
  const json::object body{{"queued", queued},
                          {"in_flight", checkpoints.pool.inFlight()},
                          {"highest_in_flight", checkpoints.pool.highestInFlight()},
                          {"loads", checkpoints.finishedCount},
                          {"adapters_in_flight", adapters.pool.inFlight()},
                          {"highest_adapters_in_flight", adapters.pool.highestInFlight()},
                          {"adapter_loads", adapters.finishedCount}};
  co_await answerJson(exchange, body);
}

} // namespace catkin::standin
