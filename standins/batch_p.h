#pragma once

#include "standin_p.h"

/// Running batch of the engine stand-in and the requests that wait for a place in it.
namespace catkin::standin {

struct BatchOptions {
  std::size_t maxRunning = 32;
  std::size_t maxQueued = 128;
  Duration tokenTime = std::chrono::milliseconds(10); ///< of a request that runs alone
  double slowdownPerRequest = 0.03; ///< share of the token time that each further request adds
  double prefillTokensPerSecond = 5000;
};

enum class BatchEnterResult { Entered, Full, CallerGone };

class Batch {
public:
  explicit Batch(BatchOptions options) : options(options) {}
  /// Waits for a place; higher priorities go first.
  asio::awaitable<BatchEnterResult> enter(Priority priority, HttpExchange &exchange);
  void leave();
  /// Time of one token at the present load.
  Duration tokenTime() const;
  Duration prefillTime(std::size_t tokens) const;
  int running() const { return static_cast<int>(runningCount); }
  int queued() const { return static_cast<int>(queue.size()); }

  double slowdown = 1;
  std::function<void()> onQueued; ///< called when a request starts to wait

private:
  struct WaitingRequest {
    bool granted = false;
  };
  /// Orders by descending priority, then by arrival.
  using QueueKey = std::pair<int, std::uint64_t>;

  BatchOptions options;
  std::size_t runningCount = 0;
  std::uint64_t arrivalCount = 0;
  std::map<QueueKey, std::shared_ptr<WaitingRequest>> queue;
  Waiters waiters;
};

} // namespace catkin::standin
