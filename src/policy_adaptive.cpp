#include "policy_p.h"
#include "policy_rules_p.h"
#include "usage_history_p.h"

#include <algorithm>
#include <map>

namespace catkin {

namespace {

// Horizon of the keep decision. Beyond a few hours idling always costs more than a cold start.
constexpr double KeepHorizon = 4 * 3600;
constexpr double FirstStep = 20;
constexpr double StepGrowth = 0.25;
constexpr double MaxStep = 900;
// Span ahead in which a use is worth a load now: two calendar slots.
constexpr double PrewarmSpan = 600;
// A prewarmed replica outlasts the span by one slot, since habits shift by minutes.
constexpr double PrewarmSlack = 300;
// Models used more recently are left to the keep decision.
constexpr std::int64_t PrewarmMinAge = 300;
constexpr double KeepValueSpan = 1800;
constexpr auto PrewarmInterval = std::chrono::seconds(15);
constexpr auto MinRecheck = std::chrono::seconds(1);
constexpr double DefaultLoadSeconds = 8;
// More waiting requests than this weigh no more, so that one burst does not keep a model for days.
// An adapter pins its base, whose share the rule is not told, and loads in milliseconds.
constexpr double MinAccelerators = 0.1;
constexpr double MaxBurst = 20;

/// Keeps a replica while, for some span ahead, the expected cost of the cold start that it saves
/// exceeds the expected cost of idling; prewarms by the calendar with the same comparison.
class AdaptiveRetention final : public RetentionPolicy {
public:
  explicit AdaptiveRetention(const PolicyWeights &w) : weights(w) {}

  void onArrivals(const ModelName &model, unsigned n, Instant, std::int64_t wall) override {
    history.onUse(model, n, wall);
  }

  bool shouldRelease(const RetentionInput &in) override {
    auto &replica = replicaOf(in);
    if (in.now < replica.keepUntil)
      return false;
    if (replica.decidedFor == in.lastUse && in.now < replica.recheck)
      return replica.release;
    replica.decidedFor = in.lastUse;
    replica.recheck = in.now + std::max<Duration>(MinRecheck, (in.now - in.lastUse) / 20);
    replica.release = !worthKeeping(in);
    return replica.release;
  }

  double keepValue(const RetentionInput &in) override {
    const auto *usage = history.find(in.model);
    if (!usage)
      return 0;
    double age = toSeconds(in.now - in.lastUse);
    double p = history.useProbability(*usage, age, in.wallSeconds, 0, KeepValueSpan);
    return p * saving(*usage, toSeconds(in.loadTime));
  }

  std::vector<ModelName> prewarm(Instant now, std::int64_t wall) override {
    if (now < nextPrewarm)
      return wanted;
    nextPrewarm = now + PrewarmInterval;
    wanted.clear();
    for (const auto &[model, usage] : history.models()) {
      if (wall - usage.lastUse < PrewarmMinAge || !worthPrewarming(model, usage, wall))
        continue;
      wanted.push_back(model);
      replicas[model].keepUntil = now + fromSeconds(PrewarmSpan + PrewarmSlack);
    }
    forgetUnknown();
    return wanted;
  }

  std::string saveHistory() const override { return history.save(); }
  void restoreHistory(std::string_view json) override { history.restore(json); }

private:
  /// What is remembered between questions about one model.
  struct Replica {
    double loadSeconds = DefaultLoadSeconds;
    double accelerators = 1.0;
    Instant keepUntil{};
    Instant decidedFor{};
    Instant recheck{};
    bool release = false;
  };

  Replica &replicaOf(const RetentionInput &in) {
    auto &replica = replicas[in.model];
    if (in.loadTime > Duration{0})
      replica.loadSeconds = toSeconds(in.loadTime);
    replica.accelerators = in.accelerators;
    return replica;
  }

  /// Weighted cost of one cold start; every request of the usual burst waits for it.
  double saving(const ModelUsage &usage, double loadSeconds) const {
    return weights.coldSecond * loadSeconds * std::clamp(usage.burst, 1.0, MaxBurst);
  }

  bool worthKeeping(const RetentionInput &in) const {
    const auto *usage = history.find(in.model);
    if (!usage)
      return false;
    double age = toSeconds(in.now - in.lastUse);
    double gain = saving(*usage, toSeconds(in.loadTime));
    double idle = weights.idleSecond * std::max(MinAccelerators, in.accelerators);
    double survival = 1;
    double balance = 0;
    double step = FirstStep;
    for (double t = 0; t < KeepHorizon; t += step) {
      step = std::clamp(StepGrowth * (age + t), FirstStep, MaxStep);
      double p = history.useProbability(*usage, age, in.wallSeconds, t, step);
      balance += survival * (p * gain - (1 - p / 2) * step * idle);
      if (balance > 0)
        return true;
      survival *= 1 - p;
      if (balance + survival * gain < 0)
        return false;
    }
    return false;
  }

  bool worthPrewarming(const ModelName &model, const ModelUsage &usage, std::int64_t wall) const {
    auto it = replicas.find(model);
    double loadSeconds = it == replicas.end() ? DefaultLoadSeconds : it->second.loadSeconds;
    double accelerators = it == replicas.end() ? 1.0 : it->second.accelerators;
    double confidence = 0;
    double p = history.calendarProbability(usage, wall, 0, PrewarmSpan, confidence);
    p *= confidence / (confidence + 1);
    double idleSeconds = PrewarmSpan * (1 - p / 2) + (1 - p) * PrewarmSlack;
    return p * saving(usage, loadSeconds) > idleSeconds * accelerators * weights.idleSecond;
  }

  void forgetUnknown() {
    if (replicas.size() <= UsageHistory::MaxModels)
      return;
    std::erase_if(replicas, [this](const auto &entry) { return !history.find(entry.first); });
  }

  PolicyWeights weights;
  UsageHistory history;
  std::map<ModelName, Replica> replicas;
  std::vector<ModelName> wanted;
  Instant nextPrewarm{};
};

} // namespace

const bool AdaptiveRetentionRegistered = registerRetentionPolicy(
    "adaptive", [](const PolicyWeights &weights) -> std::unique_ptr<RetentionPolicy> {
      return std::make_unique<AdaptiveRetention>(weights);
    });

} // namespace catkin
