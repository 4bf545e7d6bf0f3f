#pragma once

#include "fleet_messages_p.h"

#include <map>
#include <optional>

/// What a host of a large fleet has heard of other data centres. The load it answers: heartbeats of
/// every host to every other grow with the square of the fleet. So relays send one digest of their
/// data centre to relays of each other one, which pass all of them on to their neighbours. No clock
/// of its own.
namespace catkin {

class DigestCache {
public:
  /// A digest from a relay of another data centre, or several passed on by a neighbour.
  void onDigests(const FleetDigests &message, Instant now);
  /// To pass on to the hosts of this data centre; empty if nothing new has come from other ones.
  std::optional<FleetDigests> digestsToForward(Instant now) const;
  /// Adds the requests in progress of other data centres to `loads`.
  void addLoads(std::map<EndpointName, int> &loads, Instant now) const;

private:
  struct ReceivedDigests {
    FleetDigests message;
    Instant receivedAt;
  };
  std::map<DataCentreName, ReceivedDigests> directDigests;
  std::optional<ReceivedDigests> forwardedDigests;
};

} // namespace catkin
