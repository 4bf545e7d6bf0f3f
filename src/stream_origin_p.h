#pragma once

#include "fleet_types_p.h"

#include <functional>
#include <optional>
#include <string_view>

/// What is known about the beginning of a stream. Engines of several software versions may serve
/// one service, and a stream may go on only at the version that began it.
namespace catkin {

/// A hash of the id of the request that brought a stream's first event. The caller names that
/// request when it takes the stream up.
struct StreamKey {
  std::uint64_t hash = 0;
  friend auto operator<=>(const StreamKey &, const StreamKey &) = default;
};
StreamKey streamKey(std::string_view firstRequestId);

/// Where the events of a stream come from.
struct StreamOrigin {
  ServiceName service;
  SoftwareVersion version;
  EndpointIncarnation writer; ///< an engine of that version that has written events of the stream
};

/// How the origin of a stream was found, or why it is unknown.
enum class OriginSource {
  OwnRecord,   ///< this host relayed events of the stream, or keeps its record for another host
  OtherHost,   ///< another host has answered
  OnlyVersion, ///< no other version of the service can have begun it, by the store's record
  Archive,     ///< the record in the store
  Unknown,     ///< all hosts that were asked have answered that they do not know it
  NoAnswer,    ///< not all hosts that were asked have answered
  Doubtful,    ///< the writer may have been replaced by another version before it wrote
  Count
};
template <> struct EnumNames<OriginSource> {
  static constexpr std::array<std::string_view, 7> Table{
      "own_record", "other_host", "only_version", "archive", "unknown", "no_answer", "doubtful"};
};

/// Answer to the question for the origin of a stream.
struct OriginAnswer {
  std::optional<StreamOrigin> origin; ///< empty if it is unknown
  OriginSource source = OriginSource::Unknown;
  Duration age{};   ///< of the record; 0 if there is none
  int asked = 0;    ///< hosts
  int answered = 0; ///< hosts
};

/// How the gateway records and learns the origins of streams. This default keeps none.
class StreamOriginGuard {
public:
  virtual ~StreamOriginGuard() = default;
  /// Events of the stream are about to be relayed. The record is needed for `lifetime`.
  virtual void record(const StreamKey &key, const StreamOrigin &origin, Duration lifetime) {
    (void)key;
    (void)origin;
    (void)lifetime;
  }
  /// Returns false if the stream's writer may have been replaced by another version before it
  /// wrote.
  virtual bool isTrusted(const StreamKey &key) {
    (void)key;
    return true;
  }
  using Done = std::function<void(const OriginAnswer &)>;
  /// Looks for the origin of a stream. Calls `done` once, within a second. `services`: those that
  /// may have begun it.
  virtual void find(const StreamKey &key, const std::vector<ServiceWeight> &services,
                    const Done &done) {
    (void)key;
    (void)services;
    done({});
  }
};

} // namespace catkin
