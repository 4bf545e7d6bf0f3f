#include "planner_world_p.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace catkin::harness {
namespace {

using namespace std::chrono_literals;

class PlannerTest : public ::testing::Test {
protected:
  void begin(int engines, bool fencing, Grant grant = {.models = 8, .acceleratorBytes = 1000 * GB},
             std::uint64_t memory = 20 * GB) {
    for (int i = 0; i < engines; ++i)
      world.addEngine(makeEngine(i, memory, fencing));
    world.run(10ms);
    lists = makeLists(2, grant, models);
    host = make("h0");
    host->lead(1, true, 1000s);
    ASSERT_TRUE(world.runUntil([&] { return host->planner->isReady(); }, 5s));
  }
  std::shared_ptr<PlannerHost> make(const std::string &name) {
    auto h = std::make_shared<PlannerHost>(world, name, options);
    h->start(lists);
    world.run(10ms);
    return h;
  }
  bool waitForState(const std::string &model, const std::string &endpoint,
                    std::optional<ReplicaState> state, Duration limit = 20s) {
    return world.runUntil([&] { return tableState(*host->planner, model, endpoint) == state; },
                          limit);
  }
  int count(EventKind kind) {
    return static_cast<int>(std::count_if(world.history().begin(), world.history().end(),
                                          [&](auto &it) { return it.kind == kind; }));
  }

  /// Loads `model` and waits until it is ready on `endpoint`.
  void load(const std::string &model, const std::string &endpoint = "e0") {
    host->ensure("p0", model);
    ASSERT_TRUE(waitForState(model, endpoint, ReplicaState::Loaded)) << model;
  }
  bool held(const std::string &engine, const std::string &model) {
    return world.engine(EndpointName(engine)).models.contains(ModelName(model));
  }
  void report(const std::string &model, int inFlight) {
    host->planner->onModelLoads(
        HostName("c"),
        {{.model = ModelName(model), .arrivals = 1, .inFlight = inFlight, .waiting = 0}});
  }
  /// Runs for `d` while one host reports that many requests in progress.
  void runUnderLoad(const std::string &model, int inFlight, Duration d) {
    for (auto end = world.now() + d; world.now() < end; world.run(500ms))
      report(model, inFlight);
  }

