#include "endpoint_search_p.h"

#include <algorithm>

namespace catkin {

std::set<EndpointName> EndpointSearch::allExcluded() const {
  std::set<EndpointName> out = excluded;
  if (usedUp())
    for (auto &[name, it] : view.endpoints())
      if (received.count(name) == 0)
        out.insert(name);
  return out;
}

EndpointQuery EndpointSearch::queryWithout(const std::set<EndpointName> &endpoints) const {
  return {.service = options.service,
          .model = options.model,
          .dataCentre = options.dataCentre,
          .affinity = options.affinity,
          .excluded = &endpoints};
}

const EndpointState *EndpointSearch::choose(Instant now, std::uint64_t random) const {
  const auto out = allExcluded();
  return chooseEndpoint(view, queryWithout(out), now, random);
}

bool EndpointSearch::hasOther(const EndpointName &current, Instant now,
                              std::uint64_t random) const {
  auto out = allExcluded();
  out.insert(current);
  return chooseEndpoint(view, queryWithout(out), now, random) != nullptr;
}

std::optional<Duration> EndpointSearch::readyAgainIn(Instant now) const {
  const auto out = allExcluded();
  const auto end = firstReadyAgain(view, queryWithout(out), now);
  return end ? std::optional(*end - now) : std::nullopt;
}

Duration EndpointSearch::soonestService(Instant now) const {
  const Duration refusing = readyAgainIn(now).value_or(Duration::max());
  const bool loadHelps = !options.model.empty() && !usedUp();
  return loadHelps ? std::min(refusing, fastestLoad(now)) : refusing;
}

/// The shortest load of the model by an engine that takes requests now.
Duration EndpointSearch::fastestLoad(Instant now) const {
  auto owner = view.config()->services.find(options.service);
  if (owner == view.config()->services.end())
    return Duration::max();
  auto &model = options.model.model;
  auto spec = owner->second.engine.models.find(model);
  if (spec == owner->second.engine.models.end())
    return Duration::max();
  Duration best = Duration::max();
  for (auto &[name, it] : view.endpoints()) {
    if (it.entry.service != options.service || !it.takesWork() || now < it.backoffUntil)
      continue;
    auto d = loadTime(spec->second, sourceOf(it.entry.holdings, model));
    if (holds(it.models(now), {model, {}}))
      d = Duration::zero();
    best = std::min(best, d);
  }
  return best;
}

} // namespace catkin
