#pragma once

#include "messages_p.h"

#include <cstddef>
#include <map>
#include <utility>

/// The planner's routing table with versions, so that a host is sent only what it lacks.
namespace catkin {

class RouteTable {
public:
  using Key = std::pair<ModelName, EndpointName>;

  std::uint64_t version() const { return currentVersion; }

  /// Inserts or changes an entry. The version grows only if something a router acts on differs.
  void set(const RouteEntry &entry);
  void remove(const ModelName &model, const EndpointName &endpoint);

  /// Fills tableVersion, fullTable, entries and removed of `reply` for a host that has
  /// `hostVersion` of the table of the same term (0: none). Cost is proportional to the changes.
  void fillDelta(std::uint64_t hostVersion, SyncReply &reply) const;

  /// Applies what fillDelta produced.
  void apply(const SyncReply &reply);

  std::vector<RouteEntry> entries() const;
  std::vector<RouteEntry> entriesOf(const ModelName &model) const;

private:
  struct Row {
    RouteEntry entry;
    std::uint64_t changeVersion = 0;
    bool removed = false; ///< kept so that hosts learn of the removal
  };

  void markChanged(const Key &key, Row &row);
  void pruneRemovedRows();

  std::map<Key, Row> rows;
  std::map<std::uint64_t, Key> keysByVersion; ///< newest change of each row
  std::uint64_t currentVersion = 0;
  std::uint64_t oldestDeltaBase = 0; ///< a host with an older version needs the full table
  std::size_t removedRowCount = 0;
};

} // namespace catkin
