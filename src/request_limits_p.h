#pragma once

#include "fleet_types_p.h"

#include <map>
#include <optional>
#include <vector>

/// The limits of requests that endpoints name in their answers. A limit binds all hosts together
/// and holds until the endpoint answers without naming it. Hosts exchange what they observe; a
/// version that grows with each observed change tells which of two observations is newer. Callers
/// pass in the time.
namespace catkin {

/// What is known about the limit of one incarnation of an endpoint.
struct RequestLimit {
  EndpointIncarnation endpoint;
  std::uint64_t version = 0; ///< number of changes that hosts have observed; 0 if none
  /// Requests a second that the endpoint takes from all hosts together. Empty if it names no limit.
  std::optional<double> perSecond;
};

/// Returns true if `a` is a newer observation of the endpoint than `b`, or a lower limit of the
/// same version.
bool isNewer(const RequestLimit &a, const RequestLimit &b);
/// Adds the limit, in place of an older one of the same endpoint.
void addNewerLimit(std::vector<RequestLimit> &limits, const RequestLimit &limit);

/// Keeps the newest known limit of each endpoint.
class RequestLimits {
public:
  /// An answer of the endpoint to a call that was sent at `sentAt` names the limit `perSecond`, or
  /// none. An answer without a limit counts only if its call was sent after the newest answer with
  /// one. Returns true if the known limit changes.
  bool onAnswer(const EndpointIncarnation &endpoint, std::optional<double> perSecond,
                Instant sentAt, Instant now);
  /// Another host has observed this limit. Returns true if the known limit changes.
  bool onReportedByHost(const RequestLimit &limit, Instant now);
  /// Returns the known limit; one of version 0 if none has been observed.
  RequestLimit find(const EndpointIncarnation &endpoint) const;
  /// Returns the limits that this host should announce to other hosts: those that answers to itself
  /// have named, changed or ended a short time ago.
  std::vector<RequestLimit> toAnnounce(Instant now) const;
  /// Forgets limits that have ended long ago, and those of endpoints that have not been heard for
  /// so long that they must have stopped.
  void expire(Instant now);

private:
  struct Entry {
    RequestLimit limit;
    Instant namedAt; ///< newest answer or report that names the limit, or ends it
    Instant announceUntil;
  };
  std::map<EndpointIncarnation, Entry> entries;
};

} // namespace catkin
