#include "http_p.h"
#include "raw_server_p.h"
#include "standin_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

namespace catkin {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;
using standin::sleepFor;

constexpr auto WatchdogTime = 60s; // ends a test that hangs
constexpr std::string_view SmallResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpRequest makeRequest(std::string_view target, std::string body = {}) {
  HttpRequest request(body.empty() ? http::verb::get : http::verb::post, target, 11);
  request.body() = std::move(body);
  return request;
}

/// Blocking client that sends raw bytes to the server under test.
class RawPeer {
public:
  explicit RawPeer(const Address &to) : socket(context) {
    socket.connect({asio::ip::make_address(to.ip), to.port});
  }
  void send(std::string_view text) { asio::write(socket, asio::buffer(text)); }
  /// Returns all bytes until the server closes the connection.
  std::string readAll() {
    std::string text;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(text), ec);
    return text;
  }
  std::string readUntil(std::string_view mark) {
    std::string text;
    boost::system::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(text), mark, ec);
    return text;
  }
  void close() { socket.close(); }

private:
  asio::io_context context;
  tcp::socket socket;
};

/// Runs on two threads, so that the thread sanitizer detects missing strands.
class HttpTest : public testing::Test {
protected:
  ~HttpTest() override {
    server.reset();
    pool.stop();
    pool.join();
  }

  void serve(HttpHandler handler, HttpServerOptions options = {}) {
    options.listen = {"127.0.0.1", 0};
    server = std::make_unique<HttpServer>(pool.get_executor(), options, std::move(handler));
    ASSERT_EQ(server->start(), "");
  }

  template <class T> T run(asio::awaitable<T> task) {
    auto future = asio::co_spawn(asio::make_strand(pool), std::move(task), asio::use_future);
    if (future.wait_for(WatchdogTime) != std::future_status::ready) {
      ADD_FAILURE() << "no result in time";
      std::abort();
    }
    return future.get();
  }

  HttpResult request(const Address &to, HttpRequest r, HttpTimeouts timeouts = {}) {
    return run(client.request(to, std::move(r), timeouts));
  }

  /// Sends raw bytes to the server and returns its response.
  std::string exchangeRaw(std::string_view text) {
    RawPeer peer(server->address());
    peer.send(text);
    return peer.readAll();
  }

  static asio::awaitable<void> echo(HttpExchange &exchange) {
    co_await exchange.respond(jsonResponse(exchange.request().body()));
  }

  asio::thread_pool pool{2};
  HttpClient client{pool.get_executor()};
  std::unique_ptr<HttpServer> server;
};

void expectProblem(const std::string &text, int status, std::string_view outcome) {
  EXPECT_EQ(text.rfind("HTTP/1.1 " + std::to_string(status) + " ", 0), 0U) << text;
  EXPECT_NE(text.find("application/problem+json"), std::string::npos) << text;
  EXPECT_NE(text.find("\"outcome\":\"" + std::string(outcome) + "\""), std::string::npos) << text;
}

/// Opens a stream and reads its body in pieces. Returns the status at its end and the body.
asio::awaitable<std::pair<HttpTransferStatus, std::string>> readPieces(HttpClient &client,
                                                                       Address to) {
  auto request = makeRequest("/");
  const auto stream = co_await client.open(to, std::move(request), {});
  std::string body;
  for (;;) {
    const std::string piece = co_await stream->read();
    if (piece.empty())
      co_return std::pair(stream->status(), body);
    body += piece;
  }
}

