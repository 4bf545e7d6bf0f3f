#pragma once

#include "env_p.h"
#include "fleet_messages_p.h"
#include "fleet_view_p.h"
#include "permit_issuer_p.h"

#include <functional>
#include <memory>

/// Obtains permits for calls to endpoints that have named a limit of requests, from the host that
/// issues them, and answers other hosts if this host does.
namespace catkin {

/// Functions that the host provides.
struct RequestPermitsHooks {
  /// Returns the host that issues the permits for the endpoint; empty if it is this host.
  std::function<Address(const EndpointName &)> issuer;
  /// Returns the part of a limit that this host may issue, 0 to 1.
  std::function<double()> share;
  std::function<void(const Address &, const FleetMessage &)> send;
};

/// The permits of one host.
class RequestPermits {
public:
  RequestPermits(CoreEnv &env, FleetView &view, RequestPermitsHooks hooks);
  ~RequestPermits();

  using Done = std::function<void(Permit)>;
  /// Asks for permission to make one call that can wait for `maxDelay`. Calls `done` once, within a
  /// fraction of a second. Without an answer of the issuer, the permit counts as denied. An
  /// endpoint without a limit needs no permit and gets one at once.
  void acquire(const EndpointIncarnation &endpoint, Duration maxDelay, Done done);
  /// Answers another host.
  void onRequest(const PermitRequest &request, const Address &from);
  void onReply(const PermitReply &reply);
  /// Forgets what is no longer needed.
  void expire();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
