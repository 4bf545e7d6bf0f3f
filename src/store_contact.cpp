#include "store_contact_p.h"

#include "log_p.h"

#include <utility>

namespace catkin {

struct StoreContact::State {
  CoreEnv &env;
  Options options;
  std::optional<Instant> answeredAt; ///< newest answer, by CoreEnv::bootTime()
  bool hasFailed = false;            ///< a call has failed since

  /// A watch that waits is no outage, so a failed call must be part of it.
  void onResult(FeedStatus status) {
    if (status == FeedStatus::Failed) {
      hasFailed = true;
      return;
    }
    const Instant now = env.bootTime();
    const Duration silence = now - answeredAt.value_or(now);
    answeredAt = now;
    if (!std::exchange(hasFailed, false))
      return;
    const bool isOutage = silence >= options.shortestOutage;
    logLine(LogLevel::Info, isOutage ? "store answers after an outage" : "store answers again",
            {{"silence_ms", toMillis(silence)},
             {"shortest_outage_ms", toMillis(options.shortestOutage)}});
    if (isOutage)
      options.outageEnded();
  }
};

StoreContact::StoreContact(CoreEnv &env, ObjectFeed &feed, Options options)
    : feed(feed), state(std::make_shared<State>(State{.env = env, .options = std::move(options)})) {
}

FeedDone StoreContact::observe(FeedDone done) const {
  return [weak = std::weak_ptr(state), done = std::move(done)](FeedPage page) {
    if (auto it = weak.lock())
      it->onResult(page.status);
    done(std::move(page));
  };
}

void StoreContact::list(const std::string &kind, const std::string &after, FeedDone done) {
  feed.list(kind, after, observe(std::move(done)));
}

void StoreContact::get(const std::string &kind, const std::string &name, FeedDone done) {
  feed.get(kind, name, observe(std::move(done)));
}

void StoreContact::watch(const std::string &kind, StoreRevision revision, const WatchLimits &limits,
                         FeedDone done) {
  feed.watch(kind, revision, limits, observe(std::move(done)));
}

} // namespace catkin
