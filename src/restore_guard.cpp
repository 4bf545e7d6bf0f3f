#include "restore_guard_p.h"

#include <utility>

namespace catkin {

namespace {

// The registry removes an endpoint that is silent for three heartbeats of some seconds in all.
constexpr Duration GuardTime = std::chrono::seconds(6);
// Copies are some seconds old.
constexpr Duration DepartedRetention = std::chrono::minutes(2);

} // namespace

void RestoreGuard::onDeparted(const EndpointIncarnation &endpoint, bool wasLeaving, Instant now) {
  departed[endpoint] = {.at = now, .wasLeaving = wasLeaving};
}

std::vector<EndpointIncarnation> RestoreGuard::onRestored(Instant now) {
  guardedUntil = now + GuardTime;
  std::vector<EndpointIncarnation> out;
  for (auto &[endpoint, it] : departed)
    if (it.wasLeaving)
      out.push_back(endpoint);
  return out;
}

bool RestoreGuard::contradicts(const FleetEndpoint &entry, std::optional<std::uint64_t> known,
                               Instant now) const {
  if (now >= guardedUntil)
    return false;
  const bool isEarlier = known && entry.incarnation < *known;
  return isEarlier || departed.count(incarnationOf(entry)) > 0;
}

void RestoreGuard::hold(FleetEndpoint entry) {
  const EndpointName name = entry.name;
  held[name] = std::move(entry);
}

std::vector<FleetEndpoint> RestoreGuard::takeConfirmed(Instant now) {
  std::vector<FleetEndpoint> out;
  if (now < guardedUntil)
    return out;
  for (auto &[name, it] : std::exchange(held, {}))
    out.push_back(std::move(it));
  return out;
}

void RestoreGuard::expire(Instant now) {
  std::erase_if(departed, [&](auto &it) { return now - it.second.at > DepartedRetention; });
}

} // namespace catkin
