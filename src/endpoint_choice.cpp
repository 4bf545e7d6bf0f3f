#include "endpoint_choice_p.h"

#include <algorithm>
#include <vector>

#include <xxhash.h>

namespace catkin {

namespace {

// An endpoint that fails all requests counts as if it had this many more requests in progress.
constexpr double FailurePenalty = 30;
// Traffic between data centres costs more than a slightly longer queue.
constexpr double OtherDataCentrePenalty = 1.5;
// A hit in the prompt cache saves about as much time as this many requests in progress cost.
constexpr double AffinityBonus = 3;
constexpr double AvoidedPenalty = 1000; // an avoided endpoint is chosen only if there is no other
// Varies the choice among equal endpoints, and affects no other choice.
constexpr double TieSpread = 0.1;

/// Returns true if the endpoint can serve such requests, now or once it accepts them again.
bool canServe(const EndpointState &state, const EndpointQuery &query, Instant now) {
  const bool excluded = query.excluded && query.excluded->count(state.entry.name) > 0;
  if (excluded || state.entry.service != query.service || !state.acceptsRequests())
    return false;
  if (query.softwareVersion && state.entry.softwareVersion != *query.softwareVersion)
    return false;
  return query.model.empty() || holds(state.models(now), query.model);
}

/// Hash of the endpoint's name. The endpoint with the highest value for a seed is preferred, so
/// that few preferences move when endpoints come or go.
std::uint64_t rendezvousHash(const EndpointState &state, std::uint64_t seed) {
  auto &name = state.entry.name.value;
  return XXH64(name.data(), name.size(), seed);
}

/// Returns the preferred endpoint of requests with this affinity value, among those that are not
/// avoided. Null without an affinity value.
const EndpointState *preferredEndpoint(const std::vector<const EndpointState *> &endpoints,
                                       std::uint64_t affinity, Instant now) {
  const EndpointState *best = nullptr;
  if (affinity == 0)
    return best;
  for (auto *it : endpoints)
    if (now >= it->avoidUntil &&
        (!best || rendezvousHash(*it, affinity) > rendezvousHash(*best, affinity)))
      best = it;
  return best;
}

/// Returns the cost of a request at an endpoint, in units of one request in progress.
double costOf(const EndpointState &state, const EndpointQuery &query, Instant now) {
  double cost = state.ownInFlight + state.peersInFlight;
  cost += FailurePenalty * state.failureShare;
  if (now < state.avoidUntil)
    cost += AvoidedPenalty + toSeconds(state.avoidUntil - now);
  if (state.entry.dataCentre != query.dataCentre)
    cost += OtherDataCentrePenalty;
  return cost;
}

/// Returns a value from 0 to TieSpread that differs between requests.
double tieBreak(const EndpointState &state, std::uint64_t random) {
  constexpr std::uint64_t Steps = 1000;
  return TieSpread * static_cast<double>(rendezvousHash(state, random) % Steps) / Steps;
}

} // namespace

const EndpointState *chooseEndpoint(const FleetView &view, const EndpointQuery &query, Instant now,
                                    std::uint64_t random) {
  std::vector<const EndpointState *> candidates;
  for (auto &[name, state] : view.endpoints())
    if (now >= state.readyTime(query.model) && now + query.maxPermitWait >= state.permitAfter &&
        canServe(state, query, now))
      candidates.push_back(&state);
  auto *preferred = preferredEndpoint(candidates, query.affinity, now);
  const EndpointState *best = nullptr;
  double lowest = 0;
  for (auto *it : candidates) {
    double cost = costOf(*it, query, now) + tieBreak(*it, random);
    if (it == preferred)
      cost -= AffinityBonus;
    if (best && cost >= lowest)
      continue;
    best = it;
    lowest = cost;
  }
  return best;
}

namespace {

/// Returns the earliest of the times that `timeOf` gives for the endpoints that can serve such
/// requests, among those after `now`. Empty if there is none.
template <class TimeOf>
std::optional<Instant> earliestTimeAfter(const FleetView &view, const EndpointQuery &query,
                                         Instant now, TimeOf timeOf) {
  std::optional<Instant> first;
  for (auto &[name, state] : view.endpoints()) {
    const Instant time = timeOf(state);
    if (now < time && canServe(state, query, now))
      first = std::min(first.value_or(Instant::max()), time);
  }
  return first;
}

} // namespace

std::optional<Instant> earliestReadyTime(const FleetView &view, const EndpointQuery &query,
                                         Instant now) {
  return earliestTimeAfter(view, query, now, [&](auto &it) { return it.readyTime(query.model); });
}

std::optional<Instant> earliestPermitTime(const FleetView &view, const EndpointQuery &query,
                                          Instant now) {
  return earliestTimeAfter(view, query, now, [](auto &it) { return it.permitAfter; });
}

} // namespace catkin
