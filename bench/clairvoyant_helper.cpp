#include "fakes_helper.h"
#include "simulation_helper.h"

#include <algorithm>
#include <limits>

namespace catkin::bench {

thread_local const Future *currentFuture = nullptr;

namespace {

// Time from the start of a load to the next use: the longest load from the store beside three other
// ones, and a queue of a few loads.
constexpr auto Lead = std::chrono::seconds(60);
// A release saves idle time only if the replica would be idle for longer than the lead time and the
// release take.
constexpr auto KeepGap = std::chrono::seconds(90);

/// Reference policy that knows all future requests. It loads a model shortly before its next use
/// and keeps it only if that use is sooner than a reload would take. It is not a proven optimum:
/// the fixed lead time wastes some idle time, and competing loads are not ordered.
class ClairvoyantRetention final : public RetentionPolicy {
public:
  void onArrivals(const ModelName &, unsigned, Instant, std::int64_t) override {}

  bool shouldRelease(const RetentionInput &in) override {
    return untilNextUse(in.model, in.now) > KeepGap;
  }

  double keepValue(const RetentionInput &in) override {
    return 1e6 / (1 + toSeconds(std::min<Duration>(untilNextUse(in.model, in.now), Never)));
  }

  std::vector<ModelName> prewarm(Instant now, std::int64_t) override {
    std::vector<ModelName> wanted;
    if (!currentFuture)
      return wanted;
    for (const auto &[model, uses] : currentFuture->uses)
      if (untilNextUse(model, now) <= Lead)
        wanted.push_back(model);
    return wanted;
  }

private:
  static constexpr Duration Never = std::chrono::hours(1000);

  static Duration untilNextUse(const ModelName &model, Instant now) {
    if (!currentFuture)
      return Never;
    auto it = currentFuture->uses.find(model);
    if (it == currentFuture->uses.end())
      return Never;
    auto next = std::ranges::lower_bound(it->second, now);
    return next == it->second.end() ? Never : *next - now;
  }
};

const bool Registered = registerRetentionPolicy(
    "clairvoyant", [](const PolicyWeights &) -> std::unique_ptr<RetentionPolicy> {
      return std::make_unique<ClairvoyantRetention>();
    });

} // namespace

Future futureOf(const Workload &workload) {
  Future future;
  for (const auto &it : workload.requests) {
    const auto &model = workload.models[static_cast<std::size_t>(it.model)];
    auto at = simInstant(it.at);
    future.uses[model.name].push_back(at);
    if (model.isAdapter())
      future.uses[model.base].push_back(at);
  }
  return future;
}

} // namespace catkin::bench
