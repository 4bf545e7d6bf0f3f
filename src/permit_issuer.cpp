#include "permit_issuer_p.h"

#include "config.h"
#include "log_p.h"

#include <algorithm>

namespace catkin {

namespace {

// Without any call, nobody would learn that an endpoint with a limit of 0 has ended it.
constexpr double MinCallsPerSecond = 0.05;
// Unused calls of this time may be made at once later.
constexpr double BurstSeconds = 0.25;
// A host that is denied a permit asks again later by one interval for each host that is assumed to
// ask before it. Otherwise all hosts of a large fleet would ask at each interval.
constexpr int MaxAssumedAskers = 256;
constexpr Duration MaxDenialPause = std::chrono::seconds(2);
constexpr Duration ScheduleRetention = std::chrono::minutes(1);

} // namespace

Permit PermitIssuer::issue(const RequestLimit &limit, double share, Duration maxDelay,
                           Instant now) {
  const double rate = std::max(limit.perSecond.value_or(0) * share, MinCallsPerSecond);
  const Duration interval = fromSeconds(1 / rate);
  const Duration burst = fromSeconds(BurstSeconds);
  auto [it, isNew] = schedules.try_emplace(limit.endpoint);
  auto &schedule = it->second;
  if (isNew) {
    // Permits that another host has issued until now may still be in use.
    schedule.next = now + config::FleetPermitTakeoverPause + burst;
    logLine(LogLevel::Info, "this host issues the permits for an endpoint",
            {{"endpoint", limit.endpoint.endpoint.value},
             {"incarnation", limit.endpoint.incarnation},
             {"per_second", rate}});
  }
  schedule.askedAt = now;
  if (schedule.next <= now) {
    schedule.next = now;
    schedule.askers = 0;
  }
  const Duration delay = std::max(schedule.next - burst - now, Duration::zero());
  if (delay > maxDelay) {
    const Duration pause = std::min(interval * schedule.askers, MaxDenialPause);
    schedule.askers = std::min(schedule.askers + 1, MaxAssumedAskers);
    return {.granted = false, .delay = delay + pause};
  }
  schedule.askers = std::max(schedule.askers - 1, 0);
  schedule.next += interval;
  return {.granted = true, .delay = delay};
}

void PermitIssuer::expire(Instant now) {
  std::erase_if(schedules, [&](auto &it) {
    return now - it.second.askedAt > ScheduleRetention && now > it.second.next;
  });
}

} // namespace catkin
