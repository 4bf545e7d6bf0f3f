#include "crash_watch_p.h"

#include "log_p.h"

#include <utility>

namespace catkin {

struct CrashWatch::Impl : std::enable_shared_from_this<CrashWatch::Impl> {
  /// Requests whose connection to an engine broke, until the engine's status is known.
  struct PendingBreak {
    Instant since;
    std::vector<RequestTrait> traits;
  };

  CoreEnv &env;
  FleetView &view;
  EngineControl &engines;
  CrashWatchHooks hooks;
  CrashQuarantine quarantine;
  std::map<EndpointIncarnation, PendingBreak> pendingBreaks;
  bool stopped = false;

  Impl(CoreEnv &env, FleetView &view, EngineControl &engines, CrashWatchHooks hooks)
      : env(env), view(view), engines(engines), hooks(std::move(hooks)) {}

  void onBroken(const FleetEndpoint &endpoint, const std::vector<RequestTrait> &traits) {
    const Instant now = env.now();
    const EndpointIncarnation engine = incarnationOf(endpoint);
    const EndpointIncarnation crash = quarantine.presentCrash(engine, now);
    if (quarantine.knowsCrash(crash))
      return addCrash(crash, traits, now);
    auto [it, isFirst] = pendingBreaks.try_emplace(engine, PendingBreak{now, {}});
    auto &pending = it->second.traits;
    pending.insert(pending.end(), traits.begin(), traits.end());
    if (!isFirst)
      return;
    // A status call would count towards the limit of requests that the engine has named.
    if (view.limitOf(endpoint).perSecond)
      return onStatus(engine, std::nullopt);
    engines.requestStatus(endpoint, [self = shared_from_this(), engine](const auto &status) {
      if (!self->stopped)
        self->onStatus(engine, status);
    });
  }

  /// An engine whose crash in this incarnation is known has started again, and may answer as
  /// another one without having crashed since.
  void onStatus(const EndpointIncarnation &engine, const std::optional<EngineStatus> &status) {
    const PendingBreak pending = std::move(pendingBreaks[engine]);
    pendingBreaks.erase(engine);
    const bool runsOn =
        status && (status->incarnation == engine.incarnation || quarantine.knowsCrash(engine));
    logLine(LogLevel::Info, runsOn ? "engine runs on after a broken connection" : "engine crashed",
            {{"endpoint", engine.endpoint.value},
             {"incarnation", engine.incarnation},
             {"traits", static_cast<std::int64_t>(pending.traits.size())}});
    if (!runsOn)
      return addCrash(quarantine.presentCrash(engine, pending.since), pending.traits,
                      pending.since);
    for (auto it : pending.traits)
      quarantine.endProbe(it);
  }

  void addCrash(const EndpointIncarnation &engine, const std::vector<RequestTrait> &traits,
                Instant at) {
    quarantine.onCrash(engine, traits, at);
    hooks.announce();
  }
};

CrashWatch::CrashWatch(CoreEnv &env, FleetView &view, EngineControl &engines, CrashWatchHooks hooks)
    : impl(std::make_shared<Impl>(env, view, engines, std::move(hooks))) {}

CrashWatch::~CrashWatch() { impl->stopped = true; }

QuarantineVerdict CrashWatch::judge(const std::vector<RequestTrait> &traits) {
  return impl->quarantine.judge(traits, impl->env.now(), impl->hooks.mayProbe);
}

void CrashWatch::onProbeSent(const RequestTrait &trait) {
  logLine(LogLevel::Info, "request trait is probed", {{"trait", traitText(trait)}});
  impl->quarantine.startProbe(trait, impl->env.now());
}

void CrashWatch::onProbeEnded(const RequestTrait &trait) { impl->quarantine.endProbe(trait); }

void CrashWatch::onAnswerBegun(const std::vector<RequestTrait> &traits) {
  impl->quarantine.onAnswerBegun(traits, impl->env.now());
}

void CrashWatch::onBrokenBeforeAnswer(const FleetEndpoint &endpoint,
                                      const std::vector<RequestTrait> &traits) {
  if (!traits.empty())
    impl->onBroken(endpoint, traits);
}

bool CrashWatch::onReports(const std::vector<CrashReport> &reports) {
  bool news = false;
  for (auto &it : reports)
    news = impl->quarantine.onReport(it, impl->env.now()) || news;
  return news;
}

std::vector<CrashReport> CrashWatch::reports() const {
  return impl->quarantine.reports(impl->env.now());
}

void CrashWatch::setReportDelay(Duration d) { impl->quarantine.setReportDelay(d); }

std::size_t CrashWatch::quarantinedTraits() const { return impl->quarantine.size(); }

void CrashWatch::expire() { impl->quarantine.expire(impl->env.now()); }

} // namespace catkin
