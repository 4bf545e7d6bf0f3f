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

/// Env on Asio: the platform, the host list, other hosts and engines over HTTP, following the wire
/// conventions of the design page. Everything runs on one strand, and every callback is posted to
/// it. Unreachable is reported only if no byte was sent; any doubt is Unknown.
namespace catkin {

using Strand = asio::any_io_executor; ///< must run one handler at a time

/// Sends requests and posts their results to the strand.
struct CallLimits {
  Duration silence; ///< longest time without a byte
  Duration total;   ///< of the whole call
  std::size_t maxBodyBytes = HttpClient::MaxResponseBytes;
};

class HttpCaller {
public:
  using Done = std::function<void(const HttpResult &)>;

  HttpCaller(const Strand &strand, Duration connectTimeout);
  void call(const Address &to, HttpRequest request, CallLimits limits, Done done);
  /// `total` bounds the whole call and also the time without a byte.
  void call(const Address &to, HttpRequest request, Duration total, Done done) {
    const CallLimits limits{.silence = total, .total = total};
    call(to, std::move(request), limits, std::move(done));
  }

private:
  Strand strand;
  Duration connectTimeout;
  std::shared_ptr<HttpClient> client;
};

/// Status of a call to a store whose answer is not the expected one. Only a connection that was
/// never made proves that nothing took effect.
StoreStatus failedStatus(const HttpResult &result);

/// A request with a JSON body, or none if `body` is empty.
HttpRequest makeRequest(http::verb verb, const std::string &target, std::string body = {});

/// Escapes a key for use in a target; slashes stay.
std::string escapeKey(std::string_view key);

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

class HostListHttp : public HostList {
public:
  HostListHttp(std::shared_ptr<HttpCaller> caller, Address address)
      : caller(std::move(caller)), address(std::move(address)) {}
  void read(HostListDone done) override;

private:
  std::shared_ptr<HttpCaller> caller;
  Address address;
};

class PeersRpc : public Peers {
public:
  explicit PeersRpc(std::shared_ptr<HttpCaller> caller) : caller(std::move(caller)) {}
  void call(const Address &to, const std::string &method, std::string paramsJson, Duration timeout,
            RpcDone done) override;

private:
  std::shared_ptr<HttpCaller> caller;
  int lastId = 0;
};

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

/// Present time of the monotonic clock, as Env::now() gives it.
Instant steadyNow();

/// Grows with each start of a host, so that a newer process is recognised.
std::uint64_t newIncarnation();

/// Handles the calls of other hosts: POST with a JSON-RPC body. `call` is Control::onCall and runs
/// on `strand`.
using PeerCall = std::function<void(const std::string &method, const std::string &paramsJson,
                                    std::function<void(std::string)> done)>;
HttpHandler makePeerHandler(Strand strand, PeerCall call);

} // namespace catkin
