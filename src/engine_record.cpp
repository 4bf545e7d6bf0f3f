#include "engine_record_p.h"

#include "config.h"

namespace catkin {

namespace {

constexpr int StatusFailuresUnreachable = 2;
constexpr Duration ReservationTime =
    std::chrono::seconds(3); // runs of a dropped model may end late
constexpr Duration ReportLag = std::chrono::milliseconds(600);

void addPending(PlacementEngine &engine, const PlacementOrder &order) {
  HeldModel held{order.model.model, {}};
  if (!order.model.adapter.empty())
    held.adapters.push_back(order.model.adapter);
  engine.pending.push_back(std::move(held));
}

} // namespace

bool EngineRecord::silent() const { return statusFailures >= StatusFailuresUnreachable; }

std::vector<HeldModel> EngineRecord::staying() const {
  auto models = holdings.models;
  for (auto *it : {&sending, &active})
    if (*it && (*it)->order.action == PlacementAction::Unload)
      removeModelOrAdapter(models, (*it)->order.model);
  return models;
}

LoadedModels EngineRecord::available(Instant now) const {
  LoadedModels out{.orderCount = holdings.orderCount, .models = staying()};
  const bool loaded = active && active->order.action == PlacementAction::Load &&
                      !active->order.remote && now >= active->dueAt + config::FleetLocalLoadMargin;
  if (loaded && !holds(out.models, active->order.model))
    out.models.push_back({active->order.model.model, {}});
  return out;
}

PlacementEngine EngineRecord::describe(bool avoided, Instant now) const {
  PlacementEngine engine{.name = entry.name};
  const bool leaving = entry.liveness != Liveness::Live;
  engine.usable = reachable() && !leaving && !avoided;
  engine.idle = !active && !busy && !sending && now >= pausedUntil;
  if (now - reservedAt < ReservationTime)
    engine.reservedFor = reservedFor;
  engine.reservedBecause = reservedBecause;
  engine.loadsFromStore = active && active->order.remote;
  engine.models = staying();
  engine.inMemory.insert(holdings.inMemory.begin(), holdings.inMemory.end());
  engine.onDisk.insert(holdings.onDisk.begin(), holdings.onDisk.end());
  engine.loadedAt = loadedAt;
  engine.adapterUsedAt = adapterUsedAt;
  // What is being dropped takes room until the engine says that it is gone.
  for (auto *it : {&sending, &active})
    if (*it)
      addPending(engine, (*it)->order);
  for (auto &it : unresolved)
    if (it.order.action == PlacementAction::Load && !holds(engine.models, it.order.model))
      addPending(engine, it.order);
  return engine;
}

int EngineRecord::storeLoadsUnderWay() const {
  int n = 0;
  for (auto *it : {&sending, &active})
    n += *it && (*it)->order.remote ? 1 : 0;
  return n;
}

void EngineRecord::drop(const ModelRef &ref) {
  adapterReadyAt.erase(ref);
  removeModelOrAdapter(holdings.models, ref);
}

void EngineRecord::keepFreshAdapters(Instant now) {
  std::erase_if(adapterReadyAt, [&](auto &it) { return now - it.second >= ReportLag; });
  for (auto &[ref, at] : adapterReadyAt)
    addAdapter(holdings.models, ref);
}

Duration EngineRecord::expectedTime(const PlacementOrder &order, const EngineSpec &spec) const {
  auto it = spec.models.find(order.model.model);
  if (!order.model.adapter.empty() || order.action == PlacementAction::Unload ||
      it == spec.models.end())
    return Duration(0);
  return loadTime(it->second, sourceOf(holdings, order.model.model));
}

} // namespace catkin
