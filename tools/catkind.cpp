#include "daemon_p.h"
#include "log_p.h"
#include "settings_p.h"

#include <cstdio>
#include <iostream>

namespace {

constexpr int ExitBadSettings = 2;

int listFaults(const std::vector<std::string> &faults) {
  std::cerr << "catkind: " << faults.size() << " fault(s) in the settings:\n";
  for (auto &it : faults)
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
    return listFaults(result.errors);
  if (result.check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  auto level = catkin::parseEnum<catkin::LogLevel>(result.settings.logLevel);
  catkin::startLog(level.value_or(catkin::LogLevel::Info), result.settings.host);
  auto fault = catkin::runDaemon(result.settings);
  catkin::stopLog();
  if (fault.empty())
    return 0;
  std::cerr << "catkind: " << fault << "\n";
  return 1;
}
