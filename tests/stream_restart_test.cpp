#include "stream_load_p.h"

#include <csignal>
#include <functional>
#include <map>

/// Tests with daemons as processes whose hosts start again while callers hold streams that have
/// broken: a stream goes on where its version is proved, and else is refused.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr int Engines = 8;
constexpr int Streams = 24;
constexpr auto RouteTimeout = 3s;
constexpr auto LongTimeout = 12s;    // of routes whose streams are taken up after a long pause
constexpr auto ArchiveTime = 1500ms; // for a stream to be in the store
constexpr auto ContactTime = 3s;     // for hosts that have started to be up to date
constexpr auto HostPause = 2s;       // for hosts to hear each other and the planner to be chosen

class RestartedFleet : public ::testing::TestWithParam<int> {
protected:
  RestartedFleet()
      : cluster(GetParam(), std::vector<std::set<std::string>>(Engines, {"m0"}),
                {.dataCentres = GetParam() > 3 ? 3 : 1}),
        caller(cluster), streams(Streams) {}

  /// Starts the fleet with engines of these versions in turn.
  void startFleet(const std::vector<std::string> &versions) {
    cluster.changeConfig({.timeout = RouteTimeout});
    for (int i = 0; i < Engines; ++i)
      setVersion(i, versions[static_cast<std::size_t>(i) % versions.size()]);
    ASSERT_TRUE(cluster.waitUntilReady());
    std::this_thread::sleep_for(HostPause);
  }

  void setVersion(int engine, const std::string &version) {
    cluster.run([&] {
      auto &it = *cluster.engines[static_cast<std::size_t>(engine)];
      it.version = version;
      it.startAgain({"m0"});
      cluster.store.put("servers", it.id, it.registryEntry("ready"));
    });
  }

  /// Callers begin a stream at each host from `firstHost` on in turn and lose it.
  void beginStreams(int firstHost) {
    const int hosts = GetParam() - firstHost;
    for (int i = 0; i < Streams; ++i)
      caller.attempt(firstHost + i % hosts, "m0", at(i), ReadUntil::FirstEvent);
    for (auto &it : streams)
      ASSERT_GT(it.events, 0);
  }

  /// Returns how many of the streams go on when they are taken up at the first `hosts` hosts.
  int takeUpAll(int hosts) {
    int n = 0;
    for (int i = 0; i < Streams; ++i)
      n += caller.attempt(i % hosts, "m0", at(i)) ? 1 : 0;
    return n;
  }

  int countMixed() const {
    return static_cast<int>(std::count_if(streams.begin(), streams.end(),
                                          [](auto &it) { return it.versions.size() > 1; }));
  }

  void killAllHosts() {
    for (int n = 0; n < GetParam(); ++n)
      cluster.signalHost(n, SIGKILL);
  }

  void startAllHosts() {
    for (int n = 0; n < GetParam(); ++n)
      cluster.startHost(n);
    ASSERT_TRUE(cluster.waitUntilReady());
  }

  /// Stops the hosts in turn, as for a new release of the daemon, and starts each one again. One
  /// thread does both, since a host ends with the thread that has started it.
  void restartInTurn() {
    constexpr auto StopGap = 1s;
    constexpr auto StopTime = 4500ms; // of a host without requests
    std::multimap<Instant, std::function<void()>> steps;
    const Instant now = steadyNow();
    for (int n = 0; n < GetParam(); ++n) {
      const Instant stopAt = now + n * StopGap;
      steps.emplace(stopAt, [this, n] { cluster.signalHost(n, SIGTERM); });
      steps.emplace(stopAt + StopTime, [this, n] {
        cluster.signalHost(n, SIGKILL); // has ended by now
        cluster.startHost(n);
      });
    }
    for (auto &[at, step] : steps) {
      std::this_thread::sleep_for(at - steadyNow());
      step();
    }
    ASSERT_TRUE(cluster.waitUntilReady());
  }

  StreamProgress &at(int n) { return streams[static_cast<std::size_t>(n)]; }

  PlatformCluster cluster;
  StreamCaller caller;
  std::vector<StreamProgress> streams;
};

// Guards against streams that are joined from two versions once no host knows the first one.
TEST_P(RestartedFleet, AllHostsForgetAVersionThatHasLeft) {
  startFleet({"v1"});
  beginStreams(0);
  for (int i = 0; i < Engines; ++i)
    setVersion(i, "v2");
  std::this_thread::sleep_for(1s);
  killAllHosts();
  startAllHosts();
  std::this_thread::sleep_for(3 * RouteTimeout);
  EXPECT_EQ(takeUpAll(GetParam()), 0);
  EXPECT_EQ(countMixed(), 0);
}

// Guards against a version that leaves while no host runs.
TEST_P(RestartedFleet, VersionLeavesWhileAllHostsAreDown) {
  startFleet({"v1"});
  beginStreams(0);
  killAllHosts();
  for (int i = 0; i < Engines; ++i)
    setVersion(i, "v2");
  startAllHosts();
  std::this_thread::sleep_for(3 * RouteTimeout);
  EXPECT_EQ(takeUpAll(GetParam()), 0);
  EXPECT_EQ(countMixed(), 0);
}

// Guards against streams that are refused although there has been one version all along.
TEST_P(RestartedFleet, AllHostsForgetStreamsOfTheOnlyVersion) {
  startFleet({"v1"});
  beginStreams(0);
  killAllHosts();
  startAllHosts();
  std::this_thread::sleep_for(HostPause);
  EXPECT_EQ(takeUpAll(GetParam()), Streams);
}

