#include "fleet_view_p.h"

#include "config.h"
#include "log_p.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace catkin {

namespace {

// Weight of the newest request in the moving average of failures.
constexpr double FailureWeight = 0.2;
// An endpoint that fails all requests counts like this many more requests in progress.
constexpr double FailurePenalty = 30;
// Bytes between data centres cost more than a slightly longer queue.
constexpr double OtherDataCentrePenalty = 1.5;
// A prompt cache saves about as much as this many requests in progress cost.
constexpr double AffinityBonus = 3;
constexpr double AvoidedPenalty = 1000; // an avoided endpoint serves only if there is no other
constexpr double TieSpread = 0.1;       // equal endpoints take turns; decides nothing else

Duration avoidTime(int failuresInRow) {
  auto doublings = std::clamp(failuresInRow - 1, 0, 4);
  return config::FleetAvoidMin * (1 << doublings);
}

} // namespace

const std::vector<HeldModel> &EndpointState::models(Instant now) const {
  if (!notice || notice->incarnation != entry.incarnation)
    return entry.holdings.models;
  // A registration of before the planner's newest order says less than its notice, however old.
  const bool olderEntry = entry.holdings.orderCount < notice->orderCount;
  const bool freshNotice = now - noticeAt < config::FleetNoticeMaxAge;
  return olderEntry || freshNotice ? notice->models : entry.holdings.models;
}

Instant EndpointState::readyFor(const ModelRef &ref) const {
  auto it = missing.find(ref);
  return it == missing.end() ? backoffUntil : std::max(backoffUntil, it->second);
}

bool FleetView::setConfig(FleetConfig config) {
  if (newest && config.version <= newest->version)
    return false;
  newest = std::move(config);
  notifyWaiters();
  return true;
}

void FleetView::putEndpoint(FleetEndpoint entry, Instant now) {
  auto &state = states[entry.name];
  const bool isNew = state.entry.incarnation != entry.incarnation;
  const bool wasLive = !isNew && state.takesWork();
  if (isNew) {
    // A restarted engine holds nothing of what was known of it.
    state.notice.reset();
    state.failureShare = 0;
    state.failuresInRow = 0;
    state.avoidUntil = now;
  }
  state.missing.clear();
  state.lapsesAt.reset();
  state.entry = std::move(entry);
  applySignals(state);
  noteArrival(state, !wasLive);
  if (!state.takesWork() && wasLive)
    noteDeparture(state, now);
  notifyWaiters();
}

void FleetView::removeEndpoint(const EndpointName &name, Instant now) {
  auto it = states.find(name);
  if (it == states.end())
    return;
  auto &state = it->second;
  auto returns = registryRegained + config::FleetReregistrationTime;
  const bool afterOutage = everConnected && registryRegained != Instant{} && now < returns;
  if (readsSeldom && !afterOutage)
    returns = now + config::FleetReregistrationTime;
  if (state.takesWork() && (afterOutage || readsSeldom)) {
    state.lapsesAt = state.lapsesAt.value_or(returns);
  } else {
    noteDeparture(state, now);
    states.erase(it);
  }
  notifyWaiters();
}

void FleetView::setRegistryConnected(bool connected, Instant now) {
  if (connected && !registryConnected && everConnected)
    registryRegained = now;
  everConnected = everConnected || connected;
  registryConnected = connected;
}

bool FleetView::awaitsReturn() const {
  return std::any_of(states.begin(), states.end(),
                     [](auto &it) { return it.second.lapsesAt.has_value(); });
}

void FleetView::expire(Instant now) {
  said.expire(now);
  departed.expire(now);
  std::erase_if(states, [&](auto &it) {
    const bool lapsed = it.second.lapsesAt && now >= *it.second.lapsesAt;
    if (lapsed)
      noteDeparture(it.second, now);
    return lapsed;
  });
}

/// An engine that holds nothing serves only after a load, of which its planner tells.
void FleetView::noteArrival(const EndpointState &state, bool isNew) {
  auto &entry = state.entry;
  const bool plain = entry.holdings.models.empty() && !hasEngines(entry.service);
  const bool serves = isNew && state.takesWork() && (plain || !entry.holdings.models.empty());
  if (serves)
    arrival = std::max(arrival, entry.revision);
}

void FleetView::noteDeparture(const EndpointState &state, Instant now) {
  departed.add({state.entry.name, state.entry.revision}, now);
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
  state.departedRevision = std::max(state.departedRevision.value_or(0), departure.revision);
  if (!state.takesWork() || state.entry.revision > departure.revision)
    return;
  applySignals(state);
  logLine(LogLevel::Info, "endpoint leaves, as another host has read",
          {{"endpoint", departure.endpoint.value},
           {"incarnation", state.entry.incarnation},
           {"revision", departure.revision}});
}

void FleetView::applyNotice(const HoldingsNotice &notice, Instant now) {
  auto it = states.find(notice.endpoint);
  if (it == states.end() || it->second.entry.incarnation != notice.incarnation)
    return;
  auto &state = it->second;
  auto age = [](const HoldingsNotice &n) { return std::pair(n.term, n.number); };
  if (state.notice && age(notice) < age(*state.notice))
    return;
  bool changed = !state.notice || state.notice->models != notice.models;
  state.notice = notice;
  state.noticeAt = now;
  if (!changed)
    return;
  state.missing.clear();
  notifyWaiters();
}

void FleetView::setPeersInFlight(const EndpointName &name, int n) {
  auto it = states.find(name);
  if (it != states.end())
    it->second.peersInFlight = n;
}

