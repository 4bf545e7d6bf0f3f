#include "gateway_fixture_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace gateway_fixture;

constexpr int Requests = 20;

/// Gateway whose endpoint sends every fifth answer with the attempt id of another request.
class CrossedAnswers : public GatewayTest {
protected:
  explicit CrossedAnswers(Guards guards = {}) : GatewayTest(guards) {
    onEndpoint = [this](HttpExchange &ex) -> asio::awaitable<void> {
      // Every fifth answer belongs to another request: it is complete but has that request's id.
      if (++endpointAttempts % 5 != 0)
        co_return co_await streamFromResumePoint(ex);
      auto head = makeStreamHead(ex);
      head.set("X-Attempt-Id", "another");
      co_await ex.startStream(head);
      co_await ex.writeChunk("data: {\"choices\":[{\"index\":0,\"text\":\"not yours\"}]}\n\n");
      co_await ex.writeChunk("data: [DONE]\n\n");
      co_await ex.endStream();
    };
  }

  /// Returns the number of completions whose body is not the complete answer to their request.
  int countWrongAnswers() {
    int n = 0;
    for (int i = 0; i < Requests; ++i)
      n += send(completionRequest(true)).body() == allEvents(EventCount) ? 0 : 1;
    return n;
  }
};

class CrossedAnswersUnmatched : public CrossedAnswers {
protected:
  CrossedAnswersUnmatched() : CrossedAnswers({.matchAnswerId = false}) {}
};

// P4: guards against sending a caller the answer to another request.
TEST_F(CrossedAnswers, EachCallerGetsItsOwnWholeAnswer) { EXPECT_EQ(countWrongAnswers(), 0); }

// Guards against endpoint faults too mild to reveal that answers are no longer matched to requests.
TEST_F(CrossedAnswersUnmatched, RemovedGuardIsCaught) { EXPECT_GT(countWrongAnswers(), 0); }

} // namespace
} // namespace catkin
