#include "endpoint_signals_p.h"

#include "config.h"

#include <algorithm>

namespace catkin {

namespace {

// Covers several heartbeats, since some of them may be lost.
constexpr Duration AnnouncementTime = 8 * config::FleetHeartbeat;
// A leaving endpoint stops within seconds or, at worst, minutes.
constexpr Duration LeavingRetention = std::chrono::hours(1);

} // namespace

bool EndpointSignals::onLeaving(const EndpointIncarnation &endpoint, Instant now) {
  return leaving.try_emplace(endpoint, Leaving{.since = now}).second;
}

bool EndpointSignals::onLeavingReportedByHost(const EndpointIncarnation &endpoint, Instant now) {
  return leaving.try_emplace(endpoint, Leaving{.since = now, .reportedByHost = true}).second;
}

bool EndpointSignals::isLeaving(const EndpointIncarnation &endpoint) const {
  return leaving.count(endpoint) > 0;
}

void EndpointSignals::onBackoff(const EndpointName &name, std::uint64_t incarnation,
                                Instant until) {
  auto &backoff = backoffs[name];
  if (backoff.incarnation != incarnation)
    backoff = {.incarnation = incarnation, .until = until};
  backoff.until = std::max(backoff.until, until);
}

Instant EndpointSignals::backoffUntil(const EndpointName &name, std::uint64_t incarnation) const {
  auto it = backoffs.find(name);
  const bool same = it != backoffs.end() && it->second.incarnation == incarnation;
  return same ? it->second.until : Instant{};
}

std::vector<EndpointIncarnation> EndpointSignals::leavingToAnnounce(Instant now) const {
  std::vector<EndpointIncarnation> out;
  for (auto &[endpoint, it] : leaving)
    if (!it.reportedByHost && now - it.since < AnnouncementTime)
      out.push_back(endpoint);
  return out;
}

void EndpointSignals::expire(Instant now) {
  std::erase_if(leaving, [&](auto &it) { return now - it.second.since > LeavingRetention; });
  requestLimits.expire(now);
  std::erase_if(backoffs, [&](auto &it) { return now >= it.second.until; });
}

} // namespace catkin
