#include "policy_p.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace catkin {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t Start = 20000LL * 86400; // midnight
constexpr std::int64_t Day = 86400;

Instant toInstant(std::int64_t wall) {
  return Instant{} + std::chrono::seconds(wall - Start + 1000);
}

RetentionInput makeIdleInput(const char *model, std::int64_t lastUse, std::int64_t now) {
  return {.model = ModelName(model),
          .lastUse = toInstant(lastUse),
          .loadTime = 10s,
          .acceleratorShare = 1.0,
          .now = toInstant(now),
          .wallSeconds = now};
}

void recordUse(RetentionPolicy &policy, const char *model, std::int64_t wall, unsigned n = 1) {
  policy.onArrivals(ModelName(model), n, toInstant(wall), wall);
}

bool contains(const std::vector<ModelName> &models, const char *name) {
  return std::ranges::find(models, ModelName(name)) != models.end();
}

/// Returns the idle time in seconds after which the policy releases the replica, at most 4 hours.
std::int64_t releaseAge(RetentionPolicy &policy, const char *model, std::int64_t lastUse) {
  for (std::int64_t age = 0; age < 4 * 3600; age += 5)
    if (policy.shouldRelease(makeIdleInput(model, lastUse, lastUse + age)))
      return age;
  return 4 * 3600;
}

// Guards against policies that the linker drops from the static library.
TEST(Policy, CreatorTablesHoldTheBuiltInRules) {
  EXPECT_EQ(retentionPolicyNames(), (std::vector<std::string>{"adaptive", "fixed", "lru"}));
  EXPECT_EQ(placementPolicyNames(), (std::vector<std::string>{"cost", "first_fit"}));
  EXPECT_EQ(createRetentionPolicy("none", {}), nullptr);
  EXPECT_EQ(createPlacementPolicy("none", {}), nullptr);
  EXPECT_FALSE(registerRetentionPolicy("fixed", nullptr));
}

TEST(Policy, FixedReleasesAfterTheKeepAlive) {
  auto policy = createRetentionPolicy("fixed", {.fixedKeepAlive = 60s});
  EXPECT_FALSE(policy->shouldRelease(makeIdleInput("a", Start, Start + 59)));
  EXPECT_TRUE(policy->shouldRelease(makeIdleInput("a", Start, Start + 60)));
}

TEST(Policy, LruKeepsAndPrefersRecentUse) {
  auto policy = createRetentionPolicy("lru", {});
  EXPECT_FALSE(policy->shouldRelease(makeIdleInput("a", Start, Start + 10 * Day)));
  EXPECT_GT(policy->keepValue(makeIdleInput("a", Start + 50, Start + 100)),
            policy->keepValue(makeIdleInput("a", Start, Start + 100)));
}

// Guards against a policy that keeps rarely used models as long as frequently used ones.
TEST(Policy, AdaptiveKeepsAFrequentModelLongerThanARareOne) {
  auto policy = createRetentionPolicy("adaptive", {.idleSecond = 0.01});
  for (int i = 0; i <= 40; ++i)
    recordUse(*policy, "often", Start + 300 * i);
  for (int i = 0; i <= 10; ++i)
    recordUse(*policy, "rare", Start + 7 * 3600 * i);
  auto often = releaseAge(*policy, "often", Start + 300 * 40);
  EXPECT_GE(often, 250);
  EXPECT_LT(releaseAge(*policy, "rare", Start + 70 * 3600), often);
}

// Guards against an idle cost that has no effect on when replicas are released.
TEST(Policy, AdaptiveReleasesSoonerWhenIdlingCostsMore) {
  std::int64_t ages[2];
  double costs[] = {0.002, 0.1};
  for (int i = 0; i < 2; ++i) {
    auto policy = createRetentionPolicy("adaptive", {.idleSecond = costs[i]});
    for (int k = 0; k <= 20; ++k)
      recordUse(*policy, "a", Start + 600 * k);
    ages[i] = releaseAge(*policy, "a", Start + 600 * 20);
  }
  EXPECT_GT(ages[0], ages[1]);
}

TEST(Policy, AdaptivePrewarmsADailyBurstAndKeepsItThroughTheSpan) {
  auto policy = createRetentionPolicy("adaptive", {});
  for (int day = 0; day < 5; ++day)
    for (int i = 0; i < 20; ++i)
      recordUse(*policy, "rounds", Start + day * Day + 6 * 3600 + i, 2);
  auto today = Start + 5 * Day;
  EXPECT_FALSE(contains(policy->prewarm(toInstant(today + 3 * 3600), today + 3 * 3600), "rounds"));
  auto before = today + 6 * 3600 - 120;
  EXPECT_TRUE(contains(policy->prewarm(toInstant(before), before), "rounds"));
  EXPECT_FALSE(policy->shouldRelease(makeIdleInput("rounds", Start + 4 * Day, before + 60)));
  // Without requests, the replica is released once the predicted span is over.
  EXPECT_TRUE(policy->shouldRelease(makeIdleInput("rounds", Start + 4 * Day, before + 3600)));
}

