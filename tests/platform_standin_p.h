#pragma once

#include "fault_proxy_p.h"
#include "fleet_standins_p.h"
#include "port_block_p.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// Daemons as processes before the stand-ins of the platform, which one thread of the test serves.
/// Other threads must access the stand-ins through PlatformCluster::run().
namespace catkin::platform {

/// Options of PlatformCluster.
struct PlatformClusterOptions {
  bool proxied = false; ///< connect hosts to the store and the endpoints through proxies
  int plainEndpoints = 0;
  int dataCentres = 1;  ///< the hosts are assigned to them in turn
  std::string settings; ///< more lines of each host's settings file
};

/// The parts of the configuration that tests change.
struct StandinConfig {
  Duration timeout = std::chrono::seconds(10);    ///< timeout of the routes to engines
  Duration onceTimeout = std::chrono::seconds(3); ///< of the route of requests that may run once
  bool extraRoute = false;                        ///< adds a second route to the plain endpoints
  json::array teams;                              ///< none if empty
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
  pid_t hostProcess(int n);
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
  Address readinessAddress(int n) const { return {"127.0.0.1", port(n * PortsPerHost + 1)}; }
  Address directoryAddress(int n) const { return {"127.0.0.1", port(n * PortsPerHost + 2)}; }
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
  std::string moreSettings;
  std::string directory;
  std::map<int, pid_t> children;
  std::mutex childrenMutex; ///< guards children
  std::atomic<std::uint64_t> configVersion = 0;
  mutable std::atomic<int> lastRequestId = 0;
};

} // namespace catkin::platform
