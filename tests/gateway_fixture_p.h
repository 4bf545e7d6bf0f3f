#pragma once

#include "config.h"
#include "gateway_p.h"
#include "json_p.h"
#include "lists_p.h"
#include "real_env_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

/// Test fixture: a gateway with scripted endpoints, a scripted service and fakes of the control
/// plane.
namespace catkin::gateway_fixture {

using namespace std::chrono_literals;

/// Env with an in-memory Platform. Other functions are those of RealEnv, or are not used.
class TestEnv : public RealEnv, public Platform {
public:
  TestEnv(const Strand &strand, DecisionLog &log) : RealEnv(strand, {}, log), strand(strand) {}
  Platform &platform() override { return *this; }

  void get(const std::string &key, StoreGetDone done) override {
    auto it = objects.find(key);
    reply(it == objects.end() ? StoreStatus::NotFound : StoreStatus::Ok,
          it == objects.end() ? StoreObject{.key = key} : it->second, done);
  }
  void list(const std::string &, StoreListDone done) override {
    asio::post(strand, [done] { done(StoreStatus::Ok, {}); });
  }
  void put(const std::string &key, std::string value, std::uint64_t expected,
           StoreGetDone done) override {
    auto it = objects.find(key);
    if ((it == objects.end() ? 0 : it->second.version) != expected)
      return reply(StoreStatus::Conflict, {}, done);
    objects[key] = {key, ++versions, std::move(value)};
    reply(StoreStatus::Ok, objects[key], done);
  }
  void erase(const std::string &key, std::uint64_t, StoreGetDone done) override {
    objects.erase(key);
    reply(StoreStatus::Ok, {}, done);
  }
  void watch(const std::string &, std::uint64_t, Duration, StoreGetDone) override {}

private:
  void reply(StoreStatus s, StoreObject object, StoreGetDone done) {
    asio::post(strand,
               [s, object = std::move(object), done = std::move(done)] { done(s, object); });
  }

  Strand strand;
  std::map<std::string, StoreObject> objects;
  std::uint64_t versions = 0;
};

/// Lists with the plan `rounds`, which may use the model `draft` and both services, but not the
/// model `other`.
inline std::string listsDocument() {
  auto key = hashKey("key-a");
  return R"({"revision":1,"edit_id":"e1","plans":{"plans":[{"name":"rounds","keys":[")" + key +
         R"("],"priority":"normal","grant":{"models":4,"concurrency":50,"tokens_per_second":100000,)" +
         R"("accelerator_bytes":1000000000}}]},"uses":{"models":[{"name":"draft","bytes":1000},)" +
         R"({"name":"other","bytes":1000}],"services":[{"name":"deliveries","idempotent":false},)" +
         R"({"name":"stock","idempotent":true}],"uses":[{"plan":"rounds","models":["draft"],)" +
         R"("services":["deliveries","stock"]}]}})";
}

/// Returns the i-th completion event of a stream, in SSE format.
inline std::string makeEvent(unsigned i) {
  return "data: {\"choices\":[{\"index\":0,\"text\":\"e" + std::to_string(i) + " \"}]}\n\n";
}

/// Returns the completion text of the first n events.
inline std::string allText(unsigned n) {
  std::string text;
  for (unsigned i = 0; i < n; ++i)
    text += "e" + std::to_string(i) + " ";
  return text;
}

/// Returns a complete stream of n events, with the [DONE] event.
inline std::string allEvents(unsigned n) {
  std::string text;
  for (unsigned i = 0; i < n; ++i)
    text += makeEvent(i);
  return text + "data: [DONE]\n\n";
}

/// Returns the response head of an endpoint, with the attempt id of the request.
inline HttpResponse makeStreamHead(const HttpExchange &ex) {
  HttpResponse head{http::status::ok, 11};
  head.set(http::field::content_type, "text/event-stream");
  head.set("X-Attempt-Id", ex.request()["X-Attempt-Id"]);
  return head;
}

/// Returns the index of the first event that the gateway asks for, 0 without X-Resume-From.
inline unsigned resumeIndex(const HttpExchange &ex) {
  auto text = std::string(ex.request()["X-Resume-From"]);
  return text.empty() ? 0 : static_cast<unsigned>(std::stoul(text));
}

constexpr unsigned EventCount = 10;

/// Streams the events from X-Resume-From on, then the [DONE] event, and ends the stream.
inline asio::awaitable<void> streamFromResumePoint(HttpExchange &ex) {
  co_await ex.startStream(makeStreamHead(ex));
  for (unsigned i = resumeIndex(ex); i < EventCount; ++i)
    co_await ex.writeChunk(makeEvent(i));
  co_await ex.writeChunk("data: [DONE]\n\n");
  co_await ex.endStream();
}

/// Suspends a handler for longer than any test runs.
inline asio::awaitable<void> sleepOneHour() {
  asio::steady_timer timer(co_await asio::this_coro::executor, 1h);
  co_await timer.async_wait(asio::use_awaitable);
}

/// A gateway with a route table of two endpoints, a service, and fakes of the control plane. Tests
/// replace the handlers `onEndpoint`, `onService` and `ensure`.
class GatewayTest : public testing::Test {
protected:
  explicit GatewayTest(Guards guards = {}) : guards(guards) {}