// Guards against bad input that reaches a handler, blocks a connection or gets no response.
TEST_F(HttpTest, BadRequestsAreRefusedAsNotRun) {
  std::atomic<int> handled{0};
  serve(
      [&](HttpExchange &exchange) -> asio::awaitable<void> {
        ++handled;
        co_await echo(exchange);
      },
      {.maxHeaderBytes = 1024, .maxBodyBytes = 2048, .readTimeout = 200ms});
  expectProblem(exchangeRaw("nonsense\r\n\r\n"), 400, "not_run");
  expectProblem(exchangeRaw("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n"), 400, "not_run");
  expectProblem(exchangeRaw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), 400,
                "not_run");
  expectProblem(exchangeRaw("GET / HTTP/1.1\r\nX: " + std::string(40000, 'a') + "\r\n\r\n"), 431,
                "not_run");
  expectProblem(
      exchangeRaw("POST / HTTP/1.1\r\nContent-Length: 2049\r\n\r\n" + std::string(2049, 'a')), 413,
      "not_run");
  expectProblem(exchangeRaw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" +
                            std::string(4096, 'a') + "\r\n0\r\n\r\n"),
                413, "not_run");
  expectProblem(exchangeRaw("GET / HTT"), 408, "not_run");
  expectProblem(exchangeRaw("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"), 408, "not_run");
  EXPECT_EQ(handled, 0);
}

