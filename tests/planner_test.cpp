#include "planner_world_p.h"

#include <gtest/gtest.h>

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
    ASSERT_TRUE(world.runUntil([&] { return host->planner->ready(); }, 5s));
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

} // namespace
} // namespace catkin::harness
