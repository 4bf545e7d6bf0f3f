#pragma once

#include "config.h"
#include "engine_record_p.h"
#include "fleet_demand_p.h"
#include "fleet_planner_p.h"
#include "holdings_notifier_p.h"
#include "log_p.h"
#include "store_load_meter_p.h"
#include "work_share_p.h"

#include <deque>
#include <utility>

/// State and steps of the planner: records, status and planning (fleet_planner.cpp), orders to
/// engines (fleet_planner_orders.cpp), messages of and to hosts (fleet_planner_messages.cpp).
namespace catkin {

struct FleetPlanner::Impl : std::enable_shared_from_this<FleetPlanner::Impl> {
  CoreEnv &env;
  FleetView &view;
  EngineControl &engines;
  FleetPlannerOptions options;
  FleetPlannerLinks links;
  std::unique_ptr<Lease> lease;
  std::map<EndpointName, EngineRecord> records;
  FleetDemand demand;
  std::deque<Instant> remoteLoadStarts; ///< starts of loads within the window of the store's limit
  StoreLoadMeter storeLoadMeter;
  HoldingsNotifier notifier;
  Instant acquiredAt;
  WorkShare planningShare;      ///< limits the share of time spent on planning
  std::uint64_t fencedTerm = 0; ///< own term that an engine has rejected for a newer one
  bool stopped = false;

  Impl(CoreEnv &env, FleetView &view, EngineControl &engines, FleetPlannerOptions options,
       FleetPlannerLinks links)
      : env(env), view(view), engines(engines), options(std::move(options)),
        links(std::move(links)) {}

  bool isActive() const { return lease->isHeld() && env.now() < lease->validUntil(); }
  std::uint64_t term() const { return lease->newest().term; }
  /// True if orders may be sent: the lease is valid, the delay after its acquisition is over, and
  /// no engine has rejected the term.
  bool canOrder() const;

  void onAcquired(const LeaseRecord &mine);

  /// One planning interval: updates the records, polls engines, plans, and sends notices.
  void tick();

  /// Updates the records to the registrations: adds new engines, resets restarted ones and removes
  /// those that are no longer registered.
  void syncRecords();

  void forgetEngine(const EndpointName &engine);

  /// Returns a callback that calls `step` with the engine's record and the callback's arguments,
  /// unless the engine has restarted or been removed. It keeps the planner alive.
  template <class Step> auto bindToEngine(const EngineRecord &record, Step step) {
    return [self = shared_from_this(), name = record.entry.name,
            incarnation = record.entry.incarnation, step = std::move(step)](const auto &...args) {
      auto it = self->records.find(name);
      if (it != self->records.end() && it->second.entry.incarnation == incarnation)
        step(it->second, args...);
    };
  }

  void pollStatus(EngineRecord &record, Instant now);

  void requestStatus(EngineRecord &record);

  /// Time between two status calls to the engine.
  Duration statusInterval(const EngineRecord &record) const;

  /// Runs `step` once a call to the engine is permitted, within `maxDelay`. Otherwise runs `denied`
  /// with the time until a permit is likely.
  template <class Step, class Denied>
  void withPermit(EngineRecord &record, Duration maxDelay, Step step, Denied denied) {
    const bool needsPermit = links.acquirePermit && view.limitOf(record.entry).perSecond;
    if (!needsPermit)
      return step(record);
    links.acquirePermit(
        incarnationOf(record.entry), maxDelay,
        bindToEngine(record, [this, step, denied](EngineRecord &it, const Permit &permit) {
          if (!permit.granted)
            denied(it, permit.delay);
          else if (permit.delay > Duration::zero())
            runLater(permit.delay, it, step);
          else
            step(it);
        }));
  }

  /// Logs a call to an engine that has named a limit of requests, since it counts as a request.
  void logCallUnderLimit(const EngineRecord &record, std::string_view call) const;

  void onStatus(EngineRecord &record, const std::optional<EngineStatus> &status);

  /// Ends the active order once the engine has carried it out.
  void completeActiveOrder(EngineRecord &record, Instant now);

  // ---- Planning --------------------------------------------------------------------------------

  /// Plans after an event, unless planning would take too large a share of the time. In that case
  /// the next tick plans for all events since the last round.
  void planAfterEvent();

  void planAll();

  void planService(const FleetService &service);

  PlacementInput makePlacementInput(const FleetService &service);

  // ---- Orders ----------------------------------------------------------------------------------

  void startOrder(EngineRecord &record, const PlacementOrder &order, const EngineSpec &spec);

  /// Reserves the engine for the load that an unload makes room for. Any other order ends the
  /// reservation.
  void reserve(EngineRecord &record, const PlacementOrder &order);

  EngineCommand makeCommand(const PlacementOrder &order, std::uint64_t expectedOrderCount) const;

  void send(EngineRecord &record);

  void sendNow(EngineRecord &record);

  void onCommandDone(EngineRecord &record, CommandResult result);

  void onCommandAccepted(EngineRecord &record, const ActiveOrder &order, CommandResult result);

  /// Runs `step` after `d`, unless the engine has restarted or been removed by then.
  template <class Step> void runLater(Duration d, const EngineRecord &record, Step step) {
    env.after(d, bindToEngine(record, std::move(step)));
  }

  /// Sends the unload again: its answer shows whether it is complete, sooner than a report would.
  void checkUnload(EngineRecord &record);

  void repeatUnload(EngineRecord &record);

  void onUnloadChecked(EngineRecord &record, CommandResult result);

  /// Completes an adapter order after a short pause. Adapters load within milliseconds and do not
  /// make the engine busy.
  void onAdapterOrderAccepted(EngineRecord &record, const PlacementOrder &order);

  void onAdapterReady(EngineRecord &record, const ModelRef &ref);

  // ---- Messages --------------------------------------------------------------------------------

  /// Sends the engine's holdings to all hosts at once, before the engine refuses requests for the
  /// unloaded model.
  void broadcastNotice(const EngineRecord &record);

  /// Sends the engine's holdings to hosts whose requests wait for the model or one of its adapters.
  /// The other hosts get them with the next notices.
  void notifyWaitingHosts(const EngineRecord &record, const ModelName &model);

  void notifyHost(const EngineRecord &record, const Address &host);

  /// Sends the notices that are due to all hosts, NoticesPerMessage in each message.
  void broadcastDueNotices();

  void onNeed(const ModelNeed &need, const Address &from);

  void onDemand(const DemandReport &report);

  /// Updates the last use of an adapter. The rate is a moving average that falls after the last
  /// use, so adapters below JustUsed keep their older time.
  void recordAdapterUse(const ModelRequestRate &use);
};

} // namespace catkin
