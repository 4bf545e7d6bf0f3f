#pragma once

#include "http_p.h"
#include "port_block_p.h"

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// A small system of real processes on loopback, catkind hosts and stand-ins, for tests that need
/// separate processes (signals, lost connections, restarts).
namespace catkin {

/// A request to a host or stand-in.
struct Call {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};
/// Sends a request on a new connection and waits up to 40 s for the response.
HttpResult callOnce(const Address &to, const Call &call);
/// Returns the status code of the response; 0 if there was none.
unsigned statusOf(const HttpResult &result);
/// Returns a string member of the JSON object in the response; empty if there is none.
std::string memberOf(const HttpResult &result, std::string_view name);

/// Polls until the condition holds. Returns false after a watchdog time of 60 s, which ends a test
/// that hangs.
bool pollUntil(const std::function<bool()> &condition);

/// Creates a directory with a name that begins with `prefix`, and returns its path.
std::string makeTemporaryDirectory(const std::string &prefix);

/// Returns the path of a program of this build.
std::string programPath(const std::string &name);

/// Returns the name and the last log line of a child process that has ended, which it reaps. Empty
/// while the process runs.
std::string describeEnd(pid_t pid, const std::string &name, const std::string &log);

/// Options of ProcessCluster.
struct ProcessClusterOptions {
  int hosts = 3;
  int engines = 3;
  std::vector<std::string> engineFlags; ///< additional flags of each engine
  std::vector<std::string> hostFlags;   ///< additional flags of each host
};

/// Starts the stand-ins and the hosts, and applies the lists of plans and uses. The destructor
/// kills only the processes that this object started. Hosts and engines are numbered from 0; host 0
/// is named host-0.
class ProcessCluster {
public:
  static constexpr const char *Model = "route-draft";       ///< 6 GB, loads in 3 s
  static constexpr const char *SecondModel = "visit-notes"; ///< same size
  static constexpr const char *Service = "deliveries";      ///< not idempotent
  static constexpr const char *Key = "process-test-key";    ///< API key of the only plan

  explicit ProcessCluster(ProcessClusterOptions options = {});
  ~ProcessCluster();
  ProcessCluster(const ProcessCluster &) = delete;
  ProcessCluster &operator=(const ProcessCluster &) = delete;

  /// Returns whether the system has started. If not, `error` holds the reason.
  bool isReady() const { return error.empty(); }
  std::string error;

  Address hostAddress(int n) const { return addressAt(10 + n); }
  Address operatorAddress(int n) const { return addressAt(20 + n); }
  Address engineAddress(int n) const { return addressAt(40 + n); }
  Address platformAddress() const { return addressAt(0); }
  Address serviceAddress() const { return addressAt(2); }
  int hostCount() const { return options.hosts; }

  void startHost(int n);
  void signalHost(int n, int signal);
  /// Waits until a host has exited after a signal. Returns its exit code, 128 plus the number of
  /// the signal that killed it, or -1 after the watchdog time.
  int waitForHostExit(int n);
  bool isHostReady(int n) const;
  pid_t hostProcess(int n) const { return children.at("host-" + std::to_string(n)); }

  /// Returns a list of plans with one plan of this concurrency.
  static std::string plansDocument(int concurrency);
  /// Calls the operator interface of a host with the operator key.
  HttpResult operatorCall(int n, Call call) const;
  /// Returns the ETag of a list at a host.
  std::string revisionAt(int n, const std::string &list) const;
  /// Returns the granted concurrency of the only plan at a host; -1 if unknown.
  std::int64_t concurrencyAt(int n) const;
  /// Replaces a list through a host if its revision is still `revision`.
  HttpResult putList(int n, const std::string &list, const std::string &revision,
                     const std::string &document) const;

  /// Returns the host that holds the planner lease according to the platform; -1 if none does.
  int planner() const;
  std::uint64_t leaseTerm() const;
  /// Returns the engines that hold a model, ready or loading.
  std::vector<int> enginesWith(const std::string &model) const;
  /// Returns the number of running requests on all engines, from their delayed reports.
  std::int64_t runningEngineRequests() const;
  /// Returns the sum of a counter of `GET /engine/faults` over all engines; -1 if one did not
  /// answer.
  std::int64_t engineFaultCount(const std::string &counter) const;
  /// Returns how often the service ran a call with this key; -1 if the service did not answer.
  std::int64_t serviceRunCount(const std::string &key) const;
  /// Returns the host that recorded the claim of a call with this key; -1 if none did.
  int callClaimant(const std::string &key) const;
  /// Sends a control call to a stand-in. Returns whether it was accepted.
  static bool control(const Address &to, const std::string &path, const std::string &body);

  /// Requests a completion of `tokens` tokens. The body of the result holds the whole stream if
  /// `stream` is set.
  HttpResult requestCompletion(int host, const std::string &model, const std::string &prompt,
                               unsigned tokens = 8, bool stream = false) const;
  /// Calls the non-idempotent service.
  HttpResult requestConfirm(int host, const std::string &key, const std::string &body) const;

private:
  Address addressAt(int offset) const;
  void start(const std::string &name, const std::string &program, std::vector<std::string> flags);
  void startStandins();
  bool addNodes();
  int knownEngineCount() const;
  bool applyList(const std::string &list, const std::string &document);
  void startAll();
  /// Polls until the condition holds. Returns false after the watchdog time, or at once with
  /// `error` set if one of the programs ends.
  bool pollWhileAllRun(const std::function<bool()> &condition);
  void noteEndedProgram();
  void fail(const std::string &reason);
  std::string logPath(const std::string &name) const { return directory + "/" + name + ".log"; }

  ProcessClusterOptions options;
  PortBlock ports;
  std::string directory; ///< holds the logs of the processes
  std::map<std::string, pid_t> children;
};

/// Returns whether the response is the complete answer to this model and prompt.
bool isWholeAnswer(const HttpResult &result, const std::string &model, const std::string &prompt,
                   unsigned tokens = 8);

} // namespace catkin