  void SetUp() override {
    HttpHandler endpointHandler = [this](HttpExchange &ex) { return onEndpoint(ex); };
    HttpHandler serviceHandler = [this](HttpExchange &ex) { return onService(ex); };
    for (auto &it : endpoints) {
      it = std::make_unique<HttpServer>(io.get_executor(), loopback(), endpointHandler);
      ASSERT_EQ(it->start(), "");
    }
    service = std::make_unique<HttpServer>(io.get_executor(), loopback(), serviceHandler);
    ASSERT_EQ(service->start(), "");
    gatewayServer = std::make_unique<HttpServer>(io.get_executor(), loopback(), gateway.handler());
    ASSERT_EQ(gatewayServer->start(), "");
    gateway.setDependencies({.ensure = [this](auto &request, auto done) { ensure(request, done); },
                             .requestSync = [] {},
                             .ready = [] { return true; },
                             .isPlanner = [] { return false; },
                             .addresses =
                                 [](std::uint64_t) {
                                   return std::vector{Address{"10.0.0.1", 1}};
                                 },
                             .ledger = &ledger});
    hooks = gateway.hooks();
    hooks.listsApplied(std::make_shared<const Lists>(std::get<Lists>(parseLists(listsDocument()))));
    hooks.sharesChanged({{PlanName("rounds"), 1, 50, 100000}});
    setTable(2);
    setService(service->address());
    thread = std::thread([this] { io.run(); });
  }

  void TearDown() override {
    io.stop();
    thread.join();
  }

  static HttpServerOptions loopback() { return {.listen = {"127.0.0.1", 0}}; }

  /// Publishes a route table in which the first `replicas` endpoints have loaded the model `draft`.
  void setTable(unsigned replicas) {
    std::vector<RouteEntry> entries;
    for (unsigned i = 0; i < replicas; ++i)
      entries.push_back({.model = ModelName("draft"),
                         .endpoint = EndpointName("engine-" + std::to_string(i)),
                         .address = endpoints[i]->address(),
                         .state = ReplicaState::Loaded});
    hooks.tableChanged(entries);
  }

  /// Lists both services at the given address.
  void setService(const Address &address) {
    std::vector<ListedNode> nodes;
    for (auto *name : {"deliveries", "stock"})
      nodes.push_back({.kind = ListedKind::Service,
                       .name = std::string(name) + "-1",
                       .service = ServiceName(name),
                       .address = address});
    hooks.nodesListed(nodes);
  }

  static HttpRequest post(const std::string &target, std::string body) {
    auto request = makeRequest(http::verb::post, target, std::move(body));
    request.set(http::field::authorization, "Bearer key-a");
    return request;
  }

  static HttpRequest completionRequest(bool stream) {
    return post("/v1/completions", std::string(R"({"model":"draft","prompt":"p","stream":)") +
                                       (stream ? "true}" : "false}"));
  }

  static HttpRequest deliveryRequest(const std::string &key, const std::string &body = "{}") {
    auto request = post("/v1/services/deliveries/confirm", body);
    request.set("Idempotency-Key", key);
    return request;
  }

  /// Sends a request to the gateway and waits for the whole response.
  HttpResponse send(HttpRequest request) {
    asio::io_context callerIo;
    HttpClient client(callerIo.get_executor());
    auto result = asio::co_spawn(
        callerIo, client.request(gatewayServer->address(), std::move(request), {.silence = 30s}),
        asio::use_future);
    callerIo.run();
    auto answer = result.get();
    EXPECT_EQ(answer.status, HttpTransferStatus::Ok);
    return answer.response;
  }

  /// Returns the field `outcome` of a response body, or an empty string.
  static std::string outcome(const HttpResponse &response) {
    json::object body;
    return parseObject(response.body(), body) ? JsonReader(body).text("outcome") : "";
  }

  Guards guards; ///< guards of the gateway under test
  asio::io_context io{1};
  asio::any_io_executor strand = asio::make_strand(io);
  DecisionLog decisions;
  TestEnv env{strand, decisions};
  Ledger ledger{env, {.host = HostName("h"), .incarnation = 1}, [](auto &, auto) { return true; }};
  Gateway gateway{strand,
                  io.get_executor(),
                  {.host = HostName("h"),
                   .advertise = {"10.0.0.9", 1},
                   .silenceTimeout = 200ms,
                   .serviceSilenceTimeout = 200ms,
                   .guards = guards},
                  decisions};
  ControlHooks hooks;
  std::array<std::unique_ptr<HttpServer>, 2> endpoints;
  std::unique_ptr<HttpServer> service;
  std::unique_ptr<HttpServer> gatewayServer;
  std::thread thread;

  std::atomic<int> endpointAttempts = 0; ///< requests that a test's onEndpoint counted
  std::atomic<int> serviceRuns = 0;      ///< calls run by the service
  std::function<asio::awaitable<void>(HttpExchange &)> onEndpoint = streamFromResumePoint;
  std::function<asio::awaitable<void>(HttpExchange &)> onService =
      [this](HttpExchange &ex) -> asio::awaitable<void> {
    ++serviceRuns;
    auto answer = jsonResponse(R"({"confirmed":true})");
    answer.set("X-Attempt-Id", ex.request()["X-Attempt-Id"]);
    co_await ex.respond(std::move(answer));
  };
  std::function<void(const EnsureRequest &, std::function<void(const EnsureReply &)>)> ensure =
      [](auto &, auto done) { done({.outcome = EnsureOutcome::Refused, .retryAfter = 7s}); };
};

} // namespace catkin::gateway_fixture
