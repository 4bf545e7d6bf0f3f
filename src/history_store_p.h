#pragma once

#include "env_p.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// Keeps the usage history of the retention policy in the platform, so that a new planner does not
/// start without one. The text is cut into parts planner/history/<n>, because a value holds at most
/// a megabyte. Parts of different saves are never mixed: each names its save and their number.
namespace catkin {

class HistoryStore {
public:
  using Save = std::function<std::string()>;
  using Restore = std::function<void(std::string_view)>;

  HistoryStore(Env &env, Save save, Restore restore);
  ~HistoryStore();

  /// Reads the newest complete save, then saves every `config::HistorySaveInterval`. Nothing is
  /// saved before the read has succeeded, so that a planner without history does not replace a good
  /// one.
  void lead(std::uint64_t term);
  void resign();
  /// True once the stored history has been read in this term.
  bool isRestored() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
