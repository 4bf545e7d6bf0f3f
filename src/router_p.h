#pragma once

#include "guards_p.h"
#include "messages_p.h"
#include "types_p.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

/// Chooses a replica for each request on one host.
namespace catkin {

struct RouterOptions {
  DataCentreName dataCentre;
  Guards guards;
};

struct RouteRequest {
  ModelName model;
  std::uint64_t prefixHash = 0;      ///< of the prompt's beginning; 0: none
  std::vector<EndpointName> exclude; ///< endpoints already tried
};

struct RouteChoice {
  EndpointName endpoint; ///< empty: no usable replica
  Address address;
  std::string reason; ///< of the choice, or why there is none
};

/// Routes by load, data centre and cached prefixes; ejects endpoints after repeated failures. Not
/// thread-safe.
class Router {
public:
  explicit Router(RouterOptions options);
  ~Router();

  /// Replaces the table. The local state of endpoints (requests in flight, ejection) is kept.
  void setTable(const std::vector<RouteEntry> &entries);
  /// Replaces the endpoints that the platform's node list shows as leaving or gone. They receive no
  /// new requests.
  void setLeaving(const std::vector<EndpointName> &leaving);

  /// Chooses the replica with the lowest cost. An ejected endpoint whose probe is due comes first;
  /// an endpoint that is still ejected is used only if there is no other.
  RouteChoice choose(const RouteRequest &request, Instant now);
  /// True if choose() would find a replica. Does not allocate memory.
  bool hasUsableReplica(const ModelName &model, Instant now) const;
  /// True if the table has a loaded replica, even if its endpoint is ejected or has reported the
  /// model as missing.
  bool hasLoadedReplica(const ModelName &model) const;
  /// Endpoints that choose() could return, without the last resort, for the decision log.
  std::vector<EndpointName> candidates(const ModelName &model, Instant now) const;

  /// Counts a request as in flight at the endpoint; a probe if it is ejected.
  void onStart(const EndpointName &endpoint, Instant now);
  /// Ends a request. `healthy` is false for connection errors, silence and wrong answers, not for
  /// refusals.
  void onEnd(const EndpointName &endpoint, bool healthy, Instant now);
  /// The endpoint has reported that it does not hold the model: it is not chosen for the model
  /// until the table is replaced.
  void onModelMissing(const ModelName &model, const EndpointName &endpoint);
  /// Records a prefix cache event of an endpoint. Events may arrive late or be lost.
  void onPrefixCached(const EndpointName &endpoint, std::uint64_t prefixHash, Instant now);

  /// Takes one retry from the budget. Returns false if the budget is empty.
  bool tryConsumeRetry(Instant now);
  /// Counts a new request, which adds to the retry budget.
  void onRequest(Instant now);
  int inFlight(const EndpointName &endpoint) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace catkin
