#pragma once

#include "fleet_types_p.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Decides which engine loads or unloads which models and adapters, without I/O and without a
/// clock. It is designed for this load: most models are requested rarely, a few often, and these
/// change. The engines have memory for almost every model once. A first load takes seconds, and
/// loads from the weight store are limited, while an engine reloads a model that it has held before
/// within a second.
namespace catkin {

enum class PlacementAction { Load, Unload, Count };
template <> struct EnumNames<PlacementAction> {
  static constexpr std::array<std::string_view, 2> Table{"load", "unload"};
};

/// Why an order is given.
enum class PlacementReason { Waiting, MoreReplicas, Spare, MakeRoom, Adapter, Count };
template <> struct EnumNames<PlacementReason> {
  static constexpr std::array<std::string_view, 5> Table{"waiting", "more_replicas", "spare_room",
                                                         "make_room", "adapter"};
};

/// One engine as the planner knows it.
struct PlacementEngine {
  EndpointName name;
  bool usable = true;          ///< reachable and accepts requests; its models count as available
  bool idle = true;            ///< no order is being carried out
  bool loadsFromStore = false; ///< loads from the weight store, which takes seconds
  std::vector<HeldModel> models;
  /// Models and adapters of orders that are not known to be complete. They use memory but are not
  /// available.
  std::vector<HeldModel> pending;
  /// Held models whose requests the engine's limit leaves no room for. They do not count as
  /// replicas.
  std::set<ModelName> overLimit;
  std::set<ModelName> inMemory; ///< copies of weights in host memory
  std::set<ModelName> onDisk;   ///< copies of weights on disk
  /// Model for whose load the engine unloads others. The load is carried out even if the demand
  /// changes, so that the unloaded models are not loaded again instead.
  std::optional<ModelName> reservedFor;
  PlacementReason reservationReason = PlacementReason::Waiting; ///< reason for that load
  std::map<ModelName, int> inFlight;         ///< requests in progress, including those for adapters
  std::set<ModelRef> adaptersInUse;          ///< adapters with requests in progress
  std::map<ModelName, Instant> loadedAt;     ///< only models loaded by this planner
  std::map<ModelRef, Instant> adapterUsedAt; ///< last use
};

/// Demand for one model, over all hosts.
struct ModelDemand {
  double perSecond = 0;        ///< moving average of requests over about 10 s
  double recentPerSecond = 0;  ///< the same over 2 to 3 s
  double adapterPerSecond = 0; ///< the part of `perSecond` that uses an adapter
  double adaptersInUse = 0;    ///< number of the model's adapters in use at the same time
  Duration oldestWait{};       ///< longest wait so far of the waiting requests
  int waiting = 0;             ///< requests that wait because no engine holds the model
};

/// Requests that wait because no engine holds their adapter.
struct AdapterNeed {
  int waiting = 0;       ///< requests
  Duration oldestWait{}; ///< longest wait so far of these
};

/// Input of one planning round for the engines of one service.
struct PlacementInput {
  Instant now;
  const EngineSpec *spec = nullptr;
  std::vector<PlacementEngine> engines;
  std::map<ModelName, ModelDemand> demand;
  std::map<ModelRef, AdapterNeed> adaptersWaiting; ///< all keys have `adapter` set
  /// How much is known of the demand. Unknown: hosts have not reported yet, and nothing is
  /// unloaded. None: there have been no requests so far. Partial: the averages cover too short a
  /// time to unload more than waiting requests need.
  enum class DemandState { Unknown, None, Partial, Known };
  DemandState demandState = DemandState::Unknown;
  bool allEnginesKnown = true;      ///< every engine has reported its models and copies
  int maxConcurrentRemoteLoads = 4; ///< loads from the store that do not delay each other
  int activeRemoteLoads = 0;        ///< loads from the store in progress
  int remoteLoadsInWindow = 0;      ///< loads begun within the window of the store's limit
  int maxRemoteLoadsInWindow = 0;   ///< the store's limit for that window
};

/// An order for one engine.
struct PlacementOrder {
  EndpointName engine;
  PlacementAction action = PlacementAction::Load;
  ModelRef model;
  PlacementReason reason = PlacementReason::Waiting;
  bool remote = false; ///< a load from the weight store
  ModelName nextModel; ///< model for whose load this unload makes room
  PlacementReason nextReason = PlacementReason::Waiting; ///< reason for that load
};

/// Marks the models of an engine with a limit of `perSecond` requests that are over it: those with
/// the most requests, so that most models keep their replica. An engine with such models gets no
/// orders, which count towards the limit.
void applyRequestLimit(PlacementEngine &engine, double perSecond, const PlacementInput &input);

/// Returns the orders of one planning round, at most one for each engine.
std::vector<PlacementOrder> planPlacement(const PlacementInput &input);

/// Number of replicas for a demand of `perSecond` requests per second, from 1 to `engines`.
int targetReplicas(double perSecond, int engines);

} // namespace catkin
