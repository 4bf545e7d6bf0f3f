#pragma once

#include "lists_p.h"
#include "membership_p.h"
#include "planner_p.h"
#include "shares_p.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Views for operators as JSON text. They are built by the planner, the only host with the state of
/// all hosts.
namespace catkin {

/// State of the planner from which a view is built. The references must stay valid for the call.
struct OperatorState {
  const Planner &planner;
  const ShareTable &shares;
  const Membership &membership;
  const std::map<HostName, std::vector<PlanUse>> &uses; ///< as last reported by each host
  const Lists *lists = nullptr;
  HostName plannerHost;
  Instant now;
};

/// Names accepted by operatorView.
std::vector<std::string> operatorViewNames();

/// Builds the view {"<name>":[...]}; "config" has its own object with other fields. Returns an
/// empty string for an unknown name.
std::string operatorView(std::string_view name, const OperatorState &state);

} // namespace catkin
