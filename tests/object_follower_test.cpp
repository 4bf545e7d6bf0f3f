#include "fleet_world_p.h"
#include "object_follower_p.h"

#include <gtest/gtest.h>

#include <deque>

namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

/// A feed with scripted answers. A watch without a scripted answer waits for its whole time.
class ScriptedFeed : public ObjectFeed {
public:
  explicit ScriptedFeed(FakeEnv &env) : env(env) {}
  void list(const std::string &, const std::string &after, FeedDone done) override {
    ++listCount;
    firstPageCount += after.empty() ? 1 : 0;
    auto page = after.empty() ? listPage : lastPage;
    if (ignoresLists)
      return;
    env.after(1ms, [done, page] { done(page); });
  }
  void get(const std::string &, const std::string &, FeedDone) override {}
  void watch(const std::string &, StoreRevision revision, const WatchLimits &limits,
             FeedDone done) override {
    watchRevisions.push_back(revision);
    if (watchAnswers.empty()) {
      // A watch without changes is answered when its time has passed, unless watches are ignored.
      if (!ignoresWatches)
        env.after(limits.maxWait, [done, revision] {
          done(FeedPage{.status = FeedStatus::Ok, .objects = {}, .revision = revision});
        });
      return;
    }
    auto page = watchAnswers.front();
    watchAnswers.pop_front();
    env.after(watchDelay, [done, page] { done(page); });
  }

  FeedPage listPage;
  FeedPage lastPage;
  std::deque<FeedPage> watchAnswers;
  std::vector<StoreRevision> watchRevisions;
  Duration watchDelay = 1ms; ///< delay of the scripted answers to watches
  int listCount = 0;
  int firstPageCount = 0;      ///< lists that started with the first page
  bool ignoresWatches = false; ///< watches are never answered
  bool ignoresLists = false;   ///< lists are never answered

private:
  FakeEnv &env;
};

class ObjectFollowerTest : public ::testing::Test {
protected:
  void SetUp() override {
    follower = std::make_unique<ObjectFollower>(
        env, feed, FollowerOptions{.kind = "k"},
        ObjectFollower::Hooks{
            .changed =
                [this](const FeedObject &it) {
                  if (it.removed)
                    known.erase(it.name);
                  else
                    known[it.name] = it.revision;
                },
            .connectionChanged = [this](bool on) { connected = on; },
            .restored = [this](std::uint64_t era) { restoredEras.push_back(era); },
            .upToDate = [this](Instant sentAt, std::uint64_t) { provenTimes.push_back(sentAt); }});
  }

  static FeedPage makePage(std::vector<FeedObject> objects, StoreRevision revision) {
    return {.status = FeedStatus::Ok, .objects = std::move(objects), .revision = revision};
  }

  FakeEnv env;
  ScriptedFeed feed{env};
  std::unique_ptr<ObjectFollower> follower;
  std::map<std::string, StoreRevision> known;
  bool connected = false;
  std::vector<std::uint64_t> restoredEras;
  std::vector<Instant> provenTimes;
};

// Guards against a proof that counts from the answer, and against one by a stale answer.
TEST_F(ObjectFollowerTest, LateOrStaleAnswerProvesTooMuch) {
  feed.listPage = makePage({{.name = "a", .revision = 3}}, 9);
  const Instant start = env.now();
  follower->start();
  env.run(1ms);
  EXPECT_EQ(provenTimes, std::vector<Instant>{start});
  follower->setWatchLimits({.maxWait = 1s, .mayBeStale = true}); // for the watches after this one
  env.run(20s);
  EXPECT_EQ(provenTimes, (std::vector<Instant>{start, start + 1ms}));
  env.run(5s);
  EXPECT_EQ(provenTimes.size(), 2U);
}

// Guards against missing a change to an object on an early page while later pages are read: the
// revision of the last page is newer than this change.
TEST_F(ObjectFollowerTest, ReadsAllPagesThenWatchesFromTheFirstOne) {
  feed.listPage = makePage({{.name = "a", .revision = 3}}, 9);
  feed.listPage.continueAfter = "a";
  feed.lastPage = makePage({{.name = "b", .revision = 4}}, 10);
  follower->start();
  env.run(1s);
  EXPECT_EQ(known.size(), 2U);
  EXPECT_EQ(feed.watchRevisions.front(), 9U);
  EXPECT_TRUE(follower->isSynced());
}

