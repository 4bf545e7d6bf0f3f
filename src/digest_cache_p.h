#pragma once

#include "fleet_messages_p.h"

#include <map>
#include <optional>

/// Caches the digests that a host of a large fleet receives about other data centres. The number
/// of heartbeats would grow with the square of the fleet if every host sent them to every other
/// one. Relays therefore send one digest of their data centre to the relays of each other one,
/// which forward all digests to the hosts of their own. Callers pass in the time.
namespace catkin {

/// The newest digests of other data centres. They expire after a few seconds.
class DigestCache {
public:
  /// Stores a digest from a relay of another data centre, or the digests that a relay of this data
  /// centre has forwarded.
  void onDigests(const FleetDigests &message, Instant now);
  /// Returns the digests to forward to the hosts of this data centre. Empty if no recent digest has
  /// come from another one.
  std::optional<FleetDigests> digestsToForward(Instant now) const;
  /// Adds the requests in progress of other data centres to `loads`.
  void addLoads(LoadTotals &loads, Instant now) const;

private:
  struct ReceivedDigests {
    FleetDigests message;
    Instant receivedAt;
  };
  std::map<DataCentreName, ReceivedDigests> directDigests;
  std::optional<ReceivedDigests> forwardedDigests;
};

} // namespace catkin
