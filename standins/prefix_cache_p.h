#pragma once

#include "types_p.h"

#include <deque>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Prompt-prefix cache of the engine stand-in and its events. No clocks or sockets.
namespace catkin::standin {

struct PrefixCacheOptions {
  std::size_t entries = 256;
  Duration eventLag = std::chrono::seconds(1);
  double eventGap = 0.05; ///< share of events that are never published
  std::uint64_t seed = 1;
};

struct CacheEvent {
  std::uint64_t seq = 0; ///< consecutive, so that a missing one shows as a gap
  Instant at{};
  ModelName model;
  std::uint64_t prefix = 0;
  bool stored = false; ///< false: evicted
};

class PrefixCache {
public:
  explicit PrefixCache(PrefixCacheOptions options);
  /// True if the prefix is cached; makes it the most recently used.
  bool touch(const ModelName &model, std::uint64_t prefix);
  void store(const ModelName &model, std::uint64_t prefix, Instant at);
  /// Events with a number above `after` that are older than the lag.
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
