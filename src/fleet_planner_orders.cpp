#include "fleet_planner_impl_p.h"

#include <algorithm>
#include <utility>

namespace catkin {

namespace {

// An adapter loads within about 10 ms. A request that arrives too early is refused without being
// run.
constexpr Duration AdapterLoadTime = std::chrono::milliseconds(25);
// Time that an engine needs to unload a model that no request uses.
constexpr Duration UnloadTime = std::chrono::milliseconds(90);
constexpr int MaxUnloadChecks = 4;
constexpr int MaxCommandSends = 4; // attempts for one order whose answers are lost
constexpr Duration RejectedOrderPause = std::chrono::milliseconds(400);
constexpr Duration OrderPermitWait = std::chrono::milliseconds(500);

} // namespace

void FleetPlanner::Impl::startOrder(EngineRecord &record, const PlacementOrder &order,
                                    const EngineSpec &spec) {
  bool ofModel = order.model.adapter.empty();
  const Instant now = env.now();
  if (record.sending || (ofModel && record.active) || now < record.pausedUntil)
    return;
  ActiveOrder active{
      .order = order, .orderCountBefore = record.holdings.orderCount, .startedAt = now};
  active.dueAt = now + record.expectedLoadTime(order, spec);
  if (order.remote)
    remoteLoadStarts.push_back(now);
  if (ofModel)
    reserve(record, order);
  logLine(LogLevel::Info, "order",
          {{"endpoint", record.entry.name.value},
           {"action", toString(order.action)},
           {"model", toText(order.model)},
           {"reason", toString(order.reason)},
           {"remote", order.remote},
           {"term", term()},
           {"order_count", active.orderCountBefore}});
  record.sending = std::move(active);
  if (order.action == PlacementAction::Unload)
    broadcastNotice(record);
  send(record);
}

void FleetPlanner::Impl::reserve(EngineRecord &record, const PlacementOrder &order) {
  record.reservedFor.reset();
  if (order.action != PlacementAction::Unload || order.nextModel.empty())
    return;
  record.reservedFor = order.nextModel;
  record.reservationReason = order.nextReason;
  record.reservedAt = env.now();
}

EngineCommand FleetPlanner::Impl::makeCommand(const PlacementOrder &order,
                                              std::uint64_t expectedOrderCount) const {
  return {.action = order.action,
          .model = order.model,
          .term = term(),
          .holder = options.host,
          .expectedOrderCount = expectedOrderCount};
}

void FleetPlanner::Impl::send(EngineRecord &record) {
  withPermit(
      record, OrderPermitWait, [this](EngineRecord &it) { sendNow(it); },
      [this](EngineRecord &it, Duration d) {
        onCommandDone(it, CommandResult::NotSent);
        it.pausedUntil = std::max(it.pausedUntil, env.now() + d);
        it.nextStatus = env.now() + d;
      });
}

void FleetPlanner::Impl::sendNow(EngineRecord &record) {
  if (!record.sending)
    return;
  if (!canOrder()) // the lease may have been lost during a wait for a permit
    return onCommandDone(record, CommandResult::NotSent);
  auto &sending = *record.sending;
  ++sending.sendCount;
  logCallUnderLimit(record, "order");
  engines.sendCommand(
      record.entry, makeCommand(sending.order, sending.orderCountBefore),
      bindToEngine(record, [this](auto &it, CommandResult result) { onCommandDone(it, result); }));
}

void FleetPlanner::Impl::onCommandDone(EngineRecord &record, CommandResult result) {
  if (!record.sending)
    return;
  auto order = *std::exchange(record.sending, std::nullopt);
  if (result == CommandResult::Accepted || result == CommandResult::AlreadyHolds)
    return onCommandAccepted(record, order, result);
  logLine(LogLevel::Warn, "order not accepted",
          {{"endpoint", record.entry.name.value},
           {"model", toText(order.order.model)},
           {"result", toString(result)},
           {"sends", order.sendCount}});
  if (result == CommandResult::Unknown && order.sendCount < MaxCommandSends && isActive() &&
      fencedTerm != term()) {
    // All copies have the same expected order count, so at most one takes effect.
    record.sending = order;
    return send(record);
  }
  if (result == CommandResult::Unknown || order.sendCount > 1)
    record.unresolved.push_back(order); // a copy may have been accepted, or may still be
  if (result == CommandResult::WrongEngine)
    record.hasStatus = false;
  if (result == CommandResult::Fenced) {
    fencedTerm = term();
    logLine(LogLevel::Warn, "orders stopped, an engine knows a newer planner",
            {{"term", fencedTerm}});
  }
  record.pausedUntil = env.now() + RejectedOrderPause;
  record.nextStatus = env.now();
}

void FleetPlanner::Impl::onCommandAccepted(EngineRecord &record, const ActiveOrder &order,
                                           CommandResult result) {
  auto now = env.now();
  // The engine unloads an adapter at once, so it answers AlreadyHolds although it has carried out
  // and counted the order.
  const bool droppedAdapter = !order.order.model.adapter.empty() &&
                              order.order.action == PlacementAction::Unload &&
                              holds(record.holdings.models, order.order.model);
  if (result == CommandResult::Accepted || droppedAdapter)
    record.holdings.orderCount = std::max(record.holdings.orderCount, order.orderCountBefore + 1);
  if (!order.order.model.adapter.empty())
    return onAdapterOrderAccepted(record, order.order);
  record.nextStatus = std::max(now, order.dueAt);
  if (result == CommandResult::AlreadyHolds) {
    record.nextStatus = now;
    if (order.order.action == PlacementAction::Unload)
      record.removeHolding(order.order.model);
    return;
  }
  record.busy = true;
  record.active = order;
  if (order.order.remote)
    storeLoadMeter.onStarted(record.entry.name, order.dueAt - order.startedAt, now);
  if (order.order.action == PlacementAction::Unload)
    runLater(UnloadTime, record, [this](EngineRecord &it) { checkUnload(it); });
  else if (!order.order.remote)
    runLater(order.dueAt + config::FleetLocalLoadMargin - now, record,
             [this, model = order.order.model.model](EngineRecord &it) {
               notifyWaitingHosts(it, model);
             });
}

void FleetPlanner::Impl::checkUnload(EngineRecord &record) {
  if (!record.active || record.active->order.action != PlacementAction::Unload || record.sending ||
      !canOrder())
    return;
  withPermit(
      record, Duration::zero(), [this](EngineRecord &it) { repeatUnload(it); },
      [this](EngineRecord &it, Duration) { onUnloadChecked(it, CommandResult::Busy); });
}

void FleetPlanner::Impl::repeatUnload(EngineRecord &record) {
  if (!record.active || !canOrder())
    return;
  logCallUnderLimit(record, "order");
  engines.sendCommand(record.entry, makeCommand(record.active->order, record.holdings.orderCount),
                      bindToEngine(record, [this](auto &it, CommandResult result) {
                        onUnloadChecked(it, result);
                      }));
}

void FleetPlanner::Impl::onUnloadChecked(EngineRecord &record, CommandResult result) {
  if (!record.active || record.active->order.action != PlacementAction::Unload)
    return;
  if (result != CommandResult::AlreadyHolds) {
    // Requests of the model are still running. After the last check, reports show the end.
    if (result == CommandResult::Busy && ++record.active->unloadChecks < MaxUnloadChecks)
      runLater(UnloadTime, record, [this](EngineRecord &it) { checkUnload(it); });
    return;
  }
  logLine(LogLevel::Info, "unload confirmed",
          {{"endpoint", record.entry.name.value},
           {"model", toText(record.active->order.model)},
           {"took_ms", toMillis(env.now() - record.active->startedAt)}});
  record.removeHolding(record.active->order.model);
  record.active.reset();
  record.busy = false;
  planAfterEvent();
}

void FleetPlanner::Impl::onAdapterOrderAccepted(EngineRecord &record, const PlacementOrder &order) {
  if (order.action == PlacementAction::Unload) {
    record.removeHolding(order.model);
    planAfterEvent();
    return;
  }
  record.unresolved.push_back(ActiveOrder{.order = order, .orderCountBefore = UINT64_MAX});
  runLater(AdapterLoadTime, record,
           [this, model = order.model](EngineRecord &it) { onAdapterReady(it, model); });
}

void FleetPlanner::Impl::onAdapterReady(EngineRecord &record, const ModelRef &ref) {
  auto now = env.now();
  std::erase_if(record.unresolved, [&](auto &it) { return it.order.model == ref; });
  addAdapter(record.holdings.models, ref);
  record.adapterReadyAt[ref] = now;
  record.adapterUsedAt[ref] = now;
  notifyWaitingHosts(record, ref.model);
  planAfterEvent();
}

} // namespace catkin
