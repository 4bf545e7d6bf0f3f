#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

/// Tests with daemons as processes and teams in the configuration: only valid keys run, endpoints
/// see teams and no keys, and a key that is taken away runs nowhere.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr int SmallFleet = 3;
constexpr int LargeFleet = 18;  // more hosts than there are sentinels
constexpr auto RevokeTime = 5s; // bounds.revoke_ms

using Headers = std::vector<std::pair<std::string, std::string>>;

json::array makeTeams(const json::array &firstKeys) {
  return {json::object{{"name", "alder"}, {"api_keys", firstKeys}, {"priority", 1}},
          json::object{{"name", "birch"}, {"api_keys", json::array{"birch-key-1"}}}};
}

class TeamKeys : public ::testing::TestWithParam<int> {
protected:
  TeamKeys()
      : hosts(GetParam()),
        cluster(hosts, {{"m0"}},
                {.proxied = true,
                 .plainEndpoints = 1,
                 .settings = "bounds.strict_revocation=true\nbounds.revoke_ms=5000\n"}) {}

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    cluster.changeConfig({.teams = makeTeams({"alder-key-1", "alder-key-2"})});
    for (int host = 0; host < hosts; ++host)
      ASSERT_TRUE(pollUntil([&] {
        return statusWith(host, {}) == 401 &&
               statusWith(host, {{"X-Api-Key", "alder-key-1"}}) == 200;
      })) << "host "
          << host;
  }

  /// Sends a request that may run once. Sets `lastId` to its id.
  HttpResult send(int host, const Headers &headers) {
    lastId = cluster.newRequestId(host);
    Call call{.method = "POST", .target = "/u/x"};
    call.headers = {{"Host", "h.example"}, {"Request-Id", lastId}, {"Deadline-Ms", "2500"}};
    call.headers.insert(call.headers.end(), headers.begin(), headers.end());
    return callOnce(cluster.hostAddress(host), call);
  }
  unsigned statusWith(int host, const Headers &headers) { return statusOf(send(host, headers)); }

  /// Returns the newest request as the endpoint got it; empty if it has not run.
  std::optional<HttpRequest> received() {
    std::optional<HttpRequest> out;
    cluster.run([&] {
      auto &requests = cluster.plainEndpoints[0]->requestsById;
      if (auto it = requests.find(lastId); it != requests.end())
        out = it->second;
    });
    return out;
  }

  /// Sends requests with the first key to all hosts for `d`. None of them may run.
  void expectNoRuns(Duration d) {
    for (const Instant end = steadyNow() + d; steadyNow() < end;)
      for (int host = 0; host < hosts; ++host) {
        const auto status = statusWith(host, {{"X-Api-Key", "alder-key-1"}});
        EXPECT_TRUE(status == 401 || status == 503) << status << " of host " << host;
        EXPECT_FALSE(received().has_value()) << "host " << host;
      }
  }

  /// Returns the hosts at which the other key of the team is not served.
  std::vector<int> hostsThatRefuse() {
    std::vector<int> out;
    for (int host = 0; host < hosts; ++host)
      if (statusWith(host, {{"X-Api-Key", "alder-key-2"}}) != 200)
        out.push_back(host);
    return out;
  }

  std::string logs() const {
    std::ostringstream out;
    for (auto &it : std::filesystem::directory_iterator(cluster.logDirectory()))
      out << std::ifstream(it.path()).rdbuf();
    return out.str();
  }

  const int hosts;
  PlatformCluster cluster;
  std::string lastId;
};

// Guards against callers without a valid key.
TEST_P(TeamKeys, InvalidKeyRuns) {
  const std::vector<Headers> invalid{{},
                                     {{"X-Api-Key", ""}},
                                     {{"X-Api-Key", "unknown"}},
                                     {{"X-Api-Key", "alder-key-"}},
                                     {{"X-Api-Key", "alder-key-1 "}, {"X-Api-Key", "alder-key-1"}},
                                     {{"X-Api-Key", "alder-key-1, birch-key-1"}},
                                     {{"Tenant", "alder"}},
                                     {{"Authorization", "Bearer alder-key-1"}}};
  for (int host = 0; host < hosts; ++host)
    for (std::size_t i = 0; i < invalid.size(); ++i) {
      EXPECT_EQ(statusWith(host, invalid[i]), 401U) << "host " << host << ", case " << i;
      EXPECT_FALSE(received().has_value());
    }
}