// Guards against a long list that restarts with its first page whenever one page fails. Such a list
// never completes while all hosts read at the same time.
TEST_F(ObjectFollowerTest, AListGoesOnWithThePageThatFailed) {
  feed.listPage = makePage({{.name = "a", .revision = 3}}, 9);
  feed.listPage.continueAfter = "a";
  feed.lastPage = {.status = FeedStatus::Failed};
  follower->start();
  env.run(1s);
  EXPECT_FALSE(follower->isSynced());
  EXPECT_EQ(feed.firstPageCount, 1);
  feed.lastPage = makePage({{.name = "b", .revision = 4}}, 10);
  env.run(1s);
  EXPECT_TRUE(follower->isSynced());
  EXPECT_EQ(known.size(), 2U);
  EXPECT_EQ(feed.firstPageCount, 1);
}

// Guards against an object that is kept indefinitely because its removal was in the lost history.
TEST_F(ObjectFollowerTest, LostHistoryBringsANewList) {
  feed.listPage = makePage({{.name = "a", .revision = 3}, {.name = "b", .revision = 4}}, 4);
  feed.watchAnswers.push_back({.status = FeedStatus::HistoryGone});
  follower->start();
  env.run(1ms);
  feed.listPage = makePage({{.name = "b", .revision = 4}, {.name = "c", .revision = 7}}, 8);
  env.run(1s);
  EXPECT_EQ(known.count("a"), 0U);
  EXPECT_EQ(known.count("c"), 1U);
}

// Guards against a late answer that replaces a newer state by an older one.
TEST_F(ObjectFollowerTest, OlderStatesAreIgnored) {
  feed.listPage = makePage({{.name = "a", .revision = 9}}, 9);
  feed.watchAnswers.push_back(makePage({{.name = "a", .revision = 5}}, 10));
  follower->start();
  env.run(1s);
  EXPECT_EQ(known["a"], 9U);
}

TEST_F(ObjectFollowerTest, FailureIsReportedAndRetried) {
  feed.listPage = {.status = FeedStatus::Failed};
  follower->start();
  env.run(1s);
  EXPECT_FALSE(connected);
  feed.listPage = makePage({}, 1);
  env.run(1s);
  EXPECT_TRUE(connected);
  EXPECT_GT(feed.listCount, 2);
}

// Guards against a watch that stopped answering in an outage and hides all later changes.
TEST_F(ObjectFollowerTest, RestartLeavesASilentWatch) {
  feed.listPage = makePage({{.name = "a", .revision = 1}}, 1);
  feed.ignoresWatches = true;
  follower->start();
  env.run(1min);
  feed.listPage = makePage({{.name = "a", .revision = 2}}, 2);
  follower->restart();
  env.run(1s);
  EXPECT_EQ(known["a"], 2U);
}

// Guards against restarting the list of a large object whenever another host reports a newer
// version.
TEST_F(ObjectFollowerTest, CatchingUpLeavesAListAlone) {
  feed.ignoresWatches = true;
  feed.ignoresLists = true;
  follower->start();
  env.run(1s);
  const int listCount = feed.listCount;
  follower->restartUnlessListing();
  env.run(1s);
  EXPECT_EQ(feed.listCount, listCount);
}

// Guards against a pause in addition to the timeout of a silent watch.
TEST_F(ObjectFollowerTest, AWatchGivenUpLateIsFollowedByAListAtOnce) {
  feed.listPage = makePage({{.name = "a", .revision = 1}}, 1);
  feed.watchAnswers.push_back({.status = FeedStatus::Failed});
  feed.watchDelay = 2s;
  follower->start();
  env.run(1s);
  feed.listPage = makePage({{.name = "a", .revision = 2}}, 2);
  env.run(1010ms);
  EXPECT_EQ(known["a"], 2U);
}

// Guards against lists in a tight loop while the store answers lists and refuses each watch.
TEST_F(ObjectFollowerTest, AWatchRefusedAtOnceIsFollowedByAPause) {
  feed.listPage = makePage({}, 1);
  for (int i = 0; i < 100; ++i)
    feed.watchAnswers.push_back({.status = FeedStatus::Failed});
  follower->start();
  env.run(3s);
  EXPECT_LE(feed.listCount, 11);
}

