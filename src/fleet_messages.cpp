#include "fleet_messages_p.h"

#include "json_p.h"

#include <cmath>

namespace catkin {

namespace {

// Rates go as whole thousandths, which take a third of the bytes of a fraction's digits.
constexpr double Thousandths = 1000;

std::int64_t toThousandths(double perSecond) { return std::llround(perSecond * Thousandths); }

json::object write(const FleetHeartbeat &m) {
  json::object loads; // names as keys, since heartbeats are most of the bytes between data centres
  for (auto &it : m.loads)
    loads[it.endpoint.value] = it.inFlight;
  return {{"type", "heartbeat"},       {"host", m.host.value},     {"incarnation", m.incarnation},
          {"ready", m.ready},          {"leaving", m.leaving},     {"store", m.storeConnected},
          {"config", m.configVersion}, {"planner", m.plannerTerm}, {"loads", std::move(loads)}};
}

json::object write(const DemandReport &m) {
  json::array uses;
  for (auto &it : m.uses)
    uses.push_back(json::object{{"s", it.service.value},
                                {"m", toText(it.model)},
                                {"r", toThousandths(it.perSecond)},
                                {"f", toThousandths(it.recentPerSecond)}});
  json::array running;
  for (auto &it : m.running)
    running.push_back(
        json::object{{"e", it.endpoint.value}, {"m", toText(it.model)}, {"n", it.inFlight}});
  json::array failing;
  for (auto &it : m.failing)
    failing.push_back(json::object{{"e", it.value}});
  return {{"type", "demand"},
          {"host", m.host.value},
          {"observed_us", m.observed.count()},
          {"uses", std::move(uses)},
          {"running", std::move(running)},
          {"failing", std::move(failing)}};
}

json::object write(const ModelNeed &m) {
  return {{"type", "need"},
          {"host", m.host.value},
          {"service", m.service.value},
          {"model", toText(m.model)},
          {"waiting", m.waiting}};
}

json::object write(const HoldingsNotices &m) {
  json::array notices;
  for (auto &it : m.notices) {
    json::array models;
    for (auto &held : it.models)
      models.push_back(json::object{
          {"m", held.model.value}, {"a", json::array(held.adapters.begin(), held.adapters.end())}});
    notices.push_back(json::object{{"e", it.endpoint.value},
                                   {"i", it.incarnation},
                                   {"t", it.term},
                                   {"n", it.number},
                                   {"models", std::move(models)}});
  }
  return {{"type", "holdings"}, {"notices", std::move(notices)}};
}

FleetHeartbeat readHeartbeat(JsonReader &in) {
  FleetHeartbeat m{.host = in.name<HostName>("host"),
                   .incarnation = in.unsignedInt("incarnation"),
                   .ready = in.flag("ready"),
                   .leaving = in.flag("leaving"),
                   .storeConnected = in.flag("store"),
                   .configVersion = in.unsignedInt("config"),
                   .plannerTerm = in.unsignedInt("planner"),
                   .loads = {}};
  auto *loads = in.raw().if_contains("loads");
  if (!loads || !loads->is_object())
    return m;
  for (auto &[endpoint, n] : loads->get_object())
    if (n.is_int64() || n.is_uint64())
      m.loads.push_back({EndpointName(std::string(endpoint)), n.to_number<int>()});
  return m;
}

DemandReport readDemand(JsonReader &in) {
  DemandReport m{.host = in.name<HostName>("host"),
                 .observed = in.micros("observed_us"),
                 .uses = {},
                 .running = {},
                 .failing = {}};
  in.objects("uses", [&](JsonReader &it) {
    m.uses.push_back({it.name<ServiceName>("s"), parseModelRef(it.text("m")),
                      it.number("r") / Thousandths, it.number("f") / Thousandths});
  });
  in.objects("running", [&](JsonReader &it) {
    m.running.push_back({it.name<EndpointName>("e"), parseModelRef(it.text("m")), it.integer("n")});
  });
  in.objects("failing", [&](JsonReader &it) { m.failing.push_back(it.name<EndpointName>("e")); });
  return m;
}

ModelNeed readNeed(JsonReader &in) {
  return {.host = in.name<HostName>("host"),
          .service = in.name<ServiceName>("service"),
          .model = parseModelRef(in.text("model")),
          .waiting = in.integer("waiting")};
}

HoldingsNotices readNotices(JsonReader &in) {
  HoldingsNotices m;
  in.objects("notices", [&](JsonReader &it) {
    HoldingsNotice notice{.endpoint = it.name<EndpointName>("e"),
                          .incarnation = it.unsignedInt("i"),
                          .term = it.unsignedInt("t"),
                          .number = it.unsignedInt("n"),
                          .models = {}};
    it.objects("models", [&](JsonReader &held) {
      notice.models.push_back({held.name<ModelName>("m"), held.texts("a")});
    });
    m.notices.push_back(std::move(notice));
  });
  return m;
}

} // namespace

std::string encodeFleetMessage(const FleetMessage &message) {
  return std::visit([](auto &m) { return json::serialize(write(m)); }, message);
}

std::optional<FleetMessage> decodeFleetMessage(std::string_view text) {
  json::object object;
  if (!parseObject(text, object))
    return std::nullopt;
  JsonReader in(object);
  auto type = in.text("type");
  std::optional<FleetMessage> message;
  if (type == "heartbeat")
    message = readHeartbeat(in);
  else if (type == "demand")
    message = readDemand(in);
  else if (type == "need")
    message = readNeed(in);
  else if (type == "holdings")
    message = readNotices(in);
  return in.ok ? message : std::nullopt;
}

} // namespace catkin
