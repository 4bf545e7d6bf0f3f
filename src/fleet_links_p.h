#pragma once

#include "fleet_messages_p.h"
#include "http_p.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>

/// Datagrams between hosts of the fleet.
namespace catkin {

class FleetLinks {
public:
  using Handler = std::function<void(const FleetMessage &, const Address &from)>;

  FleetLinks(const asio::any_io_executor &executor, Handler handler);
  /// Binds and starts receiving. Empty on success, otherwise the reason.
  std::string start(const Address &listen);
  void stop();
  /// Sends without waiting; a datagram that cannot be sent now is lost.
  void send(const std::vector<Address> &to, const FleetMessage &message);

private:
  void receive();

  asio::ip::udp::socket socket;
  asio::ip::udp::endpoint sender;
  std::array<char, 64 * 1024> buf{};
  Handler handler;
  std::uint64_t unsentCount = 0;
};

} // namespace catkin
