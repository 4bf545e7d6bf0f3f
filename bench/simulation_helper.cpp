#include "simulation_helper.h"

#include "admission_p.h"
#include "fakes_helper.h"
#include "planner_p.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace catkin::bench {

using namespace std::chrono_literals;

namespace {

constexpr auto HopLatency = 1ms;    ///< host to planner
constexpr auto TableLag = 5ms;      ///< until hosts see a new table
constexpr auto ListLag = 4s;        ///< until the host list shows a lost engine
constexpr auto ReportInterval = 1s; ///< of hosts' syncs
constexpr auto BusyTick = 100ms;    ///< while requests wait or loads are under way
constexpr auto IdleTick = 2500ms;   ///< the planner takes a longer gap for a pause of its process
constexpr auto ReconnectTime = 1s;  ///< callers of a lost host, and requests cut off by an engine
constexpr double FirstTokenSeconds = 0.2;
constexpr double DrainSeconds = 300; ///< after the last request

enum class Progress { Pending, Waiting, Running, Served, Refused };

struct RequestState {
  Progress progress = Progress::Pending;
  Admission::Ticket ticket = 0;
  int host = 0;
  bool cold = false;
  bool baseCold = false;
  std::size_t engine = 0;
  std::uint64_t incarnation = 0;
  int attempt = 0; ///< voids the end of an earlier attempt
};

class Simulation {
public:
  Simulation(const Workload &w, const PolicyCase &p)
      : workload(w), env(w, 1), states(w.requests.size()), planner(env, {.host = HostName("host-0"),
                                                                         .retention = p.retention,
                                                                         .placement = p.placement,
                                                                         .weights = p.weights}) {
    for (int i = 0; i < Hosts; ++i)
      hosts.push_back(makeHost(i));
  }

  RunResult run() {
    warmUp();
    begin();
    for (; next < states.size(); ++next) {
      auto when = simInstant(workload.requests[next].at);
      runUntil(when);
      arrive(next);
    }
    runUntil(env.now() + fromSeconds(DrainSeconds));
    return finish();
  }

private:
  struct Host {
    HostName name;
    std::unique_ptr<Admission> admission;
    bool up = true;
    std::map<ModelName, ModelLoad> loads; ///< since the last report
    std::set<ModelName> reportedBusy;     ///< models whose last report was not empty
    bool reportDue = false;
  };

  std::unique_ptr<Host> makeHost(int index) {
    auto host = std::make_unique<Host>();
    host->name = HostName("host-" + std::to_string(index));
    host->admission = std::make_unique<Admission>(
        [](const PlanName &) { return true; },
        [this](const ModelName &model) { return pickEngine(model).has_value(); });
    return host;
  }

  // ---- Warm-up and faults ----

  /// Reports the uses of the first week to the planner without serving them, for policies that
  /// depend on past use.
  void warmUp() {
    planner.setLists(workload.lists);
    listEngines();
    for (; next < states.size(); ++next) {
      const auto &it = workload.requests[next];
      if (it.at >= WarmUpDays * DaySeconds)
        break;
      states[next].progress = Progress::Served;
      env.clock.advance(simInstant(it.at));
      planner.onModelLoads(hosts[static_cast<std::size_t>(it.host)]->name,
                           {{.model = modelOf(next).name, .arrivals = 1}});
    }
    env.clock.advance(simInstant(WarmUpDays * DaySeconds));
  }

  void begin() {
    first = next;
    planner.lead(1, true);
    planner.setOrderLimit(simInstant(2 * TraceDays * DaySeconds));
    for (const auto &it : workload.faults)
      scheduleFault(it);
    scheduleTick(BusyTick);
    runUntil(env.now() + 2s);
  }

  void scheduleFault(const Fault &fault) {
    auto at = [&](double when, Task task) { env.clock.at(simInstant(when), std::move(task)); };
    auto target = static_cast<std::size_t>(fault.target);
    switch (fault.kind) {
    case FaultKind::SlowStore:
      at(fault.at, [this, fault] { env.store.setSlowness(fault.factor); });
      at(fault.at + fault.length, [this] { env.store.setSlowness(1); });
      break;
    case FaultKind::EngineLost:
      at(fault.at, [this, target] { loseEngine(target); });
      at(fault.at + fault.length, [this, target] { env.fleet.at(target).back(); });
      break;
    default:
      at(fault.at, [this, target] { loseHost(target); });
      at(fault.at + fault.length, [this, target] { hosts[target]->up = true; });
    }
    at(fault.at + toSeconds(ListLag), [this] { listEngines(); });
    at(fault.at + fault.length + toSeconds(ListLag), [this] { listEngines(); });
  }

