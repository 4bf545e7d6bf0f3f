#include "load_generator_p.h"
#include "model_text_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include <set>

namespace catkin {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

LoadItem makeCompletion() {
  LoadItem item;
  item.model = "m";
  item.prompt = "p";
  item.maxTokens = 3;
  return item;
}

std::string event(const std::string &text) {
  return R"(data: {"choices":[{"text":")" + text + "\"}]}\n\n";
}
std::string events(unsigned from, unsigned to) {
  std::string text;
  for (unsigned i = from; i <= to; ++i)
    text += event(eventText("m", "p", i));
  return text;
}

LoadOutcome checkStream(const std::string &stream) {
  const auto item = makeCompletion();
  StreamChecker checker(item);
  for (const char c : stream) // the result must not depend on how the stream is split into reads
    checker.feed({&c, 1});
  return checker.outcome();
}

// Guards against plans that are not reproducible, and against repeats with a different key.
TEST(LoadPlan, IsAFunctionOfTheSeed) {
  LoadOptions options{.rate = 100, .duration = 20s, .seed = 4};
  const std::vector<std::string> models{"a", "b", "c"};
  const auto plan = planLoad(options, models);
  const auto same = planLoad(options, models);
  ASSERT_EQ(plan.size(), same.size());
  EXPECT_NEAR(static_cast<double>(plan.size()), 2000, 400);
  std::array<int, 3> kinds{};
  std::set<std::string> keys;
  for (std::size_t i = 0; i < plan.size(); ++i) {
    EXPECT_EQ(plan[i].at, same[i].at);
    EXPECT_EQ(plan[i].prompt, same[i].prompt);
    ++kinds[static_cast<std::size_t>(plan[i].kind)];
    if (plan[i].kind != LoadKind::Confirm)
      continue;
    EXPECT_TRUE(keys.insert(plan[i].key).second);
    EXPECT_GE(plan[i].repeatAt, plan[i].at);
  }
  EXPECT_GT(*std::min_element(kinds.begin(), kinds.end()), 0);
  options.seed = 5;
  EXPECT_NE(planLoad(options, models).front().at, plan.front().at);
}

// Guards against a checker that accepts a gap, a duplicate, a truncation or the answer to another
// request.
TEST(StreamChecker, TellsWholeFromCutAndWrong) {
  const std::string done = "data: [DONE]\n\n";
  EXPECT_EQ(checkStream(events(1, 3) + done), LoadOutcome::Whole);
  EXPECT_EQ(checkStream(events(1, 2)), LoadOutcome::Cut);
  EXPECT_EQ(checkStream(events(1, 3)), LoadOutcome::Cut);
  EXPECT_EQ(checkStream(events(1, 2) + "event: error\ndata: {\"outcome\":\"ran\"}\n\n"),
            LoadOutcome::Cut);
  EXPECT_EQ(checkStream(events(1, 2) + done), LoadOutcome::Wrong);
  EXPECT_EQ(checkStream(events(1, 1) + events(3, 3) + done), LoadOutcome::Wrong);
  EXPECT_EQ(checkStream(events(1, 2) + events(2, 3) + done), LoadOutcome::Wrong);
  EXPECT_EQ(checkStream(events(1, 3) + done + events(1, 1)), LoadOutcome::Wrong);
  EXPECT_EQ(checkStream(event(eventText("m", "q", 1))), LoadOutcome::Wrong);
  EXPECT_EQ(checkStream("data: {broken\n\n"), LoadOutcome::Wrong);
}

HttpResponse makeResponse(unsigned status, const std::string &body) {
  HttpResponse response(static_cast<http::status>(status), 11);
  response.body() = body;
  return response;
}

// Guards against checks that accept refusals without an outcome, swapped answers or second runs.
TEST(LoadChecks, RejectWrongResponses) {
  auto item = makeCompletion();
  const auto whole = [](const std::string &text) {
    return makeResponse(200, R"({"choices":[{"text":")" + text + "\"}]}");
  };
  EXPECT_EQ(checkResponse(item, whole(answerText("m", "p", 3))).outcome, LoadOutcome::Whole);
  EXPECT_EQ(checkResponse(item, whole(answerText("m", "p", 2))).outcome, LoadOutcome::Wrong);
  EXPECT_EQ(checkResponse(item, whole(answerText("n", "p", 3))).outcome, LoadOutcome::Wrong);
  EXPECT_EQ(checkResponse(item, makeResponse(503, R"({"outcome":"not_run"})")).outcome,
            LoadOutcome::NotRun);
  EXPECT_EQ(checkResponse(item, makeResponse(500, "{}")).outcome, LoadOutcome::Wrong);
  EXPECT_EQ(checkResponse(item, makeResponse(200, "text")).outcome, LoadOutcome::Wrong);

  item.kind = LoadKind::Confirm;
  item.path = "delivery/confirmations/1";
  item.body = "b";
  const auto run = [&](const std::string &path, const std::string &body, int n) {
    return checkResponse(item, makeResponse(200, R"({"path":")" + path + R"(","body":")" +
                                                     textHash(body) + R"(","run":)" +
                                                     std::to_string(n) + "}"));
  };
  EXPECT_EQ(run("/confirmations/1", "b", 1).outcome, LoadOutcome::Whole);
  EXPECT_EQ(run("/confirmations/2", "b", 1).outcome, LoadOutcome::Wrong);
  EXPECT_EQ(run("/confirmations/1", "c", 1).outcome, LoadOutcome::Wrong);

  LoadReport report;
  report.add(item, run("/confirmations/1", "b", 1));
  EXPECT_TRUE(report.failures(false).empty());
  report.add(item, run("/confirmations/1", "b", 2));
  EXPECT_EQ(report.failures(false).size(), 1U);
  report.add(item, {.outcome = LoadOutcome::Unanswered});
  EXPECT_EQ(report.failures(false).size(), 2U);
  EXPECT_EQ(report.failures(true).size(), 1U);
  EXPECT_FALSE(json::parse(report.toJson({})).at("ok").as_bool());
}

