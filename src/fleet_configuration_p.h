#pragma once

#include "config_catch_up_p.h"
#include "config_exchange_p.h"
#include "env_p.h"
#include "fleet_types_p.h"
#include "object_follower_p.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Keeps the configuration of one host up to date: by a watch of the platform's store and, when
/// another host is heard to have a newer one, from the store and from that host side by side.
namespace catkin {

struct FleetConfigurationOptions {
  std::string kind; ///< of the object in the store that holds it
  std::string name; ///< of that object
  WatchLimits watch;
};

class FleetConfiguration {
public:
  struct Hooks {
    /// Empty if the object cannot be read.
    std::function<std::optional<FleetConfig>(const FeedObject &)> readConfig;
    /// Puts it into force. False if the one in force is as new.
    std::function<bool(FleetConfig)> apply;
    /// A newer one is in force, of which other hosts may want to know.
    std::function<void()> applied;
    /// Other hosts that are alive.
    std::function<std::vector<ConfigHolder>()> holders;
    std::function<void(bool connected)> connection;
  };

  FleetConfiguration(CoreEnv &env, ObjectFeed &feed, ConfigSource &configSource,
                     FleetConfigurationOptions options, Hooks hooks);
  ~FleetConfiguration();
  void start();
  /// Another host says that this version is in force there.
  void onPeerVersion(std::uint64_t version);
  /// Reads the store again, in place of a watch that may have gone silent.
  void reload();
  void setWatchLimits(const WatchLimits &limits); ///< of the watches that begin later
  bool connected() const;                         ///< to the store
  std::uint64_t version() const;                  ///< in force; 0 if there is none
  /// Since another host was heard to have a newer one.
  Duration timeBehind() const;
  /// The newest object, as other hosts get it; empty if there is none.
  const std::string &serializedObject() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
