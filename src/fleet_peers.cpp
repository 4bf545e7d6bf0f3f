#include "fleet_peers_p.h"

#include "json_p.h"

#include <algorithm>

#include <xxhash.h>

namespace catkin {

namespace {

// Share of what the planner of a large fleet needs. Hosts with less become relays only in data
// centres without stronger ones.
constexpr double MinRelayCapacity = 0.4;
// Two lost digests of a data centre and some delay.
constexpr Duration DataCentreSilentAfter = std::chrono::milliseconds(2500);

/// Orders hosts for the choice of relays, lowest first: those with enough capacity, then by a hash
/// of the name, since the names of one data centre are consecutive.
std::pair<bool, std::uint64_t> relayRank(const FleetHostEntry &entry) {
  auto &name = entry.host.value;
  return {entry.capacity < MinRelayCapacity, XXH64(name.data(), name.size(), 0)};
}

/// Orders hosts for a matter, the responsible one first.
std::pair<bool, std::uint64_t> responsibilityRank(const FleetHostEntry &entry,
                                                  std::string_view key) {
  const auto [isWeak, hash] = relayRank(entry);
  return {isWeak, XXH64(key.data(), key.size(), hash)};
}

} // namespace

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
  bool valid = in.ok && !entry.host.empty() && !entry.peerAddress.empty();
  return valid ? std::optional(entry) : std::nullopt;
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

std::optional<Address> FleetPeers::onHeartbeat(const FleetHeartbeat &heartbeat, Instant now) {
  auto it = peers.find(heartbeat.host);
  if (it == peers.end() || it->second.entry.incarnation > heartbeat.incarnation)
    return std::nullopt;
  const bool wasAlive =
      isAlive(it->second, now) && it->second.heartbeat.incarnation == heartbeat.incarnation;
  it->second.heartbeat = heartbeat;
  it->second.heardAt = now;
  return wasAlive ? std::nullopt : std::optional(it->second.entry.peerAddress);
}

bool FleetPeers::isAlive(const Peer &peer, Instant now) const {
  const Duration limit =
      isNearby(peer) ? config::FleetPeerSilentAfter : config::FleetDistantPeerSilentAfter;
  return peer.heardAt && now - *peer.heardAt < limit;
}

bool FleetPeers::isEligible(const Peer &peer, Instant now) const {
  return isAlive(peer, now) && peer.heartbeat.storeConnected && !peer.heartbeat.leaving;
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
    if (isNearby(peer))
      out.push_back(peer.entry.peerAddress);
  return out;
}

std::vector<Address> FleetPeers::distantAddresses() const {
  std::vector<Address> out;
  for (auto &[host, peer] : peers)
    if (!isNearby(peer))
      out.push_back(peer.entry.peerAddress);
  return out;
}

std::vector<HostName> FleetPeers::plannerCandidates(bool storeConnected, Instant now) const {
  constexpr double MinCapacityRatio = 0.5;
  std::vector<const FleetHostEntry *> eligible;
  if (storeConnected)
    eligible.push_back(&self);
  for (auto &[host, peer] : peers)
    if (isEligible(peer, now))
      eligible.push_back(&peer.entry);
  double maxCapacity = 0;
  for (auto *it : eligible)
    maxCapacity = std::max(maxCapacity, it->capacity);
  std::vector<HostName> out;
  for (auto *it : eligible)
    if (it->capacity >= maxCapacity * MinCapacityRatio)
      out.push_back(it->host);
  return out;
}

Address FleetPeers::responsibleHost(std::string_view key, bool leaving, Instant now) const {
  auto rank = [&](const FleetHostEntry &entry) { return responsibilityRank(entry, key); };
  const FleetHostEntry *best = leaving ? nullptr : &self;
  for (auto &[host, peer] : peers)
    if (isAlive(peer, now) && !peer.heartbeat.leaving && (!best || rank(peer.entry) < rank(*best)))
      best = &peer.entry;
  return best && best != &self ? best->peerAddress : Address{};
}

std::vector<Address> FleetPeers::responsibleHosts(std::string_view key, int n, bool leaving,
                                                  Instant now) const {
  std::vector<std::pair<std::pair<bool, std::uint64_t>, const FleetHostEntry *>> ranked;
  ranked.reserve(peers.size() + 1);
  if (!leaving)
    ranked.emplace_back(responsibilityRank(self, key), &self);
  for (auto &[host, peer] : peers)
    if (isAlive(peer, now) && !peer.heartbeat.leaving)
      ranked.emplace_back(responsibilityRank(peer.entry, key), &peer.entry);
  const auto count = std::min(ranked.size(), static_cast<std::size_t>(n));
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), [](auto &a, auto &b) { return a.first < b.first; });
  std::vector<Address> out;
  for (std::size_t i = 0; i < count; ++i)
    out.push_back(ranked[i].second == &self ? Address{} : ranked[i].second->peerAddress);
  return out;
}

