#include "policy_p.h"
#include "policy_rules_p.h"

#include <algorithm>
#include <array>

namespace catkin {

namespace {

// Seconds that a load takes away from others by its source. A remote load uses one of the weight
// store's two starts a second; a disk load shares the host's disk for a short time.
constexpr std::array<double, 3> SourceCostSeconds{0.0, 0.1, 0.5};
// Requests of a replica in another data centre pay one more millisecond a round trip; over the
// replica's lifetime that weighs like a few seconds of one start.
constexpr double OtherDataCentreCostSeconds = 2.0;
// One step of accelerator generation, in seconds of a start. Newer engines answer and load sooner,
// and hold more, so that a replica takes a smaller share of them; with 3 instead of 0.5, idle
// accelerator hours fell by a tenth in trials of the policy benchmark at equal tails.
constexpr double GenerationCostSeconds = 3;
constexpr int NewestGeneration = 8;
// A busy endpoint delays the first requests and the load itself.
constexpr double RunningRequestCostSeconds = 0.05;

/// Cost in weighted seconds: the wait for this start, what it takes from others, and the expected
/// cold starts of what must be evicted.
class CostPlacement final : public PlacementPolicy {
public:
  explicit CostPlacement(const PolicyWeights &weights) : coldSecond(weights.coldSecond) {}

  double cost(const PlacementCandidate &c) const override {
    double seconds = toSeconds(c.expectedLoad);
    if (c.source == CopySource::Remote)
      seconds += toSeconds(c.storeQueue);
    seconds += SourceCostSeconds[static_cast<std::size_t>(c.source)];
    seconds += c.sameDataCentre ? 0.0 : OtherDataCentreCostSeconds;
    seconds += GenerationCostSeconds * std::max(0, NewestGeneration - c.generation);
    seconds += RunningRequestCostSeconds * std::max(0, c.running);
    return coldSecond * seconds + c.evictionCost;
  }

private:
  double coldSecond;
};

} // namespace

const bool CostPlacementRegistered = registerPlacementPolicy(
    "cost", [](const PolicyWeights &weights) -> std::unique_ptr<PlacementPolicy> {
      return std::make_unique<CostPlacement>(weights);
    });

} // namespace catkin
