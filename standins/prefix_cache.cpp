#include "prefix_cache_p.h"

#include <algorithm>

namespace catkin::standin {

namespace {

constexpr std::size_t MaxEvents = 4096;

} // namespace

PrefixCache::PrefixCache(PrefixCacheOptions o) : options(o), random(o.seed) {}

bool PrefixCache::touch(const ModelName &model, std::uint64_t prefix) {
  const auto it = std::find(cached.begin(), cached.end(), Entry(model, prefix));
  if (it == cached.end())
    return false;
  cached.splice(cached.end(), cached, it);
  return true;
}

void PrefixCache::store(const ModelName &model, std::uint64_t prefix, Instant at) {
  if (touch(model, prefix))
    return;
  cached.emplace_back(model, prefix);
  publish(cached.back(), true, at);
  if (cached.size() <= options.entries)
    return;
  publish(cached.front(), false, at);
  cached.pop_front();
}

void PrefixCache::publish(const Entry &entry, bool stored, Instant at) {
  ++lastSeq;
  if (std::uniform_real_distribution<double>()(random) < options.eventGap)
    return;
  publishedEvents.push_back({lastSeq, at, entry.first, entry.second, stored});
  if (publishedEvents.size() > MaxEvents)
    publishedEvents.pop_front();
}

std::vector<CacheEvent> PrefixCache::events(std::uint64_t after, Instant at) const {
  std::vector<CacheEvent> found;
  for (const auto &it : publishedEvents)
    if (it.seq > after && it.at <= at - options.eventLag)
      found.push_back(it);
  return found;
}

} // namespace catkin::standin
