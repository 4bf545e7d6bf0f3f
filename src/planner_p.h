#pragma once

#include "env_p.h"
#include "guards_p.h"
#include "lists_p.h"
#include "messages_p.h"
#include "policy_p.h"
#include "route_table_p.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Planner of the fleet: decides which endpoint loads and releases which model. Every host has one,
/// but only the planner of the host that holds the planner lease is active.
namespace catkin {

/// Settings of the planner.
struct PlannerOptions {
  HostName host;
  std::string retention = "adaptive"; ///< name of the retention policy
  std::string placement = "cost";     ///< name of the placement policy
  PolicyWeights weights;
  int storeConcurrentLoads = 4;    ///< limit of concurrent remote model loads
  double storeLoadsPerSecond = 2;  ///< limit of remote model loads started per second
  int storeAdaptersInFlight = 30;  ///< limit of concurrent remote adapter loads
  double loadBytesPerSecond = 2e9; ///< initial rate of remote loads, until loads are measured
  Guards guards;
};

/// Counters since the start of the process, and the current numbers of replicas and loads.
struct PlannerStats {
  std::uint64_t loadsDecided = 0;
  std::uint64_t releasesDecided = 0;
  std::uint64_t ensureRefused = 0;      ///< ensure requests refused
  std::uint64_t ordersRefusedStale = 0; ///< times that a newer term ended this planner's term
  std::size_t replicas = 0;             ///< without loads that are still queued
  std::size_t loadsUnderWay = 0;        ///< started and not yet complete
};

/// A replica in the planner's state. These fields are also stored in endpoints/<name>.
struct PlannedReplica {
  ModelName model;
  ModelName base; ///< base model of an adapter; else empty
  std::uint64_t bytes = 0;
  ReplicaState state = ReplicaState::Intended;
  std::uint64_t term = 0; ///< term under which the newest order was recorded
  std::string orderId;
  PlanName payer; ///< plan whose grant the replica counts against
  /// An order of an earlier term may still reach the endpoint. An endpoint that checks fencing
  /// tokens refuses such an order.
  bool unresolved = false;
};

/// Places, keeps and releases the replicas of all models while its host holds the planner lease.
class Planner {
public:
  using EnsureDone = std::function<void(const EnsureReply &)>;

  Planner(Env &env, PlannerOptions options);
  ~Planner();

  /// Sets the configured lists of models, plans and uses.
  void setLists(ListsPtr lists);
  /// Sets the engines of the host list with their liveness. Engines that are missing are gone.
  void setEndpoints(const std::vector<ListedNode> &engines);

  /// Starts a term: reads the endpoints/ objects, claims every endpoint and rebuilds the routing
  /// table. `formerHolderEnded` is true if no process of an earlier term can still send orders.
  void lead(std::uint64_t term, bool formerHolderEnded);
  /// Sets the moment from which no orders are sent to endpoints that ignore fencing tokens.
  void setOrderLimit(Instant limit);
  /// Tells that no process of an earlier term can send orders any more. The memory reserved for
  /// such orders is freed.
  void onFormerHolderEnded();
  /// Ends the term. Pending ensure requests are answered with NotPlanner, and no more orders are
  /// sent.
  void resign();

  bool isLeading() const;
  /// True once the recovery of the current term is complete.
  bool isReady() const;
  std::uint64_t term() const;

  /// Requests a replica of a model. `done` is called at once or as soon as the load is recorded in
  /// the platform's store; it does not wait for the load itself. Requests that arrive during the
  /// recovery of a term are answered after it.
  void ensure(const EnsureRequest &request, EnsureDone done);

  /// Processes the use of models on one host, as reported by its sync.
  void onModelLoads(const HostName &host, const std::vector<ModelLoad> &loads);
  /// Sets the lowest version of the routing table that every live host has applied.
  void setAcknowledgedVersion(std::uint64_t version);
  /// Starts or stops draining an endpoint for an operator: a drained endpoint gets no new work, and
  /// its replicas are moved.
  void drain(const EndpointName &endpoint, bool on);

  /// Runs the periodic work: status polls, retries, retention and prewarming. To be called about
  /// every 100 ms.
  void tick();

  const RouteTable &table() const;
  /// All replicas by endpoint, including queued loads.
  std::map<EndpointName, std::vector<PlannedReplica>> replicas() const;
  /// The newest report of each endpoint that has reported.
  std::vector<EndpointReport> endpointReports() const;
  /// Returns the usage history of the retention policy as text, for the next planner.
  std::string saveHistory() const;
  /// Replaces the usage history by the result of saveHistory().
  void restoreHistory(std::string_view text);
  PlannerStats stats() const;
  /// Number of orders sent and not yet answered, of this and earlier terms. A former lease holder
  /// may acknowledge a newer term only when it is 0: the new planner then frees the memory that it
  /// has reserved for these orders.
  std::size_t ordersInFlight() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
