#pragma once

#include "env_p.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Objects of the platform stand-in: versions and conditional updates. No clocks or sockets.
namespace catkin::standin {

class ObjectStore {
public:
  /// Values up to this size are accepted.
  static constexpr std::size_t MaxValueBytes = 1000 * 1000;

  std::optional<StoreObject> get(const std::string &key) const;
  std::vector<StoreObject> list(const std::string &prefix) const;
  /// Writes if the current version is `expected` (0: only if absent). The result carries the new
  /// version, or on Conflict the current one.
  std::pair<StoreStatus, std::uint64_t> put(const std::string &key, std::string value,
                                            std::uint64_t expected);
  std::pair<StoreStatus, std::uint64_t> erase(const std::string &key, std::uint64_t expected);
  std::size_t size() const { return objects.size(); }

private:
  std::uint64_t versionOf(const std::string &key) const;

  std::map<std::string, StoreObject> objects;
  std::uint64_t lastVersion = 0; // shared by all keys, so that no key's version repeats
};

/// Calls allowed per second, with a burst of one second's worth.
class CallBudget {
public:
  explicit CallBudget(double perSecond) : rate(perSecond), tokens(perSecond) {}
  bool tryConsume(Instant at);

private:
  double rate;
  double tokens;
  Instant lastRefill = Instant::min();
};

} // namespace catkin::standin
