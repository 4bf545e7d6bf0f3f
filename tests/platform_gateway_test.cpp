#include "platform_gateway_fixture_p.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <atomic>

namespace catkin::platform::gateway_test {
namespace {

TEST_F(PlatformGatewayTest, RelaysAWholeAnswer) {
  for (auto &it : endpoints)
    it.handler = makeAnswerHandler(200, "body");
  auto result = call(makeCall("/safe/x"));
  EXPECT_EQ(result.response.result_int(), 200U);
  EXPECT_EQ(result.response.body(), "body");
  EXPECT_EQ(result.response["Server-Stamp"], "stamp");
  EXPECT_EQ(receivedCount(), 1U);
}

// Guards against keys that run or are rejected for good on a host that may lack a newer
// configuration, and against routes without keys that fail for it.
TEST_F(PlatformGatewayTest, KeysAreJudgedByAnOldConfiguration) {
  for (auto &it : endpoints)
    it.handler = makeAnswerHandler(200, "body");
  FleetConfig config = *view.config();
  config.version = 2;
  config.routes.push_back(makeRoute("/open/", CallKind::Idempotent, 2, false));
  config.routes.back().keyless = true;
  ASSERT_EQ(config.teams.add({.name = TeamName("a"), .keys = {digestOf("k1")}}), "");
  ASSERT_TRUE(view.setConfig(config));
  const auto statusWith = [&](const std::string &path, const char *key) {
    auto request = makeCall(path);
    request.set("X-Api-Key", key);
    return call(request).response.result_int();
  };
  EXPECT_EQ(statusWith("/safe/x", "k1"), 200U);
  EXPECT_EQ(statusWith("/safe/x", "k2"), 401U);
  mayRejectKeys = false;
  EXPECT_EQ(statusWith("/safe/x", "k1"), 200U);
  EXPECT_EQ(statusWith("/safe/x", "k2"), 503U);
  areKeysCurrent = false;
  EXPECT_EQ(statusWith("/safe/x", "k1"), 503U);
  EXPECT_EQ(statusWith("/open/x", "k2"), 200U);
  EXPECT_EQ(statusWith("/open/x", "k1"), 200U);
  EXPECT_EQ(receivedCount(), 4U);
  const auto namesTeam = [](const HttpRequest &it) { return it.count("Tenant") > 0; };
  std::ptrdiff_t named = 0;
  for (auto &it : endpoints)
    named += std::count_if(it.receivedRequests.begin(), it.receivedRequests.end(), namesTeam);
  EXPECT_EQ(named, 2); // not those to the route without keys
}

// Guards against a call that takes effect twice, and against reporting to its caller that it did
// not run.
TEST_F(PlatformGatewayTest, BrokenNonIdempotentCallIsNotRepeated) {
  for (auto &it : endpoints)
    it.handler = closeWithoutAnswer;
  auto result = call(makeCall("/unsafe/x"));
  EXPECT_EQ(result.response.result_int(), 502U);
  EXPECT_EQ(receivedCount(), 1U);
}

TEST_F(PlatformGatewayTest, BrokenIdempotentCallIsTriedElsewhere) {
  endpoints[0].handler = closeWithoutAnswer;
  endpoints[1].handler = makeAnswerHandler(200, "body");
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(call(makeCall("/safe/x", http::verb::get)).response.result_int(), 200U);
}

// Guards against replacing an endpoint's own failure by another status.
TEST_F(PlatformGatewayTest, EndpointsOwnFailureIsDelivered) {
  for (auto &it : endpoints)
    it.handler = makeAnswerHandler(500, "failed");
  auto result = call(makeCall("/safe/x"));
  EXPECT_EQ(result.response.result_int(), 500U);
  EXPECT_EQ(result.response.body(), "failed");
  EXPECT_EQ(receivedCount(), 2U);
}

// Guards against a refusal without a Retry-After header.
TEST_F(PlatformGatewayTest, RefusedEverywhereIsNotRun) {
  for (auto &it : endpoints)
    it.handler = makeAnswerHandler(503, "", true);
  auto result = call(makeCall("/unsafe/x"));
  EXPECT_EQ(result.response.result_int(), 503U);
  EXPECT_EQ(result.response.find("Server-Stamp"), result.response.end());
  EXPECT_NE(result.response.find(http::field::retry_after), result.response.end());
}

const std::string RawAnswer =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\ndone";
const std::string RawRefusal = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nRequest-Id: id1\r\n"
                               "Content-Length: 0\r\n\r\n";
const std::string RawMarkerAnswer = "HTTP/1.1 421 X\r\nInstance: e0\r\nContent-Length: 0\r\n\r\n";

/// An endpoint with one kept connection that answers its first request, and its second one with
/// `second`, whatever it is.
class PlatformGatewayKeptConnectionTest : public PlatformGatewayTest {
protected:
  /// Returns the status of the second request.
  unsigned statusOfSecondRequest(const std::string &second) {
    view.removeEndpoint(EndpointName("e1"), steadyNow());
    rawServers.push_back(std::make_unique<RawServer>([=](tcp::socket &socket, int) {
      RawServer::readHead(socket);
      RawServer::send(socket, RawAnswer);
      RawServer::readHead(socket);
      RawServer::send(socket, second);
      RawServer::readHead(socket); // the marker, or the end of the connection
    }));
    FleetEndpoint entry = view.find(EndpointName("e0"))->entry;
    entry.address = rawServers.back()->address();
    view.putEndpoint(entry, steadyNow());
    auto request = makeCall("/unsafe/x");
    request.set("Deadline-Ms", "400");
    EXPECT_EQ(call(request).response.result_int(), 200U);
    return call(request).response.result_int();
  }
};

TEST_F(PlatformGatewayKeptConnectionTest, EarlierRefusalIsTakenForTheAnswer) {
  EXPECT_EQ(statusOfSecondRequest(RawRefusal + RawAnswer), 200U);
}

TEST_F(PlatformGatewayKeptConnectionTest, EarlierRefusalIsBelievedThoughTheRequestIsRunning) {
  EXPECT_EQ(statusOfSecondRequest(RawRefusal), 502U);
}

TEST_F(PlatformGatewayKeptConnectionTest, EarlierRefusalHidesThatTheRequestFailedOnItsRun) {
  const std::string failure = "HTTP/1.1 503 X\r\nRequest-Id: id1\r\nContent-Length: 0\r\n\r\n";
  EXPECT_EQ(statusOfSecondRequest(RawRefusal + failure + RawMarkerAnswer), 502U);
}

TEST_F(PlatformGatewayKeptConnectionTest, RejectionIsBelievedThoughThereAreTwo) {
  const std::string rejection = "HTTP/1.1 400 X\r\nNot-Run: 1\r\nRequest-Id: id1\r\n"
                                "Content-Length: 0\r\n\r\n";
  EXPECT_EQ(statusOfSecondRequest(rejection + rejection), 502U);
}

// The endpoint has refused the request and repeats that, ending the connection, when it runs it.
TEST_F(PlatformGatewayTest, RefusalThatEndsTheConnectionIsBelievedTwice) {
  view.removeEndpoint(EndpointName("e1"), steadyNow());
  std::atomic<int> runs = 0;
  std::string copy = RawRefusal;
  copy.insert(copy.find("Content-Length"), "Connection: close\r\n");
  rawServers.push_back(std::make_unique<RawServer>([&, copy](tcp::socket &socket, int n) {
    RawServer::readHead(socket);
    if (n == 0) {
      RawServer::send(socket, RawRefusal);
      RawServer::readHead(socket);
    }
    ++runs;
    RawServer::send(socket, (n == 0 ? copy : "") + RawAnswer);
  }));
  FleetEndpoint entry = view.find(EndpointName("e0"))->entry;
  entry.address = rawServers.back()->address();
  view.putEndpoint(entry, steadyNow());
  EXPECT_EQ(call(makeCall("/unsafe/x")).response.result_int(), 502U);
  EXPECT_EQ(runs, 1);
}

TEST_F(PlatformGatewayKeptConnectionTest, AnswerToAnotherRequestCostsTheRightOne) {
  std::string other = RawAnswer;
  other.replace(other.find("id1"), 3, "id0");
  EXPECT_EQ(statusOfSecondRequest(other + RawAnswer), 200U);
}

// The request is sent once more, on a new connection.
TEST_F(PlatformGatewayKeptConnectionTest, TrueRefusalIsNotBelieved) {
  EXPECT_EQ(statusOfSecondRequest(RawRefusal + RawMarkerAnswer), 200U);
}

/// Returns a handler that answers as an endpoint does, but without the header `missing`.
HttpHandler makeHandlerWithout(const std::string &missing, unsigned status = 200) {
  return [=](HttpExchange &exchange) -> asio::awaitable<void> {
    HttpResponse response{static_cast<http::status>(status), 11};
    response.set("Request-Id", exchange.request()["Request-Id"]);
    response.set("Server-Stamp", "stamp");
    response.erase(missing);
    response.body() = "foreign";
    co_await exchange.respond(std::move(response));
  };
}

// Guards against bytes that belong to no request and reach a caller as a success: the id or the
// stamp is missing. An idempotent request is sent elsewhere, also a stream before its first event.
TEST_F(PlatformGatewayTest, SuccessThatNoEndpointGaveIsDelivered) {
  for (const std::string missing : {"Request-Id", "Server-Stamp"}) {
    endpoints[0].handler = makeHandlerWithout(missing);
    endpoints[1].handler = makeAnswerHandler(200, "body");
    for (int i = 0; i < 4; ++i)
      EXPECT_EQ(call(makeCall("/safe/x", http::verb::get)).response.body(), "body") << missing;
    endpoints[1].handler = makeStreamHandler("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true);
    for (int i = 0; i < 4; ++i)
      expectBothEvents();
    endpoints[1].handler = endpoints[0].handler;
    for (auto *it : {"/unsafe/x", "/once/x", "/safe/x"}) {
      auto request = makeCall(it);
      request.set("Deadline-Ms", "400");
      const auto result = call(request);
      // The own answer of a request that must not run twice may still come on a kept connection.
      EXPECT_THAT(result.response.result_int(), ::testing::AnyOf(502U, 504U)) << it << missing;
      EXPECT_EQ(result.status, HttpTransferStatus::Ok) << it << missing;
      EXPECT_EQ(result.response.body().find("foreign"), std::string::npos) << it << missing;
    }
  }
}

// Guards against the success or failure of another request that comes late on a kept connection.
TEST_F(PlatformGatewayKeptConnectionTest, LateBytesOfNoRequestAreTheAnswer) {
  const std::string success = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nnot yours at";
  const std::string failure = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n";
  const std::string own = "HTTP/1.1 500 X\r\nRequest-Id: id1\r\nContent-Length: 0\r\n\r\n";
  EXPECT_EQ(statusOfSecondRequest(success + RawAnswer), 200U);
  EXPECT_EQ(statusOfSecondRequest(failure + RawAnswer), 200U);
  EXPECT_EQ(statusOfSecondRequest(success + own), 500U);
  EXPECT_EQ(statusOfSecondRequest(success), 504U); // no answer in time
}

// Guards against a connection that is used again after an answer that belongs to no request.
TEST_F(PlatformGatewayTest, ConnectionWithBytesOfNoRequestIsUsedAgain) {
  view.removeEndpoint(EndpointName("e1"), steadyNow());
  std::atomic<int> connections = 0;
  rawServers.push_back(std::make_unique<RawServer>([&](tcp::socket &socket, int) {
    ++connections;
    while (!RawServer::readHead(socket).empty())
      RawServer::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }));
  FleetEndpoint entry = view.find(EndpointName("e0"))->entry;
  entry.address = rawServers.back()->address();
  view.putEndpoint(entry, steadyNow());
  for (int n = 1; n <= 3; ++n) {
    EXPECT_EQ(call(makeCall("/unsafe/x")).response.result_int(), 502U);
    EXPECT_EQ(connections, n);
  }
}

TEST_F(PlatformGatewayTest, FailureAfterARunIsReportedAsNotRun) {
  for (unsigned status : {503U, 429U, 408U}) {
    for (auto &it : endpoints)
      it.handler = makeAnswerHandler(status, "");
    EXPECT_EQ(call(makeCall("/unsafe/x")).response.result_int(), 502U) << status;
  }
}

// Guards against a resumed stream with a missing, repeated or truncated event.
TEST_F(PlatformGatewayTest, ResumesAStreamAfterItsLastWholeEvent) {
  std::string resumeEventId;
  auto first = makeStreamHandler("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", false);
  auto second = makeStreamHandler("id: 3\ndata: c\n\n", true);
  for (auto &it : endpoints)
    it.handler = [&, first, second](HttpExchange &exchange) -> asio::awaitable<void> {
      auto after = exchange.request()["Last-Event-Id"];
      resumeEventId.assign(after.data(), after.size());
      return after.empty() ? first(exchange) : second(exchange);
    };
  auto result = call(makeCall("/resume/x"));
  EXPECT_EQ(result.status, HttpTransferStatus::Ok);
  EXPECT_EQ(result.response.body(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  EXPECT_EQ(resumeEventId, "2");
  EXPECT_EQ(endpoints[0].receivedRequests.size(), 1U);
  EXPECT_EQ(endpoints[1].receivedRequests.size(), 1U);
}

// An answer may have neither a length nor chunks and end with its connection. Guards against a
// stream that looks complete although it ends inside an event.
TEST_F(PlatformGatewayTest, StreamThatEndsWithItsConnectionInsideAnEventLooksComplete) {
  answerRaw(0, RawStreamHead + "id: 1\ndata: a\n\nid: 2\nda");
  view.removeEndpoint(EndpointName("e1"), steadyNow());
  auto result = call(makeCall("/once/x"));
  EXPECT_NE(result.status, HttpTransferStatus::Ok);
  EXPECT_EQ(result.response.body(), "id: 1\ndata: a\n\n");
}

TEST_F(PlatformGatewayTest, StreamThatEndsWithItsConnectionInsideAnEventIsNotResumed) {
  for (std::size_t i = 0; i < endpoints.size(); ++i)
    answerRaw(i, RawStreamHead + "id: 1\ndata: a\n\nid: 2\nda",
              RawStreamHead + "id: 2\ndata: b\n\n");
  expectBothEvents();
}

TEST_F(PlatformGatewayTest, StreamThatEndsWithItsConnectionBeforeItsFirstEventLooksComplete) {
  answerRaw(0, RawStreamHead);
  view.removeEndpoint(EndpointName("e1"), steadyNow());
  EXPECT_EQ(call(makeCall("/once/x")).response.result_int(), 502U);
}

TEST_F(PlatformGatewayTest, WholeAnswersThatEndWithTheirConnectionAreLost) {
  for (std::size_t i = 0; i < endpoints.size(); ++i)
    answerRaw(i, RawStreamHead + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  expectBothEvents("/once/x");
  for (std::size_t i = 0; i < endpoints.size(); ++i)
    answerRaw(i, "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\n\r\nwhole");
  auto result = call(makeCall("/unsafe/x"));
  EXPECT_EQ(result.status, HttpTransferStatus::Ok);
  EXPECT_EQ(result.response.body(), "whole");
}

/// Returns a handler that streams two events with a pause of `d` between them.
HttpHandler makeStallingHandler(Duration d) {
  return [=](HttpExchange &exchange) -> asio::awaitable<void> {
    HttpResponse head{http::status::ok, 11};
    head.set("Request-Id", exchange.request()["Request-Id"]);
    head.set("Server-Stamp", "stamp");
    co_await exchange.startStream(std::move(head));
    co_await exchange.writeChunk("id: 1\ndata: a\n\n");
    co_await sleepFor(d);
    co_await exchange.writeChunk("id: 2\ndata: b\n\n");
    co_await exchange.endStream();
  };
}

// Guards against cutting a slow stream for its silence when no other endpoint can resume it.
TEST_F(PlatformGatewayTest, SilentStreamIsKeptWhileNoOtherEndpointCanTakeIt) {
  view.removeEndpoint(EndpointName("e1"), steadyNow());
  endpoints[0].handler = makeStallingHandler(1800ms);
  expectBothEvents();
}

// Guards against losing a slow answer of the only endpoint.
TEST_F(PlatformGatewayTest, SilentCallIsKeptWhileNoOtherEndpointCanTakeIt) {
  view.removeEndpoint(EndpointName("e1"), steadyNow());
  const auto late = makeAnswerHandler(200, "late");
  endpoints[0].handler = [&](HttpExchange &exchange) -> asio::awaitable<void> {
    co_await sleepFor(1300ms);
    co_await late(exchange);
  };
  auto result = call(makeCall("/safe/x"));
  EXPECT_EQ(result.response.result_int(), 200U);
  EXPECT_EQ(result.response.body(), "late");
}

// Guards against waiting for a stalled endpoint although another one can resume the stream.
TEST_F(PlatformGatewayTest, SilentStreamGoesOnElsewhere) {
  const auto first = makeStallingHandler(1min);
  const auto second = makeStreamHandler("id: 2\ndata: b\n\n", true);
  for (auto &it : endpoints)
    it.handler = [&](HttpExchange &exchange) -> asio::awaitable<void> {
      return exchange.request()["Last-Event-Id"] == "1" ? second(exchange) : first(exchange);
    };
  expectBothEvents();
}

// Guards against a stream that begins at an engine of another version while the registry is away,
// and against a question for each stream.
TEST_F(PlatformGatewayTest, StreamBeginsAtAnEngineThatMayHaveComeBack) {
  auto entry = view.find(EndpointName("e0"))->entry;
  entry.service = ServiceName("llm");
  entry.holdings.models = {{ModelName("m"), {}}};
  view.putEndpoint(entry, steadyNow());
  endpoints[0].handler = makeStreamHandler("id: 1\ndata: a\n\n", true);
  auto request = makeCall("/talk/x");
  request.set("Model", "m");
  const auto countQuestions = [&](bool registryConnected) {
    view.setRegistryConnected(registryConnected);
    const int before = confirmations;
    for (int n = 0; n < 3; ++n)
      EXPECT_EQ(call(request).response.body(), "id: 1\ndata: a\n\n");
    return confirmations - before;
  };
  EXPECT_EQ(countQuestions(true), 0);
  EXPECT_EQ(countQuestions(false), 1);
  EXPECT_EQ(countQuestions(true), 0);
}

// Guards against a stream of a service without models that goes on at an endpoint which has come
// back with another version, before this host has read that (ORDER of review/9).
TEST_F(PlatformGatewayTest, StreamWithoutAModelGoesOnAtAnEndpointThatHasComeBack) {
  const auto first = makeStreamHandler("id: 1\ndata: a\n\n", false);
  const auto second = makeStreamHandler("id: 2\ndata: b\n\n", true);
  for (auto &it : endpoints)
    it.handler = [&](HttpExchange &exchange) -> asio::awaitable<void> {
      return exchange.request()["Last-Event-Id"] == "1" ? second(exchange) : first(exchange);
    };
  confirmsIncarnation = false;
  const auto cut = call(makeCall("/resume/x"));
  EXPECT_EQ(cut.response.body(), "id: 1\ndata: a\n\n");
  EXPECT_NE(cut.status, HttpTransferStatus::Ok);
  confirmsIncarnation = true;
  expectBothEvents();
}

// Guards against a stream at a version that the store's record does not have, against holding a
// request that can begin nowhere, and against refusing requests that no caller takes up.
TEST_F(PlatformGatewayTest, StreamBeginsAtAVersionThatIsNotRecorded) {
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    endpoints[i].handler = makeStreamHandler("id: 1\ndata: a\n\n", true);
    auto entry = view.find(EndpointName("e" + std::to_string(i)))->entry;
    entry.softwareVersion = SoftwareVersion("v" + std::to_string(i));
    view.putEndpoint(entry, steadyNow());
  }
  constexpr int Calls = 4;
  unrecorded = {SoftwareVersion("v0")};
  for (int n = 0; n < Calls; ++n)
    EXPECT_EQ(call(makeCall("/resume/x")).response.result_int(), 200U);
  EXPECT_EQ(endpoints[0].receivedRequests.size(), 0U);
  unrecorded.insert(SoftwareVersion("v1"));
  const auto startTime = steadyNow();
  const auto refused = call(makeCall("/resume/x"));
  EXPECT_EQ(refused.response.result_int(), 503U);
  EXPECT_NE(refused.response.find(http::field::retry_after), refused.response.end());
  EXPECT_LT(steadyNow() - startTime, 300ms);
  EXPECT_EQ(call(makeCall("/once/x")).response.result_int(), 200U);
}

// Guards against a truncated stream that looks complete, and against a second run of its request.
TEST_F(PlatformGatewayTest, StreamThatCannotBeResumedIsCut) {
  for (auto &it : endpoints)
    it.handler = makeStreamHandler("id: 1\ndata: a\n\nid: 2\nda", false);
  auto result = call(makeCall("/once/x"));
  EXPECT_NE(result.status, HttpTransferStatus::Ok);
  EXPECT_EQ(result.response.body(), "id: 1\ndata: a\n\n");
  EXPECT_EQ(receivedCount(), 1U);
}

// Guards against delivering an answer that belongs to another request.
TEST_F(PlatformGatewayTest, AnswerToAnotherRequestIsNotDelivered) {
  for (auto &it : endpoints)
    it.handler = [](HttpExchange &exchange) -> asio::awaitable<void> {
      HttpResponse response{http::status::ok, 11};
      response.set("Request-Id", "other");
      response.body() = "secret";
      co_await exchange.respond(std::move(response));
    };
  auto result = call(makeCall("/unsafe/x"));
  EXPECT_EQ(result.response.result_int(), 502U);
  EXPECT_EQ(result.response.body().find("secret"), std::string::npos);
}

// Guards against holding a request until its deadline when no engine can load the model by then.
TEST_F(PlatformGatewayTest, ModelThatCannotBeLoadedInTimeIsRefusedAtOnce) {
  view.putEndpoint({.name = EndpointName("g"),
                    .service = ServiceName("llm"),
                    .address = {"127.0.0.1", 1},
                    .slots = 4,
                    .incarnation = 1},
                   steadyNow());
  auto request = makeCall("/model/x");
  request.set("Model", "m");
  auto startTime = steadyNow();
  auto result = call(request);
  EXPECT_EQ(result.response.result_int(), 503U);
  EXPECT_LT(steadyNow() - startTime, 300ms);
  EXPECT_GE(needCount, 1); // the load is requested all the same
}

// Guards against a request that waits for its model until its host has stopped: its connection was
// closed without an answer, although the host could have refused the request as not run.
TEST_F(PlatformGatewayTest, WaitsEndWellBeforeTheHostStops) {
  view.putEndpoint({.name = EndpointName("g"),
                    .service = ServiceName("llm"),
                    .address = {"127.0.0.1", 1},
                    .slots = 4,
                    .incarnation = 1,
                    .holdings = {.onDisk = {ModelName("m")}}},
                   steadyNow());
  auto request = makeCall("/model/x");
  request.set("Model", "m");
  auto startTime = steadyNow();
  asio::steady_timer stopTimer(io, 200ms); // fires while the request waits
  stopTimer.async_wait([&](auto) { gateway->setStop(steadyNow() + 10s, steadyNow() + 3s); });
  auto result = call(request);
  EXPECT_EQ(result.response.result_int(), 503U);
  EXPECT_GT(steadyNow() - startTime, 200ms);
  EXPECT_LT(steadyNow() - startTime, 1000ms);
}

// Guards against an answer after the deadline of the request.
TEST_F(PlatformGatewayTest, SilentEndpointEndsWithTheDeadline) {
  for (auto &it : endpoints)
    it.handler = [](HttpExchange &) -> asio::awaitable<void> { co_await sleepFor(1500ms); };
  auto request = makeCall("/unsafe/x");
  request.set("Deadline-Ms", "400");
  auto startTime = steadyNow();
  auto result = call(request);
  EXPECT_EQ(result.response.result_int(), 504U);
  EXPECT_LT(steadyNow() - startTime, 900ms);
}

TEST_F(PlatformGatewayTest, UnknownRouteAndMissingIdAreTheCallersFault) {
  EXPECT_EQ(call(makeCall("/none/x")).response.result_int(), 404U);
  auto request = makeCall("/safe/x");
  request.erase("Request-Id");
  EXPECT_EQ(call(request).response.result_int(), 400U);
  EXPECT_EQ(receivedCount(), 0U);
}

/// Returns a handler that refuses requests as not run, with a Retry-After of `seconds`.
HttpHandler makeRefusingHandler(const std::string &seconds) {
  return [=](HttpExchange &exchange) -> asio::awaitable<void> {
    HttpResponse response{http::status::service_unavailable, 11};
    response.set("Request-Id", exchange.request()["Request-Id"]);
    response.set("Not-Run", "1");
    response.set(http::field::retry_after, seconds);
    co_await exchange.respond(std::move(response));
  };
}

// Guards against refusing a request that its only endpoint could serve shortly after: an engine
// reports a model as missing while it still loads the adapter or the model, and a route with a
// limit of one endpoint has no alternative.
TEST_F(PlatformGatewayTest, RequestIsSentAgainToTheOnlyEndpointOnceItHoldsTheModel) {
  auto entry = view.find(EndpointName("e0"))->entry;
  entry.service = ServiceName("llm");
  entry.holdings.models = {{ModelName("m"), {}}};
  view.putEndpoint(entry, steadyNow());
  const auto loading = [](HttpExchange &exchange) -> asio::awaitable<void> {
    HttpResponse response{static_cast<http::status>(421), 11};
    response.set("Request-Id", exchange.request()["Request-Id"]);
    co_await exchange.respond(std::move(response));
  };
  endpoints[0].handler = loading;
  asio::steady_timer loadTimer(io, 100ms);
  loadTimer.async_wait(
      [&](auto) { endpoints[0].handler = makeStreamHandler("id: 1\ndata: a\n\n", true); });
  auto request = makeCall("/model/x");
  request.set("Model", "m");
  auto result = call(request);
  EXPECT_EQ(result.response.result_int(), 200U);
  EXPECT_EQ(result.response.body(), "id: 1\ndata: a\n\n");
  EXPECT_EQ(endpoints[0].receivedRequests.size(), 2U);
}

// Guards against holding a request for an endpoint that never loads the model: the caller can retry
// at another host, which may know another replica.
TEST_F(PlatformGatewayTest, EndpointThatNeverHoldsTheModelIsGivenUpSoon) {
  auto entry = view.find(EndpointName("e0"))->entry;
  entry.service = ServiceName("llm");
  entry.holdings.models = {{ModelName("m"), {}}};
  view.putEndpoint(entry, steadyNow());
  endpoints[0].handler = makeAnswerHandler(421, "");
  auto request = makeCall("/model/x");
  request.set("Model", "m");
  auto startTime = steadyNow();
  auto result = call(request);
  EXPECT_EQ(result.response.result_int(), 503U);
  EXPECT_LT(steadyNow() - startTime, 1000ms);
  EXPECT_EQ(endpoints[0].receivedRequests.size(), 3U);
}

// Guards against sending a request to an endpoint during its backoff although the backoff ends
// before the deadline.
TEST_F(PlatformGatewayTest, RequestWaitsUntilItsEndpointsTakeRequestsAgain) {
  for (auto &it : endpoints)
    it.handler = makeRefusingHandler("0.6");
  asio::steady_timer recoveryTimer(io, 300ms);
  recoveryTimer.async_wait([&](auto) {
    for (auto &it : endpoints)
      it.handler = makeAnswerHandler(200, "body");
  });
  auto startTime = steadyNow();
  auto result = call(makeCall("/unsafe/x"));
  EXPECT_EQ(result.response.result_int(), 200U);
  EXPECT_GE(steadyNow() - startTime, 600ms);
  EXPECT_EQ(receivedCount(), 3U); // one per endpoint, and the retry
}

// Guards against holding a request that no endpoint accepts before its deadline, and against a
// Retry-After that is too short.
TEST_F(PlatformGatewayTest, EndpointsThatWantNoRequestsInTimeMeanARefusalAtOnce) {
  for (auto &it : endpoints)
    it.handler = makeRefusingHandler("5");
  auto startTime = steadyNow();
  auto result = call(makeCall("/unsafe/x"));
  EXPECT_EQ(result.response.result_int(), 503U);
  EXPECT_LT(steadyNow() - startTime, 500ms);
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(call(makeCall("/unsafe/x")).response.result_int(), 503U);
  EXPECT_EQ(receivedCount(), 2U);
  const auto text = result.response[http::field::retry_after];
  EXPECT_GE(std::stod(std::string(text.data(), text.size())), 0.5); // a third of the remaining time
}

// Guards against requests to an endpoint that has announced in an answer that it is leaving.
TEST_F(PlatformGatewayTest, EndpointThatLeavesByItsAnswerGetsNoMoreRequests) {
  for (auto &it : endpoints)
    it.handler = [](HttpExchange &exchange) -> asio::awaitable<void> {
      HttpResponse response{http::status::ok, 11};
      response.set("Request-Id", exchange.request()["Request-Id"]);
      response.set("Server-Stamp", "stamp");
      response.set("Server-Leaving", "1");
      response.body() = "body";
      co_await exchange.respond(std::move(response));
    };
  for (int i = 0; i < 2; ++i)
    EXPECT_EQ(call(makeCall("/unsafe/x")).response.body(), "body"); // one announcement per endpoint
  EXPECT_EQ(call(makeCall("/unsafe/x")).response.result_int(), 503U);
  EXPECT_EQ(endpoints[0].receivedRequests.size(), 1U);
  EXPECT_EQ(endpoints[1].receivedRequests.size(), 1U);
}

/// Makes the endpoint name a limit of requests.
void nameLimit(FleetView &view, const char *endpoint) {
  view.onAnnouncements({EndpointName(endpoint), 1}, {.requestsPerSecond = 1.0}, steadyNow(),
                       steadyNow());
}

// Guards against requests beyond the limit of one endpoint that are refused or held although
// another endpoint takes them.
TEST_F(PlatformGatewayTest, RequestWithoutAPermitIsNotSentElsewhere) {
  for (auto &it : endpoints)
    it.handler = makeAnswerHandler(200, "body");
  nameLimit(view, "e0");
  permits[EndpointName("e0")] = {.granted = false, .delay = 5s};
  auto startTime = steadyNow();
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(call(makeCall("/unsafe/x")).response.result_int(), 200U);
  EXPECT_LT(steadyNow() - startTime, 1s);
  EXPECT_EQ(endpoints[0].receivedRequests.size(), 0U);
  EXPECT_LE(permitWaits.size(), 1U); // it is not asked again before the named time
}

// Guards against holding a request that no endpoint takes in time, and against a false time to come
// back.
TEST_F(PlatformGatewayTest, RequestOverTheLimitOfAllEndpointsIsHeld) {
  for (auto *it : {"e0", "e1"}) {
    nameLimit(view, it);
    permits[EndpointName(it)] = {.granted = false, .delay = 3s};
  }
  for (int i = 0; i < 3; ++i) {
    auto startTime = steadyNow();
    auto result = call(makeCall("/unsafe/x"));
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_LT(steadyNow() - startTime, 300ms);
    const auto text = result.response[http::field::retry_after];
    EXPECT_GE(std::stod(std::string(text.data(), text.size())), 0.5); // a third of the time left
  }
  EXPECT_EQ(receivedCount(), 0U);
}

// Guards against requests that are refused although a place is reserved for them, and against one
// that is sent before its time.
TEST_F(PlatformGatewayTest, RequestDoesNotWaitForItsReservedPlace) {
  view.removeEndpoint(EndpointName("e1"), steadyNow());
  endpoints[0].handler = makeAnswerHandler(200, "body");
  nameLimit(view, "e0");
  permits[EndpointName("e0")] = {.granted = true, .delay = 400ms};
  auto startTime = steadyNow();
  EXPECT_EQ(call(makeCall("/unsafe/x")).response.result_int(), 200U);
  EXPECT_GE(steadyNow() - startTime, 400ms);
  EXPECT_GT(permitWaits.at(0), 400ms);
}

// Guards against a request that goes to an endpoint which has announced its leaving meanwhile.
TEST_F(PlatformGatewayTest, WaitForAPermitOutlivesItsEndpoint) {
  view.removeEndpoint(EndpointName("e1"), steadyNow());
  endpoints[0].handler = makeAnswerHandler(200, "body");
  nameLimit(view, "e0");
  permits[EndpointName("e0")] = {.granted = true, .delay = 400ms};
  asio::steady_timer leavingTimer(io, 100ms);
  leavingTimer.async_wait([&](auto) { view.onLeaving({EndpointName("e0"), 1}, steadyNow()); });
  EXPECT_EQ(call(makeCall("/unsafe/x")).response.result_int(), 503U);
  EXPECT_EQ(receivedCount(), 0U);
}

// Guards against a retry or a resumed stream that counts as no request.
TEST_F(PlatformGatewayTest, RetryNeedsNoPermit) {
  for (auto &it : endpoints)
    it.handler = makeAnswerHandler(500, "failed");
  for (auto *it : {"e0", "e1"}) {
    nameLimit(view, it);
    permits[EndpointName(it)] = {.granted = true};
  }
  call(makeCall("/safe/x"));
  EXPECT_EQ(receivedCount(), 2U);
  EXPECT_GE(permitWaits.size(), 2U);
}

/// Returns a handler that sends `piece` until the connection is closed, and adds to `bytes`.
HttpHandler makeEndlessHandler(std::string piece, std::uint64_t &bytes) {
  return [piece = std::move(piece), &bytes](HttpExchange &exchange) -> asio::awaitable<void> {
    HttpResponse head{http::status::ok, 11};
    head.set("Request-Id", exchange.request()["Request-Id"]);
    head.set("Server-Stamp", "stamp");
    bool open = co_await exchange.startStream(std::move(head));
    while (open) {
      open = co_await exchange.writeChunk(piece);
      bytes += piece.size();
    }
  };
}

// Guards against unbounded memory use while an endpoint sends an endless body. With the deadline as
// the only limit, gigabytes could arrive.
TEST_F(PlatformGatewayTest, AnswerWithoutEndIsBroken) {
  std::uint64_t bytes = 0;
  for (auto &it : endpoints)
    it.handler = makeEndlessHandler(std::string(65536, 'x'), bytes);
  auto startTime = steadyNow();
  auto result = call(makeCall("/unsafe/x"));
  EXPECT_EQ(result.response.result_int(), 502U);
  EXPECT_LT(steadyNow() - startTime, 1500ms);
  EXPECT_LT(bytes, 32U * 1024 * 1024);
  EXPECT_EQ(receivedCount(), 1U);
}

// Guards against unbounded memory use while an endpoint sends an endless event in a stream.
TEST_F(PlatformGatewayTest, EventWithoutEndCutsItsStream) {
  std::uint64_t bytes = 0;
  for (auto &it : endpoints)
    it.handler = makeEndlessHandler("data: " + std::string(65536, 'x'), bytes);
  auto startTime = steadyNow();
  auto result = call(makeCall("/once/x"));
  EXPECT_NE(result.response.result_int(), 200U);
  EXPECT_LT(steadyNow() - startTime, 1500ms);
  EXPECT_LT(bytes, 32U * 1024 * 1024);
}

} // namespace
} // namespace catkin::platform::gateway_test
