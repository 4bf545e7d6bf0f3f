#include "machine_limits_p.h"
#include "memory_report_p.h"

#include <gtest/gtest.h>

namespace catkin::platform {
namespace {

constexpr std::size_t Megabyte = 1024 * 1024;
constexpr std::size_t LargestRequest = 4 * Megabyte + 4096;
const Instant Start{std::chrono::hours(1)};

// Guards against a single request within the limits that is refused on the smallest machine.
TEST(MachineLimitsTest, OneLargestRequestFitsTheSmallestMachine) {
  MemoryBudget budget({.limit = heldMemoryLimit(90 * Megabyte)});
  MemoryBudget::Holder chunked(budget, MemoryKind::Upload);
  EXPECT_EQ(chunked.resize(2 * LargestRequest, Start), MemoryBudget::Outcome::Granted);
  MemoryBudget::Holder copy(budget, MemoryKind::ForwardedCopy);
  EXPECT_EQ(copy.resize(LargestRequest, Start), MemoryBudget::Outcome::Granted);
  MemoryBudget::Holder answer(budget, MemoryKind::Answer);
  EXPECT_EQ(answer.resize(LargestRequest, Start), MemoryBudget::Outcome::Granted);
}

// Guards against callers that take the descriptors of endpoints, hosts and the store.
TEST(MachineLimitsTest, CallersLeaveDescriptors) {
  for (std::size_t descriptors : {400, 3075, 10250}) {
    const auto limits = connectionLimits(descriptors);
    // Connections that are being closed or refused take an eighth of the limit each, and each
    // request in progress takes a connection to an endpoint.
    const std::size_t callers = limits.callers * 5 / 4 + limits.endpoints;
    EXPECT_GE(limits.endpoints, limits.callers);
    EXPECT_LE(callers + limits.directory * 5 / 4 + 64 + 200, descriptors);
    EXPECT_GE(limits.callers, (descriptors - 264) / 3);
  }
}

// Guards against other limits than before on machines that do not say what they have.
TEST(MachineLimitsTest, MissingSettingsKeepTheConstants) {
  EXPECT_EQ(heldMemoryLimit(0), 96 * Megabyte);
  EXPECT_EQ(connectionLimits(0).callers, 4096U);
}

// Guards against metrics that do not say what holds the memory.
TEST(MachineLimitsTest, MetricsTellWhatHoldsTheMemory) {
  MemoryBudget budget({.limit = 100});
  MemoryBudget::Holder upload(budget, MemoryKind::Upload);
  EXPECT_EQ(upload.resize(60, Start), MemoryBudget::Outcome::Granted);
  MemoryBudget::Holder head(budget, MemoryKind::Head);
  EXPECT_EQ(head.resize(60, Start), MemoryBudget::Outcome::Refused);
  const auto text = limitMetricsText(budget, {.open = 7, .refused = 2, .evicted = 3});
  for (const char *line :
       {"catkin_held_bytes{kind=\"upload\"} 60\n",
        "catkin_memory_refusals_total{kind=\"head\"} 1\n", "catkin_held_bytes_limit 100\n",
        "catkin_caller_connections 7\n", "catkin_connections_refused_total 2\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line;
}

} // namespace
} // namespace catkin::platform
