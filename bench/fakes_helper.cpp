#include "fakes_helper.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace catkin::bench {

using namespace std::chrono_literals;

// ---- VirtualClock
// --------------------------------------------------------------------------------

void VirtualClock::at(Instant when, Task task) {
  events.push({std::max(when, current), added++, std::make_shared<Task>(std::move(task))});
}

void VirtualClock::step() {
  auto event = events.top();
  events.pop();
  current = std::max(current, event.when);
  (*event.task)();
}

// ---- FakePlatform
// --------------------------------------------------------------------------------

namespace {
constexpr auto PlatformLatency = 2ms;
}

void FakePlatform::answer(StoreStatus status, StoreObject object, StoreGetDone done) {
  clock.after(PlatformLatency, [status, object = std::move(object), done = std::move(done)] {
    done(status, object);
  });
}

void FakePlatform::get(const std::string &key, StoreGetDone done) {
  auto it = objects.find(key);
  if (it == objects.end())
    return answer(StoreStatus::NotFound, {.key = key}, std::move(done));
  answer(StoreStatus::Ok, it->second, std::move(done));
}

void FakePlatform::list(const std::string &prefix, StoreListDone done) {
  std::vector<StoreObject> found;
  for (auto it = objects.lower_bound(prefix); it != objects.end() && it->first.starts_with(prefix);
       ++it)
    found.push_back(it->second);
  clock.after(PlatformLatency,
              [found = std::move(found), done = std::move(done)] { done(StoreStatus::Ok, found); });
}

void FakePlatform::put(const std::string &key, std::string value, std::uint64_t expected,
                       StoreGetDone done) {
  auto it = objects.find(key);
  auto current = it == objects.end() ? 0 : it->second.version;
  if (current != expected)
    return answer(StoreStatus::Conflict, {.key = key, .version = current}, std::move(done));
  objects[key] = {.key = key, .version = ++versions, .value = std::move(value)};
  answer(StoreStatus::Ok, objects[key], std::move(done));
}

void FakePlatform::erase(const std::string &key, std::uint64_t expected, StoreGetDone done) {
  auto it = objects.find(key);
  if (it == objects.end())
    return answer(StoreStatus::NotFound, {.key = key}, std::move(done));
  if (it->second.version != expected)
    return answer(StoreStatus::Conflict, {.key = key, .version = it->second.version},
                  std::move(done));
  objects.erase(it);
  answer(StoreStatus::Ok, {.key = key}, std::move(done));
}

void FakePlatform::watch(const std::string &key, std::uint64_t, Duration maxWait,
                         StoreGetDone done) {
  clock.after(maxWait,
              [key, done = std::move(done)] { done(StoreStatus::NotFound, {.key = key}); });
}

// ---- FakeWeightStore
// -----------------------------------------------------------------------------

namespace {
constexpr int FullSpeedTransfers = 4;
constexpr auto StartInterval = 500ms;
constexpr double TransferRate = 1e9;
constexpr int FullSpeedAdapters = 30;
constexpr double AdapterSeconds = 0.008;
} // namespace

double FakeWeightStore::rate() const {
  auto n = std::max<std::size_t>(FullSpeedTransfers, transfers.size());
  return TransferRate * FullSpeedTransfers / static_cast<double>(n) / slowness;
}

void FakeWeightStore::load(std::uint64_t bytes, bool adapter, Task done) {
  if (adapter) {
    ++adapters;
    double crowd = std::max(1.0, static_cast<double>(adapters) / FullSpeedAdapters);
    clock.after(fromSeconds(AdapterSeconds * crowd * slowness), [this, done = std::move(done)] {
      --adapters;
      done();
    });
    return;
  }
  nextStart = std::max(nextStart, clock.now());
  clock.at(nextStart, [this, bytes, done = std::move(done)] {
    begin({.left = static_cast<double>(bytes), .done = done});
  });
  nextStart += StartInterval;
}

void FakeWeightStore::begin(Transfer transfer) {
  progress();
  transfers.emplace(ids++, std::move(transfer));
  most = std::max(most, static_cast<int>(transfers.size()));
  scheduleNext();
}

void FakeWeightStore::setSlowness(double factor) {
  progress();
  slowness = factor;
  scheduleNext();
}

void FakeWeightStore::progress() {
  double done = toSeconds(clock.now() - progressed) * rate();
  progressed = clock.now();
  for (auto &[id, transfer] : transfers)
    transfer.left -= done;
}

void FakeWeightStore::scheduleNext() {
  auto mine = ++schedule;
  if (transfers.empty())
    return;
  double least = transfers.begin()->second.left;
  for (const auto &[id, transfer] : transfers)
    least = std::min(least, transfer.left);
  auto wait = fromSeconds(std::max(0.0, least) / rate()) + 1us;
  clock.after(wait, [this, mine] {
    if (mine != schedule)
      return;
    progress();
    std::vector<Task> finished;
    std::erase_if(transfers, [&](auto &entry) {
      if (entry.second.left > 1)
        return false;
      finished.push_back(std::move(entry.second.done));
      return true;
    });
    scheduleNext();
    for (auto &it : finished)
      it();
  });
}

