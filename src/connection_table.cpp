#include "connection_table_p.h"

#include <algorithm>
#include <utility>

namespace catkin {

namespace {

// Connections that are being closed still have their descriptors, so that their number is bounded
// by this part of the limit.
constexpr std::size_t ClosingShare = 8;

} // namespace

bool ConnectionTable::tryAdd(std::uint64_t id, Instant now, Close close) {
  Close closeVictim;
  {
    const std::lock_guard lock(mutex);
    if (entries.size() >= limit + closing) {
      closeVictim = makeRoom(now);
      if (!closeVictim) {
        ++refused;
        return false;
      }
    }
    entries.emplace(id, Entry{.waitingSince = now, .close = std::move(close)});
    waiting.insert({false, now, id});
  }
  if (closeVictim)
    closeVictim(CloseMode::IfWaiting);
  return true;
}

/// Chooses the connection to close for a new one. Returns its close function, or an empty one if
/// none can be closed.
ConnectionTable::Close ConnectionTable::makeRoom(Instant now) {
  if (waiting.empty() || closing >= std::max<std::size_t>(1, limit / ClosingShare))
    return {};
  const auto [hasSentRequest, since, id] = *waiting.begin();
  if (hasSentRequest && now - since < MinIdleTime)
    return {};
  waiting.erase(waiting.begin());
  Entry &victim = entries.at(id);
  victim.isClosing = true;
  ++closing;
  ++evicted;
  return victim.close;
}

/// The connection does not wait any more.
void ConnectionTable::stopWaiting(std::uint64_t id, Entry &entry) {
  waiting.erase({entry.hasSentRequest, entry.waitingSince, id});
  if (std::exchange(entry.isClosing, false))
    --closing;
}

void ConnectionTable::onWaiting(std::uint64_t id, Instant now) {
  const std::lock_guard lock(mutex);
  auto it = entries.find(id);
  if (it == entries.end())
    return;
  stopWaiting(id, it->second);
  it->second.waitingSince = now;
  waiting.insert({it->second.hasSentRequest, now, id});
}

void ConnectionTable::onRequest(std::uint64_t id) {
  const std::lock_guard lock(mutex);
  auto it = entries.find(id);
  if (it == entries.end())
    return;
  // A connection that was to be closed stays open if its request has arrived before.
  stopWaiting(id, it->second);
  it->second.hasSentRequest = true;
}

void ConnectionTable::remove(std::uint64_t id) {
  const std::lock_guard lock(mutex);
  auto it = entries.find(id);
  if (it == entries.end())
    return;
  stopWaiting(id, it->second);
  entries.erase(it);
}

void ConnectionTable::closeAll(CloseMode mode) {
  std::vector<Close> all;
  {
    const std::lock_guard lock(mutex);
    for (auto &[id, it] : entries)
      all.push_back(it.close);
  }
  for (auto &it : all)
    it(mode);
}

std::size_t ConnectionTable::size() const {
  const std::lock_guard lock(mutex);
  return entries.size();
}

std::uint64_t ConnectionTable::refusals() const {
  const std::lock_guard lock(mutex);
  return refused;
}

std::uint64_t ConnectionTable::evictions() const {
  const std::lock_guard lock(mutex);
  return evicted;
}

} // namespace catkin