  World world{7};
  PlannerOptions options{.retention = "fixed", .placement = "first_fit"};
  std::vector<Model> models{{.name = ModelName("m0"), .bytes = 8 * GB},
                            {.name = ModelName("m1"), .bytes = 8 * GB},
                            {.name = ModelName("m2"), .bytes = 8 * GB},
                            {.name = ModelName("a0"), .base = ModelName("m0"), .bytes = GB / 10}};
  ListsPtr lists;
  std::shared_ptr<PlannerHost> host;
};

// Guards against a load order that precedes its record, and against a replica never becoming ready.
TEST_F(PlannerTest, LoadsOnceRecordedAndPublishesTheReplica) {
  begin(1, true);
  auto reply = host->ensure("p0", "m0");
  ASSERT_TRUE(world.runUntil([&] { return reply->outcome == EnsureOutcome::Loading; }, 1s));
  EXPECT_TRUE(world.objects().contains("endpoints/e0"));
  EXPECT_TRUE(waitForState("m0", "e0", ReplicaState::Loaded));
  auto again = host->ensure("p1", "m0");
  world.run(1s);
  EXPECT_EQ(again->outcome, EnsureOutcome::Ready);
  EXPECT_EQ(count(EventKind::LoadStarted), 1);
}

// Guards against idle replicas that are never released.
TEST_F(PlannerTest, ReleasesAnIdleReplica) {
  options.weights.fixedKeepAlive = 10s;
  begin(1, true);
  host->ensure("p0", "m0");
  ASSERT_TRUE(waitForState("m0", "e0", ReplicaState::Loaded));
  EXPECT_TRUE(waitForState("m0", "e0", std::nullopt, 30s));
  EXPECT_EQ(count(EventKind::Unloaded), 1);
}

// Guards against an unload before all hosts have applied the table.
TEST_F(PlannerTest, ReleaseWaitsForAcknowledgementAndIdleness) {
  options.weights.fixedKeepAlive = 5s;
  begin(1, true);
  load("m0");
  host->acknowledgeAll = false;
  ASSERT_TRUE(waitForState("m0", "e0", ReplicaState::Releasing, 30s));
  world.run(20s);
  EXPECT_TRUE(held("e0", "m0"));
  world.engine(EndpointName("e0")).models.at(ModelName("m0")).inFlight = 1;
  host->acknowledgeAll = true;
  world.run(5s);
  EXPECT_TRUE(held("e0", "m0"));
  world.engine(EndpointName("e0")).models.at(ModelName("m0")).inFlight = 0;
  EXPECT_TRUE(waitForState("m0", "e0", std::nullopt));
  EXPECT_FALSE(held("e0", "m0"));
}

// Guards against a reload of a replica that could have been kept.
TEST_F(PlannerTest, RequestCancelsARelease) {
  options.weights.fixedKeepAlive = 5s;
  begin(1, true);
  load("m0");
  host->acknowledgeAll = false;
  ASSERT_TRUE(waitForState("m0", "e0", ReplicaState::Releasing, 30s));
  auto reply = host->ensure("p0", "m0");
  world.run(1s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Ready);
  EXPECT_EQ(tableState(*host->planner, "m0", "e0"), ReplicaState::Loaded);
  EXPECT_EQ(count(EventKind::LoadStarted), 1);
}

// Guards against an adapter ordered without its base, and a base released under its adapter.
TEST_F(PlannerTest, AdapterLoadsWithItsBaseAndKeepsIt) {
  options.weights.fixedKeepAlive = 8s;
  begin(1, true);
  load("a0");
  EXPECT_TRUE(held("e0", "m0"));
  EXPECT_EQ(count(EventKind::OrderRefused), 0);
  runUnderLoad("a0", 1, 30s);
  EXPECT_TRUE(held("e0", "m0"));
  host->planner->onModelLoads(HostName("c"), {});
  EXPECT_TRUE(world.runUntil([&] { return !held("e0", "m0"); }, 60s));
  EXPECT_EQ(count(EventKind::Overcommit), 0);
}

// Guards against a second load, or none, when the reply to the record's write is lost.
TEST_F(PlannerTest, LostWriteReplyIsResolvedByReadingBack) {
  begin(1, false);
  world.faults().loseWriteReply = 1;
  load("m0");
  EXPECT_EQ(count(EventKind::LoadStarted), 1);
}

// Guards against orders without a record on endpoints that ignore fencing, and against a standstill
// of the others during an outage.
TEST_F(PlannerTest, OutageStopsOnlyEndpointsThatIgnoreFencing) {
  world.addEngine(makeEngine(9, 20 * GB, true));
  begin(2, false);
  world.faults().platformDown = true;
  auto first = host->ensure("p0", "m0");
  auto second = host->ensure("p0", "m1");
  world.run(20s);
  EXPECT_TRUE(held("e9", "m0"));
  EXPECT_TRUE(held("e9", "m1"));
  EXPECT_EQ(count(EventKind::LoadStarted), 2);
  auto refused = host->ensure("p0", "m2");
  world.run(10s);
  EXPECT_FALSE(held("e0", "m2") || held("e1", "m2"));
  world.faults().platformDown = false;
  world.run(3s);
  EXPECT_NE(world.objects().at("endpoints/e9").value.find("m1"), std::string::npos);
}

// Guards against an order after the lease on an endpoint that would obey it.
TEST_F(PlannerTest, NoOrderPastTheLimit) {
  begin(1, false);
  host->planner->setOrderLimit(world.now());
  auto reply = host->ensure("p0", "m0");
  world.run(5s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Refused);
  EXPECT_EQ(count(EventKind::LoadStarted), 0);
}

// Guards against a planner that goes on after a newer one has claimed the endpoints.
TEST_F(PlannerTest, StaleTermResigns) {
  begin(1, true);
  auto other = make("h1");
  other->lead(2, false, 1000s);
  ASSERT_TRUE(world.runUntil([&] { return other->planner->isReady(); }, 5s));
  host->ensure("p0", "m0");
  world.run(3s);
  EXPECT_FALSE(host->planner->isLeading());
  EXPECT_EQ(count(EventKind::LoadStarted), 0);
  auto reply = host->ensure("p0", "m0");
  world.run(1s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::NotPlanner);
}

// Guards against replicas that a restarted endpoint lost and the planner still counts.
TEST_F(PlannerTest, RestartInMidLoadIsDecidedAgain) {
  begin(1, true);
  host->ensure("p0", "m0");
  ASSERT_TRUE(world.runUntil([&] { return held("e0", "m0"); }, 5s));
  world.killEngine(EndpointName("e0"));
  world.run(500ms);
  world.reviveEngine(EndpointName("e0"));
  EXPECT_TRUE(waitForState("m0", "e0", ReplicaState::Loaded, 30s));
  EXPECT_EQ(count(EventKind::LoadStarted), 2);
}

// Guards against a request held until near its deadline.
TEST_F(PlannerTest, RefusesAtOnceWhatCannotBeReadyInTime) {
  options.loadBytesPerSecond = 1e9;
  begin(1, true);
  auto reply = host->ensure("p0", "m0", 3s);
  world.run(100ms);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Refused);
  EXPECT_GE(reply->retryAfter, 7s);
  // The load goes on for the caller's next attempt.
  EXPECT_TRUE(waitForState("m0", "e0", ReplicaState::Loaded));
}

