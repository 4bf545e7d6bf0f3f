#pragma once

#include "http_deadlines_p.h"
#include "types_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// Idle connections of an HTTP client, by address.
namespace catkin {

/// Bounds of a ConnectionPool.
struct ConnectionPoolOptions {
  /// To all addresses, idle or in use. Idle ones are closed to make room; those in use are not
  /// bounded.
  std::size_t maxConnections = 4096;
  std::size_t maxIdlePerAddress = 64;
  /// Pause between two checks of the addresses that are not in use.
  Duration checkInterval = std::chrono::seconds(1);
};

/// Keeps connections for reuse. Those to servers that have gone are closed, also if their address
/// is never used again. May be used from any thread.
class ConnectionPool {
public:
  /// Shorter than the server's idle timeout, so that the server rarely closes a connection that the
  /// client is about to reuse.
  static constexpr Duration MaxIdleTime = std::chrono::seconds(30);

  explicit ConnectionPool(const ConnectionPoolOptions &options = {}) : options(options) {}

  /// Removes and returns a connection that has been idle for `maxIdle` at most, if there is one.
  std::optional<boost::asio::ip::tcp::socket> acquire(const Address &to, Duration maxIdle);
  /// Stores a connection for reuse while it is idle for less than `limit`.
  void returnIdle(const Address &to, boost::asio::ip::tcp::socket socket, Duration limit);
  /// A connection is in use from now on, or no longer.
  void addInUse();
  void removeInUse();
  /// Closes all idle connections to an address.
  void closeIdle(const Address &to);
  /// Returns the number of idle connections.
  std::size_t size();

private:
  using Clock = ConnectionDeadlines::Clock;
  struct IdleConnection {
    boost::asio::ip::tcp::socket socket;
    Clock::time_point since;
    Duration limit; ///< longest idle time before reuse
  };
  using Connections = std::vector<IdleConnection>; ///< sorted by idle time, longest first
  using ByAddress = std::map<std::string, Connections>;

  void closeExpired(Connections &connections);
  bool closeLongestIdle();
  void makeRoom();
  void checkUnused();

  const ConnectionPoolOptions options;
  std::mutex mutex;      ///< guards the members below
  ByAddress idle;        ///< by "ip:port"
  std::size_t count = 0; ///< of `idle`
  std::size_t inUse = 0;
  Clock::time_point checkedAt;
};

} // namespace catkin
