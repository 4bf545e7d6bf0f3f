#include "scenarios_p.h"
#include "shares_p.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace catkin::harness {

using namespace std::chrono_literals;

Violations checkRunningWithinGrant(const std::vector<Event> &history) {
  std::map<std::string, std::uint64_t> grants; // by revision: in force or being introduced
  std::uint64_t running = 0;
  for (auto &it : history) {
    if (it.kind != EventKind::Custom)
      continue;
    if (it.detail == "grant")
      grants[it.model] = it.number;
    else if (it.detail == "in_force")
      grants.erase(grants.begin(), grants.find(it.model));
    else if (it.detail == "start")
      ++running;
    else if (it.detail == "end")
      --running;
    std::uint64_t bound = 0;
    for (auto &[revision, grant] : grants)
      bound = std::max(bound, grant);
    auto used = it.detail == "recorded" ? it.number : running;
    if (it.detail != "end" && used > bound)
      return {"at " + std::to_string(toSeconds(it.time.time_since_epoch())) + " s (" + it.detail +
              "): " + std::to_string(used) + " units, " + std::to_string(bound) + " granted"};
  }
  return {};
}

namespace {

constexpr int Hosts = 4;
constexpr auto Sync = 200ms;
const PlanName TestPlan("p");

/// Hosts that each have shares, load and a share table. One of them acts as planner; during a
/// change of planner several may.
class QuotaRun {
public:
  QuotaRun(std::uint64_t seed, Guards guards) : world(seed), guards(guards) {
    for (int i = 0; i < Hosts; ++i)
      start(i);
    setGrant(static_cast<int>(world.random() % 12) + 1);
    changePlanner();
    watchShareTable();
  }

  // Each handler owns its host; clearing it breaks the reference cycle.
  ~QuotaRun() {
    for (auto &[i, it] : hosts)
      it->process->onCall(nullptr);
  }

  Violations run() {
    world.run(3s);
    for (int i = 0; i < 14; ++i) {
      injectFault();
      world.run(random(2500));
    }
    heal();
    return checkDemandIsServed();
  }

private:
  struct Host {
    std::shared_ptr<Process> process;
    std::shared_ptr<HostShares> shares;
    std::shared_ptr<ShareTable> table;
    Address address;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0; ///< of the applied lists
    std::uint64_t planner = 0;  ///< index of the host it syncs with
    int waiting = 0;
    int running = 0;
    int load = 0; ///< number of requests waiting or running
  };
  using HostPtr = std::shared_ptr<Host>;

  /// Parameters and reply of a sync. The harness transports its index in `messages`.
  struct Message {
    HolderId from;
    std::vector<PlanUse> uses;
    std::vector<HostShare> shares;
  };

  Duration random(int maxMillis) { return Duration(world.random() % (maxMillis * 1000 + 1)); }

  void start(int i) {
    auto old = std::exchange(hosts[i], std::make_shared<Host>());
    auto &host = hosts[i];
    if (old) {
      host->incarnation = old->incarnation;
      host->planner = old->planner;
      host->load = old->load;
      retired.push_back(old);
    }
    host->address = {"10.0.0." + std::to_string(i), 1};
    host->process =
        world.addProcess(HostName("h" + std::to_string(i)), host->address, ++host->incarnation);
    host->shares = std::make_shared<HostShares>(guards);
    host->table = std::make_shared<ShareTable>(*host->process, guards);
    if (lists)
      applyLists(host, lists);
    host->process->onCall([this, host](auto &, auto &params, auto done) {
      auto message = messages.at(params);
      host->table->onSync(message.from, message.uses);
      message.shares = host->table->sharesOf(message.from);
      done(storeMessage(message));
    });
    runPeriodically(host, 10ms, [this, host] { serve(host); });
    runPeriodically(host, 100ms, [host] { host->table->tick(); });
    runPeriodically(host, Sync, [this, host] { sync(host); });
  }

  void runPeriodically(const HostPtr &host, Duration period, const Task &task) {
    host->process->after(period, [=, this] {
      task();
      runPeriodically(host, period, task);
    });
  }

  std::string storeMessage(const Message &message) {
    auto id = std::to_string(messages.size());
    messages[id] = message;
    return id;
  }

  void sync(const HostPtr &host) {
    Message message{{host->process->name(), host->incarnation}, host->shares->uses(world.now())};
    if (message.uses.empty())
      message.uses.push_back({.plan = TestPlan});
    for (auto &it : message.uses)
      it.waiting = host->waiting;
    host->process->call(hosts[static_cast<int>(host->planner)]->address, "sync",
                        storeMessage(message), 1s,
                        [this, host](RpcStatus status, const std::string &result) {
                          if (status == RpcStatus::Ok)
                            host->shares->apply(messages.at(result).shares, world.now());
                        });
  }

  void record(const HostPtr &host, const std::string &detail) {
    world.record(
        {.kind = EventKind::Custom, .host = host->process->name().value, .detail = detail});
  }

  void serve(const HostPtr &host) {
    host->waiting = std::max(0, host->load - host->running);
    while (host->waiting > 0 && host->shares->tryAcquire(TestPlan, world.now())) {
      --host->waiting;
      ++host->running;
      record(host, "start");
      host->process->after(20ms + random(400), [this, host] {
        --host->running;
        record(host, "end");
        host->shares->release(TestPlan, 3, world.now());
      });
    }
  }

