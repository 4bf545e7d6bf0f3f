#include "fleet_view_p.h"

#include "config.h"
#include "log_p.h"

#include <algorithm>
#include <utility>

namespace catkin {

namespace {

// Weight of the newest request in the moving average of the failure share.
constexpr double FailureWeight = 0.2;
// Shorter than the time in which an engine restarts and loads a model, so that it cannot take a
// stream in another incarnation than the confirmed one.
constexpr Duration ConfirmationLifetime = std::chrono::milliseconds(500);

/// Doubles with each further failure in a row, at most four times.
Duration avoidTime(int failuresInRow) {
  auto doublings = std::clamp(failuresInRow - 1, 0, 4);
  return config::FleetAvoidMin * (1 << doublings);
}

} // namespace

const std::vector<HeldModel> &EndpointState::models(Instant now) const {
  if (!notice || notice->incarnation != entry.incarnation)
    return entry.holdings.models;
  // The notice is newer than a registration that precedes the planner's newest order, whatever the
  // age of the notice.
  const bool olderEntry = entry.holdings.orderCount < notice->orderCount;
  const bool freshNotice = now - noticeAt < config::FleetNoticeMaxAge;
  return olderEntry || freshNotice ? notice->models : entry.holdings.models;
}

Instant EndpointState::readyTime(const ModelRef &ref) const {
  auto it = missingUntil.find(ref);
  return it == missingUntil.end() ? backoffUntil : std::max(backoffUntil, it->second);
}

bool FleetView::setConfig(FleetConfig config) {
  if (newestConfig && config.version <= newestConfig->version)
    return false;
  newestConfig = std::move(config);
  notifyWaiters();
  return true;
}

bool FleetView::holdBack(const FleetEndpoint &entry, Instant now) {
  auto *known = find(entry.name);
  const auto incarnation = known ? std::optional(known->entry.incarnation) : std::nullopt;
  if (!restoreGuard.contradicts(entry, incarnation, now)) {
    restoreGuard.drop(entry.name);
    restoreGuard.onRegistered(incarnationOf(entry));
    return false;
  }
  logLine(LogLevel::Info, "endpoint of an older copy of the store, not used",
          {{"endpoint", entry.name.value},
           {"incarnation", entry.incarnation},
           {"known", incarnation.value_or(0)},
           {"revision", entry.revision.number}});
  restoreGuard.hold(entry);
  return true;
}

void FleetView::putEndpoint(FleetEndpoint entry, Instant now) {
  if (holdBack(entry, now))
    return;
  auto &state = states[entry.name];
  const bool isNew = state.entry.incarnation != entry.incarnation;
  const bool wasLive = !isNew && state.acceptsRequests();
  if (isNew) {
    // What was known about an engine no longer holds after its restart.
    state.notice.reset();
    state.load.forgetPace();
    state.failureShare = 0;
    state.failuresInRow = 0;
    state.avoidUntil = now;
    state.permitAfter = {};
    state.mayHaveRestarted = false;
    state.confirmedAt.reset();
  }
  versionHistory.onSeen(entry.service, entry.softwareVersion, now);
  state.missingUntil.clear();
  state.expiresAt.reset();
  // An older copy of the store has the holdings of before the newest orders.
  if (!isNew && entry.holdings.orderCount < state.entry.holdings.orderCount)
    entry.holdings = std::move(state.entry.holdings);
  state.entry = std::move(entry);
  state.registeredAsLeaving = !state.acceptsRequests();
  applySignals(state);
  recordArrival(state, !wasLive);
  if (!state.acceptsRequests() && wasLive)
    recordDeparture(state, now);
  notifyWaiters();
}

void FleetView::removeEndpoint(const EndpointName &name, Instant now) {
  restoreGuard.drop(name);
  auto it = states.find(name);
  if (it == states.end())
    return;
  auto &state = it->second;
  auto keptUntil = registryOutageEndedAt + config::FleetReregistrationTime;
  const bool afterOutage = registryOutageEndedAt != Instant{} && now < keptUntil;
  if (readsInfrequently && !afterOutage)
    keptUntil = now + config::FleetReregistrationTime;
  if (state.acceptsRequests() && (afterOutage || readsInfrequently)) {
    state.expiresAt = state.expiresAt.value_or(keptUntil);
    logLine(LogLevel::Info, "endpoint without a registration, kept for now",
            {{"endpoint", name.value},
             {"incarnation", state.entry.incarnation},
             {"kept_ms", toMillis(*state.expiresAt - now)},
             {"after_outage", afterOutage},
             {"since_outage_ms", afterOutage ? toMillis(now - registryOutageEndedAt) : -1}});
  } else {
    onGone(state, now);
    states.erase(it);
  }
  notifyWaiters();
}

/// Endpoints that are missing in the copy may just have registered after it was made. Those that
/// have announced that they leave do so, whatever the copy says; hosts that have just started hear
/// of them.
void FleetView::onStoreRestored(Instant now) {
  onRegistryOutageEnded(now);
  for (auto &it : restoreGuard.onRestored(now))
    endpointSignals.onLeaving(it, now);
  for (auto &[name, state] : states) {
    const EndpointIncarnation endpoint = incarnationOf(state.entry);
    if (hasAnnouncedLeave(state))
      endpointSignals.onLeaving(endpoint, now);
    else if (!state.acceptsRequests())
      restoreGuard.onDeparted(endpoint, false, now);
  }
}

void FleetView::onRegistryOutageEnded(Instant now) {
  if (everConnected)
    registryOutageEndedAt = now;
}

void FleetView::setRegistryConnected(bool connected) {
  everConnected = everConnected || connected;
  registryConnected = connected;
}

bool FleetView::isAwaitingReregistration() const {
  return std::any_of(states.begin(), states.end(),
                     [](auto &it) { return it.second.expiresAt.has_value(); });
}

void FleetView::expire(Instant now) {
  endpointSignals.expire(now);
  departureLog.expire(now);
  restoreGuard.expire(now);
  for (auto &it : restoreGuard.takeConfirmed(now))
    putEndpoint(std::move(it), now);
  std::erase_if(states, [&](auto &it) {
    const bool expired = it.second.expiresAt && now >= *it.second.expiresAt;
    if (expired)
      onGone(it.second, now);
    return expired;
  });
}

/// Ignores an engine without models: it serves only after a load, which the planner announces.
void FleetView::recordArrival(const EndpointState &state, bool isNew) {
  auto &entry = state.entry;
  const bool isPlainService = entry.holdings.models.empty() && !hasEngines(entry.service);
  const bool canServeNow =
      isNew && state.acceptsRequests() && (isPlainService || !entry.holdings.models.empty());
  if (canServeNow)
    newestArrivalRevision = std::max(newestArrivalRevision, entry.revision);
}

void FleetView::onGone(const EndpointState &state, Instant now) {
  recordDeparture(state, now);
  restoreGuard.onDeparted(incarnationOf(state.entry), hasAnnouncedLeave(state), now);
}

bool FleetView::hasAnnouncedLeave(const EndpointState &state) const {
  return state.registeredAsLeaving || endpointSignals.isLeaving(incarnationOf(state.entry));
}

void FleetView::recordDeparture(const EndpointState &state, Instant now) {
  departureLog.add({state.entry.name, state.entry.revision}, now);
}

bool FleetView::hasEngines(const ServiceName &service) const {
  auto *known = config();
  if (!known)
    return false;
  auto it = known->services.find(service);
  return it != known->services.end() && it->second.hasEngines;
}

void FleetView::onDeparture(const Departure &departure) {
  auto it = states.find(departure.endpoint);
  if (it == states.end())
    return;
  auto &state = it->second;
  state.departedRevision =
      std::max(state.departedRevision.value_or(StoreRevision()), departure.revision);
  if (!state.acceptsRequests() || state.entry.revision > departure.revision)
    return;
  applySignals(state);
  logLine(LogLevel::Info, "endpoint leaves, as another host has read",
          {{"endpoint", departure.endpoint.value},
           {"incarnation", state.entry.incarnation},
           {"revision", departure.revision.number}});
}

void FleetView::applyNotice(const HoldingsNotice &notice, Instant now) {
  auto it = states.find(notice.endpoint);
  if (it == states.end())
    return;
  auto &state = it->second;
  if (state.entry.incarnation != notice.incarnation) {
    // The planner has read a registration that this host has not.
    state.mayHaveRestarted = state.mayHaveRestarted || notice.incarnation > state.entry.incarnation;
    return;
  }
  auto noticeOrder = [](const HoldingsNotice &n) { return std::pair(n.term, n.sequence); };
  if (state.notice && noticeOrder(notice) < noticeOrder(*state.notice))
    return;
  bool changed = !state.notice || state.notice->models != notice.models;
  state.notice = notice;
  state.noticeAt = now;
  if (!changed)
    return;
  state.missingUntil.clear();
  notifyWaiters();
}

void FleetView::setPeersInFlight(const EndpointName &name, int n, const EngineTokens &tokens) {
  auto it = states.find(name);
  if (it == states.end())
    return;
  it->second.peersInFlight = n;
  it->second.load.setPeers(tokens);
}

void FleetView::onSent(const EndpointName &name) {
  auto it = states.find(name);
  if (it != states.end())
    ++it->second.ownInFlight;
}

EngineRun FleetView::onSent(const EndpointName &name, const EngineRequest &request, Instant now) {
  auto it = states.find(name);
  if (it == states.end())
    return {};
  auto &state = it->second;
  return state.load.onSent(request, state.requests(), state.entry.slots, now);
}

void FleetView::onEvents(const EndpointName &name, EngineRun &run, int n, Instant now) {
  auto it = states.find(name);
  if (it != states.end())
    it->second.load.onEvents(run, n, it->second.requests(), now);
}

void FleetView::onRunEnded(const EndpointName &name, const EngineRun &run, EndpointResult result,
                           Instant now) {
  const bool wasRunning =
      result != EndpointResult::NotConnected && result != EndpointResult::Refused;
  auto it = states.find(name);
  if (it != states.end())
    it->second.load.onEnded(run, wasRunning, now);
}

void FleetView::onEnded(const EndpointName &name, EndpointResult result, Instant now) {
  auto it = states.find(name);
  if (it == states.end())
    return;
  auto &state = it->second;
  state.ownInFlight = std::max(0, state.ownInFlight - 1);
  notifyWaiters();
  if (result != EndpointResult::Abandoned && result != EndpointResult::Refused)
    recordResult(state, result, now);
}

void FleetView::recordResult(EndpointState &state, EndpointResult result, Instant now) {
  bool failed = result != EndpointResult::Answered;
  state.failureShare += FailureWeight * ((failed ? 1.0 : 0.0) - state.failureShare);
  state.failuresInRow = failed ? state.failuresInRow + 1 : 0;
  state.mayHaveRestarted = state.mayHaveRestarted || failed;
  // A single failed answer is no reason to avoid an endpoint, unlike a single failed connection.
  if (result == EndpointResult::NotConnected || state.failuresInRow >= config::FleetAvoidAfter)
    state.avoidUntil = now + avoidTime(state.failuresInRow);
}

void FleetView::onConfirmed(const EndpointIncarnation &endpoint, bool confirmed, Instant now) {
  auto it = states.find(endpoint.endpoint);
  if (it == states.end() || it->second.entry.incarnation != endpoint.incarnation)
    return;
  if (!confirmed)
    return recordResult(it->second, EndpointResult::NotConnected, now);
  it->second.mayHaveRestarted = false;
  it->second.confirmedAt = now;
}

bool FleetView::isIncarnationDoubtful(const EndpointState &state, Instant now) const {
  const bool wasConfirmed = state.confirmedAt && now < *state.confirmedAt + ConfirmationLifetime;
  return state.mayHaveRestarted || (!registryConnected && !wasConfirmed);
}

std::map<ServiceName, SoftwareVersions> FleetView::recordVersions(Instant now) {
  std::map<ServiceName, SoftwareVersions> out;
  for (auto &[name, it] : states) {
    versionHistory.onSeen(it.entry.service, it.entry.softwareVersion, now);
    out[it.entry.service].insert(it.entry.softwareVersion);
  }
  return out;
}

void FleetView::onModelMissing(const EndpointName &name, const ModelRef &ref, Instant now) {
  auto it = states.find(name);
  if (it != states.end())
    it->second.missingUntil[ref] = now + config::FleetModelMissingTime;
}

void FleetView::onLeaving(const EndpointIncarnation &endpoint, Instant now, bool reportedByHost) {
  const bool isNewSignal = reportedByHost ? endpointSignals.onLeavingReportedByHost(endpoint, now)
                                          : endpointSignals.onLeaving(endpoint, now);
  auto it = states.find(endpoint.endpoint);
  if (!isNewSignal || it == states.end())
    return;
  applySignals(it->second);
  logLine(LogLevel::Info, "endpoint leaves by its own answer",
          {{"endpoint", endpoint.endpoint.value},
           {"incarnation", endpoint.incarnation},
           {"heard", reportedByHost}});
}

void FleetView::onAnnouncements(const EndpointIncarnation &endpoint,
                                const EndpointAnnouncements &announced, Instant sentAt,
                                Instant now) {
  if (announced.leaving)
    onLeaving(endpoint, now);
  if (announced.limitIsUnreadable)
    return logLine(LogLevel::Warn, "request limit cannot be read",
                   {{"endpoint", endpoint.endpoint.value}, {"incarnation", endpoint.incarnation}});
  if (!announced.requestsPerSecond && !announced.servesWithoutLimit)
    return;
  auto &limits = endpointSignals.limits();
  const bool changed = limits.onAnswer(endpoint, announced.requestsPerSecond, sentAt, now);
  if (changed)
    onLimitChanged(endpoint, false);
}

void FleetView::onLimitReportedByHost(const RequestLimit &limit, Instant now) {
  const bool changed = endpointSignals.limits().onReportedByHost(limit, now);
  if (changed)
    onLimitChanged(limit.endpoint, true);
}

void FleetView::onPermitDenied(const EndpointIncarnation &endpoint, Duration d, Instant now) {
  auto it = states.find(endpoint.endpoint);
  if (it != states.end() && it->second.entry.incarnation == endpoint.incarnation)
    it->second.permitAfter = now + d;
}

void FleetView::onLimitChanged(const EndpointIncarnation &endpoint, bool reportedByHost) {
  const RequestLimit limit = endpointSignals.limits().find(endpoint);
  logLine(LogLevel::Info,
          limit.perSecond ? "endpoint names a request limit" : "endpoint names no request limit",
          {{"endpoint", endpoint.endpoint.value},
           {"incarnation", endpoint.incarnation},
           {"per_second", limit.perSecond.value_or(0)},
           {"limit_version", limit.version},
           {"heard", reportedByHost}});
  auto it = states.find(endpoint.endpoint);
  if (limit.perSecond || it == states.end())
    return;
  it->second.permitAfter = {};
  notifyWaiters();
}

void FleetView::onBackoff(const FleetEndpoint &endpoint, Duration d, Instant now) {
  endpointSignals.onBackoff(endpoint.name, endpoint.incarnation, now + d);
  auto it = states.find(endpoint.name);
  if (it != states.end())
    applySignals(it->second);
}

/// The registry may lag behind the endpoint's own announcements.
void FleetView::applySignals(EndpointState &state) const {
  auto &entry = state.entry;
  const bool departedSince = state.departedRevision && entry.revision <= *state.departedRevision;
  if (departedSince || endpointSignals.isLeaving({entry.name, entry.incarnation}))
    entry.liveness = Liveness::Leaving;
  state.backoffUntil = endpointSignals.backoffUntil(entry.name, entry.incarnation);
}

const EndpointState *FleetView::find(const EndpointName &name) const {
  auto it = states.find(name);
  return it == states.end() ? nullptr : &it->second;
}

FleetView::Waiter FleetView::waitForChange(std::function<void()> wake) {
  return waiters.insert(waiters.end(), std::move(wake));
}

void FleetView::notifyWaiters() {
  for (auto &it : waiters)
    it();
}

} // namespace catkin
