#pragma once

#include "env_p.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Follows all objects of one kind in the platform's store: reads a list, then watches from its
/// revision, and reads a new list whenever the store no longer has the history or has come back
/// from an older copy.
namespace catkin {

/// An object as lists and watches return it.
struct FeedObject {
  std::string name;
  StoreRevision revision;
  bool removed = false;
  bool deleting = false; ///< its removal has begun
  boost::json::value content;
};

/// Result of a list or watch call.
enum class FeedStatus {
  Ok,
  HistoryGone, ///< the store dropped the history: a new list must be read
  Failed,      ///< refused, store unreachable or not answered
  Count
};
template <> struct EnumNames<FeedStatus> {
  static constexpr std::array<std::string_view, 3> Table{"ok", "history_gone", "failed"};
};

/// One page of a list, or the changes that a watch returned.
struct FeedPage {
  FeedStatus status = FeedStatus::Failed;
  std::vector<FeedObject> objects;
  StoreRevision revision;    ///< of the store, from which the next watch continues
  std::string continueAfter; ///< name before the next page of a list; empty on its last page
};
using FeedDone = std::function<void(FeedPage)>;

/// Parameters of a watch.
struct WatchLimits {
  Duration maxWait{};      ///< longest time until an answer without changes
  bool mayBeStale = false; ///< changes may be seconds late, which reduces the load on the store
};

/// Lists and watches the objects of a kind. Callbacks never run inside the call that takes them.
class ObjectFeed {
public:
  virtual ~ObjectFeed() = default;
  /// Reads the page of the list that begins after the name `after`, or the first one if it is
  /// empty.
  virtual void list(const std::string &kind, const std::string &after, FeedDone done) = 0;
  /// Reads one object. `done` gets a page without objects if there is none.
  virtual void get(const std::string &kind, const std::string &name, FeedDone done) = 0;
  /// Waits for changes after `revision`. `done` gets a page without objects if there is none within
  /// `limits.maxWait`.
  virtual void watch(const std::string &kind, StoreRevision revision, const WatchLimits &limits,
                     FeedDone done) = 0;
};

/// What to follow and how often to call the store.
struct FollowerOptions {
  std::string kind; ///< of the objects
  WatchLimits limits{.maxWait = std::chrono::seconds(20)};
  /// Pause after a watch that returned changes, so that one call delivers several changes.
  Duration batchPause = std::chrono::milliseconds(250);
  Duration retryPause = std::chrono::milliseconds(300); ///< after a failed call
};

/// Keeps a subscriber up to date with all objects of one kind.
class ObjectFollower {
public:
  struct Hooks {
    /// Receives every new or changed object, and every removed one with `removed` set.
    std::function<void(const FeedObject &)> changed;
    /// Called when the connection to the store is lost or restored. May be empty.
    std::function<void(bool connected)> connectionChanged;
    /// Called when the store has come back from an older copy, before the objects of the copy are
    /// reported. May be empty.
    std::function<void(std::uint64_t era)> restored;
    /// Called after the objects of a complete list or of a watch were reported, unless that may
    /// have been answered from a stale copy: all changes are known that the store had confirmed
    /// before `sentAt`, by CoreEnv::bootTime(). May be empty.
    std::function<void(Instant sentAt, std::uint64_t era)> upToDate;
  };

  ObjectFollower(CoreEnv &env, ObjectFeed &feed, FollowerOptions options, Hooks hooks);
  ~ObjectFollower();
  /// Starts with a list.
  void start();
  /// Starts again from a list, for example if the watch may no longer be answered.
  void restart();
  /// Calls restart() unless a list is being read.
  void restartUnlessListing();
  /// Calls restartUnlessListing() if no answer of the store's era `era` or a later one has come.
  void restartIfBefore(std::uint64_t era);
  /// Starts a new watch from the newest known revision, which replaces the current watch or pause.
  /// Does nothing while a list is being read or the store is not connected.
  void restartWatch();
  /// The call in progress, or else the last one.
  struct Call {
    bool isList = false;
    Duration age{}; ///< time since its start
  };
  Call lastCall() const;
  /// Returns the revision of the store up to which all changes are known.
  StoreRevision revision() const;
  /// Sets the limits of all later watches.
  void setWatchLimits(const WatchLimits &limits);
  /// Sets the pause after later watches that return changes.
  void setBatchPause(Duration pause);
  /// Returns true if a complete list has been read since the start.
  bool isSynced() const;
  /// Returns true if the last complete list or watch succeeded. A watch in progress changes
  /// nothing.
  bool isConnected() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