  void listEngines() {
    std::vector<ListedNode> nodes;
    for (std::size_t i = 0; i < workload.engines.size(); ++i)
      nodes.push_back({.kind = ListedKind::Engine,
                       .name = workload.engines[i].name,
                       .address = FakeEngines::address(i),
                       .dataCentre = DataCentreName(workload.engines[i].dataCentre),
                       .liveness = env.fleet.at(i).reachable() ? Liveness::Live : Liveness::Gone});
    planner.setEndpoints(nodes);
  }

  void loseEngine(std::size_t engine) {
    env.fleet.at(engine).fail();
    for (std::size_t i = first; i < next; ++i)
      if (states[i].progress == Progress::Running && states[i].engine == engine)
        comeBack(i);
  }

  void loseHost(std::size_t index) {
    auto &host = *hosts[index];
    host.up = false;
    for (std::size_t i = first; i < next; ++i) {
      auto &state = states[i];
      if (static_cast<std::size_t>(state.host) != index)
        continue;
      if (state.progress == Progress::Waiting)
        host.admission->cancel(state.ticket);
      else if (state.progress != Progress::Running)
        continue;
      comeBack(i);
    }
    host.loads.clear();
    host.reportedBusy.clear();
  }

  /// Sends a request again, after a short pause, whose host or engine was lost.
  void comeBack(std::size_t i) {
    auto &state = states[i];
    if (state.progress == Progress::Running) {
      env.fleet.at(state.engine).end(modelOf(i).name, state.incarnation);
      --report(state.host, modelOf(i).name).inFlight;
    }
    state.progress = Progress::Pending;
    env.after(ReconnectTime, [this, i] { arrive(i); });
  }

  // ---- Clock ----

  void runUntil(Instant when) {
    while (!env.clock.empty() && env.clock.next() <= when) {
      env.clock.step();
      noticeTable();
    }
    env.clock.advance(std::max(when, env.now()));
  }

  bool busy() const {
    return waiting > 0 || planner.stats().loadsUnderWay > 0 || env.now() < busyUntil;
  }

  void scheduleTick(Duration wait) {
    auto when = env.now() + wait;
    if (when >= nextTick && nextTick > env.now())
      return;
    nextTick = when;
    env.clock.at(when, [this, when] {
      if (when == nextTick)
        tick();
    });
  }

  void tick() {
    planner.tick();
    pumpAll();
    scheduleTick(busy() ? Duration(BusyTick) : Duration(IdleTick));
  }

  /// Ticks every 100 ms for the next second.
  void stayBusy() {
    busyUntil = std::max(busyUntil, env.now() + 1s);
    scheduleTick(BusyTick);
  }

  void noticeTable() {
    auto version = planner.table().version();
    if (version == noticed)
      return;
    noticed = version;
    env.after(TableLag, [this, version] { applyTable(version); });
  }

  void applyTable(std::uint64_t version) {
    if (version < planner.table().version())
      return; // a newer one has been sent
    auto before = std::exchange(routes, {});
    bool releasing = false;
    for (const auto &it : planner.table().entries()) {
      releasing |= it.state == ReplicaState::Releasing;
      if (it.state == ReplicaState::Loaded && !it.leaving)
        routes[it.model].push_back(
            static_cast<std::size_t>(it.address.port - FakeEngines::address(0).port));
    }
    env.after(HopLatency, [this, version] { planner.setAcknowledgedVersion(version); });
    // Most versions differ only in the load of the engines.
    if (releasing || routes != before)
      stayBusy();
    pumpAll();
  }

  // ---- Requests ----

  const Model &modelOf(std::size_t request) const {
    return workload.models[static_cast<std::size_t>(workload.requests[request].model)];
  }

