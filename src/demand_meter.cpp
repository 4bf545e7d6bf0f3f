#include "demand_meter_p.h"

#include <cmath>

namespace catkin {

namespace {

// Time constants of the two moving averages, in seconds. The slow average remembers models that are
// requested rarely. The fast average shows within two seconds that a model has become busy.
constexpr double SlowTimeConstant = 10;
constexpr double FastTimeConstant = 2.5;
constexpr double NegligibleRate = 0.002; // requests per second

} // namespace

void DemandMeter::Averages::decay(Instant now) {
  const double seconds = toSeconds(now - updatedAt);
  updatedAt = now;
  slow *= std::exp(-seconds / SlowTimeConstant);
  fast *= std::exp(-seconds / FastTimeConstant);
}

void DemandMeter::onRequest(const ServiceName &service, const ModelRef &model, Instant now) {
  if (!firstRequestAt)
    firstRequestAt = now;
  auto &it = averages[{service, model}];
  it.decay(now);
  it.slow += 1 / SlowTimeConstant;
  it.fast += 1 / FastTimeConstant;
}

std::vector<ModelRequestRate> DemandMeter::rates(Instant now) {
  for (auto &[key, it] : averages)
    it.decay(now);
  std::erase_if(averages, [](auto &it) { return it.second.slow < NegligibleRate; });
  std::vector<ModelRequestRate> out;
  for (auto &[key, it] : averages)
    out.push_back({key.first, key.second, it.slow, it.fast});
  return out;
}

Duration DemandMeter::observedTime(Instant now) const {
  return firstRequestAt ? now - *firstRequestAt : Duration::zero();
}

} // namespace catkin
