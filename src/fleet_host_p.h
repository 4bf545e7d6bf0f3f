#pragma once

#include "crash_watch_p.h"
#include "fleet_configuration_p.h"
#include "fleet_gateway_p.h"
#include "fleet_links_p.h"
#include "fleet_peers_p.h"
#include "fleet_planner_p.h"
#include "freshness_exchange_p.h"
#include "object_follower_p.h"
#include "request_permits_p.h"
#include "stream_keepers_p.h"
#include "team_quotas_p.h"

#include <functional>
#include <memory>

/// One host of the fleet. It follows the configuration, the endpoints and the other hosts in the
/// platform's store, serves callers, and plans the placement of models while it holds the lease.
namespace catkin {

struct FleetHostOptions {
  FleetHostEntry self; ///< this host's own registration
  RetryBudgetOptions budget;
  std::shared_ptr<MemoryBudget> memory; ///< account of the process; null: one of the gateway's own
  std::size_t maxConnections = HttpClient::MaxConnections; ///< to endpoints, see HttpClient
  /// Pause between the acquisition of the lease and the first order.
  Duration firstOrderDelay{};
  /// Window in which the weight store limits the number of loads.
  Duration ceilingWindow = std::chrono::seconds(5);
  /// Time within which an endpoint must get no more requests after it has announced that it leaves.
  Duration drainBound = std::chrono::seconds(2);
  /// Time within which this host must be up to date again after a disturbance has ended.
  Duration recoveryBound = std::chrono::seconds(3);
  /// Interval at which endpoints renew their registrations.
  Duration registrationInterval = std::chrono::milliseconds(1200);
  FreshnessOptions freshness; ///< of the configuration, for requests with keys
  QuotaOptions quota;         ///< how the requests of teams are counted
  std::string configKind;     ///< kind of the object that holds the configuration
  std::string configName;     ///< its name
  std::string endpointKind;   ///< kind of the endpoints' registrations

  FleetGatewayOptions gatewayOptions() const {
    return {.dataCentre = self.dataCentre,
            .budget = budget,
            .memory = memory,
            .maxConnections = maxConnections};
  }
};

/// What the adapter of a deployment provides. All objects must outlive the host.
struct FleetAdapter {
  CoreEnv *env = nullptr;
  ObjectFeed *feed = nullptr;
  EngineControl *engines = nullptr;
  const RequestCodec *codec = nullptr;
  /// Parse a stored object. They return nothing if that fails; the host logs it.
  std::function<std::optional<FleetConfig>(const FeedObject &)> readConfig;
  std::function<std::optional<FleetEndpoint>(const FeedObject &)> readEndpoint;
  /// Replaces secrets in the content of a stored configuration by what readConfig also takes,
  /// before it is sent to other hosts. May be empty.
  std::function<void(boost::json::value &)> removeSecrets;
};

/// Connects the modules of one host: store followers, links to other hosts, planner and gateway.
class FleetHost {
public:
  FleetHost(const asio::any_io_executor &executor, FleetHostOptions options, FleetAdapter adapter);
  ~FleetHost();

  /// Starts to listen and to follow the store. Returns the error message; empty on success.
  std::string start();
  /// Removes the host's registration and releases the lease, after which `done` is called. Requests
  /// continue until `end`.
  void beginStop(Instant end, std::function<void()> done);
  /// Serves one request of a caller.
  asio::awaitable<void> handle(HttpExchange &exchange);
  /// True if the configuration and all endpoints are known and the host is not stopping.
  bool ready() const;
  int activeRequests() const; ///< requests in progress
  /// Addresses of hosts that a caller in `dataCentre` should use.
  std::vector<Address> callerAddresses(const DataCentreName &dataCentre) const;
  /// Metrics in the Prometheus text format.
  std::string metricsText();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
