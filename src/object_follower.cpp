#include "object_follower_p.h"

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
  std::map<std::string, std::uint64_t> knownRevisions; ///< revision by name
  std::set<std::string> listedNames;                   ///< names in the pages of the list under way
  std::string pageAfter;                               ///< name after which its next page begins
  std::optional<std::uint64_t> listRevision;           ///< of its first page
  std::uint64_t revision = 0;
  bool everSynced = false;
  bool isConnected = false;
  bool stopped = false;
  bool isListing = false;
  Instant calledAt;
  std::uint64_t epoch = 0; ///< answers to calls of an earlier one are ignored

  Impl(CoreEnv &env, ObjectFeed &feed, FollowerOptions options, Hooks hooks)
      : env(env), feed(feed), options(std::move(options)), hooks(std::move(hooks)) {}

  bool isCurrent(std::uint64_t callEpoch) const { return !stopped && callEpoch == epoch; }

  void restart() {
    ++epoch;
    startList();
  }

  void restartWatch() {
    if (isListing || !everSynced || !isConnected)
      return; // what is under way brings the newest state
    ++epoch;
    startWatch();
  }

  void setConnected(bool now) {
    if (std::exchange(isConnected, now) != now && hooks.connectionChanged)
      hooks.connectionChanged(now);
  }

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

  void onList(const FeedPage &page) {
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
    // Objects of the first page may have changed while the others were read.
    revision = *listRevision;
    everSynced = true;
    setConnected(true);
    startWatch();
  }

  /// Objects that went while no watch was heard.
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
    // A late answer of an earlier call must not bring back an older state.
    if (it != knownRevisions.end() && object.revision <= it->second && !object.removed)
      return;
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
    if (page.status == FeedStatus::HistoryGone)
      return startList();
    if (page.status != FeedStatus::Ok) {
      setConnected(false);
      // A list is answered at once, so that the end of an outage is noticed sooner than by a watch.
      // After a watch that was given up late, there is no time for a pause.
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
