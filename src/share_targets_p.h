#pragma once

#include <cstdint>
#include <vector>

/// Division of a plan's concurrency by demand; no state and no I/O.
namespace catkin {

/// What one host asks for.
struct HolderDemand {
  int demand = 0;          ///< requests running and waiting
  std::uint64_t order = 0; ///< lower goes first where units do not reach everybody
};

/// Units for each holder, at most `available` in sum. Demands are met max-min fairly, so that a
/// small demand is not crowded out by a large one; what remains is spread evenly as headroom. If
/// more holders ask than there are units, `turn` decides who goes first; it should count up.
std::vector<int> divideUnits(int available, const std::vector<HolderDemand> &holders,
                             std::uint64_t rotation);

} // namespace catkin
