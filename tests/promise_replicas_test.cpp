#include "checkers_p.h"
#include "planner_world_p.h"
#include "replica_scenario_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

namespace catkin::harness {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t Seeds = 300;

const EngineFactsByName Engines{{"fenced", {.memoryBytes = 10, .checksFencing = true}},
                                {"plain", {.memoryBytes = 10, .checksFencing = false}}};

/// Builds a history event by event, with one second between events.
class History {
public:
  History &lease(int term) {
    return add({.kind = EventKind::Write,
                .endpoint = "planner/lease",
                .detail = "{\"term\":" + std::to_string(term) + "}"});
  }
  History &intent(const std::string &engine, const std::vector<std::string> &models) {
    std::string replicas;
    for (auto &it : models) {
      replicas += replicas.empty() ? "" : ",";
      replicas.append("{\"model\":\"").append(it).append("\",\"order_id\":\"").append(it);
      replicas += "\"}";
    }
    return add({.kind = EventKind::Write,
                .endpoint = "endpoints/" + engine,
                .detail = "{\"term\":1,\"replicas\":[" + replicas + "]}"});
  }
  History &load(const std::string &engine, const std::string &model, std::uint64_t term = 1,
                std::uint64_t bytes = 4) {
    return add({.kind = EventKind::LoadStarted,
                .host = "h",
                .endpoint = engine,
                .model = model,
                .detail = model,
                .term = term,
                .number = bytes});
  }
  History &event(EventKind kind, const std::string &engine, const std::string &model) {
    return add({.kind = kind, .host = "h", .endpoint = engine, .model = model, .term = 1});
  }
  History &mark(const char *what, const std::string &engine = {}, const std::string &model = {}) {
    return add({.kind = EventKind::Custom,
                .host = "h",
                .endpoint = engine,
                .model = model,
                .detail = what});
  }
  History &advance(Duration d) {
    now += d;
    return *this;
  }
  std::vector<Event> events;

private:
  History &add(Event e) {
    now += 1s;
    e.time = now;
    events.push_back(std::move(e));
    return *this;
  }
  Instant now{};
};

// ---- The checkers reject invalid histories -----------------------------------------------------

TEST(PromiseReplicas, DecidedCheckerRejectsBadHistories) {
  auto found = [](const History &h) { return checkDecided(h.events, Engines).size(); };
  EXPECT_EQ(found(History().intent("plain", {"m"}).load("plain", "m")), 0U);
  // An order without a record, and an order recorded after its load started.
  EXPECT_EQ(found(History().load("plain", "m")), 1U);
  EXPECT_EQ(found(History().load("fenced", "m").intent("fenced", {"m"})), 1U);
  // The record drops a loaded model, for example if an order without a reply is not kept.
  EXPECT_EQ(found(History().intent("plain", {"m"}).load("plain", "m").intent("plain", {})), 1U);
  // An order of an ended term that the new planner could not read, on an engine without fencing.
  EXPECT_EQ(found(History().lease(1).lease(2).intent("plain", {"m"}).load("plain", "m")), 1U);
  EXPECT_EQ(found(History().lease(1).intent("plain", {"m"}).lease(2).load("plain", "m")), 0U);
  // An outage permits an unrecorded load only on an engine that checks fencing, and only in the
  // newest term that this engine has seen.
  auto outage = [] { return History().mark(mark::PlatformDown); };
  EXPECT_EQ(found(outage().load("fenced", "m")), 0U);
  EXPECT_EQ(found(outage().load("plain", "m")), 1U);
  EXPECT_EQ(found(outage().load("fenced", "m", 2).load("fenced", "n", 1)), 1U);
  EXPECT_EQ(found(outage().mark(mark::PlatformUp).advance(10s).load("fenced", "m")), 1U);
}

TEST(PromiseReplicas, MemoryCheckerRejectsOvercommit) {
  auto found = [](const History &h) { return checkMemory(h.events, Engines).size(); };
  EXPECT_EQ(found(History().load("plain", "m", 1, 6).load("plain", "n", 1, 6)), 1U);
  EXPECT_EQ(found(History()
                      .load("plain", "m", 1, 6)
                      .event(EventKind::Unloaded, "plain", "m")
                      .load("plain", "n", 1, 6)),
            0U);
}

TEST(PromiseReplicas, OneLoadCheckerRejectsASecondLoad) {
  auto found = [](const History &h) { return checkOneLoad(h.events).size(); };
  EXPECT_EQ(found(History().load("plain", "m").load("fenced", "m")), 1U);
  EXPECT_EQ(found(History()
                      .load("plain", "m")
                      .event(EventKind::LoadReady, "plain", "m")
                      .load("fenced", "m")),
            0U);
}

TEST(PromiseReplicas, ReleaseCheckerRejectsARequestAfterTheUnload) {
  auto found = [](const History &h) { return checkReleases(h.events).size(); };
  auto unloaded = [] {
    return History().load("plain", "m").event(EventKind::Unloaded, "plain", "m");
  };
  EXPECT_EQ(found(unloaded().mark(mark::RequestArrived, "plain", "m")), 1U);
  EXPECT_EQ(found(unloaded().load("plain", "m").mark(mark::RequestArrived, "plain", "m")), 0U);
  EXPECT_EQ(found(unloaded()
                      .event(EventKind::EngineDied, "plain", "")
                      .mark(mark::RequestArrived, "plain", "m")),
            0U);
}

TEST(PromiseReplicas, LeavingCheckerRejectsALateLoad) {
  auto found = [](const History &h) { return checkLeaving(h.events, 4s).size(); };
  auto leaving = [] { return History().mark(mark::Leaving, "plain"); };
  EXPECT_EQ(found(leaving().load("plain", "m")), 0U);
  EXPECT_EQ(found(leaving().advance(5s).load("plain", "m")), 1U);
  EXPECT_EQ(found(leaving().advance(5s).intent("plain", {"m"}).load("plain", "m")), 1U);
  EXPECT_EQ(found(leaving().intent("plain", {"m"}).advance(5s).load("plain", "m")), 0U);
  EXPECT_EQ(found(leaving().mark(mark::Returned, "plain").advance(5s).load("plain", "m")), 0U);
}

// ---- Seeded runs -------------------------------------------------------------------------------

// Guards against lost intents, orders without reserved memory and late unloads under mixed faults.
TEST(PromiseReplicas, SeededFaultsKeepThePromises) {
  std::ostringstream out;
  EXPECT_EQ(soakReplicas(1, Seeds, out), 0) << out.str();
}

// Guards against a scenario that passes because it has too few loads, faults and requests.
TEST(PromiseReplicas, SeededFaultsExerciseThePlanner) {
  ReplicaScenarioResult sum;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto r = runReplicaScenario({.seed = seed});
    sum.loads += r.loads;
    sum.unloads += r.unloads;
    sum.takeovers += r.takeovers;
    sum.faults += r.faults;
    sum.requests += r.requests;
  }
  EXPECT_GT(sum.loads, 200);
  EXPECT_GT(sum.unloads, 40);
  EXPECT_GT(sum.takeovers, 60);
  EXPECT_GT(sum.faults, 200);
  EXPECT_GT(sum.requests, 2000);
}

