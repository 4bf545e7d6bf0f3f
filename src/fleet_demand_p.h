#pragma once

#include "fleet_messages_p.h"
#include "model_placement_p.h"

#include <map>
#include <set>

/// What the hosts have told the planner: what their callers ask for, which requests run where, and
/// which wait. No clock of its own.
namespace catkin {

class FleetDemand {
public:
  void onReport(const DemandReport &report, Instant now) { reports[report.host] = {report, now}; }
  /// `from` is the address of the host that waits. Returns how long its requests have waited.
  Duration onNeed(const ModelNeed &need, const Address &from, Instant now);
  void clearReports() { reports.clear(); }
  /// Adds what concerns a service to the placement's input. `heldFor` is how long the lease has
  /// been held.
  void fillPlacementInput(const ServiceName &service, Duration leaseAge, PlacementInput &input);
  /// Hosts whose requests wait for a model or one of its adapters.
  std::set<Address> waitingHosts(const ServiceName &service, const ModelName &model) const;
  /// Most hosts find the endpoint failing.
  bool isFailingForMost(const EndpointName &name) const;

private:
  struct Report {
    DemandReport report;
    Instant receivedAt;
  };
  struct Need {
    Address from;
    int waiting = 0;
    Instant waitingSince; ///< of the first message about it
    Instant updatedAt;    ///< of the newest one
  };

  void addReports(const ServiceName &service, Duration leaseAge, PlacementInput &input);
  void addNeeds(const ServiceName &service, PlacementInput &input);
  void expire(Instant now);

  std::map<HostName, Report> reports;
  std::map<std::pair<ServiceName, ModelRef>, std::map<HostName, Need>> needs;
};

} // namespace catkin
