#include "planner_impl_p.h"

#include <algorithm>
#include <queue>

/// Placement of models: candidate endpoints, evictions, grants and the queue of the weight store.
namespace catkin {

namespace {

// Lower bound of measured rates, which keeps estimates finite.
constexpr double MinBytesPerSecond = 1e3;
constexpr Duration MinQueueRetryInterval = std::chrono::milliseconds(50);

bool isReleasing(const Replica &r) {
  return r.phase == Phase::Releasing || r.phase == Phase::RecordingRelease ||
         r.phase == Phase::Unloading;
}

} // namespace

std::uint64_t Endpoint::committedBytes() const {
  std::uint64_t n = 0;
  for (auto &[model, r] : replicas)
    n += r.isCommitted() ? r.bytes : 0;
  return n;
}

std::uint64_t Endpoint::plannedBytes() const {
  std::uint64_t n = 0;
  for (auto &[model, r] : replicas)
    n += isReleasing(r) ? 0 : r.bytes;
  return n;
}

bool Endpoint::hasDependents(const ModelName &base) const {
  return std::any_of(replicas.begin(), replicas.end(),
                     [&](auto &it) { return it.second.base == base; });
}

// ---- Estimates ---------------------------------------------------------------------------------

/// Expected duration of a load, without any wait.
Duration Planner::Impl::loadTime(CopySource source, std::uint64_t bytes, bool adapter) const {
  if (adapter && source == CopySource::Remote)
    return fromSeconds(adapterLoadSeconds);
  auto rate = std::max(bytesPerSecond[static_cast<std::size_t>(source)], MinBytesPerSecond);
  return fromSeconds(static_cast<double>(bytes) / rate);
}

/// The fastest source from which the endpoint can load the model.
CopySource Planner::Impl::sourceOf(const Endpoint &ep, const ModelName &model) const {
  auto contains = [&](auto &cache) {
    return std::find(cache.begin(), cache.end(), model) != cache.end();
  };
  if (contains(ep.report.memoryCache))
    return CopySource::Memory;
  return contains(ep.report.diskCache) ? CopySource::Disk : CopySource::Remote;
}

/// Time until a remote load with that deadline would start. Loads in progress and queued loads with
/// an earlier deadline go first, within the slots and the rate that the weight store allows.
Duration Planner::Impl::storeWait(bool adapter, Instant deadline) const {
  std::vector<Duration> running, queuedAhead;
  for (auto &[name, ep] : activeEndpoints)
    for (auto &[model, r] : ep->replicas) {
      if (r.source != CopySource::Remote || r.isAdapter() != adapter || !r.isLoadUnderWay())
        continue;
      if (r.phase != Phase::Queued && ep->reachable)
        running.push_back(std::max(r.expectedLoad - (env.now() - r.decidedAt), Duration(0)));
      else if (r.phase == Phase::Queued && r.deadline < deadline)
        queuedAhead.push_back(r.expectedLoad);
    }
  if (adapter)
    return fromSeconds(adapterLoadSeconds) *
           static_cast<std::int64_t>((running.size() + queuedAhead.size()) /
                                     static_cast<std::size_t>(options.storeAdaptersInFlight));
  std::priority_queue<Duration, std::vector<Duration>, std::greater<>> slots;
  for (auto &it : running)
    slots.push(it);
  while (slots.size() < static_cast<std::size_t>(options.storeConcurrentLoads))
    slots.push(Duration(0));
  while (slots.size() > static_cast<std::size_t>(options.storeConcurrentLoads))
    slots.pop();
  double tokens = storeTokens;
  Duration start{0};
  for (std::size_t i = 0; i <= queuedAhead.size(); ++i) {
    start = std::max(start, slots.top());
    if (tokens < 1)
      start = std::max(start, fromSeconds((1 - tokens) / options.storeLoadsPerSecond));
    tokens -= 1;
    slots.pop();
    if (i < queuedAhead.size())
      slots.push(start + queuedAhead[i]);
  }
  return start;
}

/// Time until the replica is ready. An overdue load is expected to take a tenth of its elapsed time
/// longer.
Duration Planner::Impl::estimateTimeToReady(const Endpoint &ep, const Replica &r) const {
  auto elapsed = env.now() - r.acceptedAt;
  switch (r.phase) {
  case Phase::Queued: {
    auto wait = r.source == CopySource::Remote ? storeWait(r.isAdapter(), r.deadline) : Duration(0);
    auto base = ep.replicas.find(r.base);
    if (r.isAdapter() && base != ep.replicas.end())
      wait += estimateTimeToReady(ep, base->second);
    if (ep.committedBytes() + r.bytes > ep.report.memoryBytes)
      wait += config::ReleaseEstimate;
    return wait + r.expectedLoad;
  }
  case Phase::Recording:
  case Phase::Ordering:
    return r.expectedLoad + (env.now() - r.decidedAt) / 4;
  case Phase::Loading:
    return std::max(r.expectedLoad - elapsed, elapsed / 10);
  default:
    return Duration(0);
  }
}

// ---- Conditions --------------------------------------------------------------------------------

/// True if a model of `bytes` may be placed on the endpoint, regardless of free memory.
bool Planner::Impl::canLoad(const Endpoint &ep, std::uint64_t bytes) const {
  if (!mayOrder(ep) || !ep.reachable || ep.report.memoryBytes < bytes)
    return false;
  if (platformDown && !ep.checksFencing())
    return false;
  if (ep.isDeparting() && options.guards.skipLeavingEndpoints)
    return false;
  return ep.avoidUntil <= env.now();
}

/// True if ready replicas on the endpoint can serve requests.
bool Planner::Impl::canServe(const Endpoint &ep) const {
  if (ep.liveness == Liveness::Gone || (ep.isDeparting() && options.guards.skipLeavingEndpoints))
    return false;
  return ep.silentSince == Instant() || env.now() - ep.silentSince <= config::EndpointSilentAfter;
}

/// True if the replica could be released: it is ready and has been unused for IdleBeforeRelease.
bool Planner::Impl::isIdle(const Endpoint &ep, const Replica &r) const {
  if (r.phase != Phase::Ready || r.unresolved || r.inFlight > 0 || !ep.claimed)
    return false;
  auto use = models.find(r.model);
  if (use == models.end())
    return true;
  if (use->second.inFlight + use->second.waiting > 0 && !isReadyElsewhere(r.model, ep.name))
    return false;
  return env.now() - std::max(use->second.lastUse, r.readyAt) >= config::IdleBeforeRelease;
}

RetentionInput Planner::Impl::retentionInput(const Endpoint &ep, const Replica &r) const {
  auto use = models.find(r.model);
  auto last = use == models.end() ? r.readyAt : std::max(use->second.lastUse, r.readyAt);
  auto memory = static_cast<double>(std::max<std::uint64_t>(ep.report.memoryBytes, 1));
  return {.model = r.model,
          .lastUse = last,
          .loadTime = loadTime(sourceOf(ep, r.model), r.bytes, r.isAdapter()),
          .acceleratorShare = static_cast<double>(r.bytes) / memory,
          .now = env.now(),
          .wallSeconds = env.wallSeconds()};
}

// ---- Choice of an endpoint ---------------------------------------------------------------------

/// Returns the headroom of the plan's grant and the plan's idle replicas other than `model`, which
/// are released if the headroom is too small.
Planner::Impl::GrantHeadroom Planner::Impl::grantHeadroom(const Plan &plan, const Model &model) {
  PlanTotals used;
  std::vector<std::pair<double, std::pair<Endpoint *, Replica *>>> found;
  for (auto &[name, ep] : populatedEndpoints)
    for (auto &[other, r] : ep->replicas) {
      if (r.payer != plan.name || isReleasing(r))
        continue;
      ++used.models;
      used.bytes += r.bytes;
      if (other != model.name && isIdle(*ep, r) && !ep->hasDependents(other))
        found.push_back({retention->keepValue(retentionInput(*ep, r)), {ep, &r}});
    }
  GrantHeadroom headroom{.models = plan.grant.models - used.models,
                         .bytes = static_cast<std::int64_t>(plan.grant.acceleratorBytes) -
                                  static_cast<std::int64_t>(used.bytes)};
  std::stable_sort(found.begin(), found.end(), [](auto &a, auto &b) { return a.first < b.first; });
  for (auto &it : found)
    headroom.releasable.push_back(it.second);
  return headroom;
}

/// Adds the idle replicas with the lowest keepValue to the releases of `p` until `need` bytes fit,
/// and their values to `cost`. Returns false if they do not free enough memory.
bool Planner::Impl::chooseEvictions(const Endpoint &ep, std::uint64_t need, const Model &model,
                                    Placement &p, double &cost) const {
  auto planned = ep.plannedBytes();
  std::set<ModelName> chosen;
  while (planned + need > ep.report.memoryBytes) {
    const Replica *best = nullptr;
    double lowest = 0;
    for (auto &entry : ep.replicas) {
      auto &other = entry.first;
      auto &r = entry.second;
      if (other == model.name || other == model.base || chosen.contains(other) || !isIdle(ep, r))
        continue;
      bool hasKeptDependents = std::any_of(ep.replicas.begin(), ep.replicas.end(), [&](auto &it) {
        return it.second.base == other && !chosen.contains(it.first);
      });
      if (hasKeptDependents)
        continue;
      auto value = retention->keepValue(retentionInput(ep, r));
      if (best && value >= lowest)
        continue;
      best = &r;
      lowest = value;
    }
    if (!best)
      return false;
    chosen.insert(best->model);
    p.releases.emplace_back(ep.name, best->model);
    planned -= best->bytes;
    cost += lowest;
  }
  return true;
}

/// Adds idle replicas of the plan to the releases of `p` until its grant has headroom for the
/// model. Returns false if they do not free enough.
bool Planner::Impl::chooseGrantReleases(const GrantHeadroom &headroom, const PlanName &plan,
                                        const Model &model, Placement &p) {
  int needModels = p.base ? 2 : 1;
  auto needBytes = static_cast<std::int64_t>(model.bytes + (p.base ? p.base->bytes : 0));
  auto freeModels = headroom.models;
  auto freeBytes = headroom.bytes;
  for (auto &[name, other] : p.releases) {
    auto &r = endpoints.at(name).replicas.at(other);
    if (r.payer != plan)
      continue;
    ++freeModels;
    freeBytes += static_cast<std::int64_t>(r.bytes);
  }
  for (auto &[ep, r] : headroom.releasable) {
    if (freeModels >= needModels && freeBytes >= needBytes)
      break;
    std::pair<EndpointName, ModelName> key{ep->name, r->model};
    bool isBase = p.endpoint == ep && r->model == model.base;
    if (isBase || std::find(p.releases.begin(), p.releases.end(), key) != p.releases.end())
      continue;
    p.releases.push_back(key);
    ++freeModels;
    freeBytes += static_cast<std::int64_t>(r->bytes);
  }
  return freeModels >= needModels && freeBytes >= needBytes;
}

/// Returns the placement of the model on one endpoint with its cost, or nothing if the model cannot
/// be placed there. Sets `reason` if the grant is the cause.
std::optional<Placement>
Planner::Impl::evaluateEndpoint(Endpoint &ep, const Model &model, const Plan &plan,
                                const GrantHeadroom &headroom, const PlacementQuery &query,
                                Duration storeQueue, bool evictAnywhere, std::string &reason) {
  if (!canLoad(ep, model.bytes) || ep.replicas.contains(model.name))
    return std::nullopt;
  Placement p{.endpoint = &ep};
  Duration baseWait{0};
  std::uint64_t restoredBaseBytes = 0; // memory of a base whose release would be cancelled
  bool baseLoaded = true;
  if (auto base = ep.replicas.find(model.base); base != ep.replicas.end()) {
    auto &r = base->second;
    bool cancellable = r.phase == Phase::Releasing && !r.unresolved;
    if (r.phase >= Phase::Releasing && !cancellable)
      return std::nullopt;
    baseWait = estimateTimeToReady(ep, r);
    restoredBaseBytes = cancellable ? r.bytes : 0;
  } else if (model.isAdapter()) {
    baseLoaded = false;
    p.base = modelOf(model.base);
    if (!p.base)
      return std::nullopt;
  }
  auto need = model.bytes + (p.base ? p.base->bytes : 0);
  auto source = sourceOf(ep, p.base ? p.base->name : model.name);
  bool loadIsCheap = source != CopySource::Remote || (model.isAdapter() && baseLoaded);
  bool fits = ep.plannedBytes() + need + restoredBaseBytes <= ep.report.memoryBytes;
  if (!fits && (query.spareCapacityOnly || (!loadIsCheap && !evictAnywhere)))
    return std::nullopt;
  double evictionCost = 0;
  if (ep.report.memoryBytes < need ||
      !chooseEvictions(ep, need + restoredBaseBytes, model, p, evictionCost))
    return std::nullopt;
  if (!chooseGrantReleases(headroom, plan.name, model, p)) {
    reason = "the plan's grant is exhausted";
    return std::nullopt;
  }
  if (query.spareCapacityOnly && !p.releases.empty())
    return std::nullopt;
  p.loadTime = loadTime(sourceOf(ep, model.name), model.bytes, model.isAdapter());
  if (p.base)
    p.loadTime += loadTime(source, p.base->bytes, false);
  p.estimate = p.loadTime + baseWait;
  auto queueWait = source == CopySource::Remote ? storeQueue : Duration(0);
  p.estimate += queueWait;
  if (!p.releases.empty() || ep.committedBytes() + need > ep.report.memoryBytes)
    p.estimate += config::ReleaseEstimate;
  PlacementCandidate c{.endpoint = ep.name,
                       .dataCentre = ep.dataCentre,
                       .source = source,
                       .generation = ep.report.generation,
                       .loadBytes = need,
                       .evictionCost = evictionCost,
                       .storeQueue = queueWait,
                       .expectedLoad = p.estimate - queueWait,
                       .running = ep.report.running,
                       .baseLoaded = baseLoaded,
                       .checksFencing = ep.checksFencing(),
                       .sameDataCentre =
                           query.dataCentre.empty() || query.dataCentre == ep.dataCentre};
  auto planned = ep.plannedBytes();
  c.freeBytes = ep.report.memoryBytes > planned ? ep.report.memoryBytes - planned : 0;
  p.cost = placement->cost(c);
  return p;
}

/// Chooses the cheapest placement that is ready within the remaining time; if there is none, the
/// fastest. Replicas are evicted only where the model need not be loaded from the weight store, or
/// else if no endpoint with free memory would be ready in time. Empty, with the reason, if no
/// endpoint can load the model.
std::optional<Placement> Planner::Impl::choosePlacement(const Model &model, const Plan &plan,
                                                        const PlacementQuery &query,
                                                        std::string &reason) {
  reason = "no endpoint has room";
  refillStoreTokens();
  auto headroom = grantHeadroom(plan, model);
  auto modelQueue = storeWait(false, query.deadline);
  auto adapterQueue = model.isAdapter() ? storeWait(true, query.deadline) : modelQueue;
  std::optional<Placement> best;
  auto isInTime = [&](const Placement &p) { return p.estimate <= query.remaining; };
  auto isBetter = [&](const Placement &a, const Placement &b) {
    if (isInTime(a) != isInTime(b))
      return isInTime(a);
    return isInTime(a) ? a.cost < b.cost : a.estimate < b.estimate;
  };
  for (bool evictAnywhere : {false, true}) {
    for (auto &[name, ep] : endpoints) {
      bool adapterOnly = model.isAdapter() && ep.replicas.contains(model.base);
      auto queue = adapterOnly ? adapterQueue : modelQueue;
      auto p = evaluateEndpoint(ep, model, plan, headroom, query, queue, evictAnywhere, reason);
      if (p && (!best || isBetter(*p, *best)))
        best = std::move(p);
    }
    if (best && isInTime(*best))
      break;
  }
  return best;
}

/// Enters the replicas of a placement as queued loads and starts the releases that it needs.
/// Returns the replica of `model`.
Replica *Planner::Impl::commitPlacement(const Model &model, const PlanName &payer, Instant deadline,
                                        bool prewarm, const Placement &p,
                                        const std::string &requestId) {
  auto &ep = *p.endpoint;
  for (auto &[name, other] : p.releases) {
    auto &from = endpoints.at(name);
    startRelease(from, from.replicas.at(other), "makes room for " + model.name.value);
  }
  auto add = [&](const Model &it) {
    Replica r;
    r.model = it.name;
    r.base = it.base;
    r.bytes = it.bytes;
    r.payer = payer;
    r.term = currentTerm;
    r.source = sourceOf(ep, it.name);
    r.prewarmed = prewarm;
    r.deadline = deadline;
    r.decidedAt = env.now();
    r.expectedLoad = loadTime(r.source, it.bytes, it.isAdapter());
    addReplica(ep, std::move(r));
  };
  if (p.base)
    add(*p.base);
  add(model);
  if (auto base = ep.replicas.find(model.base); base != ep.replicas.end()) {
    base->second.deadline = std::min(base->second.deadline, deadline);
    if (base->second.phase == Phase::Releasing)
      cancelRelease(ep, base->second);
  }
  log(DecisionKind::Placement, model.name, ep.name.value,
      prewarm ? "prewarmed for expected use" : "cold model requested", payer, requestId);
  return &ep.replicas.at(model.name);
}

// ---- Queue -------------------------------------------------------------------------------------

void Planner::Impl::refillStoreTokens() {
  auto now = env.now();
  storeTokens =
      std::min(options.storeLoadsPerSecond,
               storeTokens + toSeconds(now - storeTokensRefilledAt) * options.storeLoadsPerSecond);
  storeTokensRefilledAt = now;
}

/// Returns what the loads in progress leave for queued ones.
Planner::Impl::StartBudget Planner::Impl::startBudget() {
  StartBudget budget{.modelSlots = options.storeConcurrentLoads,
                     .adapterSlots = options.storeAdaptersInFlight};
  for (auto &[name, ep] : populatedEndpoints)
    for (auto &[model, r] : ep->replicas) {
      if (!r.isCommitted())
        continue;
      auto &sum = budget.plans[r.payer];
      ++sum.models;
      sum.bytes += r.bytes;
      // A load on an unreachable endpoint does not count against the weight store.
      if (ep->reachable && r.source == CopySource::Remote && r.isLoadUnderWay())
        --(r.isAdapter() ? budget.adapterSlots : budget.modelSlots);
    }
  return budget;
}

/// Takes a slot, and a token for a model, of the weight store if the load needs one. Returns false
/// if none is free.
bool Planner::Impl::tryReserveStoreSlot(const Replica &r, StartBudget &budget) {
  if (r.source != CopySource::Remote)
    return true;
  auto &slots = r.isAdapter() ? budget.adapterSlots : budget.modelSlots;
  if (slots <= 0)
    return false;
  if (!r.isAdapter()) {
    refillStoreTokens();
    if (storeTokens < 1)
      return false;
    storeTokens -= 1;
  }
  --slots;
  return true;
}

/// Returns true if the queued load can be started now, and takes its share of `budget`.
bool Planner::Impl::tryReserveStart(const Endpoint &ep, const Replica &r, StartBudget &budget) {
  if (!mayOrder(ep) || (platformDown && !ep.checksFencing()))
    return false;
  if (ep.committedBytes() + r.bytes > ep.report.memoryBytes)
    return false;
  if (r.isAdapter()) {
    auto base = ep.replicas.find(r.base);
    if (base == ep.replicas.end() || base->second.phase != Phase::Ready)
      return false;
  }
  auto &used = budget.plans[r.payer];
  if (auto plan = lists->plans.find(r.payer); plan != lists->plans.end()) {
    auto &grant = plan->second.grant;
    if (used.models + 1 > grant.models || used.bytes + r.bytes > grant.acceleratorBytes)
      return false;
  }
  if (!tryReserveStoreSlot(r, budget))
    return false;
  ++used.models;
  used.bytes += r.bytes;
  return true;
}

/// Starts the queued loads that can start now, by deadline. Schedules another run if some remain.
void Planner::Impl::startQueuedLoads() {
  std::vector<std::pair<Endpoint *, Replica *>> queue;
  for (auto &[name, ep] : queuedEndpoints)
    for (auto &[model, r] : ep->replicas)
      if (r.phase == Phase::Queued)
        queue.emplace_back(ep, &r);
  if (queue.empty() || !lists)
    return;
  std::stable_sort(queue.begin(), queue.end(),
                   [](auto &a, auto &b) { return a.second->deadline < b.second->deadline; });
  bool anyLeft = false;
  auto budget = startBudget();
  std::vector<std::pair<EndpointName, ModelName>> start;
  for (auto &[ep, r] : queue) {
    if (!tryReserveStart(*ep, *r, budget)) {
      anyLeft = true;
      continue;
    }
    // From this phase on the load counts against memory and grant for those that follow.
    r->phase = Phase::Recording;
    start.emplace_back(ep->name, r->model);
    updateEndpointSets(*ep);
  }
  for (auto &[name, model] : start)
    if (auto *ep = find(name); ep && ep->replicas.contains(model))
      beginLoad(*ep, ep->replicas.at(model));
  if (!anyLeft || std::exchange(queuedLoadsScheduled, true))
    return;
  auto run = [](Impl &self) {
    self.queuedLoadsScheduled = false;
    self.startQueuedLoads();
  };
  env.after(std::max(fromSeconds(0.5 / options.storeLoadsPerSecond), MinQueueRetryInterval),
            bindToSession(run));
}

} // namespace catkin
