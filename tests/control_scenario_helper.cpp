#include "checkers_p.h"
#include "cluster_p.h"
#include "scenarios_p.h"

#include <algorithm>
#include <set>

namespace catkin::harness {

namespace {

using namespace std::chrono_literals;

constexpr Duration LongDeadline = 60s;
constexpr int Steps = 60;
constexpr int SlicesPerStep = 40;
constexpr Duration Slice = 50ms;

/// Cluster under random faults that records the events the history checkers need.
class ControlRun {
public:
  ControlRun(std::uint64_t seed, const Guards &guards)
      : cluster({.seed = seed, .guards = guards}), world(cluster.world) {}

  Violations run() {
    if (!cluster.startAll())
      return {"hosts did not become ready"};
    world.faults().loseWriteReply = 0.05;
    world.faults().dropMessage = 0.02;
    world.faults().duplicateMessage = 0.02;
    for (int step = 0; step < Steps && found.empty(); ++step) {
      injectFault();
      runStep();
    }
    if (found.empty())
      recover();
    auto facts = factsOf(world);
    addViolations(checkDecided(world.history(), facts));
    addViolations(checkMemory(world.history(), facts));
    return found;
  }

private:
  std::size_t pick(std::size_t n) { return static_cast<std::size_t>(world.random() % n); }

  void addViolations(const Violations &more) {
    found.insert(found.end(), more.begin(), more.end());
  }

  void recordMark(const char *what, const std::string &host) {
    world.record({.kind = EventKind::Custom, .host = host, .detail = what});
  }

  void setPlatformDown(bool down) {
    if (world.faults().platformDown != down)
      recordMark(down ? mark::PlatformDown : mark::PlatformUp, "");
    world.faults().platformDown = down;
  }

  void healAll() {
    world.healAll();
    for (auto &it : cutFromPlatform)
      recordMark(mark::PlatformUp, it);
    cutFromPlatform.clear();
  }

  void freeze(const TestHost &host) {
    if (!host.process->frozen())
      recordMark(mark::Paused, host.self.host.value);
    world.freeze(host.process);
  }

  void thaw(const TestHost &host) {
    if (host.process->frozen())
      recordMark(mark::Resumed, host.self.host.value);
    world.thaw(host.process);
  }

  void cut(const TestHost &host) {
    auto &name = host.self.host.value;
    if (pick(2) != 0)
      return world.cut(name, cluster.hosts[0].self.host.value);
    world.cut(name, "platform");
    if (cutFromPlatform.insert(name).second)
      recordMark(mark::PlatformDown, name);
  }

  void injectFault() {
    auto i = pick(cluster.hosts.size());
    auto &host = cluster.hosts[i];
    switch (pick(9)) {
    case 0:
      if (host.running)
        cluster.kill(i);
      break;
    case 1:
      if (!host.running)
        cluster.start(i);
      break;
    case 2:
      if (host.running)
        freeze(host);
      break;
    case 3:
      if (host.running)
        thaw(host);
      break;
    case 4:
      setPlatformDown(!world.faults().platformDown);
      break;
    case 5:
      cut(host);
      break;
    case 6:
      healAll();
      setPlatformDown(false);
      break;
    default:
      if (host.running && !host.process->frozen())
        cluster.ensure(i, Cluster::model(static_cast<int>(pick(6))), LongDeadline);
    }
  }

  void runStep() {
    for (int n = 0; n < SlicesPerStep && found.empty(); ++n) {
      world.run(Slice);
      if (cluster.activePlanners() > 1)
        found.emplace_back("two planners may order endpoints that ignore fencing");
    }
    for (auto &it : cluster.hosts)
      if (!std::is_sorted(it.revisions.begin(), it.revisions.end()))
        found.push_back("configuration revision decreased on " + it.self.host.value);
  }

  void recover() {
    healAll();
    setPlatformDown(false);
    world.faults() = {};
    for (std::size_t i = 0; i < cluster.hosts.size(); ++i) {
      if (cluster.hosts[i].running)
        thaw(cluster.hosts[i]);
      else
        cluster.start(i);
    }
    world.run(30s);
    if (cluster.activePlanners() != 1) {
      found.emplace_back("no planner after all faults ended");
      return;
    }
    auto model = Cluster::model(5);
    cluster.ensure(0, model, LongDeadline);
    if (!world.runUntil([&] { return cluster.isLoaded(0, model); }, 60s))
      found.emplace_back("a cold model could not be loaded after all faults ended");
  }

  Cluster cluster;
  World &world;
  std::set<std::string> cutFromPlatform;
  Violations found;
};

} // namespace

Violations runControlSeed(std::uint64_t seed, Guards guards) {
  return ControlRun(seed, guards).run();
}

} // namespace catkin::harness
