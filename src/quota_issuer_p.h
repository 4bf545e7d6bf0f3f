#pragma once

#include "quota_decision_p.h"

#include <map>
#include <string>

/// Issues the quotas of teams. One host issues the whole quota of a team, so that the requests of
/// all hosts together stay within it. Callers pass in the time.
///
/// Rule: in any time of QuotaOptions::window, the costs of a team's admitted requests add up to at
/// most rate * window + burst + tolerance, where the tolerance is
/// over * (rate * window + burst) + slack. A request is charged between the time when its caller
/// sends it and the time when it reaches an endpoint, so if both are in a window, the charge is.
///
/// The bounds follow from the level of the bucket, which is at most `burst` and ends a grant at no
/// less than -debt, where the debt is half of the tolerance:
/// - One issuer: the grants in a window are (level at its start) + (refill) - (level at its end),
/// at
///   most rate * window + burst + debt. A request larger than burst and debt needs a bucket that
///   has been full for the time in which the rest would have been refilled; the sum is the same.
/// - Change of the issuer: the former one has granted at most burst + refill + debt. The new one
///   starts at 0 or below and adds its refill and its debt. It refills only from the time when it
///   issues, so that the sum is at most rate * window + burst + 2 * debt, which is the rule. What
///   it has granted in an emergency before is part of its debt. If the former issuer is alive, both
///   may refill until each has heard of the change, at most one heartbeat; this adds at most the
///   refill of that time, and only if a burst after a quiet time and both debts fall in the same
///   window.
/// - Partition: the shares of all sides, see issuingShare(), add up to at most 1. Sides without a
///   share issue emergency allowances that add up to one debt.
namespace catkin {

struct QuotaOptions {
  Duration window = std::chrono::seconds(8); ///< in which requests are counted
  double over = 0.1;                         ///< tolerated excess, as a share
  double slack = 0;                          ///< tolerated excess of quotas in tokens
};

/// Part of a quota that a host may issue that sees the share `alive` of all registered hosts. The
/// parts of two sides of a partition add up to 1, and those of more sides to less. It is 1 if two
/// thirds are alive, so that a killed host of three does not reduce the quota.
double issuingShare(double alive);

/// What this host is for a team.
struct QuotaRole {
  bool first = false; ///< it issues the quota, not the emergency allowance
  double alive = 1;   ///< share of the registered hosts that are alive
};

/// A token bucket for each team.
class QuotaIssuer {
public:
  /// For one window from `startedAt` on, buckets begin with the whole debt used up: what other
  /// hosts, or this one before a restart, have granted is not known, and all may have started
  /// again.
  QuotaIssuer(QuotaOptions options, Instant startedAt) : options(options), startedAt(startedAt) {}

  /// Records the role of this host for a team and the team's quota in force. If it is not called
  /// while the role changes, the bucket of a former issuer may have tokens that another host has
  /// issued meanwhile.
  void setRole(const TeamName &team, const TeamQuota &quota, const QuotaRole &role, Instant now);
  /// Charges `cost` to the quota in the given role. Without the role of the issuer, or without a
  /// share in a partition, it is charged to the emergency allowance: half of the tolerance, given
  /// again when nothing has been granted for one window. The result is Unknown if that is used up.
  QuotaDecision issue(const TeamName &team, const TeamQuota &quota, double cost,
                      const QuotaRole &role, Instant now);
  /// Another host may have issued all quotas meanwhile, since this one was stopped for a while.
  void onInterrupted();
  /// Forgets teams of which nothing has been heard for a while.
  void expire(Instant now);

private:
  /// What this host may issue of a quota.
  struct Limits {
    double perSecond = 0;
    double burst = 0;
    double debt = 0; ///< in excess of the bucket's tokens
    friend bool operator==(const Limits &, const Limits &) = default;
  };
  struct Bucket {
    TeamQuota quota;
    Limits limits;
    double level = 0;    ///< tokens; negative if in debt
    double overflow = 0; ///< refill since the bucket is full, for requests larger than it
    bool issues = false; ///< this host issues the quota, not the emergency allowance
    bool announced = false;
    Instant updatedAt;
    Instant grantedAt;
    Instant nextDenial; ///< when the next denied host may ask again, so that not all do at once
    Instant changeLoggedAt;
    Instant denialLoggedAt;
  };

  Limits limitsOf(const TeamQuota &quota, double share) const;
  Bucket &update(const TeamName &team, const TeamQuota &quota, const QuotaRole &role, Instant now);
  void refill(Bucket &bucket, const Limits &limits, Instant now) const;
  QuotaDecision deny(const TeamName &team, Bucket &bucket, double cost, Instant now) const;

  QuotaOptions options;
  Instant startedAt;
  std::map<TeamName, Bucket> buckets;
};

} // namespace catkin
