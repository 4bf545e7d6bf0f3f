#include "planner_impl_p.h"

/// Recovery at the start of a term: reads the records, claims the endpoints and reconciles both
/// with the endpoints' reports. Reports are reconciled during the whole term, since endpoints may
/// restart and orders may be lost.
namespace catkin {

namespace {

constexpr Duration ListRetryInterval = std::chrono::milliseconds(500);
// After this many failed reads of the records, the term starts with only the endpoints that check
// fencing tokens: the answer to their claim makes the record unnecessary.
constexpr int ListFailuresBeforeStart = 3;
constexpr Duration ClaimRetryInterval = std::chrono::seconds(1);

Phase phaseOf(ReplicaState state) {
  if (state == ReplicaState::Intended)
    return Phase::Ordering;
  return state == ReplicaState::Loaded ? Phase::Ready : Phase::Releasing;
}

} // namespace

void Planner::Impl::lead(std::uint64_t term, bool holderEnded) {
  resign();
  ++session;
  currentTerm = term;
  formerHolderEnded = holderEnded;
  isLeading = true;
  lastPerSecondTasks = lastPrewarm = lastTick = env.now();
  for (auto &[name, ep] : endpoints) {
    Endpoint reset{.name = name,
                   .address = ep.address,
                   .dataCentre = ep.dataCentre,
                   .liveness = ep.liveness,
                   .drained = ep.drained};
    ep = std::move(reset);
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
  acknowledgedVersion = 0;
  queuedLoadsScheduled = false;
  orderLimit = {};
  table = RouteTable();
  for (auto *it : {&unclaimed, &dirtyRecords})
    it->clear();
  for (auto *it : {&activeEndpoints, &queuedEndpoints, &populatedEndpoints})
    it->clear();
  pollQueue.clear();
  pendingPlacements.clear();
  EnsureReply reply{.outcome = EnsureOutcome::NotPlanner};
  std::vector<EnsureDone> callbacks;
  for (auto &[request, done] : deferredEnsures)
    callbacks.push_back(std::move(done));
  deferredEnsures.clear();
  deferredSince.clear();
  for (auto &[name, ep] : endpoints) {
    for (auto &[model, r] : ep.replicas)
      for (auto &it : r.pendingEnsures)
        callbacks.push_back(std::move(it.done));
    ep.replicas.clear();
  }
  for (auto &[model, use] : models)
    use.endpoints.clear();
  for (auto &done : callbacks)
    done(reply);
}

/// Resigns because a newer term has been observed.
void Planner::Impl::onStaleTerm() {
  ++counters.ordersRefusedStale;
  log(DecisionKind::Lease, {}, {}, "resigned: a newer term exists");
  resign();
}

void Planner::Impl::readRecords() {
  auto done = [](Impl &self, StoreStatus status, const std::vector<StoreObject> &objects) {
    self.onRecordsRead(status, objects);
  };
  env.platform().list("endpoints/", bindToSession(done));
}

void Planner::Impl::onRecordsRead(StoreStatus status, const std::vector<StoreObject> &objects) {
  if (status != StoreStatus::Ok) {
    ++listFailures;
    platformDown = true;
    env.after(ListRetryInterval, bindToSession([](Impl &self) { self.readRecords(); }));
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
  // Claims sent before a late read of the records are repeated, so that each report is reconciled
  // with the record.
  for (auto &[name, ep] : endpoints)
    if (ep.liveness != Liveness::Gone)
      requireClaim(ep);
  sendClaims();
  becomeReadyIfRecovered();
}

/// Adds the replicas that a former planner recorded. Those that it may still order keep their
/// memory reserved.
void Planner::Impl::mergeRecord(Endpoint &ep, const EndpointRecord &record) {
  for (auto &it : record.replicas) {
    bool unfinished = it.state != ReplicaState::Loaded || it.unresolved;
    bool unresolved = unfinished && !formerHolderEnded && options.guards.chargeUnresolvedOrders;
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
    r.unconfirmed = true;
    r.orderSent = true;
    r.decidedAt = r.readyAt = env.now();
    if (r.phase == Phase::Ordering)
      r.expectedLoad = loadTime(CopySource::Remote, r.bytes, r.isAdapter());
    addReplica(ep, std::move(r));
    ep.replicas.at(it.model).releaseVersion = table.version();
    markDirty(ep);
  }
}

/// Marks the endpoint to be claimed again; it gets no orders until then.
void Planner::Impl::requireClaim(Endpoint &ep) {
  ep.claimed = false;
  ep.nextClaim = env.now();
  unclaimed.insert(ep.name);
}

/// Sends the claims that are due, at most MaxClaimsInFlight at a time.
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
      // The claim is repeated if another one has become necessary since, or if an order was in
      // flight at the same time, whose effect the report may not include.
      bool outdated = now < it->nextClaim || epoch != it->orderEpoch;
      if (status == OrderStatus::Ok && outdated) {
        it->nextClaim = self.env.now();
      } else {
        it->claimTried = true;
        self.onClaimAnswer(*it, status, report);
      }
      if (!self.isLeading)
        return;
      self.sendClaims();
      self.becomeReadyIfRecovered();
    };
    send(*ep, order, bindToSession(done));
  }
}

