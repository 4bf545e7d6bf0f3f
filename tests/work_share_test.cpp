#include "work_share_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

/// Simulates 20 s of work that takes `cost` per run and is due every 50 ms and at an event every
/// 5 ms. Returns the fraction of the time spent in the work.
double simulateWorkShare(Duration cost) {
  constexpr Instant Start{std::chrono::hours(1)};
  WorkShare share;
  Instant now = Start;
  Instant due = Start;
  Duration worked{};
  while (now < Start + 20s) {
    const bool isDue = now >= due;
    const bool shouldRun = isDue || share.canRunAfterEvent(now);
    if (shouldRun) {
      share.onDone(now, now + cost);
      now += cost;
      worked += cost;
    }
    if (isDue)
      due = now + share.nextPause(50ms);
    now += 5ms;
  }
  return toSeconds(worked) / toSeconds(now - Start);
}

// Guards against a planner that uses all processor time of a slow host, which delays the host's
// requests and its configuration by seconds.
TEST(WorkShareTest, HalfOfTheTimeIsLeftHoweverLongTheWorkTakes) {
  for (auto cost : {5ms, 20ms, 40ms, 400ms})
    EXPECT_LE(simulateWorkShare(cost), 0.5) << toMillis(cost) << " ms";
}

// Guards against late orders on a fast host, where the work takes almost no time.
TEST(WorkShareTest, ShortWorkFollowsEachEvent) {
  WorkShare share;
  const Instant now{std::chrono::hours(1)};
  share.onDone(now, now + 100us);
  EXPECT_TRUE(share.canRunAfterEvent(now + 1ms));
  EXPECT_EQ(share.nextPause(50ms), Duration(50ms));
}

} // namespace
} // namespace catkin
