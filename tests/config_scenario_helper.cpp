#include "config_sync_p.h"
#include "scenarios_p.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace catkin::harness {

using namespace std::chrono_literals;

Violations checkRevisionsNeverFall(const std::vector<Event> &history) {
  Violations found;
  std::map<std::string, std::uint64_t> newest;
  for (auto &it : history) {
    if (it.kind != EventKind::Custom || it.detail != "applied")
      continue;
    auto &revision = newest[it.host];
    if (it.number <= revision)
      found.push_back(it.host + " went from revision " + std::to_string(revision) + " to " +
                      std::to_string(it.number));
    revision = it.number;
  }
  return found;
}

Violations checkEditAnswersAreTrue(const std::vector<Event> &history) {
  Violations found;
  std::map<std::string, std::uint64_t> written; // revision by tag
  std::set<std::uint64_t> revisions;
  for (auto &it : history) {
    if (it.kind != EventKind::Write || it.endpoint != "config/lists")
      continue;
    auto document = boost::json::parse(it.detail);
    auto revision = document.at("revision").to_number<std::uint64_t>();
    auto &plan = document.at("plans").at("plans").at(0);
    written[std::to_string(plan.at("grant").at("concurrency").as_int64())] = revision;
    if (!revisions.insert(revision).second)
      found.push_back("revision " + std::to_string(revision) + " was written twice");
  }
  for (auto &it : history) {
    if (it.kind != EventKind::Custom || it.model.empty())
      continue;
    auto edit = written.find(it.model);
    bool isStored = edit != written.end();
    if (it.detail == toString(EditOutcome::Accepted)) {
      if (!isStored || edit->second != it.number)
        found.push_back("edit " + it.model + " was accepted but is not stored");
    } else if (it.detail != toString(EditOutcome::Unknown) && isStored) {
      found.push_back("edit " + it.model + " was answered " + it.detail + " but is stored");
    }
  }
  return found;
}

namespace {

constexpr int Hosts = 4;
// An accepted edit is in force on every reachable host within this time.
constexpr auto PropagationLimit = 5s;

/// Hosts that apply the lists and exchange their revisions, and two operators that edit the lists.
class ConfigRun {
public:
  ConfigRun(std::uint64_t seed, Guards guards) : world(seed), guards(guards) {
    for (int i = 0; i < Hosts; ++i)
      start(i);
  }

  // Each handler owns its host; clearing it breaks the reference cycle.
  ~ConfigRun() {
    for (auto &[i, it] : hosts)
      it->process->onCall(nullptr);
  }

  Violations run() {
    world.run(2s);
    Violations found;
    for (int round = 0; round < 3; ++round) {
      for (int i = 0; i < 6; ++i) {
        injectFault();
        for (auto n = world.random() % 4; n > 0; --n)
          startRacingEdits();
        world.run(random(2000));
      }
      heal();
      checkPropagation(found);
    }
    world.run(20s); // longer than a host tries to read back an edit
    for (auto &check : {checkRevisionsNeverFall, checkEditAnswersAreTrue})
      for (auto &it : check(world.history()))
        found.push_back(it);
    return found;
  }

private:
  struct Host {
    std::shared_ptr<Process> process;
    std::shared_ptr<ConfigSync> config;
    std::uint64_t incarnation = 0;
  };
  using HostPtr = std::shared_ptr<Host>;

  Duration random(int maxMillis) { return Duration(world.random() % (maxMillis * 1000 + 1)); }
  int anyHost() { return static_cast<int>(world.random() % Hosts); }
  static Address addressOf(int i) { return {"10.0.0." + std::to_string(i), 1}; }