  /// Returns the least loaded engine of the table that can serve the model at present.
  std::optional<std::size_t> pickEngine(const ModelName &model) {
    auto it = routes.find(model);
    if (it == routes.end())
      return std::nullopt;
    std::optional<std::size_t> best;
    for (auto engine : it->second)
      if (env.fleet.at(engine).ready(model) &&
          (!best || env.fleet.at(engine).running() < env.fleet.at(*best).running()))
        best = engine;
    return best;
  }

  void arrive(std::size_t i) {
    auto &state = states[i];
    state.host = workload.requests[i].host;
    while (!hosts[static_cast<std::size_t>(state.host)]->up)
      state.host = (state.host + 1) % Hosts;
    const auto &model = modelOf(i).name;
    ++report(state.host, model).arrivals;
    if (auto engine = pickEngine(model)) {
      start(i, *engine);
      return;
    }
    state.cold = true;
    state.baseCold = !modelOf(i).isAdapter() || !pickEngine(modelOf(i).base);
    wait(i);
  }

  Instant deadlineOf(std::size_t i) const {
    return simInstant(workload.requests[i].at + workload.requests[i].deadline);
  }

  void wait(std::size_t i) {
    auto &state = states[i];
    state.progress = Progress::Waiting;
    ++state.attempt;
    ++waiting;
    ++report(state.host, modelOf(i).name).waiting;
    auto &admission = *hosts[static_cast<std::size_t>(state.host)]->admission;
    state.ticket = admission.enqueue(
        {.requestId = std::to_string(i),
         .plan = workload.plans[static_cast<std::size_t>(workload.requests[i].plan)],
         .model = modelOf(i).name,
         .deadline = deadlineOf(i),
         .serviceTime = fromSeconds(FirstTokenSeconds)},
        env.now(), [this, i](const AdmissionResult &r) { admitted(i, r); });
    env.after(HopLatency, [this, i] { ensure(i); });
    stayBusy();
  }

  void admitted(std::size_t i, const AdmissionResult &result) {
    auto &state = states[i];
    --waiting;
    --report(state.host, modelOf(i).name).waiting;
    if (result.outcome == AdmissionOutcome::Cancelled)
      return;
    if (result.outcome == AdmissionOutcome::Refused) {
      refuse(i, result.reason);
      return;
    }
    auto engine = pickEngine(modelOf(i).name);
    if (!engine) {
      comeBack(i); // lost since the replica was seen ready
      return;
    }
    start(i, *engine);
  }

  void addColdWait(std::size_t i, double seconds) {
    result.coldWaits.push_back(seconds);
    if (states[i].baseCold)
      result.baseColdWaits.push_back(seconds);
  }

  void refuse(std::size_t i, const std::string &reason) {
    states[i].progress = Progress::Refused;
    ++result.refused;
    ++reasons[reason];
    addColdWait(i, workload.requests[i].deadline);
    result.longestWaitOfRefused = std::max(
        result.longestWaitOfRefused, toSeconds(env.now() - simInstant(workload.requests[i].at)));
    if (env.now() > deadlineOf(i))
      ++result.late;
  }

  void start(std::size_t i, std::size_t engine) {
    auto &state = states[i];
    const auto &request = workload.requests[i];
    const auto &model = modelOf(i).name;
    state.progress = Progress::Running;
    state.engine = engine;
    state.incarnation = env.fleet.at(engine).incarnation();
    env.fleet.at(engine).start(model);
    ++report(state.host, model).inFlight;
    env.after(fromSeconds(request.service),
              [this, i, attempt = ++state.attempt] { complete(i, attempt); });
  }

  void complete(std::size_t i, int attempt) {
    auto &state = states[i];
    if (state.progress != Progress::Running || state.attempt != attempt)
      return;
    const auto &model = modelOf(i).name;
    env.fleet.at(state.engine).end(model, state.incarnation);
    --report(state.host, model).inFlight;
    state.progress = Progress::Served;
    ++result.served;
    double started = toSeconds(env.now() - simInstant(0)) - workload.requests[i].service;
    double waited = started - workload.requests[i].at;
    if (state.cold)
      addColdWait(i, waited);
    if (waited + FirstTokenSeconds > workload.requests[i].deadline)
      ++result.late;
  }

