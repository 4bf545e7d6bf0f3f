#include "share_targets_p.h"

#include <algorithm>
#include <numeric>

namespace catkin {

namespace {

/// Assigns one unit to each candidate, in order, until no units are left.
void assignOneUnitEach(const std::vector<std::size_t> &candidates, int &left,
                       std::vector<int> &units) {
  for (auto it : candidates) {
    if (left == 0)
      return;
    ++units[it];
    --left;
  }
}

/// Assigns units in order of rising demand. Each holder gets its demand, but at most an equal part
/// of the units left.
void assignMaxMinFair(std::vector<std::size_t> demanding, const std::vector<HolderDemand> &holders,
                      int &left, std::vector<int> &units) {
  std::stable_sort(demanding.begin(), demanding.end(),
                   [&](auto a, auto b) { return holders[a].demand < holders[b].demand; });
  auto remaining = static_cast<int>(demanding.size());
  for (auto it : demanding) {
    units[it] = std::min(holders[it].demand, left / remaining--);
    left -= units[it];
  }
}

} // namespace

std::vector<int> divideUnits(int available, const std::vector<HolderDemand> &holders,
                             std::uint64_t rotation) {
  std::vector<int> units(holders.size());
  if (holders.empty() || available <= 0)
    return units;
  std::vector<std::size_t> all(holders.size());
  std::iota(all.begin(), all.end(), 0);
  std::sort(all.begin(), all.end(),
            [&](auto a, auto b) { return holders[a].order < holders[b].order; });
  std::vector<std::size_t> demanding;
  std::copy_if(all.begin(), all.end(), std::back_inserter(demanding),
               [&](auto it) { return holders[it].demand > 0; });

  int left = available;
  if (demanding.size() > static_cast<std::size_t>(available)) {
    auto first = demanding.begin() + static_cast<std::ptrdiff_t>(rotation % demanding.size());
    std::rotate(demanding.begin(), first, demanding.end());
    assignOneUnitEach(demanding, left, units);
  } else {
    assignMaxMinFair(demanding, holders, left, units);
  }

  auto unitsPerHolder = left / static_cast<int>(holders.size());
  for (auto &it : units)
    it += unitsPerHolder;
  left -= unitsPerHolder * static_cast<int>(holders.size());
  std::stable_partition(all.begin(), all.end(), [&](auto it) { return units[it] == 0; });
  assignOneUnitEach(all, left, units);
  return units;
}

} // namespace catkin
