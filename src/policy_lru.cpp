#include "policy_p.h"
#include "policy_rules_p.h"

namespace catkin {

namespace {

/// Releases replicas only under memory pressure, the least recently used first.
class LruRetention final : public RetentionPolicy {
public:
  void onArrivals(const ModelName &, unsigned, Instant, std::int64_t) override {}
  bool shouldRelease(const RetentionInput &) override { return false; }

  double keepValue(const RetentionInput &in) override {
    return 1.0 / (1.0 + toSeconds(in.now - in.lastUse));
  }

  std::vector<ModelName> prewarm(Instant, std::int64_t) override { return {}; }
};

} // namespace

const bool LruRetentionRegistered =
    registerRetentionPolicy("lru", [](const PolicyWeights &) -> std::unique_ptr<RetentionPolicy> {
      return std::make_unique<LruRetention>();
    });

} // namespace catkin