  // ---- Calls to the planner ----

  void ensure(std::size_t i) {
    if (states[i].progress != Progress::Waiting)
      return;
    const auto &request = workload.requests[i];
    auto index = static_cast<std::size_t>(states[i].host);
    planner.ensure(
        {.requestId = std::to_string(i),
         .model = modelOf(i).name,
         .plan = workload.plans[static_cast<std::size_t>(request.plan)],
         .host = hosts[index]->name,
         .dataCentre = DataCentreName(workload.dataCentres[index % workload.dataCentres.size()]),
         .remaining = deadlineOf(i) - env.now()},
        [this, i](const EnsureReply &reply) {
          env.after(HopLatency, [this, i, reply] { onEnsured(i, reply); });
        });
  }

  void onEnsured(std::size_t i, const EnsureReply &reply) {
    auto &state = states[i];
    if (state.progress != Progress::Waiting)
      return;
    auto &admission = *hosts[static_cast<std::size_t>(state.host)]->admission;
    switch (reply.outcome) {
    case EnsureOutcome::Loading:
      admission.setModelEstimate(modelOf(i).name, env.now() + reply.estimate);
      env.after(ReportInterval, [this, i, attempt = state.attempt] {
        if (states[i].attempt == attempt)
          ensure(i); // the load may have been lost or delayed
      });
      break;
    case EnsureOutcome::Refused:
      // Only this request: another one for the model may have more time.
      admission.cancel(state.ticket);
      refuse(i, reply.reason);
      break;
    case EnsureOutcome::NotPlanner:
      env.after(100ms, [this, i] { ensure(i); });
      break;
    default:
      break;
    }
    admission.pump(env.now());
  }

  void pumpAll() {
    for (auto &host : hosts)
      if (host->up && host->admission->waiting() > 0)
        host->admission->pump(env.now());
  }

  ModelLoad &report(int host, const ModelName &model) {
    auto &it = *hosts[static_cast<std::size_t>(host)];
    if (!it.reportDue) {
      it.reportDue = true;
      env.after(ReportInterval, [this, &it] { sendReport(it); });
    }
    auto &load = it.loads[model];
    load.model = model;
    return load;
  }

  void sendReport(Host &host) {
    host.reportDue = false;
    if (!host.up)
      return;
    std::vector<ModelLoad> loads;
    for (auto it = host.loads.begin(); it != host.loads.end();) {
      loads.push_back(it->second);
      it->second.arrivals = 0;
      bool idle = it->second.inFlight == 0 && it->second.waiting == 0;
      it = idle ? host.loads.erase(it) : std::next(it);
    }
    planner.onModelLoads(host.name, loads);
    if (host.loads.empty() || host.reportDue)
      return;
    host.reportDue = true;
    env.after(ReportInterval, [this, &host] { sendReport(host); });
  }

  RunResult finish() {
    for (std::size_t i = first; i < states.size(); ++i) {
      if (states[i].progress == Progress::Served || states[i].progress == Progress::Refused)
        continue;
      ++result.late; // never answered
      addColdWait(i, workload.requests[i].deadline);
    }
    result.requests = static_cast<int>(states.size() - first);
    for (std::size_t i = 0; i < env.fleet.size(); ++i) {
      result.idleAccelHours += env.fleet.at(i).idleSeconds() / 3600;
      result.loads += env.fleet.at(i).loadsDone();
    }
    result.storeMostInFlight = env.store.mostInFlight();
    result.refusalReasons.assign(reasons.begin(), reasons.end());
    return std::move(result);
  }

  const Workload &workload;
  FakeEnv env;
  std::vector<RequestState> states;
  std::vector<std::unique_ptr<Host>> hosts;
  std::map<ModelName, std::vector<std::size_t>> routes; ///< as hosts see them
  Planner planner;
  RunResult result;
  std::map<std::string, int> reasons;
  std::size_t next = 0;
  std::size_t first = 0; ///< first measured request
  int waiting = 0;
  std::uint64_t noticed = 0;
  Instant nextTick{};
  Instant busyUntil{};
};

} // namespace

RunResult simulate(const Workload &workload, const PolicyCase &policy) {
  return Simulation(workload, policy).run();
}

} // namespace catkin::bench
