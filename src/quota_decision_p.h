#pragma once

#include "team_directory_p.h"

#include <functional>

/// The answer to a request for a part of a team's quota.
namespace catkin {

enum class QuotaResult {
  Granted,
  Exceeded, ///< the quota has no room for the request now
  Unknown,  ///< the host that keeps the quota does not answer
  Count
};
template <> struct EnumNames<QuotaResult> {
  static constexpr std::array<std::string_view, 3> Table{"granted", "exceeded", "unknown"};
};

struct QuotaDecision {
  QuotaResult result = QuotaResult::Unknown;
  Duration retryAfter{}; ///< until the request is likely to be granted; zero if it is granted
};

/// Charges `cost`, in the unit of the team's quota. Calls `done` once, within a fraction of a
/// second.
using AcquireQuota =
    std::function<void(const Team &, double cost, std::function<void(QuotaDecision)> done)>;

} // namespace catkin
