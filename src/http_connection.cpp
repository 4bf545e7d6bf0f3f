#include "http_connection_p.h"

#include "http_exchange_p.h"
#include "http_problem_p.h"
#include "http_read_p.h"
#include "real_env_p.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace catkin {

namespace {

using asio::ip::tcp;
using boost::system::error_code;

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadAheadBytes = 16 * 1024; // buffer space beyond the header limit
constexpr std::size_t MaxLingerBytes = 4 * 1024 * 1024;
constexpr auto LingerTime = std::chrono::seconds(1);
// Memory of an open connection without a request: its state, its coroutines and its timer. 1,000
// idle connections took 4.3 MB; those that have served requests may take more.
constexpr std::size_t ConnectionBytes = 8 * 1024;
// A caller that sends less than this has made no progress. Otherwise one that sends a byte now and
// then could keep the memory of its request.
constexpr std::size_t ProgressBytes = 4 * 1024;
// Memory that is being reclaimed is free within a few milliseconds.
constexpr auto ReclaimCheckInterval = std::chrono::milliseconds(10);
constexpr int MaxReclaimChecks = 20;

} // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> state, tcp::socket s)
    : state(std::move(state)), id(++this->state->acceptedConnections), socket(std::move(s)),
      buffer(this->state->options.maxHeaderBytes + ReadAheadBytes) {
  error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  const auto remote = socket.remote_endpoint(ec);
  if (!ec)
    peer = {remote.address().to_string(), remote.port()};
}

HttpConnection::~HttpConnection() {
  if (deadlines)
    deadlines->stop();
}

asio::awaitable<void> HttpConnection::run() {
  auto self = shared_from_this();
  startDeadlines();
  holdMemory();
  bool open = true;
  while (open) {
    open = co_await readRequest();
    if (open)
      open = co_await handleRequest();
  }
  freeMessage();
  deadlines->stop();
  close();
}

asio::awaitable<void> HttpConnection::rejectOverLimit() {
  auto self = shared_from_this();
  startDeadlines();
  co_await sendError(503);
  deadlines->stop();
  close();
  --state->rejectedConnections;
}

void HttpConnection::startDeadlines() {
  deadlines = std::make_shared<ConnectionDeadlines>(socket.get_executor(),
                                                    [this](DeadlineSlot) { this->onExpire(); });
}

void HttpConnection::holdMemory() {
  messageMemory.emplace(*state->memory, MemoryKind::Head,
                        onStrand(&HttpConnection::releaseMessage));
  if (!state->options.memory)
    return;
  ownMemory.emplace(*state->memory, MemoryKind::Connection, onStrand(&HttpConnection::releaseIdle));
  // The connection exists already; connections are bounded by the connection table.
  ownMemory->charge(ConnectionBytes, steadyNow());
}

/// Returns a function that runs `action` on the strand of this connection, from any thread.
std::function<void()> HttpConnection::onStrand(void (HttpConnection::*action)()) {
  return [weak = weak_from_this(), executor = socket.get_executor(), action] {
    asio::post(executor, [weak, action] {
      if (auto self = weak.lock())
        ((*self).*action)();
    });
  };
}

ConnectionTable::Close HttpConnection::closeFunction() {
  return
      [weak = weak_from_this(), executor = socket.get_executor()](ConnectionTable::CloseMode mode) {
        asio::post(executor, [weak, mode] {
          if (auto self = weak.lock())
            self->closeIf(mode);
        });
      };
}

void HttpConnection::closeIf(ConnectionTable::CloseMode mode) {
  const bool isWaiting = phase == Phase::Idle || (phase == Phase::Reading && !isHeadComplete);
  if (mode == ConnectionTable::CloseMode::Always ||
      (mode == ConnectionTable::CloseMode::IfIdle && phase == Phase::Idle) ||
      (mode == ConnectionTable::CloseMode::IfWaiting && isWaiting))
    close();
}

void HttpConnection::close() {
  error_code ec;
  socket.close(ec);
}

/// Gives back the memory of the connection for others, unless a request is in progress.
void HttpConnection::releaseIdle() {
  if (phase == Phase::Idle)
    close();
  else if (ownMemory)
    ownMemory->recordProgress(steadyNow());
}

/// Refuses a request that is still arriving, to give its memory back for others.
void HttpConnection::releaseMessage() {
  if (phase != Phase::Reading) {
    messageMemory->recordProgress(steadyNow());
    return;
  }
  reclaimed = true;
  error_code ec;
  socket.shutdown(tcp::socket::shutdown_receive, ec);
}

/// Aborts the pending operation. While a request is read, only the receiving side is shut down, so
/// that a 408 can still be sent.
void HttpConnection::onExpire() {
  expired = true;
  error_code ec;
  if (phase == Phase::Reading)
    socket.shutdown(tcp::socket::shutdown_receive, ec);
  else
    close();
}

/// Reserves memory for the request. Waits for a moment if that of others is being reclaimed.
/// Returns false if there is none.
asio::awaitable<bool> HttpConnection::reserve(std::size_t bytes) {
  for (int i = 0; i < MaxReclaimChecks && !reclaimed && !expired; ++i) {
    const auto outcome = messageMemory->resize(bytes, steadyNow());
    if (outcome != MemoryBudget::Outcome::Reclaiming)
      co_return outcome == MemoryBudget::Outcome::Granted;
    asio::steady_timer timer(socket.get_executor(), ReclaimCheckInterval);
    co_await timer.async_wait(Tuple);
  }
  co_return false;
}

