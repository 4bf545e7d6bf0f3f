#include "faulty_endpoint_p.h"
#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>

/// Tests with daemons as processes before plain endpoints whose refusals are not true: a caller who
/// is told that its request has not run can rely on it, and no request runs twice.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;
using RepeatedId = EndpointFaults::RepeatedId;

constexpr int Endpoints = 4;
constexpr auto LoadTime = 6s;

struct FalseRefusalCase {
  const char *name;
  int hosts = 3;
  EndpointFaults faults;
  double servedShare = 0.9; ///< at least; the endpoints' own failures are not served
};

std::ostream &operator<<(std::ostream &out, const FalseRefusalCase &it) {
  return out << it.name << "_" << it.hosts << "_hosts";
}

/// What a caller has been told about the attempts of one request.
struct CallerRecord {
  std::vector<std::string> refused; ///< ids of attempts that have not run, as told
  bool served = false;
};

class FalseRefusal : public ::testing::TestWithParam<FalseRefusalCase> {
protected:
  FalseRefusal() : cluster(GetParam().hosts, {{"m0"}}) {
    for (int i = 0; i < Endpoints; ++i) {
      endpoints.push_back(
          std::make_unique<FaultyEndpoint>("f-" + std::to_string(i), GetParam().faults));
      auto &it = *endpoints.back();
      cluster.run([&] { cluster.store.put("servers", it.id, it.registryEntry()); });
    }
  }

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    std::this_thread::sleep_for(1s);
  }

  /// Sends a request and sends it again as often as the system says that it has not run.
  CallerRecord callUntilRun(int host) {
    constexpr int MaxAttempts = 3;
    CallerRecord out;
    for (int i = 0; i < MaxAttempts; ++i) {
      std::string id;
      const unsigned status = statusOf(cluster.requestOnce((host + i) % GetParam().hosts, id));
      out.served = status == 200;
      if (status != 503 && status != 429 && status != 408 && status != 421)
        break;
      out.refused.push_back(id);
    }
    return out;
  }

  /// Calls from several threads for LoadTime.
  std::vector<CallerRecord> runLoad() {
    constexpr int Callers = 12;
    std::mutex mutex;
    std::vector<CallerRecord> out;
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    const Instant end = steadyNow() + LoadTime;
    for (int i = 0; i < Callers; ++i)
      callers.emplace_back([&, i] {
        for (int n = i; steadyNow() < end; ++n) {
          const CallerRecord record = callUntilRun(n % GetParam().hosts);
          const std::lock_guard lock(mutex);
          out.push_back(record);
        }
      });
    for (auto &it : callers)
      it.join();
    return out;
  }

  /// Returns how often each attempt has run, over all endpoints.
  std::map<std::string, int> runs() {
    std::map<std::string, int> out;
    for (auto &it : endpoints)
      for (auto &[id, n] : it->runs())
        out[id] += n;
    return out;
  }

  void expectTrueRefusals(const std::vector<CallerRecord> &records) {
    std::this_thread::sleep_for(500ms); // a refused request might run later
    const auto ran = runs();
    int refused = 0;
    int refusedAndRan = 0;
    int served = 0;
    for (auto &it : records) {
      served += it.served ? 1 : 0;
      for (auto &id : it.refused) {
        ++refused;
        refusedAndRan += ran.count(id) > 0 ? 1 : 0;
      }
    }
    const auto ranTwice =
        std::count_if(ran.begin(), ran.end(), [](auto &it) { return it.second > 1; });
    EXPECT_EQ(refusedAndRan, 0) << "of " << refused << " refused ones";
    EXPECT_EQ(ranTwice, 0) << "of " << ran.size() << " that ran";
    EXPECT_GE(served, GetParam().servedShare * static_cast<double>(records.size()))
        << "of " << records.size();
  }

  std::vector<std::unique_ptr<FaultyEndpoint>> endpoints; // must outlive the hosts
  PlatformCluster cluster;
};

TEST_P(FalseRefusal, RequestThatRanIsReportedAsNotRunOrRunsAgain) { expectTrueRefusals(runLoad()); }

TEST_P(FalseRefusal, RefusalsAreFalseWhileAHostIsFrozenAndAnotherIsKilled) {
  std::thread signals([&] {
    std::this_thread::sleep_for(1s);
    cluster.signalHost(0, SIGSTOP);
    cluster.signalHost(1, SIGKILL);
    std::this_thread::sleep_for(2s);
    cluster.signalHost(0, SIGCONT);
    cluster.startHost(1);
  });
  const auto records = runLoad();
  signals.join();
  std::this_thread::sleep_for(500ms);
  const auto ran = runs();
  for (auto &it : records)
    for (auto &id : it.refused)
      EXPECT_EQ(ran.count(id), 0U) << id;
  for (auto &[id, n] : ran)
    EXPECT_EQ(n, 1) << id;
}

constexpr EndpointFaults repeats(RepeatedId id, bool anywhere) {
  return {.refuses = 0.1, .repeats = 0.5, .repeatedId = id, .repeatsAnywhere = anywhere};
}

INSTANTIATE_TEST_SUITE_P(
    Endpoints, FalseRefusal,
    ::testing::Values(
        FalseRefusalCase{"fails_with_503", 3, {.failsAfterRun = 0.05}},
        FalseRefusalCase{"fails_with_429", 9, {.failsAfterRun = 0.05, .failureStatus = 429}},
        FalseRefusalCase{"fails_with_408", 3, {.failsAfterRun = 0.05, .failureStatus = 408}},
        FalseRefusalCase{"repeats_as_it_was", 3, repeats(RepeatedId::Original, false)},
        FalseRefusalCase{"repeats_without_id", 3, repeats(RepeatedId::None, false)},
        FalseRefusalCase{"repeats_without_id_anywhere", 9, repeats(RepeatedId::None, true)},
        FalseRefusalCase{"repeats_with_running_id", 3,
                         repeats(RepeatedId::OfRunningRequest, false)},
        FalseRefusalCase{"repeats_with_running_id_anywhere", 9,
                         repeats(RepeatedId::OfRunningRequest, true)},
        FalseRefusalCase{"repeats_as_it_was_anywhere", 9, repeats(RepeatedId::Original, true)}));

} // namespace
} // namespace catkin::platform
