#include "fleet_planner_p.h"

#include "config.h"
#include "holdings_notifier_p.h"
#include "log_p.h"
#include "store_load_meter_p.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <utility>

namespace catkin {

namespace {

constexpr Duration NeedLifetime = 3 * config::FleetNeedRepeat;
// By then every host has reported once or twice to a new planner.
constexpr Duration ReportsIn = std::chrono::milliseconds(1200);
// Four reports of a large fleet's hosts, which report at every second interval.
constexpr Duration DemandLifetime = 8 * config::FleetDemandInterval;
constexpr Duration DemandSettles = std::chrono::seconds(3);
// An adapter is loaded within about ten milliseconds; a request that comes too early is refused
// without having run.
// A request keeps its adapter for about the length of a stream.
constexpr double AdapterUseSeconds = 2.5;
constexpr Duration AdapterLoadTime = std::chrono::milliseconds(25);
// A load from a local copy takes as long as the configuration says; reports show it later.
constexpr Duration LocalLoadMargin = std::chrono::milliseconds(20);
constexpr Duration UnloadTime = std::chrono::milliseconds(90); // without runs to wait for
constexpr int UnloadAsks = 4;
constexpr int StatusFailuresUnreachable = 2;
constexpr int CommandSends = 4; // of one order whose answers are lost
constexpr Duration RefusedPause = std::chrono::milliseconds(400);
constexpr Duration ReservationTime =
    std::chrono::seconds(3); // runs of a dropped model may end late
constexpr std::size_t NoticesPerMessage = 4;

/// An order under way at one engine.
struct ActiveOrder {
  PlacementOrder order;
  std::uint64_t expected = 0; ///< order count before it
  int sends = 0;
  int asks = 0; ///< whether an unload is complete
  Instant startedAt;
  Instant dueAt; ///< when it should be complete
};

/// What the planner knows of one engine.
struct EngineRecord {
  FleetEndpoint entry;
  bool known = false; ///< a status has been read in this incarnation
  EngineHoldings holdings;
  bool busy = false;
  std::optional<ModelName> reservedFor; ///< the load for which models are being dropped
  Instant reservedAt;
  std::optional<ActiveOrder> sending;  ///< sent and not answered
  std::optional<ActiveOrder> active;   ///< of a model, accepted and being carried out
  std::vector<ActiveOrder> unresolved; ///< orders given up that may still be carried out
  std::map<ModelRef, Instant> adapterReadyAt;
  std::map<ModelRef, Instant> adapterUsedAt;
  std::map<ModelName, Instant> loadedAt;
  bool statusUnderWay = false;
  int statusFailures = 0;
  Instant nextStatus;
  Instant pausedUntil;

  bool silent() const { return statusFailures >= StatusFailuresUnreachable; }
  bool reachable() const { return known && !silent(); }
};

struct HostDemand {
  DemandReport report;
  Instant at;
};

struct OpenNeed {
  Address from; ///< the host that waits
  int waiting = 0;
  Instant since; ///< of the first message about it
  Instant at;    ///< of the newest one
};

using NeedKey = std::pair<ServiceName, ModelRef>;

} // namespace

struct FleetPlanner::Impl : std::enable_shared_from_this<FleetPlanner::Impl> {
  CoreEnv &env;
  FleetView &view;
  EngineControl &engines;
  FleetPlannerOptions options;
  FleetPlannerLinks links;
  std::unique_ptr<Lease> lease;
  std::map<EndpointName, EngineRecord> records;
  std::map<NeedKey, std::map<HostName, OpenNeed>> needs;
  std::map<HostName, HostDemand> demands;
  std::deque<Instant> remoteLoads; ///< begun within the ceiling's window
  StoreLoadMeter storeLoads;
  HoldingsNotifier notifier;
  Instant acquiredAt;
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
    demands.clear();
    storeLoads = {};
    notifier.clear();
    acquiredAt = env.now();
  }