  void start(int i) {
    auto old = std::exchange(hosts[i], std::make_shared<Host>());
    auto &host = hosts[i];
    if (old) {
      host->incarnation = old->incarnation;
      retired.push_back(old);
    }
    HostName name("h" + std::to_string(i));
    host->process = world.addProcess(name, addressOf(i), ++host->incarnation);
    ConfigSyncOptions options{.guards = guards};
    for (int n = 0; n < Hosts; ++n)
      if (n != i)
        options.peers.push_back(addressOf(n));
    auto id = name.value + "#" + std::to_string(host->incarnation);
    host->config =
        std::make_shared<ConfigSync>(*host->process, options, [this, id](const ListsPtr &lists) {
          world.record({.kind = EventKind::Custom,
                        .host = id,
                        .detail = "applied",
                        .number = lists->revision});
        });
    host->process->onCall([host](auto &method, auto &, auto done) {
      auto document = host->config->document();
      if (method == "lists")
        done(document.empty() ? "{}" : document);
      else
        done(std::to_string(host->config->currentLists()->revision));
    });
    host->config->start();
    gossip(host);
  }

  /// Asks a random peer for its revision, in place of the revision that `sync` carries.
  void gossip(const HostPtr &host) {
    auto peer = addressOf(anyHost());
    host->process->call(peer, "revision", "", 1s,
                        [host, peer](RpcStatus status, const std::string &result) {
                          if (status == RpcStatus::Ok)
                            host->config->onRevisionSeen(std::stoull(result), peer);
                        });
    host->process->after(200ms, [this, host] { gossip(host); });
  }

  /// Two operators edit at random hosts, each based on the revision that its host has applied.
  void startRacingEdits() {
    edit(anyHost());
    edit(anyHost());
  }

  void edit(int i) {
    auto host = hosts[i];
    auto tag = std::to_string(++lastTag);
    auto document = R"({"plans":[{"name":"p","keys":[],"priority":"low","grant":{"models":0,)"
                    R"("concurrency":)" +
                    tag + R"(,"tokens_per_second":0,"accelerator_bytes":0}}]})";
    host->process->after(random(20), [=, this] {
      host->config->edit(ListKind::Plans, document, host->config->currentLists()->revision,
                         [this, tag](const EditResult &r) {
                           world.record({.kind = EventKind::Custom,
                                         .model = tag,
                                         .detail = std::string(toString(r.outcome)),
                                         .number = r.revision});
                         });
    });
  }

  void injectFault() {
    auto &f = world.faults();
    auto i = anyHost();
    switch (world.random() % 9) {
    case 0:
      f.platformDown = !f.platformDown;
      break;
    case 1:
      f.loseWriteReply = 0.5;
      break;
    case 2:
      f.loseRequest = 0.4;
      break;
    case 3:
      world.kill(hosts[i]->process);
      start(i);
      break;
    case 4:
      world.freeze(hosts[i]->process);
      world.schedule(random(6000), [this, p = hosts[i]->process] { world.thaw(p); });
      break;
    case 5:
      world.cut(hosts[i]->process->name().value, "platform");
      break;
    case 6:
      f.dropMessage = 0.3;
      f.duplicateMessage = 0.3;
      f.messageJitter = 400ms;
      break;
    case 7:
      f.platformDelay = random(300);
      break;
    default:
      f = {};
    }
  }

  void heal() {
    world.faults() = {};
    world.healAll();
    for (auto &[i, it] : hosts)
      world.thaw(it->process);
    world.run(20s);
  }

  /// Verifies that an edit accepted on a healthy system is in force on every host within
  /// PropagationLimit, also on a host that reaches its peers but not the platform.
  void checkPropagation(Violations &found) {
    auto cutOff = anyHost();
    world.cut(hosts[cutOff]->process->name().value, "platform");
    auto before = hosts[0]->config->currentLists()->revision;
    edit((cutOff + 1) % Hosts);
    world.run(PropagationLimit);
    for (auto &[i, it] : hosts)
      if (!it->config->isReady() || it->config->currentLists()->revision <= before)
        found.push_back("host " + std::to_string(i) + " does not have revision " +
                        std::to_string(before + 1) + " in force");
    world.healAll();
  }

  World world;
  Guards guards;
  std::map<int, HostPtr> hosts;
  std::vector<HostPtr> retired;
  std::uint64_t lastTag = 0;
};

} // namespace

Violations runConfigSeed(std::uint64_t seed, Guards guards) {
  return ConfigRun(seed, guards).run();
}

} // namespace catkin::harness
