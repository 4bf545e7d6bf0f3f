#include "checkers_p.h"
#include "replica_scenario_p.h"

#include <gtest/gtest.h>

#include <sstream>

namespace catkin::harness {
namespace {

// Guards against lost intents, uncharged orders and late unloads under any mix of faults.
TEST(PromiseReplicas, SeededFaultsKeepThePromises) {
  std::ostringstream out;
  EXPECT_EQ(soakReplicas(1, 200, out), 0) << out.str();
}

} // namespace
} // namespace catkin::harness
