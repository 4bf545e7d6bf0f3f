#include "request_limits_p.h"

#include "config.h"

#include <algorithm>
#include <utility>

namespace catkin {

namespace {

// Covers several heartbeats, since some of them may be lost.
constexpr Duration AnnouncementTime = 8 * config::FleetHeartbeat;
// Longer than any message of a limit that has ended is under way.
constexpr Duration EndedRetention = std::chrono::minutes(1);
constexpr Duration NamedRetention = std::chrono::hours(1);

/// Orders observations of the same endpoint. At equal versions, the lower limit is the safer one.
std::pair<std::uint64_t, double> observationOrder(const RequestLimit &limit) {
  constexpr double NoLimit = 1e18;
  return {limit.version, -limit.perSecond.value_or(NoLimit)};
}

} // namespace

bool isNewer(const RequestLimit &a, const RequestLimit &b) {
  return observationOrder(a) > observationOrder(b);
}

void addNewerLimit(std::vector<RequestLimit> &limits, const RequestLimit &limit) {
  auto it = std::find_if(limits.begin(), limits.end(),
                         [&](auto &known) { return known.endpoint == limit.endpoint; });
  if (it == limits.end())
    limits.push_back(limit);
  else if (isNewer(limit, *it))
    *it = limit;
}

bool RequestLimits::onAnswer(const EndpointIncarnation &endpoint, std::optional<double> perSecond,
                             Instant sentAt, Instant now) {
  auto it = entries.find(endpoint);
  const bool known = it != entries.end() && it->second.limit.perSecond.has_value();
  if (!perSecond && (!known || sentAt < it->second.namedAt))
    return false;
  auto &entry = entries[endpoint];
  const bool changed = entry.limit.perSecond != perSecond;
  entry.limit = {endpoint, entry.limit.version + (changed ? 1 : 0), perSecond};
  entry.namedAt = now;
  entry.announceUntil = now + AnnouncementTime;
  return changed;
}

bool RequestLimits::onReportedByHost(const RequestLimit &limit, Instant now) {
  if (!isNewer(limit, find(limit.endpoint)))
    return false;
  auto &entry = entries[limit.endpoint];
  const bool changed = entry.limit.perSecond != limit.perSecond;
  entry.limit = limit;
  entry.namedAt = now;
  return changed;
}

RequestLimit RequestLimits::find(const EndpointIncarnation &endpoint) const {
  auto it = entries.find(endpoint);
  return it == entries.end() ? RequestLimit{.endpoint = endpoint} : it->second.limit;
}

std::vector<RequestLimit> RequestLimits::toAnnounce(Instant now) const {
  std::vector<RequestLimit> out;
  for (auto &[endpoint, it] : entries)
    if (now < it.announceUntil)
      out.push_back(it.limit);
  return out;
}

void RequestLimits::expire(Instant now) {
  std::erase_if(entries, [&](auto &it) {
    const Duration retention = it.second.limit.perSecond ? NamedRetention : EndedRetention;
    return now - it.second.namedAt > retention;
  });
}

} // namespace catkin
