#include "fleet_configuration_p.h"

#include "config.h"
#include "log_p.h"

#include <utility>

namespace catkin {

struct FleetConfiguration::Impl : std::enable_shared_from_this<FleetConfiguration::Impl> {
  CoreEnv &env;
  ConfigSource &hosts;
  FleetConfigurationOptions options;
  Hooks hooks;
  ObjectFollower follower;
  ConfigCatchUp catchUp;
  std::uint64_t version = 0;
  std::string stored;
  bool checking = false; ///< a check is due in a moment
  bool stopped = false;

  Impl(CoreEnv &env, ObjectFeed &feed, ConfigSource &hosts, FleetConfigurationOptions o, Hooks h)
      : env(env), hosts(hosts), options(std::move(o)), hooks(std::move(h)),
        follower(env, feed, {.kind = options.kind, .limits = options.watch},
                 {.changed = [this](auto &it) { onStored(it); }, .connection = hooks.connection}) {}

  void onStored(const FeedObject &object) {
    if (object.name != options.name || object.removed)
      return;
    const auto call = follower.lastCall();
    take(object, call.isList ? "list" : "watch", call.age);
  }

  /// Puts the object into force if it is newer. For the log: what call it came by, or the host that
  /// gave it, and how long ago that was asked.
  void take(const FeedObject &object, const std::string &from, Duration asked) {
    auto config = hooks.read(object);
    if (!config)
      return logLine(LogLevel::Error, "configuration cannot be read, the old one stays",
                     {{"revision", object.revision}, {"from", from}});
    const auto offered = config->version;
    const auto routes = config->routes.size();
    const bool applied = hooks.apply(std::move(*config));
    logLine(LogLevel::Info, applied ? "configuration applied" : "older configuration ignored",
            {{"version", offered},
             {"revision", object.revision},
             {"routes", routes},
             {"from", from},
             {"asked_ms", toMillis(asked)},
             {"behind_ms", toMillis(behindFor())}});
    if (!applied)
      return;
    version = offered;
    stored = storedText(object);
    hooks.applied();
  }

  void onHeard(std::uint64_t heard) {
    if (heard > version && !checking)
      check();
  }

  /// Goes on for as long as another host has a newer configuration.
  void check() {
    checking = false;
    if (stopped)
      return;
    const auto before = catchUp.behindSince();
    const auto step =
        catchUp.next(version, hooks.holders(), follower.connected(), env.now(), env.random());
    if (!catchUp.behindSince())
      return;
    if (before != catchUp.behindSince())
      logBehind("another host has a newer configuration", {});
    if (step.readStore) {
      logBehind("another host has a newer configuration, reading it again", {});
      follower.catchUp();
    }
    if (step.ask)
      ask(*step.ask);
    checking = true;
    env.after(config::FleetConfigCheckInterval, [self = shared_from_this()] { self->check(); });
  }

  void ask(const Address &host) {
    logBehind("another host is asked for its configuration", host.toString());
    hosts.fetch(host, [self = shared_from_this(), host,
                       since = env.now()](const std::optional<FeedObject> &object) {
      self->onAnswer(host, since, object);
    });
  }

  void onAnswer(const Address &host, Instant since, const std::optional<FeedObject> &object) {
    if (stopped)
      return;
    const Instant now = env.now();
    catchUp.onAnswer(now);
    if (!object || object->name != options.name)
      return logBehind("another host gave no configuration", host.toString());
    take(*object, host.toString(), now - since);
  }

  void logBehind(std::string_view message, const std::string &host) const {
    const auto call = follower.lastCall();
    logLine(LogLevel::Warn, message,
            {{"heard", catchUp.goal()},
             {"version", version},
             {"host_asked", host},
             {"store_connected", follower.connected()},
             {"call", call.isList ? "list" : "watch"},
             {"call_ms", toMillis(call.age)}});
  }

  Duration behindFor() const {
    const auto since = catchUp.behindSince();
    return since ? env.now() - *since : Duration(0);
  }
};

FleetConfiguration::FleetConfiguration(CoreEnv &env, ObjectFeed &feed, ConfigSource &hosts,
                                       FleetConfigurationOptions options, Hooks hooks)
    : impl(std::make_shared<Impl>(env, feed, hosts, std::move(options), std::move(hooks))) {}

FleetConfiguration::~FleetConfiguration() { impl->stopped = true; }

void FleetConfiguration::start() { impl->follower.start(); }

void FleetConfiguration::onHeard(std::uint64_t version) { impl->onHeard(version); }

void FleetConfiguration::readAgain() { impl->follower.catchUp(); }

void FleetConfiguration::setWatchLimits(const WatchLimits &limits) {
  impl->follower.setWatchLimits(limits);
}

bool FleetConfiguration::connected() const { return impl->follower.connected(); }

std::uint64_t FleetConfiguration::version() const { return impl->version; }

Duration FleetConfiguration::behindFor() const { return impl->behindFor(); }

const std::string &FleetConfiguration::stored() const { return impl->stored; }

} // namespace catkin
