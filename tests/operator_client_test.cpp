#include "operator_client_p.h"

#include <gtest/gtest.h>

#include <deque>

namespace catkin {
namespace {

/// Returns the prepared answers in order and records the requests. Further requests get a default
/// OperatorResponse.
struct ScriptedTransport {
  std::deque<OperatorResponse> answers;
  std::vector<OperatorRequest> requests;

  OperatorTransport transport() {
    return [this](const OperatorRequest &request) {
      requests.push_back(request);
      if (answers.empty())
        return OperatorResponse{};
      auto it = answers.front();
      answers.pop_front();
      return it;
    };
  }
};

constexpr auto OwnPlans = R"({"plans":[{"name":"a"}]})";
constexpr auto OtherPlans = R"({"plans":[{"name":"b"}]})";
const OperatorResponse LostReply{.received = false, .sent = true};

OperatorResponse okResponse(std::uint64_t revision, std::string body = {}) {
  return {
      .received = true, .sent = true, .status = 200, .revision = revision, .body = std::move(body)};
}

OperatorResponse conflictResponse(std::uint64_t revision) {
  return {.received = true, .sent = true, .status = 412, .revision = revision};
}

// Guards against reporting an edit as failed although it was accepted and only the reply was lost.
TEST(OperatorClient, LostReplyOfAnAcceptedEditIsFoundByReadingBack) {
  ScriptedTransport s{{LostReply, conflictResponse(8), okResponse(8, OwnPlans)}, {}};
  auto result = ctlApply(s.transport(), "plans", OwnPlans, 7);
  EXPECT_EQ(result.exit, CtlExit::Ok);
  EXPECT_NE(result.output.find("revision 8"), std::string::npos);
  EXPECT_EQ(s.requests[1].ifMatch, 7U) << "the repeated edit must keep its condition";
}

// Guards against reporting success when another operator's edit was accepted instead.
TEST(OperatorClient, LostReplyOfALosingEditIsAConflict) {
  ScriptedTransport s{{LostReply, conflictResponse(8), okResponse(8, OtherPlans)}, {}};
  EXPECT_EQ(ctlApply(s.transport(), "plans", OwnPlans, 7).exit, CtlExit::Conflict);
}

// Guards against reporting success or failure when later edits make the outcome unknowable.
TEST(OperatorClient, OutcomeHiddenByLaterEditsIsUnknown) {
  ScriptedTransport s{{LostReply, conflictResponse(9), okResponse(9, OtherPlans)}, {}};
  EXPECT_EQ(ctlApply(s.transport(), "plans", OwnPlans, 7).exit, CtlExit::Unknown);
}

TEST(OperatorClient, UnreachableHostAfterALostReplyIsUnknown) {
  ScriptedTransport s{{LostReply, OperatorResponse{}}, {}};
  EXPECT_EQ(ctlApply(s.transport(), "plans", OwnPlans, 7).exit, CtlExit::Unknown);
}

TEST(OperatorClient, FirstConflictNamesTheCurrentRevision) {
  ScriptedTransport s{{conflictResponse(9)}, {}};
  auto result = ctlApply(s.transport(), "plans", OwnPlans, 7);
  EXPECT_EQ(result.exit, CtlExit::Conflict);
  EXPECT_NE(result.error.find('9'), std::string::npos);
}

// Guards against `wait` returning while a host still uses the old lists.
TEST(OperatorClient, WaitNamesTheHostsThatAreBehind) {
  auto config = [](int a, int b) {
    auto host = [](const char *name, int revision, bool applied) {
      return R"({"host":")" + std::string(name) + R"(","revision":)" + std::to_string(revision) +
             R"(,"shares_applied":)" + (applied ? "true}" : "false}");
    };
    return okResponse(0, R"({"revision":3,"hosts":[)" + host("a", a, true) + "," +
                             host("b", b == 4 ? 3 : b, b != 4) + "]}");
  };
  ScriptedTransport late{{config(3, 2), config(3, 2)}, {}};
  auto result = ctlWait(late.transport(), 3, 2, [] {});
  EXPECT_EQ(result.exit, CtlExit::Timeout);
  EXPECT_NE(result.error.find(": b"), std::string::npos);
  // The value 4 means that host b has revision 3 but has not yet applied a lowered share.
  ScriptedTransport shareNotApplied{{config(3, 4)}, {}};
  EXPECT_EQ(ctlWait(shareNotApplied.transport(), 3, 1, [] {}).exit, CtlExit::Timeout);
  ScriptedTransport complete{{config(3, 2), config(3, 3)}, {}};
  EXPECT_EQ(ctlWait(complete.transport(), 3, 2, [] {}).exit, CtlExit::Ok);
}

} // namespace
} // namespace catkin
