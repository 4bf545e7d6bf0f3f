#include "fleet_world_p.h"

#include <algorithm>

namespace catkin::fleet {

namespace {

constexpr Duration StoreDelay = std::chrono::milliseconds(4);
constexpr Duration EngineDelay = std::chrono::milliseconds(2);
constexpr Duration LostAnswerTimeout = std::chrono::milliseconds(600);
constexpr Duration ReportLag = std::chrono::milliseconds(100);

} // namespace

void FakeStore::answer(StoreGetDone done, StoreStatus status, const StoreObject &object) {
  StoreObject answered = object;
  answered.era = status == StoreStatus::Unreachable ? 0 : era;
  after(StoreDelay, [done = std::move(done), status, answered] { done(status, answered); });
}

void FakeStore::restore(std::map<std::string, StoreObject> copy, std::uint64_t version) {
  objects = std::move(copy);
  revision = version;
  ++era;
}

void FakeStore::get(const std::string &key, StoreGetDone done) {
  ++reads;
  if (down)
    return answer(std::move(done), StoreStatus::Unreachable, {});
  auto it = objects.find(key);
  bool found = it != objects.end();
  answer(std::move(done), found ? StoreStatus::Ok : StoreStatus::NotFound,
         found ? it->second : StoreObject{});
}

void FakeStore::put(const std::string &key, std::string value, std::uint64_t expected,
                    StoreGetDone done) {
  if (down)
    return answer(std::move(done), StoreStatus::Unreachable, {});
  auto &object = objects[key];
  if (object.version != expected)
    return answer(std::move(done), StoreStatus::Conflict, object);
  object = {key, ++revision, std::move(value)};
  answer(std::move(done), StoreStatus::Ok, object);
}

void FakeStore::erase(const std::string &key, std::uint64_t, StoreGetDone done) {
  objects.erase(key);
  answer(std::move(done), StoreStatus::Ok, {});
}

void FakeEnv::run(Duration d) {
  auto end = time + d;
  while (!tasks.empty() && tasks.begin()->first <= end) {
    auto node = tasks.extract(tasks.begin());
    time = std::max(time, node.key());
    node.mapped()();
  }
  time = end;
}

Duration FakeEngines::loadTime(FakeFleetEngine &engine, const ModelRef &model) {
  auto &it = spec.models.at(model.model);
  bool local = std::count(engine.onDisk.begin(), engine.onDisk.end(), model.model) > 0;
  if (!local)
    ++engine.remoteLoadCount;
  return local ? it.diskLoad : it.remoteLoad;
}

CommandResult FakeEngines::applyCommand(FakeFleetEngine &engine, const EngineCommand &command) {
  finishDueCommand(engine);
  if (command.term < engine.highestTerm)
    return CommandResult::Fenced;
  engine.highestTerm = command.term;
  bool isHeld = holds(engine.models, command.model);
  bool load = command.action == PlacementAction::Load;
  if (engine.activeCommand || command.expectedOrderCount != engine.orderCount)
    return CommandResult::Busy;
  if (isHeld == load)
    return CommandResult::AlreadyHolds;
  ++engine.orderCount;
  if (!command.model.adapter.empty()) {
    for (auto &it : engine.models)
      if (it.model == command.model.model && load)
        it.adapters.push_back(command.model.adapter);
      else if (it.model == command.model.model)
        std::erase(it.adapters, command.model.adapter);
    // An adapter is unloaded at once, so the requested state already holds in the answer.
    if (!load)
      return CommandResult::AlreadyHolds;
  } else {
    engine.activeCommand = command;
    engine.commandEndTime =
        env.now() + (load ? loadTime(engine, command.model) : engine.unloadTime);
    double needed = load ? spec.models.at(command.model.model).megabytes : 0;
    engine.overcommitted =
        engine.overcommitted || usedMegabytes(spec, engine.models) + needed > spec.megabytes;
  }
  engine.overcommitted = engine.overcommitted || countAdapters(engine.models) > spec.maxAdapters;
  return CommandResult::Accepted;
}

void FakeEngines::finishDueCommand(FakeFleetEngine &engine) {
  if (!engine.activeCommand || env.now() < engine.commandEndTime)
    return;
  auto &model = engine.activeCommand->model.model;
  if (engine.activeCommand->action == PlacementAction::Load) {
    engine.models.push_back({model, {}});
    engine.onDisk.push_back(model);
  } else {
    std::erase_if(engine.models, [&](auto &it) { return it.model == model; });
  }
  engine.activeCommand.reset();
}

void FakeEngines::sendCommand(const FleetEndpoint &to, const EngineCommand &command,
                              CommandDone done) {
  auto &engine = engines.at(to.name);
  ++engine.commandCount;
  if (!engine.reachable)
    return env.after(EngineDelay, [done] { done(CommandResult::NotSent); });
  if (engine.commandsToLose > 0) {
    --engine.commandsToLose;
    return env.after(LostAnswerTimeout, [done] { done(CommandResult::Unknown); });
  }
  env.after(EngineDelay, [this, &engine, command, done] { done(applyCommand(engine, command)); });
}

void FakeEngines::requestStatus(const FleetEndpoint &to, StatusDone done) {
  auto &engine = engines.at(to.name);
  ++engine.statusCount;
  if (!engine.reachable)
    return env.after(LostAnswerTimeout, [done] { done(std::nullopt); });
  finishDueCommand(engine);
  EngineStatus status{.incarnation = engine.entry.incarnation,
                      .busy = engine.activeCommand.has_value(),
                      .holdings = {engine.orderCount, engine.models, {}, engine.onDisk}};
  env.after(ReportLag, [done, status] { done(status); });
}

FakeFleetEngine &FakeEngines::add(FleetView &view, const std::string &name,
                                  const std::vector<std::string> &models) {
  auto &engine = engines[EndpointName(name)];
  engine.entry = {.name = EndpointName(name),
                  .service = ServiceName(EngineService),
                  .address = {"127.0.0.1", 1},
                  .dataCentre = DataCentreName("a"),
                  .slots = 64,
                  .incarnation = 1};
  for (auto &it : models) {
    engine.models.push_back({ModelName(it), {}});
    engine.onDisk.emplace_back(it);
  }
  engine.entry.holdings.models = engine.models;
  view.putEndpoint(engine.entry, env.now());
  return engine;
}

bool FakeEngines::holdsModel(const std::string &engine, const std::string &model) {
  auto &it = engines.at(EndpointName(engine));
  finishDueCommand(it);
  return holds(it.models, {ModelName(model), {}});
}

FleetConfig makeFleetConfig(int models, double megabytes) {
  FleetConfig config{.version = 1, .routes = {}, .services = {}};
  FleetService service{.name = ServiceName(EngineService), .hasEngines = true};
  service.engine.megabytes = megabytes;
  service.engine.maxAdapters = 2;
  service.engine.loadsPerSecond = 2;
  for (int i = 0; i < models; ++i) {
    ModelSpec spec{.name = ModelName("m" + std::to_string(i)),
                   .megabytes = 60'000,
                   .remoteLoad = std::chrono::seconds(6),
                   .diskLoad = std::chrono::milliseconds(800),
                   .memoryLoad = std::chrono::milliseconds(400),
                   .adapterMegabytes = 40};
    service.engine.models.emplace(spec.name, spec);
  }
  config.services.emplace(service.name, service);
  return config;
}

} // namespace catkin::fleet
