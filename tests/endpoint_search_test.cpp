#include "endpoint_search_p.h"
#include "fleet_world_p.h"

#include <gtest/gtest.h>

namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

constexpr Instant Now{std::chrono::hours(1)};

class EndpointSearchTest : public ::testing::Test {
protected:
  void SetUp() override {
    view.setConfig(makeFleetConfig(2, 130'000));
    for (auto *it : {"e0", "e1", "e2"})
      view.putEndpoint({.name = EndpointName(it),
                        .service = ServiceName(EngineService),
                        .address = {"127.0.0.1", 1},
                        .dataCentre = DataCentreName("x"),
                        .slots = 4,
                        .incarnation = 1,
                        .holdings = {.models = {{ModelName("m0"), {}}}}},
                       Now);
  }

  EndpointSearch makeSearch(int maxEndpoints, const char *model = "m0") const {
    return {view,
            {.service = ServiceName(EngineService),
             .model = {ModelName(model), {}},
             .dataCentre = DataCentreName("x"),
             .maxEndpoints = maxEndpoints}};
  }

  FleetView view;
};

// Guards against sending a request to more endpoints than its route allows.
TEST_F(EndpointSearchTest, OnlyEndpointsThatHaveTheRequestAreLeftOnceUsedUp) {
  auto search = makeSearch(2);
  EXPECT_TRUE(search.allowsEndpointAfterNext());
  search.onReceived(EndpointName("e0"));
  EXPECT_FALSE(search.allowsEndpointAfterNext());
  search.onReceived(EndpointName("e1"));
  ASSERT_TRUE(search.hasReachedEndpointLimit());
  for (std::uint64_t random = 0; random < 20; ++random)
    EXPECT_NE(search.choose(Now, random)->entry.name.value, "e2");
}

// Guards against a second run of a request whose first attempt may have run.
TEST_F(EndpointSearchTest, EndpointThatFailedIsNotChosenAgain) {
  auto search = makeSearch(3);
  search.onReceived(EndpointName("e0"));
  search.onFailed(EndpointName("e0"));
  search.onUnreachable(EndpointName("e1"));
  EXPECT_EQ(search.choose(Now, 0)->entry.name.value, "e2");
  EXPECT_FALSE(search.hasAlternative(EndpointName("e2"), Now, 0));
}

// Guards against waiting for a model load that cannot help, because the endpoint limit excludes any
// further endpoint.
TEST_F(EndpointSearchTest, ALoadHelpsOnlyWhileAFurtherEndpointMayReceiveTheRequest) {
  auto search = makeSearch(1, "m1");
  EXPECT_EQ(search.choose(Now, 0), nullptr);
  EXPECT_LT(search.shortestWait(Now), Duration::max());
  search.onReceived(EndpointName("e0"));
  EXPECT_EQ(search.shortestWait(Now), Duration::max());
}

} // namespace
} // namespace catkin::fleet