/// Frees the request and gives its memory back.
void HttpConnection::freeMessage() {
  parser.reset();
  std::string().swap(request.body()); // an assignment would keep the capacity
  request = {};
  if (buffer.size() == 0)
    buffer.shrink_to_fit();
  if (messageMemory)
    messageMemory->charge(0, steadyNow());
}

/// Waits for the first byte of a request. Returns false if the connection must be closed.
asio::awaitable<bool> HttpConnection::waitForRequest() {
  phase = Phase::Idle;
  isHeadComplete = false;
  freeMessage();
  const Instant now = steadyNow();
  state->connections.onWaiting(id, now);
  if (ownMemory)
    ownMemory->recordProgress(now);
  if (state->stopping && buffer.size() == 0)
    co_return false;
  if (buffer.size() == 0) {
    deadlines->expireAfter(DeadlineSlot::Progress, state->options.idleTimeout);
    auto [ec] = co_await socket.async_wait(tcp::socket::wait_read, Tuple);
    if (ec)
      co_return false;
  }
  if (ownMemory)
    ownMemory->recordProgress(steadyNow());
  co_return true;
}

/// Reads the next request. Returns false if the connection must be closed.
asio::awaitable<bool> HttpConnection::readRequest() {
  const bool arrives = co_await waitForRequest();
  if (!arrives)
    co_return false;
  phase = Phase::Reading;
  deadlines->expireAfter(DeadlineSlot::Progress, state->options.readTimeout);
  parser.emplace();
  headCheck = HeadCheck(MessageKind::Request);
  parser->eager(false);
  parser->on_chunk_header(checkChunkHeader);
  parser->header_limit(static_cast<std::uint32_t>(state->options.maxHeaderBytes));
  parser->body_limit(state->options.maxBodyBytes);
  const bool hasHead = co_await readHead();
  if (!hasHead)
    co_return false;
  const bool complete = co_await readBody();
  if (!complete)
    co_return false;
  deadlines->clear(DeadlineSlot::Progress);
  messageMemory->setKind(MemoryKind::Request);
  request = toStringMessage(parser->release());
  parser.reset();
  co_return true;
}

/// Reads the head of the request, for which the largest possible one is reserved. Returns false if
/// the connection must be closed.
asio::awaitable<bool> HttpConnection::readHead() {
  messageMemory->setKind(MemoryKind::Head);
  const bool fits = co_await reserve(ownMemory ? buffer.max_size() : 0);
  if (!fits)
    co_return co_await sendError(503);
  while (!parser->is_header_done()) {
    const error_code ec = co_await readPart(socket, buffer, *parser, headCheck);
    if (ec || reclaimed)
      co_return co_await sendReadError(ec);
  }
  isHeadComplete = true;
  state->connections.onRequest(id);
  co_return true;
}

/// Reads the body of the request. Returns false if the connection must be closed.
asio::awaitable<bool> HttpConnection::readBody() {
  messageMemory->setKind(MemoryKind::Upload);
  // The read buffer, and the fields that the parser has copied from it.
  const std::size_t headBytes = ownMemory ? 2 * buffer.capacity() : 0;
  std::size_t counted = parser->content_length().value_or(0);
  bool fits = co_await reserve(headBytes + counted);
  if (!fits)
    co_return co_await sendError(503);
  auto &body = parser->get().body();
  body.reserve(counted); // growing it in steps would take up to twice as much
  if (parser->get()[http::field::expect] == "100-continue" && !parser->is_done()) {
    const std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    auto [ec, n] = co_await asio::async_write(socket, asio::buffer(proceed), Tuple);
    if (ec)
      co_return false;
  }
  std::size_t reported = 0;
  while (!parser->is_done()) {
    const error_code ec = co_await readPart(socket, buffer, *parser, headCheck);
    if (ec || reclaimed)
      co_return co_await sendReadError(ec);
    // A chunked body has no announced length, so it is counted as it arrives.
    if (body.size() > counted) {
      counted = std::max(body.size(), body.capacity());
      fits = co_await reserve(headBytes + counted);
      if (!fits)
        co_return co_await sendError(503);
    }
    if (body.size() >= reported + ProgressBytes) {
      reported = body.size();
      messageMemory->recordProgress(steadyNow());
    }
  }
  co_return true;
}

/// Sends the response to a failed read. Always returns false.
asio::awaitable<bool> HttpConnection::sendReadError(const error_code &ec) {
  co_return co_await sendError(reclaimed ? 503 : errorStatus(ec, expired));
}

/// Sends an error response, unless `status` is 0, and waits briefly for the caller to read it.
/// Always returns false, because the connection must be closed.
asio::awaitable<bool> HttpConnection::sendError(unsigned status) {
  buffer.clear();
  freeMessage();
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
asio::awaitable<void> HttpConnection::linger() {
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
asio::awaitable<bool> HttpConnection::handleRequest() {
  phase = Phase::Handling;
  monitorCaller();
  ConnectionExchange exchange(*this);
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
void HttpConnection::monitorCaller() {
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

} // namespace catkin
