#include "daemon_p.h"

#include "control_p.h"
#include "gateway_p.h"
#include "json_p.h"
#include "log_p.h"
#include "operator_api_p.h"
#include "real_env_p.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace catkin {

namespace {

constexpr auto DrainCheckInterval = std::chrono::milliseconds(50);
// Giving up shares and the lease needs the platform and the planner, which may not answer.
constexpr auto ControlStopTimeout = std::chrono::seconds(5);
constexpr auto StatsInterval = std::chrono::milliseconds(200);
constexpr auto ExpireInterval = std::chrono::minutes(1);
constexpr std::size_t OperatorConnections = 64;
constexpr std::size_t PeerBodyBytes = 8 * 1024 * 1024; // a whole routing table fits

Member makeSelf(const Settings &s, std::uint64_t incarnation) {
  return {.host = HostName(s.host),
          .incarnation = incarnation,
          .callerAddress = s.advertise,
          .peerAddress = s.peerAdvertise,
          .dataCentre = DataCentreName(s.dataCentre)};
}

ControlOptions controlOptions(const Settings &s, std::uint64_t incarnation) {
  return {.self = makeSelf(s, incarnation),
          .peers = s.peers,
          .planner = {.host = HostName(s.host),
                      .retention = s.retention,
                      .placement = s.placement,
                      .weights = {.coldSecond = s.coldSecondWeight,
                                  .idleSecond = s.idleSecondWeight,
                                  .fixedKeepAlive = s.fixedKeepAlive},
                      .storeConcurrentLoads = s.storeConcurrentLoads,
                      .storeLoadsPerSecond = s.storeLoadsPerSecond,
                      .storeAdaptersInFlight = s.storeAdaptersInFlight,
                      .loadBytesPerSecond = s.loadBytesPerSecond}};
}

GatewayOptions gatewayOptions(const Settings &s) {
  return {.host = HostName(s.host),
          .dataCentre = DataCentreName(s.dataCentre),
          .advertise = s.advertise,
          .defaultDeadline = s.defaultDeadline,
          .maxDeadline = s.maxDeadline,
          .silenceTimeout = s.silenceTimeout,
          .serviceSilenceTimeout = s.serviceSilenceTimeout,
          .connectTimeout = s.connectTimeout,
          .maxConnections = static_cast<std::size_t>(s.maxConnections)};
}

HttpServerOptions callerServerOptions(const Settings &s) {
  return {.listen = s.listen,
          .maxHeaderBytes = config::MaxHeaderBytes,
          .maxBodyBytes = static_cast<std::size_t>(s.maxBodyBytes),
          .maxConnections = static_cast<std::size_t>(s.maxConnections),
          .readTimeout = config::RequestReadTimeout};
}

class Daemon {
public:
  explicit Daemon(const Settings &settings)
      : settings(settings), io(settings.threads), strand(asio::make_strand(io)),
        incarnation(newIncarnation()),
        env(strand, {.platform = settings.platform, .connectTimeout = settings.connectTimeout},
            decisions),
        gateway(strand, io.get_executor(), gatewayOptions(settings), decisions),
        control(env, controlOptions(settings, incarnation), gateway.hooks()),
        ledger(env, {.host = HostName(settings.host), .incarnation = incarnation},
               [this](const HostName &host, std::uint64_t other) {
                 return !control.membership().hasEnded(host, other, env.now());
               }),
        callers(io.get_executor(), callerServerOptions(settings), gateway.handler()),
        peers(io.get_executor(), {.listen = settings.peerListen, .maxBodyBytes = PeerBodyBytes},
              makePeerHandler(strand,
                              [this](auto &method, auto &params, auto done) {
                                control.onCall(method, params, std::move(done));
                              })),
        operators(io.get_executor(),
                  {.listen = settings.operatorListen, .maxConnections = OperatorConnections},
                  makeOperatorHandler({.strand = strand,
                                       .control = control,
                                       .decisions = decisions,
                                       .key = settings.operatorKey})),
        signals(io, SIGTERM, SIGINT) {
    connectGateway();
  }

  std::string run(const DaemonOptions &options);
  void requestStop();
  Stats stats();

private:
  void connectGateway();
  void awaitSignal();
  void beginStop();
  void awaitDrain(Instant limit);
  void stopControl();
  void expireCalls();
  void refreshStats();
  std::vector<ServiceName> recordedServices();

