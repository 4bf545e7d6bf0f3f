#include "fleet_host_p.h"

#include "config.h"
#include "digest_cache_p.h"
#include "host_registration_p.h"
#include "json_p.h"
#include "log_p.h"
#include "recorded_versions_p.h"
#include "store_contact_p.h"

#include <algorithm>

namespace catkin {

namespace {

constexpr auto HostKind = "catkin-hosts";
// Within which hosts register again that a restored store has forgotten, other hosts' lists
// included.
constexpr Duration HostReregistrationTime = std::chrono::seconds(3);
constexpr Duration MaxWatchWait = std::chrono::seconds(15);
// This time and the pause before the watch are well within the history that the store keeps.
constexpr Duration RelaxedWatchWait = std::chrono::seconds(8);
// Watch times as shares of FleetHostOptions::recoveryBound. A dead connection is noticed only when
// the watch should have ended, and a list must follow within the bound.
constexpr double CloseWatchShare = 0.62;
// Longest watch as a share of the shortest outage that matters. A watch that is cut off near its
// end must not look like an outage.
constexpr double OutageWatchShare = 0.8;
constexpr Duration MinCloseWatchWait = std::chrono::milliseconds(500);
// Intervals without a renewal after which the registry removes a registration.
constexpr int RegistrationLapseIntervals = 3;
constexpr double SentinelWatchShare = 0.25; // other hosts depend on the sentinels' heartbeats
// Pause between watches as a share of FleetHostOptions::drainBound. The planner announces holdings
// sooner, so one watch may return many changes of them.
constexpr double BatchPauseShare = 0.5;
// Delay of the planner's start on a host with capacity 0.
constexpr Duration LowCapacityStartDelay = std::chrono::milliseconds(1500);
constexpr Duration CloseBatchPause = std::chrono::milliseconds(700);
// Pause between two early reads of the registry, so that a rolling restart causes few of them.
constexpr Duration RefreshPause = std::chrono::milliseconds(1500);
// The same if a stream depends on what the registry says.
constexpr Duration UnreadEntriesPause = std::chrono::milliseconds(300);
// Changes of the host list are not urgent, so hosts that start together share one answer.
constexpr Duration HostBatchPause = std::chrono::milliseconds(500);

// Hosts that write the archive of streams, so that the loss of one loses nothing.
constexpr int Recorders = 2;

// Crashes that break many connections at once are announced together.
constexpr Duration AnnouncementDelay = std::chrono::milliseconds(20);
// Longest time until all hosts have heard what one of them announces: two heartbeats in a small
// fleet, and those of two relays and a digest in a large one.
constexpr Duration SmallFleetReportDelay = std::chrono::milliseconds(1100);
constexpr Duration LargeFleetReportDelay = std::chrono::milliseconds(1900);
// Within which a host that watches the registry reads that an endpoint has come back.
constexpr Duration MaxEntryDelay = std::chrono::seconds(3);

} // namespace

struct FleetHost::Impl : std::enable_shared_from_this<FleetHost::Impl> {
  FleetHostOptions options;
  FleetAdapter adapter;
  CoreEnv &env;
  FleetView view;
  StoreContact feed; ///< of all followers
  FleetPeers peers;
  FleetLinks links;
  HostRegistration registration;
  RequestPermits permits;
  TeamQuotas quotas;
  VersionRecorder versionRecorder;
  VersionReader versionReader;
  RecordedVersions recordedVersions;
  StreamArchiveWriter archiveWriter;
  StreamArchiveReader archiveReader;
  StreamKeepers streams;
  DigestCache digests; ///< digests of other data centres
  CrashWatch crashWatch;
  FleetPlanner planner;
  FleetGateway gateway;
  ConfigExchange exchange;
  FreshnessExchange freshness;
  FleetConfiguration configuration;
  ObjectFollower endpointFollower;
  ObjectFollower hostFollower;
  /// Number of requests of this host that wait for a model.
  std::map<std::pair<ServiceName, ModelRef>, int> needs;
  /// Endpoints that had requests of other hosts at the last count.
  std::set<EndpointName> peerLoadedEndpoints;
  bool stopping = false;
  bool everConnected = false;
  bool registryEverConnected = false;
  bool wasSentinel = true; ///< every host is a sentinel until it has heard others
  unsigned heartbeats = 0;
  unsigned demandIntervals = 0;
  Instant registryCurrentAt;     ///< last time at which this host had a connection to the registry
  Instant plannerHeardAt;        ///< last message of a planner with the highest known term
  bool reliedOnSentinel = false; ///< relied on sentinels for registry changes at the last heartbeat
  StoreRevision newestPeerArrival; ///< revision of the newest endpoint known to other hosts
  Instant registryRefreshedAt;
  bool announcementScheduled = false;
  std::uint64_t storeEra = 0;             ///< newest one in which the store has come back
  Instant restoredAt;                     ///< when this host noticed that
  std::set<ServiceName> archivedServices; ///< with several versions, as of the last heartbeat
  std::set<HostName> missingHosts; ///< hosts whose registrations a restored store does not have

