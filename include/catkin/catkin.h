#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Public interface of the library: one host of catkinthread inside a process. `catkind` is a thin
/// program over the same code; see examples/embedded_host.cpp.
namespace catkin {

/// What this build offers.
struct Caps {
  std::string version;
  std::vector<std::string> retentionPolicies;
  std::vector<std::string> placementPolicies;
  std::size_t maxHeaderBytes = 0;
  std::size_t maxListBytes = 0;
  std::uint32_t maxDeadlineMs = 0;
};

Caps getCaps();

/// Settings of a host. Addresses are "ip:port". docs/settings.md describes each.
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
  /// Any other flag of docs/settings.md, as "--flag=value".
  std::vector<std::string> extra;
};

/// Figures of a running host.
struct Stats {
  bool ready = false;     ///< knows the lists and a routing table
  bool planner = false;   ///< holds the planner lease
  std::size_t active = 0; ///< requests in progress
  std::size_t connections = 0;
};

/// A host that runs on threads of its own.
class Host {
public:
  /// Null with the faults of the settings, one a line, in `error`; or with the reason why it could
  /// not listen.
  static std::unique_ptr<Host> create(const Init &init, std::string &error);
  /// Stops gracefully and waits for it.
  ~Host();

  Stats stats() const;
  /// Begins a graceful stop: no new requests, those in progress end.
  void requestStop();
  /// Waits until the host has stopped.
  void wait();

private:
  struct Impl;
  explicit Host(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

} // namespace catkin
