#pragma once

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins for the platform, its servers and its clients, on loopback addresses and the real
/// clock, and the processes of the system under review.
namespace rig {

namespace json = boost::json;

/// Seconds since the start of the program.
double seconds();
void sleepSeconds(double s);

/// The file record.txt in the folder of the case. Lines are also printed.
class Record {
public:
  explicit Record(const std::string &path) : out(path) {}
  void line(const std::string &text);

private:
  std::mutex mutex;
  std::ofstream out;
};

struct Endpoint {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string start; ///< request line or status line
  Headers headers;
  std::string body;
  bool complete = false;

  std::string header(std::string_view name) const;
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const;
  int status() const;
};

/// A TCP connection that is closed with the object.
class Socket {
public:
  explicit Socket(int fd = -1) : fd(fd) {}
  ~Socket() { close(); }
  Socket(Socket &&o) noexcept : fd(std::exchange(o.fd, -1)), rest(std::move(o.rest)) {}
  Socket &operator=(Socket &&o) noexcept;
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  /// Connects to an address. The socket is not open if that fails.
  static Socket connectTo(const Endpoint &to);
  bool isOpen() const { return fd >= 0; }
  bool send(std::string_view text);
  /// Reads a request or a response. Its field `complete` tells whether it is whole.
  Message read(double timeoutSeconds);
  /// Reads the head of a response. The response to a HEAD request has nothing else.
  Message readHead(double timeoutSeconds);
  /// Returns all further bytes that arrive within a time.
  std::string readBytes(double timeoutSeconds);
  void close();

private:
  bool fill(double until);

  int fd = -1;
  std::string rest; ///< bytes that have arrived and have not been parsed
};

/// Sends a request on a new connection and reads the response.
Message call(const Endpoint &to, const std::string &text, double timeoutSeconds);
std::string requestText(const std::string &line, const Headers &headers, const std::string &body);
std::string responseText(int status, const Headers &headers, const std::string &body);

/// Serves each connection on a thread of its own. The handler returns false to close it.
class Server {
public:
  using Handler = std::function<bool(Socket &, const Message &)>;
  Server(const std::string &ip, Handler handler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  const Endpoint &address() const { return at; }

private:
  void acceptLoop();

  Endpoint at;
  int listener = -1;
  Handler handler;
  std::atomic<bool> stopped{false};
  std::thread thread;
};

/// The platform's metadata store.
class Store {
public:
  explicit Store(const std::string &ip);
  /// Writes an object without a condition, as the operator or a server does.
  void put(const std::string &kind, const std::string &name, const json::value &content);
  const Endpoint &address() const { return server.address(); }

private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    json::value content;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    bool removed = false;
    json::value object;
  };
  bool handle(Socket &socket, const Message &request);
  std::string respond(const Message &request);
  std::string list(const std::string &kind) const;
  std::string watch(const std::string &kind, std::uint64_t from, double wait);
  std::string write(const Message &request, const std::string &kind, std::string name);
  std::string erase(const std::string &kind, const std::string &name, std::uint64_t expected);
  json::value describe(const std::string &name, const Object &object) const;
  json::value set(const std::string &kind, const std::string &name, const json::value &content);

  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t revision = 1;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::deque<Event> history;
  Server server; // last: its threads use the other members
};

/// A server of an application service. It runs each request that names it, and answers it.
class PlainServer {
public:
  PlainServer(const std::string &ip, std::string id, Record &record);
  json::value entry(const std::string &service, const std::string &zone) const;
  int runs() const { return runCount; }

private:
  bool handle(Socket &socket, const Message &request);

  std::string id;
  std::int64_t born;
  Record &record;
  std::atomic<int> runCount{0};
  Server server;
};

/// A model engine that holds one model and its adapters a1 and a2.
class ModelServer {
public:
  ModelServer(const std::string &ip, std::string id, std::string model, Record &record);
  json::value entry(const std::string &service, const std::string &zone) const;
  int runs() const { return runCount; }
  int invalidOrders() const { return invalidCount; }

private:
  json::object state() const;
  std::string order(const Message &request);
  bool stream(Socket &socket, const Message &request);
  bool handle(Socket &socket, const Message &request);

  std::string id;
  std::string model;
  std::int64_t born;
  Record &record;
  mutable std::mutex mutex;
  std::vector<std::string> adapters;
  int orders = 0;
  std::atomic<int> runCount{0};
  std::atomic<int> invalidCount{0};
  Server server;
};

/// Sizes of a machine, as in the site file of a small deployment.
struct Machine {
  int memoryMb = 260;
  int descriptors = 4100;
};

/// One machine with the process of the role that the deploy file starts there. The platform kills
/// the process if its memory exceeds that of the machine, and starts it again.
class Host {
public:
  Host(std::string name, std::string ip, std::string zone, Machine machine, Endpoint store,
       std::string folder, Record &record);
  ~Host();
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  bool isReady() const;
  bool waitUntilReady(double timeoutSeconds) const;
  Endpoint callers() const { return {ip, FrontPort}; }
  int kills() const { return killCount; }        ///< because of the memory
  int ownEnds() const { return endCount; }       ///< without a signal of the platform
  int peakMegabytes() const { return peak; }     ///< of all processes so far
  int megabytes() const { return nowMegabytes; } ///< of the process at present

private:
  static constexpr int FrontPort = 18149;
  void startProcess();
  void watch();
  int privateMegabytes() const;

  std::string name;
  std::string ip;
  Machine machine;
  std::string settingsPath;
  std::string logPath;
  Record &record;
  std::atomic<pid_t> pid{-1};
  std::atomic<int> killCount{0};
  std::atomic<int> endCount{0};
  std::atomic<int> peak{0};
  std::atomic<int> nowMegabytes{0};
  std::atomic<bool> stopped{false};
  std::thread thread;
};

/// A small deployment: a store with a configuration, an application server in each zone, two model
/// engines and three hosts.
class Deployment {
public:
  Deployment(const std::string &recordPath, Machine machine);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  bool waitUntilReady();
  /// Sends an ordinary request of the application service to a host. Returns the status; 0 if there
  /// is no whole answer.
  int ask(std::size_t host);

  static constexpr int HeaderBytes = 16384;         ///< `header_bytes` of the configuration
  static constexpr int BodyBytes = 4 * 1024 * 1024; ///< `body_bytes`
  static constexpr const char *HostName = "ficu95.example";
  static constexpr const char *Model = "daka510000";

  Record record;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<PlainServer>> plainServers;
  std::vector<std::unique_ptr<ModelServer>> modelServers;

private:
  std::string folder; ///< of settings and logs, removed at the end
  std::string network;
  std::unique_ptr<Store> store;
  std::atomic<int> lastRequest{0};
};

/// True unless the environment variable TROUBLE is 0.
bool withTrouble();

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

} // namespace rig
