#include "endpoint_choice_p.h"
#include "fleet_messages_p.h"

#include <gtest/gtest.h>

#include <map>

namespace catkin {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{1h};
const ServiceName Service("s");

FleetView makeView(int engines, double memory = 0) {
  FleetView view;
  FleetConfig config{.version = 1};
  config.services[Service] = {.name = Service, .hasEngines = true, .engine = {.tokens = memory}};
  view.setConfig(config);
  for (int i = 0; i < engines; ++i)
    view.putEndpoint({.name = EndpointName("e" + std::to_string(i)),
                      .service = Service,
                      .dataCentre = DataCentreName("x"),
                      .slots = 64,
                      .incarnation = 1},
                     Start);
  return view;
}

EndpointQuery makeQuery(double tokens) {
  return {.service = Service, .dataCentre = DataCentreName("x"), .request = {tokens, 50, 0}};
}

// Guards against a busy engine that counts as slow, and against a slow one that is shunned for
// ever.
TEST(EngineLoadModelTest, PaceIsToldFromLoadAndForgotten) {
  EngineLoadModel busy;
  busy.setPeers({.unread = {40'000, 0, 0}, .reading = 1, .held = 40'000});
  EngineLoadModel slow;
  for (int i = 0; i < 5; ++i) {
    EngineRun atBusy = busy.onSent({800, 50, 0}, 1, 64, Start);
    busy.onEvents(atBusy, 1, 1, Start + fromSeconds(atBusy.expectedSeconds));
    EngineRun atSlow = slow.onSent({40'000, 50, 0}, 0, 64, Start);
    slow.onEvents(atSlow, 1, 1, Start + 3s);
  }
  EXPECT_NEAR(busy.slowness(Start + 3s), 1, 0.05);
  EXPECT_GT(slow.slowness(Start + 3s), 1.8);
  EXPECT_NEAR(slow.slowness(Start + 10min), 1, 0.05);
}

// Guards against tokens that stay counted after the end of their requests.
TEST(EngineLoadModelTest, NothingIsLeftOfRequestsThatEnded) {
  EngineLoadModel model;
  EngineRun ended = model.onSent({900, 50, 1}, 0, 64, Start);
  const EngineRun broken = model.onSent({700, 50, 0}, 1, 64, Start);
  EXPECT_EQ(model.ownTokens(Start).unread, (std::array<double, 3>{700, 900, 0}));
  model.onEvents(ended, 1, 2, Start + 50ms);
  EXPECT_EQ(model.ownTokens(Start).unread[1], 0);
  model.onEnded(ended, true, Start + 1s);
  model.onEnded(broken, true, Start + 1s);
  EXPECT_EQ(model.heldTokens(), 0);
  EXPECT_EQ(model.ownTokens(Start).reading, 0);
}

// Guards against hosts of two versions that do not understand each other's loads.
TEST(EngineTokensTest, AreOptionalInMessages) {
  const EngineTokens tokens{
      .unread = {100, 0, 4500}, .reading = 2, .held = 9000, .paceWeight = 2.5, .paceLogSum = -0.5};
  FleetHeartbeat heartbeat{.host = HostName("h"), .loads = {{EndpointName("e"), 3, tokens}}};
  std::string text = encodeFleetMessage(heartbeat);
  auto read = std::get<FleetHeartbeat>(*decodeFleetMessage(text));
  EXPECT_EQ(read.loads[0].tokens.unread, tokens.unread);
  EXPECT_EQ(read.loads[0].tokens.held, 9000);
  EXPECT_EQ(read.loads[0].tokens.paceLogSum, -0.5);
  text.replace(text.find("\"tokens\""), 8, "\"absent\"");
  read = std::get<FleetHeartbeat>(*decodeFleetMessage(text));
  EXPECT_EQ(read.loads[0].inFlight, 3);
  EXPECT_TRUE(read.loads[0].tokens.empty());
}

// Guards against an engine that crashes since the requests that it holds exceed its memory.
TEST(EngineChoiceTest, FullEngineIsAvoidedWhileThereIsAnother) {
  FleetView view = makeView(2, 232'000);
  view.setPeersInFlight(EndpointName("e0"), 5, {.held = 200'000});
  view.setPeersInFlight(EndpointName("e1"), 60, {.unread = {90'000, 0, 0}, .held = 90'000});
  for (std::uint64_t random = 0; random < 50; ++random)
    EXPECT_EQ(chooseEndpoint(view, makeQuery(40'000), Start, random)->entry.name.value, "e1");
  const std::set<EndpointName> excluded{EndpointName("e1")};
  auto query = makeQuery(40'000);
  query.excluded = &excluded;
  EXPECT_NE(chooseEndpoint(view, query, Start, 0), nullptr);
}

// Guards against all hosts sending to the engine that was idle in the last reports.
TEST(EngineChoiceTest, HostsWithTheSameReportsShareTheEngines) {
  FleetView view = makeView(20);
  for (int i = 1; i < 20; ++i)
    view.setPeersInFlight(EndpointName("e" + std::to_string(i)), 4,
                          {.unread = {4000, 0, 0}, .reading = 2, .held = 8000});
  std::map<std::string, int> chosen;
  for (std::uint64_t host = 0; host < 810; ++host)
    ++chosen[chooseEndpoint(view, makeQuery(800), Start, host)->entry.name.value];
  EXPECT_GT(chosen["e0"], 810 / 20);
  EXPECT_LT(chosen["e0"], 810 / 4);
}

// Guards against leaving without a gain, and against staying away once there is room at home.
TEST(LocalityPolicyTest, LeavesOnlyWhileItPays) {
  LocalityPolicy policy;
  LocalityInput input{.service = Service, .hasHome = true, .homeUsable = true, .bytes = 20'000};
  input.homeSeconds = input.awaySeconds = 3;
  EXPECT_FALSE(policy.decide(input, Start).mayLeave);
  input.awaySeconds = 0.1;
  const auto busy = policy.decide(input, Start);
  EXPECT_TRUE(busy.mayLeave);
  EXPECT_EQ(busy.reason, LeaveReason::HomeBusy);
  EXPECT_GT(busy.penaltySeconds, LocalityPolicy::penaltySeconds(1000));
  input.homeSeconds = 0.15;
  EXPECT_FALSE(policy.decide(input, Start + 1s).mayLeave);
}

// Guards against requests that fail at home while other data centres could serve them.
TEST(LocalityPolicyTest, LostDataCentreIsLeftWithoutPenalty) {
  LocalityPolicy policy;
  auto decision = policy.decide({.service = Service, .awaySeconds = 5, .bytes = 1e6}, Start);
  EXPECT_TRUE(decision.mayLeave);
  EXPECT_EQ(decision.penaltySeconds, 0);
  decision = policy.decide(
      {.service = Service, .hasHome = true, .awayUsable = true, .awaySeconds = 5}, Start);
  EXPECT_EQ(decision.reason, LeaveReason::HomeUnusable);
}

} // namespace
} // namespace catkin
