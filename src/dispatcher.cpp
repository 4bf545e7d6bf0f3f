#include "dispatcher_p.h"

#include <algorithm>

namespace catkin {

namespace {

constexpr std::string_view ServicePrefix = "service ";
constexpr double FirstByteSmoothing = 0.05; // weight of a new value above the average

bool isService(const ModelName &model) { return model.value.starts_with(ServicePrefix); }

/// Route of a service instance in the platform's node list.
RouteEntry instanceEntry(const ListedNode &node) {
  return {.model = serviceKey(node.service),
          .endpoint = EndpointName(node.name),
          .address = node.address,
          .dataCentre = node.dataCentre,
          .state = ReplicaState::Loaded,
          .leaving = node.liveness != Liveness::Live};
}

} // namespace

ModelName serviceKey(const ServiceName &service) {
  return ModelName(std::string(ServicePrefix) + service.value);
}

Dispatcher::Dispatcher(DataCentreName dataCentre, Guards guards, Clock clock)
    : clock(clock), shares(guards),
      admission([this](const PlanName &plan) { return shares.tryAcquire(plan, pumpTime); },
                [this](const ModelName &model) { return router.hasUsableReplica(model, pumpTime); },
                guards),
      router({.dataCentre = std::move(dataCentre), .guards = guards}) {}

// ---- Requests -----------------------------------------------------------------------------------

DispatchResult Dispatcher::onAdmissionResult(const DispatchRequest &request,
                                             const AdmissionResult &result, Instant now) {
  DispatchResult out{.admission = result};
  auto &waiting = request.waiting;
  if (result.outcome != AdmissionOutcome::Start)
    return out;
  out.alternatives = router.candidates(waiting.model, now);
  auto choice = router.choose({waiting.model, request.prefixHash, request.tried}, now);
  if (choice.endpoint.empty() && !request.tried.empty())
    choice = router.choose({waiting.model, request.prefixHash, {}}, now);
  ++inFlightCount;
  out.endpoint = choice.endpoint;
  out.address = choice.address;
  out.reason = choice.reason;
  if (choice.endpoint.empty())
    return out;
  router.onStart(choice.endpoint, now);
  std::scoped_lock guard(statsLock);
  ++stats[waiting.model].inFlight;
  return out;
}

Dispatcher::Ticket Dispatcher::start(const DispatchRequest &request, Done done) {
  auto now = clock();
  std::scoped_lock guard(sharesLock, admissionLock, routerLock);
  auto ticket = admission.enqueue(
      request.waiting, now, [this, request, done = std::move(done)](const AdmissionResult &r) {
        done(onAdmissionResult(request, r, pumpTime));
      });
  pumpLocked(now);
  return ticket;
}

void Dispatcher::cancel(Ticket ticket) {
  std::scoped_lock guard(sharesLock, admissionLock, routerLock);
  admission.cancel(ticket);
}

void Dispatcher::end(const DispatchEnd &e) {
  auto now = clock();
  std::scoped_lock guard(sharesLock, admissionLock, routerLock);
  --inFlightCount;
  shares.release(e.plan, e.tokens, now);
  if (!e.endpoint.empty()) {
    router.onEnd(e.endpoint, e.healthy, now);
    std::scoped_lock statsGuard(statsLock);
    --stats[e.model].inFlight;
  }
  if (e.modelMissing)
    router.onModelMissing(e.model, e.endpoint);
  pumpLocked(now);
}

void Dispatcher::onTokens(const PlanName &plan, unsigned tokens) {
  std::scoped_lock guard(sharesLock);
  shares.onTokens(plan, tokens, clock());
}

void Dispatcher::onRequest(const ModelName &model) {
  {
    std::scoped_lock guard(routerLock);
    router.onRequest(clock());
  }
  std::scoped_lock guard(statsLock);
  ++stats[model].arrivals;
}

bool Dispatcher::tryConsumeRetry() {
  std::scoped_lock guard(routerLock);
  return router.tryConsumeRetry(clock());
}

void Dispatcher::onFirstByte(const ModelName &model, Duration d) {
  std::scoped_lock guard(statsLock);
  auto &known = stats[model].firstByte;
  if (known == Duration{0} || d < known)
    known = d;
  else
    known += fromSeconds(toSeconds(d - known) * FirstByteSmoothing);
}

Duration Dispatcher::serviceTime(const ModelName &model) {
  std::scoped_lock guard(statsLock);
  auto it = stats.find(model);
  return it == stats.end() ? Duration{0} : it->second.firstByte / 2;
}

// ---- Updates ------------------------------------------------------------------------------------

void Dispatcher::applyTable() {
  auto all = modelRoutes;
  all.insert(all.end(), serviceRoutes.begin(), serviceRoutes.end());
  router.setTable(all);
}

void Dispatcher::setTable(std::vector<RouteEntry> entries) {
  std::scoped_lock guard(sharesLock, admissionLock, routerLock);
  modelRoutes = std::move(entries);
  applyTable();
  pumpLocked(clock());
}

void Dispatcher::setNodes(const std::vector<ListedNode> &nodes) {
  std::vector<RouteEntry> instances;
  std::vector<EndpointName> leaving;
  for (auto &it : nodes) {
    if (it.kind == ListedKind::Service && it.liveness != Liveness::Gone)
      instances.push_back(instanceEntry(it));
    if (it.kind != ListedKind::Host && it.liveness != Liveness::Live)
      leaving.emplace_back(it.name);
  }
  std::scoped_lock guard(sharesLock, admissionLock, routerLock);
  serviceRoutes = std::move(instances);
  router.setLeaving(leaving);
  applyTable();
  pumpLocked(clock());
}

void Dispatcher::setShares(const std::vector<HostShare> &newShares) {
  std::scoped_lock guard(sharesLock, admissionLock, routerLock);
  auto now = clock();
  shares.apply(newShares, now);
  pumpLocked(now);
}

void Dispatcher::setModelEstimate(const ModelName &model, Instant readyAt) {
  std::scoped_lock guard(sharesLock, admissionLock, routerLock);
  admission.setModelEstimate(model, readyAt);
  pumpLocked(clock());
}

void Dispatcher::refuse(const WaitingGroup &group, Duration retryAfter, const std::string &reason) {
  std::scoped_lock guard(sharesLock, admissionLock, routerLock);
  pumpTime = clock();
  admission.refuse(group.model, group.plan, group.deadline, retryAfter, reason);
}

void Dispatcher::pump() {
  std::scoped_lock guard(sharesLock, admissionLock, routerLock);
  pumpLocked(clock());
}

void Dispatcher::pumpLocked(Instant now) {
  pumpTime = now;
  admission.pump(now);
}

// ---- Reports ------------------------------------------------------------------------------------

bool Dispatcher::hasUsableReplica(const ModelName &model) const {
  std::scoped_lock guard(routerLock);
  return router.hasUsableReplica(model, clock());
}

std::size_t Dispatcher::waiting() const {
  std::scoped_lock guard(admissionLock);
  return admission.waiting();
}

std::vector<WaitingGroup> Dispatcher::coldModelGroups() const {
  std::scoped_lock guard(admissionLock, routerLock);
  auto groups = admission.waitingGroups();
  auto now = clock();
  std::erase_if(groups, [&](auto &it) {
    return isService(it.model) || router.hasUsableReplica(it.model, now);
  });
  return groups;
}

bool Dispatcher::hasWaitingPlanWithoutShare() const {
  std::scoped_lock guard(sharesLock, admissionLock);
  auto groups = admission.waitingGroups();
  return std::any_of(groups.begin(), groups.end(),
                     [this](auto &it) { return shares.concurrency(it.plan) == 0; });
}

void Dispatcher::fillReport(SyncRequest &report) {
  std::scoped_lock guard(sharesLock, admissionLock, statsLock);
  std::unordered_map<PlanName, int> plansWaiting;
  std::unordered_map<ModelName, int> modelsWaiting;
  for (auto &it : admission.waitingGroups()) {
    plansWaiting[it.plan] += static_cast<int>(it.count);
    modelsWaiting[it.model] += static_cast<int>(it.count);
  }
  report.plans = shares.uses(clock());
  for (auto &it : report.plans)
    if (auto node = plansWaiting.extract(it.plan))
      it.waiting = node.mapped();
  for (auto &[plan, n] : plansWaiting)
    report.plans.push_back({.plan = plan, .waiting = n});
  for (auto &[model, it] : stats) {
    int n = modelsWaiting[model];
    if (!isService(model) && (it.arrivals > 0 || it.inFlight > 0 || n > 0))
      report.models.push_back({model, it.arrivals, it.inFlight, n});
    it.arrivals = 0;
  }
}

} // namespace catkin
