#include "fleet_demand_p.h"

#include "config.h"

#include <algorithm>

namespace catkin {

namespace {

constexpr Duration NeedLifetime = 3 * config::FleetNeedRepeatInterval;
// Covers four reports of a host in a large fleet, which reports only at every second interval.
constexpr Duration ReportLifetime = 8 * config::FleetDemandInterval;
// Age of the lease by which every host has reported once or twice to a new planner.
constexpr Duration FirstReportsTime = std::chrono::milliseconds(1200);
// While every host has observed requests for less time, the demand is known only in part.
constexpr Duration DemandSettleTime = std::chrono::seconds(3);
// A request uses its adapter for about the length of a stream.
constexpr double AdapterUseSeconds = 2.5;

using Demand = PlacementInput::DemandState;

/// Returns how well the demand is known. `observed` is the longest observation time of all hosts.
Demand classifyDemand(bool anyReport, Duration leaseAge, Duration observed) {
  if (!anyReport || leaseAge < FirstReportsTime)
    return Demand::Unknown;
  if (observed == Duration::zero())
    return Demand::None;
  return observed < DemandSettleTime ? Demand::Partial : Demand::Known;
}

/// Adds one reported rate to the demand of its model.
void addUse(const ModelRequestRate &use, PlacementInput &input,
            std::map<ModelRef, double> &adapterRates) {
  auto &demand = input.demand[use.model.model];
  demand.perSecond += use.perSecond;
  demand.recentPerSecond += use.recentPerSecond;
  if (use.model.adapter.empty())
    return;
  demand.adapterPerSecond += use.perSecond;
  adapterRates[use.model] += use.perSecond;
}

/// Adds the requests that run on an engine.
void addRunning(const std::map<ModelRef, int> &running, PlacementEngine &engine) {
  for (auto &[ref, n] : running) {
    engine.inFlight[ref.model] += n;
    if (!ref.adapter.empty() && n > 0)
      engine.adaptersInUse.insert(ref);
  }
}

} // namespace

Duration FleetDemand::onNeed(const ModelNeed &need, const Address &from, Instant now) {
  auto &hosts = needs[{need.service, need.model}];
  if (need.waiting <= 0) {
    hosts.erase(need.host);
    return Duration::zero();
  }
  auto &pending = hosts.try_emplace(need.host, Need{.waitingSince = now}).first->second;
  pending.from = from;
  pending.waiting = need.waiting;
  pending.updatedAt = now;
  return now - pending.waitingSince;
}

void FleetDemand::expire(Instant now) {
  std::erase_if(reports, [&](auto &it) { return now - it.second.receivedAt > ReportLifetime; });
  for (auto &[key, hosts] : needs)
    std::erase_if(hosts, [&](auto &it) { return now - it.second.updatedAt > NeedLifetime; });
  std::erase_if(needs, [](auto &it) { return it.second.empty(); });
}

void FleetDemand::fillPlacementInput(const ServiceName &service, Duration leaseAge,
                                     PlacementInput &input) {
  expire(input.now);
  addReports(service, leaseAge, input);
  addNeeds(service, input);
}

void FleetDemand::addReports(const ServiceName &service, Duration leaseAge, PlacementInput &input) {
  std::map<EndpointName, std::map<ModelRef, int>> running;
  std::map<ModelRef, double> adapterRates;
  Duration observed{};
  for (auto &[host, it] : reports) {
    observed = std::max(observed, it.report.observed);
    for (auto &run : it.report.running)
      running[run.endpoint][run.model] += run.inFlight;
    for (auto &use : it.report.requestRates)
      if (use.service == service)
        addUse(use, input, adapterRates);
  }
  for (auto &[ref, rate] : adapterRates)
    input.demand[ref.model].adaptersInUse += std::min(1.0, rate * AdapterUseSeconds);
  for (auto &it : input.engines)
    addRunning(running[it.name], it);
  input.demandState = classifyDemand(!reports.empty(), leaseAge, observed);
}

void FleetDemand::addNeeds(const ServiceName &service, PlacementInput &input) {
  for (auto &[key, hosts] : needs) {
    auto &[owner, ref] = key;
    if (owner != service)
      continue;
    auto &demand = input.demand[ref.model];
    for (auto &[host, need] : hosts) {
      const Duration waited = input.now - need.waitingSince;
      demand.waiting += need.waiting;
      demand.oldestWait = std::max(demand.oldestWait, waited);
      if (ref.adapter.empty())
        continue;
      auto &adapter = input.adaptersWaiting[ref];
      adapter.waiting += need.waiting;
      adapter.oldestWait = std::max(adapter.oldestWait, waited);
    }
  }
}

std::set<Address> FleetDemand::waitingHosts(const ServiceName &service,
                                            const ModelName &model) const {
  std::set<Address> out;
  for (auto &[key, hosts] : needs)
    if (key.first == service && key.second.model == model)
      for (auto &[host, need] : hosts)
        out.insert(need.from);
  return out;
}

bool FleetDemand::isFailingForMost(const EndpointName &name) const {
  std::ptrdiff_t failing = 0;
  for (auto &[host, it] : reports)
    failing += std::count(it.report.failing.begin(), it.report.failing.end(), name);
  return failing >= 2 && failing * 2 > static_cast<std::ptrdiff_t>(reports.size());
}

} // namespace catkin
