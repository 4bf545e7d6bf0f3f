#pragma once

#include "stream_origin_p.h"

#include <map>
#include <set>
#include <vector>

/// One host's records of the origins of streams, in bounded memory.
namespace catkin {

/// Keeps the origin of each stream for a lifetime. It does no I/O; callers pass in the time.
class StreamOrigins {
public:
  static constexpr std::size_t MaxRecords = 100'000;
  /// A record that another host passes on has about the same end each time.
  static constexpr Duration MinExtension = std::chrono::seconds(1);

  explicit StreamOrigins(std::size_t capacity = MaxRecords) : capacity(capacity) {}

  struct Record {
    StreamOrigin origin;
    Instant since; ///< when the first event was recorded
    Instant expiresAt;
    /// Two versions have been recorded, or the writer may have been of another one.
    bool doubtful = false;
  };

  /// Records an origin or extends its record. If all records are in use, the one that expires first
  /// is dropped. Returns true if the record is new or differs from the one before.
  bool record(const StreamKey &key, const StreamOrigin &origin, Duration lifetime, Instant now);
  /// Adds a record of another host, or extends this host's record of the stream.
  /// Returns the same as record().
  bool merge(const StreamKey &key, const Record &record);
  /// The record is not to be believed.
  void doubt(const StreamKey &key);
  /// This incarnation now runs under the endpoint's name. If it is of another version, it may have
  /// written what has been recorded for older incarnations of the endpoint since `from`.
  void onReplaced(const EndpointIncarnation &current, const SoftwareVersion &version, Instant from);
  /// Returns null if there is no record.
  const Record *find(const StreamKey &key) const;
  void expire(Instant now);
  std::size_t size() const { return records.size(); }
  std::vector<StreamKey> keys() const;

private:
  void drop(std::map<StreamKey, Record>::iterator it);

  const std::size_t capacity;
  std::map<StreamKey, Record> records;
  std::set<std::pair<Instant, StreamKey>> byExpiry;
};

} // namespace catkin
