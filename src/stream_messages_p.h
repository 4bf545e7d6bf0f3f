#pragma once

#include "fleet_messages_p.h"
#include "json_p.h"

/// The JSON form of the messages about the origins of streams.
namespace catkin {

json::object toJson(const StreamBegun &m);
json::object toJson(const StreamRecords &m);
json::object toJson(const StreamQuestion &m);
json::object toJson(const StreamAnswer &m);
/// Malformed fields clear `ok` of the reader.
StreamBegun readStreamBegun(JsonReader &in);
StreamRecords readStreamRecords(JsonReader &in);
StreamQuestion readStreamQuestion(JsonReader &in);
StreamAnswer readStreamAnswer(JsonReader &in);

} // namespace catkin
