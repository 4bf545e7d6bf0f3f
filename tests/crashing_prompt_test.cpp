#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <random>

/// Tests with daemons as processes before engines that crash when they begin to answer a request
/// with a certain part in its prompt: such requests stop reaching engines, and sound ones go on.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr int Engines = 8;
constexpr int Callers = 16;
constexpr auto CallerPause = 260ms; // about 60 requests a second from all callers
constexpr auto CalmTime = 4s;
constexpr auto CrashTime = 14s;
constexpr auto ReactionTime = 3000ms; // allowed by the platform after the fifth crash
constexpr std::size_t ReactionCrashes = 5;
constexpr int AllowedLateCalls = 3;
constexpr auto EndTimeLimit = 45s; // until requests with a part that is sound again are served
constexpr auto DeadlyPart = "dead";
constexpr auto SecondDeadlyPart = "beef";

/// Where the deadly part stands in the prompt, and how many requests have it.
struct CrashingPromptCase {
  int hosts = 3;
  int position = 1;    ///< 0: the first part
  double share = 0.05; ///< of the requests
};

std::ostream &operator<<(std::ostream &out, const CrashingPromptCase &it) {
  return out << it.hosts << "_hosts";
}

/// What callers of sound requests have got.
struct SoundResults {
  int sent = 0;
  int served = 0;
  double servedShare() const { return sent > 0 ? static_cast<double>(served) / sent : 0; }
};

class CrashingPrompt : public ::testing::TestWithParam<CrashingPromptCase> {
protected:
  CrashingPrompt()
      : hosts(GetParam().hosts), cluster(hosts, std::vector<std::set<std::string>>(Engines, {"m0"}),
                                         {.dataCentres = hosts > 3 ? 3 : 1}) {}

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    std::this_thread::sleep_for(2s); // time for the hosts to hear each other
  }

  void TearDown() override { stopCallers(); }

  void startCallers() {
    for (int i = 0; i < Callers; ++i)
      callers.emplace_back([this, i] {
        std::minstd_rand random(static_cast<unsigned>(i + 1));
        for (int n = i; !stopRequested; ++n) {
          sendOne(n % hosts, n, random);
          std::this_thread::sleep_for(CallerPause);
        }
      });
  }

  /// Returns the parts of a prompt; `extra` stands at the case's position if it is not empty.
  static std::string prompt(int n, const std::string &extra) {
    std::vector<std::string> parts{"a1:800", "b" + std::to_string(n % 5) + ":400"};
    if (!extra.empty())
      parts.insert(parts.begin() + GetParam().position, extra + ":90");
    std::string out;
    for (auto &it : parts)
      out += it + ",";
    return out + "c" + std::to_string(n) + ":250";
  }

  void sendOne(int host, int n, std::minstd_rand &random) {
    constexpr int Steps = 1000;
    const bool deadly = random() % Steps < GetParam().share * Steps;
    const std::string extra = deadly ? currentPart() : std::string();
    const auto result = cluster.requestStream(host, "m0", prompt(n, extra));
    const std::lock_guard lock(mutex);
    if (!extra.empty())
      return;
    ++sound.sent;
    sound.served += statusOf(result) == 200 ? 1 : 0;
  }

  void stopCallers() {
    stopRequested = true;
    for (auto &it : callers)
      it.join();
    callers.clear();
  }

  std::string currentPart() {
    const std::lock_guard lock(mutex);
    return part;
  }

  /// From now on, some requests have `newPart`; the engines crash on `deadly` parts.
  void setParts(const std::string &newPart, const std::set<std::string> &deadly) {
    cluster.run([&] {
      for (auto &it : cluster.engines)
        it->crashes.deadlyParts = deadly;
    });
    const std::lock_guard lock(mutex);
    part = newPart;
  }

  SoundResults takeSoundResults() {
    const std::lock_guard lock(mutex);
    return std::exchange(sound, {});
  }

  /// Returns the crashes of all engines since `from`, in order.
  std::vector<Instant> crashesSince(Instant from) {
    std::vector<Instant> out;
    cluster.run([&] {
      for (auto &it : cluster.engines)
        for (auto &at : it->crashes.times)
          if (at >= from)
            out.push_back(at);
    });
    std::sort(out.begin(), out.end());
    return out;
  }

  /// Returns the number of requests with a deadly part that reached engines since `from`.
  int deadlyCallsSince(Instant from) {
    std::ptrdiff_t n = 0;
    cluster.run([&] {
      for (auto &it : cluster.engines)
        n += std::count_if(it->crashes.deadlyCalls.begin(), it->crashes.deadlyCalls.end(),
                           [&](auto &call) { return call.at >= from; });
    });
    return static_cast<int>(n);
  }

  /// Checks that at most AllowedLateCalls requests with the part came later than ReactionTime after
  /// the fifth crash since `from`.
  void expectFewLateCalls(Instant from) {
    const auto crashes = crashesSince(from);
    ASSERT_GE(crashes.size(), 3U) << "the engines do not crash";
    if (crashes.size() < ReactionCrashes)
      return;
    const Instant bound = crashes[ReactionCrashes - 1] + ReactionTime;
    EXPECT_LE(deadlyCallsSince(bound), AllowedLateCalls) << crashes.size() << " crashes";
  }

  const int hosts;
  PlatformCluster cluster;
  std::atomic<bool> stopRequested = false;
  std::vector<std::thread> callers;
  std::mutex mutex; ///< guards the members below
  std::string part;
  SoundResults sound;
};

