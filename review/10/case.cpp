#include "../rig-2.h"
#include "real_env_p.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <mutex>

/// Hosts are restarted one after the other while some tenants send many times what they may. Checks
/// what the quotas of these tenants let through in any window.
namespace review {
namespace {

using catkin::HttpExchange;
using catkin::HttpResponse;

constexpr int Hosts = 8;
constexpr int Tenants = 16;
constexpr double TokensPerSecond = 20000;
constexpr double Burst = 20000;
constexpr double Window = 8;
constexpr double Over = 0.1;
constexpr double Slack = 110000;
constexpr int Tokens = 9190 + 52; // of each request
constexpr Millis Gap{1300};       // from one restart to the next
constexpr Millis FloodTime{11000};
// Together 7.2 requests a second, 6 times what the tenant sends usually: its quota is 1.8 times
// that.
constexpr int SendersOfTenant = 8;
constexpr Millis SendPause{1110};

/// A request that has run.
struct Run {
  double sentAt = 0;
  double arrivedAt = 0;
};

std::string tenantName(int n) { return "tenant-" + std::to_string(n); }

/// Returns the most tokens that were both sent and run in any window.
double peakTokens(std::vector<Run> runs, double &from) {
  std::sort(runs.begin(), runs.end(), [](auto &a, auto &b) { return a.sentAt < b.sentAt; });
  double peak = 0;
  for (auto &first : runs) {
    double sum = 0;
    for (auto &it : runs)
      if (it.sentAt >= first.sentAt && it.arrivedAt <= first.sentAt + Window)
        sum += Tokens;
    if (sum > peak) {
      peak = sum;
      from = first.sentAt;
    }
  }
  return peak;
}

/// Serves requests without a model and notes when each has come.
class Engine {
public:
  explicit Engine(std::string name) : id(std::move(name)) {}
  boost::asio::awaitable<void> handle(HttpExchange &exchange) {
    const auto &request = exchange.request();
    HttpResponse response{boost::beast::http::status::ok, 11};
    response.set("Request-Id", request["Request-Id"]);
    if (request["Expect-Instance"] == id) {
      response.set("Server-Stamp", id);
      response.body() = "done";
      const auto it = request["Request-Id"];
      arrivals[std::string(it.data(), it.size())] = elapsed();
    } else {
      response.result(421);
      response.set("Instance", id);
    }
    const bool delivered = co_await exchange.respond(std::move(response));
    (void)delivered;
  }

  const std::string id;
  std::map<std::string, double> arrivals; ///< by request id
};

int runCase(const std::string &folder, const std::vector<int> &hot) {
  Record record(folder + "/record.txt");
  Rig rig(Hosts, "bounds.quota_window_s=8\nbounds.quota_over=0.1\nbounds.quota_slack=110000\n"
                 "bounds.strict_revocation=false\nbounds.revoke_ms=5000\n");
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<Engine>("p-" + std::to_string(i)));
    auto *engine = engines.back().get();
    const auto address = rig.serve([engine](HttpExchange &it) { return engine->handle(it); });
    rig.store.put("servers", engine->id,
                  json::object{{"service", "app"},
                               {"address", address.toString()},
                               {"zone", "z"},
                               {"version", "v1"},
                               {"slots", 6},
                               {"state", "ready"},
                               {"sequence", 0},
                               {"born", 1'700'000'000'000}});
  }
  auto config = makeConfig(1, {makeRoute("u", "/u/", "unsafe", 4000, "app")});
  json::array tenants;
  for (int i = 0; i < Tenants; ++i)
    tenants.push_back(json::object{{"name", tenantName(i)},
                                   {"api_keys", json::array{"key-" + std::to_string(i)}},
                                   {"priority", 1},
                                   {"rate_per_s", TokensPerSecond},
                                   {"burst", Burst},
                                   {"unit", "token_count"},
                                   {"plain_tokens", 100}});
  config["tenants"] = tenants;
  rig.store.put("config", "main", config);
  rig.begin();
  if (!rig.waitUntilReady(Millis(20000)))
    return ExitNotRun;
  std::this_thread::sleep_for(Millis(12000)); // the quotas count from the start of the hosts

