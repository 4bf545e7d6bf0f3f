#pragma once

#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// A load for process tests with engines that crash on some of the requests.
namespace catkin::platform {

using namespace std::chrono_literals;

constexpr auto CalmTime = 4s;
constexpr auto CrashTime = 14s;
constexpr auto ReactionTime = 3000ms; // allowed by the platform after a number of crashes
constexpr int AllowedLateCalls = 3;
constexpr auto EndTimeLimit = 45s; // until requests that are sound again are served

/// What callers of sound requests have got.
struct SoundResults {
  int sent = 0;
  int served = 0;
  double servedShare() const { return sent > 0 ? static_cast<double>(served) / sent : 0; }
};

/// Daemons as processes before engines, and callers that send sound requests with deadly ones among
/// them.
class CrashLoad {
public:
  static constexpr int Engines = 8;

  /// `share`: of the requests that are deadly once setDeadly() has been called.
  CrashLoad(int hosts, double share)
      : hosts(hosts), share(share),
        cluster(hosts, std::vector<std::set<std::string>>(Engines, {"m0"}),
                {.dataCentres = hosts > 3 ? 3 : 1}) {}
  virtual ~CrashLoad() { stopCallers(); }
  CrashLoad(const CrashLoad &) = delete;
  CrashLoad &operator=(const CrashLoad &) = delete;

  /// Sends one request, which is `n` of its caller.
  virtual HttpResult send(int host, int n, bool deadly) = 0;

  void startCallers() {
    constexpr int Callers = 16;
    constexpr auto CallerPause = 260ms; // about 60 requests a second from all callers
    for (int i = 0; i < Callers; ++i)
      callers.emplace_back([this, i, pause = CallerPause] {
        std::minstd_rand random(static_cast<unsigned>(i + 1));
        for (int n = i; !stopRequested; ++n) {
          sendOne(n % hosts, n, random);
          std::this_thread::sleep_for(pause);
        }
      });
  }

  void stopCallers() {
    stopRequested = true;
    for (auto &it : callers)
      it.join();
    callers.clear();
  }

  /// From now on, some requests are deadly; `change` sets on what the engines crash.
  void setDeadly(const std::function<void(StandinCrashes &)> &change) {
    cluster.run([&] {
      for (auto &it : cluster.engines)
        change(it->crashes);
    });
    sendsDeadly = true;
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

  /// Returns the number of deadly requests that reached engines since `from`.
  int deadlyCallsSince(Instant from) {
    std::ptrdiff_t n = 0;
    cluster.run([&] {
      for (auto &it : cluster.engines)
        n += std::count_if(it->crashes.deadlyCalls.begin(), it->crashes.deadlyCalls.end(),
                           [&](auto &call) { return call.at >= from; });
    });
    return static_cast<int>(n);
  }

  /// Checks that at most AllowedLateCalls deadly requests came later than ReactionTime after crash
  /// number `reactionCrashes` since `from`.
  void expectFewLateCalls(Instant from, std::size_t reactionCrashes) {
    const auto crashes = crashesSince(from);
    ASSERT_GE(crashes.size(), 3U) << "the engines do not crash";
    if (crashes.size() < reactionCrashes)
      return;
    const Instant bound = crashes[reactionCrashes - 1] + ReactionTime;
    EXPECT_LE(deadlyCallsSince(bound), AllowedLateCalls) << crashes.size() << " crashes";
  }

  /// Kills a host and pauses another one for some seconds, and waits until both have heard of what
  /// they have missed.
  void disturbHosts() {
    cluster.signalHost(0, SIGKILL);
    cluster.signalHost(1, SIGSTOP);
    std::this_thread::sleep_for(4s);
    cluster.startHost(0);
    cluster.signalHost(1, SIGCONT);
    ASSERT_TRUE(pollUntil([&] { return cluster.isHostReady(0) && cluster.isHostReady(1); }));
    std::this_thread::sleep_for(ReactionTime);
  }

  /// Checks that each host serves a formerly deadly request within EndTimeLimit.
  void expectServedAgain(const std::function<HttpResult(int host)> &sendTo) {
    const Instant end = steadyNow() + EndTimeLimit;
    for (int host = 0; host < hosts; ++host) {
      bool served = statusOf(sendTo(host)) == 200;
      while (!served && steadyNow() < end) {
        std::this_thread::sleep_for(500ms);
        served = statusOf(sendTo(host)) == 200;
      }
      EXPECT_TRUE(served) << "host " << host;
    }
  }

  const int hosts;
  const double share;
  PlatformCluster cluster;

private:
  void sendOne(int host, int n, std::minstd_rand &random) {
    constexpr int Steps = 1000;
    const bool deadly = random() % Steps < share * Steps && sendsDeadly;
    const auto result = send(host, n, deadly);
    const std::lock_guard lock(mutex);
    if (deadly)
      return;
    ++sound.sent;
    sound.served += statusOf(result) == 200 ? 1 : 0;
  }

  std::atomic<bool> stopRequested = false;
  std::atomic<bool> sendsDeadly = false;
  std::vector<std::thread> callers;
  std::mutex mutex; ///< guards sound
  SoundResults sound;
};

} // namespace catkin::platform
