#pragma once

#include "env_p.h"
#include "version_history_p.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// The software versions that may have begun a stream, kept in the platform's store so that they
/// outlive all hosts.
///
/// The store has one object for each service, which names the versions that its endpoints have had.
/// The planner's host writes it when a version appears, and removes a version long after its last
/// endpoint has left. Other hosts add a version that it has not written before they begin streams
/// there (RecordedVersions). A host that knows nothing of a stream reads it: if the service has had
/// one version only, the stream can have been begun by no other.
namespace catkin {

/// The stored record of one service.
struct VersionRecord {
  SoftwareVersions versions;
  /// No other version can have begun a stream that a caller may still take up.
  bool complete = false;
  std::uint64_t era = 0; ///< of the store when the record was written
  friend bool operator==(const VersionRecord &, const VersionRecord &) = default;
};
/// Returns the key of a service's record in the store.
std::string versionRecordKey(const ServiceName &service);
std::string formatVersionRecord(const VersionRecord &record);
/// Returns nothing if the text is not a record.
std::optional<VersionRecord> parseVersionRecord(std::string_view text);

/// Writes the records. Runs on the planner's host.
class VersionRecorder {
public:
  explicit VersionRecorder(CoreEnv &env);
  ~VersionRecorder();
  /// This host has become the planner. `isFirst`: no host has been the planner of this fleet
  /// before, so that a record that does not exist yet misses no version.
  void beginTerm(bool isFirst);
  /// Brings the records of services up to date with the versions of their endpoints. Called
  /// repeatedly while this host is the planner; failed calls of the store are tried again then.
  void update(const std::map<ServiceName, SoftwareVersions> &present);
  /// The store has come back from an older copy, which may not have the newest records.
  void onStoreRestored();

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

/// What the store says of the versions of a service.
struct RecordedVersion {
  bool answered = false;               ///< the store has answered
  std::optional<SoftwareVersion> only; ///< the only version since the fleet began
};

/// Reads the records. Callers that wait for the same service share one call of the store, which
/// begins after they have asked, so that no version is missed that has begun a stream by then.
class VersionReader {
public:
  /// Pause between two calls for one service.
  static constexpr Duration MinPause = std::chrono::milliseconds(250);
  using Done = std::function<void(const RecordedVersion &)>;

  explicit VersionReader(CoreEnv &env);
  ~VersionReader();
  void read(const ServiceName &service, Done done);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
