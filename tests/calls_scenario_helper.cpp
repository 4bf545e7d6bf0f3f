#include "ledger_p.h"
#include "scenarios_p.h"

#include <algorithm>
#include <cstdio>

namespace catkin::harness {

using namespace std::chrono_literals;

std::vector<std::uint64_t> runSeeds(const std::string &name, const Scenario &scenario,
                                    std::uint64_t first, std::uint64_t count, Guards guards) {
  std::vector<std::uint64_t> failed;
  for (auto seed = first; seed < first + count; ++seed) {
    auto found = scenario(seed, guards);
    if (found.empty())
      continue;
    failed.push_back(seed);
    for (auto &it : found)
      std::fprintf(stderr, "%s: seed %llu: %s\n", name.c_str(),
                   static_cast<unsigned long long>(seed), it.c_str());
  }
  return failed;
}

bool isCaught(const Scenario &scenario, std::uint64_t count, Guards guards) {
  for (std::uint64_t seed = 1; seed <= count; ++seed)
    if (!scenario(seed, guards).empty())
      return true;
  return false;
}

Violations checkRunsAtMostOnce(const std::vector<Event> &history) {
  Violations found;
  std::map<std::string, int> runs;
  for (auto &it : history)
    if (it.kind == EventKind::CallRan && ++runs[it.detail] == 2)
      found.push_back("key " + it.detail + " ran twice");
  return found;
}

Violations checkOutcomesAreTrue(const std::vector<Event> &history) {
  Violations found;
  std::set<std::string> keysRun;
  std::map<std::string, std::string> answers;
  std::set<std::string> requestsRun;
  for (auto &it : history) {
    if (it.kind == EventKind::CallRan) {
      keysRun.insert(it.detail);
      requestsRun.insert(it.endpoint);
    } else if (it.kind == EventKind::Custom) {
      answers[it.endpoint] = it.detail;
      if (it.detail == toString(RunOutcome::Ran) && !keysRun.contains(it.model))
        found.push_back("request " + it.endpoint + " was answered ran before key " + it.model +
                        " ran");
    }
  }
  for (auto &[request, outcome] : answers)
    if (outcome == toString(RunOutcome::NotRun) && requestsRun.contains(request))
      found.push_back("request " + request + " was answered not_run but ran");
  return found;
}

namespace {

constexpr auto CallDeadline = 6s;
constexpr auto ServiceTimeout = 1s;
constexpr auto EndNoticeLag = 1s; // until other hosts learn that a process ended
constexpr int Hosts = 3;
constexpr int Keys = 12;

/// Hosts with a ledger and the part of a gateway that claims, sends and finishes a call, a service,
/// and callers that repeat a call with the same key at any host.
class CallsRun {
public:
  CallsRun(std::uint64_t seed, Guards guards) : world(seed), guards(guards) {
    for (int i = 0; i < Hosts; ++i)
      start(i);
  }

  Violations run() {
    for (int key = 0; key < Keys; ++key)
      world.schedule(random(4000), [this, key] { attempt(key, 0); });
    for (int i = 0; i < 12; ++i) {
      injectFault();
      world.run(random(1500));
    }
    heal();
    world.run(90s); // longer than a caller's retries last
    auto found = checkRunsAtMostOnce(world.history());
    for (auto &it : checkOutcomesAreTrue(world.history()))
      found.push_back(it);
    for (auto &it : checkRecovered())
      found.push_back(it);
    return found;
  }

private:
  struct Host {
    std::shared_ptr<Process> process;
    std::shared_ptr<Ledger> ledger;
    std::uint64_t incarnation = 0;
  };

  Duration random(int maxMillis) { return Duration(world.random() % (maxMillis * 1000 + 1)); }

  void start(int i) {
    auto &host = hosts[i];
    HostName name("h" + std::to_string(i));
    ++host.incarnation;
    host.process = world.addProcess(name, {"10.0.0." + std::to_string(i), 1}, host.incarnation);
    host.ledger = std::make_shared<Ledger>(
        *host.process,
        LedgerOptions{.host = name, .incarnation = host.incarnation, .guards = guards},
        [this](const HostName &h, std::uint64_t n) {
          return !endedProcesses.contains({h, n});
        });
  }

  void kill(int i) {
    auto host = hosts[i];
    world.kill(host.process);
    retired.push_back(host.ledger);
    std::pair id(host.process->name(), host.incarnation);
    world.schedule(EndNoticeLag, [this, id] { endedProcesses.insert(id); });
    start(i);
  }

