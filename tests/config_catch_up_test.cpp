#include "config.h"
#include "config_catch_up_p.h"
#include "config_exchange_p.h"
#include "process_cluster_p.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <map>
#include <thread>

namespace catkin {
namespace {

using namespace std::chrono_literals;

constexpr Instant Start{std::chrono::hours(1)};
constexpr bool Connected = true;
constexpr bool TurnedAway = false;

ConfigHolder holder(std::uint16_t port, std::uint64_t version, bool nearby = true) {
  return {.address = {"10.0.0.1", port}, .version = version, .nearby = nearby};
}

// Guards against a fleet that reads each change twice, since heartbeats overtake the watches.
TEST(ConfigCatchUpTest, AWatchThatIsHeardNeedsNoHelp) {
  ConfigCatchUp catchUp;
  const auto heard = catchUp.nextStep(1, {holder(1, 2)}, Connected, Start, 0);
  EXPECT_FALSE(heard.readStore || heard.hostToAsk);
  const auto waiting = catchUp.nextStep(1, {holder(1, 2)}, Connected, Start + 300ms, 0);
  EXPECT_FALSE(waiting.readStore || waiting.hostToAsk);
  const auto reached = catchUp.nextStep(2, {holder(1, 2)}, Connected, Start + 10s, 0);
  EXPECT_FALSE(reached.readStore || reached.hostToAsk);
  EXPECT_FALSE(catchUp.behindSince());
}

// Guards against a host that waits for a silent store before it asks another host.
TEST(ConfigCatchUpTest, AfterTheGraceTimeStoreAndHostAreAskedSideBySide) {
  ConfigCatchUp catchUp;
  catchUp.nextStep(1, {holder(1, 2)}, Connected, Start, 0);
  const auto late =
      catchUp.nextStep(1, {holder(1, 2)}, Connected, Start + config::FleetConfigGrace, 0);
  EXPECT_TRUE(late.readStore);
  EXPECT_EQ(late.hostToAsk, (Address{"10.0.0.1", 1}));
  const auto again =
      catchUp.nextStep(1, {holder(1, 2)}, Connected, Start + config::FleetConfigGrace + 100ms, 0);
  EXPECT_FALSE(again.readStore || again.hostToAsk) << "both are under way";
}

// Guards against a host that keeps an old configuration for as long as the store turns it away.
TEST(ConfigCatchUpTest, WithoutAStoreAnotherHostIsAskedAtOnce) {
  ConfigCatchUp catchUp;
  const auto step = catchUp.nextStep(1, {holder(1, 2)}, TurnedAway, Start, 0);
  EXPECT_FALSE(step.readStore);
  EXPECT_TRUE(step.hostToAsk);
}

// Guards against a host that asks one dead host again and again.
TEST(ConfigCatchUpTest, EachHolderIsAskedInTurnAndNearbyOnesFirst) {
  ConfigCatchUp catchUp;
  const std::vector<ConfigHolder> holders{holder(1, 2, false), holder(2, 2), holder(3, 1)};
  Instant now = Start;
  const auto first = catchUp.nextStep(1, holders, TurnedAway, now, 0);
  EXPECT_EQ(first.hostToAsk, (Address{"10.0.0.1", 2}));
  catchUp.onAnswer(now);
  now += config::FleetConfigAskPause;
  const auto second = catchUp.nextStep(1, holders, TurnedAway, now, 0);
  EXPECT_EQ(second.hostToAsk, (Address{"10.0.0.1", 1}));
  catchUp.onAnswer(now);
  now += config::FleetConfigAskPauseMax;
  catchUp.nextStep(1, holders, TurnedAway, now, 0); // all have been asked
  EXPECT_TRUE(catchUp.nextStep(1, holders, TurnedAway, now, 0).hostToAsk);
}

// Guards against an object that cannot be read and is sent several times a second.
TEST(ConfigCatchUpTest, AnswersWithoutNewsAreAskedForLessAndLess) {
  ConfigCatchUp catchUp;
  int asked = 0;
  for (Instant now = Start; now < Start + 60s; now += config::FleetConfigCheck) {
    const auto step = catchUp.nextStep(1, {holder(1, 2), holder(2, 2)}, TurnedAway, now, 0);
    if (!step.hostToAsk)
      continue;
    ++asked;
    catchUp.onAnswer(now);
  }
  EXPECT_LE(asked, 20);
}

// Guards against a host that is told of a newer version while it waits and starts its wait anew.
TEST(ConfigCatchUpTest, ANewerVersionDoesNotProlongTheGraceTime) {
  ConfigCatchUp catchUp;
  bool asked = false;
  std::uint64_t newest = 2;
  for (Instant now = Start; now < Start + 1s; now += config::FleetConfigCheck)
    asked = asked || catchUp.nextStep(1, {holder(1, newest++)}, Connected, now, 0).hostToAsk;
  EXPECT_TRUE(asked);
}

// Guards against a third of a fleet that asks one host for a megabyte at once.
TEST(ConfigCatchUpTest, HostsThatAreBehindTogetherAskDifferentOnes) {
  std::vector<ConfigHolder> holders;
  for (std::uint16_t i = 1; i <= 54; ++i)
    holders.push_back(holder(i, 2, i <= 18));
  std::map<Address, int> asked;
  for (unsigned i = 0; i < 29; ++i) {
    ConfigCatchUp catchUp;
    const auto step = catchUp.nextStep(1, holders, TurnedAway, Start, i * 2654435761U);
    ASSERT_TRUE(step.hostToAsk);
    ++asked[*step.hostToAsk];
  }
  for (auto &[address, n] : asked)
    EXPECT_LE(n, 6) << address.toString();
}

// Guards against a configuration that another host cannot read as it was stored.
TEST(ConfigExchangeTest, AStoredObjectSurvivesTheWayToAnotherHost) {
  const FeedObject object{
      .name = "main", .revision = 7, .content = boost::json::object{{"version", 3}}};
  const auto read = parseConfigObject(formatConfigObject(object));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->name, "main");
  EXPECT_EQ(read->revision, 7U);
  EXPECT_EQ(read->content, object.content);
  for (const auto *it : {"", "{}", "[]", R"({"name":"main"})", R"({"content":{}})"})
    EXPECT_FALSE(parseConfigObject(it)) << it;
}

/// Connections to `to` that ask for its configuration and never read the answer.
std::vector<asio::ip::tcp::socket> askWithoutReading(asio::io_context &io, const Address &to,
                                                     int n) {
  std::vector<asio::ip::tcp::socket> out;
  for (int i = 0; i < n; ++i) {
    auto &it = out.emplace_back(io);
    it.connect({asio::ip::make_address_v4(to.ip), to.port});
    it.write_some(asio::buffer("GET /configuration HTTP/1.1\r\nHost: h\r\n\r\n", 40));
  }
  return out;
}

// Guards against a host whose link is taken by all that are behind at once.
TEST(ConfigExchangeTest, ABusyHostSendsOthersElsewhere) {
  asio::io_context io;
  const FeedObject object{
      .name = "main", .revision = 7, .content = boost::json::string(16U << 20U, 'x')};
  const std::string text = formatConfigObject(object);
  ConfigExchange exchange(io.get_executor(), {"127.0.0.1", 0},
                          [&]() -> const std::string & { return text; });
  ASSERT_EQ(exchange.start(), "");
  std::thread thread([&] { io.run_for(5s); });
  asio::io_context own;
  const auto slow = askWithoutReading(own, exchange.address(), 4);
  EXPECT_TRUE(eventually(
      [&] { return statusOf(callOnce(exchange.address(), {.target = "/configuration"})) == 503; }));
  io.stop();
  thread.join();
}

} // namespace
} // namespace catkin
