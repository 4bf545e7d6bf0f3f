#include "stream_messages_p.h"

namespace catkin {

namespace {

json::object toJson(const StreamOrigin &origin) {
  return {{"service", origin.service.value},
          {"version", origin.version.value},
          {"e", origin.writer.endpoint.value},
          {"i", origin.writer.incarnation}};
}

/// Reads the origin, if the message has one. An origin without a service or version clears `ok`.
std::optional<StreamOrigin> readOrigin(JsonReader &in) {
  auto *value = in.raw().if_contains("origin");
  if (!value)
    return std::nullopt;
  in.ok = in.ok && value->is_object();
  if (!in.ok)
    return std::nullopt;
  JsonReader it(value->get_object());
  StreamOrigin out{
      .service = it.name<ServiceName>("service"),
      .version = it.name<SoftwareVersion>("version"),
      .writer = {.endpoint = it.name<EndpointName>("e"), .incarnation = it.unsignedInt("i")}};
  in.ok = it.ok && !out.service.empty() && !out.version.empty();
  return out;
}

} // namespace

json::object toJson(const StreamBegun &m) {
  return {{"type", "stream_begun"},
          {"key", m.key.hash},
          {"origin", toJson(m.origin)},
          {"lifetime_us", m.lifetime.count()}};
}

json::object toJson(const StreamRecords &m) {
  json::array records;
  for (auto &it : m.records)
    records.push_back(json::object{{"key", it.key.hash},
                                   {"origin", toJson(it.origin)},
                                   {"age_us", it.age.count()},
                                   {"lifetime_us", it.lifetime.count()},
                                   {"doubtful", it.doubtful}});
  return {{"type", "stream_records"}, {"records", records}};
}

json::object toJson(const StreamQuestion &m) {
  return {{"type", "stream_question"}, {"id", m.id}, {"key", m.key.hash}};
}

json::object toJson(const StreamAnswer &m) {
  json::object out{
      {"type", "stream_answer"}, {"id", m.id}, {"doubtful", m.doubtful}, {"age_us", m.age.count()}};
  if (m.origin)
    out["origin"] = toJson(*m.origin);
  return out;
}

StreamBegun readStreamBegun(JsonReader &in) {
  StreamBegun out{
      .key = {in.unsignedInt("key")}, .origin = {}, .lifetime = in.micros("lifetime_us")};
  const auto origin = readOrigin(in);
  in.ok = in.ok && origin;
  out.origin = origin.value_or(StreamOrigin{});
  return out;
}

StreamRecords readStreamRecords(JsonReader &in) {
  StreamRecords out;
  in.objects("records", [&](JsonReader &it) {
    const auto origin = readOrigin(it);
    it.ok = it.ok && origin;
    out.records.push_back({.key = {it.unsignedInt("key")},
                           .origin = origin.value_or(StreamOrigin{}),
                           .age = it.micros("age_us"),
                           .lifetime = it.micros("lifetime_us"),
                           .doubtful = it.flag("doubtful")});
  });
  return out;
}

StreamQuestion readStreamQuestion(JsonReader &in) {
  return {.id = in.unsignedInt("id"), .key = {in.unsignedInt("key")}};
}

StreamAnswer readStreamAnswer(JsonReader &in) {
  return {.id = in.unsignedInt("id"),
          .origin = readOrigin(in),
          .doubtful = in.flag("doubtful"),
          .age = in.micros("age_us")};
}

} // namespace catkin
