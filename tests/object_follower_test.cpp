#include "fleet_world_p.h"
#include "object_follower_p.h"

#include <gtest/gtest.h>

#include <deque>

namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

/// A feed that answers from a script and keeps watches waiting when it is empty.
class ScriptedFeed : public ObjectFeed {
public:
  explicit ScriptedFeed(FakeEnv &env) : env(env) {}
  void list(const std::string &, const std::string &after, FeedDone done) override {
    ++lists;
    firstPages += after.empty() ? 1 : 0;
    auto page = after.empty() ? listPage : lastPage;
    if (silentLists)
      return;
    env.after(1ms, [done, page] { done(page); });
  }
  void watch(const std::string &, std::uint64_t revision, const WatchLimits &limits,
             FeedDone done) override {
    watchedFrom.push_back(revision);
    if (watches.empty()) {
      // A watch without changes is answered when its time has passed, unless it has gone silent.
      if (!silent)
        env.after(limits.maxWait, [done, revision] {
          done(FeedPage{.status = FeedStatus::Ok, .objects = {}, .revision = revision});
        });
      return;
    }
    auto page = watches.front();
    watches.pop_front();
    env.after(watchDelay, [done, page] { done(page); });
  }

  FeedPage listPage;
  FeedPage lastPage;
  std::deque<FeedPage> watches;
  std::vector<std::uint64_t> watchedFrom;
  Duration watchDelay = 1ms; ///< of scripted answers to watches
  int lists = 0;
  int firstPages = 0;       ///< of them
  bool silent = false;      ///< watches are never answered
  bool silentLists = false; ///< nor lists

private:
  FakeEnv &env;
};

class ObjectFollowerTest : public ::testing::Test {
protected:
  void SetUp() override {
    follower = std::make_unique<ObjectFollower>(
        env, feed, FollowerOptions{.kind = "k"},
        ObjectFollower::Hooks{.changed =
                                  [this](const FeedObject &it) {
                                    if (it.removed)
                                      known.erase(it.name);
                                    else
                                      known[it.name] = it.revision;
                                  },
                              .connectionChanged = [this](bool on) { connected = on; }});
  }

  static FeedPage page(std::vector<FeedObject> objects, std::uint64_t revision) {
    return {.status = FeedStatus::Ok, .objects = std::move(objects), .revision = revision};
  }

  FakeEnv env;
  ScriptedFeed feed{env};
  std::unique_ptr<ObjectFollower> follower;
  std::map<std::string, std::uint64_t> known;
  bool connected = false;
};

// Guards against a change of an object on an early page that comes while later pages are read: the
// revision of the last page is after it.
TEST_F(ObjectFollowerTest, ReadsAllPagesThenWatchesFromTheFirstOne) {
  feed.listPage = page({{.name = "a", .revision = 3}}, 9);
  feed.listPage.continueAfter = "a";
  feed.lastPage = page({{.name = "b", .revision = 4}}, 10);
  follower->start();
  env.run(1s);
  EXPECT_EQ(known.size(), 2U);
  EXPECT_EQ(feed.watchedFrom.front(), 9U);
  EXPECT_TRUE(follower->isSynced());
}

// Guards against a long list that begins again with its first page whenever one page fails, and so
// never ends where all hosts read at once.
TEST_F(ObjectFollowerTest, AListGoesOnWithThePageThatFailed) {
  feed.listPage = page({{.name = "a", .revision = 3}}, 9);
  feed.listPage.continueAfter = "a";
  feed.lastPage = {.status = FeedStatus::Failed};
  follower->start();
  env.run(1s);
  EXPECT_FALSE(follower->isSynced());
  EXPECT_EQ(feed.firstPages, 1);
  feed.lastPage = page({{.name = "b", .revision = 4}}, 10);
  env.run(1s);
  EXPECT_TRUE(follower->isSynced());
  EXPECT_EQ(known.size(), 2U);
  EXPECT_EQ(feed.firstPages, 1);
}

// Guards against an object that is kept for ever because its removal was in the lost history.
TEST_F(ObjectFollowerTest, LostHistoryBringsANewList) {
  feed.listPage = page({{.name = "a", .revision = 3}, {.name = "b", .revision = 4}}, 4);
  feed.watches.push_back({.status = FeedStatus::HistoryGone});
  follower->start();
  env.run(1ms);
  feed.listPage = page({{.name = "b", .revision = 4}, {.name = "c", .revision = 7}}, 8);
  env.run(1s);
  EXPECT_EQ(known.count("a"), 0U);
  EXPECT_EQ(known.count("c"), 1U);
}

