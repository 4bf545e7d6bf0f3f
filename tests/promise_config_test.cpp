#include "config_sync_p.h"
#include "scenarios_p.h"

#include <gtest/gtest.h>

namespace catkin::harness {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t Seeds = 200;

std::string documentOf(std::uint64_t revision, int concurrency) {
  Lists lists{.revision = revision, .editId = "e"};
  PlanName plan("p");
  lists.plans[plan] = {.name = plan, .grant = {.concurrency = concurrency}};
  return formatLists(lists);
}

Event written(std::uint64_t revision, int mark) {
  return {
      .kind = EventKind::Write, .endpoint = "config/lists", .detail = documentOf(revision, mark)};
}

Event answered(const std::string &mark, EditOutcome outcome, std::uint64_t revision) {
  return {.kind = EventKind::Custom,
          .model = mark,
          .detail = std::string(toString(outcome)),
          .number = revision};
}

Event applied(const std::string &host, std::uint64_t revision) {
  return {.kind = EventKind::Custom, .host = host, .detail = "applied", .number = revision};
}

// Guards against checkers that miss a violation.
TEST(PromiseConfig, CheckersRejectBadHistories) {
  EXPECT_EQ(checkRevisionsNeverFall({applied("h", 2), applied("h", 1)}).size(), 1U);
  EXPECT_TRUE(checkRevisionsNeverFall({applied("h", 2), applied("i", 1)}).empty());
  using enum EditOutcome;
  EXPECT_EQ(checkEditAnswersAreTrue({answered("7", Accepted, 1)}).size(), 1U);
  EXPECT_EQ(checkEditAnswersAreTrue({written(1, 7), answered("7", Accepted, 2)}).size(), 1U);
  for (auto it : {Conflict, Invalid, NotAccepted})
    EXPECT_EQ(checkEditAnswersAreTrue({answered("7", it, 0), written(1, 7)}).size(), 1U);
  EXPECT_EQ(checkEditAnswersAreTrue({written(1, 7), written(1, 8)}).size(), 1U);
  EXPECT_TRUE(checkEditAnswersAreTrue({written(1, 7), answered("7", Accepted, 1),
                                       answered("8", Conflict, 1), answered("9", Unknown, 0)})
                  .empty());
}

// P9 holds under kills, freezes, outages, lost requests and replies, lost and reordered messages,
// and concurrent edits.
TEST(PromiseConfig, EditsReachAllHostsAndNeverRevert) {
  EXPECT_EQ(runSeeds("config", runConfigSeed, 1, Seeds), std::vector<std::uint64_t>{});
}

// Guards against a scenario whose faults are too mild to reveal a missing safety mechanism.
TEST(PromiseConfig, RemovedGuardsAreCaught) {
  Guards older{.rejectOlderRevision = false};
  EXPECT_TRUE(isCaught(runConfigSeed, Seeds, older));
  Guards noReadBack{.recogniseOwnWrite = false};
  EXPECT_TRUE(isCaught(runConfigSeed, Seeds, noReadBack));
}

/// One host with up to three peers whose lists documents the test sets.
struct ConfigSyncTest : testing::Test {
  World world{1};
  std::shared_ptr<Process> process = world.addProcess(HostName("h"), {"10.0.0.1", 1});
  std::vector<Address> peers{{"10.0.0.2", 1}, {"10.0.0.3", 1}, {"10.0.0.4", 1}};
  std::map<Address, std::string> documents;
  ConfigSync config{*process, {.peers = peers}, {}};

  void addPeer(int i, const std::string &document) {
    documents[peers[i]] = document;
    world.addProcess(HostName("p" + std::to_string(i)), peers[i])
        ->onCall([this, i](auto &, auto &, auto done) { done(documents[peers[i]]); });
  }