std::vector<Address> FleetPeers::rankedHosts(std::uint64_t key, int n, Instant now) const {
  std::vector<std::pair<std::pair<bool, std::uint64_t>, const Address *>> ranked;
  ranked.reserve(peers.size());
  for (auto &[host, peer] : peers) {
    const bool serves = isAlive(peer, now) && !peer.heartbeat.leaving;
    const auto hash = XXH64(host.value.data(), host.value.size(), key);
    ranked.push_back({{!serves, hash}, &peer.entry.peerAddress});
  }
  const auto count = std::min(ranked.size(), static_cast<std::size_t>(n));
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), [](auto &a, auto &b) { return a.first < b.first; });
  std::vector<Address> out;
  for (std::size_t i = 0; i < count; ++i)
    out.push_back(*ranked[i].second);
  return out;
}

double FleetPeers::permitShare(Instant now) const {
  constexpr double MaxSumOfShares = 1.4; // endpoints tolerate half as much again as their limit
  return std::min(1.0, MaxSumOfShares * aliveShare(now));
}

int FleetPeers::aliveCount(Instant now) const {
  auto n =
      std::count_if(peers.begin(), peers.end(), [&](auto &it) { return isAlive(it.second, now); });
  return static_cast<int>(n) + 1;
}

bool FleetPeers::isSentinel(bool storeConnected, Instant now) const {
  if (!isLargeFleet(now))
    return true;
  if (!storeConnected)
    return false;
  const auto topRanked = topRankedPeers(now)[self.dataCentre];
  const auto ahead = std::count_if(topRanked.begin(), topRanked.end(), [&](auto *it) {
    return relayRank(it->entry) < relayRank(self);
  });
  return ahead < config::FleetSentinels;
}

bool FleetPeers::hasLiveSentinel(Instant now) const {
  // The top-ranked hosts are sentinels or become so at their next heartbeat.
  const auto topRanked = topRankedPeers(now)[self.dataCentre];
  return std::any_of(topRanked.begin(), topRanked.end(), [&](auto *it) {
    return now - *it->heardAt < config::FleetSentinelSilentAfter;
  });
}

FleetPeers::PeersByDataCentre FleetPeers::topRankedPeers(Instant now) const {
  PeersByDataCentre out;
  for (auto &[host, peer] : peers)
    if (isEligible(peer, now))
      out[peer.entry.dataCentre].push_back(&peer);
  for (auto &[dataCentre, hosts] : out) {
    std::sort(hosts.begin(), hosts.end(),
              [](auto *a, auto *b) { return relayRank(a->entry) < relayRank(b->entry); });
    hosts.resize(std::min<std::size_t>(hosts.size(), config::FleetSentinels));
  }
  return out;
}

std::map<DataCentreName, std::vector<Address>> FleetPeers::relays(Instant now) const {
  std::map<DataCentreName, std::vector<Address>> out;
  for (auto &[dataCentre, hosts] : topRankedPeers(now))
    for (auto *it : hosts)
      if (!isNearby(*it))
        out[dataCentre].push_back(it->entry.peerAddress);
  return out;
}

std::vector<Address> FleetPeers::relayAddresses(Instant now) const {
  std::vector<Address> out;
  for (auto &[dataCentre, addresses] : relays(now))
    out.insert(out.end(), addresses.begin(), addresses.end());
  return out;
}

std::vector<Address> FleetPeers::oneRelayPerDataCentre(Instant now, std::uint64_t random) const {
  std::vector<Address> out;
  for (auto &[dataCentre, addresses] : relays(now))
    out.push_back(addresses[random % addresses.size()]);
  return out;
}

std::vector<Address> FleetPeers::silentDataCentreAddresses(Instant now) const {
  std::map<DataCentreName, Instant> heard;
  for (auto &[host, peer] : peers) {
    auto &at = heard.try_emplace(peer.entry.dataCentre, Instant{}).first->second;
    at = std::max(at, peer.heardAt.value_or(Instant{}));
  }
  std::vector<Address> out;
  for (auto &[host, peer] : peers)
    if (!isNearby(peer) && now - heard[peer.entry.dataCentre] >= DataCentreSilentAfter)
      out.push_back(peer.entry.peerAddress);
  return out;
}

namespace {

/// Adds what a live host announces to the digest of its data centre.
void addAnnouncements(const FleetHeartbeat &heartbeat, const Address &address,
                      DataCentreDigest &digest) {
  digest.configVersion = std::max(digest.configVersion, heartbeat.configVersion);
  auto &leaving = digest.leavingEndpoints;
  for (auto &it : heartbeat.leavingEndpoints)
    if (std::count(leaving.begin(), leaving.end(), it) == 0)
      leaving.push_back(it);
  for (auto &it : heartbeat.limits)
    addNewerLimit(digest.limits, it);
  if (heartbeat.plannerTerm <= digest.plannerTerm)
    return;
  digest.plannerTerm = heartbeat.plannerTerm;
  digest.plannerAddress = address;
}

/// Adds the host to the digest unless it is alive and well.
void addIfUnhealthy(const HostName &host, bool alive, const FleetHeartbeat &heartbeat,
                    DataCentreDigest &digest) {
  const HostStatus status{host, alive, heartbeat.ready, heartbeat.leaving,
                          heartbeat.storeConnected};
  if (!status.alive || !status.ready || status.leaving || !status.storeConnected)
    digest.unhealthyHosts.push_back(status);
}

} // namespace

