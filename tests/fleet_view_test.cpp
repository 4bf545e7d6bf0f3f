#include "fleet_view_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1h};
const ModelRef Model{ModelName("m"), {}};

FleetEndpoint endpoint(const char *name, std::vector<HeldModel> models = {{ModelName("m"), {}}}) {
  return {.name = EndpointName(name),
          .service = ServiceName("s"),
          .address = {"10.0.0.1", 1},
          .dataCentre = DataCentreName("x"),
          .slots = 4,
          .incarnation = 1,
          .holdings = {.orderCount = 0, .models = std::move(models)}};
}

const EndpointState *choose(const FleetView &view, const ModelRef &model = Model,
                            const std::set<EndpointName> *excluded = nullptr) {
  EndpointQuery query{.service = ServiceName("s"),
                      .model = model,
                      .dataCentre = DataCentreName("x"),
                      .excluded = excluded};
  return chooseEndpoint(view, query, Start, 42);
}

// Guards against an older configuration that arrives late.
TEST(FleetViewTest, ConfigurationNeverGoesBack) {
  FleetView view;
  EXPECT_TRUE(view.setConfig({.version = 5}));
  EXPECT_FALSE(view.setConfig({.version = 4}));
  EXPECT_EQ(view.config()->version, 5U);
}

// Guards against new work for an endpoint that is leaving.
TEST(FleetViewTest, LeavingEndpointsGetNoWork) {
  FleetView view;
  view.putEndpoint(endpoint("a"), Start);
  EXPECT_NE(choose(view), nullptr);
  auto leaving = endpoint("a");
  leaving.liveness = Liveness::Leaving;
  view.putEndpoint(leaving, Start);
  EXPECT_EQ(choose(view), nullptr);
}

// Guards against an outage of the store that takes all endpoints away: registrations that lapsed
// meanwhile are back within two seconds.
TEST(FleetViewTest, LapsedRegistrationsMayReturn) {
  FleetView view;
  view.setRegistryConnected(true, Start - 1min);
  view.putEndpoint(endpoint("a"), Start - 1min);
  view.setRegistryConnected(false, Start - 10s);
  view.setRegistryConnected(true, Start);
  view.removeEndpoint(EndpointName("a"), Start);
  view.expire(Start + 1s);
  EXPECT_NE(choose(view), nullptr);
  view.expire(Start + 3s);
  EXPECT_EQ(view.find(EndpointName("a")), nullptr);
}

TEST(FleetViewTest, RemovedEndpointIsGoneAtOnceWithoutAnOutage) {
  FleetView view;
  view.setRegistryConnected(true, Start - 1min);
  view.putEndpoint(endpoint("a"), Start);
  view.removeEndpoint(EndpointName("a"), Start);
  EXPECT_EQ(view.find(EndpointName("a")), nullptr);
}

// Guards against a belief that outlives the engine's process.
TEST(FleetViewTest, RestartedEngineIsTakenAsItRegisters) {
  FleetView view;
  view.putEndpoint(endpoint("a"), Start);
  view.applyNotice({EndpointName("a"), 1, 3, 1, {{ModelName("m"), {"a1"}}}}, Start);
  EXPECT_NE(choose(view, {ModelName("m"), "a1"}), nullptr);
  auto fresh = endpoint("a", {});
  fresh.incarnation = 2;
  view.putEndpoint(fresh, Start);
  EXPECT_EQ(choose(view), nullptr);
}

// Guards against notices of a replaced planner and against overtaken ones.
TEST(FleetViewTest, NewestNoticeCounts) {
  FleetView view;
  view.putEndpoint(endpoint("a", {}), Start);
  view.applyNotice({EndpointName("a"), 1, 4, 1, {{ModelName("m"), {}}}}, Start);
  view.applyNotice({EndpointName("a"), 1, 3, 9, {}}, Start);
  EXPECT_NE(choose(view), nullptr);
  view.applyNotice({EndpointName("a"), 1, 4, 2, {}}, Start);
  EXPECT_EQ(choose(view), nullptr);
}

// Guards against sending requests again to an engine that has just said it lacks the model.
TEST(FleetViewTest, MissingModelIsBelievedUntilNews) {
  FleetView view;
  view.putEndpoint(endpoint("a"), Start);
  view.onMissing(EndpointName("a"), Model, Start);
  EXPECT_EQ(choose(view), nullptr);
  view.putEndpoint(endpoint("a"), Start);
  EXPECT_NE(choose(view), nullptr);
}

// Guards against requests that wait for an adapter which was announced a moment too early: the
// planner goes on to say that it is there, which is no change, and the host goes on to doubt it.
TEST(FleetViewTest, MissingModelIsTriedAgainAfterAMoment) {
  FleetView view;
  view.putEndpoint(endpoint("a"), Start);
  view.onMissing(EndpointName("a"), Model, Start);
  const EndpointQuery query{.service = ServiceName("s"), .model = Model};
  EXPECT_EQ(chooseEndpoint(view, query, Start + 100ms, 0), nullptr);
  EXPECT_NE(chooseEndpoint(view, query, Start + 300ms, 0), nullptr);
}

// Guards against a herd on an endpoint that cannot be reached, and against none at all when it is
// the only one.
TEST(FleetViewTest, UnreachableEndpointsComeLast) {
  FleetView view;
  view.putEndpoint(endpoint("a"), Start);
  view.putEndpoint(endpoint("b"), Start);
  view.onSent(EndpointName("a"));
  view.onEnded(EndpointName("a"), EndpointResult::NotConnected, Start);
  EXPECT_EQ(choose(view)->entry.name, EndpointName("b"));
  const std::set<EndpointName> excluded{EndpointName("b")};
  EXPECT_EQ(choose(view, Model, &excluded)->entry.name, EndpointName("a"));
}

// Guards against requests that pile up on one replica.
TEST(FleetViewTest, RequestsInProgressDecide) {
  FleetView view;
  view.putEndpoint(endpoint("a"), Start);
  view.putEndpoint(endpoint("b"), Start);
  for (int i = 0; i < 5; ++i)
    view.onSent(EndpointName("a"));
  EXPECT_EQ(choose(view)->entry.name, EndpointName("b"));
  view.setPeersInFlight(EndpointName("b"), 20);
  EXPECT_EQ(choose(view)->entry.name, EndpointName("a"));
}

// Guards against waiting requests that are not woken when their model arrives.
TEST(FleetViewTest, ChangesWakeWaiters) {
  FleetView view;
  int woken = 0;
  auto waiter = view.waitForChange([&] { ++woken; });
  view.putEndpoint(endpoint("a", {}), Start);
  view.applyNotice({EndpointName("a"), 1, 1, 1, {{ModelName("m"), {}}}}, Start);
  EXPECT_EQ(woken, 2);
  view.cancelWait(waiter);
  view.removeEndpoint(EndpointName("a"), Start);
  EXPECT_EQ(woken, 2);
}

} // namespace
} // namespace catkin
