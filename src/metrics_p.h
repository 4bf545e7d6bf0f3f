#pragma once

#include "types_p.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// Metrics of one host in the Prometheus text format. May be used from any thread.
namespace catkin {

/// Gauges of a gateway host, read when the metrics are exported.
struct MetricsGauges {
  double waiting = 0;
  double inFlight = 0;
  double connections = 0;
  double ready = 0;
  double planner = 0;
  double configRevision = 0;
};

/// Gauges of a fleet host, read when the metrics are exported.
struct FleetGauges {
  double inFlight = 0;
  double ready = 0;
  double planner = 0;
  double configVersion = 0;
  double configBehindSeconds = 0; ///< since another host reported a newer version
  double endpoints = 0;
  double peersAlive = 0;
  double storeConnected = 0;
  double quarantinedTraits = 0; ///< traits of requests that engines crash on
};

/// Metrics of one fleet host.
class FleetMetrics {
public:
  FleetMetrics();
  ~FleetMetrics();

  /// Records the end of a request. `kind` is the kind of its route, `outcome` the outcome in its
  /// log line.
  void onRequest(std::string_view kind, std::string_view outcome, Duration duration);
  /// Records the time from the arrival of a streaming request to its first event.
  void onFirstEvent(Duration d);
  /// Records how long a request waited for its model.
  void onModelWait(Duration d);
  /// Counts a request that is sent to another data centre, with the bytes of its body. The reason
  /// is one of a few, "none" for requests to plain services.
  void onLeft(std::string_view reason, std::size_t bytes);
  /// Counts bytes of an answer that come from another data centre.
  void onBytesFromElsewhere(std::string_view reason, std::size_t bytes);
  void onFailedAttempt(std::string_view failure);
  /// Counts a stream that a caller has taken up, by what became of it.
  void onResumption(std::string_view outcome);
  /// Counts a permit for a request to an endpoint with a limit, or the denial of one.
  void onPermit(bool granted);
  /// Records the answer to a request for a part of a team's quota, and its cost if it was granted.
  /// Teams over a limited number are counted together as "other".
  void onQuota(const TeamName &team, std::string_view result, double charged);
  /// Returns all metrics in the Prometheus text format.
  std::string text(const FleetGauges &gauges);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

/// Metrics of one gateway host.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Records the end of a request. `kind` is "completion" or "service"; `result` is an outcome or
  /// "refused".
  void onRequest(const PlanName &plan, std::string_view kind, std::string_view result);
  void onRefusal(std::string_view reason);
  void onFailedAttempt(std::string_view failure);
  void onResume();
  void onTokens(const PlanName &plan, unsigned tokens);
  /// Records the time from the arrival of a request to its first event.
  void onFirstEvent(Duration d, bool cold);
  /// Records the time between two events of a stream.
  void onEventGap(Duration d);

  /// Returns all metrics in the Prometheus text format.
  std::string text(const MetricsGauges &gauges);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace catkin