  void kill(int i) {
    auto host = hosts[i];
    world.kill(host->process);
    for (; host->running > 0; --host->running)
      record(host, "end");
    HolderId id{host->process->name(), host->incarnation};
    world.schedule(random(2000), [this, id] {
      for (auto &[n, it] : hosts)
        it->table->onHolderEnded(id);
    });
    start(i);
  }

  void setGrant(int concurrency) {
    auto next = std::make_shared<Lists>();
    next->revision = ++revision;
    next->plans[TestPlan] = {.name = TestPlan,
                             .grant = {.concurrency = concurrency, .tokensPerSecond = 1e5}};
    lists = next;
    world.record({.kind = EventKind::Custom,
                  .model = revisionName(revision),
                  .detail = "grant",
                  .number = static_cast<std::uint64_t>(concurrency)});
    for (auto &[i, host] : hosts)
      world.schedule(random(1500), [host = host, next] { applyLists(host, next); });
  }

  static void applyLists(const HostPtr &host, const ListsPtr &next) {
    if (next->revision <= host->revision)
      return; // a host never applies an older configuration
    host->revision = next->revision;
    host->table->setLists(next);
  }

  /// Returns a name whose lexical order is the numeric order of `n`.
  static std::string revisionName(std::uint64_t n) { return std::to_string(100000 + n); }

  /// Makes a random host the planner. The former planner resigns up to 4 s later, or not at all if
  /// it is planner again by then.
  void changePlanner() {
    auto next = static_cast<int>(world.random() % Hosts);
    auto old = std::exchange(planner, next);
    hosts[next]->table->lead(++term);
    if (old >= 0 && old != next)
      world.schedule(random(4000), [this, old, table = hosts[old]->table] {
        if (planner != old)
          table->resign();
      });
    for (auto &[i, host] : hosts)
      world.schedule(random(1500), [host = host, next] { host->planner = next; });
  }

  void injectFault() {
    auto &f = world.faults();
    auto i = static_cast<int>(world.random() % Hosts);
    switch (world.random() % 10) {
    case 0:
      f.platformDown = !f.platformDown;
      break;
    case 1:
      f.loseWriteReply = 0.4;
      break;
    case 2:
      f.loseRequest = 0.4;
      break;
    case 3:
      kill(i);
      if (i == planner)
        changePlanner();
      break;
    case 4:
      world.freeze(hosts[i]->process);
      world.schedule(random(6000), [this, p = hosts[i]->process] { world.thaw(p); });
      break;
    case 5:
      changePlanner();
      break;
    case 6:
      setGrant(static_cast<int>(world.random() % 12) + 1);
      break;
    case 7:
      f.dropMessage = 0.3;
      f.duplicateMessage = 0.3;
      f.messageJitter = 150ms;
      break;
    case 8:
      f.platformDelay = random(300);
      break;
    default:
      f = {};
    }
    hosts[static_cast<int>(world.random() % Hosts)]->load = static_cast<int>(world.random() % 15);
  }

  /// Records the sum of each stored share table, and "in_force" if it is within the table's grant.
  void watchShareTable() {
    world.schedule(5ms, [this] { watchShareTable(); });
    auto it = world.objects().find("shares/" + TestPlan.value);
    if (it == world.objects().end() || it->second.version == watchedVersion)
      return;
    watchedVersion = it->second.version;
    auto table = boost::json::parse(it->second.value);
    std::uint64_t sum = 0;
    for (auto &holder : table.at("holders").as_array())
      sum += holder.at("concurrency").to_number<std::uint64_t>();
    Event event{.kind = EventKind::Custom,
                .model = revisionName(table.at("grant_revision").to_number<std::uint64_t>()),
                .detail = "recorded",
                .number = sum};
    world.record(event);
    event.detail = "in_force";
    if (sum <= table.at("grant_concurrency").to_number<std::uint64_t>())
      world.record(event);
  }

  void heal() {
    world.faults() = {};
    for (auto &[i, it] : hosts)
      world.thaw(it->process);
    world.run(5s);
    changePlanner();
  }

  /// Verifies that, on a healthy system, the only host with demand gets the whole grant, and that a
  /// host without a share gets one within 5 s although the other host is busy.
  Violations checkDemandIsServed() {
    Violations found;
    auto grant = lists->plans.at(TestPlan).grant.concurrency;
    for (auto &[i, it] : hosts)
      it->load = i == 0 ? 20 : 0;
    world.run(12s);
    if (hosts[0]->shares->concurrency(TestPlan) != grant)
      found.push_back("the only host with demand has " +
                      std::to_string(hosts[0]->shares->concurrency(TestPlan)) + " of " +
                      std::to_string(grant) + " units");
    hosts[1]->load = 1;
    if (!world.runUntil([&] { return hosts[1]->running > 0; }, 5s))
      found.push_back("a host with demand got no share within 5 s");
    for (auto &it : checkRunningWithinGrant(world.history()))
      found.push_back(it);
    return found;
  }

  World world;
  Guards guards;
  std::map<int, HostPtr> hosts;
  std::vector<HostPtr> retired;
  std::map<std::string, Message> messages;
  ListsPtr lists;
  std::uint64_t revision = 0;
  std::uint64_t term = 0;
  std::uint64_t watchedVersion = 0;
  int planner = -1;
};

} // namespace

Violations runQuotaSeed(std::uint64_t seed, Guards guards) { return QuotaRun(seed, guards).run(); }

} // namespace catkin::harness
