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

// An adapter is loaded within about ten milliseconds; a request that comes too early is refused
// without having run.
constexpr Duration AdapterLoadTime = std::chrono::milliseconds(25);
constexpr Duration UnloadTime = std::chrono::milliseconds(90); // without runs to wait for
constexpr int UnloadAsks = 4;
constexpr int CommandSends = 4; // of one order whose answers are lost
constexpr Duration RefusedPause = std::chrono::milliseconds(400);
constexpr std::size_t NoticesPerMessage = 4;

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
  std::deque<Instant> remoteLoads; ///< begun within the ceiling's window
  StoreLoadMeter storeLoads;
  HoldingsNotifier notifier;
  Instant acquiredAt;
  WorkShare rounds;             ///< of planning
  std::uint64_t fencedTerm = 0; ///< an engine has seen a higher one
  bool stopped = false;

  Impl(CoreEnv &env, FleetView &view, EngineControl &engines, FleetPlannerOptions options,
       FleetPlannerLinks links)
      : env(env), view(view), engines(engines), options(std::move(options)),
        links(std::move(links)) {}

  bool active() const { return lease->held() && env.now() < lease->validUntil(); }
  std::uint64_t term() const { return lease->newest().term; }
  bool mayOrder() const {
    return view.config() && active() && env.now() - acquiredAt >= options.firstOrderDelay &&
           fencedTerm != term();
  }

  void onAcquired(const LeaseRecord &mine) {
    logLine(LogLevel::Info, "planner lease acquired", {{"term", mine.term}});
    records.clear();
    demand.clearReports();
    storeLoads = {};
    notifier.clear();
    acquiredAt = env.now();
  }

  void tick() {
    if (stopped)
      return;
    env.after(rounds.nextPause(config::FleetPlanTick),
              [self = shared_from_this()] { self->tick(); });
    if (!active())
      return;
    syncRecords();
    const Instant now = env.now();
    for (auto &[name, record] : records)
      pollStatus(record, now);
    placeAll();
    sendNotices();
  }

  /// Follows the registrations: new engines, restarted ones and those that have gone.
  void syncRecords() {
    std::erase_if(records, [&](auto &it) {
      const bool gone = !view.find(it.first);
      if (gone)
        forget(it.first);
      return gone;
    });
    for (auto &[name, state] : view.endpoints()) {
      if (!view.hasEngines(state.entry.service))
        continue;
      auto &record = records[name];
      bool restarted = record.entry.incarnation != state.entry.incarnation ||
                       record.entry.address != state.entry.address;
      if (restarted) {
        forget(name);
        record = {};
      }
      record.entry = state.entry;
    }
  }

  void forget(const EndpointName &engine) {
    storeLoads.onAbandoned(engine, env.now());
    notifier.forget(engine);
  }

  /// A callback that runs `step` with the engine's record and its own arguments if the engine is
  /// still the same by then. It keeps the planner alive.
  template <class Step> auto forSame(const EngineRecord &record, Step step) {
    return [self = shared_from_this(), name = record.entry.name,
            incarnation = record.entry.incarnation, step = std::move(step)](const auto &...args) {
      auto it = self->records.find(name);
      if (it != self->records.end() && it->second.entry.incarnation == incarnation)
        step(it->second, args...);
    };
  }

  void pollStatus(EngineRecord &record, Instant now) {
    if (record.statusUnderWay || now < record.nextStatus)
      return;
    // An engine that wants no requests is asked only about what it was ordered to do.
    auto *state = view.find(record.entry.name);
    if (state && now < state->backoffUntil && !record.active)
      return;
    record.statusUnderWay = true;
    engines.status(record.entry, forSame(record, [this](EngineRecord &it, const auto &status) {
                     it.statusUnderWay = false;
                     onStatus(it, status);
                   }));
  }

  void onStatus(EngineRecord &record, const std::optional<EngineStatus> &status) {
    auto now = env.now();
    record.nextStatus =
        now + (record.active ? config::FleetStatusRetry : Duration(config::FleetStatusInterval));
    if (!status || status->incarnation != record.entry.incarnation) {
      const bool wasSilent = record.silent();
      ++record.statusFailures;
      if (record.silent() && !wasSilent)
        logLine(LogLevel::Warn, "engine does not answer", {{"endpoint", record.entry.name.value}});
      return;
    }
    if (record.silent())
      logLine(LogLevel::Info, "engine answers again", {{"endpoint", record.entry.name.value}});
    record.statusFailures = 0;
    if (status->leaving)
      view.onLeaving({record.entry.name, record.entry.incarnation}, now);
    // The report lags: one from before the newest accepted order says nothing new.
    if (record.known && status->holdings.orderCount < record.holdings.orderCount)
      return;
    std::erase_if(record.unresolved,
                  [&](auto &it) { return status->holdings.orderCount > it.expected; });
    if (!std::exchange(record.known, true))
      notifier.begin(record.entry.name, record.entry.incarnation, status->holdings.models);
    record.busy = status->busy;
    record.holdings = status->holdings;
    record.keepFreshAdapters(now);
    settleActive(record, now);
  }

  /// Ends the order under way once the engine has carried it out.
  void settleActive(EngineRecord &record, Instant now) {
    if (!record.active)
      return;
    auto &active = *record.active;
    bool counted = record.holdings.orderCount > active.expected;
    if (!counted || record.busy)
      return;
    bool held = holds(record.holdings.models, active.order.model);
    bool load = active.order.action == PlacementAction::Load;
    if (load && held) {
      record.loadedAt[active.order.model.model] = now;
      tellWaiting(record, active.order.model.model);
    }
    logLine(held == load ? LogLevel::Info : LogLevel::Warn, "order completed",
            {{"endpoint", record.entry.name.value},
             {"action", toString(active.order.action)},
             {"model", toText(active.order.model)},
             {"took_ms", toMillis(now - active.startedAt)},
             {"holds", held}});
    if (active.order.remote && held)
      storeLoads.onCompleted(record.entry.name, now);
    else if (active.order.remote)
      storeLoads.onAbandoned(record.entry.name, now);
    record.active.reset();
    record.nextStatus = now + config::FleetStatusInterval;
  }

  // ---- Planning --------------------------------------------------------------------------------

  /// A round because of one event. The next tick plans as well, so that events that come faster
  /// than rounds can be planned share one.
  void placeSoon() {
    if (rounds.mayFollowEvent(env.now()))
      placeAll();
  }

  void placeAll() {
    if (!mayOrder())
      return;
    const Instant began = env.now();
    for (auto &[name, service] : view.config()->services)
      if (service.hasEngines)
        place(service);
    rounds.onDone(began, env.now());
  }

  void place(const FleetService &service) {
    auto input = makeInput(service);
    for (auto &it : planPlacement(input))
      startOrder(records[it.engine], it, service.engine);
  }

  PlacementInput makeInput(const FleetService &service) {
    auto now = env.now();
    while (!remoteLoads.empty() && now - remoteLoads.front() > options.ceilingWindow)
      remoteLoads.pop_front();
    PlacementInput input{.now = now, .spec = &service.engine};
    input.remoteLoadsInWindow = static_cast<int>(remoteLoads.size());
    input.remoteLoadsAllowed = static_cast<int>(
        std::floor(service.engine.loadsPerSecond * toSeconds(options.ceilingWindow)));
    input.storeLoadsAtOnce = storeLoads.allowed(now);
    for (auto &[name, record] : records) {
      if (record.entry.service != service.name)
        continue;
      input.engines.push_back(record.describe(demand.avoided(name), now));
      input.remoteLoadsUnderWay += record.storeLoadsUnderWay();
      // One that does not answer at all is not waited for.
      input.allEnginesKnown = input.allEnginesKnown && (record.known || record.silent());
    }
    demand.fill(service.name, now - acquiredAt, input);
    return input;
  }

  // ---- Orders ----------------------------------------------------------------------------------

  void startOrder(EngineRecord &record, const PlacementOrder &order, const EngineSpec &spec) {
    bool ofModel = order.model.adapter.empty();
    const Instant now = env.now();
    if (record.sending || (ofModel && record.active) || now < record.pausedUntil)
      return;
    ActiveOrder active{.order = order, .expected = record.holdings.orderCount, .startedAt = now};
    active.dueAt = now + record.expectedTime(order, spec);
    if (order.remote)
      remoteLoads.push_back(now);
    if (ofModel)
      reserve(record, order);
    logLine(LogLevel::Info, "order",
            {{"endpoint", record.entry.name.value},
             {"action", toString(order.action)},
             {"model", toText(order.model)},
             {"reason", toString(order.reason)},
             {"remote", order.remote},
             {"term", term()},
             {"order_count", active.expected}});
    record.sending = std::move(active);
    if (order.action == PlacementAction::Unload)
      sendNotice(record);
    send(record);
  }

  void reserve(EngineRecord &record, const PlacementOrder &order) {
    record.reservedFor.reset();
    if (order.action != PlacementAction::Unload || order.purpose.empty())
      return;
    record.reservedFor = order.purpose;
    record.reservedBecause = order.purposeReason;
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
    auto &sending = *record.sending;
    ++sending.sends;
    engines.command(
        record.entry, makeCommand(sending.order, sending.expected),
        forSame(record, [this](auto &it, CommandResult result) { onCommandDone(it, result); }));
  }

  void onCommandDone(EngineRecord &record, CommandResult result) {
    if (!record.sending)
      return;
    auto order = *std::exchange(record.sending, std::nullopt);
    if (result == CommandResult::Accepted || result == CommandResult::AlreadyHolds)
      return onCommandTaken(record, order, result);
    logLine(LogLevel::Warn, "order not accepted",
            {{"endpoint", record.entry.name.value},
             {"model", toText(order.order.model)},
             {"result", toString(result)},
             {"sends", order.sends}});
    if (result == CommandResult::Unknown && order.sends < CommandSends && active() &&
        fencedTerm != term()) {
      // Sent again with the same expected count: of all copies one at most takes effect.
      record.sending = order;
      return send(record);
    }
    if (result == CommandResult::Unknown || order.sends > 1)
      record.unresolved.push_back(order); // a copy may have been accepted, or may be later
    if (result == CommandResult::WrongEngine)
      record.known = false;
    if (result == CommandResult::Fenced) {
      fencedTerm = term();
      logLine(LogLevel::Warn, "orders stopped, an engine knows a newer planner",
              {{"term", fencedTerm}});
    }
    record.pausedUntil = env.now() + RefusedPause;
    record.nextStatus = env.now();
  }

  void onCommandTaken(EngineRecord &record, const ActiveOrder &order, CommandResult result) {
    auto now = env.now();
    // An adapter that is dropped is gone at once: the order counts although it already holds.
    const bool droppedAdapter = !order.order.model.adapter.empty() &&
                                order.order.action == PlacementAction::Unload &&
                                holds(record.holdings.models, order.order.model);
    if (result == CommandResult::Accepted || droppedAdapter)
      record.holdings.orderCount = std::max(record.holdings.orderCount, order.expected + 1);
    if (!order.order.model.adapter.empty())
      return finishAdapter(record, order.order);
    record.nextStatus = std::max(now, order.dueAt);
    if (result == CommandResult::AlreadyHolds) {
      record.nextStatus = now;
      if (order.order.action == PlacementAction::Unload)
        record.drop(order.order.model);
      return;
    }
    record.busy = true;
    record.active = order;
    if (order.order.remote)
      storeLoads.onStarted(record.entry.name, order.dueAt - order.startedAt, now);
    if (order.order.action == PlacementAction::Unload)
      after(UnloadTime, record, [this](EngineRecord &it) { onUnloadDue(it); });
    else if (!order.order.remote)
      after(order.dueAt + config::FleetLocalLoadMargin - now, record,
            [this, model = order.order.model.model](EngineRecord &it) { tellWaiting(it, model); });
  }

  /// Runs `step` later if the engine is still the same.
  template <class Step> void after(Duration d, const EngineRecord &record, Step step) {
    env.after(d, forSame(record, std::move(step)));
  }

  /// The same order again shows whether the unload is complete, sooner than a report would.
  void onUnloadDue(EngineRecord &record) {
    if (!record.active || record.active->order.action != PlacementAction::Unload ||
        record.sending || !mayOrder())
      return;
    engines.command(
        record.entry, makeCommand(record.active->order, record.holdings.orderCount),
        forSame(record, [this](auto &it, CommandResult result) { onUnloadAsked(it, result); }));
  }

  void onUnloadAsked(EngineRecord &record, CommandResult result) {
    if (!record.active || record.active->order.action != PlacementAction::Unload)
      return;
    if (result != CommandResult::AlreadyHolds) {
      // While runs of the model end, its reports tell.
      if (result == CommandResult::Busy && ++record.active->asks < UnloadAsks)
        after(UnloadTime, record, [this](EngineRecord &it) { onUnloadDue(it); });
      return;
    }
    logLine(LogLevel::Info, "unload confirmed",
            {{"endpoint", record.entry.name.value},
             {"model", toText(record.active->order.model)},
             {"took_ms", toMillis(env.now() - record.active->startedAt)}});
    record.drop(record.active->order.model);
    record.active.reset();
    record.busy = false;
    placeSoon();
  }

  /// Adapters load within milliseconds and do not make the engine busy.
  void finishAdapter(EngineRecord &record, const PlacementOrder &order) {
    if (order.action == PlacementAction::Unload) {
      record.drop(order.model);
      placeSoon();
      return;
    }
    record.unresolved.push_back(ActiveOrder{.order = order, .expected = UINT64_MAX});
    after(AdapterLoadTime, record,
          [this, model = order.model](EngineRecord &it) { onAdapterReady(it, model); });
  }

  void onAdapterReady(EngineRecord &record, const ModelRef &ref) {
    auto now = env.now();
    std::erase_if(record.unresolved, [&](auto &it) { return it.order.model == ref; });
    addAdapter(record.holdings.models, ref);
    record.adapterReadyAt[ref] = now;
    record.adapterUsedAt[ref] = now;
    tellWaiting(record, ref.model);
    placeSoon();
  }

  // ---- Messages --------------------------------------------------------------------------------

  /// Tells all hosts at once, before requests can be refused.
  void sendNotice(const EngineRecord &record) {
    const auto now = env.now();
    if (record.known && active())
      links.broadcast(
          HoldingsNotices{{notifier.tell(record.entry.name, term(), record.available(now), now)}});
  }

  /// Tells the hosts whose requests wait for a model or one of its adapters; all others learn with
  /// the next notices.
  void tellWaiting(const EngineRecord &record, const ModelName &model) {
    for (auto &it : demand.waitingHosts(record.entry.service, model))
      tellOne(record, it);
  }

  void tellOne(const EngineRecord &record, const Address &host) {
    if (!record.known || !active())
      return;
    auto notice = notifier.tellOne(record.entry.name, term(), record.available(env.now()));
    links.send(host, HoldingsNotices{{std::move(notice)}});
  }

  void sendNotices() {
    const auto now = env.now();
    HoldingsNotices message;
    for (auto &[name, record] : records) {
      if (!record.known)
        continue;
      const auto loaded = record.available(now);
      if (!notifier.isDue(name, loaded.models, now))
        continue;
      message.notices.push_back(notifier.tell(name, term(), loaded, now));
      if (message.notices.size() < NoticesPerMessage)
        continue;
      links.broadcast(message);
      message.notices.clear();
    }
    if (!message.notices.empty())
      links.broadcast(message);
  }

  void onNeed(const ModelNeed &need, const Address &from) {
    if (!active())
      return;
    const Duration waited = demand.onNeed(need, from, env.now());
    if (need.waiting <= 0)
      return;
    // The host may have missed the notice that tells it where the model is.
    for (auto &[name, record] : records)
      if (record.entry.service == need.service && holds(record.holdings.models, need.model)) {
        tellOne(record, from);
        // Or the engine has lost it.
        if (waited >= config::FleetNeedRepeatInterval)
          record.nextStatus = std::min(record.nextStatus, env.now());
      }
    placeSoon();
  }

  void onDemand(const DemandReport &report) {
    if (!active())
      return;
    for (auto &it : report.uses)
      if (!it.model.adapter.empty())
        noteAdapterUse(it);
    demand.onReport(report, env.now());
  }

  /// The average falls with the time since the last use, so that it ranks adapters by it.
  void noteAdapterUse(const ModelUse &use) {
    constexpr double JustUsed = 0.1; // requests a second
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

bool FleetPlanner::active() const { return impl->active(); }

Address FleetPlanner::address() const { return impl->lease->newest().address; }

std::uint64_t FleetPlanner::term() const { return impl->term(); }

void FleetPlanner::setPlannerLost(bool lost) { impl->lease->setPlannerLost(lost); }

void FleetPlanner::onNeed(const ModelNeed &need, const Address &from) { impl->onNeed(need, from); }

void FleetPlanner::onDemand(const DemandReport &report) { impl->onDemand(report); }

} // namespace catkin
