#include "planner_impl_p.h"

#include <algorithm>

/// Orders to endpoints, status polls, and the steps of a replica from its recorded intent to its
/// release.
namespace catkin {

namespace {

// Bounds of the poll interval of an endpoint that is loading. A longer interval would lengthen cold
// starts noticeably.
constexpr Duration MinLoadPollInterval = std::chrono::milliseconds(10);
constexpr Duration MaxLoadPollInterval = std::chrono::milliseconds(500);
constexpr Duration StaleReportPollDelay = std::chrono::milliseconds(20);
constexpr Duration ReleasePollInterval = std::chrono::milliseconds(250);
constexpr double LoadRateWeight = 0.3; // of the newest load in the moving average

} // namespace

// ---- Conditions --------------------------------------------------------------------------------

/// True if load and unload orders may be sent to the endpoint now; checked immediately before each
/// order. An endpoint that ignores fencing tokens would obey an order that is sent after a newer
/// planner has started.
bool Planner::Impl::mayOrder(const Endpoint &ep) const {
  if (!isLeading || !ep.claimed || ep.recordMalformed || ep.liveness == Liveness::Gone)
    return false;
  if (ep.checksFencing())
    return true;
  return recordsRead && (env.now() < orderLimit || !options.guards.stopOrdersAtLeaseEnd);
}

// ---- Table and indexes -------------------------------------------------------------------------

/// Updates the routing table with the state of one replica.
void Planner::Impl::publishRoute(Endpoint &ep, const Replica &r) {
  if (!r.isCommitted() || r.phase == Phase::Reserved)
    return table.remove(r.model, ep.name);
  auto state = ReplicaState::Intended;
  if (r.phase == Phase::Ready)
    state = ReplicaState::Loaded;
  else if (r.phase > Phase::Ready)
    state = ReplicaState::Releasing;
  table.set({.model = r.model,
             .endpoint = ep.name,
             .address = ep.address,
             .dataCentre = ep.dataCentre,
             .state = state,
             .leaving = ep.isDeparting(),
             .generation = ep.report.generation,
             .running = ep.report.running,
             .queued = ep.report.queued});
}

void Planner::Impl::publishRoutes(Endpoint &ep) {
  for (auto &[model, r] : ep.replicas)
    publishRoute(ep, r);
}

/// Updates the sets of endpoints that the periodic work visits.
void Planner::Impl::updateEndpointSets(Endpoint &ep) {
  bool busy = false, queued = false;
  for (auto &[model, r] : ep.replicas) {
    busy |= r.phase != Phase::Ready && r.phase != Phase::Reserved;
    queued |= r.phase == Phase::Queued;
  }
  auto setMembership = [&ep](EndpointSet &set, bool member) {
    if (member)
      set.emplace(ep.name, &ep);
    else
      set.erase(ep.name);
  };
  setMembership(activeEndpoints, busy);
  setMembership(queuedEndpoints, queued);
  setMembership(populatedEndpoints, !ep.replicas.empty());
}

void Planner::Impl::addReplica(Endpoint &ep, Replica r) {
  auto model = r.model;
  models[model].endpoints.insert(ep.name);
  auto &added = ep.replicas[model] = std::move(r);
  publishRoute(ep, added);
  updateEndpointSets(ep);
}

/// Removes a replica. With `placeAgain`, the model is placed again if it is still needed.
void Planner::Impl::dropReplica(Endpoint &ep, const ModelName &dropped, std::string_view reason,
                                bool placeAgain) {
  auto it = ep.replicas.find(dropped);
  if (it == ep.replicas.end())
    return;
  // `dropped` may refer to the name inside the erased replica.
  auto r = std::move(it->second);
  const auto &model = r.model;
  ep.replicas.erase(it);
  models[model].endpoints.erase(ep.name);
  table.remove(model, ep.name);
  if (r.isCommitted())
    markDirty(ep);
  log(DecisionKind::Release, model, ep.name.value, std::string(reason), r.payer);
  std::vector<ModelName> dependents;
  for (auto &[name, other] : ep.replicas)
    if (other.base == model && other.phase == Phase::Queued)
      dependents.push_back(name);
  // A base that was being loaded for an adapter is placed again together with the adapter.
  bool stillAwaited = r.isLoadUnderWay() && r.deadline > env.now() && dependents.empty();
  if (placeAgain && (stillAwaited || (r.phase <= Phase::Ready && isNeeded(model))))
    pendingPlacements[model] = {.payer = r.payer,
                                .deadline =
                                    std::max(r.deadline, env.now() + config::ReplacementDeadline)};
  retryPendingEnsures(r.pendingEnsures);
  for (auto &name : dependents)
    dropReplica(ep, name, "its base model was dropped", placeAgain);
  updateEndpointSets(ep);
}

// ---- Orders ------------------------------------------------------------------------------------

/// Sends an order and counts it in ordersInFlight until it is answered.
void Planner::Impl::send(const Endpoint &ep, const EngineOrder &order, OrderDone done) {
  ++ordersInFlight;
  auto answered = [weak = weak_from_this(), done = std::move(done)](OrderStatus status,
                                                                    const EndpointReport &report) {
    if (auto self = weak.lock())
      --self->ordersInFlight;
    done(status, report);
  };
  env.engines().order(ep.address, order, answered);
}

// ---- Load --------------------------------------------------------------------------------------

void Planner::Impl::beginLoad(Endpoint &ep, Replica &r) {
  ++counters.loadsDecided;
  recordIntent(ep, r);
}

/// Records the intent to load a replica under a new order id. Also used to complete an unfinished
/// order of a former planner; the write makes that planner's own late writes to the record fail.
void Planner::Impl::recordIntent(Endpoint &ep, Replica &r) {
  r.phase = Phase::Recording;
  r.term = currentTerm;
  r.orderId = std::to_string(currentTerm) + ":" + std::to_string(++sequence);
  publishRoute(ep, r);
  bool skipRecord = platformDown && ep.checksFencing();
  if (skipRecord || !options.guards.recordIntentBeforeOrder) {
    markDirty(ep);
    return onIntentRecorded(ep.name, r.model, r.orderId, true);
  }
  auto done = [name = ep.name, model = r.model, id = r.orderId](Impl &self, bool ok) {
    self.onIntentRecorded(name, model, id, ok);
  };
  writeRecord(ep, bindToSession(done));
}

void Planner::Impl::onIntentRecorded(const EndpointName &name, const ModelName &model,
                                     const std::string &id, bool ok) {
  auto *r = find(name, model, id);
  if (!r || r->phase != Phase::Recording)
    return;
  auto &ep = *find(name);
  bool formerMayOrder = r->unresolved; // a former planner may still order it
  if (!ok && !ep.checksFencing() && !formerMayOrder)
    return dropReplica(ep, model, "intent could not be recorded", true);
  // The write may have revealed an order of a former planner that uses the memory.
  if (ep.committedBytes() > ep.report.memoryBytes && !formerMayOrder)
    return dropReplica(ep, model, "a former planner's order uses the memory", true);
  r->phase = Phase::Ordering;
  r->nextTry = env.now();
  if (!ok && !ep.checksFencing()) {
    r->term = 0;
    r->nextTry += config::OrderRetryInterval;
    return;
  }
  answerPendingEnsures(ep, *r);
  sendLoad(ep, *r);
}

/// Sends an order for a replica. `onAnswer` is called with the answer if the replica still has the
/// same order id.
void Planner::Impl::sendOrder(Endpoint &ep, Replica &r, OrderKind kind,
                              OrderAnswerHandler onAnswer) {
  r.sentAt = env.now();
  ++ep.orderEpoch;
  EngineOrder order{.kind = kind,
                    .term = currentTerm,
                    .orderId = r.orderId,
                    .model = r.model,
                    .base = r.base,
                    .bytes = r.bytes};
  auto done = [name = ep.name, model = r.model, id = r.orderId,
               onAnswer](Impl &self, OrderStatus status, const EndpointReport &report) {
    auto *it = self.find(name);
    if (it)
      ++it->orderEpoch;
    if (auto *replica = self.find(name, model, id))
      (self.*onAnswer)(*it, *replica, status, report);
    else if (status == OrderStatus::StaleTerm)
      self.onStaleTerm();
  };
  send(ep, order, bindToSession(done));
}

void Planner::Impl::sendLoad(Endpoint &ep, Replica &r) {
  if (ep.isDeparting() && options.guards.skipLeavingEndpoints) {
    if (!r.orderSent)
      dropReplica(ep, r.model, "endpoint is leaving", true);
    return;
  }
  if (!mayOrder(ep))
    return;
  // A former planner's order is dropped if a model loaded during an outage, without a record, uses
  // its memory.
  if (ep.committedBytes() > ep.report.memoryBytes) {
    if (ep.checksFencing())
      dropReplica(ep, r.model, "another model uses its memory", true);
    return;
  }
  r.orderInFlight = r.orderSent = true;
  sendOrder(ep, r, OrderKind::Load, &Impl::onLoadAnswer);
}

void Planner::Impl::onLoadAnswer(Endpoint &ep, Replica &r, OrderStatus status,
                                 const EndpointReport &report) {
  auto now = env.now();
  r.orderInFlight = false;
  if (status == OrderStatus::StaleTerm)
    return onStaleTerm();
  updateReachability(ep, status != OrderStatus::Unreachable && status != OrderStatus::Unknown);
  switch (status) {
  case OrderStatus::Ok:
    r.phase = Phase::Loading;
    r.acceptedAt = now;
    if (ep.report.incarnation != report.incarnation) {
      // The new incarnation has accepted this replica: it is kept when the others are dropped.
      r.orderInFlight = true;
      applyReport(ep, report);
      r.orderInFlight = false;
      r.phase = Phase::Loading;
    }
    for (auto &it : report.models)
      if (it.model == r.model && it.ready)
        markReady(ep, r);
    break;
  case OrderStatus::Unreachable:
  case OrderStatus::Unknown:
    r.nextTry = now + config::OrderRetryInterval;
    break;
  default:
    r.loadRefused = !r.unresolved;
    r.nextTry = now + (r.loadRefused ? config::RefusedOrderGrace : config::OrderRetryInterval);
    ep.avoidUntil = now + config::RefusedEndpointPause;
    log(DecisionKind::Placement, r.model, ep.name.value,
        "load refused: " + std::string(toString(status)), r.payer);
    schedulePollWithin(ep, config::RefusedOrderGrace);
    break;
  }
  updateEndpointSets(ep);
  scheduleLoadPoll(ep);
}

/// Marks a replica as loaded.
void Planner::Impl::markReady(Endpoint &ep, Replica &r) {
  if (r.phase == Phase::Ready)
    return;
  updateLoadRate(r);
  r.phase = Phase::Ready;
  r.readyAt = env.now();
  r.loadRefused = false;
  markDirty(ep);
  publishRoute(ep, r);
  updateEndpointSets(ep);
  env.after(Duration(0), bindToSession([](Impl &self) { self.startQueuedLoads(); }));
}

/// Updates the moving average of the load rate with a completed load. Each source has its own rate,
/// since memory, disk and the weight store differ greatly.
void Planner::Impl::updateLoadRate(const Replica &r) {
  if (r.sentAt == Instant() || r.acceptedAt < r.sentAt)
    return;
  auto seconds = std::max(toSeconds(env.now() - r.acceptedAt), 1e-3);
  if (r.isAdapter() && r.source == CopySource::Remote) {
    adapterLoadSeconds += LoadRateWeight * (seconds - adapterLoadSeconds);
    return;
  }
  auto &rate = bytesPerSecond[static_cast<std::size_t>(r.source)];
  rate += LoadRateWeight * (static_cast<double>(r.bytes) / seconds - rate);
}

// ---- Release -----------------------------------------------------------------------------------

/// Starts the release of a replica by marking it in the routing table.
void Planner::Impl::startRelease(Endpoint &ep, Replica &r, std::string_view reason) {
  r.phase = Phase::Releasing;
  r.releaseAckedAt = {};
  publishRoute(ep, r);
  r.releaseVersion = table.version();
  ++counters.releasesDecided;
  log(DecisionKind::Release, r.model, ep.name.value, std::string(reason), r.payer);
  updateEndpointSets(ep);
}

/// Cancels a release. Only allowed before the intent to unload is written.
void Planner::Impl::cancelRelease(Endpoint &ep, Replica &r) {
  r.phase = Phase::Ready;
  publishRoute(ep, r);
  log(DecisionKind::Placement, r.model, ep.name.value, "release cancelled", r.payer);
  updateEndpointSets(ep);
}

/// Records the intent to unload once no host routes to the replica and it has no requests.
void Planner::Impl::continueRelease(Endpoint &ep, Replica &r) {
  // Before the claim it is unknown whether the endpoint still holds the model.
  if (!ep.claimed || r.unconfirmed)
    return;
  if (ep.hasDependents(r.model))
    return cancelRelease(ep, r);
  auto now = env.now();
  if (options.guards.waitForTableAcks) {
    if (acknowledgedVersion < r.releaseVersion)
      return;
    if (r.releaseAckedAt == Instant())
      r.releaseAckedAt = now;
    if (ep.reportAskedAt < r.releaseAckedAt)
      return schedulePollWithin(ep, Duration(0));
    if (r.inFlight > 0)
      return schedulePollWithin(ep, ReleasePollInterval);
  }
  if (!mayOrder(ep) || (platformDown && !ep.checksFencing()))
    return;
  r.phase = Phase::RecordingRelease;
  r.term = currentTerm;
  r.orderId = std::to_string(currentTerm) + ":" + std::to_string(++sequence);
  auto done = [name = ep.name, model = r.model, id = r.orderId](Impl &self, bool ok) {
    auto *it = self.find(name, model, id);
    if (!it || it->phase != Phase::RecordingRelease)
      return;
    auto &endpoint = *self.find(name);
    it->phase = ok || endpoint.checksFencing() ? Phase::Unloading : Phase::Releasing;
    if (it->phase == Phase::Unloading)
      self.sendUnload(endpoint, *it);
  };
  if ((platformDown && ep.checksFencing()) || !options.guards.recordIntentBeforeOrder) {
    markDirty(ep);
    return done(*this, true);
  }
  writeRecord(ep, bindToSession(done));
}

void Planner::Impl::sendUnload(Endpoint &ep, Replica &r) {
  if (!mayOrder(ep))
    return;
  r.orderInFlight = true;
  sendOrder(ep, r, OrderKind::Unload, &Impl::onUnloadAnswer);
}

void Planner::Impl::onUnloadAnswer(Endpoint &ep, Replica &r, OrderStatus status,
                                   const EndpointReport &) {
  r.orderInFlight = false;
  if (status == OrderStatus::StaleTerm)
    return onStaleTerm();
  updateReachability(ep, status != OrderStatus::Unreachable && status != OrderStatus::Unknown);
  r.nextTry = env.now() + config::OrderRetryInterval;
  if (status != OrderStatus::Ok && status != OrderStatus::NotFound)
    return;
  if (r.unresolved && !ep.checksFencing()) {
    r.phase = Phase::Reserved;
    publishRoute(ep, r);
    updateEndpointSets(ep);
    return;
  }
  dropReplica(ep, r.model, "unloaded", false);
  startQueuedLoads();
}

// ---- Status polls ------------------------------------------------------------------------------

/// Notes whether a call reached the endpoint.
void Planner::Impl::updateReachability(Endpoint &ep, bool reached) {
  ep.reachable = reached;
  if (reached)
    ep.silentSince = {};
  else if (ep.silentSince == Instant())
    ep.silentSince = env.now();
}

/// Requests the status and reconciles the replicas with it.
void Planner::Impl::poll(Endpoint &ep) {
  if (ep.pollInFlight || !isLeading || ep.liveness == Liveness::Gone)
    return;
  ep.pollInFlight = true;
  auto done = [name = ep.name, epoch = ep.orderEpoch,
               asked = env.now()](Impl &self, bool reached, const EndpointReport &report) {
    auto *it = self.find(name);
    if (!it)
      return;
    it->pollInFlight = false;
    self.updateReachability(*it, reached);
    self.scheduleRegularPoll(*it);
    if (!reached)
      return self.scheduleLoadPoll(*it);
    if (report.checksFencing && report.term > self.currentTerm)
      return self.onStaleTerm();
    self.applyReport(*it, report);
    // An order was sent or answered during the call, so the report may not include its effect.
    if (epoch != it->orderEpoch)
      return self.schedulePollWithin(*it, StaleReportPollDelay);
    it->reportAskedAt = asked;
    self.reconcile(*it, asked);
    self.scheduleLoadPoll(*it);
    self.advanceReplicas(*it);
  };
  env.engines().status(ep.address, bindToSession(done));
}

/// Schedules an extra poll after `d`, unless an earlier one is scheduled.
void Planner::Impl::schedulePollWithin(Endpoint &ep, Duration d) {
  auto due = env.now() + d;
  if (ep.extraPollAt > env.now() && ep.extraPollAt <= due)
    return;
  ep.extraPollAt = due;
  auto run = [name = ep.name, due](Impl &self) {
    auto *it = self.find(name);
    if (!it || it->extraPollAt != due)
      return;
    it->extraPollAt = {};
    self.poll(*it);
  };
  env.after(d, bindToSession(run));
}

/// Schedules a poll near the expected end of the next load on the endpoint.
void Planner::Impl::scheduleLoadPoll(Endpoint &ep) {
  auto now = env.now();
  Duration soonest = MaxLoadPollInterval;
  bool anyLoading = false;
  for (auto &[model, r] : ep.replicas) {
    if (r.phase != Phase::Loading)
      continue;
    anyLoading = true;
    auto elapsed = now - r.acceptedAt;
    auto left = r.expectedLoad - elapsed;
    soonest = std::min(soonest, left > Duration(0) ? left : elapsed / 20);
  }
  if (anyLoading)
    schedulePollWithin(ep, std::max(soonest, MinLoadPollInterval));
}

/// Schedules the next regular poll. The number of polls per second over all endpoints is limited,
/// since each takes time and traffic.
void Planner::Impl::scheduleRegularPoll(Endpoint &ep) {
  pollQueue.erase({ep.pollAt, ep.name});
  bool loaded = populatedEndpoints.contains(ep.name);
  auto n = loaded ? populatedEndpoints.size() : endpoints.size() - populatedEndpoints.size();
  auto perSecond =
      loaded ? config::LoadedEndpointPollsPerSecond : config::EmptyEndpointPollsPerSecond;
  auto interval = std::max<Duration>(config::EndpointStatusInterval,
                                     fromSeconds(static_cast<double>(n) / perSecond));
  // Random delays spread the polls of endpoints that were claimed together.
  auto fraction = static_cast<double>(env.random() % 1024) / 1024;
  bool first = ep.pollAt == Instant();
  ep.pollAt =
      env.now() + fromSeconds(toSeconds(interval) * (first ? fraction : 0.75 + fraction / 2));
  pollQueue.insert({ep.pollAt, ep.name});
}

void Planner::Impl::pollDueEndpoints() {
  auto now = env.now();
  while (!pollQueue.empty() && pollQueue.begin()->first <= now) {
    auto name = pollQueue.begin()->second;
    pollQueue.erase(pollQueue.begin());
    if (auto *ep = find(name); ep && ep->liveness != Liveness::Gone) {
      scheduleRegularPoll(*ep);
      poll(*ep);
    }
  }
}

// ---- Retries -----------------------------------------------------------------------------------

/// Takes the next step of each replica on the endpoint that is being loaded or released.
void Planner::Impl::advanceReplicas(Endpoint &ep) {
  auto now = env.now();
  std::vector<ModelName> names;
  for (auto &[model, r] : ep.replicas)
    if (r.phase != Phase::Ready && r.phase != Phase::Reserved)
      names.push_back(model);
  for (auto &name : names) {
    auto it = ep.replicas.find(name);
    if (it == ep.replicas.end())
      continue;
    auto &r = it->second;
    if (r.phase == Phase::Releasing)
      continueRelease(ep, r);
    if (r.orderInFlight || r.nextTry > now)
      continue;
    if (r.phase == Phase::Unloading)
      sendUnload(ep, r);
    if (r.phase != Phase::Ordering || r.loadRefused || (r.unconfirmed && !r.unresolved))
      continue;
    bool silent = ep.silentSince != Instant() && now - ep.silentSince > config::EndpointSilentAfter;
    if (silent && !r.orderSent)
      dropReplica(ep, name, "endpoint does not answer", true);
    else if (r.term != currentTerm && mayOrder(ep))
      recordIntent(ep, r);
    else
      sendLoad(ep, r);
  }
}

} // namespace catkin
