#include "engine_p.h"
#include "platform_p.h"
#include "service_p.h"
#include "weights_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace catkin::standin {
namespace {

using namespace std::chrono_literals;

constexpr auto WatchdogTime = 60s; // ends a test that hangs
constexpr std::uint64_t GB = 1'000'000'000;

Instant at(Duration d) { return Instant(1h) + d; }

EngineOrder makeOrder(OrderKind kind, std::string model, std::uint64_t gigabytes = 1,
                      std::uint64_t term = 1, std::string base = {}) {
  return {.kind = kind,
          .term = term,
          .orderId = "o",
          .model = ModelName(std::move(model)),
          .base = ModelName(std::move(base)),
          .bytes = gigabytes * GB};
}

// ---- Logic without sockets ----------------------------------------------------------------------

// Guards against a store that hides lost updates of the code under test.
TEST(ObjectStore, UpdatesAreConditionalAndVersionsNeverRepeat) {
  ObjectStore store;
  const auto first = store.put("k", "a", 0);
  EXPECT_EQ(first.first, StoreStatus::Ok);
  EXPECT_EQ(store.put("k", "b", 0), std::pair(StoreStatus::Conflict, first.second));
  EXPECT_EQ(store.put("k", "b", first.second + 1).first, StoreStatus::Conflict);
  EXPECT_EQ(store.get("k")->value, "a");
  EXPECT_EQ(store.erase("k", first.second).first, StoreStatus::Ok);
  EXPECT_GT(store.put("k", "c", 0).second, first.second);
  EXPECT_EQ(store.put("big", std::string(ObjectStore::MaxValueBytes + 1, 'x'), 0).first,
            StoreStatus::Refused);
}

// Guards against a call budget that does not limit a busy fleet.
TEST(CallBudget, LimitsTheRate) {
  CallBudget budget(400);
  int taken = 0;
  for (int ms = 0; ms < 5000; ++ms)
    taken += budget.tryConsume(at(ms * 1ms)) ? 1 : 0;
  EXPECT_LE(taken, 400 * 6);
  EXPECT_GE(taken, 400 * 5);
}

// Guards against a weight store that is faster than a real one during many concurrent loads.
TEST(TransferPool, SharesSpeedBeyondItsSlots) {
  TransferPool pool(4);
  for (int i = 0; i < 8; ++i)
    pool.add(1s, at(0s));
  EXPECT_TRUE(pool.advance(at(1900ms)).empty());
  EXPECT_EQ(pool.advance(at(2001ms)).size(), 8U);
  EXPECT_EQ(pool.highestInFlight(), 8U);
  for (int i = 0; i < 4; ++i)
    pool.add(1s, at(3s));
  EXPECT_EQ(pool.advance(at(4001ms)).size(), 4U);
  pool.setSlowdown(10, at(5s));
  pool.add(1s, at(5s));
  EXPECT_TRUE(pool.advance(at(14900ms)).empty());
  EXPECT_EQ(pool.advance(at(15001ms)).size(), 1U);
}

// Guards against reports that are less delayed than those of real engines.
TEST(Lagged, ShowsOldValues) {
  Lagged<int> value(500ms, 1);
  value.set(at(0s), 2);
  EXPECT_EQ(value.read(at(499ms)), 1);
  value.set(at(400ms), 3);
  EXPECT_EQ(value.read(at(500ms)), 2);
  EXPECT_EQ(value.read(at(900ms)), 3);
}

// Guards against an engine that hides overcommitted memory.
TEST(EngineMemory, RefusesOrCountsWhatDoesNotFit) {
  EngineMemory strict({.memoryBytes = 10 * GB});
  EXPECT_EQ(strict.apply(makeOrder(OrderKind::Load, "a", 6)).status, OrderStatus::Ok);
  EXPECT_EQ(strict.apply(makeOrder(OrderKind::Load, "a", 6)).loadId, 0U); // idempotent
  EXPECT_EQ(strict.apply(makeOrder(OrderKind::Load, "b", 5)).status, OrderStatus::NoMemory);
  EXPECT_EQ(strict.faults.overcommits, 0U);
  EngineMemory unchecked({.memoryBytes = 10 * GB, .checksMemory = false});
  unchecked.apply(makeOrder(OrderKind::Load, "a", 6));
  EXPECT_EQ(unchecked.apply(makeOrder(OrderKind::Load, "b", 5)).status, OrderStatus::Ok);
  EXPECT_EQ(unchecked.faults.overcommits, 1U);
}

// Guards against an engine that checks fencing but applies the orders of a former planner.
TEST(EngineMemory, FencingRefusesOldTermsOnlyWhereChecked) {
  EngineMemory fenced({.checksFencing = true});
  EXPECT_EQ(fenced.apply(makeOrder(OrderKind::Claim, "", 0, 5)).status, OrderStatus::Ok);
  EXPECT_EQ(fenced.apply(makeOrder(OrderKind::Load, "a", 1, 4)).status, OrderStatus::StaleTerm);
  EXPECT_FALSE(fenced.isPresent(ModelName("a")));
  EngineMemory open({.checksFencing = false});
  open.apply(makeOrder(OrderKind::Claim, "", 0, 5));
  EXPECT_EQ(open.apply(makeOrder(OrderKind::Load, "a", 1, 4)).status, OrderStatus::Ok);
}

// Guards against an unload or a change of role that aborts a request in progress.
TEST(EngineMemory, RefusesUnloadWhileBusy) {
  EngineMemory memory({});
  const auto base = memory.apply(makeOrder(OrderKind::Load, "base"));
  const auto adapter = memory.apply(makeOrder(OrderKind::Load, "adapter", 0, 1, "base"));
  EXPECT_EQ(memory.apply(makeOrder(OrderKind::Load, "x", 0, 1, "none")).status,
            OrderStatus::NotFound);
  EXPECT_FALSE(memory.beginRequest(ModelName("base"))); // still loading
  memory.finishLoad(ModelName("base"), base.loadId);
  memory.finishLoad(ModelName("adapter"), adapter.loadId);
  ASSERT_TRUE(memory.beginRequest(ModelName("adapter")));
  EXPECT_EQ(memory.apply(makeOrder(OrderKind::Unload, "base")).status, OrderStatus::Busy);
  EXPECT_EQ(memory.changeRole(1, EngineRole::Prefill), OrderStatus::Busy);
  memory.endRequest(ModelName("adapter"));
  EXPECT_EQ(memory.apply(makeOrder(OrderKind::Unload, "base")).status, OrderStatus::Ok);
  EXPECT_FALSE(memory.isPresent(ModelName("adapter")));
  EXPECT_EQ(memory.apply(makeOrder(OrderKind::Unload, "base")).status, OrderStatus::NotFound);
  EXPECT_EQ(memory.copySource(ModelName("base")), CopySource::Memory);
}

// Guards against cache events without delay or gaps: those of real engines have both.
TEST(PrefixCache, EventsAreLateAndHaveGaps) {
  PrefixCache cache({.entries = 50, .eventLag = 1s, .eventGap = 0.2, .seed = 7});
  for (std::uint64_t i = 0; i < 100; ++i)
    cache.store(ModelName("m"), i, at(0s));
  EXPECT_TRUE(cache.events(0, at(999ms)).empty());
  const auto events = cache.events(0, at(1s));
  EXPECT_GT(events.size(), 75U);
  EXPECT_LT(events.size(), 150U); // 100 store and 50 eviction events were numbered
  EXPECT_FALSE(cache.touch(ModelName("m"), 0));
  EXPECT_TRUE(cache.touch(ModelName("m"), 99));
}

// ---- Over HTTP ----------------------------------------------------------------------------------

class StandinTest : public testing::Test {
protected:
  ~StandinTest() override {
    context.stop();
    thread.join();
  }

