#include "batch_p.h"

namespace catkin::standin {

namespace {

constexpr auto CallerCheckInterval = std::chrono::milliseconds(50);

} // namespace

asio::awaitable<BatchEnterResult> Batch::enter(Priority priority, HttpExchange &exchange) {
  if (runningCount < options.maxRunning && queue.empty()) {
    ++runningCount;
    co_return BatchEnterResult::Entered;
  }
  if (queue.size() >= options.maxQueued)
    co_return BatchEnterResult::Full;
  const QueueKey queueKey(-static_cast<int>(priority), ++arrivalCount);
  const std::string waiterKey = std::to_string(queueKey.second);
  auto waitingRequest = std::make_shared<WaitingRequest>();
  queue.emplace(queueKey, waitingRequest);
  if (onQueued)
    onQueued();
  while (!waitingRequest->granted && !exchange.isCallerGone())
    co_await waiters.wait(waiterKey, CallerCheckInterval);
  if (waitingRequest->granted)
    co_return BatchEnterResult::Entered;
  queue.erase(queueKey);
  co_return BatchEnterResult::CallerGone;
}

void Batch::leave() {
  --runningCount;
  if (queue.empty())
    return;
  const auto next = queue.begin();
  next->second->granted = true;
  ++runningCount;
  waiters.notify(std::to_string(next->first.second));
  queue.erase(next);
}

Duration Batch::tokenTime() const {
  const double others = runningCount > 0 ? static_cast<double>(runningCount - 1) : 0.0;
  return fromSeconds(toSeconds(options.tokenTime) * (1 + options.slowdownPerRequest * others) *
                     slowdown);
}

Duration Batch::prefillTime(std::size_t tokens) const {
  return fromSeconds(static_cast<double>(tokens) / options.prefillTokensPerSecond * slowdown);
}

} // namespace catkin::standin
