#pragma once

#include "standin_p.h"

/// Continuous batch of the engine stand-in and the queue of requests that wait to join it.
namespace catkin::standin {

struct BatchOptions {
  std::size_t maxRunning = 32;
  std::size_t maxQueued = 128;
  Duration tokenTime = std::chrono::milliseconds(10); ///< of a request that runs alone
  double slowdownPerRequest = 0.03; ///< share of the token time added by each further request
  double prefillTokensPerSecond = 5000;
};

/// Result of waiting to join the batch.
enum class BatchEnterResult { Entered, Full, CallerGone };

/// Limits the requests that run at once and simulates their speed.
class Batch {
public:
  explicit Batch(BatchOptions options) : options(options) {}
  /// Waits until the request can run. Higher priorities run first, equal ones in order of arrival.
  /// Call leave() after the result Entered.
  asio::awaitable<BatchEnterResult> enter(Priority priority, HttpExchange &exchange);
  /// Ends a running request and starts the next queued one.
  void leave();
  /// Time per token of each running request at the current load.
  Duration tokenTime() const;
  /// Time to process a prompt of this many tokens.
  Duration prefillTime(std::size_t tokens) const;
  int running() const { return static_cast<int>(runningCount); }
  int queued() const { return static_cast<int>(queue.size()); }

  double slowdown = 1;            ///< factor on all times
  std::function<void()> onQueued; ///< called when a request joins the queue

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
