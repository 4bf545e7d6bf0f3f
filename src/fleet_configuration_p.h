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

/// Keeps the configuration of one host up to date. It watches the platform's store. When another
/// host announces a newer version, it also lists the store again and asks hosts that have it.
namespace catkin {

struct FleetConfigurationOptions {
  std::string kind; ///< kind of the stored object that holds the configuration
  std::string name; ///< name of that object
  WatchLimits watch;
};

/// Follows the stored configuration and applies each newer version.
class FleetConfiguration {
public:
  struct Hooks {
    /// Parses a stored object. Returns nothing if that fails.
    std::function<std::optional<FleetConfig>(const FeedObject &)> readConfig;
    /// Replaces secrets in the content of an object before other hosts get it. May be empty.
    std::function<void(boost::json::value &)> removeSecrets;
    /// Applies a configuration. Returns false if the active one is at least as new.
    std::function<bool(FleetConfig)> apply;
    /// Called after a newer configuration was applied, to announce it to other hosts.
    std::function<void()> applied;
    /// Returns the other live hosts and the versions that they have.
    std::function<std::vector<ConfigHolder>()> holders;
    /// Called after a call of the store that was sent at `sentAt`, by CoreEnv::bootTime(), has
    /// shown no newer version than the active one, unless another host has had one. A version
    /// that cannot be read does not take effect and counts as none.
    std::function<void(Instant sentAt, std::uint64_t era)> upToDate;
    /// Called when the connection to the store is lost or restored.
    std::function<void(bool connected)> connectionChanged;
    /// Called when the store has come back from an older copy.
    std::function<void(std::uint64_t era)> restored;
  };

  FleetConfiguration(CoreEnv &env, ObjectFeed &feed, ConfigSource &configSource,
                     FleetConfigurationOptions options, Hooks hooks);
  ~FleetConfiguration();
  void start();
  /// Handles the announcement that `version` is active on another host.
  void onPeerVersion(std::uint64_t version);
  /// Lists the store again, in case the current watch no longer receives changes.
  void reload();
  /// Lists the store again unless an answer of its era `era` or a later one has come.
  void onStoreRestored(std::uint64_t era);
  void setWatchLimits(const WatchLimits &limits); ///< applies to the next watch
  bool isConnected() const;                       ///< whether the store is reachable
  std::uint64_t version() const;                  ///< active version; 0 if there is none
  /// Time since another host announced a newer version; zero if this host has the newest.
  Duration timeBehind() const;
  /// The active configuration as sent to other hosts; empty if there is none.
  const std::string &serializedObject() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
