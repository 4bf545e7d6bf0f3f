#include "endpoint_choice_p.h"

#include <algorithm>
#include <limits>
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

// The following are for requests of known size, whose costs are in seconds.
constexpr double FailureSeconds = 3;
constexpr double FullSeconds = 100; // an engine without memory is chosen before an avoided one
// If callers name far more answer tokens than they get, all engines seem full. The predicted time
// must then still count.
constexpr double FullSecondsPerMemory = 4;
// Other hosts may have sent requests since their reports, and the engines run them all the same.
constexpr double MemoryShare = 0.75;
// A request in progress slows all steps of its batch, for as long as the new one runs.
constexpr double SecondsPerRequest = 0.002;
// Part of a prompt that requests with the same affinity value share.
constexpr double KeptShare = 0.3;
// A kept prompt does not attract requests to an engine whose memory is used to this share. Without
// that, those with the most frequent prompts filled it beyond its memory between two reports.
constexpr double KeeperMemoryShare = 0.5;
constexpr double ReportAge = 0.8; // usual age of the reports of other hosts and their delay
constexpr double MinWait = 0.05;
// Where nothing is reported, others may still have sent a few requests of the same size. With one
// instead of three, idle engines were filled beyond their memory between two reports.
constexpr double OwnSizes = 3;
// A short prompt that arrives behind a long one is read after it, whatever is chosen with reports
// of 0.2 to 2 s ago. All hosts therefore keep long prompts away from the same few engines, as long
// as the others are not much busier.
constexpr std::uint64_t ShortOnlyPercent = 25;
constexpr std::uint64_t ShortOnlySeed = 0x5c0a7;
constexpr double ShortPromptTokens = 2048;
constexpr double MaxShortOnlySlowness = 1.6; // short prompts avoid a slower engine anyway
constexpr double LongPromptShare = 0.3; // of the objective, for which a long prompt waits elsewhere
constexpr double ShortPromptSeconds = 0.05;
constexpr double DefaultObjectiveSeconds = 1;

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

