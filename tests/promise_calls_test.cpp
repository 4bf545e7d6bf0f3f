#include "config.h"
#include "ledger_p.h"
#include "scenarios_p.h"

#include <gtest/gtest.h>

namespace catkin::harness {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t Seeds = 300;

Event ranEvent(const std::string &key, const std::string &request) {
  return {.kind = EventKind::CallRan, .endpoint = request, .detail = key};
}

Event answerEvent(const std::string &key, const std::string &request, const std::string &outcome) {
  return {.kind = EventKind::Custom, .endpoint = request, .model = key, .detail = outcome};
}

// Guards against checkers that miss a violation.
TEST(PromiseCalls, CheckersRejectBadHistories) {
  EXPECT_EQ(checkRunsAtMostOnce({ranEvent("k", "r1"), ranEvent("k", "r2")}).size(), 1U);
  EXPECT_TRUE(checkRunsAtMostOnce({ranEvent("k", "r1"), ranEvent("l", "r2")}).empty());
  EXPECT_EQ(checkOutcomesAreTrue({answerEvent("k", "r", "not_run"), ranEvent("k", "r")}).size(),
            1U);
  EXPECT_EQ(checkOutcomesAreTrue({answerEvent("k", "r", "ran"), ranEvent("k", "r")}).size(), 1U);
  EXPECT_TRUE(checkOutcomesAreTrue({ranEvent("k", "r"), answerEvent("k", "r", "ran"),
                                    answerEvent("k", "r2", "not_run")})
                  .empty());
}

// P5 and P6 hold under kills, freezes, outages, lost requests and replies, and duplicates.
TEST(PromiseCalls, RunsAtMostOnceAndAnswersTruthfully) {
  EXPECT_EQ(runSeeds("calls", runCallsSeed, 1, Seeds), std::vector<std::uint64_t>{});
}

// Guards against a scenario whose faults are too mild to reveal a missing safety mechanism.
TEST(PromiseCalls, RemovedGuardsAreCaught) {
  Guards noClaim{.claimBeforeCall = false};
  EXPECT_TRUE(isCaught(runCallsSeed, Seeds, noClaim));
  Guards noReadBack{.recogniseOwnWrite = false};
  EXPECT_TRUE(isCaught(runCallsSeed, Seeds, noReadBack));
}

/// One host with a ledger on a healthy platform.
struct LedgerTest : testing::Test {
  World world{1};
  std::shared_ptr<Process> process = world.addProcess(HostName("h"), {"10.0.0.1", 1});
  bool othersAlive = true;
  Ledger ledger{*process, {.host = HostName("h"), .incarnation = 1}, aliveCheck()};
  CallKey key{PlanName("p"), ServiceName("s"), "k", "hash"};

  Ledger::AliveCheck aliveCheck() {
    return [this](const HostName &, std::uint64_t) { return othersAlive; };
  }

  ClaimResult claim(const CallKey &k, Ledger &by) {
    std::optional<ClaimResult> result;
    by.claim(k, world.now() + 2s, [&](const ClaimResult &r) { result = r; });
    world.runUntil([&] { return result.has_value(); }, 3s);
    return result.value();
  }
};

// Guards against replaying an answer that differs from the stored one or exceeds the size limit.
TEST_F(LedgerTest, StoredAnswerIsReplayedAndCut) {
  auto granted = claim(key, ledger);
  ASSERT_EQ(granted.outcome, ClaimOutcome::Granted);
  std::string body(config::MaxStoredAnswerBytes + 1, '\xff');
  ledger.finish(key, granted.attemptId, {.status = 201, .contentType = "a/b", .body = body});
  world.run(1s);
  EXPECT_EQ(ledger.openClaimCount(), 0U);
  auto replay = claim(key, ledger);
  EXPECT_EQ(replay.outcome, ClaimOutcome::Replay);
  EXPECT_EQ(replay.answer.status, 201);
  EXPECT_EQ(replay.answer.contentType, "a/b");
  EXPECT_TRUE(replay.answer.truncated);
  EXPECT_EQ(replay.answer.body, body.substr(1));
  auto other = key;
  other.requestHash = "other";
  EXPECT_EQ(claim(other, ledger).outcome, ClaimOutcome::KeyReused);
}

// Guards against a host that takes over another host's claim, or waits for a process that has
// ended.
TEST_F(LedgerTest, ClaimOfAnotherHostIsNeverTakenOver) {
  auto second = world.addProcess(HostName("i"), {"10.0.0.2", 1});
  Ledger other(*second, {.host = HostName("i"), .incarnation = 1}, aliveCheck());
  auto granted = claim(key, ledger);
  EXPECT_EQ(claim(key, other).outcome, ClaimOutcome::InProgress);
  othersAlive = false;
  EXPECT_EQ(claim(key, other).outcome, ClaimOutcome::MayHaveRun);
  ledger.markLost(key, granted.attemptId);
  world.run(1s);
  EXPECT_EQ(claim(key, other).outcome, ClaimOutcome::MayHaveRun);
}

// Guards against an abandoned claim that blocks its key, and against erasing records that have not
// expired.
TEST_F(LedgerTest, AbandonedAndExpiredRecordsAreErased) {
  auto granted = claim(key, ledger);
  world.faults().platformDown = true;
  ledger.abandon(key, granted.attemptId);
  world.run(10s);
  EXPECT_EQ(ledger.openClaimCount(), 1U);
  EXPECT_EQ(claim(key, ledger).outcome, ClaimOutcome::Unavailable);
  world.faults().platformDown = false;
  world.run(10s);
  EXPECT_EQ(ledger.openClaimCount(), 0U);
  EXPECT_TRUE(world.objects().empty());

  auto again = claim(key, ledger);
  EXPECT_EQ(again.outcome, ClaimOutcome::Granted);
  ledger.finish(key, again.attemptId, {.status = 200});
  world.run(1h);
  ledger.expire();
  world.run(1s);
  EXPECT_EQ(world.objects().size(), 1U);
  world.run(24h);
  for (int part = 0; part < 256; ++part)
    ledger.expire({ServiceName("other")});
  world.run(1s);
  EXPECT_EQ(world.objects().size(), 1U);
  for (int part = 0; part < 256; ++part)
    ledger.expire({key.service});
  world.run(1s);
  EXPECT_TRUE(world.objects().empty());
}

} // namespace
} // namespace catkin::harness
