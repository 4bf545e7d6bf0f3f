#include "recorded_versions_p.h"

#include "config.h"
#include "log_p.h"

namespace catkin {

namespace {

// A version stays in the record for FleetMaxStreamAge after its last endpoint has left, so what was
// read is still true after half of that time.
constexpr Duration KnowledgeLifetime = config::FleetMaxStreamAge / 2;
// The planner's host creates the records, and another host may write at the same time.
constexpr Duration RetryPause = std::chrono::milliseconds(100);
// Bounds the calls of a host while the store does not answer.
constexpr Duration FailurePause = std::chrono::milliseconds(250);
constexpr Duration PrefetchPause = std::chrono::seconds(1); // after an attempt that has failed

} // namespace

struct RecordedVersions::Impl : std::enable_shared_from_this<RecordedVersions::Impl> {
  using Key = std::pair<ServiceName, SoftwareVersion>;

  struct Entry {
    std::optional<Instant> knownAt;  ///< the record had the version
    std::optional<Instant> failedAt; ///< the newest attempt to find that out
    std::vector<Done> waiting;       ///< for the attempt in progress
    bool mayAdd = false;             ///< a stream waits for it, so that the version may be added
    std::uint64_t attempt = 0;       ///< callbacks of earlier attempts are ignored
    bool isActive = false;           ///< an attempt is in progress
  };

  CoreEnv &env;
  std::map<Key, Entry> entries;

  explicit Impl(CoreEnv &env) : env(env) {}

  bool has(const Key &key) const {
    auto it = entries.find(key);
    return it != entries.end() && it->second.knownAt &&
           env.now() - *it->second.knownAt < KnowledgeLifetime;
  }

  bool hasFailedWithin(const Entry &entry, Duration d) const {
    return entry.failedAt && env.now() - *entry.failedAt < d;
  }

  void ensure(const Key &key, Done done) {
    auto &entry = entries[key];
    if (has(key) || (!entry.isActive && hasFailedWithin(entry, FailurePause)))
      return done(has(key));
    entry.waiting.push_back(std::move(done));
    entry.mayAdd = true;
    start(key, entry);
  }

  void prefetch(const Key &key) {
    auto &entry = entries[key];
    if (!has(key) && !hasFailedWithin(entry, PrefetchPause))
      start(key, entry);
  }

  /// Removes what is no longer known, or has failed some time ago.
  void forgetOld() {
    std::erase_if(entries, [&](auto &it) {
      const auto &entry = it.second;
      return !entry.isActive && !has(it.first) && !hasFailedWithin(entry, PrefetchPause);
    });
  }

  void start(const Key &key, Entry &entry) {
    if (std::exchange(entry.isActive, true))
      return;
    const std::uint64_t attempt = ++entry.attempt;
    env.after(config::FleetConfirmTimeout,
              [self = shared_from_this(), key, attempt] { self->finish(key, attempt, false); });
    read(key, attempt);
  }

  void read(const Key &key, std::uint64_t attempt) {
    if (!isCurrent(key, attempt))
      return;
    env.platform().get(
        versionRecordKey(key.first),
        [self = shared_from_this(), key, attempt](StoreStatus status, const StoreObject &object) {
          self->onRead(key, attempt, status, object);
        });
  }

  void onRead(const Key &key, std::uint64_t attempt, StoreStatus status,
              const StoreObject &object) {
    if (!isCurrent(key, attempt))
      return;
    const bool isAwaited = entries[key].mayAdd;
    if (status == StoreStatus::NotFound && isAwaited)
      return retry(key, attempt);
    const auto record = status == StoreStatus::Ok ? parseVersionRecord(object.value) : std::nullopt;
    const bool isRecorded = record && record->versions.count(key.second) > 0;
    if (isRecorded || !record || !isAwaited)
      return finish(key, attempt, isRecorded);
    add(key, attempt, *record, object.version);
  }

  void add(const Key &key, std::uint64_t attempt, VersionRecord record, std::uint64_t revision) {
    record.versions.insert(key.second);
    env.platform().put(
        versionRecordKey(key.first), formatVersionRecord(record), revision,
        [self = shared_from_this(), key, attempt](StoreStatus status, const StoreObject &) {
          self->onAdded(key, attempt, status);
        });
  }

  void onAdded(const Key &key, std::uint64_t attempt, StoreStatus status) {
    logLine(LogLevel::Info, "version added to the record",
            {{"service", key.first.value},
             {"version", key.second.value},
             {"status", toString(status)}});
    if (status == StoreStatus::Conflict)
      return retry(key, attempt);
    finish(key, attempt, status == StoreStatus::Ok);
  }

  void retry(const Key &key, std::uint64_t attempt) {
    env.after(RetryPause, [self = shared_from_this(), key, attempt] { self->read(key, attempt); });
  }

  bool isCurrent(const Key &key, std::uint64_t attempt) {
    const auto &entry = entries[key];
    return entry.isActive && entry.attempt == attempt;
  }

  void finish(const Key &key, std::uint64_t attempt, bool recorded) {
    if (!isCurrent(key, attempt))
      return;
    auto &entry = entries[key];
    entry.isActive = entry.mayAdd = false;
    (recorded ? entry.knownAt : entry.failedAt) = env.now();
    for (auto &it : std::exchange(entry.waiting, {}))
      it(recorded);
  }
};

RecordedVersions::RecordedVersions(CoreEnv &env) : impl(std::make_shared<Impl>(env)) {}

RecordedVersions::~RecordedVersions() = default;

bool RecordedVersions::has(const ServiceName &service, const SoftwareVersion &version) const {
  return impl->has({service, version});
}

void RecordedVersions::ensure(const ServiceName &service, const SoftwareVersion &version,
                              Done done) {
  impl->ensure({service, version}, std::move(done));
}

void RecordedVersions::prefetch(const std::map<ServiceName, SoftwareVersions> &versions) {
  impl->forgetOld();
  for (auto &[service, present] : versions)
    for (auto &version : present)
      impl->prefetch({service, version});
}

void RecordedVersions::onStoreRestored() {
  for (auto &[key, entry] : impl->entries)
    entry.knownAt.reset();
}

} // namespace catkin
