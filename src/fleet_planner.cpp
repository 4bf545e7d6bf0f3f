#include "fleet_planner_p.h"

#include "config.h"
#include "engine_record_p.h"
#include "fleet_demand_p.h"
#include "holdings_notifier_p.h"
#include "log_p.h"
#include "store_load_meter_p.h"
#include "work_share_p.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>

namespace catkin {

namespace {

// An adapter loads within about 10 ms. A request that arrives too early is refused without being
// run.
constexpr Duration AdapterLoadTime = std::chrono::milliseconds(25);
// Time that an engine needs to unload a model that no request uses.
constexpr Duration UnloadTime = std::chrono::milliseconds(90);
constexpr int MaxUnloadChecks = 4;
constexpr int MaxCommandSends = 4; // attempts for one order whose answers are lost
constexpr Duration RejectedOrderPause = std::chrono::milliseconds(400);
constexpr std::size_t NoticesPerMessage = 4;
// Calls of the planner count towards an engine's limit of requests. Status calls use this share of
// it; the rest is for callers.
constexpr double StatusShareOfLimit = 0.2;
constexpr Duration MaxStatusInterval = std::chrono::seconds(30);
constexpr Duration OrderPermitWait = std::chrono::milliseconds(500);

} // namespace

struct FleetPlanner::Impl : std::enable_shared_from_this<FleetPlanner::Impl> {
  CoreEnv &env;
  FleetView &view;
  EngineControl &engines;
  FleetPlannerOptions options;
  FleetPlannerLinks links;
  std::unique_ptr<Lease> lease;
  std::map<EndpointName, EngineRecord> records;
  FleetDemand demand;
  std::deque<Instant> remoteLoadStarts; ///< starts of loads within the window of the store's limit
  StoreLoadMeter storeLoadMeter;
  HoldingsNotifier notifier;
  Instant acquiredAt;
  WorkShare planningShare;      ///< limits the share of time spent on planning
  std::uint64_t fencedTerm = 0; ///< own term that an engine has rejected for a newer one
  bool stopped = false;

  Impl(CoreEnv &env, FleetView &view, EngineControl &engines, FleetPlannerOptions options,
       FleetPlannerLinks links)
      : env(env), view(view), engines(engines), options(std::move(options)),
        links(std::move(links)) {}

  bool isActive() const { return lease->isHeld() && env.now() < lease->validUntil(); }
  std::uint64_t term() const { return lease->newest().term; }
  /// True if orders may be sent: the lease is valid, the delay after its acquisition is over, and
  /// no engine has rejected the term.
  bool canOrder() const {
    return view.config() && isActive() && env.now() - acquiredAt >= options.firstOrderDelay &&
           fencedTerm != term();
  }

  void onAcquired(const LeaseRecord &mine) {
    logLine(LogLevel::Info, "planner lease acquired", {{"term", mine.term}});
    records.clear();
    demand.clearReports();
    storeLoadMeter = {};
    notifier.clear();
    acquiredAt = env.now();
  }

