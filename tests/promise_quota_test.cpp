#include "config.h"
#include "scenarios_p.h"
#include "share_targets_p.h"
#include "shares_p.h"

#include <gtest/gtest.h>

#include <numeric>

namespace catkin::harness {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t Seeds = 200;

Event event(const std::string &detail, std::uint64_t number = 0, const std::string &model = {}) {
  return {.kind = EventKind::Custom, .model = model, .detail = detail, .number = number};
}

// Guards against a checker that misses a violation.
TEST(PromiseQuota, CheckerRejectsBadHistories) {
  auto grant = event("grant", 2, "1");
  auto start = event("start");
  EXPECT_EQ(checkRunningWithinGrant({grant, start, start, start}).size(), 1U);
  EXPECT_TRUE(checkRunningWithinGrant({grant, start, start, event("end"), start}).empty());
  auto lower = event("grant", 1, "2");
  EXPECT_TRUE(checkRunningWithinGrant({grant, start, lower, start}).empty());
  EXPECT_EQ(checkRunningWithinGrant({grant, start, start, lower, event("in_force", 0, "2")}).size(),
            1U);
  EXPECT_EQ(checkRunningWithinGrant({grant, event("recorded", 3)}).size(), 1U);
}

// The sum of running requests stays within the grant under kills, freezes, outages, lost replies,
// lost and reordered messages, and changes of the planner and of the grant.
TEST(PromiseQuota, RunningNeverExceedsTheGrant) {
  EXPECT_EQ(runSeeds("quota", runQuotaSeed, 1, Seeds), std::vector<std::uint64_t>{});
}

// Guards against a scenario whose faults are too mild to reveal a missing safety mechanism.
TEST(PromiseQuota, RemovedGuardsAreCaught) {
  Guards noWait{.lowerBeforeRaise = false};
  EXPECT_TRUE(isCaught(runQuotaSeed, Seeds, noWait));
  Guards noReadBack{.recogniseOwnWrite = false};
  EXPECT_TRUE(isCaught(runQuotaSeed, Seeds, noReadBack));
}

// Guards against assigning more units than are available, and against starving a small demand.
TEST(ShareTargets, UnitsFollowDemandWithinWhatIsAvailable) {
  auto divide = [](int available, const std::vector<int> &demands, std::uint64_t turn = 0) {
    std::vector<HolderDemand> holders;
    holders.reserve(demands.size());
    for (auto it : demands)
      holders.push_back({.demand = it, .order = holders.size()});
    return divideUnits(available, holders, turn);
  };
  EXPECT_EQ(divide(10, {0, 0, 0, 0}), (std::vector<int>{3, 3, 2, 2}));
  EXPECT_EQ(divide(10, {50, 2, 0, 0}), (std::vector<int>{8, 2, 0, 0}));
  EXPECT_EQ(divide(2, {0, 9, 9, 9}), (std::vector<int>{0, 1, 1, 0}));
  EXPECT_EQ(divide(2, {0, 9, 9, 9}, 1), (std::vector<int>{0, 0, 1, 1}));
  EXPECT_EQ(divide(2, {0, 0, 1, 0}), (std::vector<int>{1, 0, 1, 0}));
  EXPECT_EQ(divide(0, {1, 1}), (std::vector<int>{0, 0}));
}

// Guards against an older share that replaces a newer one, and against acknowledging a lowered
// share while more requests than it allows still run.
TEST(HostShares, LoweredShareIsReportedOnceItsExcessHasEnded) {
  HostShares shares;
  PlanName plan("p");
  Instant now{};
  auto apply = [&](std::uint64_t version, int n) {
    shares.apply({{.plan = plan, .version = version, .concurrency = n, .tokensPerSecond = 10}},
                 now);
  };
  EXPECT_FALSE(shares.tryAcquire(plan, now));
  apply(5, 2);
  EXPECT_TRUE(shares.tryAcquire(plan, now));
  EXPECT_TRUE(shares.tryAcquire(plan, now));
  EXPECT_FALSE(shares.tryAcquire(plan, now));
  apply(6, 1);
  EXPECT_EQ(shares.uses(now).at(0).shareVersion, 5U);
  apply(5, 9);
  EXPECT_EQ(shares.concurrency(plan), 1);
  shares.release(plan, 25, now);
  EXPECT_EQ(shares.uses(now).at(0).shareVersion, 6U);
  shares.release(plan, 0, now);
  EXPECT_FALSE(shares.tryAcquire(plan, now + 2s)); // 25 tokens at 10 tokens/s take 2.5 s
  EXPECT_TRUE(shares.tryAcquire(plan, now + 3s));
}

/// One planner's share table and two hosts, a and b.
struct ShareTableTest : testing::Test {
  World world{1};
  std::shared_ptr<Process> process = world.addProcess(HostName("p"), {"10.0.0.1", 1});
  ShareTable table{*process};
  HolderId a{HostName("a"), 1};
  HolderId b{HostName("b"), 1};
  PlanName plan{"plan"};

