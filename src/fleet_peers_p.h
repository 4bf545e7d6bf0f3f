#pragma once

#include "config.h"
#include "config_catch_up_p.h"
#include "fleet_messages_p.h"

#include <map>
#include <vector>

/// Membership of the fleet as one host sees it. The other hosts are known by their registration in
/// the platform's store and count as alive by their heartbeats.
namespace catkin {

/// Registration of a host.
struct FleetHostEntry {
  HostName host;
  std::uint64_t incarnation = 0;
  Address callerAddress;
  Address peerAddress;
  DataCentreName dataCentre;
  /// Processor time and bandwidth of the host as a share of what the planner of a large fleet
  /// needs, 0 to 1.
  double capacity = 1;
};
/// Encodes a registration for the store.
std::string formatHostEntry(const FleetHostEntry &entry);
/// Decodes a stored registration. Empty if the text is invalid.
std::optional<FleetHostEntry> parseHostEntry(std::string_view text);

/// The other hosts, their state and the messages' recipients among them.
class FleetPeers {
public:
  explicit FleetPeers(FleetHostEntry self) : self(std::move(self)) {}

  /// Adds or updates a host. A new incarnation counts as silent until its first heartbeat.
  void put(const FleetHostEntry &entry);
  /// Removes a host whose registration is gone.
  void remove(const HostName &host);
  /// Returns true if this host must answer a heartbeat with its own. A host that stops has no
  /// registration any more, so one that has started since does not send it heartbeats by itself;
  /// the former must hear it all the same, to pass on its records of streams. A stopping host
  /// answers nobody, or two of them would answer each other without end.
  bool mustAnswer(const FleetHeartbeat &heartbeat, bool selfLeaving) const {
    return heartbeat.leaving && !selfLeaving && peers.count(heartbeat.host) == 0;
  }
  /// Records a heartbeat. One of an unknown host or of an older incarnation is ignored. Returns the
  /// address of the host if this incarnation was not alive before.
  std::optional<Address> onHeartbeat(const FleetHeartbeat &heartbeat, Instant now);
  /// Returns the addresses of all other registered hosts.
  std::vector<Address> peerAddresses() const;
  /// Returns the addresses of the other hosts in this host's data centre.
  std::vector<Address> nearbyAddresses() const;
  /// Returns the addresses of the hosts in other data centres.
  std::vector<Address> distantAddresses() const;
  /// Returns the addresses of all relays: the few hosts of each other data centre that forward
  /// messages to the rest of it.
  std::vector<Address> relayAddresses(Instant now) const;
  /// Returns the address of one relay for each other data centre.
  std::vector<Address> oneRelayPerDataCentre(Instant now, std::uint64_t random) const;
  /// Returns the addresses of all hosts in other data centres from which neither a heartbeat nor a
  /// digest has arrived for a while.
  std::vector<Address> silentDataCentreAddresses(Instant now) const;
  /// Returns the digest of this data centre from this host's own `state` and the heartbeats of the
  /// others.
  DataCentreDigest makeDigest(const FleetHeartbeat &state, Instant now) const;
  /// Applies the digest of another data centre to its hosts. Returns the addresses of those that
  /// were not alive before.
  std::vector<Address> onDigest(const DataCentreDigest &digest, Instant now);
  /// Returns the number of registered hosts, this one included.
  int hostCount() const { return static_cast<int>(peers.size()) + 1; }
  /// Returns the hosts that may become the planner: alive, connected to the store, not leaving, and
  /// with at least half the capacity of the strongest of them. This host is included if
  /// `storeConnected`.
  std::vector<HostName> plannerCandidates(bool storeConnected, Instant now) const;
  /// Returns the one host that acts for the fleet in a matter, such as the permits for calls to an
  /// endpoint. `key` names the matter. It is one of the live hosts that are not leaving. Empty if
  /// that is this host, which counts unless it is `leaving`.
  Address responsibleHost(std::string_view key, bool leaving, Instant now) const;
  /// Returns the first `n` of the hosts among which responsibleHost() chooses the first, in order.
  /// This host has an empty address.
  std::vector<Address> responsibleHosts(std::string_view key, int n, bool leaving,
                                        Instant now) const;
  /// Returns the first `n` other hosts for a matter, in an order that hosts with the same view
  /// share and that changes little when hosts come or go. Live hosts that are not leaving come
  /// first.
  std::vector<Address> rankedHosts(std::uint64_t key, int n, Instant now) const;
  /// Returns the part of a limit that this host may issue, at most 1. If the fleet is partitioned,
  /// the parts of the issuers on all sides add up to little more than 1.
  double permitShare(Instant now) const;
  /// Returns the share of the registered hosts that are alive, 0 to 1.
  double aliveShare(Instant now) const {
    return static_cast<double>(aliveCount(now)) / hostCount();
  }
  /// Returns the number of live hosts, this one included; at least 1.
  int aliveCount(Instant now) const;
  /// Returns true if there are too many live hosts for each to watch the store with short limits
  /// and report at every interval.
  bool isLargeFleet(Instant now) const { return aliveCount(now) > config::FleetMaxSmallFleetHosts; }
  /// Returns true if this host is a sentinel: one of the few hosts of its data centre that watch
  /// the store closely and relay messages of other data centres. In a small fleet every host is
  /// one.
  bool isSentinel(bool storeConnected, Instant now) const;
  /// Returns true if a recent heartbeat of another sentinel of this data centre has arrived.
  bool hasLiveSentinel(Instant now) const;
  /// Returns the other live hosts in the order in which this one asks them whether its
  /// configuration is current: sentinels of its data centre, then the others. `random` decides
  /// among equals.
  std::vector<Address> freshnessSources(Instant now, std::uint64_t random) const;
  /// Returns the other live hosts and the configuration versions in force on them. In a large
  /// fleet, a host in another data centre is given the newest version in force anywhere in it.
  std::vector<ConfigHolder> configHolders(Instant now) const;
  /// Returns the requests in progress of other live hosts, by endpoint.
  LoadTotals loads(Instant now) const;
  /// Returns the requests in progress of other live hosts in this data centre, by endpoint.
  LoadTotals nearbyLoads(Instant now) const;
  /// Returns the addresses for a caller in `dataCentre`: the ready hosts there if there are at
  /// least two, otherwise all ready hosts. This host counts as ready if `selfReady`. If no other
  /// host is alive, this host may be the one that is partitioned, so all registered hosts are
  /// returned.
  std::vector<Address> callerAddresses(const DataCentreName &dataCentre, bool selfReady,
                                       Instant now) const;

private:
  /// A registered host with its newest heartbeat.
  struct Peer {
    FleetHostEntry entry;
    FleetHeartbeat heartbeat;
    std::optional<Instant> heardAt;
  };
  using PeersByDataCentre = std::map<DataCentreName, std::vector<const Peer *>>;
  /// Returns the first few eligible other hosts of each data centre in the order of relayRank().
  /// These are its sentinels and relays. This host is never included, even if it ranks before them.
  PeersByDataCentre topRankedPeers(Instant now) const;
  /// Returns true if the newest heartbeat or digest of the host is recent enough.
  bool isAlive(const Peer &peer, Instant now) const;
  /// Returns true if the host may be planner, sentinel or relay.
  bool isEligible(const Peer &peer, Instant now) const;
  bool isNearby(const Peer &peer) const { return peer.entry.dataCentre == self.dataCentre; }
  /// Returns the addresses of the relays of each other data centre.
  std::map<DataCentreName, std::vector<Address>> relays(Instant now) const;

  FleetHostEntry self;
  std::map<HostName, Peer> peers;
};

} // namespace catkin