  void injectFault() {
    auto &f = world.faults();
    auto i = static_cast<int>(world.random() % Hosts);
    switch (world.random() % 7) {
    case 0:
      f.platformDown = !f.platformDown;
      break;
    case 1:
      f.loseWriteReply = 0.4;
      break;
    case 2:
      f.loseRequest = 0.3;
      break;
    case 3:
      kill(i);
      break;
    case 4:
      world.freeze(hosts[i].process);
      world.schedule(random(9000), [this, p = hosts[i].process] { world.thaw(p); });
      break;
    case 5:
      f.platformDelay = random(200);
      break;
    default:
      f = {};
    }
  }

  void heal() {
    world.faults() = {};
    for (auto &[i, it] : hosts)
      world.thaw(it.process);
  }

  /// Sends one request of a caller. The caller repeats it until it receives `ran`, up to 8 times,
  /// sometimes while an earlier request is still open.
  void attempt(int key, int n) {
    auto request = "r" + std::to_string(key) + "." + std::to_string(n);
    auto host = hosts[static_cast<int>(world.random() % Hosts)];
    auto answered = std::make_shared<bool>(false);
    auto deadline = world.now() + CallDeadline;
    host.process->after(random(2), [this, host, key, request, deadline, answered] {
      serve(host, key, request, deadline, answered);
    });
    auto retryDelay = world.chance(0.2) ? random(300) : Duration(CallDeadline) + 500ms;
    world.schedule(retryDelay, [this, key, n, answered] {
      if (n < 8 && !keysAnsweredRan.contains(key))
        attempt(key, n + 1);
    });
  }

  void answer(const std::string &request, int key, RunOutcome outcome) {
    if (outcome == RunOutcome::Ran)
      keysAnsweredRan.insert(key);
    world.record({.kind = EventKind::Custom,
                  .endpoint = request,
                  .model = std::to_string(key),
                  .detail = std::string(toString(outcome))});
  }

  void serve(const Host &host, int key, const std::string &request, Instant deadline,
             const std::shared_ptr<bool> &answered) {
    CallKey callKey{PlanName("p"), ServiceName("deliveries"), std::to_string(key), "hash"};
    host.ledger->claim(callKey, deadline, [=, this](const ClaimResult &r) {
      *answered = true;
      if (r.outcome == ClaimOutcome::Granted)
        host.process->after(random(20), [=, this] { send(host, callKey, key, request, r); });
      else if (r.outcome == ClaimOutcome::Replay)
        answer(request, key, RunOutcome::Ran);
      else if (r.outcome == ClaimOutcome::Unavailable)
        answer(request, key, RunOutcome::NotRun);
      else
        answer(request, key, RunOutcome::MayHaveRun);
    });
  }

  void send(const Host &host, const CallKey &callKey, int key, const std::string &request,
            const ClaimResult &claim) {
    if (world.chance(0.2)) { // connection refused
      host.ledger->abandon(callKey, claim.attemptId);
      return answer(request, key, RunOutcome::NotRun);
    }
    auto settled = std::make_shared<bool>(false);
    auto reply = [=, this] {
      if (std::exchange(*settled, true))
        return;
      host.ledger->finish(callKey, claim.attemptId, {.status = 200, .body = request});
      answer(request, key, RunOutcome::Ran);
    };
    world.schedule(random(50), [=, this] {
      world.record(
          {.kind = EventKind::CallRan, .endpoint = request, .detail = std::to_string(key)});
      if (!world.chance(0.2)) // otherwise the reply is lost
        world.schedule(random(50), [=] { host.process->after(0s, reply); });
    });
    host.process->after(ServiceTimeout, [=, this] {
      if (std::exchange(*settled, true))
        return;
      host.ledger->markLost(callKey, claim.attemptId);
      answer(request, key, RunOutcome::MayHaveRun);
    });
  }

  /// Verifies that, once all faults have ended, every call is recorded and no key that ran is
  /// answered with `not_run`.
  Violations checkRecovered() {
    Violations found;
    for (auto &[i, it] : hosts)
      if (it.ledger->openClaimCount() != 0)
        found.push_back("host " + std::to_string(i) + " has unrecorded calls after recovery");
    auto before = world.history().size();
    auto knownToHaveRun = keysAnsweredRan;
    for (int key = 0; key < Keys; ++key)
      attempt(key, 100);
    world.run(20s);
    for (auto i = before; i < world.history().size(); ++i)
      if (world.history()[i].detail == toString(RunOutcome::NotRun) &&
          knownToHaveRun.contains(std::stoi(world.history()[i].model)))
        found.push_back("a call that ran was answered not_run after recovery");
    return found;
  }

  World world;
  Guards guards;
  std::map<int, Host> hosts;
  std::vector<std::shared_ptr<Ledger>> retired;
  std::set<std::pair<HostName, std::uint64_t>> endedProcesses;
  std::set<int> keysAnsweredRan; ///< keys whose caller received `ran`
};

} // namespace

Violations runCallsSeed(std::uint64_t seed, Guards guards) { return CallsRun(seed, guards).run(); }

} // namespace catkin::harness
