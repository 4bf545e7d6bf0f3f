#include "holdings_notifier_p.h"

#include "config.h"

namespace catkin {

namespace {

constexpr Duration BatchTime = std::chrono::milliseconds(250);
// Two repetitions cover the time until every host has read the change from the registry.
constexpr int RepeatCount = 2;
constexpr Duration RepeatInterval = std::chrono::milliseconds(1200);

} // namespace

void HoldingsNotifier::startTracking(const EndpointName &engine, std::uint64_t incarnation,
                                     const std::vector<HeldModel> &models) {
  engines[engine] = {.incarnation = incarnation, .models = models};
}

bool HoldingsNotifier::isDue(const EndpointName &engine, const std::vector<HeldModel> &models,
                             Instant now) const {
  auto it = engines.find(engine);
  if (it == engines.end())
    return false;
  const auto &last = it->second;
  if (last.models != models)
    return now - last.sentAt >= BatchTime;
  return last.repeatsLeft > 0 && now - last.sentAt >= RepeatInterval;
}

HoldingsNotice HoldingsNotifier::makeBroadcastNotice(const EndpointName &engine, std::uint64_t term,
                                                     const LoadedModels &loaded, Instant now) {
  auto notice = makeUnicastNotice(engine, term, loaded);
  auto &last = engines[engine];
  last.repeatsLeft = last.models == loaded.models ? last.repeatsLeft - 1 : RepeatCount;
  last.models = loaded.models;
  last.sentAt = now;
  return notice;
}

HoldingsNotice HoldingsNotifier::makeUnicastNotice(const EndpointName &engine, std::uint64_t term,
                                                   const LoadedModels &loaded) {
  auto &last = engines[engine];
  return {.endpoint = engine,
          .incarnation = last.incarnation,
          .term = term,
          .sequence = ++last.sequence,
          .models = loaded.models,
          .orderCount = loaded.orderCount};
}

} // namespace catkin