/// Returns the endpoint with the lowest cost in requests in progress.
const EndpointState *chooseByRequests(const std::vector<const EndpointState *> &candidates,
                                      const EndpointQuery &query, Instant now,
                                      std::uint64_t random) {
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

/// An engine that can take a request of known size.
struct Candidate {
  const EndpointState *state = nullptr;
  double seconds = 0;    ///< predicted time to the first event, and penalties
  double slowness = 1;   ///< of the engine
  bool isHome = false;   ///< it is in this host's data centre
  bool usable = true;    ///< it neither fails nor lacks memory
  bool forShort = false; ///< long prompts are kept away from it
};

/// Returns the engine that keeps the shared prompt parts of such requests, if any does. Each data
/// centre has one of its own, or requests would leave because of their prompts.
const EndpointState *keeperOf(const std::vector<const EndpointState *> &endpoints,
                              const EndpointQuery &query, Instant now) {
  std::vector<const EndpointState *> home;
  if (query.affinity != 0)
    for (auto *it : endpoints)
      if (it->entry.dataCentre == query.dataCentre)
        home.push_back(it);
  return preferredEndpoint(home.empty() ? endpoints : home, query.affinity, now);
}

/// Returns the part of the engine's memory that is used once it holds the request. `capacity` is in
/// tokens; if it is not known, 0 is returned.
double memoryUse(const EndpointState &state, const EngineRequest &request, double capacity) {
  const double needed = state.load.heldTokens() + request.promptTokens + request.answerTokens;
  return capacity > 0 ? needed / capacity : 0;
}

/// Returns true if the engine is one of those that long prompts are kept away from.
bool isForShortPrompts(const EndpointState &state, double slowness) {
  return slowness < MaxShortOnlySlowness &&
         rendezvousHash(state, ShortOnlySeed) % 100 < ShortOnlyPercent;
}

Candidate makeCandidate(const EndpointState &state, const EndpointQuery &query, Instant now,
                        double capacity, bool isKeeper) {
  Candidate out{.state = &state,
                .slowness = state.load.slowness(now),
                .isHome = state.entry.dataCentre == query.dataCentre};
  out.forShort = isForShortPrompts(state, out.slowness);
  double seconds = state.load.nominalSeconds(query.request, state.requests(), state.entry.slots);
  seconds += SecondsPerRequest * state.requests();
  const double memory = memoryUse(state, query.request, capacity);
  if (isKeeper)
    seconds -= KeptShare * readSeconds(query.request.promptTokens) *
               std::max(0.0, 1 - memory / KeeperMemoryShare);
  out.seconds = seconds * out.slowness + FailureSeconds * state.failureShare;
  const bool isFull = memory > MemoryShare;
  const bool isAvoided = now < state.avoidUntil;
  out.usable = !isFull && !isAvoided;
  if (isFull)
    out.seconds += FullSeconds + FullSecondsPerMemory * memory;
  if (isAvoided)
    out.seconds += AvoidedPenalty + toSeconds(state.avoidUntil - now);
  return out;
}

/// Adds to the predicted times what separates long prompts from short ones. Engines of which none
/// or all are for short prompts are not affected.
void separateBySize(std::vector<Candidate> &candidates, const EndpointQuery &query) {
  const auto n =
      std::count_if(candidates.begin(), candidates.end(), [](auto &it) { return it.forShort; });
  if (n == 0 || n == static_cast<std::ptrdiff_t>(candidates.size()))
    return;
  const bool isShort = query.request.promptTokens <= ShortPromptTokens;
  const double objective =
      query.objective > Duration::zero() ? toSeconds(query.objective) : DefaultObjectiveSeconds;
  const double penalty = isShort ? ShortPromptSeconds : LongPromptShare * objective;
  for (auto &it : candidates)
    if (it.forShort != isShort)
      it.seconds += penalty;
}

/// Returns the work that other hosts may have sent since their reports, which delays such requests
/// at these engines, in seconds of one engine. By Little's law, the work that arrives in a time is
/// the unread one times this time over the mean time to read it.
double unreportedSeconds(const std::vector<Candidate> &candidates, const EndpointQuery &query) {
  double unread = 0;
  double waits = 0;
  double n = 0;
  for (auto &it : candidates) {
    if (!it.usable)
      continue;
    unread += readSeconds(it.state->load.peerTokensAhead(query.request.priority));
    waits += it.seconds;
    n += 1;
  }
  const double meanWait = std::max(MinWait, waits / std::max(n, 1.0));
  const double own = readSeconds(query.request.promptTokens);
  return std::min(n * ReportAge, OwnSizes * own + unread * ReportAge / meanWait);
}

/// Returns the time up to which `work` seconds fill the engines that are predicted to be earlier.
double levelAfter(const std::vector<Candidate> &candidates, double work) {
  // Newton's method from above. The function is convex and piecewise linear, so it ends soon.
  constexpr int MaxSteps = 12;
  double level = std::numeric_limits<double>::max();
  for (int step = 0; step < MaxSteps; ++step) {
    double weights = 0;
    double filled = work;
    for (auto &it : candidates) {
      if (it.seconds >= level)
        continue;
      weights += 1 / it.slowness;
      filled += it.seconds / it.slowness;
    }
    const double next = filled / weights;
    if (next >= level)
      break;
    level = next;
  }
  return level;
}

/// Chooses at random in proportion to what each engine lacks to the common level. This is what
/// keeps hosts with the same reports from sending all their requests to one engine.
const Candidate &chooseByShare(const std::vector<Candidate> &candidates, double work,
                               std::uint64_t random) {
  const double level = levelAfter(candidates, work);
  const auto share = [&](const Candidate &it) {
    return std::max(0.0, level - it.seconds) / it.slowness;
  };
  double total = 0;
  for (auto &it : candidates)
    total += share(it);
  constexpr double Steps = 1 << 20;
  const std::uint64_t hash = XXH64(&random, sizeof random, 0);
  double rest = total * static_cast<double>(hash % (1 << 20)) / Steps;
  const Candidate *best = &candidates.front();
  for (auto &it : candidates) {
    if (it.seconds < best->seconds)
      best = &it;
    rest -= share(it);
    if (rest < 0)
      return it;
  }
  return *best;
}

/// Returns the earliest predicted time; `none` if there is no candidate.
double earliest(const std::vector<Candidate> &candidates, double none) {
  for (auto &it : candidates)
    none = std::min(none, it.seconds);
  return none;
}

/// Returns the memory of the service's engines in tokens; 0 if it is not known.
double memoryOf(const FleetView &view, const ServiceName &service) {
  if (!view.config())
    return 0;
  auto it = view.config()->services.find(service);
  return it == view.config()->services.end() ? 0 : it->second.engine.tokens;
}

/// Decides whether the request may leave this data centre.
LocalityDecision decideLocality(const std::vector<Candidate> &home,
                                const std::vector<Candidate> &away, const EndpointQuery &query,
                                Instant now) {
  const auto isUsable = [](const Candidate &it) { return it.usable; };
  LocalityPolicy stateless;
  auto &policy = query.locality ? *query.locality : stateless;
  return policy.decide({.service = query.service,
                        .priority = query.request.priority,
                        .hasHome = !home.empty(),
                        .homeUsable = std::any_of(home.begin(), home.end(), isUsable),
                        .awayUsable = std::any_of(away.begin(), away.end(), isUsable),
                        .homeSeconds = earliest(home, AvoidedPenalty),
                        .awaySeconds = earliest(away, AvoidedPenalty),
                        .bytes = query.bytes,
                        .objective = query.objective},
                       now);
}

/// Chooses the engine for a request of known size.
EndpointChoice chooseByTime(const FleetView &view,
                            const std::vector<const EndpointState *> &endpoints,
                            const EndpointQuery &query, Instant now, std::uint64_t random) {
  const double capacity = memoryOf(view, query.service);
  const auto *keeper = keeperOf(endpoints, query, now);
  std::vector<Candidate> home;
  std::vector<Candidate> away;
  for (auto *it : endpoints) {
    const Candidate candidate = makeCandidate(*it, query, now, capacity, it == keeper);
    (candidate.isHome ? home : away).push_back(candidate);
  }
  EndpointChoice out{.homeSeconds = earliest(home, 0), .awaySeconds = earliest(away, 0)};
  LocalityDecision decision;
  if (!away.empty())
    decision = decideLocality(home, away, query, now);
  const double work = unreportedSeconds(home.empty() ? away : home, query);
  separateBySize(home, query);
  separateBySize(away, query);
  if (decision.mayLeave)
    for (auto &it : away) {
      it.seconds += decision.penaltySeconds;
      home.push_back(it);
    }
  const Candidate &chosen = chooseByShare(home, work, random);
  out.endpoint = chosen.state;
  out.seconds = chosen.seconds - (chosen.isHome ? 0 : decision.penaltySeconds);
  if (!chosen.isHome)
    out.leaveReason = decision.reason;
  return out;
}

} // namespace

EndpointChoice decideEndpoint(const FleetView &view, const EndpointQuery &query, Instant now,
                              std::uint64_t random) {
  std::vector<const EndpointState *> candidates;
  for (auto &[name, state] : view.endpoints())
    if (now >= state.readyTime(query.model) && now + query.maxPermitWait >= state.permitAfter &&
        canServe(state, query, now))
      candidates.push_back(&state);
  if (candidates.empty())
    return {};
  if (query.request.hasTokens())
    return chooseByTime(view, candidates, query, now, random);
  return {.endpoint = chooseByRequests(candidates, query, now, random)};
}

const EndpointState *chooseEndpoint(const FleetView &view, const EndpointQuery &query, Instant now,
                                    std::uint64_t random) {
  return decideEndpoint(view, query, now, random).endpoint;
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
