#pragma once

#include "config.h"
#include "fleet_messages_p.h"

#include <map>
#include <vector>

/// The other hosts of the fleet: registered in the platform's store, alive by their heartbeats.
namespace catkin {

/// A host as it registered itself.
struct FleetHostEntry {
  HostName host;
  std::uint64_t incarnation = 0;
  Address callerAddress;
  Address peerAddress;
  DataCentreName dataCentre;
  /// Share of what the planner of a large fleet needs in processor time and bandwidth, 0 to 1.
  double capacity = 1;
};
/// The registration as stored, and read again. Empty if the text is not one.
std::string formatHostEntry(const FleetHostEntry &entry);
std::optional<FleetHostEntry> parseHostEntry(std::string_view text);

class FleetPeers {
public:
  explicit FleetPeers(FleetHostEntry self) : self(std::move(self)) {}

  void put(const FleetHostEntry &entry);
  void remove(const HostName &host);
  void onHeartbeat(const FleetHeartbeat &heartbeat, Instant now);
  /// Addresses of all other registered hosts.
  std::vector<Address> peerAddresses() const;
  /// Of those in this host's data centre.
  std::vector<Address> nearbyAddresses() const;
  int hostCount() const { return static_cast<int>(peers.size()) + 1; } ///< with this host
  /// Hosts that may become the planner: alive, in touch with the store, and not much weaker than
  /// the best. This host is in touch if `storeConnected`.
  std::vector<HostName> plannerCandidates(bool storeConnected, Instant now) const;
  /// Hosts that share the work, this one included; at least 1.
  int aliveCount(Instant now) const;
  /// Too many live hosts for all to watch closely and report at every interval.
  bool isLargeFleet(Instant now) const { return aliveCount(now) > config::FleetSmallFleet; }
  /// True if this host is one of the few that watch the configuration closely, since all others
  /// learn from heartbeats that there is a new one. All hosts of a small fleet do.
  bool isSentinel(bool storeConnected, Instant now) const;
  /// The newest configuration that a live host says is in force.
  std::uint64_t newestConfig(Instant now) const;
  /// Requests of other hosts in progress, by endpoint.
  std::map<EndpointName, int> loads(Instant now) const;
  /// Where a caller in `dataCentre` should connect: hosts there if at least two are ready, else all
  /// that are ready. This host counts as ready if `selfReady`. When no other host is heard, this
  /// one may be the one that is cut off, and all registered hosts are given.
  std::vector<Address> callerAddresses(const DataCentreName &dataCentre, bool selfReady,
                                       Instant now) const;

private:
  struct Peer {
    FleetHostEntry entry;
    FleetHeartbeat heartbeat;
    std::optional<Instant> heardAt;
  };
  bool alive(const Peer &peer, Instant now) const;

  FleetHostEntry self;
  std::map<HostName, Peer> peers;
};

} // namespace catkin
