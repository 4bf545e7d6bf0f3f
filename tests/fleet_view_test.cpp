#include "endpoint_choice_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1h};
const ModelRef Model{ModelName("m"), {}};

FleetEndpoint makeEndpoint(const char *name,
                           std::vector<HeldModel> models = {{ModelName("m"), {}}}) {
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

// Guards against an older configuration that arrives late and replaces a newer one.
TEST(FleetViewTest, ConfigurationNeverGoesBack) {
  FleetView view;
  EXPECT_TRUE(view.setConfig({.version = 5}));
  EXPECT_FALSE(view.setConfig({.version = 4}));
  EXPECT_EQ(view.config()->version, 5U);
}

// Guards against new requests to an endpoint that is leaving.
TEST(FleetViewTest, LeavingEndpointsGetNoWork) {
  FleetView view;
  view.putEndpoint(makeEndpoint("a"), Start);
  EXPECT_NE(choose(view), nullptr);
  auto leaving = makeEndpoint("a");
  leaving.liveness = Liveness::Leaving;
  view.putEndpoint(leaving, Start);
  EXPECT_EQ(choose(view), nullptr);
}

TEST(FleetViewTest, StreamGoesToAnotherVersion) {
  FleetView view;
  for (auto [name, version] : {std::pair("a", "v1"), std::pair("b", "v2")}) {
    auto it = makeEndpoint(name);
    it.softwareVersion = SoftwareVersion(version);
    view.putEndpoint(it, Start);
  }
  const SoftwareVersion second("v2");
  const SoftwareVersion third("v3");
  EndpointQuery query{.service = ServiceName("s"), .model = Model, .softwareVersion = &second};
  EXPECT_EQ(chooseEndpoint(view, query, Start, 42)->entry.name, EndpointName("b"));
  query.softwareVersion = &third;
  EXPECT_EQ(chooseEndpoint(view, query, Start, 42), nullptr);
}

TEST(FleetViewTest, EndpointComesBackUnnoticed) {
  FleetView view;
  view.putEndpoint(makeEndpoint("a"), Start);
  const EndpointName name("a");
  EXPECT_FALSE(view.find(name)->mayHaveRestarted);
  view.onSent(name);
  view.onEnded(name, EndpointResult::NotConnected, Start);
  EXPECT_TRUE(view.find(name)->mayHaveRestarted);
  view.onConfirmed({name, 2}, true, Start);
  EXPECT_TRUE(view.find(name)->mayHaveRestarted) << "another incarnation has answered";
  view.onConfirmed({name, 1}, true, Start);
  EXPECT_FALSE(view.find(name)->mayHaveRestarted);
}

// Guards against streams of an engine that has come back with another version, at a host that the
// store turns away, and against a status call for each stream.
TEST(FleetViewTest, EndpointComesBackWhileTheRegistryIsAway) {
  FleetView view;
  view.setRegistryConnected(true);
  view.putEndpoint(makeEndpoint("a"), Start);
  const auto *state = view.find(EndpointName("a"));
  EXPECT_FALSE(view.isIncarnationDoubtful(*state, Start));
  view.setRegistryConnected(false);
  EXPECT_TRUE(view.isIncarnationDoubtful(*state, Start));
  view.onConfirmed({EndpointName("a"), 1}, true, Start);
  EXPECT_FALSE(view.isIncarnationDoubtful(*state, Start + 400ms));
  EXPECT_TRUE(view.isIncarnationDoubtful(*state, Start + 600ms));
  view.setRegistryConnected(true);
  EXPECT_FALSE(view.isIncarnationDoubtful(*state, Start + 1s));
}

// Guards against a notice that is dropped although it shows a restart that this host has not read.
TEST(FleetViewTest, PlannerKnowsOfARestartThatThisHostHasNotRead) {
  FleetView view;
  view.setRegistryConnected(true);
  view.putEndpoint(makeEndpoint("a"), Start);
  const auto *state = view.find(EndpointName("a"));
  view.applyNotice({EndpointName("a"), 0, 3, 1, {}}, Start);
  EXPECT_FALSE(view.isIncarnationDoubtful(*state, Start));
  view.applyNotice({EndpointName("a"), 2, 3, 1, {}}, Start);
  EXPECT_TRUE(view.isIncarnationDoubtful(*state, Start));
  EXPECT_FALSE(state->notice);
  auto successor = makeEndpoint("a");
  successor.incarnation = 2;
  view.putEndpoint(successor, Start);
  EXPECT_FALSE(view.isIncarnationDoubtful(*state, Start));
}

// Guards against requests to an endpoint that has gone, since a watch of the registry was cut off a
// moment before and that counted as an outage of the store.
TEST(FleetViewTest, LostConnectionIsNoOutage) {
  FleetView view;
  view.setRegistryConnected(true);
  view.putEndpoint(makeEndpoint("a"), Start - 1min);
  view.setRegistryConnected(false);
  view.setRegistryConnected(true);
  view.removeEndpoint(EndpointName("a"), Start);
  EXPECT_EQ(view.find(EndpointName("a")), nullptr);
}

// Guards against a store outage that removes all endpoints: registrations that expired during the
// outage return within two seconds.
TEST(FleetViewTest, LapsedRegistrationsMayReturn) {
  FleetView view;
  view.setRegistryConnected(true);
  view.putEndpoint(makeEndpoint("a"), Start - 1min);
  view.setRegistryConnected(false);
  view.setRegistryConnected(true);
  view.onRegistryOutageEnded(Start);
  view.removeEndpoint(EndpointName("a"), Start);
  view.expire(Start + 1s);
  EXPECT_NE(choose(view), nullptr);
  view.expire(Start + 3s);
  EXPECT_EQ(view.find(EndpointName("a")), nullptr);
}

// ---- A store that comes back from an older copy ------------------------------------------------

constexpr Duration GuardTime = 6s;

TEST(FleetViewTest, EndpointThatWasGoneIsBackInAnOlderCopyOfTheStore) {
  FleetView view;
  view.setRegistryConnected(true);
  view.putEndpoint(makeEndpoint("a"), Start);
  view.removeEndpoint(EndpointName("a"), Start);
  view.onStoreRestored(Start);
  view.putEndpoint(makeEndpoint("a"), Start);
  view.expire(Start + GuardTime - 1s);
  EXPECT_EQ(choose(view), nullptr);
  view.expire(Start + GuardTime); // the store would have removed a silent one
  EXPECT_NE(choose(view), nullptr);
}

TEST(FleetViewTest, EndpointOfAnOlderCopyOutlivesItsRemoval) {
  FleetView view;
  view.setRegistryConnected(true);
  view.putEndpoint(makeEndpoint("a"), Start);
  view.removeEndpoint(EndpointName("a"), Start);
  view.onStoreRestored(Start);
  view.putEndpoint(makeEndpoint("a"), Start);
  view.removeEndpoint(EndpointName("a"), Start + 4s);
  view.expire(Start + GuardTime);
  EXPECT_EQ(choose(view), nullptr);
}

TEST(FleetViewTest, LeavingEndpointIsReadyAgainInAnOlderCopyOfTheStore) {
  FleetView view;
  auto leaving = makeEndpoint("a");
  leaving.liveness = Liveness::Leaving;
  view.putEndpoint(leaving, Start);
  view.onStoreRestored(Start);
  view.putEndpoint(makeEndpoint("a"), Start);
  EXPECT_EQ(choose(view), nullptr);
  EXPECT_EQ(view.signals().leavingToAnnounce(Start).size(), 1U);
  auto restarted = makeEndpoint("a");
  restarted.incarnation = 2;
  view.putEndpoint(restarted, Start);
  EXPECT_NE(choose(view), nullptr);
}

TEST(FleetViewTest, EarlierIncarnationOfAnOlderCopyReplacesTheNewOne) {
  FleetView view;
  auto second = makeEndpoint("a");
  second.incarnation = 2;
  view.putEndpoint(second, Start);
  view.onStoreRestored(Start);
  view.putEndpoint(makeEndpoint("a", {}), Start);
  EXPECT_NE(choose(view), nullptr);
}

TEST(FleetViewTest, HoldingsOfAnOlderCopyReplaceNewerOnes) {
  FleetView view;
  auto later = makeEndpoint("a");
  later.holdings.orderCount = 3;
  view.putEndpoint(later, Start);
  auto older = makeEndpoint("a", {});
  older.holdings.orderCount = 2;
  view.putEndpoint(older, Start);
  EXPECT_NE(choose(view), nullptr);
}

TEST(FleetViewTest, EndpointThatRegisteredAfterTheCopyIsGoneAtOnce) {
  FleetView view;
  view.setRegistryConnected(true);
  view.putEndpoint(makeEndpoint("a"), Start);
  view.onStoreRestored(Start);
  view.removeEndpoint(EndpointName("a"), Start);
  EXPECT_NE(choose(view), nullptr);
  view.expire(Start + 3s);
  EXPECT_EQ(choose(view), nullptr);
}

TEST(FleetViewTest, DepartureOfAnEarlierEraEndsALaterRegistration) {
  FleetView view;
  auto entry = makeEndpoint("a");
  entry.revision = {2, 30};
  view.putEndpoint(entry, Start);
  view.onDeparture({EndpointName("a"), {1, 90}});
  EXPECT_NE(choose(view), nullptr);
  view.onDeparture({EndpointName("a"), {2, 31}});
  EXPECT_EQ(choose(view), nullptr);
}

TEST(FleetViewTest, EndpointThatACopyHadForgottenLeavesForGood) {
  FleetView view;
  view.setRegistryConnected(true);
  auto entry = makeEndpoint("a");
  entry.revision = {1, 30};
  view.putEndpoint(entry, Start);
  view.onDeparture({EndpointName("a"), {1, 30}}); // another host has read the copy
  view.onStoreRestored(Start);
  EXPECT_TRUE(view.signals().leavingToAnnounce(Start).empty());
  entry.revision = {2, 31};
  view.putEndpoint(entry, Start + 1s);
  view.expire(Start + GuardTime);
  EXPECT_NE(choose(view), nullptr);
}

TEST(FleetViewTest, RemovalOfAForgottenEndpointIsTakenForItsLeave) {
  FleetView view;
  view.setRegistryConnected(true);
  auto entry = makeEndpoint("a");
  entry.revision = {1, 30};
  view.putEndpoint(entry, Start);
  view.onDeparture({EndpointName("a"), {1, 30}});
  view.removeEndpoint(EndpointName("a"), Start);
  view.onStoreRestored(Start);
  entry.revision = {2, 31};
  view.putEndpoint(entry, Start + 1s);
  view.expire(Start + GuardTime);
  EXPECT_NE(choose(view), nullptr);
}

TEST(FleetViewTest, RemovedEndpointIsGoneAtOnceWithoutAnOutage) {
  FleetView view;
  view.setRegistryConnected(true);
  view.putEndpoint(makeEndpoint("a"), Start);
  view.removeEndpoint(EndpointName("a"), Start);
  EXPECT_EQ(view.find(EndpointName("a")), nullptr);
}

// Guards against holdings that are kept after the engine's process has restarted.
TEST(FleetViewTest, RestartedEngineIsTakenAsItRegisters) {
  FleetView view;
  view.putEndpoint(makeEndpoint("a"), Start);
  view.applyNotice({EndpointName("a"), 1, 3, 1, {{ModelName("m"), {"a1"}}}}, Start);
  EXPECT_NE(choose(view, {ModelName("m"), "a1"}), nullptr);
  auto fresh = makeEndpoint("a", {});
  fresh.incarnation = 2;
  view.putEndpoint(fresh, Start);
  EXPECT_EQ(choose(view), nullptr);
}

// Guards against notices from a replaced planner and against notices that arrive out of order.
TEST(FleetViewTest, NewestNoticeCounts) {
  FleetView view;
  view.putEndpoint(makeEndpoint("a", {}), Start);
  view.applyNotice({EndpointName("a"), 1, 4, 1, {{ModelName("m"), {}}}}, Start);
  view.applyNotice({EndpointName("a"), 1, 3, 9, {}}, Start);
  EXPECT_NE(choose(view), nullptr);
  view.applyNotice({EndpointName("a"), 1, 4, 2, {}}, Start);
  EXPECT_EQ(choose(view), nullptr);
}

// Guards against sending requests again to an engine that has just reported the model as missing.
TEST(FleetViewTest, MissingModelIsBelievedUntilNews) {
  FleetView view;
  view.putEndpoint(makeEndpoint("a"), Start);
  view.onModelMissing(EndpointName("a"), Model, Start);
  EXPECT_EQ(choose(view), nullptr);
  view.putEndpoint(makeEndpoint("a"), Start);
  EXPECT_NE(choose(view), nullptr);
}

// Guards against requests that wait indefinitely for an adapter that was announced slightly too
// early: later notices report no change, so nothing clears the mark that the model is missing.
TEST(FleetViewTest, MissingModelIsTriedAgainAfterAMoment) {
  FleetView view;
  view.putEndpoint(makeEndpoint("a"), Start);
  view.onModelMissing(EndpointName("a"), Model, Start);
  const EndpointQuery query{.service = ServiceName("s"), .model = Model};
  EXPECT_EQ(chooseEndpoint(view, query, Start + 100ms, 0), nullptr);
  EXPECT_NE(chooseEndpoint(view, query, Start + 300ms, 0), nullptr);
}

// Guards against sending requests to an unreachable endpoint while others are available, and
// against excluding it when it is the only one.
TEST(FleetViewTest, UnreachableEndpointsComeLast) {
  FleetView view;
  view.putEndpoint(makeEndpoint("a"), Start);
  view.putEndpoint(makeEndpoint("b"), Start);
  view.onSent(EndpointName("a"));
  view.onEnded(EndpointName("a"), EndpointResult::NotConnected, Start);
  EXPECT_EQ(choose(view)->entry.name, EndpointName("b"));
  const std::set<EndpointName> excluded{EndpointName("b")};
  EXPECT_EQ(choose(view, Model, &excluded)->entry.name, EndpointName("a"));
}

// Guards against requests that accumulate on one replica.
TEST(FleetViewTest, RequestsInProgressDecide) {
  FleetView view;
  view.putEndpoint(makeEndpoint("a"), Start);
  view.putEndpoint(makeEndpoint("b"), Start);
  for (int i = 0; i < 5; ++i)
    view.onSent(EndpointName("a"));
  EXPECT_EQ(choose(view)->entry.name, EndpointName("b"));
  view.setPeersInFlight(EndpointName("b"), 20);
  EXPECT_EQ(choose(view)->entry.name, EndpointName("a"));
}

// Guards against waiting requests that are not woken when an engine holds their model.
TEST(FleetViewTest, ChangesWakeWaiters) {
  FleetView view;
  int wakeCount = 0;
  auto waiter = view.waitForChange([&] { ++wakeCount; });
  view.putEndpoint(makeEndpoint("a", {}), Start);
  view.applyNotice({EndpointName("a"), 1, 1, 1, {{ModelName("m"), {}}}}, Start);
  EXPECT_EQ(wakeCount, 2);
  view.cancelWait(waiter);
  view.removeEndpoint(EndpointName("a"), Start);
  EXPECT_EQ(wakeCount, 2);
}

// Guards against new requests to an endpoint that has announced in an answer that it is leaving,
// while its registration is still ready, has expired or has returned.
TEST(FleetViewTest, EndpointThatSaidItLeavesGetsNoWork) {
  FleetView view;
  view.putEndpoint(makeEndpoint("a"), Start);
  view.onLeaving({EndpointName("a"), 1}, Start);
  EXPECT_EQ(choose(view), nullptr);
  view.putEndpoint(makeEndpoint("a"), Start);
  EXPECT_EQ(choose(view), nullptr);
  view.removeEndpoint(EndpointName("a"), Start);
  view.expire(Start + 1min);
  view.putEndpoint(makeEndpoint("a"), Start + 1min);
  EXPECT_EQ(choose(view), nullptr);
  auto restarted = makeEndpoint("a");
  restarted.incarnation = 2;
  view.putEndpoint(restarted, Start + 2min);
  EXPECT_NE(choose(view), nullptr);
}

// Guards against hosts that still send to an endpoint that another host knows to be leaving, and
// against announcing it indefinitely.
TEST(FleetViewTest, HostsTellEachOtherWhoLeaves) {
  FleetView one;
  FleetView other;
  one.putEndpoint(makeEndpoint("a"), Start);
  other.putEndpoint(makeEndpoint("a"), Start);
  one.onLeaving({EndpointName("a"), 1}, Start);
  const auto announced = one.signals().leavingToAnnounce(Start);
  ASSERT_EQ(announced.size(), 1U);
  other.onLeaving(announced[0], Start, true);
  EXPECT_EQ(choose(other), nullptr);
  EXPECT_TRUE(other.signals().leavingToAnnounce(Start).empty());
  EXPECT_TRUE(one.signals().leavingToAnnounce(Start + 1min).empty());
}

// Guards against requests to an endpoint that asked for a backoff, even if it is the only one.
TEST(FleetViewTest, EndpointThatWantsNoRequestsGetsNoneUntilItsTime) {
  FleetView view;
  const auto a = makeEndpoint("a");
  view.putEndpoint(a, Start);
  view.onBackoff(a, 2s, Start);
  view.onBackoff(a, 1s, Start); // a shorter backoff does not end the longer one
  view.putEndpoint(a, Start);
  EXPECT_EQ(choose(view), nullptr);
  const EndpointQuery query{
      .service = ServiceName("s"), .model = Model, .dataCentre = DataCentreName("x")};
  EXPECT_EQ(earliestReadyTime(view, query, Start), Start + 2s);
  EXPECT_EQ(chooseEndpoint(view, query, Start + 1999ms, 42), nullptr);
  EXPECT_NE(chooseEndpoint(view, query, Start + 2s, 42), nullptr);
  EXPECT_FALSE(earliestReadyTime(view, query, Start + 2s).has_value());
}

TEST(FleetViewTest, RestartedEndpointTakesRequestsAtOnce) {
  FleetView view;
  const auto a = makeEndpoint("a");
  view.putEndpoint(a, Start);
  view.onBackoff(a, 1min, Start);
  auto restarted = a;
  restarted.incarnation = 2;
  view.putEndpoint(restarted, Start);
  EXPECT_NE(choose(view), nullptr);
}

FleetEndpoint makeRegisteredEndpoint(const char *name, std::uint64_t revision) {
  auto e = makeEndpoint(name);
  e.revision = revision;
  return e;
}

// Guards against requests to an endpoint whose departure another host has read from the registry,
// and against avoiding an endpoint that has registered again since.
TEST(FleetViewTest, DepartureThatAnotherHostHasReadCounts) {
  FleetView view;
  view.putEndpoint(makeRegisteredEndpoint("a", 7), Start);
  view.onDeparture({EndpointName("a"), 6}); // of an earlier registration
  EXPECT_NE(choose(view), nullptr);
  view.onDeparture({EndpointName("a"), 7});
  EXPECT_EQ(choose(view), nullptr);
  view.putEndpoint(makeRegisteredEndpoint("a", 7), Start); // an old state that arrives late
  EXPECT_EQ(choose(view), nullptr);
  view.putEndpoint(makeRegisteredEndpoint("a", 9), Start);
  EXPECT_NE(choose(view), nullptr);
}

// Guards against departures that are never announced to other hosts, or indefinitely.
TEST(FleetViewTest, WhatTheRegistryTakesAwayIsToldForAWhile) {
  FleetView view;
  view.putEndpoint(makeRegisteredEndpoint("a", 7), Start);
  view.putEndpoint(makeRegisteredEndpoint("b", 8), Start);
  EXPECT_TRUE(view.departures(Start).empty());
  auto draining = makeRegisteredEndpoint("a", 9);
  draining.liveness = Liveness::Leaving;
  view.putEndpoint(draining, Start);
  view.removeEndpoint(EndpointName("b"), Start + 1s);
  EXPECT_EQ(view.departures(Start + 1s),
            (std::vector{Departure{EndpointName("a"), 9}, Departure{EndpointName("b"), 8}}));
  EXPECT_TRUE(view.departures(Start + 1min).empty());
}

// Guards against a host that reads the registry infrequently and so misses a store outage: it
// dropped endpoints whose registrations had expired during the outage and returned shortly after.
TEST(FleetViewTest, RegistrationMayReturnWhereAnOutageMayHaveBeenMissed) {
  FleetView view;
  view.setRegistryConnected(true);
  view.setReadsInfrequently(true);
  view.putEndpoint(makeRegisteredEndpoint("a", 7), Start);
  view.putEndpoint(makeRegisteredEndpoint("b", 8), Start);
  view.removeEndpoint(EndpointName("a"), Start);
  EXPECT_TRUE(view.isAwaitingReregistration());
  EXPECT_NE(choose(view), nullptr);
  view.onDeparture({EndpointName("b"), 8}); // announced by a host that missed no outage
  view.removeEndpoint(EndpointName("b"), Start);
  EXPECT_EQ(view.find(EndpointName("b")), nullptr);
  view.putEndpoint(makeRegisteredEndpoint("a", 12), Start + 2s);
  view.expire(Start + 1min);
  EXPECT_NE(choose(view), nullptr);
  EXPECT_FALSE(view.isAwaitingReregistration());
}

// Guards against a registration that is some seconds old and overrides newer notices of the
// planner.
TEST(FleetViewTest, RegistrationOfBeforeTheNewestOrderSaysLessThanItsNotice) {
  FleetView view;
  auto entry = makeRegisteredEndpoint("a", 7);
  entry.holdings.orderCount = 3;
  view.putEndpoint(entry, Start - 1min);
  const HoldingsNotice notice{EndpointName("a"), 1, 4, 1, {{ModelName("n"), {}}}, 5};
  view.applyNotice(notice, Start - 1min);
  EXPECT_EQ(choose(view), nullptr);
  EXPECT_NE(choose(view, {ModelName("n"), {}}), nullptr);
  entry.holdings.orderCount = 5;
  view.putEndpoint(entry, Start);
  EXPECT_NE(choose(view), nullptr);
}

// Guards against a new endpoint that most hosts do not use, and against reading the registry for an
// endpoint that cannot serve yet.
TEST(FleetViewTest, ArrivalsThatCanServeAreTold) {
  FleetView view;
  FleetConfig config{.version = 1};
  config.services[ServiceName("s")] = {.name = ServiceName("s"), .hasEngines = true};
  view.setConfig(config);
  auto empty = makeRegisteredEndpoint("a", 7);
  empty.holdings.models.clear();
  view.putEndpoint(empty, Start);
  EXPECT_EQ(view.newestArrival(), 0U);
  auto plain = empty;
  plain.name = EndpointName("p");
  plain.service = ServiceName("plain");
  plain.revision = 9;
  view.putEndpoint(plain, Start);
  EXPECT_EQ(view.newestArrival(), 9U);
  plain.revision = 12; // an update of the same endpoint
  view.putEndpoint(plain, Start);
  EXPECT_EQ(view.newestArrival(), 9U);
}

} // namespace
} // namespace catkin
