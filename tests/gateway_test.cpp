#include "gateway_fixture_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;
using namespace gateway_fixture;

// Guards against lost or repeated events when the connection of a stream breaks in the middle of an
// event.
TEST_F(GatewayTest, BrokenStreamIsResumedWithoutGapOrRepeat) {
  onEndpoint = [this](HttpExchange &ex) -> asio::awaitable<void> {
    if (++endpointAttempts % 2 == 0)
      co_return co_await streamFromResumePoint(ex);
    co_await ex.startStream(makeStreamHead(ex));
    for (unsigned i = 0; i < 4; ++i)
      co_await ex.writeChunk(makeEvent(i));
    co_await ex.writeChunk(makeEvent(4).substr(0, 12));
    ex.abort();
  };
  auto streamed = send(completionRequest(true));
  EXPECT_EQ(streamed.body(), allEvents(EventCount));
  auto whole = send(completionRequest(false));
  json::object body;
  ASSERT_TRUE(parseObject(whole.body(), body)) << whole.body();
  EXPECT_EQ(body["choices"].at(0).at("text").as_string(), allText(EventCount));
  EXPECT_EQ(endpointAttempts, 4);
}

// Guards against waiting without limit for an endpoint that stops sending on an open connection.
TEST_F(GatewayTest, SilentEndpointIsReplaced) {
  onEndpoint = [this](HttpExchange &ex) -> asio::awaitable<void> {
    if (++endpointAttempts > 1)
      co_return co_await streamFromResumePoint(ex);
    co_await ex.startStream(makeStreamHead(ex));
    co_await ex.writeChunk(makeEvent(0));
    co_await sleepOneHour();
  };
  EXPECT_EQ(send(completionRequest(true)).body(), allEvents(EventCount));
  EXPECT_EQ(endpointAttempts, 2);
}

// Guards against relaying the answer to another request to a caller.
TEST_F(GatewayTest, AnswerOfAnotherAttemptIsNotRelayed) {
  onEndpoint = [this](HttpExchange &ex) -> asio::awaitable<void> {
    if (++endpointAttempts > 1)
      co_return co_await streamFromResumePoint(ex);
    auto head = makeStreamHead(ex);
    head.set("X-Attempt-Id", "another");
    co_await ex.startStream(head);
    co_await ex.writeChunk("data: {\"choices\":[{\"index\":0,\"text\":\"not yours\"}]}\n\n");
    co_await ex.writeChunk("data: [DONE]\n\n");
    co_await ex.endStream();
  };
  EXPECT_EQ(send(completionRequest(true)).body(), allEvents(EventCount));
}

// Guards against running a non-idempotent call twice after its connection broke.
TEST_F(GatewayTest, BrokenNonIdempotentCallIsNotSentAgain) {
  onService = [this](HttpExchange &ex) -> asio::awaitable<void> {
    ++serviceRuns;
    ex.abort();
    co_return;
  };
  auto first = send(deliveryRequest("k1"));
  EXPECT_EQ(first.result_int(), 502U);
  EXPECT_EQ(outcome(first), "may_have_run");
  EXPECT_EQ(outcome(send(deliveryRequest("k1"))), "may_have_run");
  EXPECT_EQ(serviceRuns, 1);
}

// Guards against running a call with a known idempotency key again instead of returning the stored
// answer.
TEST_F(GatewayTest, RepeatedCallGetsTheStoredAnswer) {
  auto first = send(deliveryRequest("k1"));
  auto second = send(deliveryRequest("k1"));
  EXPECT_EQ(first["X-Outcome"], "ran");
  EXPECT_EQ(second["X-Outcome"], "ran");
  EXPECT_EQ(second.body(), first.body());
  EXPECT_EQ(second["Idempotent-Replay"], "true");
  auto reused = send(deliveryRequest("k1", R"({"other":1})"));
  EXPECT_EQ(reused.result_int(), 422U);
  EXPECT_EQ(outcome(reused), "not_run");
  EXPECT_EQ(serviceRuns, 1);
}

// Guards against an idempotency claim that blocks the retry of a call of which no byte was sent.
TEST_F(GatewayTest, RefusedConnectionIsNotRunAndMayBeRepeated) {
  Address closed;
  {
    HttpServer shortLived(io.get_executor(), loopback(), onService);
    ASSERT_EQ(shortLived.start(), "");
    closed = shortLived.address();
  }
  setService(closed);
  auto refused = send(deliveryRequest("k1"));
  EXPECT_EQ(refused.result_int(), 503U);
  EXPECT_EQ(outcome(refused), "not_run");
  EXPECT_NE(refused["Retry-After"], "");
  setService(service->address());
  // The failures ejected the endpoint, so the repeated call waits for the next probe.
  EXPECT_EQ(send(deliveryRequest("k1"))["X-Outcome"], "ran");
  EXPECT_EQ(serviceRuns, 1);
}