void Planner::Impl::onClaimAnswer(Endpoint &ep, OrderStatus status, const EndpointReport &report) {
  if (status == OrderStatus::StaleTerm)
    return onStaleTerm();
  updateReachability(ep, status == OrderStatus::Ok);
  if (status != OrderStatus::Ok) {
    ep.nextClaim = env.now() + ClaimRetryInterval;
    return;
  }
  applyReport(ep, report);
  ep.claimed = true;
  unclaimed.erase(ep.name);
  ep.reportAskedAt = env.now();
  reconcile(ep, env.now());
  scheduleRegularPoll(ep);
  scheduleLoadPoll(ep);
}

/// Completes the recovery once each endpoint has answered its claim or failed to.
void Planner::Impl::becomeReadyIfRecovered() {
  if (isReady || !isLeading || (!recordsRead && listFailures < ListFailuresBeforeStart))
    return;
  for (auto &name : unclaimed)
    if (auto *ep = find(name); ep && !ep->claimTried)
      return;
  isReady = true;
  log(DecisionKind::Lease, {}, options.host.value,
      "term " + std::to_string(currentTerm) + " is ready");
  answerDeferredEnsures();
}

/// Frees the memory reserved for orders of former planners, which can send none any more.
void Planner::Impl::resolveFormerOrders() {
  formerHolderEnded = true;
  std::vector<std::pair<EndpointName, ModelName>> reserved;
  for (auto &[name, ep] : endpoints)
    for (auto &[model, r] : ep.replicas) {
      if (!std::exchange(r.unresolved, false))
        continue;
      // The former planner's order may have arrived since the last report.
      r.unconfirmed = true;
      r.ignoreReportsBefore = env.now();
      markDirty(ep);
      schedulePollWithin(ep, Duration(0));
      if (r.phase == Phase::Reserved)
        reserved.emplace_back(name, model);
    }
  for (auto &[name, model] : reserved)
    dropReplica(*find(name), model, "former planner has ended", false);
}

/// Stores a report. Returns true if the endpoint has restarted since the previous one.
bool Planner::Impl::applyReport(Endpoint &ep, const EndpointReport &report) {
  bool restarted = ep.report.incarnation != 0 && ep.report.incarnation != report.incarnation;
  bool wasLeaving = ep.report.leaving;
  ep.report = report;
  if (restarted)
    onEndpointRestart(ep);
  if (wasLeaving != report.leaving)
    publishRoutes(ep);
  return restarted;
}

/// Drops the replicas of a restarted endpoint. It has lost its fencing token and must be claimed
/// again. Replicas with an order of unknown result stay, since the order may still arrive.
void Planner::Impl::onEndpointRestart(Endpoint &ep) {
  requireClaim(ep);
  std::vector<ModelName> lost;
  for (auto &[model, r] : ep.replicas) {
    if (!r.isCommitted() || r.phase == Phase::Recording || r.phase == Phase::Reserved)
      continue;
    bool pending = r.unresolved || r.orderInFlight;
    if (!pending)
      lost.push_back(model);
    else if (r.phase == Phase::Loading || r.phase == Phase::Ready)
      r.phase = Phase::Ordering;
  }
  for (auto &it : lost)
    dropReplica(ep, it, "endpoint restarted", true);
  publishRoutes(ep);
}

