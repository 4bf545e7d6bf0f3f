#pragma once

#include "fleet_types_p.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// One host's picture of the fleet: the newest configuration, the registered endpoints, what the
/// planner says that engines hold, and what this host has itself seen of each endpoint. No sockets
/// and no clock of its own.
namespace catkin {

/// How a request to an endpoint ended, as far as it says something about the endpoint.
enum class EndpointResult {
  Answered,     ///< a whole answer, also one with a failure of the caller's making
  Failed,       ///< the endpoint's own error, a broken or spoiled answer
  NotConnected, ///< no connection could be made
  Refused,      ///< the endpoint said that it did not run the request
  Abandoned,    ///< this host gave up first; says nothing about the endpoint
  Count
};
template <> struct EnumNames<EndpointResult> {
  static constexpr std::array<std::string_view, 5> Table{"answered", "failed", "not_connected",
                                                         "refused", "abandoned"};
};

/// What the planner says that one engine holds, or is about to hold.
struct HoldingsNotice {
  EndpointName endpoint;
  std::uint64_t incarnation = 0;
  std::uint64_t term = 0;   ///< of the planner
  std::uint64_t number = 0; ///< grows with each notice of one planner about this engine
  std::vector<HeldModel> models;
};

/// An endpoint with this host's beliefs about it.
struct EndpointState {
  FleetEndpoint entry;
  std::optional<HoldingsNotice> notice;
  Instant noticeAt;
  /// Answered as not held since the newest notice or entry; not asked again until then.
  std::map<ModelRef, Instant> missing;
  int ownInFlight = 0;
  int peersInFlight = 0;
  double failureShare = 0; ///< moving average over requests of this host, 0 to 1
  int failuresInRow = 0;
  Instant avoidUntil;              ///< no requests before, unless nothing else is left
  std::optional<Instant> lapsesAt; ///< the registration went during a store outage
  bool isMissing(const ModelRef &ref, Instant now) const;
  bool takesWork() const { return entry.liveness == Liveness::Live; }
  /// What it holds by the newest source.
  const std::vector<HeldModel> &models(Instant now) const;
};

class FleetView {
public:
  /// False and unchanged if a configuration as new is known already.
  bool setConfig(FleetConfig config);
  const FleetConfig *config() const { return newest ? &*newest : nullptr; }

  void putEndpoint(FleetEndpoint entry, Instant now);
  /// The registration has gone. Shortly after a store outage the endpoint may only have been
  /// unable to renew it, and is kept until it has had the time to return.
  void removeEndpoint(const EndpointName &name, Instant now);
  /// The registry was lost or regained by this host.
  void setRegistryConnected(bool connected, Instant now);
  /// Drops endpoints whose registration has not returned in time.
  void expire(Instant now);
  void applyNotice(const HoldingsNotice &notice, Instant now);
  void setPeersInFlight(const EndpointName &name, int n);

  void onSent(const EndpointName &name);
  void onEnded(const EndpointName &name, EndpointResult result, Instant now);
  /// The endpoint answered that it does not hold `ref`.
  void onMissing(const EndpointName &name, const ModelRef &ref, Instant now);

  const std::map<EndpointName, EndpointState> &endpoints() const { return states; }
  const EndpointState *find(const EndpointName &name) const;

  /// Calls `wake` after the next change that may let a waiting request go on. Returns a handle for
  /// cancelWait().
  using Waiter = std::list<std::function<void()>>::iterator;
  Waiter waitForChange(std::function<void()> wake);
  void cancelWait(Waiter waiter) { waiters.erase(waiter); }

private:
  void notifyWaiters();

  std::optional<FleetConfig> newest;
  std::map<EndpointName, EndpointState> states;
  std::list<std::function<void()>> waiters;
  bool registryConnected = false;
  Instant registryRegained;
  bool everConnected = false;
};

/// What a request asks of its endpoint.
struct EndpointQuery {
  ServiceName service;
  ModelRef model;             ///< empty for plain services
  DataCentreName dataCentre;  ///< of this host
  std::uint64_t affinity = 0; ///< requests with the same value share prompt parts
  const std::set<EndpointName> *excluded = nullptr; ///< already tried
};

/// Chooses the endpoint for one request, or null if none can take it. This is the load it answers:
/// a few engines behind many hosts that each see only their own requests at once. Fewer requests in
/// progress, fewer recent failures, the same data centre and a likely prompt cache count, in this
/// order of weight.
const EndpointState *chooseEndpoint(const FleetView &view, const EndpointQuery &query, Instant now,
                                    std::uint64_t random);

} // namespace catkin
