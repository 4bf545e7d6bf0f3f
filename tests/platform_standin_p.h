#pragma once

#include "call_window_p.h"
#include "fault_proxy_p.h"
#include "http_p.h"
#include "port_block_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins for the platform in process tests: the object store, model engines and plain
/// endpoints, all served by one thread of the test. Other threads must access them through
/// PlatformCluster::run().
namespace catkin::platform {

namespace json = boost::json;

/// An object store with conditional writes and watches, served over HTTP.
class StandinStore {
public:
  /// Serves one request to the store.
  asio::awaitable<void> handle(HttpExchange &exchange);
  /// Writes an object without a condition, as the operator or an engine does.
  void put(const std::string &kind, const std::string &name, const json::value &content);
  /// Writes an object whose content is any text, which answers contain as it is.
  void putRaw(const std::string &kind, const std::string &name, const std::string &content);
  void remove(const std::string &kind, const std::string &name);
  /// Returns the content of an object if it is a string; empty otherwise.
  std::string text(const std::string &kind, const std::string &name) const;
  int count(const std::string &kind) const; ///< number of objects
  /// Discards all events, so that watchers must list the objects and start again.
  void dropHistory();
  /// Comes back from a copy that is `age` old, in the next era. What the operator and the engines
  /// have written since is written again by writeAgain().
  void restore(Duration age);
  void writeAgain();

  int answersToLose = 0; ///< number of next writes that are applied but get no response
  bool down = false;     ///< answers every request with 503
  std::uint64_t era = 1; ///< rises with each restore
  /// Processes that have held the planner's lease, by term.
  std::map<std::uint64_t, std::set<std::string>> leaseHolders;

private:
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    bool removed = false;
    json::object object;
  };
  json::object describe(const std::string &kind, const std::string &name) const;
  asio::awaitable<HttpResponse> watch(const std::string &kind, std::uint64_t from, Duration wait);
  HttpResponse list(const std::string &kind) const;
  HttpResponse write(const HttpRequest &request, const std::string &kind, std::string name);
  HttpResponse erase(const std::string &kind, const std::string &name);
  void recordEvent(const std::string &kind, bool removed, json::object object);

  struct Object {
    std::uint64_t revision = 0;
    json::value content;
  };
  using Kinds = std::map<std::string, std::map<std::string, Object>>;
  /// The state after a change.
  struct Copy {
    Instant at;
    Kinds kinds;
    std::uint64_t revision = 0;
  };
  /// Replaces the placeholders of raw contents in an answer.
  void insertRawContents(HttpResponse &response) const;
  void recordCopy();
  void recordLeaseHolder(const json::value &content);

  Kinds kinds;
  std::map<std::string, std::string> rawContents; ///< by placeholder
  std::deque<Copy> copies;
  Kinds lostKinds;                    ///< the state before the newest restore
  std::uint64_t restoredRevision = 0; ///< of the copy that the newest restore came back from
  std::deque<Event> history;
  std::uint64_t historyFrom = 0; ///< watches from earlier revisions get 410
  std::uint64_t revision = 0;
};

/// The arrival of a call at a stand-in.
struct StandinCall {
  Instant at;
  int host = -1; ///< that forwarded it; -1 for a report or an order
};

/// A limit of requests that a stand-in names in all its responses, and the calls that it gets.
struct StandinLimit {
  std::optional<double> perSecond; ///< for all hosts together
  std::vector<StandinCall> calls;  ///< requests, reports and orders
  void announce(HttpResponse &response) const;
  void onCall(const HttpRequest &request);
};

/// Crashes of a stand-in engine: it loses all its requests and its orders, answers nothing for
/// `downTime`, and then starts as a new incarnation with the models that it had at first.
struct StandinCrashes {
  std::set<std::string> deadlyParts; ///< prompt parts that crash it when an answer begins
  /// Targets and bodies of requests that crash it when an answer begins.
  std::set<std::pair<std::string, std::string>> deadlyRequests;
  Duration downTime = std::chrono::milliseconds(2500);
  std::vector<Instant> times;           ///< of its crashes
  std::vector<StandinCall> deadlyCalls; ///< requests that crash it
  std::function<void()> onCrashed;      ///< starts the engine again after `downTime`
};

