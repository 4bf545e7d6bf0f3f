#include "replica_scenario_p.h"

#include "checkers_p.h"
#include "planner_world_p.h"

#include <algorithm>
#include <array>
#include <optional>

namespace catkin::harness {

namespace {

using namespace std::chrono_literals;

// Like the real lease: the holder stops sending orders 0.5 s before the TTL of 3 s, and a candidate
// waits until 0.5 s after it.
constexpr Duration OrderLimit = 2500ms;
constexpr Duration TakeoverAfter = 3500ms;
constexpr Duration RenewInterval = 1s;
constexpr int Engines = 4;
constexpr Duration Step = 50ms;
constexpr Duration LeavingGrace = 4s; // the host list is read every 0.1 s in these runs

/// One run of runReplicaScenario().
class ReplicaRun {
public:
  explicit ReplicaRun(const ReplicaScenarioOptions &o) : options(o), world(o.seed) {}

  ReplicaScenarioResult run() {
    // Frequent faults overlap; rare faults leave time for loads and releases between them.
    maxFaultInterval = std::array<Duration, 3>{3s, 6s, 15s}[pick(3)];
    addEngines();
    for (int i = 0; i < 2; ++i)
      hosts.push_back(makeHost(i));
    clients.resize(3);
    world.run(50ms);
    takeOver(0);
    for (auto end = world.now() + std::chrono::seconds(options.seconds); world.now() < end;) {
      world.run(Step);
      step();
    }
    return checkHistory();
  }

private:
  struct Client {
    RouteTable table;
    std::uint64_t term = 0;
    Instant nextSync{};
    std::map<std::string, int> inFlight;
  };
  struct Pending {
    Instant at;
    Task task;
  };

  std::uint64_t pick(std::uint64_t n) { return world.random() % n; }
  Duration randomDuration(Duration a, Duration b) {
    return a + Duration(static_cast<std::int64_t>(
                   pick(static_cast<std::uint64_t>((b - a).count()) + 1)));
  }
  void scheduleTask(Duration d, Task task) { world.schedule(d, std::move(task)); }
  void recordMark(const char *what, const std::string &host, const std::string &endpoint,
                  const std::string &model = {}) {
    world.record({.kind = EventKind::Custom,
                  .host = host,
                  .endpoint = endpoint,
                  .model = model,
                  .detail = what});
  }

  void addEngines() {
    for (int i = 0; i < Engines; ++i) {
      auto e = makeEngine(i, 16 * GB, pick(2) == 0);
      e.refusesOvercommit = pick(4) == 0;
      e.loadTime = randomDuration(300ms, 3s);
      world.addEngine(e);
    }
    auto models = makeModels(9, 0);
    for (auto &it : models)
      it.bytes = (4 + pick(5)) * GB;
    for (int i = 0; i < 2; ++i)
      models.push_back(
          {.name = ModelName("a" + std::to_string(i)), .base = ModelName("m0"), .bytes = GB / 10});
    for (auto &it : models)
      names.push_back(it.name.value);
    lists = makeLists(2, {.models = 7, .acceleratorBytes = 50 * GB}, models);
  }

  std::shared_ptr<PlannerHost> makeHost(int i) {
    PlannerOptions o{.retention = "fixed",
                     .placement = pick(2) == 0 ? "cost" : "first_fit",
                     .guards = options.guards};
    o.weights.fixedKeepAlive = randomDuration(1s, 6s);
    auto h = std::make_shared<PlannerHost>(world, "h" + std::to_string(i), o);
    h->acknowledgeAll = false;
    h->start(lists);
    return h;
  }

  // ---- Lease -----------------------------------------------------------------------------------

  std::shared_ptr<PlannerHost> leader() { return hosts[leaderIndex]; }
  bool isRunning(const PlannerHost &h) { return h.process->alive() && !h.process->frozen(); }
  bool reachesPlatform(const PlannerHost &h) {
    return !world.faults().platformDown && !cutHosts.contains(h.process->name().value);
  }

  void takeOver(std::size_t index) {
    leaderIndex = index;
    ++term;
    ++result.takeovers;
    lastRenewal = world.now();
    world.putObject("planner/lease", "{\"term\":" + std::to_string(term) + "}");
    world.history().back().endpoint = "planner/lease";
    leader()->lead(term, formerHolders.empty(), OrderLimit);
    formerHolders.push_back(leader());
  }

