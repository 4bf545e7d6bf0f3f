#pragma once

#include "batch_p.h"
#include "engine_memory_p.h"
#include "model_text_p.h"
#include "prefix_cache_p.h"
#include "standin_p.h"

#include <set>

/// Stand-in for a model engine.
namespace catkin::standin {

struct EngineOptions {
  Address listen{"127.0.0.1", 0};
  EngineMemoryOptions memory;
  BatchOptions batch;
  PrefixCacheOptions prefixes;
  std::optional<Address> weights; ///< weight store; without one, remote loads use a speed
  double remoteBytesPerSecond = 1e9;
  double diskBytesPerSecond = 4e9;
  double memoryBytesPerSecond = 20e9;
  Duration loadOverhead = std::chrono::milliseconds(50); ///< of each checkpoint
  Duration reportLag = std::chrono::milliseconds(500);
};

class EngineStandin final : public Standin {
public:
  EngineStandin(asio::any_io_executor executor, EngineOptions options);

private:
  struct LoadFigures {
    int running = 0;
    int queued = 0;
    std::map<std::string, int> inFlight; ///< by model
  };
  /// A load in progress.
  struct LoadTask {
    EngineOrder order;
    std::uint64_t id = 0;
  };
  /// A completion request being served.
  struct Job {
    CompletionRequest request;
    std::string attempt;
    unsigned resumeFrom = 0;
    Priority priority = Priority::Normal;
  };

  asio::awaitable<void> handle(HttpExchange &exchange, const Target &target) override;

  // engine.cpp: orders, loads and reports
  asio::awaitable<void> getStatus(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> takeOrder(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> takeRoleOrder(HttpExchange &exchange, Fields &fields);
  asio::awaitable<void> answerOrder(HttpExchange &exchange, OrderStatus status);
  asio::awaitable<void> getFaults(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> control(HttpExchange &exchange, const Target &target);
  void startLoad(std::shared_ptr<const LoadTask> load);
  asio::awaitable<void> runLoad(std::shared_ptr<const LoadTask> load);
  asio::awaitable<bool> waitForBase(const LoadTask &load);
  asio::awaitable<void> fetch(const LoadTask &load);
  asio::awaitable<void> fetchRemote(const LoadTask &load);
  EndpointReport freshReport() const;

  // engine_completions.cpp: requests, prefix cache and KV transfer
  asio::awaitable<void> complete(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> run(HttpExchange &exchange, const Job &job);
  asio::awaitable<void> generate(HttpExchange &exchange, const Job &job);
  asio::awaitable<bool> prefill(HttpExchange &exchange, const Job &job);
  asio::awaitable<void> answerStream(HttpExchange &exchange, const Job &job);
  asio::awaitable<void> answerWhole(HttpExchange &exchange, const Job &job);
  asio::awaitable<bool> pause(HttpExchange &exchange, Duration d);
  asio::awaitable<void> holdSilent(HttpExchange &exchange);
  asio::awaitable<void> getCacheEvents(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> exportKv(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> importKv(HttpExchange &exchange, const Target &target);
  bool silent(const HttpExchange &exchange) const;
  void noteLoad();

  EngineOptions options;
  asio::any_io_executor executor;
  HttpClient client;
  EngineMemory memory;
  Batch batch;
  PrefixCache prefixes;
  Lagged<LoadFigures> figures;
  Waiters loads;
  std::uint64_t newestConnection = 0;
  std::uint64_t silentUpTo = 0; // connections up to this one are silent for good
  bool silentAll = false;
};

} // namespace catkin::standin
