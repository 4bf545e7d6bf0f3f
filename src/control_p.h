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

/// The control side of one host: lease, planner, shares, membership and configuration over Env.
/// The daemon runs it on real I/O, the fault harness on fakes. Single-threaded: the owner calls it
/// from one executor.
namespace catkin {

struct ControlOptions {
  Member self;
  std::vector<Address> peers; ///< peer addresses of the other hosts, from settings
  PlannerOptions planner;
  Guards guards;
};

/// Events for the request side of the host. Unset members are ignored.
struct ControlHooks {
  std::function<void(ListsPtr)> listsApplied;
  std::function<void(const std::vector<RouteEntry> &)> tableChanged;
  std::function<void(const std::vector<HostShare> &)> sharesChanged;
  std::function<void(const std::vector<ListedNode> &)> nodesListed;
  /// Fills models, plans and overloaded of the next sync.
  std::function<void(SyncRequest &)> fillReport;
};

class Control {
public:
  Control(Env &env, ControlOptions options, ControlHooks hooks);
  ~Control();

  void start();
  /// Announces that this host gets no new work and gives the lease up. `on` false takes it back.
  void setLeaving(bool on);
  /// Last step of a graceful stop, after all requests have ended: reports the host as gone, so that
  /// its shares return at once. `done` once the process may exit.
  void stop(const std::function<void()> &done);

  /// Handles a call from another host (methods sync, ensure, lists). `done` gets the result JSON,
  /// empty for an unknown method or malformed parameters.
  void onCall(const std::string &method, const std::string &paramsJson,
              const std::function<void(std::string)> &done);

  /// Asks the planner for a replica, wherever the planner is. Answers by `deadline` at the latest.
  void ensure(const EnsureRequest &request, const std::function<void(const EnsureReply &)> &done);
  /// Something in the host's report changed (first arrival, more waiting): sync soon.
  void requestSync();

  /// A view of operator_state_p.h, from the planner. Empty if no planner answers or the name is
  /// unknown.
  void operatorView(const std::string &name, const std::function<void(std::string)> &done);
  /// Keeps new work off an endpoint, or allows it again. Recorded, so that it outlives the planner.
  void drainEndpoint(const EndpointName &endpoint, bool on, const std::function<void(bool)> &done);
  /// Makes another host leave, or come back; true if it confirmed.
  void drainHost(const HostName &host, bool on, const std::function<void(bool)> &done);

  bool isReady() const; ///< lists and a routing table are known
  bool isPlanner() const;
  /// Until when this host may order endpoints that ignore fencing; planner only.
  Instant orderLimit() const;
  const LeaseRecord &plannerLease() const;
  ConfigSync &config();
  Membership &membership();
  Planner &planningState(); ///< meaningful on the planner
  ShareTable &shareTable(); ///< meaningful on the planner

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
