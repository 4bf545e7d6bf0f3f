#pragma once

#include "types_p.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages between hosts and their JSON form.
namespace catkin {

/// Load of one model on one host since its last sync.
struct ModelLoad {
  ModelName model;
  unsigned arrivals = 0;
  int inFlight = 0;
  int waiting = 0;
};

/// Use of one plan on one host.
struct PlanUse {
  PlanName plan;
  int inFlight = 0;
  int waiting = 0;
  double tokensPerSecond = 0;
  std::uint64_t shareVersion = 0; ///< newest share applied; its excess has ended
};

/// A host as others see it.
struct Member {
  HostName host;
  std::uint64_t incarnation = 0;
  Address callerAddress; ///< where callers connect
  Address peerAddress;   ///< where hosts connect
  DataCentreName dataCentre;
  Liveness liveness = Liveness::Live;
  bool overloaded = false;
  std::uint64_t revision = 0; ///< configuration in force there; only in the member's own report
};

/// A replica as the routing table shows it.
struct RouteEntry {
  ModelName model;
  EndpointName endpoint;
  Address address;
  DataCentreName dataCentre;
  ReplicaState state = ReplicaState::Intended;
  bool leaving = false; ///< endpoint is leaving: no new work
  int generation = 1;
  int running = 0; ///< lagged report
  int queued = 0;
};

/// Part of a plan's grant that one host may use.
struct HostShare {
  PlanName plan;
  std::uint64_t version = 0;
  int concurrency = 0;
  double tokensPerSecond = 0;
};

struct SyncRequest {
  Member self;
  std::uint64_t term = 0;      ///< newest planner term seen
  std::uint64_t tableTerm = 0; ///< term of the table that tableVersion counts in
  std::uint64_t tableVersion = 0;
  std::uint64_t membersVersion = 0; ///< of the member list last received in this term
  Duration maxWait{0};
  std::vector<ModelLoad> models;
  std::vector<PlanUse> plans;
};

struct SyncReply {
  bool isPlanner = false; ///< false: the callee is not the planner; only term and planner are set
  std::uint64_t term = 0;
  HostName planner;
  Address plannerAddress;
  std::uint64_t tableVersion = 0;
  bool fullTable = false; ///< entries replace the whole table
  std::vector<RouteEntry> entries;
  std::vector<std::pair<ModelName, EndpointName>> removed;
  std::uint64_t membersVersion = 0;
  std::vector<Member> members;   ///< sent only if membersVersion differs from the request's
  std::vector<HostShare> shares; ///< shares of the calling host
  std::uint64_t revision = 0;
};

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
  Duration estimate{0};   ///< until ready; for Loading
  Duration retryAfter{0}; ///< for Refused
  std::string reason;
};

std::string encode(const SyncRequest &m);
std::string encode(const SyncReply &m);
std::string encode(const EnsureRequest &m);
std::string encode(const EnsureReply &m);

/// Each decoder gives nothing for text that is not a message of its kind.
std::optional<SyncRequest> decodeSyncRequest(std::string_view json);
std::optional<SyncReply> decodeSyncReply(std::string_view json);
std::optional<EnsureRequest> decodeEnsureRequest(std::string_view json);
std::optional<EnsureReply> decodeEnsureReply(std::string_view json);

} // namespace catkin
