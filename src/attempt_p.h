#pragma once

#include "types_p.h"

#include <string>

/// Retry rules: decides what to do after an attempt to send a request to an endpoint has failed.
namespace catkin {

enum class AttemptFailure {
  NotConnected, ///< no connection, hence no byte was sent
  Refused,      ///< the endpoint reported that it did not run the request
  Unproven,     ///< a refusal that does not prove that the request has not run
  Broken,       ///< the connection closed before the answer was complete
  Silent,       ///< no byte arrived within the silence timeout
  WrongAnswer,  ///< the answer carries the id of another attempt
  DeadlinePassed,
  CallerGone, ///< the caller closed its connection
  Count
};
template <> struct EnumNames<AttemptFailure> {
  static constexpr std::array<std::string_view, 8> Table{
      "not_connected", "refused",      "unproven_refusal", "broken",
      "silent",        "wrong_answer", "deadline",         "caller_gone"};
};

/// What is known about a request when one of its attempts fails.
struct AttemptState {
  bool idempotent = true; ///< true for completions, false for non-idempotent service calls
  bool streaming = false;
  unsigned eventsRelayed = 0; ///< events already sent to the caller
  unsigned attempts = 1;      ///< attempts made so far
  bool retryAllowed = false;  ///< the retry budget and the deadline allow another attempt
  bool headersSent = false;   ///< the caller has received the status line
  /// An earlier attempt may have run. A later refusal then does not prove that the request has not
  /// run.
  bool earlierMayHaveRun = false;
};

enum class NextStep { Retry, Resume, AnswerNotRun, AnswerMayHaveRun, CutStream, Stop, Count };
template <> struct EnumNames<NextStep> {
  static constexpr std::array<std::string_view, 6> Table{
      "retry", "resume", "answer_not_run", "answer_may_have_run", "cut_stream", "stop"};
};

/// Returns the next step after an attempt has failed:
/// - Retry: send the same request to another endpoint.
/// - Resume: send the request to another endpoint and continue after the events already relayed.
/// - AnswerNotRun, AnswerMayHaveRun: answer with an error; the request has not or may have run.
/// - CutStream: end the stream with an error event or by closing the connection, since the caller
///   already has the status line.
/// - Stop: cancel the request, since the caller is gone.
/// A non-idempotent call that may have run is never sent again.
NextStep nextStep(AttemptFailure failure, const AttemptState &state);

/// Returns true if the endpoint may have run a request whose attempt failed in this way.
bool mayHaveRun(AttemptFailure failure);

} // namespace catkin
