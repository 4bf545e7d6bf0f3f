#include "quota_issuer_p.h"

#include "config.h"
#include "log_p.h"

#include <algorithm>
#include <utility>

namespace catkin {

namespace {

// A side of a partition with less than this share of the hosts issues only emergency allowances.
constexpr double MinAlive = 1.0 / 3;
// A smaller one is a rounding error.
constexpr double MinShare = 0.001;
// Denied hosts ask again at this pace, so that a flood at 81 hosts costs 200 questions a second.
constexpr Duration DenialInterval = std::chrono::milliseconds(5);
constexpr Duration MaxDenialPause = std::chrono::milliseconds(500);
constexpr Duration UnknownRetryAfter = std::chrono::milliseconds(300);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(1);
constexpr Duration ChangeLogInterval = std::chrono::seconds(5);
constexpr Duration DenialLogInterval = std::chrono::seconds(30);
constexpr Duration BucketRetention = std::chrono::minutes(2);

bool isDue(Instant &loggedAt, Duration interval, Instant now) {
  if (now - loggedAt < interval)
    return false;
  loggedAt = now;
  return true;
}

} // namespace

double issuingShare(double alive) {
  const double share = (alive - MinAlive) / (1 - 2 * MinAlive);
  return share < MinShare ? 0 : std::min(share, 1.0);
}

QuotaIssuer::Limits QuotaIssuer::limitsOf(const TeamQuota &quota, double share) const {
  const double slack = quota.unit == QuotaUnit::Tokens ? options.slack : 0;
  const double allowed = quota.perSecond * toSeconds(options.window) + quota.burst;
  return {.perSecond = quota.perSecond * share,
          .burst = quota.burst * share,
          .debt = (allowed * options.over + slack) / 2 * share};
}

/// Adds what has been refilled since the last update. If the limits have changed since, the lower
/// rate counts, since the time of the change is not known.
void QuotaIssuer::refill(Bucket &bucket, const Limits &limits, Instant now) const {
  const double rate = std::min(bucket.limits.perSecond, limits.perSecond);
  const Duration elapsed = std::max<Duration>(now - bucket.updatedAt, Duration::zero());
  bucket.level += rate * toSeconds(elapsed);
  if (bucket.level < limits.burst)
    return;
  const double surplus = bucket.level - limits.burst;
  bucket.overflow =
      std::min(bucket.overflow + surplus, limits.perSecond * toSeconds(options.window));
  bucket.level = limits.burst;
}

QuotaIssuer::Bucket &QuotaIssuer::update(const TeamName &team, const TeamQuota &quota,
                                         const QuotaRole &role, Instant now) {
  auto [it, isNew] = buckets.try_emplace(team);
  auto &bucket = it->second;
  const double share = role.first ? issuingShare(role.alive) : 0;
  const bool issues = share > 0;
  const Limits limits = limitsOf(quota, issues ? share : role.alive);
  const bool changed = !isNew && bucket.quota != quota;
  if (changed && issues && isDue(bucket.changeLoggedAt, ChangeLogInterval, now))
    logLine(LogLevel::Info, "the quota of a team has changed",
            {{"team", team.value}, {"per_second", quota.perSecond}, {"burst", quota.burst}});
  if (bucket.issues != issues) {
    bucket.announced = bucket.announced && issues;
    bucket.overflow = 0;
    bucket.level = std::min(bucket.level, 0.0); // another host may have issued the burst
  } else if (issues) {
    refill(bucket, limits, now);
  }
  if (bucket.limits != limits)
    bucket.overflow = 0; // tokens that are cut off now are not for large requests
  if (isNew && now - startedAt < options.window)
    bucket.level = -limitsOf(quota, 1).debt;
  else if ((!issues || !bucket.issues) &&
           now - std::max(bucket.grantedAt, startedAt) >= options.window)
    bucket.level = 0;
  bucket.issues = issues;
  bucket.quota = quota;
  bucket.limits = limits;
  bucket.updatedAt = now;
  return bucket;
}

void QuotaIssuer::setRole(const TeamName &team, const TeamQuota &quota, const QuotaRole &role,
                          Instant now) {
  if (role.first || buckets.count(team) > 0)
    update(team, quota, role, now);
}

QuotaDecision QuotaIssuer::issue(const TeamName &team, const TeamQuota &quota, double cost,
                                 const QuotaRole &role, Instant now) {
  auto &bucket = update(team, quota, role, now);
  if (bucket.issues && !std::exchange(bucket.announced, true))
    logLine(LogLevel::Info, "this host issues the quota of a team",
            {{"team", team.value},
             {"per_second", bucket.limits.perSecond},
             {"burst", bucket.limits.burst},
             {"level", bucket.level},
             {"hosts_alive", role.alive}});
  if (cost > bucket.level + bucket.overflow + bucket.limits.debt)
    return deny(team, bucket, cost, now);
  bucket.level -= cost;
  bucket.overflow = 0;
  bucket.grantedAt = now;
  return {.result = QuotaResult::Granted};
}

/// Returns when there will be room for the request, later for each host that was denied just
/// before.
QuotaDecision QuotaIssuer::deny(const TeamName &team, Bucket &bucket, double cost,
                                Instant now) const {
  const auto &limits = bucket.limits;
  if (isDue(bucket.denialLoggedAt, DenialLogInterval, now))
    logLine(LogLevel::Info, "the quota of a team is used up",
            {{"team", team.value},
             {"cost", cost},
             {"level", bucket.level},
             {"emergency", !bucket.issues},
             {"per_second", limits.perSecond}});
  if (!bucket.issues)
    return {.result = QuotaResult::Unknown, .retryAfter = UnknownRetryAfter};
  const double refilled = limits.perSecond * toSeconds(options.window);
  if (cost > limits.burst + limits.debt + refilled) // never granted
    return {.result = QuotaResult::Exceeded, .retryAfter = options.window};
  const double missing = cost - bucket.level - bucket.overflow - limits.debt;
  const Duration wait = std::max<Duration>(fromSeconds(missing / limits.perSecond), MinRetryAfter);
  bucket.nextDenial = std::clamp(bucket.nextDenial, now, now + MaxDenialPause);
  const Duration pause = bucket.nextDenial - now;
  bucket.nextDenial += DenialInterval;
  return {.result = QuotaResult::Exceeded, .retryAfter = wait + pause};
}

void QuotaIssuer::onInterrupted() {
  for (auto &[team, bucket] : buckets)
    bucket.issues = false;
}

void QuotaIssuer::expire(Instant now) {
  std::erase_if(buckets, [&](auto &it) { return now - it.second.updatedAt > BucketRetention; });
}

} // namespace catkin
