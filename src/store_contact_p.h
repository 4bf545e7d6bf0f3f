#pragma once

#include "object_follower_p.h"

#include <functional>
#include <optional>

/// Tells an outage of the platform's store, in which registrations of endpoints may have lapsed,
/// from a call that was merely cut off or answered late.
namespace catkin {

/// Passes the calls of all followers of a host on to the feed, and measures for how long none of
/// them was answered.
class StoreContact : public ObjectFeed {
public:
  struct Options {
    /// No registration lapses in a shorter outage.
    Duration shortestOutage = std::chrono::milliseconds(2400);
    /// Called for the first answer after an outage, before it is passed on.
    std::function<void()> outageEnded;
  };

  /// Both objects must outlive this one. Calls in progress may end after it is gone.
  StoreContact(CoreEnv &env, ObjectFeed &feed, Options options);
  void list(const std::string &kind, const std::string &after, FeedDone done) override;
  void get(const std::string &kind, const std::string &name, FeedDone done) override;
  void watch(const std::string &kind, StoreRevision revision, const WatchLimits &limits,
             FeedDone done) override;

private:
  struct State;
  FeedDone observe(FeedDone done) const;

  ObjectFeed &feed;
  std::shared_ptr<State> state;
};

} // namespace catkin
