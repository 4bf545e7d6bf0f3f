#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the cases in review/: the platform's store, engines and clients, on loopback
/// addresses and blocking sockets, and the hosts as separate processes.
namespace rig {

using Clock = std::chrono::steady_clock;

/// Seconds since the start of the program.
double now();
void sleepFor(double seconds);

/// Writes one line to the record, with the time before it.
void record(const std::string &line);
void openRecord(const std::string &path);

// ---- HTTP --------------------------------------------------------------------------------------

/// Head and body of a request or a response.
struct Message {
  std::string first; ///< request line or status line
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  std::string header(const std::string &name) const; ///< empty if it is missing
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// A connected socket with a read buffer.
class Channel {
public:
  explicit Channel(int fd) : fd(fd) {}
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;
  bool write(const std::string &bytes);
  /// Reads one message. False if the peer closes before, or at the deadline.
  bool read(Message &out, bool isResponse, double deadline);
  /// Reads until the peer closes, at most until the deadline. Returns all bytes.
  std::string readAll(double deadline);
  /// Waits for bytes or for the end of the channel. Returns false if neither comes in time.
  bool waitForInput(double seconds);
  /// True once the peer has closed.
  bool isClosed();
  /// Closes with a reset.
  void reset();
  void close();
  int handle() const { return fd; }

private:
  bool fill(double deadline);
  int fd;
  std::string buffer;
};

/// Connects to a port of 127.0.0.1. Null if that fails.
std::unique_ptr<Channel> connectTo(int port);

/// Accepts connections and runs a handler for each in a thread of its own.
class Server {
public:
  using Handler = std::function<void(Channel &)>;
  Server(int port, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  int port() const { return boundPort; }

private:
  int listener = -1;
  int boundPort = 0;
  std::shared_ptr<std::atomic<bool>> stopped = std::make_shared<std::atomic<bool>>(false);
  std::thread acceptor;
};

// ---- Store -------------------------------------------------------------------------------------

/// The platform's store of objects.
class Store {
public:
  Store();
  int port() const { return server->port(); }
  /// Opens a further port, at which the store answers 503 to everything while the flag is set.
  int addPort(std::shared_ptr<std::atomic<bool>> turnsAway);
  /// Writes an object without a condition.
  void put(const std::string &kind, const std::string &name, const std::string &specification);
  void remove(const std::string &kind, const std::string &name);
  /// Specification of an object; empty if there is none.
  std::string get(const std::string &kind, const std::string &name);
  std::atomic<bool> down{false}; ///< answers 503

private:
  struct Object {
    std::uint64_t revision = 0;
    std::string specification;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    bool removed = false;
    std::string object;
  };
  void serve(Channel &channel, const std::atomic<bool> *turnsAway);
  std::string answer(const Message &request);
  static std::string describe(const std::string &name, const Object &object);
  std::string watch(const std::string &kind, std::uint64_t from, double wait,
                    std::unique_lock<std::mutex> &lock);
  void change(const std::string &kind, const std::string &name, bool removed,
              const std::string &specification);

  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t revision = 10;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::vector<Event> events;
  std::unique_ptr<Server> server;
  std::vector<std::unique_ptr<Server>> furtherPorts;
};

// ---- Engines -----------------------------------------------------------------------------------

/// One run of a request at an engine.
struct Run {
  double at = 0;
  std::string engine;
  std::string id;
  std::string first;
  std::string lastEventId;
  std::size_t bodyBytes = 0;
};

/// All runs at all engines.
class Runs {
public:
  void add(const Run &run);
  std::vector<Run> all();
  int countOf(const std::string &id);

private:
  std::mutex mutex;
  std::vector<Run> runs;
};

/// An engine: plain, or with models.
class Engine {
public:
  using Handler = std::function<bool(Engine &, Channel &, const Message &)>;

  Engine(std::string id, std::string service, Runs &runs, std::vector<std::string> models);
  /// Registration in the store.
  std::string entry(const std::string &state) const;
  /// Response to a request that ran to its end.
  static std::string response(const Message &request, const std::string &body,
                              const std::string &moreFields = "");
  void addRun(const Message &request);

  const std::string id;
  const std::string service;
  std::atomic<double> workSeconds{0.03};
  /// Crashes: all channels are reset, and so are new ones until startAgain().
  void crash();
  /// Starts again under the same id, without models, at a version of the software.
  void startAgain(const std::string &newVersion);
  std::string softwareVersion();
  std::set<std::string> heldModels();
  /// Number of the lifetime: rises with each crash.
  int lifetime() const { return epoch; }
  /// Serves a request of a client in place of the default. Returns false to close the connection.
  Handler handler;
  int port() const { return server->port(); }

private:
  void serve(Channel &channel);
  std::string report();
  std::string order(const Message &request);
  std::string modelList() const;
  Runs &runs;
  mutable std::mutex mutex; ///< guards the members below
  std::set<std::string> models;
  std::string version = "v1";
  std::uint64_t born = 0;
  std::uint64_t highestToken = 0;
  int sequence = 0;
  double busyUntil = 0;
  std::string loading; ///< model that is being loaded; empty if none is
  std::atomic<int> epoch{0};
  std::atomic<bool> down{false};
  std::unique_ptr<Server> server;
};

// ---- Hosts -------------------------------------------------------------------------------------

/// One host: a process of the deploy file's program.
class Host {
public:
  Host(const std::string &name, int firstPort, int storePort, const std::string &directory);
  ~Host();
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;
  void start();
  void signal(int number) const;
  /// Waits until the process has ended, at most for some seconds. Returns true if it has.
  bool waitForEnd(double seconds);
  bool isReady() const;
  std::string lastLogLine() const;
  int port() const { return firstPort; }
  const std::string name;
  pid_t pid = -1;

private:
  int firstPort;
  std::string settings;
  std::string log;
};

/// Returns a port such that some ports from it on are free.
int freePorts(int count);

/// A store, engines and hosts.
struct Deployment {
  Deployment(int hosts, int plainEngines, int modelEngines);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  /// Waits until all hosts are ready. Exits with 2 if they are not in time.
  void waitUntilReady();
  void writeConfig(int version);
  void registerEngine(const Engine &engine, const std::string &state);

  Store store;
  Runs runs;
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<Host>> hosts;
  /// For each host: whether the store turns it away.
  std::vector<std::shared_ptr<std::atomic<bool>>> turnedAway;
  std::string directory;
};

/// Clients that send requests that may run once on channels that they keep, one after the other.
class KeptClients {
public:
  /// `perHost` clients for each host, until `end`.
  KeptClients(Deployment &deployment, int perHost, double end);
  void join();
  /// Records the requests that a host passed on to an engine other than `faulty`, and whose kept
  /// channel it closed without an answer. Returns their number.
  int recordLost(const std::string &faulty = "");
  std::atomic<int> answered{0};

private:
  struct Closed {
    std::string id;
    std::string host;
  };
  void runClient(int port, const std::string &host, double end);
  Deployment &deployment;
  std::mutex mutex;
  std::vector<Closed> closed;
  std::vector<std::thread> threads;
};

/// A new id of a request.
std::string newId();
std::string request(const std::string &method, const std::string &target, const std::string &id,
                    const std::string &body, int deadlineMs, const std::string &moreFields = "");

} // namespace rig
