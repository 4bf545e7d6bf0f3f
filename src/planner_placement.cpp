#include "planner_impl_p.h"

#include <algorithm>
#include <queue>

/// Where a model is loaded: candidates, evictions, grants, and the queue at the weight store.
namespace catkin {

namespace {

// Keeps estimates finite when a measured rate is absurdly low.
constexpr double SlowestBytesPerSecond = 1e3;
constexpr Duration ShortestPumpInterval = std::chrono::milliseconds(50);

bool isReleasing(const Replica &r) {
  return r.phase == Phase::Releasing || r.phase == Phase::RecordingRelease ||
         r.phase == Phase::Unloading;
}

} // namespace

std::uint64_t Endpoint::committedBytes() const {
  std::uint64_t n = 0;
  for (auto &[model, r] : replicas)
    n += r.committed() ? r.bytes : 0;
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

Duration Planner::Impl::loadTime(CopySource source, std::uint64_t bytes, bool adapter) const {
  if (adapter && source == CopySource::Remote)
    return fromSeconds(adapterSeconds);
  auto rate = std::max(bytesPerSecond[static_cast<std::size_t>(source)], SlowestBytesPerSecond);
  return fromSeconds(static_cast<double>(bytes) / rate);
}

CopySource Planner::Impl::sourceOf(const Endpoint &ep, const ModelName &model) const {
  auto has = [&](auto &cache) {
    return std::find(cache.begin(), cache.end(), model) != cache.end();
  };
  if (has(ep.report.memoryCache))
    return CopySource::Memory;
  return has(ep.report.diskCache) ? CopySource::Disk : CopySource::Remote;
}

/// Time until a remote load of that urgency would start: loads under way and more urgent ones go
/// first, in as many slots and at the rate that the weight store allows.
Duration Planner::Impl::storeWait(bool adapter, Instant urgency) const {
  std::vector<Duration> running, ahead;
  for (auto &[name, ep] : active)
    for (auto &[model, r] : ep->replicas) {
      if (r.source != CopySource::Remote || r.isAdapter() != adapter || !r.underWay())
        continue;
      if (r.phase != Phase::Queued && ep->reachable)
        running.push_back(std::max(r.expectedLoad - (env.now() - r.decidedAt), Duration(0)));
      else if (r.phase == Phase::Queued && r.urgency < urgency)
        ahead.push_back(r.expectedLoad);
    }
  if (adapter)
    return fromSeconds(adapterSeconds) *
           static_cast<std::int64_t>((running.size() + ahead.size()) /
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
  for (std::size_t i = 0; i <= ahead.size(); ++i) {
    start = std::max(start, slots.top());
    if (tokens < 1)
      start = std::max(start, fromSeconds((1 - tokens) / options.storeLoadsPerSecond));
    tokens -= 1;
    slots.pop();
    if (i < ahead.size())
      slots.push(start + ahead[i]);
  }
  return start;
}

/// Time until the replica is ready. A load that is overdue is expected to take a tenth longer.
Duration Planner::Impl::estimate(const Endpoint &ep, const Replica &r) const {
  auto elapsed = env.now() - r.acceptedAt;
  switch (r.phase) {
  case Phase::Queued: {
    auto wait = r.source == CopySource::Remote ? storeWait(r.isAdapter(), r.urgency) : Duration(0);
    auto base = ep.replicas.find(r.base);
    if (r.isAdapter() && base != ep.replicas.end())
      wait += estimate(ep, base->second);
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

/// True if a load may be decided on the endpoint.
bool Planner::Impl::eligible(const Endpoint &ep, std::uint64_t bytes) const {
  if (!mayOrder(ep) || !ep.reachable || ep.report.memoryBytes < bytes)
    return false;
  if (platformDown && !ep.fencing())
    return false;
  if (ep.departing() && options.guards.skipLeavingEndpoints)
    return false;
  return ep.avoidUntil <= env.now();
}

/// True if replicas on the endpoint can take requests.
bool Planner::Impl::available(const Endpoint &ep) const {
  if (ep.liveness == Liveness::Gone || (ep.departing() && options.guards.skipLeavingEndpoints))
    return false;
  return ep.silentSince == Instant() || env.now() - ep.silentSince <= config::EndpointSilentAfter;
}

bool Planner::Impl::idle(const Endpoint &ep, const Replica &r) const {
  if (r.phase != Phase::Ready || r.unresolved || r.inFlight > 0 || !ep.claimed)
    return false;
  auto use = models.find(r.model);
  if (use == models.end())
    return true;
  if (use->second.inFlight + use->second.waiting > 0 && !availableElsewhere(r.model, ep.name))
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
          .accelerators = static_cast<double>(r.bytes) / memory,
          .now = env.now(),
          .wallSeconds = env.wallSeconds()};
}

// ---- Choice ------------------------------------------------------------------------------------

/// Room that a plan has, and its own idle replicas, which go first when it has none.
Planner::Impl::GrantRoom Planner::Impl::grantRoom(const Plan &plan, const Model &model) {
  PlanTotals used;
  std::vector<std::pair<double, std::pair<Endpoint *, Replica *>>> found;
  for (auto &[name, ep] : populated)
    for (auto &[other, r] : ep->replicas) {
      if (r.payer != plan.name || isReleasing(r))
        continue;
      ++used.models;
      used.bytes += r.bytes;
      if (other != model.name && idle(*ep, r) && !ep->hasDependents(other))
        found.push_back({retention->keepValue(retentionInput(*ep, r)), {ep, &r}});
    }
  GrantRoom room{.models = plan.grant.models - used.models,
                 .bytes = static_cast<std::int64_t>(plan.grant.acceleratorBytes) -
                          static_cast<std::int64_t>(used.bytes)};
  std::stable_sort(found.begin(), found.end(), [](auto &a, auto &b) { return a.first < b.first; });
  for (auto &it : found)
    room.releasable.push_back(it.second);
  return room;
}

/// Chooses the idle replicas with the lowest value to keep until `need` bytes fit.
bool Planner::Impl::chooseEvictions(const Endpoint &ep, std::uint64_t need, const Model &model,
                                    Placement &p, double &cost) const {
  auto planned = ep.plannedBytes();
  std::set<ModelName> chosen;
  while (planned + need > ep.report.memoryBytes) {
    const Replica *best = nullptr;
    double lowest = 0;
    for (auto &[other, r] : ep.replicas) {
      if (other == model.name || other == model.base || chosen.contains(other) || !idle(ep, r))
        continue;
      bool based = std::any_of(ep.replicas.begin(), ep.replicas.end(), [&](auto &it) {
        return it.second.base == other && !chosen.contains(it.first);
      });
      if (based)
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

bool Planner::Impl::chooseGrantReleases(const GrantRoom &room, const PlanName &plan,
                                        const Model &model, Placement &p) {
  int needModels = p.base ? 2 : 1;
  auto needBytes = static_cast<std::int64_t>(model.bytes + (p.base ? p.base->bytes : 0));
  auto roomModels = room.models;
  auto roomBytes = room.bytes;
  for (auto &[name, other] : p.releases) {
    auto &r = endpoints.at(name).replicas.at(other);
    if (r.payer != plan)
      continue;
    ++roomModels;
    roomBytes += static_cast<std::int64_t>(r.bytes);
  }
  for (auto &[ep, r] : room.releasable) {
    if (roomModels >= needModels && roomBytes >= needBytes)
      break;
    std::pair<EndpointName, ModelName> key{ep->name, r->model};
    bool itsBase = p.endpoint == ep && r->model == model.base;
    if (itsBase || std::find(p.releases.begin(), p.releases.end(), key) != p.releases.end())
      continue;
    p.releases.push_back(key);
    ++roomModels;
    roomBytes += static_cast<std::int64_t>(r->bytes);
  }
  return roomModels >= needModels && roomBytes >= needBytes;
}

std::optional<Placement> Planner::Impl::consider(Endpoint &ep, const Model &model, const Plan &plan,
                                                 const GrantRoom &room, const LoadWish &wish,
                                                 Duration storeQueue, bool evictAnywhere,
                                                 std::string &reason) {
  if (!eligible(ep, model.bytes) || ep.replicas.contains(model.name))
    return std::nullopt;
  Placement p{.endpoint = &ep};
  Duration baseWait{0};
  std::uint64_t baseReturns = 0; // memory of a base whose release is to be cancelled
  bool baseLoaded = true;
  if (auto base = ep.replicas.find(model.base); base != ep.replicas.end()) {
    auto &r = base->second;
    bool cancellable = r.phase == Phase::Releasing && !r.unresolved;
    if (r.phase >= Phase::Releasing && !cancellable)
      return std::nullopt;
    baseWait = estimate(ep, r);
    baseReturns = cancellable ? r.bytes : 0;
  } else if (model.isAdapter()) {
    baseLoaded = false;
    p.base = modelOf(model.base);
    if (!p.base)
      return std::nullopt;
  }
  auto need = model.bytes + (p.base ? p.base->bytes : 0);
  auto source = sourceOf(ep, p.base ? p.base->name : model.name);
  bool near = source != CopySource::Remote || (model.isAdapter() && baseLoaded);
  bool fits = ep.plannedBytes() + need + baseReturns <= ep.report.memoryBytes;
  if (!fits && (wish.spareOnly || (!near && !evictAnywhere)))
    return std::nullopt;
  double evictionCost = 0;
  if (ep.report.memoryBytes < need ||
      !chooseEvictions(ep, need + baseReturns, model, p, evictionCost))
    return std::nullopt;
  if (!chooseGrantReleases(room, plan.name, model, p)) {
    reason = "the plan's grant is used up";
    return std::nullopt;
  }
  if (wish.spareOnly && !p.releases.empty())
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
                       .checksFencing = ep.fencing(),
                       .sameDataCentre =
                           wish.dataCentre.empty() || wish.dataCentre == ep.dataCentre};
  auto planned = ep.plannedBytes();
  c.freeBytes = ep.report.memoryBytes > planned ? ep.report.memoryBytes - planned : 0;
  p.cost = placement->cost(c);
  return p;
}

/// The cheapest placement that is ready within the remaining time; if there is none, the quickest.
/// Replicas are evicted only where a copy is near, or else when no free memory serves in time.
std::optional<Placement> Planner::Impl::choose(const Model &model, const Plan &plan,
                                               const LoadWish &wish, std::string &reason) {
  reason = "no endpoint has room";
  refillStoreTokens();
  auto room = grantRoom(plan, model);
  auto modelQueue = storeWait(false, wish.urgency);
  auto adapterQueue = model.isAdapter() ? storeWait(true, wish.urgency) : modelQueue;
  std::optional<Placement> best;
  auto inTime = [&](const Placement &p) { return p.estimate <= wish.remaining; };
  auto better = [&](const Placement &a, const Placement &b) {
    if (inTime(a) != inTime(b))
      return inTime(a);
    return inTime(a) ? a.cost < b.cost : a.estimate < b.estimate;
  };
  for (bool evictAnywhere : {false, true}) {
    for (auto &[name, ep] : endpoints) {
      bool adapterOnly = model.isAdapter() && ep.replicas.contains(model.base);
      auto queue = adapterOnly ? adapterQueue : modelQueue;
      auto p = consider(ep, model, plan, room, wish, queue, evictAnywhere, reason);
      if (p && (!best || better(*p, *best)))
        best = std::move(p);
    }
    if (best && inTime(*best))
      break;
  }
  return best;
}

/// Enters the decided replicas as queued and starts the releases that they need.
Replica *Planner::Impl::commit(const Model &model, const PlanName &payer, Instant urgency,
                               bool prewarm, const Placement &p, const std::string &requestId) {
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
    r.urgency = urgency;
    r.decidedAt = env.now();
    r.expectedLoad = loadTime(r.source, it.bytes, it.isAdapter());
    addReplica(ep, std::move(r));
  };
  if (p.base)
    add(*p.base);
  add(model);
  if (auto base = ep.replicas.find(model.base); base != ep.replicas.end()) {
    base->second.urgency = std::min(base->second.urgency, urgency);
    if (base->second.phase == Phase::Releasing)
      cancelRelease(ep, base->second);
  }
  log(DecisionKind::Placement, model.name, ep.name.value,
      prewarm ? "ahead of use" : "cold model requested", payer, requestId);
  return &ep.replicas.at(model.name);
}

// ---- Queue -------------------------------------------------------------------------------------

void Planner::Impl::refillStoreTokens() {
  auto now = env.now();
  storeTokens =
      std::min(options.storeLoadsPerSecond,
               storeTokens + toSeconds(now - storeTokensAt) * options.storeLoadsPerSecond);
  storeTokensAt = now;
}

Planner::Impl::QueueRoom Planner::Impl::queueRoom() {
  QueueRoom room{.modelSlots = options.storeConcurrentLoads,
                 .adapterSlots = options.storeAdaptersInFlight};
  for (auto &[name, ep] : populated)
    for (auto &[model, r] : ep->replicas) {
      if (!r.committed())
        continue;
      auto &sum = room.plans[r.payer];
      ++sum.models;
      sum.bytes += r.bytes;
      // A load on an endpoint that does not answer takes nothing from the store.
      if (ep->reachable && r.source == CopySource::Remote && r.underWay())
        --(r.isAdapter() ? room.adapterSlots : room.modelSlots);
    }
  return room;
}

bool Planner::Impl::takeStoreSlot(const Replica &r, QueueRoom &room) {
  if (r.source != CopySource::Remote)
    return true;
  auto &slots = r.isAdapter() ? room.adapterSlots : room.modelSlots;
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

/// True if the queued load can be ordered now; takes its share of `room`.
bool Planner::Impl::startable(const Endpoint &ep, const Replica &r, QueueRoom &room) {
  if (!mayOrder(ep) || (platformDown && !ep.fencing()))
    return false;
  if (ep.committedBytes() + r.bytes > ep.report.memoryBytes)
    return false;
  if (r.isAdapter()) {
    auto base = ep.replicas.find(r.base);
    if (base == ep.replicas.end() || base->second.phase != Phase::Ready)
      return false;
  }
  auto &used = room.plans[r.payer];
  if (auto plan = lists->plans.find(r.payer); plan != lists->plans.end()) {
    auto &grant = plan->second.grant;
    if (used.models + 1 > grant.models || used.bytes + r.bytes > grant.acceleratorBytes)
      return false;
  }
  if (!takeStoreSlot(r, room))
    return false;
  ++used.models;
  used.bytes += r.bytes;
  return true;
}

/// Starts queued loads, the most urgent first.
void Planner::Impl::pump() {
  std::vector<std::pair<Endpoint *, Replica *>> queue;
  for (auto &[name, ep] : queuedAt)
    for (auto &[model, r] : ep->replicas)
      if (r.phase == Phase::Queued)
        queue.emplace_back(ep, &r);
  if (queue.empty() || !lists)
    return;
  std::stable_sort(queue.begin(), queue.end(),
                   [](auto &a, auto &b) { return a.second->urgency < b.second->urgency; });
  bool left = false;
  auto room = queueRoom();
  std::vector<std::pair<EndpointName, ModelName>> start;
  for (auto &[ep, r] : queue) {
    if (!startable(*ep, *r, room)) {
      left = true;
      continue;
    }
    // Counts against memory and grant for the loads that follow.
    r->phase = Phase::Recording;
    start.emplace_back(ep->name, r->model);
    classify(*ep);
  }
  for (auto &[name, model] : start)
    if (auto *ep = find(name); ep && ep->replicas.contains(model))
      beginLoad(*ep, ep->replicas.at(model));
  if (!left || std::exchange(pumpScheduled, true))
    return;
  auto run = [](Impl &self) {
    self.pumpScheduled = false;
    self.pump();
  };
  env.after(std::max(fromSeconds(0.5 / options.storeLoadsPerSecond), ShortestPumpInterval),
            inSession(run));
}

} // namespace catkin