void FleetView::onSent(const EndpointName &name) {
  auto it = states.find(name);
  if (it != states.end())
    ++it->second.ownInFlight;
}

void FleetView::onEnded(const EndpointName &name, EndpointResult result, Instant now) {
  auto it = states.find(name);
  if (it == states.end())
    return;
  auto &state = it->second;
  state.ownInFlight = std::max(0, state.ownInFlight - 1);
  notifyWaiters();
  if (result == EndpointResult::Abandoned || result == EndpointResult::Refused)
    return;
  bool failed = result != EndpointResult::Answered;
  state.failureShare += FailureWeight * ((failed ? 1.0 : 0.0) - state.failureShare);
  state.failuresInRow = failed ? state.failuresInRow + 1 : 0;
  // One failed answer is no reason to avoid an endpoint; one failed connection is.
  if (result == EndpointResult::NotConnected || state.failuresInRow >= config::FleetAvoidAfter)
    state.avoidUntil = now + avoidTime(state.failuresInRow);
}

void FleetView::onMissing(const EndpointName &name, const ModelRef &ref, Instant now) {
  auto it = states.find(name);
  if (it != states.end())
    it->second.missing[ref] = now + config::FleetModelMissingTime;
}

void FleetView::onLeaving(const LeavingEndpoint &endpoint, Instant now, bool heard) {
  const bool news = heard ? said.onLeavingHeard(endpoint, now) : said.onLeaving(endpoint, now);
  auto it = states.find(endpoint.endpoint);
  if (!news || it == states.end())
    return;
  applySignals(it->second);
  logLine(LogLevel::Info, "endpoint leaves by its own answer",
          {{"endpoint", endpoint.endpoint.value},
           {"incarnation", endpoint.incarnation},
           {"heard", heard}});
}

void FleetView::onBackoff(const FleetEndpoint &endpoint, Duration d, Instant now) {
  said.onBackoff(endpoint.name, endpoint.incarnation, now + d);
  auto it = states.find(endpoint.name);
  if (it != states.end())
    applySignals(it->second);
}

/// The registry may lag behind what the endpoint has said itself.
void FleetView::applySignals(EndpointState &state) const {
  auto &entry = state.entry;
  const bool departedSince = state.departedRevision && entry.revision <= *state.departedRevision;
  if (departedSince || said.isLeaving({entry.name, entry.incarnation}))
    entry.liveness = Liveness::Leaving;
  state.backoffUntil = said.backoffUntil(entry.name, entry.incarnation);
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

namespace {

/// True if the endpoint serves such requests, now or once it takes requests again.
bool serves(const EndpointState &state, const EndpointQuery &query, Instant now) {
  const bool excluded = query.excluded && query.excluded->count(state.entry.name) > 0;
  if (excluded || state.entry.service != query.service || !state.takesWork())
    return false;
  return query.model.empty() || holds(state.models(now), query.model);
}

std::uint64_t rankOf(const EndpointState &state, std::uint64_t seed) {
  auto &name = state.entry.name.value;
  return XXH64(name.data(), name.size(), seed);
}

/// The endpoint that requests with this affinity value go to while it is not avoided.
const EndpointState *favouriteOf(const std::vector<const EndpointState *> &endpoints,
                                 std::uint64_t affinity, Instant now) {
  const EndpointState *best = nullptr;
  if (affinity == 0)
    return best;
  for (auto *it : endpoints)
    if (now >= it->avoidUntil && (!best || rankOf(*it, affinity) > rankOf(*best, affinity)))
      best = it;
  return best;
}

/// What a request would cost at an endpoint, in requests in progress.
double costOf(const EndpointState &state, const EndpointQuery &query, Instant now) {
  double cost = state.ownInFlight + state.peersInFlight;
  cost += FailurePenalty * state.failureShare;
  if (now < state.avoidUntil)
    cost += AvoidedPenalty + toSeconds(state.avoidUntil - now);
  if (state.entry.dataCentre != query.dataCentre)
    cost += OtherDataCentrePenalty;
  return cost;
}

/// From 0 to TieSpread, different for each request.
double tieBreak(const EndpointState &state, std::uint64_t random) {
  constexpr std::uint64_t Steps = 1000;
  return TieSpread * static_cast<double>(rankOf(state, random) % Steps) / Steps;
}

} // namespace

const EndpointState *chooseEndpoint(const FleetView &view, const EndpointQuery &query, Instant now,
                                    std::uint64_t random) {
  std::vector<const EndpointState *> candidates;
  for (auto &[name, state] : view.endpoints())
    if (now >= state.readyFor(query.model) && serves(state, query, now))
      candidates.push_back(&state);
  auto *favourite = favouriteOf(candidates, query.affinity, now);
  const EndpointState *best = nullptr;
  double lowest = 0;
  for (auto *it : candidates) {
    double cost = costOf(*it, query, now) + tieBreak(*it, random);
    if (it == favourite)
      cost -= AffinityBonus;
    if (best && cost >= lowest)
      continue;
    best = it;
    lowest = cost;
  }
  return best;
}

std::optional<Instant> firstReadyAgain(const FleetView &view, const EndpointQuery &query,
                                       Instant now) {
  std::optional<Instant> first;
  for (auto &[name, state] : view.endpoints()) {
    const Instant ready = state.readyFor(query.model);
    if (now < ready && serves(state, query, now))
      first = std::min(first.value_or(Instant::max()), ready);
  }
  return first;
}

} // namespace catkin
