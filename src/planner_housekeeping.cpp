#include "planner_impl_p.h"

#include <algorithm>

/// Periodic work of the planner. Each step visits the endpoints with pending changes, or a bounded
/// part of the others.
namespace catkin {

namespace {

constexpr Duration Second = std::chrono::seconds(1);
constexpr Duration RecentUseWindow = std::chrono::seconds(10);

} // namespace

void Planner::Impl::tick() {
  if (!isLeading)
    return;
  detectPause();
  auto now = env.now();
  auto elapsed = now - lastTick;
  lastTick = now;
  if (!unclaimed.empty())
    sendClaims();
  pollDueEndpoints();
  auto visits = activeEndpoints;
  for (auto &[name, ep] : visits)
    advanceReplicas(*ep);
  if (!isReady)
    return;
  startQueuedLoads();
  checkRetention(elapsed);
  if (now - lastPerSecondTasks < Second)
    return;
  lastPerSecondTasks = now;
  runPerSecondTasks();
}

/// Detects that the process was paused. The state of the endpoints is then out of date, and another
/// planner may lead. No decisions are made until all endpoints have been claimed again.
void Planner::Impl::detectPause() {
  if (env.now() - lastTick < config::ProcessPauseThreshold)
    return;
  lastTick = env.now();
  isReady = false;
  log(DecisionKind::Lease, {}, options.host.value,
      "the process was paused; all endpoints are claimed again");
  for (auto &[name, ep] : endpoints) {
    if (ep.liveness == Liveness::Gone)
      continue;
    ep.claimTried = false;
    if (recordsRead || listFailures > 0)
      requireClaim(ep);
  }
  sendClaims();
}

void Planner::Impl::runPerSecondTasks() {
  replicaCount = 0;
  for (auto &[name, ep] : populatedEndpoints)
    replicaCount += ep->replicas.size();
  expireHostReports();
  flushRecords();
  dropStuckLoads();
  placePendingModels();
  evacuateDepartingEndpoints();
  scaleReplicas();
  enforceGrants();
  eraseGoneEndpoints();
  if (env.now() - lastPrewarm < config::PrewarmInterval)
    return;
  lastPrewarm = env.now();
  prewarm();
}

// ---- Use reported by hosts ---------------------------------------------------------------------

/// Replaces the host's reported use. `loads` lists all models in use on the host; a model that is
/// missing is no longer in use there.
void Planner::Impl::onModelLoads(const HostName &host, const std::vector<ModelLoad> &loads) {
  auto now = env.now();
  auto &known = hostReports[host];
  for (auto &it : known.loads) {
    it.use->inFlight -= it.inFlight;
    it.use->waiting -= it.waiting;
    if (it.inFlight + it.waiting > 0)
      it.use->lastUse = now;
  }
  known.receivedAt = now;
  known.loads.clear();
  for (auto &it : loads) {
    auto &use = models[it.model];
    use.inFlight += it.inFlight;
    use.waiting += it.waiting;
    known.loads.push_back({.use = &use, .inFlight = it.inFlight, .waiting = it.waiting});
    if (it.inFlight + it.waiting > 0 || it.arrivals > 0)
      use.lastUse = now;
    if (it.arrivals > 0)
      retention->onArrivals(it.model, it.arrivals, now, env.wallSeconds());
  }
}

/// Removes the reports of hosts that have sent none for HostReportTimeout.
void Planner::Impl::expireHostReports() {
  auto oldest = env.now() - config::HostReportTimeout;
  for (auto it = hostReports.begin(); it != hostReports.end();) {
    if (it->second.receivedAt >= oldest) {
      ++it;
      continue;
    }
    auto name = it->first;
    ++it;
    onModelLoads(name, {});
    hostReports.erase(name);
  }
}

/// True if the model has requests or was used within RecentUseWindow.
bool Planner::Impl::isNeeded(const ModelName &model) const {
  auto it = models.find(model);
  if (it == models.end())
    return false;
  return it->second.inFlight + it->second.waiting > 0 ||
         (it->second.lastUse != Instant() && env.now() - it->second.lastUse < RecentUseWindow);
}

/// True if an endpoint other than `except` can serve the model now.
bool Planner::Impl::isReadyElsewhere(const ModelName &model, const EndpointName &except) const {
  auto use = models.find(model);
  if (use == models.end())
    return false;
  return std::any_of(use->second.endpoints.begin(), use->second.endpoints.end(), [&](auto &name) {
    auto &ep = endpoints.at(name);
    return name != except && canServe(ep) && ep.replicas.at(model).phase == Phase::Ready;
  });
}

// ---- Loads without an ensure request -----------------------------------------------------------

/// Places the models that are needed and have lost their replica. A model for which no endpoint has
/// capacity stays pending until its deadline.
void Planner::Impl::placePendingModels() {
  auto now = env.now();
  auto pending = std::exchange(pendingPlacements, {});
  for (auto &entry : pending) {
    auto &name = entry.first;
    auto &it = entry.second;
    auto *model = modelOf(name);
    auto &use = models[name];
    bool placed = std::any_of(use.endpoints.begin(), use.endpoints.end(), [&](auto &other) {
      auto &ep = endpoints.at(other);
      return canServe(ep) && ep.replicas.at(name).phase <= Phase::Ready;
    });
    if (placed || !model || it.deadline <= now)
      continue;
    auto plan = lists->plans.find(it.payer.empty() ? use.payer : it.payer);
    if (plan == lists->plans.end())
      continue;
    std::string reason;
    PlacementQuery query{.deadline = it.deadline, .remaining = it.deadline - now};
    auto p = choosePlacement(*model, plan->second, query, reason);
    if (p)
      commitPlacement(*model, plan->first, it.deadline, false, *p, {});
    else
      pendingPlacements.insert({name, it});
  }
  startQueuedLoads();
}

/// True if the payer's grant has headroom for a second copy of the model.
bool Planner::Impl::replacementFitsGrant(const ModelName &name, const PlanName &payer) {
  auto *model = modelOf(name);
  if (!model)
    return true;
  auto plan = lists->plans.find(payer);
  if (plan == lists->plans.end())
    return true;
  auto headroom = grantHeadroom(plan->second, *model);
  return headroom.models >= 1 && headroom.bytes >= static_cast<std::int64_t>(model->bytes);
}

/// Places the models in use on departing endpoints elsewhere and releases the idle replicas there.
/// A replica that was used recently but has no request now is released too if the grant has no
/// headroom for both copies: a request refused for lack of grant is worse than a cold start.
void Planner::Impl::evacuateDepartingEndpoints() {
  if (!options.guards.skipLeavingEndpoints)
    return;
  std::vector<std::pair<EndpointName, ModelName>> releases;
  for (auto &[name, endpoint] : populatedEndpoints) {
    auto &ep = *endpoint;
    if (!ep.isDeparting())
      continue;
    for (auto &[model, r] : ep.replicas) {
      if (r.phase == Phase::Queued || (r.phase == Phase::Loading && !r.isAdapter()))
        pendingPlacements.insert({model, {.payer = r.payer, .deadline = r.deadline}});
      if (r.phase != Phase::Ready)
        continue;
      bool elsewhere = isReadyElsewhere(model, name);
      auto &use = models[model];
      bool inUse = use.inFlight + use.waiting > 0;
      if (!elsewhere && isNeeded(model) && (inUse || replacementFitsGrant(model, r.payer)))
        pendingPlacements.insert(
            {model, {.payer = r.payer, .deadline = env.now() + config::ReplacementDeadline}});
      else if (!r.unresolved && !ep.hasDependents(model))
        releases.emplace_back(name, model);
    }
  }
  for (auto &[name, model] : releases)
    startRelease(endpoints.at(name), endpoints.at(name).replicas.at(model), "endpoint is leaving");
}

/// Adds a replica of a model when each one has had many requests for some time, and releases one
/// when the others are enough. A load occupies the weight store for seconds, so short peaks are
/// left to the engines' batching.
void Planner::Impl::scaleReplicas() {
  auto now = env.now();
  for (auto &[name, use] : models) {
    if (use.endpoints.size() < 2 && use.inFlight + use.waiting < config::RequestsPerReplica) {
      use.busySince = use.quietSince = {};
      continue;
    }
    int ready = 0, loadsUnderWay = 0;
    Endpoint *least = nullptr;
    for (auto &other : use.endpoints) {
      auto &ep = endpoints.at(other);
      auto &r = ep.replicas.at(name);
      if (!canServe(ep))
        continue;
      loadsUnderWay += r.isLoadUnderWay() ? 1 : 0;
      if (r.phase != Phase::Ready)
        continue;
      ++ready;
      if (!r.unresolved && !ep.hasDependents(name) &&
          (!least || r.inFlight < least->replicas.at(name).inFlight))
        least = &ep;
    }
    auto requests = use.inFlight + use.waiting;
    bool busy = ready > 0 && loadsUnderWay == 0 && requests >= ready * config::RequestsPerReplica;
    bool quiet = ready > 1 && requests <= (ready - 1) * config::RequestsPerReplica / 2;
    use.busySince = !busy ? Instant() : use.busySince == Instant() ? now : use.busySince;
    use.quietSince = !quiet ? Instant() : use.quietSince == Instant() ? now : use.quietSince;
    if (quiet && least && now - use.quietSince >= config::ScaleDownAfter) {
      startRelease(*least, least->replicas.at(name), "scaled down: fewer replicas suffice");
      use.quietSince = now;
    }
    if (!busy || now - use.busySince < config::ScaleUpAfter)
      continue;
    use.busySince = now;
    auto *model = modelOf(name);
    auto plan = model ? lists->plans.find(use.payer) : lists->plans.end();
    if (!model || plan == lists->plans.end())
      continue;
    std::string reason;
    auto deadline = now + config::ReplacementDeadline;
    PlacementQuery query{
        .deadline = deadline, .remaining = config::ReplacementDeadline, .spareCapacityOnly = true};
    auto p = choosePlacement(*model, plan->second, query, reason);
    if (p)
      commitPlacement(*model, plan->first, deadline, false, *p, {});
  }
}

/// Erases endpoints that are gone. Their records are erased first, since they would otherwise
/// accumulate over the years.
void Planner::Impl::eraseGoneEndpoints() {
  if (platformDown || !recordsRead)
    return;
  int erasesLeft = config::RecordErasesPerSecond;
  for (auto it = endpoints.begin(); it != endpoints.end() && erasesLeft > 0;) {
    auto &[name, ep] = *it;
    bool referenced = ep.liveness != Liveness::Gone || !ep.replicas.empty() || ep.writeInFlight ||
                      ep.claimInFlight || ep.pollInFlight || ep.drained || ep.recordMalformed;
    if (!referenced && ep.recordVersion == 0) {
      pollQueue.erase({ep.pollAt, name});
      dirtyRecords.erase(name);
      it = endpoints.erase(it);
      continue;
    }
    ++it;
    if (referenced)
      continue;
    --erasesLeft;
    ep.writeInFlight = true;
    auto done = [name = name](Impl &self, StoreStatus status, const StoreObject &) {
      auto *gone = self.find(name);
      if (!gone)
        return;
      gone->writeInFlight = false;
      // After any other result, the next write reads the record back or a later call erases it.
      if (status == StoreStatus::Ok || status == StoreStatus::NotFound)
        gone->recordVersion = 0;
      if (!gone->nextWriteCallbacks.empty())
        self.startWrite(*gone);
    };
    env.platform().erase("endpoints/" + name.value, ep.recordVersion, bindToSession(done));
  }
}

/// Drops queued loads that cannot start any more. They are placed again if a request still waits.
void Planner::Impl::dropStuckLoads() {
  auto now = env.now();
  std::vector<std::pair<EndpointName, ModelName>> drops;
  for (auto &[name, endpoint] : queuedEndpoints) {
    auto &ep = *endpoint;
    bool releasing = std::any_of(ep.replicas.begin(), ep.replicas.end(), [](auto &it) {
      return it.second.phase >= Phase::Releasing && it.second.phase <= Phase::Unloading;
    });
    for (auto &[model, r] : ep.replicas) {
      if (r.phase != Phase::Queued)
        continue;
      bool stuck = !releasing && ep.committedBytes() + r.bytes > ep.report.memoryBytes;
      if (r.deadline <= now || !canLoad(ep, r.bytes) || stuck)
        drops.emplace_back(name, model);
    }
  }
  for (auto &[name, model] : drops)
    if (auto *ep = find(name))
      dropReplica(*ep, model, "queued load cannot start", true);
}

/// Loads the models that the retention policy expects to be used soon. Such loads release no other
/// replicas and are queued only if the weight store could start them within a second.
void Planner::Impl::prewarm() {
  if (!lists)
    return;
  for (auto &name : retention->prewarm(env.now(), env.wallSeconds())) {
    auto *model = modelOf(name);
    auto &use = models[name];
    if (!model || !use.endpoints.empty())
      continue;
    auto payer = use.payer;
    for (auto it = lists->uses.begin(); payer.empty() && it != lists->uses.end(); ++it) {
      auto &allowed = it->second.models;
      if (std::find(allowed.begin(), allowed.end(), name) != allowed.end())
        payer = it->first;
    }
    auto plan = lists->plans.find(payer);
    auto deadline = env.now() + config::PrewarmDeadline;
    if (plan == lists->plans.end() || storeWait(false, deadline) > Second)
      continue;
    std::string reason;
    PlacementQuery query{
        .deadline = deadline, .remaining = config::PrewarmDeadline, .spareCapacityOnly = true};
    auto p = choosePlacement(*model, plan->second, query, reason);
    if (p)
      commitPlacement(*model, payer, deadline, true, *p, {});
  }
  startQueuedLoads();
}

// ---- Retention ---------------------------------------------------------------------------------

/// Checks some of the replicas in turn, so that each is checked once per RetentionSweepInterval. In
/// a large fleet, RetentionChecksPerSecond limits the number of checks.
void Planner::Impl::checkRetention(Duration elapsed) {
  auto perSecond = std::min<double>(static_cast<double>(replicaCount) /
                                        toSeconds(config::RetentionSweepInterval),
                                    config::RetentionChecksPerSecond);
  retentionCredit =
      std::min(retentionCredit + perSecond * toSeconds(elapsed), static_cast<double>(replicaCount));
  while (retentionCredit >= 1 && !populatedEndpoints.empty()) {
    retentionCredit -= 1;
    auto entry = populatedEndpoints.lower_bound(retentionCursor.first);
    if (entry == populatedEndpoints.end())
      entry = populatedEndpoints.begin();
    auto &ep = *entry->second;
    if (retentionCursor.first != ep.name)
      retentionCursor = {ep.name, ModelName()};
    auto r = ep.replicas.upper_bound(retentionCursor.second);
    if (r == ep.replicas.end()) {
      auto next = populatedEndpoints.upper_bound(ep.name);
      retentionCursor = {next == populatedEndpoints.end() ? EndpointName() : next->first,
                         ModelName()};
      retentionCredit += 1;
      if (retentionCursor.first.empty())
        return;
      continue;
    }
    retentionCursor.second = r->first;
    checkReplicaRetention(ep, r->second);
  }
}

/// Releases an idle replica if its model is not listed or the retention policy says so.
void Planner::Impl::checkReplicaRetention(Endpoint &ep, Replica &r) {
  if (!isIdle(ep, r) || ep.hasDependents(r.model))
    return;
  if (lists && !modelOf(r.model))
    startRelease(ep, r, "model is no longer listed");
  else if (retention->shouldRelease(retentionInput(ep, r)))
    startRelease(ep, r, "idle");
}

/// Releases idle replicas of plans that exceed their grant, for instance after it was lowered.
void Planner::Impl::enforceGrants() {
  if (!lists)
    return;
  std::map<PlanName, PlanTotals> sums;
  for (auto &[name, ep] : populatedEndpoints)
    for (auto &[model, r] : ep->replicas)
      if (r.phase < Phase::Releasing && !r.payer.empty()) {
        ++sums[r.payer].models;
        sums[r.payer].bytes += r.bytes;
      }
  for (auto &[name, sum] : sums) {
    auto it = lists->plans.find(name);
    Plan none{.name = name};
    auto &plan = it == lists->plans.end() ? none : it->second;
    if (sum.models <= plan.grant.models && sum.bytes <= plan.grant.acceleratorBytes)
      continue;
    auto headroom = grantHeadroom(plan, Model{});
    if (!headroom.releasable.empty())
      startRelease(*headroom.releasable[0].first, *headroom.releasable[0].second,
                   "the plan holds more than its grant");
  }
}

} // namespace catkin
