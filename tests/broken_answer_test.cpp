#include "platform_gateway_fixture_p.h"

#include <gmock/gmock.h>

/// Tests of the gateway before endpoints that fail in the middle of an answer: what has reached the
/// caller is not joined with an error and does not look complete.
namespace catkin::platform::gateway_test {
namespace {

const std::string FirstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string RawHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n";

std::string rawAnswer(const std::string &status, const std::string &fields,
                      const std::string &body) {
  return "HTTP/1.1 " + status + "\r\nRequest-Id: id1\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class BrokenAnswer : public PlatformGatewayTest {
protected:
  /// Lets the endpoints break a stream after its second event, and answer with `resumed` when it is
  /// resumed.
  HttpResult callBrokenStream(const std::string &resumed) {
    const std::string begun = "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\n"
                              "Content-Type: text/event-stream\r\nContent-Length: 90\r\n\r\n" +
                              FirstEvents;
    for (std::size_t i = 0; i < endpoints.size(); ++i)
      answerRaw(i, begun, resumed);
    return call(makeCall("/resume/x"));
  }
};

// Guards against the answer of the endpoint that is to go on with a stream inside that stream.
TEST_F(BrokenAnswer, ErrorOfTheNextEndpointIsPartOfTheStream) {
  const std::string stamp = "Server-Stamp: s\r\n";
  const std::string text = "engine failed";
  const std::string framedText = "error: engine failed\n\n";
  for (const std::string &resumed : {
           rawAnswer("500 X", stamp, text),
           rawAnswer("500 X", "", framedText),
           rawAnswer("503 X", "Not-Run: 1\r\n", text),
           rawAnswer("503 X", stamp, framedText),
           rawAnswer("421 X", "", text),
           rawAnswer("404 X", stamp, framedText),
           rawAnswer("400 X", stamp, framedText),
           rawAnswer("204 X", stamp, ""),
           rawAnswer("302 X", stamp, framedText),
           rawAnswer("200 OK", stamp + "Content-Type: application/json\r\n", text),
           rawAnswer("200 OK", stamp + "Content-Type: application/json\r\n", framedText),
           rawAnswer("200 OK", stamp + "Content-Type: text/plain\r\n", ""),
           rawAnswer("200 OK", "", framedText),
           std::string("HTTP/1.1 500 X\r\nRequest-Id: id1\r\n")
               .append(stamp)
               .append("\r\n")
               .append(framedText),
           std::string("HTTP/1.1 500 X\r\nRequest-Id: id1\r\n"),
           std::string("engine failed\n\n"),
       }) {
    const auto result = callBrokenStream(resumed);
    EXPECT_EQ(result.response.body(), FirstEvents) << resumed;
    EXPECT_NE(result.status, HttpTransferStatus::Ok) << resumed;
  }
}

// Guards against the failure of an earlier endpoint at the end of a stream that a later one began.
TEST_F(BrokenAnswer, ErrorBeforeTheStreamIsPartOfIt) {
  bool hasFailed = false;
  const auto failing = makeAnswerHandler(500, "failed");
  const auto broken = makeStreamHandler(FirstEvents, false);
  for (auto &it : endpoints)
    it.handler = [&](HttpExchange &exchange) {
      return std::exchange(hasFailed, true) ? broken(exchange) : failing(exchange);
    };
  const auto result = call(makeCall("/resume/x"));
  EXPECT_EQ(result.response.result_int(), 200U);
  EXPECT_EQ(result.response.body(), FirstEvents);
  EXPECT_NE(result.status, HttpTransferStatus::Ok);
}

// Guards against an answer that looks whole though its connection has ended inside its head.
TEST_F(BrokenAnswer, AnswerThatEndsInsideItsHeadIsWhole) {
  for (const std::string &head :
       {RawHead, RawStreamHead,
        std::string("HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"),
        std::string("HTTP/1.0 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\n\r\n")})
    for (std::size_t n = 0; n < head.size(); ++n) {
      rawServers.clear();
      for (std::size_t i = 0; i < endpoints.size(); ++i)
        answerRaw(i, head.substr(0, n), head.substr(0, n));
      for (auto *path : {"/safe/x", "/unsafe/x", "/once/x", "/resume/x"})
        ASSERT_EQ(call(makeCall(path)).response.result_int(), 502U)
            << path << " " << head.substr(0, n);
    }
}

// Guards against an answer that looks whole though its connection has ended inside its body.
TEST_F(BrokenAnswer, AnswerThatEndsInsideItsBodyIsWhole) {
  const std::string chunked = "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &answer : {RawHead, RawHead + "don", chunked, chunked + "4\r\ndo",
                                    chunked + "4\r\ndone\r\n", chunked + "4\r\ndone\r\n0\r\n"}) {
    for (std::size_t i = 0; i < endpoints.size(); ++i)
      answerRaw(i, answer, answer);
    for (auto *path : {"/safe/x", "/unsafe/x", "/once/x", "/resume/x"})
      EXPECT_EQ(call(makeCall(path)).response.result_int(), 502U) << path << " " << answer;
  }
}

} // namespace
} // namespace catkin::platform::gateway_test