  Impl(const asio::any_io_executor &executor, FleetHostOptions o, FleetAdapter a)
      : options(std::move(o)), adapter(std::move(a)), env(*adapter.env),
        feed(env, *adapter.feed,
             {.shortestOutage = shortestOutage(),
              .outageEnded = [this] { view.onRegistryOutageEnded(env.now()); }}),
        peers(options.self),
        links(executor, [this](auto &message, auto &from) { onMessage(message, from); }),
        registration(env, HostKind, options.self),
        permits(env, view,
                {.issuer = [this](auto &it) { return permitIssuer(it); },
                 .share = [this] { return peers.permitShare(env.now()); },
                 .send = [this](auto &to, auto &message) { links.send({to}, message); }}),
        quotas(env, view, peers, options.quota,
               {.leaving = [this] { return stopping; },
                .send = [this](auto &to, auto &message) { links.send({to}, message); }}),
        versionRecorder(env), versionReader(env), recordedVersions(env),
        archiveWriter(env, feed, options.self.host.value,
                      {.find = [this](auto &key) { return streams.archived(key); },
                       .storeEra = [this] { return endpointFollower.revision().era; }}),
        archiveReader(env, feed),
        streams(env, view,
                {.keepers = [this](auto &key,
                                   int n) { return peers.rankedHosts(key.hash, n, env.now()); },
                 .send = [this](auto &to, auto &message) { links.send({to}, message); },
                 .findOnlyVersion = [this](auto &service,
                                           auto done) { findOnlyVersion(service, done); },
                 .findArchived = [this](auto &key,
                                        auto done) { archiveReader.find(key, std::move(done)); },
                 .archive = [this](auto &key) { archive(key); },
                 .confirmIncarnation =
                     [this](auto &to, auto done) { confirmIncarnation(to, std::move(done)); }}),
        crashWatch(env, view, *adapter.engines,
                   {.mayProbe = [this](RequestTrait it) { return isResponsibleFor(it); },
                    .announce = [this] { announceState(); }}),
        planner(env, view, *adapter.engines,
                {.host = options.self.host,
                 .incarnation = options.self.incarnation,
                 .address = options.self.peerAddress,
                 .firstOrderDelay = options.firstOrderDelay,
                 .ceilingWindow = options.ceilingWindow},
                {.broadcast = [this](auto &message) { broadcast(message); },
                 .send = [this](auto &to, auto &message) { sendNotices(to, message); },
                 .acquirePermit = [this](auto &to, Duration maxDelay,
                                         auto done) { permits.acquire(to, maxDelay, done); },
                 .termBegan = [this](bool isFirst) { versionRecorder.beginTerm(isFirst); }}),
        gateway(
            executor, view, *adapter.codec, options.gatewayOptions(),
            {.now = [this] { return env.now(); },
             .random = [this] { return env.random(); },
             .hostCount = [this] { return peers.hostCount(); },
             .acquirePermit = [this](auto &to, Duration maxDelay,
                                     auto done) { permits.acquire(to, maxDelay, done); },
             .crashGuard = &crashWatch,
             .streamOrigins = &streams,
             .confirmIncarnation = [this](auto &to,
                                          auto done) { confirmIncarnation(to, std::move(done)); },
             .ensureVersionRecorded =
                 [this](auto &service, auto &version, auto done) {
                   recordedVersions.ensure(service, version, std::move(done));
                 },
             .onVersionMissing =
                 [this] { readUnreadEntries("no endpoint of a stream's version is known"); },
             .onModelNeedChanged = [this](auto &service, auto &model,
                                          int change) { onNeedChanged(service, model, change); },
             .onModelUnavailable = [this](auto &service,
                                          auto &model) { sendNeed(service, model, 1); },
             .areKeysCurrent = [this] { return freshness.areKeysCurrent(); },
             .mayRejectKeys = [this] { return mayRejectKeys(); },
             .acquireQuota = [this](auto &team, double cost,
                                    auto done) { quotas.acquire(team, cost, std::move(done)); }}),
        exchange(executor, options.self.peerAddress,
                 [this]() -> const std::string & { return configuration.serializedObject(); }),
        freshness(env, options.freshness,
                  {.version = [this] { return configuration.version(); },
                   .hasTeams = [this] { return view.config() && !view.config()->teams.empty(); },
                   .watchesClosely = [this] { return wasSentinel; },
                   .sources = [this] { return peers.freshnessSources(env.now(), env.random()); },
                   .send = [this](auto &to, auto &message) { links.send({to}, message); },
                   .readStore = [this] { configuration.reload(); }}),
        configuration(
            env, feed, exchange,
            {.kind = options.configKind,
             .name = options.configName,
             .watch = {.maxWait = closeWatchWait()}},
            {.readConfig = adapter.readConfig,
             .removeSecrets = adapter.removeSecrets,
             .apply = [this](FleetConfig it) { return view.setConfig(std::move(it)); },
             .applied = [this] { announceState(); },
             .holders = [this] { return peers.configHolders(env.now()); },
             .upToDate = [this](Instant sentAt,
                                std::uint64_t era) { freshness.onStoreAnswer(sentAt, era); },
             .connectionChanged = [this](bool on) { onConfigConnection(on); },
             .restored = [this](std::uint64_t era) { onStoreRestored(era); }}),
        endpointFollower(env, feed,
                         {.kind = options.endpointKind,
                          .limits = {.maxWait = closeWatchWait()},
                          .batchPause = CloseBatchPause},
                         {.changed = [this](auto &it) { onEndpoint(it); },
                          .connectionChanged = [this](bool on) { onRegistryConnection(on); },
                          .restored = [this](std::uint64_t era) { onStoreRestored(era); }}),
        hostFollower(
            env, feed,
            {.kind = HostKind, .limits = {.maxWait = MaxWatchWait}, .batchPause = HostBatchPause},
            {.changed = [this](auto &it) { onHost(it); },
             .connectionChanged = {},
             .restored = [this](std::uint64_t era) { onStoreRestored(era); }}) {}

