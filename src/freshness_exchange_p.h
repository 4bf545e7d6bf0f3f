#pragma once

#include "env_p.h"
#include "fleet_messages_p.h"

#include <functional>
#include <memory>
#include <vector>

/// Keeps one host's configuration proven to be current, so that no key is accepted for longer than
/// allowed after it was taken away: by the host's own calls of the store, and by questions to other
/// hosts.
namespace catkin {

struct FreshnessOptions {
  bool strict = false; ///< requests with a key need a proof
  /// Longest time from the store's confirmation that a key is taken away to the last request that
  /// runs with it, counted to the time at which the caller sent it.
  Duration revokeBound = std::chrono::seconds(5);
};

/// Functions that the host provides.
struct FreshnessHooks {
  std::function<std::uint64_t()> version; ///< in force; 0 if there is none
  std::function<bool()> hasTeams;         ///< that version has teams
  /// Returns true if this host watches the store closely itself.
  std::function<bool()> watchesClosely;
  /// Returns the other hosts that may be asked, best first.
  std::function<std::vector<Address>()> sources;
  std::function<void(const Address &, const FleetMessage &)> send;
  std::function<void()> readStore; ///< starts a new list of the configuration
};

class FreshnessExchange {
public:
  FreshnessExchange(CoreEnv &env, FreshnessOptions options, FreshnessHooks hooks);
  ~FreshnessExchange();
  void start();
  /// A call of the store that was sent at `sentAt`, by CoreEnv::bootTime(), has shown no newer
  /// version than the one in force. `era` is the store's; 0 if it names none.
  void onStoreAnswer(Instant sentAt, std::uint64_t era);
  void onQuestion(const FreshnessQuestion &question, const Address &from);
  void onAnswer(const FreshnessAnswer &answer);
  /// Returns true if a key of the configuration in force may be accepted now.
  bool areKeysCurrent() const;
  /// Returns true if a key that the configuration in force does not have may be rejected for good.
  /// `connected`: the store answers this host. `hearsSentinel`: a host that watches the store
  /// closely would announce a newer version. Both matter only without proofs of other hosts.
  bool mayRejectKeys(bool connected, bool hearsSentinel) const;
  /// Returns false until there is a first proof, if requests need one.
  bool isReady() const;
  /// Returns the longest time for a watch of the configuration, at most `wait`.
  Duration limitWatch(Duration wait) const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
