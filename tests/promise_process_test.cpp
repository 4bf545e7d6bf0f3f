#include "load_generator_p.h"
#include "process_cluster_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <future>
#include <set>
#include <thread>

namespace catkin {
namespace {

using namespace std::chrono_literals;

using PendingResult = std::future<HttpResult>;

PendingResult startCompletion(const ProcessCluster &cluster, int host, std::string model,
                              std::string prompt, unsigned tokens = 8, bool stream = false) {
  return std::async(std::launch::async, [&cluster, host, model = std::move(model),
                                         prompt = std::move(prompt), tokens, stream] {
    return cluster.requestCompletion(host, model, prompt, tokens, stream);
  });
}

PendingResult startConfirm(const ProcessCluster &cluster, int host, std::string key) {
  return std::async(std::launch::async, [&cluster, host, key = std::move(key)] {
    return cluster.requestConfirm(host, key, R"({"bottles":4})");
  });
}

/// Formats a result for the message of a failed assertion.
std::string describe(const HttpResult &result) {
  return std::string(toString(result.status)) + " " + std::to_string(statusOf(result)) + " " +
         result.response.body();
}

void expectNoOvercommit(const ProcessCluster &cluster) {
  EXPECT_EQ(cluster.engineFaultCount("overcommits"), 0);
}

bool waitForLoadToStart(const ProcessCluster &cluster, const char *model) {
  return pollUntil([&] { return !cluster.enginesWith(model).empty(); });
}

// Guards against a second replica, or requests without an answer, when the planner is killed while
// a load that it ordered is in progress (P1, P2, P3).
TEST(Process, PlannerKilledInMidLoad) {
  ProcessCluster cluster;
  ASSERT_TRUE(cluster.isReady()) << cluster.error;
  const int planner = cluster.planner();
  const int a = (planner + 1) % cluster.hostCount();
  const int b = (planner + 2) % cluster.hostCount();
  auto first = startCompletion(cluster, a, ProcessCluster::Model, "first");
  auto second = startCompletion(cluster, b, ProcessCluster::Model, "second");
  ASSERT_TRUE(waitForLoadToStart(cluster, ProcessCluster::Model));
  cluster.signalHost(planner, SIGKILL);
  EXPECT_EQ(cluster.waitForHostExit(planner), 128 + SIGKILL);
  const auto one = first.get();
  const auto two = second.get();
  EXPECT_TRUE(isWholeAnswer(one, ProcessCluster::Model, "first")) << describe(one);
  EXPECT_TRUE(isWholeAnswer(two, ProcessCluster::Model, "second")) << describe(two);
  // A new planner orders the next load, and the killed host is restarted.
  const auto other = cluster.requestCompletion(a, ProcessCluster::SecondModel, "third");
  EXPECT_TRUE(isWholeAnswer(other, ProcessCluster::SecondModel, "third")) << describe(other);
  cluster.startHost(planner);
  ASSERT_TRUE(pollUntil([&] { return cluster.isHostReady(planner); }));
  const auto back = cluster.requestCompletion(planner, ProcessCluster::Model, "fourth");
  EXPECT_TRUE(isWholeAnswer(back, ProcessCluster::Model, "fourth")) << describe(back);
  EXPECT_EQ(cluster.enginesWith(ProcessCluster::Model).size(), 1U);
  EXPECT_EQ(cluster.enginesWith(ProcessCluster::SecondModel).size(), 1U);
  expectNoOvercommit(cluster);
}

/// Pauses the planner during a load until its lease has expired. When it continues, a cold request
/// is waiting for its decision.
void runPausedPlannerTest(std::vector<std::string> engineFlags) {
  ProcessCluster cluster({.engineFlags = std::move(engineFlags)});
  ASSERT_TRUE(cluster.isReady()) << cluster.error;
  const int planner = cluster.planner();
  const auto term = cluster.leaseTerm();
  const int a = (planner + 1) % cluster.hostCount();
  auto first = startCompletion(cluster, a, ProcessCluster::Model, "first");
  ASSERT_TRUE(waitForLoadToStart(cluster, ProcessCluster::Model));
  cluster.signalHost(planner, SIGSTOP);
  auto sentToPaused = startCompletion(cluster, planner, ProcessCluster::SecondModel, "asleep");
  ASSERT_TRUE(
      pollUntil([&] { return cluster.leaseTerm() > term && cluster.planner() != planner; }));
  const auto one = first.get();
  EXPECT_TRUE(isWholeAnswer(one, ProcessCluster::Model, "first")) << describe(one);
  auto sentToOther = startCompletion(cluster, a, ProcessCluster::SecondModel, "awake");
  cluster.signalHost(planner, SIGCONT);
  const auto two = sentToPaused.get();
  const auto three = sentToOther.get();
  EXPECT_TRUE(isWholeAnswer(two, ProcessCluster::SecondModel, "asleep")) << describe(two);
  EXPECT_TRUE(isWholeAnswer(three, ProcessCluster::SecondModel, "awake")) << describe(three);
  for (int i = 0; i < cluster.hostCount(); ++i) {
    const auto it = cluster.requestCompletion(i, ProcessCluster::Model, "after");
    EXPECT_TRUE(isWholeAnswer(it, ProcessCluster::Model, "after")) << describe(it);
  }
  EXPECT_EQ(cluster.enginesWith(ProcessCluster::Model).size(), 1U);
  EXPECT_EQ(cluster.enginesWith(ProcessCluster::SecondModel).size(), 1U);
  expectNoOvercommit(cluster);
}

// Guards against a former planner that continues after a pause and sends orders although another
// host holds the lease (P1, P2).
TEST(Process, PlannerPausedPastItsLease) { runPausedPlannerTest({}); }

// The same with engines that do not refuse the former planner's orders.
TEST(Process, PlannerPausedPastItsLeaseWithoutFencing) {
  runPausedPlannerTest({"--ignore-fencing"});
}

// Guards against warm requests that need the platform, and against non-idempotent calls that run
// without a record or are refused with a wrong outcome while the platform is down (P5, P6).
TEST(Process, PlatformDown) {
  ProcessCluster cluster;
  ASSERT_TRUE(cluster.isReady()) << cluster.error;
  const auto warm = cluster.requestCompletion(0, ProcessCluster::Model, "warm");
  ASSERT_TRUE(isWholeAnswer(warm, ProcessCluster::Model, "warm")) << describe(warm);
  ASSERT_TRUE(
      pollUntil([&] { return statusOf(cluster.requestConfirm(0, "before", "{}")) == 200; }));
  ASSERT_TRUE(
      ProcessCluster::control(cluster.platformAddress(), "/control/faults", R"({"down":true})"));
  // The rounds last longer than the planner's lease: the later ones are served without a planner.
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < cluster.hostCount(); ++i) {
      const auto it = cluster.requestCompletion(i, ProcessCluster::Model, "down");
      EXPECT_TRUE(isWholeAnswer(it, ProcessCluster::Model, "down")) << describe(it);
    }
    std::this_thread::sleep_for(500ms);
  }
  for (int i = 0; i < cluster.hostCount(); ++i) {
    const auto refused = cluster.requestConfirm(i, "during", "{}");
    EXPECT_EQ(memberOf(refused, "outcome"), "not_run") << describe(refused);
    EXPECT_FALSE(refused.response[http::field::retry_after].empty());
  }
  EXPECT_EQ(cluster.serviceRunCount("during"), 0);
  ASSERT_TRUE(
      ProcessCluster::control(cluster.platformAddress(), "/control/faults", R"({"down":false})"));
  EXPECT_TRUE(
      pollUntil([&] { return statusOf(cluster.requestConfirm(1, "during", "{}")) == 200; }));
  EXPECT_EQ(cluster.serviceRunCount("during"), 1);
  const auto cold = cluster.requestCompletion(2, ProcessCluster::SecondModel, "cold");
  EXPECT_TRUE(isWholeAnswer(cold, ProcessCluster::SecondModel, "cold")) << describe(cold);
  expectNoOvercommit(cluster);
}

