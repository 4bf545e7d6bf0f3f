#pragma once

#include "types_p.h"

#include <deque>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Prompt-prefix cache of the engine stand-in and its events. Uses no clock and no sockets.
namespace catkin::standin {

/// Settings of PrefixCache.
struct PrefixCacheOptions {
  std::size_t entries = 256;
  Duration eventLag = std::chrono::seconds(1); ///< delay until an event is published
  double eventGap = 0.05;                      ///< share of events that are never published
  std::uint64_t seed = 1;
};

/// Notice that a prefix was stored or evicted.
struct CacheEvent {
  std::uint64_t seq = 0; ///< consecutive, so that readers detect a missing event
  Instant at{};
  ModelName model;
  std::uint64_t prefix = 0;
  bool stored = false; ///< false: evicted
};

/// Least-recently-used cache of prompt prefixes.
class PrefixCache {
public:
  explicit PrefixCache(PrefixCacheOptions options);
  /// Returns whether the prefix is cached, and makes it the most recently used one.
  bool touch(const ModelName &model, std::uint64_t prefix);
  /// Caches a prefix and evicts the least recently used one if the cache is full.
  void store(const ModelName &model, std::uint64_t prefix, Instant at);
  /// Events with a sequence number above `after` that are at least `eventLag` old at `at`.
  std::vector<CacheEvent> events(std::uint64_t after, Instant at) const;

private:
  using Entry = std::pair<ModelName, std::uint64_t>;
  void publish(const Entry &entry, bool stored, Instant at);

  PrefixCacheOptions options;
  std::list<Entry> cached; // least recently used first
  std::deque<CacheEvent> publishedEvents;
  std::uint64_t lastSeq = 0;
  std::mt19937_64 random;
};

} // namespace catkin::standin
