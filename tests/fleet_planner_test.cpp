#include "fleet_world_p.h"

#include <gtest/gtest.h>

namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

/// One planner before fake engines that hold two models of 60 GB each at most.
class FleetPlannerTest : public ::testing::Test {
protected:
  void SetUp() override {
    view.setConfig(makeFleetConfig(6, 130'000));
    engines = std::make_unique<FakeEngines>(
        env, view.config()->services.at(ServiceName(EngineService)).engine);
  }

  std::unique_ptr<FleetPlanner> makePlanner(const std::string &host, std::uint64_t incarnation = 1,
                                            std::vector<HostName> hosts = {}) {
    FleetPlannerOptions options{
        .host = HostName(host), .incarnation = incarnation, .address = {"10.0.0.1", 7}};
    auto planner = std::make_unique<FleetPlanner>(
        env, view, *engines, options,
        FleetPlannerLinks{.broadcast = [this](auto &message) { applyNotices(message); },
                          .send = [this](auto &, auto &message) { applyNotices(message); }});
    planner->setCandidates(std::move(hosts));
    planner->start();
    return planner;
  }

  void applyNotices(const FleetMessage &message) {
    if (auto *m = std::get_if<HoldingsNotices>(&message))
      for (auto &it : m->notices)
        view.applyNotice(it, env.now());
  }

  /// A host's report of `rate` requests a second for each model.
  void report(FleetPlanner &planner, const std::map<std::string, double> &rates) {
    DemandReport demand{
        .host = HostName("h"), .observed = 20s, .requestRates = {}, .running = {}, .failing = {}};
    for (auto &[model, rate] : rates)
      demand.requestRates.push_back(
          {ServiceName(EngineService), {ModelName(model), {}}, rate, rate});
    planner.onDemand(demand);
  }

  void need(FleetPlanner &planner, const std::string &model, int waiting = 1) {
    planner.onNeed({HostName("h"), ServiceName(EngineService), parseModelRef(model), waiting},
                   Address{"127.0.0.1", 9});
  }

  /// Runs for `d` while hosts report demand and needs as they do.
  void runWith(FleetPlanner &planner, Duration d, const std::map<std::string, double> &rates,
               const std::string &needed = {}) {
    for (Duration t{}; t < d; t += 250ms) {
      report(planner, rates);
      if (!needed.empty())
        need(planner, needed);
      env.run(250ms);
    }
  }

  FakeEnv env;
  FleetView view;
  std::unique_ptr<FakeEngines> engines;
};

// Guards against requests that wait for ever for a model that no engine holds.
TEST_F(FleetPlannerTest, LoadsAModelThatRequestsWaitFor) {
  engines->add(view, "e0", {"m0", "m1"});
  engines->add(view, "e1", {"m2", "m3"});
  auto planner = makePlanner("a");
  env.run(1s);
  runWith(*planner, 10s, {{"m0", 1}, {"m4", 1}}, "m4");
  const EndpointQuery query{.service = ServiceName(EngineService), .model = {ModelName("m4"), {}}};
  EXPECT_NE(chooseEndpoint(view, query, env.now(), 0), nullptr);
}

// Guards against the loss of the busiest replicas when a new planner has no reports yet. After a
// restart of all hosts the planner dropped three of five replicas of the model in demand.
TEST_F(FleetPlannerTest, DropsNothingBeforeItKnowsTheDemand) {
  for (int i = 0; i < 5; ++i)
    engines->add(view, "e" + std::to_string(i), {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1s);
  for (auto &[name, it] : engines->engines)
    EXPECT_EQ(it.orderCount, 0U);
}

// Guards against orders beyond an engine's memory. A model stayed on the engine since the answer to
// its unload was lost, but the planner no longer counted it.
TEST_F(FleetPlannerTest, UnansweredUnloadStillTakesRoom) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  e0.loseAnswers = 100;
  runWith(*planner, 3s, {{"m4", 1}}, "m4");
  e0.loseAnswers = 0;
  runWith(*planner, 12s, {{"m4", 1}}, "m4");
  EXPECT_FALSE(e0.overcommitted);
  EXPECT_TRUE(engines->holdsModel("e0", "m4"));
}

// Guards against a load ordered into room that is not free yet, because runs of the dropped model
// had not ended.
TEST_F(FleetPlannerTest, WaitsForTheEndOfAnUnload) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  e0.unloadTime = 2s;
  auto planner = makePlanner("a");
  env.run(1500ms);
  runWith(*planner, 15s, {{"m4", 1}}, "m4");
  EXPECT_FALSE(e0.overcommitted);
  EXPECT_TRUE(engines->holdsModel("e0", "m4"));
}

// Guards against loading the model again that was just dropped to make room for another.
TEST_F(FleetPlannerTest, LoadsWhatItMadeRoomFor) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  runWith(*planner, 500ms, {{"m0", 0.1}, {"m1", 0.1}}, "m4");
  env.run(1s); // the need has expired meanwhile
  runWith(*planner, 8s, {{"m0", 0.1}, {"m1", 0.1}});
  EXPECT_TRUE(engines->holdsModel("e0", "m4"));
  EXPECT_EQ(e0.orderCount, 2U);
}

