#include "store_load_meter_p.h"

#include <algorithm>
#include <cmath>

namespace catkin {

namespace {

// The completion of a load is known only from a later report, so it seems slower than it was.
constexpr double FullSpeedTolerance = 1.25;
constexpr int MaxConcurrentLoads = 16;

int roundAndClamp(double n) {
  return std::clamp(static_cast<int>(std::lround(n)), 1, MaxConcurrentLoads);
}

} // namespace

void StoreLoadMeter::onStarted(const EndpointName &engine, Duration fullSpeed, Instant now) {
  advance(now);
  running[engine] = {.since = now, .fullSpeed = fullSpeed, .loadSecondsBefore = loadSeconds};
}

void StoreLoadMeter::onCompleted(const EndpointName &engine, Instant now) {
  auto it = running.find(engine);
  if (it == running.end())
    return;
  advance(now);
  const double concurrency = averageConcurrency(it->second, now);
  const double slowdown = toSeconds(now - it->second.since) / toSeconds(it->second.fullSpeed);
  // Loads share the store evenly, so `concurrency / slowdown` of them would have run at full speed.
  if (slowdown > FullSpeedTolerance)
    learnedLimit = roundAndClamp(concurrency / slowdown);
  else
    learnedLimit = std::max(learnedLimit, roundAndClamp(concurrency * 2));
  running.erase(it);
}

void StoreLoadMeter::onAbandoned(const EndpointName &engine, Instant now) {
  advance(now);
  running.erase(engine);
}

int StoreLoadMeter::concurrencyLimit(Instant now) const {
  int n = learnedLimit;
  for (auto &[engine, it] : running) {
    const double slowdown = toSeconds(now - it.since) / toSeconds(it.fullSpeed);
    if (slowdown > FullSpeedTolerance)
      n = std::min(n, roundAndClamp(averageConcurrency(it, now) / slowdown));
  }
  return n;
}

double StoreLoadMeter::loadSecondsUntil(Instant now) const {
  return loadSeconds + static_cast<double>(running.size()) * toSeconds(now - advancedAt);
}

void StoreLoadMeter::advance(Instant now) {
  loadSeconds = loadSecondsUntil(now);
  advancedAt = now;
}

/// Average number of loads that ran concurrently with `load`, itself included.
double StoreLoadMeter::averageConcurrency(const Running &load, Instant now) const {
  const double seconds = toSeconds(now - load.since);
  return seconds > 0 ? (loadSecondsUntil(now) - load.loadSecondsBefore) / seconds : 1;
}

} // namespace catkin
