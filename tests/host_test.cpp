#include "catkin/catkin.h"

#include "port_block_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace catkin {
namespace {

Init validInit() {
  static const PortBlock Ports(4);
  const auto address = [](int n) { return "127.0.0.1:" + std::to_string(Ports.first() + n); };
  return {.host = "host-1",
          .dataCentre = "buda-a",
          .listen = address(0),
          .peerListen = address(1),
          .operatorListen = address(2),
          .platform = address(3),
          .operatorKey = "example-operator-key"};
}

// Guards against creating an embedded host with settings that the daemon would refuse.
TEST(Host, FaultsOfTheSettingsAreListedTogether) {
  auto init = validInit();
  init.platform = "nowhere";
  init.retention = "unknown";
  init.operatorKey = "short";
  std::string error;
  EXPECT_EQ(Host::create(init, error), nullptr);
  for (auto it : {"platform", "retention", "16 characters"})
    EXPECT_NE(error.find(it), std::string::npos) << it << " is missing in: " << error;
}

// Guards against a crash when the host's functions are called after it has stopped, and against a
// stop that hangs while the platform is unreachable.
TEST(Host, StopsWithoutAPlatform) {
  std::string error;
  auto host = Host::create(validInit(), error);
  ASSERT_NE(host, nullptr) << error;
  EXPECT_FALSE(host->stats().ready);
  host->requestStop();
  host->wait();
  host->requestStop();
  EXPECT_EQ(host->stats().active, 0U);
}

// Guards against a build whose creator tables lack a policy that the documentation names.
TEST(Host, CapsNameThePolicies) {
  auto caps = getCaps();
  EXPECT_NE(std::find(caps.retentionPolicies.begin(), caps.retentionPolicies.end(), "adaptive"),
            caps.retentionPolicies.end());
  EXPECT_NE(std::find(caps.placementPolicies.begin(), caps.placementPolicies.end(), "cost"),
            caps.placementPolicies.end());
}

} // namespace
} // namespace catkin