  void renewOrTakeOver() {
    auto now = world.now();
    auto h = leader();
    if (isRunning(*h) && reachesPlatform(*h) && h->planner->isLeading() &&
        now - lastRenewal < TakeoverAfter) {
      if (now - lastRenewal < RenewInterval)
        return;
      lastRenewal = now;
      h->planner->setOrderLimit(now + OrderLimit);
      return;
    }
    auto other = hosts[1 - leaderIndex];
    if (now - lastRenewal < TakeoverAfter)
      return;
    if (isRunning(*other) && reachesPlatform(*other))
      takeOver(1 - leaderIndex);
    else if (isRunning(*h) && reachesPlatform(*h))
      takeOver(leaderIndex);
  }

  /// Removes former lease holders that have ended: the host was replaced, or the holder
  /// acknowledged the new term, which it does only once all its orders were answered. Tells the
  /// leader when no other holder is left.
  void noteEndedHolders() {
    bool changed = std::erase_if(formerHolders, [&](auto &h) {
                     if (h == leader() && h->planner->isLeading() && h->planner->term() == term)
                       return false;
                     if (isReplaced(h))
                       return true;
                     if (!isRunning(*h))
                       return false;
                     if (h->planner->isLeading() && h->planner->term() < term) {
                       // The holder learns of the new term with a random delay.
                       if (pick(10) == 0)
                         h->planner->resign();
                       return false;
                     }
                     return h->planner->ordersInFlight() == 0;
                   }) > 0;
    bool onlyLeader =
        formerHolders.empty() || (formerHolders.size() == 1 && formerHolders[0] == leader());
    if ((changed || onlyLeader) && onlyLeader && isRunning(*leader()))
      leader()->planner->onFormerHolderEnded();
  }

  bool isReplaced(const std::shared_ptr<PlannerHost> &h) {
    return std::find(hosts.begin(), hosts.end(), h) == hosts.end();
  }

  // ---- Hosts that send requests ----------------------------------------------------------------

  void syncTable(Client &c) {
    if (world.now() < c.nextSync)
      return;
    c.nextSync = world.now() + randomDuration(50ms, 500ms);
    auto h = leader();
    // Before the planner is ready, its table lacks most replicas.
    if (!isRunning(*h) || !h->planner->isLeading() || !h->planner->isReady())
      return;
    SyncReply reply;
    auto &table = h->planner->table();
    table.fillDelta(c.term == h->planner->term() ? c.table.version() : 0, reply);
    c.term = h->planner->term();
    c.table.apply(reply);
    std::vector<ModelLoad> loads;
    for (auto &[model, n] : c.inFlight)
      if (n > 0)
        loads.push_back({.model = ModelName(model), .arrivals = 1, .inFlight = n});
    h->planner->onModelLoads(HostName("c" + std::to_string(&c - clients.data())), loads);
    std::uint64_t lowest = table.version();
    for (auto &it : clients)
      lowest = std::min(lowest, it.term == h->planner->term() ? it.table.version() : 0);
    h->planner->setAcknowledgedVersion(lowest);
  }

  void requestModel(Client &c) {
    if (pick(8) != 0)
      return;
    auto model = names[pick(names.size())];
    for (auto &it : c.table.entriesOf(ModelName(model)))
      if (it.state == ReplicaState::Loaded && !it.leaving)
        return sendRequest(c, it);
    // Some requests go to the former planner, as from a host that has not seen the new term.
    auto h = pick(5) == 0 ? hosts[pick(2)] : leader();
    if (isRunning(*h))
      h->ensure(pick(2) == 0 ? "p0" : "p1", model, randomDuration(5s, 30s));
  }

  void sendRequest(Client &c, const RouteEntry &entry) {
    auto &engine = world.engine(entry.endpoint);
    if (!engine.alive)
      return;
    ++result.requests;
    recordMark(mark::RequestArrived, "", entry.endpoint.value, entry.model.value);
    auto it = engine.models.find(entry.model);
    if (it == engine.models.end() || !it->second.ready)
      return;
    ++it->second.inFlight;
    ++c.inFlight[entry.model.value];
    scheduleTask(randomDuration(50ms, 3s), [this, &c, entry, incarnation = engine.incarnation] {
      --c.inFlight[entry.model.value];
      auto &e = world.engine(entry.endpoint);
      auto held = e.models.find(entry.model);
      if (e.incarnation == incarnation && e.alive && held != e.models.end() &&
          held->second.inFlight > 0)
        --held->second.inFlight;
    });
  }

