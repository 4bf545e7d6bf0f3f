#pragma once

#include "env_p.h"
#include "version_record_p.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

/// Makes sure that the store's record of a service has a software version before this host begins
/// streams at it.
///
/// The planner's host records versions, but may be out of step: cut off, frozen, or behind a
/// connection that has fallen silent. A host that reads a record without the version would then
/// take another one for the only one that can have begun the stream.
namespace catkin {

class RecordedVersions {
public:
  /// `recorded`: the record has the version. Not if the store does not answer in time, or has no
  /// record of the service yet.
  using Done = std::function<void(bool recorded)>;

  explicit RecordedVersions(CoreEnv &env);
  ~RecordedVersions();
  /// Returns true if the record is known to have the version.
  bool has(const ServiceName &service, const SoftwareVersion &version) const;
  /// Reads the record unless it is known to have the version, and adds the version if the record
  /// lacks it. Calls `done` once, within config::FleetConfirmTimeout.
  void ensure(const ServiceName &service, const SoftwareVersion &version, Done done);
  /// Reads the records unless they are known to have these versions, so that later streams need not
  /// wait for the store.
  void prefetch(const std::map<ServiceName, SoftwareVersions> &versions);
  /// The store has come back from an older copy, which may lack versions.
  void onStoreRestored();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
