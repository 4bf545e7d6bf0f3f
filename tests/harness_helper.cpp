#include "harness_p.h"

#include <algorithm>

namespace catkin::harness {

namespace {

constexpr auto PlatformParty = "platform"; // name of the platform for cut() and heal()
// A lost reply is reported after this time, like a time-out of the daemon.
constexpr Duration LostReplyTimeout = std::chrono::seconds(2);
constexpr std::int64_t WallStart = 1'750'000'000;

} // namespace

// ---- FakeEngine --------------------------------------------------------------------------------

std::uint64_t FakeEngine::usedBytes() const {
  std::uint64_t n = 0;
  for (auto &[name, it] : models)
    n += it.bytes;
  return n;
}

EndpointReport FakeEngine::report() const {
  EndpointReport r{.endpoint = name,
                   .incarnation = incarnation,
                   .checksFencing = checksFencing,
                   .leaving = leaving,
                   .generation = generation,
                   .term = term,
                   .memoryBytes = memoryBytes};
  for (auto &[model, it] : models)
    r.models.push_back(it);
  return r;
}

// ---- Process -----------------------------------------------------------------------------------

Process::Process(World &world, HostName name, std::uint64_t incarnation, Address address)
    : world(world), hostName(std::move(name)), processIncarnation(incarnation),
      selfAddress(std::move(address)) {}

Instant Process::now() const { return world.now(); }

std::int64_t Process::wallSeconds() const {
  return WallStart +
         std::chrono::duration_cast<std::chrono::seconds>(world.now().time_since_epoch()).count();
}

std::uint64_t Process::random() { return world.random(); }

void Process::runOrDefer(const Task &task) {
  if (!isAlive)
    return;
  if (isFrozen)
    deferred.push_back(task);
  else
    task();
}

void Process::after(Duration d, Task task) {
  world.schedule(d, [this, task = std::move(task)] { runOrDefer(task); });
}

void Process::decision(const Decision &d) {
  world.decisionLog.emplace_back(world.now(), d);
  world.decisionHostLog.push_back(hostName);
}

template <class Done, class... Args> void Process::answer(Duration delay, Done done, Args... args) {
  after(delay, [done, args...] { done(args...); });
}

void Process::get(const std::string &key, StoreGetDone done) {
  ++world.platformCalls;
  if (!world.reachable(hostName.value, PlatformParty))
    return answer(world.faultSettings.platformDelay, done, StoreStatus::Unreachable, StoreObject{});
  world.schedule(world.faultSettings.platformDelay, [this, key, done] {
    auto it = world.store.find(key);
    if (it == world.store.end())
      answer(Duration(0), done, StoreStatus::NotFound, StoreObject{key, 0, {}});
    else
      answer(Duration(0), done, StoreStatus::Ok, it->second);
  });
}

void Process::list(const std::string &prefix, StoreListDone done) {
  ++world.platformCalls;
  if (!world.reachable(hostName.value, PlatformParty))
    return answer(world.faultSettings.platformDelay, done, StoreStatus::Unreachable,
                  std::vector<StoreObject>{});
  world.schedule(world.faultSettings.platformDelay, [this, prefix, done] {
    std::vector<StoreObject> found;
    for (auto it = world.store.lower_bound(prefix);
         it != world.store.end() && it->first.starts_with(prefix); ++it)
      found.push_back(it->second);
    answer(Duration(0), done, StoreStatus::Ok, found);
  });
}

void Process::put(const std::string &key, std::string value, std::uint64_t expected,
                  StoreGetDone done) {
  ++world.platformCalls;
  auto &f = world.faultSettings;
  if (!world.reachable(hostName.value, PlatformParty))
    return answer(f.platformDelay, done, StoreStatus::Unreachable, StoreObject{});
  if (world.chance(f.loseRequest))
    return answer(LostReplyTimeout, done, StoreStatus::Unknown, StoreObject{});
  world.schedule(f.platformDelay, [this, key, value, expected, done] {
    StoreObject result;
    auto status = world.apply(key, &value, expected, result, hostName.value);
    if (world.chance(world.faultSettings.loseWriteReply))
      answer(LostReplyTimeout, done, StoreStatus::Unknown, StoreObject{});
    else
      answer(Duration(0), done, status, result);
  });
}

void Process::erase(const std::string &key, std::uint64_t expected, StoreGetDone done) {
  ++world.platformCalls;
  auto &f = world.faultSettings;
  if (!world.reachable(hostName.value, PlatformParty))
    return answer(f.platformDelay, done, StoreStatus::Unreachable, StoreObject{});
  world.schedule(f.platformDelay, [this, key, expected, done] {
    StoreObject result;
    auto status = world.apply(key, nullptr, expected, result, hostName.value);
    if (world.chance(world.faultSettings.loseWriteReply))
      answer(LostReplyTimeout, done, StoreStatus::Unknown, StoreObject{});
    else
      answer(Duration(0), done, status, result);
  });
}

void Process::watch(const std::string &key, std::uint64_t after, Duration maxWait,
                    StoreGetDone done) {
  ++world.platformCalls;
  if (!world.reachable(hostName.value, PlatformParty))
    return answer(world.faultSettings.platformDelay, done, StoreStatus::Unreachable, StoreObject{});
  auto it = world.store.find(key);
  if (it != world.store.end() && it->second.version > after)
    return answer(world.faultSettings.platformDelay, done, StoreStatus::Ok, it->second);
  auto id = ++world.sequence;
  world.watches.push_back({key, after, id, [this, done](StoreStatus s, const StoreObject &o) {
                             if (world.reachable(hostName.value, PlatformParty))
                               answer(world.faultSettings.platformDelay, done, s, o);
                             else
                               answer(LostReplyTimeout, done, StoreStatus::Unreachable,
                                      StoreObject{});
                           }});
  world.schedule(maxWait, [this, id, key, done] {
    if (std::erase_if(world.watches, [&](auto &w) { return w.id == id; }) > 0)
      answer(Duration(0), done, StoreStatus::NotFound, StoreObject{key, 0, {}});
  });
}

void Process::read(HostListDone done) {
  ++world.platformCalls;
  if (!world.reachable(hostName.value, PlatformParty))
    return answer(world.faultSettings.platformDelay, done, StoreStatus::Unreachable,
                  std::vector<ListedNode>{});
  std::vector<ListedNode> listed;
  for (auto &[name, it] : world.nodes)
    listed.push_back(it);
  answer(world.faultSettings.platformDelay, done, StoreStatus::Ok, listed);
}

void Process::call(const Address &to, const std::string &method, std::string paramsJson,
                   Duration timeout, RpcDone done) {
  std::shared_ptr<Process> peer;
  for (auto &it : world.processes)
    if (it->selfAddress == to && it->isAlive)
      peer = it;
  if (!peer)
    return answer(world.messageDelay(), done, RpcStatus::Unreachable, std::string());

  auto settled = std::make_shared<bool>(false);
  auto finish = [this, settled, done](RpcStatus status, const std::string &result) {
    if (std::exchange(*settled, true))
      return;
    done(status, result);
  };
  after(timeout, [finish] { finish(RpcStatus::Timeout, {}); });
  if (!world.reachable(hostName.value, peer->hostName.value) ||
      world.chance(world.faultSettings.dropMessage))
    return;
  auto deliver = [this, peer, method, paramsJson, finish] {
    peer->runOrDefer([this, peer, method, paramsJson, finish] {
      if (!peer->callHandler)
        return;
      peer->callHandler(method, paramsJson, [this, peer, finish](const std::string &result) {
        if (!world.reachable(hostName.value, peer->hostName.value) ||
            world.chance(world.faultSettings.dropMessage))
          return;
        after(world.messageDelay(), [finish, result] {
          finish(result.empty() ? RpcStatus::Error : RpcStatus::Ok, result);
        });
      });
    });
  };
  world.schedule(world.messageDelay(), deliver);
  if (world.chance(world.faultSettings.duplicateMessage))
    world.schedule(world.messageDelay() * 3, deliver);
}

void Process::order(const Address &to, const EngineOrder &order, OrderDone done) {
  if (!std::exchange(freezeAtOrder, false))
    return sendOrder(to, order, done);
  isFrozen = true;
  deferred.push_back([this, to, order, done] { sendOrder(to, order, done); });
}

void Process::sendOrder(const Address &to, const EngineOrder &order, const OrderDone &done) {
  auto *target = world.engineAt(to);
  if (!target || !target->alive)
    return answer(world.messageDelay(), done, OrderStatus::Unreachable, EndpointReport{});
  auto name = target->name;
  if (!world.reachable(hostName.value, name.value) || world.chance(world.faultSettings.dropMessage))
    return answer(LostReplyTimeout, done, OrderStatus::Unknown, EndpointReport{});
  // An order in flight reaches the engine even if its sender is killed.
  auto deliver = [this, name, order, done] {
    auto &it = world.engine(name);
    if (!it.alive)
      return answer(LostReplyTimeout, done, OrderStatus::Unknown, EndpointReport{});
    OrderStatus status = OrderStatus::Ok;
    auto report = world.execute(it, order, status, hostName.value);
    if (world.chance(world.faultSettings.dropMessage))
      answer(LostReplyTimeout, done, OrderStatus::Unknown, EndpointReport{});
    else
      answer(world.messageDelay(), done, status, report);
  };
  world.schedule(world.messageDelay(), deliver);
  if (world.chance(world.faultSettings.duplicateMessage))
    world.schedule(world.messageDelay() * 3, [this, name, order] {
      auto &it = world.engine(name);
      OrderStatus status = OrderStatus::Ok;
      if (it.alive)
        world.execute(it, order, status, hostName.value);
    });
}

void Process::status(const Address &to, StatusDone done) {
  auto *target = world.engineAt(to);
  if (!target || !target->alive || !world.reachable(hostName.value, target->name.value) ||
      world.chance(world.faultSettings.dropMessage))
    return answer(world.messageDelay(), done, false, EndpointReport{});
  answer(world.messageDelay(), done, true, target->report());
}

// ---- World -------------------------------------------------------------------------------------

World::World(std::uint64_t seed) : generator(seed) {}

void World::schedule(Duration d, Task task) {
  queue.emplace(std::pair(clock + std::max(d, Duration(0)), ++sequence), std::move(task));
}

void World::run(Duration d) {
  auto end = clock + d;
  while (!queue.empty() && queue.begin()->first.first <= end) {
    auto node = queue.extract(queue.begin());
    clock = node.key().first;
    node.mapped()();
  }
  clock = end;
}

bool World::runUntil(const std::function<bool()> &condition, Duration limit) {
  auto end = clock + limit;
  while (!condition() && clock < end)
    run(std::min<Duration>(std::chrono::milliseconds(10), end - clock));
  return condition();
}

std::shared_ptr<Process> World::addProcess(const HostName &host, const Address &address,
                                           std::uint64_t incarnation) {
  processes.push_back(std::make_shared<Process>(*this, host, incarnation, address));
  return processes.back();
}

void World::kill(const std::shared_ptr<Process> &process) {
  process->isAlive = false;
  process->deferred.clear();
  process->callHandler = nullptr;
}

void World::freeze(const std::shared_ptr<Process> &process) { process->isFrozen = true; }

void World::thaw(const std::shared_ptr<Process> &process) {
  process->isFrozen = false;
  auto tasks = std::exchange(process->deferred, {});
  for (auto &it : tasks)
    schedule(Duration(0), [process, it] { process->runOrDefer(it); });
}

void World::freezeAtNextOrder(const std::shared_ptr<Process> &process) {
  process->freezeAtOrder = true;
}

FakeEngine &World::addEngine(FakeEngine engine) {
  auto name = engine.name;
  setNode({.kind = ListedKind::Engine,
           .name = name.value,
           .address = engine.address,
           .dataCentre = engine.dataCentre});
  return engineTable[name] = std::move(engine);
}

FakeEngine &World::engine(const EndpointName &name) { return engineTable.at(name); }

FakeEngine *World::engineAt(const Address &address) {
  for (auto &[name, it] : engineTable)
    if (it.address == address)
      return &it;
  return nullptr;
}

void World::killEngine(const EndpointName &name) {
  auto &it = engine(name);
  it.alive = false;
  it.models.clear();
  record({.kind = EventKind::EngineDied, .endpoint = name.value});
}

void World::reviveEngine(const EndpointName &name) {
  auto &it = engine(name);
  it.alive = true;
  it.models.clear();
  it.term = 0;
  ++it.incarnation;
}

void World::cut(const std::string &a, const std::string &b) {
  cuts.insert({a, b});
  cuts.insert({b, a});
}

void World::heal(const std::string &a, const std::string &b) {
  cuts.erase({a, b});
  cuts.erase({b, a});
}

bool World::reachable(const std::string &a, const std::string &b) const {
  if ((a == PlatformParty || b == PlatformParty) && faultSettings.platformDown)
    return false;
  return !cuts.contains({a, b});
}

void World::setNode(const ListedNode &node, Duration lag) {
  schedule(lag, [this, node] { nodes[node.name] = node; });
}

void World::record(Event event) {
  event.time = clock;
  events.push_back(std::move(event));
}

bool World::chance(double probability) {
  if (probability <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(generator) < probability;
}

Duration World::messageDelay() {
  auto jitter = faultSettings.messageJitter.count();
  auto extra = jitter > 0 ? static_cast<std::int64_t>(generator() % (jitter + 1)) : 0;
  return faultSettings.messageDelay + Duration(extra);
}

void World::putObject(const std::string &key, std::string value) {
  store[key] = {key, ++storeVersion, std::move(value)};
  record({.kind = EventKind::Write, .detail = store[key].value, .number = storeVersion});
  notifyWatches(key);
}

StoreStatus World::apply(const std::string &key, const std::string *value, std::uint64_t expected,
                         StoreObject &result, const std::string &host) {
  auto it = store.find(key);
  std::uint64_t current = it == store.end() ? 0 : it->second.version;
  result = {key, current, {}};
  if (current != expected)
    return StoreStatus::Conflict;
  if (!value) {
    store.erase(key);
    return StoreStatus::Ok;
  }
  result = store[key] = {key, ++storeVersion, *value};
  record({.kind = EventKind::Write,
          .host = host,
          .endpoint = key,
          .detail = *value,
          .number = storeVersion});
  notifyWatches(key);
  return StoreStatus::Ok;
}

void World::notifyWatches(const std::string &key) {
  auto object = store.at(key);
  std::vector<Watch> due;
  std::erase_if(watches, [&](auto &w) {
    if (w.key != key || object.version <= w.after)
      return false;
    due.push_back(w);
    return true;
  });
  for (auto &it : due)
    it.done(StoreStatus::Ok, object);
}

EndpointReport World::execute(FakeEngine &engine, const EngineOrder &order, OrderStatus &status,
                              const std::string &host) {
  auto refuse = [&](OrderStatus why) {
    status = why;
    record({.kind = EventKind::OrderRefused,
            .host = host,
            .endpoint = engine.name.value,
            .model = order.model.value,
            .detail = std::string(toString(why)),
            .term = order.term});
    return engine.report();
  };
  if (engine.checksFencing && order.term < engine.term)
    return refuse(OrderStatus::StaleTerm);
  engine.term = std::max(engine.term, order.term);
  auto loaded = engine.models.find(order.model);

  if (order.kind == OrderKind::Unload && loaded != engine.models.end()) {
    if (loaded->second.inFlight > 0)
      return refuse(OrderStatus::Busy);
    engine.models.erase(loaded);
    record({.kind = EventKind::Unloaded,
            .host = host,
            .endpoint = engine.name.value,
            .model = order.model.value,
            .term = order.term});
  }
  if (order.kind == OrderKind::Load && loaded == engine.models.end()) {
    if (!order.base.empty() && !engine.models.contains(order.base))
      return refuse(OrderStatus::NotFound);
    bool fits = engine.usedBytes() + order.bytes <= engine.memoryBytes;
    if (!fits && engine.refusesOvercommit)
      return refuse(OrderStatus::NoMemory);
    engine.models[order.model] = {.model = order.model, .ready = false, .bytes = order.bytes};
    record({.kind = EventKind::LoadStarted,
            .host = host,
            .endpoint = engine.name.value,
            .model = order.model.value,
            .detail = order.orderId,
            .term = order.term,
            .number = order.bytes});
    if (!fits)
      record({.kind = EventKind::Overcommit,
              .host = host,
              .endpoint = engine.name.value,
              .model = order.model.value,
              .term = order.term});
    auto name = engine.name;
    auto incarnation = engine.incarnation;
    auto model = order.model;
    schedule(engine.loadTime, [this, name, incarnation, model] {
      auto &it = this->engine(name);
      auto entry = it.models.find(model);
      if (it.incarnation != incarnation || !it.alive || entry == it.models.end())
        return;
      if (std::exchange(entry->second.ready, true))
        return;
      record({.kind = EventKind::LoadReady, .endpoint = name.value, .model = model.value});
    });
  }
  return engine.report();
}

} // namespace catkin::harness
