#include "route_table_p.h"

#include <algorithm>
#include <cstdlib>

namespace catkin {

namespace {

// Number of removed rows that are kept for deltas. A host that is further behind receives the
// full table.
constexpr std::size_t MaxRemovedRows = 1024;
// Minimum change of a load value that is sent to hosts. Hosts route mostly by their own requests in
// flight, and each version costs a message to every host.
constexpr int MinLoadChange = 4;

bool hasLoadChanged(int before, int after) {
  return std::abs(after - before) >= std::max(MinLoadChange, before / 2);
}

/// True if the difference between the entries matters to routers.
bool affectsRouting(const RouteEntry &a, const RouteEntry &b) {
  return a.address != b.address || a.dataCentre != b.dataCentre || a.state != b.state ||
         a.leaving != b.leaving || a.generation != b.generation ||
         hasLoadChanged(a.running, b.running) || hasLoadChanged(a.queued, b.queued);
}

} // namespace

void RouteTable::markChanged(const Key &key, Row &row) {
  keysByVersion.erase(row.changeVersion);
  row.changeVersion = ++currentVersion;
  keysByVersion[row.changeVersion] = key;
}

void RouteTable::set(const RouteEntry &entry) {
  Key key{entry.model, entry.endpoint};
  auto [it, inserted] = rows.try_emplace(key);
  auto &row = it->second;
  if (!inserted && !row.removed && !affectsRouting(row.entry, entry))
    return;
  if (row.removed)
    --removedRowCount;
  row.entry = entry;
  row.removed = false;
  markChanged(key, row);
}

void RouteTable::remove(const ModelName &model, const EndpointName &endpoint) {
  Key key{model, endpoint};
  auto it = rows.find(key);
  if (it == rows.end() || it->second.removed)
    return;
  it->second.removed = true;
  markChanged(key, it->second);
  if (++removedRowCount > MaxRemovedRows)
    pruneRemovedRows();
}

void RouteTable::pruneRemovedRows() {
  for (auto it = keysByVersion.begin();
       it != keysByVersion.end() && removedRowCount > MaxRemovedRows / 2;) {
    auto row = rows.find(it->second);
    if (!row->second.removed) {
      ++it;
      continue;
    }
    oldestDeltaBase = it->first;
    rows.erase(row);
    it = keysByVersion.erase(it);
    --removedRowCount;
  }
}

void RouteTable::fillDelta(std::uint64_t hostVersion, SyncReply &reply) const {
  reply.tableVersion = currentVersion;
  reply.entries.clear();
  reply.removed.clear();
  reply.fullTable =
      hostVersion == 0 || hostVersion < oldestDeltaBase || hostVersion > currentVersion;
  if (reply.fullTable) {
    reply.entries = entries();
    return;
  }
  for (auto it = keysByVersion.upper_bound(hostVersion); it != keysByVersion.end(); ++it) {
    auto &row = rows.at(it->second);
    if (row.removed)
      reply.removed.push_back(it->second);
    else
      reply.entries.push_back(row.entry);
  }
}

void RouteTable::apply(const SyncReply &reply) {
  if (reply.fullTable) {
    rows.clear();
    keysByVersion.clear();
    removedRowCount = 0;
  }
  for (auto &it : reply.entries)
    rows[{it.model, it.endpoint}] = {.entry = it};
  for (auto &key : reply.removed)
    rows.erase(key);
  currentVersion = reply.tableVersion;
  oldestDeltaBase = currentVersion;
}

std::vector<RouteEntry> RouteTable::entries() const {
  std::vector<RouteEntry> found;
  for (auto &[key, row] : rows)
    if (!row.removed)
      found.push_back(row.entry);
  return found;
}

std::vector<RouteEntry> RouteTable::entriesOf(const ModelName &model) const {
  std::vector<RouteEntry> found;
  for (auto it = rows.lower_bound({model, EndpointName()});
       it != rows.end() && it->first.first == model; ++it)
    if (!it->second.removed)
      found.push_back(it->second.entry);
  return found;
}

} // namespace catkin
