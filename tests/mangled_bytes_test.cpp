#include "config_exchange_p.h"
#include "decode_p.h"
#include "fleet_messages_p.h"
#include "fleet_peers_p.h"
#include "http_p.h"
#include "node_settings_p.h"
#include "raw_server_p.h"
#include "version_record_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>

#include <gtest/gtest.h>

#include <future>
#include <random>
#include <thread>

/// Feeds mangled bytes to each parser: an exception that leaves a handler would end the process.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr unsigned Seeds = 3000;
constexpr unsigned ConnectionSeeds = 300;

/// Returns the text with a few of its bytes changed, doubled, removed or replaced by odd ones.
std::string mangle(std::string text, unsigned seed) {
  static const std::vector<std::string> Odd = {
      "\"",   "{",  "}",     "[",       "]",    ":",    ",",  "\r\n", "\n",
      "null", "-1", "1e999", "1e308",   "\\u0", "\xff", "0x", "\t",   "99999999999999999999",
      ";",    " ",  "%",     "\\ud800", "-0.0", "true"};
  std::minstd_rand random(seed);
  const unsigned changes = 1 + random() % 4;
  for (unsigned n = 0; n < changes && !text.empty(); ++n) {
    const std::size_t at = random() % text.size();
    const std::size_t size = 1 + random() % 12;
    switch (random() % 5) {
    case 0:
      text[at] = static_cast<char>(random());
      break;
    case 1:
      text.erase(at, size);
      break;
    case 2:
      text.insert(at, text.substr(at, size));
      break;
    case 3:
      text.replace(at, size, Odd[random() % Odd.size()]);
      break;
    default:
      text.insert(at, Odd[random() % Odd.size()]);
    }
  }
  return text;
}

/// Passes mangled forms of a text to a parser.
template <class Parse> void feed(const std::string &text, Parse parse) {
  for (unsigned seed = 1; seed <= Seeds; ++seed) {
    const std::string mangled = mangle(text, seed);
    EXPECT_NO_THROW(parse(mangled)) << seed << ": " << mangled;
  }
}

TEST(MangledBytes, MessagesOfHostsThrow) {
  const StreamOrigin origin{.service = ServiceName("s"),
                            .version = SoftwareVersion("v1"),
                            .writer = {EndpointName("e"), 7}};
  const FleetMessage messages[] = {
      FleetHeartbeat{.host = HostName("h"),
                     .incarnation = 5,
                     .loads = {{EndpointName("e"), 3, {.unread = {400, 0, 900}, .held = 5000}}},
                     .departures = {},
                     .newestArrival = {1, 2}},
      DemandReport{.host = HostName("h"), .observed = 2s},
      ModelNeed{HostName("h"), ServiceName("s"), {ModelName("m"), "a1"}, 2},
      PermitRequest{.id = 4, .maxDelay = 30ms},
      QuotaRequest{.id = 4, .team = TeamName("t"), .quota = {.perSecond = 9}, .cost = 2},
      QuotaReply{.id = 4, .decision = {.retryAfter = 30ms}},
      StreamBegun{.key = {9}, .origin = origin, .lifetime = 20s},
      StreamRecords{{{.key = {9}, .origin = origin, .age = 1s, .lifetime = 20s}}},
      StreamAnswer{.id = 3, .origin = origin, .age = 2s}};
  for (auto &it : messages)
    feed(encodeFleetMessage(it), [](auto &text) { decodeFleetMessage(text); });
}

TEST(MangledBytes, ObjectsOfTheStoreThrow) {
  const std::string entry =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,)"
      R"("state":"ready","cold_left_ms":0,"stage":"both","models":[{"name":"m","version":1,)"
      R"("adapters":["a1"]}],"sequence":4,"born":1789175362622,)"
      R"("at_hand":{"in_memory":["m"],"on_disk":["m","n"]}})";
  const std::string config =
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"streaming",)"
      R"("timeout_ms":17000,"objective_ms":2500,"priority":1,"service":"a","max_attempts":2,)"
      R"("resumable":true}],"services":[{"name":"a","health_path":"/health",)"
      R"("connection_cap":370,"engine":{"slots":64,"weights_mb":200000.0,"adapter_slots":8,)"
      R"("kv_capacity_tokens":232000,"loads_per_s":2.1,"models":[{"name":"m","weights_mb":65500.0,"load_s":6.0,)"
      R"("adapters":4,"adapter_mb":40.0,"warm_s":0.38,"disk_s":0.76}]}}]})";
  for (auto &content : {entry, config})
    feed(R"({"metadata":{"name":"x","revision":3},"specification":)" + content + "}",
         [](auto &text) {
           if (const auto object = decodeObject(text)) {
             decodeEndpoint(*object);
             decodeConfig(*object);
             parseConfigObject(formatConfigObject(*object));
           }
         });
  feed(formatVersionRecord({.versions = {SoftwareVersion("v1")}, .complete = true}),
       [](auto &text) { parseVersionRecord(text); });
  feed(formatHostEntry({.host = HostName("h"), .peerAddress = {"10.0.0.1", 80}}),
       [](auto &text) { parseHostEntry(text); });
  feed(entry, [](auto &text) {
    json::object body;
    if (parseObject(text, body))
      decodeStatus(body);
  });
}