// ---- FakeEngine
// ----------------------------------------------------------------------------------

namespace {

constexpr std::uint64_t MemoryCacheBytes = 32'000'000'000;
constexpr std::uint64_t DiskCacheBytes = 160'000'000'000;
constexpr double MemoryRate = 10e9; ///< bytes/s
constexpr double DiskRate = 2.5e9;
constexpr double InitSeconds = 1.5; ///< after the bytes are there, on the newest generation
constexpr int NewestGeneration = 3;

using Cache = std::deque<std::pair<ModelName, std::uint64_t>>;

bool holds(const Cache &cache, const ModelName &model) {
  return std::ranges::any_of(cache, [&](const auto &it) { return it.first == model; });
}

void remember(Cache &cache, const ModelName &model, std::uint64_t bytes, std::uint64_t limit) {
  std::erase_if(cache, [&](const auto &it) { return it.first == model; });
  cache.emplace_back(model, bytes);
  std::uint64_t total = 0;
  for (const auto &it : cache)
    total += it.second;
  while (total > limit && !cache.empty()) {
    total -= cache.front().second;
    cache.pop_front();
  }
}

std::vector<ModelName> names(const Cache &cache) {
  std::vector<ModelName> result;
  for (const auto &it : cache)
    result.push_back(it.first);
  return result;
}

} // namespace

FakeEngine::FakeEngine(VirtualClock &c, FakeWeightStore &s, const EngineSpec &given)
    : clock(c), store(s), spec(given) {
  // Sizes of initially cached copies are unknown here; an average keeps the cache limits sensible.
  constexpr std::uint64_t AverageBytes = 15'000'000'000;
  for (const auto &it : given.diskCache)
    remember(diskCache, it, AverageBytes, DiskCacheBytes);
  for (const auto &it : given.memoryCache)
    remember(memoryCache, it, AverageBytes, MemoryCacheBytes);
}

double FakeEngine::generationFactor() const {
  return 1 + 0.5 * (NewestGeneration - spec.generation);
}

std::uint64_t FakeEngine::usedBytes() const {
  std::uint64_t total = 0;
  for (const auto &[name, replica] : replicas)
    total += replica.model.bytes;
  return total;
}

EndpointReport FakeEngine::report() const {
  EndpointReport result{.endpoint = EndpointName(spec.name),
                        .incarnation = incarnationNow,
                        .checksFencing = spec.checksFencing,
                        .generation = spec.generation,
                        .term = term,
                        .memoryBytes = spec.memoryBytes,
                        .memoryCache = names(memoryCache),
                        .diskCache = names(diskCache),
                        .running = runningNow};
  for (const auto &[name, replica] : replicas)
    result.models.push_back(replica.model);
  return result;
}

OrderStatus FakeEngine::order(const EngineOrder &order) {
  if (spec.checksFencing && order.term < term)
    return OrderStatus::StaleTerm;
  term = std::max(term, order.term);
  switch (order.kind) {
  case OrderKind::Load:
    return load(order);
  case OrderKind::Unload:
    return unload(order.model);
  default:
    return OrderStatus::Ok;
  }
}

CopySource FakeEngine::source(const ModelName &model) const {
  if (holds(memoryCache, model))
    return CopySource::Memory;
  return holds(diskCache, model) ? CopySource::Disk : CopySource::Remote;
}

OrderStatus FakeEngine::load(const EngineOrder &order) {
  if (replicas.contains(order.model))
    return OrderStatus::Ok;
  if (!order.base.empty() && !ready(order.base))
    return OrderStatus::NotFound;
  if (usedBytes() + order.bytes > spec.memoryBytes)
    return OrderStatus::NoMemory;
  replicas[order.model] = {.model = {.model = order.model, .bytes = order.bytes},
                           .base = order.base,
                           .idleSince = clock.now(),
                           .loadId = ++loadIds};
  Task finish = [this, model = order.model, mine = loadIds] { loaded(model, mine); };
  if (!order.base.empty()) {
    store.load(order.bytes, true, std::move(finish));
    return OrderStatus::Ok;
  }
  auto init = fromSeconds(InitSeconds * generationFactor());
  auto bytes = static_cast<double>(order.bytes);
  switch (source(order.model)) {
  case CopySource::Memory:
    clock.after(init + fromSeconds(bytes / MemoryRate * generationFactor()), std::move(finish));
    break;
  case CopySource::Disk:
    clock.after(init + fromSeconds(bytes / DiskRate * generationFactor()), std::move(finish));
    break;
  default:
    store.load(order.bytes, false,
               [this, init, finish = std::move(finish)] { clock.after(init, finish); });
  }
  return OrderStatus::Ok;
}

