#include "policy_p.h"
#include "policy_rules_p.h"

#include <algorithm>
#include <array>

namespace catkin {

namespace {

// Seconds by which a load delays others, by source. A remote load takes one of the two starts per
// second that the weight store allows; a disk load shares the host's disk for a short time.
constexpr std::array<double, 3> SourceCostSeconds{0.0, 0.1, 0.5};
// Each round trip to a replica in another data centre takes a millisecond longer. Over the lifetime
// of the replica this amounts to a few seconds of one start.
constexpr double OtherDataCentreCostSeconds = 2.0;
// Cost of one accelerator generation, in seconds of a start. Newer engines answer and load faster
// and have more memory, so that a replica takes a smaller share of them. Compared with 0.5, a value
// of 3 reduces idle accelerator hours by a tenth at equal tail latencies in trials of the policy
// benchmark.
constexpr double GenerationCostSeconds = 3;
constexpr int NewestGeneration = 8;
// Cost per request in progress. A busy endpoint delays the load and the first requests.
constexpr double RunningRequestCostSeconds = 0.05;

/// Ranks endpoints by weighted seconds: the duration of this cold start, the delay that it causes
/// for others, and the expected cold starts of evicted models.
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
