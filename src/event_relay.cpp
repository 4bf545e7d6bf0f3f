#include "event_relay_p.h"

#include <utility>

namespace catkin {

std::string EventRelay::take() {
  auto end = buffer.rfind("\n\n");
  if (end == std::string::npos)
    return {};
  std::string events = buffer.substr(0, end + 2);
  buffer.erase(0, end + 2);
  noteIds(events);
  return events;
}

std::string EventRelay::takeRest() { return std::exchange(buffer, {}); }

void EventRelay::noteIds(std::string_view events) {
  std::size_t at = 0;
  while (at < events.size()) {
    auto end = events.find('\n', at);
    auto line = events.substr(at, end - at);
    at = end + 1;
    if (line.empty())
      ++count;
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    while (line.starts_with(' '))
      line.remove_prefix(1);
    newestId = line;
  }
}

} // namespace catkin
