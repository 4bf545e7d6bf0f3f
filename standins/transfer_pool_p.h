#pragma once

#include "types_p.h"

#include <map>
#include <vector>

/// Simulated transfers that share a limited bandwidth. Uses no clock and no sockets.
namespace catkin::standin {

/// Up to `fullSpeedSlots` transfers run at full speed. More transfers share the total speed of that
/// many equally.
class TransferPool {
public:
  explicit TransferPool(std::size_t fullSpeedSlots) : fullSpeedSlots(fullSpeedSlots) {}
  /// Starts a transfer that takes `work` at full speed and returns its id.
  std::uint64_t add(Duration work, Instant at);
  /// Cancels a transfer.
  void remove(std::uint64_t id, Instant at);
  /// Sets the factor by which all transfers are slower.
  void setSlowdown(double factor, Instant at);
  /// Advances all transfers to `at`, removes the complete ones and returns their ids.
  std::vector<std::uint64_t> advance(Instant at);
  /// Time from the last update until the next transfer is complete if no transfer is added or
  /// removed; empty if none is running.
  std::optional<Duration> timeUntilNextCompletion() const;
  std::size_t inFlight() const { return remaining.size(); }
  std::size_t highestInFlight() const { return highest; }

private:
  /// Current speed of each transfer as a share of the full speed.
  double speedPerTransfer() const;
  /// Subtracts the work done since the last update.
  void updateRemaining(Instant at);

  std::size_t fullSpeedSlots;
  double slowdown = 1;
  std::uint64_t lastId = 0;
  std::size_t highest = 0;
  Instant lastUpdate{};
  std::map<std::uint64_t, double> remaining; // seconds of work at full speed
};

} // namespace catkin::standin
