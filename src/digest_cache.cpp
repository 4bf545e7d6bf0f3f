#include "digest_cache_p.h"

#include "config.h"

namespace catkin {

namespace {

// Relays send one digest a second, of which one may be lost.
constexpr Duration DirectLifetime = std::chrono::milliseconds(2500);
constexpr Duration ForwardedLifetime = std::chrono::milliseconds(3500);

} // namespace

void DigestCache::onDigests(const FleetDigests &message, Instant now) {
  if (message.forwarded)
    forwardedDigests = {message, now};
  else if (!message.digests.empty())
    directDigests[message.digests.front().dataCentre] = {message, now};
}

std::optional<FleetDigests> DigestCache::digestsToForward(Instant now) const {
  FleetDigests out{.forwarded = true, .digests = {}, .loads = {}};
  LoadTotals loads;
  for (auto &[dataCentre, it] : directDigests) {
    if (now - it.receivedAt >= DirectLifetime)
      continue;
    out.digests.push_back(it.message.digests.front());
    // Heartbeats of the relay carry these, with their present age.
    out.digests.back().crashes.clear();
    catkin::addLoads(it.message.loads, loads);
  }
  out.loads = listLoads(loads);
  return out.digests.empty() ? std::nullopt : std::optional(out);
}

void DigestCache::addLoads(LoadTotals &loads, Instant now) const {
  bool anyDirect = false;
  for (auto &[dataCentre, it] : directDigests) {
    if (now - it.receivedAt >= DirectLifetime)
      continue;
    anyDirect = true;
    catkin::addLoads(it.message.loads, loads);
  }
  if (!anyDirect && forwardedDigests && now - forwardedDigests->receivedAt < ForwardedLifetime)
    catkin::addLoads(forwardedDigests->message.loads, loads);
}

} // namespace catkin
