#pragma once

#include <string>
#include <string_view>

/// The events of a stream on their way to a caller.
namespace catkin {

/// Forwards the whole events of a stream and keeps back an event that has not arrived whole, so
/// that a resumed stream goes on after the last event that the caller has.
class EventRelay {
public:
  void feed(std::string_view bytes) { buffer += bytes; }
  /// The whole events received and not taken yet.
  std::string takeCompleteEvents();
  /// Bytes received and not taken yet.
  std::size_t pendingBytes() const { return buffer.size(); }
  /// Everything received and not taken yet; at the end of a stream.
  std::string takeRemainder();
  /// Forgets an event that arrived in part.
  void discardPartialEvent();
  const std::string &lastEventId() const { return newestEventId; }
  unsigned eventCount() const { return completeEvents; }

private:
  void scanEvents(std::string_view events);

  std::string buffer;
  std::size_t searchedBytes = 0; ///< bytes of `buffer` known to end no event
  std::string newestEventId;
  unsigned completeEvents = 0;
};

} // namespace catkin
