#include "config.h"
#include "router_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

const ModelName Rounds{"rounds"};

RouteEntry entry(const char *endpoint, const char *dataCentre = "buda-a") {
  return {.model = Rounds,
          .endpoint = EndpointName(endpoint),
          .address = {"127.0.0.1", 1000},
          .dataCentre = DataCentreName(dataCentre),
          .state = ReplicaState::Loaded};
}

struct RouterTest : testing::Test {
  Router router{{.dataCentre = DataCentreName("buda-a")}};
  Instant now{1h};

  std::string choose(std::vector<EndpointName> exclude = {}, std::uint64_t prefix = 0) {
    return router.choose({Rounds, prefix, std::move(exclude)}, now).endpoint.value;
  }
  void fail(const char *endpoint, int times) {
    for (int i = 0; i < times; ++i) {
      router.onStart(EndpointName(endpoint), now);
      router.onEnd(EndpointName(endpoint), false, now);
    }
  }
};

// Guards against routing to a replica that is not loaded, is being released or is leaving.
TEST_F(RouterTest, OnlyLoadedReplicasThatTakeWork) {
  auto intended = entry("a");
  intended.state = ReplicaState::Intended;
  auto releasing = entry("b");
  releasing.state = ReplicaState::Releasing;
  auto leaving = entry("c");
  leaving.leaving = true;
  router.setTable({intended, releasing, leaving, entry("d")});
  EXPECT_EQ(choose(), "d");
  router.setLeaving({EndpointName("d")});
  EXPECT_EQ(choose(), "");
  EXPECT_FALSE(router.hasUsableReplica(Rounds, now));
}

// Guards against a listed departure being forgotten when the planner's table still shows the
// endpoint as live, in whatever order the two arrive.
TEST_F(RouterTest, ListedDepartureOutlivesTableChanges) {
  router.setLeaving({EndpointName("a")});
  router.setTable({entry("a")});
  EXPECT_EQ(choose(), "");
  router.setTable({entry("a"), entry("b")});
  EXPECT_EQ(choose(), "b");
}

// Guards against sending everything to one replica while reports lag.
TEST_F(RouterTest, SpreadsByOwnRequestsInFlight) {
  router.setTable({entry("a"), entry("b")});
  std::map<std::string, int> chosen;
  for (int i = 0; i < 10; ++i) {
    auto name = choose();
    ++chosen[name];
    router.onStart(EndpointName(name), now);
  }
  EXPECT_EQ(chosen["a"], 5);
  EXPECT_EQ(chosen["b"], 5);
}

// Guards against counting the own requests twice, once in flight and once in the lagged report.
TEST_F(RouterTest, ReportedLoadExcludesOwnRequests) {
  auto a = entry("a");
  auto b = entry("b");
  router.setTable({a, b});
  for (int i = 0; i < 3; ++i)
    router.onStart(EndpointName("a"), now);
  a.running = 3;
  b.running = 4;
  router.setTable({a, b});
  EXPECT_EQ(choose(), "a");
}

// Guards against a failing endpoint that keeps its share of requests, and against one that is never
// tried again.
TEST_F(RouterTest, EjectsAfterFailuresAndReadmitsByProbe) {
  router.setTable({entry("a"), entry("b")});
  fail("a", config::EjectAfterFailures);
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(choose(), "b");
  now += config::EjectionTime;
  EXPECT_EQ(choose(), "a");
  router.onStart(EndpointName("a"), now);
  EXPECT_EQ(choose(), "b") << "one probe at a time";
  router.onEnd(EndpointName("a"), true, now);
  router.onStart(EndpointName("b"), now);
  EXPECT_EQ(choose(), "a");
}

// Guards against refusing all requests because the only replica failed three times in a row.
TEST_F(RouterTest, LastReplicaIsTriedOneRequestAtATime) {
  router.setTable({entry("a")});
  fail("a", config::EjectAfterFailures);
  EXPECT_FALSE(router.hasUsableReplica(Rounds, now));
  now += 1s;
  EXPECT_TRUE(router.hasUsableReplica(Rounds, now));
  EXPECT_EQ(choose(), "a");
  router.onStart(EndpointName("a"), now);
  EXPECT_EQ(choose(), "");
  EXPECT_FALSE(router.hasUsableReplica(Rounds, now));
}

// Guards against endless attempts at a replica that the endpoint says it does not hold.
TEST_F(RouterTest, MissingReplicaIsSkippedUntilTheTableChanges) {
  router.setTable({entry("a")});
  router.onModelMissing(Rounds, EndpointName("a"));
  EXPECT_EQ(choose(), "");
  EXPECT_TRUE(router.hasLoadedReplica(Rounds));
  router.setTable({entry("a")});
  EXPECT_EQ(choose(), "a");
}

// Guards against a table change that forgets requests in flight or an ejection.
TEST_F(RouterTest, TableChangeKeepsLocalState) {
  router.setTable({entry("a"), entry("b")});
  fail("b", config::EjectAfterFailures);
  router.onStart(EndpointName("a"), now);
  router.setTable({});
  router.setTable({entry("a"), entry("b")});
  EXPECT_EQ(router.inFlight(EndpointName("a")), 1);
  router.onStart(EndpointName("a"), now);
  router.setTable({entry("a"), entry("b")});
  EXPECT_EQ(choose({EndpointName("b")}), "a");
}

// Guards against losing prefix cache hits, and against following them to an overloaded endpoint.
TEST_F(RouterTest, PrefixHintWeighsAgainstLoad) {
  router.setTable({entry("a"), entry("b"), entry("c", "pest-b")});
  router.onPrefixCached(EndpointName("c"), 42, now);
  EXPECT_EQ(choose({}, 42), "c");
  for (int i = 0; i < 6; ++i)
    router.onStart(EndpointName("c"), now);
  EXPECT_NE(choose({}, 42), "c");
}

// Guards against a storm of retries when every endpoint fails.
TEST_F(RouterTest, RetryBudgetBoundsRetries) {
  int allowed = 0;
  for (int i = 0; i < 1000; ++i) {
    router.onRequest(now);
    allowed += router.tryConsumeRetry(now);
  }
  EXPECT_LE(allowed, static_cast<int>(config::RetryBurst + 1000 * config::RetryRatio) + 1);
  EXPECT_FALSE(router.tryConsumeRetry(now));
  now += 1s;
  EXPECT_TRUE(router.tryConsumeRetry(now)) << "the floor refills with time";
}

} // namespace
} // namespace catkin
