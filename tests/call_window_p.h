#pragma once

#include "types_p.h"

#include <vector>

/// How the platform counts the calls to an endpoint that has named a limit of requests.
namespace catkin {

/// Span in which the platform counts the calls to an engine that has named a limit.
constexpr auto LimitWindow = std::chrono::seconds(4);
/// Returns the number of calls that the platform allows in LimitWindow.
int allowedInWindow(double perSecond);
/// Returns the largest number of `calls`, which are in order, in any span of `window`.
int largestWindowCount(const std::vector<Instant> &calls, Duration window);

} // namespace catkin
