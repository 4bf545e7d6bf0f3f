#include "config.h"
#include "router_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

const ModelName Rounds{"rounds"};

RouteEntry makeEntry(const char *endpoint, const char *dataCentre = "buda-a") {
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
  /// Records failed requests at an endpoint.
  void recordFailures(const char *endpoint, int times) {
    for (int i = 0; i < times; ++i) {
      router.onStart(EndpointName(endpoint), now);
      router.onEnd(EndpointName(endpoint), false, now);
    }
  }
};

// Guards against routing to a replica that is not loaded, is being released or is on a leaving
// endpoint.
TEST_F(RouterTest, OnlyLoadedReplicasThatTakeWork) {
  auto intended = makeEntry("a");
  intended.state = ReplicaState::Intended;
  auto releasing = makeEntry("b");
  releasing.state = ReplicaState::Releasing;
  auto leaving = makeEntry("c");
  leaving.leaving = true;
  router.setTable({intended, releasing, leaving, makeEntry("d")});
  EXPECT_EQ(choose(), "d");
  router.setLeaving({EndpointName("d")});
  EXPECT_EQ(choose(), "");
  EXPECT_FALSE(router.hasUsableReplica(Rounds, now));
}

// Guards against routing to an endpoint that is listed as leaving because the planner's table still
// shows it as live, in whichever order list and table arrive.
TEST_F(RouterTest, ListedDepartureOutlivesTableChanges) {
  router.setLeaving({EndpointName("a")});
  router.setTable({makeEntry("a")});
  EXPECT_EQ(choose(), "");
  router.setTable({makeEntry("a"), makeEntry("b")});
  EXPECT_EQ(choose(), "b");
}

// Guards against sending all requests to one replica while load reports are out of date.
TEST_F(RouterTest, SpreadsByOwnRequestsInFlight) {
  router.setTable({makeEntry("a"), makeEntry("b")});
  std::map<std::string, int> chosen;
  for (int i = 0; i < 10; ++i) {
    auto name = choose();
    ++chosen[name];
    router.onStart(EndpointName(name), now);
  }
  EXPECT_EQ(chosen["a"], 5);
  EXPECT_EQ(chosen["b"], 5);
}

// Guards against counting the router's own requests twice: as in flight and in the delayed load
// report.
TEST_F(RouterTest, ReportedLoadExcludesOwnRequests) {
  auto a = makeEntry("a");
  auto b = makeEntry("b");
  router.setTable({a, b});
  for (int i = 0; i < 3; ++i)
    router.onStart(EndpointName("a"), now);
  a.running = 3;
  b.running = 4;
  router.setTable({a, b});
  EXPECT_EQ(choose(), "a");
}

// Guards against a failing endpoint that keeps receiving its share of requests, and against an
// ejected endpoint that is never probed.
TEST_F(RouterTest, EjectsAfterFailuresAndReadmitsByProbe) {
  router.setTable({makeEntry("a"), makeEntry("b")});
  recordFailures("a", config::EjectAfterFailures);
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(choose(), "b");
  now += config::EjectionTime;
  EXPECT_EQ(choose(), "a");
  router.onStart(EndpointName("a"), now);
  EXPECT_EQ(choose(), "b") << "only one probe may be in flight";
  router.onEnd(EndpointName("a"), true, now);
  router.onStart(EndpointName("b"), now);
  EXPECT_EQ(choose(), "a");
}

// Guards against refusing all requests because the only replica failed three times in a row.
TEST_F(RouterTest, LastReplicaIsTriedOneRequestAtATime) {
  router.setTable({makeEntry("a")});
  recordFailures("a", config::EjectAfterFailures);
  EXPECT_FALSE(router.hasUsableReplica(Rounds, now));
  now += 1s;
  EXPECT_TRUE(router.hasUsableReplica(Rounds, now));
  EXPECT_EQ(choose(), "a");
  router.onStart(EndpointName("a"), now);
  EXPECT_EQ(choose(), "");
  EXPECT_FALSE(router.hasUsableReplica(Rounds, now));
}

// Guards against endless attempts at an endpoint that reports the model as missing.
TEST_F(RouterTest, MissingReplicaIsSkippedUntilTheTableChanges) {
  router.setTable({makeEntry("a")});
  router.onModelMissing(Rounds, EndpointName("a"));
  EXPECT_EQ(choose(), "");
  EXPECT_TRUE(router.hasLoadedReplica(Rounds));
  router.setTable({makeEntry("a")});
  EXPECT_EQ(choose(), "a");
}

// Guards against a table change that discards the count of requests in flight or an ejection.
TEST_F(RouterTest, TableChangeKeepsLocalState) {
  router.setTable({makeEntry("a"), makeEntry("b")});
  recordFailures("b", config::EjectAfterFailures);
  router.onStart(EndpointName("a"), now);
  router.setTable({});
  router.setTable({makeEntry("a"), makeEntry("b")});
  EXPECT_EQ(router.inFlight(EndpointName("a")), 1);
  router.onStart(EndpointName("a"), now);
  router.setTable({makeEntry("a"), makeEntry("b")});
  EXPECT_EQ(choose({EndpointName("b")}), "a");
}

// Guards against ignoring prefix cache hits, and against following them to an overloaded endpoint.
TEST_F(RouterTest, PrefixHintWeighsAgainstLoad) {
  router.setTable({makeEntry("a"), makeEntry("b"), makeEntry("c", "pest-b")});
  router.onPrefixCached(EndpointName("c"), 42, now);
  EXPECT_EQ(choose({}, 42), "c");
  for (int i = 0; i < 6; ++i)
    router.onStart(EndpointName("c"), now);
  EXPECT_NE(choose({}, 42), "c");
}

// Guards against a retry storm when every endpoint fails.
TEST_F(RouterTest, RetryBudgetBoundsRetries) {
  int allowed = 0;
  for (int i = 0; i < 1000; ++i) {
    router.onRequest(now);
    allowed += router.tryConsumeRetry(now);
  }
  EXPECT_LE(allowed, static_cast<int>(config::RetryBurst + 1000 * config::RetryRatio) + 1);
  EXPECT_FALSE(router.tryConsumeRetry(now));
  now += 1s;
  EXPECT_TRUE(router.tryConsumeRetry(now)) << "retry tokens must refill without requests";
}

} // namespace
} // namespace catkin
