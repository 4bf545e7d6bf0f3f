#pragma once

#include "types_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <set>

/// A TCP proxy on loopback that injects faults into the connections through it. All members must
/// be called on the thread of the io_context.
namespace catkin::platform {

namespace asio = boost::asio;

/// The faults that a FaultProxy applies to its connections.
struct ProxyFaults {
  Duration delay{};           ///< added to each forwarded read, in both directions
  bool refuse = false;        ///< new connections are reset
  bool blackholeUp = false;   ///< discard all data to the target
  bool blackholeDown = false; ///< discard all data to the caller
};

/// Forwards connections to `target` and applies the current faults to them.
class FaultProxy : public std::enable_shared_from_this<FaultProxy> {
public:
  FaultProxy(asio::io_context &io, Address target);
  /// Starts to accept connections on a port that the system has chosen.
  void start();
  /// Returns the address that the proxy listens on.
  Address address() const;
  /// Replaces the faults. A direction of a connection that has discarded data keeps discarding:
  /// data that follows a gap would corrupt the byte stream.
  void setFaults(const ProxyFaults &now) { faults = now; }
  /// Resets all open connections.
  void resetAll();
  /// Discards all data on the open connections from now on. New connections work.
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
