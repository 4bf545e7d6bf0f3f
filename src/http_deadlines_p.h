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

enum class DeadlineSlot { Progress, Total, Count };

/// Up to two deadlines that share one timer. Moving a deadline later costs no timer operation,
/// because the timer rechecks the deadlines when it wakes. All calls, and the expiry function, run
/// on the executor given to the constructor, which must be a strand or single-threaded.
class ConnectionDeadlines : public std::enable_shared_from_this<ConnectionDeadlines> {
public:
  using Clock = std::chrono::steady_clock;

  ConnectionDeadlines(const asio::any_io_executor &executor,
                      std::function<void(DeadlineSlot)> onExpire);
  void expireAfter(DeadlineSlot slot, Duration d);
  void clear(DeadlineSlot slot);
  /// No expiry is reported after this. Must be called before the guarded object is destroyed.
  void stop();

private:
  void schedule();
  void reportExpired();

  asio::steady_timer timer;
  std::function<void(DeadlineSlot)> onExpire;
  std::array<Clock::time_point, static_cast<std::size_t>(DeadlineSlot::Count)> deadlines;
  Clock::time_point wakeTime = Clock::time_point::max();
  bool stopped = false;
};

} // namespace catkin
