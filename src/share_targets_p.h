#pragma once

#include <cstdint>
#include <vector>

/// Divides a plan's concurrency among hosts by their demand. Has no state and does no I/O.
namespace catkin {

/// Demand of one host for units of a plan's concurrency.
struct HolderDemand {
  int demand = 0;          ///< requests running and waiting
  std::uint64_t order = 0; ///< if units are scarce, lower orders get theirs first
};

/// Returns the units of each holder, at most `available` in total. Allocation is max-min fair, so
/// that a large demand does not crowd out a small one; the remaining units are spread evenly as
/// headroom. If more holders have demand than there are units, `rotation` selects the first holder
/// to get one; callers should increment it.
std::vector<int> divideUnits(int available, const std::vector<HolderDemand> &holders,
                             std::uint64_t rotation);

} // namespace catkin
