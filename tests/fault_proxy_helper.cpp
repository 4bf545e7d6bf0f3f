#include "fault_proxy_p.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace catkin::platform {

namespace {

using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t BufferBytes = 4096;

tcp::endpoint toEndpoint(const Address &a) { return {asio::ip::make_address_v4(a.ip), a.port}; }

/// Closes a socket with a TCP reset.
void sendReset(tcp::socket &socket) {
  error_code ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec); // fails only if the socket is already closed
}

} // namespace

/// One connection from a caller and the matching one to the target. Its handlers keep it alive.
class FaultProxy::Session : public std::enable_shared_from_this<FaultProxy::Session> {
public:
  Session(std::shared_ptr<FaultProxy> owner, tcp::socket caller)
      : proxy(std::move(owner)), caller(std::move(caller)), target(proxy->io), up(proxy->io),
        down(proxy->io) {}

  void start() {
    target.async_connect(toEndpoint(proxy->target), [self = shared_from_this()](error_code ec) {
      if (ec)
        return self->resetBoth();
      self->read(self->up);
      self->read(self->down);
    });
  }

  void blackhole() {
    up.blackholed = true;
    down.blackholed = true;
  }

  void resetBoth() {
    sendReset(caller);
    sendReset(target);
  }

private:
  /// One direction of the connection.
  struct Flow {
    explicit Flow(asio::io_context &io) : timer(io) {}
    asio::steady_timer timer;
    std::array<char, BufferBytes> buf{};
    bool blackholed = false;
  };

  tcp::socket &source(const Flow &flow) { return &flow == &up ? caller : target; }
  tcp::socket &sink(const Flow &flow) { return &flow == &up ? target : caller; }
  bool shouldBlackhole(const Flow &flow) const {
    return &flow == &up ? proxy->faults.blackholeUp : proxy->faults.blackholeDown;
  }

  void read(Flow &flow) {
    source(flow).async_read_some(asio::buffer(flow.buf),
                                 [self = shared_from_this(), &flow](error_code ec, std::size_t n) {
                                   flow.blackholed = flow.blackholed || self->shouldBlackhole(flow);
                                   if (!ec)
                                     self->forward(flow, n);
                                   else if (!flow.blackholed)
                                     self->forwardEnd(flow, ec);
                                 });
  }

  void forward(Flow &flow, std::size_t n) {
    if (flow.blackholed)
      return read(flow);
    if (proxy->faults.delay <= Duration::zero())
      return write(flow, n);
    flow.timer.expires_after(proxy->faults.delay);
    flow.timer.async_wait(
        [self = shared_from_this(), &flow, n](error_code) { self->write(flow, n); });
  }

  void write(Flow &flow, std::size_t n) {
    asio::async_write(sink(flow), asio::buffer(flow.buf.data(), n),
                      [self = shared_from_this(), &flow](error_code ec, std::size_t) {
                        if (ec)
                          return self->resetBoth();
                        self->read(flow);
                      });
  }

  /// Forwards the end of one direction: a half-close as a half-close, an error as a reset.
  void forwardEnd(Flow &flow, const error_code &ec) {
    if (ec != asio::error::eof)
      return resetBoth();
    error_code ignored; // the other side may have closed first
    sink(flow).shutdown(tcp::socket::shutdown_send, ignored);
  }

  std::shared_ptr<FaultProxy> proxy;
  tcp::socket caller;
  tcp::socket target;
  Flow up;
  Flow down;
};

FaultProxy::FaultProxy(asio::io_context &io, Address target)
    : io(io), target(std::move(target)), acceptor(io, toEndpoint({"127.0.0.1", 0})) {}

void FaultProxy::start() { accept(); }

Address FaultProxy::address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

void FaultProxy::accept() {
  acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    self->accept();
    if (ec)
      return;
    if (self->faults.refuse)
      return sendReset(socket);
    auto session = std::make_shared<Session>(self, std::move(socket));
    std::erase_if(self->sessions, [](auto &it) { return it.expired(); });
    self->sessions.insert(session);
    session->start();
  });
}

void FaultProxy::resetAll() {
  for (auto &it : sessions)
    if (auto session = it.lock())
      session->resetBoth();
  sessions.clear();
}

void FaultProxy::blackholeAll() {
  for (auto &it : sessions)
    if (auto session = it.lock())
      session->blackhole();
}

} // namespace catkin::platform
