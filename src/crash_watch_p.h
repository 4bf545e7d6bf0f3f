#pragma once

#include "crash_guard_p.h"
#include "env_p.h"
#include "fleet_planner_p.h"

#include <functional>
#include <memory>

/// Tells crashes of engines from connections that only broke, and keeps the quarantine of request
/// traits of one host. An engine whose connection broke before an answer began is asked for its
/// status: it has crashed if it does not answer, or answers as another incarnation.
namespace catkin {

struct CrashWatchHooks {
  /// Tells whether this host is the one of the fleet that probes the trait.
  std::function<bool(const RequestTrait &)> mayProbe;
  /// A crash has become known that other hosts should hear of at once.
  std::function<void()> announce;
};

class CrashWatch : public CrashGuard {
public:
  CrashWatch(CoreEnv &env, FleetView &view, EngineControl &engines, CrashWatchHooks hooks);
  ~CrashWatch() override;

  QuarantineVerdict judge(const std::vector<RequestTrait> &traits) override;
  void onProbeSent(const RequestTrait &trait) override;
  void onProbeEnded(const RequestTrait &trait) override;
  void onAnswerBegun(const std::vector<RequestTrait> &traits) override;
  void onBrokenBeforeAnswer(const FleetEndpoint &endpoint,
                            const std::vector<RequestTrait> &traits) override;
  /// Handles crashes that another host reports. Returns true if one of them contains news.
  bool onReports(const std::vector<CrashReport> &reports);
  /// Returns the crashes that this host reports to others.
  std::vector<CrashReport> reports() const;
  /// Sets the time that a message takes to reach all hosts at most.
  void setReportDelay(Duration d);
  std::size_t quarantinedTraits() const;
  void expire();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
