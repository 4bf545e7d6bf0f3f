#pragma once

#include "departure_log_p.h"
#include "endpoint_signals_p.h"
#include "engine_load_p.h"
#include "fleet_types_p.h"
#include "restore_guard_p.h"
#include "version_history_p.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// One host's view of the fleet: the newest configuration, the registered endpoints, the planner's
/// notices about the models that engines hold, and this host's own observations of each endpoint.
/// It does no I/O; callers pass in the time.
namespace catkin {

/// Result of a request to an endpoint, as evidence of the endpoint's health.
enum class EndpointResult {
  Answered,     ///< a complete answer, also one that reports an error of the caller
  Failed,       ///< a server error, or a broken or wrong answer
  NotConnected, ///< no connection could be established
  Refused,      ///< the endpoint reported that it did not run the request
  Abandoned,    ///< this host ended the request first; no evidence about the endpoint
  Count
};
template <> struct EnumNames<EndpointResult> {
  static constexpr std::array<std::string_view, 5> Table{"answered", "failed", "not_connected",
                                                         "refused", "abandoned"};
};

/// The planner's notice of the models that one engine holds, or is about to hold.
struct HoldingsNotice {
  EndpointName endpoint;
  std::uint64_t incarnation = 0;
  std::uint64_t term = 0;     ///< of the planner
  std::uint64_t sequence = 0; ///< grows with each notice of a planner about this engine
  std::vector<HeldModel> models;
  std::uint64_t orderCount = 0; ///< orders that the engine had accepted at that time
};

/// An endpoint's registration and what this host knows about the endpoint.
struct EndpointState {
  FleetEndpoint entry;
  std::optional<HoldingsNotice> notice;
  Instant noticeAt; ///< arrival of `notice`
  /// Models that the endpoint reported as not loaded since its newest notice or registration, and
  /// the time before which it gets no requests for them.
  std::map<ModelRef, Instant> missingUntil;
  int ownInFlight = 0;     ///< requests in progress from this host
  int peersInFlight = 0;   ///< requests in progress from all other hosts
  EngineLoadModel load;    ///< of an engine, in tokens
  double failureShare = 0; ///< moving average over requests of this host, 0 to 1
  int failuresInRow = 0;
  Instant avoidUntil;   ///< no requests before this time, unless no other endpoint is left
  Instant backoffUntil; ///< no requests before this time, at the endpoint's request
  /// A connection to it has failed since its incarnation was last confirmed.
  /// Set as well by a notice of the planner about a later incarnation.
  bool mayHaveRestarted = false;
  std::optional<Instant> confirmedAt; ///< when it last confirmed its incarnation to this host
  Instant permitAfter;                ///< no permit for a request is likely before this time
  /// When to remove the endpoint; set if its registration disappeared around a store outage.
  std::optional<Instant> expiresAt;
  std::optional<StoreRevision> departedRevision; ///< registrations up to this revision are void
  bool registeredAsLeaving = false;              ///< its registration says that it leaves
  /// Returns when the endpoint may get requests for `ref`, judging by its answers; a time in the
  /// past if it may get them now.
  Instant readyTime(const ModelRef &ref) const;
  /// Returns the number of requests in progress, of all hosts.
  int requests() const { return ownInFlight + peersInFlight; }
  /// True unless the endpoint is leaving.
  bool acceptsRequests() const { return entry.liveness == Liveness::Live; }
  /// Returns the models that it holds, by the newer of its registration and the notice.
  const std::vector<HeldModel> &models(Instant now) const;
};

/// Keeps the view and notifies requests that wait for a change of it.
class FleetView {
public:
  /// Returns false and changes nothing if the known configuration is as new or newer.
  bool setConfig(FleetConfig config);
  /// The newest configuration; null before the first one.
  const FleetConfig *config() const { return newestConfig ? &*newestConfig : nullptr; }
  /// Returns true if the service's endpoints are model engines, by the configuration.
  bool hasEngines(const ServiceName &service) const;

  /// Adds an endpoint or replaces its registration.
  void putEndpoint(FleetEndpoint entry, Instant now);
  /// The registration has disappeared. Shortly after a store outage, the endpoint may just have
  /// been unable to renew it. It is then kept until it has had enough time to register again.
  void removeEndpoint(const EndpointName &name, Instant now);
  /// This host has lost or regained its connection to the registry. That alone says nothing about
  /// the endpoints: a watch that is cut off leaves their registrations alone.
  void setRegistryConnected(bool connected);
  /// An outage of the store has ended that was long enough for registrations to lapse.
  void onRegistryOutageEnded(Instant now);
  /// The store has come back from an older copy of itself.
  void onStoreRestored(Instant now);
  /// This host reads the registry at long intervals, so it may miss an outage of the store.
  void setReadsInfrequently(bool seldom) { readsInfrequently = seldom; }
  /// Returns true while an endpoint is kept whose registration may return.
  bool isAwaitingReregistration() const;
  /// Removes endpoints whose registration has not returned in time.
  void expire(Instant now);
  /// Applies a notice of the planner, unless it is older than the known one or about another
  /// incarnation of the engine.
  void applyNotice(const HoldingsNotice &notice, Instant now);
  /// Returns true if the endpoint may have come back in another incarnation than its registration
  /// has: something points to that, or this host has no contact to the registry and the endpoint
  /// has not confirmed its incarnation a short time ago.
  bool isIncarnationDoubtful(const EndpointState &state, Instant now) const;
  /// Sets what is in progress from all other hosts.
  void setPeersInFlight(const EndpointName &name, int n, const EngineTokens &tokens = {});

