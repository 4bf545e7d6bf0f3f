#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

/// Tests how soon an accepted configuration is in force at every host while hosts cannot reach the
/// store.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr int SmallFleet = 4;
constexpr int LargeFleet = 18;              // more hosts than there are sentinels
constexpr auto ConfigTimeLimit = 2000ms;    // allowed by the platform after its acknowledgement
constexpr auto ReconnectTimeLimit = 3000ms; // allowed after a disturbance of a host's connections

class ConfigDelivery : public ::testing::TestWithParam<int> {
protected:
  ConfigDelivery()
      : hosts(GetParam()), cluster(hosts, {{"m0", "m1"}}, {.proxied = true, .plainEndpoints = 1}) {}

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    ASSERT_TRUE(
        pollUntil([&] { return static_cast<int>(cluster.directoryAddresses(0).size()) == hosts; }));
    std::this_thread::sleep_for(2s); // time for the hosts to choose sentinels and a planner
  }

  /// Silences the open connections of `host` to the store permanently; new ones work.
  void silenceStoreConnections(int host) {
    auto proxy = cluster.storeProxies[static_cast<std::size_t>(host)];
    cluster.run([&] { proxy->blackholeAll(); });
  }

  /// Resets the connections of `host` to the store and refuses new ones.
  void refuseStoreConnections(int host) {
    auto proxy = cluster.storeProxies[static_cast<std::size_t>(host)];
    cluster.run([&] {
      proxy->setFaults({.refuse = true});
      proxy->resetAll();
    });
  }

  /// Waits until `end` and returns the hosts at which the added route is not in force.
  std::vector<int> hostsWithoutNewRoute(Instant end) {
    std::this_thread::sleep_for(end - steadyNow());
    std::vector<int> out;
    for (int host = 0; host < hosts; ++host)
      if (cluster.statusOfExtraRoute(host) != 200)
        out.push_back(host);
    return out;
  }

  const int hosts;
  PlatformCluster cluster;
};

// Guards against a late configuration at hosts whose connections to the store have become silent.
TEST_P(ConfigDelivery, InForceInTimeAfterAllConnectionsToTheStoreWentSilent) {
  const Instant silencedTime = steadyNow();
  for (int host = 0; host < hosts; ++host)
    silenceStoreConnections(host);
  std::this_thread::sleep_for(200ms);
  const Instant acceptedTime = steadyNow();
  cluster.changeConfig({.extraRoute = true});
  EXPECT_EQ(hostsWithoutNewRoute(
                std::max(acceptedTime + ConfigTimeLimit, silencedTime + ReconnectTimeLimit)),
            std::vector<int>{});
}

// Guards against a host that keeps an old configuration while the store refuses its connections.
TEST_P(ConfigDelivery, InForceInTimeAtAHostThatTheStoreTurnsAway) {
  refuseStoreConnections(1);
  refuseStoreConnections(2);
  std::this_thread::sleep_for(1s);
  const Instant acceptedTime = steadyNow();
  cluster.changeConfig({.extraRoute = true});
  EXPECT_EQ(hostsWithoutNewRoute(acceptedTime + ConfigTimeLimit), std::vector<int>{});
}

INSTANTIATE_TEST_SUITE_P(Hosts, ConfigDelivery, ::testing::Values(SmallFleet, LargeFleet));

} // namespace
} // namespace catkin::platform
