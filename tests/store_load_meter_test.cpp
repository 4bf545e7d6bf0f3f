#include "store_load_meter_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

constexpr Duration FullSpeed = 13s;
const Instant Begin(1h);

EndpointName engineName(int i) { return EndpointName("e" + std::to_string(i)); }

/// Starts `n` loads at `at` and completes them after `loadTime`. Returns the time of completion.
Instant runLoads(StoreLoadMeter &meter, int n, Duration loadTime, Instant at) {
  for (int i = 0; i < n; ++i)
    meter.onStarted(engineName(i), FullSpeed, at);
  for (int i = 0; i < n; ++i)
    meter.onCompleted(engineName(i), at + loadTime);
  return at + loadTime;
}

// Guards against concurrent loads from a store that serves one at full speed: `n` loads each take
// `n` times as long, so a model that requests wait for is loaded too late.
TEST(StoreLoadMeter, LoadsThatDelayEachOtherGoOneByOne) {
  StoreLoadMeter meter;
  auto now = runLoads(meter, 2, 2 * FullSpeed, Begin);
  EXPECT_EQ(meter.concurrencyLimit(now), 1);
}

// Guards against two concurrent loads from a store that could serve four at full speed.
TEST(StoreLoadMeter, LoadsAtFullSpeedAllowMore) {
  StoreLoadMeter meter;
  auto now = Begin;
  int limit = meter.concurrencyLimit(now);
  for (int i = 0; i < 3; ++i) {
    now = runLoads(meter, limit, FullSpeed + 300ms, now);
    EXPECT_GT(meter.concurrencyLimit(now), limit);
    limit = meter.concurrencyLimit(now);
  }
}

// Guards against starting further loads until the first slow load is complete: the more the loads
// delay each other, the longer this takes.
TEST(StoreLoadMeter, AnOverdueLoadCountsBeforeItIsComplete) {
  StoreLoadMeter meter;
  for (int i = 0; i < 4; ++i)
    meter.onStarted(engineName(i), FullSpeed, Begin);
  EXPECT_EQ(meter.concurrencyLimit(Begin + FullSpeed), 2);
  EXPECT_EQ(meter.concurrencyLimit(Begin + 4 * FullSpeed), 1);
}

// Guards against an estimate from a load whose engine restarted during the load.
TEST(StoreLoadMeter, AbandonedLoadsTeachNothing) {
  StoreLoadMeter meter;
  meter.onStarted(engineName(0), FullSpeed, Begin);
  meter.onAbandoned(engineName(0), Begin + 5 * FullSpeed);
  EXPECT_EQ(meter.concurrencyLimit(Begin + 5 * FullSpeed), 2);
}

// Guards against counting the time in which a load was the only one as time of concurrent loads.
TEST(StoreLoadMeter, CountsOnlyTheTimeSideBySide) {
  StoreLoadMeter meter;
  meter.onStarted(engineName(0), FullSpeed, Begin);
  meter.onStarted(engineName(1), FullSpeed, Begin + 12s);
  meter.onCompleted(engineName(0), Begin + 14s);
  EXPECT_EQ(meter.concurrencyLimit(Begin + 14s), 2);
}

} // namespace
} // namespace catkin
