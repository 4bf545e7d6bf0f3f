#pragma once

#include "endpoint_choice_p.h"

#include <optional>
#include <set>

/// Selects endpoints for one request and its retries. A request is sent to a bounded number of
/// endpoints, and never again to an endpoint that may have run it and failed.
namespace catkin {

/// Properties of the request that the choice depends on.
struct EndpointSearchOptions {
  ServiceName service;
  ModelRef model;             ///< empty for plain services
  DataCentreName dataCentre;  ///< of this host
  std::uint64_t affinity = 0; ///< requests with the same value share parts of the prompt; 0 if none
  int maxEndpoints = 1;       ///< highest number of endpoints that may receive the request
  EngineRequest request;      ///< size and urgency; without tokens if they are not known
  double bytes = 0;           ///< of the prompt and the answer
  Duration objective{};       ///< for the first event
  LocalityPolicy *locality = nullptr; ///< of this host; may be null
};

/// Tracks which endpoints have received one request and which of them may receive it next.
class EndpointSearch {
public:
  EndpointSearch(const FleetView &view, EndpointSearchOptions options)
      : view(view), options(std::move(options)) {}

  /// Returns the best endpoint that can take the request now, or null if there is none.
  /// An endpoint with a limit of requests counts if a permit is likely within `maxPermitWait`.
  const EndpointState *choose(Instant now, std::uint64_t random,
                              Duration maxPermitWait = Duration::zero()) const;
  /// As choose(), with the inputs of the choice.
  EndpointChoice decide(Instant now, std::uint64_t random, Duration maxPermitWait) const;
  /// Returns true if an endpoint other than `current` can take the request now.
  bool hasAlternative(const EndpointName &current, Instant now, std::uint64_t random) const;
  /// Returns the time until the first endpoint that refuses such requests at present may take them
  /// again. Empty if no endpoint refuses them at present.
  std::optional<Duration> timeUntilReady(Instant now) const;
  /// Returns the time until the first endpoint whose limit of requests is used up takes one more.
  /// Empty if there is no such endpoint.
  std::optional<Duration> timeUntilPermit(Instant now) const;
  /// Returns true if the endpoint may still get requests, in the same incarnation.
  bool isStillUsable(const FleetEndpoint &endpoint) const;
  /// Returns the shortest time until an endpoint could take the request: after a load of the model,
  /// or once an endpoint that refuses such requests at present takes them again. Duration::max() if
  /// no endpoint will. Endpoints whose limit of requests is used up do not count: other requests
  /// may take what they allow next.
  Duration shortestWait(Instant now) const;

  /// From now on, only endpoints of this software version count.
  void requireVersion(const SoftwareVersion &version) { requiredVersion = version; }
  /// The version that the endpoint must have; empty if any will do.
  const std::optional<SoftwareVersion> &version() const { return requiredVersion; }

  /// From now on, endpoints of this software version do not count.
  void excludeVersion(const SoftwareVersion &version) { excludedVersions.insert(version); }

  /// The endpoint has received the request, or may have.
  void onReceived(const EndpointName &endpoint) { received.insert(endpoint); }
  /// The endpoint failed and may have run the request.
  void onFailed(const EndpointName &endpoint) { excluded.insert(endpoint); }
  /// The endpoint did not accept a connection, or another endpoint has its address.
  void onUnreachable(const EndpointName &endpoint) { excluded.insert(endpoint); }
  /// Returns true once the highest number of endpoints has received the request. From then on, only
  /// those of them that did not run it may receive it again.
  bool hasReachedEndpointLimit() const {
    return static_cast<int>(received.size()) >= options.maxEndpoints;
  }
  /// Returns true if yet another endpoint may receive the request after the next one.
  bool allowsEndpointAfterNext() const {
    return static_cast<int>(received.size()) + 1 < options.maxEndpoints;
  }

private:
  /// Returns the endpoints that must not receive the request: those that failed or could not be
  /// reached, those of excluded versions and, at the limit, those that have not received it before.
  std::set<EndpointName> excludedEndpoints() const;
  EndpointQuery queryExcluding(const std::set<EndpointName> &endpoints) const;
  Duration shortestLoadTime(Instant now) const;

  const FleetView &view;
  EndpointSearchOptions options;
  std::optional<SoftwareVersion> requiredVersion;
  std::set<SoftwareVersion> excludedVersions;
  std::set<EndpointName> received;
  std::set<EndpointName> excluded;
};

} // namespace catkin