  /// This host has sent a request to the endpoint.
  void onSent(const EndpointName &name);
  /// Records the size of a request that is sent to an engine; called before the other onSent(). The
  /// result is passed to onEvents() and onRunEnded().
  EngineRun onSent(const EndpointName &name, const EngineRequest &request, Instant now);
  /// `n` further events of the request have arrived.
  void onEvents(const EndpointName &name, EngineRun &run, int n, Instant now);
  /// The request has ended; called in addition to onEnded() and before it.
  void onRunEnded(const EndpointName &name, const EngineRun &run, EndpointResult result,
                  Instant now);
  /// A request of this host to the endpoint has ended.
  void onEnded(const EndpointName &name, EndpointResult result, Instant now);
  /// The endpoint has confirmed its known incarnation, or has not.
  void onConfirmed(const EndpointIncarnation &endpoint, bool confirmed, Instant now);
  /// The endpoint has answered that it does not hold `ref`.
  void onModelMissing(const EndpointName &name, const ModelRef &ref, Instant now);
  /// An answer of the endpoint to a call that was sent at `sentAt` carries these announcements.
  void onAnnouncements(const EndpointIncarnation &endpoint, const EndpointAnnouncements &announced,
                       Instant sentAt, Instant now);
  /// The endpoint has announced in an answer that it is leaving. `reportedByHost`: another host got
  /// that answer.
  void onLeaving(const EndpointIncarnation &endpoint, Instant now, bool reportedByHost = false);
  /// Another host has observed this limit of an endpoint.
  void onLimitReportedByHost(const RequestLimit &limit, Instant now);
  /// No permit for a request to the endpoint is likely to be issued for the time `d`.
  void onPermitDenied(const EndpointIncarnation &endpoint, Duration d, Instant now);
  /// Returns the limit of requests that the endpoint has named.
  RequestLimit limitOf(const FleetEndpoint &endpoint) const {
    return endpointSignals.limits().find(incarnationOf(endpoint));
  }
  /// The endpoint has refused a request and wants none from this host for the time `d`.
  void onBackoff(const FleetEndpoint &endpoint, Duration d, Instant now);
  const EndpointSignals &signals() const { return endpointSignals; }
  /// The software versions of the endpoints, as far as this host has read them.
  const VersionHistory &versions() const { return versionHistory; }
  /// Records which versions are registered now, and returns them by service.
  std::map<ServiceName, SoftwareVersions> recordVersions(Instant now);
  /// Another host has read in the registry that the endpoint is leaving or gone.
  void onDeparture(const Departure &departure);
  /// Returns the departures that this host has read in the registry a short time ago.
  std::vector<Departure> departures(Instant now) const { return departureLog.recent(now); }
  /// Store revision of the newest registration of an endpoint that could serve at once: one of a
  /// plain service, or an engine that holds models. The first revision if there is none.
  StoreRevision newestArrival() const { return newestArrivalRevision; }

  const std::map<EndpointName, EndpointState> &endpoints() const { return states; }
  /// Returns null for an unknown endpoint.
  const EndpointState *find(const EndpointName &name) const;

  /// Calls `wake` after each change that may let a waiting request continue, until cancelWait().
  /// Returns the handle for cancelWait().
  using Waiter = std::list<std::function<void()>>::iterator;
  Waiter waitForChange(std::function<void()> wake);
  void cancelWait(Waiter waiter) { waiters.erase(waiter); }

private:
  void notifyWaiters();
  void recordResult(EndpointState &state, EndpointResult result, Instant now);
  /// Logs a changed limit. If it has ended, requests go to the endpoint again.
  void onLimitChanged(const EndpointIncarnation &endpoint, bool reportedByHost);
  /// Sets the state of an endpoint by its announcements and by the departures of other hosts.
  void applySignals(EndpointState &state) const;
  /// Holds the registration back if it comes from an older copy of the store. Returns true if so.
  bool holdBack(const FleetEndpoint &entry, Instant now);
  void recordArrival(const EndpointState &state, bool isNew);
  /// Records that the endpoint's registration is gone for good.
  void onGone(const EndpointState &state, Instant now);
  void recordDeparture(const EndpointState &state, Instant now);
  /// Returns true if the endpoint itself has said that it leaves, in its registration or an answer.
  /// One that another host has seen removed may only be missing in an older copy of the store.
  bool hasAnnouncedLeave(const EndpointState &state) const;

  std::optional<FleetConfig> newestConfig;
  std::map<EndpointName, EndpointState> states;
  EndpointSignals endpointSignals;
  DepartureLog departureLog;
  RestoreGuard restoreGuard;
  VersionHistory versionHistory;
  StoreRevision newestArrivalRevision;
  std::list<std::function<void()>> waiters;
  bool registryConnected = false;
  Instant registryOutageEndedAt; ///< default value if there was no outage
  bool everConnected = false;
  bool readsInfrequently = false;
};

} // namespace catkin