// Guards against streams of two versions that nobody can take up once all hosts were killed.
TEST_P(RestartedFleet, AllHostsForgetStreamsOfTwoVersions) {
  startFleet({"v1", "v2"});
  cluster.changeConfig({.timeout = LongTimeout});
  beginStreams(0);
  std::this_thread::sleep_for(ArchiveTime);
  killAllHosts();
  startAllHosts();
  std::this_thread::sleep_for(ContactTime);
  EXPECT_EQ(takeUpAll(GetParam()), Streams);
  EXPECT_EQ(countMixed(), 0);
}

// Guards against a record of a stream that outlives its writer: engines come back under their names
// with the other version while no host runs, and nobody knows which one the stream has met.
TEST_P(RestartedFleet, WritersComeBackWhileAllHostsAreDown) {
  startFleet({"v1", "v2"});
  cluster.changeConfig({.timeout = LongTimeout});
  beginStreams(0);
  std::this_thread::sleep_for(ArchiveTime);
  killAllHosts();
  for (int i = 0; i < Engines; ++i)
    setVersion(i, i % 2 == 0 ? "v2" : "v1");
  startAllHosts();
  std::this_thread::sleep_for(ContactTime);
  EXPECT_EQ(takeUpAll(GetParam()), 0);
  EXPECT_EQ(countMixed(), 0);
}

// Guards against hosts that stop and start in turn until none has the records of streams.
TEST_P(RestartedFleet, RestartsInTurnForgetStreamsOfTwoVersions) {
  startFleet({"v1", "v2"});
  cluster.changeConfig({.timeout = 10s + GetParam() * 1s}); // records last twice as long
  std::this_thread::sleep_for(1s);
  beginStreams(GetParam() - 1);
  restartInTurn();
  EXPECT_EQ(takeUpAll(GetParam()), Streams);
  EXPECT_EQ(countMixed(), 0);
}

/// Callers that begin streams and take them up all the while.
class RestartsBesideLoad : public RestartedFleet {
protected:
  void TearDown() override { stopCallers(); }

  void startCallers() {
    constexpr unsigned Callers = 40;
    for (unsigned i = 1; i <= Callers; ++i)
      callers.emplace_back([this, i] {
        std::minstd_rand random(i);
        const auto pickHost = [&] { return static_cast<int>(random() % hostCount()); };
        while (!stopRequested)
          caller.runStream(random, pickHost, "m0");
      });
  }

  void stopCallers() {
    stopRequested = true;
    for (auto &it : callers)
      it.join();
    callers.clear();
  }

  /// Replaces the engines by those of the next version, one after the other.
  void release() {
    constexpr auto CrashPause = 700ms;
    for (int i = 0; i < Engines; ++i) {
      cluster.run([&] {
        auto &it = *cluster.engines[static_cast<std::size_t>(i)];
        it.nextVersions = {"v2"};
        it.crash();
      });
      std::this_thread::sleep_for(CrashPause);
    }
  }

  void slowDownEngines() {
    cluster.run([&] {
      for (auto &it : cluster.engines)
        it->eventPause = 180ms; // for streams that last about a second
    });
  }

  void checkStreams() {
    constexpr int AllowedMixed = 2;
    stopCallers();
    const auto it = caller.results();
    std::printf("%d streams, %d begun, %d mixed, %d taken up, %d of them went on\n", it.sent,
                it.begun, it.mixed, it.takenUp, it.wentOn);
    EXPECT_LE(it.mixed, AllowedMixed);
    EXPECT_EQ(it.outOfOrder, 0);
    EXPECT_GT(it.begun, 0);
  }

  unsigned hostCount() const { return static_cast<unsigned>(GetParam()); }

  std::vector<std::thread> callers;
  std::atomic<bool> stopRequested = false;
};

// Guards against streams of two versions when hosts restart while engines are replaced.
TEST_P(RestartsBesideLoad, HostsRestartDuringARelease) {
  slowDownEngines();
  startFleet({"v1"});
  startCallers();
  std::thread releases([this] { release(); });
  restartInTurn();
  releases.join();
  checkStreams();
}

// Guards against streams of two versions when all hosts are killed after a release, with the store
// away for a while and hosts that freeze. Callers come back after more than twice the timeout.
TEST_P(RestartsBesideLoad, HostsAreKilledAfterARelease) {
  constexpr auto FreezeTime = 2s;
  slowDownEngines();
  caller.setRetryPause(4s);
  startFleet({"v1", "v2"});
  startCallers();
  std::this_thread::sleep_for(2s);
  release();
  cluster.run([&] { cluster.store.down = true; });
  cluster.signalHost(0, SIGSTOP);
  std::this_thread::sleep_for(FreezeTime);
  cluster.signalHost(0, SIGCONT);
  cluster.run([&] { cluster.store.down = false; });
  for (int n = 0; n < 2; ++n) {
    std::this_thread::sleep_for(1s);
    killAllHosts();
    startAllHosts();
    std::this_thread::sleep_for(2 * RouteTimeout + HostPause);
  }
  checkStreams();
}

INSTANTIATE_TEST_SUITE_P(Hosts, RestartsBesideLoad, ::testing::Values(3));

INSTANTIATE_TEST_SUITE_P(Hosts, RestartedFleet, ::testing::Values(4, 9));

} // namespace
} // namespace catkin::platform