// Guards against an engine that continues to generate after the caller has disconnected.
TEST_F(GatewayTest, CallerThatLeavesCancelsAtTheEndpoint) {
  std::promise<void> cancelled;
  onEndpoint = [&](HttpExchange &ex) -> asio::awaitable<void> {
    co_await ex.startStream(makeStreamHead(ex));
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (unsigned i = 0; co_await ex.writeChunk(makeEvent(i)) && !ex.isCallerGone(); ++i) {
      timer.expires_after(20ms);
      co_await timer.async_wait(asio::use_awaitable);
    }
    cancelled.set_value();
  };
  asio::io_context callerIo;
  auto leave = [&]() -> asio::awaitable<void> {
    HttpClient client(callerIo.get_executor());
    auto stream = co_await client.open(gatewayServer->address(), completionRequest(true), {});
    EXPECT_NE(co_await stream->read(), "");
    stream->cancel();
  };
  asio::co_spawn(callerIo, leave(), asio::detached);
  callerIo.run();
  EXPECT_EQ(cancelled.get_future().wait_for(30s), std::future_status::ready);
}

// Guards against losing a request for a cold model instead of serving it after the load, and
// against a refusal without Retry-After.
TEST_F(GatewayTest, ColdModelIsAskedForAndAwaitedOrRefused) {
  hooks.tableChanged({});
  auto refused = send(completionRequest(false));
  EXPECT_EQ(refused.result_int(), 503U);
  EXPECT_EQ(outcome(refused), "not_run");
  EXPECT_EQ(refused["Retry-After"], "7");
  ensure = [this](const EnsureRequest &request, auto done) {
    EXPECT_EQ(request.model, ModelName("draft"));
    done({.outcome = EnsureOutcome::Loading, .estimate = 1s});
    env.after(50ms, [this] { setTable(1); });
  };
  EXPECT_EQ(send(completionRequest(true)).body(), allEvents(EventCount));
}

// Guards against running an invalid request, and against a rejection without a clear status and
// outcome.
TEST_F(GatewayTest, BadInputIsRefusedAsNotRun) {
  struct Case {
    HttpRequest request;
    unsigned status;
  };
  auto withHeader = [](HttpRequest request, const char *name, const char *value) {
    request.set(name, value);
    return request;
  };
  std::vector<Case> cases{
      {post("/v1/completions", "{"), 400},
      {post("/v1/completions", "[]"), 400},
      {post("/v1/completions", R"({"prompt":"p"})"), 400},
      {post("/v1/completions", R"({"model":7,"prompt":"p"})"), 400},
      {post("/v1/completions", R"({"model":"draft"})"), 400},
      {post("/v1/completions", R"({"model":"draft","prompt":"p","stream":1})"), 400},
      {post("/v1/chat/completions", R"({"model":"draft","messages":[1]})"), 400},
      {post("/v1/completions", R"({"model":"none","prompt":"p"})"), 404},
      {post("/v1/completions", R"({"model":"other","prompt":"p"})"), 403},
      {withHeader(completionRequest(false), "X-Deadline-Ms", "soon"), 400},
      {withHeader(completionRequest(false), "X-Deadline-Ms", "120001"), 400},
      {withHeader(completionRequest(false), "Authorization", "Bearer wrong"), 401},
      {withHeader(completionRequest(false), "Authorization", "Basic key-a"), 401},
      {makeRequest(http::verb::get, "/v1/completions"), 405},
      {post("/v1/nothing", "{}"), 404},
      {post("/v1/services/none/x", "{}"), 404},
      {post("/v1/services/deliveries/confirm", "{}"), 400},
  };
  for (auto &it : cases) {
    auto what = std::string(it.request.target()) + " " + it.request.body();
    auto answer = send(std::move(it.request));
    EXPECT_EQ(answer.result_int(), it.status) << what;
    EXPECT_EQ(outcome(answer), "not_run") << what;
  }
  EXPECT_EQ(endpointAttempts, 0);
  EXPECT_EQ(serviceRuns, 0);
}

// Guards against a stopping host that accepts requests or still reports itself as ready.
TEST_F(GatewayTest, StoppingHostRefusesNewWork) {
  EXPECT_EQ(send(makeRequest(http::verb::get, "/readyz")).result_int(), 200U);
  gateway.beginStop();
  EXPECT_EQ(send(makeRequest(http::verb::get, "/readyz")).result_int(), 503U);
  auto answer = send(completionRequest(false));
  EXPECT_EQ(answer.result_int(), 503U);
  EXPECT_EQ(outcome(answer), "not_run");
}

} // namespace
} // namespace catkin
