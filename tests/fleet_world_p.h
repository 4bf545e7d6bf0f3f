#pragma once

#include "env_p.h"
#include "fleet_planner_p.h"
#include "object_follower_p.h"

#include <functional>
#include <map>
#include <random>
#include <string>

/// Fakes for tests of the fleet's decision code: a virtual clock, an object store, and engines that
/// execute orders, refuse them by the platform's rules and can drop commands.
namespace catkin::fleet {

/// An object store in memory. Answers arrive after a fixed delay; while `down` is set, reads and
/// writes fail with Unreachable.
class FakeStore : public ObjectStore {
public:
  explicit FakeStore(std::function<void(Duration, Task)> after) : after(std::move(after)) {}
  void get(const std::string &key, StoreGetDone done) override;
  void put(const std::string &key, std::string value, std::uint64_t expected,
           StoreGetDone done) override;
  void erase(const std::string &key, std::uint64_t expected, StoreGetDone done) override;

  /// Comes back with these objects, in the next era. Versions go back to `version`.
  void restore(std::map<std::string, StoreObject> copy, std::uint64_t version);
  std::uint64_t version() const { return revision; }

  bool down = false;
  int reads = 0; ///< calls of get()
  std::map<std::string, StoreObject> objects;

private:
  void answer(StoreGetDone done, StoreStatus status, const StoreObject &object);

  std::function<void(Duration, Task)> after;
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
};

/// An environment with a virtual clock, a fixed random seed and a `FakeStore`.
class FakeEnv : public CoreEnv {
public:
  FakeEnv() : store([this](Duration d, Task t) { after(d, std::move(t)); }) {}
  Instant now() const override { return time; }
  std::int64_t wallSeconds() const override { return 0; }
  std::uint64_t random() override { return generator(); }
  void after(Duration d, Task task) override { tasks.emplace(time + d, std::move(task)); }
  ObjectStore &platform() override { return store; }
  void decision(const Decision &) override {}
  /// Runs all tasks that are due within `d` and advances the clock by `d`.
  void run(Duration d);

  FakeStore store;

private:
  Instant time{std::chrono::hours(1)};
  std::multimap<Instant, Task> tasks;
  std::mt19937_64 generator{1};
};

/// State of one fake engine that follows the platform's rules for orders.
struct FakeFleetEngine {
  FleetEndpoint entry;
  std::vector<HeldModel> models;
  std::vector<ModelName> onDisk;
  std::uint64_t orderCount = 0;
  std::uint64_t highestTerm = 0;
  std::optional<EngineCommand> activeCommand;
  Instant commandEndTime;
  bool reachable = true;
  int commandsToLose = 0;     ///< number of next commands to drop, which report Unknown
  Duration unloadTime{};      ///< until the runs of the model have ended
  bool overcommitted = false; ///< an order exceeded the memory or the adapter limit
  int remoteLoadCount = 0;
  int commandCount = 0;
  int statusCount = 0;
  int callCount() const { return commandCount + statusCount; }
};

/// Executes the planner's commands on fake engines, with delays.
class FakeEngines : public EngineControl {
public:
  FakeEngines(FakeEnv &env, const EngineSpec &spec) : env(env), spec(spec) {}
  void sendCommand(const FleetEndpoint &to, const EngineCommand &command,
                   CommandDone done) override;
  void requestStatus(const FleetEndpoint &to, StatusDone done) override;
  /// Adds an engine that holds `models`, and registers it in the view.
  FakeFleetEngine &add(FleetView &view, const std::string &name,
                       const std::vector<std::string> &models);
  bool holdsModel(const std::string &engine, const std::string &model);

  std::map<EndpointName, FakeFleetEngine> engines;

private:
  /// Checks the term and the order count, then starts or executes the command.
  CommandResult applyCommand(FakeFleetEngine &engine, const EngineCommand &command);
  /// Completes the active command once its time has passed.
  void finishDueCommand(FakeFleetEngine &engine);
  /// Returns the load time of `model` from the engine's disk or, without a copy, from the store.
  Duration loadTime(FakeFleetEngine &engine, const ModelRef &model);

  FakeEnv &env;
  const EngineSpec &spec;
};

/// Returns a configuration with one service whose engines have `megabytes` of memory, and `models`
/// models of 60 GB each, named m0, m1 and so on.
FleetConfig makeFleetConfig(int models, double megabytes);

constexpr auto EngineService = "llm";

} // namespace catkin::fleet
