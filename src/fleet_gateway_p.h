#pragma once

#include "demand_meter_p.h"
#include "fleet_view_p.h"
#include "http_p.h"
#include "metrics_p.h"
#include "retry_budget_p.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// Serves callers of the fleet: finds the route, waits for a model where that can still help,
/// chooses an endpoint, relays the answer, and repeats or resumes what may be repeated.
namespace catkin {

/// What the headers of a caller's request say.
struct CallerRequest {
  std::string id;
  std::string host;
  std::optional<Duration> deadline; ///< how long the caller waits
  ModelRef model;
  std::uint64_t affinity = 0;  ///< of the prompt parts that requests share; 0 if none
  std::string rejectionReason; ///< why the request cannot be served; empty if it can
};

struct ForwardOptions {
  const FleetEndpoint *to = nullptr;
  Duration timeLeft{};
  int priority = 0;
  std::string lastEventId; ///< id of the last event that the caller has; empty for a new run
};

/// What the head of an endpoint's answer says.
struct AnswerHead {
  unsigned status = 0;
  bool notRun = false;             ///< the endpoint did not run the request
  bool wrongEndpoint = false;      ///< the address belongs to another endpoint now
  bool wrongRequest = false;       ///< the answer belongs to another request
  bool leaving = false;            ///< the endpoint is about to end
  std::optional<Duration> backoff; ///< the endpoint wants no request from this host for so long
};

/// Translates between the deployment's headers and the types above.
class RequestCodec {
public:
  virtual ~RequestCodec() = default;
  virtual CallerRequest decode(const HttpRequest &request) const = 0;
  virtual HttpRequest buildForwardedRequest(const HttpRequest &request,
                                            const ForwardOptions &options) const = 0;
  virtual AnswerHead readHead(const http::response_header<> &head, const CallerRequest &request,
                              const FleetEndpoint &from) const = 0;
  /// The endpoint's head as the caller gets it: without the headers of one connection.
  virtual http::response_header<> headForCaller(const http::response_header<> &head) const = 0;
};

struct FleetGatewayOptions {
  DataCentreName dataCentre;
  RetryBudgetOptions budget;
};

/// What the gateway asks of its host.
struct FleetGatewayHooks {
  std::function<Instant()> now;
  std::function<std::uint64_t()> random;
  std::function<int()> hostCount;
  /// `change` more requests (or fewer) wait for a model that no endpoint holds.
  std::function<void(const ServiceName &, const ModelRef &, int change)> onModelNeedChanged;
  /// A caller was told to come back for a model that no endpoint holds.
  std::function<void(const ServiceName &, const ModelRef &)> onModelUnavailable;
};

class FleetGateway {
public:
  FleetGateway(const asio::any_io_executor &executor, FleetView &view, const RequestCodec &codec,
               FleetGatewayOptions options, FleetGatewayHooks hooks);
  ~FleetGateway();

  asio::awaitable<void> handle(HttpExchange &exchange);

  DemandMeter &demand();
  /// The process ends at `end`. From `refuseFrom` on, requests that might last longer are refused,
  /// since their callers know other hosts by then.
  void setStop(Instant refuseFrom, Instant end);
  /// Requests in progress by endpoint and model.
  const std::map<std::pair<EndpointName, ModelRef>, int> &runningRequests() const;
  FleetMetrics &metrics();
  int activeRequests() const; ///< requests in progress

  struct Impl;

private:
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
