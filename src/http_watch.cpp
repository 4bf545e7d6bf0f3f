#include "http_watch_p.h"

#include <algorithm>

namespace catkin {

Watch::Watch(const asio::any_io_executor &executor, std::function<void(WatchSlot)> onExpire)
    : timer(executor), onExpire(std::move(onExpire)) {
  deadlines.fill(Clock::time_point::max());
}

void Watch::expireAfter(WatchSlot slot, Duration d) {
  deadlines[static_cast<std::size_t>(slot)] = Clock::now() + d;
  arm();
}

void Watch::clear(WatchSlot slot) {
  deadlines[static_cast<std::size_t>(slot)] = Clock::time_point::max();
}

void Watch::stop() {
  stopped = true;
  timer.cancel();
}

void Watch::arm() {
  const auto next = *std::min_element(deadlines.begin(), deadlines.end());
  if (stopped || next >= wakeAt)
    return;
  wakeAt = next;
  timer.expires_at(next); // cancels the earlier wait
  timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->stopped)
      self->check();
  });
}

void Watch::check() {
  wakeAt = Clock::time_point::max();
  const auto now = Clock::now();
  for (std::size_t i = 0; i < deadlines.size() && !stopped; ++i) {
    if (deadlines[i] > now)
      continue;
    deadlines[i] = Clock::time_point::max();
    onExpire(static_cast<WatchSlot>(i));
  }
  arm();
}

} // namespace catkin
