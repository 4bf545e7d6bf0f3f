#pragma once

#include "fleet_messages_p.h"
#include "model_placement_p.h"

#include <map>
#include <set>

/// What the hosts have reported to the planner: the request rates, which requests run on which
/// endpoint, and which requests wait for a model. Callers pass in the time.
namespace catkin {

/// Collects the reports of all hosts and adds them to the input of a placement.
class FleetDemand {
public:
  /// Replaces the host's previous report.
  void onReport(const DemandReport &report, Instant now) { reports[report.host] = {report, now}; }
  /// Records how many requests of the host at `from` wait for a model. Returns for how long they
  /// have waited; zero if none wait.
  Duration onNeed(const ModelNeed &need, const Address &from, Instant now);
  void clearReports() { reports.clear(); }
  /// Adds the reports and waiting requests of a service to the placement's input. `leaseAge` is the
  /// time since this planner acquired its lease.
  void fillPlacementInput(const ServiceName &service, Duration leaseAge, PlacementInput &input);
  /// Returns the hosts whose requests wait for a model or for one of its adapters.
  std::set<Address> waitingHosts(const ServiceName &service, const ModelName &model) const;
  /// Returns true if at least two hosts, and more than half of the reporting ones, report that the
  /// endpoint fails.
  bool isFailingForMost(const EndpointName &name) const;

private:
  struct Report {
    DemandReport report;
    Instant receivedAt;
  };
  struct Need {
    Address from;
    int waiting = 0;
    Instant waitingSince; ///< time of the first message about this wait
    Instant updatedAt;    ///< time of the newest one
  };

  void addReports(const ServiceName &service, Duration leaseAge, PlacementInput &input);
  void addNeeds(const ServiceName &service, PlacementInput &input);
  void expire(Instant now);

  std::map<HostName, Report> reports;
  std::map<std::pair<ServiceName, ModelRef>, std::map<HostName, Need>> needs;
};

} // namespace catkin
