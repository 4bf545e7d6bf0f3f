#pragma once

#include "fleet_types_p.h"

#include <map>
#include <optional>
#include <vector>

/// Protects one host's knowledge of endpoints against a registry that has come back from an older
/// copy: an endpoint that has left since, or an earlier incarnation of one, is in the copy as if it
/// ran. Such registrations are held back until the registry must have removed or replaced them.
/// Callers pass in the time.
namespace catkin {

class RestoreGuard {
public:
  /// The registration of the endpoint was removed. `wasLeaving`: it had announced that before.
  void onDeparted(const EndpointIncarnation &endpoint, bool wasLeaving, Instant now);
  /// The registration is in force.
  void onRegistered(const EndpointIncarnation &endpoint) { departed.erase(endpoint); }
  /// The registry has come back from an older copy. Returns the endpoints that had announced that
  /// they leave before their registration was removed: none of them runs again.
  std::vector<EndpointIncarnation> onRestored(Instant now);
  /// Returns true if the registration contradicts what was known before the restore. `known` is the
  /// newest incarnation known of this endpoint.
  bool contradicts(const FleetEndpoint &entry, std::optional<std::uint64_t> known,
                   Instant now) const;
  /// Holds the registration back.
  void hold(FleetEndpoint entry);
  /// Drops the registration of the endpoint that is held back, if there is one.
  void drop(const EndpointName &endpoint) { held.erase(endpoint); }
  /// Returns the registrations that the registry still has after the time in which it would have
  /// removed them. They are no longer held back.
  std::vector<FleetEndpoint> takeConfirmed(Instant now);
  void expire(Instant now);

private:
  struct Departed {
    Instant at;
    bool wasLeaving = false;
  };
  std::map<EndpointIncarnation, Departed> departed;
  std::map<EndpointName, FleetEndpoint> held;
  Instant guardedUntil;
};

} // namespace catkin
