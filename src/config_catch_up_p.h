#pragma once

#include "types_p.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

/// Decides how a host gets a configuration that others already have. The load: a change that all
/// hosts hear of within a second, of which up to a third cannot read the platform's store, or find
/// their connection to it silent. No step waits for the time limit of another one.
namespace catkin {

/// Another host and the version in force there.
struct ConfigHolder {
  Address address;
  std::uint64_t version = 0;
  bool nearby = false; ///< in this host's data centre
};

/// What a host that is behind does now.
struct CatchUpStep {
  bool readStore = false;           ///< list the configuration again, in place of a watch
  std::optional<Address> hostToAsk; ///< the host to ask for its configuration
};

class ConfigCatchUp {
public:
  /// `version` is in force here. While the store is connected, its watch gets a grace time first.
  CatchUpStep nextStep(std::uint64_t version, const std::vector<ConfigHolder> &holders,
                       bool storeConnected, Instant now, std::uint64_t random);
  /// The host that was asked has answered or failed.
  void onAnswer(Instant now);
  /// Since when another host has been known to have a newer configuration; empty if none has.
  std::optional<Instant> behindSince() const { return behindFrom; }
  std::uint64_t target() const { return targetVersion; } ///< the version to reach

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
