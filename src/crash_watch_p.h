#pragma once

#include "env_p.h"
#include "fleet_planner_p.h"
#include "prompt_guard_p.h"

#include <functional>
#include <memory>

/// Tells crashes of engines from connections that only broke, and keeps the quarantine of prompt
/// parts of one host. An engine whose connection broke before an answer began is asked for its
/// status: it has crashed if it does not answer, or answers as another incarnation.
namespace catkin {

struct CrashWatchHooks {
  /// Tells whether this host is the one of the fleet that probes the part.
  std::function<bool(PromptPart)> mayProbe;
  /// A crash has become known that other hosts should hear of at once.
  std::function<void()> announce;
};

class CrashWatch : public PromptGuard {
public:
  CrashWatch(CoreEnv &env, FleetView &view, EngineControl &engines, CrashWatchHooks hooks);
  ~CrashWatch() override;

  PromptVerdict judge(const std::vector<PromptPart> &parts) override;
  void onProbeSent(PromptPart part) override;
  void onProbeEnded(PromptPart part) override;
  void onAnswerBegun(const std::vector<PromptPart> &parts) override;
  void onBrokenBeforeAnswer(const FleetEndpoint &endpoint,
                            const std::vector<PromptPart> &parts) override;
  /// Handles crashes that another host reports. Returns true if one of them contains news.
  bool onReports(const std::vector<CrashReport> &reports);
  /// Returns the crashes that this host reports to others.
  std::vector<CrashReport> reports() const;
  /// Sets the time that a message takes to reach all hosts at most.
  void setReportDelay(Duration d);
  std::size_t quarantinedParts() const;
  void expire();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
