#pragma once

#include "config.h"
#include "fleet_gateway_p.h"
#include "raw_server_p.h"
#include "real_env_p.h"
#include "request_codec_p.h"
#include "standin_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Test fixture: the gateway of the users' platform before two endpoints whose answers are
/// scripted.
namespace catkin::platform::gateway_test {

using namespace std::chrono_literals;
using standin::sleepFor;

/// Head of a stream that ends with its connection.
inline const std::string RawStreamHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\n\r\n";

/// Closes the connection without an answer.
inline asio::awaitable<void> closeWithoutAnswer(HttpExchange &exchange) {
  exchange.abort();
  co_return;
}

/// An endpoint whose answers are scripted by a test.
struct ScriptedEndpoint {
  std::unique_ptr<HttpServer> server;
  HttpHandler handler;
  std::vector<HttpRequest> receivedRequests;
};

/// Runs a gateway on loopback with the scripted endpoints e0 and e1.
class PlatformGatewayTest : public ::testing::Test {
protected:
  void SetUp() override {
    FleetConfig config{.version = 1};
    config.routes = {makeRoute("/safe/", CallKind::Idempotent, 2, false),
                     makeRoute("/unsafe/", CallKind::NonIdempotent, 2, false),
                     makeRoute("/resume/", CallKind::Stream, 2, true),
                     makeRoute("/once/", CallKind::Stream, 1, false)};
    FleetService service{.name = ServiceName("s")};
    config.services.emplace(service.name, service);
    FleetService llm{.name = ServiceName("llm"), .hasEngines = true};
    ModelSpec model{.name = ModelName("m"),
                    .megabytes = 1,
                    .remoteLoad = 6s,
                    .diskLoad = 800ms,
                    .memoryLoad = 400ms};
    llm.engine.models.emplace(model.name, model);
    config.services.emplace(llm.name, llm);
    auto models = makeRoute("/model/", CallKind::Stream, 1, false);
    models.services = {{llm.name, 1}};
    config.routes.push_back(models);
    models.name = models.pathPrefix = "/talk/";
    models.resumable = true;
    config.routes.push_back(models);
    view.setConfig(config);
    for (std::size_t i = 0; i < endpoints.size(); ++i)
      startEndpoint(i);
    gateway = std::make_unique<FleetGateway>(
        io.get_executor(), view, codec,
        FleetGatewayOptions{.dataCentre = DataCentreName("x"), .budget = {.allowance = 100}},
        FleetGatewayHooks{
            .now = [] { return steadyNow(); },
            .random = [this] { return ++randomCounter; },
            .hostCount = [] { return 1; },
            .acquirePermit =
                [this](auto &endpoint, Duration maxDelay, auto done) {
                  permitWaits.push_back(maxDelay);
                  done(permits[endpoint.endpoint]);
                },
            .confirmIncarnation =
                [this](auto &, auto done) {
                  ++confirmations;
                  asio::post(io, [=, this] { done(confirmsIncarnation); });
                },
            .ensureVersionRecorded =
                [this](auto &, auto &version, auto done) {
                  const bool recorded = unrecorded.count(version) == 0;
                  asio::post(io, [=] { done(recorded); });
                },
            .onModelNeedChanged = [this](auto &, auto &, int n) { needCount += n > 0 ? 1 : 0; },
            .onModelUnavailable = [this](auto &, auto &) { ++needCount; },
            .areKeysCurrent = [this] { return areKeysCurrent; },
            .mayRejectKeys = [this] { return mayRejectKeys; }});
    frontServer = std::make_unique<HttpServer>(
        io.get_executor(),
        HttpServerOptions{.listen = {"127.0.0.1", 0}, .maxBodyBytes = config::FleetBodyBytes},
        [this](HttpExchange &it) { return gateway->handle(it); });
    ASSERT_EQ(frontServer->start(), "");
  }

  static FleetRoute makeRoute(const char *prefix, CallKind kind, int maxEndpoints, bool resumable) {
    return {.name = prefix,
            .host = "h.example",
            .pathPrefix = prefix,
            .kind = kind,
            .timeout = 3s,
            .objective = 500ms,
            .eventGap = 100ms,
            .maxEndpoints = maxEndpoints,
            .resumable = resumable,
            .services = {{ServiceName("s"), 1}}};
  }

  static bool isForAnotherEndpoint(const HttpRequest &request, std::size_t i) {
    return request["Expect-Instance"] != "e" + std::to_string(i);
  }

  /// Answers as every engine does to a request for another one.
  static asio::awaitable<void> rejectAsAnotherEndpoint(HttpExchange &exchange) {
    HttpResponse response{http::status::misdirected_request, 11};
    response.set("Instance", "e");
    response.set("Not-Run", "1");
    co_await exchange.respond(std::move(response));
  }

