#pragma once

#include "fleet_configuration_p.h"
#include "fleet_gateway_p.h"
#include "fleet_links_p.h"
#include "fleet_peers_p.h"
#include "fleet_planner_p.h"
#include "object_follower_p.h"

#include <functional>
#include <memory>

/// One host of the fleet: follows configuration, endpoints and other hosts in the platform's store,
/// serves callers, and plans placement when it holds the lease.
namespace catkin {

struct FleetHostOptions {
  FleetHostEntry self;
  RetryBudgetOptions budget;
  Duration firstOrderDelay{};
  Duration ceilingWindow = std::chrono::seconds(5);
  /// Within this time of its notice, an endpoint that leaves gets no more requests.
  Duration drainBound = std::chrono::seconds(2);
  /// Within this time of the end of a disturbance, this host must be up to date again.
  Duration recoveryBound = std::chrono::seconds(3);
  std::string configKind;   ///< kind of the object that holds the configuration
  std::string configName;   ///< its name
  std::string endpointKind; ///< kind of the endpoints' registrations
};

/// What a deployment's adapter provides. All must outlive the host.
struct FleetAdapter {
  CoreEnv *env = nullptr;
  ObjectFeed *feed = nullptr;
  EngineControl *engines = nullptr;
  const RequestCodec *codec = nullptr;
  /// Empty, with the reason logged by the caller, if the object cannot be read.
  std::function<std::optional<FleetConfig>(const FeedObject &)> readConfig;
  std::function<std::optional<FleetEndpoint>(const FeedObject &)> readEndpoint;
};

class FleetHost {
public:
  FleetHost(const asio::any_io_executor &executor, FleetHostOptions options, FleetAdapter adapter);
  ~FleetHost();

  /// Empty on success, otherwise the reason.
  std::string start();
  /// Takes itself off the list of hosts and gives the lease up; requests go on until `end`.
  void beginStop(Instant end, std::function<void()> done);
  asio::awaitable<void> handle(HttpExchange &exchange);
  bool ready() const;
  int activeRequests() const;
  /// Addresses for a caller in `dataCentre`.
  std::vector<Address> callerAddresses(const DataCentreName &dataCentre) const;
  /// Metrics in the text format of Prometheus.
  std::string metricsText();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
