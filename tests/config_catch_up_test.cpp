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
constexpr bool StoreConnected = true;
constexpr bool StoreDisconnected = false;

ConfigHolder makeHolder(std::uint16_t port, std::uint64_t version, bool nearby = true) {
  return {.address = {"10.0.0.1", port}, .version = version, .nearby = nearby};
}

// Guards against reading each change twice: a heartbeat often announces a new version before the
// watch delivers it, so a host waits for its watch first.
TEST(ConfigCatchUpTest, AWatchThatIsHeardNeedsNoHelp) {
  ConfigCatchUp catchUp;
  const auto initial = catchUp.nextStep(1, {makeHolder(1, 2)}, StoreConnected, Start, 0);
  EXPECT_FALSE(initial.readStore || initial.hostToAsk);
  const auto duringGrace =
      catchUp.nextStep(1, {makeHolder(1, 2)}, StoreConnected, Start + 300ms, 0);
  EXPECT_FALSE(duringGrace.readStore || duringGrace.hostToAsk);
  const auto upToDate = catchUp.nextStep(2, {makeHolder(1, 2)}, StoreConnected, Start + 10s, 0);
  EXPECT_FALSE(upToDate.readStore || upToDate.hostToAsk);
  EXPECT_FALSE(catchUp.behindSince());
}

// Guards against a host that waits for a silent store before it asks another host.
TEST(ConfigCatchUpTest, AfterTheGraceTimeStoreAndHostAreAskedSideBySide) {
  ConfigCatchUp catchUp;
  catchUp.nextStep(1, {makeHolder(1, 2)}, StoreConnected, Start, 0);
  const auto late =
      catchUp.nextStep(1, {makeHolder(1, 2)}, StoreConnected, Start + config::FleetConfigGrace, 0);
  EXPECT_TRUE(late.readStore);
  EXPECT_EQ(late.hostToAsk, (Address{"10.0.0.1", 1}));
  const auto again = catchUp.nextStep(1, {makeHolder(1, 2)}, StoreConnected,
                                      Start + config::FleetConfigGrace + 100ms, 0);
  EXPECT_FALSE(again.readStore || again.hostToAsk)
      << "the read and the request are still in progress";
}

// Guards against a host that keeps an old configuration while the store refuses its connections.
TEST(ConfigCatchUpTest, WithoutAStoreAnotherHostIsAskedAtOnce) {
  ConfigCatchUp catchUp;
  const auto step = catchUp.nextStep(1, {makeHolder(1, 2)}, StoreDisconnected, Start, 0);
  EXPECT_FALSE(step.readStore);
  EXPECT_TRUE(step.hostToAsk);
}

// Guards against a host that asks the same dead host repeatedly.
TEST(ConfigCatchUpTest, EachHolderIsAskedInTurnAndNearbyOnesFirst) {
  ConfigCatchUp catchUp;
  const std::vector<ConfigHolder> holders{makeHolder(1, 2, false), makeHolder(2, 2),
                                          makeHolder(3, 1)};
  Instant now = Start;
  const auto first = catchUp.nextStep(1, holders, StoreDisconnected, now, 0);
  EXPECT_EQ(first.hostToAsk, (Address{"10.0.0.1", 2}));
  catchUp.onAnswer(now);
  now += config::FleetConfigAskPause;
  const auto second = catchUp.nextStep(1, holders, StoreDisconnected, now, 0);
  EXPECT_EQ(second.hostToAsk, (Address{"10.0.0.1", 1}));
  catchUp.onAnswer(now);
  now += config::FleetConfigAskPauseMax;
  catchUp.nextStep(1, holders, StoreDisconnected, now, 0); // every holder has been asked
  EXPECT_TRUE(catchUp.nextStep(1, holders, StoreDisconnected, now, 0).hostToAsk);
}

// Guards against requesting an unreadable object several times a second: the pause between requests
// grows while the answers bring no newer version.
TEST(ConfigCatchUpTest, AnswersWithoutNewsAreAskedForLessAndLess) {
  ConfigCatchUp catchUp;
  int asked = 0;
  for (Instant now = Start; now < Start + 60s; now += config::FleetConfigCheckInterval) {
    const auto step =
        catchUp.nextStep(1, {makeHolder(1, 2), makeHolder(2, 2)}, StoreDisconnected, now, 0);
    if (!step.hostToAsk)
      continue;
    ++asked;
    catchUp.onAnswer(now);
  }
  EXPECT_LE(asked, 20);
}

// Guards against a grace time that restarts with each newer version that is announced.
TEST(ConfigCatchUpTest, ANewerVersionDoesNotProlongTheGraceTime) {
  ConfigCatchUp catchUp;
  bool asked = false;
  std::uint64_t newest = 2;
  for (Instant now = Start; now < Start + 1s; now += config::FleetConfigCheckInterval)
    asked =
        asked || catchUp.nextStep(1, {makeHolder(1, newest++)}, StoreConnected, now, 0).hostToAsk;
  EXPECT_TRUE(asked);
}

// Guards against overloading one host when a third of a fleet is behind and each of these hosts
// requests a megabyte at the same time.
TEST(ConfigCatchUpTest, HostsThatAreBehindTogetherAskDifferentOnes) {
  std::vector<ConfigHolder> holders;
  for (std::uint16_t i = 1; i <= 54; ++i)
    holders.push_back(makeHolder(i, 2, i <= 18));
  std::map<Address, int> asked;
  for (unsigned i = 0; i < 29; ++i) {
    ConfigCatchUp catchUp;
    const auto step = catchUp.nextStep(1, holders, StoreDisconnected, Start, i * 2654435761U);
    ASSERT_TRUE(step.hostToAsk);
    ++asked[*step.hostToAsk];
  }
  for (auto &[address, n] : asked)
    EXPECT_LE(n, 6) << address.toString();
}

// Guards against a configuration that another host cannot read, or reads differently from the
// stored one.
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

/// Opens `n` connections to `to`, requests its configuration on each and never reads the answers.
/// Returns the open sockets.
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

// Guards against a host whose link is saturated by the requests of all hosts that are behind.
TEST(ConfigExchangeTest, ABusyHostSendsOthersElsewhere) {
  asio::io_context io;
  const FeedObject object{
      .name = "main", .revision = 7, .content = boost::json::string(16U << 20U, 'x')};
  const std::string text = formatConfigObject(object);
  ConfigExchange exchange(io.get_executor(), {"127.0.0.1", 0},
                          [&]() -> const std::string & { return text; });
  ASSERT_EQ(exchange.start(), "");
  std::thread thread([&] { io.run_for(5s); });
  asio::io_context clientContext;
  const auto slow = askWithoutReading(clientContext, exchange.address(), 4);
  EXPECT_TRUE(pollUntil(
      [&] { return statusOf(callOnce(exchange.address(), {.target = "/configuration"})) == 503; }));
  io.stop();
  thread.join();
}

} // namespace
} // namespace catkin
