#pragma once

#include "env_p.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// Stores the usage history of the retention policy in the platform's store, so that a new planner
/// can continue with it. The text is split into objects planner/history/<n>, because a value holds
/// at most 1 MB. Each part names its save and the number of parts, so that parts of different saves
/// are never combined.
namespace catkin {

/// Loads the history when a planner's term begins and saves it periodically.
class HistoryStore {
public:
  /// Returns the history as text. Nothing is saved if it is empty.
  using Save = std::function<std::string()>;
  /// Receives the text of the newest complete save.
  using Restore = std::function<void(std::string_view)>;

  HistoryStore(Env &env, Save save, Restore restore);
  ~HistoryStore();

  /// Begins a term as planner: reads the newest complete save, then saves every
  /// `config::HistorySaveInterval`. Nothing is saved before the read has succeeded, so that a
  /// planner without history does not overwrite the stored one.
  void lead(std::uint64_t term);
  /// Ends the term. Saves that are due and replies to calls of the term are ignored.
  void resign();
  /// True once the store has been read in this term, also if it held no history.
  bool isRestored() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
