#pragma once

#include "types_p.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// Metrics of one host in the text format of Prometheus. May be used from any thread.
namespace catkin {

/// Values read when the metrics are written.
struct MetricsGauges {
  double waiting = 0;
  double inFlight = 0;
  double connections = 0;
  double ready = 0;
  double planner = 0;
  double configRevision = 0;
};

/// Values of a fleet host that are read when the metrics are written.
struct FleetGauges {
  double inFlight = 0;
  double ready = 0;
  double planner = 0;
  double configVersion = 0;
  double configBehindSeconds = 0; ///< since another host was heard to have a newer one
  double endpoints = 0;
  double peersAlive = 0;
  double storeConnected = 0;
};

/// Metrics of one host of the fleet.
class FleetMetrics {
public:
  FleetMetrics();
  ~FleetMetrics();

  /// A request ended; `kind` is that of its route, `outcome` the word of its log line.
  void onRequest(std::string_view kind, std::string_view outcome, Duration duration);
  /// From the arrival of a stream's request to its first event.
  void onFirstEvent(Duration d);
  /// A request waited for its model.
  void onModelWait(Duration d);
  void onFailedAttempt(std::string_view failure);
  std::string text(const FleetGauges &gauges);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

class Metrics {
public:
  Metrics();
  ~Metrics();

  /// A request ended. `kind` is "completion" or "service"; `result` an outcome or "refused".
  void onRequest(const PlanName &plan, std::string_view kind, std::string_view result);
  void onRefusal(std::string_view reason);
  void onFailedAttempt(std::string_view failure);
  void onResume();
  void onTokens(const PlanName &plan, unsigned tokens);
  /// From the arrival of a request to its first event.
  void onFirstEvent(Duration d, bool cold);
  /// Between two events of a stream.
  void onEventGap(Duration d);

  std::string text(const MetricsGauges &gauges);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace catkin