  void tick() {
    if (stopped)
      return;
    env.after(config::FleetPlanTick, [self = shared_from_this()] { self->tick(); });
    if (!active())
      return;
    syncRecords();
    for (auto &[name, record] : records)
      pollStatus(record);
    if (mayOrder())
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
      if (!isEngine(state.entry))
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

  bool isEngine(const FleetEndpoint &entry) const {
    auto *config = view.config();
    if (!config)
      return false;
    auto it = config->services.find(entry.service);
    return it != config->services.end() && it->second.hasEngines;
  }

  void pollStatus(EngineRecord &record) {
    if (record.statusUnderWay || env.now() < record.nextStatus)
      return;
    record.statusUnderWay = true;
    auto self = shared_from_this();
    auto name = record.entry.name;
    auto incarnation = record.entry.incarnation;
    engines.status(record.entry, [self, name, incarnation](const auto &status) {
      auto it = self->records.find(name);
      if (it == self->records.end() || it->second.entry.incarnation != incarnation)
        return;
      it->second.statusUnderWay = false;
      self->onStatus(it->second, status);
    });
  }

  void onStatus(EngineRecord &record, const std::optional<EngineStatus> &status) {
    auto now = env.now();
    record.nextStatus =
        now + (record.active ? config::FleetStatusRetry : Duration(config::FleetStatusInterval));
    if (!status || status->incarnation != record.entry.incarnation) {
      if (++record.statusFailures == StatusFailuresUnreachable)
        logLine(LogLevel::Warn, "engine does not answer", {{"endpoint", record.entry.name.value}});
      return;
    }
    if (record.silent())
      logLine(LogLevel::Info, "engine answers again", {{"endpoint", record.entry.name.value}});
    record.statusFailures = 0;
    // The report lags: one from before the newest accepted order says nothing new.
    if (record.known && status->holdings.orderCount < record.holdings.orderCount)
      return;
    std::erase_if(record.unresolved,
                  [&](auto &it) { return status->holdings.orderCount > it.expected; });
    if (!std::exchange(record.known, true))
      notifier.begin(record.entry.name, record.entry.incarnation, status->holdings.models);
    record.busy = status->busy;
    record.holdings = status->holdings;
    keepFreshAdapters(record, now);
    settleActive(record, now);
  }

  /// Adapters that were loaded since the moment of the report are not in it yet.
  static void keepFreshAdapters(EngineRecord &record, Instant now) {
    constexpr Duration ReportLag = std::chrono::milliseconds(600);
    for (auto &[ref, at] : record.adapterReadyAt)
      for (auto &held : record.holdings.models)
        if (held.model == ref.model && now - at < ReportLag && !holds({held}, ref))
          held.adapters.push_back(ref.adapter);
    std::erase_if(record.adapterReadyAt, [&](auto &it) { return now - it.second >= ReportLag; });
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

  void placeAll() {
    for (auto &[name, service] : view.config()->services)
      if (service.hasEngines)
        place(service);
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
      input.engines.push_back(describe(record, input));
      // One that does not answer at all is not waited for.
      input.allEnginesKnown = input.allEnginesKnown && (record.known || record.silent());
    }
    addDemand(service.name, input);
    addNeeds(service.name, input);
    return input;
  }

  PlacementEngine describe(const EngineRecord &record, PlacementInput &input) const {
    PlacementEngine engine{.name = record.entry.name};
    bool leaving = record.entry.liveness != Liveness::Live;
    engine.usable = record.reachable() && !leaving && !avoided(record.entry.name);
    engine.idle =
        !record.active && !record.busy && !record.sending && env.now() >= record.pausedUntil;
    if (env.now() - record.reservedAt < ReservationTime)
      engine.reservedFor = record.reservedFor;
    engine.loadsFromStore = record.active && record.active->order.remote;
    engine.models = staying(record);
    engine.inMemory.insert(record.holdings.inMemory.begin(), record.holdings.inMemory.end());
    engine.onDisk.insert(record.holdings.onDisk.begin(), record.holdings.onDisk.end());
    engine.loadedAt = record.loadedAt;
    engine.adapterUsedAt = record.adapterUsedAt;
    // What is being dropped takes room until the engine says that it is gone.
    for (auto *it : {&record.sending, &record.active}) {
      if (!*it)
        continue;
      addPending(engine, (*it)->order);
      input.remoteLoadsUnderWay += (*it)->order.remote ? 1 : 0;
    }
    for (auto &it : record.unresolved)
      if (it.order.action == PlacementAction::Load && !holds(engine.models, it.order.model))
        addPending(engine, it.order);
    return engine;
  }

  /// What an engine holds less what it has been ordered to drop.
  static std::vector<HeldModel> staying(const EngineRecord &record) {
    auto models = record.holdings.models;
    for (auto *it : {&record.sending, &record.active})
      if (*it && (*it)->order.action == PlacementAction::Unload)
        dropFrom(models, (*it)->order.model);
    return models;
  }

  static void dropFrom(std::vector<HeldModel> &models, const ModelRef &ref) {
    if (ref.adapter.empty()) {
      std::erase_if(models, [&](auto &it) { return it.model == ref.model; });
      return;
    }
    for (auto &it : models)
      if (it.model == ref.model)
        std::erase(it.adapters, ref.adapter);
  }

  static void addPending(PlacementEngine &engine, const PlacementOrder &order) {
    HeldModel held{order.model.model, {}};
    if (!order.model.adapter.empty())
      held.adapters.push_back(order.model.adapter);
    engine.pending.push_back(std::move(held));
  }

  /// Most hosts find the engine failing.
  bool avoided(const EndpointName &name) const {
    int failing = 0;
    for (auto &[host, demand] : demands)
      failing += static_cast<int>(
          std::count(demand.report.failing.begin(), demand.report.failing.end(), name));
    return failing * 2 > static_cast<int>(demands.size()) && failing >= 2;
  }

  void addDemand(const ServiceName &service, PlacementInput &input) {
    std::erase_if(demands, [&](auto &it) { return env.now() - it.second.at > DemandLifetime; });
    std::map<EndpointName, std::map<ModelRef, int>> running;
    std::map<ModelRef, double> adapterRates;
    Duration observed{};
    for (auto &[host, demand] : demands) {
      observed = std::max(observed, demand.report.observed);
      for (auto &it : demand.report.running)
        running[it.endpoint][it.model] += it.inFlight;
      for (auto &it : demand.report.uses)
        if (it.service == service)
          addUse(it, input, adapterRates);
    }
    for (auto &[ref, rate] : adapterRates)
      input.demand[ref.model].adaptersInUse += std::min(1.0, rate * AdapterUseSeconds);
    for (auto &it : input.engines)
      addRunning(running[it.name], it);
    input.demandKnown = demandState(observed);
  }

  static void addRunning(const std::map<ModelRef, int> &running, PlacementEngine &engine) {
    for (auto &[ref, n] : running) {
      engine.inFlight[ref.model] += n;
      if (!ref.adapter.empty() && n > 0)
        engine.adaptersInUse.insert(ref);
    }
  }

  PlacementInput::Demand demandState(Duration observed) const {
    using Demand = PlacementInput::Demand;
    if (demands.empty() || env.now() - acquiredAt < ReportsIn)
      return Demand::Unknown;
    if (observed == Duration::zero())
      return Demand::None;
    return observed < DemandSettles ? Demand::Partial : Demand::Known;
  }

  static void addUse(const ModelUse &use, PlacementInput &input,
                     std::map<ModelRef, double> &adapterRates) {
    auto &demand = input.demand[use.model.model];
    demand.perSecond += use.perSecond;
    demand.recentPerSecond += use.recentPerSecond;
    if (use.model.adapter.empty())
      return;
    demand.adapterPerSecond += use.perSecond;
    adapterRates[use.model] += use.perSecond;
  }

  void addNeeds(const ServiceName &service, PlacementInput &input) {
    for (auto it = needs.begin(); it != needs.end();) {
      auto &hosts = it->second;
      std::erase_if(hosts, [&](auto &need) { return env.now() - need.second.at > NeedLifetime; });
      if (hosts.empty()) {
        it = needs.erase(it);
        continue;
      }
      auto &[owner, ref] = it->first;
      if (owner == service)
        for (auto &[host, need] : hosts)
          addNeed(ref, need, input);
      ++it;
    }
  }

  static void addNeed(const ModelRef &ref, const OpenNeed &need, PlacementInput &input) {
    auto &demand = input.demand[ref.model];
    demand.waiting += need.waiting;
    demand.waited = std::max(demand.waited, input.now - need.since);
    if (!ref.adapter.empty())
      input.adaptersWaiting[ref] += need.waiting;
  }

  // ---- Orders ----------------------------------------------------------------------------------

  void startOrder(EngineRecord &record, const PlacementOrder &order, const EngineSpec &spec) {
    bool ofModel = order.model.adapter.empty();
    if (record.sending || (ofModel && record.active) || env.now() < record.pausedUntil)
      return;
    auto now = env.now();
    ActiveOrder active{.order = order, .expected = record.holdings.orderCount, .startedAt = now};
    active.dueAt = now + expectedTime(record, order, spec);
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
    record.reservedAt = env.now();
  }

  static Duration expectedTime(const EngineRecord &record, const PlacementOrder &order,
                               const EngineSpec &spec) {
    auto it = spec.models.find(order.model.model);
    if (!order.model.adapter.empty() || order.action == PlacementAction::Unload ||
        it == spec.models.end())
      return Duration(0);
    auto in = [&](const std::vector<ModelName> &names) {
      return std::find(names.begin(), names.end(), order.model.model) != names.end();
    };
    if (in(record.holdings.inMemory))
      return it->second.memoryLoad;
    return in(record.holdings.onDisk) ? it->second.diskLoad : it->second.remoteLoad;
  }

  static void dropFromHoldings(EngineRecord &record, const ModelRef &ref) {
    record.adapterReadyAt.erase(ref);
    dropFrom(record.holdings.models, ref);
  }

  void send(EngineRecord &record) {
    auto &sending = *record.sending;
    ++sending.sends;
    EngineCommand command{.action = sending.order.action,
                          .model = sending.order.model,
                          .term = term(),
                          .holder = options.host,
                          .expectedOrderCount = sending.expected};
    auto self = shared_from_this();
    auto name = record.entry.name;
    auto incarnation = record.entry.incarnation;
    engines.command(record.entry, command, [self, name, incarnation](CommandResult result) {
      auto it = self->records.find(name);
      if (it == self->records.end() || it->second.entry.incarnation != incarnation)
        return;
      self->onCommandDone(it->second, result);
    });
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
        dropFromHoldings(record, order.order.model);
      return;
    }
    record.busy = true;
    record.active = order;
    if (order.order.remote)
      storeLoads.onStarted(record.entry.name, order.dueAt - order.startedAt, now);
    if (order.order.action == PlacementAction::Unload)
      after(UnloadTime, record, [this](EngineRecord &it) { onUnloadDue(it); });
    else if (!order.order.remote)
      after(order.dueAt + LocalLoadMargin - now, record,
            [this, model = order.order.model.model](EngineRecord &it) { tellWaiting(it, model); });
  }