  template <class S, class Options> Address start(Options options) {
    auto standin = std::make_unique<S>(context.get_executor(), std::move(options));
    EXPECT_EQ(standin->start(), "");
    standins.push_back(std::move(standin));
    return standins.back()->address();
  }

  using Headers = std::vector<std::pair<std::string, std::string>>;

  static HttpRequest makeRequest(http::verb verb, std::string_view target, std::string body,
                                 const Headers &headers) {
    HttpRequest request(verb, target, 11);
    for (const auto &it : headers)
      request.set(it.first, it.second);
    request.body() = std::move(body);
    return request;
  }

  std::future<HttpResult> send(const Address &to, HttpRequest request, HttpTimeouts timeouts) {
    return asio::co_spawn(context, client.request(to, std::move(request), timeouts),
                          asio::use_future);
  }

  HttpResult call(const Address &to, http::verb verb, std::string_view target,
                  std::string body = {}, const Headers &headers = {},
                  HttpTimeouts timeouts = {.silence = WatchdogTime, .total = WatchdogTime}) {
    return send(to, makeRequest(verb, target, std::move(body), headers), timeouts).get();
  }

  json::object get(const Address &to, std::string_view target) {
    return json::parse(call(to, http::verb::get, target).response.body()).as_object();
  }

  unsigned post(const Address &to, std::string_view target, std::string body) {
    return call(to, http::verb::post, target, std::move(body)).response.result_int();
  }

