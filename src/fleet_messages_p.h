#pragma once

#include "fleet_view_p.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between hosts of the fleet, one a datagram, as JSON. Datagrams may be lost, doubled or
/// overtaken, so that each message carries state and is repeated, never a change that must arrive.
namespace catkin {

/// Requests in progress from one host at one endpoint.
struct EndpointLoad {
  EndpointName endpoint;
  int inFlight = 0;
};

/// Adds `loads` to the sums by endpoint, and turns such sums into a list.
void addLoads(const std::vector<EndpointLoad> &loads, std::map<EndpointName, int> &total);
std::vector<EndpointLoad> listLoads(const std::map<EndpointName, int> &total);

/// Sent to the hosts of the data centre at each heartbeat. In a small fleet, and where no digest of
/// another data centre is heard, it goes there at every second one.
struct FleetHeartbeat {
  HostName host;
  std::uint64_t incarnation = 0;
  bool ready = false;
  bool leaving = false;
  bool storeConnected = false;
  std::uint64_t configVersion = 0; ///< in force; 0 if none
  std::uint64_t plannerTerm = 0;   ///< of the planner's lease if this host holds it, otherwise 0
  std::vector<EndpointLoad> loads;
  /// Endpoints that have said to this host that they leave.
  std::vector<LeavingEndpoint> leavingEndpoints;
  std::vector<Departure> departures; ///< that this host has read in the registry
  std::uint64_t newestArrival = 0;   ///< revision of the newest endpoint there that can serve
};

/// A host that is not alive, ready and in touch with the store at once.
struct HostStatus {
  HostName host;
  bool alive = false;
  bool ready = false;
  bool leaving = false;
  bool storeConnected = false;
  friend bool operator==(const HostStatus &, const HostStatus &) = default;
};

/// What a relay has heard from the hosts of its data centre. Registered hosts that are no exception
/// are alive, ready and in touch with the store.
struct DataCentreDigest {
  DataCentreName dataCentre;
  std::uint64_t configVersion = 0; ///< the newest in force there
  std::uint64_t plannerTerm = 0;   ///< of a planner there; 0 if there is none
  Address plannerAddress;
  std::vector<HostStatus> unhealthyHosts;
  std::vector<LeavingEndpoint> leavingEndpoints;
};

/// Sent by a relay of a large fleet to relays of other data centres, with one digest, and by these
/// to the hosts of their own, with all that they have.
struct FleetDigests {
  bool forwarded = false;
  std::vector<DataCentreDigest> digests;
  std::vector<EndpointLoad> loads; ///< of all these data centres together
};

struct ModelRequestRate {
  ServiceName service;
  ModelRef model;
  double perSecond = 0;       ///< moving average of this host's requests over about ten seconds
  double recentPerSecond = 0; ///< the same over two or three seconds
};

struct RunningModel {
  EndpointName endpoint;
  ModelRef model;
  int inFlight = 0;
};

/// Sent to the planner: what callers of this host ask for and what runs where.
struct DemandReport {
  HostName host;
  Duration observed{}; ///< since the first request; averages over a short time say little
  std::vector<ModelRequestRate> requestRates;
  std::vector<RunningModel> running;
  std::vector<EndpointName> failing; ///< endpoints that this host avoids at present
};

/// Sent to the planner while requests wait for a model or adapter that no endpoint holds, and with
/// nobody waiting at the end.
struct ModelNeed {
  HostName host;
  ServiceName service;
  ModelRef model;
  int waiting = 0;
};

/// Sent by the planner to every host; in a large fleet to one relay of each other data centre,
/// which passes it on there.
struct HoldingsNotices {
  std::vector<HoldingsNotice> notices;
  Address planner; ///< where it listens; empty if that is where the message comes from
  bool forwardInDataCentre = false; ///< to the hosts of the receiver's data centre
};

using FleetMessage =
    std::variant<FleetHeartbeat, DemandReport, ModelNeed, HoldingsNotices, FleetDigests>;

std::string encodeFleetMessage(const FleetMessage &message);
/// Empty if the text is not a message of this kind.
std::optional<FleetMessage> decodeFleetMessage(std::string_view text);

} // namespace catkin
