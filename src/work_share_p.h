#pragma once

#include "types_p.h"

#include <algorithm>

/// Bounds the share of a host's time that one kind of work takes, by the time that the work took
/// last. For work that is due at intervals and after events, such as a planner's rounds on a slow
/// host, which has requests and messages to answer besides.
namespace catkin {

class WorkShare {
public:
  void onDone(Instant began, Instant ended) {
    lastEnd = ended;
    lastDuration = ended - began;
  }
  /// Until the work is due again: `usual`, or more if that would take too large a share.
  Duration nextPause(Duration usual) const {
    return std::max(usual, IntervalPauseFactor * lastDuration);
  }
  /// True if the work may be done again because of an event. If not, the next interval does it.
  bool canRunAfterEvent(Instant now) const {
    return now - lastEnd >= EventPauseFactor * lastDuration;
  }

private:
  // Pauses as multiples of the time that the work takes; together they leave half of the time.
  static constexpr int IntervalPauseFactor = 4;
  static constexpr int EventPauseFactor = 2;

  Instant lastEnd;
  Duration lastDuration{};
};

} // namespace catkin