  // ---- Faults ----------------------------------------------------------------------------------

  void replaceHost(std::size_t i) {
    world.kill(hosts[i]->process);
    setCutFromPlatform(hosts[i]->process->name().value, false);
    scheduleTask(randomDuration(500ms, 8s), [this, i, old = hosts[i]] {
      if (hosts[i] == old)
        hosts[i] = makeHost(static_cast<int>(i));
    });
  }

  void scheduleThaw(const std::shared_ptr<PlannerHost> &h) {
    if (!paused.insert(h).second)
      return;
    auto name = h->process->name().value;
    recordMark(mark::Paused, name, "");
    scheduleTask(randomDuration(1s, 15s), [this, h, name] {
      paused.erase(h);
      world.thaw(h->process);
      recordMark(mark::Resumed, name, "");
    });
  }

  void freezeAtOrder() {
    auto h = leader();
    if (paused.contains(h))
      return;
    world.freezeAtNextOrder(h->process);
    waitingForFreeze.push_back(h);
  }

  void setPlatformDown(bool down) {
    if (world.faults().platformDown == down)
      return;
    world.faults().platformDown = down;
    recordMark(down ? mark::PlatformDown : mark::PlatformUp, "", "");
  }

  void setCutFromPlatform(const std::string &host, bool cut) {
    if (cut == cutHosts.contains(host))
      return;
    if (cut) {
      cutHosts.insert(host);
      world.cut(host, "platform");
    } else {
      cutHosts.erase(host);
      world.heal(host, "platform");
    }
    recordMark(cut ? mark::PlatformDown : mark::PlatformUp, host, "");
  }

  void killEngine() {
    EndpointName name("e" + std::to_string(pick(Engines)));
    if (!world.engine(name).alive)
      return;
    world.killEngine(name);
    scheduleTask(randomDuration(200ms, 5s), [this, name] { world.reviveEngine(name); });
  }

  /// Ends an engine as when its host is reclaimed. The host list shows the engine as gone until it
  /// restarts 3 to 10 s later.
  void reclaimEngine() {
    EndpointName name("e" + std::to_string(pick(Engines)));
    auto &e = world.engine(name);
    if (!e.alive || leaving.contains(name.value))
      return;
    ListedNode node{.kind = ListedKind::Engine,
                    .name = name.value,
                    .address = e.address,
                    .dataCentre = e.dataCentre,
                    .liveness = Liveness::Gone};
    leaving.insert(name.value);
    world.killEngine(name);
    world.setNode(node, randomDuration(0ms, 3s));
    node.liveness = Liveness::Live;
    scheduleTask(randomDuration(3s, 10s), [this, node] {
      world.reviveEngine(EndpointName(node.name));
      world.setNode(node);
      leaving.erase(node.name);
    });
  }

  void startLeaving() {
    EndpointName name("e" + std::to_string(pick(Engines)));
    auto &e = world.engine(name);
    ListedNode node{.kind = ListedKind::Engine,
                    .name = name.value,
                    .address = e.address,
                    .dataCentre = e.dataCentre,
                    .liveness = Liveness::Leaving};
    if (!leaving.insert(name.value).second)
      return;
    world.setNode(node);
    e.leaving = true; // the only source during a platform outage
    recordMark(mark::Leaving, "", name.value);
    node.liveness = Liveness::Live;
    scheduleTask(randomDuration(5s, 20s), [this, node] {
      world.setNode(node);
      world.engine(EndpointName(node.name)).leaving = false;
      recordMark(mark::Returned, "", node.name);
      leaving.erase(node.name);
    });
  }

  void degradeNetwork() {
    auto &f = world.faults();
    f.dropMessage = static_cast<double>(pick(6)) / 100;
    f.duplicateMessage = static_cast<double>(pick(30)) / 100;
    f.messageJitter = randomDuration(0ms, 20ms);
    f.loseWriteReply = static_cast<double>(pick(20)) / 100;
    f.loseRequest = static_cast<double>(pick(10)) / 100;
    f.platformDelay = randomDuration(1ms, 50ms);
  }

