#pragma once

#include "http_p.h"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

/// Common parts of the stand-ins, which simulate external services in tests and demonstrations.
/// Each stand-in runs on one thread, so its state needs no locks.
namespace catkin::standin {

namespace json = boost::json;

/// Time of the steady clock.
Instant now();
asio::awaitable<void> sleepFor(Duration d);

/// Path and query of a request target, percent-decoded.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;
};
/// Splits a request target into path and query.
Target parseTarget(std::string_view text);
/// Parses an unsigned decimal number; returns `fallback` for any other text.
std::uint64_t numberOr(const std::string &text, std::uint64_t fallback);

/// Typed access to the fields of a JSON object. A missing field has the fallback value. A field of
/// the wrong type sets error() and also has the fallback value.
class JsonFields {
public:
  explicit JsonFields(std::string_view body);
  std::string text(std::string_view name, std::string fallback = {});
  double number(std::string_view name, double fallback);
  std::uint64_t count(std::string_view name, std::uint64_t fallback);
  bool flag(std::string_view name, bool fallback);
  /// Text of the first error; empty if all fields read so far had the right type.
  const std::string &error() const { return errorText; }
  const json::object &object() const { return fields; }

private:
  const json::value *find(std::string_view name) const { return fields.if_contains(name); }
  void setError(std::string_view name, std::string_view expected);

  json::object fields;
  std::string errorText;
};

/// A value that readers see with a delay: read() returns the value of `lag` ago.
template <class T> class Lagged {
public:
  explicit Lagged(Duration lag, T initial = {}) : lag(lag) {
    history.emplace_back(Instant::min(), std::move(initial));
  }
  void set(Instant at, T value) {
    // Merges changes that are less than 10 ms apart, which bounds the history.
    if (history.size() > 1 && at - history.back().first < std::chrono::milliseconds(10))
      history.back().second = std::move(value);
    else
      history.emplace_back(at, std::move(value));
    read(at);
  }
  /// Value without the delay.
  const T &latest() const { return history.back().second; }
  const T &read(Instant at) {
    while (history.size() > 1 && history[1].first <= at - lag)
      history.pop_front();
    return history.front().second;
  }

private:
  Duration lag;
  std::deque<std::pair<Instant, T>> history;
};

/// Coroutines that wait for an event named by a key.
class Waiters {
public:
  /// Returns after a notification for the key, or after `d`.
  asio::awaitable<void> wait(const std::string &key, Duration d);
  /// Resumes all coroutines that wait for the key.
  void notify(const std::string &key);
  void notifyAll();

private:
  struct Waiter;
  std::multimap<std::string, std::shared_ptr<Waiter>> waiting;
};

/// Base class of the stand-ins: an HTTP server that calls handle(). Destroy it after its io_context
/// has stopped and before the io_context is destroyed.
class Standin {
public:
  Standin(asio::any_io_executor executor, HttpServerOptions options);
  virtual ~Standin() = default;
  Standin(const Standin &) = delete;
  Standin &operator=(const Standin &) = delete;
  /// Starts to listen. Returns an error text, empty on success.
  std::string start() { return server.start(); }
  Address address() const { return server.address(); }

protected:
  /// Responds to one request.
  virtual asio::awaitable<void> handle(HttpExchange &exchange, const Target &target) = 0;

private:
  asio::awaitable<void> dispatch(HttpExchange &exchange);
  HttpServer server;
};

/// Entry of a stand-in's route table. A path that ends in '/' matches all paths below it.
template <class S> struct Route {
  http::verb verb;
  std::string_view path;
  asio::awaitable<void> (S::*handler)(HttpExchange &, const Target &);
};

/// Sends a problem document (application/problem+json) with the outcome not_run, and Retry-After if
/// `retryAfter` is not 0.
asio::awaitable<void> answerProblem(HttpExchange &exchange, unsigned status,
                                    std::string_view detail,
                                    Duration retryAfter = Duration::zero());
/// Sends a JSON response.
asio::awaitable<void> answerJson(HttpExchange &exchange, const json::object &body,
                                 unsigned status = 200);

/// Runs the handler of the first entry that matches; responds with 404 if there is none.
template <class S, std::size_t N>
asio::awaitable<void> runRoute(S &self, const std::array<Route<S>, N> &routes,
                               HttpExchange &exchange, const Target &target) {
  for (const auto &it : routes) {
    const bool below = it.path.ends_with('/') && target.path.starts_with(it.path);
    if (it.verb == exchange.request().method() && (below || it.path == target.path)) {
      co_await (self.*it.handler)(exchange, target);
      co_return;
    }
  }
  co_await answerProblem(exchange, 404, "no such path");
}

} // namespace catkin::standin