  EditResult edit(const std::string &document, std::uint64_t expected) {
    std::optional<EditResult> result;
    config.edit(ListKind::Plans, document, expected, [&](const EditResult &r) { result = r; });
    world.runUntil([&] { return result.has_value(); }, 60s);
    return result.value();
  }
};

// Guards against starting with the lists of a minority of the peers, or of peers without lists.
TEST_F(ConfigSyncTest, StartsFromMoreThanHalfOfThePeersDuringAnOutage) {
  world.faults().platformDown = true;
  addPeer(0, documentOf(5, 1));
  addPeer(1, "{}");
  config.start();
  world.run(5s);
  EXPECT_FALSE(config.isReady());
  EXPECT_EQ(config.document(), "");
  addPeer(2, documentOf(6, 1));
  world.run(2s);
  EXPECT_TRUE(config.isReady());
  EXPECT_EQ(config.currentLists()->revision, 6U);
  EXPECT_EQ(edit(R"({"plans":[]})", 6).outcome, EditOutcome::NotAccepted);
  documents[peers[0]] = documentOf(7, 1);
  config.onRevisionSeen(7, peers[0]);
  world.run(1s);
  EXPECT_EQ(config.currentLists()->revision, 7U);
}

// Guards against an answer that does not name the invalid field or the current revision, and
// against applying an invalid stored object.
TEST_F(ConfigSyncTest, EditsAreAnsweredWithTheReason) {
  config.start();
  world.run(1s);
  EXPECT_TRUE(config.isReady());
  EXPECT_EQ(config.currentLists()->revision, 0U);
  auto invalid = edit(R"({"plans":[{"name":"p"}]})", 0);
  EXPECT_EQ(invalid.outcome, EditOutcome::Invalid);
  EXPECT_EQ(invalid.errors.at(0).path, "plans[0].keys");
  auto accepted = edit(R"({"plans":[]})", 0);
  EXPECT_EQ(accepted.outcome, EditOutcome::Accepted);
  EXPECT_EQ(accepted.revision, 1U);
  auto conflict = edit(R"({"plans":[]})", 0);
  EXPECT_EQ(conflict.outcome, EditOutcome::Conflict);
  EXPECT_EQ(conflict.revision, 1U);
  world.putObject("config/lists", R"({"revision":9})");
  world.run(1s);
  EXPECT_EQ(config.currentLists()->revision, 1U);
}

// Guards against accepting two edits of one revision, and against accepting none on a healthy
// system.
TEST_F(ConfigSyncTest, OneOfTwoRacingEditsIsAccepted) {
  auto second = world.addProcess(HostName("i"), {"10.0.0.9", 1});
  ConfigSync other(*second, {}, {});
  std::vector<EditResult> results;
  auto collect = [&](const EditResult &r) { results.push_back(r); };
  config.edit(ListKind::Plans, R"({"plans":[]})", 0, collect);
  other.edit(ListKind::Plans, R"({"plans":[]})", 0, collect);
  world.run(1s);
  ASSERT_EQ(results.size(), 2U);
  EXPECT_EQ(results[0].outcome, EditOutcome::Accepted);
  EXPECT_EQ(results[1].outcome, EditOutcome::Conflict);
  EXPECT_EQ(results[1].revision, 1U);
}

// Guards against answering `unknown` for an edit whose outcome can be read back.
TEST_F(ConfigSyncTest, LostRepliesAreResolvedByReadingBack) {
  config.start();
  world.run(1s);
  world.faults().loseWriteReply = 1;
  auto result = edit(R"({"plans":[]})", 0);
  EXPECT_EQ(result.outcome, EditOutcome::Accepted);
  EXPECT_TRUE(result.readBack);
  world.faults().loseWriteReply = 0;
  world.faults().loseRequest = 1;
  world.schedule(5s, [this] { world.faults().loseRequest = 0; });
  EXPECT_EQ(edit(R"({"plans":[]})", 1).outcome, EditOutcome::Accepted);
  world.faults().loseRequest = 1;
  EXPECT_EQ(edit(R"({"plans":[]})", 2).outcome, EditOutcome::Unknown);
}

} // namespace
} // namespace catkin::harness