  /// Polls a JSON document until the value at `pointer` equals `expected`.
  void waitForValue(const Address &to, std::string_view target, std::string_view pointer,
                    const json::value &expected) {
    const auto end = std::chrono::steady_clock::now() + WatchdogTime;
    while (json::value(get(to, target)).at_pointer(pointer) != expected) {
      ASSERT_LT(std::chrono::steady_clock::now(), end) << target << pointer;
      std::this_thread::sleep_for(2ms);
    }
  }

  std::unique_ptr<HttpStream> openLongStream(const Address &engine) {
    auto request = makeRequest(http::verb::post, "/v1/completions",
                               R"({"model":"m","prompt":"p","max_tokens":8192,"stream":true})", {});
    return asio::co_spawn(context, client.open(engine, std::move(request), {}), asio::use_future)
        .get();
  }

  /// Destroys a stream on the thread of the io_context, which closes its connection.
  void closeStream(std::unique_ptr<HttpStream> stream) {
    std::promise<void> dropped;
    asio::post(context, [&] {
      stream.reset();
      dropped.set_value();
    });
    dropped.get_future().wait();
  }

  void loadModel(const Address &engine, const std::string &model) {
    const auto body = R"({"kind":"load","term":1,"model":")" + model + R"(","bytes":1000})";
    ASSERT_EQ(post(engine, "/engine/orders", body), 200U);
    waitForValue(engine, "/engine/status", "/models/0/ready", true);
  }

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
  HttpClient client{context.get_executor()};
  std::vector<std::unique_ptr<Standin>> standins;
  std::thread thread{[this] { context.run(); }};
};

EngineOptions fastEngine() {
  EngineOptions options;
  options.batch.tokenTime = 1ms;
  options.loadOverhead = 0ms;
  options.reportLag = 0ms;
  return options;
}

constexpr std::string_view Completion = R"({"model":"m","prompt":"p","max_tokens":5})";
constexpr std::string_view LongCompletion =
    R"({"model":"m","prompt":"p","max_tokens":8192,"stream":true})";

// Guards against watches that miss a write, and against unconditional writes.
TEST_F(StandinTest, PlatformWatchesAndConditionalWrites) {
  const auto platform = start<PlatformStandin>(PlatformOptions{});
  EXPECT_EQ(call(platform, http::verb::put, "/objects/a/b", "v").response.result_int(), 428U);
  EXPECT_EQ(call(platform, http::verb::get, "/objects/a/b?after=0&wait_ms=1").response.result_int(),
            304U);
  auto watch =
      send(platform, makeRequest(http::verb::get, "/objects/a/b?after=0&wait_ms=60000", "", {}),
           {.silence = WatchdogTime, .total = WatchdogTime});
  waitForValue(platform, "/control/stats", "/waiting_watches", 1);
  const auto created =
      call(platform, http::verb::put, "/objects/a/b", "v\n", {{"If-None-Match", "*"}});
  EXPECT_EQ(created.response.result_int(), 200U);
  EXPECT_EQ(json::parse(watch.get().response.body()).at("value"), json::value("v\n"));
  EXPECT_EQ(call(platform, http::verb::put, "/objects/a/b", "w", {{"If-Match", "\"77\""}})
                .response.result_int(),
            412U);
  EXPECT_EQ(get(platform, "/objects?prefix=a/").at("items").as_array().size(), 1U);
  const auto unknown = call(platform, http::verb::get, "/nope").response;
  EXPECT_EQ(unknown.result_int(), 404U);
  EXPECT_EQ(unknown[http::field::content_type], "application/problem+json");
}

// Guards against faults that are less severe than real ones: a write whose response is lost must
// still take effect.
TEST_F(StandinTest, PlatformFaults) {
  const auto platform =
      start<PlatformStandin>(PlatformOptions{.writesPerSecond = 2, .nodeLag = 1h});
  post(platform, "/control/faults", R"({"lose_replies":1,"seed":3})");
  EXPECT_EQ(call(platform, http::verb::put, "/objects/k", "v", {{"If-None-Match", "*"}}).status,
            HttpTransferStatus::Broken);
  EXPECT_EQ(get(platform, "/objects/k").at("value"), json::value("v"));
  post(platform, "/control/faults", R"({"lose_replies":0,"down":true})");
  EXPECT_EQ(call(platform, http::verb::get, "/objects/k").status, HttpTransferStatus::Broken);
  EXPECT_EQ(call(platform, http::verb::get, "/nodes").status, HttpTransferStatus::Broken);
  post(platform, "/control/faults", R"({"down":false})");
  bool refused = false;
  for (int i = 0; i < 100 && !refused; ++i)
    refused = call(platform, http::verb::delete_, "/objects/none", "", {{"If-Match", "\"1\""}})
                  .response.result_int() == 429;
  EXPECT_TRUE(refused);
  EXPECT_EQ(post(platform, "/control/faults", R"({"down":"yes"})"), 400U);
  const auto node = R"({"nodes":[{"kind":"engine","name":"e","address":"127.0.0.1:1"}]})";
  EXPECT_EQ(post(platform, "/control/nodes", node), 200U);
  EXPECT_TRUE(get(platform, "/nodes").at("nodes").as_array().empty());
}

// Guards against answers that a checker cannot distinguish from others, and against resume errors.
TEST_F(StandinTest, EngineLoadsFromTheStoreAndAnswersWhole) {
  const auto weights = start<WeightsStandin>(WeightsOptions{});
  auto options = fastEngine();
  options.weights = weights;
  const auto engine = start<EngineStandin>(options);
  EXPECT_EQ(post(engine, "/v1/completions", std::string(Completion)), 404U);
  loadModel(engine, "m");
  EXPECT_EQ(get(weights, "/status").at("loads"), json::value(1));
  const auto answer = call(engine, http::verb::post, "/v1/completions", std::string(Completion),
                           {{"X-Attempt-Id", "a1"}})
                          .response;
  EXPECT_EQ(answer["X-Attempt-Id"], "a1");
  EXPECT_EQ(json::parse(answer.body()).at("choices").at(0).at("text"),
            json::value(answerText("m", "p", 5)));
  const auto resumed =
      call(engine, http::verb::post, "/v1/completions",
           R"({"model":"m","prompt":"p","max_tokens":5,"stream":true})", {{"X-Resume-From", "3"}})
          .response.body();
  EXPECT_EQ(resumed.find(eventText("m", "p", 3)), std::string::npos);
  EXPECT_NE(resumed.find(eventText("m", "p", 4)), std::string::npos);
  EXPECT_TRUE(resumed.ends_with("data: [DONE]\n\n"));
}

// Guards against a cancelled stream that still occupies a slot in the batch.
TEST_F(StandinTest, EngineCancelsWhenTheConnectionCloses) {
  const auto engine = start<EngineStandin>(fastEngine());
  loadModel(engine, "m");
  auto stream = openLongStream(engine);
  waitForValue(engine, "/engine/status", "/running", 1);
  EXPECT_EQ(post(engine, "/engine/orders", R"({"kind":"unload","term":1,"model":"m"})"), 409U);
  closeStream(std::move(stream));
  waitForValue(engine, "/engine/status", "/running", 0);
  EXPECT_EQ(post(engine, "/engine/orders", R"({"kind":"unload","term":1,"model":"m"})"), 200U);
}

// Guards against a silence fault that also affects new connections, or that ends by itself.
TEST_F(StandinTest, EngineGoesSilentOnOpenConnectionsOnly) {
  const auto engine = start<EngineStandin>(fastEngine());
  loadModel(engine, "m");
  auto running = send(
      engine, makeRequest(http::verb::post, "/v1/completions", std::string(LongCompletion), {}),
      {.silence = 300ms, .total = WatchdogTime});
  waitForValue(engine, "/engine/status", "/running", 1);
  EXPECT_EQ(post(engine, "/control", R"({"silent":true})"), 200U);
  EXPECT_EQ(running.get().status, HttpTransferStatus::Silent);
  client.closeIdleConnections(engine);
  EXPECT_EQ(post(engine, "/v1/completions", std::string(Completion)), 200U);
}

// Guards against a leaving engine that accepts new requests or aborts running ones.
TEST_F(StandinTest, LeavingEngineFinishesButTakesNothingNew) {
  const auto engine = start<EngineStandin>(fastEngine());
  loadModel(engine, "m");
  auto running = send(engine,
                      makeRequest(http::verb::post, "/v1/completions",
                                  R"({"model":"m","prompt":"p","max_tokens":1000})", {}),
                      {.silence = WatchdogTime, .total = WatchdogTime});
  waitForValue(engine, "/engine/status", "/running", 1);
  post(engine, "/control", R"({"leaving":true})");
  const auto refused = call(engine, http::verb::post, "/v1/completions", std::string(Completion));
  EXPECT_EQ(refused.response.result_int(), 503U);
  EXPECT_NE(refused.response.body().find("not_run"), std::string::npos);
  EXPECT_EQ(running.get().response.result_int(), 200U);
  EXPECT_EQ(get(engine, "/engine/faults").at("requests_while_leaving"), json::value(1));
}

// Guards against ignored priorities and an unbounded queue.
TEST_F(StandinTest, EngineQueuesByPriorityUpToALimit) {
  auto options = fastEngine();
  options.batch.maxRunning = 1;
  options.batch.maxQueued = 2;
  const auto engine = start<EngineStandin>(options);
  loadModel(engine, "m");
  std::vector<std::string>
      answered; // accessed only on the context's thread until all futures are ready
  auto sendWithPriority = [&](std::string priority) -> asio::awaitable<unsigned> {
    auto request =
        makeRequest(http::verb::post, "/v1/completions",
                    R"({"model":"m","prompt":"p","max_tokens":1})", {{"X-Priority", priority}});
    const HttpTimeouts timeouts{.silence = WatchdogTime, .total = WatchdogTime};
    const auto result = co_await client.request(engine, std::move(request), timeouts);
    answered.push_back(priority);
    co_return result.response.result_int();
  };
  auto first = openLongStream(engine);
  waitForValue(engine, "/engine/status", "/running", 1);
  auto low = asio::co_spawn(context, sendWithPriority("low"), asio::use_future);
  waitForValue(engine, "/engine/status", "/queued", 1);
  auto high = asio::co_spawn(context, sendWithPriority("high"), asio::use_future);
  waitForValue(engine, "/engine/status", "/queued", 2);
  EXPECT_EQ(post(engine, "/v1/completions", std::string(Completion)), 503U);
  closeStream(std::move(first));
  EXPECT_EQ(high.get() + low.get(), 400U);
  EXPECT_EQ(answered, (std::vector<std::string>{"high", "low"}));
}

// Guards against importing a prefix that was never computed.
TEST_F(StandinTest, EngineExportsAndImportsPrefixes) {
  const auto from = start<EngineStandin>(fastEngine());
  const auto to = start<EngineStandin>(fastEngine());
  loadModel(from, "m");
  loadModel(to, "m");
  const std::string ask = R"({"model":"m","prompt":"p"})";
  EXPECT_EQ(post(from, "/engine/kv/export", ask), 404U);
  post(from, "/v1/completions", std::string(Completion));
  const auto blob = call(from, http::verb::post, "/engine/kv/export", ask).response;
  ASSERT_EQ(blob.result_int(), 200U);
  EXPECT_EQ(post(to, "/engine/kv/import", blob.body()), 200U);
  EXPECT_EQ(post(to, "/engine/kv/export", ask), 200U);
  EXPECT_EQ(post(to, "/engine/kv/import", R"({"model":"m","prefix_hash":"0","kv":"x"})"), 400U);
}

// Guards against run counts that omit a run whose answer was dropped.
TEST_F(StandinTest, ServiceCountsRunsWhoseAnswerIsDropped) {
  const auto service = start<ServiceStandin>(ServiceOptions{});
  const HttpTimeouts timeouts{.silence = WatchdogTime, .total = WatchdogTime};
  const auto answer = call(service, http::verb::post, "/rounds/7", "body",
                           {{"Idempotency-Key", "k"}, {"X-Attempt-Id", "a"}}, timeouts)
                          .response;
  EXPECT_EQ(answer["X-Attempt-Id"], "a");
  EXPECT_EQ(json::parse(answer.body()).at("body"), json::value(textHash("body")));
  EXPECT_EQ(post(service, "/control", R"({"drop_answers":1})"), 200U);
  EXPECT_EQ(call(service, http::verb::post, "/rounds/7", "body", {{"Idempotency-Key", "k"}}).status,
            HttpTransferStatus::Broken);
  EXPECT_EQ(get(service, "/control/runs").at("runs").at("k"), json::value(2));
}

} // namespace
} // namespace catkin::standin
