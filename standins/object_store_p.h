#pragma once

#include "env_p.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Objects of the platform stand-in, with versions and conditional updates. Uses no clock and no
/// sockets.
namespace catkin::standin {

/// Map from keys to versioned values.
class ObjectStore {
public:
  /// Larger values are refused.
  static constexpr std::size_t MaxValueBytes = 1000 * 1000;

  std::optional<StoreObject> get(const std::string &key) const;
  std::vector<StoreObject> list(const std::string &prefix) const;
  /// Writes the value if the current version is `expected` (0: no object). Returns the new version,
  /// or on Conflict the current one.
  std::pair<StoreStatus, std::uint64_t> put(const std::string &key, std::string value,
                                            std::uint64_t expected);
  /// Erases the object if its version is `expected`. Returns its last version, or on Conflict the
  /// current one.
  std::pair<StoreStatus, std::uint64_t> erase(const std::string &key, std::uint64_t expected);
  std::size_t size() const { return objects.size(); }

private:
  std::uint64_t versionOf(const std::string &key) const;

  std::map<std::string, StoreObject> objects;
  std::uint64_t lastVersion = 0; // shared by all keys, so that the versions of a key never repeat
};

/// Token bucket that limits calls per second. Its capacity is the calls of one second.
class CallBudget {
public:
  explicit CallBudget(double perSecond) : rate(perSecond), tokens(perSecond) {}
  /// Consumes a token. Returns false if the limit has been reached.
  bool tryConsume(Instant at);

private:
  double rate;
  double tokens;
  Instant lastRefill = Instant::min();
};

} // namespace catkin::standin
