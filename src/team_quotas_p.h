#pragma once

#include "env_p.h"
#include "fleet_messages_p.h"
#include "fleet_peers_p.h"
#include "fleet_view_p.h"
#include "quota_issuer_p.h"

#include <functional>
#include <memory>

/// Charges requests to the quotas of teams at the host that issues them, and answers other hosts if
/// this host does. The issuer is the responsible host for "quota/" and the team's name.
namespace catkin {

/// Functions that the host provides.
struct TeamQuotasHooks {
  std::function<bool()> leaving; ///< true if this host stops
  std::function<void(const Address &, const FleetMessage &)> send;
};

/// The quotas as one host sees them.
class TeamQuotas {
public:
  TeamQuotas(CoreEnv &env, FleetView &view, const FleetPeers &peers, QuotaOptions options,
             TeamQuotasHooks hooks);
  ~TeamQuotas();

  using Done = std::function<void(QuotaDecision)>;
  /// Charges `cost` to the team's quota. Calls `done` once, within a fraction of a second.
  void acquire(const Team &team, double cost, Done done);
  /// Handles a message about quotas. Others are ignored.
  void onMessage(const FleetMessage &message, const Address &from);
  /// Checks which quotas this host issues and forgets what is no longer needed. To be called at
  /// every heartbeat, since it also detects that the host was stopped for a while.
  void expire();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
