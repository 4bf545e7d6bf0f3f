#include "fleet_peers_p.h"

#include "json_p.h"

#include <algorithm>

#include <xxhash.h>

namespace catkin {

std::string formatHostEntry(const FleetHostEntry &entry) {
  return json::serialize(json::object{{"host", entry.host.value},
                                      {"incarnation", entry.incarnation},
                                      {"caller_address", entry.callerAddress.toString()},
                                      {"peer_address", entry.peerAddress.toString()},
                                      {"data_centre", entry.dataCentre.value},
                                      {"capacity", entry.capacity}});
}

std::optional<FleetHostEntry> parseHostEntry(std::string_view text) {
  json::object object;
  if (!parseObject(text, object))
    return std::nullopt;
  JsonReader in(object);
  FleetHostEntry entry{.host = in.name<HostName>("host"),
                       .incarnation = in.unsignedInt("incarnation"),
                       .callerAddress = in.address("caller_address"),
                       .peerAddress = in.address("peer_address"),
                       .dataCentre = in.name<DataCentreName>("data_centre"),
                       .capacity = in.number("capacity")};
  bool whole = in.ok && !entry.host.empty() && !entry.peerAddress.empty();
  return whole ? std::optional(entry) : std::nullopt;
}

void FleetPeers::put(const FleetHostEntry &entry) {
  if (entry.host == self.host)
    return;
  auto &peer = peers[entry.host];
  if (peer.entry.incarnation != entry.incarnation)
    peer = {};
  peer.entry = entry;
}

void FleetPeers::remove(const HostName &host) { peers.erase(host); }

void FleetPeers::onHeartbeat(const FleetHeartbeat &heartbeat, Instant now) {
  auto it = peers.find(heartbeat.host);
  if (it == peers.end() || it->second.entry.incarnation > heartbeat.incarnation)
    return;
  it->second.heartbeat = heartbeat;
  it->second.heardAt = now;
}

bool FleetPeers::alive(const Peer &peer, Instant now) const {
  const bool nearby = peer.entry.dataCentre == self.dataCentre;
  const Duration limit =
      nearby ? config::FleetPeerSilentAfter : config::FleetDistantPeerSilentAfter;
  return peer.heardAt && now - *peer.heardAt < limit;
}

std::vector<Address> FleetPeers::peerAddresses() const {
  std::vector<Address> out;
  for (auto &[host, peer] : peers)
    out.push_back(peer.entry.peerAddress);
  return out;
}

std::vector<Address> FleetPeers::nearbyAddresses() const {
  std::vector<Address> out;
  for (auto &[host, peer] : peers)
    if (peer.entry.dataCentre == self.dataCentre)
      out.push_back(peer.entry.peerAddress);
  return out;
}

std::vector<HostName> FleetPeers::plannerCandidates(bool storeConnected, Instant now) const {
  constexpr double ShareOfBest = 0.5;
  std::vector<const FleetHostEntry *> fit;
  if (storeConnected)
    fit.push_back(&self);
  for (auto &[host, peer] : peers)
    if (alive(peer, now) && peer.heartbeat.storeConnected && !peer.heartbeat.leaving)
      fit.push_back(&peer.entry);
  double best = 0;
  for (auto *it : fit)
    best = std::max(best, it->capacity);
  std::vector<HostName> out;
  for (auto *it : fit)
    if (it->capacity >= best * ShareOfBest)
      out.push_back(it->host);
  return out;
}

int FleetPeers::aliveCount(Instant now) const {
  auto n =
      std::count_if(peers.begin(), peers.end(), [&](auto &it) { return alive(it.second, now); });
  return static_cast<int>(n) + 1;
}

bool FleetPeers::isSentinel(bool storeConnected, Instant now) const {
  if (!isLargeFleet(now))
    return true;
  if (!storeConnected)
    return false;
  // By a hash, since names of one data centre follow each other.
  auto rank = [](const HostName &host) { return XXH64(host.value.data(), host.value.size(), 0); };
  const auto ahead = std::count_if(peers.begin(), peers.end(), [&](auto &it) {
    auto &peer = it.second;
    return alive(peer, now) && peer.heartbeat.storeConnected && !peer.heartbeat.leaving &&
           rank(it.first) < rank(self.host);
  });
  return ahead < config::FleetSentinels;
}

std::uint64_t FleetPeers::newestConfig(Instant now) const {
  std::uint64_t newest = 0;
  for (auto &[host, peer] : peers)
    if (alive(peer, now))
      newest = std::max(newest, peer.heartbeat.configVersion);
  return newest;
}

std::map<EndpointName, int> FleetPeers::loads(Instant now) const {
  std::map<EndpointName, int> total;
  for (auto &[host, peer] : peers) {
    if (!alive(peer, now))
      continue;
    for (auto &it : peer.heartbeat.loads)
      total[it.endpoint] += it.inFlight;
  }
  return total;
}

std::vector<Address> FleetPeers::callerAddresses(const DataCentreName &dataCentre, bool selfReady,
                                                 Instant now) const {
  constexpr std::size_t EnoughNearby = 2;
  std::vector<Address> nearby;
  std::vector<Address> all;
  auto add = [&](const FleetHostEntry &entry) {
    all.push_back(entry.callerAddress);
    if (entry.dataCentre == dataCentre)
      nearby.push_back(entry.callerAddress);
  };
  if (selfReady)
    add(self);
  bool anyAlive = false;
  for (auto &[host, peer] : peers) {
    bool usable = alive(peer, now) && peer.heartbeat.ready && !peer.heartbeat.leaving;
    anyAlive = anyAlive || alive(peer, now);
    if (usable)
      add(peer.entry);
  }
  if (!anyAlive)
    for (auto &[host, peer] : peers)
      add(peer.entry);
  return nearby.size() >= EnoughNearby ? nearby : all;
}

} // namespace catkin