// Guards against more use of the weight store than it serves at full speed.
TEST_F(PlannerTest, WeightStoreBudgetIsKept) {
  models.clear();
  for (int i = 0; i < 12; ++i)
    models.push_back({.name = ModelName("m" + std::to_string(i)), .bytes = 8 * GB});
  begin(8, true, {.models = 100, .acceleratorBytes = 1000 * GB});
  for (int i = 0; i < 12; ++i)
    host->ensure("p0", "m" + std::to_string(i), 100s);
  world.run(60s);
  std::vector<Instant> starts;
  int loading = 0, most = 0;
  for (auto &e : world.history()) {
    loading += e.kind == EventKind::LoadStarted ? 1 : e.kind == EventKind::LoadReady ? -1 : 0;
    most = std::max(most, loading);
    if (e.kind == EventKind::LoadStarted)
      starts.push_back(e.time);
  }
  ASSERT_EQ(starts.size(), 12U);
  EXPECT_EQ(most, 4);
  for (std::size_t i = 4; i < starts.size(); ++i)
    EXPECT_GE(starts[i] - starts[i - 4], 900ms);
}

// Guards against a plan taking more than its grant, and against a refusal while the plan itself
// holds idle replicas.
TEST_F(PlannerTest, GrantIsKeptByReleasingOwnIdleReplicas) {
  begin(3, true, {.models = 1, .acceleratorBytes = 1000 * GB});
  load("m0");
  auto busy = host->ensure("p0", "m1");
  report("m0", 1);
  world.run(100ms);
  EXPECT_EQ(busy->outcome, EnsureOutcome::Refused);
  host->planner->onModelLoads(HostName("c"), {});
  world.run(5s);
  auto reply = host->ensure("p0", "m1");
  ASSERT_TRUE(world.runUntil([&] { return held("e0", "m1") || held("e1", "m1"); }, 20s));
  EXPECT_EQ(reply->outcome, EnsureOutcome::Loading);
  EXPECT_FALSE(held("e0", "m0"));
}

// Guards against memory pressure ending in a refusal, and against evicting what is in use.
TEST_F(PlannerTest, EvictsIdleReplicaUnderMemoryPressure) {
  begin(1, true);
  load("m0");
  load("m1");
  runUnderLoad("m1", 1, 5s);
  host->ensure("p0", "m2");
  for (int i = 0; i < 40 && !held("e0", "m2"); ++i)
    runUnderLoad("m1", 1, 500ms);
  EXPECT_TRUE(held("e0", "m2"));
  EXPECT_TRUE(held("e0", "m1"));
  EXPECT_FALSE(held("e0", "m0"));
  EXPECT_EQ(count(EventKind::Overcommit), 0);
}

