#include "cluster_p.h"
#include "scenarios_p.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace catkin::harness {
namespace {

using namespace std::chrono_literals;

constexpr Duration LongDeadline = 60s;
constexpr std::uint64_t Seeds = 60;

bool waitLoaded(Cluster &c, std::size_t host, const ModelName &model, Duration limit) {
  return c.world.runUntil([&] { return c.isLoaded(host, model); }, limit);
}

bool waitPlanner(Cluster &c, Duration limit) {
  return c.world.runUntil([&] { return c.plannerIndex() >= 0; }, limit);
}

/// Returns the number of engines that have the model.
std::size_t countReplicas(Cluster &c, const ModelName &model) {
  std::size_t n = 0;
  for (auto &[name, it] : c.world.engines())
    n += it.models.contains(model) ? 1 : 0;
  return n;
}

// Guards against one load per host when every host receives the first requests for a model at once.
TEST(PromiseControl, BurstAtEveryHostMakesOneLoad) {
  Cluster c({});
  ASSERT_TRUE(c.startAll());
  for (std::size_t i = 0; i < c.hosts.size(); ++i)
    for (int n = 0; n < 5; ++n)
      c.ensure(i, Cluster::model(0), LongDeadline);
  for (std::size_t i = 0; i < c.hosts.size(); ++i)
    EXPECT_TRUE(waitLoaded(c, i, Cluster::model(0), 20s));
  EXPECT_EQ(countReplicas(c, Cluster::model(0)), 1U);
}

// Guards against cold starts that never resume after the planner dies. The next planner must take
// over within the time of the lease and know the existing replicas.
TEST(PromiseControl, PlannerDeathDelaysColdStartsOnlyForAFailover) {
  Cluster c({});
  ASSERT_TRUE(c.startAll());
  c.ensure(0, Cluster::model(0), LongDeadline);
  ASSERT_TRUE(waitLoaded(c, 0, Cluster::model(0), 20s));
  auto first = c.plannerIndex();
  ASSERT_GE(first, 0);
  c.kill(static_cast<std::size_t>(first));
  auto killed = c.world.now();
  auto other = (static_cast<std::size_t>(first) + 1) % c.hosts.size();
  ASSERT_TRUE(
      c.world.runUntil([&] { return c.plannerIndex() >= 0 && c.plannerIndex() != first; }, 10s));
  // TTL, candidate margin and two polling intervals of 1 s.
  EXPECT_LE(c.world.now() - killed, Duration(5500ms));
  EXPECT_TRUE(c.isLoaded(other, Cluster::model(0))) << "the old table must keep routing";
  c.ensure(other, Cluster::model(1), LongDeadline);
  EXPECT_TRUE(waitLoaded(c, other, Cluster::model(1), 30s));
  EXPECT_EQ(countReplicas(c, Cluster::model(0)), 1U);
}

// Guards against waiting for the lease to expire when a planner stops as planned.
TEST(PromiseControl, PlannedStopHandsTheLeaseOver) {
  Cluster c({});
  ASSERT_TRUE(c.startAll());
  auto first = c.plannerIndex();
  ASSERT_GE(first, 0);
  c.hosts[static_cast<std::size_t>(first)].control->setLeaving(true);
  auto start = c.world.now();
  ASSERT_TRUE(
      c.world.runUntil([&] { return c.plannerIndex() >= 0 && c.plannerIndex() != first; }, 10s));
  EXPECT_LE(c.world.now() - start, Duration(2100ms)) << "one polling interval and the writes";
}

// Guards against a host that learns of a new term from a report without the planner's address, then
// ignores the address that follows and never asks the planner for a replica (soak seed 202024).
TEST(PromiseControl, PlannerOfATermHeardOfBeforeIsLearned) {
  World world(1);
  auto process = world.addProcess(HostName("a"), {"10.0.0.1", 1});
  Lease lease(
      *process, {.host = HostName("a"), .incarnation = 1, .address = {"10.0.0.1", 1}},
      [](auto &) {}, [] {});
  Address planner{"10.0.0.2", 2};
  lease.observe(5, HostName(), Address{});
  lease.observe(5, HostName("b"), planner);
  EXPECT_EQ(lease.newest().address, planner);
  lease.observe(5, HostName(), Address{});
  lease.observe(4, HostName("c"), {"10.0.0.3", 3});
  EXPECT_EQ(lease.newest().address, planner)
      << "an older term or an empty address must not replace it";
}

// Guards against a planner that resumes after its lease expired and refuses a request that its
// successor can serve. Real processes answered "no endpoint has room" while another host placed the
// model.
TEST(PromiseControl, PlannerThatWakesUpDoesNotRefuseInPlaceOfItsSuccessor) {
  Cluster c({.engines = 2});
  for (auto &[name, it] : c.world.engines())
    it.checksFencing = false;
  ASSERT_TRUE(c.startAll());
  auto first = static_cast<std::size_t>(c.plannerIndex());
  c.world.freeze(c.hosts[first].process);
  ASSERT_TRUE(c.world.runUntil(
      [&] { return c.plannerIndex() >= 0 && c.plannerIndex() != static_cast<int>(first); }, 20s));
  c.world.thaw(c.hosts[first].process);
  auto outcome = EnsureOutcome::Count;
  c.ensure(first, Cluster::model(0), LongDeadline, [&](auto &reply) { outcome = reply.outcome; });
  ASSERT_TRUE(c.world.runUntil([&] { return outcome != EnsureOutcome::Count; }, 20s));
  EXPECT_NE(outcome, EnsureOutcome::Refused);
  EXPECT_TRUE(waitLoaded(c, first, Cluster::model(0), 30s));
}

// Guards against dropping the reservation of a paused planner after a second failover. The planner
// sends its last order when it resumes; if the endpoint ignores fencing, the memory for that order
// must still be reserved.
TEST(PromiseControl, PausedPlannerIsRememberedOverTwoFailovers) {
  Cluster c({.engines = 1});
  auto engine = Cluster::engineName(0);
  c.world.engine(engine).checksFencing = false;
  ASSERT_TRUE(c.startAll());
  auto first = static_cast<std::size_t>(c.plannerIndex());
  c.world.freezeAtNextOrder(c.hosts[first].process);
  c.ensure((first + 1) % c.hosts.size(), Cluster::model(0), LongDeadline);
  ASSERT_TRUE(c.world.runUntil(
      [&] { return c.plannerIndex() >= 0 && c.plannerIndex() != static_cast<int>(first); }, 20s));
  c.world.run(10s);
  auto second = static_cast<std::size_t>(c.plannerIndex());
  c.kill(second);
  c.setHostListed(second, Liveness::Gone, Duration(0));
  ASSERT_TRUE(c.world.runUntil(
      [&] { return c.plannerIndex() >= 0 && c.plannerIndex() != static_cast<int>(second); }, 20s));
  // The other models need the memory reserved for the first, for longer than a reservation without
  // a paused planner lasts.
  for (int round = 0; round < 20; ++round) {
    for (int i = 1; i <= 4; ++i)
      c.ensure(static_cast<std::size_t>(c.plannerIndex()), Cluster::model(i), LongDeadline);
    c.world.run(5s);
  }
  c.world.thaw(c.hosts[first].process);
  c.world.run(10s);
  for (auto &it : c.world.history())
    EXPECT_NE(it.kind, EventKind::Overcommit) << it.model << " ordered by " << it.host;
}

// Guards against directing callers to a host that is leaving.
TEST(PromiseControl, LeavingHostIsLeftOutOfAddresses) {
  Cluster c({});
  ASSERT_TRUE(c.startAll());
  c.hosts[1].control->setLeaving(true);
  c.world.run(3s);
  auto addresses = c.hosts[2].control->membership().callerAddresses(c.world.now(), 0, {});
  EXPECT_EQ(addresses.size(), c.hosts.size() - 1);
  EXPECT_EQ(std::count(addresses.begin(), addresses.end(), c.hosts[1].self.callerAddress), 0);
}

// Guards against a platform outage that stops service. Loaded models stay routed, and the last
// planner still loads models on endpoints that check fencing.
TEST(PromiseControl, LongOutageKeepsServingAndLoadsOnFencingEndpoints) {
  Cluster c({});
  ASSERT_TRUE(c.startAll());
  c.ensure(0, Cluster::model(0), LongDeadline);
  ASSERT_TRUE(waitLoaded(c, 0, Cluster::model(0), 20s));
  c.world.faults().platformDown = true;
  c.world.run(5min);
  for (std::size_t i = 0; i < c.hosts.size(); ++i)
    EXPECT_TRUE(c.isLoaded(i, Cluster::model(0)));
  auto before = c.world.history().size();
  c.ensure(2, Cluster::model(1), LongDeadline);
  EXPECT_TRUE(waitLoaded(c, 2, Cluster::model(1), 30s));
  for (auto i = before; i < c.world.history().size(); ++i) {
    auto &it = c.world.history()[i];
    if (it.kind == EventKind::LoadStarted) {
      EXPECT_TRUE(c.world.engine(EndpointName(it.endpoint)).checksFencing)
          << "load on " << it.endpoint << " long after the lease expired";
    }
  }
  c.world.faults().platformDown = false;
  ASSERT_TRUE(waitPlanner(c, 30s));
  c.world.run(10s);
  EXPECT_EQ(countReplicas(c, Cluster::model(1)), 1U);
}

// Guards against a host that restarts during an outage and serves without lists or with older ones.
TEST(PromiseControl, HostStartedInAnOutageTakesTheListsFromItsPeers) {
  Cluster c({});
  ASSERT_TRUE(c.startAll());
  c.putLists(2, "second");
  c.world.run(5s);
  c.world.faults().platformDown = true;
  c.world.run(10s);
  auto planner = static_cast<std::size_t>(c.plannerIndex() >= 0 ? c.plannerIndex() : 0);
  auto other = (planner + 1) % c.hosts.size();
  c.restart(other);
  ASSERT_TRUE(c.world.runUntil([&] { return c.hosts[other].control->isReady(); }, 30s));
  EXPECT_EQ(c.hosts[other].revisions.back(), 2U);
}

// Guards against a new planner that loads models on an endpoint drained under the former planner.
TEST(PromiseControl, DrainOutlivesThePlanner) {
  Cluster c({.engines = 2, .mixedFencing = false});
  ASSERT_TRUE(c.startAll());
  bool confirmed = false;
  c.hosts[0].control->drainEndpoint(Cluster::engineName(0), true, [&](bool ok) { confirmed = ok; });
  c.world.run(1s);
  ASSERT_TRUE(confirmed);
  auto first = c.plannerIndex();
  c.kill(static_cast<std::size_t>(first));
  ASSERT_TRUE(
      c.world.runUntil([&] { return c.plannerIndex() >= 0 && c.plannerIndex() != first; }, 10s));
  c.world.run(2s);
  auto host = (static_cast<std::size_t>(first) + 1) % c.hosts.size();
  for (int i = 0; i < 3; ++i)
    c.ensure(host, Cluster::model(i), LongDeadline);
  c.world.run(20s);
  EXPECT_TRUE(c.world.engine(Cluster::engineName(0)).models.empty());
  EXPECT_EQ(c.world.engine(Cluster::engineName(1)).models.size(), 3U);
}

// Guards against two planners at once, a configuration revision that decreases, a system that does
// not recover, loads without a recorded intent and overcommitted memory, under mixed faults.
TEST(PromiseControl, MixedFaults) {
  EXPECT_EQ(runSeeds("control", runControlSeed, 1, Seeds), std::vector<std::uint64_t>{});
}

// Guards against a scenario whose faults are too mild to reveal a missing safety mechanism.
TEST(PromiseControl, RemovedGuardIsCaught) {
  EXPECT_TRUE(isCaught(runControlSeed, Seeds, {.recordIntentBeforeOrder = false}));
}

} // namespace
} // namespace catkin::harness
