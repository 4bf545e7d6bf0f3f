#include "usage_history_p.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace catkin {

namespace {

constexpr std::int64_t DaySeconds = 86400;
constexpr std::int64_t SlotSeconds = DaySeconds / ModelUsage::SlotsPerDay;
// The counts of a bucket are halved when atRisk exceeds this value, so that a change of usage
// takes effect after a few dozen gaps of that length.
constexpr float MaxAtRisk = 32;
// Weight of the pooled prior, as a number of gaps.
constexpr double PriorGaps = 2;
// A use after a gap of at least this length starts a burst.
constexpr std::int64_t BurstGapSeconds = 60;
// Requests within this time of the start of a burst would have waited for the model to load.
constexpr std::int64_t BurstWindowSeconds = 10;
constexpr double BurstSmoothing = 0.3;
// Below this age the gaps predict better than the calendar, whose slots are 5 minutes wide.
constexpr double CalendarMinAgeSeconds = 600;
constexpr double DayDecay = 0.9;
constexpr double SameWeekdayWeight = 4;
// Reduces the measured difference of two days with little activity.
constexpr double SimilarityFloor = 6;
constexpr double SimilarityPower = 3;
constexpr std::size_t SlotsPerHour = ModelUsage::SlotsPerDay / 24;

std::size_t ringIndex(std::int64_t day) {
  return static_cast<std::size_t>(day % static_cast<std::int64_t>(ModelUsage::Days));
}

/// Converts a gap to half octaves above 1 s.
double gapPosition(double seconds) { return 2.0 * std::log2(std::max(1.0, seconds)); }

std::size_t gapBucket(double seconds) {
  return std::min(ModelUsage::GapBuckets - 1, static_cast<std::size_t>(gapPosition(seconds)));
}

void addGap(ModelUsage &usage, double seconds) {
  auto bucket = gapBucket(seconds);
  usage.ended[bucket] += 1;
  for (std::size_t i = 0; i <= bucket; ++i) {
    usage.atRisk[i] += 1;
    if (usage.atRisk[i] <= MaxAtRisk)
      continue;
    usage.atRisk[i] /= 2;
    usage.ended[i] /= 2;
  }
}

/// Counts the requests of the current burst. A new burst updates the average size with the previous
/// one.
void updateBurst(ModelUsage &usage, unsigned n, std::int64_t wall, bool startsBurst) {
  if (startsBurst) {
    if (usage.burstStart != 0)
      usage.burstSize += BurstSmoothing * (usage.burstRequests - usage.burstSize);
    usage.burstStart = wall;
    usage.burstRequests = n;
  } else if (wall - usage.burstStart <= BurstWindowSeconds) {
    usage.burstRequests += n;
  }
}

} // namespace

void UsageHistory::onUse(const ModelName &model, unsigned n, std::int64_t wall) {
  if (n == 0 || wall <= 0)
    return;
  advanceToDay(wall / DaySeconds);
  auto &usage = usages[model];
  auto gap = wall - usage.lastUse;
  bool first = usage.lastUse == 0;
  updateBurst(usage, n, wall, first || gap >= BurstGapSeconds);
  if (!first && gap > 0) {
    addGap(usage, static_cast<double>(gap));
    addGap(pooled, static_cast<double>(gap));
  }
  usage.lastUse = std::max(usage.lastUse, wall);
  markSlot(usage, wall);
  if (usages.size() > MaxModels)
    evictLeastRecentlyUsed();
}

const ModelUsage *UsageHistory::find(const ModelName &model) const {
  auto it = usages.find(model);
  return it == usages.end() ? nullptr : &it->second;
}

void UsageHistory::advanceToDay(std::int64_t day) {
  if (firstDay < 0) {
    firstDay = day;
    lastDay = day;
  }
  auto from = std::max(lastDay + 1, day - static_cast<std::int64_t>(ModelUsage::Days) + 1);
  for (auto d = from; d <= day; ++d) {
    activity[ringIndex(d)].fill(0);
    for (auto &[name, usage] : usages)
      usage.days[ringIndex(d)].reset();
  }
  lastDay = std::max(lastDay, day);
}

