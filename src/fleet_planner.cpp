#include "fleet_planner_impl_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkin {

namespace {

// Calls of the planner count towards an engine's limit of requests. Status calls use this share of
// it; the rest is for callers.
constexpr double StatusShareOfLimit = 0.2;
constexpr Duration MaxStatusInterval = std::chrono::seconds(30);

} // namespace

bool FleetPlanner::Impl::canOrder() const {
  return view.config() && isActive() && env.now() - acquiredAt >= options.firstOrderDelay &&
         fencedTerm != term();
}

void FleetPlanner::Impl::onAcquired(const LeaseRecord &mine) {
  logLine(LogLevel::Info, "planner lease acquired", {{"term", mine.term}});
  records.clear();
  demand.clearReports();
  storeLoadMeter = {};
  notifier.clear();
  acquiredAt = env.now();
  if (links.termBegan)
    links.termBegan(mine.isFirst);
}

void FleetPlanner::Impl::tick() {
  if (stopped)
    return;
  env.after(planningShare.nextPause(config::FleetPlanTick),
            [self = shared_from_this()] { self->tick(); });
  if (!isActive())
    return;
  syncRecords();
  const Instant now = env.now();
  for (auto &[name, record] : records)
    pollStatus(record, now);
  planAll();
  broadcastDueNotices();
}

void FleetPlanner::Impl::syncRecords() {
  std::erase_if(records, [&](auto &it) {
    const bool gone = !view.find(it.first);
    if (gone)
      forgetEngine(it.first);
    return gone;
  });
  for (auto &[name, state] : view.endpoints()) {
    if (!view.hasEngines(state.entry.service))
      continue;
    auto &record = records[name];
    bool restarted = record.entry.incarnation != state.entry.incarnation ||
                     record.entry.address != state.entry.address;
    if (restarted) {
      forgetEngine(name);
      record = {};
    }
    record.entry = state.entry;
  }
}

void FleetPlanner::Impl::forgetEngine(const EndpointName &engine) {
  storeLoadMeter.onAbandoned(engine, env.now());
  notifier.stopTracking(engine);
}

void FleetPlanner::Impl::pollStatus(EngineRecord &record, Instant now) {
  if (record.statusPending || now < record.nextStatus)
    return;
  // An engine that has asked for a pause is polled only while it carries out an order.
  auto *state = view.find(record.entry.name);
  if (state && now < state->backoffUntil && !record.active)
    return;
  record.statusPending = true;
  withPermit(
      record, Duration::zero(), [this](EngineRecord &it) { requestStatus(it); },
      [this](EngineRecord &it, Duration d) {
        it.statusPending = false;
        it.nextStatus = env.now() + std::max(d, statusInterval(it));
      });
}

void FleetPlanner::Impl::requestStatus(EngineRecord &record) {
  logCallUnderLimit(record, "status");
  engines.requestStatus(record.entry,
                        bindToEngine(record, [this](EngineRecord &it, const auto &status) {
                          it.statusPending = false;
                          onStatus(it, status);
                        }));
}

Duration FleetPlanner::Impl::statusInterval(const EngineRecord &record) const {
  const Duration usual =
      record.active ? config::FleetStatusRetry : Duration(config::FleetStatusInterval);
  const auto limit = view.limitOf(record.entry).perSecond;
  if (!limit)
    return usual;
  const double perSecond = std::max(*limit * StatusShareOfLimit, 1 / toSeconds(MaxStatusInterval));
  return std::max(usual, fromSeconds(1 / perSecond));
}

void FleetPlanner::Impl::logCallUnderLimit(const EngineRecord &record,
                                           std::string_view call) const {
  const RequestLimit limit = view.limitOf(record.entry);
  if (limit.perSecond)
    logLine(LogLevel::Info, "call to an engine with a request limit",
            {{"endpoint", record.entry.name.value},
             {"incarnation", record.entry.incarnation},
             {"call", call},
             {"per_second", *limit.perSecond}});
}

void FleetPlanner::Impl::onStatus(EngineRecord &record, const std::optional<EngineStatus> &status) {
  auto now = env.now();
  record.nextStatus = now + statusInterval(record);
  if (!status || status->incarnation != record.entry.incarnation) {
    const bool wasSilent = record.isSilent();
    ++record.statusFailures;
    if (record.isSilent() && !wasSilent)
      logLine(LogLevel::Warn, "engine does not answer", {{"endpoint", record.entry.name.value}});
    return;
  }
  if (record.isSilent())
    logLine(LogLevel::Info, "engine answers again", {{"endpoint", record.entry.name.value}});
  record.statusFailures = 0;
  // Reports lag. One from before the newest accepted order contains no news.
  if (record.hasStatus && status->holdings.orderCount < record.holdings.orderCount)
    return;
  std::erase_if(record.unresolved,
                [&](auto &it) { return status->holdings.orderCount > it.orderCountBefore; });
  if (!std::exchange(record.hasStatus, true))
    notifier.startTracking(record.entry.name, record.entry.incarnation, status->holdings.models);
  record.busy = status->busy;
  record.holdings = status->holdings;
  record.addUnreportedAdapters(now);
  completeActiveOrder(record, now);
}

