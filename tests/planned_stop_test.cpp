#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

#include <csignal>

/// Tests with daemons as processes that are stopped while requests that may run only once keep
/// coming: each gets an answer, and a refused one has not run.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr auto RequestPause = 150ms;
constexpr auto Grace = 8s; // of the stand-ins' settings
constexpr auto Lead = 1s;  // of the requests before the signal
constexpr int Endpoints = 2;

/// A request and what its caller got.
struct StopRequest {
  std::string id;
  std::chrono::milliseconds sentAfter{}; ///< the signal; below 0 before it
  HttpTransferStatus transfer = HttpTransferStatus::Ok;
  unsigned status = 0;
};

class PlannedStop : public ::testing::Test {
protected:
  void start(Duration workTime, Duration timeout) {
    cluster.changeConfig({.onceTimeout = timeout});
    cluster.run([&] {
      for (auto &it : cluster.plainEndpoints)
        it->workTime = workTime;
    });
    ASSERT_TRUE(cluster.waitUntilReady());
    std::this_thread::sleep_for(1s);
  }

  /// Sends requests to host 0, on a new connection each, from a second before its SIGTERM until it
  /// takes no more.
  void play(const std::function<void()> &meanwhile = [] {}) {
    const Instant stopAt = steadyNow() + Lead;
    std::vector<std::thread> callers;
    const int count = static_cast<int>((Lead + Grace) / RequestPause);
    requests.resize(static_cast<std::size_t>(count));
    callers.reserve(requests.size());
    for (int n = 0; n < count; ++n)
      callers.emplace_back([this, n, stopAt] {
        const Duration sentAfter = n * RequestPause - Lead;
        std::this_thread::sleep_for(stopAt + sentAfter - steadyNow());
        send(requests[static_cast<std::size_t>(n)], sentAfter);
      });
    std::this_thread::sleep_for(stopAt - steadyNow());
    cluster.signalHost(0, SIGTERM);
    meanwhile();
    for (auto &it : callers)
      it.join();
  }

  void send(StopRequest &it, Duration sentAfter) {
    it.sentAfter = std::chrono::duration_cast<std::chrono::milliseconds>(sentAfter);
    it.id = cluster.newRequestId(0);
    const auto result = callOnce(cluster.hostAddress(0),
                                 {.method = "POST",
                                  .target = "/u/x",
                                  .headers = {{"Host", "h.example"}, {"Request-Id", it.id}}});
    it.transfer = result.status;
    it.status = statusOf(result);
  }

  int runsOf(const std::string &id) {
    int n = 0;
    cluster.run([&] {
      for (auto &it : cluster.plainEndpoints)
        n += it->runsById[id];
    });
    return n;
  }

  /// Returns the number of requests with this status.
  int check() {
    for (auto &it : requests) {
      const int runs = runsOf(it.id);
      EXPECT_LE(runs, 1) << it.id;
      if (it.status == 503) {
        EXPECT_EQ(runs, 0) << "refused and run, " << it.sentAfter.count() << " ms after the signal";
      }
      if (it.transfer != HttpTransferStatus::Ok) {
        EXPECT_EQ(runs, 0) << "no answer (" << toString(it.transfer) << "), "
                           << it.sentAfter.count() << " ms after the signal";
      }
    }
    return static_cast<int>(
        std::count_if(requests.begin(), requests.end(), [](auto &it) { return it.status == 200; }));
  }

  PlatformCluster cluster{3, {{"m0"}}, {.plainEndpoints = Endpoints}};
  std::vector<StopRequest> requests;
};

// Guards against requests that are cut without an answer at the end of the grace time.
TEST_F(PlannedStop, EnginesAreSlowerThanTheGraceTime) {
  start(12s, 15s);
  play();
  check();
}

// Guards against requests that are taken late in the grace time and cut at its end.
TEST_F(PlannedStop, RequestsEndWithTheGraceTime) {
  start(4s, 5s);
  play();
  EXPECT_GT(check(), 10);
}

// Guards against a second signal or new settings that end a stop early.
TEST_F(PlannedStop, SignalsComeDuringTheStop) {
  start(3s, 5s);
  play([&] {
    for (auto signal : {SIGTERM, SIGHUP, SIGTERM, SIGHUP}) {
      std::this_thread::sleep_for(700ms);
      cluster.signalHost(0, signal);
    }
  });
  EXPECT_GT(check(), 10);
}

} // namespace
} // namespace catkin::platform
