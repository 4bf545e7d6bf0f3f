#pragma once

#include "types_p.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages of the control loop between hosts, and their JSON encoding.
namespace catkin {

/// Load of one model on one host. `arrivals` counts the requests since the host's last sync.
struct ModelLoad {
  ModelName model;
  unsigned arrivals = 0;
  int inFlight = 0;
  int waiting = 0;
};

/// Use of one host by one plan.
struct PlanUse {
  PlanName plan;
  int inFlight = 0;
  int waiting = 0;
  double tokensPerSecond = 0;
  std::uint64_t shareVersion = 0; ///< newest share that all requests in flight fit into
};

/// A host as the other hosts know it.
struct Member {
  HostName host;
  std::uint64_t incarnation = 0;
  Address callerAddress; ///< address for callers
  Address peerAddress;   ///< address for other hosts
  DataCentreName dataCentre;
  Liveness liveness = Liveness::Live;
  bool overloaded = false;
  std::uint64_t revision = 0; ///< configuration applied there; set only in the host's own report
};

/// A replica in the routing table.
struct RouteEntry {
  ModelName model;
  EndpointName endpoint;
  Address address;
  DataCentreName dataCentre;
  ReplicaState state = ReplicaState::Intended;
  bool leaving = false; ///< the endpoint is shutting down and gets no new requests
  int generation = 1;
  int running = 0; ///< as last reported; lags
  int queued = 0;
};

/// Part of a plan's grant that one host may use.
struct HostShare {
  PlanName plan;
  std::uint64_t version = 0;
  int concurrency = 0;
  double tokensPerSecond = 0;
};

/// A host's periodic report to the planner. The planner delays the reply by up to `maxWait` until
/// it has news for the host (long poll).
struct SyncRequest {
  Member self;
  std::uint64_t term = 0;      ///< newest planner term known to the host
  std::uint64_t tableTerm = 0; ///< term in which tableVersion was issued
  std::uint64_t tableVersion = 0;
  std::uint64_t membersVersion = 0; ///< version of the last member list received in this term
  Duration maxWait{0};
  std::vector<ModelLoad> models;
  std::vector<PlanUse> plans;
};

/// The planner's reply: changes of the routing table and of the members, and the host's shares.
struct SyncReply {
  bool isPlanner = false; ///< if false, only term, planner and plannerAddress are set
  std::uint64_t term = 0;
  HostName planner;
  Address plannerAddress;
  std::uint64_t tableVersion = 0;
  bool fullTable = false; ///< entries are the whole table, not a change
  std::vector<RouteEntry> entries;
  std::vector<std::pair<ModelName, EndpointName>> removed;
  std::uint64_t membersVersion = 0;
  std::vector<Member> members;   ///< sent only if membersVersion differs from the request's
  std::vector<HostShare> shares; ///< shares of the calling host
  std::uint64_t revision = 0;    ///< configuration in force on the planner
};

/// Asks the planner for a loaded replica of a model.
struct EnsureRequest {
  std::string requestId;
  ModelName model;
  PlanName plan;
  HostName host;
  DataCentreName dataCentre;
  Duration remaining{0}; ///< until the deadline
};

enum class EnsureOutcome { Ready, Loading, Refused, NotPlanner, Count };
template <> struct EnumNames<EnsureOutcome> {
  static constexpr std::array<std::string_view, 4> Table{"ready", "loading", "refused",
                                                         "not_planner"};
};

struct EnsureReply {
  EnsureOutcome outcome = EnsureOutcome::Refused;
  EndpointName endpoint;
  Duration estimate{0};   ///< time until the replica is ready, for Loading
  Duration retryAfter{0}; ///< for Refused
  std::string reason;
};

std::string encode(const SyncRequest &m);
std::string encode(const SyncReply &m);
std::string encode(const EnsureRequest &m);
std::string encode(const EnsureReply &m);

/// Each decoder returns nothing if the text is not a valid message of its type.
std::optional<SyncRequest> decodeSyncRequest(std::string_view json);
std::optional<SyncReply> decodeSyncReply(std::string_view json);
std::optional<EnsureRequest> decodeEnsureRequest(std::string_view json);
std::optional<EnsureReply> decodeEnsureReply(std::string_view json);

} // namespace catkin
