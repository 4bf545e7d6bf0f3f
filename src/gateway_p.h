#pragma once

#include "control_p.h"
#include "http_p.h"
#include "ledger_p.h"
#include "log_p.h"
#include "metrics_p.h"

#include <functional>
#include <memory>
#include <vector>

/// HTTP API of one host for callers: completions, services and the host's state.
namespace catkin {

struct GatewayOptions {
  HostName host;
  DataCentreName dataCentre;
  Address advertise; ///< this host's address for callers
  Duration defaultDeadline = std::chrono::seconds(30);
  Duration maxDeadline = std::chrono::seconds(120);
  Duration silenceTimeout = std::chrono::seconds(2);
  Duration serviceSilenceTimeout = std::chrono::seconds(10);
  Duration connectTimeout = std::chrono::milliseconds(500);
  std::size_t maxConnections = 4096;
  Guards guards;
};

/// Functions of the control plane that the gateway uses. They are called on the strand only.
struct GatewayDependencies {
  /// Asks the planner for a replica of a model.
  std::function<void(const EnsureRequest &, std::function<void(const EnsureReply &)>)> ensure;
  std::function<void()> requestSync; ///< the host's report has changed: sync with the planner soon
  std::function<bool()> ready;       ///< lists and a routing table are known
  std::function<bool()> isPlanner;
  /// Addresses of live hosts for callers, nearest first and rotated by the seed.
  std::function<std::vector<Address>(std::uint64_t seed)> addresses;
  Ledger *ledger = nullptr;
};

/// Serves the callers' requests of one host.
class Gateway {
public:
  /// `strand` is the executor of Control and Ledger, `pool` the one that serves HTTP.
  Gateway(asio::any_io_executor strand, asio::any_io_executor pool, GatewayOptions options,
          DecisionLog &decisions);
  ~Gateway();

  /// Hooks for Control. They may be called on the strand only.
  ControlHooks hooks();
  /// Must be called before the first request.
  void setDependencies(GatewayDependencies dependencies);
  /// Handler of the HTTP server for callers.
  HttpHandler handler();
  /// Sets the function that returns the number of open connections, for reports and metrics.
  void setConnectionCount(std::function<std::size_t()> count);
  /// `text` returns metrics of the callers' server that are appended to those of the gateway.
  void setLimitMetrics(std::function<std::string()> text);

  /// Starts the shutdown: new requests are refused as not run, /readyz reports 503, and the host is
  /// removed from /v1/addresses.
  void beginStop();
  /// Number of requests in progress.
  std::size_t activeRequests() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
