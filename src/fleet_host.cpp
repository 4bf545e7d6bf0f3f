#include "fleet_host_p.h"

#include "config.h"
#include "digest_book_p.h"
#include "json_p.h"
#include "log_p.h"

namespace catkin {

namespace {

constexpr auto HostKind = "catkin-hosts";
constexpr Duration RegisterRetry = std::chrono::milliseconds(300);
constexpr Duration MaxWatch = std::chrono::seconds(15);
// With the pause before it, well within the history that the store keeps.
constexpr Duration FarWatch = std::chrono::seconds(8);
// Shares of the time within which a host must be up to date again. A watch that has gone silent
// shows only at its end, and a list must follow it.
constexpr double CloseWatchShare = 0.62;
constexpr double SentinelWatchShare = 0.25; // all others learn from the sentinels' heartbeats
// Share of the time in which an endpoint that leaves may still be used. Holdings come faster from
// the planner, so that one watch may gather many changes of them.
constexpr double BatchPauseShare = 0.5;
constexpr Duration WeakHostDelay = std::chrono::milliseconds(1500);
constexpr Duration CloseBatchPause = std::chrono::milliseconds(700);
// Between two early reads of the registry, so that a rolling replacement takes few of them.
constexpr Duration RefreshPause = std::chrono::milliseconds(1500);
// Hosts that start together are seen in one answer; nothing is urgent here.
constexpr Duration HostBatchPause = std::chrono::milliseconds(500);

} // namespace

struct FleetHost::Impl : std::enable_shared_from_this<FleetHost::Impl> {
  FleetHostOptions options;
  FleetAdapter adapter;
  CoreEnv &env;
  FleetView view;
  FleetPeers peers;
  FleetLinks links;
  DigestBook digests; ///< of other data centres
  FleetPlanner planner;
  FleetGateway gateway;
  ConfigExchange exchange;
  FleetConfiguration configuration;
  ObjectFollower endpointFollower;
  ObjectFollower hostFollower;
  std::map<std::pair<ServiceName, ModelRef>, int> needs;
  std::set<EndpointName> loaded; ///< endpoints with requests of other hosts at the last count
  bool stopping = false;
  bool everConnected = false;
  bool registryEverConnected = false;
  bool wasSentinel = true; ///< as every host is until it has heard others
  unsigned heartbeats = 0;
  unsigned demandIntervals = 0;
  Instant plannerHeardAt;
  bool wasFar = false;            ///< relied on sentinels for the registry
  std::uint64_t heardArrival = 0; ///< revision of the newest endpoint that other hosts know
  Instant registryRefreshedAt;

  Impl(const asio::any_io_executor &executor, FleetHostOptions o, FleetAdapter a)
      : options(std::move(o)), adapter(std::move(a)), env(*adapter.env), peers(options.self),
        links(executor, [this](auto &message, auto &from) { onMessage(message, from); }),
        planner(env, view, *adapter.engines,
                {.host = options.self.host,
                 .incarnation = options.self.incarnation,
                 .address = options.self.peerAddress,
                 .firstOrderDelay = options.firstOrderDelay,
                 .ceilingWindow = options.ceilingWindow},
                {.broadcast = [this](auto &message) { broadcast(message); },
                 .send = [this](auto &to, auto &message) { sendNotices(to, message); }}),
        gateway(executor, view, *adapter.codec,
                {.dataCentre = options.self.dataCentre, .budget = options.budget},
                {.now = [this] { return env.now(); },
                 .random = [this] { return env.random(); },
                 .hostCount = [this] { return peers.hostCount(); },
                 .needChanged = [this](auto &service, auto &model,
                                       int change) { onNeedChanged(service, model, change); },
                 .wanted = [this](auto &service, auto &model) { sendNeed(service, model, 1); }}),
        exchange(executor, options.self.peerAddress,
                 [this]() -> const std::string & { return configuration.stored(); }),
        configuration(env, *adapter.feed, exchange,
                      {.kind = options.configKind,
                       .name = options.configName,
                       .watch = {.maxWait = closeWatch()}},
                      {.read = adapter.readConfig,
                       .apply = [this](FleetConfig it) { return view.setConfig(std::move(it)); },
                       .applied = [this] { tellConfiguration(); },
                       .holders = [this] { return peers.configHolders(env.now()); },
                       .connection = [this](bool on) { onConfigConnection(on); }}),
        endpointFollower(env, *adapter.feed,
                         {.kind = options.endpointKind,
                          .limits = {.maxWait = closeWatch()},
                          .batchPause = CloseBatchPause},
                         {.changed = [this](auto &it) { onEndpoint(it); },
                          .connection = [this](bool on) { onRegistry(on); }}),
        hostFollower(
            env, *adapter.feed,
            {.kind = HostKind, .limits = {.maxWait = MaxWatch}, .batchPause = HostBatchPause},
            {.changed = [this](auto &it) { onHost(it); }, .connection = {}}) {}