/// A model engine that takes orders and serves streams.
class StandinEngine {
public:
  StandinEngine(std::string id, std::set<std::string> models);
  /// Serves one order, report or model request.
  asio::awaitable<void> handle(HttpExchange &exchange);
  /// Returns the registration of the engine.
  json::object registryEntry(const std::string &state) const;
  /// Crashes the engine unless it is down. It starts again by itself.
  void crash();
  void startAgainWithFirstModels();
  /// Starts as a new incarnation that has accepted no orders.
  void startAgain(std::set<std::string> heldModels);

  const std::string id;
  std::string version = "v1"; ///< of its software; its events contain it
  /// Versions with which it starts again after crashes, one after the other.
  std::deque<std::string> nextVersions;
  std::set<std::string> models;
  Address address;
  Duration eventPause = std::chrono::milliseconds(20); ///< before each event and at the end
  int runs = 0;
  int cutAfter = 0;          ///< event id after which the next stream is aborted; 0: never
  bool leaving = false;      ///< announced in all responses
  double backoffSeconds = 0; ///< above 0: refuses requests with this Retry-After
  int refusedRequests = 0;   ///< model requests refused because of backoffSeconds
  StandinLimit limit;
  StandinCrashes crashes;
  std::uint64_t acceptedOrders = 0;
  std::uint64_t highestTerm = 0;
  std::set<std::string> orderHolders; ///< holders that sent the accepted orders
  std::map<std::uint64_t, std::set<std::string>> holdersByTerm;
  double peakMegabytes = 0;  ///< peak size of the models that the engine was ordered to hold
  std::uint64_t incarnation; ///< of a later start: its time in Unix milliseconds

  bool isDown() const;

private:
  /// Returns whether the request or a shared part of its prompt crashes the engine.
  bool isDeadly(const HttpRequest &request) const;
  HttpResponse applyOrder(const HttpRequest &request);
  void setAnnouncements(HttpResponse &response) const;
  asio::awaitable<void> handleModelRequest(HttpExchange &exchange);
  asio::awaitable<void> sendStream(HttpExchange &exchange);

  const std::set<std::string> firstModels;
};

/// Returns the number of the host to which a test sent the request; -1 for a call without an id.
int hostOfRequest(const HttpRequest &request);

constexpr int StreamEventCount = 5;
/// Returns event `n` of a stream, as an engine of a software version sends it.
std::string streamEvent(int n, const std::string &version);
/// Returns all events of a stream.
std::string wholeStream(const std::string &version);

/// An endpoint without models, for requests that may run at most once. Counts the runs of each
/// request.
class StandinPlainEndpoint {
public:
  explicit StandinPlainEndpoint(std::string id) : id(std::move(id)) {}
  asio::awaitable<void> handle(HttpExchange &exchange);
  json::object registryEntry() const;

  const std::string id;
  Address address;
  StandinLimit limit;
  Duration workTime = std::chrono::milliseconds(20); ///< of one request
  std::map<std::string, int> runsById;
};

/// Options of PlatformCluster.
struct PlatformClusterOptions {
  bool proxied = false; ///< connect hosts to the store and the endpoints through proxies
  int plainEndpoints = 0;
  int dataCentres = 1; ///< the hosts are assigned to them in turn
};

/// The parts of the configuration that tests change.
struct StandinConfig {
  Duration timeout = std::chrono::seconds(10);    ///< timeout of the routes to engines
  Duration onceTimeout = std::chrono::seconds(3); ///< of the route of requests that may run once
  bool extraRoute = false;                        ///< adds a second route to the plain endpoints
};

/// Starts the stand-ins and the hosts. Hosts are catkin-platformd processes; the destructor kills
/// only those that this object started.
class PlatformCluster {
  asio::io_context io; // declared first: all other members that use it must be destroyed before

public:
  PlatformCluster(int hosts, const std::vector<std::set<std::string>> &engines,
                  PlatformClusterOptions options = {});
  ~PlatformCluster();
  PlatformCluster(const PlatformCluster &) = delete;
  PlatformCluster &operator=(const PlatformCluster &) = delete;