// Guards against a host that keeps a silent watch although another host has reported a newer
// version.
TEST_F(ObjectFollowerTest, CatchingUpLeavesASilentWatch) {
  feed.listPage = makePage({{.name = "a", .revision = 1}}, 1);
  feed.ignoresWatches = true;
  follower->start();
  env.run(1s);
  feed.listPage = makePage({{.name = "a", .revision = 2}}, 2);
  follower->restartUnlessListing();
  env.run(1s);
  EXPECT_EQ(known["a"], 2U);
}

// Guards against a host that learns of a change and reads it only after a long pause or watch.
TEST_F(ObjectFollowerTest, RefreshEndsAPauseAndAWatch) {
  feed.listPage = makePage({}, 1);
  feed.watchAnswers.push_back(makePage({{.name = "a", .revision = 2}}, 2));
  follower->setBatchPause(1min);
  follower->start();
  env.run(1s); // now in the pause after the first change
  EXPECT_EQ(follower->revision(), 2U);
  feed.watchAnswers.push_back(makePage({{.name = "a", .revision = 3}}, 3));
  follower->restartWatch();
  env.run(1s);
  EXPECT_EQ(known["a"], 3U);
  EXPECT_EQ(feed.listCount, 1);
}

// Guards against a restarted watch that hides that the store does not answer.
TEST_F(ObjectFollowerTest, RefreshLeavesAFailingListAlone) {
  feed.listPage = {.status = FeedStatus::Failed};
  follower->start();
  env.run(1s);
  follower->restartWatch();
  env.run(1s);
  EXPECT_FALSE(connected);
  EXPECT_TRUE(feed.watchRevisions.empty());
}

// ---- A store that comes back from an older copy ------------------------------------------------

FeedObject makeObject(const char *name, std::uint64_t era, std::uint64_t number) {
  return {.name = name, .revision = {era, number}};
}

TEST_F(ObjectFollowerTest, ChangesAfterARestoreAreTakenForOld) {
  feed.listPage = makePage({makeObject("a", 1, 9), makeObject("lost", 1, 8)}, {1, 9});
  follower->start();
  env.run(100ms);
  feed.listPage = makePage({makeObject("a", 2, 3)}, {2, 3});
  feed.watchAnswers = {makePage({makeObject("a", 2, 4)}, {2, 4})};
  follower->restart(); // the list is the first answer of the new era
  env.run(100ms);
  EXPECT_EQ(known.at("a"), StoreRevision(2, 4));
  EXPECT_EQ(known.count("lost"), 0U);
  EXPECT_EQ(restoredEras, std::vector<std::uint64_t>{2});
}

// The watch succeeds: the store has given out its revision again.
TEST_F(ObjectFollowerTest, WatchGoesOnInTheNextEra) {
  feed.listPage = makePage({makeObject("a", 1, 9)}, {1, 9});
  feed.watchAnswers = {makePage({makeObject("b", 2, 10)}, {2, 10})};
  follower->start();
  feed.watchDelay = 50ms;
  env.run(20ms);
  feed.listPage = makePage({makeObject("a", 2, 5), makeObject("b", 2, 10)}, {2, 10});
  env.run(100ms);
  EXPECT_EQ(known.at("a"), StoreRevision(2, 5));
  EXPECT_EQ(feed.firstPageCount, 2);
  EXPECT_EQ(feed.watchRevisions.back(), StoreRevision(2, 10));
}

TEST_F(ObjectFollowerTest, PagesOfTwoErasMakeOneList) {
  feed.listPage = makePage({makeObject("a", 1, 9)}, {1, 9});
  feed.listPage.continueAfter = "a";
  feed.lastPage = makePage({makeObject("b", 2, 4)}, {2, 4});
  follower->start();
  env.run(1ms);
  feed.listPage = makePage({makeObject("a", 2, 3)}, {2, 4});
  feed.listPage.continueAfter = "a";
  env.run(100ms);
  EXPECT_EQ(known.at("a"), StoreRevision(2, 3));
  EXPECT_EQ(feed.firstPageCount, 2);
}

TEST_F(ObjectFollowerTest, LateAnswerFromBeforeARestoreIsUsed) {
  feed.listPage = makePage({makeObject("a", 2, 3)}, {2, 3});
  feed.watchAnswers = {makePage({makeObject("a", 1, 12)}, {1, 12})};
  follower->start();
  env.run(1s);
  EXPECT_EQ(known.at("a"), StoreRevision(2, 3));
  EXPECT_TRUE(restoredEras.empty());
}

} // namespace
} // namespace catkin::fleet
