#pragma once

#include "config.h"
#include "types_p.h"

#include <string>
#include <vector>

/// Settings of the daemon. Each setting can be given as a flag or as the environment variable
/// CATKIN_<FLAG> (upper case, dashes as underscores). The flag takes precedence. Secrets are read
/// only from the environment or from a file, because flags are visible in process lists. Secrets
/// are never logged.
namespace catkin {

struct Settings {
  std::string host;
  std::string dataCentre;
  Address listen;         ///< API for callers
  Address advertise;      ///< address given to callers; default: listen
  Address peerListen;     ///< API for other hosts
  Address peerAdvertise;  ///< address given to other hosts; default: peerListen
  Address operatorListen; ///< API for operators
  Address platform;       ///< the platform's object API and host list
  std::vector<Address> peers;
  std::string operatorKeyFile;
  std::string operatorKey; ///< secret: CATKIN_OPERATOR_KEY or the content of operatorKeyFile

  int threads = 2;
  std::string logLevel = "info";

  std::string retention = "adaptive";
  std::string placement = "cost";
  double coldSecondWeight = 1.0;
  double idleSecondWeight = 0.01;
  Duration fixedKeepAlive = std::chrono::seconds(300);
  int storeConcurrentLoads = config::WeightStoreConcurrentLoads;
  double storeLoadsPerSecond = config::WeightStoreLoadsPerSecond;
  int storeAdaptersInFlight = config::WeightStoreAdaptersInFlight;
  double loadBytesPerSecond = 2e9;

  Duration defaultDeadline = config::DefaultDeadline;
  Duration maxDeadline = config::MaxDeadline;
  Duration silenceTimeout = config::SilenceTimeout;
  Duration serviceSilenceTimeout = config::ServiceSilenceTimeout;
  Duration connectTimeout = config::ConnectTimeout;
  Duration stopTimeout = config::GracefulStopTimeout;
  int maxConnections = static_cast<int>(config::MaxConnectionsPerHost);
  int maxBodyBytes = static_cast<int>(config::MaxBodyBytes);
  int maxHeldMegabytes = 64; ///< held on behalf of callers
};

/// Result of readSettings(). If `errors` is not empty, `settings` must not be used.
struct SettingsResult {
  Settings settings;
  std::vector<std::string> errors; ///< each names the flag; none contains a secret
  bool check = false;              ///< --check: report errors and exit
  bool version = false;
  bool help = false;
  std::string helpText;
};

/// Reads the settings from flags and the environment and validates them. All errors are reported
/// together. A program that embeds a host can pass the operators' key in `operatorKey`, which takes
/// precedence over the environment.
SettingsResult readSettings(int argc, const char *const *argv, const std::string &operatorKey = {});

/// Returns the settings as a JSON object for the log, without secrets.
std::string describeSettings(const Settings &settings);

} // namespace catkin
