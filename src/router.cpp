#include "router_p.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <limits>
#include <unordered_map>
#include <unordered_set>

namespace catkin {

namespace {

// The unit of cost is a request at an endpoint of generation 1. Half a request outweighs the
// latency between data centres, but not the load of a busy endpoint.
constexpr double OtherDataCentreCost = 0.5;
// A cached prefix saves the prefill, which is worth waiting behind about two requests.
constexpr double PrefixGain = 2.0;
constexpr auto PrefixLifetime = std::chrono::seconds(120);
constexpr auto LastResortInterval = std::chrono::milliseconds(500);
constexpr std::size_t PrefixSets = 2048;
constexpr std::size_t PrefixWays = 4;

/// What this host knows of an endpoint.
struct EndpointState {
  EndpointName name;
  Address address;
  DataCentreName dataCentre;
  int generation = 1;
  bool leavingInTable = false;
  bool leavingInList = false;
  int inFlight = 0;
  int reportedLoad = 0;     ///< running and queued requests in the table, delayed
  int inFlightAtReport = 0; ///< estimate of this host's requests in `reportedLoad`
  int failures = 0;         ///< consecutive failures
  bool ejected = false;
  bool probing = false; ///< a request is in flight to the ejected endpoint
  Instant ejectedUntil;
  Instant lastProbe;
  std::uint64_t seenInTable = 0; ///< `tableCount` of the last table with this endpoint; 0: none
};

struct Replica {
  EndpointState *endpoint = nullptr;
  bool modelMissing = false; ///< the endpoint said that it does not hold the model
};

/// A prefix that an endpoint has probably cached.
struct PrefixHint {
  std::uint64_t hash = 0;
  const EndpointState *endpoint = nullptr;
  Instant addedAt;
};

/// Load of an endpoint relative to its generation: this host's current requests plus those of other
/// hosts as last reported.
double loadOf(const EndpointState &e) {
  int others = std::max(0, e.reportedLoad - e.inFlightAtReport);
  return static_cast<double>(e.inFlight + others) / std::max(1, e.generation);
}

/// Set-associative table of fixed size with the endpoints that cached a prefix. A new entry
/// replaces the oldest of its set.
class PrefixTable {
public:
  void add(std::uint64_t hash, const EndpointState *endpoint, Instant now) {
    auto &set = sets[hash % PrefixSets];
    auto slot = std::min_element(set.begin(), set.end(),
                                 [](auto &a, auto &b) { return a.addedAt < b.addedAt; });
    for (auto it = set.begin(); it != set.end(); ++it)
      if (it->hash == hash && it->endpoint == endpoint)
        slot = it;
    *slot = {hash, endpoint, now};
  }

  bool has(std::uint64_t hash, const EndpointState *endpoint, Instant now) const {
    for (auto &it : sets[hash % PrefixSets])
      if (it.hash == hash && it.endpoint == endpoint)
        return now - it.addedAt < PrefixLifetime;
    return false;
  }

  void eraseEndpoint(const EndpointState *endpoint) {
    for (auto &set : sets)
      for (auto &it : set)
        if (it.endpoint == endpoint)
          it = {};
  }

private:
  std::vector<std::array<PrefixHint, PrefixWays>> sets{PrefixSets};
};

/// Retry budget of this host: each request adds a fraction of a retry, and a minimum rate applies
/// without requests.
class RetryTokenBucket {
public:
  void onRequest(Instant now) {
    refill(now);
    tokens = std::min(config::RetryBurst, tokens + config::RetryRatio);
  }

  bool tryConsume(Instant now) {
    refill(now);
    if (tokens < 1.0)
      return false;
    tokens -= 1.0;
    return true;
  }

private:
  void refill(Instant now) {
    if (now > lastRefill)
      tokens = std::min(config::RetryBurst,
                        tokens + toSeconds(now - lastRefill) * config::RetryFloorPerSecond);
    lastRefill = std::max(lastRefill, now);
  }

  double tokens = config::RetryBurst;
  Instant lastRefill;
};

} // namespace

struct Router::Impl {
  RouterOptions options;
  std::unordered_map<EndpointName, std::unique_ptr<EndpointState>> endpoints;
  std::unordered_map<ModelName, std::vector<Replica>> models;
  std::unordered_set<EndpointName> listedAsLeaving;
  PrefixTable prefixes;
  RetryTokenBucket retries;
  std::uint64_t tableCount = 0; ///< number of calls of setTable()
  std::size_t rotation = 0;     ///< first replica to consider in the next choice