// Guards against nondeterminism, which would prevent reproducing a failing seed.
TEST(PromiseReplicas, ASeedRepeatsExactly) {
  std::ostringstream a, b;
  runReplicaScenario({.seed = 5, .trace = &a});
  runReplicaScenario({.seed = 5, .trace = &b});
  EXPECT_EQ(a.str(), b.str());
  EXPECT_GT(a.str().size(), 1000U);
}

// ---- The loss of each guard is caught ----------------------------------------------------------

struct GuardCase {
  const char *name;
  bool Guards::*guard;
  ReplicaScenarioResult (*run)(const ReplicaScenarioOptions &);
  const char *expected; ///< substring of the violation
};

// Without this function the test's name in ctest would contain the addresses in GuardCase.
// NOLINTNEXTLINE(readability-identifier-naming): the name is GoogleTest's.
void PrintTo(const GuardCase &it, std::ostream *out) { *out << it.name; }

class PromiseReplicasGuard : public ::testing::TestWithParam<GuardCase> {};

// With the guard off, a checker finds a violation with some seed; with it on, that seed passes.
TEST_P(PromiseReplicasGuard, LossIsCaught) {
  auto &it = GetParam();
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    ReplicaScenarioOptions o{.seed = seed};
    o.guards.*it.guard = false;
    auto found = it.run(o).violations;
    if (std::none_of(found.begin(), found.end(),
                     [&](auto &line) { return line.find(it.expected) != std::string::npos; }))
      continue;
    EXPECT_TRUE(it.run({.seed = seed}).violations.empty()) << "seed " << seed;
    return;
  }
  FAIL() << "no seed up to " << Seeds << " shows the loss of " << it.name;
}

INSTANTIATE_TEST_SUITE_P(
    Guards, PromiseReplicasGuard,
    ::testing::Values(GuardCase{"recordIntentBeforeOrder", &Guards::recordIntentBeforeOrder,
                                runReplicaScenario, "loaded without a recorded intent"},
                      GuardCase{"chargeUnresolvedOrders", &Guards::chargeUnresolvedOrders,
                                runPauseScenario, "loaded without a recorded intent"},
                      GuardCase{"chargeUnresolvedOrdersMemory", &Guards::chargeUnresolvedOrders,
                                runPauseScenario, "bytes are loaded"},
                      GuardCase{"stopOrdersAtLeaseEnd", &Guards::stopOrdersAtLeaseEnd,
                                runPauseScenario, "ordered by an ended term"},
                      GuardCase{"joinLoadUnderWay", &Guards::joinLoadUnderWay, runBurstScenario,
                                "also being loaded"},
                      GuardCase{"waitForTableAcks", &Guards::waitForTableAcks, runReplicaScenario,
                                "a request arrived after"},
                      GuardCase{"skipLeavingEndpoints", &Guards::skipLeavingEndpoints,
                                runReplicaScenario, "leaving endpoint"}),
    [](auto &param) { return std::string(param.param.name); });

} // namespace
} // namespace catkin::harness
