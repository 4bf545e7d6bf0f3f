#include "endpoint_choice_p.h"
#include "fleet_world_p.h"

#include <gtest/gtest.h>

namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

/// Runs planners against fake engines that each hold at most two models of 60 GB.
class FleetPlannerTest : public ::testing::Test {
protected:
  void SetUp() override {
    view.setConfig(makeFleetConfig(6, 130'000));
    engines = std::make_unique<FakeEngines>(
        env, view.config()->services.at(ServiceName(EngineService)).engine);
  }

  /// Makes the engine name a limit of requests.
  void nameLimit(const std::string &engine, double perSecond) {
    view.onAnnouncements({EndpointName(engine), 1}, {.requestsPerSecond = perSecond}, env.now(),
                         env.now());
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

  /// Applies the planner's holdings notices to the view, as a host does.
  void applyNotices(const FleetMessage &message) {
    if (auto *m = std::get_if<HoldingsNotices>(&message))
      for (auto &it : m->notices)
        view.applyNotice(it, env.now());
  }

  /// Sends the planner a host's demand report. `rates` holds the requests per second of each model.
  void reportDemand(FleetPlanner &planner, const std::map<std::string, double> &rates) {
    DemandReport demand{
        .host = HostName("h"), .observed = 20s, .requestRates = {}, .running = {}, .failing = {}};
    for (auto &[model, rate] : rates)
      demand.requestRates.push_back(
          {ServiceName(EngineService), {ModelName(model), {}}, rate, rate});
    planner.onDemand(demand);
  }

  /// Tells the planner that `waiting` requests of a host wait for `model`.
  void reportNeed(FleetPlanner &planner, const std::string &model, int waiting = 1) {
    planner.onNeed({HostName("h"), ServiceName(EngineService), parseModelRef(model), waiting},
                   Address{"127.0.0.1", 9});
  }

  /// Runs for `d`. Every 250 ms a host reports the demand `rates` and, unless it is empty, the need
  /// for the model `needed`.
  void runWithDemand(FleetPlanner &planner, Duration d, const std::map<std::string, double> &rates,
                     const std::string &needed = {}) {
    for (Duration t{}; t < d; t += 250ms) {
      reportDemand(planner, rates);
      if (!needed.empty())
        reportNeed(planner, needed);
      env.run(250ms);
    }
  }

  FakeEnv env;
  FleetView view;
  std::unique_ptr<FakeEngines> engines;
};

// Guards against requests that wait indefinitely for a model that no engine holds.
TEST_F(FleetPlannerTest, LoadsAModelThatRequestsWaitFor) {
  engines->add(view, "e0", {"m0", "m1"});
  engines->add(view, "e1", {"m2", "m3"});
  auto planner = makePlanner("a");
  env.run(1s);
  runWithDemand(*planner, 10s, {{"m0", 1}, {"m4", 1}}, "m4");
  const EndpointQuery query{.service = ServiceName(EngineService), .model = {ModelName("m4"), {}}};
  EXPECT_NE(chooseEndpoint(view, query, env.now(), 0), nullptr);
}

// Guards against unloading busy replicas while a new planner has no demand reports yet: after a
// restart of all hosts, the planner unloaded three of five replicas of the model in demand.
TEST_F(FleetPlannerTest, DropsNothingBeforeItKnowsTheDemand) {
  for (int i = 0; i < 5; ++i)
    engines->add(view, "e" + std::to_string(i), {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1s);
  for (auto &[name, it] : engines->engines)
    EXPECT_EQ(it.orderCount, 0U);
}

// Guards against orders that exceed an engine's memory: the answer to an unload order was lost and
// the model stayed on the engine, but the planner no longer counted it.
TEST_F(FleetPlannerTest, UnansweredUnloadStillTakesRoom) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  e0.commandsToLose = 100;
  runWithDemand(*planner, 3s, {{"m4", 1}}, "m4");
  e0.commandsToLose = 0;
  runWithDemand(*planner, 12s, {{"m4", 1}}, "m4");
  EXPECT_FALSE(e0.overcommitted);
  EXPECT_TRUE(engines->holdsModel("e0", "m4"));
}

// Guards against ordering a load into memory that is not free yet because runs of the unloaded
// model have not ended.
TEST_F(FleetPlannerTest, WaitsForTheEndOfAnUnload) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  e0.unloadTime = 2s;
  auto planner = makePlanner("a");
  env.run(1500ms);
  runWithDemand(*planner, 15s, {{"m4", 1}}, "m4");
  EXPECT_FALSE(e0.overcommitted);
  EXPECT_TRUE(engines->holdsModel("e0", "m4"));
}

// Guards against reloading the model that was just unloaded to make room for another.
TEST_F(FleetPlannerTest, LoadsWhatItMadeRoomFor) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  runWithDemand(*planner, 500ms, {{"m0", 0.1}, {"m1", 0.1}}, "m4");
  env.run(1s); // the need expires
  runWithDemand(*planner, 8s, {{"m0", 0.1}, {"m1", 0.1}});
  EXPECT_TRUE(engines->holdsModel("e0", "m4"));
  EXPECT_EQ(e0.orderCount, 2U);
}

// Guards against orders from a planner that another one has replaced.
TEST_F(FleetPlannerTest, StopsWhenAnEngineKnowsANewerTerm) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  e0.highestTerm = 1000;
  runWithDemand(*planner, 6s, {{"m4", 1}}, "m4");
  EXPECT_EQ(e0.commandCount, 1);
}

