#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

/// Tests with daemons as processes whose watches the store cuts off, as it may at any time.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr auto DrainTimeLimit = 2000ms;
constexpr auto ServesOn = 400ms; // of an endpoint that has left, after the limit

class CutWatch : public ::testing::TestWithParam<int> {
protected:
  CutWatch() : cluster(GetParam(), {{"m0"}}, {.plainEndpoints = 3}) {}

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    ASSERT_TRUE(pollUntil(
        [&] { return static_cast<int>(cluster.directoryAddresses(0).size()) == GetParam(); }));
    std::this_thread::sleep_for(5s); // time to choose sentinels and a planner
  }

  int runsOfFirstEndpoint() {
    int n = 0;
    cluster.run([&] { n = static_cast<int>(cluster.plainEndpoints[0]->runsById.size()); });
    return n;
  }

  /// Sends requests to all hosts at the same time until `end`.
  void sendUntil(Instant end) {
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(GetParam()));
    for (int host = 0; host < GetParam(); ++host)
      callers.emplace_back([this, host, end] {
        while (steadyNow() < end) {
          std::string id;
          cluster.requestOnce(host, id);
        }
      });
    for (auto &it : callers)
      it.join();
  }

  PlatformCluster cluster;
};

// Guards against a cut watch that counts as an outage of the store: the hosts then keep an
// endpoint whose registration is removed, since it might register again (DRAIN of review/7).
TEST_P(CutWatch, EndpointThatLeavesGetsNoMoreRequests) {
  sendUntil(steadyNow() + ServesOn);
  ASSERT_GT(runsOfFirstEndpoint(), 0);
  cluster.run([&] { cluster.store.cutWatches("servers"); });
  std::this_thread::sleep_for(100ms);
  cluster.run([&] { cluster.store.remove("servers", cluster.plainEndpoints[0]->id); });
  const Instant removedAt = steadyNow();
  std::this_thread::sleep_for(removedAt + DrainTimeLimit - steadyNow());
  const int before = runsOfFirstEndpoint();
  sendUntil(removedAt + DrainTimeLimit + ServesOn);
  EXPECT_EQ(runsOfFirstEndpoint() - before, 0);
}

INSTANTIATE_TEST_SUITE_P(Hosts, CutWatch, ::testing::Values(4, 18));

} // namespace
} // namespace catkin::platform
