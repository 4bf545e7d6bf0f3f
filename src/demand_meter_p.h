#pragma once

#include "fleet_messages_p.h"

#include <map>
#include <optional>
#include <vector>

/// Moving averages of one host's request rates by service, model and adapter. Each host keeps its
/// own averages, so that the first reports already tell a new planner the demand.
namespace catkin {

/// Measures the request rate of each model with two exponential moving averages.
class DemandMeter {
public:
  /// Counts one request.
  void onRequest(const ServiceName &service, const ModelRef &model, Instant now);
  /// Returns the rates in requests per second as of `now`, and forgets models with a negligible
  /// rate.
  std::vector<ModelRequestRate> rates(Instant now);
  /// Returns the time since the first request; zero before it.
  Duration observedTime(Instant now) const;

private:
  /// Requests per second.
  struct Averages {
    double slow = 0;
    double fast = 0;
    Instant updatedAt; ///< time that the averages refer to
    void decay(Instant now);
  };

  std::map<std::pair<ServiceName, ModelRef>, Averages> averages;
  std::optional<Instant> firstRequestAt;
};

} // namespace catkin