  void cutEngine() {
    auto host = "h" + std::to_string(pick(2));
    auto engine = "e" + std::to_string(pick(Engines));
    world.cut(host, engine);
    scheduleTask(randomDuration(500ms, 6s), [this, host, engine] { world.heal(host, engine); });
  }

  void resignLeader() {
    auto h = leader();
    if (!isRunning(*h) || !reachesPlatform(*h))
      return;
    h->planner->resign();
    lastRenewal = world.now() - TakeoverAfter; // the lease counts as released
  }

  void injectFault() {
    ++result.faults;
    auto kind = pick(13);
    recordMark(("fault " + std::to_string(kind)).c_str(), leader()->process->name().value, "");
    switch (kind) {
    case 0:
      return replaceHost(leaderIndex);
    case 1:
    case 2:
      return freezeAtOrder();
    case 3: {
      auto h = leader();
      world.freeze(h->process);
      return scheduleThaw(h);
    }
    case 4:
      setPlatformDown(true);
      return scheduleTask(randomDuration(500ms, 15s), [this] { setPlatformDown(false); });
    case 5: {
      auto name = leader()->process->name().value;
      setCutFromPlatform(name, true);
      return scheduleTask(randomDuration(1s, 12s),
                          [this, name] { setCutFromPlatform(name, false); });
    }
    case 6:
    case 7:
      return killEngine();
    case 8:
      return startLeaving();
    case 9:
      return degradeNetwork();
    case 10:
      return cutEngine();
    case 11:
      return reclaimEngine();
    default:
      return resignLeader();
    }
  }

  void step() {
    renewOrTakeOver();
    noteEndedHolders();
    std::erase_if(waitingForFreeze, [&](auto &h) {
      if (!h->process->frozen())
        return false;
      scheduleThaw(h);
      return true;
    });
    for (auto &it : clients) {
      syncTable(it);
      requestModel(it);
    }
    if (world.now() < nextFault)
      return;
    nextFault = world.now() + randomDuration(300ms, maxFaultInterval);
    injectFault();
  }

  void trace(std::ostream &out) {
    std::multimap<Instant, std::string> lines;
    for (auto &e : world.history())
      lines.emplace(e.time, std::string(toString(e.kind)) + " " + e.endpoint + " " + e.model +
                                " term " + std::to_string(e.term) + " by " + e.host + " " +
                                e.detail);
    for (auto &[time, d] : world.decisions())
      lines.emplace(time, "  decision: " + d.model.value + " " + d.chosen + " " + d.reason);
    for (auto &[time, text] : lines)
      out << toSeconds(time.time_since_epoch()) << " " << text << "\n";
  }

  ReplicaScenarioResult checkHistory() {
    auto facts = factsOf(world);
    auto &history = world.history();
    if (options.trace)
      trace(*options.trace);
    auto add = [&](const std::vector<std::string> &found) {
      result.violations.insert(result.violations.end(), found.begin(), found.end());
    };
    add(checkDecided(history, facts));
    add(checkMemory(history, facts));
    add(checkReleases(history));
    add(checkLeaving(history, LeavingGrace));
    for (auto &e : history) {
      result.loads += e.kind == EventKind::LoadStarted ? 1 : 0;
      result.unloads += e.kind == EventKind::Unloaded ? 1 : 0;
    }
    return result;
  }

