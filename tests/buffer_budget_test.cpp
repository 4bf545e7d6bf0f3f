#include "buffer_budget_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

// Guards against memory exhaustion by one endless answer or by many answers together.
TEST(BufferBudgetTest, BoundsOneAnswerAndAllTogether) {
  BufferBudget budget({.perAnswer = 10, .total = 15});
  BufferBudget::Reservation one(budget);
  BufferBudget::Reservation other(budget);
  EXPECT_TRUE(one.resize(10));
  EXPECT_FALSE(one.resize(11));
  EXPECT_TRUE(other.resize(5));
  EXPECT_FALSE(other.resize(6));
  EXPECT_EQ(budget.usedBytes(), 15U);
  EXPECT_TRUE(one.resize(3));
  EXPECT_TRUE(other.resize(10));
}

// Guards against completed answers that still count against the budget.
TEST(BufferBudgetTest, EndedAnswersGiveTheirShareBack) {
  BufferBudget budget({.perAnswer = 10, .total = 10});
  {
    BufferBudget::Reservation share(budget);
    EXPECT_TRUE(share.resize(10));
  }
  EXPECT_EQ(budget.usedBytes(), 0U);
}

} // namespace
} // namespace catkin
