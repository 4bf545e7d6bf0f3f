#include "daemon_p.h"

#include "control_p.h"
#include "gateway_p.h"
#include "json_p.h"
#include "log_p.h"
#include "memory_report_p.h"
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
// Releasing shares and the lease needs the platform and the planner, which may not respond.
constexpr auto ControlStopTimeout = std::chrono::seconds(5);
constexpr auto StatsInterval = std::chrono::milliseconds(200);
constexpr auto ExpireInterval = std::chrono::minutes(1);
constexpr std::size_t MaxOperatorConnections = 64;
constexpr std::size_t Megabyte = 1024 * 1024;
constexpr std::size_t MaxPeerBodyBytes = 8 * 1024 * 1024; // holds a whole routing table

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

HttpServerOptions callerServerOptions(const Settings &s, std::shared_ptr<MemoryBudget> memory) {
  return {.listen = s.listen,
          .maxHeaderBytes = config::MaxHeaderBytes,
          .maxBodyBytes = static_cast<std::size_t>(s.maxBodyBytes),
          .maxConnections = static_cast<std::size_t>(s.maxConnections),
          .readTimeout = config::RequestReadTimeout,
          .memory = std::move(memory)};
}

/// The parts of a running host.
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
        callerServer(io.get_executor(), callerServerOptions(settings, callerMemory),
                     gateway.handler()),
        peerServer(io.get_executor(),
                   {.listen = settings.peerListen, .maxBodyBytes = MaxPeerBodyBytes},
                   makePeerHandler(strand,
                                   [this](auto &method, auto &params, auto done) {
                                     control.onCall(method, params, std::move(done));
                                   })),
        operatorServer(
            io.get_executor(),
            {.listen = settings.operatorListen, .maxConnections = MaxOperatorConnections},
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
  std::vector<ServiceName> nonIdempotentServices();

  const Settings &settings;
  asio::io_context io;
  asio::any_io_executor strand;
  std::uint64_t incarnation;
  DecisionLog decisions;
  RealEnv env;
  Gateway gateway;
  Control control;
  Ledger ledger;
  /// Hosts and operators have accounts of their own, so that callers cannot use them up.
  const std::shared_ptr<MemoryBudget> callerMemory = std::make_shared<MemoryBudget>(
      MemoryBudgetOptions{.limit = static_cast<std::size_t>(settings.maxHeldMegabytes) * Megabyte,
                          .onDecision = logMemoryDecision});
  HttpServer callerServer;
  HttpServer peerServer;
  HttpServer operatorServer;
  asio::signal_set signals;
  bool stopping = false;
  Instant lingerUntil; ///< set by a stop; callers have then left their idle connections
  std::atomic<bool> cachedReady = false;
  std::atomic<bool> cachedIsPlanner = false;
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
  gateway.setConnectionCount([this] { return callerServer.connectionCount(); });
  gateway.setLimitMetrics(
      [this] { return limitMetricsText(*callerMemory, callerServer.connectionCounts()); });
}

std::string Daemon::run(const DaemonOptions &options) {
  for (auto *server : {&callerServer, &peerServer, &operatorServer})
    if (auto fault = server->start(); !fault.empty())
      return fault;
  logLine(LogLevel::Info, "started",
          {{"version", CATKIN_VERSION},
           {"incarnation", incarnation},
           {"settings", json::parse(describeSettings(settings))}});
  if (options.onStarted)
    options.onStarted({});
  if (options.handleSignals)
    awaitSignal();
  // Keeps the context running until the stop even if there are no signals to wait for.
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
  return {.ready = cachedReady,
          .planner = cachedIsPlanner,
          .active = gateway.activeRequests(),
          .connections = callerServer.connectionCount()};
}

/// Copies state that only the strand may read for stats(), which other threads call.
void Daemon::refreshStats() {
  cachedReady = control.isReady();
  cachedIsPlanner = control.isPlanner();
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

/// On the first signal or requestStop, refuses new requests, notifies the other hosts and waits for
/// running requests. On a second signal, ends at once.
void Daemon::beginStop() {
  if (std::exchange(stopping, true)) {
    logLine(LogLevel::Warn, "second signal received, ending at once");
    return io.stop();
  }
  logLine(LogLevel::Info, "stopping", {{"active", gateway.activeRequests()}});
  gateway.beginStop();
  callerServer.drainConnections();
  lingerUntil = env.now() + config::StopLinger;
  control.setLeaving(true);
  awaitDrain(env.now() + settings.stopTimeout);
}

/// Waits for running requests and for answers of non-idempotent calls that are not stored yet.
void Daemon::awaitDrain(Instant limit) {
  // Closing an idle connection just as a caller sends a request on it would fail that request.
  bool connectionsDone = callerServer.connectionCount() == 0 || env.now() >= lingerUntil;
  bool idle = gateway.activeRequests() == 0 && ledger.openClaimCount() == 0 && connectionsDone;
  if (!idle && env.now() < limit)
    return env.after(DrainCheckInterval, [this, limit] { awaitDrain(limit); });
  if (!idle)
    logLine(LogLevel::Warn, "stop timeout expired",
            {{"active", gateway.activeRequests()}, {"open_calls", ledger.openClaimCount()}});
  callerServer.stopAccepting();
  stopControl();
}

void Daemon::stopControl() {
  env.after(ControlStopTimeout, [this] {
    logLine(LogLevel::Warn, "lease and shares were not released in time");
    io.stop();
  });
  control.stop([this] { io.stop(); });
}

/// Services whose calls are recorded, which are the non-idempotent ones.
std::vector<ServiceName> Daemon::nonIdempotentServices() {
  std::vector<ServiceName> names;
  if (auto lists = control.config().currentLists())
    for (auto &[name, it] : lists->services)
      if (!it.idempotent)
        names.push_back(name);
  return names;
}

/// Erases old call records at regular intervals. Only the planner does so, since one host suffices.
void Daemon::expireCalls() {
  if (control.isPlanner())
    ledger.expire(nonIdempotentServices());
  env.after(ExpireInterval, [this] { expireCalls(); });
}

} // namespace

std::string runDaemon(const Settings &settings, const DaemonOptions &options) {
  // A write to a connection that the caller has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  returnFreedMemory();
  Daemon daemon(settings);
  // Shared with the controls, which may be called after the daemon has ended.
  struct Access {
    std::mutex lock;
    Daemon *daemon = nullptr;
  };
  auto access = std::make_shared<Access>();
  access->daemon = &daemon;
  auto runOptions = options;
  runOptions.onStarted = [&](const DaemonControls &) {
    if (!options.onStarted)
      return;
    options.onStarted({.requestStop =
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
  auto fault = daemon.run(runOptions);
  std::lock_guard guard(access->lock);
  access->daemon = nullptr;
  return fault;
}

} // namespace catkin
