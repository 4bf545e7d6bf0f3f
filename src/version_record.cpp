#include "version_record_p.h"

#include "config.h"
#include "json_p.h"
#include "log_p.h"

#include <utility>
#include <vector>

namespace catkin {

namespace {

json::array toJson(const SoftwareVersions &versions) {
  json::array out;
  for (auto &it : versions)
    out.emplace_back(it.value);
  return out;
}

} // namespace

std::string versionRecordKey(const ServiceName &service) {
  return "catkin-versions/" + service.value;
}

std::string formatVersionRecord(const VersionRecord &record) {
  return json::serialize(json::object{
      {"versions", toJson(record.versions)}, {"complete", record.complete}, {"era", record.era}});
}

std::optional<VersionRecord> parseVersionRecord(std::string_view text) {
  json::object object;
  if (!parseObject(text, object))
    return std::nullopt;
  JsonReader in(object);
  VersionRecord out{.versions = {}, .complete = in.flag("complete"), .era = in.unsignedInt("era")};
  for (auto &it : in.texts("versions"))
    out.versions.emplace(it);
  return in.ok ? std::optional(out) : std::nullopt;
}

// ---- Recorder ----------------------------------------------------------------------------------

struct VersionRecorder::Impl : std::enable_shared_from_this<VersionRecorder::Impl> {
  /// The record of one service.
  struct Service {
    VersionRecord stored;                           ///< as the store has it
    VersionRecord wanted;                           ///< with all that this host knows
    std::uint64_t storedRevision = 0;               ///< 0 if the store has no record
    std::uint64_t storeEra = 0;                     ///< at the newest answer
    bool isRead = false;                            ///< `stored` is known
    bool isPending = false;                         ///< a call of the store is in progress
    Instant since;                                  ///< beginning of this host's term
    std::map<SoftwareVersion, Instant> absentSince; ///< versions without an endpoint
  };

  CoreEnv &env;
  std::map<ServiceName, Service> services;
  bool isFirstTerm = false;
  std::uint64_t term = 0; ///< counts calls of beginTerm(); answers of earlier ones are void

  explicit Impl(CoreEnv &env) : env(env) {}

  void update(const ServiceName &name, const SoftwareVersions &present) {
    auto [it, isNew] = services.try_emplace(name);
    auto &service = it->second;
    if (isNew) {
      service.since = env.now();
      service.wanted.complete = isFirstTerm;
    }
    if (service.isPending)
      return;
    if (!service.isRead)
      return read(name, service);
    updateWanted(service, present);
    if (service.wanted != service.stored || service.storedRevision == 0)
      write(name, service);
  }

  /// Adds the versions that are present now and removes those that left long ago.
  void updateWanted(Service &service, const SoftwareVersions &present) {
    const Instant now = env.now();
    VersionRecord &out = service.wanted;
    out.era = service.storeEra;
    out.versions.insert(present.begin(), present.end());
    out.complete = out.complete || now - service.since >= config::FleetMaxStreamAge;
    std::erase_if(out.versions, [&](auto &version) {
      if (present.count(version) > 0) {
        service.absentSince.erase(version);
        return false;
      }
      const Instant from = service.absentSince.try_emplace(version, now).first->second;
      return now - from >= config::FleetMaxStreamAge;
    });
  }

  void read(const ServiceName &name, Service &service) {
    service.isPending = true;
    env.platform().get(versionRecordKey(name), bind(name, [this](Service &it, StoreStatus status,
                                                                 const StoreObject &object) {
                         onRead(it, status, object);
                       }));
  }

  void onRead(Service &service, StoreStatus status, const StoreObject &object) {
    if (status != StoreStatus::Ok && status != StoreStatus::NotFound)
      return logLine(LogLevel::Warn, "record of versions not read",
                     {{"key", object.key}, {"status", toString(status)}});
    service.isRead = true;
    service.storeEra = object.era;
    service.storedRevision = status == StoreStatus::Ok ? object.version : 0;
    if (status != StoreStatus::Ok)
      return; // then all that is known is what this host has recorded before
    const auto record = parseVersionRecord(object.value);
    service.stored = record.value_or(VersionRecord{});
    // What this host has recorded itself stays complete if the store has forgotten it.
    const bool isOwn = service.wanted.complete && !service.wanted.versions.empty();
    const bool isCurrent = service.stored.complete && service.stored.era == object.era;
    service.wanted.complete = isOwn || isCurrent;
    service.wanted.versions.insert(service.stored.versions.begin(), service.stored.versions.end());
  }

