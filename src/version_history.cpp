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

std::set<ServiceName> VersionHistory::servicesWithSeveral(Instant from) const {
  std::set<ServiceName> out;
  for (auto &[service, versions] : lastSeen) {
    const auto n = std::count_if(versions.begin(), versions.end(),
                                 [&](auto &seen) { return seen.second >= from; });
    if (n > 1)
      out.insert(service);
  }
  return out;
}

} // namespace catkin
