#include "admission_p.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace catkin {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t Seeds = 200;
constexpr Duration Step = 10ms; ///< interval between pumps, as in the daemon
// Estimates are reviewed every 50 ms, so a refusal may follow its cause by that much.
constexpr Duration ReviewTime = 60ms;

struct Answer {
  Instant at;
  AdmissionOutcome outcome;
  Duration retryAfter;
};

/// Deadline of a request and the answers that its caller received.
struct TrackedRequest {
  Instant deadline;
  std::vector<Answer> answers;
};

/// Verifies that each request has one answer, not after its deadline (refusals: plus ReviewTime),
/// and that each refusal has a positive retry time.
std::vector<std::string> checkAnswered(const std::vector<TrackedRequest> &requests) {
  std::vector<std::string> found;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    auto &it = requests[i];
    auto name = "request " + std::to_string(i);
    if (it.answers.size() != 1) {
      found.push_back(name + " got " + std::to_string(it.answers.size()) + " answers");
      continue;
    }
    auto &answer = it.answers[0];
    bool refused = answer.outcome == AdmissionOutcome::Refused;
    if (answer.at > it.deadline + (refused ? ReviewTime : Duration(0)))
      found.push_back(name + " was answered after its deadline");
    if (refused && answer.retryAfter <= Duration(0))
      found.push_back(name + " was refused without a retry time");
  }
  return found;
}

/// Random requests of two plans for three models: one is loaded, one loads later than estimated,
/// and one never loads.
class AdmissionRun {
public:
  AdmissionRun(std::uint64_t seed, Guards guards)
      : generator(seed),
        admission([this](const PlanName &p) { return acquire(p); },
                  [this](const ModelName &m) { return freeSlots[m] > 0; }, guards) {}

  std::vector<TrackedRequest> run() {
    freeSlots[ModelName("warm")] = 3;
    auto announced = now + seconds(2, 10);
    loadedAt = announced + seconds(0, 8);
    admission.setModelEstimate(ModelName("late"), announced);
    for (auto end = now + 60s; now < end; now += Step)
      step(now < end - 30s);
    return {requests.begin(), requests.end()};
  }

private:
  Duration seconds(double from, double to) {
    return fromSeconds(std::uniform_real_distribution<double>(from, to)(generator));
  }
  std::size_t pick(std::size_t n) { return static_cast<std::size_t>(generator() % n); }

  bool acquire(const PlanName &plan) {
    if (used[plan] >= 2)
      return false;
    ++used[plan];
    return true;
  }

  void step(bool arriving) {
    if (now >= loadedAt && !std::exchange(loaded, true))
      freeSlots[ModelName("late")] = 3;
    for (auto it = running.begin(); it != running.end() && it->first <= now;
         it = running.erase(it)) {
      --used[it->second.first];
      ++freeSlots[it->second.second];
    }
    if (arriving && pick(20) == 0)
      arrive();
    admission.pump(now);
  }

  void arrive() {
    static const std::vector<std::string> Models{"warm", "late", "never"};
    PlanName plan(pick(2) == 0 ? "a" : "b");
    ModelName model(Models[pick(Models.size())]);
    auto deadline = now + seconds(0.5, 20);
    requests.push_back({.deadline = deadline});
    auto *tracked = &requests.back();
    admission.enqueue({.requestId = std::to_string(requests.size()),
                       .plan = plan,
                       .model = model,
                       .priority = static_cast<Priority>(pick(3)),
                       .deadline = deadline,
                       .serviceTime = seconds(0, 0.5)},
                      now, [this, tracked, plan, model](const AdmissionResult &r) {
                        tracked->answers.push_back({now, r.outcome, r.retryAfter});
                        if (r.outcome != AdmissionOutcome::Start)
                          return;
                        --freeSlots[model];
                        running.emplace(now + seconds(0.1, 3), std::pair(plan, model));
                      });
  }

  std::mt19937_64 generator;
  Instant now{1h};
  Instant loadedAt;
  bool loaded = false;
  std::map<PlanName, int> used;
  std::map<ModelName, int> freeSlots;
  std::multimap<Instant, std::pair<PlanName, ModelName>> running;
  std::deque<TrackedRequest> requests;
  Admission admission;
};

// Guards against a checker that misses a violation.
TEST(PromiseAdmission, CheckerRejectsBadHistories) {
  Instant t{1s};
  auto start = AdmissionOutcome::Start;
  auto refused = AdmissionOutcome::Refused;
  EXPECT_EQ(checkAnswered({{.deadline = t}}).size(), 1U);
  EXPECT_EQ(checkAnswered({{t, {{t, start, 0s}, {t, refused, 1s}}}}).size(), 1U);
  EXPECT_EQ(checkAnswered({{t, {{t + 1ms, start, 0s}}}}).size(), 1U);
  EXPECT_EQ(checkAnswered({{t, {{t + 1s, refused, 1s}}}}).size(), 1U);
  EXPECT_EQ(checkAnswered({{t, {{t, refused, 0s}}}}).size(), 1U);
  EXPECT_TRUE(checkAnswered({{t, {{t, start, 0s}}}, {t, {{t, refused, 1s}}}}).empty());
}

// P3: every request starts or is refused exactly once by its deadline, and a refusal has a retry
// time.
TEST(PromiseAdmission, EveryRequestIsAnsweredInTime) {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    auto requests = AdmissionRun(seed, {}).run();
    ASSERT_GT(requests.size(), 50U);
    ASSERT_EQ(checkAnswered(requests), std::vector<std::string>{}) << "seed " << seed;
  }
}

// Guards against a run that does not reveal that late requests are no longer refused.
TEST(PromiseAdmission, RemovedGuardIsCaught) {
  EXPECT_FALSE(checkAnswered(AdmissionRun(1, {.refuseWhenLate = false}).run()).empty());
}

} // namespace
} // namespace catkin
