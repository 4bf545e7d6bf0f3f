#pragma once

#include "http_p.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

/// Timeouts of one HTTP connection. Private to the HTTP server and client.
namespace catkin {

enum class DeadlineSlot { Progress, Total, Count };

/// Tracks up to two deadlines with one timer. Extending a deadline needs no timer operation,
/// because the deadlines are checked again when the timer expires. All calls and the expiry
/// function must run on the executor given to the constructor, which must be a strand or
/// single-threaded.
class ConnectionDeadlines : public std::enable_shared_from_this<ConnectionDeadlines> {
public:
  using Clock = std::chrono::steady_clock;

  ConnectionDeadlines(const asio::any_io_executor &executor,
                      std::function<void(DeadlineSlot)> onExpire);
  /// Sets a deadline `d` from now. `onExpire` is called once when the deadline has passed.
  void expireAfter(DeadlineSlot slot, Duration d);
  /// Removes a deadline.
  void clear(DeadlineSlot slot);
  /// Stops reporting expired deadlines. Must be called before an object that `onExpire` uses is
  /// destroyed.
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