// Guards against orders of a planner that another has replaced.
TEST_F(FleetPlannerTest, StopsWhenAnEngineKnowsANewerTerm) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  e0.highestTerm = 1000;
  runWith(*planner, 6s, {{"m4", 1}}, "m4");
  EXPECT_EQ(e0.commands, 1);
}

// Guards against two planners at work at once: the second waits until the lease has run out.
TEST_F(FleetPlannerTest, SecondPlannerWaitsForTheLease) {
  engines->add(view, "e0", {"m0", "m1"});
  auto first = makePlanner("a");
  env.run(1s);
  auto second = makePlanner("b");
  env.run(2s);
  EXPECT_TRUE(first->isActive());
  EXPECT_FALSE(second->isActive());
  auto firstTerm = first->term();
  first.reset();
  env.run(6s);
  EXPECT_TRUE(second->isActive());
  EXPECT_GT(second->term(), firstTerm);
}

// Guards against a weak host that takes the lease from able ones, only because it did not hear the
// planner for a while when that gave the lease up.
TEST_F(FleetPlannerTest, HostThatLostSightOfThePlannerLeavesTheLeaseToCandidatesFirst) {
  const std::vector<HostName> able{HostName("a"), HostName("b")};
  auto first = makePlanner("a", 1, able);
  env.run(1s);
  auto weak = makePlanner("weak", 1, able);
  weak->setPlannerLost(true);
  env.run(3s);
  first->stop([] {});
  env.run(1500ms); // candidates look at the lease once a second
  EXPECT_FALSE(weak->isActive());
  env.run(4s);
  EXPECT_TRUE(weak->isActive()) << "no candidate was there";
}

// Guards against seconds without a planner after a restart of all hosts: the one that held the
// lease takes it up again at once, also if it is not among the candidates by now.
TEST_F(FleetPlannerTest, RestartedHolderTakesItsLeaseUpAgain) {
  engines->add(view, "e0", {"m0", "m1"});
  std::vector<HostName> hosts;
  for (char c = 'a'; c <= 'z'; ++c)
    hosts.emplace_back(std::string(1, c));
  std::unique_ptr<FleetPlanner> planner;
  for (auto &it : hosts) {
    planner = makePlanner(it.value, 1);
    env.run(8s); // the former host's lease runs out
    ASSERT_TRUE(planner->isActive()) << it.value;
    planner = makePlanner(it.value, 2, hosts);
    env.run(100ms);
    EXPECT_TRUE(planner->isActive()) << it.value;
  }
}

// Guards against orders by a planner that cannot renew its lease.
TEST_F(FleetPlannerTest, GivesNoOrdersOnceTheLeaseHasRunOut) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  env.store.down = true;
  env.run(4s);
  EXPECT_FALSE(planner->isActive());
  runWith(*planner, 3s, {{"m4", 1}}, "m4");
  EXPECT_EQ(e0.commands, 0);
}

// Guards against a model that is lost to callers while the only engine with it does not answer.
TEST_F(FleetPlannerTest, ReplacesModelsOfAnEngineThatDoesNotAnswer) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  engines->add(view, "e1", {"m2"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  e0.reachable = false;
  runWith(*planner, 12s, {{"m0", 1}}, "m0");
  EXPECT_TRUE(engines->holdsModel("e1", "m0"));
}

// Guards against adapters beyond an engine's places, and against a request that never gets its own.
TEST_F(FleetPlannerTest, MakesRoomForAdapters) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  for (const char *it : {"m0/a1", "m0/a2", "m0/a3"}) {
    runWith(*planner, 1s, {{"m0", 1}}, it);
    EXPECT_TRUE(holds(e0.models, parseModelRef(it))) << it;
  }
  EXPECT_FALSE(e0.overcommitted);
}

// Guards against a wrong order count after an adapter was dropped, whose answer says that the order
// already holds: the engine refused the next order, and each further adapter waited half a second
// for a report.
TEST_F(FleetPlannerTest, AnAdapterReplacesAnotherAtOnce) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  for (const char *it : {"m0/a1", "m0/a2", "m0/a3", "m0/a4", "m0/a5"}) {
    need(*planner, it);
    env.run(200ms);
    EXPECT_TRUE(holds(e0.models, parseModelRef(it))) << it;
    need(*planner, it, 0);
  }
  EXPECT_FALSE(e0.overcommitted);
}

} // namespace
} // namespace catkin::fleet
