#include "../rig-3.h"

#include <random>

/// The store cuts the watches that wait, as it may at any time, and a moment later a server leaves
/// that never reports that it is draining: its entry is removed.
using namespace rig;

namespace {

constexpr double DrainTime = 2;   ///< drain_ms
constexpr double ServesOn = 2.4;  ///< of the server that leaves, after its entry has gone
constexpr double WorkTime = 0.15; ///< of a request
constexpr double WatchTime = 0.4;
constexpr int Clients = 48;

std::vector<std::unique_ptr<Host>> hosts;
std::atomic<bool> stopped = false;
std::mutex statusMutex;
std::map<std::string, int> statusOf; ///< of each request; 0 without an answer

json::value config() {
  return json::parse(R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/u/",
    "kind":"unsafe","timeout_ms":1200,"objective_ms":150,"priority":2,"service":"app",
    "max_attempts":1,"session_affinity":false,"resumable":false}],
    "services":[{"name":"app","health_path":"/health","connection_cap":110,"protocol":"h1",
    "tls":false}],
    "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000}})");
}

void runClient() {
  std::mt19937 random(std::random_device{}());
  while (!stopped) {
    auto &host = *hosts[random() % hosts.size()];
    const std::string id = newId();
    auto channel = Channel::connect(host.ip(), Host::FrontPort, 1);
    Head head;
    const double end = now() + 2.5;
    bool answered = channel &&
                    channel->write("POST /u/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
                                   "\r\nDeadline-Ms: 2500\r\nContent-Length: 2\r\n\r\n{}") &&
                    channel->readHead(head, end);
    for (bool ended = false; answered && !ended;) {
      std::string part;
      answered = channel->readPart(head, part, ended, end);
    }
    {
      const std::lock_guard lock(statusMutex);
      statusOf[id] = answered ? head.status : 0;
    }
    note("request " + id + " at " + host.name + " got status " +
         std::to_string(answered ? head.status : 0));
    sleepFor(std::uniform_real_distribution<>(0.1, 0.3)(random));
  }
}

} // namespace

int main(int, char **argv) {
  Record out(argv[1]);
  record = &out;
  Store store;
  store.start();
  store.put("config", "main", config());
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 4; ++i) {
    engines.push_back(std::make_unique<Engine>(store, EngineOptions{.id = "i-e" + std::to_string(i),
                                                                    .machine = 100 + i,
                                                                    .service = "app",
                                                                    .slots = 6,
                                                                    .models = {},
                                                                    .workSeconds = WorkTime}));
    engines.back()->start();
  }
  for (int i = 0; i < 3; ++i) {
    hosts.push_back(std::make_unique<Host>(10 + i, "front-z1-" + std::to_string(i + 1), "z1", ""));
    hosts.back()->start();
  }
  waitUntilReady(hosts);
  sleepFor(6);
  std::vector<std::thread> threads;
  for (int i = 0; i < Clients; ++i) {
    threads.emplace_back(runClient);
    sleepFor(0.02);
  }
  sleepFor(4);

  if (hasTrouble()) {
    // A host lists the objects again at once if its watch has lasted for a while.
    const int all = static_cast<int>(hosts.size());
    for (const double since = now(); store.waitingWatches("servers", WatchTime) < all;) {
      if (now() > since + 10)
        fail("the hosts do not watch the servers");
      sleepFor(0.005);
    }
    const int before = store.lists("servers");
    note("the store cuts the watches of the servers");
    store.cutWatches("servers");
    for (const double since = now(); store.lists("servers") < before + all;) {
      if (now() > since + 3)
        fail("the hosts do not list the servers again");
      sleepFor(0.005);
    }
    note("all hosts have listed the servers again");
  }
  sleepFor(0.1);
  engines[0]->stopReporting();
  store.remove("servers", "i-e0");
  const double removedAt = now();
  note("the entry of i-e0 has been removed");
  sleepUntil(removedAt + ServesOn);
  note("server i-e0 exits");
  engines[0]->exit();
  sleepFor(3);
  stopped = true;
  for (auto &it : threads)
    it.join();

  int late = 0;
  int lost = 0;
  for (auto &run : engines[0]->runs()) {
    const double after = run.at - removedAt;
    if (after <= DrainTime)
      continue;
    ++late;
    const bool isLost = statusOf[run.id] != 200;
    lost += isLost ? 1 : 0;
    note("request " + run.id + " reached i-e0 " + std::to_string(after) +
         " s after its entry had gone, and its client got status " +
         std::to_string(statusOf[run.id]));
  }
  for (auto &it : hosts)
    if (it->hasEnded())
      fail("a host has ended by itself");
  note(std::to_string(late) + " requests reached the server later than " +
       std::to_string(DrainTime) + " s after the removal, " + std::to_string(lost) +
       " of them were lost");
  note(late > 0 ? "DRAIN: broken" : "held");
  for (auto &it : hosts)
    it->kill();
  removeFolder();
  std::_Exit(late > 0 ? 1 : 0);
}
