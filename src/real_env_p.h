#pragma once

#include "env_p.h"
#include "http_p.h"
#include "log_p.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Implements Env on Asio. The platform, the host list, other hosts and engines are called over
/// HTTP with the wire conventions of the design page. Everything runs on one strand, to which every
/// callback is posted. Unreachable is reported only if no byte was sent; a call whose effect is in
/// doubt is reported as Unknown.
namespace catkin {

using Strand = asio::any_io_executor; ///< must run one handler at a time

/// Limits of one HTTP call.
struct CallLimits {
  Duration silence; ///< longest time without a byte
  Duration total;   ///< longest duration of the whole call
  std::size_t maxBodyBytes = HttpClient::MaxResponseBytes;
};

/// Sends requests and posts their results to the strand.
class HttpCaller {
public:
  using Done = std::function<void(const HttpResult &)>;

  HttpCaller(const Strand &strand, Duration connectTimeout);
  void call(const Address &to, HttpRequest request, CallLimits limits, Done done);
  /// Limits both the whole call and the time without a byte to `total`.
  void call(const Address &to, HttpRequest request, Duration total, Done done) {
    const CallLimits limits{.silence = total, .total = total};
    call(to, std::move(request), limits, std::move(done));
  }

private:
  Strand strand;
  Duration connectTimeout;
  std::shared_ptr<HttpClient> client;
};

/// Status of a call to a store that did not get the expected response. Unreachable is returned only
/// if no connection was made, which proves that nothing took effect.
StoreStatus failedStatus(const HttpResult &result);

/// Makes a request with a JSON body, or without a body if `body` is empty.
HttpRequest makeRequest(http::verb verb, const std::string &target, std::string body = {});

/// Percent-encodes a key for use in a request target. Slashes are kept.
std::string escapeKey(std::string_view key);

/// Client of the platform's object API.
class PlatformHttp : public Platform {
public:
  PlatformHttp(std::shared_ptr<HttpCaller> caller, Address address)
      : caller(std::move(caller)), address(std::move(address)) {}
  void get(const std::string &key, StoreGetDone done) override;
  void list(const std::string &prefix, StoreListDone done) override;
  void put(const std::string &key, std::string value, std::uint64_t expected,
           StoreGetDone done) override;
  void erase(const std::string &key, std::uint64_t expected, StoreGetDone done) override;
  void watch(const std::string &key, std::uint64_t after, Duration maxWait,
             StoreGetDone done) override;

private:
  std::shared_ptr<HttpCaller> caller;
  Address address;
};

/// Reads the platform's list of hosts and endpoints.
class HostListHttp : public HostList {
public:
  HostListHttp(std::shared_ptr<HttpCaller> caller, Address address)
      : caller(std::move(caller)), address(std::move(address)) {}
  void read(HostListDone done) override;

private:
  std::shared_ptr<HttpCaller> caller;
  Address address;
};

/// JSON-RPC client to other hosts.
class PeersRpc : public Peers {
public:
  explicit PeersRpc(std::shared_ptr<HttpCaller> caller) : caller(std::move(caller)) {}
  void call(const Address &to, const std::string &method, std::string paramsJson, Duration timeout,
            RpcDone done) override;

private:
  std::shared_ptr<HttpCaller> caller;
  int lastId = 0;
};

/// Client of the model engines.
class EnginesHttp : public Engines {
public:
  explicit EnginesHttp(std::shared_ptr<HttpCaller> caller) : caller(std::move(caller)) {}
  void order(const Address &to, const EngineOrder &order, OrderDone done) override;
  void status(const Address &to, StatusDone done) override;

private:
  std::shared_ptr<HttpCaller> caller;
};

struct RealEnvOptions {
  Address platform;
  Duration connectTimeout = std::chrono::milliseconds(500);
};

/// Env of the daemon.
class RealEnv : public Env {
public:
  RealEnv(const Strand &strand, const RealEnvOptions &options, DecisionLog &log);

  Instant now() const override;
  std::int64_t wallSeconds() const override;
  std::uint64_t random() override { return generator(); }
  void after(Duration d, Task task) override;
  Platform &platform() override { return platformHttp; }
  HostList &hostList() override { return hostListHttp; }
  Peers &peers() override { return peersRpc; }
  Engines &engines() override { return enginesHttp; }
  void decision(const Decision &d) override { log.add(d); }

private:
  Strand strand;
  DecisionLog &log;
  std::mt19937_64 generator;
  std::shared_ptr<HttpCaller> caller;
  PlatformHttp platformHttp;
  HostListHttp hostListHttp;
  PeersRpc peersRpc;
  EnginesHttp enginesHttp;
};

/// Current time of the monotonic clock, the same as Env::now().
Instant steadyNow();

/// Returns an incarnation number that grows with each start of a host, so that the newest process
/// can be told from its predecessors.
std::uint64_t newIncarnation();

/// Handler of one method call, such as Control::onCall. An empty result reports an unknown method
/// or malformed parameters.
using PeerCall = std::function<void(const std::string &method, const std::string &paramsJson,
                                    std::function<void(std::string)> done)>;
/// Makes the HTTP handler for calls of other hosts, which are POST requests with a JSON-RPC body.
/// `call` runs on `strand`.
HttpHandler makePeerHandler(Strand strand, PeerCall call);

} // namespace catkin
