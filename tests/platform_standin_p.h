#pragma once

#include "http_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
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

  int loseAnswers = 0; ///< of the next writes, which are carried out
  bool down = false;   ///< refuses every call

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
  void note(const std::string &kind, bool removed, json::object object);

  struct Object {
    std::uint64_t revision = 0;
    json::value content;
  };
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::deque<Event> history;
  std::uint64_t revision = 0;
};

class StandinEngine {
public:
  StandinEngine(std::string id, std::set<std::string> models)
      : id(std::move(id)), models(std::move(models)) {}
  asio::awaitable<void> handle(HttpExchange &exchange);
  json::object entry(const std::string &state) const;

  const std::string id;
  std::set<std::string> models;
  Address address;
  int runs = 0;
  int cutAfter = 0; ///< events after which the next stream breaks off; 0: never
  std::uint64_t orders = 0;
  std::uint64_t highestTerm = 0;
  std::set<std::string> holders; ///< of accepted orders

private:
  HttpResponse order(const HttpRequest &request);
  asio::awaitable<void> stream(HttpExchange &exchange);
};

/// Store, engines and hosts. Hosts are processes of catkin-platformd; the destructor ends exactly
/// those that it started.
class PlatformCluster {
public:
  PlatformCluster(int hosts, const std::vector<std::set<std::string>> &engines);
  ~PlatformCluster();
  PlatformCluster(const PlatformCluster &) = delete;
  PlatformCluster &operator=(const PlatformCluster &) = delete;

  /// Runs `step` on the thread of the stand-ins and waits for it.
  void run(const std::function<void()> &step);
  void startHost(int n);
  void signalHost(int n, int signal);
  bool hostReady(int n) const;
  bool allReady() const;
  /// Sends a streaming request for `model` to a host.
  HttpResult ask(int host, const std::string &model) const;
  /// Holder and term of the planner's lease in the store.
  std::pair<std::string, std::uint64_t> lease();
  std::vector<std::string> addressesFrom(int host) const;
  void announce(int engine, const std::string &state);

  StandinStore store;
  std::vector<std::unique_ptr<StandinEngine>> engines;

private:
  std::uint16_t port(int offset) const { return static_cast<std::uint16_t>(base + offset); }
  std::string settingsPath(int n) const;

  asio::io_context io;
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::thread thread;
  std::uint16_t base = 0;
  std::string directory;
  std::map<int, pid_t> children;
  mutable std::atomic<int> lastId = 0;
};

} // namespace catkin::platform
