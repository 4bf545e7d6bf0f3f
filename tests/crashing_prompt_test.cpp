#include "crash_load_p.h"

/// Tests with daemons as processes before engines that crash when they begin to answer a request
/// with a certain part in its prompt: such requests stop reaching engines, and sound ones go on.
namespace catkin::platform {
namespace {

constexpr std::size_t ReactionCrashes = 5;
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

class CrashingPrompt : public ::testing::TestWithParam<CrashingPromptCase>, protected CrashLoad {
protected:
  CrashingPrompt() : CrashLoad(GetParam().hosts, GetParam().share) {}

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    std::this_thread::sleep_for(2s); // time for the hosts to hear each other
  }

  void TearDown() override { stopCallers(); }

  HttpResult send(int host, int n, bool deadly) override {
    return cluster.requestStream(host, "m0", prompt(n, deadly ? currentPart() : std::string()));
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

  std::string currentPart() {
    const std::lock_guard lock(partMutex);
    return part;
  }

  /// From now on, some requests have `newPart`; the engines crash on `deadly` parts.
  void setParts(const std::string &newPart, const std::set<std::string> &deadly) {
    setDeadly([&](StandinCrashes &it) { it.deadlyParts = deadly; });
    const std::lock_guard lock(partMutex);
    part = newPart;
  }

  void expectFewLateCallsSince(Instant from) { expectFewLateCalls(from, ReactionCrashes); }

  std::mutex partMutex; ///< guards part
  std::string part = DeadlyPart;
};

TEST_P(CrashingPrompt, RequestsWithTheSamePartCrashOneEngineAfterTheOther) {
  startCallers();
  std::this_thread::sleep_for(CalmTime);
  const double before = takeSoundResults().servedShare();
  const Instant from = steadyNow();
  setParts(DeadlyPart, {DeadlyPart});
  std::this_thread::sleep_for(CrashTime);
  expectFewLateCallsSince(from);
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
  expectFewLateCallsSince(from);
}

TEST_P(CrashingPrompt, HostsThatStartOrWakeSendThePartAgain) {
  startCallers();
  setParts(DeadlyPart, {DeadlyPart});
  std::this_thread::sleep_for(CrashTime);
  disturbHosts();
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
  expectFewLateCallsSince(from);
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
  expectServedAgain(
      [&](int host) { return cluster.requestStream(host, "m0", prompt(1, DeadlyPart)); });
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, CrashingPrompt,
    ::testing::Values(CrashingPromptCase{.hosts = 3}, CrashingPromptCase{.hosts = 9, .position = 0},
                      CrashingPromptCase{.hosts = 18, .position = 2, .share = 0.2}));

} // namespace
} // namespace catkin::platform
