#pragma once

#include "types_p.h"

#include <map>
#include <vector>

/// Endpoints that the registry has newly called leaving or gone, for hosts of a large fleet that
/// read the registry only now and then. A later registration of the same endpoint has a higher
/// revision and is not meant. No clock of its own.
namespace catkin {

/// The registration with this revision of the store, or an older one, no longer stands.
struct Departure {
  EndpointName endpoint;
  std::uint64_t revision = 0;
  friend bool operator==(const Departure &, const Departure &) = default;
};

class DepartureLog {
public:
  void add(const Departure &departure, Instant now);
  /// Those that are recent enough for some host not to have heard of them.
  std::vector<Departure> recent(Instant now) const;
  void expire(Instant now);

private:
  struct LoggedDeparture {
    std::uint64_t revision = 0;
    Instant loggedAt;
  };
  std::map<EndpointName, LoggedDeparture> entries;
};

} // namespace catkin
