#pragma once

#include "types_p.h"

#include <map>
#include <vector>

/// Transfers that share a limited capacity. No clocks or sockets.
namespace catkin::standin {

/// Up to `fullSpeedSlots` transfers run at full speed; beyond that all share the same total speed.
class TransferPool {
public:
  explicit TransferPool(std::size_t fullSpeedSlots) : fullSpeedSlots(fullSpeedSlots) {}
  /// Starts a transfer that takes `work` at full speed.
  std::uint64_t add(Duration work, Instant at);
  void remove(std::uint64_t id, Instant at);
  /// Transfers are slower by this factor.
  void setSlowdown(double factor, Instant at);
  /// Moves all transfers on to `at` and returns those that are complete, removing them.
  std::vector<std::uint64_t> advance(Instant at);
  /// Time from `at` until the next transfer is complete if nothing changes; empty if none runs.
  std::optional<Duration> timeUntilNextCompletion() const;
  std::size_t inFlight() const { return remaining.size(); }
  std::size_t highestInFlight() const { return highest; }

private:
  double speedPerTransfer() const;
  void updateRemaining(Instant at);

  std::size_t fullSpeedSlots;
  double slowdown = 1;
  std::uint64_t lastId = 0;
  std::size_t highest = 0;
  Instant lastUpdate{};
  std::map<std::uint64_t, double> remaining; // seconds of work at full speed
};

} // namespace catkin::standin