  /// An endpoint renews its registration at once or at its next interval after an outage, so the
  /// outage alone must span the others.
  Duration shortestOutage() const {
    return (RegistrationLapseIntervals - 1) * options.registrationInterval;
  }

  Duration closeWatchWait() const {
    const Duration wait = fromSeconds(toSeconds(options.recoveryBound) * CloseWatchShare);
    const Duration limit = fromSeconds(toSeconds(shortestOutage()) * OutageWatchShare);
    return std::min(wait, std::max<Duration>(limit, MinCloseWatchWait));
  }

  Duration sentinelWatchWait() const {
    return fromSeconds(toSeconds(options.recoveryBound) * SentinelWatchShare);
  }

  /// True if this host's view of the store is current, so that other hosts may rely on it.
  bool storeConnected() const {
    return configuration.isConnected() && endpointFollower.isConnected();
  }

  // ---- Store -----------------------------------------------------------------------------------

  void onEndpoint(const FeedObject &object) {
    auto entry = object.removed ? std::nullopt : adapter.readEndpoint(object);
    if (!entry) {
      view.removeEndpoint(EndpointName(object.name), env.now());
      logLine(LogLevel::Info, object.removed ? "endpoint gone" : "endpoint entry cannot be read",
              {{"endpoint", object.name}, {"revision", object.revision.number}});
      return;
    }
    auto *known = view.find(entry->name);
    bool isChange = !known || known->entry.liveness != entry->liveness ||
                    known->entry.incarnation != entry->incarnation;
    if (isChange)
      logLine(LogLevel::Info, "endpoint",
              {{"endpoint", entry->name.value},
               {"service", entry->service.value},
               {"address", entry->address.toString()},
               {"state", toString(entry->liveness)},
               {"incarnation", entry->incarnation},
               {"revision", object.revision.number}});
    const bool isNewIncarnation = !known || known->entry.incarnation != entry->incarnation;
    if (isNewIncarnation)
      streams.onReplaced(incarnationOf(*entry), entry->softwareVersion, earliestAnswer(*entry));
    view.putEndpoint(std::move(*entry), env.now());
    if (isNewIncarnation && planner.isActive())
      recordVersions(env.now());
  }

  /// Returns since when this incarnation may have answered requests that this host sent to an
  /// earlier one of the endpoint.
  Instant earliestAnswer(const FleetEndpoint &entry) const {
    const Instant unread = std::min(registryCurrentAt, env.now()) - maxEntryDelay();
    const Duration age = std::chrono::seconds(env.wallSeconds() - entry.startedAtSeconds);
    return std::max(unread, env.now() - std::max(age, Duration()) - config::FleetMaxClockError);
  }

  /// Returns the longest time after which this host reads that an endpoint has come back.
  Duration maxEntryDelay() const {
    return reliedOnSentinel ? config::FleetNonSentinelReadInterval + MaxEntryDelay : MaxEntryDelay;
  }

