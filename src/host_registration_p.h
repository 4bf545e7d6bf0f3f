#pragma once

#include "env_p.h"
#include "fleet_peers_p.h"

#include <memory>
#include <string>

/// Keeps this host's registration in the platform's store, by which the other hosts know it.
namespace catkin {

class HostRegistration {
public:
  /// `kind` is the kind of the hosts' objects in the store.
  HostRegistration(CoreEnv &env, const std::string &kind, FleetHostEntry self);
  ~HostRegistration();
  HostRegistration(const HostRegistration &) = delete;
  HostRegistration &operator=(const HostRegistration &) = delete;

  /// Writes the registration unless the store has it. Repeats the call until that succeeds.
  void add();
  /// Removes the registration, and ends the repeats of add(). A failure is logged only: the other
  /// hosts also notice that this host is silent.
  void remove();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
