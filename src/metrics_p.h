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