  /// Runs `step` later if the engine is still the same.
  void after(Duration d, const EngineRecord &record, std::function<void(EngineRecord &)> step) {
    auto self = shared_from_this();
    auto name = record.entry.name;
    auto incarnation = record.entry.incarnation;
    env.after(d, [self, name, incarnation, step = std::move(step)] {
      auto it = self->records.find(name);
      if (it != self->records.end() && it->second.entry.incarnation == incarnation)
        step(it->second);
    });
  }

  /// The same order again shows whether the unload is complete, sooner than a report would.
  void onUnloadDue(EngineRecord &record) {
    if (!record.active || record.active->order.action != PlacementAction::Unload ||
        record.sending || !mayOrder())
      return;
    auto name = record.entry.name;
    auto self = shared_from_this();
    auto incarnation = record.entry.incarnation;
    EngineCommand command{.action = PlacementAction::Unload,
                          .model = record.active->order.model,
                          .term = term(),
                          .holder = options.host,
                          .expectedOrderCount = record.holdings.orderCount};
    engines.command(record.entry, command, [self, name, incarnation](CommandResult result) {
      auto it = self->records.find(name);
      if (it != self->records.end() && it->second.entry.incarnation == incarnation)
        self->onUnloadAsked(it->second, result);
    });
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
    dropFromHoldings(record, record.active->order.model);
    record.active.reset();
    record.busy = false;
    if (mayOrder())
      placeAll();
  }

