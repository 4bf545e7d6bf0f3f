#pragma once

#include "http_p.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Stand-ins for what the users' platform runs beside the hosts: the object store, model engines
/// and plain endpoints. Each object must be used on one thread only.
namespace catkin::platform {

namespace json = boost::json;

/// Names in the stand-ins' configuration and registrations.
inline constexpr auto StandinModelService = "llm";
inline constexpr auto StandinPlainService = "app";
inline constexpr double StandinModelMegabytes = 60000;

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
  /// Ends the connections of the watches of a kind that wait.
  void cutWatches(const std::string &kind) { ++watchCuts[kind]; }
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
  /// Returns nothing if the watch is cut off.
  asio::awaitable<std::optional<HttpResponse>> watch(const std::string &kind, std::uint64_t from,
                                                     Duration wait);
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
  Kinds lostKinds;                      ///< the state before the newest restore
  std::uint64_t restoredRevision = 0;   ///< of the copy that the newest restore came back from
  std::map<std::string, int> watchCuts; ///< calls of cutWatches() by kind
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
  std::size_t answerBytes = 0; ///< size of the answer to a request; 0: a short one
  std::map<std::string, int> runsById;
  std::map<std::string, HttpRequest> requestsById; ///< the newest of each id that has run
};

} // namespace catkin::platform
