#include "http_body_p.h"
#include "http_deadlines_p.h"
#include "http_read_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>

namespace catkin {

namespace {

using asio::ip::tcp;
using boost::system::error_code;

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadAheadBytes = 16 * 1024; // buffer space beyond the header limit
constexpr std::size_t MaxLingerBytes = 4 * 1024 * 1024;
constexpr auto LingerTime = std::chrono::seconds(1);
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);
// Connections over the limit that are sent a 503 at the same time. Further ones are closed.
constexpr std::size_t MaxRejectedConnections = 64;

/// Status code of the response to a failed read, or 0 if the connection is closed without one.
unsigned errorStatus(const error_code &ec, bool timedOut) {
  if (timedOut)
    return 408;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    return 431;
  if (ec == http::error::body_limit)
    return 413;
  if (ec == http::error::end_of_stream || ec == http::error::partial_message)
    return 0;
  return ec.category() == http::make_error_code(http::error::bad_method).category() ? 400 : 0;
}

std::string_view errorDetail(unsigned status) {
  switch (status) {
  case 408:
    return "the request did not arrive in time";
  case 413:
    return "the request body is too large";
  case 431:
    return "the request headers are too large";
  case 503:
    return "too many requests are in progress";
  default:
    return "the request is not valid HTTP";
  }
}

/// Limits the memory for the request bodies of all connections of a server. Thread-safe.
class ByteBudget {
public:
  explicit ByteBudget(std::size_t limit) : limit(limit) {}
  /// Reserves `n` bytes. Returns false if that would exceed the limit.
  bool tryReserve(std::size_t n) {
    if (used.fetch_add(n) + n <= limit)
      return true;
    used.fetch_sub(n);
    return false;
  }
  void release(std::size_t n) { used.fetch_sub(n); }

private:
  const std::size_t limit;
  std::atomic<std::size_t> used{0};
};

/// State shared by the server and its connections. A connection may outlive the server.
struct ServerState {
  ServerState(HttpServerOptions o, HttpHandler h)
      : options(std::move(o)), handler(std::move(h)), bodyBudget(options.maxBufferedBytes) {}

  const HttpServerOptions options;
  const HttpHandler handler;
  ByteBudget bodyBudget;
  std::atomic<bool> draining{false}; ///< connections close after their next response
  std::atomic<bool> stopping{false};
  std::atomic<std::size_t> rejectedConnections{0};
  std::atomic<std::uint64_t> acceptedConnections{0};
};

enum class Phase { Idle, Reading, Handling, Writing };

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(std::shared_ptr<ServerState> state, tcp::socket s)
      : state(std::move(state)), id(++this->state->acceptedConnections), socket(std::move(s)),
        buffer(this->state->options.maxHeaderBytes + ReadAheadBytes) {
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    const auto remote = socket.remote_endpoint(ec);
    if (!ec)
      peer = {remote.address().to_string(), remote.port()};
  }

  ~Connection() {
    if (deadlines)
      deadlines->stop();
    releaseBody();
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  asio::awaitable<void> run();
  asio::awaitable<void> rejectOverLimit();
  void closeIfIdle() {
    if (phase == Phase::Idle)
      close();
  }
  void close() {
    error_code ec;
    socket.close(ec);
  }

private:
  friend class Exchange;

  asio::awaitable<bool> readRequest();
  asio::awaitable<bool> readBody();
  asio::awaitable<bool> sendError(unsigned status);
  asio::awaitable<bool> handleRequest();
  asio::awaitable<void> linger();
  template <class Operation> asio::awaitable<bool> write(Operation operation);
  void startDeadlines();
  void onExpire();
  void monitorCaller();
  bool reserveBody(std::size_t n);
  void releaseBody();

  std::shared_ptr<ServerState> state;
  const std::uint64_t id;
  tcp::socket socket;
  Address peer;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<ArrivedBody>> parser;
  HttpRequest request;
  std::shared_ptr<ConnectionDeadlines> deadlines;
  Phase phase = Phase::Idle;
  std::size_t reservedBytes = 0;
  bool expired = false;
  bool disconnected = false;
  bool monitorPending = false;
  std::function<void()> disconnectHandler;
  char peeked = 0;
};

/// The exchange of one request. Exists for the duration of Connection::handleRequest.
class Exchange final : public HttpExchange {
public:
  explicit Exchange(Connection &c) : connection(c), chunked(c.request.version() >= 11) {}

