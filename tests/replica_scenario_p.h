#pragma once

#include "guards_p.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

/// Seeded runs of planners under mixed faults, judged by the history checkers.
namespace catkin::harness {

struct ReplicaScenarioOptions {
  std::uint64_t seed = 1;
  Guards guards;
  int seconds = 60;              ///< virtual time
  std::ostream *trace = nullptr; ///< gets the history and the decisions
};

struct ReplicaScenarioResult {
  std::vector<std::string> violations;
  // What the run exercised, so that a test can tell that its faults occurred.
  int loads = 0;
  int unloads = 0;
  int takeovers = 0;
  int faults = 0;
  int requests = 0;
};

/// Two planner hosts over one world of engines with and without fencing, three hosts with lagging
/// tables that send requests, and faults that overlap: kills, freezes (also between the last check
/// and the send of an order), takeovers, platform outages, lost replies, cuts, duplicated and
/// reordered messages, engines that die, and engines that leave.
ReplicaScenarioResult runReplicaScenario(const ReplicaScenarioOptions &options);

/// A burst: every host asks for the same few cold models at once, with duplicated messages and lost
/// replies but no failure that would justify a second load.
ReplicaScenarioResult runBurstScenario(const ReplicaScenarioOptions &options);

/// A planner with queued loads for endpoints that ignore fencing pauses beyond its lease, another
/// takes over, and the first resumes before it has heard of that.
ReplicaScenarioResult runPauseScenario(const ReplicaScenarioOptions &options);

/// Runs all scenarios for `count` seeds from `first`, with all guards. Prints each violation with
/// its seed; returns the number of seeds with one.
int soakReplicas(std::uint64_t first, std::uint64_t count, std::ostream &out);

} // namespace catkin::harness
