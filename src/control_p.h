#pragma once

#include "config_sync_p.h"
#include "env_p.h"
#include "guards_p.h"
#include "lease_p.h"
#include "ledger_p.h"
#include "membership_p.h"
#include "messages_p.h"
#include "planner_p.h"
#include "shares_p.h"

#include <functional>
#include <memory>
#include <string>

/// The control plane of one host: lease, planner, shares, membership and configuration. It uses Env
/// for all I/O: the daemon runs it on real I/O, the fault tests on a simulation. Single-threaded:
/// the owner calls it from one executor.
namespace catkin {

struct ControlOptions {
  Member self;                ///< this host, as reported to the planner
  std::vector<Address> peers; ///< peer addresses of the other hosts, from settings
  PlannerOptions planner;
  Guards guards;
};

/// Callbacks for the part of the host that serves requests. Unset ones are ignored.
struct ControlHooks {
  std::function<void(ListsPtr)> listsApplied;
  std::function<void(const std::vector<RouteEntry> &)> tableChanged;
  std::function<void(const std::vector<HostShare> &)> sharesChanged;
  std::function<void(const std::vector<ListedNode> &)> nodesListed;
  /// Fills models, plans and overloaded of the next sync.
  std::function<void(SyncRequest &)> fillReport;
};

/// Runs the control loop of this host: syncs with the planner, or is the planner itself.
class Control {
public:
  Control(Env &env, ControlOptions options, ControlHooks hooks);
  ~Control();

  /// Starts the configuration, the lease and the sync loop.
  void start();
  /// Reports this host as leaving, so that it gets no new work, and releases the lease. `on` =
  /// false revokes this.
  void setLeaving(bool on);
  /// Last step of a graceful stop, after all requests have ended: reports the host as gone, so that
  /// its shares are freed at once. Calls `done` when the process may exit.
  void stop(const std::function<void()> &done);

  /// Handles a call from another host (methods sync, ensure, lists, drain, drain_endpoint, view).
  /// `done` receives the result as JSON, or empty text on failure: an unknown method or malformed
  /// parameters, and for drain_endpoint and view also if this host is not the planner.
  void onCall(const std::string &method, const std::string &paramsJson,
              const std::function<void(std::string)> &done);

  /// Asks the planner, on this or another host, for a replica. Calls `done` by about the
  /// request's deadline, which is request.remaining from now.
  void ensure(const EnsureRequest &request, const std::function<void(const EnsureReply &)> &done);
  /// Call when this host's report has changed (first arrival, more waiting). Syncs with the planner
  /// at once, but at most every config::SyncPokeInterval.
  void requestSync();

  /// Fetches a view of operator_state_p.h from the planner. The result is empty if the planner does
  /// not answer or the name is unknown.
  void operatorView(const std::string &name, const std::function<void(std::string)> &done);
  /// Drains an endpoint (no new work), or ends this. Recorded in the store, so that later planners
  /// keep to it. `done` receives true once it is recorded.
  void drainEndpoint(const EndpointName &endpoint, bool on, const std::function<void(bool)> &done);
  /// Makes a host leave, or come back. `done` receives true if the host confirmed.
  void drainHost(const HostName &host, bool on, const std::function<void(bool)> &done);

  bool isReady() const; ///< the lists and a routing table are known
  bool isPlanner() const;
  /// Time until which this host may send orders to endpoints without fencing; planner only.
  Instant orderLimit() const;
  const LeaseRecord &plannerLease() const; ///< newest lease record known to this host
  ConfigSync &config();
  Membership &membership();
  Planner &planningState(); ///< meaningful on the planner
  ShareTable &shareTable(); ///< meaningful on the planner

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