  /// Adapters load within milliseconds and do not make the engine busy.
  void finishAdapter(EngineRecord &record, const PlacementOrder &order) {
    if (order.action == PlacementAction::Unload) {
      dropFromHoldings(record, order.model);
      if (mayOrder())
        placeAll();
      return;
    }
    record.unresolved.push_back(ActiveOrder{.order = order, .expected = UINT64_MAX});
    after(AdapterLoadTime, record,
          [this, model = order.model](EngineRecord &it) { onAdapterReady(it, model); });
  }

  void onAdapterReady(EngineRecord &record, const ModelRef &ref) {
    auto now = env.now();
    std::erase_if(record.unresolved, [&](auto &it) { return it.order.model == ref; });
    for (auto &it : record.holdings.models)
      if (it.model == ref.model && !holds({it}, ref))
        it.adapters.push_back(ref.adapter);
    record.adapterReadyAt[ref] = now;
    record.adapterUsedAt[ref] = now;
    tellWaiting(record, ref.model);
    if (mayOrder())
      placeAll();
  }

  // ---- Messages --------------------------------------------------------------------------------

  /// What an engine holds, with a model whose load should be complete. A request that comes too
  /// early is refused without having run.
  std::vector<HeldModel> available(const EngineRecord &record) const {
    auto models = staying(record);
    auto &active = record.active;
    bool loaded = active && active->order.action == PlacementAction::Load &&
                  !active->order.remote && env.now() >= active->dueAt + LocalLoadMargin;
    if (loaded && !holds(models, active->order.model))
      models.push_back({active->order.model.model, {}});
    return models;
  }

