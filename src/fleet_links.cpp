#include "fleet_links_p.h"

#include "json_p.h"
#include "log_p.h"

namespace catkin {

using asio::ip::udp;
using boost::system::error_code;

FleetLinks::FleetLinks(const asio::any_io_executor &executor, Handler handler)
    : socket(executor), handler(std::move(handler)) {}

std::string FleetLinks::start(const Address &listen) {
  error_code ec;
  const auto ip = asio::ip::make_address_v4(listen.ip, ec);
  if (!ec)
    socket.open(udp::v4(), ec);
  if (!ec)
    socket.non_blocking(true, ec);
  if (!ec)
    socket.bind(udp::endpoint(ip, listen.port), ec);
  if (ec)
    return "cannot listen on " + listen.toString() + ": " + ec.message();
  receive();
  return {};
}

void FleetLinks::stop() {
  error_code ec;
  socket.close(ec);
}

void FleetLinks::send(const std::vector<Address> &to, const FleetMessage &message) {
  if (to.empty() || !socket.is_open())
    return;
  const auto text = encodeFleetMessage(message);
  for (auto &it : to) {
    error_code ec;
    const auto ip = asio::ip::make_address_v4(it.ip, ec);
    if (!ec)
      socket.send_to(asio::buffer(text), udp::endpoint(ip, it.port), 0, ec);
    // Every message is repeated, so a dropped one is only counted, and every hundredth is logged.
    if (ec && (unsentCount++ % 100) == 0)
      logLine(LogLevel::Warn, "datagram not sent",
              {{"to", it.toString()}, {"error", ec.message()}, {"total", unsentCount}});
  }
}

void FleetLinks::receive() {
  socket.async_receive_from(asio::buffer(buf), sender, [this](error_code ec, std::size_t n) {
    if (ec == asio::error::operation_aborted || !socket.is_open())
      return;
    if (!ec)
      if (auto message = decodeFleetMessage({buf.data(), n}))
        handler(*message, {sender.address().to_string(), sender.port()});
    receive();
  });
}

} // namespace catkin