  std::mutex mutex; // guards sent and hostIsUp
  std::map<std::string, std::pair<int, double>> sent;
  std::vector<bool> hostIsUp(Hosts, true);
  std::atomic<bool> stop = false;
  std::atomic<int> lastId = 0;
  std::vector<std::thread> senders;
  const auto sendOne = [&](int tenant) {
    const int n = ++lastId;
    const std::string id = "q" + std::to_string(100000 + n);
    int host = n % Hosts;
    {
      const std::lock_guard lock(mutex);
      for (int i = 0; i < Hosts && !hostIsUp[static_cast<std::size_t>(host)]; ++i)
        host = (host + 1) % Hosts;
      sent[id] = {tenant, elapsed()};
    }
    const Request request{.target = "/u/x",
                          .headers = {{"Host", "h.example"},
                                      {"Request-Id", id},
                                      {"X-Api-Key", "key-" + std::to_string(tenant)},
                                      {"Token-Count", "9190,52"},
                                      {"Deadline-Ms", "4000"}},
                          .limit = Millis(4500)};
    const Answer answer = send(rig.ip(host), rig.port(), request);
    record.line("sent " + id + " for " + tenantName(tenant) + " to host " + std::to_string(host) +
                ", answer " + std::to_string(answer.status));
  };
  for (int tenant : hot)
    for (int i = 0; i < SendersOfTenant; ++i)
      senders.emplace_back([&, tenant, i] {
        std::this_thread::sleep_for(SendPause * i / SendersOfTenant);
        for (auto next = Clock::now(); !stop; next += SendPause) {
          sendOne(tenant);
          std::this_thread::sleep_until(next);
        }
      });
  const auto end = Clock::now() + FloodTime;
  std::vector<std::thread> restarts;
  std::mutex rigMutex; // guards the list of the rig's processes
  for (int n = 0; n < Hosts && hasTrouble(); ++n) {
    record.line("SIGTERM to host " + std::to_string(n));
    {
      const std::lock_guard lock(mutex);
      hostIsUp[static_cast<std::size_t>(n)] = false;
    }
    const std::lock_guard lock(rigMutex);
    rig.signalHost(n, SIGTERM);
    restarts.emplace_back([&, n] {
      for (bool runs = true; runs;) {
        std::this_thread::sleep_for(Millis(50));
        const std::lock_guard again(rigMutex);
        runs = rig.isRunning(n);
        if (!runs)
          rig.startHost(n);
      }
      record.line("host " + std::to_string(n) + " was started again");
      while (!rig.isReady(n))
        std::this_thread::sleep_for(Millis(50));
      const std::lock_guard up(mutex);
      hostIsUp[static_cast<std::size_t>(n)] = true;
    });
    std::this_thread::sleep_for(Gap);
  }
  std::this_thread::sleep_until(end);
  stop = true;
  for (auto &it : senders)
    it.join();
  for (auto &it : restarts)
    it.join();

  std::map<int, std::vector<Run>> runs;
  rig.run([&] {
    for (auto &engine : engines)
      for (auto &[id, at] : engine->arrivals)
        if (sent.count(id) > 0)
          runs[sent[id].first].push_back({sent[id].second, at});
  });
  const double allowed = (TokensPerSecond * Window + Burst) * (1 + Over) + Slack;
  bool broken = false;
  for (auto &[tenant, list] : runs) {
    double from = 0;
    const double peak = peakTokens(list, from);
    broken = broken || peak > allowed;
    char text[200];
    std::snprintf(text, sizeof text,
                  "%s: at most %.0f tokens ran in %.0f s, from %.3f on; allowed %.0f",
                  tenantName(tenant).c_str(), peak, Window, from, allowed);
    record.line(text);
    std::puts(text);
  }
  return broken ? ExitBroken : ExitHeld;
}

} // namespace
} // namespace review

int main(int argc, char **argv) {
  try {
    std::vector<int> hot;
    for (int i = 2; i < argc; ++i)
      hot.push_back(std::atoi(argv[i]));
    return review::runCase(argv[1], hot);
  } catch (const std::exception &e) {
    std::fprintf(stderr, "%s\n", e.what());
    return review::ExitNotRun;
  }
}
