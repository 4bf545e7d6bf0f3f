#include "locality_policy_p.h"

#include <algorithm>

namespace catkin {

namespace {

// Two crossings of 0.9 ms and a new connection. The rest of the base covers the error of the
// predictions, so that equal data centres do not exchange their requests.
constexpr double BaseSeconds = 0.015;
// Traffic between data centres costs money: a prompt of 45,000 bytes must gain 0.1 s.
constexpr double SecondsPerByte = 2e-6;
// A request that meets its objective at home with this much to spare gains nothing by leaving.
constexpr double ComfortShare = 0.2;
constexpr double DefaultObjectiveSeconds = 1;
constexpr double ReturnShare = 0.7; // of the time at which requests begin to leave
constexpr Duration MinLeaving = std::chrono::milliseconds(300);
constexpr int MaxPriority = 8; // further ones share a state

} // namespace

double LocalityPolicy::penaltySeconds(double bytes) {
  return BaseSeconds + SecondsPerByte * std::max(0.0, bytes);
}

LocalityDecision LocalityPolicy::decide(const LocalityInput &input, Instant now) {
  if (!input.hasHome)
    return {.mayLeave = true, .reason = LeaveReason::NoEndpointHere};
  if (!input.homeUsable && input.awayUsable)
    return {.mayLeave = true, .reason = LeaveReason::HomeUnusable};
  const double objective =
      input.objective > Duration::zero() ? toSeconds(input.objective) : DefaultObjectiveSeconds;
  LocalityDecision out{.penaltySeconds = penaltySeconds(input.bytes),
                       .reason = LeaveReason::HomeBusy};
  auto &state = states[{input.service, std::clamp(input.priority, 0, MaxPriority)}];
  const double comfort = ComfortShare * objective * (state.leaving ? ReturnShare : 1);
  const bool pays =
      input.homeSeconds > comfort && input.awaySeconds + out.penaltySeconds < input.homeSeconds;
  if (pays != state.leaving && (pays || now - state.changedAt >= MinLeaving))
    state = {.leaving = pays, .changedAt = now};
  out.mayLeave = pays;
  return out;
}

} // namespace catkin