  const Settings &settings;
  asio::io_context io;
  asio::any_io_executor strand;
  std::uint64_t incarnation;
  DecisionLog decisions;
  RealEnv env;
  Gateway gateway;
  Control control;
  Ledger ledger;
  HttpServer callers;
  HttpServer peers;
  HttpServer operators;
  asio::signal_set signals;
  bool stopping = false;
  Instant lingerUntil; ///< of a stop: callers have left kept connections by then
  std::atomic<bool> lastReady = false;
  std::atomic<bool> lastPlanner = false;
};

void Daemon::connectGateway() {
  gateway.setDependencies(
      {.ensure = [this](auto &request, auto done) { control.ensure(request, std::move(done)); },
       .requestSync = [this] { control.requestSync(); },
       .ready = [this] { return control.isReady(); },
       .isPlanner = [this] { return control.isPlanner(); },
       .addresses =
           [this](std::uint64_t seed) {
             return control.membership().callerAddresses(env.now(), seed,
                                                         DataCentreName(settings.dataCentre));
           },
       .ledger = &ledger});
  gateway.setConnectionCount([this] { return callers.connections(); });
}

std::string Daemon::run(const DaemonOptions &options) {
  for (auto *server : {&callers, &peers, &operators})
    if (auto fault = server->start(); !fault.empty())
      return fault;
  logLine(LogLevel::Info, "started",
          {{"version", CATKIN_VERSION},
           {"incarnation", incarnation},
           {"settings", json::parse(describeSettings(settings))}});
  if (options.started)
    options.started({});
  if (options.handleSignals)
    awaitSignal();
  // Keeps the context running until the stop, also without signals to wait for.
  auto work = asio::make_work_guard(io);
  asio::post(strand, [this] {
    control.start();
    expireCalls();
    refreshStats();
  });
  std::vector<std::thread> threads;
  for (int i = 1; i < settings.threads; ++i)
    threads.emplace_back([this] { io.run(); });
  io.run();
  for (auto &it : threads)
    it.join();
  logLine(LogLevel::Info, "stopped");
  return {};
}

void Daemon::requestStop() {
  asio::post(strand, [this] {
    if (!stopping)
      beginStop();
  });
}

Stats Daemon::stats() {
  return {.ready = lastReady,
          .planner = lastPlanner,
          .active = gateway.activeRequests(),
          .connections = callers.connections()};
}

/// Copies for stats(), which other threads call, of what only the strand may read.
void Daemon::refreshStats() {
  lastReady = control.isReady();
  lastPlanner = control.isPlanner();
  env.after(StatsInterval, [this] { refreshStats(); });
}

void Daemon::awaitSignal() {
  signals.async_wait([this](boost::system::error_code ec, int) {
    if (ec)
      return;
    asio::post(strand, [this] { beginStop(); });
    awaitSignal();
  });
}

/// First signal: refuse new requests, tell the other hosts, finish what runs. Second: end at once.
void Daemon::beginStop() {
  if (std::exchange(stopping, true)) {
    logLine(LogLevel::Warn, "second signal, ending at once");
    return io.stop();
  }
  logLine(LogLevel::Info, "stopping", {{"active", gateway.activeRequests()}});
  gateway.beginStop();
  callers.drainConnections();
  lingerUntil = env.now() + config::StopLinger;
  control.setLeaving(true);
  awaitDrain(env.now() + settings.stopTimeout);
}

/// Waits for requests and for answers of non-idempotent calls that are still to be stored.
void Daemon::awaitDrain(Instant limit) {
  // Closing a kept connection at the moment a caller sends on it would cut that request off.
  bool quiet = callers.connections() == 0 || env.now() >= lingerUntil;
  bool idle = gateway.activeRequests() == 0 && ledger.openClaimCount() == 0 && quiet;
  if (!idle && env.now() < limit)
    return env.after(DrainCheckInterval, [this, limit] { awaitDrain(limit); });
  if (!idle)
    logLine(LogLevel::Warn, "stop timeout passed",
            {{"active", gateway.activeRequests()}, {"open_calls", ledger.openClaimCount()}});
  callers.stopAccepting();
  stopControl();
}

void Daemon::stopControl() {
  env.after(ControlStopTimeout, [this] {
    logLine(LogLevel::Warn, "lease and shares could not be given back in time");
    io.stop();
  });
  control.stop([this] { io.stop(); });
}

/// Services whose calls leave records.
std::vector<ServiceName> Daemon::recordedServices() {
  std::vector<ServiceName> names;
  if (auto lists = control.config().currentLists())
    for (auto &[name, it] : lists->services)
      if (!it.idempotent)
        names.push_back(name);
  return names;
}

/// The planner erases old call records, so that one host does it.
void Daemon::expireCalls() {
  if (control.isPlanner())
    ledger.expire(recordedServices());
  env.after(ExpireInterval, [this] { expireCalls(); });
}

} // namespace

std::string runDaemon(const Settings &settings, const DaemonOptions &options) {
  // A caller that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  Daemon daemon(settings);
  // Shared with the controls, which may be used after the daemon has ended.
  struct Access {
    std::mutex lock;
    Daemon *daemon = nullptr;
  };
  auto access = std::make_shared<Access>();
  access->daemon = &daemon;
  auto run = options;
  run.started = [&](const DaemonControls &) {
    if (!options.started)
      return;
    options.started({.requestStop =
                         [access] {
                           std::lock_guard guard(access->lock);
                           if (access->daemon)
                             access->daemon->requestStop();
                         },
                     .stats =
                         [access] {
                           std::lock_guard guard(access->lock);
                           return access->daemon ? access->daemon->stats() : Stats{};
                         }});
  };
  auto fault = daemon.run(run);
  std::lock_guard guard(access->lock);
  access->daemon = nullptr;
  return fault;
}

} // namespace catkin
