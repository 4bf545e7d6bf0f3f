#pragma once

#include "http_p.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

/// Deadlines of one connection. Private to the HTTP server and client.
namespace catkin {

enum class WatchSlot { Progress, Total, Count };

/// Up to two deadlines that share one timer. Moving a deadline later costs no timer operation,
/// because the timer rechecks the deadlines when it wakes. All calls, and the expiry function, run
/// on the executor given to the constructor, which must be a strand or single-threaded.
class Watch : public std::enable_shared_from_this<Watch> {
public:
  using Clock = std::chrono::steady_clock;

  Watch(const asio::any_io_executor &executor, std::function<void(WatchSlot)> onExpire);
  void expireAfter(WatchSlot slot, Duration d);
  void clear(WatchSlot slot);
  /// No expiry is reported after this. Must be called before the guarded object is destroyed.
  void stop();

private:
  void arm();
  void check();

  asio::steady_timer timer;
  std::function<void(WatchSlot)> onExpire;
  std::array<Clock::time_point, static_cast<std::size_t>(WatchSlot::Count)> deadlines;
  Clock::time_point wakeAt = Clock::time_point::max();
  bool stopped = false;
};

} // namespace catkin