  /// Asks the endpoint for its status, or the registry if it has no models and so no status.
  /// Without an answer in time, nothing is confirmed.
  void confirmIncarnation(const FleetEndpoint &to, const std::function<void(bool)> &done) {
    auto once = [pending = std::make_shared<std::function<void(bool)>>(done)](bool confirmed) {
      if (auto report = std::exchange(*pending, {}))
        report(confirmed);
    };
    env.after(config::FleetConfirmTimeout, [once] { once(false); });
    if (!view.hasEngines(to.service))
      return confirmByRegistry(incarnationOf(to), once);
    permits.acquire(incarnationOf(to), {}, [this, to, once](const Permit &permit) {
      if (!permit.granted)
        return once(false);
      adapter.engines->requestStatus(to, [this, incarnation = to.incarnation, once](auto status) {
        const bool confirmed = status && status->incarnation == incarnation;
        if (status && !confirmed)
          readUnreadEntries("an endpoint has started again");
        once(confirmed);
      });
    });
  }

  /// An endpoint is registered before it takes requests, so the newest entry is that of the
  /// incarnation that would get one now. What this host has read may be a second old.
  void confirmByRegistry(const EndpointIncarnation &endpoint,
                         const std::function<void(bool)> &done) {
    feed.get(options.endpointKind, endpoint.endpoint.value, [=, this](const FeedPage &page) {
      const auto entry =
          page.objects.empty() ? std::nullopt : adapter.readEndpoint(page.objects.front());
      const bool confirmed = entry && incarnationOf(*entry) == endpoint;
      if (entry && !confirmed)
        readUnreadEntries("an endpoint has started again");
      done(confirmed);
    });
  }

  /// The registry may have an entry of an endpoint that this host needs and has not read yet.
  void readUnreadEntries(std::string_view reason) {
    const Instant now = env.now();
    if (now - registryRefreshedAt >= UnreadEntriesPause)
      refreshRegistry(reason, now);
  }

  void onHost(const FeedObject &object) {
    if (object.removed) {
      removeHost(HostName(object.name));
    } else {
      auto *text = object.content.if_string();
      auto entry = text ? parseHostEntry({text->data(), text->size()}) : std::nullopt;
      if (!entry)
        return logLine(LogLevel::Warn, "host entry cannot be read", {{"host", object.name}});
      missingHosts.erase(entry->host);
      peers.put(*entry);
    }
    logLine(LogLevel::Info, "host", {{"peer", object.name}, {"removed", object.removed}});
  }

  /// Right after a restore of the store, a host whose registration is missing may be about to
  /// register again. It is then removed only if it has not done so in time.
  void removeHost(const HostName &host) {
    if (env.now() >= restoredAt + HostReregistrationTime)
      return peers.remove(host);
    missingHosts.insert(host);
    env.after(HostReregistrationTime, [self = shared_from_this(), host] {
      if (self->missingHosts.erase(host) > 0)
        self->peers.remove(host);
    });
  }

  /// Restarts the other watches with that of the configuration. They use the same store and would
  /// notice a lost connection much later.
  void onConfigConnection(bool connected) {
    bool first = !std::exchange(everConnected, true);
    logConnection("config", connected);
    if (first)
      return;
    endpointFollower.restart();
    hostFollower.restart();
  }

  void archive(const StreamKey &key) {
    const auto stream = streams.archived(key);
    if (stream && archivedServices.count(stream->origin.service) > 0)
      archiveWriter.add(key);
  }

  /// Streams are archived while a service has several versions: otherwise the record of its
  /// versions suffices.
  void chooseRecorders(Instant now) {
    auto services = view.versions().servicesWithSeveral(now - config::FleetMaxStreamAge);
    const bool isNeeded = !services.empty();
    const bool hasNew = !std::includes(archivedServices.begin(), archivedServices.end(),
                                       services.begin(), services.end());
    archivedServices = std::move(services);
    streams.setRecorders(isNeeded ? peers.responsibleHosts(ArchiveKind, Recorders, stopping, now)
                                  : std::vector<Address>());
    if (hasNew)
      streams.archiveAll();
  }

  void onRegistryConnection(bool connected) {
    view.setRegistryConnected(connected);
    logConnection("endpoints", connected);
    if (std::exchange(registryEverConnected, true) && connected)
      hostFollower.restart();
  }

