#include "event_relay_p.h"

#include <utility>

namespace catkin {

std::string EventRelay::takeCompleteEvents() {
  // Searches only the new bytes and the byte before them, which may be the first half of the blank
  // line that ends an event.
  const std::size_t from = searchedBytes > 0 ? searchedBytes - 1 : 0;
  const auto found = std::string_view(buffer).substr(from).rfind("\n\n");
  searchedBytes = buffer.size();
  if (found == std::string_view::npos)
    return {};
  const auto end = from + found + 2;
  std::string events = buffer.substr(0, end);
  buffer.erase(0, end);
  searchedBytes = buffer.size();
  scanEvents(events);
  return events;
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
