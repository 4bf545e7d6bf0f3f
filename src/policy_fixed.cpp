#include "policy_p.h"
#include "policy_rules_p.h"

namespace catkin {

namespace {

/// Releases a replica after a constant idle time.
class FixedRetention final : public RetentionPolicy {
public:
  explicit FixedRetention(const PolicyWeights &weights) : keepAlive(weights.fixedKeepAlive) {}

  void onArrivals(const ModelName &, unsigned, Instant, std::int64_t) override {}

  bool shouldRelease(const RetentionInput &in) override { return in.now - in.lastUse >= keepAlive; }

  /// Decreases from 1 to 0 with idle time, so that the least recently used replica is released
  /// first.
  double keepValue(const RetentionInput &in) override {
    return 1.0 / (1.0 + toSeconds(in.now - in.lastUse));
  }

  std::vector<ModelName> prewarm(Instant, std::int64_t) override { return {}; }

private:
  Duration keepAlive;
};

} // namespace

const bool FixedRetentionRegistered = registerRetentionPolicy(
    "fixed", [](const PolicyWeights &weights) -> std::unique_ptr<RetentionPolicy> {
      return std::make_unique<FixedRetention>(weights);
    });

} // namespace catkin