  /// The store has come back from an older copy. The other watches may wait for changes after
  /// revisions that the store does not have any more.
  void onStoreRestored(std::uint64_t era) {
    if (era <= storeEra)
      return;
    storeEra = era;
    restoredAt = env.now();
    view.onStoreRestored(env.now());
    versionRecorder.onStoreRestored();
    recordedVersions.onStoreRestored();
    streams.archiveAll();
    registration.add(); // the copy may be older than the registration
    configuration.onStoreRestored(era);
    endpointFollower.restartIfBefore(era);
    hostFollower.restartIfBefore(era);
  }

  /// Sets the watch times by this host's role. The number of store calls grows with the fleet, so
  /// in a large one only sentinels use short watches.
  void adjustWatches(Instant now) {
    const bool watchesClosely = peers.isSentinel(storeConnected(), now);
    const bool large = peers.isLargeFleet(now);
    if (!large)
      configuration.setWatchLimits({.maxWait = freshness.limitWatch(closeWatchWait())});
    else if (watchesClosely)
      configuration.setWatchLimits({.maxWait = freshness.limitWatch(sentinelWatchWait())});
    else
      configuration.setWatchLimits({.maxWait = MaxWatchWait, .mayBeStale = true});
    hostFollower.setWatchLimits({.maxWait = MaxWatchWait, .mayBeStale = large});
    if (!std::exchange(wasSentinel, watchesClosely) && watchesClosely)
      configuration.reload(); // the connection of its long watch may be dead
    adjustRegistryWatch(watchesClosely, now);
  }

  /// Sets the watch of the registry. In a large fleet, hosts that receive a sentinel's heartbeats
  /// learn from it which endpoints leave, and from the planner what engines hold, so they read the
  /// registry less often.
  void adjustRegistryWatch(bool watchesClosely, Instant now) {
    const bool large = peers.isLargeFleet(now);
    const bool reliesOnSentinel =
        large && !watchesClosely && !planner.isActive() && peers.hasLiveSentinel(now);
    endpointFollower.setBatchPause(registryBatchPause(watchesClosely, reliesOnSentinel, large));
    if (reliesOnSentinel)
      endpointFollower.setWatchLimits({.maxWait = RelaxedWatchWait, .mayBeStale = true});
    else
      endpointFollower.setWatchLimits({.maxWait = large ? sentinelWatchWait() : closeWatchWait()});
    view.setReadsInfrequently(reliesOnSentinel);
    if (std::exchange(reliedOnSentinel, reliesOnSentinel) && !reliesOnSentinel)
      return refreshRegistry("no sentinel heartbeat is received", now);
    if (!reliesOnSentinel || now - registryRefreshedAt < RefreshPause)
      return;
    if (newestPeerArrival > endpointFollower.revision())
      refreshRegistry("another host knows a newer endpoint", now);
    else if (view.isAwaitingReregistration())
      refreshRegistry("an endpoint may register again", now);
  }

  /// Pause after a watch of the registry that returned changes.
  Duration registryBatchPause(bool watchesClosely, bool reliesOnSentinel, bool large) const {
    if (reliesOnSentinel)
      return config::FleetNonSentinelReadInterval;
    if (planner.isActive() || (watchesClosely && large))
      return CloseBatchPause;
    return fromSeconds(toSeconds(options.drainBound) * BatchPauseShare);
  }

  void refreshRegistry(std::string_view reason, Instant now) {
    registryRefreshedAt = now;
    logLine(LogLevel::Info, "registry read again",
            {{"reason", reason}, {"revision", endpointFollower.revision().number}});
    endpointFollower.restartWatch();
  }

