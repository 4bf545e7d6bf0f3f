#pragma once

#include "env_p.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

/// Deterministic test harness. It runs the decision code of several hosts over fakes of the Env
/// interfaces, with a virtual clock and seeded randomness. Faults are lost, delayed and duplicated
/// messages, killed and frozen processes, platform outages and lost replies. It is a set of fakes,
/// not a cluster simulator.
namespace catkin::harness {

/// Events observed by callers, endpoints and the platform. History checkers read nothing else.
enum class EventKind {
  LoadStarted,  ///< an engine accepted a load
  LoadReady,    ///< a load is complete
  Unloaded,     ///< an engine dropped a model by order
  EngineDied,   ///< an engine ended and lost its models
  Overcommit,   ///< a load that does not fit, on an engine that does not refuse it
  OrderRefused, ///< stale term, base not loaded, no memory or requests in flight
  Write,        ///< the platform stored a value; endpoint is the key, detail the value
  CallRan,      ///< a service executed a call; detail is its key
  Custom,       ///< recorded by a test
  Count
};

struct Event {
  Instant time;
  EventKind kind = EventKind::Custom;
  std::string host;
  std::string endpoint;
  std::string model;
  std::string detail;
  std::uint64_t term = 0;
  std::uint64_t number = 0; ///< bytes, version or another number, by kind
};

/// Injected faults; probabilities apply to each message. The defaults are a healthy network and
/// platform.
struct Faults {
  bool platformDown = false;
  double loseWriteReply = 0; ///< the write takes effect, its reply is lost
  double loseRequest = 0;    ///< the request does not reach the platform
  Duration platformDelay = std::chrono::milliseconds(2);
  double dropMessage = 0; ///< for messages between hosts and to and from engines
  double duplicateMessage = 0;
  Duration messageDelay = std::chrono::microseconds(500);
  Duration messageJitter = std::chrono::microseconds(500); ///< reorders messages
};

class World;

/// Model engine with a fixed load time and a memory limit.
struct FakeEngine {
  EndpointName name;
  Address address;
  DataCentreName dataCentre;
  bool checksFencing = true;
  /// If false, a load that does not fit is carried out and recorded as Overcommit.
  bool refusesOvercommit = false;
  std::uint64_t memoryBytes = 0;
  int generation = 1;
  Duration loadTime = std::chrono::seconds(5);
  bool alive = true;
  bool leaving = false;
  std::uint64_t incarnation = 1;
  std::uint64_t term = 0;
  std::map<ModelName, EngineModel> models;

  std::uint64_t usedBytes() const;
  EndpointReport report() const;
};

/// One host process. Tasks of a killed process never run; tasks of a frozen process are deferred
/// until it thaws.
class Process : public Env, public Platform, public HostList, public Peers, public Engines {
public:
  using CallHandler = std::function<void(const std::string &method, const std::string &params,
                                         std::function<void(std::string)> done)>;

  Process(World &world, HostName name, std::uint64_t incarnation, Address address);

  Instant now() const override;
  std::int64_t wallSeconds() const override;
  std::uint64_t random() override;
  void after(Duration d, Task task) override;
  Platform &platform() override { return *this; }
  HostList &hostList() override { return *this; }
  Peers &peers() override { return *this; }
  Engines &engines() override { return *this; }
  void decision(const Decision &d) override;

  void get(const std::string &key, StoreGetDone done) override;
  void list(const std::string &prefix, StoreListDone done) override;
  void put(const std::string &key, std::string value, std::uint64_t expected,
           StoreGetDone done) override;
  void erase(const std::string &key, std::uint64_t expected, StoreGetDone done) override;
  void watch(const std::string &key, std::uint64_t after, Duration maxWait,
             StoreGetDone done) override;
  void read(HostListDone done) override;
  void call(const Address &to, const std::string &method, std::string paramsJson, Duration timeout,
            RpcDone done) override;
  void order(const Address &to, const EngineOrder &order, OrderDone done) override;
  void status(const Address &to, StatusDone done) override;

  /// Sets the handler of calls from other hosts.
  void onCall(CallHandler handler) { callHandler = std::move(handler); }

  const HostName &name() const { return hostName; }
  std::uint64_t incarnation() const { return processIncarnation; }
  bool alive() const { return isAlive; }
  bool frozen() const { return isFrozen; }

private:
  friend class World;

