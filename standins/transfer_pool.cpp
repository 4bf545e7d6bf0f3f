#include "transfer_pool_p.h"

#include <algorithm>

namespace catkin::standin {

namespace {

constexpr double CompleteSeconds = 1e-7; // below the resolution of the clock

} // namespace

double TransferPool::speed() const {
  const double share = remaining.size() <= slots
                           ? 1.0
                           : static_cast<double>(slots) / static_cast<double>(remaining.size());
  return share / slow;
}

void TransferPool::progress(Instant at) {
  const double done = toSeconds(at - last) * speed();
  for (auto &it : remaining)
    it.second -= done;
  last = at;
}

std::uint64_t TransferPool::add(Duration work, Instant at) {
  progress(at);
  remaining[++lastId] = toSeconds(work);
  highest = std::max(highest, remaining.size());
  return lastId;
}

void TransferPool::remove(std::uint64_t id, Instant at) {
  progress(at);
  remaining.erase(id);
}

void TransferPool::setSlow(double factor, Instant at) {
  progress(at);
  slow = factor;
}

std::vector<std::uint64_t> TransferPool::advance(Instant at) {
  progress(at);
  std::vector<std::uint64_t> complete;
  for (const auto &it : remaining)
    if (it.second <= CompleteSeconds)
      complete.push_back(it.first);
  for (const auto id : complete)
    remaining.erase(id);
  return complete;
}

std::optional<Duration> TransferPool::untilNext() const {
  if (remaining.empty())
    return std::nullopt;
  const auto least =
      std::min_element(remaining.begin(), remaining.end(),
                       [](const auto &a, const auto &b) { return a.second < b.second; });
  // Rounded up, so that the transfer is complete when the time has passed.
  return fromSeconds(std::max(0.0, least->second) / speed()) + Duration(1);
}

} // namespace catkin::standin