  EndpointState *find(const EndpointName &name) {
    auto it = endpoints.find(name);
    return it == endpoints.end() ? nullptr : it->second.get();
  }

  EndpointState &findOrCreate(const EndpointName &name) {
    auto &slot = endpoints[name];
    if (!slot) {
      slot = std::make_unique<EndpointState>();
      slot->name = name;
      slot->leavingInList = listedAsLeaving.contains(name);
    }
    return *slot;
  }

  void addEntry(const RouteEntry &entry) {
    auto &e = findOrCreate(entry.endpoint);
    e.address = entry.address;
    e.dataCentre = entry.dataCentre;
    e.generation = entry.generation;
    e.leavingInTable = entry.leaving;
    int reportedLoad = entry.running + entry.queued;
    if (reportedLoad != e.reportedLoad || e.seenInTable == 0) {
      e.reportedLoad = reportedLoad;
      e.inFlightAtReport = std::min(e.inFlight, reportedLoad);
    }
    e.seenInTable = tableCount;
    if (entry.state == ReplicaState::Loaded)
      models[entry.model].push_back({&e, false});
  }

  /// Erases models without replicas, and endpoints that are not in the table and have no requests
  /// in flight.
  void dropUnused() {
    std::erase_if(models, [](auto &it) { return it.second.empty(); });
    std::erase_if(endpoints, [this](auto &it) {
      auto &e = *it.second;
      if (e.seenInTable == tableCount || e.inFlight > 0)
        return false;
      prefixes.eraseEndpoint(&e);
      return true;
    });
  }

  bool acceptsRequests(const Replica &replica) const {
    auto &e = *replica.endpoint;
    if (replica.modelMissing)
      return false;
    return !options.guards.skipLeavingEndpoints || !(e.leavingInTable || e.leavingInList);
  }

  static bool isHealthy(const EndpointState &e) { return !e.ejected; }
  static bool isProbeDue(const EndpointState &e, Instant now) {
    return e.ejected && !e.probing && now >= e.ejectedUntil;
  }
  /// True if an ejected endpoint may be chosen when there is no other. It receives one request at a
  /// time, at intervals that double with each failure up to config::EjectionTime. The other
  /// requests wait until the planner places the model elsewhere.
  static bool canUseAsLastResort(const EndpointState &e, Instant now) {
    int doublings = std::clamp(e.failures - config::EjectAfterFailures, 0, 8);
    Duration interval =
        std::min<Duration>(LastResortInterval * (1 << doublings), config::EjectionTime);
    return e.ejected && !e.probing && now - e.lastProbe >= interval;
  }

  /// Cost of sending a request to the endpoint; lower is better.
  double cost(const EndpointState &e, std::uint64_t prefixHash, Instant now) const {
    double c = loadOf(e);
    if (e.dataCentre != options.dataCentre)
      c += OtherDataCentreCost;
    if (prefixHash != 0 && prefixes.has(prefixHash, &e, now))
      c -= PrefixGain;
    return c;
  }

  /// Replica of the lowest cost among those that accept requests, fulfil `isUsable` and are not
  /// excluded; null if none.
  template <class Usable>
  const EndpointState *findCheapest(const std::vector<Replica> &replicas,
                                    const RouteRequest &request, Instant now, Usable isUsable) {
    const EndpointState *chosen = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    // The search starts at a different replica each time, so that equal costs do not always select
    // the first one.
    std::size_t first = replicas.empty() ? 0 : rotation++ % replicas.size();
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      auto &it = replicas[(first + i) % replicas.size()];
      if (!acceptsRequests(it) || !isUsable(*it.endpoint) ||
          contains(request.exclude, it.endpoint->name))
        continue;
      double c = cost(*it.endpoint, request.prefixHash, now);
      if (c >= lowest)
        continue;
      lowest = c;
      chosen = it.endpoint;
    }
    return chosen;
  }

  static bool contains(const std::vector<EndpointName> &names, const EndpointName &name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  }

  /// Returns the endpoint as the choice and records the request's prefix as cached there.
  RouteChoice recordChoice(const EndpointState &e, const RouteRequest &request, Instant now,
                           const char *reason) {
    bool cached = request.prefixHash != 0 && prefixes.has(request.prefixHash, &e, now);
    // The engine will cache the prefix, but its cache event arrives late.
    if (request.prefixHash != 0)
      prefixes.add(request.prefixHash, &e, now);
    return {e.name, e.address, cached ? "prefix" : reason};
  }
};

