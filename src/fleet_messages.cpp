#include "fleet_messages_p.h"

#include "env_p.h"
#include "json_p.h"
#include "stream_messages_p.h"

#include <array>
#include <cmath>

namespace catkin {

namespace {

// Rates are sent as whole thousandths, which take a third of the bytes of a fraction.
constexpr double ThousandthsPerUnit = 1000;

std::int64_t toThousandths(double perSecond) {
  return std::llround(perSecond * ThousandthsPerUnit);
}

json::array toJson(const std::vector<EndpointIncarnation> &endpoints) {
  json::array out;
  for (auto &it : endpoints)
    out.push_back(json::object{{"e", it.endpoint.value}, {"i", it.incarnation}});
  return out;
}

/// Encodes a revision as [era, number], or as the number if the store names no era.
json::value toJson(const StoreRevision &revision) {
  if (revision.era == 0)
    return revision.number;
  return json::array{revision.era, revision.number};
}

/// Empty if the value is no revision.
std::optional<StoreRevision> readRevision(const json::value &value) {
  boost::system::error_code ec;
  auto *pair = value.if_array();
  if (pair && pair->size() != 2)
    return std::nullopt;
  StoreRevision out;
  out.number = (pair ? pair->at(1) : value).to_number<std::uint64_t>(ec);
  if (!ec && pair)
    out.era = pair->at(0).to_number<std::uint64_t>(ec);
  return ec ? std::nullopt : std::optional(out);
}

json::object toJson(const std::vector<Departure> &departures) {
  json::object out;
  for (auto &it : departures)
    out[it.endpoint.value] = toJson(it.revision);
  return out;
}

/// Members that are no revisions are skipped.
std::vector<Departure> readDepartures(JsonReader &in) {
  std::vector<Departure> out;
  auto *object = in.raw().if_contains("departures");
  if (!object || !object->is_object())
    return out;
  for (auto &[endpoint, value] : object->get_object())
    if (const auto revision = readRevision(value))
      out.push_back({EndpointName(std::string(endpoint)), *revision});
  return out;
}

StoreRevision readArrival(JsonReader &in) {
  auto *value = in.raw().if_contains("arrival");
  const auto revision = value ? readRevision(*value) : std::nullopt;
  in.ok = in.ok && (!value || revision);
  return revision.value_or(StoreRevision());
}

std::vector<EndpointIncarnation> readLeavingEndpoints(JsonReader &in) {
  std::vector<EndpointIncarnation> out;
  in.objects("leaving_endpoints", [&](JsonReader &it) {
    out.push_back({it.name<EndpointName>("e"), it.unsignedInt("i")});
  });
  return out;
}

json::object toJson(const RequestLimit &m) {
  json::object out{
      {"e", m.endpoint.endpoint.value}, {"i", m.endpoint.incarnation}, {"v", m.version}};
  if (m.perSecond)
    out["r"] = *m.perSecond;
  return out;
}

json::array toJson(const std::vector<RequestLimit> &limits) {
  json::array out;
  for (auto &it : limits)
    out.push_back(toJson(it));
  return out;
}

RequestLimit readLimit(JsonReader &in) {
  RequestLimit limit{.endpoint = {in.name<EndpointName>("e"), in.unsignedInt("i")},
                     .version = in.unsignedInt("v"),
                     .perSecond = std::nullopt};
  if (in.raw().contains("r"))
    limit.perSecond = in.number("r");
  in.ok = in.ok && limit.perSecond.value_or(0) >= 0;
  return limit;
}

std::vector<RequestLimit> readLimits(JsonReader &in) {
  std::vector<RequestLimit> out;
  in.objects("limits", [&](JsonReader &it) { out.push_back(readLimit(it)); });
  return out;
}

constexpr std::array SuspectStates{SuspectState::NeverBegun, SuspectState::BegunBefore,
                                   SuspectState::Cleared};

/// The suspects of a crash are lists by state, which keeps the encoding short.
json::object toJson(const CrashReport &m) {
  json::object out{
      {"e", m.engine.endpoint.value}, {"i", m.engine.incarnation}, {"age_us", m.age.count()}};
  for (auto state : SuspectStates) {
    json::array traits;
    for (auto &it : m.suspects)
      if (it.state == state)
        traits.emplace_back(traitText(it.trait));
    if (!traits.empty())
      out[toString(state)] = std::move(traits);
  }
  return out;
}

json::array toJson(const std::vector<CrashReport> &crashes) {
  json::array out;
  for (auto &it : crashes)
    out.push_back(toJson(it));
  return out;
}

void readSuspects(JsonReader &in, SuspectState state, CrashReport &report) {
  for (auto &it : in.texts(toString(state))) {
    const auto trait = parseTrait(it);
    in.ok = in.ok && trait;
    report.suspects.push_back({trait.value_or(RequestTrait{}), state});
  }
}

std::vector<CrashReport> readCrashes(JsonReader &in) {
  std::vector<CrashReport> out;
  in.objects("crashes", [&](JsonReader &it) {
    CrashReport report{.engine = {it.name<EndpointName>("e"), it.unsignedInt("i")},
                       .age = it.micros("age_us"),
                       .suspects = {}};
    it.ok = it.ok && report.age >= Duration::zero();
    for (auto state : SuspectStates)
      readSuspects(it, state, report);
    out.push_back(std::move(report));
  });
  return out;
}

/// Reads the limit in a message about a permit.
RequestLimit readOwnLimit(JsonReader &in) {
  auto *limit = in.raw().if_contains("limit");
  in.ok = in.ok && limit && limit->is_object();
  if (!in.ok)
    return {};
  JsonReader limitReader(limit->get_object());
  RequestLimit out = readLimit(limitReader);
  in.ok = limitReader.ok;
  return out;
}

// Tokens are sent in hundreds and sums of logarithms in hundredths, as whole numbers, which are
// shorter than exact ones.
constexpr double TokensPerUnit = 100;
constexpr double PaceUnitsPerOne = 100;
constexpr double MaxMessageNumber = 1e12; // larger values are no loads

/// Encodes what engines have in progress. It is separate from the numbers of requests, so that
/// hosts of an earlier version still read those.
json::object tokensToJson(const std::vector<EndpointLoad> &loads) {
  json::object out;
  const auto inHundreds = [](double tokens) { return std::llround(tokens / TokensPerUnit); };
  for (auto &it : loads) {
    if (it.tokens.empty())
      continue;
    json::array values;
    for (const double unread : it.tokens.unread)
      values.emplace_back(inHundreds(unread));
    values.emplace_back(std::llround(it.tokens.reading));
    values.emplace_back(inHundreds(it.tokens.held));
    values.emplace_back(std::llround(it.tokens.paceWeight * PaceUnitsPerOne));
    values.emplace_back(std::llround(it.tokens.paceLogSum * PaceUnitsPerOne));
    out[it.endpoint.value] = std::move(values);
  }
  return out;
}

/// Empty if the value is none of tokensToJson().
std::optional<EngineTokens> readTokens(const json::value &value) {
  constexpr std::size_t Values = UrgencyLevels + 4;
  auto *array = value.if_array();
  if (!array || array->size() != Values)
    return std::nullopt;
  std::array<double, Values> numbers{};
  for (std::size_t i = 0; i < Values; ++i) {
    boost::system::error_code ec;
    numbers[i] = array->at(i).to_number<double>(ec);
    const bool isSum = i + 1 == Values; // only this one may be negative
    if (ec || std::abs(numbers[i]) > MaxMessageNumber || (!isSum && numbers[i] < 0))
      return std::nullopt;
  }
  EngineTokens out;
  for (std::size_t i = 0; i < UrgencyLevels; ++i)
    out.unread[i] = numbers[i] * TokensPerUnit;
  out.reading = numbers[UrgencyLevels];
  out.held = numbers[UrgencyLevels + 1] * TokensPerUnit;
  out.paceWeight = numbers[UrgencyLevels + 2] / PaceUnitsPerOne;
  out.paceLogSum = numbers[UrgencyLevels + 3] / PaceUnitsPerOne;
  return out;
}

/// Adds the tokens to the loads. Members that are no tokens are skipped.
void readTokens(JsonReader &in, std::vector<EndpointLoad> &loads) {
  auto *object = in.raw().if_contains("tokens");
  if (!object || !object->is_object())
    return;
  std::map<std::string_view, EndpointLoad *> known;
  for (auto &it : loads)
    known.emplace(it.endpoint.value, &it);
  std::vector<EndpointLoad> further;
  for (auto &[endpoint, value] : object->get_object()) {
    const auto tokens = readTokens(value);
    auto found = known.find(std::string_view(endpoint.data(), endpoint.size()));
    if (tokens && found != known.end())
      found->second->tokens = *tokens;
    else if (tokens)
      further.push_back({EndpointName(std::string(endpoint)), 0, *tokens});
  }
  loads.insert(loads.end(), further.begin(), further.end());
}

// The names are keys of one object, which keeps the encoding short: loads are most of the bytes
// that data centres exchange.
json::object toJson(const std::vector<EndpointLoad> &loads) {
  json::object out;
  for (auto &it : loads)
    if (it.inFlight != 0)
      out[it.endpoint.value] = it.inFlight;
  return out;
}

/// Members that are no numbers of requests are skipped.
std::vector<EndpointLoad> readLoads(JsonReader &in) {
  std::vector<EndpointLoad> out;
  auto *object = in.raw().if_contains("loads");
  if (!object || !object->is_object())
    return out;
  for (auto &[endpoint, value] : object->get_object()) {
    boost::system::error_code ec;
    const int n = value.to_number<int>(ec);
    if (!ec)
      out.push_back({EndpointName(std::string(endpoint)), n});
  }
  readTokens(in, out);
  return out;
}

json::object toJson(const HostStatus &m) {
  return {{"host", m.host.value},
          {"alive", m.alive},
          {"ready", m.ready},
          {"leaving", m.leaving},
          {"store", m.storeConnected}};
}

HostStatus readHostStatus(JsonReader &in) {
  return {.host = in.name<HostName>("host"),
          .alive = in.flag("alive"),
          .ready = in.flag("ready"),
          .leaving = in.flag("leaving"),
          .storeConnected = in.flag("store")};
}

json::object toJson(const DataCentreDigest &m) {
  json::array unhealthyHosts;
  for (auto &it : m.unhealthyHosts)
    unhealthyHosts.push_back(toJson(it));
  json::object out{{"data_centre", m.dataCentre.value},
                   {"config", m.configVersion},
                   {"exceptions", std::move(unhealthyHosts)},
                   {"leaving_endpoints", toJson(m.leavingEndpoints)}};
  if (!m.limits.empty())
    out["limits"] = toJson(m.limits);
  if (!m.crashes.empty())
    out["crashes"] = toJson(m.crashes);
  if (m.plannerTerm > 0) {
    out["planner"] = m.plannerTerm;
    out["planner_address"] = m.plannerAddress.toString();
  }
  return out;
}

DataCentreDigest readDigest(JsonReader &in) {
  DataCentreDigest m{.dataCentre = in.name<DataCentreName>("data_centre"),
                     .configVersion = in.unsignedInt("config"),
                     .unhealthyHosts = {},
                     .leavingEndpoints = readLeavingEndpoints(in),
                     .limits = readLimits(in),
                     .crashes = readCrashes(in)};
  if (in.raw().contains("planner")) {
    m.plannerTerm = in.unsignedInt("planner");
    m.plannerAddress = in.address("planner_address");
  }
  in.objects("exceptions", [&](JsonReader &it) { m.unhealthyHosts.push_back(readHostStatus(it)); });
  return m;
}

json::object toJson(const FleetDigests &m) {
  json::array digests;
  for (auto &it : m.digests)
    digests.push_back(toJson(it));
  return {{"type", "digests"},
          {"passed_on", m.forwarded},
          {"digests", std::move(digests)},
          {"loads", toJson(m.loads)},
          {"tokens", tokensToJson(m.loads)}};
}

FleetDigests readDigests(JsonReader &in) {
  FleetDigests m{.forwarded = in.flag("passed_on"), .digests = {}, .loads = readLoads(in)};
  in.objects("digests", [&](JsonReader &it) { m.digests.push_back(readDigest(it)); });
  return m;
}

json::object toJson(const FleetHeartbeat &m) {
  json::object out{
      {"type", "heartbeat"},       {"host", m.host.value},     {"incarnation", m.incarnation},
      {"ready", m.ready},          {"leaving", m.leaving},     {"store", m.storeConnected},
      {"config", m.configVersion}, {"planner", m.plannerTerm}, {"loads", toJson(m.loads)}};
  if (auto tokens = tokensToJson(m.loads); !tokens.empty())
    out["tokens"] = std::move(tokens);
  if (!m.leavingEndpoints.empty())
    out["leaving_endpoints"] = toJson(m.leavingEndpoints);
  if (!m.limits.empty())
    out["limits"] = toJson(m.limits);
  if (!m.crashes.empty())
    out["crashes"] = toJson(m.crashes);
  if (!m.departures.empty())
    out["departures"] = toJson(m.departures);
  if (m.newestArrival > StoreRevision())
    out["arrival"] = toJson(m.newestArrival);
  return out;
}

json::object toJson(const DemandReport &m) {
  json::array requestRates;
  for (auto &it : m.requestRates)
    requestRates.push_back(json::object{{"s", it.service.value},
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
          {"uses", std::move(requestRates)},
          {"running", std::move(running)},
          {"failing", std::move(failing)}};
}

json::object toJson(const ModelNeed &m) {
  return {{"type", "need"},
          {"host", m.host.value},
          {"service", m.service.value},
          {"model", toText(m.model)},
          {"waiting", m.waiting}};
}

json::object toJson(const HoldingsNotices &m) {
  json::array notices;
  for (auto &it : m.notices) {
    json::array models;
    for (auto &held : it.models)
      models.push_back(json::object{
          {"m", held.model.value}, {"a", json::array(held.adapters.begin(), held.adapters.end())}});
    notices.push_back(json::object{{"e", it.endpoint.value},
                                   {"i", it.incarnation},
                                   {"t", it.term},
                                   {"n", it.sequence},
                                   {"o", it.orderCount},
                                   {"models", std::move(models)}});
  }
  json::object out{
      {"type", "holdings"}, {"notices", std::move(notices)}, {"pass_on", m.forwardInDataCentre}};
  if (!m.planner.empty())
    out["planner"] = m.planner.toString();
  return out;
}

json::object toJson(const PermitRequest &m) {
  return {{"type", "permit_request"},
          {"id", m.id},
          {"limit", toJson(m.limit)},
          {"max_delay_us", m.maxDelay.count()}};
}

json::object toJson(const PermitReply &m) {
  return {{"type", "permit"},
          {"id", m.id},
          {"limit", toJson(m.limit)},
          {"granted", m.permit.granted},
          {"delay_us", m.permit.delay.count()}};
}

json::object toJson(const FreshnessQuestion &m) {
  return {{"type", "freshness_question"}, {"id", m.id}, {"config", m.configVersion}};
}

json::object toJson(const FreshnessAnswer &m) {
  return {{"type", "freshness"}, {"id", m.id}, {"age_us", m.age.count()}};
}

PermitRequest readPermitRequest(JsonReader &in) {
  return {
      .id = in.unsignedInt("id"), .limit = readOwnLimit(in), .maxDelay = in.micros("max_delay_us")};
}

PermitReply readPermitReply(JsonReader &in) {
  return {.id = in.unsignedInt("id"),
          .limit = readOwnLimit(in),
          .permit = {.granted = in.flag("granted"), .delay = in.micros("delay_us")}};
}

json::object toJson(const QuotaRequest &m) {
  return {{"type", "quota_request"},   {"id", m.id},
          {"team", m.team.value},      {"unit", toString(m.quota.unit)},
          {"rate", m.quota.perSecond}, {"burst", m.quota.burst},
          {"config", m.configVersion}, {"cost", m.cost}};
}

json::object toJson(const QuotaReply &m) {
  return {{"type", "quota"},
          {"id", m.id},
          {"result", toString(m.decision.result)},
          {"retry_us", m.decision.retryAfter.count()}};
}

QuotaRequest readQuotaRequest(JsonReader &in) {
  QuotaRequest m{.id = in.unsignedInt("id"),
                 .team = in.name<TeamName>("team"),
                 .quota = {.unit = in.enumerator("unit", QuotaUnit::Requests),
                           .perSecond = in.number("rate"),
                           .burst = in.number("burst")},
                 .configVersion = in.unsignedInt("config"),
                 .cost = in.number("cost")};
  in.ok = in.ok && !m.team.empty() && m.quota.perSecond >= 0 && m.quota.burst >= 0 && m.cost >= 0;
  return m;
}

QuotaReply readQuotaReply(JsonReader &in) {
  QuotaReply m{.id = in.unsignedInt("id"),
               .decision = {.result = in.enumerator("result", QuotaResult::Unknown),
                            .retryAfter = in.micros("retry_us")}};
  in.ok = in.ok && m.decision.retryAfter >= Duration::zero();
  return m;
}

FleetHeartbeat readHeartbeat(JsonReader &in) {
  return {.host = in.name<HostName>("host"),
          .incarnation = in.unsignedInt("incarnation"),
          .ready = in.flag("ready"),
          .leaving = in.flag("leaving"),
          .storeConnected = in.flag("store"),
          .configVersion = in.unsignedInt("config"),
          .plannerTerm = in.unsignedInt("planner"),
          .loads = readLoads(in),
          .leavingEndpoints = readLeavingEndpoints(in),
          .limits = readLimits(in),
          .crashes = readCrashes(in),
          .departures = readDepartures(in),
          .newestArrival = readArrival(in)};
}

DemandReport readDemand(JsonReader &in) {
  DemandReport m{.host = in.name<HostName>("host"),
                 .observed = in.micros("observed_us"),
                 .requestRates = {},
                 .running = {},
                 .failing = {}};
  in.objects("uses", [&](JsonReader &it) {
    m.requestRates.push_back({it.name<ServiceName>("s"), parseModelRef(it.text("m")),
                              it.number("r") / ThousandthsPerUnit,
                              it.number("f") / ThousandthsPerUnit});
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
  HoldingsNotices m{.notices = {}, .planner = {}, .forwardInDataCentre = in.flag("pass_on")};
  if (in.raw().contains("planner"))
    m.planner = in.address("planner");
  in.objects("notices", [&](JsonReader &it) {
    HoldingsNotice notice{.endpoint = it.name<EndpointName>("e"),
                          .incarnation = it.unsignedInt("i"),
                          .term = it.unsignedInt("t"),
                          .sequence = it.unsignedInt("n"),
                          .models = {},
                          .orderCount = it.unsignedInt("o")};
    it.objects("models", [&](JsonReader &held) {
      notice.models.push_back({held.name<ModelName>("m"), held.texts("a")});
    });
    m.notices.push_back(std::move(notice));
  });
  return m;
}

} // namespace

void addLoads(const std::vector<EndpointLoad> &loads, LoadTotals &total) {
  for (auto &it : loads) {
    auto &sum = total[it.endpoint];
    sum.endpoint = it.endpoint;
    sum.inFlight += it.inFlight;
    sum.tokens += it.tokens;
  }
}

std::vector<EndpointLoad> listLoads(const LoadTotals &total) {
  std::vector<EndpointLoad> out;
  out.reserve(total.size());
  for (auto &[endpoint, load] : total)
    out.push_back(load);
  return out;
}

std::uint64_t randomQuestionId(CoreEnv &env) {
  constexpr unsigned UnusedBits = 12; // JSON numbers of all programs can hold the rest, and sums
  return env.random() >> UnusedBits;
}

std::string encodeFleetMessage(const FleetMessage &message) {
  return std::visit([](auto &m) { return json::serialize(toJson(m)); }, message);
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
  else if (type == "digests")
    message = readDigests(in);
  else if (type == "permit_request")
    message = readPermitRequest(in);
  else if (type == "permit")
    message = readPermitReply(in);
  else if (type == "quota_request")
    message = readQuotaRequest(in);
  else if (type == "quota")
    message = readQuotaReply(in);
  else if (type == "stream_begun")
    message = readStreamBegun(in);
  else if (type == "stream_records")
    message = readStreamRecords(in);
  else if (type == "stream_question")
    message = readStreamQuestion(in);
  else if (type == "stream_answer")
    message = readStreamAnswer(in);
  else if (type == "freshness_question")
    message = FreshnessQuestion{in.unsignedInt("id"), in.unsignedInt("config")};
  else if (type == "freshness")
    message = FreshnessAnswer{in.unsignedInt("id"), in.micros("age_us")};
  return in.ok ? message : std::nullopt;
}

} // namespace catkin
