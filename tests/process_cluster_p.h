#pragma once

#include "http_p.h"

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// A small system of real processes on loopback: catkind hosts and the stand-ins, for tests of what
/// only separate processes show (signals, lost connections, restarts).
namespace catkin {

/// One HTTP exchange on a connection of its own. Waits up to 40 s.
struct Call {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};
HttpResult callOnce(const Address &to, const Call &call);
/// Status code of the response, 0 if there was none.
unsigned statusOf(const HttpResult &result);
/// String member of the JSON object in the response; empty if there is none.
std::string memberOf(const HttpResult &result, std::string_view name);

/// Polls until the condition holds. False after a watchdog time that only ends a hang.
bool pollUntil(const std::function<bool()> &condition);

struct ProcessClusterOptions {
  int hosts = 3;
  int engines = 3;
  std::vector<std::string> engineFlags; ///< added to each engine
  std::vector<std::string> hostFlags;   ///< added to each host
};

/// Starts everything and applies both lists; ends exactly its own children. Numbers of hosts and
/// engines count from 0. Hosts 0 and up are named host-0 and so on.
class ProcessCluster {
public:
  static constexpr const char *Model = "route-draft";       ///< 6 GB, 3 s to load
  static constexpr const char *SecondModel = "visit-notes"; ///< as large
  static constexpr const char *Service = "deliveries";      ///< not idempotent
  static constexpr const char *Key = "process-test-key";    ///< of the only plan

  explicit ProcessCluster(ProcessClusterOptions options = {});
  ~ProcessCluster();
  ProcessCluster(const ProcessCluster &) = delete;
  ProcessCluster &operator=(const ProcessCluster &) = delete;

  /// False, with the reason in `error`, if the system did not come up.
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
  /// Waits for the end of a host after a signal. Its exit code, or 128 and the number of the signal
  /// that ended it; -1 after the watchdog time.
  int waitForHostExit(int n);
  bool isHostReady(int n) const;

  /// The list of plans with one plan.
  static std::string plansDocument(int concurrency);
  /// A call of the operators' interface with their key.
  HttpResult operatorCall(int n, Call call) const;
  /// ETag of a list as a host knows it.
  std::string revisionAt(int n, const std::string &list) const;
  /// Granted concurrency of the only plan as a host knows it; -1 if unknown.
  std::int64_t concurrencyAt(int n) const;
  HttpResult putList(int n, const std::string &list, const std::string &revision,
                     const std::string &document) const;

  /// Host that holds the planner lease by the platform's record; -1 if none does.
  int planner() const;
  std::uint64_t leaseTerm() const;
  /// Engines that hold a model, ready or loading.
  std::vector<int> enginesWith(const std::string &model) const;
  /// Requests that run on all engines by their lagged reports.
  std::int64_t runningEngineRequests() const;
  /// Sum of a counter of `GET /engine/faults` over all engines; -1 if one did not answer.
  std::int64_t engineFaultCount(const std::string &counter) const;
  /// Times that the service ran a call with this key; -1 if it did not answer.
  std::int64_t serviceRunCount(const std::string &key) const;
  /// Host that recorded the claim of a call with this key; -1 if none did.
  int callClaimant(const std::string &key) const;
  /// Result of a control call of a stand-in: true if it was accepted.
  static bool control(const Address &to, const std::string &path, const std::string &body);

  /// Completion of `tokens` tokens; a streamed one is collected into one body.
  HttpResult requestCompletion(int host, const std::string &model, const std::string &prompt,
                               unsigned tokens = 8, bool stream = false) const;
  /// Call of the non-idempotent service.
  HttpResult requestConfirm(int host, const std::string &key, const std::string &body) const;

private:
  Address addressAt(int offset) const;
  std::string binary(const std::string &name) const;
  void start(const std::string &name, const std::string &program, std::vector<std::string> flags);
  void startStandins();
  bool addNodes();
  int knownEngineCount() const;
  bool applyList(const std::string &list, const std::string &document);
  void startAll();

  ProcessClusterOptions options;
  std::uint16_t base = 0;
  std::string directory; ///< of the processes' logs
  std::map<std::string, pid_t> children;
};

/// True if the answer is the whole one to this model and prompt.
bool isWholeAnswer(const HttpResult &result, const std::string &model, const std::string &prompt,
                   unsigned tokens = 8);

} // namespace catkin