  void write(const ServiceName &name, Service &service) {
    const VersionRecord record = service.wanted;
    service.isPending = true;
    env.platform().put(
        versionRecordKey(name), formatVersionRecord(record), service.storedRevision,
        bind(name, [this, record](Service &it, StoreStatus status, const StoreObject &object) {
          onWritten(it, record, status, object);
        }));
  }

  void onWritten(Service &service, const VersionRecord &record, StoreStatus status,
                 const StoreObject &object) {
    logLine(status == StoreStatus::Ok ? LogLevel::Info : LogLevel::Warn, "versions recorded",
            {{"key", object.key},
             {"versions", toJson(record.versions)},
             {"complete", record.complete},
             {"status", toString(status)}});
    service.isRead = status == StoreStatus::Ok;
    if (status != StoreStatus::Ok)
      return;
    service.stored = record;
    service.storedRevision = object.version;
  }

  /// Returns a callback that ends the call of the store and runs `step`, unless a new term has
  /// begun meanwhile.
  template <class Step> StoreGetDone bind(const ServiceName &name, Step step) {
    return [self = shared_from_this(), name, step, begun = term](StoreStatus status,
                                                                 const StoreObject &object) {
      auto it = self->services.find(name);
      if (begun != self->term || it == self->services.end())
        return;
      it->second.isPending = false;
      step(it->second, status, object);
    };
  }
};

VersionRecorder::VersionRecorder(CoreEnv &env) : impl(std::make_shared<Impl>(env)) {}

VersionRecorder::~VersionRecorder() = default;

void VersionRecorder::beginTerm(bool isFirst) {
  impl->services.clear();
  impl->isFirstTerm = isFirst;
  ++impl->term;
}

void VersionRecorder::update(const std::map<ServiceName, SoftwareVersions> &present) {
  for (auto &[service, versions] : present)
    impl->update(service, versions);
}

void VersionRecorder::onStoreRestored() {
  for (auto &[name, it] : impl->services)
    it.isRead = false;
}

// ---- Reader ------------------------------------------------------------------------------------

struct VersionReader::Impl : std::enable_shared_from_this<VersionReader::Impl> {
  /// Calls of read() for one service.
  struct Service {
    std::vector<Done> waiting; ///< for the next call of the store
    bool isScheduled = false;  ///< the next call of the store
    std::optional<Instant> lastCall;
  };

  CoreEnv &env;
  std::map<ServiceName, Service> services;

  explicit Impl(CoreEnv &env) : env(env) {}

  void schedule(const ServiceName &name, Service &service) {
    if (std::exchange(service.isScheduled, true))
      return;
    Duration pause{};
    if (service.lastCall)
      pause = std::max<Duration>(pause, *service.lastCall + MinPause - env.now());
    env.after(pause, [self = shared_from_this(), name] { self->call(name); });
  }

  void call(const ServiceName &name) {
    auto &service = services[name];
    service.isScheduled = false;
    service.lastCall = env.now();
    env.platform().get(versionRecordKey(name), [waiting = std::exchange(service.waiting, {})](
                                                   StoreStatus status, const StoreObject &object) {
      const RecordedVersion answer = evaluate(status, object);
      for (auto &it : waiting)
        it(answer);
    });
  }

  static RecordedVersion evaluate(StoreStatus status, const StoreObject &object) {
    RecordedVersion out{.answered = status == StoreStatus::Ok || status == StoreStatus::NotFound,
                        .only = {}};
    const auto record = status == StoreStatus::Ok ? parseVersionRecord(object.value) : std::nullopt;
    if (record && record->complete && record->era == object.era && record->versions.size() == 1)
      out.only = *record->versions.begin();
    return out;
  }
};

VersionReader::VersionReader(CoreEnv &env) : impl(std::make_shared<Impl>(env)) {}

VersionReader::~VersionReader() = default;

void VersionReader::read(const ServiceName &service, Done done) {
  auto &it = impl->services[service];
  it.waiting.push_back(std::move(done));
  impl->schedule(service, it);
}

} // namespace catkin
