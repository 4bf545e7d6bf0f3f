#pragma once

#include "fleet_types_p.h"

#include <map>
#include <set>

/// The software versions that the endpoints of each service have had, as one host has read them.
namespace catkin {

using SoftwareVersions = std::set<SoftwareVersion>;

/// It does no I/O; callers pass in the time.
class VersionHistory {
public:
  /// An endpoint of the service has this version at `now`.
  void onSeen(const ServiceName &service, const SoftwareVersion &version, Instant now);
  /// Returns true if this host has seen another version of the service since `from`.
  bool hasSeenOther(const ServiceName &service, const SoftwareVersion &version, Instant from) const;

  /// Returns the services of which this host has seen several versions since `from`.
  std::set<ServiceName> servicesWithSeveral(Instant from) const;

private:
  std::map<ServiceName, std::map<SoftwareVersion, Instant>> lastSeen;
};

} // namespace catkin
