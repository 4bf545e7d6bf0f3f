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

/// The tables that requests on one host share: shares, admission and router. May be used from any
/// thread. Lock order: shares, admission, router, statistics; a callback runs under the first three
/// and must only post.
namespace catkin {

/// A request for a replica of a model or an instance of a service.
struct DispatchRequest {
  WaitingRequest waiting;
  std::uint64_t prefixHash = 0;
  std::vector<EndpointName> tried; ///< taken again only if there is no other
};

/// A started request holds one unit of its plan's share and a place at the endpoint until
/// Dispatcher::end().
struct DispatchResult {
  AdmissionResult admission;
  EndpointName endpoint; ///< for Start
  Address address;
  std::string reason;
  std::vector<EndpointName> alternatives;
};

/// How a dispatched request ended.
struct DispatchEnd {
  ModelName model;
  PlanName plan;
  EndpointName endpoint;
  bool healthy = true;       ///< false for connection errors, silence and wrong answers
  bool modelMissing = false; ///< the endpoint does not hold the model
  unsigned tokens = 0;       ///< generated and not yet reported by onTokens()
};

/// Key under which the instances of a service stand in the router. The space keeps it apart from
/// the names of models.
ModelName serviceKey(const ServiceName &service);

class Dispatcher {
public:
  using Clock = Instant (*)();
  using Done = std::function<void(DispatchResult)>;
  using Ticket = Admission::Ticket;

  Dispatcher(DataCentreName dataCentre, Guards guards, Clock clock);

  // ---- Requests
  // ----------------------------------------------------------------------------------

  /// Waits for the plan's share and a usable replica. `done` may run before this returns.
  Ticket start(const DispatchRequest &request, Done done);
  void cancel(Ticket ticket);
  void end(const DispatchEnd &e);
  void onTokens(const PlanName &plan, unsigned tokens);
  /// A new request (not another attempt) for a model or service.
  void onRequest(const ModelName &model);
  /// Takes one retry from the budget, if there is one.
  bool tryConsumeRetry();
  /// Time from the start of an attempt to its first byte.
  void onFirstByte(const ModelName &model, Duration d);
  /// Lower estimate of that time, so that it refuses only what cannot be served. Half of the
  /// measured time: an estimate above the truth would never be corrected, because it refuses the
  /// requests that would.
  Duration serviceTime(const ModelName &model);

  // ---- News from the control loop
  // ----------------------------------------------------------------

  void setTable(std::vector<RouteEntry> entries);
  /// Service instances and leaving endpoints of the platform's list.
  void setNodes(const std::vector<ListedNode> &nodes);
  void setShares(const std::vector<HostShare> &shares);
  void setModelEstimate(const ModelName &model, Instant readyAt);
  void refuse(const WaitingGroup &group, Duration retryAfter, const std::string &reason);
  /// Starts and refuses what is due. Call every 10 ms while requests wait.
  void pump();

  // ---- Reports
  // -----------------------------------------------------------------------------------

  bool hasUsableReplica(const ModelName &model) const;
  std::size_t waiting() const;
  int inFlight() const { return inFlightCount; }
  /// Models, not services, that requests wait for and that no replica can serve.
  std::vector<WaitingGroup> coldModelGroups() const;
  /// True if requests of a plan wait that has no share on this host.
  bool hasWaitingPlanWithoutShare() const;
  /// Fills models and plans. Arrivals count since the last call.
  void fillReport(SyncRequest &report);

private:
  struct ModelStats {
    unsigned arrivals = 0;
    int inFlight = 0;
    Duration firstByte{0};
  };

  void pumpLocked(Instant now);
  DispatchResult onAdmissionResult(const DispatchRequest &request, const AdmissionResult &result,
                                   Instant now);
  void applyTable();

  const Clock clock;
  std::atomic<int> inFlightCount = 0;

  mutable std::mutex sharesLock;
  HostShares shares;

  mutable std::mutex admissionLock;
  Admission admission;
  Instant pumpTime; ///< used by the callbacks of admission

  mutable std::mutex routerLock;
  Router router;
  std::vector<RouteEntry> modelRoutes;
  std::vector<RouteEntry> serviceRoutes;

  mutable std::mutex statsLock;
  std::unordered_map<ModelName, ModelStats> stats;
};

} // namespace catkin