  Duration closeWatch() const {
    return fromSeconds(toSeconds(options.recoveryBound) * CloseWatchShare);
  }

  Duration sentinelWatch() const {
    return fromSeconds(toSeconds(options.recoveryBound) * SentinelWatchShare);
  }

  /// The other hosts may rely on what this one reads.
  bool storeConnected() const { return configuration.connected() && endpointFollower.connected(); }

  // ---- What the store says ---------------------------------------------------------------------

  void onEndpoint(const FeedObject &object) {
    auto entry = object.removed ? std::nullopt : adapter.readEndpoint(object);
    if (!entry) {
      view.removeEndpoint(EndpointName(object.name), env.now());
      logLine(LogLevel::Info, object.removed ? "endpoint gone" : "endpoint entry cannot be read",
              {{"endpoint", object.name}, {"revision", object.revision}});
      return;
    }
    auto *known = view.find(entry->name);
    bool news = !known || known->entry.liveness != entry->liveness ||
                known->entry.incarnation != entry->incarnation;
    if (news)
      logLine(LogLevel::Info, "endpoint",
              {{"endpoint", entry->name.value},
               {"service", entry->service.value},
               {"address", entry->address.toString()},
               {"state", toString(entry->liveness)},
               {"incarnation", entry->incarnation},
               {"revision", object.revision}});
    view.putEndpoint(std::move(*entry), env.now());
  }

  void onHost(const FeedObject &object) {
    if (object.removed) {
      peers.remove(HostName(object.name));
    } else {
      auto *text = object.content.if_string();
      auto entry = text ? parseHostEntry({text->data(), text->size()}) : std::nullopt;
      if (!entry)
        return logLine(LogLevel::Warn, "host entry cannot be read", {{"host", object.name}});
      peers.put(*entry);
    }
    logLine(LogLevel::Info, "host", {{"peer", object.name}, {"removed", object.removed}});
  }

  /// The other watches go to the same store and would notice its silence much later.
  void onConfigConnection(bool connected) {
    bool first = !std::exchange(everConnected, true);
    onConnection("config", connected);
    if (first)
      return;
    endpointFollower.restart();
    hostFollower.restart();
  }

  void onRegistry(bool connected) {
    view.setRegistryConnected(connected, env.now());
    onConnection("endpoints", connected);
    if (std::exchange(registryEverConnected, true) && connected)
      hostFollower.restart();
  }

  /// Store calls grow with the fleet, so a host watches only as closely as its part needs.
  void adjustWatches(Instant now) {
    const bool closely = peers.isSentinel(storeConnected(), now);
    const bool large = peers.isLargeFleet(now);
    if (!large)
      configuration.setWatchLimits({.maxWait = closeWatch()});
    else if (closely)
      configuration.setWatchLimits({.maxWait = sentinelWatch()});
    else
      configuration.setWatchLimits({.maxWait = MaxWatch, .mayBeStale = true});
    hostFollower.setWatchLimits({.maxWait = MaxWatch, .mayBeStale = large});
    if (!std::exchange(wasSentinel, closely) && closely)
      configuration.readAgain(); // its long watch may have gone silent
    adjustRegistryWatch(closely, now);
  }

  /// Hosts of a large fleet that hear a sentinel learn from it who leaves, and from the planner
  /// what engines hold.
  void adjustRegistryWatch(bool closely, Instant now) {
    const bool large = peers.isLargeFleet(now);
    const bool far = large && !closely && !planner.active() && peers.hearsSentinel(now);
    endpointFollower.setBatchPause(registryPause(closely, far, large));
    if (far)
      endpointFollower.setWatchLimits({.maxWait = FarWatch, .mayBeStale = true});
    else
      endpointFollower.setWatchLimits({.maxWait = large ? sentinelWatch() : closeWatch()});
    view.setReadsSeldom(far);
    if (std::exchange(wasFar, far) && !far)
      return refreshRegistry("no sentinel is heard", now);
    if (!far || now - registryRefreshedAt < RefreshPause)
      return;
    if (heardArrival > endpointFollower.revision())
      refreshRegistry("another host has read of a new endpoint", now);
    else if (view.awaitsReturn())
      refreshRegistry("an endpoint may return", now);
  }

