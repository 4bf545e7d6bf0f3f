#pragma once

#include "env_p.h"

#include <map>
#include <string>
#include <vector>

/// Accelerator memory of the engine stand-in: orders, fencing, replicas and checkpoint caches. No
/// clocks or sockets.
namespace catkin::standin {

enum class EngineRole { Mixed, Prefill, Decode, Count };

struct EngineMemoryOptions {
  EndpointName endpoint{"engine"};
  std::uint64_t incarnation = 1;
  int generation = 1;
  std::uint64_t memoryBytes = 16'000'000'000;
  bool checksFencing = true;
  bool checksMemory = true; ///< false: loads that do not fit are accepted and counted as faults
  std::size_t memoryCacheEntries = 4;
  std::size_t diskCacheEntries = 32;
  std::vector<std::string> memoryCache; ///< checkpoints cached from the start
  std::vector<std::string> diskCache;
};

/// Violations and refusals seen by an engine.
struct EngineFaults {
  std::uint64_t overcommits = 0;     ///< loads accepted that did not fit
  std::uint64_t refusedNoMemory = 0; ///< orders refused because they did not fit
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

class EngineMemory {
public:
  explicit EngineMemory(EngineMemoryOptions options);

  OrderResult apply(const EngineOrder &order);
  /// Changes the role. Busy while requests are in progress.
  OrderStatus changeRole(std::uint64_t term, EngineRole newRole);

  /// The load is still wanted: not unloaded meanwhile.
  bool isLoading(const ModelName &model, std::uint64_t loadId) const;
  /// The base model of an adapter; empty for others.
  ModelName baseOf(const ModelName &model) const;
  bool isReady(const ModelName &model) const;
  bool isPresent(const ModelName &model) const { return replicas.contains(model.value); }
  /// Marks a load as complete and caches its checkpoint.
  void finishLoad(const ModelName &model, std::uint64_t loadId);
  /// Drops a load that cannot complete.
  void dropLoad(const ModelName &model, std::uint64_t loadId);
  CopySource copySource(const ModelName &model) const;

  /// Starts a request. False if the model is not ready.
  bool beginRequest(const ModelName &model);
  void endRequest(const ModelName &model);

  /// Everything but the load figures `running` and `queued`.
  EndpointReport report() const;
  std::uint64_t usedBytes() const;

  bool leaving = false;
  EngineRole role = EngineRole::Mixed;
  EngineFaults faults;

private:
  struct Replica {
    ModelName base;
    std::uint64_t bytes = 0;
    std::uint64_t loadId = 0; ///< while loading
    int inFlight = 0;
  };
  using Replicas = std::map<std::string, Replica>;

  OrderResult load(const EngineOrder &order);
  OrderStatus unload(const ModelName &model);
  bool acceptTerm(std::uint64_t newTerm);
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