  const HttpRequest &request() const override { return connection.request; }
  Address remoteAddress() const override { return connection.peer; }
  std::uint64_t connectionId() const override { return connection.id; }
  bool isCallerGone() const override { return connection.disconnected; }
  void onCallerGone(const std::function<void()> &handler) override {
    connection.disconnectHandler = handler;
  }
  void abort() override { aborted = true; }

  asio::awaitable<bool> respond(HttpResponse response) override {
    if (responded || aborted)
      co_return false;
    responded = true;
    ended = true;
    setKeepAlive(response);
    response.prepare_payload();
    http::response_serializer<http::string_body> serializer(response);
    const bool headOnly = connection.request.method() == http::verb::head;
    co_return co_await connection.write([&](tcp::socket &s) -> asio::awaitable<error_code> {
      if (headOnly) {
        auto [ec, n] = co_await http::async_write_header(s, serializer, Tuple);
        co_return ec;
      }
      auto [ec, n] = co_await http::async_write(s, serializer, Tuple);
      co_return ec;
    });
  }

  asio::awaitable<bool> startStream(HttpResponse head) override {
    if (responded || aborted)
      co_return false;
    responded = true;
    http::response<http::empty_body> message(std::move(head.base()));
    message.erase(http::field::content_length);
    keepAlive = chunked; // the end of the connection marks the end of an HTTP/1.0 body
    setKeepAlive(message);
    message.chunked(chunked);
    http::response_serializer<http::empty_body> serializer(message);
    co_return co_await connection.write([&](tcp::socket &s) -> asio::awaitable<error_code> {
      auto [ec, n] = co_await http::async_write_header(s, serializer, Tuple);
      co_return ec;
    });
  }

  asio::awaitable<bool> writeChunk(std::string_view data) override {
    if (!responded || ended || aborted)
      co_return false;
    if (data.empty())
      co_return !connection.disconnected; // an empty chunk would end the body
    const asio::const_buffer bytes(data.data(), data.size());
    co_return co_await connection.write([&](tcp::socket &s) -> asio::awaitable<error_code> {
      if (chunked) {
        auto [ec, n] = co_await asio::async_write(s, http::make_chunk(bytes), Tuple);
        co_return ec;
      }
      auto [ec, n] = co_await asio::async_write(s, bytes, Tuple);
      co_return ec;
    });
  }

  asio::awaitable<bool> endStream() override {
    if (!responded || ended || aborted)
      co_return false;
    ended = true;
    if (!chunked)
      co_return !connection.disconnected;
    co_return co_await connection.write([&](tcp::socket &s) -> asio::awaitable<error_code> {
      auto [ec, n] = co_await asio::async_write(s, http::make_chunk_last(), Tuple);
      co_return ec;
    });
  }

  /// True if the connection can serve another request.
  bool isReusable() const { return responded && ended && keepAlive && !aborted; }
  bool needsResponse() const { return !responded && !aborted; }

private:
  /// Sets the HTTP version and the Connection header of a response.
  template <class Message> void setKeepAlive(Message &message) {
    keepAlive = keepAlive && message.keep_alive() && connection.request.keep_alive() &&
                !connection.state->draining && !connection.state->stopping;
    message.version(connection.request.version());
    message.keep_alive(keepAlive);
  }

