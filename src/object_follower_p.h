#pragma once

#include "env_p.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Follows all objects of one kind in the platform's store: a list, then watches from its revision,
/// and a new list whenever the history has been dropped.
namespace catkin {

struct FeedObject {
  std::string name;
  std::uint64_t revision = 0;
  bool removed = false;
  bool deleting = false;
  boost::json::value content;
};

enum class FeedStatus {
  Ok,
  HistoryGone, ///< the watch must start again from a list
  Failed,      ///< refused, unreachable or not answered
  Count
};
template <> struct EnumNames<FeedStatus> {
  static constexpr std::array<std::string_view, 3> Table{"ok", "history_gone", "failed"};
};

struct FeedPage {
  FeedStatus status = FeedStatus::Failed;
  std::vector<FeedObject> objects;
  std::uint64_t revision = 0; ///< of the store, from which to go on
  std::string continueAfter;  ///< of a list that goes on; empty at its end
};
using FeedDone = std::function<void(FeedPage)>;

struct WatchLimits {
  Duration maxWait{};
  bool mayBeStale = false; ///< changes may come seconds late, which costs the store less
};

/// Reads kinds of objects. Every callback runs later.
class ObjectFeed {
public:
  virtual ~ObjectFeed() = default;
  virtual void list(const std::string &kind, const std::string &after, FeedDone done) = 0;
  /// Answers when something has changed after `revision`, or empty after the longest wait.
  virtual void watch(const std::string &kind, std::uint64_t revision, const WatchLimits &limits,
                     FeedDone done) = 0;
};

struct FollowerOptions {
  std::string kind;
  WatchLimits limits{.maxWait = std::chrono::seconds(20)};
  /// Pause after a watch that answered with changes, so that several changes share one call.
  Duration batchPause = std::chrono::milliseconds(250);
  Duration retryPause = std::chrono::milliseconds(300);
};

class ObjectFollower {
public:
  /// `changed` gets each new or changed object, and each that has gone with `removed` set.
  /// `connection` is called when the store is lost or regained.
  struct Hooks {
    std::function<void(const FeedObject &)> changed;
    std::function<void(bool connected)> connectionChanged;
  };

  ObjectFollower(CoreEnv &env, ObjectFeed &feed, FollowerOptions options, Hooks hooks);
  ~ObjectFollower();
  void start();
  /// Starts again from a list. For a watch that may have gone silent.
  void restart();
  /// Starts again from a list unless one is being read.
  void restartUnlessListing();
  /// Watches again from the newest known revision, in place of a pause or of the watch under way.
  void restartWatch();
  /// The call under way, or the last one while there is none.
  struct Call {
    bool isList = false;
    Duration age{}; ///< since it began
  };
  Call lastCall() const;
  /// Of the store, up to which all changes are known.
  std::uint64_t revision() const;
  /// Of the watches that begin later.
  void setWatchLimits(const WatchLimits &limits);
  void setBatchPause(Duration pause);
  bool isSynced() const; ///< a whole list has been read since the start
  /// True while the newest call has been answered, or waits as a watch does.
  bool isConnected() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
