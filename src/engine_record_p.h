#pragma once

#include "model_placement_p.h"

#include <map>
#include <optional>
#include <vector>

/// What the planner knows of one engine and of the orders that it has given it. No clock.
namespace catkin {

/// An order under way at one engine.
struct ActiveOrder {
  PlacementOrder order;
  std::uint64_t orderCountBefore = 0; ///< order count before it
  int sendCount = 0;
  int unloadChecks = 0; ///< whether an unload is complete
  Instant startedAt;
  Instant dueAt; ///< when it should be complete
};

struct EngineRecord {
  FleetEndpoint entry;
  bool hasStatus = false; ///< a status has been read in this incarnation
  EngineHoldings holdings;
  bool busy = false;
  std::optional<ModelName> reservedFor; ///< the load for which models are being dropped
  PlacementReason reservationReason = PlacementReason::Waiting; ///< of that load
  Instant reservedAt;
  std::optional<ActiveOrder> sending;  ///< sent and not answered
  std::optional<ActiveOrder> active;   ///< of a model, accepted and being carried out
  std::vector<ActiveOrder> unresolved; ///< orders given up that may still be carried out
  std::map<ModelRef, Instant> adapterReadyAt;
  std::map<ModelRef, Instant> adapterUsedAt;
  std::map<ModelName, Instant> loadedAt;
  bool statusPending = false;
  int statusFailures = 0; ///< in a row
  Instant nextStatus;
  Instant pausedUntil;

  bool isSilent() const;
  bool isReachable() const { return hasStatus && !isSilent(); }
  /// What it holds less what it has been ordered to drop.
  std::vector<HeldModel> remainingModels() const;
  /// What it holds, with a model whose load should be complete. A request that comes too early is
  /// refused without having run.
  LoadedModels availableModels(Instant now) const;
  /// As the placement sees it. `avoided`: its results are bad.
  PlacementEngine toPlacementEngine(bool avoided, Instant now) const;
  int remoteLoadCount() const;
  void removeHolding(const ModelRef &ref);
  /// Adapters that were loaded since the moment of the newest report are not in it yet.
  void addUnreportedAdapters(Instant now);
  /// How long the engine should need for a load; zero for any other order.
  Duration expectedLoadTime(const PlacementOrder &order, const EngineSpec &spec) const;
};

} // namespace catkin
