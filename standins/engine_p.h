#pragma once

#include "batch_p.h"
#include "engine_memory_p.h"
#include "model_text_p.h"
#include "prefix_cache_p.h"
#include "standin_p.h"

#include <set>

/// Stand-in for a model engine: simulates loads, batching, prefix cache and KV transfer, and
/// computes a deterministic text for each completion.
namespace catkin::standin {

/// Settings of an engine.
struct EngineOptions {
  Address listen{"127.0.0.1", 0};
  EngineMemoryOptions memory;
  BatchOptions batch;
  PrefixCacheOptions prefixes;
  std::optional<Address> weights; ///< weight store; without one, remote loads take bytes / speed
  double remoteBytesPerSecond = 1e9;
  double diskBytesPerSecond = 4e9;
  double memoryBytesPerSecond = 20e9;
  Duration loadOverhead = std::chrono::milliseconds(50); ///< added to each checkpoint load
  Duration reportLag = std::chrono::milliseconds(500);   ///< age of load figures in reports
};

/// HTTP server of a simulated engine.
class EngineStandin final : public Standin {
public:
  EngineStandin(asio::any_io_executor executor, EngineOptions options);

private:
  /// Number of requests in progress.
  struct LoadFigures {
    int running = 0;
    int queued = 0;
    std::map<std::string, int> inFlight; ///< by model
  };
  /// A model load in progress.
  struct LoadTask {
    EngineOrder order;
    std::uint64_t id = 0;
  };
  /// A completion request in progress.
  struct CompletionJob {
    CompletionRequest request;
    std::string attempt;
    unsigned resumeFrom = 0;
    Priority priority = Priority::Normal;
  };

  asio::awaitable<void> handle(HttpExchange &exchange, const Target &target) override;

  // engine.cpp: orders, loads and reports
  asio::awaitable<void> getStatus(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> handleOrder(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> handleRoleOrder(HttpExchange &exchange, JsonFields &fields);
  asio::awaitable<void> answerOrder(HttpExchange &exchange, OrderStatus status);
  asio::awaitable<void> getFaults(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> handleControl(HttpExchange &exchange, const Target &target);
  void startLoad(std::shared_ptr<const LoadTask> load);
  asio::awaitable<void> runLoad(std::shared_ptr<const LoadTask> load);
  asio::awaitable<bool> waitForBase(const LoadTask &load);
  asio::awaitable<void> fetchModel(const LoadTask &load);
  asio::awaitable<void> fetchFromWeightStore(const LoadTask &load);
  EndpointReport currentReport() const;

  // engine_completions.cpp: requests, prefix cache and KV transfer
  asio::awaitable<void> handleCompletion(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> runCompletion(HttpExchange &exchange, const CompletionJob &job);
  asio::awaitable<void> generate(HttpExchange &exchange, const CompletionJob &job);
  asio::awaitable<bool> prefill(HttpExchange &exchange, const CompletionJob &job);
  asio::awaitable<void> sendStreamedCompletion(HttpExchange &exchange, const CompletionJob &job);
  asio::awaitable<void> sendWholeCompletion(HttpExchange &exchange, const CompletionJob &job);
  asio::awaitable<bool> waitWhileConnected(HttpExchange &exchange, Duration d);
  asio::awaitable<void> holdWithoutReply(HttpExchange &exchange);
  asio::awaitable<void> getCacheEvents(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> exportKv(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> importKv(HttpExchange &exchange, const Target &target);
  bool isSilent(const HttpExchange &exchange) const;
  void recordLoadFigures();

  EngineOptions options;
  asio::any_io_executor executor;
  HttpClient client;
  EngineMemory memory;
  Batch batch;
  PrefixCache prefixes;
  Lagged<LoadFigures> loadFigures;
  Waiters loadWaiters;
  std::uint64_t newestConnection = 0;
  std::uint64_t lastSilentConnection = 0; // connections up to this id stay silent
  bool allConnectionsSilent = false;
};

} // namespace catkin::standin
