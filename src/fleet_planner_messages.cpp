#include "fleet_planner_impl_p.h"

#include <algorithm>
#include <utility>

namespace catkin {

namespace {

constexpr std::size_t NoticesPerMessage = 4;

} // namespace

void FleetPlanner::Impl::broadcastNotice(const EngineRecord &record) {
  const auto now = env.now();
  if (record.hasStatus && isActive())
    links.broadcast(HoldingsNotices{{notifier.makeBroadcastNotice(
        record.entry.name, term(), record.availableModels(now), now)}});
}

void FleetPlanner::Impl::notifyWaitingHosts(const EngineRecord &record, const ModelName &model) {
  for (auto &it : demand.waitingHosts(record.entry.service, model))
    notifyHost(record, it);
}

void FleetPlanner::Impl::notifyHost(const EngineRecord &record, const Address &host) {
  if (!record.hasStatus || !isActive())
    return;
  auto notice =
      notifier.makeUnicastNotice(record.entry.name, term(), record.availableModels(env.now()));
  links.send(host, HoldingsNotices{{std::move(notice)}});
}

void FleetPlanner::Impl::broadcastDueNotices() {
  const auto now = env.now();
  HoldingsNotices message;
  for (auto &[name, record] : records) {
    if (!record.hasStatus)
      continue;
    const auto loaded = record.availableModels(now);
    if (!notifier.isDue(name, loaded.models, now))
      continue;
    message.notices.push_back(notifier.makeBroadcastNotice(name, term(), loaded, now));
    if (message.notices.size() < NoticesPerMessage)
      continue;
    links.broadcast(message);
    message.notices.clear();
  }
  if (!message.notices.empty())
    links.broadcast(message);
}

void FleetPlanner::Impl::onNeed(const ModelNeed &need, const Address &from) {
  if (!isActive())
    return;
  const Duration waited = demand.onNeed(need, from, env.now());
  if (need.waiting <= 0)
    return;
  // The host may have missed the notice that lists the model.
  for (auto &[name, record] : records)
    if (record.entry.service == need.service && holds(record.holdings.models, need.model)) {
      notifyHost(record, from);
      // The engine may also have lost the model.
      if (waited >= config::FleetNeedRepeatInterval)
        record.nextStatus = std::min(record.nextStatus, env.now());
    }
  planAfterEvent();
}

void FleetPlanner::Impl::onDemand(const DemandReport &report) {
  if (!isActive())
    return;
  for (auto &it : report.requestRates)
    if (!it.model.adapter.empty())
      recordAdapterUse(it);
  demand.onReport(report, env.now());
}

void FleetPlanner::Impl::recordAdapterUse(const ModelRequestRate &use) {
  constexpr double JustUsed = 0.1; // requests per second
  if (use.perSecond < JustUsed)
    return;
  for (auto &[name, record] : records)
    if (holds(record.holdings.models, use.model))
      record.adapterUsedAt[use.model] = env.now();
}

} // namespace catkin