  Duration registryPause(bool closely, bool far, bool large) const {
    if (far)
      return config::FleetNonSentinelReadInterval;
    if (planner.active() || (closely && large))
      return CloseBatchPause;
    return fromSeconds(toSeconds(options.drainBound) * BatchPauseShare);
  }

  void refreshRegistry(std::string_view reason, Instant now) {
    registryRefreshedAt = now;
    logLine(LogLevel::Info, "registry read again",
            {{"reason", reason}, {"revision", endpointFollower.revision()}});
    endpointFollower.refresh();
  }

  void onConnection(std::string_view kind, bool connected) {
    logLine(connected ? LogLevel::Info : LogLevel::Warn,
            connected ? "store connected" : "store lost", {{"objects", kind}});
  }

  // ---- Own registration ------------------------------------------------------------------------

  std::string hostKey() const { return std::string(HostKind) + "/" + options.self.host.value; }

  void registerSelf() {
    if (stopping)
      return;
    env.platform().get(hostKey(), [self = shared_from_this()](StoreStatus s, const StoreObject &o) {
      if (s == StoreStatus::Ok || s == StoreStatus::NotFound)
        self->writeSelf(s == StoreStatus::Ok ? o.version : 0);
      else
        self->env.after(RegisterRetry, [self] { self->registerSelf(); });
    });
  }

  void writeSelf(std::uint64_t version) {
    if (stopping)
      return;
    env.platform().put(hostKey(), formatHostEntry(options.self), version,
                       [self = shared_from_this()](StoreStatus s, const StoreObject &) {
                         if (s == StoreStatus::Ok)
                           return logLine(LogLevel::Info, "registered");
                         self->env.after(RegisterRetry, [self] { self->registerSelf(); });
                       });
  }

  void unregister(const std::function<void()> &done) {
    env.platform().get(
        hostKey(), [self = shared_from_this(), done](StoreStatus s, const StoreObject &o) {
          if (s != StoreStatus::Ok) {
            logLine(LogLevel::Warn, "registration not removed", {{"status", toString(s)}});
            return done();
          }
          self->env.platform().erase(
              self->hostKey(), o.version, [done](StoreStatus s, const StoreObject &) {
                logLine(LogLevel::Info, "registration removed", {{"status", toString(s)}});
                done();
              });
        });
  }

  // ---- Messages --------------------------------------------------------------------------------

  void broadcast(HoldingsNotices message) {
    const Instant now = env.now();
    for (auto &it : message.notices)
      view.applyNotice(it, now);
    message.planner = options.self.peerAddress;
    if (!peers.isLargeFleet(now))
      return links.send(peers.peerAddresses(), message);
    links.send(peers.nearbyAddresses(), message);
    links.send(peers.unheardAddresses(now), message);
    message.passOn = true;
    links.send(peers.relayAddressEach(now, env.random()), message);
  }

  void sendNotices(const Address &to, HoldingsNotices message) {
    message.planner = options.self.peerAddress;
    send(to, message);
  }

  void send(const Address &to, const FleetMessage &message) {
    if (to == options.self.peerAddress)
      onMessage(message, to);
    else if (!to.empty())
      links.send({to}, message);
  }

  void toPlanner(const FleetMessage &message) {
    send(planner.active() ? options.self.peerAddress : planner.address(), message);
  }

  void onMessage(const FleetMessage &message, const Address &from) {
    if (auto *m = std::get_if<FleetHeartbeat>(&message))
      onHeartbeat(*m, from);
    else if (auto *m = std::get_if<DemandReport>(&message))
      planner.onDemand(*m);
    else if (auto *m = std::get_if<ModelNeed>(&message))
      planner.onNeed(*m, from);
    else if (auto *m = std::get_if<HoldingsNotices>(&message))
      onNotices(*m, from);
    else if (auto *m = std::get_if<FleetDigests>(&message))
      onDigests(*m);
  }

  void onHeartbeat(const FleetHeartbeat &message, const Address &from) {
    peers.onHeartbeat(message, env.now());
    configuration.onHeard(message.configVersion);
    for (auto &it : message.leavingEndpoints)
      view.onLeaving(it, env.now(), true);
    for (auto &it : message.departures)
      view.onDeparture(it);
    heardArrival = std::max(heardArrival, message.newestArrival);
    onPlannerHeard(message.plannerTerm, from);
  }

