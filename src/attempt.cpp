#include "attempt_p.h"

namespace catkin {

namespace {

/// Returns the step for a request that must not be sent again.
NextStep stepWithoutRetry(bool maybeRan, const AttemptState &state) {
  if (state.headersSent)
    return NextStep::CutStream;
  return maybeRan || state.earlierMayHaveRun ? NextStep::AnswerMayHaveRun : NextStep::AnswerNotRun;
}

/// Returns true if the request may be sent again. `maybeRan`: the failed attempt may have run.
bool canRetry(bool maybeRan, const AttemptState &state) {
  if (!state.retryAllowed)
    return false;
  return state.idempotent || !(maybeRan || state.earlierMayHaveRun);
}

} // namespace

bool mayHaveRun(AttemptFailure failure) {
  return failure != AttemptFailure::NotConnected && failure != AttemptFailure::Refused;
}

NextStep nextStep(AttemptFailure failure, const AttemptState &state) {
  if (failure == AttemptFailure::CallerGone)
    return NextStep::Stop;
  bool maybeRan = mayHaveRun(failure);
  if (failure == AttemptFailure::DeadlinePassed || !canRetry(maybeRan, state))
    return stepWithoutRetry(maybeRan, state);
  if (!state.headersSent && state.eventsRelayed == 0)
    return NextStep::Retry;
  // A plain answer that broke after its status line cannot be resumed, unlike a stream.
  return state.streaming ? NextStep::Resume : NextStep::CutStream;
}

} // namespace catkin
