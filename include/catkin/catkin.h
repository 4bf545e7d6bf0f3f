#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Public interface of the library: runs one catkinthread host inside a process. The `catkind`
/// daemon is a thin program over the same code; examples/embedded_host.cpp shows its use.
namespace catkin {

/// Version, policies and input limits of this build.
struct Caps {
  std::string version;
  std::vector<std::string> retentionPolicies; ///< values accepted for Init::retention
  std::vector<std::string> placementPolicies; ///< values accepted for Init::placement
  std::size_t maxHeaderBytes = 0;             ///< of a request
  std::size_t maxListBytes = 0;               ///< of a configuration list
  std::uint32_t maxDeadlineMs = 0;            ///< of a request
};

/// Returns the capabilities of this build.
Caps getCaps();

/// Settings of a host. Addresses have the form "ip:port". docs/settings.md describes every setting.
struct Init {
  std::string host;
  std::string dataCentre;
  std::string listen;
  std::string peerListen;
  std::string operatorListen;
  std::string platform;
  std::vector<std::string> peers;
  std::string operatorKey;
  std::string retention = "adaptive";
  std::string placement = "cost";
  std::uint32_t threads = 2;
  /// Further flags from docs/settings.md, each as "--flag=value".
  std::vector<std::string> extra;
};

/// Statistics of a running host.
struct Stats {
  bool ready = false;     ///< has loaded the configuration lists and a routing table
  bool planner = false;   ///< holds the planner lease
  std::size_t active = 0; ///< requests in progress
  std::size_t connections = 0;
};

/// A host that runs on its own threads.
class Host {
public:
  /// Starts a host. Returns null on failure: `error` then holds the invalid settings, one per line,
  /// or the reason why the host could not listen.
  static std::unique_ptr<Host> create(const Init &init, std::string &error);
  /// Stops the host gracefully and blocks until it has stopped.
  ~Host();

  /// Returns the current statistics; all zero after the host has stopped.
  Stats stats() const;
  /// Starts a graceful stop: refuses new requests and completes those in progress.
  void requestStop();
  /// Blocks until the host has stopped.
  void wait();

private:
  struct Impl;
  explicit Host(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

} // namespace catkin
