#pragma once

#include "request_limits_p.h"

#include <functional>
#include <map>

/// Issues permits for calls to endpoints that have named a limit of requests. One host issues all
/// permits for an endpoint, so that the calls of all hosts together stay within the limit, also if
/// it allows less than one call a host. Callers pass in the time.
namespace catkin {

/// Permission to make one call to an endpoint.
struct Permit {
  bool granted = false;
  /// Until the call may be made; if not granted, until it is worth asking again.
  Duration delay{};
};

/// Asks for permission to make one call to an endpoint with a limit of requests. The call can wait
/// for `maxDelay`. Calls `done` once.
using AcquirePermit = std::function<void(const EndpointIncarnation &, Duration maxDelay,
                                         std::function<void(Permit)> done)>;

/// Schedules the calls to each endpoint at even intervals.
class PermitIssuer {
public:
  /// Issues a permit for a call that can wait for `maxDelay`. This host issues the part `share` of
  /// the limit, at most 1.
  Permit issue(const RequestLimit &limit, double share, Duration maxDelay, Instant now);
  /// Forgets endpoints for which nobody has asked for a while.
  void expire(Instant now);

private:
  struct Schedule {
    Instant next;    ///< time of the next call if no burst is due
    Instant askedAt; ///< newest request for a permit
    int askers = 0;  ///< denied hosts that are assumed to ask again
  };
  std::map<EndpointIncarnation, Schedule> schedules;
};

} // namespace catkin
