#pragma once

#include "types_p.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <tuple>
#include <vector>

/// Bounds the connections of callers, so that they never take the descriptors that endpoints, other
/// hosts and the store need.
namespace catkin {

/// The open connections of a server. It has no sockets and no clock: callers pass in functions that
/// close connections, and the time. Thread-safe.
class ConnectionTable {
public:
  /// Which connections an action applies to.
  enum class CloseMode {
    Always,
    IfIdle,   ///< no part of a request has arrived
    IfWaiting ///< no complete head has arrived
  };
  /// Closes a connection soon, from any thread, if `CloseMode` holds then.
  using Close = std::function<void(CloseMode)>;

  /// A connection that has served a request is not closed for a new one before it has been idle for
  /// this long, since its caller may be about to send the next request.
  static constexpr Duration MinIdleTime = std::chrono::seconds(1);

  explicit ConnectionTable(std::size_t limit) : limit(limit) {}

  /// Adds a connection that waits for its first request. At the limit, the one that has waited
  /// longest is closed for it, first those that never sent a request. Returns false if none can be
  /// closed; the new connection must then be refused.
  bool tryAdd(std::uint64_t id, Instant now, Close close);
  /// The connection waits for its next request.
  void onWaiting(std::uint64_t id, Instant now);
  /// The head of a request has arrived.
  void onRequest(std::uint64_t id);
  void remove(std::uint64_t id);
  void closeAll(CloseMode mode);

  std::size_t size() const;
  std::uint64_t refusals() const;  ///< connections refused so far
  std::uint64_t evictions() const; ///< connections closed for new ones so far

private:
  struct Entry {
    Instant waitingSince;
    bool hasSentRequest = false;
    bool isClosing = false;
    Close close;
  };
  Close makeRoom(Instant now);
  void stopWaiting(std::uint64_t id, Entry &entry);

  const std::size_t limit;
  mutable std::mutex mutex; // guards all of the following
  std::map<std::uint64_t, Entry> entries;
  /// Connections that wait and are not being closed: whether they have sent a request, since when
  /// they wait, and their ids. The first one is the next to close.
  std::set<std::tuple<bool, Instant, std::uint64_t>> waiting;
  std::size_t closing = 0; ///< connections that were told to close for new ones
  std::uint64_t refused = 0;
  std::uint64_t evicted = 0;
};

} // namespace catkin
