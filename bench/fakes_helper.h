#pragma once

#include "env_p.h"
#include "workload_helper.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Fakes of the planner's environment on a virtual clock.
namespace catkin::bench {

/// First midnight of the trace on the virtual clock. Not 0, since some code takes a default Instant
/// for "never".
constexpr Instant SimOrigin{std::chrono::hours(1000)};

inline Instant simInstant(double traceSeconds) { return SimOrigin + fromSeconds(traceSeconds); }

/// Virtual clock with an event queue. Events of the same instant run in the order of their
/// addition.
class VirtualClock {
public:
  Instant now() const { return current; }
  std::int64_t wallSeconds() const {
    return TraceStart +
           std::chrono::duration_cast<std::chrono::seconds>(current - SimOrigin).count();
  }
  void at(Instant when, Task task);
  void after(Duration d, Task task) { at(current + d, std::move(task)); }
  bool empty() const { return events.empty(); }
  Instant next() const { return events.top().when; }
  /// Runs the next event.
  void step();
  /// Advances the clock to a time before the next event.
  void advance(Instant to) { current = to; }

private:
  struct Event {
    Instant when;
    std::uint64_t order;
    std::shared_ptr<Task> task;
    bool operator<(const Event &o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };

  Instant current = SimOrigin;
  std::uint64_t added = 0;
  std::priority_queue<Event> events;
};

/// Object API in memory that answers every call after 2 ms.
class FakePlatform final : public Platform {
public:
  explicit FakePlatform(VirtualClock &c) : clock(c) {}
  void get(const std::string &key, StoreGetDone done) override;
  void list(const std::string &prefix, StoreListDone done) override;
  void put(const std::string &key, std::string value, std::uint64_t expected,
           StoreGetDone done) override;
  void erase(const std::string &key, std::uint64_t expected, StoreGetDone done) override;
  void watch(const std::string &key, std::uint64_t after, Duration maxWait,
             StoreGetDone done) override;

private:
  void answer(StoreStatus status, StoreObject object, StoreGetDone done);

  VirtualClock &clock;
  std::map<std::string, StoreObject> objects;
  std::uint64_t versions = 0;
};

/// Weight store that starts 2 loads a second. Up to 4 transfers run at full speed; more of them
/// share that bandwidth. An adapter takes 8 ms while at most 30 are in flight, and proportionally
/// longer beyond that.
class FakeWeightStore {
public:
  explicit FakeWeightStore(VirtualClock &c) : clock(c) {}
  void load(std::uint64_t bytes, bool adapter, Task done);
  void setSlowness(double factor);
  int mostInFlight() const { return most; }

private:
  struct Transfer {
    double left = 0; ///< bytes
    Task done;
  };

  void begin(Transfer transfer);
  void progress();
  void scheduleNext();
  double rate() const; ///< bytes/s of one transfer

  VirtualClock &clock;
  std::map<std::uint64_t, Transfer> transfers;
  std::uint64_t ids = 0;
  std::uint64_t schedule = 0; ///< newest completion event; older ones are void
  Instant progressed = SimOrigin;
  Instant nextStart = SimOrigin;
  double slowness = 1;
  int most = 0;
  int adapters = 0;
};

/// Model engine with accelerator memory, a host-memory and a disk cache of checkpoints.
class FakeEngine {
public:
  FakeEngine(VirtualClock &c, FakeWeightStore &s, const EngineSpec &spec);

  EndpointReport report() const;
  OrderStatus order(const EngineOrder &order);
  bool ready(const ModelName &model) const;
  int running() const { return runningNow; }
  /// A request on a model starts or ends. An adapter's base is busy with it.
  void start(const ModelName &model);
  void end(const ModelName &model, std::uint64_t startedIn);
  /// Loses accelerator and host memory and is unreachable until back().
  void fail();
  void back() { up = true; }
  bool reachable() const { return up; }
  std::uint64_t incarnation() const { return incarnationNow; }

  /// Accelerator seconds of replicas without a request, since `from`.
  double idleSeconds();
  void resetIdle();
  int loadsDone() const { return loads; }

private:
  struct Replica {
    EngineModel model;
    ModelName base;
    Instant idleSince;
    std::uint64_t loadId = 0; ///< tells the end of this load from that of an earlier one
  };

  OrderStatus load(const EngineOrder &order);
  OrderStatus unload(const ModelName &model);
  void loaded(const ModelName &model, std::uint64_t loadId);
  CopySource source(const ModelName &model) const;
  double generationFactor() const;
  void charge(Replica &replica);
  void setBusy(const ModelName &model, int change);
  std::uint64_t usedBytes() const;

  VirtualClock &clock;
  FakeWeightStore &store;
  EngineSpec spec;
  std::map<ModelName, Replica> replicas;
  std::deque<std::pair<ModelName, std::uint64_t>> memoryCache; ///< oldest first
  std::deque<std::pair<ModelName, std::uint64_t>> diskCache;
  std::uint64_t term = 0;
  std::uint64_t incarnationNow = 1;
  std::uint64_t loadIds = 0;
  int runningNow = 0;
  int loads = 0;
  double idle = 0;
  bool up = true;
};

/// All engines, with a network latency of 1 ms.
class FakeEngines final : public Engines {
public:
  FakeEngines(VirtualClock &c, FakeWeightStore &store, const std::vector<EngineSpec> &specs);
  void order(const Address &to, const EngineOrder &order, OrderDone done) override;
  void status(const Address &to, StatusDone done) override;

  static Address address(std::size_t engine);
  FakeEngine &at(std::size_t engine) { return *engines[engine]; }
  std::size_t size() const { return engines.size(); }

private:
  FakeEngine *find(const Address &address);

  VirtualClock &clock;
  std::vector<std::unique_ptr<FakeEngine>> engines;
};

/// Environment of the planner's host. The simulation itself passes messages to other hosts.
class FakeEnv final : public Env {
public:
  FakeEnv(const Workload &workload, std::uint64_t seed);

  Instant now() const override { return clock.now(); }
  std::int64_t wallSeconds() const override { return clock.wallSeconds(); }
  std::uint64_t random() override { return generator(); }
  void after(Duration d, Task task) override { clock.after(d, std::move(task)); }
  Platform &platform() override { return objects; }
  HostList &hostList() override;
  Peers &peers() override;
  Engines &engines() override { return fleet; }
  void decision(const Decision &) override {}

  VirtualClock clock;
  FakePlatform objects;
  FakeWeightStore store;
  FakeEngines fleet;

private:
  std::mt19937_64 generator;
};

} // namespace catkin::bench
