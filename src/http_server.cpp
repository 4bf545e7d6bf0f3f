#include "http_connection_p.h"
#include "real_env_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace catkin {

namespace {

using asio::ip::tcp;
using boost::system::error_code;

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);
// Connections over the limit that are sent a 503 at the same time: this part of the limit, within
// bounds. Further ones are closed.
constexpr std::size_t RejectedShare = 8;
constexpr std::size_t MinRejectedConnections = 4;
constexpr std::size_t MaxRejectedConnections = 64;

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::any_io_executor e, HttpServerOptions options, HttpHandler handler)
      : executor(std::move(e)),
        state(std::make_shared<HttpServerState>(std::move(options), std::move(handler))),
        acceptor(asio::make_strand(executor)), retryTimer(acceptor.get_executor()) {}

  std::string listen();
  asio::awaitable<void> acceptLoop();
  void addConnection(tcp::socket socket);
  void runConnection(const std::shared_ptr<HttpConnection> &connection,
                     const asio::any_io_executor &strand);

  asio::any_io_executor executor;
  std::shared_ptr<HttpServerState> state;
  tcp::acceptor acceptor;
  asio::steady_timer retryTimer;
  Address boundAddress;
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
  auto connection = std::make_shared<HttpConnection>(state, std::move(socket));
  if (state->connections.tryAdd(connection->number(), steadyNow(), connection->closeFunction())) {
    runConnection(connection, strand);
    return;
  }
  const std::size_t maxRejected = std::clamp(state->options.maxConnections / RejectedShare,
                                             MinRejectedConnections, MaxRejectedConnections);
  if (state->rejectedConnections >= maxRejected)
    return;
  ++state->rejectedConnections;
  asio::co_spawn(
      strand, [connection]() { return connection->rejectOverLimit(); }, asio::detached);
}

void HttpServer::Impl::runConnection(const std::shared_ptr<HttpConnection> &connection,
                                     const asio::any_io_executor &strand) {
  asio::co_spawn(
      strand, [connection]() { return connection->run(); },
      [shared = state, id = connection->number()](const std::exception_ptr &) {
        shared->connections.remove(id);
      });
}

HttpServer::HttpServer(asio::any_io_executor executor, HttpServerOptions options,
                       HttpHandler handler)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() {
  stopAccepting();
  impl->state->connections.closeAll(ConnectionTable::CloseMode::Always);
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
  impl->state->connections.closeAll(ConnectionTable::CloseMode::IfIdle);
}

std::size_t HttpServer::connectionCount() const { return impl->state->connections.size(); }

HttpConnectionCounts HttpServer::connectionCounts() const {
  const auto &table = impl->state->connections;
  return {.open = table.size(), .refused = table.refusals(), .evicted = table.evictions()};
}

} // namespace catkin
