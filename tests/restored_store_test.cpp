#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

#include <csignal>

/// Tests with daemons as processes before a store that comes back from a copy some seconds old:
/// confirmed changes are in force, engines that have left stay left, no term is given out twice.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr int SmallFleet = 4;
constexpr int LargeFleet = 18;       // more hosts than there are sentinels
constexpr auto CopyAge = 4s;         // of the copy from which the store comes back
constexpr auto ContactTime = 3000ms; // allowed by the platform after a disturbance of the store
constexpr auto ConfigTimeLimit = 2000ms;
constexpr auto DrainTimeLimit = 2000ms;
constexpr auto LapseTime = 3600ms;   // three heartbeats of an engine
constexpr auto LeaseTimeLimit = 12s; // until a lost planner is replaced, and its engines are known

class RestoredStore : public ::testing::TestWithParam<int> {
protected:
  RestoredStore()
      : hosts(GetParam()), cluster(hosts, {{"m0", "m1"}, {"m0", "m2"}}, {.plainEndpoints = 1}) {}

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    ASSERT_TRUE(pollUntil([&] { return listsAllHosts(0); }));
    std::this_thread::sleep_for(2s); // time for the hosts to choose sentinels and a planner
  }

  bool listsAllHosts(int host) {
    return static_cast<int>(cluster.directoryAddresses(host).size()) == hosts;
  }

  /// Makes changes in the time that the restore loses: revisions that are given out again.
  void changeThrice() {
    for (int i = 0; i < 3; ++i) {
      cluster.changeConfig({.timeout = 8s + 100ms * i});
      std::this_thread::sleep_for(300ms);
    }
  }

  /// Changes the configuration and returns the hosts at which the added route is not in force in
  /// time, or the removed one still is.
  std::vector<int> lateHosts(bool extraRoute) {
    cluster.changeConfig({.extraRoute = extraRoute});
    std::this_thread::sleep_for(ConfigTimeLimit);
    return hostsWithout(extraRoute);
  }

  std::vector<int> hostsWithout(bool extraRoute) {
    std::vector<int> out;
    for (int host = 0; host < hosts; ++host)
      if (cluster.statusOfExtraRoute(host) != (extraRoute ? 200U : 404U))
        out.push_back(host);
    return out;
  }

  /// Requests the models of an engine at all hosts and returns how many of them reach it.
  int runsAt(int engine) {
    const auto index = static_cast<std::size_t>(engine);
    int before = 0;
    cluster.run([&] { before = cluster.engines[index]->runs; });
    const int requestsPerHost = 1 + 12 / hosts;
    for (int host = 0; host < hosts; ++host)
      for (int i = 0; i < requestsPerHost; ++i)
        cluster.requestStream(host, "m0");
    int n = 0;
    cluster.run([&] { n = cluster.engines[index]->runs - before; });
    return n;
  }

  /// Restores the copy, in which engine 0 is ready. Checks that it gets no requests, neither in the
  /// time after which the store removes the registration of a silent one nor later.
  void restoreAndExpectNoRuns() {
    cluster.run([&] { cluster.store.restore(CopyAge); });
    for (const Instant end = steadyNow() + LapseTime; steadyNow() < end;)
      EXPECT_EQ(runsAt(0), 0);
    cluster.run([&] { cluster.store.writeAgain(); });
    std::this_thread::sleep_for(ContactTime);
    EXPECT_EQ(runsAt(0), 0);
  }

  /// Returns the terms that two processes have held.
  std::vector<std::uint64_t> termsGivenOutTwice() {
    std::vector<std::uint64_t> out;
    cluster.run([&] {
      for (auto &[term, holders] : cluster.store.leaseHolders)
        if (holders.size() > 1)
          out.push_back(term);
    });
    return out;
  }

  int planner() {
    const auto holder = cluster.lease().first;
    return holder.empty() ? -1 : std::atoi(holder.c_str() + std::string("host-").size());
  }

  /// Waits until a term above `term` is held.
  bool waitForNewTerm(std::uint64_t term) {
    const Instant end = steadyNow() + LeaseTimeLimit;
    while (steadyNow() < end) {
      const auto [holder, now] = cluster.lease();
      if (!holder.empty() && now > term)
        return true;
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  const int hosts;
  PlatformCluster cluster;
};

TEST_P(RestoredStore, ConfirmedChangeIsNotInForce) {
  std::this_thread::sleep_for(CopyAge);
  changeThrice();
  cluster.restoreStore(CopyAge);
  std::this_thread::sleep_for(ContactTime);
  EXPECT_EQ(lateHosts(true), std::vector<int>{});
  EXPECT_EQ(lateHosts(false), std::vector<int>{});
}

TEST_P(RestoredStore, ConfirmedChangeIsNotInForceAfterTwoRestores) {
  std::this_thread::sleep_for(CopyAge);
  changeThrice();
  cluster.restoreStore(CopyAge);
  changeThrice();
  cluster.restoreStore(2s);
  std::this_thread::sleep_for(ContactTime);
  EXPECT_EQ(lateHosts(true), std::vector<int>{});
}

// More changes than were lost hide that the revisions have gone back.
TEST_P(RestoredStore, ChangeIsMissedWhenRevisionsHaveCaughtUp) {
  std::this_thread::sleep_for(CopyAge);
  changeThrice();
  cluster.run([&] {
    cluster.store.down = true;
    cluster.store.restore(CopyAge);
    cluster.store.writeAgain();
  });
  cluster.changeConfig({.extraRoute = true});
  cluster.run([&] {
    for (int i = 0; i < 40; ++i)
      cluster.store.put("servers", "i-0", cluster.engines[0]->registryEntry("ready"));
    cluster.store.down = false;
  });
  std::this_thread::sleep_for(ContactTime);
  EXPECT_EQ(hostsWithout(true), std::vector<int>{});
}

TEST_P(RestoredStore, ConfirmedChangeComesBackOlder) {
  cluster.changeConfig({.extraRoute = true});
  std::this_thread::sleep_for(CopyAge);
  cluster.changeConfig({.extraRoute = false});
  std::this_thread::sleep_for(ConfigTimeLimit);
  cluster.run([&] { cluster.store.restore(CopyAge); });
  for (const Instant end = steadyNow() + 3s; steadyNow() < end;)
    for (int host = 0; host < hosts; ++host)
      EXPECT_EQ(cluster.statusOfExtraRoute(host), 404U) << "host " << host;
}

TEST_P(RestoredStore, EngineThatDrainsAfterwardsGetsRequests) {
  std::this_thread::sleep_for(CopyAge);
  changeThrice();
  cluster.restoreStore(CopyAge);
  std::this_thread::sleep_for(ContactTime);
  cluster.setEngineState(0, "draining");
  std::this_thread::sleep_for(DrainTimeLimit);
  EXPECT_EQ(runsAt(0), 0);
}

TEST_P(RestoredStore, EngineThatDrainedBeforeIsReadyAgain) {
  std::this_thread::sleep_for(CopyAge);
  cluster.setEngineState(0, "draining");
  std::this_thread::sleep_for(DrainTimeLimit);
  restoreAndExpectNoRuns();
}

// An engine that has left without a word is in the copy until the store has missed its heartbeats.
TEST_P(RestoredStore, EngineThatWasGoneGetsRequests) {
  std::this_thread::sleep_for(CopyAge);
  cluster.run([&] { cluster.store.remove("servers", "i-0"); });
  std::this_thread::sleep_for(DrainTimeLimit);
  restoreAndExpectNoRuns();
}

TEST_P(RestoredStore, EngineThatCameInTheLostTimeIsForgotten) {
  cluster.run([&] { cluster.store.remove("servers", "i-0"); });
  std::this_thread::sleep_for(CopyAge);
  cluster.setEngineState(0, "ready");
  std::this_thread::sleep_for(1s);
  cluster.restoreStore(2s);
  std::this_thread::sleep_for(ContactTime);
  EXPECT_GT(runsAt(0), 0);
}

// The copy is older than all hosts: neither their registrations nor the lease are in it.
TEST_P(RestoredStore, HostsOfTheLostTimeAreForgotten) {
  const auto term = cluster.lease().second;
  cluster.restoreStore(1h);
  std::this_thread::sleep_for(ContactTime);
  int registered = 0;
  cluster.run([&] { registered = cluster.store.count("catkin-hosts"); });
  EXPECT_EQ(registered, hosts);
  for (int host = 0; host < hosts; ++host)
    EXPECT_TRUE(listsAllHosts(host)) << "host " << host;
  EXPECT_TRUE(waitForNewTerm(term));
  EXPECT_EQ(termsGivenOutTwice(), std::vector<std::uint64_t>{});
  EXPECT_EQ(lateHosts(true), std::vector<int>{});
}

// The planner's host is killed, another one takes over, all hosts start anew, and the store has
// forgotten the new planner.
TEST_P(RestoredStore, TermIsGivenOutTwice) {
  const int first = planner();
  const auto term = cluster.lease().second;
  ASSERT_GE(first, 0);
  cluster.signalHost(first, SIGKILL);
  const Instant killedAt = steadyNow();
  ASSERT_TRUE(waitForNewTerm(term));
  const auto second = cluster.lease().second;
  for (int host = 0; host < hosts; ++host)
    if (host != first)
      cluster.signalHost(host, SIGKILL);
  cluster.restoreStore(steadyNow() - killedAt + 500ms, 200ms);
  for (int host = 0; host < hosts; ++host)
    cluster.startHost(host);
  EXPECT_TRUE(waitForNewTerm(second));
  EXPECT_EQ(termsGivenOutTwice(), std::vector<std::uint64_t>{});
}

TEST_P(RestoredStore, PausedPlannerGoesOnWithAnOldTerm) {
  const int first = planner();
  const auto term = cluster.lease().second;
  ASSERT_GE(first, 0);
  cluster.signalHost(first, SIGSTOP);
  const Instant pausedAt = steadyNow();
  ASSERT_TRUE(waitForNewTerm(term));
  const auto second = cluster.lease().second;
  cluster.restoreStore(steadyNow() - pausedAt + 500ms, 200ms);
  cluster.signalHost(first, SIGCONT);
  EXPECT_TRUE(waitForNewTerm(second));
  EXPECT_EQ(termsGivenOutTwice(), std::vector<std::uint64_t>{});
  EXPECT_GT(cluster.lease().second, second);
}

TEST_P(RestoredStore, HostThatStartsOnAnOlderCopyKeepsIt) {
  cluster.changeConfig({.extraRoute = true});
  std::this_thread::sleep_for(CopyAge);
  cluster.changeConfig({.extraRoute = false});
  std::this_thread::sleep_for(ConfigTimeLimit);
  cluster.signalHost(1, SIGKILL);
  cluster.run([&] { cluster.store.restore(CopyAge); });
  cluster.startHost(1);
  ASSERT_TRUE(pollUntil([&] { return cluster.isHostReady(1); }));
  std::this_thread::sleep_for(ConfigTimeLimit);
  EXPECT_EQ(cluster.statusOfExtraRoute(1), 404U);
}

TEST_P(RestoredStore, HostThatWasFrozenMissesTheRestore) {
  std::this_thread::sleep_for(CopyAge);
  changeThrice();
  cluster.signalHost(1, SIGSTOP);
  cluster.restoreStore(CopyAge);
  for (int i = 0; i < 12; ++i) // the revisions catch up while it sleeps
    changeThrice();
  cluster.signalHost(1, SIGCONT);
  std::this_thread::sleep_for(ContactTime);
  EXPECT_EQ(lateHosts(true), std::vector<int>{});
  EXPECT_EQ(lateHosts(false), std::vector<int>{});
}

INSTANTIATE_TEST_SUITE_P(Hosts, RestoredStore, ::testing::Values(SmallFleet, LargeFleet));

} // namespace
} // namespace catkin::platform
