#pragma once

#include "fleet_standins_p.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// A small system for the cases of the second review: hosts as separate processes, started with the
/// command of the deploy file, before the project's stand-ins of the store and the engines. All
/// addresses are on loopback; each host has one of its own.
namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

/// Time since the start of the case in seconds.
double elapsed();

/// What was sent, answered and run: lines of record.txt. May be called from any thread.
class Record {
public:
  explicit Record(const std::string &path);
  void line(const std::string &text);

private:
  std::mutex mutex; // guards path
  std::string path;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// An answer as a client has read it.
struct Answer {
  int status = 0;        ///< 0: no answer
  bool complete = false; ///< its body ended as its head says
  std::string head;
  std::string body;
  /// Returns the value of a header; empty if it is missing.
  std::string header(const std::string &name) const;
};

/// A request on a new connection, read by the calling thread.
struct Request {
  std::string method = "POST";
  std::string target;
  Headers headers;
  std::string body;
  Millis limit{15000};
  /// Called with what has arrived of the body; the client closes the channel if it returns false.
  std::function<bool(const std::string &)> onBody;
};
Answer send(const std::string &ip, int port, const Request &request);

/// Returns the number of whole events in a stream.
int countEvents(const std::string &body);

/// The hosts and the stand-ins.
class Rig {
  boost::asio::io_context io; // declared first: the other members use it

public:
  /// `moreSettings` are further lines of each host's settings file.
  Rig(int hosts, const std::string &moreSettings = {});
  ~Rig();
  Rig(const Rig &) = delete;
  Rig &operator=(const Rig &) = delete;

  /// Serves a stand-in and returns its address. Only before begin().
  catkin::Address serve(catkin::HttpHandler handler);
  catkin::platform::StandinEngine &addEngine(const std::string &id, const std::string &version,
                                             const std::set<std::string> &models);
  /// Starts the thread of the stand-ins and the hosts.
  void begin();
  /// Runs a step on the thread of the stand-ins and waits for it.
  void run(const std::function<void()> &step);

  void startHost(int n);
  void signalHost(int n, int signal);
  /// Kills the hosts at once, and starts them again after `downTime`.
  void killAll(Millis downTime);
  /// Returns false if the process has ended.
  bool isRunning(int n);
  bool isReady(int n) const;
  /// Waits until all hosts are ready; returns false after `limit`.
  bool waitUntilReady(Millis limit) const;
  int hostCount() const { return hosts; }
  const std::string &ip(int n) const { return ips[static_cast<std::size_t>(n)]; }
  int port() const { return FrontPort; }

  catkin::platform::StandinStore store;
  std::vector<std::unique_ptr<catkin::platform::StandinEngine>> engines;

private:
  static constexpr int FrontPort = 8149;
  static constexpr int ReadyPort = 8141;
  static constexpr int DirectoryPort = 8143;
  void restartAfterCrash(catkin::platform::StandinEngine &engine);

  int hosts;
  std::string moreSettings;
  std::string directory;
  std::vector<std::string> ips;
  std::string storeAddress;
  std::vector<std::unique_ptr<catkin::HttpServer>> servers;
  std::thread thread;
  std::map<int, pid_t> children;
};

/// Returns a route of the configuration.
json::object makeRoute(const std::string &name, const std::string &prefix, const std::string &kind,
                       int timeoutMs, const std::string &service);
/// Returns a configuration with these routes, one service of model engines and one without models.
json::object makeConfig(std::uint64_t version, const json::array &routes);

/// Returns whether the disruption is to be made: TROUBLE is not 0.
bool hasTrouble();

} // namespace review
