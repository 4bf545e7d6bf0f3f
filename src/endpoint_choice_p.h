#pragma once

#include "fleet_view_p.h"

#include <cstdint>
#include <optional>
#include <set>

/// The choice of the endpoint for one request.
namespace catkin {

/// Requirements of a request on its endpoint.
struct EndpointQuery {
  ServiceName service;
  ModelRef model;             ///< empty for plain services
  DataCentreName dataCentre;  ///< of this host
  std::uint64_t affinity = 0; ///< requests with the same value share parts of the prompt; 0 if none
  const SoftwareVersion *softwareVersion = nullptr; ///< the only one to choose; null for any
  const std::set<EndpointName> *excluded = nullptr; ///< endpoints not to choose; null if none
  Duration maxPermitWait{};                         ///< for which the request can wait for a permit
};

/// Chooses the endpoint for one request; null if none can take it. The rule suits a few engines
/// behind many hosts, each of which sees only its own requests without delay. It prefers, in order
/// of weight: fewer requests in progress, fewer recent failures, the same data centre and a likely
/// hit in the prompt cache.
const EndpointState *chooseEndpoint(const FleetView &view, const EndpointQuery &query, Instant now,
                                    std::uint64_t random);

/// Returns when the first endpoint that refuses such requests at present may take them again. Such
/// an endpoint asked for a backoff, or reported a moment ago that it does not hold the model. Empty
/// if there is none.
std::optional<Instant> earliestReadyTime(const FleetView &view, const EndpointQuery &query,
                                         Instant now);

/// Returns when the first endpoint that can serve such requests, but whose limit of requests is
/// used up, is likely to take one more. Empty if there is none.
std::optional<Instant> earliestPermitTime(const FleetView &view, const EndpointQuery &query,
                                          Instant now);

} // namespace catkin