// Guards against callers that wait for ever, or receive a truncated answer as a complete one, when
// the connection to an engine goes silent during a stream (P3, P4, P5).
TEST(Process, EngineConnectionGoesSilent) {
  constexpr unsigned Tokens = 150;
  ProcessCluster cluster({.engineFlags = {"--token-ms", "20", "--report-lag-ms", "0"}});
  ASSERT_TRUE(cluster.isReady()) << cluster.error;
  const auto warm = cluster.requestCompletion(0, ProcessCluster::Model, "warm");
  ASSERT_TRUE(isWholeAnswer(warm, ProcessCluster::Model, "warm")) << describe(warm);
  const auto engines = cluster.enginesWith(ProcessCluster::Model);
  ASSERT_EQ(engines.size(), 1U);
  const auto engine = cluster.engineAddress(engines.front());
  auto streamed = startCompletion(cluster, 0, ProcessCluster::Model, "streamed", Tokens, true);
  auto plain = startCompletion(cluster, 1, ProcessCluster::Model, "plain", Tokens);
  ASSERT_TRUE(pollUntil([&] { return cluster.runningEngineRequests() == 2; }));
  ASSERT_TRUE(ProcessCluster::control(engine, "/control", R"({"silent":true})"));
  const auto one = streamed.get();
  const LoadItem item{.model = ProcessCluster::Model, .prompt = "streamed", .maxTokens = Tokens};
  StreamChecker checker(item);
  checker.feed(one.response.body());
  // The stream must end properly, either complete or with an error event.
  EXPECT_EQ(one.status, HttpTransferStatus::Ok);
  if (checker.outcome() != LoadOutcome::Whole) {
    EXPECT_EQ(checker.outcome(), LoadOutcome::Cut) << describe(one);
    EXPECT_THAT(one.response.body(), ::testing::HasSubstr("may_have_run"));
  }
  const auto two = plain.get();
  if (!isWholeAnswer(two, ProcessCluster::Model, "plain", Tokens)) {
    EXPECT_EQ(memberOf(two, "outcome"), "may_have_run") << describe(two);
  }
  EXPECT_TRUE(pollUntil([&] {
    return isWholeAnswer(cluster.requestCompletion(0, ProcessCluster::Model, "after"),
                         ProcessCluster::Model, "after");
  }));
  expectNoOvercommit(cluster);
}

