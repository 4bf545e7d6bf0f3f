#pragma once

#include "types_p.h"

#include <map>
#include <vector>

/// Records endpoints that the registry has recently reported as leaving or removed. Heartbeats
/// carry them to those hosts of a large fleet that read the registry at long intervals. A later
/// registration of the same endpoint has a higher revision and is not affected. Callers pass in the
/// time.
namespace catkin {

/// An endpoint that leaves or was removed. Its registrations with this revision of the store and
/// older ones are no longer valid.
struct Departure {
  EndpointName endpoint;
  StoreRevision revision;
  friend bool operator==(const Departure &, const Departure &) = default;
};

/// The recent departures of one host's view of the registry.
class DepartureLog {
public:
  /// Records a departure. One that is already known with the same or a newer revision is ignored.
  void add(const Departure &departure, Instant now);
  /// Returns the departures that some hosts may not have received yet.
  std::vector<Departure> recent(Instant now) const;
  /// Removes departures that are no longer announced.
  void expire(Instant now);

private:
  struct LoggedDeparture {
    StoreRevision revision;
    Instant loggedAt;
  };
  std::map<EndpointName, LoggedDeparture> entries;
};

} // namespace catkin
