#pragma once

#include "departure_log_p.h"
#include "endpoint_signals_p.h"
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
  std::uint64_t term = 0;     ///< of the planner
  std::uint64_t sequence = 0; ///< grows with each notice of one planner about this engine
  std::vector<HeldModel> models;
  std::uint64_t orderCount = 0; ///< orders that the engine had accepted by then
};

/// An endpoint with this host's beliefs about it.
struct EndpointState {
  FleetEndpoint entry;
  std::optional<HoldingsNotice> notice;
  Instant noticeAt;
  /// Answered as not held since the newest notice or entry; not asked again until then.
  std::map<ModelRef, Instant> missingUntil;
  int ownInFlight = 0;
  int peersInFlight = 0;
  double failureShare = 0; ///< moving average over requests of this host, 0 to 1
  int failuresInRow = 0;
  Instant avoidUntil;               ///< no requests before, unless nothing else is left
  Instant backoffUntil;             ///< no requests before: the endpoint asked for it
  std::optional<Instant> expiresAt; ///< the registration went during a store outage
  std::optional<std::uint64_t> departedRevision; ///< registrations up to it no longer stand
  /// When it may take requests for `ref`, by what it has answered; in the past if it may now.
  Instant readyTime(const ModelRef &ref) const;
  bool acceptsRequests() const { return entry.liveness == Liveness::Live; }
  /// What it holds by the newest source.
  const std::vector<HeldModel> &models(Instant now) const;
};

class FleetView {
public:
  /// False and unchanged if a configuration as new is known already.
  bool setConfig(FleetConfig config);
  const FleetConfig *config() const { return newestConfig ? &*newestConfig : nullptr; }
  /// True if the configuration says that the service's endpoints are model engines.
  bool hasEngines(const ServiceName &service) const;

  void putEndpoint(FleetEndpoint entry, Instant now);
  /// The registration has gone. Shortly after a store outage the endpoint may only have been
  /// unable to renew it, and is kept until it has had the time to return.
  void removeEndpoint(const EndpointName &name, Instant now);
  /// The registry was lost or regained by this host.
  void setRegistryConnected(bool connected, Instant now);
  /// This host reads the registry only now and then, and so may have missed an outage of the store.
  void setReadsInfrequently(bool seldom) { readsInfrequently = seldom; }
  /// True while an endpoint is kept whose registration may return.
  bool isAwaitingReregistration() const;
  /// Drops endpoints whose registration has not returned in time.
  void expire(Instant now);
  void applyNotice(const HoldingsNotice &notice, Instant now);
  void setPeersInFlight(const EndpointName &name, int n);

  void onSent(const EndpointName &name);
  void onEnded(const EndpointName &name, EndpointResult result, Instant now);
  /// The endpoint answered that it does not hold `ref`.
  void onModelMissing(const EndpointName &name, const ModelRef &ref, Instant now);
  /// An answer of the endpoint said that it leaves; `heard` if another host got that answer.
  void onLeaving(const LeavingEndpoint &endpoint, Instant now, bool reportedByHost = false);
  /// The endpoint refused a request and wants none from this host for `d`.
  void onBackoff(const FleetEndpoint &endpoint, Duration d, Instant now);
  const EndpointSignals &signals() const { return endpointSignals; }
  /// Another host has read in the registry that the endpoint leaves or has gone.
  void onDeparture(const Departure &departure);
  /// What this host has read there a short time ago.
  std::vector<Departure> departures(Instant now) const { return departureLog.recent(now); }
  /// The newest registration of an endpoint that can serve at once: a plain one, or one that holds
  /// models. 0 if there is none.
  std::uint64_t newestArrival() const { return newestArrivalRevision; }

  const std::map<EndpointName, EndpointState> &endpoints() const { return states; }
  const EndpointState *find(const EndpointName &name) const;

  /// Calls `wake` after the next change that may let a waiting request go on. Returns a handle for
  /// cancelWait().
  using Waiter = std::list<std::function<void()>>::iterator;
  Waiter waitForChange(std::function<void()> wake);
  void cancelWait(Waiter waiter) { waiters.erase(waiter); }

private:
  void notifyWaiters();
  void applySignals(EndpointState &state) const;
  void recordArrival(const EndpointState &state, bool isNew);
  void recordDeparture(const EndpointState &state, Instant now);

  std::optional<FleetConfig> newestConfig;
  std::map<EndpointName, EndpointState> states;
  EndpointSignals endpointSignals;
  DepartureLog departureLog;
  std::uint64_t newestArrivalRevision = 0;
  std::list<std::function<void()>> waiters;
  bool registryConnected = false;
  Instant registryReconnectedAt;
  bool everConnected = false;
  bool readsInfrequently = false;
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

/// When the first endpoint may take the request that has refused such ones for now: it asked for a
/// pause, or answered a moment ago that it does not hold the model. Empty if there is none.
std::optional<Instant> earliestReadyTime(const FleetView &view, const EndpointQuery &query,
                                         Instant now);

} // namespace catkin
