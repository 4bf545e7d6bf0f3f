#pragma once

#include "env_p.h"

#include <map>
#include <string>
#include <vector>

/// Accelerator memory of the engine stand-in: orders, fencing, replicas and checkpoint caches. Uses
/// no clock and no sockets.
namespace catkin::standin {

/// Role of an engine: all phases, prompt processing or token generation.
enum class EngineRole { Mixed, Prefill, Decode, Count };

/// Settings of EngineMemory.
struct EngineMemoryOptions {
  EndpointName endpoint{"engine"};
  std::uint64_t incarnation = 1;
  int generation = 1;
  std::uint64_t memoryBytes = 16'000'000'000;
  bool checksFencing = true; ///< false: orders with an old fencing token are accepted
  bool checksMemory = true;  ///< false: loads that do not fit are accepted and counted as faults
  std::size_t memoryCacheEntries = 4;
  std::size_t diskCacheEntries = 32;
  std::vector<std::string> memoryCache; ///< checkpoints cached from the start
  std::vector<std::string> diskCache;
};

/// Counters of protocol violations and refusals.
struct EngineFaults {
  std::uint64_t overcommits = 0;     ///< accepted loads that did not fit
  std::uint64_t refusedNoMemory = 0; ///< loads refused because they did not fit
  std::uint64_t staleOrders = 0;     ///< orders refused by fencing
  std::uint64_t busyUnloads = 0;     ///< unloads refused while requests were in progress
  std::uint64_t loadsWhileLeaving = 0;
  std::uint64_t requestsWhileLeaving = 0;
  std::uint64_t requestsNotLoaded = 0;
};

/// Result of an order. `loadId` is not 0 if the order started a load.
struct OrderResult {
  OrderStatus status = OrderStatus::Ok;
  std::uint64_t loadId = 0;
};

/// State of the models in the memory of an engine.
class EngineMemory {
public:
  explicit EngineMemory(EngineMemoryOptions options);

  /// Applies an order unless its fencing token is old.
  OrderResult apply(const EngineOrder &order);
  /// Changes the role. Returns Busy if requests are in progress.
  OrderStatus changeRole(std::uint64_t term, EngineRole newRole);

  /// Whether this load is in progress. False once it is complete or the model has been unloaded.
  bool isLoading(const ModelName &model, std::uint64_t loadId) const;
  /// Base model of an adapter; empty for other models.
  ModelName baseOf(const ModelName &model) const;
  bool isReady(const ModelName &model) const;
  bool isPresent(const ModelName &model) const { return replicas.contains(model.value); }
  /// Completes a load and caches its checkpoint in memory and on disk.
  void finishLoad(const ModelName &model, std::uint64_t loadId);
  /// Removes a model whose load cannot complete.
  void dropLoad(const ModelName &model, std::uint64_t loadId);
  /// Nearest copy of a checkpoint.
  CopySource copySource(const ModelName &model) const;

  /// Counts a request as in progress. Returns false if the model is not ready.
  bool beginRequest(const ModelName &model);
  void endRequest(const ModelName &model);

  /// Status without the load figures `running` and `queued`.
  EndpointReport report() const;
  std::uint64_t usedBytes() const;

  bool leaving = false;
  EngineRole role = EngineRole::Mixed;
  EngineFaults faults;

private:
  struct Replica {
    ModelName base;
    std::uint64_t bytes = 0;
    std::uint64_t loadId = 0; ///< 0 once the load is complete
    int inFlight = 0;
  };
  using Replicas = std::map<std::string, Replica>;

  OrderResult load(const EngineOrder &order);
  OrderStatus unload(const ModelName &model);
  /// Checks the fencing token of an order and stores it if it is new.
  bool acceptTerm(std::uint64_t newTerm);
  /// Whether the model, or an adapter based on it, has requests in progress.
  bool isBusy(const std::string &model) const;

  EngineMemoryOptions options;
  Replicas replicas;
  std::vector<std::string> memoryCache; // least recently used first
  std::vector<std::string> diskCache;
  std::uint64_t term = 0;
  std::uint64_t lastLoadId = 0;
};

} // namespace catkin::standin

template <> struct catkin::EnumNames<catkin::standin::EngineRole> {
  static constexpr std::array<std::string_view, 3> Table{"mixed", "prefill", "decode"};
};
