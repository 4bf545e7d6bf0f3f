#include "policy_p.h"
#include "policy_rules_p.h"
#include "usage_history_p.h"

#include <algorithm>
#include <map>

namespace catkin {

namespace {

// Horizon of the decision to keep a replica. Beyond a few hours, idling always costs more than a
// cold start.
constexpr double KeepHorizonSeconds = 4 * 3600;
constexpr double FirstStepSeconds = 20;
constexpr double StepGrowth = 0.25;
constexpr double MaxStepSeconds = 900;
// A model is prewarmed if its expected use within this time justifies a load: two calendar slots.
constexpr double PrewarmWindowSeconds = 600;
// A prewarmed replica is kept for one more slot, since daily patterns shift by minutes.
constexpr double PrewarmMarginSeconds = 300;
// Models used more recently are not prewarmed; shouldRelease() decides on their replicas.
constexpr std::int64_t PrewarmMinIdleSeconds = 300;
constexpr double KeepValueWindowSeconds = 1800;
constexpr auto PrewarmInterval = std::chrono::seconds(15);
constexpr auto MinRecheckInterval = std::chrono::seconds(1);
constexpr double DefaultLoadSeconds = 8;
// Lower bound, because an adapter loads in milliseconds but pins its base, whose share is not part
// of the input.
constexpr double MinAcceleratorShare = 0.1;
// Upper bound of the burst size, so that one large burst does not keep a model loaded for days.
constexpr double MaxBurstRequests = 20;

/// Keeps a replica while there is a time span ahead for which the expected cost of the avoided cold
/// start exceeds the expected cost of idling. Compares the same costs to prewarm models by the
/// calendar of earlier days.
class AdaptiveRetention final : public RetentionPolicy {
public:
  explicit AdaptiveRetention(const PolicyWeights &w) : weights(w) {}

  void onArrivals(const ModelName &model, unsigned n, Instant, std::int64_t wall) override {
    history.onUse(model, n, wall);
  }

  bool shouldRelease(const RetentionInput &in) override {
    auto &decision = updateDecision(in);
    if (in.now < decision.keepUntil)
      return false;
    if (decision.decidedFor == in.lastUse && in.now < decision.recheck)
      return decision.release;
    decision.decidedFor = in.lastUse;
    decision.recheck = in.now + std::max<Duration>(MinRecheckInterval, (in.now - in.lastUse) / 20);
    decision.release = !shouldKeep(in);
    return decision.release;
  }

  double keepValue(const RetentionInput &in) override {
    const auto *usage = history.find(in.model);
    if (!usage)
      return 0;
    double age = toSeconds(in.now - in.lastUse);
    double p = history.useProbability(*usage, age, in.wallSeconds, 0, KeepValueWindowSeconds);
    return p * coldStartCost(*usage, toSeconds(in.loadTime));
  }

  std::vector<ModelName> prewarm(Instant now, std::int64_t wall) override {
    if (now < nextPrewarm)
      return prewarmModels;
    nextPrewarm = now + PrewarmInterval;
    prewarmModels.clear();
    for (const auto &[model, usage] : history.models()) {
      if (wall - usage.lastUse < PrewarmMinIdleSeconds || !shouldPrewarm(model, usage, wall))
        continue;
      prewarmModels.push_back(model);
      decisions[model].keepUntil = now + fromSeconds(PrewarmWindowSeconds + PrewarmMarginSeconds);
    }
    eraseForgottenModels();
    return prewarmModels;
  }

  std::string saveHistory() const override { return history.save(); }
  void restoreHistory(std::string_view json) override { history.restore(json); }

private:
  /// State of one model: its newest figures and the last decision on it.
  struct ModelDecision {
    double loadSeconds = DefaultLoadSeconds;
    double acceleratorShare = 1.0;
    Instant keepUntil{};
    Instant decidedFor{};
    Instant recheck{};
    bool release = false;
  };

  ModelDecision &updateDecision(const RetentionInput &in) {
    auto &decision = decisions[in.model];
    if (in.loadTime > Duration{0})
      decision.loadSeconds = toSeconds(in.loadTime);
    decision.acceleratorShare = in.acceleratorShare;
    return decision;
  }

  /// Weighted cost of one cold start, during which every request of an average burst waits.
  double coldStartCost(const ModelUsage &usage, double loadSeconds) const {
    return weights.coldSecond * loadSeconds * std::clamp(usage.burstSize, 1.0, MaxBurstRequests);
  }

  /// True if, for some time span within the horizon, the expected saving exceeds the idle cost.
  bool shouldKeep(const RetentionInput &in) const {
    const auto *usage = history.find(in.model);
    if (!usage)
      return false;
    double age = toSeconds(in.now - in.lastUse);
    double saving = coldStartCost(*usage, toSeconds(in.loadTime));
    double idleCost = weights.idleSecond * std::max(MinAcceleratorShare, in.acceleratorShare);
    double survival = 1;
    double netSaving = 0;
    double step = FirstStepSeconds;
    for (double t = 0; t < KeepHorizonSeconds; t += step) {
      step = std::clamp(StepGrowth * (age + t), FirstStepSeconds, MaxStepSeconds);
      double p = history.useProbability(*usage, age, in.wallSeconds, t, step);
      netSaving += survival * (p * saving - (1 - p / 2) * step * idleCost);
      if (netSaving > 0)
        return true;
      survival *= 1 - p;
      if (netSaving + survival * saving < 0)
        return false;
    }
    return false;
  }

  /// True if the expected saving of a load now exceeds the expected cost of idling until the use.
  bool shouldPrewarm(const ModelName &model, const ModelUsage &usage, std::int64_t wall) const {
    auto it = decisions.find(model);
    double loadSeconds = it == decisions.end() ? DefaultLoadSeconds : it->second.loadSeconds;
    double acceleratorShare = it == decisions.end() ? 1.0 : it->second.acceleratorShare;
    double confidence = 0;
    double p = history.calendarProbability(usage, wall, 0, PrewarmWindowSeconds, confidence);
    p *= confidence / (confidence + 1);
    double idleSeconds = PrewarmWindowSeconds * (1 - p / 2) + (1 - p) * PrewarmMarginSeconds;
    return p * coldStartCost(usage, loadSeconds) >
           idleSeconds * acceleratorShare * weights.idleSecond;
  }

  /// Erases the state of models that the usage history has evicted.
  void eraseForgottenModels() {
    if (decisions.size() <= UsageHistory::MaxModels)
      return;
    std::erase_if(decisions, [this](const auto &entry) { return !history.find(entry.first); });
  }

  PolicyWeights weights;
  UsageHistory history;
  std::map<ModelName, ModelDecision> decisions;
  std::vector<ModelName> prewarmModels;
  Instant nextPrewarm{};
};

} // namespace

const bool AdaptiveRetentionRegistered = registerRetentionPolicy(
    "adaptive", [](const PolicyWeights &weights) -> std::unique_ptr<RetentionPolicy> {
      return std::make_unique<AdaptiveRetention>(weights);
    });

} // namespace catkin