/// Reconciles the replicas of the endpoint with its report, which must have been requested after
/// the newest order was answered.
void Planner::Impl::reconcile(Endpoint &ep, Instant reportSentAt) {
  std::map<ModelName, const EngineModel *> reported;
  for (auto &it : ep.report.models)
    reported[it.model] = &it;
  std::vector<ModelName> names;
  for (auto &[model, r] : ep.replicas)
    if (std::max(r.sentAt, r.ignoreReportsBefore) <= reportSentAt)
      names.push_back(model);
  for (auto &name : names) {
    auto it = ep.replicas.find(name);
    auto found = reported.find(name);
    if (it == ep.replicas.end())
      continue;
    if (!reconcileReplica(ep, it->second, found == reported.end() ? nullptr : found->second))
      dropReplica(ep, name, "endpoint no longer holds it", true);
  }
  for (auto &[name, it] : reported)
    if (!ep.replicas.contains(name))
      adoptModel(ep, *it);
  updateEndpointSets(ep);
}

/// Updates a replica from the report; `reported` is null if the report does not contain it. Returns
/// false if the endpoint no longer holds the replica.
bool Planner::Impl::reconcileReplica(Endpoint &ep, Replica &r, const EngineModel *reported) {
  if (!r.isCommitted() || r.phase == Phase::Recording || r.orderInFlight)
    return true;
  r.inFlight = reported ? reported->inFlight : 0;
  if (reported) {
    r.bytes = std::max(r.bytes, reported->bytes);
    r.unconfirmed = false;
  }
  switch (r.phase) {
  case Phase::Ordering:
  case Phase::Loading:
    if (reported && r.phase == Phase::Ordering) {
      r.phase = Phase::Loading;
      r.acceptedAt = env.now();
    }
    if (reported && reported->ready)
      markReady(ep, r);
    if (!reported && !r.unresolved && (r.unconfirmed || (r.loadRefused && env.now() >= r.nextTry)))
      return false;
    if (!reported && r.phase == Phase::Loading) {
      r.phase = Phase::Ordering;
      r.nextTry = env.now();
    }
    return true;
  case Phase::Ready:
    if (!reported && r.unresolved)
      r.phase = Phase::Ordering;
    else if (reported && !reported->ready)
      r.phase = Phase::Loading;
    publishRoute(ep, r);
    return reported || r.unresolved;
  case Phase::Releasing:
    if (reported)
      publishRoute(ep, r);
    [[fallthrough]];
  case Phase::Unloading:
    if (!reported && r.unresolved && !ep.checksFencing())
      r.phase = Phase::Reserved;
    return reported || r.phase == Phase::Reserved;
  case Phase::Reserved:
    if (reported)
      startRelease(ep, r, "loaded by a former planner's order");
    return true;
  default:
    return true;
  }
}

/// Adds a replica for a model that the endpoint holds but no record contains, such as one loaded
/// during an outage.
void Planner::Impl::adoptModel(Endpoint &ep, const EngineModel &reported) {
  auto *model = modelOf(reported.model);
  Replica r;
  r.model = reported.model;
  if (model)
    r.base = model->base;
  r.bytes = reported.bytes;
  r.term = currentTerm;
  r.phase = reported.ready ? Phase::Ready : Phase::Loading;
  r.orderSent = true;
  r.decidedAt = r.acceptedAt = r.readyAt = env.now();
  r.expectedLoad = loadTime(CopySource::Remote, r.bytes, r.isAdapter());
  r.inFlight = reported.inFlight;
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
    bool returned = ep.liveness == Liveness::Gone || ep.address != it.address;
    bool changed = returned || ep.liveness != it.liveness;
    ep.address = it.address;
    ep.liveness = it.liveness;
    if (returned && isLeading && (recordsRead || listFailures > 0))
      requireClaim(ep);
    if (changed)
      publishRoutes(ep);
  }
  for (auto &[name, ep] : endpoints)
    if (ep.liveness != Liveness::Gone && !listed.contains(name))
      onEndpointGone(ep);
}

/// Drops the replicas of an endpoint that has left the host list, except those with unresolved
/// orders or with an intent being written.
void Planner::Impl::onEndpointGone(Endpoint &ep) {
  ep.liveness = Liveness::Gone;
  ep.claimed = ep.reachable = false;
  unclaimed.erase(ep.name);
  std::vector<ModelName> lost;
  for (auto &[model, r] : ep.replicas)
    if (!r.unresolved && r.phase != Phase::Recording)
      lost.push_back(model);
  for (auto &it : lost)
    dropReplica(ep, it, "endpoint is no longer in the host list", true);
}

} // namespace catkin