  Connection &connection;
  const bool chunked;
  bool responded = false;
  bool ended = false;
  bool aborted = false;
  bool keepAlive = true;
};

/// Serves requests until the connection is closed.
asio::awaitable<void> Connection::run() {
  auto self = shared_from_this();
  startDeadlines();
  bool open = true;
  while (open) {
    open = co_await readRequest();
    if (open)
      open = co_await handleRequest();
  }
  releaseBody();
  deadlines->stop();
  close();
}

/// Sends a 503 on a connection over the limit and closes it.
asio::awaitable<void> Connection::rejectOverLimit() {
  auto self = shared_from_this();
  startDeadlines();
  co_await sendError(503);
  deadlines->stop();
  close();
  --state->rejectedConnections;
}

void Connection::startDeadlines() {
  deadlines = std::make_shared<ConnectionDeadlines>(socket.get_executor(),
                                                    [this](DeadlineSlot) { this->onExpire(); });
}

/// Aborts the pending operation. While a request is read, only the receiving side is shut down, so
/// that a 408 can still be sent.
void Connection::onExpire() {
  expired = true;
  error_code ec;
  if (phase == Phase::Reading)
    socket.shutdown(tcp::socket::shutdown_receive, ec);
  else
    close();
}

/// Reserves memory for the body of the request. Returns false if the limit is reached.
bool Connection::reserveBody(std::size_t n) {
  if (!state->bodyBudget.tryReserve(n))
    return false;
  reservedBytes += n;
  return true;
}

void Connection::releaseBody() {
  state->bodyBudget.release(reservedBytes);
  reservedBytes = 0;
}

/// Reads the next request. Returns false if the connection must be closed.
asio::awaitable<bool> Connection::readRequest() {
  phase = Phase::Idle;
  request = {};
  releaseBody();
  if (state->stopping && buffer.size() == 0)
    co_return false;
  if (buffer.size() == 0) {
    deadlines->expireAfter(DeadlineSlot::Progress, state->options.idleTimeout);
    auto [ec] = co_await socket.async_wait(tcp::socket::wait_read, Tuple);
    if (ec)
      co_return false;
  }
  phase = Phase::Reading;
  deadlines->expireAfter(DeadlineSlot::Progress, state->options.readTimeout);
  parser.emplace();
  parser->eager(false);
  parser->on_chunk_header(checkChunkHeader);
  parser->header_limit(static_cast<std::uint32_t>(state->options.maxHeaderBytes));
  parser->body_limit(state->options.maxBodyBytes);
  while (!parser->is_header_done()) {
    const error_code ec = co_await readPart(socket, buffer, *parser);
    if (ec)
      co_return co_await sendError(errorStatus(ec, expired));
  }
  const bool complete = co_await readBody();
  if (!complete)
    co_return false;
  deadlines->clear(DeadlineSlot::Progress);
  request = toStringMessage(parser->release());
  parser.reset();
  co_return true;
}

/// Reads the body of the request. Returns false if the connection must be closed.
asio::awaitable<bool> Connection::readBody() {
  const auto length = parser->content_length();
  if (!reserveBody(length.value_or(0)))
    co_return co_await sendError(503);
  if (parser->get()[http::field::expect] == "100-continue" && !parser->is_done()) {
    const std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    auto [ec, n] = co_await asio::async_write(socket, asio::buffer(proceed), Tuple);
    if (ec)
      co_return false;
  }
  while (!parser->is_done()) {
    const error_code ec = co_await readPart(socket, buffer, *parser);
    if (ec)
      co_return co_await sendError(errorStatus(ec, expired));
    // A chunked body has no announced length, so it is counted as it arrives.
    const std::size_t arrived = parser->get().body().size();
    if (arrived > reservedBytes && !reserveBody(arrived - reservedBytes))
      co_return co_await sendError(503);
  }
  co_return true;
}

/// Sends an error response, unless `status` is 0, and waits briefly for the caller to read it.
/// Always returns false, because the connection must be closed.
asio::awaitable<bool> Connection::sendError(unsigned status) {
  if (status == 0)
    co_return false;
  auto response = problemResponse(status, RunOutcome::NotRun, errorDetail(status),
                                  std::chrono::seconds(status == 503 ? 1 : 0));
  response.keep_alive(false);
  response.prepare_payload();
  const bool sent = co_await write([&](tcp::socket &s) -> asio::awaitable<error_code> {
    auto [ec, n] = co_await http::async_write(s, response, Tuple);
    co_return ec;
  });
  if (sent)
    co_await linger();
  co_return false;
}

/// Discards what the caller still sends, up to a limit. Closing a socket with unread data resets
/// the connection, and the caller could lose the response before reading it.
asio::awaitable<void> Connection::linger() {
  error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  phase = Phase::Writing;
  deadlines->expireAfter(DeadlineSlot::Progress, LingerTime);
  std::array<char, 8192> scratch{};
  for (std::size_t total = 0; total < MaxLingerBytes;) {
    auto [ec, n] = co_await socket.async_read_some(asio::buffer(scratch), Tuple);
    if (ec)
      break;
    total += n;
  }
}

/// Runs the handler for one request. Returns false if the connection must be closed.
asio::awaitable<bool> Connection::handleRequest() {
  phase = Phase::Handling;
  monitorCaller();
  Exchange exchange(*this);
  bool failed = false;
  try {
    co_await state->handler(exchange);
  } catch (const std::exception &) {
    failed = true;
  }
  disconnectHandler = nullptr;
  if (exchange.needsResponse()) {
    auto response =
        problemResponse(500, RunOutcome::MayHaveRun,
                        failed ? "the request failed inside the server" : "no answer was produced");
    co_await exchange.respond(std::move(response));
  }
  co_return exchange.isReusable() && !disconnected;
}

/// Keeps a read pending that consumes nothing, to detect that the caller closes the connection.
void Connection::monitorCaller() {
  if (monitorPending || buffer.size() > 0)
    return;
  monitorPending = true;
  socket.async_receive(asio::buffer(&peeked, 1), tcp::socket::message_peek,
                       [self = shared_from_this()](error_code ec, std::size_t) {
                         self->monitorPending = false;
                         self->disconnected = self->disconnected || ec;
                         if (self->disconnected && self->disconnectHandler)
                           std::exchange(self->disconnectHandler, nullptr)();
                       });
}

/// Runs one write operation with the write timeout. Returns false if the operation failed or the
/// caller has disconnected.
template <class Operation> asio::awaitable<bool> Connection::write(Operation operation) {
  const Phase previousPhase = phase;
  phase = Phase::Writing;
  deadlines->expireAfter(DeadlineSlot::Progress, state->options.writeTimeout);
  const error_code ec = co_await operation(socket);
  deadlines->clear(DeadlineSlot::Progress);
  phase = previousPhase;
  if (ec)
    disconnected = true;
  co_return !disconnected;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::any_io_executor e, HttpServerOptions options, HttpHandler handler)
      : executor(std::move(e)),
        state(std::make_shared<ServerState>(std::move(options), std::move(handler))),
        acceptor(asio::make_strand(executor)), retryTimer(acceptor.get_executor()) {}

