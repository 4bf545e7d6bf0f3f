#pragma once

#include "policy_p.h"
#include "workload_helper.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

/// Drives Planner and Admission through one workload on the virtual clock.
namespace catkin::bench {

struct PolicyCase {
  std::string name;
  std::string retention;
  std::string placement = "cost";
  PolicyWeights weights;
};

/// Results of the measured days.
struct RunResult {
  std::vector<double> coldWaits; ///< s; requests that found their model unloaded; refused: deadline
  std::vector<double> baseColdWaits; ///< the part of coldWaits in which the base was unloaded too
  double idleAccelHours = 0;
  int requests = 0;
  int served = 0;
  int refused = 0;
  int late = 0;
  int loads = 0; ///< base models; adapters take milliseconds
  int storeMostInFlight = 0;
  double longestWaitOfRefused = 0; ///< s until a refusal was given
  std::vector<std::pair<std::string, int>> refusalReasons;
};

RunResult simulate(const Workload &workload, const PolicyCase &policy);

/// Future uses of the workload that the calling thread simulates, for the clairvoyant policy.
struct Future {
  std::map<ModelName, std::vector<Instant>> uses; ///< sorted; uses of an adapter count for its base
};
extern thread_local const Future *currentFuture;

Future futureOf(const Workload &workload);

} // namespace catkin::bench
