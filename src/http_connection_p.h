#pragma once

#include "connection_table_p.h"
#include "http_body_p.h"
#include "http_deadlines_p.h"
#include "http_framing_p.h"
#include "http_p.h"
#include "memory_budget_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

/// One connection of the HTTP server. Private to it.
namespace catkin {

/// State shared by the server and its connections. A connection may outlive the server.
struct HttpServerState {
  HttpServerState(HttpServerOptions o, HttpHandler h)
      : options(std::move(o)), handler(std::move(h)),
        memory(options.memory ? options.memory
                              : std::make_shared<MemoryBudget>(
                                    MemoryBudgetOptions{.limit = options.maxBufferedBytes})),
        connections(options.maxConnections) {}

  const HttpServerOptions options;
  const HttpHandler handler;
  const std::shared_ptr<MemoryBudget> memory;
  ConnectionTable connections;
  std::atomic<bool> draining{false}; ///< connections close after their next response
  std::atomic<bool> stopping{false};
  std::atomic<std::size_t> rejectedConnections{0};
  std::atomic<std::uint64_t> acceptedConnections{0};
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(std::shared_ptr<HttpServerState> state, asio::ip::tcp::socket s);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Serves requests until the connection is closed.
  asio::awaitable<void> run();
  /// Sends a 503 on a connection over the limit and closes it.
  asio::awaitable<void> rejectOverLimit();
  std::uint64_t number() const { return id; }
  /// Returns the function with which the connection table closes this connection.
  ConnectionTable::Close closeFunction();

private:
  friend class ConnectionExchange;
  enum class Phase { Idle, Reading, Handling, Writing };

  void holdMemory();
  std::function<void()> onStrand(void (HttpConnection::*action)());
  void close();
  void closeIf(ConnectionTable::CloseMode mode);
  void releaseIdle();
  void releaseMessage();
  asio::awaitable<bool> waitForRequest();
  asio::awaitable<bool> readRequest();
  asio::awaitable<bool> readHead();
  asio::awaitable<bool> readBody();
  asio::awaitable<bool> reserve(std::size_t bytes);
  asio::awaitable<bool> sendReadError(const boost::system::error_code &ec);
  asio::awaitable<bool> sendError(unsigned status);
  asio::awaitable<bool> handleRequest();
  asio::awaitable<void> linger();
  template <class Operation> asio::awaitable<bool> write(Operation operation);
  void startDeadlines();
  void onExpire();
  void monitorCaller();
  void freeMessage();

  std::shared_ptr<HttpServerState> state;
  const std::uint64_t id;
  asio::ip::tcp::socket socket;
  Address peer;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<ArrivedBody>> parser;
  HeadCheck headCheck{MessageKind::Request};
  HttpRequest request;
  std::shared_ptr<ConnectionDeadlines> deadlines;
  std::optional<MemoryBudget::Holder> ownMemory;     ///< of the connection itself
  std::optional<MemoryBudget::Holder> messageMemory; ///< of the request
  Phase phase = Phase::Idle;
  bool isHeadComplete = false;
  bool reclaimed = false; ///< the memory of a request that arrives is needed for others
  bool expired = false;
  bool disconnected = false;
  bool monitorPending = false;
  std::function<void()> disconnectHandler;
  char peeked = 0;
};

/// Runs one write operation with the write timeout. Returns false if the operation failed or the
/// caller has disconnected.
template <class Operation> asio::awaitable<bool> HttpConnection::write(Operation operation) {
  const Phase previousPhase = phase;
  phase = Phase::Writing;
  deadlines->expireAfter(DeadlineSlot::Progress, state->options.writeTimeout);
  const boost::system::error_code ec = co_await operation(socket);
  deadlines->clear(DeadlineSlot::Progress);
  phase = previousPhase;
  if (ec)
    disconnected = true;
  co_return !disconnected;
}

} // namespace catkin
