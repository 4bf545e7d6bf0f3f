#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"
#include "unreliable_endpoint_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <functional>
#include <random>

/// Plays with daemons as processes before unreliable endpoints, while hosts, endpoints and the
/// store are disturbed: no request that may run once only runs twice, and none that was refused
/// with the promise that it has not run has run, or runs later.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr unsigned Endpoints = 4;
constexpr unsigned Callers = 24;
constexpr auto PlayTime = 10s;
constexpr auto SettleTime = 1500ms; // in which a refused request might still run

enum class Trouble { None, Kill, Freeze, Stop, Reload, EndpointClosed, EndpointLeaves, StoreAway };

struct RefusedRequestCase {
  const char *name;
  int hosts = 4;
  unsigned seed = 1;
  std::vector<Trouble> troubles;
  UnreliableEndpointFaults faults;
};

/// Endpoints that refuse so many requests that hosts pass many of the refusals on.
constexpr UnreliableEndpointFaults Refusing{.refuses = 0.5, .extras = 0.3, .refusesEarly = 0.3};

std::ostream &operator<<(std::ostream &out, const RefusedRequestCase &it) {
  return out << it.name << "_" << it.hosts << "_hosts_" << it.seed;
}

/// Returns true if the status promises that the request has not run and never will.
bool promisesNotRun(unsigned status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

class RefusedRequest : public ::testing::TestWithParam<RefusedRequestCase> {
protected:
  RefusedRequest() : cluster(GetParam().hosts, {{"m0"}}), random(GetParam().seed) {
    for (unsigned i = 0; i < Endpoints; ++i) {
      endpoints.push_back(std::make_unique<UnreliableEndpoint>(
          "u-" + std::to_string(i), 100 * GetParam().seed + i, GetParam().faults));
      registerEndpoint(i, "ready");
    }
  }

  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    std::this_thread::sleep_for(1s);
  }

  void registerEndpoint(unsigned i, const char *state) {
    cluster.run([&] {
      cluster.store.put("servers", endpoints[i]->id, endpoints[i]->registryEntry(state));
    });
  }

  /// Sends requests over kept connections until the play ends. Some have a large body, and some
  /// callers leave early.
  void runCaller(unsigned n) {
    constexpr std::size_t BodyBytes[] = {0, 200, 3000, 300'000};
    constexpr int Deadlines[] = {2500, 1500, 600, 250};
    std::minstd_rand callerRandom(GetParam().seed * 1000 + n);
    asio::io_context context(1);
    HttpClient client(context.get_executor());
    while (!stopRequested) {
      const int host = static_cast<int>(callerRandom() % static_cast<unsigned>(GetParam().hosts));
      const int deadline = Deadlines[callerRandom() % std::size(Deadlines)];
      HttpRequest request{http::verb::post, "/u/x", 11};
      const std::string id = cluster.newRequestId(host);
      request.set(http::field::host, "h.example");
      request.set("Request-Id", id);
      request.set("Deadline-Ms", std::to_string(deadline));
      request.body().assign(BodyBytes[callerRandom() % std::size(BodyBytes)], 'x');
      const bool leaves = callerRandom() % 20 == 0;
      const Duration patience = leaves ? Duration(20ms) : Duration(3s);
      unsigned status = 0;
      asio::co_spawn(
          context,
          [&]() -> asio::awaitable<void> {
            const auto result = co_await client.request(
                cluster.hostAddress(host), request,
                {.connect = 500ms, .silence = patience, .total = patience}, 1 << 20);
            status = result.status == HttpTransferStatus::Ok ? result.response.result_int() : 0;
          },
          asio::detached);
      context.run();
      context.restart();
      const std::lock_guard lock(mutex);
      ++statuses[status];
      if (promisesNotRun(status))
        refused.push_back(id);
    }
  }

  void play() {
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < Callers; ++i)
      callers.emplace_back([this, i] { runCaller(i); });
    const Instant end = steadyNow() + PlayTime;
    while (steadyNow() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 500));
      if (!GetParam().troubles.empty())
        disturb(GetParam().troubles[random() % GetParam().troubles.size()]);
      endTroubles(steadyNow());
    }
    endTroubles(Instant::max());
    stopRequested = true;
    for (auto &it : callers)
      it.join();
    std::this_thread::sleep_for(SettleTime);
  }

  /// Adds a step that ends a trouble.
  void later(Duration d, std::function<void()> step) {
    steps.emplace(steadyNow() + d, std::move(step));
  }

  void endTroubles(Instant until) {
    while (!steps.empty() && steps.begin()->first <= until) {
      auto node = steps.extract(steps.begin());
      node.mapped()();
    }
  }

  void disturb(Trouble trouble) {
    const int host = static_cast<int>(random() % static_cast<unsigned>(GetParam().hosts));
    const unsigned endpoint = random() % Endpoints;
    const bool isHostTrouble = trouble == Trouble::Kill || trouble == Trouble::Freeze ||
                               trouble == Trouble::Stop || trouble == Trouble::Reload;
    if (isHostTrouble && disturbedHosts.count(host) > 0)
      return;
    switch (trouble) {
    case Trouble::None:
      break;
    case Trouble::Kill:
      disturbedHosts.insert(host);
      cluster.signalHost(host, SIGKILL);
      later(700ms, [this, host] { startHost(host); });
      break;
    case Trouble::Freeze:
      disturbedHosts.insert(host);
      cluster.signalHost(host, SIGSTOP);
      later(std::chrono::milliseconds(100 + random() % 3500), [this, host] {
        cluster.signalHost(host, SIGCONT);
        disturbedHosts.erase(host);
      });
      break;
    case Trouble::Stop:
      disturbedHosts.insert(host);
      cluster.signalHost(host, SIGTERM);
      later(5s, [this, host] {
        cluster.signalHost(host, SIGKILL);
        startHost(host);
      });
      break;
    case Trouble::Reload:
      cluster.signalHost(host, SIGHUP);
      break;
    case Trouble::EndpointClosed:
      endpoints[endpoint]->closeConnections();
      break;
    case Trouble::EndpointLeaves:
      registerEndpoint(endpoint, "draining");
      later(1s, [this, endpoint] { registerEndpoint(endpoint, "ready"); });
      break;
    case Trouble::StoreAway:
      cluster.run([&] { cluster.store.down = true; });
      later(1500ms, [this] { cluster.run([&] { cluster.store.down = false; }); });
      break;
    }
  }

  void startHost(int host) {
    cluster.startHost(host);
    disturbedHosts.erase(host);
  }

  PlatformCluster cluster;
  std::vector<std::unique_ptr<UnreliableEndpoint>> endpoints;
  std::minstd_rand random;
  std::multimap<Instant, std::function<void()>> steps; ///< that end troubles
  std::set<int> disturbedHosts;
  std::atomic<bool> stopRequested = false;
  std::mutex mutex; ///< guards the members below
  std::map<unsigned, int> statuses;
  std::vector<std::string> refused; ///< ids of requests that have not run, as told
};

