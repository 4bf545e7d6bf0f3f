#include "http_watch_p.h"

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
#include <boost/beast/http/read.hpp>
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
constexpr std::size_t ReadAheadBytes = 16 * 1024; // buffer room beyond the header limit
constexpr std::size_t MaxLingerBytes = 4 * 1024 * 1024;
constexpr auto LingerTime = std::chrono::seconds(1);
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);
constexpr std::size_t MaxRejecting = 64; // connections over the limit that still get a 503

unsigned statusOf(const error_code &ec, bool timedOut) {
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

std::string_view detailOf(unsigned status) {
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

/// Memory for request bodies, shared by all connections of a server.
class ByteBudget {
public:
  explicit ByteBudget(std::size_t limit) : limit(limit) {}
  bool take(std::size_t n) {
    if (used.fetch_add(n) + n <= limit)
      return true;
    used.fetch_sub(n);
    return false;
  }
  void give(std::size_t n) { used.fetch_sub(n); }

private:
  const std::size_t limit;
  std::atomic<std::size_t> used{0};
};

/// State shared by the server and its connections, which may outlive it.
struct Shared {
  Shared(HttpServerOptions o, HttpHandler h)
      : options(std::move(o)), handler(std::move(h)), bodies(options.maxBufferedBytes) {}

  const HttpServerOptions options;
  const HttpHandler handler;
  ByteBudget bodies;
  std::atomic<bool> draining{false}; ///< connections end with their next response
  std::atomic<bool> stopping{false};
  std::atomic<std::size_t> rejecting{0};
  std::atomic<std::uint64_t> accepted{0};
};

enum class Phase { Idle, Reading, Handling, Writing };

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(std::shared_ptr<Shared> shared, tcp::socket s)
      : shared(std::move(shared)), id(++this->shared->accepted), socket(std::move(s)),
        buffer(this->shared->options.maxHeaderBytes + ReadAheadBytes) {
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    const auto remote = socket.remote_endpoint(ec);
    if (!ec)
      peer = {remote.address().to_string(), remote.port()};
  }

  ~Connection() {
    if (watch)
      watch->stop();
    release();
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  asio::awaitable<void> run();
  asio::awaitable<void> reject();
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
  asio::awaitable<bool> refuse(unsigned status);
  asio::awaitable<bool> answer();
  asio::awaitable<void> linger();
  template <class Operation> asio::awaitable<bool> write(Operation operation);
  void startWatch();
  void onExpire();
  void monitorCaller();
  bool reserve(std::size_t n);
  void release();

  std::shared_ptr<Shared> shared;
  const std::uint64_t id;
  tcp::socket socket;
  Address peer;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  HttpRequest request;
  std::shared_ptr<Watch> watch;
  Phase phase = Phase::Idle;
  std::size_t reserved = 0;
  bool expired = false;
  bool gone = false;
  bool monitoring = false;
  std::function<void()> goneHandler;
  char peeked = 0;
};

/// The exchange of one request; lives in the frame of Connection::answer.
class Exchange final : public HttpExchange {
public:
  explicit Exchange(Connection &c) : connection(c), chunked(c.request.version() >= 11) {}

  const HttpRequest &request() const override { return connection.request; }
  Address remote() const override { return connection.peer; }
  std::uint64_t connectionId() const override { return connection.id; }
  bool callerGone() const override { return connection.gone; }
  void onCallerGone(const std::function<void()> &gone) override { connection.goneHandler = gone; }
  void abort() override { aborted = true; }

  asio::awaitable<bool> respond(HttpResponse response) override {
    if (responded || aborted)
      co_return false;
    responded = true;
    ended = true;
    setConnection(response);
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
    keepAlive = chunked; // an HTTP/1.0 body ends with the connection
    setConnection(message);
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
      co_return !connection.gone; // an empty chunk would end the body
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
      co_return !connection.gone;
    co_return co_await connection.write([&](tcp::socket &s) -> asio::awaitable<error_code> {
      auto [ec, n] = co_await asio::async_write(s, http::make_chunk_last(), Tuple);
      co_return ec;
    });
  }

  /// The connection can take another request.
  bool reusable() const { return responded && ended && keepAlive && !aborted; }
  bool needsResponse() const { return !responded && !aborted; }

private:
  template <class Message> void setConnection(Message &message) {
    keepAlive = keepAlive && message.keep_alive() && connection.request.keep_alive() &&
                !connection.shared->draining && !connection.shared->stopping;
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

asio::awaitable<void> Connection::run() {
  auto self = shared_from_this();
  startWatch();
  bool open = true;
  while (open) {
    open = co_await readRequest();
    if (open)
      open = co_await answer();
  }
  release();
  watch->stop();
  close();
}

/// Answers a connection over the limit and closes it.
asio::awaitable<void> Connection::reject() {
  auto self = shared_from_this();
  startWatch();
  co_await refuse(503);
  watch->stop();
  close();
  --shared->rejecting;
}

void Connection::startWatch() {
  watch = std::make_shared<Watch>(socket.get_executor(), [this](WatchSlot) { this->onExpire(); });
}

/// Ends the pending operation. A request that is read too slowly must still get its 408, so only
/// the receiving side is shut down then.
void Connection::onExpire() {
  expired = true;
  error_code ec;
  if (phase == Phase::Reading)
    socket.shutdown(tcp::socket::shutdown_receive, ec);
  else
    close();
}

bool Connection::reserve(std::size_t n) {
  if (!shared->bodies.take(n))
    return false;
  reserved += n;
  return true;
}

void Connection::release() {
  shared->bodies.give(reserved);
  reserved = 0;
}

/// Reads the next request. False if the connection is to be closed.
asio::awaitable<bool> Connection::readRequest() {
  phase = Phase::Idle;
  request = {};
  release();
  if (shared->stopping && buffer.size() == 0)
    co_return false;
  if (buffer.size() == 0) {
    watch->expireAfter(WatchSlot::Progress, shared->options.idleTimeout);
    auto [ec] = co_await socket.async_wait(tcp::socket::wait_read, Tuple);
    if (ec)
      co_return false;
  }
  phase = Phase::Reading;
  watch->expireAfter(WatchSlot::Progress, shared->options.readTimeout);
  parser.emplace();
  parser->header_limit(static_cast<std::uint32_t>(shared->options.maxHeaderBytes));
  parser->body_limit(shared->options.maxBodyBytes);
  auto [ec, n] = co_await http::async_read_header(socket, buffer, *parser, Tuple);
  if (ec)
    co_return co_await refuse(statusOf(ec, expired));
  const bool whole = co_await readBody();
  if (!whole)
    co_return false;
  watch->clear(WatchSlot::Progress);
  request = parser->release();
  parser.reset();
  co_return true;
}

asio::awaitable<bool> Connection::readBody() {
  const auto length = parser->content_length();
  if (!reserve(length.value_or(0)))
    co_return co_await refuse(503);
  if (parser->get()[http::field::expect] == "100-continue" && !parser->is_done()) {
    const std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    auto [ec, n] = co_await asio::async_write(socket, asio::buffer(proceed), Tuple);
    if (ec)
      co_return false;
  }
  auto [ec, n] = co_await http::async_read(socket, buffer, *parser, Tuple);
  if (ec)
    co_return co_await refuse(statusOf(ec, expired));
  // The size of a chunked body is known only now; until then the body limit bounds it.
  if (!length && !reserve(parser->get().body().size()))
    co_return co_await refuse(503);
  co_return true;
}

/// Sends an error response, if `status` is not 0, and waits briefly for the caller to take it.
/// Always false.
asio::awaitable<bool> Connection::refuse(unsigned status) {
  if (status == 0)
    co_return false;
  auto response = problemResponse(status, RunOutcome::NotRun, detailOf(status),
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

/// Discards what the caller still sends. Closing with unread data would reset the connection and
/// could destroy the response before the caller has read it.
asio::awaitable<void> Connection::linger() {
  error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  phase = Phase::Writing;
  watch->expireAfter(WatchSlot::Progress, LingerTime);
  std::array<char, 8192> scratch{};
  for (std::size_t total = 0; total < MaxLingerBytes;) {
    auto [ec, n] = co_await socket.async_read_some(asio::buffer(scratch), Tuple);
    if (ec)
      break;
    total += n;
  }
}

/// Runs the handler. False if the connection is to be closed.
asio::awaitable<bool> Connection::answer() {
  phase = Phase::Handling;
  monitorCaller();
  Exchange exchange(*this);
  bool failed = false;
  try {
    co_await shared->handler(exchange);
  } catch (const std::exception &) {
    failed = true;
  }
  goneHandler = nullptr;
  if (exchange.needsResponse()) {
    auto response =
        problemResponse(500, RunOutcome::MayHaveRun,
                        failed ? "the request failed inside the server" : "no answer was produced");
    co_await exchange.respond(std::move(response));
  }
  co_return exchange.reusable() && !gone;
}

/// Keeps one read pending that consumes nothing, so that a closed connection is noticed.
void Connection::monitorCaller() {
  if (monitoring || buffer.size() > 0)
    return;
  monitoring = true;
  socket.async_receive(asio::buffer(&peeked, 1), tcp::socket::message_peek,
                       [self = shared_from_this()](error_code ec, std::size_t) {
                         self->monitoring = false;
                         self->gone = self->gone || ec;
                         if (self->gone && self->goneHandler)
                           std::exchange(self->goneHandler, nullptr)();
                       });
}

/// Runs one write operation under the write timeout. False if it failed or the caller has gone.
template <class Operation> asio::awaitable<bool> Connection::write(Operation operation) {
  const Phase before = phase;
  phase = Phase::Writing;
  watch->expireAfter(WatchSlot::Progress, shared->options.writeTimeout);
  const error_code ec = co_await operation(socket);
  watch->clear(WatchSlot::Progress);
  phase = before;
  if (ec)
    gone = true;
  co_return !gone;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::any_io_executor e, HttpServerOptions options, HttpHandler handler)
      : executor(std::move(e)),
        shared(std::make_shared<Shared>(std::move(options), std::move(handler))),
        acceptor(asio::make_strand(executor)), retryTimer(acceptor.get_executor()) {}

  std::string listen();
  asio::awaitable<void> accept();
  void admit(tcp::socket socket);
  void start(const std::shared_ptr<Connection> &connection, const asio::any_io_executor &strand);
  template <class Action> void forEach(Action action);

  asio::any_io_executor executor;
  std::shared_ptr<Shared> shared;
  tcp::acceptor acceptor;
  asio::steady_timer retryTimer;
  Address bound;
  mutable std::mutex mutex; // guards open
  std::map<Connection *, std::pair<std::weak_ptr<Connection>, asio::any_io_executor>> open;
};

std::string HttpServer::Impl::listen() {
  error_code ec;
  const auto ip = asio::ip::make_address_v4(shared->options.listen.ip, ec);
  if (ec)
    return "not an IPv4 address: " + shared->options.listen.ip;
  const tcp::endpoint endpoint(ip, shared->options.listen.port);
  acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return "cannot listen on " + shared->options.listen.toString() + ": " + ec.message();
  bound = {shared->options.listen.ip, acceptor.local_endpoint(ec).port()};
  return {};
}

asio::awaitable<void> HttpServer::Impl::accept() {
  auto self = shared_from_this();
  while (!shared->stopping) {
    auto [ec, socket] = co_await acceptor.async_accept(asio::make_strand(executor), Tuple);
    if (!ec) {
      admit(std::move(socket));
      continue;
    }
    if (!acceptor.is_open())
      break;
    // Out of descriptors, for instance: wait until some are free.
    retryTimer.expires_after(AcceptRetryDelay);
    co_await retryTimer.async_wait(Tuple);
  }
}

void HttpServer::Impl::admit(tcp::socket socket) {
  const asio::any_io_executor strand = socket.get_executor();
  auto connection = std::make_shared<Connection>(shared, std::move(socket));
  {
    const std::lock_guard lock(mutex);
    if (open.size() < shared->options.maxConnections) {
      open.emplace(connection.get(), std::pair(std::weak_ptr(connection), strand));
      start(connection, strand);
      return;
    }
  }
  if (shared->rejecting >= MaxRejecting)
    return;
  ++shared->rejecting;
  asio::co_spawn(
      strand, [connection]() { return connection->reject(); }, asio::detached);
}

void HttpServer::Impl::start(const std::shared_ptr<Connection> &connection,
                             const asio::any_io_executor &strand) {
  asio::co_spawn(
      strand, [connection]() { return connection->run(); },
      [self = shared_from_this(), key = connection.get()](const std::exception_ptr &) {
        const std::lock_guard lock(self->mutex);
        self->open.erase(key);
      });
}

/// Runs `action` on every connection, on the connection's own strand.
template <class Action> void HttpServer::Impl::forEach(Action action) {
  const std::lock_guard lock(mutex);
  for (auto &[key, entry] : open)
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
  impl->forEach([](Connection &c) { c.close(); });
}

std::string HttpServer::start() {
  auto reason = impl->listen();
  if (reason.empty())
    asio::co_spawn(
        impl->acceptor.get_executor(), [self = impl]() { return self->accept(); }, asio::detached);
  return reason;
}

Address HttpServer::address() const { return impl->bound; }

void HttpServer::drainConnections() { impl->shared->draining = true; }

void HttpServer::stopAccepting() {
  impl->shared->stopping = true;
  asio::post(impl->acceptor.get_executor(), [self = impl] {
    error_code ec;
    self->acceptor.close(ec);
    self->retryTimer.cancel();
  });
  impl->forEach([](Connection &c) { c.closeIfIdle(); });
}

std::size_t HttpServer::connections() const {
  const std::lock_guard lock(impl->mutex);
  return impl->open.size();
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
