#pragma once

#include "request_limits_p.h"

#include <map>
#include <vector>

/// What endpoints have announced in their answers: that they are about to stop, or that they want
/// no requests for some time. An announcement holds for one incarnation of an endpoint, overrides
/// the registry, and survives a registration that expires and is renewed. Callers pass in the time.
namespace catkin {

/// Keeps the announcements of all endpoints.
class EndpointSignals {
public:
  /// An answer to this host announced that the endpoint is leaving. Returns false if that was
  /// already known.
  bool onLeaving(const EndpointIncarnation &endpoint, Instant now);
  /// Another host has reported that the endpoint is leaving. Returns false if that was already
  /// known.
  bool onLeavingReportedByHost(const EndpointIncarnation &endpoint, Instant now);
  bool isLeaving(const EndpointIncarnation &endpoint) const;
  /// The endpoint wants no request from this host before `until`. An earlier time than one
  /// requested before by the same incarnation changes nothing.
  void onBackoff(const EndpointName &name, std::uint64_t incarnation, Instant until);
  /// The limits of requests that endpoints have named.
  const RequestLimits &limits() const { return requestLimits; }
  RequestLimits &limits() { return requestLimits; }
  /// Returns when the endpoint accepts requests again; a time in the past if it accepts them now.
  Instant backoffUntil(const EndpointName &name, std::uint64_t incarnation) const;
  /// Returns the leaving endpoints that this host should announce to other hosts: those that it
  /// learnt of from answers to itself a short time ago.
  std::vector<EndpointIncarnation> leavingToAnnounce(Instant now) const;
  /// Forgets endpoints that must have stopped long ago, and backoffs that have ended.
  void expire(Instant now);

private:
  struct Leaving {
    Instant since;
    /// Learnt from another host, which announces it to all hosts itself.
    bool reportedByHost = false;
  };
  struct Backoff {
    std::uint64_t incarnation = 0;
    Instant until;
  };
  std::map<EndpointIncarnation, Leaving> leaving;
  std::map<EndpointName, Backoff> backoffs;
  RequestLimits requestLimits;
};

} // namespace catkin
