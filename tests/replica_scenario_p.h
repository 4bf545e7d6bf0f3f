#pragma once

#include "guards_p.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

/// Seeded runs of planners under mixed faults, verified by the history checkers.
namespace catkin::harness {

struct ReplicaScenarioOptions {
  std::uint64_t seed = 1;
  Guards guards;
  int seconds = 60;              ///< duration in virtual time
  std::ostream *trace = nullptr; ///< receives the history and the decisions
};

struct ReplicaScenarioResult {
  std::vector<std::string> violations;
  // Counts with which a test verifies that the run exercised the planner.
  int loads = 0;
  int unloads = 0;
  int takeovers = 0;
  int faults = 0;
  int requests = 0;
};

/// Runs two planner hosts over engines with and without fencing, and three hosts that send requests
/// with delayed routing tables, under overlapping faults: kills, freezes (also between the last
/// check and the send of an order), takeovers, platform outages, lost replies, network cuts,
/// duplicated and reordered messages, and engines that die or leave.
ReplicaScenarioResult runReplicaScenario(const ReplicaScenarioOptions &options);

/// Runs a burst of requests for the same four cold models, with duplicated messages and lost
/// replies but without failures that would justify a second load.
ReplicaScenarioResult runBurstScenario(const ReplicaScenarioOptions &options);

/// Pauses a planner that has queued loads for endpoints that ignore fencing until its lease has
/// expired. Another planner takes over, and the first one resumes before it learns of that.
ReplicaScenarioResult runPauseScenario(const ReplicaScenarioOptions &options);

/// Runs all scenarios for `count` seeds from `first`, with all guards on. Prints each violation
/// with its seed to `out`. Returns the number of seeds with a violation.
int soakReplicas(std::uint64_t first, std::uint64_t count, std::ostream &out);

} // namespace catkin::harness
