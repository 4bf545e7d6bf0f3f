#include "stream_origins_p.h"

#include <algorithm>

#include <xxhash.h>

namespace catkin {

StreamKey streamKey(std::string_view firstRequestId) {
  return {XXH64(firstRequestId.data(), firstRequestId.size(), 0)};
}

bool StreamOrigins::record(const StreamKey &key, const StreamOrigin &origin, Duration lifetime,
                           Instant now) {
  return merge(key, {.origin = origin, .since = now, .expiresAt = now + lifetime});
}

bool StreamOrigins::merge(const StreamKey &key, const Record &added) {
  auto [it, isNew] = records.try_emplace(key, added);
  auto &record = it->second;
  const bool sameVersion = record.origin.service == added.origin.service &&
                           record.origin.version == added.origin.version;
  const bool wasDoubtful = record.doubtful;
  const bool isExtended = added.expiresAt >= record.expiresAt + MinExtension;
  record.doubtful = record.doubtful || added.doubtful || !sameVersion;
  record.since = std::min(record.since, added.since);
  if (!isNew)
    byExpiry.erase({record.expiresAt, key});
  record.expiresAt = std::max(record.expiresAt, added.expiresAt);
  byExpiry.emplace(record.expiresAt, key);
  const bool isDoubtNew = record.doubtful && !wasDoubtful;
  if (records.size() > capacity)
    drop(records.find(byExpiry.begin()->second));
  return isNew || isExtended || isDoubtNew;
}

void StreamOrigins::doubt(const StreamKey &key) {
  auto it = records.find(key);
  if (it != records.end())
    it->second.doubtful = true;
}

void StreamOrigins::onReplaced(const EndpointIncarnation &current, const SoftwareVersion &version,
                               Instant from) {
  for (auto &[key, it] : records) {
    const auto &writer = it.origin.writer;
    if (writer.endpoint == current.endpoint && writer.incarnation < current.incarnation &&
        it.origin.version != version && it.since >= from)
      it.doubtful = true;
  }
}

const StreamOrigins::Record *StreamOrigins::find(const StreamKey &key) const {
  auto it = records.find(key);
  return it == records.end() ? nullptr : &it->second;
}

std::vector<StreamKey> StreamOrigins::keys() const {
  std::vector<StreamKey> out;
  out.reserve(records.size());
  for (auto &[key, record] : records)
    out.push_back(key);
  return out;
}

void StreamOrigins::expire(Instant now) {
  while (!byExpiry.empty() && byExpiry.begin()->first <= now)
    drop(records.find(byExpiry.begin()->second));
}

void StreamOrigins::drop(std::map<StreamKey, Record>::iterator it) {
  byExpiry.erase({it->second.expiresAt, it->first});
  records.erase(it);
}

} // namespace catkin
