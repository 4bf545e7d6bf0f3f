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
  std::string reason;
};

class Router {
public:
  explicit Router(RouterOptions options);
  ~Router();

  /// Replaces the table; local state of endpoints (in flight, ejection) is kept.
  void setTable(const std::vector<RouteEntry> &entries);
  /// Endpoints that the host list shows as leaving or gone get no new work.
  void setLeaving(const std::vector<EndpointName> &leaving);

  RouteChoice choose(const RouteRequest &request, Instant now);
  /// True if choose() would find a replica. Does not allocate.
  bool hasUsableReplica(const ModelName &model, Instant now) const;
  /// True if the table has a loaded replica, even one that is ejected or missing.
  bool hasLoadedReplica(const ModelName &model) const;
  /// Endpoints that choose() could have taken, for the decision log.
  std::vector<EndpointName> candidates(const ModelName &model, Instant now) const;

  void onStart(const EndpointName &endpoint, Instant now);
  /// `healthy` is false for connection errors, silence and wrong answers, not for refusals.
  void onEnd(const EndpointName &endpoint, bool healthy, Instant now);
  /// The endpoint says that it does not hold the model: skip the pair until the table changes.
  void onModelMissing(const ModelName &model, const EndpointName &endpoint);
  /// Prefix cache event, possibly late or after a gap.
  void onPrefixCached(const EndpointName &endpoint, std::uint64_t prefixHash, Instant now);

  /// True if the retry budget allows another attempt; takes it.
  bool tryConsumeRetry(Instant now);
  void onRequest(Instant now);
  int inFlight(const EndpointName &endpoint) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace catkin
