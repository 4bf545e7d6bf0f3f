#pragma once

#include "standin_p.h"
#include "transfer_pool_p.h"

#include <random>

/// Stand-in for the rate-limited weight store.
namespace catkin::standin {

/// Settings of the weight store.
struct WeightsOptions {
  Address listen{"127.0.0.1", 0};
  double bytesPerSecond = 2e9; ///< of one checkpoint transfer at full speed
  double loadsPerSecond = 2;   ///< started checkpoint transfers
  std::size_t loadsAtFullSpeed = 4;
  std::size_t adaptersAtFullSpeed = 30;
  Duration adapterTimeMin = std::chrono::milliseconds(5);
  Duration adapterTimeMax = std::chrono::milliseconds(10);
  std::uint64_t seed = 1;
};

/// HTTP server of the simulated weight store.
class WeightsStandin final : public Standin {
public:
  WeightsStandin(asio::any_io_executor executor, WeightsOptions options);

private:
  /// Transfers of one kind and the coroutines that wait for them.
  struct TransferQueue {
    explicit TransferQueue(std::size_t slots) : pool(slots) {}
    TransferPool pool;
    Waiters waiters;
    std::map<std::uint64_t, bool> complete; ///< by id of a transfer in progress
    std::uint64_t finishedCount = 0;
  };

  asio::awaitable<void> handle(HttpExchange &exchange, const Target &target) override;
  asio::awaitable<void> handleLoad(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> handleControl(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> getStatus(HttpExchange &exchange, const Target &target);
  asio::awaitable<bool> waitForStartTime(HttpExchange &exchange);
  asio::awaitable<bool> transfer(HttpExchange &exchange, TransferQueue &queue, Duration work);
  void completeTransfers(TransferQueue &queue);
  Duration drawAdapterTime();

  WeightsOptions options;
  TransferQueue checkpoints;
  TransferQueue adapters;
  Instant nextStart{};
  std::size_t queued = 0;
  std::mt19937_64 random;
};

} // namespace catkin::standin
