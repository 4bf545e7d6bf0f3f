#include "planner_impl_p.h"

/// Start of a term: records are read, endpoints claimed, and both compared with what endpoints
/// report. The comparison goes on during the term, since endpoints restart and orders get lost.
namespace catkin {

namespace {

constexpr Duration ListRetryInterval = std::chrono::milliseconds(500);
// After this many failures the term begins with the endpoints that check fencing: their claim tells
// all that the records would.
constexpr int ListFailuresBeforeStart = 3;
constexpr Duration ClaimRetryInterval = std::chrono::seconds(1);

Phase phaseOf(ReplicaState state) {
  if (state == ReplicaState::Intended)
    return Phase::Ordering;
  return state == ReplicaState::Loaded ? Phase::Ready : Phase::Releasing;
}

} // namespace

void Planner::Impl::lead(std::uint64_t term, bool ended) {
  resign();
  ++session;
  currentTerm = term;
  formerEnded = ended;
  isLeading = true;
  lastSecond = lastPrewarm = lastTick = env.now();
  for (auto &[name, ep] : endpoints) {
    Endpoint fresh{.name = name,
                   .address = ep.address,
                   .dataCentre = ep.dataCentre,
                   .liveness = ep.liveness,
                   .drained = ep.drained};
    ep = std::move(fresh);
  }
  readRecords();
}

void Planner::Impl::resign() {
  if (!isLeading)
    return;
  isLeading = isReady = recordsRead = platformDown = false;
  ++session;
  listFailures = 0;
  claimsInFlight = 0;
  acknowledged = 0;
  pumpScheduled = false;
  orderLimit = {};
  table = RouteTable();
  for (auto *it : {&unclaimed, &dirtyRecords})
    it->clear();
  for (auto *it : {&active, &queuedAt, &populated})
    it->clear();
  polls.clear();
  wanted.clear();
  EnsureReply reply{.outcome = EnsureOutcome::NotPlanner};
  std::vector<EnsureDone> owed;
  for (auto &[request, done] : heldEnsures)
    owed.push_back(std::move(done));
  heldEnsures.clear();
  heldSince.clear();
  for (auto &[name, ep] : endpoints) {
    for (auto &[model, r] : ep.replicas)
      for (auto &it : r.answers)
        owed.push_back(std::move(it.done));
    ep.replicas.clear();
  }
  for (auto &[model, use] : models)
    use.endpoints.clear();
  for (auto &done : owed)
    done(reply);
}

void Planner::Impl::onStaleTerm() {
  ++counters.ordersRefusedStale;
  log(DecisionKind::Lease, {}, {}, "a newer term was seen; resigned");
  resign();
}

void Planner::Impl::readRecords() {
  auto done = [](Impl &self, StoreStatus status, const std::vector<StoreObject> &objects) {
    self.onRecords(status, objects);
  };
  env.platform().list("endpoints/", inSession(done));
}

void Planner::Impl::onRecords(StoreStatus status, const std::vector<StoreObject> &objects) {
  if (status != StoreStatus::Ok) {
    ++listFailures;
    platformDown = true;
    env.after(ListRetryInterval, inSession([](Impl &self) { self.readRecords(); }));
    if (listFailures != ListFailuresBeforeStart)
      return;
  } else {
    recordsRead = true;
    platformDown = false;
    for (auto &object : objects) {
      auto &ep = endpoints[EndpointName(object.key.substr(object.key.find('/') + 1))];
      ep.name = EndpointName(object.key.substr(object.key.find('/') + 1));
      ep.recordVersion = std::max(ep.recordVersion, object.version);
      auto stored = decodeEndpointRecord(object.value);
      ep.recordMalformed = !stored;
      if (!stored)
        log(DecisionKind::Placement, {}, ep.name.value, "record is malformed; endpoint not used");
      else if (stored->term > currentTerm)
        return onStaleTerm();
      else if (stored->term < currentTerm)
        mergeRecord(ep, *stored);
    }
  }
  // Claims that preceded a late read are repeated, so that each report is compared with the record.
  for (auto &[name, ep] : endpoints)
    if (ep.liveness != Liveness::Gone)
      requireClaim(ep);
  sendClaims();
  becomeReadyIfRecovered();
}

/// Takes up what a former planner recorded. Everything that may still be ordered stays charged.
void Planner::Impl::mergeRecord(Endpoint &ep, const EndpointRecord &record) {
  for (auto &it : record.replicas) {
    bool open = it.state != ReplicaState::Loaded || it.unresolved;
    bool unresolved = open && !formerEnded && options.guards.chargeUnresolvedOrders;
    if (auto known = ep.replicas.find(it.model); known != ep.replicas.end()) {
      auto &r = known->second;
      r.unresolved |= unresolved;
      r.bytes = std::max(r.bytes, it.bytes);
      if (r.payer.empty())
        r.payer = it.payer;
      if (r.base.empty())
        r.base = it.base;
      continue;
    }
    Replica r{it};
    r.phase = phaseOf(it.state);
    r.unresolved = unresolved;
    r.recovered = true;
    r.everSent = true;
    r.decidedAt = r.readyAt = env.now();
    if (r.phase == Phase::Ordering)
      r.expectedLoad = loadTime(CopySource::Remote, r.bytes, r.isAdapter());
    addReplica(ep, std::move(r));
    ep.replicas.at(it.model).releaseVersion = table.version();
    markDirty(ep);
  }
}

void Planner::Impl::requireClaim(Endpoint &ep) {
  ep.claimed = false;
  ep.nextClaim = env.now();
  unclaimed.insert(ep.name);
}

void Planner::Impl::sendClaims() {
  auto now = env.now();
  for (auto &name : unclaimed) {
    if (claimsInFlight >= config::MaxClaimsInFlight)
      return;
    auto *ep = find(name);
    if (!ep || ep->claimInFlight || ep->nextClaim > now)
      continue;
    ep->claimInFlight = true;
    ++claimsInFlight;
    EngineOrder order{.kind = OrderKind::Claim, .term = currentTerm};
    order.orderId = std::to_string(currentTerm) + ":" + std::to_string(++sequence);
    auto epoch = ep->orderEpoch;
    auto done = [name, now, epoch](Impl &self, OrderStatus status, const EndpointReport &report) {
      --self.claimsInFlight;
      auto *it = self.find(name);
      if (!it)
        return;
      it->claimInFlight = false;
      // Another claim became necessary meanwhile, or an order was under way beside this one, so
      // that the report may miss its effect.
      bool old = now < it->nextClaim || epoch != it->orderEpoch;
      if (status == OrderStatus::Ok && old) {
        it->nextClaim = self.env.now();
      } else {
        it->claimTried = true;
        self.onClaimed(*it, status, report);
      }
      if (!self.isLeading)
        return;
      self.sendClaims();
      self.becomeReadyIfRecovered();
    };
    send(*ep, order, inSession(done));
  }
}

void Planner::Impl::onClaimed(Endpoint &ep, OrderStatus status, const EndpointReport &report) {
  if (status == OrderStatus::StaleTerm)
    return onStaleTerm();
  noteContact(ep, status == OrderStatus::Ok);
  if (status != OrderStatus::Ok) {
    ep.nextClaim = env.now() + ClaimRetryInterval;
    return;
  }
  noteReport(ep, report);
  ep.claimed = true;
  unclaimed.erase(ep.name);
  ep.reportAskedAt = env.now();
  reconcile(ep, env.now());
  schedulePoll(ep);
  pollLoading(ep);
}

/// The term is ready when every endpoint has answered its claim or failed to.
void Planner::Impl::becomeReadyIfRecovered() {
  if (isReady || !isLeading || (!recordsRead && listFailures < ListFailuresBeforeStart))
    return;
  for (auto &name : unclaimed)
    if (auto *ep = find(name); ep && !ep->claimTried)
      return;
  isReady = true;
  log(DecisionKind::Lease, {}, options.host.value,
      "term " + std::to_string(currentTerm) + " is ready");
  answerHeld();
}

void Planner::Impl::resolveFormerOrders() {
  formerEnded = true;
  std::vector<std::pair<EndpointName, ModelName>> held;
  for (auto &[name, ep] : endpoints)
    for (auto &[model, r] : ep.replicas) {
      if (!std::exchange(r.unresolved, false))
        continue;
      // The former planner's order may have arrived since the last report.
      r.recovered = true;
      r.reportsFrom = env.now();
      markDirty(ep);
      pollWithin(ep, Duration(0));
      if (r.phase == Phase::Held)
        held.emplace_back(name, model);
    }
  for (auto &[name, model] : held)
    dropReplica(*find(name), model, "former planner has ended", false);
}

/// Takes over a report. True if the endpoint has restarted since the last one.
bool Planner::Impl::noteReport(Endpoint &ep, const EndpointReport &report) {
  bool restarted = ep.report.incarnation != 0 && ep.report.incarnation != report.incarnation;
  bool wasLeaving = ep.report.leaving;
  ep.report = report;
  if (restarted)
    onRestart(ep);
  if (wasLeaving != report.leaving)
    publishAll(ep);
  return restarted;
}

/// The endpoint's memory is empty and its fencing token lost, so that it must be claimed again. An
/// order of unknown fate can still arrive and stays charged.
void Planner::Impl::onRestart(Endpoint &ep) {
  requireClaim(ep);
  std::vector<ModelName> lost;
  for (auto &[model, r] : ep.replicas) {
    if (!r.committed() || r.phase == Phase::Recording || r.phase == Phase::Held)
      continue;
    bool pending = r.unresolved || r.orderInFlight;
    if (!pending)
      lost.push_back(model);
    else if (r.phase == Phase::Loading || r.phase == Phase::Ready)
      r.phase = Phase::Ordering;
  }
  for (auto &it : lost)
    dropReplica(ep, it, "endpoint restarted", true);
  publishAll(ep);
}

/// Compares the endpoint's report with the replicas on it. Reports that were asked for before the
/// newest order was answered are not passed here.
void Planner::Impl::reconcile(Endpoint &ep, Instant reportSentAt) {
  std::map<ModelName, const EngineModel *> seen;
  for (auto &it : ep.report.models)
    seen[it.model] = &it;
  std::vector<ModelName> names;
  for (auto &[model, r] : ep.replicas)
    if (std::max(r.sentAt, r.reportsFrom) <= reportSentAt)
      names.push_back(model);
  for (auto &name : names) {
    auto it = ep.replicas.find(name);
    auto found = seen.find(name);
    if (it == ep.replicas.end())
      continue;
    if (!reconcileReplica(ep, it->second, found == seen.end() ? nullptr : found->second))
      dropReplica(ep, name, "endpoint no longer holds it", true);
  }
  for (auto &[name, it] : seen)
    if (!ep.replicas.contains(name))
      adopt(ep, *it);
  classify(ep);
}

/// False if the replica is gone.
bool Planner::Impl::reconcileReplica(Endpoint &ep, Replica &r, const EngineModel *seen) {
  if (!r.committed() || r.phase == Phase::Recording || r.orderInFlight)
    return true;
  r.inFlight = seen ? seen->inFlight : 0;
  if (seen) {
    r.bytes = std::max(r.bytes, seen->bytes);
    r.recovered = false;
  }
  switch (r.phase) {
  case Phase::Ordering:
  case Phase::Loading:
    if (seen && r.phase == Phase::Ordering) {
      r.phase = Phase::Loading;
      r.acceptedAt = env.now();
    }
    if (seen && seen->ready)
      becomeReady(ep, r);
    if (!seen && !r.unresolved && (r.recovered || (r.refused && env.now() >= r.nextTry)))
      return false;
    if (!seen && r.phase == Phase::Loading) {
      r.phase = Phase::Ordering;
      r.nextTry = env.now();
    }
    return true;
  case Phase::Ready:
    if (!seen && r.unresolved)
      r.phase = Phase::Ordering;
    else if (seen && !seen->ready)
      r.phase = Phase::Loading;
    publish(ep, r);
    return seen || r.unresolved;
  case Phase::Releasing:
    if (seen)
      publish(ep, r);
    [[fallthrough]];
  case Phase::Unloading:
    if (!seen && r.unresolved && !ep.fencing())
      r.phase = Phase::Held;
    return seen || r.phase == Phase::Held;
  case Phase::Held:
    if (seen)
      startRelease(ep, r, "loaded by a former planner's order");
    return true;
  default:
    return true;
  }
}

/// A model that the endpoint holds but no record names, such as one loaded during an outage.
void Planner::Impl::adopt(Endpoint &ep, const EngineModel &seen) {
  auto *model = modelOf(seen.model);
  Replica r;
  r.model = seen.model;
  if (model)
    r.base = model->base;
  r.bytes = seen.bytes;
  r.term = currentTerm;
  r.phase = seen.ready ? Phase::Ready : Phase::Loading;
  r.everSent = true;
  r.decidedAt = r.acceptedAt = r.readyAt = env.now();
  r.expectedLoad = loadTime(CopySource::Remote, r.bytes, r.isAdapter());
  r.inFlight = seen.inFlight;
  addReplica(ep, std::move(r));
  markDirty(ep);
}

void Planner::Impl::setEndpoints(const std::vector<ListedNode> &engines) {
  std::set<EndpointName> listed;
  for (auto &it : engines) {
    if (it.kind != ListedKind::Engine || it.liveness == Liveness::Gone)
      continue;
    EndpointName name(it.name);
    listed.insert(name);
    auto &ep = endpoints[name];
    ep.name = name;
    ep.dataCentre = it.dataCentre;
    bool back = ep.liveness == Liveness::Gone || ep.address != it.address;
    bool changed = back || ep.liveness != it.liveness;
    ep.address = it.address;
    ep.liveness = it.liveness;
    if (back && isLeading && (recordsRead || listFailures > 0))
      requireClaim(ep);
    if (changed)
      publishAll(ep);
  }
  for (auto &[name, ep] : endpoints)
    if (ep.liveness != Liveness::Gone && !listed.contains(name))
      onGone(ep);
}

void Planner::Impl::onGone(Endpoint &ep) {
  ep.liveness = Liveness::Gone;
  ep.claimed = ep.reachable = false;
  unclaimed.erase(ep.name);
  std::vector<ModelName> lost;
  for (auto &[model, r] : ep.replicas)
    if (!r.unresolved && r.phase != Phase::Recording)
      lost.push_back(model);
  for (auto &it : lost)
    dropReplica(ep, it, "endpoint has gone", true);
}

} // namespace catkin
