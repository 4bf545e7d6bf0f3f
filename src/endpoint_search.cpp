#include "endpoint_search_p.h"

#include <algorithm>

namespace catkin {

std::set<EndpointName> EndpointSearch::excludedEndpoints() const {
  std::set<EndpointName> out = excluded;
  const bool isAtLimit = hasReachedEndpointLimit();
  if (!isAtLimit && excludedVersions.empty())
    return out;
  for (auto &[name, it] : view.endpoints())
    if ((isAtLimit && received.count(name) == 0) ||
        excludedVersions.count(it.entry.softwareVersion) > 0)
      out.insert(name);
  return out;
}

EndpointQuery EndpointSearch::queryExcluding(const std::set<EndpointName> &endpoints) const {
  return {.service = options.service,
          .model = options.model,
          .dataCentre = options.dataCentre,
          .affinity = options.affinity,
          .softwareVersion = requiredVersion ? &*requiredVersion : nullptr,
          .excluded = &endpoints,
          .request = options.request,
          .bytes = options.bytes,
          .objective = options.objective};
}

const EndpointState *EndpointSearch::choose(Instant now, std::uint64_t random,
                                            Duration maxPermitWait) const {
  return decide(now, random, maxPermitWait).endpoint;
}

EndpointChoice EndpointSearch::decide(Instant now, std::uint64_t random,
                                      Duration maxPermitWait) const {
  const auto out = excludedEndpoints();
  auto query = queryExcluding(out);
  query.maxPermitWait = maxPermitWait;
  query.locality = options.locality;
  return decideEndpoint(view, query, now, random);
}

bool EndpointSearch::hasAlternative(const EndpointName &current, Instant now,
                                    std::uint64_t random) const {
  auto out = excludedEndpoints();
  out.insert(current);
  return chooseEndpoint(view, queryExcluding(out), now, random) != nullptr;
}

std::optional<Duration> EndpointSearch::timeUntilReady(Instant now) const {
  const auto out = excludedEndpoints();
  const auto end = earliestReadyTime(view, queryExcluding(out), now);
  return end ? std::optional(*end - now) : std::nullopt;
}

std::optional<Duration> EndpointSearch::timeUntilPermit(Instant now) const {
  const auto out = excludedEndpoints();
  const auto end = earliestPermitTime(view, queryExcluding(out), now);
  return end ? std::optional(*end - now) : std::nullopt;
}

bool EndpointSearch::isStillUsable(const FleetEndpoint &endpoint) const {
  auto *state = view.find(endpoint.name);
  return state && state->acceptsRequests() && state->entry.incarnation == endpoint.incarnation;
}

Duration EndpointSearch::shortestWait(Instant now) const {
  const Duration refusing = timeUntilReady(now).value_or(Duration::max());
  // The planner does not choose by version, so a load may be at an engine of another one.
  const bool loadHelps = !options.model.empty() && !hasReachedEndpointLimit() && !requiredVersion;
  return loadHelps ? std::min(refusing, shortestLoadTime(now)) : refusing;
}

/// Returns the shortest load time of the model over the engines that accept requests now; zero if
/// one of them holds the model, Duration::max() if no engine may load it.
Duration EndpointSearch::shortestLoadTime(Instant now) const {
  auto owner = view.config()->services.find(options.service);
  if (owner == view.config()->services.end())
    return Duration::max();
  auto &model = options.model.model;
  auto spec = owner->second.engine.models.find(model);
  if (spec == owner->second.engine.models.end())
    return Duration::max();
  Duration best = Duration::max();
  for (auto &[name, it] : view.endpoints()) {
    const bool refuses = now < it.backoffUntil || now < it.permitAfter;
    if (it.entry.service != options.service || !it.acceptsRequests() || refuses)
      continue;
    auto d = loadTime(spec->second, sourceOf(it.entry.holdings, model));
    if (holds(it.models(now), {model, {}}))
      d = Duration::zero();
    best = std::min(best, d);
  }
  return best;
}

} // namespace catkin