TEST_P(RefusedRequest, RefusedRequestHasRunOrRequestRunsTwice) {
  play();
  std::map<std::string, int> ran;
  for (auto &it : endpoints)
    for (auto &[id, n] : it->runs())
      ran[id] += n;
  const auto refusedAndRan =
      std::count_if(refused.begin(), refused.end(), [&](auto &id) { return ran.count(id) > 0; });
  const auto ranTwice =
      std::count_if(ran.begin(), ran.end(), [](auto &it) { return it.second > 1; });
  for (auto &id : refused)
    EXPECT_EQ(ran.count(id), 0U) << id;
  for (auto &[status, n] : statuses)
    std::printf("%u: %d, ", status, n);
  std::printf("%zu ran\n", ran.size());
  for (auto &[id, n] : ran)
    EXPECT_EQ(n, 1) << id;
  EXPECT_EQ(refusedAndRan, 0) << "of " << refused.size() << " refused; " << cluster.logDirectory();
  EXPECT_EQ(ranTwice, 0) << "of " << ran.size() << " that ran; " << cluster.logDirectory();
  EXPECT_GT(statuses[200], 100);
}

const std::vector<Trouble> HostTroubles{Trouble::Kill, Trouble::Freeze, Trouble::Stop,
                                        Trouble::Reload};
const std::vector<Trouble> AllTroubles{
    Trouble::Kill,           Trouble::Freeze,         Trouble::Stop,     Trouble::Reload,
    Trouble::EndpointClosed, Trouble::EndpointLeaves, Trouble::StoreAway};

INSTANTIATE_TEST_SUITE_P(Fleets, RefusedRequest,
                         ::testing::Values(RefusedRequestCase{"calm", 4, 1, {}, {}},
                                           RefusedRequestCase{"refusing", 4, 2, {}, Refusing},
                                           RefusedRequestCase{"hosts", 4, 3, HostTroubles,
                                                              Refusing},
                                           RefusedRequestCase{"all", 4, 4, AllTroubles, Refusing},
                                           RefusedRequestCase{"all", 9, 5, AllTroubles, {}}));

} // namespace
} // namespace catkin::platform
