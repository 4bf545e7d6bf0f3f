#pragma once

#include "catkin/catkin.h"
#include "settings_p.h"

#include <functional>
#include <string>

/// The host daemon. It runs Control, the gateway and the operators' API on one set of worker
/// threads.
namespace catkin {

/// Access to a running daemon from other threads. After the daemon has ended, both functions may
/// still be called: `requestStop` then does nothing and `stats` returns empty statistics.
struct DaemonControls {
  std::function<void()> requestStop;
  std::function<Stats()> stats;
};

struct DaemonOptions {
  /// The first SIGTERM or SIGINT stops the daemon gracefully, the second one at once.
  bool handleSignals = true;
  std::function<void(const DaemonControls &)> onStarted; ///< called once all listeners are open
};

/// Runs the daemon until a signal or requestStop and stops gracefully. Returns an empty string, or
/// the reason why the daemon could not start.
std::string runDaemon(const Settings &settings, const DaemonOptions &options = {});

} // namespace catkin
