#include "planner_impl_p.h"

#include <algorithm>

/// Ensure requests of hosts and the public interface of the planner. The periodic work is in
/// planner_housekeeping.cpp.
namespace catkin {

namespace {

// Initial load rates, used until loads are measured. Copies in host memory and on the local disk
// load faster than those in the weight store.
constexpr double MemoryRateFactor = 8;
constexpr double DiskRateFactor = 2;
constexpr double InitialAdapterLoadSeconds = 0.02;
constexpr Duration RetryDelayWhenFull = std::chrono::seconds(2);
// A refusal is repeated for this time, since a search of a large full fleet takes milliseconds and
// a burst requests the same model many times.
constexpr Duration RefusalCacheTime = std::chrono::milliseconds(250);
// A load that takes longer than the deadline is started for the caller's next attempt only if it
// need not wait longer than this.
constexpr Duration MaxStartDelay = std::chrono::seconds(2);

} // namespace

Planner::Impl::Impl(Env &e, PlannerOptions o)
    : env(e), options(std::move(o)),
      retention(createRetentionPolicy(options.retention, options.weights)),
      placement(createPlacementPolicy(options.placement, options.weights)),
      bytesPerSecond{options.loadBytesPerSecond * MemoryRateFactor,
                     options.loadBytesPerSecond * DiskRateFactor, options.loadBytesPerSecond},
      adapterLoadSeconds(InitialAdapterLoadSeconds), storeTokens(options.storeLoadsPerSecond),
      storeTokensRefilledAt(e.now()) {}

Endpoint *Planner::Impl::find(const EndpointName &name) {
  auto it = endpoints.find(name);
  return it == endpoints.end() ? nullptr : &it->second;
}

Replica *Planner::Impl::find(const EndpointName &name, const ModelName &model,
                             const std::string &orderId) {
  auto *ep = find(name);
  if (!ep)
    return nullptr;
  auto it = ep->replicas.find(model);
  return it == ep->replicas.end() || it->second.orderId != orderId ? nullptr : &it->second;
}

const Model *Planner::Impl::modelOf(const ModelName &name) const {
  if (!lists)
    return nullptr;
  auto it = lists->models.find(name);
  return it == lists->models.end() ? nullptr : &it->second;
}

/// Logs a decision of the planner.
void Planner::Impl::log(DecisionKind kind, const ModelName &model, std::string chosen,
                        std::string reason, const PlanName &plan, const std::string &requestId) {
  env.decision({.kind = kind,
                .requestId = requestId,
                .plan = plan,
                .model = model,
                .chosen = std::move(chosen),
                .reason = std::move(reason)});
}

// ---- Requests ----------------------------------------------------------------------------------

void Planner::Impl::ensure(const EnsureRequest &request, const EnsureDone &done) {
  auto refuse = [&](std::string reason, Duration retryAfter) {
    ++counters.ensureRefused;
    log(DecisionKind::Placement, request.model, {}, reason, request.plan, request.requestId);
    done({.retryAfter = retryAfter, .reason = std::move(reason)});
  };
  if (!isLeading)
    return done({.outcome = EnsureOutcome::NotPlanner});
  detectPause();
  if (!isReady) {
    deferredEnsures.emplace_back(request, done);
    deferredSince.push_back(env.now());
    return;
  }
  auto *model = modelOf(request.model);
  if (!model)
    return refuse("no such model", Duration(0));
  auto use = lists->uses.find(request.plan);
  auto plan = lists->plans.find(request.plan);
  if (plan == lists->plans.end() || use == lists->uses.end() ||
      std::find(use->second.models.begin(), use->second.models.end(), request.model) ==
          use->second.models.end())
    return refuse("the plan may not use the model", Duration(0));
  auto &known = models[request.model];
  known.lastUse = env.now();
  known.payer = request.plan;
  if (joinExistingReplica(request, done))
    return;

  auto now = env.now();
  if (known.refusedUntil > now && known.refusedPlan == request.plan)
    return refuse(known.refusedReason, RetryDelayWhenFull);
  std::string reason;
  auto deadline = now + request.remaining;
  PlacementQuery query{
      .deadline = deadline, .remaining = request.remaining, .dataCentre = request.dataCentre};
  auto p = choosePlacement(*model, plan->second, query, reason);
  if (!p) {
    known.refusedPlan = request.plan;
    known.refusedReason = reason;
    known.refusedUntil = now + RefusalCacheTime;
    return refuse(std::move(reason), RetryDelayWhenFull);
  }
  if (p->estimate > request.remaining) {
    bool startForNextAttempt =
        p->loadTime > request.remaining && p->estimate - p->loadTime <= MaxStartDelay;
    if (!startForNextAttempt)
      return refuse("the queue is longer than the deadline", p->estimate - request.remaining);
    // The load is started all the same, since the caller's next attempt would otherwise wait as
    // long.
    commitPlacement(*model, request.plan, env.now() + p->estimate, false, *p, request.requestId);
    startQueuedLoads();
    return refuse("the load takes longer than the deadline", p->estimate);
  }
  auto *r = commitPlacement(*model, request.plan, deadline, false, *p, request.requestId);
  startQueuedLoads();
  auto *unrecorded = r;
  if (auto base = p->endpoint->replicas.find(model->base);
      r->phase == Phase::Queued && base != p->endpoint->replicas.end())
    unrecorded = &base->second;
  if (unrecorded->phase == Phase::Recording)
    unrecorded->pendingEnsures.push_back({.request = request, .deadline = deadline, .done = done});
  else
    done({.outcome = EnsureOutcome::Loading,
          .endpoint = p->endpoint->name,
          .estimate = std::max(p->estimate, Duration(1))});
}

/// Answers the request with a replica that is loaded or being loaded. Returns false if there is
/// none.
bool Planner::Impl::joinExistingReplica(const EnsureRequest &request, const EnsureDone &done) {
  Endpoint *ready = nullptr, *loading = nullptr, *releasing = nullptr;
  Duration shortest{0};
  for (auto &name : models[request.model].endpoints) {
    auto &ep = endpoints.at(name);
    auto &r = ep.replicas.at(request.model);
    if (!canServe(ep))
      continue;
    if (r.phase == Phase::Ready) {
      bool nearer = !ready || (ep.dataCentre == request.dataCentre &&
                               ready->dataCentre != request.dataCentre);
      ready = nearer ? &ep : ready;
    } else if (r.phase == Phase::Releasing && !r.unresolved && !r.unconfirmed) {
      releasing = &ep;
    } else if (r.isLoadUnderWay() && options.guards.joinLoadUnderWay) {
      if (r.phase == Phase::Ordering && !r.orderInFlight && !mayOrder(ep))
        continue;
      auto left = estimateTimeToReady(ep, r);
      if (!loading || left < shortest) {
        loading = &ep;
        shortest = left;
      }
    }
  }
  if (!ready && releasing) {
    cancelRelease(*releasing, releasing->replicas.at(request.model));
    ready = releasing;
  }
  if (ready) {
    // An adopted replica has no payer. It counts against the first plan that uses it.
    if (auto &r = ready->replicas.at(request.model); r.payer.empty()) {
      r.payer = request.plan;
      markDirty(*ready);
    }
    done({.outcome = EnsureOutcome::Ready, .endpoint = ready->name});
    return true;
  }
  if (!loading)
    return false;
  if (shortest > request.remaining) {
    ++counters.ensureRefused;
    done({.retryAfter = shortest, .reason = "the load in progress completes after the deadline"});
    return true;
  }
  auto &r = loading->replicas.at(request.model);
  auto deadline = env.now() + request.remaining;
  r.deadline = std::min(r.deadline, deadline);
  if (r.phase == Phase::Recording)
    r.pendingEnsures.push_back({.request = request, .deadline = deadline, .done = done});
  else
    done({.outcome = EnsureOutcome::Loading,
          .endpoint = loading->name,
          .estimate = std::max(shortest, Duration(1))});
  return true;
}

/// Processes the requests that arrived before the term was ready.
void Planner::Impl::answerDeferredEnsures() {
  auto deferred = std::exchange(deferredEnsures, {});
  auto since = std::exchange(deferredSince, {});
  for (std::size_t i = 0; i < deferred.size(); ++i) {
    deferred[i].first.remaining -= env.now() - since[i];
    ensure(deferred[i].first, deferred[i].second);
  }
}

/// Answers the requests that waited for the intent to be recorded.
void Planner::Impl::answerPendingEnsures(Endpoint &ep, Replica &r) {
  auto pending = std::exchange(r.pendingEnsures, {});
  for (auto &it : pending) {
    auto target = ep.replicas.find(it.request.model);
    auto left =
        target == ep.replicas.end() ? r.expectedLoad : estimateTimeToReady(ep, target->second);
    it.done({.outcome = EnsureOutcome::Loading,
             .endpoint = ep.name,
             .estimate = std::max(left, Duration(1))});
  }
}

/// Repeats the requests whose load was dropped before it was recorded.
void Planner::Impl::retryPendingEnsures(const std::vector<PendingEnsure> &pending) {
  for (auto &it : pending) {
    auto retry = [it](Impl &self) {
      auto request = it.request;
      request.remaining = it.deadline - self.env.now();
      self.ensure(request, it.done);
    };
    env.after(Duration(0), bindToSession(retry));
  }
}

// ---- Public interface --------------------------------------------------------------------------

Planner::Planner(Env &env, PlannerOptions options)
    : impl(std::make_shared<Impl>(env, std::move(options))) {}

Planner::~Planner() = default;

void Planner::setLists(ListsPtr lists) { impl->lists = std::move(lists); }

void Planner::setEndpoints(const std::vector<ListedNode> &engines) { impl->setEndpoints(engines); }

void Planner::lead(std::uint64_t term, bool formerHolderEnded) {
  impl->lead(term, formerHolderEnded);
}

void Planner::setOrderLimit(Instant limit) { impl->orderLimit = limit; }

void Planner::onFormerHolderEnded() {
  if (impl->isLeading && !impl->formerHolderEnded)
    impl->resolveFormerOrders();
}

void Planner::resign() { impl->resign(); }

bool Planner::isLeading() const { return impl->isLeading; }

bool Planner::isReady() const { return impl->isReady; }

std::uint64_t Planner::term() const { return impl->currentTerm; }

// Passed by value, so that the implementation may move the callback.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void Planner::ensure(const EnsureRequest &request, EnsureDone done) { impl->ensure(request, done); }

void Planner::onModelLoads(const HostName &host, const std::vector<ModelLoad> &loads) {
  impl->onModelLoads(host, loads);
}

void Planner::setAcknowledgedVersion(std::uint64_t version) {
  impl->acknowledgedVersion = std::min(version, impl->table.version());
}

void Planner::drain(const EndpointName &endpoint, bool on) {
  auto *ep = impl->find(endpoint);
  if (!ep || ep->drained == on)
    return;
  ep->drained = on;
  impl->publishRoutes(*ep);
}

void Planner::tick() { impl->tick(); }

const RouteTable &Planner::table() const { return impl->table; }

std::map<EndpointName, std::vector<PlannedReplica>> Planner::replicas() const {
  std::map<EndpointName, std::vector<PlannedReplica>> found;
  for (auto &[name, ep] : impl->populatedEndpoints)
    for (auto &[model, r] : ep->replicas) {
      PlannedReplica copy = r;
      copy.state = ReplicaState::Intended;
      if (r.phase == Phase::Ready)
        copy.state = ReplicaState::Loaded;
      else if (r.phase > Phase::Ready)
        copy.state = ReplicaState::Releasing;
      found[name].push_back(std::move(copy));
    }
  return found;
}

std::vector<EndpointReport> Planner::endpointReports() const {
  std::vector<EndpointReport> found;
  for (auto &[name, ep] : impl->endpoints)
    if (ep.report.incarnation != 0)
      found.push_back(ep.report);
  return found;
}

std::size_t Planner::ordersInFlight() const { return impl->ordersInFlight; }

std::string Planner::saveHistory() const { return impl->retention->saveHistory(); }

void Planner::restoreHistory(std::string_view text) { impl->retention->restoreHistory(text); }

PlannerStats Planner::stats() const {
  auto s = impl->counters;
  s.replicas = s.loadsUnderWay = 0;
  for (auto &[name, ep] : impl->populatedEndpoints)
    for (auto &[model, r] : ep->replicas) {
      s.replicas += r.isCommitted() ? 1 : 0;
      s.loadsUnderWay += r.isCommitted() && r.isLoadUnderWay() ? 1 : 0;
    }
  return s;
}

} // namespace catkin
