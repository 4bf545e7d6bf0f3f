#pragma once

#include "types_p.h"

#include <algorithm>

/// Limits the share of a host's time that one kind of work takes, based on the duration of its last
/// run. Meant for work that runs at intervals and after events, such as the planning rounds of a
/// slow host, which must also answer requests and messages.
namespace catkin {

/// Spaces the runs of one kind of work.
class WorkShare {
public:
  /// Records a run of the work.
  void onDone(Instant began, Instant ended) {
    lastEnd = ended;
    lastDuration = ended - began;
  }
  /// Time until the next run: `usual`, or more if the work would take too large a share.
  Duration nextPause(Duration usual) const {
    return std::max(usual, IntervalPauseFactor * lastDuration);
  }
  /// True if an event may start another run now. Otherwise the run of the next interval covers it.
  bool canRunAfterEvent(Instant now) const {
    return now - lastEnd >= EventPauseFactor * lastDuration;
  }

private:
  // Pauses as multiples of the duration of the last run. Together they leave half of the
  // time for other work.
  static constexpr int IntervalPauseFactor = 4;
  static constexpr int EventPauseFactor = 2;

  Instant lastEnd;
  Duration lastDuration{};
};

} // namespace catkin
