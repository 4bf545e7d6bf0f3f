#include "holdings_notifier_p.h"

#include "config.h"

namespace catkin {

namespace {

constexpr Duration GatherTime = std::chrono::milliseconds(250);
// Two repetitions bridge the time until every host has read the change from the registry.
constexpr int Repeats = 2;
constexpr Duration RepeatPause = std::chrono::milliseconds(1200);

} // namespace

void HoldingsNotifier::begin(const EndpointName &engine, std::uint64_t incarnation,
                             const std::vector<HeldModel> &models) {
  engines[engine] = {.incarnation = incarnation, .models = models};
}

bool HoldingsNotifier::isDue(const EndpointName &engine, const std::vector<HeldModel> &models,
                             Instant now) const {
  auto it = engines.find(engine);
  if (it == engines.end())
    return false;
  const auto &told = it->second;
  if (told.models != models)
    return now - told.at >= GatherTime;
  return told.repeatsLeft > 0 && now - told.at >= RepeatPause;
}

HoldingsNotice HoldingsNotifier::tell(const EndpointName &engine, std::uint64_t term,
                                      const LoadedModels &loaded, Instant now) {
  auto notice = tellOne(engine, term, loaded);
  auto &told = engines[engine];
  told.repeatsLeft = told.models == loaded.models ? told.repeatsLeft - 1 : Repeats;
  told.models = loaded.models;
  told.at = now;
  return notice;
}

HoldingsNotice HoldingsNotifier::tellOne(const EndpointName &engine, std::uint64_t term,
                                         const LoadedModels &loaded) {
  auto &told = engines[engine];
  return {.endpoint = engine,
          .incarnation = told.incarnation,
          .term = term,
          .sequence = ++told.number,
          .models = loaded.models,
          .orderCount = loaded.orderCount};
}

} // namespace catkin
