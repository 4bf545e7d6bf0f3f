#pragma once

#include "crash_guard_p.h"
#include "demand_meter_p.h"
#include "fleet_view_p.h"
#include "http_p.h"
#include "metrics_p.h"
#include "permit_issuer_p.h"
#include "quota_decision_p.h"
#include "retry_budget_p.h"
#include "stream_origin_p.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The gateway forwards callers' requests to the endpoints of the fleet. It finds the route, waits
/// for a model as long as the deadline permits, chooses an endpoint, relays the answer, and retries
/// or resumes requests where that is allowed.
namespace catkin {

/// A caller takes up a stream of which an earlier request of it has brought events.
struct StreamResumption {
  /// Id of the request that brought the first event. Empty if the caller names none, or several.
  std::string firstRequestId;
};

/// The headers of a caller's request, decoded.
struct CallerRequest {
  std::string id;
  std::string host;
  std::optional<Duration> deadline; ///< time that the caller waits for the answer
  ModelRef model;
  std::uint64_t affinity = 0;        ///< identifies prompt parts that requests share; 0 if none
  std::optional<TokenCount> tokens;  ///< empty if the request does not say
  std::optional<std::string> apiKey; ///< empty if the request has none, or several
  /// What the request may have in common with others that crash engines: itself, and the parts of
  /// its prompt but the last, its own.
  std::vector<RequestTrait> traits;
  std::optional<StreamResumption> resumption; ///< empty for a new stream
  std::string rejectionReason;                ///< fault of the request; empty if it has none
};

/// What the gateway adds to a request that it forwards.
struct ForwardOptions {
  const FleetEndpoint *to = nullptr; ///< the endpoint to send to
  Duration timeLeft{};               ///< until the request's deadline
  int priority = 0;                  ///< of the team or the route; 0 is the highest
  /// The configuration has teams: the API key is removed, and `team` takes the place of whatever
  /// the caller says about its team.
  bool identifiesTeam = false;
  TeamName team; ///< empty if the request belongs to none
  /// Id of the last event that the caller has received; empty for a new run.
  std::string lastEventId;
};

/// The head of an endpoint's answer, decoded.
struct AnswerHead {
  unsigned status = 0;
  bool notRun = false;        ///< the endpoint reports that it did not run the request
  bool wrongEndpoint = false; ///< the address now belongs to another endpoint
  bool wrongRequest = false;  ///< the answer belongs to another request, or may do so
  bool hasRequestId = false;  ///< the answer carries the id of this request
  /// The answer carries the id of this request and the mark that an endpoint puts on its answers to
  /// requests that it has run.
  bool isAuthentic = false;
  /// The status promises that the request has not run, whether or not the endpoint reports so.
  bool promisesNotRun = false;
  EndpointAnnouncements announced; ///< none if the answer may be another endpoint's
  std::optional<Duration> backoff; ///< time in which the endpoint wants no request from this host
};

/// Translates between the headers of a deployment and the types above.
class RequestCodec {
public:
  virtual ~RequestCodec() = default;
  /// Decodes the headers of a caller's request.
  virtual CallerRequest decode(const HttpRequest &request) const = 0;
  /// Returns the request to send to an endpoint.
  virtual HttpRequest buildForwardedRequest(const HttpRequest &request,
                                            const ForwardOptions &options) const = 0;
  /// Decodes the head of an answer of `from` to `request`.
  virtual AnswerHead readHead(const http::response_header<> &head, const CallerRequest &request,
                              const FleetEndpoint &from) const = 0;
  /// Returns a request that the endpoint answers at once and does not run. Its answer on the same
  /// connection shows that the requests before it have been answered.
  virtual HttpRequest buildMarker() const = 0;
  /// Returns true if an answer is the one to the marker.
  virtual bool answersMarker(const http::response_header<> &head) const = 0;
  /// Returns the head of an endpoint's answer as the caller gets it: without hop-by-hop headers.
  virtual http::response_header<> headForCaller(const http::response_header<> &head) const = 0;
};

struct FleetGatewayOptions {
  DataCentreName dataCentre; ///< of this host
  RetryBudgetOptions budget;
  /// Account of the process for answers and forwarded requests; null: one of the gateway's own.
  std::shared_ptr<MemoryBudget> memory;
  std::size_t maxConnections = HttpClient::MaxConnections; ///< to endpoints, see HttpClient
};

/// Functions that the host provides to the gateway.
struct FleetGatewayHooks {
  std::function<Instant()> now;
  std::function<std::uint64_t()> random;
  std::function<int()> hostCount; ///< hosts of the fleet, for the retry budget
  AcquirePermit acquirePermit;
  CrashGuard *crashGuard = nullptr; ///< null if no request is refused for its prompt
  /// Null if streams may go on at any software version.
  StreamOriginGuard *streamOrigins = nullptr;
  /// Asks an endpoint whether it still is in the incarnation that is known. Calls `done` once,
  /// within a fraction of a second. May be empty.
  std::function<void(const FleetEndpoint &, std::function<void(bool)> done)> confirmIncarnation;
  /// Makes sure that the store's record of the service has the version. Calls `done` once, within a
  /// fraction of a second. May be empty.
  std::function<void(const ServiceName &, const SoftwareVersion &,
                     std::function<void(bool recorded)> done)>
      ensureVersionRecorded;
  /// No known endpoint of the version of a stream can take it. May be empty.
  std::function<void()> onVersionMissing;
  /// The number of requests that wait for a model that no endpoint holds has changed by `change`.
  std::function<void(const ServiceName &, const ModelRef &, int change)> onModelNeedChanged;
  /// A request was refused with a retry time, since no endpoint holds its model.
  std::function<void(const ServiceName &, const ModelRef &)> onModelUnavailable;
  /// Returns true if the configuration in force is known to be current enough that a key which it
  /// holds has not been taken away. Always true if empty.
  std::function<bool()> areKeysCurrent;
  /// Returns true if a key that the configuration in force does not hold is known to be invalid.
  /// Always true if empty.
  std::function<bool()> mayRejectKeys;
  /// Charges a request to its team's quota. May be empty.
  AcquireQuota acquireQuota;
};

/// The gateway of one host.
class FleetGateway {
public:
  FleetGateway(const asio::any_io_executor &executor, FleetView &view, const RequestCodec &codec,
               FleetGatewayOptions options, FleetGatewayHooks hooks);
  ~FleetGateway();

  /// Serves one request; returns once its answer has been sent or its caller has gone.
  asio::awaitable<void> handle(HttpExchange &exchange);

  /// The request rates of this host.
  DemandMeter &demand();
  /// Announces that endRequests() will be called at `end`. From `refuseFrom` on, requests that
  /// might last longer are refused, since their callers know other hosts by then.
  void setStop(Instant refuseFrom, Instant end);
  /// Ends all requests in progress, since the process stops: each caller gets an error that says
  /// whether its request may have run, or its stream is cut.
  void endRequests();
  /// Numbers of requests in progress, by endpoint and model.
  const std::map<std::pair<EndpointName, ModelRef>, int> &runningRequests() const;
  FleetMetrics &metrics();
  int activeRequests() const; ///< number of requests in progress

  struct Impl;

private:
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
