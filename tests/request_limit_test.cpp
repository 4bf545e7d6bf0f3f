#include "call_window_p.h"
#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

/// Tests with daemons as processes that all calls of all hosts to an engine stay within the limit
/// of requests that it names, that callers get what the limit allows, and that it ends.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr int SmallFleet = 3;
constexpr int LargeFleet = 18;            // hosts hear of other data centres through relays
constexpr auto ReactionTime = 3000ms;     // allowed by the platform after the first such answer
constexpr auto ObservedTime = 9s;         // of calls under the limit
constexpr auto PromptRefusalTime = 700ms; // of a request that no engine may take
constexpr int Callers = 6;

/// What callers of one model have got.
struct CallerResults {
  std::atomic<int> answered = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> lateRefusals = 0; ///< refused after more than PromptRefusalTime
  std::atomic<int> other = 0;
};

class RequestLimit : public ::testing::TestWithParam<int> {
protected:
  RequestLimit()
      : hosts(GetParam()), dataCentres(hosts > SmallFleet ? 3 : 1),
        cluster(hosts, {{"m0", "m1"}, {"m0", "m2"}},
                {.plainEndpoints = 1, .dataCentres = dataCentres}) {}

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    ASSERT_TRUE(pollUntil([&] { // the directory lists the hosts of the caller's data centre
      return static_cast<int>(cluster.directoryAddresses(0).size()) == hosts / dataCentres;
    }));
    std::this_thread::sleep_for(2s); // time for the hosts to choose sentinels and a planner
  }

  void TearDown() override { stopCallers(); }

  /// Starts callers that send requests for `model`, or to the plain endpoint if it is empty, to all
  /// hosts in turn, with a pause after each.
  void startCallers(const std::string &model, Duration pause) {
    for (int i = 0; i < Callers; ++i)
      callers.emplace_back([this, i, model, pause] {
        for (int n = i; !stopRequested; ++n) {
          recordCall(model, n % hosts);
          std::this_thread::sleep_for(pause);
        }
      });
  }

  void recordCall(const std::string &model, int host) {
    const Instant start = steadyNow();
    std::string id;
    const auto result =
        model.empty() ? cluster.requestOnce(host, id) : cluster.requestStream(host, model);
    const bool complete = result.status == HttpTransferStatus::Ok;
    const unsigned status = complete ? result.response.result_int() : 0;
    if (status == 200)
      ++results.answered;
    else if (status == 503)
      ++results.refused;
    else
      ++results.other;
    if (status == 503 && steadyNow() - start > PromptRefusalTime)
      ++results.lateRefusals;
  }

  void stopCallers() {
    stopRequested = true;
    for (auto &it : callers)
      it.join();
    callers.clear();
  }

  void nameLimit(StandinLimit &limit, std::optional<double> perSecond) {
    cluster.run([&] { limit.perSecond = perSecond; });
  }

  /// Returns the times of all calls to the limited endpoint since `from`.
  std::vector<Instant> callsSince(const StandinLimit &limit, Instant from) {
    std::vector<Instant> out;
    cluster.run([&] {
      for (auto &it : limit.calls)
        if (it.at >= from)
          out.push_back(it.at);
    });
    return out;
  }

  int runsOf(int engine) {
    int n = 0;
    cluster.run([&] { n = cluster.engines[static_cast<std::size_t>(engine)]->runs; });
    return n;
  }

  const int hosts;
  const int dataCentres;
  std::atomic<bool> stopRequested = false;
  CallerResults results; // must outlive the callers
  PlatformCluster cluster;
  std::vector<std::thread> callers;
};

TEST_P(RequestLimit, EngineGetsMoreThanItsLimitFromAllHostsTogether) {
  constexpr double PerSecond = 2;
  startCallers("m0", 40ms);
  std::this_thread::sleep_for(1s);
  nameLimit(cluster.engines[0]->limit, PerSecond);
  std::this_thread::sleep_for(ReactionTime);
  const Instant from = steadyNow();
  const int runsBefore = runsOf(0);
  std::this_thread::sleep_for(ObservedTime);
  const auto calls = callsSince(cluster.engines[0]->limit, from);
  EXPECT_LE(largestWindowCount(calls, LimitWindow), allowedInWindow(PerSecond));
  // Callers get half of what the limit allows at least; the rest is for the planner's calls.
  EXPECT_GE(runsOf(0) - runsBefore, PerSecond * toSeconds(ObservedTime) / 2);
  stopCallers();
  EXPECT_GT(results.answered, 100);
  EXPECT_EQ(results.refused + results.other, 0); // the other engine takes what is over
}

TEST_P(RequestLimit, LimitOutlivesTheAnswersThatNamedIt) {
  nameLimit(cluster.engines[0]->limit, 2);
  startCallers("m0", 40ms);
  std::this_thread::sleep_for(ReactionTime);
  nameLimit(cluster.engines[0]->limit, std::nullopt);
  std::this_thread::sleep_for(ReactionTime);
  const int first = runsOf(0);
  const int second = runsOf(1);
  std::this_thread::sleep_for(3s);
  EXPECT_GT(3 * (runsOf(0) - first), runsOf(1) - second);
}

TEST_P(RequestLimit, WhatIsOverTheLimitOfTheOnlyEndpointIsHeldOrRefusedFalsely) {
  constexpr double PerSecond = 0.5; // less than one request a host and window
  auto &endpoint = *cluster.plainEndpoints[0];
  nameLimit(endpoint.limit, PerSecond);
  startCallers("", 100ms);
  std::this_thread::sleep_for(ReactionTime);
  const Instant from = steadyNow();
  std::this_thread::sleep_for(ObservedTime);
  const auto calls = callsSince(endpoint.limit, from);
  EXPECT_LE(largestWindowCount(calls, LimitWindow), allowedInWindow(PerSecond));
  EXPECT_GE(calls.size(), 3U);
  stopCallers();
  EXPECT_GT(results.refused, 50);
  EXPECT_EQ(results.lateRefusals, 0);
  EXPECT_EQ(results.other, 0);
  std::size_t runs = 0;
  cluster.run([&] { runs = endpoint.runsById.size(); });
  EXPECT_EQ(runs, static_cast<std::size_t>(results.answered)); // refused requests did not run
}

TEST_P(RequestLimit, ModelOfAnEngineWithALowLimitIsNotLoadedElsewhere) {
  nameLimit(cluster.engines[0]->limit, 0.5);
  startCallers("m1", 100ms); // no other engine holds it
  std::this_thread::sleep_for(2 * ReactionTime);
  const int answered = results.answered;
  const int failed = results.refused + results.other;
  std::this_thread::sleep_for(ReactionTime);
  EXPECT_GT(results.answered - answered, 50);
  EXPECT_EQ(results.refused + results.other, failed);
}

INSTANTIATE_TEST_SUITE_P(Hosts, RequestLimit, ::testing::Values(SmallFleet, LargeFleet));

} // namespace
} // namespace catkin::platform