// Guards against quantiles with an error of more than one bucket.
TEST(LatencyHistogram, Quantiles) {
  LatencyHistogram histogram;
  EXPECT_EQ(histogram.quantileMs(0.5), 0);
  for (int ms = 1; ms <= 1000; ++ms)
    histogram.add(ms * 1ms);
  EXPECT_NEAR(histogram.quantileMs(0.5), 500, 25);
  EXPECT_NEAR(histogram.quantileMs(0.99), 990, 50);
}

/// Runs the generator against two fake hosts. addresses() returns the addresses of both.
class LoadRun : public testing::Test {
protected:
  ~LoadRun() override { context.stop(); }

  void start(const HttpHandler &handler) {
    for (auto &it : hosts) {
      it = std::make_unique<HttpServer>(context.get_executor(),
                                        HttpServerOptions{.listen = {"127.0.0.1", 0}}, handler);
      ASSERT_EQ(it->start(), "");
    }
  }

  std::string addresses() {
    ++addressRequests;
    return R"({"addresses":[")" + hosts[0]->address().toString() + R"(",")" +
           hosts[1]->address().toString() + R"("],"max_age_s":0.05})";
  }

  LoadReport run(std::vector<std::string> models) {
    LoadOptions options{.initialHosts = {hosts[0]->address()},
                        .rate = 200,
                        .duration = 500ms,
                        .models = std::move(models)};
    LoadGenerator generator(context.get_executor(), options);
    LoadReport report;
    std::string error;
    asio::co_spawn(context, generator.run(report, error),
                   [&](const std::exception_ptr &) { context.stop(); });
    context.run();
    EXPECT_EQ(error, "");
    return report;
  }

  asio::io_context context;
  std::array<std::unique_ptr<HttpServer>, 2> hosts;
  int addressRequests = 0;
};

std::string streamFor(const std::string &prompt, const CompletionRequest &request) {
  std::string text;
  for (unsigned i = 1; i <= request.maxTokens; ++i) {
    const auto content = eventText(request.model, prompt, i);
    text += request.chat ? R"(data: {"choices":[{"delta":{"content":")" + content + "\"}}]}\n\n"
                         : event(content);
  }
  return text + "data: [DONE]\n\n";
}

// Guards against a generator that uses one host only, does not refresh its addresses or does not
// detect swapped answers.
TEST_F(LoadRun, SpreadsAsksAgainAndDetectsCrossedAnswers) {
  std::array<int, 2> served{};
  bool crossAnswers = false;
  std::string lastPrompt;
  start([&](HttpExchange &exchange) -> asio::awaitable<void> {
    const auto &request = exchange.request();
    const std::string target(request.target());
    HttpResponse response = problemResponse(404, RunOutcome::NotRun, "not served here");
    std::string error;
    if (target == "/v1/addresses") {
      response = jsonResponse(addresses());
    } else if (target.find("completions") != std::string::npos) {
      const auto parsed =
          parseCompletion(request.body(), target.find("chat") != std::string::npos, error);
      const auto port = hosts[1]->address().toString();
      ++served[request[http::field::host] == port ? 1 : 0];
      response = jsonResponse(streamFor(crossAnswers ? lastPrompt : parsed->prompt, *parsed));
      lastPrompt = parsed->prompt;
    }
    co_await exchange.respond(std::move(response));
  });
  const auto good = run({"a", "b"});
  EXPECT_TRUE(good.failures(false).empty());
  EXPECT_GT(good.count(LoadKind::Completion, LoadOutcome::Whole), 0U);
  EXPECT_GT(good.count(LoadKind::LookUp, LoadOutcome::NotRun), 0U);
  EXPECT_GT(served[0], 0);
  EXPECT_GT(served[1], 0);
  EXPECT_GT(addressRequests, 1);
  crossAnswers = true;
  context.restart();
  EXPECT_GT(run({"a", "b"}).count(LoadKind::Completion, LoadOutcome::Wrong), 0U);
}

} // namespace
} // namespace catkin
