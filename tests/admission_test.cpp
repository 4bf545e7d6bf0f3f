#include "admission_p.h"
#include "config.h"

#include <gtest/gtest.h>

#include <set>

namespace catkin {
namespace {

using namespace std::chrono_literals;

struct AdmissionTest : testing::Test {
  std::map<PlanName, int> shares;  ///< free units of concurrency per plan
  std::map<ModelName, int> places; ///< free request places at the loaded replicas of a model
  Instant now{1h};
  std::vector<std::string> started;
  std::map<std::string, AdmissionResult> refused; ///< every result but Start, by request id
  Admission admission{
      [this](const PlanName &p) { return shares[p] > 0 && shares[p]-- > 0; },
      [this](const ModelName &m) { return places[m] > 0; },
  };

  Admission::Ticket add(const std::string &id, const char *plan, const char *model,
                        Duration deadline = 30s, Priority priority = Priority::Normal,
                        Duration service = 0s) {
    return admission.enqueue(
        {id, PlanName(plan), ModelName(model), priority, now + deadline, service}, now,
        [this, id, m = ModelName(model)](const AdmissionResult &r) {
          if (r.outcome != AdmissionOutcome::Start) {
            refused[id] = r;
            return;
          }
          --places[m];
          started.push_back(id);
        });
  }
  /// Advances the clock by `d` and pumps the queue every 10 ms.
  void run(Duration d) {
    for (auto end = now + d; now < end; now += 10ms)
      admission.pump(now);
  }
  /// Number of started requests whose id begins with the plan's letter.
  int countStarted(char plan) const {
    return static_cast<int>(
        std::count_if(started.begin(), started.end(), [&](auto &id) { return id[0] == plan; }));
  }
};

// Guards against one plan's burst starving another plan on a shared replica.
TEST_F(AdmissionTest, PlansShareAReplicaInTurn) {
  shares = {{PlanName("a"), 100}, {PlanName("b"), 100}};
  for (int i = 0; i < 50; ++i)
    add("a" + std::to_string(i), "a", "m");
  for (int i = 0; i < 5; ++i)
    add("b" + std::to_string(i), "b", "m");
  places[ModelName("m")] = 10;
  admission.pump(now);
  EXPECT_EQ(countStarted('a'), 5);
  EXPECT_EQ(countStarted('b'), 5);
}

// Guards against fairness by request count, by which a plan with long requests gets most of the
// service time.
TEST_F(AdmissionTest, PlansShareByServiceTime) {
  shares = {{PlanName("a"), 100}, {PlanName("b"), 100}};
  for (int i = 0; i < 40; ++i) {
    add("a" + std::to_string(i), "a", "m", 60s, Priority::Normal, 400ms);
    add("b" + std::to_string(i), "b", "m", 60s, Priority::Normal, 100ms);
  }
  places[ModelName("m")] = 25;
  admission.pump(now);
  EXPECT_NEAR(countStarted('a'), 5, 1);
  EXPECT_NEAR(countStarted('b'), 20, 1);
}

// Guards against starvation of low-priority requests, and against priorities without effect.
TEST_F(AdmissionTest, LowPriorityIsSlowButNotStarved) {
  shares = {{PlanName("h"), 1000}, {PlanName("l"), 1000}};
  for (int i = 0; i < 200; ++i) {
    add("h" + std::to_string(i), "h", "m", 60s, Priority::High);
    add("l" + std::to_string(i), "l", "m", 60s, Priority::Low);
  }
  places[ModelName("m")] = 100;
  admission.pump(now);
  EXPECT_GE(countStarted('l'), 4);
  EXPECT_GE(countStarted('h'), 90);
}

// Guards against head-of-line blocking: requests of a plan without a free share, or for a model
// without a loaded replica, must not delay other requests.
TEST_F(AdmissionTest, BlockedPlanAndColdModelHoldUpNobody) {
  shares = {{PlanName("b"), 1}, {PlanName("c"), 1}};
  places[ModelName("m")] = 5;
  add("a0", "a", "m", 30s, Priority::High);
  add("b0", "b", "cold");
  add("b1", "b", "m");
  add("c0", "c", "m", 30s, Priority::Low);
  admission.pump(now);
  EXPECT_EQ(std::set(started.begin(), started.end()), (std::set<std::string>{"b1", "c0"}));
  EXPECT_EQ(admission.waiting(), 2U);
  EXPECT_EQ(admission.waiting(PlanName("b")), 1U);
  EXPECT_EQ(admission.waiting(ModelName("cold")), 1U);
}

// Guards against queueing a request for a cold model whose load ends after the request's deadline.
TEST_F(AdmissionTest, RefusesAtOnceWhatTheLoadCannotMake) {
  shares = {{PlanName("a"), 9}};
  add("a0", "a", "m", 5s);
  add("a1", "a", "m", 20s);
  admission.setModelEstimate(ModelName("m"), now + 8s);
  admission.pump(now);
  ASSERT_TRUE(refused.contains("a0"));
  EXPECT_EQ(refused["a0"].retryAfter, 8s);
  EXPECT_EQ(admission.waiting(), 1U);
  admission.setModelEstimate(ModelName("m"), now + 25s);
  admission.pump(now);
  EXPECT_TRUE(refused.contains("a1")) << "a later estimate must apply at once";
}

// Guards against holding a request until near its deadline although neither the load of its model
// nor the share of its plan makes progress.
TEST_F(AdmissionTest, GivesUpWellBeforeTheDeadlineWithoutProgress) {
  places[ModelName("warm")] = 5;
  shares = {{PlanName("b"), 5}};
  add("a0", "a", "warm", 10s);
  add("b0", "b", "cold", 10s);
  run(4s);
  EXPECT_TRUE(refused.empty());
  run(2s);
  EXPECT_EQ(refused.size(), 2U);
  EXPECT_GT(refused["a0"].retryAfter, 4s);
}

// Guards against queueing a request behind more requests than the plan's share can start before
// the deadline.
TEST_F(AdmissionTest, RefusesTheEndOfAQueueThatMovesTooSlowly) {
  places[ModelName("m")] = 1000;
  for (int i = 0; i < 30; ++i)
    add("a" + std::to_string(i), "a", "m", 60s);
  for (int i = 0; i < 10; ++i) { // the share lets one request start each second
    run(1s);
    shares[PlanName("a")] = 1;
  }
  run(10ms);
  EXPECT_EQ(countStarted('a'), 10);
  EXPECT_TRUE(refused.empty());
  add("late", "a", "m", 10s);
  admission.pump(now);
  ASSERT_TRUE(refused.contains("late"));
  EXPECT_GT(refused["late"].retryAfter, 15s);
}

// Guards against a queue per plan that grows without bound.
TEST_F(AdmissionTest, QueueOfAPlanIsBounded) {
  for (std::size_t i = 0; i < config::MaxWaitingPerPlan + 3; ++i)
    add("a" + std::to_string(i), "a", "m");
  admission.pump(now);
  EXPECT_EQ(refused.size(), 3U);
  EXPECT_EQ(admission.waiting(), config::MaxWaitingPerPlan);
}

// Guards against a callback that is called twice or never when a caller cancels its request or a
// model is refused.
TEST_F(AdmissionTest, EachRequestIsAnsweredOnce) {
  auto ticket = add("a0", "a", "m");
  add("a1", "a", "m");
  admission.cancel(ticket);
  admission.cancel(ticket);
  EXPECT_EQ(refused["a0"].outcome, AdmissionOutcome::Cancelled);
  admission.refuseModel(ModelName("m"), 7s, "grant");
  EXPECT_EQ(refused["a1"].reason, "grant");
  places[ModelName("m")] = 2;
  shares[PlanName("a")] = 2;
  run(100ms);
  EXPECT_TRUE(started.empty());
  EXPECT_EQ(admission.waiting(), 0U);
}

// Guards against corrupted queues when a callback itself enqueues, cancels or pumps.
TEST_F(AdmissionTest, CallbacksMayUseTheQueue) {
  shares[PlanName("a")] = 2;
  places[ModelName("m")] = 2;
  auto victim = add("a1", "a", "cold");
  admission.enqueue({"a0", PlanName("a"), ModelName("m"), Priority::Normal, now + 9s, 0s}, now,
                    [&](const AdmissionResult &) {
                      admission.cancel(victim);
                      add("a2", "a", "m");
                      admission.pump(now);
                    });
  admission.pump(now);
  EXPECT_EQ(started, std::vector<std::string>{"a2"});
  EXPECT_EQ(refused.size(), 1U);
}

} // namespace
} // namespace catkin
