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
  std::map<std::string, std::uint64_t> known; ///< revision by name
  std::set<std::string> listed;               ///< names in the pages of the list under way
  std::string pageAfter;                      ///< name after which its next page begins
  std::optional<std::uint64_t> listRevision;  ///< of its first page
  std::uint64_t revision = 0;
  bool everSynced = false;
  bool isConnected = false;
  bool stopped = false;
  bool isListing = false;
  Instant calledAt;
  std::uint64_t epoch = 0; ///< answers to calls of an earlier one are ignored

  Impl(CoreEnv &env, ObjectFeed &feed, FollowerOptions options, Hooks hooks)
      : env(env), feed(feed), options(std::move(options)), hooks(std::move(hooks)) {}

  bool wanted(std::uint64_t callEpoch) const { return !stopped && callEpoch == epoch; }

  void restart() {
    ++epoch;
    startList();
  }

  void refresh() {
    if (isListing || !everSynced || !isConnected)
      return; // what is under way brings the newest state
    ++epoch;
    startWatch();
  }

  void setConnected(bool now) {
    if (std::exchange(isConnected, now) != now && hooks.connection)
      hooks.connection(now);
  }

  void later(Duration d, void (Impl::*step)()) {
    env.after(d, [self = shared_from_this(), step, epoch = epoch] {
      if (self->wanted(epoch))
        (self.get()->*step)();
    });
  }

  void startList() {
    isListing = true;
    listed.clear();
    listRevision.reset();
    pageAfter.clear();
    listPage();
  }

  void listPage() {
    calledAt = env.now();
    feed.list(options.kind, pageAfter,
              [self = shared_from_this(), epoch = epoch](const FeedPage &page) {
                if (self->wanted(epoch))
                  self->onList(page);
              });
  }

  void onList(const FeedPage &page) {
    if (page.status != FeedStatus::Ok) {
      setConnected(false);
      return later(options.retryPause, &Impl::listPage);
    }
    listRevision = listRevision.value_or(page.revision);
    for (auto &it : page.objects) {
      listed.insert(it.name);
      apply(it);
    }
    pageAfter = page.nextAfter;
    if (!pageAfter.empty())
      return listPage();
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
    for (auto it = known.begin(); it != known.end();) {
      if (listed.count(it->first) > 0) {
        ++it;
        continue;
      }
      FeedObject gone{.name = it->first, .revision = it->second, .removed = true};
      it = known.erase(it);
      hooks.changed(gone);
    }
  }

  void apply(const FeedObject &object) {
    auto it = known.find(object.name);
    // A late answer of an earlier call must not bring back an older state.
    if (it != known.end() && object.revision <= it->second && !object.removed)
      return;
    if (object.removed)
      known.erase(object.name);
    else
      known[object.name] = object.revision;
    hooks.changed(object);
  }

  void startWatch() {
    calledAt = env.now();
    feed.watch(options.kind, revision, options.limits,
               [self = shared_from_this(), epoch = epoch](const FeedPage &page) {
                 if (self->wanted(epoch))
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
      return later(std::max(options.retryPause - paused, Duration::zero()), &Impl::startList);
    }
    setConnected(true);
    for (auto &it : page.objects)
      apply(it);
    revision = std::max(revision, page.revision);
    later(page.objects.empty() ? Duration(0) : options.batchPause, &Impl::startWatch);
  }
};

ObjectFollower::ObjectFollower(CoreEnv &env, ObjectFeed &feed, FollowerOptions options, Hooks hooks)
    : impl(std::make_shared<Impl>(env, feed, std::move(options), std::move(hooks))) {}

ObjectFollower::~ObjectFollower() { impl->stopped = true; }

void ObjectFollower::start() { impl->startList(); }

void ObjectFollower::restart() { impl->restart(); }

void ObjectFollower::catchUp() {
  if (!impl->isListing)
    impl->restart();
}

void ObjectFollower::refresh() { impl->refresh(); }

ObjectFollower::Call ObjectFollower::lastCall() const {
  return {.isList = impl->isListing, .age = impl->env.now() - impl->calledAt};
}

std::uint64_t ObjectFollower::revision() const { return impl->revision; }

void ObjectFollower::setWatchLimits(const WatchLimits &limits) { impl->options.limits = limits; }

void ObjectFollower::setBatchPause(Duration pause) { impl->options.batchPause = pause; }

bool ObjectFollower::synced() const { return impl->everSynced; }

bool ObjectFollower::connected() const { return impl->isConnected; }

} // namespace catkin
