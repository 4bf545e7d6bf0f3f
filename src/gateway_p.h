#pragma once

#include "control_p.h"
#include "http_p.h"
#include "ledger_p.h"
#include "log_p.h"
#include "metrics_p.h"

#include <functional>
#include <memory>
#include <vector>

/// The callers' API of one host.
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

/// What the gateway needs of the control side. Called on the strand only.
struct GatewayDependencies {
  std::function<void(const EnsureRequest &, std::function<void(const EnsureReply &)>)> ensure;
  std::function<void()> requestSync;
  std::function<bool()> ready;
  std::function<bool()> isPlanner;
  std::function<std::vector<Address>(std::uint64_t seed)> addresses;
  Ledger *ledger = nullptr;
};

class Gateway {
public:
  /// `strand` is the executor of Control and Ledger, `pool` the one that serves HTTP.
  Gateway(asio::any_io_executor strand, asio::any_io_executor pool, GatewayOptions options,
          DecisionLog &decisions);
  ~Gateway();

  /// Hooks to be given to Control. Each may be called from the strand only.
  ControlHooks hooks();
  /// Must be called before the first request.
  void setDependencies(GatewayDependencies dependencies);
  HttpHandler handler();
  /// Number of open connections, read for reports and metrics.
  void setConnectionCount(std::function<std::size_t()> count);

  /// From now on requests are refused as not run and the host is left out of /readyz.
  void beginStop();
  /// Requests in progress.
  std::size_t activeRequests() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