void FleetPlanner::Impl::completeActiveOrder(EngineRecord &record, Instant now) {
  if (!record.active)
    return;
  auto &active = *record.active;
  bool orderCounted = record.holdings.orderCount > active.orderCountBefore;
  if (!orderCounted || record.busy)
    return;
  bool held = holds(record.holdings.models, active.order.model);
  bool load = active.order.action == PlacementAction::Load;
  if (load && held) {
    record.loadedAt[active.order.model.model] = now;
    notifyWaitingHosts(record, active.order.model.model);
  }
  logLine(held == load ? LogLevel::Info : LogLevel::Warn, "order completed",
          {{"endpoint", record.entry.name.value},
           {"action", toString(active.order.action)},
           {"model", toText(active.order.model)},
           {"took_ms", toMillis(now - active.startedAt)},
           {"holds", held}});
  if (active.order.remote && held)
    storeLoadMeter.onCompleted(record.entry.name, now);
  else if (active.order.remote)
    storeLoadMeter.onAbandoned(record.entry.name, now);
  record.active.reset();
  record.nextStatus = now + statusInterval(record);
}

void FleetPlanner::Impl::planAfterEvent() {
  if (planningShare.canRunAfterEvent(env.now()))
    planAll();
}

void FleetPlanner::Impl::planAll() {
  if (!canOrder())
    return;
  const Instant began = env.now();
  for (auto &[name, service] : view.config()->services)
    if (service.hasEngines)
      planService(service);
  planningShare.onDone(began, env.now());
}

void FleetPlanner::Impl::planService(const FleetService &service) {
  auto input = makePlacementInput(service);
  for (auto &it : planPlacement(input))
    startOrder(records[it.engine], it, service.engine);
}

PlacementInput FleetPlanner::Impl::makePlacementInput(const FleetService &service) {
  auto now = env.now();
  while (!remoteLoadStarts.empty() && now - remoteLoadStarts.front() > options.ceilingWindow)
    remoteLoadStarts.pop_front();
  PlacementInput input{.now = now, .spec = &service.engine};
  input.remoteLoadsInWindow = static_cast<int>(remoteLoadStarts.size());
  input.maxRemoteLoadsInWindow = static_cast<int>(
      std::floor(service.engine.loadsPerSecond * toSeconds(options.ceilingWindow)));
  input.maxConcurrentRemoteLoads = storeLoadMeter.concurrencyLimit(now);
  for (auto &[name, record] : records) {
    if (record.entry.service != service.name)
      continue;
    input.engines.push_back(record.toPlacementEngine(demand.isFailingForMost(name), now));
    input.activeRemoteLoads += record.remoteLoadCount();
    // The planner does not wait for the status of an engine that does not answer.
    input.allEnginesKnown = input.allEnginesKnown && (record.hasStatus || record.isSilent());
  }
  demand.fillPlacementInput(service.name, now - acquiredAt, input);
  for (auto &it : input.engines)
    if (const auto limit = view.limitOf(records.at(it.name).entry).perSecond)
      applyRequestLimit(it, *limit, input);
  return input;
}

FleetPlanner::FleetPlanner(CoreEnv &env, FleetView &view, EngineControl &engines,
                           FleetPlannerOptions options, FleetPlannerLinks links)
    : impl(std::make_shared<Impl>(env, view, engines, std::move(options), std::move(links))) {
  auto *p = impl.get();
  impl->lease = std::make_unique<Lease>(
      env,
      LeaseOptions{.host = p->options.host,
                   .incarnation = p->options.incarnation,
                   .address = p->options.address},
      [p](const LeaseRecord &mine) { p->onAcquired(mine); },
      [] { logLine(LogLevel::Info, "planner lease lost"); });
}

FleetPlanner::~FleetPlanner() { impl->stopped = true; }

void FleetPlanner::observe(std::uint64_t term, const Address &address) {
  impl->lease->observe(term, HostName(), address);
}

void FleetPlanner::start() {
  impl->lease->start();
  impl->tick();
}

void FleetPlanner::stop(std::function<void()> done) {
  impl->stopped = true;
  impl->lease->release(std::move(done));
}

void FleetPlanner::setCandidates(std::vector<HostName> hosts) {
  impl->lease->setCandidates(std::move(hosts));
}

bool FleetPlanner::isActive() const { return impl->isActive(); }

Address FleetPlanner::address() const { return impl->lease->newest().address; }

std::uint64_t FleetPlanner::term() const { return impl->term(); }

void FleetPlanner::setPlannerLost(bool lost) { impl->lease->setPlannerLost(lost); }

void FleetPlanner::onNeed(const ModelNeed &need, const Address &from) { impl->onNeed(need, from); }

void FleetPlanner::onDemand(const DemandReport &report) { impl->onDemand(report); }

} // namespace catkin