void FakeEngine::loaded(const ModelName &model, std::uint64_t loadId) {
  auto it = replicas.find(model);
  if (it == replicas.end() || it->second.loadId != loadId)
    return;
  it->second.model.ready = true;
  if (!it->second.base.empty())
    return;
  ++loads;
  remember(memoryCache, model, it->second.model.bytes, MemoryCacheBytes);
  remember(diskCache, model, it->second.model.bytes, DiskCacheBytes);
}

OrderStatus FakeEngine::unload(const ModelName &model) {
  auto it = replicas.find(model);
  if (it == replicas.end())
    return OrderStatus::NotFound;
  bool baseOfOther =
      std::ranges::any_of(replicas, [&](const auto &entry) { return entry.second.base == model; });
  if (it->second.model.inFlight > 0 || baseOfOther)
    return OrderStatus::Busy;
  charge(it->second);
  replicas.erase(it);
  return OrderStatus::Ok;
}

bool FakeEngine::ready(const ModelName &model) const {
  auto it = replicas.find(model);
  return up && it != replicas.end() && it->second.model.ready;
}

void FakeEngine::charge(Replica &replica) {
  if (replica.model.inFlight == 0)
    idle += toSeconds(clock.now() - replica.idleSince) * AcceleratorsPerEngine *
            static_cast<double>(replica.model.bytes) / static_cast<double>(spec.memoryBytes);
  replica.idleSince = clock.now();
}

void FakeEngine::setBusy(const ModelName &model, int change) {
  auto it = replicas.find(model);
  if (it == replicas.end())
    return;
  charge(it->second);
  it->second.model.inFlight += change;
}

void FakeEngine::start(const ModelName &model) {
  ++runningNow;
  setBusy(model, 1);
  auto it = replicas.find(model);
  if (it != replicas.end() && !it->second.base.empty())
    setBusy(it->second.base, 1);
}

void FakeEngine::end(const ModelName &model, std::uint64_t startedIn) {
  if (startedIn != incarnationNow)
    return;
  --runningNow;
  setBusy(model, -1);
  auto it = replicas.find(model);
  if (it != replicas.end() && !it->second.base.empty())
    setBusy(it->second.base, -1);
}

void FakeEngine::fail() {
  for (auto &[name, replica] : replicas)
    charge(replica);
  replicas.clear();
  memoryCache.clear();
  ++incarnationNow;
  runningNow = 0;
  term = 0;
  up = false;
}

double FakeEngine::idleSeconds() {
  for (auto &[name, replica] : replicas)
    charge(replica);
  return idle;
}

void FakeEngine::resetIdle() {
  idleSeconds();
  idle = 0;
  loads = 0;
}

// ---- FakeEngines
// ---------------------------------------------------------------------------------

namespace {
constexpr auto EngineLatency = 1ms;
constexpr std::uint16_t EnginePort = 9000;
} // namespace

FakeEngines::FakeEngines(VirtualClock &c, FakeWeightStore &store,
                         const std::vector<EngineSpec> &specs)
    : clock(c) {
  for (const auto &it : specs)
    engines.push_back(std::make_unique<FakeEngine>(c, store, it));
}

Address FakeEngines::address(std::size_t engine) {
  return {"127.0.0.1", static_cast<std::uint16_t>(EnginePort + engine)};
}

FakeEngine *FakeEngines::find(const Address &address) {
  auto index = static_cast<std::size_t>(address.port - EnginePort);
  return index < engines.size() && engines[index]->reachable() ? engines[index].get() : nullptr;
}

void FakeEngines::order(const Address &to, const EngineOrder &order, OrderDone done) {
  clock.after(EngineLatency, [this, to, order, done = std::move(done)]() mutable {
    auto *engine = find(to);
    auto status = engine ? engine->order(order) : OrderStatus::Unreachable;
    clock.after(EngineLatency, [status, report = engine ? engine->report() : EndpointReport{},
                                done = std::move(done)] { done(status, report); });
  });
}

void FakeEngines::status(const Address &to, StatusDone done) {
  clock.after(2 * EngineLatency, [this, to, done = std::move(done)] {
    auto *engine = find(to);
    done(engine != nullptr, engine ? engine->report() : EndpointReport{});
  });
}

// ---- FakeEnv
// -------------------------------------------------------------------------------------

FakeEnv::FakeEnv(const Workload &workload, std::uint64_t seed)
    : objects(clock), store(clock), fleet(clock, store, workload.engines), generator(seed) {}

HostList &FakeEnv::hostList() { std::abort(); } // the planner is given the list by its owner

Peers &FakeEnv::peers() { std::abort(); } // the planner calls no other host

} // namespace catkin::bench
