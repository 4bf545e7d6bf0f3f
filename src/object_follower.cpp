#include "object_follower_p.h"

#include "log_p.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace catkin {

struct ObjectFollower::Impl : std::enable_shared_from_this<ObjectFollower::Impl> {
  CoreEnv &env;
  ObjectFeed &feed;
  FollowerOptions options;
  Hooks hooks;
  std::map<std::string, std::uint64_t> knownRevisions; ///< by name of the object
  std::set<std::string> listedNames;                   ///< names in the pages of the current list
  std::string pageAfter;                               ///< name after which the next page begins
  std::optional<std::uint64_t> listRevision;           ///< revision of the first page
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
  bool everSynced = false;
  bool isConnected = false;
  bool stopped = false;
  bool isListing = false;
  Instant calledAt;
  std::uint64_t epoch = 0; ///< answers to calls of an earlier epoch are ignored

  Impl(CoreEnv &env, ObjectFeed &feed, FollowerOptions options, Hooks hooks)
      : env(env), feed(feed), options(std::move(options)), hooks(std::move(hooks)) {}

  /// Returns false if the answer to a call of this epoch is no longer relevant.
  bool isCurrent(std::uint64_t callEpoch) const { return !stopped && callEpoch == epoch; }

  void restart() {
    ++epoch;
    startList();
  }

  void restartWatch() {
    if (isListing || !everSynced || !isConnected)
      return; // the call in progress returns the newest state
    ++epoch;
    startWatch();
  }

  void setConnected(bool now) {
    if (std::exchange(isConnected, now) != now && hooks.connectionChanged)
      hooks.connectionChanged(now);
  }

  /// Runs `step` after `d` unless the epoch has changed by then.
  void schedule(Duration d, void (Impl::*step)()) {
    env.after(d, [self = shared_from_this(), step, epoch = epoch] {
      if (self->isCurrent(epoch))
        (self.get()->*step)();
    });
  }

  void startList() {
    isListing = true;
    listedNames.clear();
    listRevision.reset();
    pageAfter.clear();
    requestListPage();
  }

  void requestListPage() {
    calledAt = env.now();
    feed.list(options.kind, pageAfter,
              [self = shared_from_this(), epoch = epoch](const FeedPage &page) {
                if (self->isCurrent(epoch))
                  self->onList(page);
              });
  }

  void noteEra(const FeedPage &page) {
    if (page.era == era || page.era == 0)
      return; // a call without an answer names none
    logLine(era == 0 ? LogLevel::Info : LogLevel::Warn,
            era == 0 ? "store has an era" : "store has come back in another era",
            {{"kind", options.kind},
             {"era", page.era},
             {"before", era},
             {"revision", page.revision},
             {"known", revision}});
    era = page.era;
  }

  void onList(const FeedPage &page) {
    noteEra(page);
    if (page.status != FeedStatus::Ok) {
      setConnected(false);
      return schedule(options.retryPause, &Impl::requestListPage);
    }
    listRevision = listRevision.value_or(page.revision);
    for (auto &it : page.objects) {
      listedNames.insert(it.name);
      apply(it);
    }
    pageAfter = page.continueAfter;
    if (!pageAfter.empty())
      return requestListPage();
    isListing = false;
    removeUnlisted();
    // Objects of the first page may have changed while later pages were read, so the watch starts
    // from the revision of the first page.
    revision = *listRevision;
    everSynced = true;
    setConnected(true);
    startWatch();
  }

  /// Reports objects as removed that the new list does not contain.
  void removeUnlisted() {
    for (auto it = knownRevisions.begin(); it != knownRevisions.end();) {
      if (listedNames.count(it->first) > 0) {
        ++it;
        continue;
      }
      FeedObject gone{.name = it->first, .revision = it->second, .removed = true};
      it = knownRevisions.erase(it);
      hooks.changed(gone);
    }
  }

  void apply(const FeedObject &object) {
    auto it = knownRevisions.find(object.name);
    // A late answer to an earlier call must not restore an older state.
    if (it != knownRevisions.end() && object.revision <= it->second && !object.removed) {
      if (object.revision < it->second)
        logLine(LogLevel::Info, "object ignored, a newer revision is known",
                {{"kind", options.kind},
                 {"object", object.name},
                 {"revision", object.revision},
                 {"known", it->second}});
      return;
    }
    if (object.removed)
      knownRevisions.erase(object.name);
    else
      knownRevisions[object.name] = object.revision;
    hooks.changed(object);
  }

  void startWatch() {
    calledAt = env.now();
    feed.watch(options.kind, revision, options.limits,
               [self = shared_from_this(), epoch = epoch](const FeedPage &page) {
                 if (self->isCurrent(epoch))
                   self->onWatch(page);
               });
  }

  void onWatch(const FeedPage &page) {
    noteEra(page);
    if (page.status == FeedStatus::HistoryGone)
      return startList();
    if (page.status != FeedStatus::Ok) {
      setConnected(false);
      // A list is answered at once, so it detects the end of an outage sooner than a watch. The
      // time that the failed watch took counts towards the pause, to not delay the list further.
      const Duration paused = env.now() - calledAt;
      return schedule(std::max(options.retryPause - paused, Duration::zero()), &Impl::startList);
    }
    setConnected(true);
    for (auto &it : page.objects)
      apply(it);
    revision = std::max(revision, page.revision);
    schedule(page.objects.empty() ? Duration(0) : options.batchPause, &Impl::startWatch);
  }
};

ObjectFollower::ObjectFollower(CoreEnv &env, ObjectFeed &feed, FollowerOptions options, Hooks hooks)
    : impl(std::make_shared<Impl>(env, feed, std::move(options), std::move(hooks))) {}

ObjectFollower::~ObjectFollower() { impl->stopped = true; }

void ObjectFollower::start() { impl->startList(); }

void ObjectFollower::restart() { impl->restart(); }

void ObjectFollower::restartUnlessListing() {
  if (!impl->isListing)
    impl->restart();
}

void ObjectFollower::restartWatch() { impl->restartWatch(); }

ObjectFollower::Call ObjectFollower::lastCall() const {
  return {.isList = impl->isListing, .age = impl->env.now() - impl->calledAt};
}

std::uint64_t ObjectFollower::revision() const { return impl->revision; }

void ObjectFollower::setWatchLimits(const WatchLimits &limits) { impl->options.limits = limits; }

void ObjectFollower::setBatchPause(Duration pause) { impl->options.batchPause = pause; }

bool ObjectFollower::isSynced() const { return impl->everSynced; }

bool ObjectFollower::isConnected() const { return impl->isConnected; }

} // namespace catkin