  std::string listen();
  asio::awaitable<void> acceptLoop();
  void addConnection(tcp::socket socket);
  void runConnection(const std::shared_ptr<Connection> &connection,
                     const asio::any_io_executor &strand);
  template <class Action> void forEachConnection(Action action);

  asio::any_io_executor executor;
  std::shared_ptr<ServerState> state;
  tcp::acceptor acceptor;
  asio::steady_timer retryTimer;
  Address boundAddress;
  mutable std::mutex mutex; // guards openConnections
  std::map<Connection *, std::pair<std::weak_ptr<Connection>, asio::any_io_executor>>
      openConnections;
};

/// Opens and binds the listening socket. Returns the reason on failure, otherwise an empty string.
std::string HttpServer::Impl::listen() {
  error_code ec;
  const auto ip = asio::ip::make_address_v4(state->options.listen.ip, ec);
  if (ec)
    return "not an IPv4 address: " + state->options.listen.ip;
  const tcp::endpoint endpoint(ip, state->options.listen.port);
  acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return "cannot listen on " + state->options.listen.toString() + ": " + ec.message();
  boundAddress = {state->options.listen.ip, acceptor.local_endpoint(ec).port()};
  return {};
}

/// Accepts connections until the server stops.
asio::awaitable<void> HttpServer::Impl::acceptLoop() {
  auto self = shared_from_this();
  while (!state->stopping) {
    auto [ec, socket] = co_await acceptor.async_accept(asio::make_strand(executor), Tuple);
    if (!ec) {
      addConnection(std::move(socket));
      continue;
    }
    if (!acceptor.is_open())
      break;
    // The process may be out of file descriptors. Wait until some have been released.
    retryTimer.expires_after(AcceptRetryDelay);
    co_await retryTimer.async_wait(Tuple);
  }
}