  /// Runs `step` on the thread of the stand-ins and waits until it has finished.
  void run(const std::function<void()> &step);
  void startHost(int n);
  /// Sends a signal to a host; after SIGKILL, waits until the process has ended.
  void signalHost(int n, int signal);
  bool isHostReady(int n) const;
  bool areAllHostsReady() const;
  /// Waits until all hosts are ready. Returns false and reports a failure of the test if one of
  /// them ends; returns false after the watchdog time.
  bool waitUntilReady();
  /// Sends a streaming request for `model` to a host and returns the result.
  /// `promptParts` has the ids of its prompt parts, separated by commas.
  HttpResult requestStream(int host, const std::string &model,
                           const std::string &promptParts = {}) const;
  /// Sends a streaming request for `model` with a target and a body of its own to a host.
  HttpResult requestStreamAt(int host, const std::string &model, const std::string &target,
                             const std::string &body) const;
  /// Sends a request that may run at most once to a host. Sets `id` to its request id.
  HttpResult requestOnce(int host, std::string &id) const;
  /// Returns the status of a request to the extra route.
  unsigned statusOfExtraRoute(int host) const;
  /// Writes the next version of the configuration.
  void changeConfig(const StandinConfig &config);
  /// Simulates a restart of an engine: its models and its counters of orders are lost.
  void restartEngine(int engine);
  /// Takes the store away for `downTime`. It comes back from a copy that is `age` old, and the
  /// operator and the engines write again a little later.
  void restoreStore(Duration age, Duration downTime = std::chrono::milliseconds(500));
  /// Ends all faults of the store and of the proxies.
  void clearFaults();
  /// Returns the address at which a host takes requests.
  Address hostAddress(int n) const { return {"127.0.0.1", port(n * PortsPerHost)}; }
  /// Returns an id that hostOfRequest() can read.
  std::string newRequestId(int host) const;
  /// Returns the directory of the hosts' logs, which are kept after the test.
  const std::string &logDirectory() const { return directory; }
  /// Returns holder and term of the planner's lease in the store; empty and 0 if there is none.
  std::pair<std::string, std::uint64_t> lease();
  /// Returns the addresses that the directory of a host lists.
  std::vector<std::string> directoryAddresses(int host) const;
  /// Registers an engine with a new state.
  void setEngineState(int engine, const std::string &state);

  StandinStore store;
  std::vector<std::unique_ptr<StandinEngine>> engines;
  std::vector<std::unique_ptr<StandinPlainEndpoint>> plainEndpoints;
  std::vector<std::shared_ptr<FaultProxy>> storeProxies; ///< indexed by host
  std::vector<std::shared_ptr<FaultProxy>> engineProxies;
  std::vector<std::shared_ptr<FaultProxy>> plainProxies;

private:
  static constexpr int PortsPerHost = 8;
  std::shared_ptr<FaultProxy> addProxy(const Address &target);
  void restartAfterCrash(StandinEngine &engine);
  HttpResult post(int host, const char *target, const std::string &id, const char *deadlineMs,
                  const std::string &model, const std::string &promptParts = {}) const;
  std::uint16_t port(int offset) const {
    return static_cast<std::uint16_t>(ports.first() + offset);
  }
  /// Returns the name and last log line of a host that has ended; empty if there is none.
  std::string describeEndedHost();
  std::string settingsPath(int n) const;
  /// Name of the data centre that a host is assigned to.
  std::string dataCentreOf(int host) const;

  std::vector<std::unique_ptr<HttpServer>> servers;
  std::thread thread;
  PortBlock ports;
  int dataCentres = 1;
  std::string directory;
  std::map<int, pid_t> children;
  std::mutex childrenMutex; ///< guards children
  std::atomic<std::uint64_t> configVersion = 0;
  mutable std::atomic<int> lastRequestId = 0;
};

} // namespace catkin::platform
