#pragma once

#include "fleet_view_p.h"

#include <optional>
#include <set>

/// Which endpoints one request may still go to, and how soon one of them could take it. A request
/// goes to a bounded number of endpoints, and not again to one that may have run it and failed.
namespace catkin {

struct EndpointSearchOptions {
  ServiceName service;
  ModelRef model;             ///< empty for plain services
  DataCentreName dataCentre;  ///< of this host
  std::uint64_t affinity = 0; ///< requests with the same value share prompt parts
  int maxEndpoints = 1;       ///< that may receive the request
};

class EndpointSearch {
public:
  EndpointSearch(const FleetView &view, EndpointSearchOptions options)
      : view(view), options(std::move(options)) {}

  /// The best endpoint that takes the request now; null if there is none.
  const EndpointState *choose(Instant now, std::uint64_t random) const;
  /// True if another one than `current` takes it now.
  bool hasAlternative(const EndpointName &current, Instant now, std::uint64_t random) const;
  /// Until the first endpoint that refuses such requests for now may take them again; empty if
  /// there is none.
  std::optional<Duration> timeUntilReady(Instant now) const;
  /// The shortest time until an endpoint could take the request: after a load of its model, or once
  /// one that refuses it at present takes such requests again. Duration::max() if none will.
  Duration shortestWait(Instant now) const;

  void onReceived(const EndpointName &endpoint) { received.insert(endpoint); } ///< perhaps
  void onFailed(const EndpointName &endpoint) { excluded.insert(endpoint); }   ///< may have run it
  void onUnreachable(const EndpointName &endpoint) { excluded.insert(endpoint); }
  /// True once as many endpoints have received the request as may. Only those of them that did not
  /// run it are left.
  bool hasReachedEndpointLimit() const {
    return static_cast<int>(received.size()) >= options.maxEndpoints;
  }
  /// True if, after the next endpoint, a further one may receive the request.
  bool allowsEndpointAfterNext() const {
    return static_cast<int>(received.size()) + 1 < options.maxEndpoints;
  }

private:
  std::set<EndpointName> excludedEndpoints() const;
  EndpointQuery queryExcluding(const std::set<EndpointName> &endpoints) const;
  Duration shortestLoadTime(Instant now) const;

  const FleetView &view;
  EndpointSearchOptions options;
  std::set<EndpointName> received;
  std::set<EndpointName> excluded;
};

} // namespace catkin
