#include "http_watch_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <map>
#include <mutex>
#include <optional>

namespace catkin {

namespace {

using asio::ip::tcp;
using boost::system::error_code;

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxResponseHeaderBytes = 32 * 1024;
constexpr std::size_t ReadAheadBytes = 64 * 1024;
constexpr std::size_t MaxIdlePerAddress = 64;
// Shorter than the server's idle timeout, so that the server rarely closes a connection in use.
constexpr auto MaxIdleTime = std::chrono::seconds(30);
// Reuse stops this share of the peer's announced idle timeout before its end.
constexpr double KeepAliveShare = 0.7;
// A peer that has lost the connection's state never answers and never resets it. Probes and unsent
// acknowledgements show that within about three seconds.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UnacknowledgedMs = 2500;
constexpr auto SilenceRecheck = std::chrono::milliseconds(200);

void setOption(tcp::socket &socket, int level, int name, int value) {
  // A socket without the option still works, only slower at noticing a dead peer.
  (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void detectDeadPeer(tcp::socket &socket) {
  setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIdleSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedMs);
}

/// The idle timeout that a response announces, or MaxIdleTime.
Duration idleLimit(const http::response_header<> &head) {
  auto text = head["Keep-Alive"];
  auto at = text.find("timeout=");
  if (at == boost::beast::string_view::npos)
    return MaxIdleTime;
  int seconds = 0;
  auto digits = text.substr(at + std::string_view("timeout=").size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::min<Duration>(MaxIdleTime, fromSeconds(seconds * KeepAliveShare));
}

/// True if a kept connection is open and the peer has sent nothing since its last response.
bool usable(tcp::socket &socket) {
  char byte = 0;
  const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Kept connections by address.
class Pool {
public:
  /// A connection that has been idle for `maxIdle` at most.
  std::optional<tcp::socket> take(const Address &to, Duration maxIdle) {
    const std::lock_guard lock(mutex);
    auto it = idle.find(to.toString());
    if (it == idle.end())
      return std::nullopt;
    dropExpired(it->second);
    while (!it->second.empty()) {
      Kept kept = std::move(it->second.back());
      it->second.pop_back();
      const bool fresh = Watch::Clock::now() - kept.since <= std::min(maxIdle, kept.limit);
      if (fresh && usable(kept.socket))
        return std::move(kept.socket);
    }
    idle.erase(it);
    return std::nullopt;
  }

  void put(const Address &to, tcp::socket socket, Duration limit) {
    const std::lock_guard lock(mutex);
    auto &kept = idle[to.toString()];
    dropExpired(kept);
    if (kept.size() < MaxIdlePerAddress)
      kept.push_back({std::move(socket), Watch::Clock::now(), limit});
  }

  void drop(const Address &to) {
    const std::lock_guard lock(mutex);
    idle.erase(to.toString());
  }

private:
  struct Kept {
    tcp::socket socket;
    Watch::Clock::time_point since;
    Duration limit; ///< longest idle time that the peer allows
  };

  /// The oldest come first.
  static void dropExpired(std::vector<Kept> &kept) {
    const auto limit = Watch::Clock::now() - MaxIdleTime;
    auto it = kept.begin();
    while (it != kept.end() && it->since < limit)
      ++it;
    kept.erase(kept.begin(), it);
  }

  std::mutex mutex;                              // guards idle
  std::map<std::string, std::vector<Kept>> idle; // by "ip:port"
};

/// One request on one connection: the state of HttpClient::request and of a stream.
class Call final : public HttpStream {
public:
  Call(asio::any_io_executor ioExecutor, std::shared_ptr<Pool> pool, Address to,
       HttpTimeouts timeouts, std::function<bool()> mayEndSilence = {})
      : ioExecutor(std::move(ioExecutor)), pool(std::move(pool)), to(std::move(to)),
        timeouts(timeouts), mayEndSilence(std::move(mayEndSilence)), socket(this->ioExecutor),
        buffer(MaxResponseHeaderBytes + ReadAheadBytes) {}
  ~Call() override { finish(); }

  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;

  /// Sends the request and reads the head of the response.
  asio::awaitable<void> start(HttpRequest request, std::optional<std::uint64_t> bodyLimit);
  /// Reads the rest of the body into the parser.
  asio::awaitable<void> readAll();
  HttpResponse releaseResponse() { return parser.release(); }

  HttpStatus status() const override { return state; }
  const http::response_header<> &head() const override { return parser.get().base(); }
  asio::awaitable<std::string> read() override;
  void cancel() override {
    if (!done)
      fail(HttpStatus::Broken);
  }

private:
  asio::awaitable<bool> connect();
  asio::awaitable<bool> send(HttpRequest &request);
  asio::awaitable<bool> readSome();
  void fail(HttpStatus why) {
    if (state == HttpStatus::Ok)
      state = why;
    closeSocket();
  }
  void onError(const error_code &ec);
  void onExpire(WatchSlot slot);
  void finish();
  void closeSocket() {
    error_code ec;
    socket.close(ec);
  }

  asio::any_io_executor ioExecutor;
  std::shared_ptr<Pool> pool;
  Address to;
  HttpTimeouts timeouts;
  std::function<bool()> mayEndSilence; ///< as in StreamHooks
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  std::shared_ptr<Watch> watch;
  HttpStatus state = HttpStatus::Ok;
  std::size_t sent = 0;
  bool kept = false;
  bool done = false;
};

asio::awaitable<void> Call::start(HttpRequest request, std::optional<std::uint64_t> bodyLimit) {
  watch = std::make_shared<Watch>(co_await asio::this_coro::executor,
                                  [this](WatchSlot slot) { onExpire(slot); });
  watch->expireAfter(WatchSlot::Total, timeouts.total);
  request.version(11);
  if (request.find(http::field::host) == request.end())
    request.set(http::field::host, to.toString());
  request.prepare_payload();
  // An eager parser asks for more input before it hands over the pieces already parsed.
  parser.eager(false);
  parser.skip(request.method() == http::verb::head);
  parser.header_limit(MaxResponseHeaderBytes);
  if (bodyLimit)
    parser.body_limit(*bodyLimit);
  else
    parser.body_limit(boost::none);

  for (bool complete = false; !complete && state == HttpStatus::Ok;) {
    const bool connected = co_await connect();
    if (!connected) {
      fail(HttpStatus::NotConnected);
      state = HttpStatus::NotConnected;
      co_return;
    }
    complete = co_await send(request);
  }
  while (state == HttpStatus::Ok && !parser.is_header_done())
    co_await readSome();
  // An interim response would leave the final one behind for the next request.
  if (state == HttpStatus::Ok && parser.get().result_int() < 200)
    fail(HttpStatus::Malformed);
}

/// Takes a kept connection or opens one. False if neither succeeds.
asio::awaitable<bool> Call::connect() {
  if (auto idle = pool->take(to, timeouts.keptIdle)) {
    socket = std::move(*idle);
    kept = true;
    co_return true;
  }
  kept = false;
  socket = tcp::socket(ioExecutor);
  error_code ec;
  const auto ip = asio::ip::make_address_v4(to.ip, ec);
  if (ec)
    co_return false;
  watch->expireAfter(WatchSlot::Progress, timeouts.connect);
  auto [error] = co_await socket.async_connect(tcp::endpoint(ip, to.port), Tuple);
  watch->clear(WatchSlot::Progress);
  if (error || state != HttpStatus::Ok)
    co_return false;
  socket.set_option(tcp::no_delay(true), ec);
  detectDeadPeer(socket);
  co_return true;
}

/// False with state Ok means that a kept connection turned out to be closed before its first byte.
asio::awaitable<bool> Call::send(HttpRequest &request) {
  http::request_serializer<http::string_body> serializer(request);
  while (!serializer.is_done()) {
    watch->expireAfter(WatchSlot::Progress, timeouts.silence);
    auto [ec, n] = co_await http::async_write_some(socket, serializer, Tuple);
    sent += n;
    if (!ec)
      continue;
    if (sent == 0 && kept && state == HttpStatus::Ok)
      co_return false;
    fail(HttpStatus::Broken);
    if (sent == 0)
      state = HttpStatus::NotConnected;
    co_return false;
  }
  co_return true;
}

void Call::onExpire(WatchSlot slot) {
  if (slot == WatchSlot::Total)
    return fail(HttpStatus::Timeout);
  const bool connecting = sent == 0;
  if (!connecting && mayEndSilence && !mayEndSilence())
    return watch->expireAfter(WatchSlot::Progress, SilenceRecheck);
  fail(HttpStatus::Silent);
}

void Call::onError(const error_code &ec) {
  const bool ended = ec == http::error::end_of_stream || ec == http::error::partial_message;
  const bool parse = ec.category() == http::make_error_code(http::error::bad_method).category();
  fail(parse && !ended ? HttpStatus::Malformed : HttpStatus::Broken);
}

/// Reads and parses what arrives next. False on failure, which `state` then names.
asio::awaitable<bool> Call::readSome() {
  if (state != HttpStatus::Ok)
    co_return false;
  watch->expireAfter(WatchSlot::Progress, timeouts.silence);
  auto [ec, n] = co_await http::async_read_some(socket, buffer, parser, Tuple);
  watch->clear(WatchSlot::Progress); // a reader that pauses is not the peer's silence
  if (ec)
    onError(ec);
  if (state != HttpStatus::Ok)
    co_return false;
  if (parser.is_done())
    finish();
  co_return true;
}

asio::awaitable<void> Call::readAll() {
  while (state == HttpStatus::Ok && !parser.is_done())
    co_await readSome();
}

asio::awaitable<std::string> Call::read() {
  while (state == HttpStatus::Ok && parser.get().body().empty() && !parser.is_done())
    co_await readSome();
  std::string piece;
  piece.swap(parser.get().body()); // also what arrived before a failure
  co_return piece;
}

/// Gives the connection back if the response was read to its end, otherwise closes it.
void Call::finish() {
  if (done)
    return;
  done = true;
  if (watch)
    watch->stop();
  // After an interim response, the final one would be taken for the answer to the next request.
  const bool isFinal = parser.is_header_done() && parser.get().result_int() >= 200;
  const bool whole = state == HttpStatus::Ok && parser.is_done();
  if (whole && isFinal && parser.keep_alive() && buffer.size() == 0)
    pool->put(to, std::move(socket), idleLimit(parser.get().base()));
  else
    closeSocket();
}

} // namespace

struct HttpClient::Impl {
  explicit Impl(asio::any_io_executor e) : executor(std::move(e)) {}
  asio::any_io_executor executor;
  std::shared_ptr<Pool> pool = std::make_shared<Pool>();
};

HttpClient::HttpClient(asio::any_io_executor executor)
    : impl(std::make_shared<Impl>(std::move(executor))) {}

HttpClient::~HttpClient() = default;

asio::awaitable<HttpResult> HttpClient::request(Address to, HttpRequest request,
                                                HttpTimeouts timeouts, std::size_t maxBodyBytes) {
  Call call(impl->executor, impl->pool, std::move(to), timeouts);
  co_await call.start(std::move(request), maxBodyBytes);
  co_await call.readAll();
  HttpResult result;
  result.status = call.status();
  if (result.status == HttpStatus::Ok)
    result.response = call.releaseResponse();
  co_return result;
}

asio::awaitable<std::unique_ptr<HttpStream>>
HttpClient::open(Address to, HttpRequest request, HttpTimeouts timeouts, StreamHooks hooks) {
  auto call = std::make_unique<Call>(impl->executor, impl->pool, std::move(to), timeouts,
                                     std::move(hooks.mayEndSilence));
  if (hooks.started)
    hooks.started(call.get());
  co_await call->start(std::move(request), std::nullopt);
  co_return call;
}

void HttpClient::dropIdle(const Address &to) { impl->pool->drop(to); }

} // namespace catkin
