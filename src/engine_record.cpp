#include "engine_record_p.h"

#include "config.h"

namespace catkin {

namespace {

constexpr int StatusFailuresUntilSilent = 2;
// An unload completes only after the last request of the model, which may run for long.
constexpr Duration ReservationTime = std::chrono::seconds(3);
// A status may lack adapters that were loaded less than this time ago.
constexpr Duration ReportLag = std::chrono::milliseconds(600);

void addPending(PlacementEngine &engine, const PlacementOrder &order) {
  HeldModel held{order.model.model, {}};
  if (!order.model.adapter.empty())
    held.adapters.push_back(order.model.adapter);
  engine.pending.push_back(std::move(held));
}

} // namespace

bool EngineRecord::isSilent() const { return statusFailures >= StatusFailuresUntilSilent; }

std::vector<HeldModel> EngineRecord::remainingModels() const {
  auto models = holdings.models;
  for (auto *it : {&sending, &active})
    if (*it && (*it)->order.action == PlacementAction::Unload)
      removeModelOrAdapter(models, (*it)->order.model);
  return models;
}

LoadedModels EngineRecord::availableModels(Instant now) const {
  LoadedModels out{.orderCount = holdings.orderCount, .models = remainingModels()};
  const bool loaded = active && active->order.action == PlacementAction::Load &&
                      !active->order.remote && now >= active->dueAt + config::FleetLocalLoadMargin;
  if (loaded && !holds(out.models, active->order.model))
    out.models.push_back({active->order.model.model, {}});
  return out;
}

PlacementEngine EngineRecord::toPlacementEngine(bool avoided, Instant now) const {
  PlacementEngine engine{.name = entry.name};
  const bool leaving = entry.liveness != Liveness::Live;
  engine.usable = isReachable() && !leaving && !avoided;
  engine.idle = !active && !busy && !sending && now >= pausedUntil;
  if (now - reservedAt < ReservationTime)
    engine.reservedFor = reservedFor;
  engine.reservationReason = reservationReason;
  engine.loadsFromStore = active && active->order.remote;
  engine.models = remainingModels();
  engine.inMemory.insert(holdings.inMemory.begin(), holdings.inMemory.end());
  engine.onDisk.insert(holdings.onDisk.begin(), holdings.onDisk.end());
  engine.loadedAt = loadedAt;
  engine.adapterUsedAt = adapterUsedAt;
  // A model uses memory until the engine reports that it is unloaded.
  for (auto *it : {&sending, &active})
    if (*it)
      addPending(engine, (*it)->order);
  for (auto &it : unresolved)
    if (it.order.action == PlacementAction::Load && !holds(engine.models, it.order.model))
      addPending(engine, it.order);
  return engine;
}

int EngineRecord::remoteLoadCount() const {
  int n = 0;
  for (auto *it : {&sending, &active})
    n += *it && (*it)->order.remote ? 1 : 0;
  return n;
}

void EngineRecord::removeHolding(const ModelRef &ref) {
  adapterReadyAt.erase(ref);
  removeModelOrAdapter(holdings.models, ref);
}

void EngineRecord::addUnreportedAdapters(Instant now) {
  std::erase_if(adapterReadyAt, [&](auto &it) { return now - it.second >= ReportLag; });
  for (auto &[ref, at] : adapterReadyAt)
    addAdapter(holdings.models, ref);
}

Duration EngineRecord::expectedLoadTime(const PlacementOrder &order, const EngineSpec &spec) const {
  auto it = spec.models.find(order.model.model);
  if (!order.model.adapter.empty() || order.action == PlacementAction::Unload ||
      it == spec.models.end())
    return Duration(0);
  return loadTime(it->second, sourceOf(holdings, order.model.model));
}

} // namespace catkin
