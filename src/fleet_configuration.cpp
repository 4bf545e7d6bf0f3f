#include "fleet_configuration_p.h"

#include "config.h"
#include "log_p.h"

#include <utility>

namespace catkin {

struct FleetConfiguration::Impl : std::enable_shared_from_this<FleetConfiguration::Impl> {
  CoreEnv &env;
  ConfigSource &configSource;
  FleetConfigurationOptions options;
  Hooks hooks;
  ObjectFollower follower;
  ConfigCatchUp catchUp;
  std::uint64_t version = 0;
  std::string serializedObject;
  bool catchUpScheduled = false; ///< continueCatchUp() has been scheduled
  bool stopped = false;

  Impl(CoreEnv &env, ObjectFeed &feed, ConfigSource &configSource, FleetConfigurationOptions o,
       Hooks h)
      : env(env), configSource(configSource), options(std::move(o)), hooks(std::move(h)),
        follower(env, feed, {.kind = options.kind, .limits = options.watch},
                 {.changed = [this](auto &it) { onStoreObject(it); },
                  .connectionChanged = hooks.connectionChanged,
                  .restored = hooks.restored,
                  .upToDate = [this](Instant sentAt,
                                     std::uint64_t era) { onStoreAnswer(sentAt, era); }}) {}

  /// If another host has had a newer version, the store may lack it since it was restored, also
  /// after that host is gone.
  void onStoreAnswer(Instant sentAt, std::uint64_t era) {
    if (version > 0 && version >= catchUp.target() && hooks.upToDate)
      hooks.upToDate(sentAt, era);
  }

  void onStoreObject(const FeedObject &object) {
    if (object.name != options.name || object.removed)
      return;
    const auto call = follower.lastCall();
    applyObject(object, call.isList ? "list" : "watch", call.age);
  }

  /// Applies the object if it is newer than the active configuration. The log gets `from`, the
  /// store call or the host that returned the object, and `asked`, the age of that request.
  void applyObject(const FeedObject &object, const std::string &from, Duration asked) {
    auto config = hooks.readConfig(object);
    if (!config)
      return logLine(LogLevel::Error, "configuration cannot be read, the old one stays",
                     {{"revision", object.revision.number}, {"from", from}});
    const auto offered = config->version;
    const auto routes = config->routes.size();
    const auto teams = config->teams.all().size();
    const auto keys = config->teams.keyCount();
    const bool applied = hooks.apply(std::move(*config));
    logLine(LogLevel::Info, applied ? "configuration applied" : "older configuration ignored",
            {{"version", offered},
             {"revision", object.revision.number},
             {"routes", routes},
             {"teams", teams},
             {"keys", keys},
             {"from", from},
             {"asked_ms", toMillis(asked)},
             {"behind_ms", toMillis(timeBehind())}});
    if (!applied)
      return;
    version = offered;
    FeedObject shared = object;
    if (hooks.removeSecrets)
      hooks.removeSecrets(shared.content);
    serializedObject = formatConfigObject(shared);
    hooks.applied();
  }

  void onPeerVersion(std::uint64_t peerVersion) {
    if (peerVersion > version && !catchUpScheduled)
      continueCatchUp();
  }

  /// Takes the next catch-up step, and repeats until no other host has a newer configuration.
  void continueCatchUp() {
    catchUpScheduled = false;
    if (stopped)
      return;
    const auto before = catchUp.behindSince();
    const auto step =
        catchUp.nextStep(version, hooks.holders(), follower.isConnected(), env.now(), env.random());
    if (!catchUp.behindSince())
      return;
    if (before != catchUp.behindSince())
      logCatchUp("another host has a newer configuration", {});
    if (step.readStore) {
      logCatchUp("another host has a newer configuration, reading it again", {});
      follower.restartUnlessListing();
    }
    if (step.hostToAsk)
      requestConfig(*step.hostToAsk);
    catchUpScheduled = true;
    env.after(config::FleetConfigCheckInterval,
              [self = shared_from_this()] { self->continueCatchUp(); });
  }

  void requestConfig(const Address &host) {
    logCatchUp("another host is asked for its configuration", host.toString());
    configSource.fetch(host, [self = shared_from_this(), host,
                              since = env.now()](const std::optional<FeedObject> &object) {
      self->onConfigAnswer(host, since, object);
    });
  }

  void onConfigAnswer(const Address &host, Instant since, const std::optional<FeedObject> &object) {
    if (stopped)
      return;
    const Instant now = env.now();
    catchUp.onAnswer(now);
    if (!object || object->name != options.name)
      return logCatchUp("another host gave no configuration", host.toString());
    applyObject(*object, host.toString(), now - since);
  }

  void logCatchUp(std::string_view message, const std::string &host) const {
    const auto call = follower.lastCall();
    logLine(LogLevel::Warn, message,
            {{"heard", catchUp.target()},
             {"version", version},
             {"host_asked", host},
             {"store_connected", follower.isConnected()},
             {"call", call.isList ? "list" : "watch"},
             {"call_ms", toMillis(call.age)}});
  }

  Duration timeBehind() const {
    const auto since = catchUp.behindSince();
    return since ? env.now() - *since : Duration(0);
  }
};

FleetConfiguration::FleetConfiguration(CoreEnv &env, ObjectFeed &feed, ConfigSource &configSource,
                                       FleetConfigurationOptions options, Hooks hooks)
    : impl(std::make_shared<Impl>(env, feed, configSource, std::move(options), std::move(hooks))) {}

FleetConfiguration::~FleetConfiguration() { impl->stopped = true; }

void FleetConfiguration::start() { impl->follower.start(); }

void FleetConfiguration::onPeerVersion(std::uint64_t version) { impl->onPeerVersion(version); }

void FleetConfiguration::reload() { impl->follower.restartUnlessListing(); }

void FleetConfiguration::onStoreRestored(std::uint64_t era) { impl->follower.restartIfBefore(era); }

void FleetConfiguration::setWatchLimits(const WatchLimits &limits) {
  impl->follower.setWatchLimits(limits);
}

bool FleetConfiguration::isConnected() const { return impl->follower.isConnected(); }

std::uint64_t FleetConfiguration::version() const { return impl->version; }

Duration FleetConfiguration::timeBehind() const { return impl->timeBehind(); }

const std::string &FleetConfiguration::serializedObject() const { return impl->serializedObject; }

} // namespace catkin
