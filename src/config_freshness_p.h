#pragma once

#include "types_p.h"

#include <cstdint>
#include <map>
#include <optional>

/// How current a host's configuration is known to be: the latest time at which no version newer
/// than the one in force existed. Versions only rise on a host, so a proof also holds for later
/// ones. Callers pass in the time, by a clock that advances while the machine is suspended.
namespace catkin {

class ConfigFreshness {
public:
  /// A call of the store that was sent at `sentAt` has been answered at `now` and showed no newer
  /// version. `era` is that of the store, 0 if it names none. Returns false if the answer proves
  /// nothing yet, since the store may have come back from an older copy: it must be read again at
  /// settledAt().
  bool onStoreAnswer(Instant sentAt, std::uint64_t era, Instant now);
  /// Returns when the changes that a restore of the store has lost are in it again.
  Instant settledAt() const { return settled; }
  /// Another host is asked for the age of its proof. `id` must be random, so that answers to
  /// questions of an earlier process of this host are not taken for answers to this one's.
  void onAsked(std::uint64_t id, Instant now);
  /// Another host that has the same version in force has answered question `id`. The answer counts
  /// from the time at which the question was sent: only that is known to precede the answer, which
  /// may have waited in a socket. Returns false if it belongs to no open question or is invalid.
  bool onAnswer(std::uint64_t id, Duration age);
  /// Returns the age of the newest proof; empty if there is none.
  std::optional<Duration> age(Instant now) const;
  /// Returns true if there is a proof that is younger than `bound`.
  bool isProvenWithin(Duration bound, Instant now) const;

private:
  void prove(Instant at);

  std::optional<Instant> provenAt;
  std::uint64_t storeEra = 0;
  Instant settled = Instant::min();
  std::map<std::uint64_t, Instant> questions; ///< when each was sent
};

} // namespace catkin
