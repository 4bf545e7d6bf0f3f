#include "request_explainer_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

std::string makeLogLine(const std::string &second, const std::string &host,
                        const std::string &rest) {
  return R"({"time":"2026-01-26T12:42:)" + second + R"(Z","level":"info","host":")" + host +
         R"(","message":)" + rest + "}";
}

std::string explainLines(const std::vector<std::string> &lines) {
  RequestExplainer explainer("r1");
  for (auto &it : lines)
    explainer.add(it);
  return explainer.explain();
}

bool contains(const std::string &text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Each test guards against an explanation of a failed request that differs from the cause that the
// steps in docs/OPERATIONS.md lead to.

TEST(RequestExplainerTest, RefusedWhileNobodyPlanned) {
  const auto out = explainLines(
      {makeLogLine("10.000", "b", R"("planner lease acquired","term":1)"),
       makeLogLine("16.500", "b", R"("planner lease lost")"),
       makeLogLine(
           "20.000", "a",
           R"("request","request":"r1","model":"m1","sends":0,"took_ms":6000,"waited_ms":5999,)"
           R"("status":503,"outcome":"no endpoint holds the model in time")")});
  EXPECT_TRUE(contains(out, "no order for m1: b lost the planner's lease")) << out;
}

TEST(RequestExplainerTest, RefusedDuringALoadFromTheWeightStore) {
  const auto out = explainLines(
      {makeLogLine("15.000", "b",
                   R"("order","endpoint":"e1","action":"load","model":"m1","remote":true)"),
       makeLogLine("20.000", "a",
                   R"("request","request":"r1","model":"m1","took_ms":6000,"status":503,)"
                   R"("outcome":"no endpoint holds the model in time")")});
  EXPECT_TRUE(contains(out, "from b and was not complete in time; it came from the weight store"))
      << out;
}

TEST(RequestExplainerTest, RefusedOverTheLimitOfAnEndpoint) {
  const auto out = explainLines(
      {makeLogLine("18.000", "a",
                   R"("endpoint names a request limit","endpoint":"e1","per_second":0.5)"),
       makeLogLine("20.000", "a",
                   R"("request","request":"r1","sends":0,"status":503,)"
                   R"("outcome":"the request limit of the endpoints is used up")")});
  EXPECT_TRUE(contains(out, "e1 named a limit of 0.5 requests a second")) << out;
}

TEST(RequestExplainerTest, RefusedForAPartInQuarantine) {
  const auto out = explainLines(
      {makeLogLine(
           "18.000", "a",
           R"("request trait in quarantine, engines crash on it","trait":"5c","kind":"prompt_part","crashes":3)"),
       makeLogLine("20.000", "a",
                   R"("request","request":"r1","sends":0,"status":503,"quarantined_trait":"5c",)"
                   R"("outcome":"engines crash on this request")")});
  EXPECT_TRUE(contains(out, "3 engines crashed on requests with prompt_part 5c")) << out;
}

TEST(RequestExplainerTest, RefusedForAStreamOfUnknownVersion) {
  const auto explainSource = [](const std::string &fields) {
    return explainLines(
        {makeLogLine("19.990", "a",
                     R"("stream taken up","request":"r1","asked":3,"answered":2,)" + fields),
         makeLogLine("20.000", "a",
                     R"("request","request":"r1","sends":0,"status":503,)"
                     R"("outcome":"it is not known which version began the stream")")});
  };
  const auto unanswered = explainSource(R"("first_request":"r0","source":"no_answer")");
  EXPECT_TRUE(contains(unanswered, "2 of 3 hosts that were asked answered")) << unanswered;
  const auto doubtful = explainSource(R"("first_request":"r0","source":"doubtful")");
  EXPECT_TRUE(contains(doubtful, "may have been of another version")) << doubtful;
  const auto unnamed = explainSource(R"("first_request":"","source":"unknown")");
  EXPECT_TRUE(contains(unnamed, "named no request")) << unnamed;
}

TEST(RequestExplainerTest, RefusedWithoutAnEndpointOfTheVersion) {
  const auto out = explainLines(
      {makeLogLine("19.900", "a",
                   R"("stream taken up","request":"r1","first_request":"r0","source":"other_host",)"
                   R"("version":"v1","age_ms":700)"),
       makeLogLine("19.950", "a",
                   R"("endpoint does not confirm its incarnation","request":"r1","endpoint":"e1")"),
       makeLogLine("20.000", "a",
                   R"("request","request":"r1","sends":0,"status":503,"took_ms":100,)"
                   R"("outcome":"no endpoint of the stream's version takes it in time")")});
  EXPECT_TRUE(contains(out, "began at version v1 (other_host, 700 ms old)")) << out;
  EXPECT_TRUE(contains(out, "e1 did not confirm")) << out;
}

TEST(RequestExplainerTest, FailedWithAnEndpointAtFault) {
  const std::string end = makeLogLine(
      "20.000", "a",
      R"("request","request":"r1","sends":1,"status":502,"outcome":"the endpoint failed")");
  const std::string own = makeLogLine(
      "19.999", "a", R"("attempt failed","request":"r1","endpoint":"e1","failure":"broken")");
  EXPECT_TRUE(contains(explainLines({own, end}), "one answer of e1 was lost (broken)"));
  const auto out = explainLines(
      {own, end,
       makeLogLine("19.500", "c",
                   R"("attempt failed","request":"r2","endpoint":"e1","failure":"broken")"),
       makeLogLine("5.000", "c",
                   R"("attempt failed","request":"r3","endpoint":"e1","failure":"broken")")});
  EXPECT_TRUE(contains(out, "e1 or its link was at fault: 1 other attempts")) << out;
}

TEST(RequestExplainerTest, CutBecauseTheEndpointWentAway) {
  const auto out = explainLines(
      {makeLogLine(
           "20.000", "a",
           R"("attempt failed","request":"r1","endpoint":"e1","failure":"broken","events":55)"),
       makeLogLine("20.001", "a",
                   R"("request","request":"r1","status":200,"outcome":"stream_cut")"),
       makeLogLine("20.900", "c", R"("endpoint gone","endpoint":"e1")")});
  EXPECT_TRUE(
      contains(out, "e1 was gone at 2026-01-26T12:42:20.900Z, and its running requests were lost"))
      << out;
}

TEST(RequestExplainerTest, UnknownRouteAtAHostThatIsBehind) {
  const auto out = explainLines(
      {makeLogLine("10.000", "b", R"("configuration applied","version":8)"),
       makeLogLine(
           "20.000", "a",
           R"("request","request":"r1","config":5,"status":404,"outcome":"no route matches")")});
  EXPECT_TRUE(contains(out, "the host had version 5 in force; b had put version 8")) << out;
  EXPECT_TRUE(contains(out, "too long before")) << out;
}

TEST(RequestExplainerTest, OtherTextIsPassedOver) {
  EXPECT_EQ(
      explainLines({"", "{", "no log", makeLogLine("10.000", "a", R"("request","request":"r2")")}),
      "");
  EXPECT_TRUE(parseLogRecord("  1.5 a " + makeLogLine("10.000", "a", R"("started")")));
}

} // namespace
} // namespace catkin
