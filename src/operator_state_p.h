#pragma once

#include "lists_p.h"
#include "membership_p.h"
#include "planner_p.h"
#include "shares_p.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Views for operators, as JSON text. Built on the planner, which alone knows all hosts.
namespace catkin {

/// What the planner knows when a view is built. References are borrowed for the call.
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

/// The view {"<name>":[...]} ("config" is an object of its own); empty for an unknown name.
std::string operatorView(std::string_view name, const OperatorState &state);

} // namespace catkin
