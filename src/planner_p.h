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

/// Decides which replica exists on which endpoint, for all hosts, while this host holds the lease.
namespace catkin {

struct PlannerOptions {
  HostName host;
  std::string retention = "adaptive";
  std::string placement = "cost";
  PolicyWeights weights;
  int storeConcurrentLoads = 4;    ///< remote loads under way at one time
  double storeLoadsPerSecond = 2;  ///< starts of remote model loads
  int storeAdaptersInFlight = 30;  ///< remote adapter loads under way at one time
  double loadBytesPerSecond = 2e9; ///< first guess; replaced by measured rates per source
  Guards guards;
};

struct PlannerStats {
  std::uint64_t loadsDecided = 0;
  std::uint64_t releasesDecided = 0;
  std::uint64_t ensureRefused = 0;
  std::uint64_t ordersRefusedStale = 0;
  std::size_t replicas = 0;
  std::size_t loadsUnderWay = 0;
};

/// A replica as the planner knows it; also the content of endpoints/<name>.
struct PlannedReplica {
  ModelName model;
  ModelName base;
  std::uint64_t bytes = 0;
  ReplicaState state = ReplicaState::Intended;
  std::uint64_t term = 0; ///< term under which the newest order was recorded
  std::string orderId;
  PlanName payer;          ///< plan whose grant it counts against
  bool unresolved = false; ///< order of an earlier term on an endpoint that ignores fencing
};

class Planner {
public:
  using EnsureDone = std::function<void(const EnsureReply &)>;

  Planner(Env &env, PlannerOptions options);
  ~Planner();

  void setLists(ListsPtr lists);
  /// Engines of the host list, with their liveness.
  void setEndpoints(const std::vector<ListedNode> &engines);

  /// Starts a term: claims every endpoint, reads endpoints/ objects, rebuilds the table.
  /// `formerHolderEnded` says that no process of an earlier term can still send orders.
  void lead(std::uint64_t term, bool formerHolderEnded);
  /// Orders to endpoints that ignore fencing are allowed before this moment only.
  void setOrderLimit(Instant limit);
  /// No process of an earlier term can still send orders.
  void onFormerHolderEnded();
  /// Ends the term. Nothing is decided or ordered any more.
  void resign();

  bool leading() const;
  /// True once recovery of the current term is complete.
  bool ready() const;
  std::uint64_t term() const;

  /// Asks for a replica of a model. The answer comes at once or after a platform round trip, never
  /// later than the load is recorded; it does not wait for the load itself.
  void ensure(const EnsureRequest &request, EnsureDone done);

  /// Use of models on one host, from its sync.
  void onModelLoads(const HostName &host, const std::vector<ModelLoad> &loads);
  /// Lowest table version that every live host has applied.
  void setAcknowledgedVersion(std::uint64_t version);
  /// Endpoint gets no new work and its replicas are moved; for operators.
  void drain(const EndpointName &endpoint, bool on);

  /// Housekeeping: status polls, retries, retention, prewarming. Call about every 100 ms.
  void tick();

  const RouteTable &table() const;
  std::map<EndpointName, std::vector<PlannedReplica>> replicas() const;
  std::vector<EndpointReport> endpointReports() const;
  /// Usage history of the retention policy, for the next planner.
  std::string saveHistory() const;
  void restoreHistory(std::string_view text);
  PlannerStats stats() const;
  /// Orders sent and not yet answered, of this and earlier terms. A former holder may acknowledge a
  /// newer term only when there are none: the new planner then drops what it kept for them.
  std::size_t ordersInFlight() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