// Guards against a lost update when operators change the same list through two hosts (P9).
TEST(Process, OperatorsRace) {
  ProcessCluster cluster;
  ASSERT_TRUE(cluster.isReady()) << cluster.error;
  for (int round = 0; round < 5; ++round) {
    const auto revision = cluster.revisionAt(0, "plans");
    ASSERT_TRUE(pollUntil([&] { return cluster.revisionAt(1, "plans") == revision; }));
    auto edit = [&](int host) {
      return std::async(std::launch::async, [&cluster, &revision, host, round] {
        const auto document = ProcessCluster::plansDocument(10 + 2 * round + host);
        return cluster.putList(host, "plans", revision, document);
      });
    };
    auto first = edit(0);
    auto second = edit(1);
    const auto one = first.get();
    const auto two = second.get();
    const std::multiset<unsigned> statuses{statusOf(one), statusOf(two)};
    EXPECT_EQ(statuses, (std::multiset<unsigned>{200, 412})) << describe(one) << describe(two);
    const int winner = statusOf(one) == 200 ? 0 : 1;
    const int expected = 10 + 2 * round + winner;
    for (int i = 0; i < cluster.hostCount(); ++i)
      EXPECT_TRUE(pollUntil([&] { return cluster.concurrencyAt(i) == expected; }))
          << "host " << i << " does not apply the accepted edit";
  }
}

/// Generates load on all hosts. The future becomes ready with the complete report.
std::future<LoadReport> startLoad(const ProcessCluster &cluster, std::uint64_t seed) {
  LoadOptions options{.apiKey = ProcessCluster::Key,
                      .rate = 30,
                      .duration = 6s,
                      .seed = seed,
                      .models = {ProcessCluster::Model},
                      .lookUpService = "none",
                      .confirmService = ProcessCluster::Service,
                      .maxTokens = 64};
  for (int i = 0; i < cluster.hostCount(); ++i)
    options.initialHosts.push_back(cluster.hostAddress(i));
  return std::async(std::launch::async, [options] {
    asio::io_context context(1);
    LoadGenerator generator(context.get_executor(), options);
    LoadReport report;
    std::string error;
    asio::co_spawn(context, generator.run(report, error), asio::detached);
    context.run();
    EXPECT_EQ(error, "");
    SCOPED_TRACE(report.toTable(options));
    EXPECT_THAT(report.failures(false), ::testing::IsEmpty());
    for (const auto kind : {LoadKind::Completion, LoadKind::Confirm})
      for (const auto outcome : {LoadOutcome::Cut, LoadOutcome::NoHost, LoadOutcome::MayHaveRun})
        EXPECT_EQ(report.count(kind, outcome), 0U) << toString(kind) << " " << toString(outcome);
    return report;
  });
}

