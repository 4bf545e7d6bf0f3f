#pragma once

#include "config.h"
#include "types_p.h"

#include <string>
#include <vector>

/// Settings of the daemon. Every setting is a flag and an environment variable CATKIN_<FLAG> (upper
/// case, dashes as underscores); the flag goes first. Secrets come from the environment or a file
/// only, so that they do not show in process lists, and are never logged.
namespace catkin {

struct Settings {
  std::string host;
  std::string dataCentre;
  Address listen;         ///< callers' API
  Address advertise;      ///< address given to callers; default: listen
  Address peerListen;     ///< calls of other hosts
  Address peerAdvertise;  ///< address given to other hosts; default: peerListen
  Address operatorListen; ///< operators' API
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
};

/// Outcome of reading the settings. With faults, `settings` must not be used.
struct SettingsResult {
  Settings settings;
  std::vector<std::string> errors; ///< each names the flag and never contains a secret
  bool check = false;              ///< --check: report faults and exit
  bool version = false;
  bool help = false;
  std::string helpText;
};

/// Reads flags and environment and checks everything; all faults are listed at once. A program that
/// embeds a host passes the operators' key in `operatorKey`, which goes before the environment.
SettingsResult readSettings(int argc, const char *const *argv, const std::string &operatorKey = {});

/// The settings as a JSON object for the log, without secrets.
std::string describeSettings(const Settings &settings);

} // namespace catkin