void UsageHistory::markSlot(ModelUsage &usage, std::int64_t wall) {
  auto day = wall / DaySeconds;
  if (day <= lastDay - static_cast<std::int64_t>(ModelUsage::Days))
    return;
  auto slot = static_cast<std::size_t>(wall % DaySeconds / SlotSeconds);
  auto &slots = usage.days[ringIndex(day)];
  if (!slots[slot])
    ++activity[ringIndex(day)][slot];
  slots.set(slot);
}

void UsageHistory::evictLeastRecentlyUsed() {
  auto oldest =
      std::ranges::min_element(usages, {}, [](const auto &entry) { return entry.second.lastUse; });
  usages.erase(oldest);
}

double UsageHistory::gapProbability(const ModelUsage &usage, double from, double length) const {
  double begin = gapPosition(from);
  double end = gapPosition(from + length);
  double survival = 1;
  for (auto i = gapBucket(from); i <= gapBucket(from + length); ++i) {
    double low = std::max(begin, static_cast<double>(i));
    double high = std::min(end, static_cast<double>(i) + 1);
    double prior = (pooled.ended[i] + 0.05) / (pooled.atRisk[i] + 1.0);
    double hazard = (usage.ended[i] + PriorGaps * prior) / (usage.atRisk[i] + PriorGaps);
    survival *= std::pow(1 - std::min(hazard, 0.999), std::max(0.0, high - low));
  }
  return 1 - survival;
}

bool UsageHistory::wasUsedBetween(const ModelUsage &usage, std::int64_t day, double begin,
                                  double end) const {
  auto first = static_cast<std::int64_t>(begin) / SlotSeconds;
  auto last = static_cast<std::int64_t>(std::max(begin, end - 1)) / SlotSeconds;
  auto perDay = static_cast<std::int64_t>(ModelUsage::SlotsPerDay);
  for (auto slot = first; slot <= last; ++slot) {
    auto d = day + slot / perDay;
    if (d <= lastDay && usage.days[ringIndex(d)][static_cast<std::size_t>(slot % perDay)])
      return true;
  }
  return false;
}

double UsageHistory::daySimilarity(std::int64_t day, std::int64_t today, std::size_t slots) const {
  const auto &a = activity[ringIndex(day)];
  const auto &b = activity[ringIndex(today)];
  double difference = 0;
  double total = SimilarityFloor;
  for (std::size_t begin = 0; begin < slots; begin += SlotsPerHour) {
    int left = 0;
    int right = 0;
    for (auto i = begin; i < std::min(slots, begin + SlotsPerHour); ++i) {
      left += a[i];
      right += b[i];
    }
    difference += std::abs(left - right);
    total += left + right;
  }
  return std::pow(1 - difference / total, SimilarityPower);
}

const std::array<double, ModelUsage::Days> &UsageHistory::dayWeights(std::int64_t wall) const {
  auto slot = wall / SlotSeconds;
  if (slot == weightsSlot)
    return weights;
  weightsSlot = slot;
  weights.fill(0);
  auto today = wall / DaySeconds;
  auto slots = static_cast<std::size_t>(wall % DaySeconds / SlotSeconds);
  auto oldest = std::max(firstDay, today - static_cast<std::int64_t>(ModelUsage::Days) + 1);
  for (auto day = std::max<std::int64_t>(0, oldest); day < today && day <= lastDay; ++day) {
    auto age = today - day;
    double weight = std::pow(DayDecay, static_cast<double>(age));
    if (age % 7 == 0)
      weight *= SameWeekdayWeight;
    if (today <= lastDay)
      weight *= daySimilarity(day, today, slots);
    weights[ringIndex(day)] = weight;
  }
  return weights;
}

double UsageHistory::calendarProbability(const ModelUsage &usage, std::int64_t wall, double from,
                                         double length, double &confidence) const {
  const auto &byDay = dayWeights(wall);
  auto today = wall / DaySeconds;
  double begin = static_cast<double>(wall % DaySeconds) + from;
  double used = 0;
  confidence = 0;
  for (std::int64_t age = 1; age < static_cast<std::int64_t>(ModelUsage::Days); ++age) {
    auto day = today - age;
    if (day < 0)
      break;
    double weight = byDay[ringIndex(day)];
    if (weight <= 0)
      continue;
    confidence += weight;
    if (wasUsedBetween(usage, day, begin, begin + length))
      used += weight;
  }
  return confidence > 0 ? used / confidence : 0;
}

