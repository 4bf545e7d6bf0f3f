#pragma once

#include "object_follower_p.h"
#include "stream_origin_p.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Records in the platform's store of which software version began each stream. They outlive all
/// hosts.
///
/// Two hosts of the fleet, the recorders, are told of all streams and write them to the store in
/// segments, each with the streams of about a second. A host that knows nothing of a stream, like
/// all others that it has asked, reads the segments.
namespace catkin {

/// A stream in the archive. Times are Unix seconds.
struct ArchivedStream {
  StreamKey key;
  StreamOrigin origin;
  std::int64_t beganAt = 0;
  std::int64_t endsAt = 0; ///< when the record is no longer needed
  bool doubtful = false;   ///< the writer may have been replaced by another version
};

/// One object of the archive.
struct ArchiveSegment {
  std::uint64_t era = 0;   ///< of the store when the segment was written
  std::int64_t endsAt = 0; ///< when the last of its records is no longer needed, in Unix seconds
  std::vector<ArchivedStream> streams;
};
std::string formatArchiveSegment(const ArchiveSegment &segment);
/// Returns nothing if the text is not a segment.
std::optional<ArchiveSegment> parseArchiveSegment(std::string_view text);

/// Kind of the segments in the store. The name of one is that of its host and a number.
constexpr auto ArchiveKind = "catkin-streams";

/// Writes the streams that a recorder is told of, at most one segment a second. A segment whose
/// records are no longer needed is overwritten by a later one.
class StreamArchiveWriter {
public:
  /// Segments of one host. If all of them are in use, the one that is needed for the shortest time
  /// is overwritten.
  static constexpr std::size_t MaxSegments = 64;
  static constexpr std::size_t MaxStreams = 8192;  ///< of one segment, about 250 KB
  static constexpr std::size_t MaxPending = 65536; ///< not yet written, while the store is away
  static constexpr Duration WritePause = std::chrono::seconds(1);
  static constexpr Duration FirstWriteDelay = std::chrono::milliseconds(300);

  /// Functions that the host provides.
  struct Hooks {
    /// Returns the record of a stream; nothing if it is not needed any more.
    std::function<std::optional<ArchivedStream>(const StreamKey &)> find;
    std::function<std::uint64_t()> storeEra; ///< of the newest answer
  };

  StreamArchiveWriter(CoreEnv &env, ObjectFeed &feed, const std::string &host, Hooks hooks);
  ~StreamArchiveWriter();
  /// Writes the record of the stream soon. A failed write is repeated.
  void add(const StreamKey &key);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

/// What the archive says of a stream.
struct ArchiveAnswer {
  bool answered = false; ///< the store has answered
  std::optional<ArchivedStream> stream;
};

/// Reads the archive. Callers that wait share one list of the store.
class StreamArchiveReader {
public:
  /// Pause between two lists. It doubles each time that a list has nothing that was looked for.
  static constexpr Duration MinPause = std::chrono::seconds(1);
  static constexpr Duration MaxPause = std::chrono::seconds(8);
  /// A caller does not wait longer for a list to begin.
  static constexpr Duration MaxWait = std::chrono::milliseconds(500);
  using Done = std::function<void(const ArchiveAnswer &)>;

  StreamArchiveReader(CoreEnv &env, ObjectFeed &feed);
  ~StreamArchiveReader();
  /// Segments of an earlier era of the store are not believed: what was written after them is lost,
  /// such as that a record is doubtful.
  void find(const StreamKey &key, Done done);
  /// Frees what is no longer needed.
  void expire();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