DataCentreDigest FleetPeers::makeDigest(const FleetHeartbeat &state, Instant now) const {
  // This host's heartbeat has the crashes that it has heard of from the others.
  DataCentreDigest out{.dataCentre = self.dataCentre, .crashes = state.crashes};
  addIfUnhealthy(self.host, true, state, out);
  addAnnouncements(state, self.peerAddress, out);
  for (auto &[host, peer] : peers) {
    if (!isNearby(peer))
      continue;
    const bool live = isAlive(peer, now);
    addIfUnhealthy(host, live, peer.heartbeat, out);
    if (live)
      addAnnouncements(peer.heartbeat, peer.entry.peerAddress, out);
  }
  return out;
}

std::vector<Address> FleetPeers::onDigest(const DataCentreDigest &digest, Instant now) {
  std::vector<Address> appeared;
  if (digest.dataCentre == self.dataCentre)
    return appeared;
  std::map<HostName, const HostStatus *> unhealthyHosts;
  for (auto &it : digest.unhealthyHosts)
    unhealthyHosts[it.host] = &it;
  for (auto &[host, peer] : peers) {
    if (peer.entry.dataCentre != digest.dataCentre)
      continue;
    auto found = unhealthyHosts.find(host);
    const HostStatus state =
        found == unhealthyHosts.end() ? HostStatus{host, true, true, false, true} : *found->second;
    if (!state.alive)
      continue; // stays silent unless its own heartbeats arrive here
    if (!isAlive(peer, now))
      appeared.push_back(peer.entry.peerAddress);
    peer.heardAt = now;
    peer.heartbeat.ready = state.ready;
    peer.heartbeat.leaving = state.leaving;
    peer.heartbeat.storeConnected = state.storeConnected;
    peer.heartbeat.configVersion = digest.configVersion;
    peer.heartbeat.loads.clear(); // included in the totals of its data centre
  }
  return appeared;
}

std::vector<Address> FleetPeers::freshnessSources(Instant now, std::uint64_t random) const {
  const auto sentinels = topRankedPeers(now)[self.dataCentre];
  std::vector<std::pair<std::pair<bool, std::uint64_t>, const Address *>> ranked;
  ranked.reserve(peers.size());
  for (auto &[host, peer] : peers) {
    if (!isAlive(peer, now))
      continue;
    const bool isSentinel = std::count(sentinels.begin(), sentinels.end(), &peer) > 0;
    const auto hash = XXH64(host.value.data(), host.value.size(), random);
    ranked.push_back({{!isSentinel, hash}, &peer.entry.peerAddress});
  }
  std::sort(ranked.begin(), ranked.end(), [](auto &a, auto &b) { return a.first < b.first; });
  std::vector<Address> out;
  out.reserve(ranked.size());
  for (auto &it : ranked)
    out.push_back(*it.second);
  return out;
}

std::vector<ConfigHolder> FleetPeers::configHolders(Instant now) const {
  std::vector<ConfigHolder> out;
  for (auto &[host, peer] : peers)
    if (isAlive(peer, now))
      out.push_back({.address = peer.entry.peerAddress,
                     .version = peer.heartbeat.configVersion,
                     .nearby = isNearby(peer)});
  return out;
}

LoadTotals FleetPeers::loads(Instant now) const {
  LoadTotals total;
  for (auto &[host, peer] : peers)
    if (isAlive(peer, now))
      addLoads(peer.heartbeat.loads, total);
  return total;
}

LoadTotals FleetPeers::nearbyLoads(Instant now) const {
  LoadTotals total;
  for (auto &[host, peer] : peers)
    if (isNearby(peer) && isAlive(peer, now))
      addLoads(peer.heartbeat.loads, total);
  return total;
}

std::vector<Address> FleetPeers::callerAddresses(const DataCentreName &dataCentre, bool selfReady,
                                                 Instant now) const {
  constexpr std::size_t MinNearbyAddresses = 2;
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
    bool usable = isAlive(peer, now) && peer.heartbeat.ready && !peer.heartbeat.leaving;
    anyAlive = anyAlive || isAlive(peer, now);
    if (usable)
      add(peer.entry);
  }
  if (!anyAlive)
    for (auto &[host, peer] : peers)
      add(peer.entry);
  return nearby.size() >= MinNearbyAddresses ? nearby : all;
}

} // namespace catkin
