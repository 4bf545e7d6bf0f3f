#pragma once

#include "fault_proxy_p.h"
#include "http_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

/// Stand-ins of the users' platform for process tests: the object store and model engines, served
/// by one thread of the test. Members may be used from outside only through run().
namespace catkin::platform {

namespace json = boost::json;

class StandinStore {
public:
  asio::awaitable<void> handle(HttpExchange &exchange);
  /// Writes as the operator or an engine does.
  void put(const std::string &kind, const std::string &name, const json::value &content);
  void remove(const std::string &kind, const std::string &name);
  std::string text(const std::string &kind, const std::string &name) const;
  /// Forgets all events, so that watches must begin again from a list.
  void dropHistory();

  int answersToLose = 0; ///< of the next writes, which are carried out
  bool down = false;     ///< refuses every call

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
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::deque<Event> history;
  std::uint64_t historyFrom = 0; ///< watches of earlier revisions are refused
  std::uint64_t revision = 0;
};

class StandinEngine {
public:
  StandinEngine(std::string id, std::set<std::string> models);
  asio::awaitable<void> handle(HttpExchange &exchange);
  json::object registryEntry(const std::string &state) const;

  const std::string id;
  std::set<std::string> models;
  Address address;
  int runs = 0;
  int cutAfter = 0;          ///< events after which the next stream breaks off; 0: never
  bool leaving = false;      ///< says so in all answers
  double backoffSeconds = 0; ///< above 0: refuses requests for so long
  int refusedRequests = 0;   ///< requests that were told to come later
  std::uint64_t acceptedOrders = 0;
  std::uint64_t highestTerm = 0;
  std::set<std::string> orderHolders; ///< of accepted orders
  std::map<std::uint64_t, std::set<std::string>> holdersByTerm;
  double peakMegabytes = 0;  ///< of the models that it was ordered to hold at any time
  std::uint64_t incarnation; ///< changes at a restart

private:
  HttpResponse applyOrder(const HttpRequest &request);
  void setLeavingHeader(HttpResponse &response) const;
  asio::awaitable<void> handleModelRequest(HttpExchange &exchange);
  asio::awaitable<void> sendStream(HttpExchange &exchange);
};

constexpr int StreamEventCount = 5;
/// The event with this number, as an engine sends it.
std::string streamEvent(int n);

/// An endpoint without models, whose requests may run once at most.
class StandinPlainEndpoint {
public:
  explicit StandinPlainEndpoint(std::string id) : id(std::move(id)) {}
  asio::awaitable<void> handle(HttpExchange &exchange);
  json::object registryEntry() const;

  const std::string id;
  Address address;
  std::map<std::string, int> runsById;
};

struct PlatformClusterOptions {
  bool proxied = false; ///< hosts reach the store and the endpoints through proxies
  int plainEndpoints = 0;
};

struct StandinConfig {
  Duration timeout = std::chrono::seconds(10); ///< of the routes to engines
  bool extraRoute = false;                     ///< a further route to the plain endpoints
};

/// Store, engines and hosts. Hosts are processes of catkin-platformd; the destructor ends exactly
/// those that it started.
class PlatformCluster {
  asio::io_context io; // first, since it must outlive all that works on it

public:
  PlatformCluster(int hosts, const std::vector<std::set<std::string>> &engines,
                  PlatformClusterOptions options = {});
  ~PlatformCluster();
  PlatformCluster(const PlatformCluster &) = delete;
  PlatformCluster &operator=(const PlatformCluster &) = delete;

  /// Runs `step` on the thread of the stand-ins and waits for it.
  void run(const std::function<void()> &step);
  void startHost(int n);
  void signalHost(int n, int signal);
  bool isHostReady(int n) const;
  bool areAllHostsReady() const;
  /// Sends a streaming request for `model` to a host.
  HttpResult requestStream(int host, const std::string &model) const;
  /// Sends a request that may run once at most, and gives its id.
  HttpResult requestOnce(int host, std::string &id) const;
  unsigned statusOfExtraRoute(int host) const;
  /// Writes the next version of the configuration.
  void changeConfig(const StandinConfig &config);
  /// The engine loses what it holds and counts anew.
  void restartEngine(int engine);
  /// Ends every fault of the store and of the proxies.
  void clearFaults();
  /// Leaves the hosts' logs behind; gives their directory.
  const std::string &logDirectory() const { return directory; }
  /// Holder and term of the planner's lease in the store.
  std::pair<std::string, std::uint64_t> lease();
  std::vector<std::string> directoryAddresses(int host) const;
  void setEngineState(int engine, const std::string &state);

  StandinStore store;
  std::vector<std::unique_ptr<StandinEngine>> engines;
  std::vector<std::unique_ptr<StandinPlainEndpoint>> plainEndpoints;
  std::vector<std::shared_ptr<FaultProxy>> storeProxies; ///< by host
  std::vector<std::shared_ptr<FaultProxy>> engineProxies;
  std::vector<std::shared_ptr<FaultProxy>> plainProxies;

private:
  std::shared_ptr<FaultProxy> addProxy(const Address &target);
  HttpResult post(int host, const char *target, const std::string &id, const char *deadlineMs,
                  const std::string &model) const;
  std::uint16_t port(int offset) const { return static_cast<std::uint16_t>(base + offset); }
  std::string settingsPath(int n) const;

  std::vector<std::unique_ptr<HttpServer>> servers;
  std::thread thread;
  std::uint16_t base = 0;
  std::string directory;
  std::map<int, pid_t> children;
  std::mutex childrenMutex; ///< guards children
  std::atomic<std::uint64_t> configVersion = 0;
  mutable std::atomic<int> lastRequestId = 0;
};

} // namespace catkin::platform