  void onDigests(const FleetDigests &message) {
    const Instant now = env.now();
    digests.onDigests(message, now);
    for (auto &digest : message.digests) {
      if (digest.dataCentre == options.self.dataCentre)
        continue;
      peers.onDigest(digest, now);
      configuration.onHeard(digest.configVersion);
      for (auto &it : digest.leavingEndpoints)
        view.onLeaving(it, now, true);
      onPlannerHeard(digest.plannerTerm, digest.plannerAddress);
    }
  }

  void onPlannerHeard(std::uint64_t term, const Address &address) {
    if (term == 0 || term < planner.term())
      return;
    planner.observe(term, address);
    plannerHeardAt = env.now();
  }

  /// Keeps the planner's lease in able hands, and notices when nobody holds it.
  void watchPlanner(Instant now) {
    planner.setCandidates(peers.plannerCandidates(storeConnected(), now));
    if (planner.active())
      plannerHeardAt = now;
    const Duration limit = peers.isLargeFleet(now) ? config::FleetDistantPlannerSilentAfter
                                                   : config::FleetPlannerSilentAfter;
    planner.setPlannerLost(now - plannerHeardAt > limit);
  }

  void onNotices(const HoldingsNotices &message, const Address &from) {
    const Address &sender = message.planner.empty() ? from : message.planner;
    for (auto &it : message.notices) {
      if (it.term < planner.term())
        continue; // from a planner that has been replaced
      planner.observe(it.term, sender);
      view.applyNotice(it, env.now());
    }
    if (!message.passOn)
      return;
    HoldingsNotices copy = message;
    copy.passOn = false;
    links.send(peers.nearbyAddresses(), copy);
  }

  FleetHeartbeat makeHeartbeat(Instant now) const {
    FleetHeartbeat m{.host = options.self.host,
                     .incarnation = options.self.incarnation,
                     .ready = ready(),
                     .leaving = stopping,
                     .storeConnected = storeConnected(),
                     .configVersion = configuration.version(),
                     .plannerTerm = planner.active() ? planner.term() : 0,
                     .loads = {},
                     .leavingEndpoints = view.signals().toTell(now),
                     .departures = {},
                     .newestArrival = 0};
    if (wasSentinel) {
      m.departures = view.departures(now);
      m.newestArrival = view.newestArrival();
    }
    for (auto &[name, it] : view.endpoints())
      if (it.ownInFlight > 0)
        m.loads.push_back({name, it.ownInFlight});
    return m;
  }

  /// Tells of a new configuration at once. In a large fleet the few hosts that watch closely do.
  void tellConfiguration() {
    const Instant now = env.now();
    const FleetHeartbeat m = makeHeartbeat(now);
    if (!peers.isLargeFleet(now))
      links.send(peers.peerAddresses(), m);
    else if (wasSentinel)
      links.send(peers.nearbyAddresses(), m);
  }

  void heartbeat() {
    env.after(config::FleetHeartbeat, [self = shared_from_this()] { self->heartbeat(); });
    auto now = env.now();
    view.expire(now);
    const FleetHeartbeat m = makeHeartbeat(now);
    links.send(peers.nearbyAddresses(), m);
    if (heartbeats++ % config::FleetDistantHeartbeats == 0)
      tellOtherDataCentres(m, now);
    applyPeerLoads(now);
    adjustWatches(now);
    watchPlanner(now);
  }

  void tellOtherDataCentres(const FleetHeartbeat &m, Instant now) {
    if (!peers.isLargeFleet(now))
      return links.send(peers.distantAddresses(), m);
    links.send(peers.unheardAddresses(now), m);
    if (wasSentinel)
      links.send(peers.relayAddresses(now), ownDigest(m, now));
    if (const auto received = digests.toPassOn(now))
      links.send(peers.nearbyAddresses(), *received);
  }

  /// Of this data centre, with the requests in progress from all its hosts.
  FleetDigests ownDigest(const FleetHeartbeat &m, Instant now) const {
    auto loads = peers.nearbyLoads(now);
    addLoads(m.loads, loads);
    return {.passedOn = false, .digests = {peers.makeDigest(m, now)}, .loads = listLoads(loads)};
  }

