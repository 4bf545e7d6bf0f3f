#pragma once

#include "types_p.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

/// Decides from where a host reads a configuration that other hosts already have. All hosts hear of
/// a change within a second, but up to a third of them may be unable to read the platform's store
/// or have a connection to it that no longer answers. The store and other hosts are therefore read
/// in parallel: no step waits for the timeout of another one.
namespace catkin {

/// Another host and the configuration version in force there.
struct ConfigHolder {
  Address address;
  std::uint64_t version = 0;
  bool nearby = false; ///< in this host's data centre
};

/// The next action of a host whose configuration is out of date.
struct CatchUpStep {
  bool readStore = false;           ///< list the configuration again instead of watching it
  std::optional<Address> hostToAsk; ///< the host to ask for its configuration
};

/// State of the catch-up of one host.
class ConfigCatchUp {
public:
  /// Returns the action to take at `now`. `version` is in force on this host. While the store is
  /// connected, no action is taken for config::FleetConfigGrace, in which the watch usually
  /// delivers the change.
  CatchUpStep nextStep(std::uint64_t version, const std::vector<ConfigHolder> &holders,
                       bool storeConnected, Instant now, std::uint64_t random);
  /// Called when the host that was asked has answered or failed.
  void onAnswer(Instant now);
  /// Returns the time since which another host is known to have a newer configuration. Empty if no
  /// host has one.
  std::optional<Instant> behindSince() const { return behindFrom; }
  /// Returns the version to reach.
  std::uint64_t target() const { return targetVersion; }

private:
  void setTarget(std::uint64_t version, Instant now);
  std::optional<Address> chooseHolder(const std::vector<ConfigHolder> &holders,
                                      std::uint64_t random);

  std::optional<Instant> behindFrom;
  std::uint64_t targetVersion = 0;
  bool storeReadRequested = false;
  bool asking = false;
  Instant nextAskAt;
  Duration askBackoff{};
  std::set<Address> askedHosts;
};

} // namespace catkin
