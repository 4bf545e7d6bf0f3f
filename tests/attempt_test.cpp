#include "attempt_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

std::vector<AttemptState> allStates() {
  std::vector<AttemptState> states;
  for (unsigned bits = 0; bits < 64; ++bits)
    states.push_back({.idempotent = (bits & 1) != 0,
                      .streaming = (bits & 2) != 0,
                      .eventsRelayed = (bits & 4) != 0 ? 3U : 0U,
                      .retryAllowed = (bits & 8) != 0,
                      .headersSent = (bits & 16) != 0,
                      .earlierMayHaveRun = (bits & 32) != 0});
  return states;
}

std::vector<AttemptFailure> allFailures() {
  std::vector<AttemptFailure> all;
  all.reserve(static_cast<std::size_t>(AttemptFailure::Count));
  for (int i = 0; i < static_cast<int>(AttemptFailure::Count); ++i)
    all.push_back(static_cast<AttemptFailure>(i));
  return all;
}

// Guards against a non-idempotent call that takes effect twice.
TEST(Attempt, NonIdempotentCallThatMayHaveRunIsNeverSentAgain) {
  for (auto failure : allFailures())
    for (auto &state : allStates()) {
      if (state.idempotent || !(mayHaveRun(failure) || state.earlierMayHaveRun))
        continue;
      auto step = nextStep(failure, state);
      EXPECT_NE(step, NextStep::Retry) << toString(failure);
      EXPECT_NE(step, NextStep::Resume) << toString(failure);
    }
}

// Guards against telling a caller that a request did not run when it may have.
TEST(Attempt, NotRunOnlyIfProvablySo) {
  for (auto failure : allFailures())
    for (auto &state : allStates()) {
      if (nextStep(failure, state) != NextStep::AnswerNotRun)
        continue;
      EXPECT_TRUE(failure == AttemptFailure::NotConnected || failure == AttemptFailure::Refused);
      EXPECT_FALSE(state.earlierMayHaveRun);
    }
}

// Guards against a second status line after the first, and against restarting a stream from its
// beginning, which would send the caller the same text twice.
TEST(Attempt, StartedAnswerIsResumedOrCut) {
  for (auto failure : allFailures())
    for (auto &state : allStates()) {
      if (!state.headersSent || failure == AttemptFailure::CallerGone)
        continue;
      auto step = nextStep(failure, state);
      EXPECT_TRUE(step == NextStep::CutStream || (step == NextStep::Resume && state.streaming));
    }
}

// Guards against giving up although another attempt is allowed and safe.
TEST(Attempt, RetriesWhatIsSafe) {
  AttemptState completion{.streaming = true, .retryAllowed = true};
  EXPECT_EQ(nextStep(AttemptFailure::Silent, completion), NextStep::Retry);
  completion.headersSent = true;
  completion.eventsRelayed = 7;
  EXPECT_EQ(nextStep(AttemptFailure::Broken, completion), NextStep::Resume);
  AttemptState call{.idempotent = false, .retryAllowed = true};
  EXPECT_EQ(nextStep(AttemptFailure::NotConnected, call), NextStep::Retry);
  call.retryAllowed = false;
  EXPECT_EQ(nextStep(AttemptFailure::NotConnected, call), NextStep::AnswerNotRun);
  EXPECT_EQ(nextStep(AttemptFailure::Broken, call), NextStep::AnswerMayHaveRun);
  EXPECT_EQ(nextStep(AttemptFailure::CallerGone, call), NextStep::Stop);
}

} // namespace
} // namespace catkin
