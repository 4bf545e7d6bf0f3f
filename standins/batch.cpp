#include "batch_p.h"

namespace catkin::standin {

namespace {

constexpr auto CallerCheckInterval = std::chrono::milliseconds(50);

} // namespace

asio::awaitable<BatchEntry> Batch::enter(Priority priority, HttpExchange &exchange) {
  if (runningCount < options.maxRunning && queue.empty()) {
    ++runningCount;
    co_return BatchEntry::Entered;
  }
  if (queue.size() >= options.maxQueued)
    co_return BatchEntry::Full;
  const Position position(-static_cast<int>(priority), ++arrivals);
  const std::string key = std::to_string(position.second);
  auto ticket = std::make_shared<Ticket>();
  queue.emplace(position, ticket);
  if (onQueued)
    onQueued();
  while (!ticket->granted && !exchange.isCallerGone())
    co_await waiters.wait(key, CallerCheckInterval);
  if (ticket->granted)
    co_return BatchEntry::Entered;
  queue.erase(position);
  co_return BatchEntry::CallerGone;
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
                     slow);
}

Duration Batch::prefillTime(std::size_t tokens) const {
  return fromSeconds(static_cast<double>(tokens) / options.prefillTokensPerSecond * slow);
}

} // namespace catkin::standin