  void logConnection(std::string_view kind, bool connected) {
    logLine(connected ? LogLevel::Info : LogLevel::Warn,
            connected ? "store connected" : "store lost", {{"objects", kind}});
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
    links.send(peers.silentDataCentreAddresses(now), message);
    message.forwardInDataCentre = true;
    links.send(peers.oneRelayPerDataCentre(now, env.random()), message);
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

  void sendToPlanner(const FleetMessage &message) {
    send(planner.isActive() ? options.self.peerAddress : planner.address(), message);
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
    else if (auto *m = std::get_if<PermitRequest>(&message))
      permits.onRequest(*m, from);
    else if (auto *m = std::get_if<PermitReply>(&message))
      permits.onReply(*m);
    else if (auto *m = std::get_if<StreamBegun>(&message))
      streams.onBegun(*m, from);
    else if (auto *m = std::get_if<StreamRecords>(&message))
      streams.onRecords(*m);
    else if (auto *m = std::get_if<StreamQuestion>(&message))
      streams.onQuestion(*m, from);
    else if (auto *m = std::get_if<StreamAnswer>(&message))
      streams.onAnswer(*m, from);
    else if (auto *m = std::get_if<FreshnessQuestion>(&message))
      freshness.onQuestion(*m, from);
    else if (auto *m = std::get_if<FreshnessAnswer>(&message))
      freshness.onAnswer(*m);
    else
      quotas.onMessage(message, from);
  }

  Address permitIssuer(const EndpointName &endpoint) const {
    return peers.responsibleHost(endpoint.value, stopping, env.now());
  }

  bool isResponsibleFor(RequestTrait part) const {
    return peers.responsibleHost(traitText(part), stopping, env.now()).empty();
  }

  void onHeartbeat(const FleetHeartbeat &message, const Address &from) {
    if (const auto appeared = peers.onHeartbeat(message, env.now()))
      streams.shareWith(*appeared);
    if (peers.mustAnswer(message, stopping))
      links.send({from}, makeHeartbeat(env.now()));
    configuration.onPeerVersion(message.configVersion);
    for (auto &it : message.leavingEndpoints)
      view.onLeaving(it, env.now(), true);
    for (auto &it : message.limits)
      view.onLimitReportedByHost(it, env.now());
    for (auto &it : message.departures)
      view.onDeparture(it);
    onCrashReports(message.crashes);
    newestPeerArrival = std::max(newestPeerArrival, message.newestArrival);
    onPlannerHeard(message.plannerTerm, from);
  }

  void onDigests(const FleetDigests &message) {
    const Instant now = env.now();
    digests.onDigests(message, now);
    for (auto &digest : message.digests) {
      if (digest.dataCentre == options.self.dataCentre)
        continue;
      for (auto &it : peers.onDigest(digest, now))
        streams.shareWith(it);
      configuration.onPeerVersion(digest.configVersion);
      for (auto &it : digest.leavingEndpoints)
        view.onLeaving(it, now, true);
      for (auto &it : digest.limits)
        view.onLimitReportedByHost(it, now);
      onCrashReports(digest.crashes);
      onPlannerHeard(digest.plannerTerm, digest.plannerAddress);
    }
  }

  /// In a large fleet, sentinels forward news in their data centre at once.
  void onCrashReports(const std::vector<CrashReport> &reports) {
    const bool news = crashWatch.onReports(reports);
    if (news && wasSentinel && peers.isLargeFleet(env.now()))
      announceState();
  }

  void onPlannerHeard(std::uint64_t term, const Address &address) {
    if (term == 0 || term < planner.term())
      return;
    planner.observe(term, address);
    plannerHeardAt = env.now();
  }

  /// Updates the hosts that may become the planner, and detects that the planner is silent.
  void watchPlanner(Instant now) {
    planner.setCandidates(peers.plannerCandidates(storeConnected(), now));
    if (planner.isActive())
      plannerHeardAt = now;
    const Duration limit = peers.isLargeFleet(now) ? config::FleetDistantPlannerSilentAfter
                                                   : config::FleetPlannerSilentAfter;
    planner.setPlannerLost(now - plannerHeardAt > limit);
  }

  void onNotices(const HoldingsNotices &message, const Address &from) {
    const Address &sender = message.planner.empty() ? from : message.planner;
    for (auto &it : message.notices) {
      if (it.term < planner.term())
        continue; // sent by a former planner
      planner.observe(it.term, sender);
      view.applyNotice(it, env.now());
    }
    if (!message.forwardInDataCentre)
      return;
    HoldingsNotices copy = message;
    copy.forwardInDataCentre = false;
    links.send(peers.nearbyAddresses(), copy);
  }

  FleetHeartbeat makeHeartbeat(Instant now) const {
    FleetHeartbeat m{.host = options.self.host,
                     .incarnation = options.self.incarnation,
                     .ready = ready(),
                     .leaving = stopping,
                     .storeConnected = storeConnected(),
                     .configVersion = configuration.version(),
                     .plannerTerm = planner.isActive() ? planner.term() : 0,
                     .loads = {},
                     .leavingEndpoints = view.signals().leavingToAnnounce(now),
                     .limits = view.signals().limits().toAnnounce(now),
                     .crashes = crashWatch.reports(),
                     .departures = {},
                     .newestArrival = {}};
    if (wasSentinel) {
      m.departures = view.departures(now);
      m.newestArrival = view.newestArrival();
    }
    for (auto &[name, it] : view.endpoints())
      if (const auto tokens = it.load.ownTokens(now); it.ownInFlight > 0 || !tokens.empty())
        m.loads.push_back({name, it.ownInFlight, tokens});
    return m;
  }

  /// Announces this host's state, such as a new configuration or a crash, before the next
  /// heartbeat. Several changes in a short time share one announcement.
  void announceState() {
    if (std::exchange(announcementScheduled, true))
      return;
    env.after(AnnouncementDelay, [self = shared_from_this()] { self->sendAnnouncement(); });
  }

  /// In a large fleet, the state goes to the hosts of this data centre, and a sentinel's also to
  /// the relays of the others.
  void sendAnnouncement() {
    announcementScheduled = false;
    const Instant now = env.now();
    const FleetHeartbeat m = makeHeartbeat(now);
    if (!peers.isLargeFleet(now))
      return links.send(peers.peerAddresses(), m);
    links.send(peers.nearbyAddresses(), m);
    if (wasSentinel)
      links.send(peers.relayAddresses(now), ownDigest(m, now));
  }

  void heartbeat() {
    env.after(config::FleetHeartbeat, [self = shared_from_this()] { self->heartbeat(); });
    auto now = env.now();
    view.expire(now);
    recordVersions(now);
    permits.expire();
    quotas.expire();
    streams.expire();
    archiveReader.expire();
    chooseRecorders(now);
    crashWatch.setReportDelay(peers.isLargeFleet(now) ? LargeFleetReportDelay
                                                      : SmallFleetReportDelay);
    crashWatch.expire();
    const FleetHeartbeat m = makeHeartbeat(now);
    links.send(peers.nearbyAddresses(), m);
    if (heartbeats++ % config::FleetDistantHeartbeats == 0)
      sendToOtherDataCentres(m, now);
    applyPeerLoads(now);
    adjustWatches(now);
    watchPlanner(now);
  }

  /// Records the versions of the endpoints: on this host, and in the store if it is the planner.
  void recordVersions(Instant now) {
    auto present = view.recordVersions(now);
    if (!endpointFollower.isSynced() || !endpointFollower.isConnected())
      return;
    registryCurrentAt = now;
    if (planner.isActive())
      versionRecorder.update(present);
    std::erase_if(present, [&](auto &it) { return !view.hasEngines(it.first); });
    recordedVersions.prefetch(present);
  }

  /// Finds the only version of a service that can have begun a stream. The store's record lacks a
  /// version that has only just appeared, which this host may have read.
  void findOnlyVersion(const ServiceName &service, const VersionReader::Done &done) {
    versionReader.read(service, [this, service, done](RecordedVersion recorded) {
      const Instant from = env.now() - config::FleetMaxStreamAge;
      if (recorded.only && view.versions().hasSeenOther(service, *recorded.only, from))
        recorded.only.reset();
      done(recorded);
    });
  }

  /// Sends this host's state to other data centres. In a large fleet, only hosts there that have
  /// not been heard for a while get the heartbeat; sentinels send a digest of their data centre,
  /// and received digests are forwarded within this one.
  void sendToOtherDataCentres(const FleetHeartbeat &m, Instant now) {
    if (!peers.isLargeFleet(now))
      return links.send(peers.distantAddresses(), m);
    links.send(peers.silentDataCentreAddresses(now), m);
    if (wasSentinel)
      links.send(peers.relayAddresses(now), ownDigest(m, now));
    if (const auto received = digests.digestsToForward(now))
      links.send(peers.nearbyAddresses(), *received);
  }

  /// Digest of this data centre, with the requests in progress of all its hosts.
  FleetDigests ownDigest(const FleetHeartbeat &m, Instant now) const {
    auto loads = peers.nearbyLoads(now);
    addLoads(m.loads, loads);
    return {.forwarded = false, .digests = {peers.makeDigest(m, now)}, .loads = listLoads(loads)};
  }

  void applyPeerLoads(Instant now) {
    for (auto &it : peerLoadedEndpoints)
      view.setPeersInFlight(it, 0);
    peerLoadedEndpoints.clear();
    auto loads = peers.loads(now);
    if (peers.isLargeFleet(now))
      digests.addLoads(loads, now);
    for (auto &[name, load] : loads) {
      view.setPeersInFlight(name, load.inFlight, load.tokens);
      peerLoadedEndpoints.insert(name);
    }
  }

  void reportDemand() {
    env.after(config::FleetDemandInterval, [self = shared_from_this()] { self->reportDemand(); });
    auto now = env.now();
    if (peers.isLargeFleet(now) && demandIntervals++ % 2 != 0)
      return;
    DemandReport m{.host = options.self.host,
                   .observed = gateway.demand().observedTime(now),
                   .requestRates = gateway.demand().rates(now),
                   .running = {},
                   .failing = {}};
    for (auto &[key, n] : gateway.runningRequests())
      if (!key.second.empty())
        m.running.push_back({key.first, key.second, n});
    for (auto &[name, it] : view.endpoints())
      if (now < it.avoidUntil)
        m.failing.push_back(name);
    sendToPlanner(m);
  }

  void onNeedChanged(const ServiceName &service, const ModelRef &model, int change) {
    auto &n = needs[{service, model}];
    n += change;
    // Without the message that nothing waits any more, the planner would load the model again after
    // unloading it to make room for another one.
    if (change > 0 || n <= 0)
      sendNeed(service, model, n);
    if (n <= 0)
      needs.erase({service, model});
  }

  void sendNeed(const ServiceName &service, const ModelRef &model, int waiting) {
    sendToPlanner(ModelNeed{options.self.host, service, model, waiting});
  }

  void repeatNeeds() {
    env.after(config::FleetNeedRepeatInterval,
              [self = shared_from_this()] { self->repeatNeeds(); });
    const auto snapshot = needs; // sending may change `needs`
    for (auto &[key, n] : snapshot)
      sendNeed(key.first, key.second, n);
  }

  bool ready() const {
    return !stopping && view.config() && endpointFollower.isSynced() && freshness.isReady();
  }

  bool mayRejectKeys() const {
    const bool hearsSentinel = peers.hasLiveSentinel(env.now());
    return configuration.timeBehind() == Duration(0) &&
           freshness.mayRejectKeys(configuration.isConnected(), hearsSentinel);
  }
};

FleetHost::FleetHost(const asio::any_io_executor &executor, FleetHostOptions options,
                     FleetAdapter adapter)
    : impl(std::make_shared<Impl>(executor, std::move(options), std::move(adapter))) {}

FleetHost::~FleetHost() = default;

std::string FleetHost::start() {
  impl->adapter.engines->setAnnouncementHandler(
      [weak = std::weak_ptr(impl)](auto &from, auto &announced, Instant sentAt) {
        if (auto self = weak.lock())
          self->view.onAnnouncements(from, announced, sentAt, self->env.now());
      });
  auto error = impl->links.start(impl->options.self.peerAddress);
  if (error.empty())
    error = impl->exchange.start();
  if (!error.empty())
    return error;
  impl->configuration.start();
  impl->endpointFollower.start();
  impl->hostFollower.start();
  impl->registration.add();
  impl->plannerHeardAt = impl->env.now();
  // If hosts start together, those with more capacity get the chance to acquire the lease first.
  impl->env.after(fromSeconds(toSeconds(LowCapacityStartDelay) * (1 - impl->options.self.capacity)),
                  [self = impl] {
                    if (!self->stopping)
                      self->planner.start();
                  });
  impl->heartbeat();
  impl->freshness.start();
  impl->reportDemand();
  impl->repeatNeeds();
  return {};
}

void FleetHost::beginStop(Instant end, std::function<void()> done) {
  impl->stopping = true;
  constexpr int RefusalShare = 3; // of the grace time, if that is short
  const Instant now = impl->env.now();
  const Instant requestsEnd = end - config::FleetStopAnswerTime;
  const Duration refusalDelay =
      std::min<Duration>(config::FleetLongRequestRefusalDelay, (requestsEnd - now) / RefusalShare);
  impl->gateway.setStop(now + refusalDelay, requestsEnd);
  impl->env.after(requestsEnd - now, [self = impl] { self->gateway.endRequests(); });
  impl->streams.shareAll();
  impl->registration.remove();
  impl->planner.stop(std::move(done));
}

asio::awaitable<void> FleetHost::handle(HttpExchange &exchange) {
  return impl->gateway.handle(exchange);
}

bool FleetHost::ready() const { return impl->ready(); }

int FleetHost::activeRequests() const { return impl->gateway.activeRequests(); }

std::vector<Address> FleetHost::callerAddresses(const DataCentreName &dataCentre) const {
  return impl->peers.callerAddresses(dataCentre, impl->ready(), impl->env.now());
}

std::string FleetHost::metricsText() {
  auto &host = *impl;
  auto now = host.env.now();
  FleetGauges gauges{.inFlight = static_cast<double>(host.gateway.activeRequests()),
                     .ready = host.ready() ? 1.0 : 0.0,
                     .planner = host.planner.isActive() ? 1.0 : 0.0,
                     .configVersion = static_cast<double>(host.configuration.version()),
                     .configBehindSeconds = toSeconds(host.configuration.timeBehind()),
                     .endpoints = static_cast<double>(host.view.endpoints().size()),
                     .peersAlive = static_cast<double>(host.peers.aliveCount(now) - 1),
                     .storeConnected = host.endpointFollower.isConnected() ? 1.0 : 0.0,
                     .quarantinedTraits = static_cast<double>(host.crashWatch.quarantinedTraits())};
  return host.gateway.metrics().text(gauges);
}

} // namespace catkin
