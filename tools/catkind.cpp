#include "daemon_p.h"
#include "log_p.h"
#include "settings_p.h"

#include <cstdio>
#include <iostream>

namespace {

constexpr int ExitBadSettings = 2;

/// Prints the errors in the settings and returns the exit code.
int printSettingsErrors(const std::vector<std::string> &errors) {
  std::cerr << "catkind: " << errors.size() << " error(s) in the settings:\n";
  for (auto &it : errors)
    std::cerr << "  " << it << "\n";
  return ExitBadSettings;
}

} // namespace

int main(int argc, char **argv) {
  auto result = catkin::readSettings(argc, argv);
  if (result.help || result.version) {
    std::cout << (result.help ? result.helpText : "catkind " CATKIN_VERSION "\n");
    return 0;
  }
  if (!result.errors.empty())
    return printSettingsErrors(result.errors);
  if (result.check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  auto level = catkin::parseEnum<catkin::LogLevel>(result.settings.logLevel);
  catkin::startLog(level.value_or(catkin::LogLevel::Info), result.settings.host);
  auto error = catkin::runDaemon(result.settings);
  catkin::stopLog();
  if (error.empty())
    return 0;
  std::cerr << "catkind: " << error << "\n";
  return 1;
}
