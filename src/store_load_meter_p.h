#pragma once

#include "fleet_types_p.h"

#include <map>

/// Estimates how many loads from the weight store can run concurrently at full speed. Above that
/// number all of them slow down, so a further load delays those that requests wait for. The
/// configuration does not contain the number. Callers pass the current time.
namespace catkin {

/// Derives the limit from the durations of observed loads, at most one for each engine.
class StoreLoadMeter {
public:
  /// Records the start of a load that takes `fullSpeed` when it runs alone.
  void onStarted(const EndpointName &engine, Duration fullSpeed, Instant now);
  /// Records that the load of an engine is complete, and updates the estimate.
  void onCompleted(const EndpointName &engine, Instant now);
  /// Discards a load that did not complete or whose outcome is unknown.
  void onAbandoned(const EndpointName &engine, Instant now);
  /// Highest number of concurrent loads that should run, at least 1. A running load that is already
  /// too slow lowers the limit before it completes.
  int concurrencyLimit(Instant now) const;

private:
  struct Running {
    Instant since;
    Duration fullSpeed;           ///< duration of this load when it runs alone
    double loadSecondsBefore = 0; ///< loadSeconds when it began
  };

  double loadSecondsUntil(Instant now) const;
  /// Adds the time since `advancedAt` to `loadSeconds`.
  void advance(Instant now);
  double averageConcurrency(const Running &load, Instant now) const;

  std::map<EndpointName, Running> running;
  double loadSeconds = 0; ///< total running time of all loads so far
  Instant advancedAt;     ///< time up to which `loadSeconds` counts
  /// Starts at 2, because two concurrent loads show whether loads delay each other.
  int learnedLimit = 2;
};

} // namespace catkin
