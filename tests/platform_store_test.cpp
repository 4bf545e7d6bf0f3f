#include "standin_p.h"
#include "store_client_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace catkin::platform {
namespace {

using namespace std::chrono_literals;
using standin::sleepFor;

/// Runs a client against a store on loopback that sends its answer in chunks with pauses.
class PlatformStoreTest : public ::testing::Test {
protected:
  void SetUp() override {
    server = std::make_unique<HttpServer>(io.get_executor(),
                                          HttpServerOptions{.listen = {"127.0.0.1", 0}},
                                          [this](HttpExchange &it) { return sendAnswer(it); });
    ASSERT_EQ(server->start(), "");
    client.emplace(std::make_shared<HttpCaller>(io.get_executor(), 400ms), server->address());
  }

  /// Streams `chunks`, each after a pause of `chunkDelay`.
  asio::awaitable<void> sendAnswer(HttpExchange &exchange) {
    HttpResponse head{http::status::ok, 11};
    head.set(http::field::content_type, "application/json");
    bool open = co_await exchange.startStream(std::move(head));
    for (auto &it : chunks) {
      co_await sleepFor(chunkDelay);
      open = open && co_await exchange.writeChunk(it);
    }
    if (open)
      co_await exchange.endStream();
  }

  /// Runs the event loop until `done` returns true or `limit` has passed.
  void runUntil(const std::function<bool()> &done, Duration limit) {
    const Instant end = steadyNow() + limit;
    while (!done() && steadyNow() < end)
      io.run_for(10ms);
  }

  asio::io_context io;
  std::unique_ptr<HttpServer> server;
  std::optional<StoreClient> client;
  std::vector<std::string> chunks;
  Duration chunkDelay = 200ms;
};

const std::vector<std::string> ListChunks{R"({"items":[{"metadata":{"name":"main",)",
                                          R"("revision":7,"create_revision":1,)",
                                          R"("finalizers":[],"deleting":false},)",
                                          R"("specification":{"version":3},)",
                                          R"("status":null}],"truncated":false,)",
                                          R"("as_of":9)",
                                          "}",
                                          " "};

// Guards against a timeout while a slow link transfers a large configuration, which takes longer
// than a call may remain unanswered: each list was aborted and restarted, and the host kept the old
// configuration.
TEST_F(PlatformStoreTest, AListMayTakeLongWhileBytesArrive) {
  chunks = ListChunks;
  std::optional<FeedPage> page;
  client->list("config", "", [&](const FeedPage &it) { page = it; });
  runUntil([&] { return page.has_value(); }, 5s);
  ASSERT_TRUE(page);
  EXPECT_EQ(page->status, FeedStatus::Ok);
  EXPECT_EQ(page->revision, 9U);
  ASSERT_EQ(page->objects.size(), 1U);
  EXPECT_EQ(page->objects[0].name, "main");
}

// Guards against the same timeout for a watch that answers with a large object at the end of its
// time.
TEST_F(PlatformStoreTest, AWatchMayTakeLongWhileBytesArrive) {
  chunks = {R"({"events":[)",
            R"({"removed":false,"object":{"metadata":{"name":"main",)",
            R"("revision":7,"create_revision":1,)",
            R"("finalizers":[],"deleting":false},)",
            R"("specification":{"version":3},"status":null}}],)",
            R"("as_of":9)",
            "}"};
  std::optional<FeedPage> page;
  client->watch("config", 6, {.maxWait = 100ms}, [&](const FeedPage &it) { page = it; });
  runUntil([&] { return page.has_value(); }, 5s);
  ASSERT_TRUE(page);
  EXPECT_EQ(page->status, FeedStatus::Ok);
  EXPECT_EQ(page->objects.size(), 1U);
}

// Guards against waiting indefinitely for a store that has stopped in the middle of an answer.
TEST_F(PlatformStoreTest, SilenceEndsAList) {
  chunks = ListChunks;
  chunkDelay = 10s;
  std::optional<FeedPage> page;
  const Instant startTime = steadyNow();
  client->list("config", "", [&](const FeedPage &it) { page = it; });
  runUntil([&] { return page.has_value(); }, 5s);
  ASSERT_TRUE(page);
  EXPECT_EQ(page->status, FeedStatus::Failed);
  EXPECT_LT(steadyNow() - startTime, 2s);
}

// Guards against an endpoint that is taken for the one that was registered since nobody could tell.
TEST_F(PlatformStoreTest, ObjectIsReadWithItsContent) {
  chunks = {R"({"metadata":{"name":"a","revision":7,"create_revision":1,"finalizers":[],)",
            R"("deleting":false},"specification":{"born":3},"status":null})"};
  chunkDelay = Duration::zero();
  std::optional<FeedPage> page;
  client->get("servers", "a", [&](const FeedPage &it) { page = it; });
  runUntil([&] { return page.has_value(); }, 5s);
  ASSERT_TRUE(page);
  EXPECT_EQ(page->status, FeedStatus::Ok);
  ASSERT_EQ(page->objects.size(), 1U);
  EXPECT_EQ(page->objects[0].revision.number, 7U);
  EXPECT_EQ(page->objects[0].content.at("born").to_number<int>(), 3);
  chunks = {"no object"};
  page.reset();
  client->get("servers", "a", [&](const FeedPage &it) { page = it; });
  runUntil([&] { return page.has_value(); }, 5s);
  ASSERT_TRUE(page);
  EXPECT_EQ(page->status, FeedStatus::Failed);
}

// Guards against unbounded memory use while the store, or another server at its address, sends an
// endless page.
TEST_F(PlatformStoreTest, AListWithoutEndIsGivenUp) {
  chunks.assign(64, std::string(1024 * 1024, ' '));
  chunkDelay = Duration::zero();
  std::optional<FeedPage> page;
  const Instant startTime = steadyNow();
  client->list("config", "", [&](const FeedPage &it) { page = it; });
  runUntil([&] { return page.has_value(); }, 5s);
  ASSERT_TRUE(page);
  EXPECT_EQ(page->status, FeedStatus::Failed);
  EXPECT_LT(steadyNow() - startTime, 2s);
}

} // namespace
} // namespace catkin::platform