// Guards against needed models that stay on a leaving endpoint only.
TEST_F(PlannerTest, LeavingEndpointHandsOverItsNeededModels) {
  begin(2, true);
  load("m0");
  world.setNode({.kind = ListedKind::Engine,
                 .name = "e0",
                 .address = world.engine(EndpointName("e0")).address,
                 .dataCentre = DataCentreName("dc"),
                 .liveness = Liveness::Leaving});
  runUnderLoad("m0", 1, 1s);
  EXPECT_TRUE(host->planner->table().entriesOf(ModelName("m0"))[0].leaving);
  runUnderLoad("m0", 1, 15s);
  EXPECT_EQ(tableState(*host->planner, "m0", "e1"), ReplicaState::Loaded);
  EXPECT_FALSE(held("e0", "m0"));
}

// Guards against a replica for every short peak, and against none for lasting load.
TEST_F(PlannerTest, SecondReplicaOnlyForLastingLoad) {
  begin(2, true);
  load("m0");
  runUnderLoad("m0", 100, 5s);
  runUnderLoad("m0", 1, 5s);
  EXPECT_EQ(count(EventKind::LoadStarted), 1);
  runUnderLoad("m0", 40, 30s);
  EXPECT_EQ(tableState(*host->planner, "m0", "e1"), ReplicaState::Loaded);
  runUnderLoad("m0", 1, 90s);
  EXPECT_EQ(host->planner->stats().replicas, 1U);
}

// Guards against a load that is lost when the chosen endpoint refuses it.
TEST_F(PlannerTest, RefusedLoadGoesElsewhere) {
  begin(2, true);
  auto &e0 = world.engine(EndpointName("e0"));
  e0.refusesOvercommit = true;
  e0.models[ModelName("alien")] = {.model = ModelName("alien"), .ready = true, .bytes = 18 * GB};
  host->ensure("p0", "m0");
  EXPECT_TRUE(waitForState("m0", "e1", ReplicaState::Loaded, 30s));
  EXPECT_EQ(count(EventKind::Overcommit), 0);
}

// Guards against dropping the charge of an order that a paused former planner may still send.
TEST_F(PlannerTest, FormerPlannersOrderStaysChargedUntilItHasEnded) {
  options.weights.fixedKeepAlive = 3s;
  begin(1, false);
  world.freezeAtNextOrder(host->process);
  host->ensure("p0", "m0");
  world.run(1s);
  ASSERT_TRUE(host->process->frozen());
  auto other = make("h1");
  other->lead(2, false, 1000s);
  world.run(10s);
  // Rolled forward, and not released although idle.
  EXPECT_TRUE(held("e0", "m0"));
  EXPECT_TRUE(other->planner->replicas().at(EndpointName("e0"))[0].unresolved);
  other->ensure("p0", "m1");
  world.run(8s);
  other->ensure("p0", "m2");
  world.run(8s);
  EXPECT_TRUE(held("e0", "m0"));
  EXPECT_EQ(count(EventKind::LoadStarted), 3);
  world.thaw(host->process);
  world.run(1s);
  EXPECT_EQ(count(EventKind::Overcommit), 0);
  other->planner->onFormerHolderEnded();
  world.run(1s);
  EXPECT_FALSE(other->planner->replicas().at(EndpointName("e0"))[0].unresolved);
}

// Guards against overwriting a record that cannot be read, which may hold orders.
TEST_F(PlannerTest, MalformedRecordIsKeptAndItsEndpointNotUsed) {
  world.putObject("endpoints/e0", "not json");
  begin(1, true);
  auto reply = host->ensure("p0", "m0");
  world.run(2s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Refused);
  EXPECT_EQ(world.objects().at("endpoints/e0").value, "not json");
}

