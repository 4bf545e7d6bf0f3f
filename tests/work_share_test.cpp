#include "work_share_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

/// Plays work that takes `cost`, due every 50 ms and at an event every 5 ms, for 20 s. Gives the
/// share of the time that it took.
double play(Duration cost) {
  constexpr Instant Start{std::chrono::hours(1)};
  WorkShare share;
  Instant now = Start;
  Instant due = Start;
  Duration worked{};
  while (now < Start + 20s) {
    const bool interval = now >= due;
    const bool work = interval || share.canRunAfterEvent(now);
    if (work) {
      share.onDone(now, now + cost);
      now += cost;
      worked += cost;
    }
    if (interval)
      due = now + share.nextPause(50ms);
    now += 5ms;
  }
  return toSeconds(worked) / toSeconds(now - Start);
}

// Guards against a planner that takes all the processor time of a slow host, so that its requests
// and its configuration are seconds late.
TEST(WorkShareTest, HalfOfTheTimeIsLeftHoweverLongTheWorkTakes) {
  for (auto cost : {5ms, 20ms, 40ms, 400ms})
    EXPECT_LE(play(cost), 0.5) << toMillis(cost) << " ms";
}

// Guards against orders that are late on a fast host, where the work takes next to no time.
TEST(WorkShareTest, ShortWorkFollowsEachEvent) {
  WorkShare share;
  const Instant now{std::chrono::hours(1)};
  share.onDone(now, now + 100us);
  EXPECT_TRUE(share.canRunAfterEvent(now + 1ms));
  EXPECT_EQ(share.nextPause(50ms), Duration(50ms));
}

} // namespace
} // namespace catkin
