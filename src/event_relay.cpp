#include "event_relay_p.h"

#include <algorithm>
#include <array>
#include <utility>

namespace catkin {

namespace {

// A blank line ends an event. Lines end with a line feed, and may have a carriage return before it.
constexpr std::array<std::string_view, 2> EventEnds{"\n\n", "\n\r\n"};
constexpr std::size_t LongestEventEnd = 3;

/// Returns the position after the last complete event; 0 if there is none.
std::size_t endOfLastEvent(std::string_view bytes) {
  std::size_t end = 0;
  for (auto it : EventEnds) {
    const auto found = bytes.rfind(it);
    if (found != std::string_view::npos)
      end = std::max(end, found + it.size());
  }
  return end;
}

} // namespace

std::string EventRelay::takeCompleteEvents() {
  // Searches only the new bytes and those before them that may begin the end of an event.
  const std::size_t from = searchedBytes - std::min(searchedBytes, LongestEventEnd - 1);
  const auto found = endOfLastEvent(std::string_view(buffer).substr(from));
  searchedBytes = buffer.size();
  if (found == 0)
    return {};
  const auto end = from + found;
  std::string events = buffer.substr(0, end);
  buffer.erase(0, end);
  searchedBytes = buffer.size();
  scanEvents(events);
  return events;
}

bool EventRelay::isInsideEvent() const {
  return buffer.find_first_not_of("\r\n") != std::string::npos;
}

std::string EventRelay::takeRemainder() {
  searchedBytes = 0;
  return std::exchange(buffer, {});
}

void EventRelay::discardPartialEvent() {
  searchedBytes = 0;
  buffer.clear();
}

void EventRelay::scanEvents(std::string_view events) {
  std::size_t at = 0;
  while (at < events.size()) {
    auto end = events.find('\n', at);
    auto line = events.substr(at, end - at);
    at = end + 1;
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    if (line.empty())
      ++completeEvents;
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    while (line.starts_with(' '))
      line.remove_prefix(1);
    newestEventId = line;
  }
}

} // namespace catkin
