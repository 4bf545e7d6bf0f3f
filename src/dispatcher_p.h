#pragma once

#include "admission_p.h"
#include "env_p.h"
#include "messages_p.h"
#include "router_p.h"
#include "shares_p.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

/// Combines the state that all requests of one host use: plan shares, admission and router.
/// Thread-safe. Lock order: shares, admission, router, statistics. Callbacks run while the first
/// three locks are held and must only post work to an executor.
namespace catkin {

/// A request for a replica of a model or an instance of a service.
struct DispatchRequest {
  WaitingRequest waiting;
  std::uint64_t prefixHash = 0;
  std::vector<EndpointName> tried; ///< chosen again only if there is no other endpoint
};

/// Result of Dispatcher::start(). A started request holds one unit of its plan's share and counts
/// as in flight at the endpoint until Dispatcher::end(). The fields after `admission` are set for
/// Start; `endpoint` is empty even then if no replica was left when the request started.
struct DispatchResult {
  AdmissionResult admission;
  EndpointName endpoint;
  Address address;
  std::string reason;                     ///< why the router chose the endpoint
  std::vector<EndpointName> alternatives; ///< endpoints that could have been chosen
};

/// How a dispatched request ended.
struct DispatchEnd {
  ModelName model;
  PlanName plan;
  EndpointName endpoint;
  bool healthy = true;       ///< false for connection errors, silence and wrong answers
  bool modelMissing = false; ///< the endpoint does not hold the model
  unsigned tokens = 0;       ///< generated tokens not yet reported by onTokens()
};

/// Key of a service's instances in the router and in admission. It contains a space, which no model
/// name does.
ModelName serviceKey(const ServiceName &service);

/// Admits requests, chooses an endpoint for each and keeps their statistics.
class Dispatcher {
public:
  using Clock = Instant (*)();
  using Done = std::function<void(DispatchResult)>;
  using Ticket = Admission::Ticket;

  Dispatcher(DataCentreName dataCentre, Guards guards, Clock clock);

  // ---- Requests ---------------------------------------------------------------------------------

  /// Queues a request until the plan's share and a usable replica are free. `done` may be called
  /// before start() returns.
  Ticket start(const DispatchRequest &request, Done done);
  /// Ends a queued request with outcome Cancelled; does nothing if it has started or ended.
  void cancel(Ticket ticket);
  /// Ends a started request: releases its share and records the state of the endpoint.
  void end(const DispatchEnd &e);
  /// Charges generated tokens to the plan's share.
  void onTokens(const PlanName &plan, unsigned tokens);
  /// Counts a new request, not another attempt, for a model or service.
  void onRequest(const ModelName &model);
  /// Takes one retry from the host's budget. Returns false if the budget is empty.
  bool tryConsumeRetry();
  /// Records the time from the start of an attempt to its first byte.
  void onFirstByte(const ModelName &model, Duration d);
  /// Expected time to the first byte for admission; 0 if unknown. It is half of the measured time,
  /// so that admission refuses only requests that cannot be served: an estimate that is too high
  /// would never be corrected, since the requests that could correct it would be refused.
  Duration serviceTime(const ModelName &model);

  // ---- Updates from the control loop ------------------------------------------------------------

  /// Replaces the routes of models.
  void setTable(std::vector<RouteEntry> entries);
  /// Takes service instances and leaving endpoints from the platform's node list.
  void setNodes(const std::vector<ListedNode> &nodes);
  /// Replaces this host's shares of the plans.
  void setShares(const std::vector<HostShare> &shares);
  /// Sets when the model is expected to serve requests.
  void setModelEstimate(const ModelName &model, Instant readyAt);
  /// Refuses the requests of the group whose deadline is not after the group's.
  void refuse(const WaitingGroup &group, Duration retryAfter, const std::string &reason);
  /// Starts and refuses queued requests. Call every 10 ms while requests wait.
  void pump();

  // ---- Reports ----------------------------------------------------------------------------------

  /// True if a replica of the model can take a request now.
  bool hasUsableReplica(const ModelName &model) const;
  /// Number of queued requests.
  std::size_t waiting() const;
  /// Number of started requests that have not ended.
  int inFlight() const { return inFlightCount; }
  /// Queued requests for models, not services, that have no usable replica.
  std::vector<WaitingGroup> coldModelGroups() const;
  /// True if a plan without a share on this host has queued requests.
  bool hasWaitingPlanWithoutShare() const;
  /// Fills the models and plans of the report and resets the arrival counts.
  void fillReport(SyncRequest &report);

private:
  struct ModelStats {
    unsigned arrivals = 0; ///< since the last report
    int inFlight = 0;
    Duration firstByte{0}; ///< smoothed time to the first byte; 0: unknown
  };

  /// pump() with the locks of shares, admission and router held.
  void pumpLocked(Instant now);
  /// Chooses an endpoint if the request was admitted.
  DispatchResult onAdmissionResult(const DispatchRequest &request, const AdmissionResult &result,
                                   Instant now);
  /// Gives the routes of models and services to the router.
  void applyTable();

  const Clock clock;
  std::atomic<int> inFlightCount = 0;

  mutable std::mutex sharesLock;
  HostShares shares;

  mutable std::mutex admissionLock;
  Admission admission;
  Instant pumpTime; ///< current time for the callbacks of admission

  mutable std::mutex routerLock;
  Router router;
  std::vector<RouteEntry> modelRoutes;
  std::vector<RouteEntry> serviceRoutes;

  mutable std::mutex statsLock;
  std::unordered_map<ModelName, ModelStats> stats;
};

} // namespace catkin