// Guards against requests that planned stops abort or lose (P8), and against calls that run twice
// when their caller repeats them at another host (P6).
TEST(Process, RollingRestartUnderLoad) {
  ProcessCluster cluster({.hosts = 4});
  ASSERT_TRUE(cluster.isReady()) << cluster.error;
  const auto warm = cluster.requestCompletion(0, ProcessCluster::Model, "warm");
  ASSERT_TRUE(isWholeAnswer(warm, ProcessCluster::Model, "warm")) << describe(warm);
  for (int i = 0; i < cluster.hostCount(); ++i) {
    auto load = startLoad(cluster, static_cast<std::uint64_t>(i) + 1);
    std::this_thread::sleep_for(1s); // the host then has requests in progress
    cluster.signalHost(i, SIGTERM);
    EXPECT_EQ(cluster.waitForHostExit(i), 0);
    cluster.startHost(i);
    EXPECT_TRUE(pollUntil([&] { return cluster.isHostReady(i); }));
    const auto report = load.get();
    EXPECT_GT(report.count(LoadKind::Completion, LoadOutcome::Whole), 0U);
    EXPECT_GT(report.count(LoadKind::Confirm, LoadOutcome::Whole), 0U);
  }
  EXPECT_EQ(cluster.enginesWith(ProcessCluster::Model).size(), 1U);
  expectNoOvercommit(cluster);
}

/// Returns whether the response is correct for a call that ran once.
bool isTruthfulAfterOneRun(const HttpResult &result) {
  return statusOf(result) == 200 || memberOf(result, "outcome") == "may_have_run";
}

/// Sends a call with the same key to two hosts at once, kills one of them while the service runs
/// the call, and then repeats the call at every host.
void runHostKilledDuringCallTest(bool killClaimant) {
  ProcessCluster cluster;
  ASSERT_TRUE(cluster.isReady()) << cluster.error;
  ASSERT_TRUE(
      pollUntil([&] { return statusOf(cluster.requestConfirm(0, "before", "{}")) == 200; }));
  ASSERT_TRUE(
      ProcessCluster::control(cluster.serviceAddress(), "/control", R"({"delay_ms":4000})"));
  std::array<PendingResult, 2> calls{startConfirm(cluster, 0, "key"),
                                     startConfirm(cluster, 1, "key")};
  ASSERT_TRUE(pollUntil([&] { return cluster.serviceRunCount("key") > 0; }));
  const int claimant = cluster.callClaimant("key");
  ASSERT_TRUE(claimant == 0 || claimant == 1);
  const int killed = killClaimant ? claimant : 1 - claimant;
  cluster.signalHost(killed, SIGKILL);
  EXPECT_EQ(cluster.waitForHostExit(killed), 128 + SIGKILL);
  cluster.startHost(killed);
  ASSERT_TRUE(pollUntil([&] { return cluster.isHostReady(killed); }));
  const auto survivor = calls.at(static_cast<std::size_t>(1 - killed)).get();
  EXPECT_TRUE(isTruthfulAfterOneRun(survivor)) << describe(survivor);
  for (int i = 0; i < cluster.hostCount(); ++i) {
    const auto again = cluster.requestConfirm(i, "key", R"({"bottles":4})");
    EXPECT_TRUE(isTruthfulAfterOneRun(again)) << describe(again);
    // If the claimant survived, its answer is stored and replayed.
    if (!killClaimant) {
      EXPECT_EQ(statusOf(again), 200U) << describe(again);
    }
  }
  EXPECT_EQ(cluster.serviceRunCount("key"), 1);
}

// Guards against a second run of a non-idempotent call when the host that started it dies (P6).
TEST(Process, ClaimantOfCallKilled) { runHostKilledDuringCallTest(true); }

// Guards against a second run, or a lost answer, when a host that waits for the call of another
// host dies.
TEST(Process, WaiterForCallKilled) { runHostKilledDuringCallTest(false); }

} // namespace
} // namespace catkin
