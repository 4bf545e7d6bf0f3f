#include "demand_meter_p.h"

#include <cmath>

namespace catkin {

namespace {

constexpr double TimeConstant = 10;   // seconds of the moving average
constexpr double Negligible = 0.002;  // requests a second

} // namespace

void DemandMeter::decay(Instant now) {
  double factor = std::exp(-toSeconds(now - decayedAt) / TimeConstant);
  decayedAt = now;
  for (auto &it : averages)
    it.second *= factor;
}

void DemandMeter::onRequest(const ServiceName &service, const ModelRef &model, Instant now) {
  if (!firstAt)
    firstAt = now;
  decay(now);
  averages[{service, model}] += 1 / TimeConstant;
}

std::vector<ModelUse> DemandMeter::rates(Instant now) {
  decay(now);
  std::erase_if(averages, [](auto &it) { return it.second < Negligible; });
  std::vector<ModelUse> out;
  for (auto &[key, rate] : averages)
    out.push_back({key.first, key.second, rate});
  return out;
}

Duration DemandMeter::observed(Instant now) const {
  return firstAt ? now - *firstAt : Duration::zero();
}

} // namespace catkin
