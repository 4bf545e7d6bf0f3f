#pragma once

#include "fleet_types_p.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Decides which model engine loads or drops what. No sockets and no clock. This is the load it
/// answers: most models are asked for seldom, a few often and these change; there is room for
/// almost all models once, a first load takes seconds and loads from the weight store are rationed,
/// while a model that an engine has held before comes back within a second.
namespace catkin {

enum class PlacementAction { Load, Unload, Count };
template <> struct EnumNames<PlacementAction> {
  static constexpr std::array<std::string_view, 2> Table{"load", "unload"};
};

enum class PlacementReason { Waiting, MoreReplicas, Spare, MakeRoom, Adapter, Count };
template <> struct EnumNames<PlacementReason> {
  static constexpr std::array<std::string_view, 5> Table{"waiting", "more_replicas", "spare_room",
                                                         "make_room", "adapter"};
};

/// One engine as the planner knows it.
struct PlacementEngine {
  EndpointName name;
  bool usable = true;          ///< reachable and takes work; what it holds counts as available
  bool idle = true;            ///< no order is under way
  bool loadsFromStore = false; ///< not idle for seconds
  std::vector<HeldModel> models;
  /// Models and adapters of orders whose outcome is open. They take room but are not available.
  std::vector<HeldModel> pending;
  std::set<ModelName> inMemory;
  std::set<ModelName> onDisk;
  /// The load for which the engine drops models. It is carried through, so that what was dropped
  /// is not loaded again instead.
  std::optional<ModelName> reservedFor;
  PlacementReason reservationReason = PlacementReason::Waiting; ///< of the load
  std::map<ModelName, int> inFlight; ///< requests, those for adapters among them
  std::set<ModelRef> adaptersInUse;
  std::map<ModelName, Instant> loadedAt; ///< of models loaded by this planner
  std::map<ModelRef, Instant> adapterUsedAt;
};

/// Demand for one model over all hosts.
struct ModelDemand {
  double perSecond = 0;        ///< moving average of requests over about ten seconds
  double recentPerSecond = 0;  ///< the same over two or three seconds
  double adapterPerSecond = 0; ///< of these, with an adapter
  double adaptersInUse = 0;    ///< of the model, at the same time
  Duration oldestWait{};       ///< the longest wait of those that wait now
  int waiting = 0;             ///< requests that wait because no engine holds it
};

/// Requests that wait because no engine holds their adapter.
struct AdapterNeed {
  int waiting = 0;
  Duration oldestWait{}; ///< the longest of them
};

struct PlacementInput {
  Instant now;
  const EngineSpec *spec = nullptr;
  std::vector<PlacementEngine> engines;
  std::map<ModelName, ModelDemand> demand;
  std::map<ModelRef, AdapterNeed> adaptersWaiting; ///< with `adapter` set
  /// What is known of the demand. Unknown: hosts have not reported yet, nothing is dropped. None:
  /// there have been no requests so far. Partial: the averages cover too short a time to drop more
  /// than waiting requests need.
  enum class DemandState { Unknown, None, Partial, Known };
  DemandState demandState = DemandState::Unknown;
  bool allEnginesKnown = true;      ///< every engine has said what it holds and has copies of
  int maxConcurrentRemoteLoads = 4; ///< loads from the weight store that do not delay each other
  int activeRemoteLoads = 0;
  int remoteLoadsInWindow = 0;    ///< begun within the window of the store's ceiling
  int maxRemoteLoadsInWindow = 0; ///< in that window
};

struct PlacementOrder {
  EndpointName engine;
  PlacementAction action = PlacementAction::Load;
  ModelRef model;
  PlacementReason reason = PlacementReason::Waiting;
  bool remote = false; ///< a load from the weight store
  ModelName nextModel; ///< of an unload: the model to be loaded next
  PlacementReason nextReason = PlacementReason::Waiting; ///< of that load
};

/// At most one model order an engine, and any number of adapter orders.
std::vector<PlacementOrder> planPlacement(const PlacementInput &input);

/// Replicas that a demand deserves where there are so many engines.
int targetReplicas(double perSecond, int engines);

} // namespace catkin