  /// One planning interval: updates the records, polls engines, plans, and sends notices.
  void tick() {
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

  /// Updates the records to the registrations: adds new engines, resets restarted ones and removes
  /// those that are no longer registered.
  void syncRecords() {
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

  void forgetEngine(const EndpointName &engine) {
    storeLoadMeter.onAbandoned(engine, env.now());
    notifier.stopTracking(engine);
  }

  /// Returns a callback that calls `step` with the engine's record and the callback's arguments,
  /// unless the engine has restarted or been removed. It keeps the planner alive.
  template <class Step> auto bindToEngine(const EngineRecord &record, Step step) {
    return [self = shared_from_this(), name = record.entry.name,
            incarnation = record.entry.incarnation, step = std::move(step)](const auto &...args) {
      auto it = self->records.find(name);
      if (it != self->records.end() && it->second.entry.incarnation == incarnation)
        step(it->second, args...);
    };
  }

  void pollStatus(EngineRecord &record, Instant now) {
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

  void requestStatus(EngineRecord &record) {
    logCallUnderLimit(record, "status");
    engines.requestStatus(record.entry,
                          bindToEngine(record, [this](EngineRecord &it, const auto &status) {
                            it.statusPending = false;
                            onStatus(it, status);
                          }));
  }

  /// Time between two status calls to the engine.
  Duration statusInterval(const EngineRecord &record) const {
    const Duration usual =
        record.active ? config::FleetStatusRetry : Duration(config::FleetStatusInterval);
    const auto limit = view.limitOf(record.entry).perSecond;
    if (!limit)
      return usual;
    const double perSecond =
        std::max(*limit * StatusShareOfLimit, 1 / toSeconds(MaxStatusInterval));
    return std::max(usual, fromSeconds(1 / perSecond));
  }

  /// Runs `step` once a call to the engine is permitted, within `maxDelay`. Otherwise runs `denied`
  /// with the time until a permit is likely.
  template <class Step, class Denied>
  void withPermit(EngineRecord &record, Duration maxDelay, Step step, Denied denied) {
    const bool needsPermit = links.acquirePermit && view.limitOf(record.entry).perSecond;
    if (!needsPermit)
      return step(record);
    links.acquirePermit(
        incarnationOf(record.entry), maxDelay,
        bindToEngine(record, [this, step, denied](EngineRecord &it, const Permit &permit) {
          if (!permit.granted)
            denied(it, permit.delay);
          else if (permit.delay > Duration::zero())
            runLater(permit.delay, it, step);
          else
            step(it);
        }));
  }

  /// Logs a call to an engine that has named a limit of requests, since it counts as a request.
  void logCallUnderLimit(const EngineRecord &record, std::string_view call) const {
    const RequestLimit limit = view.limitOf(record.entry);
    if (limit.perSecond)
      logLine(LogLevel::Info, "call to an engine with a request limit",
              {{"endpoint", record.entry.name.value},
               {"incarnation", record.entry.incarnation},
               {"call", call},
               {"per_second", *limit.perSecond}});
  }

  void onStatus(EngineRecord &record, const std::optional<EngineStatus> &status) {
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

  /// Ends the active order once the engine has carried it out.
  void completeActiveOrder(EngineRecord &record, Instant now) {
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

  // ---- Planning --------------------------------------------------------------------------------

  /// Plans after an event, unless planning would take too large a share of the time. In that case
  /// the next tick plans for all events since the last round.
  void planAfterEvent() {
    if (planningShare.canRunAfterEvent(env.now()))
      planAll();
  }

  void planAll() {
    if (!canOrder())
      return;
    const Instant began = env.now();
    for (auto &[name, service] : view.config()->services)
      if (service.hasEngines)
        planService(service);
    planningShare.onDone(began, env.now());
  }

  void planService(const FleetService &service) {
    auto input = makePlacementInput(service);
    for (auto &it : planPlacement(input))
      startOrder(records[it.engine], it, service.engine);
  }

  PlacementInput makePlacementInput(const FleetService &service) {
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

  // ---- Orders ----------------------------------------------------------------------------------

  void startOrder(EngineRecord &record, const PlacementOrder &order, const EngineSpec &spec) {
    bool ofModel = order.model.adapter.empty();
    const Instant now = env.now();
    if (record.sending || (ofModel && record.active) || now < record.pausedUntil)
      return;
    ActiveOrder active{
        .order = order, .orderCountBefore = record.holdings.orderCount, .startedAt = now};
    active.dueAt = now + record.expectedLoadTime(order, spec);
    if (order.remote)
      remoteLoadStarts.push_back(now);
    if (ofModel)
      reserve(record, order);
    logLine(LogLevel::Info, "order",
            {{"endpoint", record.entry.name.value},
             {"action", toString(order.action)},
             {"model", toText(order.model)},
             {"reason", toString(order.reason)},
             {"remote", order.remote},
             {"term", term()},
             {"order_count", active.orderCountBefore}});
    record.sending = std::move(active);
    if (order.action == PlacementAction::Unload)
      broadcastNotice(record);
    send(record);
  }

  /// Reserves the engine for the load that an unload makes room for. Any other order ends the
  /// reservation.
  void reserve(EngineRecord &record, const PlacementOrder &order) {
    record.reservedFor.reset();
    if (order.action != PlacementAction::Unload || order.nextModel.empty())
      return;
    record.reservedFor = order.nextModel;
    record.reservationReason = order.nextReason;
    record.reservedAt = env.now();
  }

  EngineCommand makeCommand(const PlacementOrder &order, std::uint64_t expectedOrderCount) const {
    return {.action = order.action,
            .model = order.model,
            .term = term(),
            .holder = options.host,
            .expectedOrderCount = expectedOrderCount};
  }

  void send(EngineRecord &record) {
    withPermit(
        record, OrderPermitWait, [this](EngineRecord &it) { sendNow(it); },
        [this](EngineRecord &it, Duration d) {
          onCommandDone(it, CommandResult::NotSent);
          it.pausedUntil = std::max(it.pausedUntil, env.now() + d);
          it.nextStatus = env.now() + d;
        });
  }

  void sendNow(EngineRecord &record) {
    if (!record.sending)
      return;
    if (!canOrder()) // the lease may have been lost during a wait for a permit
      return onCommandDone(record, CommandResult::NotSent);
    auto &sending = *record.sending;
    ++sending.sendCount;
    logCallUnderLimit(record, "order");
    engines.sendCommand(record.entry, makeCommand(sending.order, sending.orderCountBefore),
                        bindToEngine(record, [this](auto &it, CommandResult result) {
                          onCommandDone(it, result);
                        }));
  }

  void onCommandDone(EngineRecord &record, CommandResult result) {
    if (!record.sending)
      return;
    auto order = *std::exchange(record.sending, std::nullopt);
    if (result == CommandResult::Accepted || result == CommandResult::AlreadyHolds)
      return onCommandAccepted(record, order, result);
    logLine(LogLevel::Warn, "order not accepted",
            {{"endpoint", record.entry.name.value},
             {"model", toText(order.order.model)},
             {"result", toString(result)},
             {"sends", order.sendCount}});
    if (result == CommandResult::Unknown && order.sendCount < MaxCommandSends && isActive() &&
        fencedTerm != term()) {
      // All copies have the same expected order count, so at most one takes effect.
      record.sending = order;
      return send(record);
    }
    if (result == CommandResult::Unknown || order.sendCount > 1)
      record.unresolved.push_back(order); // a copy may have been accepted, or may still be
    if (result == CommandResult::WrongEngine)
      record.hasStatus = false;
    if (result == CommandResult::Fenced) {
      fencedTerm = term();
      logLine(LogLevel::Warn, "orders stopped, an engine knows a newer planner",
              {{"term", fencedTerm}});
    }
    record.pausedUntil = env.now() + RejectedOrderPause;
    record.nextStatus = env.now();
  }

  void onCommandAccepted(EngineRecord &record, const ActiveOrder &order, CommandResult result) {
    auto now = env.now();
    // The engine unloads an adapter at once, so it answers AlreadyHolds although it has carried out
    // and counted the order.
    const bool droppedAdapter = !order.order.model.adapter.empty() &&
                                order.order.action == PlacementAction::Unload &&
                                holds(record.holdings.models, order.order.model);
    if (result == CommandResult::Accepted || droppedAdapter)
      record.holdings.orderCount = std::max(record.holdings.orderCount, order.orderCountBefore + 1);
    if (!order.order.model.adapter.empty())
      return onAdapterOrderAccepted(record, order.order);
    record.nextStatus = std::max(now, order.dueAt);
    if (result == CommandResult::AlreadyHolds) {
      record.nextStatus = now;
      if (order.order.action == PlacementAction::Unload)
        record.removeHolding(order.order.model);
      return;
    }
    record.busy = true;
    record.active = order;
    if (order.order.remote)
      storeLoadMeter.onStarted(record.entry.name, order.dueAt - order.startedAt, now);
    if (order.order.action == PlacementAction::Unload)
      runLater(UnloadTime, record, [this](EngineRecord &it) { checkUnload(it); });
    else if (!order.order.remote)
      runLater(order.dueAt + config::FleetLocalLoadMargin - now, record,
               [this, model = order.order.model.model](EngineRecord &it) {
                 notifyWaitingHosts(it, model);
               });
  }

  /// Runs `step` after `d`, unless the engine has restarted or been removed by then.
  template <class Step> void runLater(Duration d, const EngineRecord &record, Step step) {
    env.after(d, bindToEngine(record, std::move(step)));
  }

  /// Sends the unload again: its answer shows whether it is complete, sooner than a report would.
  void checkUnload(EngineRecord &record) {
    if (!record.active || record.active->order.action != PlacementAction::Unload ||
        record.sending || !canOrder())
      return;
    withPermit(
        record, Duration::zero(), [this](EngineRecord &it) { repeatUnload(it); },
        [this](EngineRecord &it, Duration) { onUnloadChecked(it, CommandResult::Busy); });
  }

  void repeatUnload(EngineRecord &record) {
    if (!record.active || !canOrder())
      return;
    logCallUnderLimit(record, "order");
    engines.sendCommand(record.entry, makeCommand(record.active->order, record.holdings.orderCount),
                        bindToEngine(record, [this](auto &it, CommandResult result) {
                          onUnloadChecked(it, result);
                        }));
  }

  void onUnloadChecked(EngineRecord &record, CommandResult result) {
    if (!record.active || record.active->order.action != PlacementAction::Unload)
      return;
    if (result != CommandResult::AlreadyHolds) {
      // Requests of the model are still running. After the last check, reports show the end.
      if (result == CommandResult::Busy && ++record.active->unloadChecks < MaxUnloadChecks)
        runLater(UnloadTime, record, [this](EngineRecord &it) { checkUnload(it); });
      return;
    }
    logLine(LogLevel::Info, "unload confirmed",
            {{"endpoint", record.entry.name.value},
             {"model", toText(record.active->order.model)},
             {"took_ms", toMillis(env.now() - record.active->startedAt)}});
    record.removeHolding(record.active->order.model);
    record.active.reset();
    record.busy = false;
    planAfterEvent();
  }

  /// Completes an adapter order after a short pause. Adapters load within milliseconds and do not
  /// make the engine busy.
  void onAdapterOrderAccepted(EngineRecord &record, const PlacementOrder &order) {
    if (order.action == PlacementAction::Unload) {
      record.removeHolding(order.model);
      planAfterEvent();
      return;
    }
    record.unresolved.push_back(ActiveOrder{.order = order, .orderCountBefore = UINT64_MAX});
    runLater(AdapterLoadTime, record,
             [this, model = order.model](EngineRecord &it) { onAdapterReady(it, model); });
  }

  void onAdapterReady(EngineRecord &record, const ModelRef &ref) {
    auto now = env.now();
    std::erase_if(record.unresolved, [&](auto &it) { return it.order.model == ref; });
    addAdapter(record.holdings.models, ref);
    record.adapterReadyAt[ref] = now;
    record.adapterUsedAt[ref] = now;
    notifyWaitingHosts(record, ref.model);
    planAfterEvent();
  }

  // ---- Messages --------------------------------------------------------------------------------

  /// Sends the engine's holdings to all hosts at once, before the engine refuses requests for the
  /// unloaded model.
  void broadcastNotice(const EngineRecord &record) {
    const auto now = env.now();
    if (record.hasStatus && isActive())
      links.broadcast(HoldingsNotices{{notifier.makeBroadcastNotice(
          record.entry.name, term(), record.availableModels(now), now)}});
  }

  /// Sends the engine's holdings to hosts whose requests wait for the model or one of its adapters.
  /// The other hosts get them with the next notices.
  void notifyWaitingHosts(const EngineRecord &record, const ModelName &model) {
    for (auto &it : demand.waitingHosts(record.entry.service, model))
      notifyHost(record, it);
  }

  void notifyHost(const EngineRecord &record, const Address &host) {
    if (!record.hasStatus || !isActive())
      return;
    auto notice =
        notifier.makeUnicastNotice(record.entry.name, term(), record.availableModels(env.now()));
    links.send(host, HoldingsNotices{{std::move(notice)}});
  }

  /// Sends the notices that are due to all hosts, NoticesPerMessage in each message.
  void broadcastDueNotices() {
    const auto now = env.now();
    HoldingsNotices message;
    for (auto &[name, record] : records) {
      if (!record.hasStatus)
        continue;
      const auto loaded = record.availableModels(now);
      if (!notifier.isDue(name, loaded.models, now))
        continue;
      message.notices.push_back(notifier.makeBroadcastNotice(name, term(), loaded, now));
      if (message.notices.size() < NoticesPerMessage)
        continue;
      links.broadcast(message);
      message.notices.clear();
    }
    if (!message.notices.empty())
      links.broadcast(message);
  }

  void onNeed(const ModelNeed &need, const Address &from) {
    if (!isActive())
      return;
    const Duration waited = demand.onNeed(need, from, env.now());
    if (need.waiting <= 0)
      return;
    // The host may have missed the notice that lists the model.
    for (auto &[name, record] : records)
      if (record.entry.service == need.service && holds(record.holdings.models, need.model)) {
        notifyHost(record, from);
        // The engine may also have lost the model.
        if (waited >= config::FleetNeedRepeatInterval)
          record.nextStatus = std::min(record.nextStatus, env.now());
      }
    planAfterEvent();
  }

  void onDemand(const DemandReport &report) {
    if (!isActive())
      return;
    for (auto &it : report.requestRates)
      if (!it.model.adapter.empty())
        recordAdapterUse(it);
    demand.onReport(report, env.now());
  }

  /// Updates the last use of an adapter. The rate is a moving average that falls after the last
  /// use, so adapters below JustUsed keep their older time.
  void recordAdapterUse(const ModelRequestRate &use) {
    constexpr double JustUsed = 0.1; // requests per second
    if (use.perSecond < JustUsed)
      return;
    for (auto &[name, record] : records)
      if (holds(record.holdings.models, use.model))
        record.adapterUsedAt[use.model] = env.now();
  }
};

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
