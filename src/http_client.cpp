#include "connection_pool_p.h"
#include "http_body_p.h"
#include "http_deadlines_p.h"
#include "http_read_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace catkin {

namespace {

using asio::ip::tcp;
using boost::system::error_code;

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxResponseHeaderBytes = 32 * 1024;
constexpr std::size_t ReadAheadBytes = 64 * 1024;
// A connection is reused only within this share of the idle timeout that the peer has announced.
constexpr double IdleTimeoutShare = 0.7;
// A peer that has lost the state of the connection may neither respond nor reset the connection.
// Keep-alive probes and missing acknowledgements reveal that within about three seconds.
constexpr int TcpKeepAliveSeconds = 1;
constexpr int TcpKeepAliveProbes = 2;
constexpr int TcpUserTimeoutMs = 2500;
constexpr auto RequestTakenCheckInterval = std::chrono::milliseconds(5);
constexpr unsigned MinFinalStatus = 200;
constexpr unsigned MaxStatus = 599;
constexpr auto SilenceRecheckInterval = std::chrono::milliseconds(200);

void setOption(tcp::socket &socket, int level, int name, int value) {
  // Without the option the socket still works, but detects a dead peer later.
  (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void detectDeadPeer(tcp::socket &socket) {
  setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, TcpKeepAliveSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, TcpKeepAliveSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, TcpKeepAliveProbes);
  setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, TcpUserTimeoutMs);
}

/// Returns how long the connection of a response may stay idle and still be reused: a share of the
/// timeout in the Keep-Alive header, at most ConnectionPool::MaxIdleTime.
Duration announcedIdleTimeout(const http::response_header<> &head) {
  auto text = head["Keep-Alive"];
  auto at = text.find("timeout=");
  if (at == boost::beast::string_view::npos)
    return ConnectionPool::MaxIdleTime;
  int seconds = 0;
  auto digits = text.substr(at + std::string_view("timeout=").size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::min<Duration>(ConnectionPool::MaxIdleTime, fromSeconds(seconds * IdleTimeoutShare));
}

/// Returns true, once, if the connection has been reset or has failed otherwise.
bool hasError(tcp::socket &socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  return ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
         error != 0;
}

/// Returns true if the peer has acknowledged all that was sent, or if that is not known.
bool hasTakenRequest(tcp::socket &socket) {
  int unacknowledged = 0;
  const bool isKnown = ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
  return !isKnown || unacknowledged == 0;
}

/// State of one request on one connection, for both HttpClient::request and HttpClient::open.
class Call final : public HttpStream {
public:
  Call(asio::any_io_executor ioExecutor, std::shared_ptr<ConnectionPool> pool, Address to,
       HttpTimeouts timeouts, StreamHooks hooks = {})
      : ioExecutor(std::move(ioExecutor)), pool(std::move(pool)), to(std::move(to)),
        timeouts(timeouts), hooks(std::move(hooks)), parser(std::in_place),
        socket(this->ioExecutor), buffer(MaxResponseHeaderBytes + ReadAheadBytes) {}
  ~Call() override { finish(); }

  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;

  /// Sends the request and reads the head of the response.
  asio::awaitable<void> start(HttpRequest request, std::optional<std::uint64_t> bodyLimit);
  /// Reads the rest of the body into the parser.
  asio::awaitable<void> readAll();
  HttpResponse releaseResponse() { return toStringMessage(parser->release()); }

  HttpTransferStatus status() const override { return state; }
  const http::response_header<> &head() const override { return parser->get().base(); }
  asio::awaitable<std::string> read() override;
  bool isOnReusedConnection() const override { return reused; }
  bool keepsConnection() const override { return parser->keep_alive(); }
  void release() override { finish(); }
  asio::awaitable<bool> sendFurther(HttpRequest request) override;
  asio::awaitable<bool> readNextHead() override;
  void cancel() override {
    if (!finished)
      fail(HttpTransferStatus::Broken);
  }

private:
  asio::awaitable<bool> connect();
  asio::awaitable<bool> send(HttpRequest &request);
  asio::awaitable<void> readHead();
  void prepareRequest(HttpRequest &request) const;
  void resetParser(std::optional<std::uint64_t> bodyLimit);
  asio::awaitable<bool> readSome();
  asio::awaitable<void> awaitRequestTaken();
  void fail(HttpTransferStatus reason) {
    if (state == HttpTransferStatus::Ok)
      state = reason;
    closeSocket();
  }
  void onError(const error_code &ec);
  void onExpire(DeadlineSlot slot);
  void finish();
  void closeSocket() {
    error_code ec;
    socket.close(ec);
  }

  asio::any_io_executor ioExecutor;
  std::shared_ptr<ConnectionPool> pool;
  Address to;
  HttpTimeouts timeouts;
  StreamHooks hooks;
  std::optional<http::response_parser<ArrivedBody>> parser; ///< of the current response
  HeadCheck headCheck{MessageKind::Response};
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::shared_ptr<ConnectionDeadlines> deadlines;
  HttpTransferStatus state = HttpTransferStatus::Ok;
  std::size_t sent = 0;
  bool isOutOfStep = false; ///< it is not known how many responses are still to come
  bool reused = false;
  bool isCounted = false; ///< by the pool as in use
  bool finished = false;
};

asio::awaitable<void> Call::start(HttpRequest request, std::optional<std::uint64_t> bodyLimit) {
  deadlines = std::make_shared<ConnectionDeadlines>(co_await asio::this_coro::executor,
                                                    [this](DeadlineSlot slot) { onExpire(slot); });
  deadlines->expireAfter(DeadlineSlot::Total, timeouts.total);
  prepareRequest(request);
  resetParser(bodyLimit);
  parser->skip(request.method() == http::verb::head);
  for (bool complete = false; !complete && state == HttpTransferStatus::Ok;) {
    const bool connected = co_await connect();
    if (!connected) {
      fail(HttpTransferStatus::NotConnected);
      state = HttpTransferStatus::NotConnected;
      co_return;
    }
    complete = co_await send(request);
  }
  // A request that has been sent is not sent again on this call.
  std::string().swap(request.body());
  if (hooks.requestSent)
    hooks.requestSent();
  co_await readHead();
}

void Call::prepareRequest(HttpRequest &request) const {
  request.version(11);
  if (request.find(http::field::host) == request.end())
    request.set(http::field::host, to.toString());
  request.prepare_payload();
}

void Call::resetParser(std::optional<std::uint64_t> bodyLimit) {
  parser.emplace();
  headCheck = HeadCheck(MessageKind::Response);
  // An eager parser waits for more input before it delivers the pieces that it has parsed.
  parser->eager(false);
  parser->on_chunk_header(checkChunkHeader);
  parser->header_limit(MaxResponseHeaderBytes);
  if (bodyLimit)
    parser->body_limit(*bodyLimit);
  else
    parser->body_limit(boost::none);
}

asio::awaitable<void> Call::readHead() {
  while (state == HttpTransferStatus::Ok && !parser->is_header_done())
    co_await readSome();
  // After an interim response, the next request would read the final response as its own. A status
  // of another class than the five of HTTP does not say whether the request has succeeded.
  const unsigned status = parser->get().result_int();
  if (state == HttpTransferStatus::Ok && (status < MinFinalStatus || status > MaxStatus))
    fail(HttpTransferStatus::Malformed);
}

/// The end of the connection is the end of a response without a length. A reset that follows shows
/// that the server has broken off: it comes while the server does not read the rest of the request.
asio::awaitable<void> Call::awaitRequestTaken() {
  asio::steady_timer timer(ioExecutor);
  deadlines->expireAfter(DeadlineSlot::Progress, timeouts.silence);
  bool isReset = hasError(socket);
  while (state == HttpTransferStatus::Ok && !isReset && !hasTakenRequest(socket)) {
    timer.expires_after(RequestTakenCheckInterval);
    co_await timer.async_wait(Tuple);
    isReset = hasError(socket);
  }
  deadlines->clear(DeadlineSlot::Progress);
  if (isReset)
    fail(HttpTransferStatus::Broken);
}

asio::awaitable<bool> Call::sendFurther(HttpRequest request) {
  if (state != HttpTransferStatus::Ok)
    co_return false;
  isOutOfStep = true;
  prepareRequest(request);
  co_return co_await send(request);
}

asio::awaitable<bool> Call::readNextHead() {
  isOutOfStep = true;
  while (state == HttpTransferStatus::Ok && !parser->is_done()) {
    parser->get().body().clear();
    co_await readSome();
  }
  if (state != HttpTransferStatus::Ok || !parser->keep_alive())
    co_return false;
  resetParser(std::nullopt);
  co_await readHead();
  co_return state == HttpTransferStatus::Ok;
}

/// Reuses an idle connection or opens a new one. Returns false if neither succeeds.
asio::awaitable<bool> Call::connect() {
  if (!std::exchange(isCounted, true))
    pool->addInUse();
  if (auto idle = pool->acquire(to, timeouts.maxIdleForReuse)) {
    socket = std::move(*idle);
    reused = true;
    co_return true;
  }
  reused = false;
  socket = tcp::socket(ioExecutor);
  error_code ec;
  const auto ip = asio::ip::make_address_v4(to.ip, ec);
  if (ec)
    co_return false;
  deadlines->expireAfter(DeadlineSlot::Progress, timeouts.connect);
  auto [error] = co_await socket.async_connect(tcp::endpoint(ip, to.port), Tuple);
  deadlines->clear(DeadlineSlot::Progress);
  if (error || state != HttpTransferStatus::Ok)
    co_return false;
  socket.set_option(tcp::no_delay(true), ec);
  detectDeadPeer(socket);
  co_return true;
}

/// Sends the request. Returns false on failure. If `state` is still Ok then, a reused connection
/// was closed before the first byte was sent, and another connection can be tried.
asio::awaitable<bool> Call::send(HttpRequest &request) {
  http::request_serializer<http::string_body> serializer(request);
  while (!serializer.is_done()) {
    deadlines->expireAfter(DeadlineSlot::Progress, timeouts.silence);
    auto [ec, n] = co_await http::async_write_some(socket, serializer, Tuple);
    sent += n;
    if (!ec)
      continue;
    if (sent == 0 && reused && state == HttpTransferStatus::Ok)
      co_return false;
    fail(HttpTransferStatus::Broken);
    if (sent == 0)
      state = HttpTransferStatus::NotConnected;
    co_return false;
  }
  co_return true;
}

void Call::onExpire(DeadlineSlot slot) {
  if (slot == DeadlineSlot::Total)
    return fail(HttpTransferStatus::Timeout);
  const bool connecting = sent == 0;
  if (!connecting && hooks.shouldFailOnSilence && !hooks.shouldFailOnSilence())
    return deadlines->expireAfter(DeadlineSlot::Progress, SilenceRecheckInterval);
  fail(HttpTransferStatus::Silent);
}

void Call::onError(const error_code &ec) {
  const bool isTruncated = ec == http::error::end_of_stream || ec == http::error::partial_message;
  const bool isParseError =
      ec.category() == http::make_error_code(http::error::bad_method).category();
  fail(isParseError && !isTruncated ? HttpTransferStatus::Malformed : HttpTransferStatus::Broken);
}

/// Reads and parses the next bytes. Returns false on failure and sets `state` to the cause.
asio::awaitable<bool> Call::readSome() {
  if (state != HttpTransferStatus::Ok)
    co_return false;
  deadlines->expireAfter(DeadlineSlot::Progress, timeouts.silence);
  const error_code ec = co_await readPart(socket, buffer, *parser, headCheck);
  // A pause of the reader must not count as silence of the peer.
  deadlines->clear(DeadlineSlot::Progress);
  if (ec)
    onError(ec);
  if (state == HttpTransferStatus::Ok && parser->is_done() && parser->need_eof())
    co_await awaitRequestTaken();
  if (state != HttpTransferStatus::Ok)
    co_return false;
  if (parser->is_done() && !hooks.mayReadFurther)
    finish();
  co_return true;
}

asio::awaitable<void> Call::readAll() {
  while (state == HttpTransferStatus::Ok && !parser->is_done())
    co_await readSome();
}

asio::awaitable<std::string> Call::read() {
  while (state == HttpTransferStatus::Ok && parser->get().body().empty() && !parser->is_done())
    co_await readSome();
  std::string piece;
  piece.swap(parser->get().body()); // includes bytes that arrived before a failure
  co_return piece;
}

/// Returns the connection to the pool if the whole response was read and no other one may come,
/// otherwise closes it.
void Call::finish() {
  if (finished)
    return;
  finished = true;
  if (isCounted)
    pool->removeInUse();
  if (deadlines)
    deadlines->stop();
  // After an interim response, the next request would read the final response as its own.
  const bool isFinal = parser->is_header_done() && parser->get().result_int() >= 200;
  const bool isComplete = state == HttpTransferStatus::Ok && parser->is_done() && !isOutOfStep;
  if (isComplete && isFinal && parser->keep_alive() && buffer.size() == 0)
    pool->returnIdle(to, std::move(socket), announcedIdleTimeout(parser->get().base()));
  else
    closeSocket();
}

} // namespace

struct HttpClient::Impl {
  Impl(asio::any_io_executor e, std::size_t maxConnections)
      : executor(std::move(e)), pool(std::make_shared<ConnectionPool>(
                                    ConnectionPoolOptions{.maxConnections = maxConnections})) {}
  asio::any_io_executor executor;
  std::shared_ptr<ConnectionPool> pool;
};

HttpClient::HttpClient(asio::any_io_executor executor, std::size_t maxConnections)
    : impl(std::make_shared<Impl>(std::move(executor), maxConnections)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<HttpResult> HttpClient::request(Address to, HttpRequest request,
                                                HttpTimeouts timeouts, std::size_t maxBodyBytes) {
  Call call(impl->executor, impl->pool, std::move(to), timeouts);
  co_await call.start(std::move(request), maxBodyBytes);
  co_await call.readAll();
  HttpResult result;
  result.status = call.status();
  if (result.status == HttpTransferStatus::Ok)
    result.response = call.releaseResponse();
  co_return result;
}

asio::awaitable<std::unique_ptr<HttpStream>>
HttpClient::open(Address to, HttpRequest request, HttpTimeouts timeouts, StreamHooks hooks) {
  auto call = std::make_unique<Call>(impl->executor, impl->pool, std::move(to), timeouts, hooks);
  if (hooks.started)
    hooks.started(call.get());
  co_await call->start(std::move(request), std::nullopt);
  co_return call;
}

void HttpClient::closeIdleConnections(const Address &to) { impl->pool->closeIdle(to); }

} // namespace catkin