// Guards against prewarming by the pattern of another kind of day once the current day's requests
// show which kind it is. Here, feast days alternate with quiet days.
TEST(Policy, AdaptiveTellsKindsOfDaysApart) {
  auto policy = createRetentionPolicy("adaptive", {});
  auto recordFeastDay = [&](std::int64_t day) {
    for (int model = 0; model < 8; ++model)
      for (int hour = 8; hour < 12; ++hour)
        recordUse(*policy, ("m" + std::to_string(model)).c_str(), day + hour * 3600 + model, 5);
  };
  for (int day = 0; day < 8; ++day) {
    if (day % 2 == 0)
      recordFeastDay(Start + day * Day);
    for (int i = 0; i < 20; ++i)
      recordUse(*policy, "evening", Start + day * Day + (day % 2 ? 20 : 21) * 3600 + i);
  }
  auto today = Start + 8 * Day;
  recordFeastDay(today);
  auto early = today + 20 * 3600 - 60;
  auto late = today + 21 * 3600 - 60;
  EXPECT_FALSE(contains(policy->prewarm(toInstant(early), early), "evening"));
  EXPECT_TRUE(contains(policy->prewarm(toInstant(late), late), "evening"));
}

TEST(Policy, HistorySurvivesTheHandOver) {
  auto first = createRetentionPolicy("adaptive", {});
  for (int day = 0; day < 5; ++day)
    for (int i = 0; i < 20; ++i)
      recordUse(*first, "rounds", Start + day * Day + 6 * 3600 + i, 2);
  auto second = createRetentionPolicy("adaptive", {});
  second->restoreHistory(first->saveHistory());
  EXPECT_EQ(second->saveHistory(), first->saveHistory());
  auto before = Start + 5 * Day + 6 * 3600 - 120;
  EXPECT_TRUE(contains(second->prewarm(toInstant(before), before), "rounds"));
}

TEST(Policy, MalformedHistoryChangesNothing) {
  auto policy = createRetentionPolicy("adaptive", {});
  recordUse(*policy, "a", Start);
  recordUse(*policy, "a", Start + 100);
  auto saved = policy->saveHistory();
  for (const char *text :
       {"", "[]", "{", R"({"models":3})", R"({"first_day":1,"last_day":2,"models":[{}]})"})
    policy->restoreHistory(text);
  EXPECT_EQ(policy->saveHistory(), saved);
}

// Guards against history that grows with the number of model names ever seen.
TEST(Policy, HistoryIsBounded) {
  auto policy = createRetentionPolicy("adaptive", {});
  for (int i = 0; i < 3000; ++i)
    recordUse(*policy, ("model-" + std::to_string(i)).c_str(), Start + i);
  auto saved = policy->saveHistory();
  EXPECT_EQ(saved.find("\"model-951\""), std::string::npos);
  EXPECT_NE(saved.find("\"model-952\""), std::string::npos);
  EXPECT_NE(saved.find("\"model-2999\""), std::string::npos);
}

struct PlacementCase {
  const char *name;
  PlacementCandidate better;
  PlacementCandidate worse;
};

// Guards against a placement cost that ignores one of its parts.
TEST(Policy, CostPlacementWeighsEachPart) {
  const PlacementCandidate base{.source = CopySource::Disk, .generation = 2, .expectedLoad = 4s};
  auto with = [&](auto change) {
    auto c = base;
    change(c);
    return c;
  };
  const PlacementCase cases[] = {
      {"load time", base, with([](auto &c) { c.expectedLoad = 6s; })},
      {"source", with([](auto &c) { c.source = CopySource::Memory; }), base},
      {"remote", base, with([](auto &c) { c.source = CopySource::Remote; })},
      {"generation", with([](auto &c) { c.generation = 3; }), base},
      {"eviction", base, with([](auto &c) { c.evictionCost = 1; })},
      {"data centre", base, with([](auto &c) { c.sameDataCentre = false; })},
      {"busy", base, with([](auto &c) { c.running = 4; })},
  };
  auto policy = createPlacementPolicy("cost", {});
  for (const auto &it : cases)
    EXPECT_LT(policy->cost(it.better), policy->cost(it.worse)) << it.name;
  auto local = base;
  local.storeQueue = 30s;
  EXPECT_EQ(policy->cost(local), policy->cost(base)) << "the store queue is for remote copies only";
  local.source = CopySource::Remote;
  EXPECT_GT(policy->cost(local), policy->cost(base) + 25);
}

TEST(Policy, FirstFitTakesFreeMemoryBeforeEviction) {
  auto policy = createPlacementPolicy("first_fit", {});
  EXPECT_LT(policy->cost({.freeBytes = 10, .loadBytes = 10}),
            policy->cost({.freeBytes = 9, .loadBytes = 10}));
}

} // namespace
} // namespace catkin
