#pragma once

#include "model_placement_p.h"

#include <map>
#include <optional>
#include <vector>

/// The planner's record of one engine and of the orders sent to it. Callers pass the current time.
namespace catkin {

/// An order that has been sent to an engine and is not known to be complete.
struct ActiveOrder {
  PlacementOrder order;
  std::uint64_t orderCountBefore = 0; ///< engine's order count before this order
  int sendCount = 0;                  ///< times that the command was sent
  int unloadChecks = 0; ///< times that the engine was asked whether the unload is complete
  Instant startedAt;
  Instant dueAt; ///< expected completion
};

/// Registration, status, reservation and open orders of one engine.
struct EngineRecord {
  FleetEndpoint entry;
  bool hasStatus = false; ///< a status of this incarnation has been received
  EngineHoldings holdings;
  bool busy = false;                    ///< the engine is carrying out an order
  std::optional<ModelName> reservedFor; ///< model for whose load others are being unloaded
  PlacementReason reservationReason = PlacementReason::Waiting; ///< reason for that load
  Instant reservedAt;
  std::optional<ActiveOrder> sending; ///< sent, not answered yet
  std::optional<ActiveOrder> active;  ///< accepted model order, being carried out
  /// Orders with an unknown outcome, which the engine may still carry out.
  std::vector<ActiveOrder> unresolved;
  std::map<ModelRef, Instant> adapterReadyAt; ///< when an ordered adapter was taken as loaded
  std::map<ModelRef, Instant> adapterUsedAt;  ///< last use
  std::map<ModelName, Instant> loadedAt;
  bool statusPending = false; ///< a status request has not been answered
  int statusFailures = 0;     ///< consecutive status requests without a valid answer
  Instant nextStatus;         ///< time of the next status request
  Instant pausedUntil;        ///< no orders before this time

  /// True if the last status requests failed.
  bool isSilent() const;
  bool isReachable() const { return hasStatus && !isSilent(); }
  /// Held models without those that the engine has been ordered to unload.
  std::vector<HeldModel> remainingModels() const;
  /// Models that hosts may send requests for: the remaining ones and a model whose load from memory
  /// or disk should be complete by `now`. An engine that is still loading refuses a request without
  /// running it, so an early announcement is harmless.
  LoadedModels availableModels(Instant now) const;
  /// Input of the placement. An engine that is `avoided`, because most hosts see it fail, is not
  /// usable.
  PlacementEngine toPlacementEngine(bool avoided, Instant now) const;
  /// Loads from the weight store that have been ordered and are not complete.
  int remoteLoadCount() const;
  /// Removes a model or an adapter from the holdings.
  void removeHolding(const ModelRef &ref);
  /// Adds adapters to the holdings that were loaded too recently to be in the newest report.
  void addUnreportedAdapters(Instant now);
  /// Expected duration of a model load; zero for any other order.
  Duration expectedLoadTime(const PlacementOrder &order, const EngineSpec &spec) const;
};

} // namespace catkin
