#include "fleet_world_p.h"
#include "store_contact_p.h"

#include <gtest/gtest.h>

namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

/// A feed that answers each call at once with a given status.
class ImmediateFeed : public ObjectFeed {
public:
  void list(const std::string &, const std::string &, FeedDone done) override {
    done(FeedPage{.status = status});
  }
  void watch(const std::string &, StoreRevision, const WatchLimits &, FeedDone done) override {
    done(FeedPage{.status = status});
  }
  void get(const std::string &, const std::string &, FeedDone done) override {
    done(FeedPage{.status = status});
  }
  FeedStatus status = FeedStatus::Ok;
};

class StoreContactTest : public ::testing::Test {
protected:
  /// One call that ends with `status`, `after` the one before.
  void call(FeedStatus status, Duration after) {
    env.run(after);
    feed.status = status;
    contact.watch("k", {}, {}, [](const FeedPage &) {});
  }

  FakeEnv env;
  ImmediateFeed feed;
  int outages = 0;
  StoreContact contact{env, feed, {.shortestOutage = 2400ms, .outageEnded = [this] { ++outages; }}};
};

// Guards against a cut watch that counts as an outage of the store, so that endpoints whose
// registrations are removed afterwards go on getting requests.
TEST_F(StoreContactTest, CutWatchIsNoOutage) {
  call(FeedStatus::Ok, 0s);
  call(FeedStatus::Failed, 1900ms);
  call(FeedStatus::Ok, 2ms);
  call(FeedStatus::Failed, 1900ms);
  call(FeedStatus::Ok, 2ms);
  EXPECT_EQ(outages, 0);
}

// Guards against a call of one kind that fails for long while the store answers others.
TEST_F(StoreContactTest, StoreAnswersOtherCalls) {
  call(FeedStatus::Ok, 0s);
  for (int i = 0; i < 10; ++i) {
    call(FeedStatus::Failed, 500ms);
    call(FeedStatus::Ok, 500ms);
  }
  EXPECT_EQ(outages, 0);
}

// Guards against endpoints that are dropped since their registrations lapsed in an outage.
TEST_F(StoreContactTest, StoreIsAwayForLong) {
  call(FeedStatus::Ok, 0s);
  for (int i = 0; i < 5; ++i)
    call(FeedStatus::Failed, 1s);
  call(FeedStatus::Ok, 1s);
  EXPECT_EQ(outages, 1);
  call(FeedStatus::Ok, 1s);
  EXPECT_EQ(outages, 1);
}

// Guards against a long watch without changes that counts as an outage.
TEST_F(StoreContactTest, LongWatchIsNoOutage) {
  call(FeedStatus::Ok, 0s);
  call(FeedStatus::Ok, 15s);
  EXPECT_EQ(outages, 0);
}

// Guards against the start of a host that finds the store away: it knows no endpoints yet.
TEST_F(StoreContactTest, FirstAnswerEndsNoOutage) {
  call(FeedStatus::Failed, 10s);
  call(FeedStatus::Ok, 10s);
  EXPECT_EQ(outages, 0);
}

} // namespace
} // namespace catkin::fleet
