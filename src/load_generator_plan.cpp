#include "load_generator_p.h"

#include <algorithm>
#include <cmath>

namespace catkin {

namespace {

constexpr Duration ColdAfter = std::chrono::seconds(60);
constexpr Duration BurstWidth = std::chrono::milliseconds(100);
constexpr int BurstSize = 8;
constexpr Duration MaxRepeatDelay = std::chrono::milliseconds(500);

constexpr std::array<WorkloadProfile, 2> Workloads{{
    {.name = "hivatal",
     .lookUpShare = 0.45,
     .confirmShare = 0.15,
     .chatShare = 0.5,
     .burstShare = 0.3,
     .modelSkew = 1.1,
     .lookUpService = "stock",
     .lookUpPath = "stops/",
     .confirmService = "deliveries",
     .confirmPath = "confirmations/",
     .prompt = "Summarise the round for the caretaker of building "},
    {.name = "confraternita",
     .lookUpShare = 0.3,
     .confirmShare = 0.1,
     .chatShare = 0.6,
     .burstShare = 0.5,
     .modelSkew = 0.8,
     .lookUpService = "permits",
     .lookUpPath = "standing/",
     .confirmService = "closures",
     .confirmPath = "orders/",
     .prompt = "Draft the route briefing for the marshals of procession "},
}};

/// Draws the requests of one plan. Uses only the integers of std::mt19937_64, because their
/// sequence is the same with every standard library, unlike that of the distributions.
class LoadPlanner {
public:
  LoadPlanner(const LoadOptions &options, const WorkloadProfile &profile,
              const std::vector<std::string> &models)
      : options(options), profile(profile), models(models), random(options.seed) {
    double sum = 0;
    for (std::size_t i = 0; i < models.size(); ++i) {
      sum += 1 / std::pow(static_cast<double>(i + 1), profile.modelSkew);
      cumulativePopularity.push_back(sum);
    }
  }

  std::vector<LoadItem> buildPlan() {
    for (double at = nextArrivalGap(); at < toSeconds(options.duration); at += nextArrivalGap())
      addArrival(fromSeconds(at));
    std::stable_sort(items.begin(), items.end(),
                     [](const LoadItem &a, const LoadItem &b) { return a.at < b.at; });
    markColdRequests();
    return std::move(items);
  }

private:
  double drawUniform() { return static_cast<double>(random() >> 11U) * 0x1.0p-53; }
  double nextArrivalGap() {
    return -std::log(1 - drawUniform()) * requestsPerArrival() / options.rate;
  }

  /// Probability that an arrival of completions is a burst. It allows for the size of a burst, so
  /// that the share of requests in bursts is that of the profile.
  double burstProbability() const {
    return profile.burstShare / (profile.burstShare + BurstSize * (1 - profile.burstShare));
  }
  /// Expected number of requests per arrival.
  double requestsPerArrival() const {
    const double completions = 1 - (lookUpService().empty() ? 0 : profile.lookUpShare) -
                               (confirmService().empty() ? 0 : profile.confirmShare);
    return 1 + completions * (BurstSize - 1) * burstProbability();
  }

  void addArrival(Duration at) {
    const double draw = drawUniform();
    if (draw < profile.lookUpShare && !lookUpService().empty())
      addLookUp(at);
    else if (draw < profile.lookUpShare + profile.confirmShare && !confirmService().empty())
      addConfirm(at);
    else if (!models.empty())
      addCompletions(at);
  }

  std::string serviceOrDefault(const std::string &given, std::string_view standard) const {
    if (given == "none")
      return {};
    return given.empty() ? std::string(standard) : given;
  }
  std::string lookUpService() const {
    return serviceOrDefault(options.lookUpService, profile.lookUpService);
  }
  std::string confirmService() const {
    return serviceOrDefault(options.confirmService, profile.confirmService);
  }

  void addLookUp(Duration at) {
    LoadItem item;
    item.at = at;
    item.kind = LoadKind::LookUp;
    item.path = lookUpService() + "/" + std::string(profile.lookUpPath) + nextId();
    items.push_back(std::move(item));
  }

  void addConfirm(Duration at) {
    LoadItem item;
    item.at = at;
    item.kind = LoadKind::Confirm;
    const auto id = nextId();
    item.path = confirmService() + "/" + std::string(profile.confirmPath) + id;
    item.body = "{\"id\":\"" + id + "\"}";
    item.key = "load-" + id;
    item.repeatAt = at + fromSeconds(drawUniform() * toSeconds(MaxRepeatDelay));
    items.push_back(std::move(item));
  }

  /// Adds one completion, or a burst of completions for one model.
  void addCompletions(Duration at) {
    const bool burst = drawUniform() < burstProbability();
    const auto &model = models[pickModel(burst)];
    for (int i = 0; i < (burst ? BurstSize : 1); ++i) {
      LoadItem item;
      item.at = burst ? at + fromSeconds(drawUniform() * toSeconds(BurstWidth)) : at;
      item.model = model;
      item.prompt = std::string(profile.prompt) + nextId();
      item.chat = drawUniform() < profile.chatShare;
      item.maxTokens = options.maxTokens;
      items.push_back(std::move(item));
    }
  }

  /// Returns the index of a model: by popularity for single requests, with equal probability for
  /// bursts, since the first requests of a morning are for models that were idle.
  std::size_t pickModel(bool burst) {
    if (burst)
      return static_cast<std::size_t>(drawUniform() * static_cast<double>(models.size()));
    const double draw = drawUniform() * cumulativePopularity.back();
    const auto it =
        std::upper_bound(cumulativePopularity.begin(), cumulativePopularity.end(), draw);
    return std::min(static_cast<std::size_t>(it - cumulativePopularity.begin()), models.size() - 1);
  }

  std::string nextId() { return std::to_string(options.seed) + "-" + std::to_string(++lastId); }

  void markColdRequests() {
    std::map<std::string, Duration> lastUse;
    for (auto &it : items) {
      if (it.kind != LoadKind::Completion)
        continue;
      const auto last = lastUse.find(it.model);
      it.cold = last == lastUse.end() || it.at - last->second > ColdAfter;
      lastUse[it.model] = it.at;
    }
  }

  const LoadOptions &options;
  const WorkloadProfile &profile;
  const std::vector<std::string> &models;
  std::mt19937_64 random;
  std::vector<double> cumulativePopularity;
  std::vector<LoadItem> items;
  std::uint64_t lastId = 0;
};

} // namespace

const WorkloadProfile *findWorkload(std::string_view name) {
  const auto it = std::find_if(Workloads.begin(), Workloads.end(),
                               [&](const auto &profile) { return profile.name == name; });
  return it == Workloads.end() ? nullptr : &*it;
}

std::vector<LoadItem> planLoad(const LoadOptions &options, const std::vector<std::string> &models) {
  const auto *profile = findWorkload(options.workload);
  if (!profile)
    return {};
  return LoadPlanner(options, *profile, models).buildPlan();
}

} // namespace catkin