double UsageHistory::useProbability(const ModelUsage &usage, double age, std::int64_t wall,
                                    double from, double length) const {
  double byGap = gapProbability(usage, age + from, length);
  if (age + from < CalendarMinAgeSeconds)
    return byGap;
  double confidence = 0;
  double byDay = calendarProbability(usage, wall, from, length, confidence);
  double slots = std::max(1.0, length / SlotSeconds);
  // A span shorter than a slot contains only a share of the uses of the slot.
  if (length < SlotSeconds)
    byDay = 1 - std::pow(1 - std::min(byDay, 0.999), length / SlotSeconds / slots);
  double share = confidence / (confidence + 1);
  return (1 - share) * byGap + share * byDay;
}

std::string UsageHistory::save() const {
  boost::json::array list;
  for (const auto &[name, usage] : usages) {
    boost::json::array gaps;
    for (std::size_t i = 0; i < ModelUsage::GapBuckets; ++i)
      if (usage.atRisk[i] > 0)
        gaps.push_back(boost::json::array{i, usage.ended[i], usage.atRisk[i]});
    boost::json::array days;
    for (auto day = std::max(firstDay, lastDay - static_cast<std::int64_t>(ModelUsage::Days) + 1);
         day <= lastDay; ++day) {
      boost::json::array slots;
      for (std::size_t i = 0; i < ModelUsage::SlotsPerDay; ++i)
        if (usage.days[ringIndex(day)][i])
          slots.push_back(i);
      if (!slots.empty())
        days.push_back(boost::json::array{day, std::move(slots)});
    }
    list.push_back(boost::json::object{{"model", name.value},
                                       {"last_use", usage.lastUse},
                                       {"burst", usage.burstSize},
                                       {"gaps", std::move(gaps)},
                                       {"days", std::move(days)}});
  }
  return boost::json::serialize(boost::json::object{
      {"first_day", firstDay}, {"last_day", lastDay}, {"models", std::move(list)}});
}

namespace {

void restoreGaps(ModelUsage &usage, const boost::json::array &gaps) {
  for (const auto &it : gaps) {
    const auto &row = it.as_array();
    auto bucket = row.at(0).to_number<std::size_t>();
    if (bucket >= ModelUsage::GapBuckets)
      continue;
    usage.ended[bucket] = std::clamp(row.at(1).to_number<float>(), 0.0F, MaxAtRisk);
    usage.atRisk[bucket] = std::clamp(row.at(2).to_number<float>(), usage.ended[bucket], MaxAtRisk);
  }
}

ModelUsage restoreModel(const boost::json::object &entry) {
  ModelUsage usage;
  usage.lastUse = entry.at("last_use").to_number<std::int64_t>();
  usage.burstSize = std::max(1.0, entry.at("burst").to_number<double>());
  restoreGaps(usage, entry.at("gaps").as_array());
  return usage;
}

} // namespace

void UsageHistory::restore(std::string_view json) {
  boost::system::error_code ec;
  auto document = boost::json::parse(json, ec);
  if (ec || !document.is_object())
    return;
  UsageHistory next;
  try {
    const auto &root = document.as_object();
    next.firstDay = root.at("first_day").to_number<std::int64_t>();
    next.lastDay = root.at("last_day").to_number<std::int64_t>();
    for (const auto &it : root.at("models").as_array()) {
      const auto &entry = it.as_object();
      if (next.usages.size() >= MaxModels)
        break;
      auto &usage = next.usages[ModelName(std::string(entry.at("model").as_string()))];
      usage = restoreModel(entry);
      for (std::size_t i = 0; i < ModelUsage::GapBuckets; ++i) {
        next.pooled.ended[i] = std::min(MaxAtRisk / 2, next.pooled.ended[i] + usage.ended[i]);
        next.pooled.atRisk[i] = std::min(MaxAtRisk, next.pooled.atRisk[i] + usage.atRisk[i]);
      }
      for (const auto &row : entry.at("days").as_array()) {
        auto day = row.as_array().at(0).to_number<std::int64_t>();
        if (day < 0 || day > next.lastDay)
          continue;
        for (const auto &slot : row.as_array().at(1).as_array())
          next.markSlot(usage, day * DaySeconds +
                                   std::clamp<std::int64_t>(slot.to_number<std::int64_t>(), 0,
                                                            ModelUsage::SlotsPerDay - 1) *
                                       SlotSeconds);
      }
    }
  } catch (const std::exception &) {
    return;
  }
  *this = std::move(next);
}

} // namespace catkin