// Guards against two active planners: the second one waits until the lease has expired.
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

// Guards against a low-capacity host that acquires the lease before the candidates, only because it
// had no contact to the planner when that planner released the lease.
TEST_F(FleetPlannerTest, HostThatLostSightOfThePlannerLeavesTheLeaseToCandidatesFirst) {
  const std::vector<HostName> able{HostName("a"), HostName("b")};
  auto first = makePlanner("a", 1, able);
  env.run(1s);
  auto weak = makePlanner("weak", 1, able);
  weak->setPlannerLost(true);
  env.run(3s);
  first->stop([] {});
  env.run(1500ms); // candidates check the lease once a second
  EXPECT_FALSE(weak->isActive());
  env.run(4s);
  EXPECT_TRUE(weak->isActive()) << "no candidate was available";
}

// Guards against seconds without a planner after a restart of all hosts: the host that held the
// lease reacquires it at once, even if it is no longer a candidate.
TEST_F(FleetPlannerTest, RestartedHolderTakesItsLeaseUpAgain) {
  engines->add(view, "e0", {"m0", "m1"});
  std::vector<HostName> hosts;
  for (char c = 'a'; c <= 'z'; ++c)
    hosts.emplace_back(std::string(1, c));
  std::unique_ptr<FleetPlanner> planner;
  for (auto &it : hosts) {
    planner = makePlanner(it.value, 1);
    env.run(8s); // the former host's lease expires
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
  runWithDemand(*planner, 3s, {{"m4", 1}}, "m4");
  EXPECT_EQ(e0.commandCount, 0);
}

// Guards against a model that is unavailable while the only engine that holds it does not answer.
TEST_F(FleetPlannerTest, ReplacesModelsOfAnEngineThatDoesNotAnswer) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  engines->add(view, "e1", {"m2"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  e0.reachable = false;
  runWithDemand(*planner, 12s, {{"m0", 1}}, "m0");
  EXPECT_TRUE(engines->holdsModel("e1", "m0"));
}

// Guards against exceeding an engine's adapter limit, and against a request whose adapter is never
// loaded.
TEST_F(FleetPlannerTest, MakesRoomForAdapters) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  for (const char *it : {"m0/a1", "m0/a2", "m0/a3"}) {
    runWithDemand(*planner, 1s, {{"m0", 1}}, it);
    EXPECT_TRUE(holds(e0.models, parseModelRef(it))) << it;
  }
  EXPECT_FALSE(e0.overcommitted);
}

// Guards against a wrong order count after an adapter was unloaded. The engine's answer says that
// the requested state already holds, although it counted the order. The engine then refused the
// next order, and each further adapter waited half a second for a status.
TEST_F(FleetPlannerTest, AnAdapterReplacesAnotherAtOnce) {
  auto &e0 = engines->add(view, "e0", {"m0", "m1"});
  auto planner = makePlanner("a");
  env.run(1500ms);
  for (const char *it : {"m0/a1", "m0/a2", "m0/a3", "m0/a4", "m0/a5"}) {
    reportNeed(*planner, it);
    env.run(200ms);
    EXPECT_TRUE(holds(e0.models, parseModelRef(it))) << it;
    reportNeed(*planner, it, 0);
  }
  EXPECT_FALSE(e0.overcommitted);
}

// Guards against callers that get only what the limit of a model's only engine allows, and against
// moving the engine's other models, which fit into the limit.
TEST_F(FleetPlannerTest, ModelOverItsEnginesLimitGetsNoOtherReplica) {
  engines->add(view, "a", {"m0", "m1"});
  engines->add(view, "b", {"m2"});
  auto planner = makePlanner("h");
  const std::map<std::string, double> rates{{"m0", 4}, {"m1", 0.3}, {"m2", 0.3}};
  runWithDemand(*planner, 5s, rates);
  nameLimit("a", 1);
  runWithDemand(*planner, 10s, rates, "m0"); // hosts need m0, since "a" takes no more requests
  EXPECT_TRUE(engines->holdsModel("b", "m0"));
  EXPECT_FALSE(engines->holdsModel("b", "m1"));
  EXPECT_TRUE(engines->holdsModel("a", "m0"));
}

// Guards against status calls that use up the limit of an engine, and against orders beside it.
TEST_F(FleetPlannerTest, CallsOfThePlannerUseUpTheLimit) {
  engines->add(view, "a", {"m0"});
  auto planner = makePlanner("h");
  runWithDemand(*planner, 5s, {{"m0", 0.3}});
  nameLimit("a", 1);
  runWithDemand(*planner, 2s, {{"m0", 0.3}});
  const int before = engines->engines.at(EndpointName("a")).callCount();
  runWithDemand(*planner, 20s, {{"m0", 0.3}});
  EXPECT_LE(engines->engines.at(EndpointName("a")).callCount() - before, 5); // a quarter of it
}

} // namespace
} // namespace catkin::fleet
