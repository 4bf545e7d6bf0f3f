#pragma once

#include "types_p.h"

#include <array>
#include <bitset>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Bounded history of the uses of each model: a hazard histogram of the gaps between uses and a
/// calendar of the last days. Times are in seconds since the Unix epoch (parameters named `wall`),
/// so that a planner on another host can continue a history.
namespace catkin {

/// History of one model. Takes about 1 KB.
struct ModelUsage {
  static constexpr std::size_t GapBuckets = 40; ///< half octaves from 1 s to 2^20 s (12 days)
  static constexpr std::size_t SlotsPerDay = 288;
  static constexpr std::size_t Days = 14; ///< two weeks, so that each weekday occurs twice
  using DaySlots = std::bitset<SlotsPerDay>;

  std::array<float, GapBuckets> ended{};  ///< gaps that ended in the bucket, decayed
  std::array<float, GapBuckets> atRisk{}; ///< gaps that lasted at least to the bucket, decayed
  std::array<DaySlots, Days> days{};      ///< slots with a use; ring buffer indexed by day number
  std::int64_t lastUse = 0;               ///< 0: never
  std::int64_t burstStart = 0;            ///< first use after the newest long gap; 0: none
  unsigned burstRequests = 0;             ///< requests within BurstWindowSeconds of burstStart
  double burstSize = 1.0;                 ///< moving average of burstRequests
};

/// Records the uses of all models and predicts their next uses.
class UsageHistory {
public:
  /// More than the 590 models and 1,400 adapters of the target size. Beyond it, the least recently
  /// used model is evicted.
  static constexpr std::size_t MaxModels = 2048;

  /// Records `n` requests for a model.
  void onUse(const ModelName &model, unsigned n, std::int64_t wall);

  /// Returns the history of a model, or null if there is none.
  const ModelUsage *find(const ModelName &model) const;
  const std::map<ModelName, ModelUsage> &models() const { return usages; }

  /// Returns the probability that a model that has been unused for `age` seconds is used between
  /// `from` and `from + length` seconds from now, given that it is not used before `from`. Combines
  /// the gap histogram and the calendar.
  double useProbability(const ModelUsage &usage, double age, std::int64_t wall, double from,
                        double length) const;

  /// Returns the calendar part of useProbability(): the weighted share of earlier days with a use
  /// in the same span. Sets `confidence` to the total weight of those days.
  double calendarProbability(const ModelUsage &usage, std::int64_t wall, double from, double length,
                             double &confidence) const;

  /// Serialises the history as JSON.
  std::string save() const;
  /// Replaces the history by a saved one. Invalid text leaves it unchanged.
  void restore(std::string_view json);

private:
  /// Probability of a use from the gap histogram alone, for a gap between `from` and `from +
  /// length`.
  double gapProbability(const ModelUsage &usage, double from, double length) const;
  /// Clears the calendar of the days after the newest one, up to `day`.
  void advanceToDay(std::int64_t day);
  void markSlot(ModelUsage &usage, std::int64_t wall);
  void evictLeastRecentlyUsed();
  const std::array<double, ModelUsage::Days> &dayWeights(std::int64_t wall) const;
  /// Similarity, from 0 to 1, of the hourly activity of two days over the first `slots` slots.
  double daySimilarity(std::int64_t day, std::int64_t today, std::size_t slots) const;
  /// Returns true if the model was used between `begin` and `end` seconds after the start of `day`.
  bool wasUsedBetween(const ModelUsage &usage, std::int64_t day, double begin, double end) const;

  std::map<ModelName, ModelUsage> usages;
  ModelUsage pooled; ///< gaps of all models; the prior for models with few gaps
  /// Number of models used in each slot. Used to compare days.
  std::array<std::array<std::uint16_t, ModelUsage::SlotsPerDay>, ModelUsage::Days> activity{};
  std::int64_t firstDay = -1;
  std::int64_t lastDay = -1;

  mutable std::int64_t weightsSlot = -1; ///< slot for which `weights` was computed
  mutable std::array<double, ModelUsage::Days> weights{};
};

} // namespace catkin
