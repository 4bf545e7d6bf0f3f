#pragma once

#include "settings_p.h"

#include <string>

/// The host daemon: Control, gateway and operators' API on one set of worker threads.
namespace catkin {

/// Runs until SIGTERM or SIGINT and stops gracefully; a second signal ends it at once. Empty on a
/// proper end, otherwise the reason why it could not start.
std::string runDaemon(const Settings &settings);

} // namespace catkin
