#pragma once

#include "fleet_types_p.h"

#include <map>

/// Learns how many loads from the weight store run at full speed side by side. The configuration
/// does not say it: beyond that number all of them slow down together, so that one more load delays
/// those that requests wait for. No clock of its own.
namespace catkin {

class StoreLoadMeter {
public:
  /// A load that takes `fullSpeed` when it runs alone has begun.
  void onStarted(const EndpointName &engine, Duration fullSpeed, Instant now);
  /// The load of an engine is complete.
  void onCompleted(const EndpointName &engine, Instant now);
  /// The load ended otherwise, or its outcome is not known.
  void onAbandoned(const EndpointName &engine, Instant now);
  /// Loads that should run side by side at most, one or more.
  int concurrencyLimit(Instant now) const;

private:
  struct Running {
    Instant since;
    Duration fullSpeed;
    double loadSecondsBefore = 0;
  };

  double loadSecondsUntil(Instant now) const;
  void advance(Instant now);
  double averageConcurrency(const Running &load, Instant now) const;

  std::map<EndpointName, Running> running;
  double loadSeconds = 0; ///< sum over all loads of the time that they have run
  Instant advancedAt;
  int learnedLimit = 2; ///< shows by its first two loads whether they delay each other
};

} // namespace catkin
