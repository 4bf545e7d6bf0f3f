#pragma once

#include "catkin/catkin.h"
#include "settings_p.h"

#include <functional>
#include <string>

/// The host daemon: Control, gateway and operators' API on one set of worker threads.
namespace catkin {

/// Access to a running daemon from other threads. Both stay valid after it has ended and then do
/// nothing.
struct DaemonControls {
  std::function<void()> requestStop;
  std::function<Stats()> stats;
};

struct DaemonOptions {
  bool handleSignals = true; ///< SIGTERM and SIGINT stop gracefully, a second one at once
  std::function<void(const DaemonControls &)> onStarted; ///< once all listeners are open
};

/// Runs until a signal or requestStop and stops gracefully. Empty on a proper end, otherwise the
/// reason why it could not start.
std::string runDaemon(const Settings &settings, const DaemonOptions &options = {});

} // namespace catkin
