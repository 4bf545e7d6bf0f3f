#pragma once

#include "http_p.h"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

/// Common parts of the stand-ins. Each stand-in runs on one thread, so its state needs no locks.
namespace catkin::standin {

namespace json = boost::json;

/// Current time of the process.
Instant now();
asio::awaitable<void> sleepFor(Duration d);

/// Path and query of a request target, percent-decoded.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;
};
Target parseTarget(std::string_view text);
/// Unsigned decimal number, or `fallback` for any other text.
std::uint64_t numberOr(const std::string &text, std::uint64_t fallback);

/// Typed access to the fields of a JSON body. A missing field gives the fallback; a field of the
/// wrong type sets the error.
class JsonFields {
public:
  explicit JsonFields(std::string_view body);
  std::string text(std::string_view name, std::string fallback = {});
  double number(std::string_view name, double fallback);
  std::uint64_t count(std::string_view name, std::uint64_t fallback);
  bool flag(std::string_view name, bool fallback);
  /// Empty while all fields read so far had the right type.
  const std::string &error() const { return errorText; }
  const json::object &object() const { return fields; }

private:
  const json::value *find(std::string_view name) const { return fields.if_contains(name); }
  void setError(std::string_view name, std::string_view expected);

  json::object fields;
  std::string errorText;
};

/// A value that readers see with a delay, as of `lag` ago.
template <class T> class Lagged {
public:
  explicit Lagged(Duration lag, T initial = {}) : lag(lag) {
    history.emplace_back(Instant::min(), std::move(initial));
  }
  void set(Instant at, T value) {
    // Changes that are close together count as one, which bounds the history.
    if (history.size() > 1 && at - history.back().first < std::chrono::milliseconds(10))
      history.back().second = std::move(value);
    else
      history.emplace_back(at, std::move(value));
    read(at);
  }
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

/// Coroutines that wait for something named by a key.
class Waiters {
public:
  /// Returns when notified or after `d`.
  asio::awaitable<void> wait(const std::string &key, Duration d);
  void notify(const std::string &key);
  void notifyAll();

private:
  struct Waiter;
  std::multimap<std::string, std::shared_ptr<Waiter>> waiting;
};

/// An HTTP server with the stand-in's handler. Destroy it after its context has stopped and before
/// the context is destroyed.
class Standin {
public:
  Standin(asio::any_io_executor executor, HttpServerOptions options);
  virtual ~Standin() = default;
  Standin(const Standin &) = delete;
  Standin &operator=(const Standin &) = delete;
  /// Empty on success, otherwise the reason.
  std::string start() { return server.start(); }
  Address address() const { return server.address(); }

protected:
  virtual asio::awaitable<void> handle(HttpExchange &exchange, const Target &target) = 0;

private:
  asio::awaitable<void> dispatch(HttpExchange &exchange);
  HttpServer server;
};

/// Entry of a stand-in's table of requests. A path that ends in '/' stands for all below it.
template <class S> struct Route {
  http::verb verb;
  std::string_view path;
  asio::awaitable<void> (S::*handler)(HttpExchange &, const Target &);
};

asio::awaitable<void> answerProblem(HttpExchange &exchange, unsigned status,
                                    std::string_view detail,
                                    Duration retryAfter = Duration::zero());
asio::awaitable<void> answerJson(HttpExchange &exchange, const json::object &body,
                                 unsigned status = 200);

/// Runs the handler of the first entry that fits; 404 if there is none.
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
