#include "planner_world_p.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace catkin::harness {
namespace {

using namespace std::chrono_literals;

class PlannerTest : public ::testing::Test {
protected:
  /// Adds engines and starts the leading planner `host`.
  void startPlanner(int engines, bool fencing,
                    Grant grant = {.models = 8, .acceleratorBytes = 1000 * GB},
                    std::uint64_t memory = 20 * GB) {
    for (int i = 0; i < engines; ++i)
      world.addEngine(makeEngine(i, memory, fencing));
    world.run(10ms);
    lists = makeLists(2, grant, models);
    host = startHost("h0");
    host->lead(1, true, 1000s);
    ASSERT_TRUE(world.runUntil([&] { return host->planner->isReady(); }, 5s));
  }
  /// Starts another planner, which does not lead yet.
  std::shared_ptr<PlannerHost> startHost(const std::string &name) {
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
  int countEvents(EventKind kind) {
    return static_cast<int>(std::count_if(world.history().begin(), world.history().end(),
                                          [&](auto &it) { return it.kind == kind; }));
  }

  /// Loads `model` and waits until it is ready on `endpoint`.
  void load(const std::string &model, const std::string &endpoint = "e0") {
    host->ensure("p0", model);
    ASSERT_TRUE(waitForState(model, endpoint, ReplicaState::Loaded)) << model;
  }
  bool holdsModel(const std::string &engine, const std::string &model) {
    return world.engine(EndpointName(engine)).models.contains(ModelName(model));
  }
  void reportLoad(const std::string &model, int inFlight) {
    host->planner->onModelLoads(
        HostName("c"),
        {{.model = ModelName(model), .arrivals = 1, .inFlight = inFlight, .waiting = 0}});
  }
  /// Runs for `d` while host `c` reports `inFlight` requests in progress.
  void runUnderLoad(const std::string &model, int inFlight, Duration d) {
    for (auto end = world.now() + d; world.now() < end; world.run(500ms))
      reportLoad(model, inFlight);
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

// Guards against a load order that is sent before its record is written, and against a replica that
// never becomes ready.
TEST_F(PlannerTest, LoadsOnceRecordedAndPublishesTheReplica) {
  startPlanner(1, true);
  auto reply = host->ensure("p0", "m0");
  ASSERT_TRUE(world.runUntil([&] { return reply->outcome == EnsureOutcome::Loading; }, 1s));
  EXPECT_TRUE(world.objects().contains("endpoints/e0"));
  EXPECT_TRUE(waitForState("m0", "e0", ReplicaState::Loaded));
  auto again = host->ensure("p1", "m0");
  world.run(1s);
  EXPECT_EQ(again->outcome, EnsureOutcome::Ready);
  EXPECT_EQ(countEvents(EventKind::LoadStarted), 1);
}

// Guards against idle replicas that are never released.
TEST_F(PlannerTest, ReleasesAnIdleReplica) {
  options.weights.fixedKeepAlive = 10s;
  startPlanner(1, true);
  host->ensure("p0", "m0");
  ASSERT_TRUE(waitForState("m0", "e0", ReplicaState::Loaded));
  EXPECT_TRUE(waitForState("m0", "e0", std::nullopt, 30s));
  EXPECT_EQ(countEvents(EventKind::Unloaded), 1);
}

// Guards against an unload before all hosts have applied the table and all requests have ended.
TEST_F(PlannerTest, ReleaseWaitsForAcknowledgementAndIdleness) {
  options.weights.fixedKeepAlive = 5s;
  startPlanner(1, true);
  load("m0");
  host->acknowledgeAll = false;
  ASSERT_TRUE(waitForState("m0", "e0", ReplicaState::Releasing, 30s));
  world.run(20s);
  EXPECT_TRUE(holdsModel("e0", "m0"));
  world.engine(EndpointName("e0")).models.at(ModelName("m0")).inFlight = 1;
  host->acknowledgeAll = true;
  world.run(5s);
  EXPECT_TRUE(holdsModel("e0", "m0"));
  world.engine(EndpointName("e0")).models.at(ModelName("m0")).inFlight = 0;
  EXPECT_TRUE(waitForState("m0", "e0", std::nullopt));
  EXPECT_FALSE(holdsModel("e0", "m0"));
}

// Guards against reloading a replica whose release could still be cancelled.
TEST_F(PlannerTest, RequestCancelsARelease) {
  options.weights.fixedKeepAlive = 5s;
  startPlanner(1, true);
  load("m0");
  host->acknowledgeAll = false;
  ASSERT_TRUE(waitForState("m0", "e0", ReplicaState::Releasing, 30s));
  auto reply = host->ensure("p0", "m0");
  world.run(1s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Ready);
  EXPECT_EQ(tableState(*host->planner, "m0", "e0"), ReplicaState::Loaded);
  EXPECT_EQ(countEvents(EventKind::LoadStarted), 1);
}

// Guards against loading an adapter without its base, and against releasing a base that a loaded
// adapter needs.
TEST_F(PlannerTest, AdapterLoadsWithItsBaseAndKeepsIt) {
  options.weights.fixedKeepAlive = 8s;
  startPlanner(1, true);
  load("a0");
  EXPECT_TRUE(holdsModel("e0", "m0"));
  EXPECT_EQ(countEvents(EventKind::OrderRefused), 0);
  runUnderLoad("a0", 1, 30s);
  EXPECT_TRUE(holdsModel("e0", "m0"));
  host->planner->onModelLoads(HostName("c"), {});
  EXPECT_TRUE(world.runUntil([&] { return !holdsModel("e0", "m0"); }, 60s));
  EXPECT_EQ(countEvents(EventKind::Overcommit), 0);
}

// Guards against a second load, or no load, when the reply to the write of the record is lost.
TEST_F(PlannerTest, LostWriteReplyIsResolvedByReadingBack) {
  startPlanner(1, false);
  world.faults().loseWriteReply = 1;
  load("m0");
  EXPECT_EQ(countEvents(EventKind::LoadStarted), 1);
}

// Guards against unrecorded orders to endpoints that ignore fencing while the platform is down, and
// against withholding orders from the other endpoints.
TEST_F(PlannerTest, OutageStopsOnlyEndpointsThatIgnoreFencing) {
  world.addEngine(makeEngine(9, 20 * GB, true));
  startPlanner(2, false);
  world.faults().platformDown = true;
  auto first = host->ensure("p0", "m0");
  auto second = host->ensure("p0", "m1");
  world.run(20s);
  EXPECT_TRUE(holdsModel("e9", "m0"));
  EXPECT_TRUE(holdsModel("e9", "m1"));
  EXPECT_EQ(countEvents(EventKind::LoadStarted), 2);
  auto refused = host->ensure("p0", "m2");
  world.run(10s);
  EXPECT_FALSE(holdsModel("e0", "m2") || holdsModel("e1", "m2"));
  world.faults().platformDown = false;
  world.run(3s);
  EXPECT_NE(world.objects().at("endpoints/e9").value.find("m1"), std::string::npos);
}

// Guards against sending an order after the lease has ended to an endpoint that ignores fencing.
TEST_F(PlannerTest, NoOrderPastTheLimit) {
  startPlanner(1, false);
  host->planner->setOrderLimit(world.now());
  auto reply = host->ensure("p0", "m0");
  world.run(5s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Refused);
  EXPECT_EQ(countEvents(EventKind::LoadStarted), 0);
}

// Guards against a planner that keeps leading after a planner of a newer term has claimed the
// endpoints.
TEST_F(PlannerTest, StaleTermResigns) {
  startPlanner(1, true);
  auto other = startHost("h1");
  other->lead(2, false, 1000s);
  ASSERT_TRUE(world.runUntil([&] { return other->planner->isReady(); }, 5s));
  host->ensure("p0", "m0");
  world.run(3s);
  EXPECT_FALSE(host->planner->isLeading());
  EXPECT_EQ(countEvents(EventKind::LoadStarted), 0);
  auto reply = host->ensure("p0", "m0");
  world.run(1s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::NotPlanner);
}

// Guards against counting a replica that a restarted endpoint has lost.
TEST_F(PlannerTest, RestartInMidLoadIsDecidedAgain) {
  startPlanner(1, true);
  host->ensure("p0", "m0");
  ASSERT_TRUE(world.runUntil([&] { return holdsModel("e0", "m0"); }, 5s));
  world.killEngine(EndpointName("e0"));
  world.run(500ms);
  world.reviveEngine(EndpointName("e0"));
  EXPECT_TRUE(waitForState("m0", "e0", ReplicaState::Loaded, 30s));
  EXPECT_EQ(countEvents(EventKind::LoadStarted), 2);
}

// Guards against holding a request until near its deadline when the model cannot be ready in time.
TEST_F(PlannerTest, RefusesAtOnceWhatCannotBeReadyInTime) {
  options.loadBytesPerSecond = 1e9;
  startPlanner(1, true);
  auto reply = host->ensure("p0", "m0", 3s);
  world.run(100ms);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Refused);
  EXPECT_GE(reply->retryAfter, 7s);
  // The load continues, so that the caller's next attempt succeeds.
  EXPECT_TRUE(waitForState("m0", "e0", ReplicaState::Loaded));
}

// Guards against more concurrent or more frequent loads than the weight store serves at full speed.
TEST_F(PlannerTest, WeightStoreBudgetIsKept) {
  models.clear();
  for (int i = 0; i < 12; ++i)
    models.push_back({.name = ModelName("m" + std::to_string(i)), .bytes = 8 * GB});
  startPlanner(8, true, {.models = 100, .acceleratorBytes = 1000 * GB});
  for (int i = 0; i < 12; ++i)
    host->ensure("p0", "m" + std::to_string(i), 100s);
  world.run(60s);
  std::vector<Instant> starts;
  int loading = 0, maxLoading = 0;
  for (auto &e : world.history()) {
    loading += e.kind == EventKind::LoadStarted ? 1 : e.kind == EventKind::LoadReady ? -1 : 0;
    maxLoading = std::max(maxLoading, loading);
    if (e.kind == EventKind::LoadStarted)
      starts.push_back(e.time);
  }
  ASSERT_EQ(starts.size(), 12U);
  EXPECT_EQ(maxLoading, 4);
  for (std::size_t i = 4; i < starts.size(); ++i)
    EXPECT_GE(starts[i] - starts[i - 4], 900ms);
}

// Guards against a plan that exceeds its grant, and against a refusal while the plan holds idle
// replicas that can be released.
TEST_F(PlannerTest, GrantIsKeptByReleasingOwnIdleReplicas) {
  startPlanner(3, true, {.models = 1, .acceleratorBytes = 1000 * GB});
  load("m0");
  auto busy = host->ensure("p0", "m1");
  reportLoad("m0", 1);
  world.run(100ms);
  EXPECT_EQ(busy->outcome, EnsureOutcome::Refused);
  host->planner->onModelLoads(HostName("c"), {});
  world.run(5s);
  auto reply = host->ensure("p0", "m1");
  ASSERT_TRUE(
      world.runUntil([&] { return holdsModel("e0", "m1") || holdsModel("e1", "m1"); }, 20s));
  EXPECT_EQ(reply->outcome, EnsureOutcome::Loading);
  EXPECT_FALSE(holdsModel("e0", "m0"));
}

// Guards against refusing a load while an idle replica can be evicted, and against evicting a
// replica in use.
TEST_F(PlannerTest, EvictsIdleReplicaUnderMemoryPressure) {
  startPlanner(1, true);
  load("m0");
  load("m1");
  runUnderLoad("m1", 1, 5s);
  host->ensure("p0", "m2");
  for (int i = 0; i < 40 && !holdsModel("e0", "m2"); ++i)
    runUnderLoad("m1", 1, 500ms);
  EXPECT_TRUE(holdsModel("e0", "m2"));
  EXPECT_TRUE(holdsModel("e0", "m1"));
  EXPECT_FALSE(holdsModel("e0", "m0"));
  EXPECT_EQ(countEvents(EventKind::Overcommit), 0);
}

// Guards against models in use whose only replica is on a leaving endpoint.
TEST_F(PlannerTest, LeavingEndpointHandsOverItsNeededModels) {
  startPlanner(2, true);
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
  EXPECT_FALSE(holdsModel("e0", "m0"));
}

// Guards against adding a replica for a short peak, and against adding none under lasting load.
TEST_F(PlannerTest, SecondReplicaOnlyForLastingLoad) {
  startPlanner(2, true);
  load("m0");
  runUnderLoad("m0", 100, 5s);
  runUnderLoad("m0", 1, 5s);
  EXPECT_EQ(countEvents(EventKind::LoadStarted), 1);
  runUnderLoad("m0", 40, 30s);
  EXPECT_EQ(tableState(*host->planner, "m0", "e1"), ReplicaState::Loaded);
  runUnderLoad("m0", 1, 90s);
  EXPECT_EQ(host->planner->stats().replicas, 1U);
}

// Guards against giving up a load because the chosen endpoint refuses it.
TEST_F(PlannerTest, RefusedLoadGoesElsewhere) {
  startPlanner(2, true);
  auto &e0 = world.engine(EndpointName("e0"));
  e0.refusesOvercommit = true;
  e0.models[ModelName("alien")] = {.model = ModelName("alien"), .ready = true, .bytes = 18 * GB};
  host->ensure("p0", "m0");
  EXPECT_TRUE(waitForState("m0", "e1", ReplicaState::Loaded, 30s));
  EXPECT_EQ(countEvents(EventKind::Overcommit), 0);
}

// Guards against releasing the memory reserved for an order that a paused former planner may still
// send.
TEST_F(PlannerTest, FormerPlannersOrderStaysChargedUntilItHasEnded) {
  options.weights.fixedKeepAlive = 3s;
  startPlanner(1, false);
  world.freezeAtNextOrder(host->process);
  host->ensure("p0", "m0");
  world.run(1s);
  ASSERT_TRUE(host->process->frozen());
  auto other = startHost("h1");
  other->lead(2, false, 1000s);
  world.run(10s);
  // The new planner completes the load, and does not release the replica although it is idle.
  EXPECT_TRUE(holdsModel("e0", "m0"));
  EXPECT_TRUE(other->planner->replicas().at(EndpointName("e0"))[0].unresolved);
  other->ensure("p0", "m1");
  world.run(8s);
  other->ensure("p0", "m2");
  world.run(8s);
  EXPECT_TRUE(holdsModel("e0", "m0"));
  EXPECT_EQ(countEvents(EventKind::LoadStarted), 3);
  world.thaw(host->process);
  world.run(1s);
  EXPECT_EQ(countEvents(EventKind::Overcommit), 0);
  other->planner->onFormerHolderEnded();
  world.run(1s);
  EXPECT_FALSE(other->planner->replicas().at(EndpointName("e0"))[0].unresolved);
}

// Guards against overwriting a record that cannot be parsed: it may contain orders.
TEST_F(PlannerTest, MalformedRecordIsKeptAndItsEndpointNotUsed) {
  world.putObject("endpoints/e0", "not json");
  startPlanner(1, true);
  auto reply = host->ensure("p0", "m0");
  world.run(2s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Refused);
  EXPECT_EQ(world.objects().at("endpoints/e0").value, "not json");
}

// Guards against records of removed endpoints that accumulate, and against a missing record when
// such an endpoint returns.
TEST_F(PlannerTest, RecordOfAGoneEndpointIsErased) {
  startPlanner(1, true);
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

// Guards against refusing or losing requests that arrive during recovery.
TEST_F(PlannerTest, RequestsDuringRecoveryWaitForIt) {
  startPlanner(1, true);
  auto other = startHost("h1");
  other->planner->lead(2, true);
  auto reply = other->ensure("p0", "m0");
  world.run(1s);
  EXPECT_EQ(reply->outcome, EnsureOutcome::Loading);
  auto third = startHost("h2");
  world.faults().platformDown = true;
  third->planner->lead(3, true);
  auto pending = third->ensure("p0", "m1");
  world.run(100ms);
  EXPECT_EQ(pending->outcome, EnsureOutcome::Count);
  third->planner->resign();
  EXPECT_EQ(pending->outcome, EnsureOutcome::NotPlanner);
}

// ---- RouteTable --------------------------------------------------------------------------------

RouteEntry makeEntry(const std::string &model, const std::string &endpoint, ReplicaState state) {
  return {.model = ModelName(model), .endpoint = EndpointName(endpoint), .state = state};
}

// Guards against deltas after which a host's table differs from the planner's.
TEST(RouteTable, DeltasReproduceTheTable) {
  World world(3);
  RouteTable planner, host;
  for (int i = 0; i < 5000; ++i) {
    auto model = "m" + std::to_string(world.random() % 40);
    auto endpoint = "e" + std::to_string(world.random() % 40);
    if (world.random() % 2 == 0)
      planner.remove(ModelName(model), EndpointName(endpoint));
    else
      planner.set(makeEntry(model, endpoint, static_cast<ReplicaState>(world.random() % 3)));
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

// Guards against a new table version, and thus a message to every host, for each small change of
// load.
TEST(RouteTable, VersionGrowsOnlyForWhatRoutersActOn) {
  RouteTable table;
  auto it = makeEntry("m", "e", ReplicaState::Loaded);
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

// Guards against a table that grows without bound because it keeps removed entries.
TEST(RouteTable, HostFarBehindGetsTheFullTable) {
  RouteTable table;
  table.set(makeEntry("kept", "e", ReplicaState::Loaded));
  for (int i = 0; i < 3000; ++i) {
    auto model = "m" + std::to_string(i);
    table.set(makeEntry(model, "e", ReplicaState::Loaded));
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