  void startEndpoint(std::size_t i) {
    auto &it = endpoints[i];
    it.server = std::make_unique<HttpServer>(io.get_executor(),
                                             HttpServerOptions{.listen = {"127.0.0.1", 0}},
                                             [&it, i](HttpExchange &exchange) {
                                               if (isForAnotherEndpoint(exchange.request(), i))
                                                 return rejectAsAnotherEndpoint(exchange);
                                               it.receivedRequests.push_back(exchange.request());
                                               return it.handler(exchange);
                                             });
    ASSERT_EQ(it.server->start(), "");
    FleetEndpoint entry{.name = EndpointName("e" + std::to_string(i)),
                        .service = ServiceName("s"),
                        .address = it.server->address(),
                        .dataCentre = DataCentreName("x"),
                        .slots = 4,
                        .incarnation = 1};
    view.putEndpoint(entry, steadyNow());
  }

  /// Lets endpoint `i` send `answer` to each request and close the connection; `resumed` to one
  /// that resumes a stream.
  void answerRaw(std::size_t i, const std::string &answer, const std::string &resumed = {}) {
    rawServers.push_back(std::make_unique<RawServer>([=](tcp::socket &socket, int) {
      const bool resumes = RawServer::readHead(socket).find("Last-Event-Id") != std::string::npos;
      RawServer::send(socket, resumes ? resumed : answer);
    }));
    FleetEndpoint entry = view.find(EndpointName("e" + std::to_string(i)))->entry;
    entry.address = rawServers.back()->address();
    view.putEndpoint(entry, steadyNow());
  }

  static HttpRequest makeCall(const std::string &path, http::verb verb = http::verb::post) {
    HttpRequest request{verb, path, 11};
    request.set(http::field::host, "h.example");
    request.set("Request-Id", "id1");
    request.set("Deadline-Ms", "2000");
    return request;
  }

  /// Sends one request to the gateway and returns the answer. The body of a truncated answer holds
  /// the part that arrived.
  HttpResult call(HttpRequest request) {
    HttpResult result;
    bool done = false;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          HttpClient client(io.get_executor());
          auto stream = co_await client.open(frontServer->address(), request, {});
          for (;;) {
            std::string piece = co_await stream->read();
            if (piece.empty())
              break;
            result.response.body() += piece;
          }
          result.status = stream->status();
          result.response.base() = stream->head();
          done = true;
        },
        asio::detached);
    while (!done && io.run_one_for(5s) > 0)
      continue;
    return result;
  }

  /// Requests a stream, by default a resumable one, and checks that it has the events 1 and 2.
  void expectBothEvents(const std::string &path = "/resume/x") {
    auto request = makeCall(path);
    request.set("Deadline-Ms", "2900");
    auto result = call(request);
    EXPECT_EQ(result.status, HttpTransferStatus::Ok);
    EXPECT_EQ(result.response.body(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }

  /// Returns a handler that answers with `status` and `body`, and with `Not-Run` if `notRun` is
  /// set.
  static HttpHandler makeAnswerHandler(unsigned status, const std::string &body,
                                       bool notRun = false) {
    return [=](HttpExchange &exchange) -> asio::awaitable<void> {
      HttpResponse response{static_cast<http::status>(status), 11};
      response.set("Request-Id", exchange.request()["Request-Id"]);
      response.set("Server-Stamp", "stamp");
      if (notRun)
        response.set("Not-Run", "1");
      response.body() = body;
      co_await exchange.respond(std::move(response));
    };
  }

  /// Returns a handler that streams `text` and then ends the answer if `complete` is set, else
  /// aborts it.
  static HttpHandler makeStreamHandler(const std::string &text, bool complete) {
    return [=](HttpExchange &exchange) -> asio::awaitable<void> {
      HttpResponse head{http::status::ok, 11};
      head.set("Request-Id", exchange.request()["Request-Id"]);
      head.set("Server-Stamp", "stamp");
      co_await exchange.startStream(std::move(head));
      co_await exchange.writeChunk(text);
      if (complete)
        co_await exchange.endStream();
      else
        exchange.abort();
    };
  }

  /// Returns the number of requests that both endpoints have received.
  std::size_t receivedCount() const {
    return endpoints[0].receivedRequests.size() + endpoints[1].receivedRequests.size();
  }

  asio::io_context io;
  FleetView view;
  HeaderCodec codec;
  std::array<ScriptedEndpoint, 2> endpoints;
  std::vector<std::unique_ptr<RawServer>> rawServers;
  std::unique_ptr<FleetGateway> gateway;
  std::unique_ptr<HttpServer> frontServer;
  std::uint64_t randomCounter = 0;
  int needCount = 0;
  bool areKeysCurrent = true;
  bool mayRejectKeys = true;
  std::set<SoftwareVersion> unrecorded;   ///< versions that cannot be recorded
  int confirmations = 0;                  ///< questions to endpoints for their incarnation
  bool confirmsIncarnation = true;        ///< what endpoints answer to these questions
  std::map<EndpointName, Permit> permits; ///< answers to requests for permits
  std::vector<Duration> permitWaits;      ///< for which these requests could wait
};

} // namespace catkin::platform::gateway_test
