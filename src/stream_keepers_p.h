#pragma once

#include "env_p.h"
#include "fleet_messages_p.h"
#include "fleet_view_p.h"
#include "stream_archive_p.h"
#include "stream_origins_p.h"
#include "version_record_p.h"

#include <functional>
#include <memory>

/// Records the origin of each stream on a few hosts, so that any host can learn it after the one
/// that began the stream has died.
namespace catkin {

/// Functions that the host provides.
struct StreamKeepersHooks {
  /// Returns the first `n` other hosts that keep the record, the most likely first.
  std::function<std::vector<Address>(const StreamKey &, int n)> keepers;
  std::function<void(const Address &, const FleetMessage &)> send;
  /// Finds the only version that can have begun a stream of the service. May be empty.
  std::function<void(const ServiceName &, VersionReader::Done)> findOnlyVersion;
  /// Looks for the stream in the store's archive. May be empty.
  std::function<void(const StreamKey &, StreamArchiveReader::Done)> findArchived;
  /// Writes the record of a stream to the archive. May be empty.
  std::function<void(const StreamKey &)> archive;
  /// Asks an endpoint whether it is the incarnation that is registered. Needed by findArchived.
  std::function<void(const FleetEndpoint &, std::function<void(bool)>)> confirmIncarnation;
};

/// The records of one host and its questions to others.
class StreamKeepers : public StreamOriginGuard {
public:
  static constexpr int Keepers = 3;      ///< other hosts that are told of each stream
  static constexpr int AskedAtFirst = 5; ///< other hosts; more than the keepers, since hosts change
  static constexpr int AskedAgain = 10;  ///< if some of them have not answered

  StreamKeepers(CoreEnv &env, const FleetView &view, StreamKeepersHooks hooks);
  ~StreamKeepers() override;

  /// The messages are sent before this returns, hence before the caller gets the first event.
  void record(const StreamKey &key, const StreamOrigin &origin, Duration lifetime) override;
  bool isTrusted(const StreamKey &key) override;
  void find(const StreamKey &key, const std::vector<ServiceWeight> &services,
            const Done &done) override;

  /// Sends a host that has started or was unreachable the records that it should keep.
  void shareWith(const Address &host);
  /// Sends all records to their present keepers, since this host stops.
  void shareAll();

  /// Sets the hosts that write the archive. An empty address is this host.
  void setRecorders(const std::vector<Address> &hosts);
  /// Returns the record of a stream in the form in which it is archived; nothing if there is none.
  std::optional<ArchivedStream> archived(const StreamKey &key) const;
  /// Archives all records again, if this host is a recorder: the store has lost the archive.
  void archiveAll();

  /// Messages of other hosts.
  /// The sender is told if this host knows that another version runs under the writer's name.
  void onBegun(const StreamBegun &message, const Address &from);
  void onRecords(const StreamRecords &message);
  void onQuestion(const StreamQuestion &message, const Address &from);
  void onAnswer(const StreamAnswer &message, const Address &from);
  /// An endpoint is registered with another incarnation than was known. This host may not have
  /// known that since `from`.
  void onReplaced(const EndpointIncarnation &current, const SoftwareVersion &version, Instant from);
  /// Forgets what is no longer needed.
  void expire();
  std::size_t size() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
