#include "memory_budget_p.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace catkin {
namespace {

using namespace std::chrono_literals;
using Outcome = MemoryBudget::Outcome;
using Holder = MemoryBudget::Holder;

constexpr std::size_t Megabyte = 1024 * 1024;
const Instant Start{1h};

// Guards against memory exhaustion by one endless answer or by many answers together.
TEST(MemoryBudgetTest, BoundsOneAnswerAndAllTogether) {
  MemoryBudget budget({.limit = 15, .perAnswer = 10});
  Holder one(budget, MemoryKind::Answer);
  Holder other(budget, MemoryKind::Answer);
  EXPECT_EQ(one.resize(10, Start), Outcome::Granted);
  EXPECT_EQ(one.resize(11, Start), Outcome::Refused);
  EXPECT_EQ(other.resize(5, Start), Outcome::Granted);
  EXPECT_EQ(other.resize(6, Start), Outcome::Refused);
  EXPECT_EQ(budget.usedBytes(), 15U);
  EXPECT_EQ(one.resize(3, Start), Outcome::Granted);
  EXPECT_EQ(other.resize(10, Start), Outcome::Granted);
}

// Guards against completed answers that still count against the budget.
TEST(MemoryBudgetTest, EndedAnswersGiveTheirShareBack) {
  MemoryBudget budget({.limit = 10, .perAnswer = 10});
  {
    Holder share(budget, MemoryKind::Answer);
    EXPECT_EQ(share.resize(10, Start), Outcome::Granted);
  }
  EXPECT_EQ(budget.usedBytes(), 0U);
}

// Guards against a reservation that is refused although stalled uploads hold the memory, and
// against reclaiming more than needed.
TEST(MemoryBudgetTest, LargestAndLongestStalledUploadsAreReclaimedFirst) {
  MemoryBudget budget({.limit = 16 * Megabyte});
  int small = 0;
  int older = 0;
  int newer = 0;
  Holder first(budget, MemoryKind::Upload, [&] { ++small; });
  Holder second(budget, MemoryKind::Upload, [&] { ++newer; });
  auto third = std::make_unique<Holder>(budget, MemoryKind::Upload, [&] { ++older; });
  EXPECT_EQ(first.resize(2 * Megabyte, Start), Outcome::Granted);
  EXPECT_EQ(third->resize(3 * Megabyte, Start), Outcome::Granted);
  EXPECT_EQ(second.resize(3 * Megabyte, Start + 10ms), Outcome::Granted);
  Holder fresh(budget, MemoryKind::Upload);
  EXPECT_EQ(fresh.resize(3 * Megabyte, Start + 900ms), Outcome::Refused);
  const Instant later = Start + 1500ms;
  EXPECT_EQ(fresh.resize(3 * Megabyte, later), Outcome::Reclaiming);
  EXPECT_EQ(fresh.resize(3 * Megabyte, later), Outcome::Reclaiming);
  EXPECT_EQ(small + newer, 0);
  EXPECT_EQ(older, 1);
  third.reset();
  EXPECT_EQ(fresh.resize(3 * Megabyte, later), Outcome::Granted);
  EXPECT_EQ(budget.reclaimsByKind()[static_cast<std::size_t>(MemoryKind::Upload)], 1U);
}

// Guards against requests that lose their memory while they run, and uploads that arrive slowly.
TEST(MemoryBudgetTest, RunningRequestsAndProgressAreNotReclaimed) {
  MemoryBudget budget({.limit = 16 * Megabyte});
  int released = 0;
  Holder running(budget, MemoryKind::Upload, [&] { ++released; });
  Holder arriving(budget, MemoryKind::Upload, [&] { ++released; });
  EXPECT_EQ(running.resize(4 * Megabyte, Start), Outcome::Granted);
  EXPECT_EQ(arriving.resize(4 * Megabyte, Start), Outcome::Granted);
  running.setKind(MemoryKind::Request);
  arriving.recordProgress(Start + 2s);
  Holder other(budget, MemoryKind::Upload);
  EXPECT_EQ(other.resize(Megabyte, Start + 2s), Outcome::Refused);
  EXPECT_EQ(released, 0);
}

// Guards against small requests, copies and answers that find no memory while large uploads stall.
TEST(MemoryBudgetTest, LargeUploadsLeaveRoomForTheRest) {
  MemoryBudget budget({.limit = 32 * Megabyte});
  std::vector<std::unique_ptr<Holder>> uploads;
  do
    uploads.push_back(std::make_unique<Holder>(budget, MemoryKind::Upload));
  while (uploads.back()->resize(4 * Megabyte, Start) == Outcome::Granted);
  EXPECT_EQ(uploads.size(), 5U);
  Holder copy(budget, MemoryKind::ForwardedCopy);
  EXPECT_EQ(copy.resize(8 * Megabyte, Start), Outcome::Granted);
  Holder answer(budget, MemoryKind::Answer);
  EXPECT_EQ(answer.resize(4 * Megabyte, Start), Outcome::Granted);
  Holder small(budget, MemoryKind::Upload);
  EXPECT_EQ(small.resize(MemoryBudget::SmallBytes, Start), Outcome::Granted);
}

// Guards against idle callers that lose their connections for one large body, and against small
// requests that are refused since a large one has just found nothing.
TEST(MemoryBudgetTest, IdleConnectionsAreClosedForSmallRequestsOnly) {
  MemoryBudget budget({.limit = Megabyte});
  int closed = 0;
  std::vector<std::unique_ptr<Holder>> idle;
  for (int i = 0; i < 8; ++i) {
    idle.push_back(std::make_unique<Holder>(budget, MemoryKind::Connection, [&] { ++closed; }));
    EXPECT_EQ(idle.back()->resize(Megabyte / 8, Start), Outcome::Granted);
  }
  Holder large(budget, MemoryKind::Upload);
  EXPECT_EQ(large.resize(Megabyte / 2, Start + 2s), Outcome::Refused);
  Holder small(budget, MemoryKind::Upload);
  EXPECT_EQ(small.resize(1024, Start + 2s), Outcome::Reclaiming);
  EXPECT_EQ(closed, 1);
}

// Guards against a log that grows with each refused request.
TEST(MemoryBudgetTest, DecisionsAreReportedOnceASecond) {
  std::vector<MemoryDecision> reports;
  MemoryBudget budget(
      {.limit = 10, .onDecision = [&](const MemoryDecision &it) { reports.push_back(it); }});
  Holder holder(budget, MemoryKind::Upload);
  for (int i = 0; i < 100; ++i)
    EXPECT_EQ(holder.resize(11, Start), Outcome::Refused);
  EXPECT_EQ(holder.resize(11, Start + 1s), Outcome::Refused);
  ASSERT_EQ(reports.size(), 2U);
  EXPECT_EQ(reports.back().notReported, 99U);
}

// Guards against capacity of strings that is not counted.
TEST(MemoryBudgetTest, GrowingTextIsCountedByItsCapacity) {
  MemoryBudget budget({.limit = 32 * Megabyte, .perAnswer = 4 * Megabyte});
  Holder holder(budget, MemoryKind::Answer);
  std::string text;
  const std::string piece(60000, 'x');
  while (growText(holder, text, piece.size(), 4 * Megabyte, Start) == Outcome::Granted) {
    text += piece;
    ASSERT_EQ(text.capacity(), budget.usedBytes());
  }
  EXPECT_GT(text.size() + piece.size(), 4 * Megabyte);
}

} // namespace
} // namespace catkin