  void applyPeerLoads(Instant now) {
    for (auto &it : loaded)
      view.setPeersInFlight(it, 0);
    loaded.clear();
    auto loads = peers.loads(now);
    if (peers.isLargeFleet(now))
      digests.addLoads(loads, now);
    for (auto &[name, n] : loads) {
      view.setPeersInFlight(name, n);
      loaded.insert(name);
    }
  }

  void reportDemand() {
    env.after(config::FleetDemandInterval, [self = shared_from_this()] { self->reportDemand(); });
    auto now = env.now();
    if (peers.isLargeFleet(now) && demandIntervals++ % 2 != 0)
      return;
    DemandReport m{.host = options.self.host,
                   .observed = gateway.demand().observed(now),
                   .uses = gateway.demand().rates(now),
                   .running = {},
                   .failing = {}};
    for (auto &[key, n] : gateway.running())
      if (!key.second.empty())
        m.running.push_back({key.first, key.second, n});
    for (auto &[name, it] : view.endpoints())
      if (now < it.avoidUntil)
        m.failing.push_back(name);
    toPlanner(m);
  }

  void onNeedChanged(const ServiceName &service, const ModelRef &model, int change) {
    auto &n = needs[{service, model}];
    n += change;
    // Without it, the planner would load again what has made room for another model meanwhile.
    if (change > 0 || n <= 0)
      sendNeed(service, model, n);
    if (n <= 0)
      needs.erase({service, model});
  }

  void sendNeed(const ServiceName &service, const ModelRef &model, int waiting) {
    toPlanner(ModelNeed{options.self.host, service, model, waiting});
  }

  void repeatNeeds() {
    env.after(config::FleetNeedRepeatInterval,
              [self = shared_from_this()] { self->repeatNeeds(); });
    const auto open = needs; // sending may change them
    for (auto &[key, n] : open)
      sendNeed(key.first, key.second, n);
  }

  bool ready() const { return !stopping && view.config() && endpointFollower.synced(); }
};

FleetHost::FleetHost(const asio::any_io_executor &executor, FleetHostOptions options,
                     FleetAdapter adapter)
    : impl(std::make_shared<Impl>(executor, std::move(options), std::move(adapter))) {}

FleetHost::~FleetHost() = default;

std::string FleetHost::start() {
  auto fault = impl->links.start(impl->options.self.peerAddress);
  if (fault.empty())
    fault = impl->exchange.start();
  if (!fault.empty())
    return fault;
  impl->configuration.start();
  impl->endpointFollower.start();
  impl->hostFollower.start();
  impl->registerSelf();
  impl->plannerHeardAt = impl->env.now();
  // Hosts that start together leave the lease to those that can bear the planner's work.
  impl->env.after(fromSeconds(toSeconds(WeakHostDelay) * (1 - impl->options.self.capacity)),
                  [self = impl] {
                    if (!self->stopping)
                      self->planner.start();
                  });
  impl->heartbeat();
  impl->reportDemand();
  impl->repeatNeeds();
  return {};
}

void FleetHost::beginStop(Instant end, std::function<void()> done) {
  impl->stopping = true;
  impl->gateway.setStop(impl->env.now() + config::FleetLongRequestRefusalDelay, end);
  impl->unregister([] {});
  impl->planner.stop(std::move(done));
}

asio::awaitable<void> FleetHost::handle(HttpExchange &exchange) {
  return impl->gateway.handle(exchange);
}

bool FleetHost::ready() const { return impl->ready(); }

int FleetHost::active() const { return impl->gateway.active(); }

std::vector<Address> FleetHost::callerAddresses(const DataCentreName &dataCentre) const {
  return impl->peers.callerAddresses(dataCentre, impl->ready(), impl->env.now());
}

std::string FleetHost::metricsText() {
  auto &host = *impl;
  auto now = host.env.now();
  FleetGauges gauges{.inFlight = static_cast<double>(host.gateway.active()),
                     .ready = host.ready() ? 1.0 : 0.0,
                     .planner = host.planner.active() ? 1.0 : 0.0,
                     .configVersion = static_cast<double>(host.configuration.version()),
                     .configBehindSeconds = toSeconds(host.configuration.behindFor()),
                     .endpoints = static_cast<double>(host.view.endpoints().size()),
                     .peersAlive = static_cast<double>(host.peers.aliveCount(now) - 1),
                     .storeConnected = host.endpointFollower.connected() ? 1.0 : 0.0};
  return host.gateway.metrics().text(gauges);
}

} // namespace catkin
