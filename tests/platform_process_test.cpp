#include "platform_standin_p.h"
#include "process_cluster_p.h"

#include <gtest/gtest.h>

#include <csignal>

namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

/// Returns whether the response is a complete stream.
bool isWholeStream(const HttpResult &result) {
  return result.status == HttpTransferStatus::Ok && result.response.result_int() == 200 &&
         result.response.body() == wholeStream("v1");
}

class PlatformProcess : public ::testing::Test {
protected:
  explicit PlatformProcess(const std::vector<std::set<std::string>> &engines = {{"m0", "m1"},
                                                                                {"m0", "m2"}})
      : cluster(3, engines) {}
  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    ASSERT_TRUE(pollUntil([&] { return cluster.directoryAddresses(0).size() == 3; }));
  }
  /// Returns the number of the host that holds the planner's lease; -1 if none does.
  int plannerHost() {
    auto holder = cluster.lease().first;
    return holder.empty() ? -1 : holder.back() - '0';
  }

  PlatformCluster cluster;
};

/// Every model has a replica, so that the planner has no reason to unload the second one of m0.
class PlatformProcessAllHeld : public PlatformProcess {
protected:
  PlatformProcessAllHeld() : PlatformProcess({{"m0", "m1"}, {"m0", "m2"}, {"m3"}}) {}
};

TEST_F(PlatformProcess, CalmMomentsAreServedAndMissingModelsLoaded) {
  for (int i = 0; i < 12; ++i)
    EXPECT_TRUE(isWholeStream(cluster.requestStream(i % 3, i % 2 == 0 ? "m0" : "m1"))) << i;
  EXPECT_TRUE(pollUntil([&] { return isWholeStream(cluster.requestStream(0, "m3")); }));
  std::set<std::string> holders;
  cluster.run([&] {
    for (auto &it : cluster.engines)
      holders.insert(it->orderHolders.begin(), it->orderHolders.end());
  });
  EXPECT_EQ(holders.size(), 1U); // only one host sends orders
}

// Guards against a lease that expires, or has two holders, because a response of the store was
// lost.
TEST_F(PlatformProcess, LostAnswersOfTheStoreChangeNothing) {
  auto before = cluster.lease();
  cluster.run([&] { cluster.store.answersToLose = 3; });
  ASSERT_TRUE(pollUntil([&] {
    int left = 0;
    cluster.run([&] { left = cluster.store.answersToLose; });
    return left == 0;
  }));
  EXPECT_TRUE(isWholeStream(cluster.requestStream(0, "m0")));
  EXPECT_TRUE(pollUntil([&] { return isWholeStream(cluster.requestStream(1, "m3")); }));
  EXPECT_EQ(cluster.lease(), before);
}

// Guards against a system in which no host loads models after the planner was killed.
TEST_F(PlatformProcess, KilledPlannerIsReplaced) {
  ASSERT_TRUE(pollUntil([&] { return plannerHost() >= 0; }));
  int killedHost = plannerHost();
  auto term = cluster.lease().second;
  cluster.signalHost(killedHost, SIGKILL);
  int other = (killedHost + 1) % 3;
  EXPECT_TRUE(isWholeStream(cluster.requestStream(other, "m0")));
  EXPECT_TRUE(pollUntil([&] { return cluster.lease().second > term; }));
  EXPECT_TRUE(pollUntil([&] { return isWholeStream(cluster.requestStream(other, "m3")); }));
  EXPECT_TRUE(pollUntil([&] { return cluster.directoryAddresses(other).size() == 2; }));
}

// Guards against new requests to a draining endpoint.
TEST_F(PlatformProcess, LeavingEngineGetsNoNewWork) {
  cluster.setEngineState(0, "draining");
  std::this_thread::sleep_for(2s); // the drain time that the platform allows
  int before = 0;
  cluster.run([&] { before = cluster.engines[0]->runs; });
  for (int i = 0; i < 9; ++i)
    EXPECT_TRUE(isWholeStream(cluster.requestStream(i % 3, "m0")));
  int after = 0;
  cluster.run([&] { after = cluster.engines[0]->runs; });
  EXPECT_EQ(after, before);
}

/// Returns the number of runs on the first engine so far.
int firstEngineRuns(PlatformCluster &cluster) {
  int n = 0;
  cluster.run([&] { n = cluster.engines[0]->runs; });
  return n;
}

// Guards against new requests to an endpoint that announces only in its responses that it is
// leaving, while the registry still lists it as ready.
TEST_F(PlatformProcess, EngineThatLeavesByItsAnswersGetsNoNewWork) {
  cluster.run([&] { cluster.engines[0]->leaving = true; });
  for (int i = 0; i < 12; ++i)
    EXPECT_TRUE(isWholeStream(cluster.requestStream(i % 3, "m0")));
  std::this_thread::sleep_for(2s); // the drain time that the platform allows
  const int before = firstEngineRuns(cluster);
  for (int i = 0; i < 9; ++i) {
    cluster.setEngineState(0, "ready"); // a new registration must not cancel the announcement
    EXPECT_TRUE(isWholeStream(cluster.requestStream(i % 3, "m0")));
  }
  EXPECT_EQ(firstEngineRuns(cluster), before);
}

// Guards against requests to an engine that has told this host to back off.
TEST_F(PlatformProcess, EngineThatWantsNoRequestsIsLeftAlone) {
  cluster.run([&] { cluster.engines[0]->backoffSeconds = 30; });
  for (int i = 0; i < 40; ++i)
    EXPECT_TRUE(isWholeStream(cluster.requestStream(0, "m0"))) << i;
  int refused = 0;
  cluster.run([&] { refused = cluster.engines[0]->refusedRequests; });
  EXPECT_LE(refused, 1);
}

// Guards against a truncated stream although another engine could resume it.
TEST_F(PlatformProcessAllHeld, BrokenStreamGoesOnElsewhere) {
  constexpr int Streams = 16; // the first engine gets about half of them
  for (int i = 0; i < Streams; ++i) {
    cluster.run([&] { cluster.engines[0]->cutAfter = 2; });
    EXPECT_TRUE(isWholeStream(cluster.requestStream(i % 3, "m0"))) << i;
  }
  int runs = 0;
  cluster.run([&] { runs = cluster.engines[0]->runs + cluster.engines[1]->runs; });
  EXPECT_GT(runs, Streams);
}

// Guards against a stop that refuses requests too early or leaves the host in the directory.
TEST_F(PlatformProcess, StoppingHostServesAndLeavesTheDirectory) {
  int leaving = 2;
  cluster.signalHost(leaving, SIGTERM);
  EXPECT_TRUE(pollUntil([&] { return !cluster.isHostReady(leaving); }));
  EXPECT_TRUE(isWholeStream(cluster.requestStream(leaving, "m0")));
  EXPECT_TRUE(pollUntil([&] { return cluster.directoryAddresses(0).size() == 2; }));
}

// Guards against hosts that stop serving while the store is unavailable.
TEST_F(PlatformProcess, ServesWhileTheStoreIsDown) {
  cluster.run([&] { cluster.store.down = true; });
  std::this_thread::sleep_for(3s);
  for (int i = 0; i < 6; ++i)
    EXPECT_TRUE(isWholeStream(cluster.requestStream(i % 3, "m0")));
  cluster.run([&] { cluster.store.down = false; });
  EXPECT_TRUE(pollUntil([&] { return isWholeStream(cluster.requestStream(0, "m3")); }));
}

} // namespace
} // namespace catkin::platform