// Guards against a late answer that brings back an older state.
TEST_F(ObjectFollowerTest, OlderStatesAreIgnored) {
  feed.listPage = page({{.name = "a", .revision = 9}}, 9);
  feed.watches.push_back(page({{.name = "a", .revision = 5}}, 10));
  follower->start();
  env.run(1s);
  EXPECT_EQ(known["a"], 9U);
}

TEST_F(ObjectFollowerTest, FailureIsReportedAndRetried) {
  feed.listPage = {.status = FeedStatus::Failed};
  follower->start();
  env.run(1s);
  EXPECT_FALSE(connected);
  feed.listPage = page({}, 1);
  env.run(1s);
  EXPECT_TRUE(connected);
  EXPECT_GT(feed.lists, 2);
}

// Guards against a watch that went silent in an outage and hides all later changes.
TEST_F(ObjectFollowerTest, RestartLeavesASilentWatch) {
  feed.listPage = page({{.name = "a", .revision = 1}}, 1);
  feed.silent = true;
  follower->start();
  env.run(1min);
  feed.listPage = page({{.name = "a", .revision = 2}}, 2);
  follower->restart();
  env.run(1s);
  EXPECT_EQ(known["a"], 2U);
}

// Guards against a list of a large object that is begun again whenever another host is heard to be
// further.
TEST_F(ObjectFollowerTest, CatchingUpLeavesAListAlone) {
  feed.silent = true;
  feed.silentLists = true;
  follower->start();
  env.run(1s);
  const int lists = feed.lists;
  follower->restartUnlessListing();
  env.run(1s);
  EXPECT_EQ(feed.lists, lists);
}

// Guards against a pause that is added to the time after which a silent watch is given up.
TEST_F(ObjectFollowerTest, AWatchGivenUpLateIsFollowedByAListAtOnce) {
  feed.listPage = page({{.name = "a", .revision = 1}}, 1);
  feed.watches.push_back({.status = FeedStatus::Failed});
  feed.watchDelay = 2s;
  follower->start();
  env.run(1s);
  feed.listPage = page({{.name = "a", .revision = 2}}, 2);
  env.run(1010ms);
  EXPECT_EQ(known["a"], 2U);
}

// Guards against lists without a pause while the store answers them and refuses each watch.
TEST_F(ObjectFollowerTest, AWatchRefusedAtOnceIsFollowedByAPause) {
  feed.listPage = page({}, 1);
  for (int i = 0; i < 100; ++i)
    feed.watches.push_back({.status = FeedStatus::Failed});
  follower->start();
  env.run(3s);
  EXPECT_LE(feed.lists, 11);
}

// Guards against a silent watch of a host that was told of news by another one.
TEST_F(ObjectFollowerTest, CatchingUpLeavesASilentWatch) {
  feed.listPage = page({{.name = "a", .revision = 1}}, 1);
  feed.silent = true;
  follower->start();
  env.run(1s);
  feed.listPage = page({{.name = "a", .revision = 2}}, 2);
  follower->restartUnlessListing();
  env.run(1s);
  EXPECT_EQ(known["a"], 2U);
}

// Guards against a host that hears of news and reads them only after a long pause or watch.
TEST_F(ObjectFollowerTest, RefreshEndsAPauseAndAWatch) {
  feed.listPage = page({}, 1);
  feed.watches.push_back(page({{.name = "a", .revision = 2}}, 2));
  follower->setBatchPause(1min);
  follower->start();
  env.run(1s); // in the pause after the first change
  EXPECT_EQ(follower->revision(), 2U);
  feed.watches.push_back(page({{.name = "a", .revision = 3}}, 3));
  follower->restartWatch();
  env.run(1s);
  EXPECT_EQ(known["a"], 3U);
  EXPECT_EQ(feed.lists, 1);
}

// Guards against a refresh that hides that the store does not answer.
TEST_F(ObjectFollowerTest, RefreshLeavesAFailingListAlone) {
  feed.listPage = {.status = FeedStatus::Failed};
  follower->start();
  env.run(1s);
  follower->restartWatch();
  env.run(1s);
  EXPECT_FALSE(connected);
  EXPECT_TRUE(feed.watchedFrom.empty());
}

} // namespace
} // namespace catkin::fleet