Router::Router(RouterOptions options) : impl(std::make_unique<Impl>()) {
  impl->options = std::move(options);
}

Router::~Router() = default;

void Router::setTable(const std::vector<RouteEntry> &entries) {
  ++impl->tableCount;
  for (auto &it : impl->models)
    it.second.clear();
  for (auto &it : entries)
    impl->addEntry(it);
  impl->dropUnused();
}

void Router::setLeaving(const std::vector<EndpointName> &leaving) {
  impl->listedAsLeaving = {leaving.begin(), leaving.end()};
  for (auto &[name, e] : impl->endpoints)
    e->leavingInList = impl->listedAsLeaving.contains(name);
}

RouteChoice Router::choose(const RouteRequest &request, Instant now) {
  auto it = impl->models.find(request.model);
  if (it == impl->models.end())
    return {{}, {}, "no_replica"};
  auto probe = [now](auto &e) { return Impl::isProbeDue(e, now); };
  if (auto *e = impl->findCheapest(it->second, request, now, probe))
    return impl->recordChoice(*e, request, now, "probe");
  if (auto *e = impl->findCheapest(it->second, request, now, Impl::isHealthy))
    return impl->recordChoice(*e, request, now, "least_load");
  auto lastResort = [now](auto &e) { return Impl::canUseAsLastResort(e, now); };
  if (auto *e = impl->findCheapest(it->second, request, now, lastResort))
    return impl->recordChoice(*e, request, now, "all_ejected");
  return {{}, {}, "no_usable"};
}

bool Router::hasUsableReplica(const ModelName &model, Instant now) const {
  auto it = impl->models.find(model);
  if (it == impl->models.end())
    return false;
  return std::any_of(it->second.begin(), it->second.end(), [this, now](auto &r) {
    auto &e = *r.endpoint;
    return impl->acceptsRequests(r) &&
           (Impl::isHealthy(e) || Impl::isProbeDue(e, now) || Impl::canUseAsLastResort(e, now));
  });
}

bool Router::hasLoadedReplica(const ModelName &model) const { return impl->models.contains(model); }

std::vector<EndpointName> Router::candidates(const ModelName &model, Instant now) const {
  std::vector<EndpointName> names;
  auto it = impl->models.find(model);
  if (it == impl->models.end())
    return names;
  for (auto &r : it->second)
    if (impl->acceptsRequests(r) &&
        (Impl::isHealthy(*r.endpoint) || Impl::isProbeDue(*r.endpoint, now)))
      names.push_back(r.endpoint->name);
  return names;
}

void Router::onStart(const EndpointName &endpoint, Instant now) {
  auto &e = impl->findOrCreate(endpoint);
  ++e.inFlight;
  if (!e.ejected)
    return;
  e.probing = true;
  e.lastProbe = now;
}

void Router::onEnd(const EndpointName &endpoint, bool healthy, Instant now) {
  auto *e = impl->find(endpoint);
  if (!e)
    return;
  e->inFlight = std::max(0, e->inFlight - 1);
  e->probing = false;
  if (healthy) {
    e->failures = 0;
    e->ejected = false;
    return;
  }
  if (++e->failures < config::EjectAfterFailures)
    return;
  if (!e->ejected)
    e->lastProbe = now;
  e->ejected = true;
  e->ejectedUntil = now + config::EjectionTime;
}

void Router::onModelMissing(const ModelName &model, const EndpointName &endpoint) {
  auto it = impl->models.find(model);
  if (it == impl->models.end())
    return;
  for (auto &r : it->second)
    if (r.endpoint->name == endpoint)
      r.modelMissing = true;
}

void Router::onPrefixCached(const EndpointName &endpoint, std::uint64_t prefixHash, Instant now) {
  if (auto *e = impl->find(endpoint))
    impl->prefixes.add(prefixHash, e, now);
}

bool Router::tryConsumeRetry(Instant now) { return impl->retries.tryConsume(now); }

void Router::onRequest(Instant now) { impl->retries.onRequest(now); }

int Router::inFlight(const EndpointName &endpoint) const {
  auto *e = impl->find(endpoint);
  return e ? e->inFlight : 0;
}

} // namespace catkin
