#pragma once

#include "env_p.h"
#include "fleet_planner_p.h"
#include "object_follower_p.h"

#include <functional>
#include <map>
#include <random>
#include <string>

/// Fakes for the fleet's decision code: a virtual clock, a store and engines that carry out orders,
/// refuse them by the rules of the platform, and can lose answers.
namespace catkin::fleet {

class FakeStore : public ObjectStore {
public:
  explicit FakeStore(std::function<void(Duration, Task)> after) : after(std::move(after)) {}
  void get(const std::string &key, StoreGetDone done) override;
  void put(const std::string &key, std::string value, std::uint64_t expected,
           StoreGetDone done) override;
  void erase(const std::string &key, std::uint64_t expected, StoreGetDone done) override;

  bool down = false;
  std::map<std::string, StoreObject> objects;

private:
  void answer(StoreGetDone done, StoreStatus status, const StoreObject &object);

  std::function<void(Duration, Task)> after;
  std::uint64_t revision = 0;
};

class FakeEnv : public CoreEnv {
public:
  FakeEnv() : store([this](Duration d, Task t) { after(d, std::move(t)); }) {}
  Instant now() const override { return time; }
  std::int64_t wallSeconds() const override { return 0; }
  std::uint64_t random() override { return generator(); }
  void after(Duration d, Task task) override { tasks.emplace(time + d, std::move(task)); }
  ObjectStore &platform() override { return store; }
  void decision(const Decision &) override {}
  /// Runs everything that is due within `d`.
  void run(Duration d);

  FakeStore store;

private:
  Instant time{std::chrono::hours(1)};
  std::multimap<Instant, Task> tasks;
  std::mt19937_64 generator{1};
};

/// An engine with the platform's rules for orders.
struct FakeFleetEngine {
  FleetEndpoint entry;
  std::vector<HeldModel> models;
  std::vector<ModelName> onDisk;
  std::uint64_t orderCount = 0;
  std::uint64_t highestTerm = 0;
  std::optional<EngineCommand> underWay;
  Instant readyAt;
  bool reachable = true;
  int loseAnswers = 0;   ///< of the next commands, which are not carried out
  Duration unloadTime{}; ///< runs of the model end meanwhile
  bool overcommitted = false;
  int remoteLoads = 0;
  int commands = 0;
};

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
  CommandResult accept(FakeFleetEngine &engine, const EngineCommand &command);
  void settle(FakeFleetEngine &engine);
  Duration loadTime(FakeFleetEngine &engine, const ModelRef &model);

  FakeEnv &env;
  const EngineSpec &spec;
};

/// A service with engines of `megabytes` and models of 60 GB each, named m0 to m(n-1).
FleetConfig makeFleetConfig(int models, double megabytes);

constexpr auto EngineService = "llm";

} // namespace catkin::fleet
