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
  std::map<std::string, StoreRevision> knownRevisions; ///< by name of the object
  std::set<std::string> listedNames;                   ///< names in the pages of the current list
  std::string pageAfter;                               ///< name after which the next page begins
  std::optional<StoreRevision> listRevision;           ///< revision of the first page
  StoreRevision revision; ///< its era is the newest that an answer has named
  bool everSynced = false;
  bool isConnected = false;
  bool stopped = false;
  bool isListing = false;
  Instant calledAt;
  Instant sentAt;           ///< the list or watch in progress, by CoreEnv::bootTime()
  bool isStaleCall = false; ///< the watch in progress may be answered from a stale copy
  std::uint64_t epoch = 0;  ///< answers to calls of an earlier epoch are ignored

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
    if (pageAfter.empty())
      sentAt = env.bootTime();
    feed.list(options.kind, pageAfter,
              [self = shared_from_this(), epoch = epoch](const FeedPage &page) {
                if (self->isCurrent(epoch))
                  self->onList(page);
              });
  }

  /// Compares the era of an answer with the newest known one. Returns the pause before a new list
  /// if the answer must not be used: it comes from before a restore, or continues what was read
  /// before it.
  std::optional<Duration> checkEra(const FeedPage &page, bool continues) {
    if (page.revision.era == revision.era)
      return std::nullopt;
    if (page.revision.era < revision.era) // a call that failed names no era
      return page.status == FeedStatus::Ok ? std::optional(options.retryPause) : std::nullopt;
    const bool isFirst = revision.era == 0 && !everSynced;
    logLine(isFirst ? LogLevel::Info : LogLevel::Warn,
            isFirst ? "store has an era" : "store has come back from an older copy",
            {{"kind", options.kind},
             {"era", page.revision.era},
             {"before", revision.era},
             {"revision", page.revision.number},
             {"known", revision.number}});
    const std::uint64_t era = page.revision.era;
    revision = {era, 0};
    if (!isFirst && hooks.restored)
      hooks.restored(era);
    return continues ? std::optional(Duration(0)) : std::nullopt;
  }

  void onList(const FeedPage &page) {
    if (const auto pause = checkEra(page, !pageAfter.empty()))
      return schedule(*pause, &Impl::startList);
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
    if (hooks.upToDate)
      hooks.upToDate(sentAt, revision.era);
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
                 {"revision", object.revision.number},
                 {"known", it->second.number}});
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
    sentAt = env.bootTime();
    isStaleCall = options.limits.mayBeStale;
    feed.watch(options.kind, revision, options.limits,
               [self = shared_from_this(), epoch = epoch](const FeedPage &page) {
                 if (self->isCurrent(epoch))
                   self->onWatch(page);
               });
  }

  void onWatch(const FeedPage &page) {
    if (const auto pause = checkEra(page, true))
      return schedule(*pause, &Impl::startList);
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
    if (hooks.upToDate && !isStaleCall)
      hooks.upToDate(sentAt, revision.era);
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

void ObjectFollower::restartIfBefore(std::uint64_t era) {
  if (impl->revision.era < era)
    restartUnlessListing();
}

ObjectFollower::Call ObjectFollower::lastCall() const {
  return {.isList = impl->isListing, .age = impl->env.now() - impl->calledAt};
}

StoreRevision ObjectFollower::revision() const { return impl->revision; }

void ObjectFollower::setWatchLimits(const WatchLimits &limits) { impl->options.limits = limits; }

void ObjectFollower::setBatchPause(Duration pause) { impl->options.batchPause = pause; }

bool ObjectFollower::isSynced() const { return impl->everSynced; }

bool ObjectFollower::isConnected() const { return impl->isConnected; }

} // namespace catkin
