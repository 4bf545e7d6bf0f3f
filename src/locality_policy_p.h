#pragma once

#include "types_p.h"

#include <array>
#include <map>
#include <string_view>
#include <utility>

/// Decides when requests of a service go to another data centre. It uses no sockets and no clock;
/// callers pass in the time.
namespace catkin {

/// Why a request goes to another data centre.
enum class LeaveReason {
  None,           ///< it stays
  NoEndpointHere, ///< no endpoint of its own data centre can take it
  HomeUnusable,   ///< those that could fail, or have no memory left
  HomeBusy,       ///< it is served earlier elsewhere, by more than leaving costs
  Count
};
template <> struct EnumNames<LeaveReason> {
  static constexpr std::array<std::string_view, 4> Table{"none", "no_endpoint_here",
                                                         "home_unusable", "home_busy"};
};

/// Inputs of a decision. Times are predicted ones from the choice to the first event. That at the
/// engine which keeps parts of the prompt is shorter by what they save, so the gain of leaving is
/// smaller for requests with such parts.
struct LocalityInput {
  ServiceName service;
  int priority = 0;
  bool hasHome = false;    ///< an endpoint of the own data centre can take the request
  bool homeUsable = false; ///< one that neither fails nor lacks memory
  bool awayUsable = false; ///< one elsewhere that neither fails nor lacks memory
  double homeSeconds = 0;  ///< at the best endpoint of the own data centre
  double awaySeconds = 0;  ///< at the best endpoint elsewhere
  double bytes = 0;        ///< of the prompt and the answer
  Duration objective{};    ///< for the first event; zero if there is none
};

/// Result of a decision.
struct LocalityDecision {
  bool mayLeave = false;     ///< endpoints elsewhere take part in the choice
  double penaltySeconds = 0; ///< what leaving costs; added to the predicted times elsewhere
  LeaveReason reason = LeaveReason::None; ///< of a request that leaves
};

/// Decisions of one host. Requests of one service and priority begin to leave at a higher predicted
/// time than the one at which they return.
class LocalityPolicy {
public:
  LocalityDecision decide(const LocalityInput &input, Instant now);
  /// Returns what it costs to send these bytes to another data centre, in seconds of waiting.
  static double penaltySeconds(double bytes);

private:
  struct State {
    bool leaving = false;
    Instant changedAt;
  };
  std::map<std::pair<ServiceName, int>, State> states;
};

} // namespace catkin
