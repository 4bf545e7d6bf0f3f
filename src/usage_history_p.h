#pragma once

#include "types_p.h"

#include <array>
#include <bitset>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Bounded history of when each model was used: a hazard histogram of the gaps between uses and a
/// calendar of the last days. Times are wall-clock seconds, so that a history can move to a planner
/// on another host.
namespace catkin {

/// One model's history. About 1 KB.
struct ModelUsage {
  static constexpr std::size_t GapBuckets = 40; ///< half octaves from 1 s to 2^20 s (12 days)
  static constexpr std::size_t SlotsPerDay = 288;
  static constexpr std::size_t Days = 14; ///< two weeks, so that each weekday is seen twice
  using DaySlots = std::bitset<SlotsPerDay>;

  std::array<float, GapBuckets> ended{};  ///< gaps that ended in the bucket, decayed
  std::array<float, GapBuckets> atRisk{}; ///< gaps that lasted at least to the bucket, decayed
  std::array<DaySlots, Days> days{};      ///< slots with a use; ring by day number
  std::int64_t lastUse = 0;               ///< 0: never
  std::int64_t burstStart = 0;            ///< first use after the last long gap
  unsigned burstRequests = 0;             ///< requests in the first seconds after burstStart
  double burstSize = 1.0;                 ///< smoothed burstRequests
};

class UsageHistory {
public:
  /// More than the 590 models and 1,400 adapters of the target size; beyond it the model that was
  /// used longest ago is forgotten.
  static constexpr std::size_t MaxModels = 2048;

  void onUse(const ModelName &model, unsigned n, std::int64_t wall);

  const ModelUsage *find(const ModelName &model) const;
  const std::map<ModelName, ModelUsage> &models() const { return usages; }

  /// Probability that a model unused for `age` seconds is used in [from, from + length) seconds
  /// from now, given that it is not used before `from`.
  double useProbability(const ModelUsage &usage, double age, std::int64_t wall, double from,
                        double length) const;

  /// The part of useProbability that comes from the calendar alone: weighted share of earlier days
  /// with a use in that span. `confidence` is the total weight of those days.
  double calendarProbability(const ModelUsage &usage, std::int64_t wall, double from, double length,
                             double &confidence) const;

  std::string save() const;
  /// Replaces the history. Text that is not a history leaves it unchanged.
  void restore(std::string_view json);

private:
  double gapProbability(const ModelUsage &usage, double from, double length) const;
  void advanceToDay(std::int64_t day);
  void markSlot(ModelUsage &usage, std::int64_t wall);
  void evictLeastRecentlyUsed();
  const std::array<double, ModelUsage::Days> &dayWeights(std::int64_t wall) const;
  double daySimilarity(std::int64_t day, std::int64_t today, std::size_t slots) const;
  bool wasUsedBetween(const ModelUsage &usage, std::int64_t day, double begin, double end) const;

  std::map<ModelName, ModelUsage> usages;
  ModelUsage pooled; ///< gaps of all models; the prior for a model with few
  /// Models in use per slot, over all models; tells days of one kind from another.
  std::array<std::array<std::uint16_t, ModelUsage::SlotsPerDay>, ModelUsage::Days> activity{};
  std::int64_t firstDay = -1;
  std::int64_t lastDay = -1;

  mutable std::int64_t weightsSlot = -1; ///< slot for which `weights` was computed
  mutable std::array<double, ModelUsage::Days> weights{};
};

} // namespace catkin
