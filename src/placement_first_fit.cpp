#include "policy_p.h"
#include "policy_rules_p.h"

namespace catkin {

namespace {

/// Baseline policy. Chooses the first endpoint by name that has enough free memory, else the first
/// by name.
class FirstFitPlacement final : public PlacementPolicy {
public:
  double cost(const PlacementCandidate &c) const override {
    return c.freeBytes >= c.loadBytes ? 0.0 : 1.0;
  }
};

} // namespace

const bool FirstFitPlacementRegistered = registerPlacementPolicy(
    "first_fit", [](const PolicyWeights &) -> std::unique_ptr<PlacementPolicy> {
      return std::make_unique<FirstFitPlacement>();
    });

} // namespace catkin
