#pragma once

#include "config.h"
#include "config_catch_up_p.h"
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
  /// Of those in other ones.
  std::vector<Address> distantAddresses() const;
  /// In other data centres, the few hosts of each that pass messages on to the others there.
  std::vector<Address> relayAddresses(Instant now) const;
  /// One of them for each other data centre.
  std::vector<Address> relayAddressEach(Instant now, std::uint64_t random) const;
  /// Of all hosts in other data centres from which nothing has been heard for a while.
  std::vector<Address> unheardAddresses(Instant now) const;
  /// What this host has heard of its own data centre, with its own `state` and that of its planner.
  DataCentreDigest makeDigest(const FleetHeartbeat &state, Instant now) const;
  void onDigest(const DataCentreDigest &digest, Instant now);
  int hostCount() const { return static_cast<int>(peers.size()) + 1; } ///< with this host
  /// Hosts that may become the planner: alive, in touch with the store, and not much weaker than
  /// the best. This host is in touch if `storeConnected`.
  std::vector<HostName> plannerCandidates(bool storeConnected, Instant now) const;
  /// Hosts that share the work, this one included; at least 1.
  int aliveCount(Instant now) const;
  /// Too many live hosts for all to watch closely and report at every interval.
  bool isLargeFleet(Instant now) const { return aliveCount(now) > config::FleetMaxSmallFleetHosts; }
  /// True if this host is one of the few of its data centre that watch the store closely and pass
  /// on what other data centres say. All hosts of a small fleet watch closely.
  bool isSentinel(bool storeConnected, Instant now) const;
  /// True if a host of this data centre that watches the store closely was heard a moment ago.
  bool hearsSentinel(Instant now) const;
  /// The other live hosts and the configurations that they say are in force. Of a host in another
  /// data centre of a large fleet, the newest one in force there is known.
  std::vector<ConfigHolder> configHolders(Instant now) const;
  /// Requests of other hosts in progress, by endpoint.
  std::map<EndpointName, int> loads(Instant now) const;
  /// Only those of hosts in this data centre.
  std::map<EndpointName, int> nearbyLoads(Instant now) const;
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
  using RankedPeers = std::map<DataCentreName, std::vector<const Peer *>>;
  /// In each data centre, the few other hosts that watch closely and pass messages on, unless this
  /// one comes before them.
  RankedPeers firstInRank(Instant now) const;
  bool alive(const Peer &peer, Instant now) const;
  bool inTouch(const Peer &peer, Instant now) const;
  bool isNearby(const Peer &peer) const { return peer.entry.dataCentre == self.dataCentre; }
  std::map<DataCentreName, std::vector<Address>> relays(Instant now) const;

  FleetHostEntry self;
  std::map<HostName, Peer> peers;
};

} // namespace catkin
