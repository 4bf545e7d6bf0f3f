#include "transfer_pool_p.h"

#include <algorithm>

namespace catkin::standin {

namespace {

constexpr double CompleteSeconds = 1e-7; // below the resolution of the clock

} // namespace

double TransferPool::speedPerTransfer() const {
  const double share =
      remaining.size() <= fullSpeedSlots
          ? 1.0
          : static_cast<double>(fullSpeedSlots) / static_cast<double>(remaining.size());
  return share / slowdown;
}

void TransferPool::updateRemaining(Instant at) {
  const double done = toSeconds(at - lastUpdate) * speedPerTransfer();
  for (auto &it : remaining)
    it.second -= done;
  lastUpdate = at;
}

std::uint64_t TransferPool::add(Duration work, Instant at) {
  updateRemaining(at);
  remaining[++lastId] = toSeconds(work);
  highest = std::max(highest, remaining.size());
  return lastId;
}

void TransferPool::remove(std::uint64_t id, Instant at) {
  updateRemaining(at);
  remaining.erase(id);
}

void TransferPool::setSlowdown(double factor, Instant at) {
  updateRemaining(at);
  slowdown = factor;
}

std::vector<std::uint64_t> TransferPool::advance(Instant at) {
  updateRemaining(at);
  std::vector<std::uint64_t> complete;
  for (const auto &it : remaining)
    if (it.second <= CompleteSeconds)
      complete.push_back(it.first);
  for (const auto id : complete)
    remaining.erase(id);
  return complete;
}

std::optional<Duration> TransferPool::timeUntilNextCompletion() const {
  if (remaining.empty())
    return std::nullopt;
  const auto least =
      std::min_element(remaining.begin(), remaining.end(),
                       [](const auto &a, const auto &b) { return a.second < b.second; });
  // Rounds up, so that the transfer is complete after this time.
  return fromSeconds(std::max(0.0, least->second) / speedPerTransfer()) + Duration(1);
}

} // namespace catkin::standin