  ReplicaScenarioOptions options;
  World world;
  ListsPtr lists;
  std::vector<std::string> names;
  std::vector<std::shared_ptr<PlannerHost>> hosts;
  /// Lease holders that may still send orders; the newest is last.
  std::vector<std::shared_ptr<PlannerHost>> formerHolders;
  std::vector<std::shared_ptr<PlannerHost>> waitingForFreeze;
  std::set<std::shared_ptr<PlannerHost>> paused;
  std::vector<Client> clients;
  std::set<std::string> cutHosts;
  std::set<std::string> leaving;
  std::size_t leaderIndex = 0;
  std::uint64_t term = 0;
  Instant lastRenewal{};
  Instant nextFault{};
  Duration maxFaultInterval{};
  ReplicaScenarioResult result;
};

} // namespace

ReplicaScenarioResult runReplicaScenario(const ReplicaScenarioOptions &options) {
  return ReplicaRun(options).run();
}

ReplicaScenarioResult runBurstScenario(const ReplicaScenarioOptions &options) {
  World world(options.seed);
  auto &f = world.faults();
  f.duplicateMessage = 0.2;
  f.loseWriteReply = 0.2;
  f.messageJitter = 5ms;
  auto models = makeModels(4, 5 * GB);
  for (int i = 0; i < 8; ++i)
    world.addEngine(makeEngine(i, 20 * GB, i % 2 == 0));
  world.run(10ms);
  PlannerOptions o{.retention = "fixed", .placement = "cost", .guards = options.guards};
  auto host = std::make_shared<PlannerHost>(world, "h0", o);
  host->start(makeLists(2, {.models = 20, .acceleratorBytes = 200 * GB}, models));
  world.run(10ms);
  host->lead(1, true, std::chrono::hours(1));
  ReplicaScenarioResult result;
  for (int i = 0; i < 40; ++i) {
    world.schedule(Duration(static_cast<std::int64_t>(world.random() % 3'000'000)), [&] {
      ++result.requests;
      host->ensure("p" + std::to_string(world.random() % 2),
                   "m" + std::to_string(world.random() % 4));
    });
  }
  world.run(20s);
  result.violations = checkOneLoad(world.history());
  for (auto &e : world.history())
    result.loads += e.kind == EventKind::LoadStarted ? 1 : 0;
  return result;
}

ReplicaScenarioResult runPauseScenario(const ReplicaScenarioOptions &options) {
  World world(options.seed);
  auto pick = [&](std::uint64_t n) { return world.random() % n; };
  auto models = makeModels(12, 7 * GB);
  for (int i = 0; i < 4; ++i)
    world.addEngine(makeEngine(i, 16 * GB, false));
  world.run(10ms);
  auto lists = makeLists(2, {.models = 20, .acceleratorBytes = 200 * GB}, models);
  std::vector<std::shared_ptr<PlannerHost>> hosts;
  for (int i = 0; i < 2; ++i) {
    PlannerOptions o{.retention = "fixed", .placement = "first_fit", .guards = options.guards};
    hosts.push_back(std::make_shared<PlannerHost>(world, "h" + std::to_string(i), o));
    hosts.back()->start(lists);
  }
  auto lead = [&](std::size_t i) {
    world.putObject("planner/lease", "{\"term\":" + std::to_string(i + 1) + "}");
    world.history().back().endpoint = "planner/lease";
    hosts[i]->lead(i + 1, i == 0, OrderLimit);
  };
  ReplicaScenarioResult result;
  auto ask = [&](PlannerHost &host) {
    ++result.requests;
    host.ensure("p0", "m" + std::to_string(pick(models.size())));
  };
  world.run(10ms);
  lead(0);
  world.run(50ms);
  for (int i = 0; i < 8; ++i)
    ask(*hosts[0]);
  world.run(Duration(static_cast<std::int64_t>(pick(2'000'000))));
  if (pick(2) == 0)
    world.freezeAtNextOrder(hosts[0]->process);
  else
    world.freeze(hosts[0]->process);
  world.run(TakeoverAfter);
  lead(1);
  for (int i = 0; i < 20; ++i) {
    world.run(Duration(static_cast<std::int64_t>(pick(300'000))));
    ask(*hosts[1]);
    if (i == 10)
      world.thaw(hosts[0]->process);
  }
  world.run(1s);
  hosts[0]->planner->resign();
  world.run(1s);
  hosts[1]->planner->onFormerHolderEnded();
  world.run(5s);
  result.violations = checkDecided(world.history(), factsOf(world));
  auto memory = checkMemory(world.history(), factsOf(world));
  result.violations.insert(result.violations.end(), memory.begin(), memory.end());
  for (auto &e : world.history())
    result.loads += e.kind == EventKind::LoadStarted ? 1 : 0;
  return result;
}

int soakReplicas(std::uint64_t first, std::uint64_t count, std::ostream &out) {
  int failed = 0;
  for (auto seed = first; seed < first + count; ++seed) {
    std::vector<std::string> found;
    for (auto run : {runReplicaScenario, runBurstScenario, runPauseScenario}) {
      auto result = run({.seed = seed});
      found.insert(found.end(), result.violations.begin(), result.violations.end());
    }
    failed += found.empty() ? 0 : 1;
    for (auto &it : found)
      out << "replicas: seed " << seed << ": " << it << "\n";
  }
  return failed;
}

} // namespace catkin::harness
