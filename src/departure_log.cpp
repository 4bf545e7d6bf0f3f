#include "departure_log_p.h"

#include "config.h"

namespace catkin {

namespace {

// Several heartbeats, since some of them may be lost.
constexpr Duration AnnouncementTime = 8 * config::FleetHeartbeat;

} // namespace

void DepartureLog::add(const Departure &departure, Instant now) {
  auto [it, isNew] =
      entries.try_emplace(departure.endpoint, LoggedDeparture{departure.revision, now});
  if (!isNew && departure.revision > it->second.revision)
    it->second = {departure.revision, now};
}

std::vector<Departure> DepartureLog::recent(Instant now) const {
  std::vector<Departure> out;
  for (auto &[endpoint, it] : entries)
    if (now - it.loggedAt < AnnouncementTime)
      out.push_back({endpoint, it.revision});
  return out;
}

void DepartureLog::expire(Instant now) {
  std::erase_if(entries, [&](auto &it) { return now - it.second.loggedAt >= AnnouncementTime; });
}

} // namespace catkin
