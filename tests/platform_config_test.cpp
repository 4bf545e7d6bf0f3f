#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

/// How soon an accepted configuration is in force at every host while hosts cannot hear the store.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr int SmallFleet = 4;
constexpr int LargeFleet = 18;        // more hosts than watch the store closely
constexpr auto ConfigBound = 2000ms;  // that the platform allows after its acknowledgement
constexpr auto ContactBound = 3000ms; // and after a disturbance of a host's connections

class ConfigDelivery : public ::testing::TestWithParam<int> {
protected:
  ConfigDelivery()
      : hosts(GetParam()), cluster(hosts, {{"m0", "m1"}}, {.proxied = true, .plainEndpoints = 1}) {}

  void SetUp() override {
    ASSERT_TRUE(pollUntil([&] { return cluster.areAllHostsReady(); }));
    ASSERT_TRUE(
        pollUntil([&] { return static_cast<int>(cluster.directoryAddresses(0).size()) == hosts; }));
    std::this_thread::sleep_for(2s); // the hosts have taken their parts in the fleet
  }

  /// The connections that `host` has to the store go silent for good; new ones work.
  void silenceConnections(int host) {
    auto proxy = cluster.storeProxies[static_cast<std::size_t>(host)];
    cluster.run([&] { proxy->blackholeAll(); });
  }

  void turnAway(int host) {
    auto proxy = cluster.storeProxies[static_cast<std::size_t>(host)];
    cluster.run([&] {
      proxy->setFaults({.refuse = true});
      proxy->resetAll();
    });
  }

  /// The hosts at which the added route is not in force at `end`.
  std::vector<int> hostsBehind(Instant end) {
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

// Guards against a configuration that is late where connections to the store have gone silent.
TEST_P(ConfigDelivery, InForceInTimeAfterAllConnectionsToTheStoreWentSilent) {
  const Instant silent = steadyNow();
  for (int host = 0; host < hosts; ++host)
    silenceConnections(host);
  std::this_thread::sleep_for(200ms);
  const Instant accepted = steadyNow();
  cluster.changeConfig({.extraRoute = true});
  EXPECT_EQ(hostsBehind(std::max(accepted + ConfigBound, silent + ContactBound)),
            std::vector<int>{});
}

// Guards against a host that keeps an old configuration for as long as the store turns it away.
TEST_P(ConfigDelivery, InForceInTimeAtAHostThatTheStoreTurnsAway) {
  turnAway(1);
  turnAway(2);
  std::this_thread::sleep_for(1s);
  const Instant accepted = steadyNow();
  cluster.changeConfig({.extraRoute = true});
  EXPECT_EQ(hostsBehind(accepted + ConfigBound), std::vector<int>{});
}

INSTANTIATE_TEST_SUITE_P(Hosts, ConfigDelivery, ::testing::Values(SmallFleet, LargeFleet));

} // namespace
} // namespace catkin::platform
