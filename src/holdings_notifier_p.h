#pragma once

#include "fleet_view_p.h"

#include <map>
#include <vector>

/// Decides when the planner tells all hosts what an engine holds. The load it answers: a hundred
/// engines and hosts and some twenty changes a second over a link of a few Mbit/s. The registry
/// tells the same some seconds later, so only changes are told; as datagrams may be lost, each is
/// repeated until the registry has it. No clock of its own.
namespace catkin {

class HoldingsNotifier {
public:
  /// What the engine holds when the planner first hears of it, which the registry tells as well.
  void startTracking(const EndpointName &engine, std::uint64_t incarnation,
                     const std::vector<HeldModel> &models);
  void stopTracking(const EndpointName &engine) { engines.erase(engine); }
  void clear() { engines.clear(); }
  /// True if the engine's holdings should be told now: a change that has been gathered with others
  /// for a while, or the repetition of one.
  bool isDue(const EndpointName &engine, const std::vector<HeldModel> &models, Instant now) const;
  /// The notice to send. It counts as told to all hosts.
  HoldingsNotice makeBroadcastNotice(const EndpointName &engine, std::uint64_t term,
                                     const LoadedModels &loaded, Instant now);
  /// The notice to send to one host; all others have still to be told.
  HoldingsNotice makeUnicastNotice(const EndpointName &engine, std::uint64_t term,
                                   const LoadedModels &loaded);

private:
  struct AnnouncedHoldings {
    std::uint64_t incarnation = 0;
    std::vector<HeldModel> models;
    std::uint64_t sequence = 0; ///< of the newest notice
    int repeatsLeft = 0;
    Instant sentAt; ///< of the newest notice to all
  };
  std::map<EndpointName, AnnouncedHoldings> engines;
};

} // namespace catkin