TEST(MangledBytes, SettingsThrow) {
  feed(R"({"node":{"name":"n","zone":"z","ip":"10.0.0.1"},"bounds":{"grace_s":8,"drain_ms":3000}})",
       [](auto &text) { readNodeSettings(text, 1); });
}

/// Runs the client or server under test until the test is done, on one thread.
class MangledHttp : public ::testing::Test {
protected:
  ~MangledHttp() override {
    server.reset();
    context.stop();
    thread.join();
  }

  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
  std::unique_ptr<HttpServer> server;
  std::thread thread{[this] { context.run(); }};
};

TEST_F(MangledHttp, RequestsOfCallersThrow) {
  std::atomic<int> handled = 0;
  server = std::make_unique<HttpServer>(
      context.get_executor(),
      HttpServerOptions{.listen = {"127.0.0.1", 0}, .readTimeout = 20ms, .idleTimeout = 20ms},
      [&](HttpExchange &exchange) -> asio::awaitable<void> {
        ++handled;
        co_await exchange.respond(jsonResponse("{}"));
      });
  ASSERT_EQ(server->start(), "");
  const std::string request =
      "POST /a?b=c HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;x=y\r\nabcde\r\n0\r\nX-Trailer: z\r\n\r\n";
  for (unsigned seed = 1; seed <= ConnectionSeeds; ++seed) {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), server->address().port});
    RawServer::send(socket, mangle(request, seed));
    boost::system::error_code ec;
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
  }
  EXPECT_GT(handled, 0);
}

// Guards against unbounded memory or time for a caller that sends without end.
TEST_F(MangledHttp, CallerSendsWithoutEnd) {
  server = std::make_unique<HttpServer>(
      context.get_executor(),
      HttpServerOptions{.listen = {"127.0.0.1", 0}, .maxBodyBytes = 1024 * 1024},
      [](HttpExchange &exchange) -> asio::awaitable<void> {
        co_await exchange.respond(jsonResponse("{}"));
      });
  ASSERT_EQ(server->start(), "");
  const std::string begin = "POST / HTTP/1.1\r\n";
  const std::string chunked = begin + "Transfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> endless[] = {
      {"", "z"},
      {"POST /", "z"},
      {begin, "X-Pad: z\r\n"},
      {begin + "X-Pad: ", "z"},
      {begin + "Content-Length: 99999999999\r\n\r\n", "z"},
      {chunked, "z"},
      {chunked + "5;x=", "z"},
      {chunked, "400\r\n" + std::string(1024, 'z') + "\r\n"},
      {chunked + "0\r\n", "X-Pad: z\r\n"}};
  for (auto &[head, repeated] : endless) {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), server->address().port});
    boost::system::error_code ec;
    std::string piece;
    while (piece.size() < 16 * 1024)
      piece += repeated;
    const auto began = std::chrono::steady_clock::now();
    std::size_t sent = asio::write(socket, asio::buffer(head), ec);
    while (!ec)
      sent += asio::write(socket, asio::buffer(piece), ec);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 3s) << head;
    EXPECT_LT(sent, 24U * 1024 * 1024) << head;
  }
}

TEST_F(MangledHttp, AnswersThrow) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;x=y\r\nabcde\r\n0\r\nX-Trailer: z\r\n\r\n";
  const RawServer peer([&](tcp::socket &socket, int n) {
    RawServer::readHead(socket);
    RawServer::send(socket, mangle(answer, static_cast<unsigned>(n) + 1));
  });
  HttpClient client(context.get_executor());
  for (unsigned n = 0; n < ConnectionSeeds; ++n) {
    std::promise<void> done;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          HttpRequest request(http::verb::get, "/", 11);
          const auto stream = co_await client.open(peer.address(), std::move(request), {});
          while (!(co_await stream->read()).empty()) {
          }
        },
        [&](const std::exception_ptr &error) {
          EXPECT_FALSE(error) << n;
          done.set_value();
        });
    done.get_future().wait();
  }
}

} // namespace
} // namespace catkin::platform
