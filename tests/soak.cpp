#include "replica_scenario_p.h"
#include "scenarios_p.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

/// Runs the seeded fault scenarios for many seeds and prints the command that reproduces a failure.
namespace {

using namespace catkin;
using namespace catkin::harness;

constexpr unsigned MaxThreads = 4;

/// A scenario and its name on the command line.
struct NamedScenario {
  const char *name;
  Violations (*run)(std::uint64_t seed, Guards guards);
};

Violations runReplicasSeed(std::uint64_t seed, Guards /*guards*/) {
  std::ostringstream out;
  if (soakReplicas(seed, 1, out) == 0)
    return {};
  return {out.str()};
}

constexpr std::array<NamedScenario, 5> Scenarios{{{"replicas", runReplicasSeed},
                                                  {"calls", runCallsSeed},
                                                  {"quota", runQuotaSeed},
                                                  {"config", runConfigSeed},
                                                  {"control", runControlSeed}}};

using Failures = std::map<std::uint64_t, Violations>;

/// Runs `count` seeds, starting at `first`, on several threads, and returns the violations by seed.
/// Each seed is independent of the others.
Failures soak(const NamedScenario &scenario, std::uint64_t first, std::uint64_t count,
              unsigned threads) {
  Failures failures;
  std::mutex lock;
  std::atomic<std::uint64_t> next{0};
  auto runSeeds = [&] {
    for (auto i = next++; i < count; i = next++) {
      auto found = scenario.run(first + i, {});
      if (found.empty())
        continue;
      std::scoped_lock guard(lock);
      failures[first + i] = found;
    }
  };
  std::vector<std::jthread> pool;
  for (unsigned i = 0; i < threads; ++i)
    pool.emplace_back(runSeeds);
  pool.clear();
  return failures;
}

void print(const NamedScenario &scenario, std::uint64_t count, const Failures &failures,
           const std::string &program) {
  std::cout << scenario.name << ": " << count << " seeds, " << failures.size() << " failed\n";
  for (auto &[seed, violations] : failures) {
    std::cout << "  seed " << seed << ": " << program << " --scenario " << scenario.name
              << " --first " << seed << " --seeds 1\n";
    for (auto &it : violations)
      std::cout << "    " << it << '\n';
  }
  std::cout << std::flush;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"Runs the seeded fault scenarios of the promises."};
  std::uint64_t seeds = 1000;
  std::uint64_t first = 1;
  unsigned threads = MaxThreads;
  std::string name = "all";
  std::vector<std::string> names{"all"};
  for (auto &it : Scenarios)
    names.emplace_back(it.name);
  app.add_option("--seeds", seeds, "number of seeds")->check(CLI::PositiveNumber);
  app.add_option("--first", first, "first seed");
  app.add_option("--threads", threads, "threads")->check(CLI::Range(1U, MaxThreads));
  app.add_option("--scenario", name, "scenario")->check(CLI::IsMember(names));
  CLI11_PARSE(app, argc, argv);

  bool failed = false;
  for (auto &it : Scenarios) {
    if (name != "all" && name != it.name)
      continue;
    auto failures = soak(it, first, seeds, threads);
    print(it, seeds, failures, argv[0]);
    failed = failed || !failures.empty();
  }
  return failed ? 1 : 0;
}
