#include "process_cluster_p.h"

#include <gtest/gtest.h>

#include <chrono>

namespace catkin {
namespace {

using namespace std::chrono_literals;

// Guards against two clusters on one machine that take each other's ports.
TEST(ProcessClusterTest, ClustersAtOnceGetTheSamePorts) {
  ProcessCluster one({.hosts = 2, .engines = 1});
  ASSERT_TRUE(one.isReady()) << one.error;
  ProcessCluster other({.hosts = 2, .engines = 1});
  EXPECT_TRUE(other.isReady()) << other.error;
  EXPECT_NE(one.platformAddress().port, other.platformAddress().port);
}

// Guards against a test that waits for a minute and then does not tell why a program has not
// started.
TEST(ProcessClusterTest, ProgramThatEndsAtStartIsNoticedLate) {
  const auto start = std::chrono::steady_clock::now();
  ProcessCluster cluster({.hosts = 1, .engines = 1, .hostFlags = {"--no-such-flag"}});
  EXPECT_LT(std::chrono::steady_clock::now() - start, 3s);
  EXPECT_FALSE(cluster.isReady());
  EXPECT_NE(cluster.error.find("host-0"), std::string::npos) << cluster.error;
  EXPECT_NE(cluster.error.find("no-such-flag"), std::string::npos) << cluster.error;
}

} // namespace
} // namespace catkin
