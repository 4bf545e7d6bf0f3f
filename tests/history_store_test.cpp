#include "history_store_p.h"

#include "config.h"
#include "harness_p.h"

#include <gtest/gtest.h>

namespace catkin::harness {
namespace {

using namespace std::chrono_literals;

constexpr Duration SaveInterval = config::HistorySaveInterval;

/// A process that acts as planner, with its history as plain text.
struct PlannerProcess {
  std::shared_ptr<Process> process;
  std::string text;
  HistoryStore store;

  PlannerProcess(World &world, const char *name, std::string text)
      : process(world.addProcess(HostName(name), {"10.0.0.1", 1})), text(std::move(text)),
        store(
            *process, [this] { return this->text; },
            [this](std::string_view t) { this->text = std::string(t); }) {}
};

// Guards against a new planner that starts without the saved history, also when the history is
// stored in several parts.
TEST(HistoryStore, NextPlannerTakesTheHistoryOver) {
  World world(1);
  std::string large(2 * config::HistoryPartBytes + 7, 'x');
  large += "end";
  PlannerProcess first(world, "a", large);
  first.store.lead(1);
  world.run(SaveInterval + 1s);
  EXPECT_EQ(world.objects().size(), 3U);
  PlannerProcess second(world, "b", "");
  second.store.lead(2);
  world.run(1s);
  EXPECT_TRUE(second.store.isRestored());
  EXPECT_EQ(second.text, large);
}

// Guards against a planner that overwrites a good history with its empty one while the store cannot
// be read.
TEST(HistoryStore, NothingIsSavedBeforeTheReadSucceeded) {
  World world(1);
  PlannerProcess first(world, "a", "good");
  first.store.lead(1);
  world.run(SaveInterval + 1s);
  first.store.resign();
  world.faults().platformDown = true;
  PlannerProcess second(world, "b", "empty");
  second.store.lead(2);
  world.run(2 * SaveInterval);
  EXPECT_FALSE(second.store.isRestored());
  world.faults().platformDown = false;
  world.run(5s);
  EXPECT_EQ(second.text, "good");
}

// Guards against combining parts of two saves after a planner died between writing two parts.
TEST(HistoryStore, PartsOfDifferentSavesAreRefused) {
  World world(1);
  world.putObject("planner/history/0000", R"({"save_id":"1-2","parts":2,"data":"new"})");
  world.putObject("planner/history/0001", R"({"save_id":"1-1","parts":2,"data":"old"})");
  PlannerProcess planner(world, "a", "own");
  planner.store.lead(2);
  world.run(1s);
  EXPECT_TRUE(planner.store.isRestored());
  EXPECT_EQ(planner.text, "own");
}

// Guards against saves that stop permanently after one lost reply, and against a former planner
// that resumes and overwrites its successor's history.
TEST(HistoryStore, LostRepliesAndFormerPlanners) {
  World world(1);
  PlannerProcess first(world, "a", "one");
  first.store.lead(1);
  world.faults().loseWriteReply = 1;
  world.run(SaveInterval + 5s);
  world.faults().loseWriteReply = 0;
  first.text = "two";
  world.run(SaveInterval);
  PlannerProcess second(world, "b", "");
  second.store.lead(2);
  world.run(1s);
  EXPECT_EQ(second.text, "two");
  second.text = "three";
  world.run(SaveInterval);
  first.text = "late";
  world.run(3 * SaveInterval);
  PlannerProcess third(world, "c", "");
  third.store.lead(3);
  world.run(1s);
  EXPECT_EQ(third.text, "three");
}

} // namespace
} // namespace catkin::harness
