#include "connection_pool_p.h"
#include "http_p.h"
#include "standin_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <filesystem>
#include <list>
#include <thread>

/// Tests of the connections that a client keeps, before servers that come and go.
namespace catkin {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;
using standin::sleepFor;

std::ptrdiff_t openDescriptors() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                       std::filesystem::directory_iterator());
}

/// Connections to one address, and the peers' ends.
class ConnectionPoolTest : public ::testing::Test {
protected:
  tcp::socket connect() {
    tcp::socket client(context);
    client.connect(acceptor.local_endpoint());
    peers.push_back(acceptor.accept());
    return client;
  }

  static Address address(int n) { return {"127.0.0.1", static_cast<std::uint16_t>(n)}; }

  asio::io_context context;
  tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
  std::list<tcp::socket> peers;
  ConnectionPool pool{{.maxConnections = 10, .maxIdlePerAddress = 8, .checkInterval = 20ms}};
};

// Guards against connections to a server that has gone, which nobody looks at any more.
TEST_F(ConnectionPoolTest, AddressIsNeverUsedAgain) {
  for (int i = 0; i < 4; ++i) {
    pool.returnIdle(address(1), connect(), 10s);
    pool.returnIdle(address(2), connect(), 10s);
  }
  for (int i = 0; i < 8; i += 2) // those to the first address
    std::next(peers.begin(), i)->close();
  std::this_thread::sleep_for(50ms);
  EXPECT_FALSE(pool.acquire(address(3), 10s));
  EXPECT_EQ(pool.size(), 4U);
  EXPECT_TRUE(pool.acquire(address(2), 10s));
  EXPECT_FALSE(pool.acquire(address(1), 10s));
}

// Guards against idle connections that take the descriptors of those in use.
TEST_F(ConnectionPoolTest, ManyAddressesAreInUse) {
  for (int n = 0; n < 20; ++n)
    pool.returnIdle(address(n), connect(), 10s);
  EXPECT_EQ(pool.size(), 10U);
  EXPECT_TRUE(pool.acquire(address(19), 10s)) << "the newest one is kept";
  for (int n = 0; n < 6; ++n)
    pool.addInUse();
  EXPECT_EQ(pool.size(), 4U);
  for (int n = 0; n < 20; ++n)
    pool.addInUse();
  EXPECT_EQ(pool.size(), 0U);
}

// Guards against a client that runs out of descriptors while servers are replaced one after the
// other (RECOVER of review/6).
TEST(HttpClientConnections, ServersAreReplaced) {
  constexpr int Servers = 12;
  constexpr int CallsAtOnce = 16;
  constexpr int Tolerance = 3 * CallsAtOnce; // of the newest server, on both sides
  asio::io_context io;
  HttpClient client(io.get_executor());
  const HttpTimeouts timeouts{.connect = 1s, .silence = 2s, .total = 2s};
  const auto handler = [](HttpExchange &exchange) -> asio::awaitable<void> {
    co_await sleepFor(20ms);
    co_await exchange.respond(HttpResponse{http::status::ok, 11});
  };
  const auto runFor = [&](auto time) {
    io.restart();
    io.run_for(time);
  };
  const auto before = openDescriptors();
  for (int n = 0; n < Servers; ++n) {
    HttpServer server(io.get_executor(), HttpServerOptions{.listen = {"127.0.0.1", 0}}, handler);
    ASSERT_EQ(server.start(), "");
    int answered = 0;
    for (int i = 0; i < CallsAtOnce; ++i)
      asio::co_spawn(
          io,
          [&]() -> asio::awaitable<void> {
            const auto result = co_await client.request(
                server.address(), HttpRequest{http::verb::get, "/", 11}, timeouts);
            answered += result.status == HttpTransferStatus::Ok ? 1 : 0;
          },
          asio::detached);
    runFor(200ms);
    EXPECT_EQ(answered, CallsAtOnce);
    // The pool checks unused addresses only when it is used.
    if (n + 2 == Servers)
      std::this_thread::sleep_for(1100ms);
  }
  runFor(300ms);
  EXPECT_LE(openDescriptors(), before + Tolerance);
}

} // namespace
} // namespace catkin
