#include "operator_state_p.h"

#include "json_p.h"

#include <algorithm>
#include <array>

namespace catkin {

namespace {

json::array hostsView(const OperatorState &s) {
  json::array out;
  auto live = s.membership.liveMembers(s.now);
  for (auto &it : s.membership.allMembers()) {
    auto entry = std::find_if(live.begin(), live.end(), [&](auto &m) { return m.host == it.host; });
    auto liveness = entry == live.end() ? Liveness::Gone : entry->liveness;
    out.push_back(json::object{{"host", it.host.value},
                               {"data_centre", it.dataCentre.value},
                               {"callers", it.callerAddress.toString()},
                               {"peers", it.peerAddress.toString()},
                               {"liveness", std::string(toString(liveness))},
                               {"overloaded", it.overloaded},
                               {"incarnation", it.incarnation},
                               {"revision", it.revision},
                               {"planner", it.host == s.plannerHost}});
  }
  return out;
}

json::array endpointsView(const OperatorState &s) {
  json::array out;
  for (auto &it : s.planner.endpointReports()) {
    std::uint64_t used = 0;
    for (auto &model : it.models)
      used += model.bytes;
    out.push_back(json::object{{"endpoint", it.endpoint.value},
                               {"generation", it.generation},
                               {"checks_fencing", it.checksFencing},
                               {"leaving", it.leaving},
                               {"memory_bytes", it.memoryBytes},
                               {"used_bytes", used},
                               {"models", it.models.size()},
                               {"running", it.running},
                               {"queued", it.queued},
                               {"term", it.term}});
  }
  return out;
}

json::array replicasView(const OperatorState &s) {
  json::array out;
  for (auto &[endpoint, replicas] : s.planner.replicas())
    for (auto &it : replicas)
      out.push_back(json::object{{"endpoint", endpoint.value},
                                 {"model", it.model.value},
                                 {"state", std::string(toString(it.state))},
                                 {"plan", it.payer.value},
                                 {"bytes", it.bytes},
                                 {"term", it.term},
                                 {"unresolved", it.unresolved}});
  return out;
}

json::array modelsView(const OperatorState &s) {
  json::array out;
  if (!s.lists)
    return out;
  std::map<ModelName, int> loaded;
  std::map<ModelName, int> placed;
  for (auto &[endpoint, replicas] : s.planner.replicas())
    for (auto &it : replicas) {
      ++placed[it.model];
      loaded[it.model] += it.state == ReplicaState::Loaded ? 1 : 0;
    }
  for (auto &[name, it] : s.lists->models)
    out.push_back(json::object{{"model", name.value},
                               {"base", it.base.value},
                               {"version", it.version},
                               {"bytes", it.bytes},
                               {"replicas", placed[name]},
                               {"loaded", loaded[name]}});
  return out;
}

json::array plansView(const OperatorState &s) {
  json::array out;
  if (!s.lists)
    return out;
  std::map<PlanName, PlanUse> use;
  for (auto &[host, uses] : s.uses)
    for (auto &it : uses) {
      use[it.plan].inFlight += it.inFlight;
      use[it.plan].waiting += it.waiting;
      use[it.plan].tokensPerSecond += it.tokensPerSecond;
    }
  std::map<PlanName, std::pair<int, std::uint64_t>> charged;
  for (auto &[endpoint, replicas] : s.planner.replicas())
    for (auto &it : replicas) {
      ++charged[it.payer].first;
      charged[it.payer].second += it.bytes;
    }
  for (auto &[name, it] : s.lists->plans)
    out.push_back(json::object{{"plan", name.value},
                               {"priority", std::string(toString(it.priority))},
                               {"models", charged[name].first},
                               {"models_granted", it.grant.models},
                               {"bytes", charged[name].second},
                               {"bytes_granted", it.grant.acceleratorBytes},
                               {"running", use[name].inFlight},
                               {"waiting", use[name].waiting},
                               {"shared_out", s.shares.recordedConcurrency(name)},
                               {"concurrency_granted", it.grant.concurrency},
                               {"tokens_per_second", use[name].tokensPerSecond},
                               {"tokens_granted", it.grant.tokensPerSecond}});
  return out;
}

/// A view and the function that builds its rows.
struct View {
  std::string_view name;
  json::array (*build)(const OperatorState &);
};

constexpr std::array Views{View{"hosts", hostsView}, View{"endpoints", endpointsView},
                           View{"replicas", replicasView}, View{"models", modelsView},
                           View{"plans", plansView}};

/// Builds the view of the revision of the lists and of the hosts that have put it in force.
std::string configView(const OperatorState &s) {
  auto revision = s.lists ? s.lists->revision : 0;
  json::array hosts;
  bool inForce = true;
  for (auto &it : s.membership.liveMembers(s.now)) {
    // A lowered grant is in force on a host once the requests in excess of its new share have
    // ended.
    bool settled = s.shares.hasAcknowledged({it.host, it.incarnation});
    inForce = inForce && it.revision >= revision && settled;
    hosts.push_back(json::object{
        {"host", it.host.value}, {"revision", it.revision}, {"shares_applied", settled}});
  }
  return json::serialize(
      json::object{{"revision", revision}, {"in_force", inForce}, {"hosts", hosts}});
}

} // namespace

std::vector<std::string> operatorViewNames() {
  std::vector<std::string> names;
  names.reserve(Views.size() + 1);
  for (auto &it : Views)
    names.emplace_back(it.name);
  names.emplace_back("config");
  return names;
}

std::string operatorView(std::string_view name, const OperatorState &state) {
  if (name == "config")
    return configView(state);
  for (auto &it : Views)
    if (it.name == name)
      return json::serialize(
          json::object{{json::string_view(it.name.data(), it.name.size()), it.build(state)}});
  return {};
}

} // namespace catkin