  void setGrant(int concurrency, std::uint64_t revision) {
    auto lists = std::make_shared<Lists>();
    lists->revision = revision;
    lists->plans[plan] = {.name = plan, .grant = {.concurrency = concurrency}};
    table.setLists(lists);
  }

  HostShare shareOf(const HolderId &id) {
    auto shares = table.sharesOf(id);
    return shares.empty() ? HostShare{} : shares.front();
  }

  /// Syncs the hosts in `waiting` and ticks every 100 ms for `d`. Each host acknowledges every
  /// share.
  void run(Duration d, const std::map<HolderId, int> &waiting) {
    for (auto end = world.now() + d; world.now() < end; world.run(100ms)) {
      for (auto &[id, n] : waiting)
        table.onSync(id, {{.plan = plan, .waiting = n, .shareVersion = shareOf(id).version}});
      table.tick();
    }
  }
};

// Guards against moving shares while they cannot be recorded, and against keeping the shares of a
// holder that has ended.
TEST_F(ShareTableTest, SharesStayDuringOutageAndReturnWhenTheHolderEnds) {
  setGrant(4, 1);
  table.lead(1);
  run(2s, {{a, 0}, {b, 0}});
  EXPECT_EQ(shareOf(a).concurrency, 2);
  EXPECT_EQ(shareOf(b).concurrency, 2);
  world.faults().platformDown = true;
  run(10s, {{a, 9}, {b, 0}});
  EXPECT_EQ(shareOf(a).concurrency, 2);
  EXPECT_EQ(table.recordedConcurrency(plan), 4);
  world.faults().platformDown = false;
  run(10s, {{a, 9}}); // b does not sync but may still run requests
  EXPECT_EQ(shareOf(a).concurrency, 2);
  table.onHolderEnded(b);
  run(2s, {{a, 9}});
  EXPECT_EQ(shareOf(a).concurrency, 4);
}

// Guards against a former planner that still writes or announces shares after a new one leads.
TEST_F(ShareTableTest, NewPlannerReadsTheTableAndFencesTheOld) {
  setGrant(4, 1);
  table.lead(1);
  run(2s, {{a, 0}, {b, 0}});
  auto before = shareOf(a);
  auto second = world.addProcess(HostName("q"), {"10.0.0.2", 1});
  ShareTable newer(*second);
  auto lists = std::make_shared<Lists>();
  lists->revision = 1;
  lists->plans[plan] = {.name = plan, .grant = {.concurrency = 4}};
  newer.setLists(lists);
  newer.lead(2);
  EXPECT_FALSE(newer.isReady());
  EXPECT_TRUE(newer.sharesOf(a).empty());
  EXPECT_TRUE(newer.holders().empty());
  world.run(100ms);
  newer.onSync(a, {});
  newer.tick();
  world.run(100ms);
  ASSERT_EQ(newer.sharesOf(a).size(), 1U);
  EXPECT_EQ(newer.sharesOf(a)[0].concurrency, 2);
  EXPECT_GT(newer.sharesOf(a)[0].version, before.version);
  // b has not synced with the new planner, which must still track when b ends.
  EXPECT_EQ(newer.holders(), (std::vector<HolderId>{a, b}));
  auto written = world.objects().at("shares/plan").version;
  run(5s, {{a, 9}, {b, 0}});
  EXPECT_EQ(world.objects().at("shares/plan").version, written);
}

// Guards against exceeding the limit of platform writes per second when many plans need a write.
TEST_F(ShareTableTest, WritesAreBounded) {
  auto lists = std::make_shared<Lists>();
  for (int i = 0; i < 300; ++i) {
    PlanName name("plan" + std::to_string(i));
    lists->plans[name] = {.name = name, .grant = {.concurrency = 1}};
  }
  table.setLists(lists);
  table.lead(1);
  run(5s, {{a, 0}});
  auto written = world.objects().size();
  EXPECT_LE(written, 6 * config::ShareWritesPerSecond);
  EXPECT_GE(written, 4 * config::ShareWritesPerSecond);
  run(12s, {{a, 0}});
  EXPECT_EQ(world.objects().size(), 300U);
}

// Guards against keeping shares of a plan that was removed from the lists.
TEST_F(ShareTableTest, RemovedPlanGivesEverythingBack) {
  setGrant(4, 1);
  table.lead(1);
  run(2s, {{a, 0}, {b, 3}});
  auto lists = std::make_shared<Lists>();
  lists->revision = 2;
  table.setLists(lists);
  run(3s, {{a, 0}, {b, 3}});
  EXPECT_TRUE(table.sharesOf(b).empty());
  EXPECT_TRUE(world.objects().empty());
}

} // namespace
} // namespace catkin::harness
