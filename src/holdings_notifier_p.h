#pragma once

#include "fleet_view_p.h"

#include <map>
#include <vector>

/// Decides when the planner notifies all hosts of the models that an engine holds. It is designed
/// for a hundred engines and hosts with some twenty changes a second over a link of a few Mbit/s.
/// The registry delivers the same state some seconds later, so only changes are sent. Since
/// datagrams may be lost, each notice is repeated until the registry has the change. Callers pass
/// in the time.
namespace catkin {

/// The models of each engine as last announced to the hosts.
class HoldingsNotifier {
public:
  /// Starts tracking an engine with the models that it holds. They are not announced, since the
  /// registry delivers them.
  void startTracking(const EndpointName &engine, std::uint64_t incarnation,
                     const std::vector<HeldModel> &models);
  /// Stops tracking an engine.
  void stopTracking(const EndpointName &engine) { engines.erase(engine); }
  /// Stops tracking all engines.
  void clear() { engines.clear(); }
  /// Returns true if a notice of the engine should be sent now: a change that has been batched with
  /// others for a while, or the repetition of a notice.
  bool isDue(const EndpointName &engine, const std::vector<HeldModel> &models, Instant now) const;
  /// Creates the notice to send to all hosts and records it as announced.
  HoldingsNotice makeBroadcastNotice(const EndpointName &engine, std::uint64_t term,
                                     const LoadedModels &loaded, Instant now);
  /// Creates a notice to send to one host. The change remains due for all others.
  HoldingsNotice makeUnicastNotice(const EndpointName &engine, std::uint64_t term,
                                   const LoadedModels &loaded);

private:
  /// The models of an engine in the newest notice to all hosts.
  struct AnnouncedHoldings {
    std::uint64_t incarnation = 0;
    std::vector<HeldModel> models;
    std::uint64_t sequence = 0; ///< of the newest notice, to one host or all
    int repeatsLeft = 0;
    Instant sentAt; ///< time of the newest notice to all hosts
  };
  std::map<EndpointName, AnnouncedHoldings> engines;
};

} // namespace catkin