// Guards against the bytes of a body that run as a request: each body here has one inside. All of
// it must be refused before the body is read, also if the caller waits to send it.
TEST_F(HttpTest, RequestInsideABodyIsRun) {
  std::atomic<int> handled{0};
  serve([&](HttpExchange &exchange) -> asio::awaitable<void> {
    ++handled;
    co_await echo(exchange);
  });
  const std::string inner = "POST /inner HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
  for (const std::string field :
       {"Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: deflate",
        "Transfer-Encoding: gzip, identity", "Transfer-Encoding: chunked, gzip",
        "X: y\r\n Content-Length: 51", "Content-Length: 51, 51",
        "Transfer-Encoding: gzip\r\nExpect: 100-continue"}) {
    const std::string answer = exchangeRaw(std::string("POST /outer HTTP/1.1\r\n")
                                               .append(field)
                                               .append("\r\n\r\n")
                                               .append(inner)
                                               .append(inner));
    expectProblem(answer, 400, "not_run");
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
  }
  expectProblem(exchangeRaw("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400,
                "not_run");
  EXPECT_EQ(handled, 0);
}

// Guards against an answer whose end is not certain and whose rest counts as the next one.
TEST_F(HttpTest, AnswerWithoutACertainEndIsUsed) {
  for (const std::string field : {"Transfer-Encoding: gzip", "Transfer-Encoding: chunked, identity",
                                  "Content-Length: 2, 2", "X: y\r\n Content-Length: 2"}) {
    std::atomic<int> connections{0};
    const RawServer peer([&](tcp::socket &socket, int) {
      ++connections;
      RawServer::readHead(socket);
      RawServer::send(socket, "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nok");
      RawServer::readHead(socket); // the client closes the connection
    });
    for (int n = 1; n <= 2; ++n) {
      const auto result = request(peer.address(), makeRequest("/"));
      EXPECT_EQ(result.status, HttpTransferStatus::Malformed) << field;
      EXPECT_EQ(connections, n) << field;
    }
  }
}

// Guards against unbounded memory for many concurrent connections or bodies.
TEST_F(HttpTest, LimitsOnConnectionsAndBodiesAnswer503) {
  serve(echo, {.maxConnections = 2, .maxBufferedBytes = 100});
  RawPeer first(server->address());
  first.send("POST / HTTP/1.1\r\nContent-Length: 60\r\nExpect: 100-continue\r\n\r\n");
  EXPECT_NE(first.readUntil("\r\n\r\n").find("100 Continue"), std::string::npos);
  expectProblem(exchangeRaw("POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n"), 503, "not_run");
  while (server->connectionCount() > 1)
    std::this_thread::yield();
  RawPeer second(server->address());
  second.send("GET / HTTP/1.1\r\n\r\n");
  second.readUntil("\r\n\r\n");
  expectProblem(exchangeRaw("GET / HTTP/1.1\r\n\r\n"), 503, "not_run");
  first.send(std::string(60, 'a'));
  EXPECT_NE(first.readUntil("aaaa").find("200 OK"), std::string::npos);
}

// Guards against a response delivered to another request, over reused and concurrent connections.
TEST_F(HttpTest, ConcurrentRequestsGetTheirOwnAnswers) {
  serve([](HttpExchange &exchange) -> asio::awaitable<void> {
    if (exchange.request().body().back() % 3 == 0)
      co_await sleepFor(1ms);
    co_await echo(exchange);
  });
  auto caller = [this](int id) -> asio::awaitable<int> {
    int right = 0;
    for (int i = 0; i < 50; ++i) {
      const auto body = std::to_string(id) + "/" + std::to_string(i);
      const auto result = co_await client.request(server->address(), makeRequest("/", body), {});
      right += result.status == HttpTransferStatus::Ok && result.response.body() == body ? 1 : 0;
    }
    co_return right;
  };
  std::array<std::future<int>, 8> callers;
  for (std::size_t id = 0; id < callers.size(); ++id)
    callers[id] =
        asio::co_spawn(asio::make_strand(pool), caller(static_cast<int>(id)), asio::use_future);
  for (auto &it : callers)
    EXPECT_EQ(it.get(), 50);
  EXPECT_LE(server->connectionCount(), 8U); // connections were reused
}

// Guards against a false "not run": the client must distinguish an unsent request from one that
// may have run.
TEST_F(HttpTest, ClientTellsFailuresApart) {
  std::uint16_t closedPort = 0;
  {
    asio::io_context context;
    closedPort =
        tcp::acceptor(context, {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
  }
  EXPECT_EQ(request({"127.0.0.1", closedPort}, makeRequest("/")).status,
            HttpTransferStatus::NotConnected);

  auto statusFor = [&](std::string_view answer, bool hold, HttpTimeouts timeouts) {
    std::promise<void> finished;
    RawServer raw([&](tcp::socket &socket, int) {
      RawServer::readHead(socket);
      RawServer::send(socket, answer);
      if (hold)
        finished.get_future().wait();
    });
    const auto status = request(raw.address(), makeRequest("/"), timeouts).status;
    finished.set_value();
    return status;
  };
  EXPECT_EQ(statusFor("", false, {}), HttpTransferStatus::Broken);
  EXPECT_EQ(statusFor("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", false, {}),
            HttpTransferStatus::Broken);
  EXPECT_EQ(statusFor("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", true, {.silence = 50ms}),
            HttpTransferStatus::Silent);
  EXPECT_EQ(statusFor("", true, {.silence = 50ms}), HttpTransferStatus::Silent);
  EXPECT_EQ(statusFor("", true, {.silence = 30s, .total = 50ms}), HttpTransferStatus::Timeout);
  EXPECT_EQ(statusFor("garbage\r\n\r\n", false, {}), HttpTransferStatus::Malformed);
  EXPECT_EQ(statusFor("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", true, {}),
            HttpTransferStatus::Malformed);
  EXPECT_EQ(statusFor("HTTP/1.1 103 Early Hints\r\n\r\n", true, {}), HttpTransferStatus::Malformed);
}

// Guards against sending a request on a reused connection that the peer has closed.
TEST_F(HttpTest, ClosedKeptConnectionIsReplacedBeforeSending) {
  std::promise<void> closed;
  std::atomic<int> heads{0};
  RawServer raw([&](tcp::socket &socket, int connection) {
    heads += RawServer::readHead(socket).empty() ? 0 : 1;
    RawServer::send(socket, SmallResponse);
    socket.close();
    if (connection == 0)
      closed.set_value();
  });
  EXPECT_EQ(request(raw.address(), makeRequest("/")).status, HttpTransferStatus::Ok);
  closed.get_future().wait();
  EXPECT_EQ(request(raw.address(), makeRequest("/")).status, HttpTransferStatus::Ok);
  EXPECT_EQ(heads, 2);
}

// Guards against a second run: the client must not resend a request after its reused connection
// broke.
TEST_F(HttpTest, NoHiddenRetryOnceSent) {
  std::atomic<int> heads{0};
  RawServer raw([&](tcp::socket &socket, int) {
    while (!RawServer::readHead(socket).empty()) {
      if (++heads == 2)
        return;
      RawServer::send(socket, SmallResponse);
    }
  });
  EXPECT_EQ(request(raw.address(), makeRequest("/")).status, HttpTransferStatus::Ok);
  EXPECT_EQ(request(raw.address(), makeRequest("/")).status, HttpTransferStatus::Broken);
  EXPECT_EQ(heads, 2);
}

// Guards against reading surplus bytes after one response as the response to the next request.
TEST_F(HttpTest, SurplusResponseIsNotUsedForTheNextRequest) {
  std::promise<void> sent;
  RawServer raw([&](tcp::socket &socket, int connection) {
    RawServer::readHead(socket);
    RawServer::send(socket, SmallResponse);
    if (connection == 0) {
      RawServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
      sent.set_value();
    }
  });
  EXPECT_EQ(request(raw.address(), makeRequest("/")).response.body(), "ok");
  sent.get_future().wait();
  EXPECT_EQ(request(raw.address(), makeRequest("/")).response.body(), "ok");
}

// Guards against work that continues after the caller has closed its connection.
TEST_F(HttpTest, HandlerNoticesThatTheCallerHasGone) {
  std::promise<bool> noticed;
  std::promise<void> started;
  serve([&](HttpExchange &exchange) -> asio::awaitable<void> {
    started.set_value();
    while (!exchange.isCallerGone())
      co_await sleepFor(1ms);
    noticed.set_value(!co_await exchange.respond(jsonResponse("{}")));
  });
  RawPeer peer(server->address());
  peer.send("GET / HTTP/1.1\r\n\r\n");
  started.get_future().wait();
  peer.close();
  auto future = noticed.get_future();
  ASSERT_EQ(future.wait_for(WatchdogTime), std::future_status::ready);
  EXPECT_TRUE(future.get());
}

asio::awaitable<std::pair<std::string, HttpTransferStatus>>
readStream(HttpClient &client, Address to, std::string_view target) {
  auto stream = co_await client.open(to, makeRequest(target), {});
  std::string text;
  for (;;) {
    const auto piece = co_await stream->read();
    if (piece.empty())
      break;
    text += piece;
  }
  co_return std::pair(text, stream->status());
}

// Guards against a truncated stream that looks complete, and against reusing its connection.
TEST_F(HttpTest, StreamsAreWholeOrReportedBroken) {
  serve([](HttpExchange &exchange) -> asio::awaitable<void> {
    co_await exchange.startStream(jsonResponse(""));
    for (int i = 0; i < 100; ++i)
      co_await exchange.writeChunk(std::to_string(i) + ",");
    if (exchange.request().target() == "/cut")
      exchange.abort();
    else
      co_await exchange.endStream();
  });
  std::string whole;
  for (int i = 0; i < 100; ++i)
    whole += std::to_string(i) + ",";
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(run(readStream(client, server->address(), "/")),
              std::pair(whole, HttpTransferStatus::Ok));
    EXPECT_EQ(run(readStream(client, server->address(), "/cut")),
              std::pair(whole, HttpTransferStatus::Broken));
  }
}

// Guards against a silence timeout while the reader pauses for a slow caller: the endpoint is not
// silent then.
TEST_F(HttpTest, PauseOfTheReaderIsNotSilence) {
  serve([](HttpExchange &exchange) -> asio::awaitable<void> {
    co_await exchange.startStream(jsonResponse(""));
    co_await exchange.writeChunk("a");
    co_await exchange.writeChunk("b");
    co_await exchange.endStream();
  });
  const auto status = run([](HttpClient &c, Address to) -> asio::awaitable<HttpTransferStatus> {
    const HttpTimeouts timeouts{.silence = 1s};
    auto request = makeRequest("/");
    auto stream = co_await c.open(to, std::move(request), timeouts);
    co_await stream->read();
    co_await sleepFor(1200ms);
    std::string piece = co_await stream->read();
    while (!piece.empty())
      piece = co_await stream->read();
    co_return stream->status();
  }(client, server->address()));
  EXPECT_EQ(status, HttpTransferStatus::Ok);
}

// Guards against an endpoint that keeps generating after its stream was closed.
TEST_F(HttpTest, DroppedStreamEndsTheWriter) {
  std::promise<void> ended;
  serve([&](HttpExchange &exchange) -> asio::awaitable<void> {
    co_await exchange.startStream(jsonResponse(""));
    bool open = true;
    while (open) {
      open = co_await exchange.writeChunk("x");
      co_await sleepFor(1ms);
    }
    ended.set_value();
  });
  run([](HttpClient &c, Address to) -> asio::awaitable<void> {
    auto stream = co_await c.open(to, makeRequest("/"), {});
    co_await stream->read();
  }(client, server->address()));
  EXPECT_EQ(ended.get_future().wait_for(WatchdogTime), std::future_status::ready);
}

// Guards against answering "not run" to a request whose handler failed after it had started.
TEST_F(HttpTest, FailedHandlerAnswersMayHaveRun) {
  serve([](HttpExchange &exchange) -> asio::awaitable<void> {
    if (exchange.request().target() == "/throw")
      throw std::runtime_error("failure");
    co_return;
  });
  for (auto it : {"/throw", "/silent"}) {
    const auto result = request(server->address(), makeRequest(it));
    EXPECT_EQ(result.response.result_int(), 500U);
    EXPECT_NE(result.response.body().find("may_have_run"), std::string::npos);
  }
}

// Guards against a planned stop that aborts a request or leaves connections open.
TEST_F(HttpTest, StopFinishesWhatRunsAndClosesTheRest) {
  std::promise<void> started;
  std::promise<void> release;
  auto released = release.get_future().share();
  serve([&](HttpExchange &exchange) -> asio::awaitable<void> {
    if (exchange.request().target() == "/slow") {
      started.set_value();
      while (released.wait_for(0s) != std::future_status::ready)
        co_await sleepFor(1ms);
    }
    co_await echo(exchange);
  });
  RawPeer idle(server->address());
  idle.send("GET / HTTP/1.1\r\n\r\n");
  idle.readUntil("\r\n\r\n");
  RawPeer slow(server->address());
  slow.send("POST /slow HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
  started.get_future().wait();
  server->stopAccepting();
  EXPECT_EQ(idle.readAll(), "");
  release.set_value();
  const auto answer = slow.readAll();
  EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_EQ(request(server->address(), makeRequest("/")).status, HttpTransferStatus::NotConnected);
}

// Guards against a late final response, after an interim one, that is taken for the response to the
// next request on the same connection.
TEST_F(HttpTest, ConnectionOfAnInterimResponseIsNotUsedAgain) {
  const RawServer peer([](tcp::socket &socket, int connection) {
    const bool interim = connection == 0;
    while (!RawServer::readHead(socket).empty()) {
      RawServer::send(socket, interim ? "HTTP/1.1 100 Continue\r\n\r\n" : SmallResponse);
      if (!interim)
        return;
    }
  });
  const auto first = request(peer.address(), makeRequest("/"));
  EXPECT_EQ(first.status, HttpTransferStatus::Malformed);
  const auto second = request(peer.address(), makeRequest("/"));
  EXPECT_EQ(second.status, HttpTransferStatus::Ok);
  EXPECT_EQ(second.response.body(), "ok");
}

// Guards against unbounded memory or time when a peer sends endless bytes without completing a
// response: in the status line, a header, a chunk extension, the trailer or the body.
TEST_F(HttpTest, BytesWithoutEndEndTheCall) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string sized = ok + "Content-Length: 99999999999\r\n\r\n";
  const std::pair<std::string, std::string> endless[] = {{"", "z"},
                                                         {"HTTP/1.1 200 ", "z"},
                                                         {ok, "X-Pad: z\r\n"},
                                                         {ok + "X-Pad: ", "z"},
                                                         {chunked, "z"},
                                                         {chunked + "5;x=", "z"},
                                                         {chunked + "0\r\n", "X-Pad: z\r\n"},
                                                         {sized, "z"},
                                                         {ok + "\r\n", "z"},
                                                         {"HTTP/1.1 100 Continue\r\n\r\n", "z"}};
  for (auto &[begin, repeated] : endless) {
    std::atomic<std::uint64_t> sent = 0;
    std::string piece;
    while (piece.size() < 16 * 1024)
      piece += repeated;
    const RawServer peer([&, begin = begin](tcp::socket &socket, int) {
      boost::system::error_code ec;
      if (RawServer::readHead(socket).empty())
        return;
      RawServer::send(socket, begin);
      while (!ec)
        sent += asio::write(socket, asio::buffer(piece), ec);
    });
    const auto began = std::chrono::steady_clock::now();
    const auto status = run([](HttpClient &c, Address to) -> asio::awaitable<HttpTransferStatus> {
      auto request = makeRequest("/");
      const auto result = co_await c.request(to, std::move(request), {}, 1024 * 1024);
      co_return result.status;
    }(client, peer.address()));
    EXPECT_TRUE(status == HttpTransferStatus::Malformed || status == HttpTransferStatus::Broken)
        << begin << toString(status);
    EXPECT_LT(std::chrono::steady_clock::now() - began, 2s) << begin;
    EXPECT_LT(sent, 16U * 1024 * 1024) << begin;
  }
}

// Guards against a process that ends because one answer names an enormous length: memory for it
// must not be reserved before the bytes have arrived.
TEST_F(HttpTest, EnormousLengthOfAnAnswerDoesNotEndTheProcess) {
  for (const std::string length :
       {"1099511627776", "1000000000000000", "9223372036854775807", "18446744073709551615"}) {
    const RawServer peer([&](tcp::socket &socket, int) {
      RawServer::readHead(socket);
      RawServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nabc");
    });
    const auto [status, body] = run(readPieces(client, peer.address()));
    EXPECT_EQ(status, HttpTransferStatus::Broken) << length;
    EXPECT_EQ(body, "abc") << length;
    EXPECT_EQ(request(peer.address(), makeRequest("/")).status, HttpTransferStatus::Malformed);
  }
}

// Guards against a process that ends because a trailer has a field that the parser cannot hold.
TEST_F(HttpTest, TrailerWithAnEnormousFieldDoesNotEndTheProcess) {
  const std::string field = "X-Pad: " + std::string(70'000, 'z') + "\r\n";
  const std::string body = "3\r\nabc\r\n0\r\n" + field + "\r\n";
  const RawServer peer([&](tcp::socket &socket, int) {
    RawServer::readHead(socket);
    RawServer::send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
  });
  const auto [status, read] = run(readPieces(client, peer.address()));
  EXPECT_EQ(status, HttpTransferStatus::Malformed);
  EXPECT_EQ(read, "abc");

  serve(echo, {.maxHeaderBytes = 128 * 1024});
  expectProblem(exchangeRaw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + body), 431,
                "not_run");
  EXPECT_NE(exchangeRaw("GET / HTTP/1.1\r\nConnection: close\r\n\r\n").find("200 OK"),
            std::string::npos);
}

// Guards against uploads in chunks that exceed the memory limit, since they are counted only once
// they are complete.
TEST_F(HttpTest, ChunkedBodiesAreCountedAsTheyArrive) {
  std::atomic<int> handled{0};
  serve(
      [&](HttpExchange &exchange) -> asio::awaitable<void> {
        ++handled;
        co_await echo(exchange);
      },
      {.readTimeout = 20s, .maxBufferedBytes = 100});
  const std::string begin = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "3c\r\n" + std::string(60, 'a') + "\r\n";
  RawPeer first(server->address());
  first.send(begin + chunk);
  std::this_thread::sleep_for(100ms);
  expectProblem(exchangeRaw(begin + chunk), 503, "not_run");
  first.send("0\r\n\r\n");
  EXPECT_NE(first.readUntil("\r\n\r\n").find("200 OK"), std::string::npos);
  EXPECT_EQ(handled, 1);
}

} // namespace
} // namespace catkin
