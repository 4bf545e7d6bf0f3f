#include "demand_meter_p.h"

#include <cmath>

namespace catkin {

namespace {

// Seconds of the two moving averages. The slow one remembers models that are asked for seldom, the
// fast one shows within two seconds that a model has become busy.
constexpr double SlowTime = 10;
constexpr double FastTime = 2.5;
constexpr double Negligible = 0.002; // requests a second

} // namespace

void DemandMeter::Averages::decay(Instant now) {
  const double seconds = toSeconds(now - at);
  at = now;
  slow *= std::exp(-seconds / SlowTime);
  fast *= std::exp(-seconds / FastTime);
}

void DemandMeter::onRequest(const ServiceName &service, const ModelRef &model, Instant now) {
  if (!firstAt)
    firstAt = now;
  auto &it = averages[{service, model}];
  it.decay(now);
  it.slow += 1 / SlowTime;
  it.fast += 1 / FastTime;
}

std::vector<ModelRequestRate> DemandMeter::rates(Instant now) {
  for (auto &[key, it] : averages)
    it.decay(now);
  std::erase_if(averages, [](auto &it) { return it.second.slow < Negligible; });
  std::vector<ModelRequestRate> out;
  for (auto &[key, it] : averages)
    out.push_back({key.first, key.second, it.slow, it.fast});
  return out;
}

Duration DemandMeter::observed(Instant now) const {
  return firstAt ? now - *firstAt : Duration::zero();
}

} // namespace catkin
