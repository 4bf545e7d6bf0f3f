#pragma once

#include "messages_p.h"

#include <cstddef>
#include <map>
#include <utility>

/// The planner's routing table. Its changes are versioned, so that a host receives only those that
/// it has not seen.
namespace catkin {

/// Replicas by model and endpoint. Used by the planner and, through apply(), by each host.
class RouteTable {
public:
  using Key = std::pair<ModelName, EndpointName>;

  std::uint64_t version() const { return currentVersion; }

  /// Inserts or changes an entry. The version increases only if the change affects routing; a small
  /// change of the load is not stored.
  void set(const RouteEntry &entry);
  void remove(const ModelName &model, const EndpointName &endpoint);

  /// Fills tableVersion, fullTable, entries and removed of `reply` for a host that has version
  /// `hostVersion` of the table of the same term (0: none). Takes time proportional to the number
  /// of changes since then.
  void fillDelta(std::uint64_t hostVersion, SyncReply &reply) const;

  /// Applies a reply that fillDelta() has filled.
  void apply(const SyncReply &reply);

  std::vector<RouteEntry> entries() const;
  std::vector<RouteEntry> entriesOf(const ModelName &model) const;

private:
  struct Row {
    RouteEntry entry;
    std::uint64_t changeVersion = 0; ///< version of the last change
    bool removed = false;            ///< the row is kept to send the removal to hosts
  };

  /// Gives the row a new version.
  void markChanged(const Key &key, Row &row);
  /// Erases the oldest removed rows down to half of the limit.
  void pruneRemovedRows();

  std::map<Key, Row> rows;
  std::map<std::uint64_t, Key> keysByVersion; ///< by the version of each row's last change
  std::uint64_t currentVersion = 0;
  std::uint64_t oldestDeltaBase = 0; ///< a host with an older version needs the full table
  std::size_t removedRowCount = 0;
};

} // namespace catkin
