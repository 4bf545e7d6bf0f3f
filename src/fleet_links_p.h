#pragma once

#include "fleet_messages_p.h"
#include "http_p.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>

/// Sends and receives the messages between hosts of the fleet as UDP datagrams.
namespace catkin {

/// A UDP socket that encodes and decodes fleet messages.
class FleetLinks {
public:
  using Handler = std::function<void(const FleetMessage &, const Address &from)>;

  /// `handler` is called for every valid message.
  FleetLinks(const asio::any_io_executor &executor, Handler handler);
  /// Binds the socket and starts receiving. Empty on success, otherwise the reason.
  std::string start(const Address &listen);
  /// Closes the socket.
  void stop();
  /// Sends the message to each address without blocking. A datagram that cannot be sent at once is
  /// dropped.
  void send(const std::vector<Address> &to, const FleetMessage &message);

private:
  void receive();

  asio::ip::udp::socket socket;
  asio::ip::udp::endpoint sender;
  std::array<char, 64 * 1024> buf{};
  Handler handler;
  std::uint64_t unsentCount = 0; ///< datagrams that could not be sent
};

} // namespace catkin
