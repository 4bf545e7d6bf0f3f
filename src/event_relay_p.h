#pragma once

#include <string>
#include <string_view>

/// Splits the bytes of a server-sent event stream into complete events before they are relayed.
namespace catkin {

/// Passes on the complete events of a stream and holds back an incomplete one, so that a resumed
/// stream continues after the last event that the caller has received.
class EventRelay {
public:
  /// Appends bytes of the stream.
  void feed(std::string_view bytes) { buffer += bytes; }
  /// Removes and returns the complete events received so far.
  std::string takeCompleteEvents();
  /// Number of bytes received and not taken yet.
  std::size_t pendingBytes() const { return buffer.size(); }
  /// Returns true if the bytes not taken yet begin an event, so that a stream that ends here has
  /// been broken off. Blank lines begin none.
  bool isInsideEvent() const;
  /// Removes and returns the blank lines after the last event. For the end of a stream.
  std::string takeRemainder();
  /// Discards the bytes of an incomplete event.
  void discardPartialEvent();
  /// Id of the newest event taken; empty if no event had one.
  const std::string &lastEventId() const { return newestEventId; }
  /// Number of events taken.
  unsigned eventCount() const { return completeEvents; }

private:
  /// Counts complete events and remembers their newest id.
  void scanEvents(std::string_view events);

  std::string buffer;
  std::size_t searchedBytes = 0; ///< leading bytes of `buffer` that contain no end of an event
  std::string newestEventId;
  unsigned completeEvents = 0;
};

} // namespace catkin
