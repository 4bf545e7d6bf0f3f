#include "call_window_p.h"

#include <algorithm>

namespace catkin {

int allowedInWindow(double perSecond) {
  constexpr double Excess = 1.5;
  constexpr int Allowance = 5;
  return static_cast<int>(Excess * perSecond * toSeconds(LimitWindow)) + Allowance;
}

int largestWindowCount(const std::vector<Instant> &calls, Duration window) {
  std::ptrdiff_t most = 0;
  for (auto first = calls.begin(); first != calls.end(); ++first)
    most = std::max(most, std::lower_bound(first, calls.end(), *first + window) - first);
  return static_cast<int>(most);
}

} // namespace catkin
