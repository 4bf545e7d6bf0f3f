#pragma once

#include "config.h"
#include "fleet_gateway_p.h"
#include "locality_policy_p.h"
#include "memory_budget_p.h"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

/// State of the gateway that its requests share.
namespace catkin {

class RequestForwarder;

struct FleetGateway::Impl {
  asio::any_io_executor executor;
  FleetView &view;
  const RequestCodec &codec;
  FleetGatewayOptions options;
  FleetGatewayHooks hooks;
  HttpClient client;
  RetryBudget budget;
  CrashGuard noCrashGuard;
  CrashGuard &crashGuard;
  StreamOriginGuard noStreamOrigins;
  StreamOriginGuard &streamOrigins;
  std::shared_ptr<MemoryBudget> memory;
  FleetMetrics metrics;
  DemandMeter demand;
  LocalityPolicy locality;
  std::map<std::pair<EndpointName, ModelRef>, int> runningRequests;
  std::set<RequestForwarder *> requests; ///< in progress
  /// Requests that wait for an endpoint to confirm its incarnation.
  std::map<EndpointIncarnation, std::vector<std::function<void(bool)>>> confirmations;
  Instant refuseFrom = Instant::max();
  Instant stopEnd = Instant::max(); ///< when requests in progress are ended

  Impl(const asio::any_io_executor &executor, FleetView &view, const RequestCodec &codec,
       FleetGatewayOptions options, FleetGatewayHooks hooks)
      : executor(executor), view(view), codec(codec), options(std::move(options)),
        hooks(std::move(hooks)), client(executor, this->options.maxConnections),
        budget(this->options.budget),
        crashGuard(this->hooks.crashGuard ? *this->hooks.crashGuard : noCrashGuard),
        streamOrigins(this->hooks.streamOrigins ? *this->hooks.streamOrigins : noStreamOrigins),
        memory(this->options.memory ? this->options.memory
                                    : std::make_shared<MemoryBudget>(MemoryBudgetOptions{
                                          .limit = config::FleetHeldAnswersBytes,
                                          .perAnswer = config::FleetAnswerBytes})) {}
};

} // namespace catkin
