#pragma once

#include <boost/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// A small deployment for the cases of a review: hosts as processes, and stand-ins of the
/// platform's store, of engines and of clients on threads of the case. All addresses are loopback
/// addresses; each machine has one of its own, so that ports are the same on all machines.
namespace rig {

namespace json = boost::json;

/// Seconds since the start of the case, by the steady clock.
double now();
void sleepUntil(double at);
void sleepFor(double seconds);
std::uint64_t unixMillis();
/// Returns false if the environment says TROUBLE=0.
bool hasTrouble();
/// Address of a machine of this run: 127.A.B.n with A and B drawn at random.
std::string machineIp(int n);

/// The record of what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &path) : out(path) {}
  void add(const std::string &line);

private:
  std::mutex mutex;
  std::ofstream out;
};
/// Must be set before anything else is used.
extern Record *record;
void note(const std::string &line);
/// Notes the reason and ends the case with "could not run".
[[noreturn]] void fail(const std::string &reason);

/// The head of a message, and the whole body of a request.
struct Head {
  std::string method; ///< of a request
  std::string target;
  int status = 0;                            ///< of a response
  std::map<std::string, std::string> fields; ///< names in lower case
  std::string body;
  std::string field(const std::string &name) const;
};

/// One TCP connection. Not thread-safe, except for reset().
class Channel {
public:
  explicit Channel(int fd) : fd(fd) {}
  ~Channel();
  Channel(const Channel &) = delete;
  /// Connects within `seconds`. Null on failure.
  static std::unique_ptr<Channel> connect(const std::string &ip, int port, double seconds);
  bool write(const std::string &bytes);
  /// Reads a head, until the time `deadline`. Returns false if the channel ends before.
  bool readHead(Head &head, double deadline);
  bool readRequestBody(Head &head, double deadline);
  /// Reads the next part of a response's body. `ended` is set at its regular end. Returns false if
  /// the channel broke or the time has passed.
  bool readPart(const Head &head, std::string &part, bool &ended, double deadline);
  /// Closes the channel, also while another thread uses it, with a reset if `abortive`.
  void end(bool abortive);
  bool timedOut = false; ///< the last read ended at its deadline

private:
  bool fill(double deadline);
  std::atomic<int> fd;
  std::string buffer;
  std::optional<std::uint64_t> bytesLeft; ///< of the body, or of its chunk
};

/// An HTTP server with a thread for each connection.
class Server {
public:
  /// Answers one request. Returns false if the connection must be closed.
  using Handler = std::function<bool(Channel &, const Head &)>;
  Server(std::string ip, int port, Handler handler);
  ~Server() { stop(); }
  void start();
  /// Closes the listening socket and resets all connections, as a crash does.
  void stop();
  /// Closes the listening socket and all connections, as a process does that exits.
  void exitCleanly();
  std::size_t connections();

private:
  void end(bool abortive);
  const std::string ip;
  const int port;
  const Handler handler;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<int, std::shared_ptr<Channel>> channels;
  int nextChannel = 0;
  int listener = -1;
  std::thread acceptor;
};

std::string response(int status, const std::string &fields, const std::string &body);

/// The platform's store: objects with revisions, conditional writes, lists and watches.
class Store {
public:
  Store();
  void start() { server.start(); }
  void put(const std::string &kind, const std::string &name, const json::value &content);
  void remove(const std::string &kind, const std::string &name);
  json::value content(const std::string &kind, const std::string &name);
  /// Ends the channels of all watches of a kind that are waiting now.
  void cutWatches(const std::string &kind);
  /// Number of watches of a kind that have waited for `seconds` or more.
  int waitingWatches(const std::string &kind, double seconds);
  /// Number of lists of a kind that have been answered.
  int lists(const std::string &kind);
  static constexpr int Machine = 200;
  static constexpr int Port = 8142;

private:
  struct Object {
    json::value specification;
    json::value status;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    bool removed = false;
    json::object object;
  };
  bool handle(Channel &channel, const Head &head);
  std::string answer(const Head &head);
  std::string watch(const std::string &kind, std::uint64_t from, int waitMs);
  json::object describe(const std::string &name, const Object &object) const;
  void change(const std::string &kind, const std::string &name, json::value specification);
  bool erase(const std::string &kind, const std::string &name);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::vector<Event> events;
  std::uint64_t revision = 10;
  std::map<std::string, int> cuts;
  std::map<std::string, int> listed;
  std::map<std::string, std::multiset<double>> watching; ///< since when
  Server server;
};