  /// Tells all hosts at once, before requests can be refused.
  void sendNotice(const EngineRecord &record) {
    if (record.known && active())
      links.broadcast(HoldingsNotices{{makeNotice(record)}});
  }

  HoldingsNotice makeNotice(const EngineRecord &record) {
    return notifier.tell(record.entry.name, term(), available(record), env.now());
  }

  /// Tells the hosts whose requests wait for a model or one of its adapters; all others learn with
  /// the next notices.
  void tellWaiting(const EngineRecord &record, const ModelName &model) {
    std::set<Address> hosts;
    for (auto &[key, open] : needs)
      if (key.first == record.entry.service && key.second.model == model)
        for (auto &[host, need] : open)
          hosts.insert(need.from);
    for (auto &it : hosts)
      tellOne(record, it);
  }

  void tellOne(const EngineRecord &record, const Address &host) {
    if (!record.known || !active())
      return;
    auto notice = notifier.tellOne(record.entry.name, term(), available(record));
    links.send(host, HoldingsNotices{{std::move(notice)}});
  }

  void sendNotices() {
    HoldingsNotices message;
    for (auto &[name, record] : records) {
      if (!record.known || !notifier.isDue(name, available(record), env.now()))
        continue;
      message.notices.push_back(makeNotice(record));
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
    auto now = env.now();
    const NeedKey key{need.service, need.model};
    if (need.waiting <= 0)
      return endNeed(key, need.host);
    auto &open = needs[key]
                     .try_emplace(need.host, OpenNeed{.waiting = 0, .since = now, .at = now})
                     .first->second;
    open.from = from;
    open.waiting = need.waiting;
    open.at = now;
    // The host may have missed the notice that tells it where the model is.
    for (auto &[name, record] : records)
      if (record.entry.service == need.service && holds(record.holdings.models, need.model))
        tellOne(record, from);
    if (mayOrder())
      placeAll();
  }

  void endNeed(const NeedKey &key, const HostName &host) {
    auto it = needs.find(key);
    if (it != needs.end())
      it->second.erase(host);
  }

  void onDemand(const DemandReport &report) {
    if (!active())
      return;
    for (auto &it : report.uses)
      if (!it.model.adapter.empty())
        noteAdapterUse(it);
    demands[report.host] = {report, env.now()};
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
