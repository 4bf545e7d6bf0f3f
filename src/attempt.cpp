#include "attempt_p.h"

namespace catkin {

namespace {

NextStep giveUp(bool mayRun, const AttemptState &state) {
  if (state.headersSent)
    return NextStep::CutStream;
  return mayRun || state.earlierMayHaveRun ? NextStep::AnswerMayHaveRun : NextStep::AnswerNotRun;
}

bool mayRepeat(bool mayRun, const AttemptState &state) {
  if (!state.retryAllowed)
    return false;
  return state.idempotent || !(mayRun || state.earlierMayHaveRun);
}

} // namespace

bool mayHaveRun(AttemptFailure failure) {
  return failure != AttemptFailure::NotConnected && failure != AttemptFailure::Refused;
}

NextStep nextStep(AttemptFailure failure, const AttemptState &state) {
  if (failure == AttemptFailure::CallerGone)
    return NextStep::Stop;
  bool mayRun = mayHaveRun(failure);
  if (failure == AttemptFailure::DeadlinePassed || !mayRepeat(mayRun, state))
    return giveUp(mayRun, state);
  if (!state.headersSent && state.eventsRelayed == 0)
    return NextStep::Retry;
  // A whole answer that broke after its status line cannot be continued.
  return state.streaming ? NextStep::Resume : NextStep::CutStream;
}

} // namespace catkin
