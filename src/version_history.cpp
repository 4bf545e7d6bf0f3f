#include "version_history_p.h"

#include <algorithm>

namespace catkin {

void VersionHistory::onSeen(const ServiceName &service, const SoftwareVersion &version,
                            Instant now) {
  constexpr std::size_t MaxVersions = 32; // of one service
  auto &versions = lastSeen[service];
  versions[version] = now;
  if (versions.size() <= MaxVersions)
    return;
  auto oldest = versions.begin();
  for (auto it = versions.begin(); it != versions.end(); ++it)
    if (it->second < oldest->second)
      oldest = it;
  versions.erase(oldest);
}

bool VersionHistory::hasSeenOther(const ServiceName &service, const SoftwareVersion &version,
                                  Instant from) const {
  auto it = lastSeen.find(service);
  return it != lastSeen.end() && std::any_of(it->second.begin(), it->second.end(), [&](auto &seen) {
           return seen.first != version && seen.second >= from;
         });
}

bool VersionHistory::hasSeenSeveral(const ServiceName &service, Instant from) const {
  auto it = lastSeen.find(service);
  return it != lastSeen.end() && std::count_if(it->second.begin(), it->second.end(),
                                               [&](auto &seen) { return seen.second >= from; }) > 1;
}

bool VersionHistory::hasSeenSeveral(Instant from) const {
  return std::any_of(lastSeen.begin(), lastSeen.end(),
                     [&](auto &it) { return hasSeenSeveral(it.first, from); });
}

} // namespace catkin
