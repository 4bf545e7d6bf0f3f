#pragma once

#include "types_p.h"

#include <string>

/// What to do after an attempt at a request has failed.
namespace catkin {

enum class AttemptFailure {
  NotConnected, ///< no byte was sent
  Refused,      ///< the endpoint said that it did not run the request
  Broken,       ///< the connection ended early
  Silent,       ///< no byte for the silence timeout
  WrongAnswer,  ///< the answer carried another attempt's id
  DeadlinePassed,
  CallerGone,
  Count
};
template <> struct EnumNames<AttemptFailure> {
  static constexpr std::array<std::string_view, 7> Table{
      "not_connected", "refused", "broken", "silent", "wrong_answer", "deadline", "caller_gone"};
};

struct AttemptState {
  bool idempotent = true; ///< completions are; non-idempotent service calls are not
  bool streaming = false;
  unsigned eventsRelayed = 0; ///< events already sent to the caller
  unsigned attempts = 1;      ///< attempts made so far
  bool retryAllowed = false;  ///< the retry budget and the deadline allow another attempt
  bool headersSent = false;   ///< the caller has a status line
  /// An earlier attempt may have run, so that a later refusal no longer proves "not run".
  bool earlierMayHaveRun = false;
};

enum class NextStep { Retry, Resume, AnswerNotRun, AnswerMayHaveRun, CutStream, Stop, Count };
template <> struct EnumNames<NextStep> {
  static constexpr std::array<std::string_view, 6> Table{
      "retry", "resume", "answer_not_run", "answer_may_have_run", "cut_stream", "stop"};
};

/// Retry: the same request elsewhere. Resume: elsewhere from eventsRelayed on. CutStream: end the
/// stream with an error event, since the status line is out. Stop: the caller is gone; cancel.
/// A non-idempotent call that may have run is never sent again.
NextStep nextStep(AttemptFailure failure, const AttemptState &state);

/// True if a request whose attempt failed in this way may have run at the endpoint.
bool mayHaveRun(AttemptFailure failure);

} // namespace catkin