// Guards against keys that reach endpoints or logs, and against callers that choose their team.
TEST_P(TeamKeys, EndpointSeesKeyOrForgedTeam) {
  for (int host = 0; host < hosts; ++host) {
    EXPECT_EQ(
        statusWith(host, {{"x-api-key", "birch-key-1"}, {"tenant", "alder"}, {"TENANT", "x"}}),
        200U);
    const auto request = received();
    ASSERT_TRUE(request.has_value());
    EXPECT_EQ(request->count("X-Api-Key"), 0U);
    EXPECT_EQ(request->count("Tenant"), 1U);
    EXPECT_EQ((*request)["Tenant"], "birch");
  }
  const auto text = logs();
  EXPECT_NE(text.find("birch"), std::string::npos);
  EXPECT_EQ(text.find("birch-key"), std::string::npos);
}

// Guards against a key that outlives its removal at a host that the store turns away, and at one
// that is paused.
TEST_P(TeamKeys, KeyTakenAwayRuns) {
  cluster.run([&] {
    cluster.storeProxies[1]->setFaults({.refuse = true});
    cluster.storeProxies[1]->resetAll();
  });
  cluster.signalHost(2, SIGSTOP);
  cluster.changeConfig({.teams = makeTeams({"alder-key-2"})});
  std::this_thread::sleep_for(RevokeTime);
  EXPECT_EQ(statusWith(1, {{"X-Api-Key", "alder-key-2"}}), 200U);
  cluster.signalHost(2, SIGCONT);
  expectNoRuns(3s);
  EXPECT_EQ(hostsThatRefuse(), std::vector<int>{});
}

// Guards against a host that goes on without the store and other hosts, and against one that does
// not come back.
TEST_P(TeamKeys, KeysRunWithoutProofOrNeverAgain) {
  cluster.run([&] { cluster.store.down = true; });
  std::this_thread::sleep_for(1s);
  EXPECT_EQ(hostsThatRefuse(), std::vector<int>{});
  std::this_thread::sleep_for(RevokeTime);
  for (int host = 0; host < hosts; ++host) {
    const auto result = send(host, {{"X-Api-Key", "alder-key-1"}});
    EXPECT_EQ(statusOf(result), 503U);
    EXPECT_EQ(result.response["Retry-After"], "0.200");
    EXPECT_EQ(statusWith(host, {{"X-Api-Key", "new-key"}}), 503U);
  }
  cluster.run([&] { cluster.store.down = false; });
  std::this_thread::sleep_for(1500ms);
  EXPECT_EQ(hostsThatRefuse(), std::vector<int>{});
}

// Guards against a store that comes back with a key that was taken away, at a host that started
// since.
TEST_P(TeamKeys, RestoredStoreBringsAKeyBack) {
  std::this_thread::sleep_for(4s);
  cluster.changeConfig({.teams = makeTeams({"alder-key-2"})});
  std::this_thread::sleep_for(1s);
  cluster.signalHost(1, SIGKILL);
  cluster.run([&] { cluster.store.restore(2s); });
  cluster.startHost(1);
  std::this_thread::sleep_for(4s);
  expectNoRuns(3s);
  EXPECT_EQ(hostsThatRefuse(), std::vector<int>{});
}

// Guards against valid keys that are refused while the store comes back from an older copy.
TEST_P(TeamKeys, RestoreRefusesValidKeys) {
  std::this_thread::sleep_for(4s);
  std::thread restore([&] { cluster.restoreStore(1s); });
  int refused = 0;
  int total = 0;
  for (const Instant end = steadyNow() + 8s; steadyNow() < end;) {
    const auto n = hostsThatRefuse().size();
    refused += static_cast<int>(n);
    total += hosts;
  }
  restore.join();
  EXPECT_EQ(refused, 0) << "of " << total;
}

INSTANTIATE_TEST_SUITE_P(Hosts, TeamKeys, ::testing::Values(SmallFleet, LargeFleet));

} // namespace
} // namespace catkin::platform
