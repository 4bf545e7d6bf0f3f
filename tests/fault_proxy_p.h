#pragma once

#include "types_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <set>

/// A TCP proxy on loopback that disturbs the connections through it. All members run on the thread
/// of the io_context.
namespace catkin::platform {

namespace asio = boost::asio;

struct ProxyFaults {
  Duration delay{};           ///< of each piece, both ways
  bool refuse = false;        ///< new connections are reset
  bool blackholeUp = false;   ///< nothing reaches the target any more
  bool blackholeDown = false; ///< nothing comes back any more
};

class FaultProxy : public std::enable_shared_from_this<FaultProxy> {
public:
  FaultProxy(asio::io_context &io, Address target);
  /// Listens on a port of the system's choice.
  void start();
  Address address() const;
  /// A connection that was mute once stays so: what it has swallowed cannot come later.
  void setFaults(const ProxyFaults &now) { faults = now; }
  /// Resets all connections.
  void resetAll();
  /// Nothing passes through the connections of now any more; new ones work.
  void blackholeAll();

private:
  class Session;
  void accept();

  asio::io_context &io;
  Address target;
  asio::ip::tcp::acceptor acceptor;
  ProxyFaults faults;
  std::set<std::weak_ptr<Session>, std::owner_less<>> sessions;
};

} // namespace catkin::platform
