#include "route_table_p.h"

#include <algorithm>
#include <cstdlib>

namespace catkin {

namespace {

// Removed rows remembered for deltas. A host that is further behind gets the full table.
constexpr std::size_t MaxRemovedRows = 1024;
// A lagged load figure is sent again only when it moved by this much, since hosts mostly act on
// their own requests in flight and each version costs a message to every host.
constexpr int LoadStep = 4;

bool loadMoved(int before, int after) {
  return std::abs(after - before) >= std::max(LoadStep, before / 2);
}

bool routersCare(const RouteEntry &a, const RouteEntry &b) {
  return a.address != b.address || a.dataCentre != b.dataCentre || a.state != b.state ||
         a.leaving != b.leaving || a.generation != b.generation ||
         loadMoved(a.running, b.running) || loadMoved(a.queued, b.queued);
}

} // namespace

void RouteTable::touch(const Key &key, Row &row) {
  changes.erase(row.changedAt);
  row.changedAt = ++currentVersion;
  changes[row.changedAt] = key;
}

void RouteTable::set(const RouteEntry &entry) {
  Key key{entry.model, entry.endpoint};
  auto [it, inserted] = rows.try_emplace(key);
  auto &row = it->second;
  if (!inserted && !row.removed && !routersCare(row.entry, entry))
    return;
  if (row.removed)
    --removedRows;
  row.entry = entry;
  row.removed = false;
  touch(key, row);
}

void RouteTable::remove(const ModelName &model, const EndpointName &endpoint) {
  Key key{model, endpoint};
  auto it = rows.find(key);
  if (it == rows.end() || it->second.removed)
    return;
  it->second.removed = true;
  touch(key, it->second);
  if (++removedRows > MaxRemovedRows)
    forgetOldRemovals();
}

void RouteTable::forgetOldRemovals() {
  for (auto it = changes.begin(); it != changes.end() && removedRows > MaxRemovedRows / 2;) {
    auto row = rows.find(it->second);
    if (!row->second.removed) {
      ++it;
      continue;
    }
    deltaSince = it->first;
    rows.erase(row);
    it = changes.erase(it);
    --removedRows;
  }
}

void RouteTable::fillDelta(std::uint64_t hostVersion, SyncReply &reply) const {
  reply.tableVersion = currentVersion;
  reply.entries.clear();
  reply.removed.clear();
  reply.fullTable = hostVersion == 0 || hostVersion < deltaSince || hostVersion > currentVersion;
  if (reply.fullTable) {
    reply.entries = entries();
    return;
  }
  for (auto it = changes.upper_bound(hostVersion); it != changes.end(); ++it) {
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
    changes.clear();
    removedRows = 0;
  }
  for (auto &it : reply.entries)
    rows[{it.model, it.endpoint}] = {.entry = it};
  for (auto &key : reply.removed)
    rows.erase(key);
  currentVersion = reply.tableVersion;
  deltaSince = currentVersion;
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
