#pragma once

#include "fleet_messages_p.h"

#include <map>
#include <optional>
#include <vector>

/// Moving averages of one host's requests by service, model and adapter. Each host keeps its own,
/// so that a new planner knows the demand from the first reports on.
namespace catkin {

class DemandMeter {
public:
  void onRequest(const ServiceName &service, const ModelRef &model, Instant now);
  /// Rates that still matter, as of `now`.
  std::vector<ModelUse> rates(Instant now);
  /// Time since the first request.
  Duration observedTime(Instant now) const;

private:
  struct Averages {
    double slow = 0;
    double fast = 0;
    Instant updatedAt; ///< of which the averages are
    void decay(Instant now);
  };

  std::map<std::pair<ServiceName, ModelRef>, Averages> averages;
  std::optional<Instant> firstRequestAt;
};

} // namespace catkin
