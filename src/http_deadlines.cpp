#include "http_deadlines_p.h"

#include <algorithm>

namespace catkin {

ConnectionDeadlines::ConnectionDeadlines(const asio::any_io_executor &executor,
                                         std::function<void(DeadlineSlot)> onExpire)
    : timer(executor), onExpire(std::move(onExpire)) {
  deadlines.fill(Clock::time_point::max());
}

void ConnectionDeadlines::expireAfter(DeadlineSlot slot, Duration d) {
  deadlines[static_cast<std::size_t>(slot)] = Clock::now() + d;
  schedule();
}

void ConnectionDeadlines::clear(DeadlineSlot slot) {
  deadlines[static_cast<std::size_t>(slot)] = Clock::time_point::max();
}

void ConnectionDeadlines::stop() {
  stopped = true;
  timer.cancel();
}

void ConnectionDeadlines::schedule() {
  const auto next = *std::min_element(deadlines.begin(), deadlines.end());
  if (stopped || next >= wakeTime)
    return;
  wakeTime = next;
  timer.expires_at(next); // cancels the pending wait
  timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->stopped)
      self->reportExpired();
  });
}

void ConnectionDeadlines::reportExpired() {
  wakeTime = Clock::time_point::max();
  const auto now = Clock::now();
  for (std::size_t i = 0; i < deadlines.size() && !stopped; ++i) {
    if (deadlines[i] > now)
      continue;
    deadlines[i] = Clock::time_point::max();
    onExpire(static_cast<DeadlineSlot>(i));
  }
  schedule();
}

} // namespace catkin