TEST_P(CrashingPrompt, RequestsWithTheSamePartCrashOneEngineAfterTheOther) {
  startCallers();
  std::this_thread::sleep_for(CalmTime);
  const double before = takeSoundResults().servedShare();
  const Instant from = steadyNow();
  setParts(DeadlyPart, {DeadlyPart});
  std::this_thread::sleep_for(CrashTime);
  expectFewLateCalls(from);
  takeSoundResults();
  std::this_thread::sleep_for(CalmTime);
  const SoundResults beside = takeSoundResults();
  EXPECT_GE(beside.sent, 20);
  EXPECT_GE(beside.servedShare(), before / 2);
}

TEST_P(CrashingPrompt, ASecondPartAfterTheFirstIsNotNoticed) {
  startCallers();
  setParts(DeadlyPart, {DeadlyPart});
  std::this_thread::sleep_for(CrashTime);
  const Instant from = steadyNow();
  setParts(SecondDeadlyPart, {DeadlyPart, SecondDeadlyPart});
  std::this_thread::sleep_for(CrashTime);
  expectFewLateCalls(from);
}

TEST_P(CrashingPrompt, HostsThatStartOrWakeSendThePartAgain) {
  startCallers();
  setParts(DeadlyPart, {DeadlyPart});
  std::this_thread::sleep_for(CrashTime);
  cluster.signalHost(0, SIGKILL);
  cluster.signalHost(1, SIGSTOP);
  std::this_thread::sleep_for(4s);
  cluster.startHost(0);
  cluster.signalHost(1, SIGCONT);
  ASSERT_TRUE(pollUntil([&] { return cluster.isHostReady(0) && cluster.isHostReady(1); }));
  std::this_thread::sleep_for(ReactionTime);
  const Instant from = steadyNow();
  std::this_thread::sleep_for(8s);
  EXPECT_LE(deadlyCallsSince(from), AllowedLateCalls);
}

// The hosts hear of crashes from each other, whether or not the store answers.
TEST_P(CrashingPrompt, QuarantineNeedsTheStore) {
  startCallers();
  cluster.run([&] { cluster.store.down = true; });
  std::this_thread::sleep_for(1s);
  const Instant from = steadyNow();
  setParts(DeadlyPart, {DeadlyPart});
  std::this_thread::sleep_for(CrashTime);
  expectFewLateCalls(from);
}

// A refusal that says that the request has not run must come at once and be true.
TEST_P(CrashingPrompt, RequestInQuarantineIsHeldOrRefusedFalsely) {
  startCallers();
  setParts(DeadlyPart, {DeadlyPart});
  std::this_thread::sleep_for(CrashTime / 2); // no probe yet
  const Instant from = steadyNow();
  for (int host = 0; host < hosts; ++host) {
    const Instant start = steadyNow();
    const auto result = cluster.requestStream(host, "m0", prompt(1, DeadlyPart));
    EXPECT_EQ(statusOf(result), 503U) << "host " << host;
    EXPECT_NE(result.response[http::field::retry_after], "");
    EXPECT_LT(steadyNow() - start, 300ms);
  }
  EXPECT_LE(deadlyCallsSince(from), 1); // a probe of another caller's request
}

TEST_P(CrashingPrompt, RequestsAreRefusedAfterTheirPartIsSoundAgain) {
  startCallers();
  setParts(DeadlyPart, {DeadlyPart});
  std::this_thread::sleep_for(CrashTime);
  setParts(DeadlyPart, {});
  const Instant end = steadyNow() + EndTimeLimit;
  const auto isServed = [&](int host) {
    return statusOf(cluster.requestStream(host, "m0", prompt(1, DeadlyPart))) == 200;
  };
  for (int host = 0; host < hosts; ++host) {
    bool served = isServed(host);
    while (!served && steadyNow() < end) {
      std::this_thread::sleep_for(500ms);
      served = isServed(host);
    }
    EXPECT_TRUE(served) << "host " << host;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, CrashingPrompt,
    ::testing::Values(CrashingPromptCase{.hosts = 3}, CrashingPromptCase{.hosts = 9, .position = 0},
                      CrashingPromptCase{.hosts = 18, .position = 2, .share = 0.2}));

} // namespace
} // namespace catkin::platform
