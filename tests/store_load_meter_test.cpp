#include "store_load_meter_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

constexpr Duration FullSpeed = 13s;
const Instant Begin(1h);

EndpointName engine(int i) { return EndpointName("e" + std::to_string(i)); }

/// Begins `n` loads at once and completes them `took` later.
Instant play(StoreLoadMeter &meter, int n, Duration took, Instant at) {
  for (int i = 0; i < n; ++i)
    meter.onStarted(engine(i), FullSpeed, at);
  for (int i = 0; i < n; ++i)
    meter.onCompleted(engine(i), at + took);
  return at + took;
}

// Guards against many loads side by side from a store that serves one at full speed: each of them
// then takes as many times longer, and a model that requests wait for arrives too late.
TEST(StoreLoadMeter, LoadsThatDelayEachOtherGoOneByOne) {
  StoreLoadMeter meter;
  auto now = play(meter, 2, 2 * FullSpeed, Begin);
  EXPECT_EQ(meter.concurrencyLimit(now), 1);
}

// Guards against a store that could serve four at once being used for two.
TEST(StoreLoadMeter, LoadsAtFullSpeedAllowMore) {
  StoreLoadMeter meter;
  auto now = Begin;
  int allowed = meter.concurrencyLimit(now);
  for (int i = 0; i < 3; ++i) {
    now = play(meter, allowed, FullSpeed + 300ms, now);
    EXPECT_GT(meter.concurrencyLimit(now), allowed);
    allowed = meter.concurrencyLimit(now);
  }
}

// Guards against further loads until the first slow one is complete, which takes longest when they
// delay each other most.
TEST(StoreLoadMeter, AnOverdueLoadCountsBeforeItIsComplete) {
  StoreLoadMeter meter;
  for (int i = 0; i < 4; ++i)
    meter.onStarted(engine(i), FullSpeed, Begin);
  EXPECT_EQ(meter.concurrencyLimit(Begin + FullSpeed), 2);
  EXPECT_EQ(meter.concurrencyLimit(Begin + 4 * FullSpeed), 1);
}

// Guards against an estimate from a load whose engine restarted in the middle.
TEST(StoreLoadMeter, AbandonedLoadsTeachNothing) {
  StoreLoadMeter meter;
  meter.onStarted(engine(0), FullSpeed, Begin);
  meter.onAbandoned(engine(0), Begin + 5 * FullSpeed);
  EXPECT_EQ(meter.concurrencyLimit(Begin + 5 * FullSpeed), 2);
}

// Guards against the share of the store's time that a load had to itself being counted as shared.
TEST(StoreLoadMeter, CountsOnlyTheTimeSideBySide) {
  StoreLoadMeter meter;
  meter.onStarted(engine(0), FullSpeed, Begin);
  meter.onStarted(engine(1), FullSpeed, Begin + 12s);
  meter.onCompleted(engine(0), Begin + 14s);
  EXPECT_EQ(meter.concurrencyLimit(Begin + 14s), 2);
}

} // namespace
} // namespace catkin
