#include "object_store_p.h"

#include <algorithm>

namespace catkin::standin {

std::optional<StoreObject> ObjectStore::get(const std::string &key) const {
  const auto it = objects.find(key);
  return it == objects.end() ? std::nullopt : std::optional(it->second);
}

std::vector<StoreObject> ObjectStore::list(const std::string &prefix) const {
  std::vector<StoreObject> found;
  for (auto it = objects.lower_bound(prefix); it != objects.end(); ++it) {
    if (!it->first.starts_with(prefix))
      break;
    found.push_back(it->second);
  }
  return found;
}

std::uint64_t ObjectStore::versionOf(const std::string &key) const {
  const auto it = objects.find(key);
  return it == objects.end() ? 0 : it->second.version;
}

std::pair<StoreStatus, std::uint64_t> ObjectStore::put(const std::string &key, std::string value,
                                                       std::uint64_t expected) {
  if (value.size() > MaxValueBytes)
    return {StoreStatus::Refused, 0};
  const auto current = versionOf(key);
  if (current != expected)
    return {StoreStatus::Conflict, current};
  objects[key] = {key, ++lastVersion, std::move(value)};
  return {StoreStatus::Ok, lastVersion};
}

std::pair<StoreStatus, std::uint64_t> ObjectStore::erase(const std::string &key,
                                                         std::uint64_t expected) {
  const auto current = versionOf(key);
  if (current == 0)
    return {StoreStatus::NotFound, 0};
  if (current != expected)
    return {StoreStatus::Conflict, current};
  objects.erase(key);
  return {StoreStatus::Ok, current};
}

bool CallBudget::tryConsume(Instant at) {
  if (lastRefill != Instant::min())
    tokens = std::min(rate, tokens + toSeconds(at - lastRefill) * rate);
  lastRefill = at;
  if (tokens < 1)
    return false;
  tokens -= 1;
  return true;
}

} // namespace catkin::standin