// Guards against records of endpoints that have gone adding up, and against losing one that is
// needed again.
TEST_F(PlannerTest, RecordOfAGoneEndpointIsErased) {
  begin(1, true);
  load("m0");
  ListedNode node{.kind = ListedKind::Engine,
                  .name = "e0",
                  .address = world.engine(EndpointName("e0")).address,
                  .dataCentre = DataCentreName("dc"),
                  .liveness = Liveness::Gone};
  world.setNode(node);
  world.run(5s);
  EXPECT_FALSE(world.objects().contains("endpoints/e0"));
  EXPECT_TRUE(host->planner->table().entries().empty());
  world.killEngine(EndpointName("e0"));
  world.reviveEngine(EndpointName("e0"));
  node.liveness = Liveness::Live;
  world.setNode(node);
  world.run(2s);
  load("m1");
  EXPECT_TRUE(world.objects().contains("endpoints/e0"));
}

// Guards against requests that arrive during recovery being refused or lost.
TEST_F(PlannerTest, RequestsDuringRecoveryWaitForIt) {
  begin(1, true);
  auto other = make("h1");
  other->planner->lead(2, true);
  auto reply = other->ensure("p0", "m0");
  world.run(1s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Loading);
  auto third = make("h2");
  world.faults().platformDown = true;
  third->planner->lead(3, true);
  auto owed = third->ensure("p0", "m1");
  world.run(100ms);
  EXPECT_EQ(owed->outcome, EnsureOutcome::Count);
  third->planner->resign();
  EXPECT_EQ(owed->outcome, EnsureOutcome::NotPlanner);
}

// ---- RouteTable --------------------------------------------------------------------------------

RouteEntry entry(const std::string &model, const std::string &endpoint, ReplicaState state) {
  return {.model = ModelName(model), .endpoint = EndpointName(endpoint), .state = state};
}

// Guards against deltas that leave a host with another table than the planner's.
TEST(RouteTable, DeltasReproduceTheTable) {
  World world(3);
  RouteTable planner, host;
  for (int i = 0; i < 5000; ++i) {
    auto model = "m" + std::to_string(world.random() % 40);
    auto endpoint = "e" + std::to_string(world.random() % 40);
    if (world.random() % 2 == 0)
      planner.remove(ModelName(model), EndpointName(endpoint));
    else
      planner.set(entry(model, endpoint, static_cast<ReplicaState>(world.random() % 3)));
    if (world.random() % 50 != 0 && i != 4999)
      continue;
    SyncReply reply;
    planner.fillDelta(host.version(), reply);
    host.apply(reply);
    auto a = planner.entries(), b = host.entries();
    ASSERT_EQ(host.version(), planner.version());
    ASSERT_TRUE(std::equal(a.begin(), a.end(), b.begin(), b.end(), [](auto &x, auto &y) {
      return x.model == y.model && x.endpoint == y.endpoint && x.state == y.state;
    }));
  }
}

// Guards against a new version, and a message to every host, for each small change of load.
TEST(RouteTable, VersionGrowsOnlyForWhatRoutersActOn) {
  RouteTable table;
  auto it = entry("m", "e", ReplicaState::Loaded);
  table.set(it);
  it.running = 2;
  table.set(it);
  EXPECT_EQ(table.version(), 1U);
  it.running = 20;
  table.set(it);
  EXPECT_EQ(table.version(), 2U);
  it.leaving = true;
  table.set(it);
  EXPECT_EQ(table.version(), 3U);
}

// Guards against a table that grows without bound by removed rows.
TEST(RouteTable, HostFarBehindGetsTheFullTable) {
  RouteTable table;
  table.set(entry("kept", "e", ReplicaState::Loaded));
  for (int i = 0; i < 3000; ++i) {
    auto model = "m" + std::to_string(i);
    table.set(entry(model, "e", ReplicaState::Loaded));
    table.remove(ModelName(model), EndpointName("e"));
  }
  SyncReply reply;
  table.fillDelta(1, reply);
  EXPECT_TRUE(reply.fullTable);
  EXPECT_EQ(reply.entries.size(), 1U);
  table.fillDelta(table.version() - 10, reply);
  EXPECT_FALSE(reply.fullTable);
  EXPECT_LE(reply.removed.size(), 10U);
}

} // namespace
} // namespace catkin::harness