/// Runs a new connection, or rejects it if the server is at its connection limit.
void HttpServer::Impl::addConnection(tcp::socket socket) {
  const asio::any_io_executor strand = socket.get_executor();
  auto connection = std::make_shared<Connection>(state, std::move(socket));
  {
    const std::lock_guard lock(mutex);
    if (openConnections.size() < state->options.maxConnections) {
      openConnections.emplace(connection.get(), std::pair(std::weak_ptr(connection), strand));
      runConnection(connection, strand);
      return;
    }
  }
  if (state->rejectedConnections >= MaxRejectedConnections)
    return;
  ++state->rejectedConnections;
  asio::co_spawn(
      strand, [connection]() { return connection->rejectOverLimit(); }, asio::detached);
}

void HttpServer::Impl::runConnection(const std::shared_ptr<Connection> &connection,
                                     const asio::any_io_executor &strand) {
  asio::co_spawn(
      strand, [connection]() { return connection->run(); },
      [self = shared_from_this(), key = connection.get()](const std::exception_ptr &) {
        const std::lock_guard lock(self->mutex);
        self->openConnections.erase(key);
      });
}

/// Posts `action` for every open connection to the strand of that connection.
template <class Action> void HttpServer::Impl::forEachConnection(Action action) {
  const std::lock_guard lock(mutex);
  for (auto &[key, entry] : openConnections)
    asio::post(entry.second, [weak = entry.first, action] {
      if (auto connection = weak.lock())
        action(*connection);
    });
}

HttpServer::HttpServer(asio::any_io_executor executor, HttpServerOptions options,
                       HttpHandler handler)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() {
  stopAccepting();
  impl->forEachConnection([](Connection &c) { c.close(); });
}

std::string HttpServer::start() {
  auto reason = impl->listen();
  if (reason.empty())
    asio::co_spawn(
        impl->acceptor.get_executor(), [self = impl]() { return self->acceptLoop(); },
        asio::detached);
  return reason;
}

Address HttpServer::address() const { return impl->boundAddress; }

void HttpServer::drainConnections() { impl->state->draining = true; }

void HttpServer::stopAccepting() {
  impl->state->stopping = true;
  asio::post(impl->acceptor.get_executor(), [self = impl] {
    error_code ec;
    self->acceptor.close(ec);
    self->retryTimer.cancel();
  });
  impl->forEachConnection([](Connection &c) { c.closeIfIdle(); });
}

std::size_t HttpServer::connectionCount() const {
  const std::lock_guard lock(impl->mutex);
  return impl->openConnections.size();
}

HttpResponse problemResponse(unsigned status, RunOutcome outcome, std::string_view detail,
                             Duration retryAfter) {
  HttpResponse response(static_cast<http::status>(status), 11);
  response.set(http::field::content_type, "application/problem+json");
  if (retryAfter > Duration::zero())
    response.set(http::field::retry_after,
                 std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count()));
  const auto title = http::obsolete_reason(static_cast<http::status>(status));
  response.body() = boost::json::serialize(
      boost::json::object{{"type", "about:blank"},
                          {"title", std::string_view(title.data(), title.size())},
                          {"status", status},
                          {"detail", detail},
                          {"outcome", toString(outcome)}});
  return response;
}

HttpResponse jsonResponse(std::string body) {
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

} // namespace catkin