/// A run of a request at an engine.
struct Run {
  std::string id;
  double at = 0;
  std::string engine;
  std::string version;
  std::string tenant;
};

struct EngineOptions {
  std::string id;
  int machine = 0;
  std::string service;
  std::string version = "v1";
  std::string zone = "z1";
  int slots = 64;
  bool hasModels = false;          ///< the service has models
  std::vector<std::string> models; ///< that it holds at first
  double eventPause = 0.25;        ///< before each event
  int events = 60;                 ///< of a stream
  double workSeconds = 0.02;       ///< of a request on another route
  double loadSeconds = 6;          ///< of a model from the weight store
  std::string streamPrefix = "/s/";
};

/// An engine. It registers when it starts and at every heartbeat.
class Engine {
public:
  Engine(Store &store, EngineOptions options);
  ~Engine();
  void start();
  /// Ends at once: all channels are reset, and the entry stays.
  void crash();
  /// Starts again under its id and address, as another software version.
  void startAgain(const std::string &version);
  /// Reports that it is leaving, but still serves.
  void drain();
  /// Crashes for good. Its entry is removed after three heartbeats.
  void loseForGood();
  /// Writes no further reports, but still serves.
  void stopReporting();
  /// Exits. The entry has gone already.
  void exit();
  /// Exits after a drain, and its entry is removed.
  void leave();
  /// Sets how much longer the engine says that it is slow, until the time `at`.
  void setColdUntil(double at) { coldUntil = at; }
  std::vector<Run> runs();
  std::size_t connections() { return server.connections(); }
  static constexpr int Port = 8080;
  static constexpr double Heartbeat = 1.2;
  std::function<void()> reported; ///< called after each report

private:
  bool handle(Channel &channel, const Head &head);
  bool handleOrder(Channel &channel, const Head &head);
  bool sendStream(Channel &channel, const Head &head);
  json::object entry();
  void settle();
  void report();
  void beat();

  Store &store;
  EngineOptions options;
  std::mutex mutex;
  std::vector<std::string> held;
  std::string loading; ///< model that is on its way; empty if there is none
  double loadedAt = 0; ///< when it will be there
  std::string state = "ready";
  std::uint64_t born = 0;
  std::uint64_t sequence = 0;
  std::uint64_t highestTerm = 0;
  std::vector<Run> ran;
  std::atomic<bool> up = false;
  std::atomic<bool> ended = false;
  std::atomic<int> life = 0;
  std::atomic<double> coldUntil = 0;
  Server server;
  std::thread beats;
};

/// A host: a process of the deploy file's command with a settings file of its own.
class Host {
public:
  Host(int machine, std::string name, std::string zone, std::string moreSettings);
  ~Host();
  void start();
  void signal(int signal);
  void kill();
  /// Waits until the process has ended.
  void wait();
  bool hasEnded();
  bool isReady();
  const std::string &ip() const { return address; }
  double startedAt = 0;
  double descriptorLimit = 0; ///< of the process; 0: as inherited
  pid_t pid = -1;
  const std::string name;
  static constexpr int FrontPort = 8149;
  static constexpr int ReadyPort = 8141;

private:
  const std::string address;
  std::string zone;
  std::string more;
  bool first = true;
};

/// Waits until all hosts are ready, or ends the case.
void waitUntilReady(std::vector<std::unique_ptr<Host>> &hosts, double seconds = 20);
/// Temporary folder of this run, which is removed at its end.
const std::string &folder();
void removeFolder();
std::string newId();

} // namespace rig
