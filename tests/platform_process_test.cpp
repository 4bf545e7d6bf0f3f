#include "platform_standin_p.h"
#include "process_cluster_p.h"

#include <gtest/gtest.h>

#include <csignal>

namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr auto WholeStream = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
                             "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n";

bool served(const HttpResult &result) {
  return result.status == HttpTransferStatus::Ok && result.response.result_int() == 200 &&
         result.response.body() == WholeStream;
}

class PlatformProcess : public ::testing::Test {
protected:
  explicit PlatformProcess(const std::vector<std::set<std::string>> &engines = {{"m0", "m1"},
                                                                                {"m0", "m2"}})
      : cluster(3, engines) {}
  void SetUp() override {
    ASSERT_TRUE(eventually([&] { return cluster.allReady(); }));
    ASSERT_TRUE(eventually([&] { return cluster.addressesFrom(0).size() == 3; }));
  }
  /// Number of the host that holds the planner's lease.
  int planner() {
    auto holder = cluster.lease().first;
    return holder.empty() ? -1 : holder.back() - '0';
  }

  PlatformCluster cluster;
};

/// Every model is held, so that the planner has no reason to drop the second replica of m0.
class PlatformProcessAllHeld : public PlatformProcess {
protected:
  PlatformProcessAllHeld() : PlatformProcess({{"m0", "m1"}, {"m0", "m2"}, {"m3"}}) {}
};

TEST_F(PlatformProcess, CalmMomentsAreServedAndMissingModelsLoaded) {
  for (int i = 0; i < 12; ++i)
    EXPECT_TRUE(served(cluster.ask(i % 3, i % 2 == 0 ? "m0" : "m1"))) << i;
  EXPECT_TRUE(eventually([&] { return served(cluster.ask(0, "m3")); }));
  std::set<std::string> holders;
  cluster.run([&] {
    for (auto &it : cluster.engines)
      holders.insert(it->holders.begin(), it->holders.end());
  });
  EXPECT_EQ(holders.size(), 1U); // one host gives orders
}

// Guards against a lease that is lost, or held twice, because an answer of the store got lost.
TEST_F(PlatformProcess, LostAnswersOfTheStoreChangeNothing) {
  auto before = cluster.lease();
  cluster.run([&] { cluster.store.loseAnswers = 3; });
  ASSERT_TRUE(eventually([&] {
    int left = 0;
    cluster.run([&] { left = cluster.store.loseAnswers; });
    return left == 0;
  }));
  EXPECT_TRUE(served(cluster.ask(0, "m0")));
  EXPECT_TRUE(eventually([&] { return served(cluster.ask(1, "m3")); }));
  EXPECT_EQ(cluster.lease(), before);
}

// Guards against a system without anyone who loads models after its planner was killed.
TEST_F(PlatformProcess, KilledPlannerIsReplaced) {
  ASSERT_TRUE(eventually([&] { return planner() >= 0; }));
  int killed = planner();
  auto term = cluster.lease().second;
  cluster.signalHost(killed, SIGKILL);
  int other = (killed + 1) % 3;
  EXPECT_TRUE(served(cluster.ask(other, "m0")));
  EXPECT_TRUE(eventually([&] { return cluster.lease().second > term; }));
  EXPECT_TRUE(eventually([&] { return served(cluster.ask(other, "m3")); }));
  EXPECT_TRUE(eventually([&] { return cluster.addressesFrom(other).size() == 2; }));
}

// Guards against new work for an endpoint that leaves.
TEST_F(PlatformProcess, LeavingEngineGetsNoNewWork) {
  cluster.announce(0, "draining");
  std::this_thread::sleep_for(2s); // the time that the platform allows
  int before = 0;
  cluster.run([&] { before = cluster.engines[0]->runs; });
  for (int i = 0; i < 9; ++i)
    EXPECT_TRUE(served(cluster.ask(i % 3, "m0")));
  int after = 0;
  cluster.run([&] { after = cluster.engines[0]->runs; });
  EXPECT_EQ(after, before);
}

/// Runs of the first engine so far.
int runsOfFirst(PlatformCluster &cluster) {
  int n = 0;
  cluster.run([&] { n = cluster.engines[0]->runs; });
  return n;
}

// Guards against new work for an endpoint that says only in its answers that it leaves, while the
// registry goes on to list it as ready.
TEST_F(PlatformProcess, EngineThatLeavesByItsAnswersGetsNoNewWork) {
  cluster.run([&] { cluster.engines[0]->leaving = true; });
  for (int i = 0; i < 12; ++i)
    EXPECT_TRUE(served(cluster.ask(i % 3, "m0")));
  std::this_thread::sleep_for(2s); // the time that the platform allows
  const int before = runsOfFirst(cluster);
  for (int i = 0; i < 9; ++i) {
    cluster.announce(0, "ready"); // an update of its registration changes nothing
    EXPECT_TRUE(served(cluster.ask(i % 3, "m0")));
  }
  EXPECT_EQ(runsOfFirst(cluster), before);
}

// Guards against requests to an engine that has asked this host for none.
TEST_F(PlatformProcess, EngineThatWantsNoRequestsIsLeftAlone) {
  cluster.run([&] { cluster.engines[0]->backoffSeconds = 30; });
  for (int i = 0; i < 40; ++i)
    EXPECT_TRUE(served(cluster.ask(0, "m0"))) << i;
  int refused = 0;
  cluster.run([&] { refused = cluster.engines[0]->refused; });
  EXPECT_LE(refused, 1);
}

// Guards against a stream that is cut although another engine could go on with it.
TEST_F(PlatformProcessAllHeld, BrokenStreamGoesOnElsewhere) {
  constexpr int Streams = 16; // the first engine gets about half of them
  for (int i = 0; i < Streams; ++i) {
    cluster.run([&] { cluster.engines[0]->cutAfter = 2; });
    EXPECT_TRUE(served(cluster.ask(i % 3, "m0"))) << i;
  }
  int runs = 0;
  cluster.run([&] { runs = cluster.engines[0]->runs + cluster.engines[1]->runs; });
  EXPECT_GT(runs, Streams);
}

// Guards against a stop that cuts requests off or leaves the host in the directory.
TEST_F(PlatformProcess, StoppingHostServesAndLeavesTheDirectory) {
  int leaving = 2;
  cluster.signalHost(leaving, SIGTERM);
  EXPECT_TRUE(eventually([&] { return !cluster.hostReady(leaving); }));
  EXPECT_TRUE(served(cluster.ask(leaving, "m0")));
  EXPECT_TRUE(eventually([&] { return cluster.addressesFrom(0).size() == 2; }));
}

// Guards against hosts that stop serving while the store is down.
TEST_F(PlatformProcess, ServesWhileTheStoreIsDown) {
  cluster.run([&] { cluster.store.down = true; });
  std::this_thread::sleep_for(3s);
  for (int i = 0; i < 6; ++i)
    EXPECT_TRUE(served(cluster.ask(i % 3, "m0")));
  cluster.run([&] { cluster.store.down = false; });
  EXPECT_TRUE(eventually([&] { return served(cluster.ask(0, "m3")); }));
}

} // namespace
} // namespace catkin::platform
