#include "messages_p.h"

#include "json_p.h"

namespace catkin {

namespace {

json::string_view view(const std::string &s) { return {s.data(), s.size()}; }
template <class E> json::string_view view(E e) {
  auto s = toString(e);
  return {s.data(), s.size()};
}

json::value addressToJson(const Address &a) { return a.empty() ? "" : json::value(a.toString()); }

json::object toJson(const Member &m) {
  return {{"host", view(m.host.value)},
          {"incarnation", m.incarnation},
          {"caller_address", addressToJson(m.callerAddress)},
          {"peer_address", addressToJson(m.peerAddress)},
          {"data_centre", view(m.dataCentre.value)},
          {"liveness", view(m.liveness)},
          {"overloaded", m.overloaded},
          {"revision", m.revision}};
}

Member readMember(JsonReader &in) {
  return {.host = in.name<HostName>("host"),
          .incarnation = in.unsignedInt("incarnation"),
          .callerAddress = in.address("caller_address"),
          .peerAddress = in.address("peer_address"),
          .dataCentre = in.name<DataCentreName>("data_centre"),
          .liveness = in.enumerator("liveness", Liveness::Live),
          .overloaded = in.flag("overloaded"),
          .revision = in.unsignedInt("revision")};
}

json::object toJson(const RouteEntry &e) {
  return {{"model", view(e.model.value)},
          {"endpoint", view(e.endpoint.value)},
          {"address", addressToJson(e.address)},
          {"data_centre", view(e.dataCentre.value)},
          {"state", view(e.state)},
          {"leaving", e.leaving},
          {"generation", e.generation},
          {"running", e.running},
          {"queued", e.queued}};
}

RouteEntry readRouteEntry(JsonReader &in) {
  return {.model = in.name<ModelName>("model"),
          .endpoint = in.name<EndpointName>("endpoint"),
          .address = in.address("address"),
          .dataCentre = in.name<DataCentreName>("data_centre"),
          .state = in.enumerator("state", ReplicaState::Intended),
          .leaving = in.flag("leaving"),
          .generation = in.integer("generation"),
          .running = in.integer("running"),
          .queued = in.integer("queued")};
}

json::array loadsToJson(const std::vector<ModelLoad> &loads) {
  json::array out;
  for (auto &it : loads)
    out.push_back(json::object{{"model", view(it.model.value)},
                               {"arrivals", it.arrivals},
                               {"in_flight", it.inFlight},
                               {"waiting", it.waiting}});
  return out;
}

json::array usesToJson(const std::vector<PlanUse> &uses) {
  json::array out;
  for (auto &it : uses)
    out.push_back(json::object{{"plan", view(it.plan.value)},
                               {"in_flight", it.inFlight},
                               {"waiting", it.waiting},
                               {"tokens_per_second", it.tokensPerSecond},
                               {"share_version", it.shareVersion}});
  return out;
}

json::array sharesToJson(const std::vector<HostShare> &shares) {
  json::array out;
  for (auto &it : shares)
    out.push_back(json::object{{"plan", view(it.plan.value)},
                               {"version", it.version},
                               {"concurrency", it.concurrency},
                               {"tokens_per_second", it.tokensPerSecond}});
  return out;
}

/// Decodes a message with `read`. Returns nothing if the text is not a JSON object or a field has
/// the wrong type.
template <class M, class Read> std::optional<M> decodeObject(std::string_view text, Read read) {
  json::object object;
  if (!parseObject(text, object))
    return std::nullopt;
  JsonReader in(object);
  M m;
  read(in, m);
  if (!in.ok)
    return std::nullopt;
  return m;
}

} // namespace

std::string encode(const SyncRequest &m) {
  return json::serialize(json::object{{"self", toJson(m.self)},
                                      {"term", m.term},
                                      {"table_term", m.tableTerm},
                                      {"table_version", m.tableVersion},
                                      {"members_version", m.membersVersion},
                                      {"max_wait_us", m.maxWait.count()},
                                      {"models", loadsToJson(m.models)},
                                      {"plans", usesToJson(m.plans)}});
}

std::optional<SyncRequest> decodeSyncRequest(std::string_view text) {
  json::object object;
  if (!parseObject(text, object))
    return std::nullopt;
  auto *self = object.if_contains("self");
  if (!self || !self->is_object())
    return std::nullopt;
  SyncRequest m;
  JsonReader member(self->get_object());
  m.self = readMember(member);
  JsonReader in(object);
  m.term = in.unsignedInt("term");
  m.tableTerm = in.unsignedInt("table_term");
  m.tableVersion = in.unsignedInt("table_version");
  m.membersVersion = in.unsignedInt("members_version");
  m.maxWait = in.micros("max_wait_us");
  in.objects("models", [&](JsonReader &it) {
    m.models.push_back({.model = it.name<ModelName>("model"),
                        .arrivals = static_cast<unsigned>(it.unsignedInt("arrivals")),
                        .inFlight = it.integer("in_flight"),
                        .waiting = it.integer("waiting")});
  });
  in.objects("plans", [&](JsonReader &it) {
    m.plans.push_back({.plan = it.name<PlanName>("plan"),
                       .inFlight = it.integer("in_flight"),
                       .waiting = it.integer("waiting"),
                       .tokensPerSecond = it.number("tokens_per_second"),
                       .shareVersion = it.unsignedInt("share_version")});
  });
  if (!in.ok || !member.ok || m.self.host.empty())
    return std::nullopt;
  return m;
}

std::string encode(const SyncReply &m) {
  json::array entries;
  for (auto &it : m.entries)
    entries.push_back(toJson(it));
  json::array removed;
  for (auto &[model, endpoint] : m.removed)
    removed.push_back(
        json::object{{"model", view(model.value)}, {"endpoint", view(endpoint.value)}});
  json::array members;
  for (auto &it : m.members)
    members.push_back(toJson(it));
  return json::serialize(json::object{{"is_planner", m.isPlanner},
                                      {"term", m.term},
                                      {"planner", view(m.planner.value)},
                                      {"planner_address", addressToJson(m.plannerAddress)},
                                      {"table_version", m.tableVersion},
                                      {"full_table", m.fullTable},
                                      {"entries", entries},
                                      {"removed", removed},
                                      {"members_version", m.membersVersion},
                                      {"members", members},
                                      {"shares", sharesToJson(m.shares)},
                                      {"revision", m.revision}});
}

std::optional<SyncReply> decodeSyncReply(std::string_view text) {
  return decodeObject<SyncReply>(text, [](JsonReader &in, SyncReply &m) {
    m.isPlanner = in.flag("is_planner");
    m.term = in.unsignedInt("term");
    m.planner = in.name<HostName>("planner");
    m.plannerAddress = in.address("planner_address");
    m.tableVersion = in.unsignedInt("table_version");
    m.fullTable = in.flag("full_table");
    in.objects("entries", [&](JsonReader &it) { m.entries.push_back(readRouteEntry(it)); });
    in.objects("removed", [&](JsonReader &it) {
      m.removed.emplace_back(it.name<ModelName>("model"), it.name<EndpointName>("endpoint"));
    });
    m.membersVersion = in.unsignedInt("members_version");
    in.objects("members", [&](JsonReader &it) { m.members.push_back(readMember(it)); });
    in.objects("shares", [&](JsonReader &it) {
      m.shares.push_back({.plan = it.name<PlanName>("plan"),
                          .version = it.unsignedInt("version"),
                          .concurrency = it.integer("concurrency"),
                          .tokensPerSecond = it.number("tokens_per_second")});
    });
    m.revision = in.unsignedInt("revision");
  });
}

std::string encode(const EnsureRequest &m) {
  return json::serialize(json::object{{"request_id", view(m.requestId)},
                                      {"model", view(m.model.value)},
                                      {"plan", view(m.plan.value)},
                                      {"host", view(m.host.value)},
                                      {"data_centre", view(m.dataCentre.value)},
                                      {"remaining_us", m.remaining.count()}});
}

std::optional<EnsureRequest> decodeEnsureRequest(std::string_view text) {
  return decodeObject<EnsureRequest>(text, [](JsonReader &in, EnsureRequest &m) {
    m.requestId = in.text("request_id");
    m.model = in.name<ModelName>("model");
    m.plan = in.name<PlanName>("plan");
    m.host = in.name<HostName>("host");
    m.dataCentre = in.name<DataCentreName>("data_centre");
    m.remaining = in.micros("remaining_us");
  });
}

std::string encode(const EnsureReply &m) {
  return json::serialize(json::object{{"outcome", view(m.outcome)},
                                      {"endpoint", view(m.endpoint.value)},
                                      {"estimate_us", m.estimate.count()},
                                      {"retry_after_us", m.retryAfter.count()},
                                      {"reason", view(m.reason)}});
}

std::optional<EnsureReply> decodeEnsureReply(std::string_view text) {
  return decodeObject<EnsureReply>(text, [](JsonReader &in, EnsureReply &m) {
    m.outcome = in.enumerator("outcome", EnsureOutcome::Refused);
    m.endpoint = in.name<EndpointName>("endpoint");
    m.estimate = in.micros("estimate_us");
    m.retryAfter = in.micros("retry_after_us");
    m.reason = in.text("reason");
  });
}

} // namespace catkin