  void runOrDefer(const Task &task);
  void sendOrder(const Address &to, const EngineOrder &order, const OrderDone &done);
  template <class Done, class... Args> void answer(Duration delay, Done done, Args... args);

  World &world;
  HostName hostName;
  std::uint64_t processIncarnation;
  Address selfAddress;
  CallHandler callHandler;
  bool isAlive = true;
  bool isFrozen = false;
  bool freezeAtOrder = false;
  std::vector<Task> deferred;
};

/// Virtual clock, platform, engines and network that all processes share.
class World {
public:
  explicit World(std::uint64_t seed);

  Instant now() const { return clock; }
  void schedule(Duration d, Task task);
  /// Advances the clock by `d` and runs all tasks that fall due.
  void run(Duration d);
  /// Runs until `condition` holds or `limit` has passed. Returns true if it held.
  bool runUntil(const std::function<bool()> &condition, Duration limit);

  std::shared_ptr<Process> addProcess(const HostName &host, const Address &address,
                                      std::uint64_t incarnation = 1);
  void kill(const std::shared_ptr<Process> &process);
  void freeze(const std::shared_ptr<Process> &process);
  void thaw(const std::shared_ptr<Process> &process);
  /// Freezes the process when it sends its next order, and sends that order when it thaws. This
  /// models a pause between the last check and the send.
  void freezeAtNextOrder(const std::shared_ptr<Process> &process);

  FakeEngine &addEngine(FakeEngine engine);
  FakeEngine &engine(const EndpointName &name);
  void killEngine(const EndpointName &name);   ///< stays down until revived
  void reviveEngine(const EndpointName &name); ///< new incarnation, empty memory
  std::map<EndpointName, FakeEngine> &engines() { return engineTable; }

  /// Drops messages in both directions between two parties: host names, endpoint names or
  /// "platform".
  void cut(const std::string &a, const std::string &b);
  void heal(const std::string &a, const std::string &b);
  void healAll() { cuts.clear(); }

  /// Sets an entry of the host list; readers see it after `lag`.
  void setNode(const ListedNode &node, Duration lag = std::chrono::seconds(0));

  Faults &faults() { return faultSettings; }
  std::vector<Event> &history() { return events; }
  std::vector<std::pair<Instant, Decision>> &decisions() { return decisionLog; }
  /// Returns the host of each entry of decisions().
  const std::vector<HostName> &decisionHosts() const { return decisionHostLog; }
  void record(Event event);
  bool chance(double probability);
  std::uint64_t random() { return generator(); }

  /// Returns the objects that the platform stores.
  const std::map<std::string, StoreObject> &objects() const { return store; }
  /// Stores an object as a client other than the hosts, for example an operator.
  void putObject(const std::string &key, std::string value);
  std::uint64_t platformCalls = 0;

private:
  friend class Process;

  struct Watch {
    std::string key;
    std::uint64_t after;
    std::uint64_t id;
    std::function<void(StoreStatus, StoreObject)> done;
  };

  bool reachable(const std::string &a, const std::string &b) const;
  Duration messageDelay();
  StoreStatus apply(const std::string &key, const std::string *value, std::uint64_t expected,
                    StoreObject &result, const std::string &host);
  void notifyWatches(const std::string &key);
  EndpointReport execute(FakeEngine &engine, const EngineOrder &order, OrderStatus &status,
                         const std::string &host);
  FakeEngine *engineAt(const Address &address);

  Instant clock{};
  std::mt19937_64 generator;
  std::uint64_t sequence = 0;
  std::map<std::pair<Instant, std::uint64_t>, Task> queue;
  std::vector<std::shared_ptr<Process>> processes;
  std::map<EndpointName, FakeEngine> engineTable;
  std::set<std::pair<std::string, std::string>> cuts;
  std::map<std::string, ListedNode> nodes;
  std::map<std::string, StoreObject> store;
  std::uint64_t storeVersion = 0;
  std::vector<Watch> watches;
  Faults faultSettings;
  std::vector<Event> events;
  std::vector<std::pair<Instant, Decision>> decisionLog;
  std::vector<HostName> decisionHostLog;
};

} // namespace catkin::harness

template <> struct catkin::EnumNames<catkin::harness::EventKind> {
  static constexpr std::array<std::string_view, 9> Table{
      "load_started",  "load_ready", "unloaded", "engine_died", "overcommit",
      "order_refused", "write",      "call_ran", "custom"};
};
