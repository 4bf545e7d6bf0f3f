#pragma once

#include "fleet_view_p.h"
#include "locality_policy_p.h"

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
  EngineRequest request; ///< of a request to an engine; without tokens for other requests
  double bytes = 0;      ///< of the prompt and the answer
  Duration objective{};  ///< for the first event; zero if there is none
  LocalityPolicy *locality = nullptr; ///< null if the choice must not affect later ones
};

/// The endpoint for one request and what the choice is based on. Times are predicted ones to the
/// first event, in seconds; 0 if the size of the request is not known.
struct EndpointChoice {
  const EndpointState *endpoint = nullptr;     ///< null if none can take the request
  LeaveReason leaveReason = LeaveReason::None; ///< why it is in another data centre
  double seconds = 0;                          ///< at the endpoint
  double homeSeconds = 0;                      ///< at the best endpoint of this data centre
  double awaySeconds = 0;                      ///< at the best endpoint of other data centres
};

/// Chooses the endpoint for one request.
///
/// A request of known size goes where its first event is predicted earliest, with allowance for the
/// requests that other hosts may have sent since their last reports: endpoints share the requests
/// so that their predicted times become equal. An engine whose memory the request might exceed, one
/// that fails and one that is avoided are used only if there is no other.
///
/// For other requests, the rule prefers, in order of weight: fewer requests in progress, fewer
/// recent failures, the same data centre and a likely hit in the prompt cache.
EndpointChoice decideEndpoint(const FleetView &view, const EndpointQuery &query, Instant now,
                              std::uint64_t random);

/// Returns the endpoint of decideEndpoint(); null if none can take the request.
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
