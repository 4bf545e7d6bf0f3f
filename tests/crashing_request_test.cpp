#include "crash_load_p.h"

/// Tests with daemons as processes before engines that crash when they begin to answer one request,
/// which callers repeat at any host: it stops reaching engines, and sound requests on the same path
/// go on.
namespace catkin::platform {
namespace {

constexpr std::size_t ReactionCrashes = 3;

/// The request that engines crash on, and how often callers send it.
struct CrashingRequestCase {
  const char *name;
  int hosts = 3;
  double share = 0.05; ///< of the requests
  std::string target = "/s/x";
  std::string body;
};

std::ostream &operator<<(std::ostream &out, const CrashingRequestCase &it) {
  return out << it.hosts << "_hosts_" << it.name;
}

class CrashingRequest : public ::testing::TestWithParam<CrashingRequestCase>, protected CrashLoad {
protected:
  CrashingRequest() : CrashLoad(GetParam().hosts, GetParam().share) {}

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    std::this_thread::sleep_for(2s); // time for the hosts to hear each other
  }

  void TearDown() override { stopCallers(); }

  HttpResult send(int host, int n, bool deadly) override {
    const std::string body = deadly ? GetParam().body : "sound " + std::to_string(n);
    const std::string target = deadly ? GetParam().target : "/s/x";
    return cluster.requestStreamAt(host, "m0", target, body);
  }

  void startCrashes() {
    setDeadly([&](StandinCrashes &it) {
      it.deadlyRequests = {{GetParam().target, GetParam().body}};
    });
  }

  void endCrashes() {
    setDeadly([](StandinCrashes &it) { it.deadlyRequests.clear(); });
  }

  HttpResult sendDeadly(int host) { return send(host, 0, true); }
};

TEST_P(CrashingRequest, OneRequestCrashesEngineAfterEngine) {
  startCallers();
  std::this_thread::sleep_for(CalmTime);
  const double before = takeSoundResults().servedShare();
  const Instant from = steadyNow();
  startCrashes();
  std::this_thread::sleep_for(CrashTime);
  expectFewLateCalls(from, ReactionCrashes);
  takeSoundResults();
  std::this_thread::sleep_for(CalmTime);
  const SoundResults beside = takeSoundResults();
  EXPECT_GE(beside.sent, 20);
  EXPECT_GE(beside.servedShare(), 0.95 * before);
}

TEST_P(CrashingRequest, RequestReachesEnginesAgainWhileEnginesCrashByThemselves) {
  startCallers();
  startCrashes();
  const Instant from = steadyNow();
  for (int i = 0; steadyNow() - from < CrashTime; ++i) {
    std::this_thread::sleep_for(1700ms);
    cluster.run([&] { cluster.engines[static_cast<std::size_t>(i % Engines)]->crash(); });
  }
  takeSoundResults();
  const Instant quiet = steadyNow();
  std::this_thread::sleep_for(CalmTime);
  EXPECT_LE(deadlyCallsSince(quiet), AllowedLateCalls);
  EXPECT_GE(takeSoundResults().servedShare(), 0.5);
}

TEST_P(CrashingRequest, HostsThatStartOrWakeSendTheRequestAgain) {
  startCallers();
  startCrashes();
  std::this_thread::sleep_for(CrashTime);
  disturbHosts();
  const Instant from = steadyNow();
  std::this_thread::sleep_for(8s);
  EXPECT_LE(deadlyCallsSince(from), AllowedLateCalls);
}

TEST_P(CrashingRequest, RequestCrashesEnginesWhileTheStoreIsAway) {
  startCallers();
  cluster.run([&] { cluster.store.down = true; });
  std::this_thread::sleep_for(1s);
  const Instant from = steadyNow();
  startCrashes();
  std::this_thread::sleep_for(CrashTime);
  expectFewLateCalls(from, ReactionCrashes);
}

TEST_P(CrashingRequest, RequestIsRefusedAfterItIsSoundAgain) {
  startCallers();
  startCrashes();
  std::this_thread::sleep_for(CrashTime);
  endCrashes();
  expectServedAgain([&](int host) { return sendDeadly(host); });
}

// A body that is cut or compared in part would put sound requests in quarantine with the deadly
// one.
TEST_P(CrashingRequest, RequestsThatDifferAtTheirEndAreRefusedToo) {
  startCallers();
  startCrashes();
  std::this_thread::sleep_for(CrashTime / 2); // no probe yet
  for (int host = 0; host < hosts; ++host) {
    EXPECT_EQ(statusOf(sendDeadly(host)), 503U) << "host " << host;
    EXPECT_EQ(
        statusOf(cluster.requestStreamAt(host, "m0", GetParam().target, GetParam().body + ".")),
        200U)
        << "host " << host;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, CrashingRequest,
    ::testing::Values(
        CrashingRequestCase{.name = "short_body", .hosts = 3, .body = "deadly"},
        CrashingRequestCase{.name = "empty_body", .hosts = 9, .target = "/s/x?deadly"},
        CrashingRequestCase{
            .name = "long_body", .hosts = 18, .share = 0.2, .body = std::string(200'000, 'x')}));

} // namespace
} // namespace catkin::platform
