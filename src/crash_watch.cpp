#include "crash_watch_p.h"

#include "log_p.h"

#include <utility>

namespace catkin {

struct CrashWatch::Impl : std::enable_shared_from_this<CrashWatch::Impl> {
  /// Requests whose connection to an engine broke, until the engine's status is known.
  struct PendingBreak {
    Instant since;
    std::vector<PromptPart> parts;
  };

  CoreEnv &env;
  FleetView &view;
  EngineControl &engines;
  CrashWatchHooks hooks;
  PromptQuarantine quarantine;
  std::map<EndpointIncarnation, PendingBreak> pendingBreaks;
  bool stopped = false;

  Impl(CoreEnv &env, FleetView &view, EngineControl &engines, CrashWatchHooks hooks)
      : env(env), view(view), engines(engines), hooks(std::move(hooks)) {}

  void onBroken(const FleetEndpoint &endpoint, const std::vector<PromptPart> &parts) {
    const Instant now = env.now();
    const EndpointIncarnation engine = incarnationOf(endpoint);
    const EndpointIncarnation crash = quarantine.presentCrash(engine, now);
    if (quarantine.knowsCrash(crash))
      return addCrash(crash, parts, now);
    auto [it, isFirst] = pendingBreaks.try_emplace(engine, PendingBreak{now, {}});
    auto &pending = it->second.parts;
    pending.insert(pending.end(), parts.begin(), parts.end());
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
             {"prompt_parts", static_cast<std::int64_t>(pending.parts.size())}});
    if (!runsOn)
      return addCrash(quarantine.presentCrash(engine, pending.since), pending.parts, pending.since);
    for (auto it : pending.parts)
      quarantine.endProbe(it);
  }

  void addCrash(const EndpointIncarnation &engine, const std::vector<PromptPart> &parts,
                Instant at) {
    quarantine.onCrash(engine, parts, at);
    hooks.announce();
  }
};

CrashWatch::CrashWatch(CoreEnv &env, FleetView &view, EngineControl &engines, CrashWatchHooks hooks)
    : impl(std::make_shared<Impl>(env, view, engines, std::move(hooks))) {}

CrashWatch::~CrashWatch() { impl->stopped = true; }

PromptVerdict CrashWatch::judge(const std::vector<PromptPart> &parts) {
  return impl->quarantine.judge(parts, impl->env.now(), impl->hooks.mayProbe);
}

void CrashWatch::onProbeSent(PromptPart part) {
  logLine(LogLevel::Info, "prompt part is probed", {{"part", promptPartText(part)}});
  impl->quarantine.startProbe(part, impl->env.now());
}

void CrashWatch::onProbeEnded(PromptPart part) { impl->quarantine.endProbe(part); }

void CrashWatch::onAnswerBegun(const std::vector<PromptPart> &parts) {
  impl->quarantine.onAnswerBegun(parts, impl->env.now());
}

void CrashWatch::onBrokenBeforeAnswer(const FleetEndpoint &endpoint,
                                      const std::vector<PromptPart> &parts) {
  if (!parts.empty())
    impl->onBroken(endpoint, parts);
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

std::size_t CrashWatch::quarantinedParts() const { return impl->quarantine.size(); }

void CrashWatch::expire() { impl->quarantine.expire(impl->env.now()); }

} // namespace catkin
