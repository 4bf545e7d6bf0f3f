#pragma once

#include "types_p.h"

#include <map>
#include <vector>

/// What endpoints have said about themselves in their answers: that they leave, or that they want
/// no requests for a while. It holds for one incarnation of an endpoint, whatever the registry
/// says, and survives a registration that lapses and returns. No clock of its own.
namespace catkin {

/// An endpoint that leaves, as one of its answers said.
struct LeavingEndpoint {
  EndpointName endpoint;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const LeavingEndpoint &, const LeavingEndpoint &) = default;
};

class EndpointSignals {
public:
  /// An answer to this host said that the endpoint leaves. False if that was known.
  bool onLeaving(const LeavingEndpoint &endpoint, Instant now);
  /// Another host says so.
  bool onLeavingReportedByHost(const LeavingEndpoint &endpoint, Instant now);
  bool isLeaving(const LeavingEndpoint &endpoint) const;
  /// The endpoint wants no request from this host before `until`. A shorter time than one that was
  /// asked for earlier changes nothing.
  void onBackoff(const EndpointName &name, std::uint64_t incarnation, Instant until);
  /// When the endpoint takes requests again; in the past if it does now.
  Instant backoffUntil(const EndpointName &name, std::uint64_t incarnation) const;
  /// Those that other hosts should hear of: learnt from answers to this host a short time ago.
  std::vector<LeavingEndpoint> leavingToAnnounce(Instant now) const;
  /// Forgets endpoints that must have ended long ago.
  void expire(Instant now);

private:
  struct Leaving {
    Instant since;
    bool reportedByHost = false; ///< from another host, which tells the others itself
  };
  struct Backoff {
    std::uint64_t incarnation = 0;
    Instant until;
  };
  std::map<LeavingEndpoint, Leaving> leaving;
  std::map<EndpointName, Backoff> backoffs;
};

} // namespace catkin
