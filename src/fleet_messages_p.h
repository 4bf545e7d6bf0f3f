#pragma once

#include "crash_quarantine_p.h"
#include "fleet_view_p.h"
#include "permit_issuer_p.h"
#include "quota_decision_p.h"
#include "stream_origin_p.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between hosts of the fleet, encoded as JSON, one per datagram. Datagrams may be lost,
/// duplicated or reordered. Every message therefore carries state and is repeated; no message
/// carries a change that must arrive.
namespace catkin {

class CoreEnv;

/// Requests in progress at one endpoint.
struct EndpointLoad {
  EndpointName endpoint;
  int inFlight = 0;
  EngineTokens tokens; ///< of engines
};

/// Requests in progress by endpoint, of several hosts together.
using LoadTotals = std::map<EndpointName, EndpointLoad>;
/// Adds `loads` to the totals.
void addLoads(const std::vector<EndpointLoad> &loads, LoadTotals &total);
/// Returns the totals as a list.
std::vector<EndpointLoad> listLoads(const LoadTotals &total);

/// State of one host, sent to all hosts of its data centre at every heartbeat interval. At every
/// second one it is also sent to other data centres: to all of them in a small fleet, and otherwise
/// to those from which no digest has arrived for a while.
struct FleetHeartbeat {
  HostName host;
  std::uint64_t incarnation = 0;
  bool ready = false;
  bool leaving = false;
  bool storeConnected = false;
  std::uint64_t configVersion = 0; ///< in force on this host; 0 if none
  std::uint64_t plannerTerm = 0;   ///< term of the planner lease if this host holds it, otherwise 0
  std::vector<EndpointLoad> loads;
  /// Endpoints that have announced their shutdown in an answer to this host.
  std::vector<EndpointIncarnation> leavingEndpoints;
  std::vector<RequestLimit> limits;  ///< named, changed or ended in an answer to this host
  std::vector<CrashReport> crashes;  ///< of engines, as far as this host has heard
  std::vector<Departure> departures; ///< recently read in the registry by this host
  StoreRevision newestArrival;       ///< revision of the newest registration that can serve at once
};

/// State of one host as its data centre's relay sees it.
struct HostStatus {
  HostName host;
  bool alive = false;
  bool ready = false;
  bool leaving = false;
  bool storeConnected = false;
  friend bool operator==(const HostStatus &, const HostStatus &) = default;
};

/// State of a data centre, as reported to a relay by the heartbeats of its hosts. Registered hosts
/// that are not listed in `unhealthyHosts` are alive, ready, not leaving and connected to the
/// store.
struct DataCentreDigest {
  DataCentreName dataCentre;
  std::uint64_t configVersion = 0; ///< newest version in force there
  std::uint64_t plannerTerm = 0;   ///< term of a planner there; 0 if there is none
  Address plannerAddress;
  std::vector<HostStatus> unhealthyHosts;
  std::vector<EndpointIncarnation> leavingEndpoints;
  std::vector<RequestLimit> limits; ///< the newest of each endpoint that a host there announces
  std::vector<CrashReport> crashes; ///< of engines, as far as the relay has heard
};

/// Digests of data centres in a large fleet. A relay sends the digest of its own data centre to the
/// relays of other ones. These forward all digests that they have to the hosts of their own.
struct FleetDigests {
  bool forwarded = false; ///< by a relay of the receiver's data centre
  std::vector<DataCentreDigest> digests;
  std::vector<EndpointLoad> loads; ///< totals over all hosts of these data centres
};

/// Rate of one host's requests for a model or adapter.
struct ModelRequestRate {
  ServiceName service;
  ModelRef model;
  double perSecond = 0;       ///< moving average over about ten seconds
  double recentPerSecond = 0; ///< moving average over two or three seconds
};

/// Number of one host's requests in progress for a model at an endpoint.
struct RunningModel {
  EndpointName endpoint;
  ModelRef model;
  int inFlight = 0;
};

/// Sent to the planner: request rates and requests in progress of one host.
struct DemandReport {
  HostName host;
  Duration observed{}; ///< time since the first request; averages over a short time are unreliable
  std::vector<ModelRequestRate> requestRates;
  std::vector<RunningModel> running;
  std::vector<EndpointName> failing; ///< endpoints that this host currently avoids
};

/// Sent to the planner while requests of a host wait for a model or adapter that no endpoint holds.
/// When no request waits any more, it is sent once more with `waiting` 0.
struct ModelNeed {
  HostName host;
  ServiceName service;
  ModelRef model;
  int waiting = 0; ///< number of waiting requests
};

/// Models that engines hold. The planner sends them to every host. In a large fleet it sends them
/// to the hosts of its own data centre and to one relay of each other one, which forwards them
/// there.
struct HoldingsNotices {
  std::vector<HoldingsNotice> notices;
  Address planner; ///< peer address of the planner; empty if it is the sender's address
  bool forwardInDataCentre = false; ///< to the hosts of the receiver's data centre
};

/// Asks the issuer for a permit for one call to an endpoint.
struct PermitRequest {
  std::uint64_t id = 0; ///< of the sender
  RequestLimit limit;   ///< as the sender knows it
  Duration maxDelay{};  ///< for which the call can wait
};

/// Answer to a PermitRequest.
struct PermitReply {
  std::uint64_t id = 0; ///< of the request
  RequestLimit limit;   ///< as the issuer knows it
  Permit permit;
};

/// Asks for a part of a team's quota.
struct QuotaRequest {
  std::uint64_t id = 0; ///< of the sender; the same if the request is repeated
  TeamName team;
  TeamQuota quota;                 ///< as the sender knows it
  std::uint64_t configVersion = 0; ///< of `quota`
  double cost = 0;                 ///< in the unit of the quota
};

/// Answer to a QuotaRequest.
struct QuotaReply {
  std::uint64_t id = 0; ///< of the request
  QuotaDecision decision;
};

/// Sent to the keepers of a stream's record before its first event is relayed.
struct StreamBegun {
  StreamKey key;
  StreamOrigin origin;
  Duration lifetime{}; ///< for which the record is needed
};

/// A record of a stream that another host has made.
struct StreamRecord {
  StreamKey key;
  StreamOrigin origin;
  Duration age{};        ///< since the first event
  Duration lifetime{};   ///< for which it is still needed
  bool doubtful = false; ///< it is not to be believed
};

/// Sent to a host that should keep these records and may not have them, since it has started or was
/// unreachable.
struct StreamRecords {
  std::vector<StreamRecord> records;
};

/// Asks a host for the origin of a stream.
struct StreamQuestion {
  std::uint64_t id = 0; ///< of the sender
  StreamKey key;
};

/// Answer to a StreamQuestion.
struct StreamAnswer {
  std::uint64_t id = 0; ///< of the question
  std::optional<StreamOrigin> origin;
  bool doubtful = false; ///< there is a record, but it is not to be believed
  Duration age{};        ///< of the record
};

/// Asks a host with the same version of the configuration in force how old its newest proof is that
/// no newer one exists.
struct FreshnessQuestion {
  std::uint64_t id = 0; ///< random
  std::uint64_t configVersion = 0;
};

/// Answer to a FreshnessQuestion. A host with another version or without a proof sends none.
struct FreshnessAnswer {
  std::uint64_t id = 0; ///< of the question
  Duration age{};       ///< of the proof, when the question was handled
};

using FleetMessage =
    std::variant<FleetHeartbeat, DemandReport, ModelNeed, HoldingsNotices, FleetDigests,
                 PermitRequest, PermitReply, QuotaRequest, QuotaReply, StreamBegun, StreamRecords,
                 StreamQuestion, StreamAnswer, FreshnessQuestion, FreshnessAnswer>;

/// Returns a random identifier for a question to other hosts. A host that counts up from there does
/// not take answers to questions of its earlier process, which may still be on their way, for its
/// own.
std::uint64_t randomQuestionId(CoreEnv &env);

/// Encodes a message as JSON.
std::string encodeFleetMessage(const FleetMessage &message);
/// Decodes a message. Empty if the text is not a valid fleet message.
std::optional<FleetMessage> decodeFleetMessage(std::string_view text);

} // namespace catkin
