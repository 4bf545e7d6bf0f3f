#include "stream_keepers_p.h"

#include "config.h"
#include "log_p.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace catkin {

namespace {

constexpr int MaxAsks = 2; // for one stream, since a datagram may be lost

// Records are passed on in small parts, so that neither this host nor the receiver is held up.
constexpr std::size_t RecordsPerStep = 64;
constexpr std::size_t RecordsPerMessage = 8; // about 1.5 KB
constexpr Duration StepPause = std::chrono::milliseconds(5);

} // namespace

struct StreamKeepers::Impl : std::enable_shared_from_this<StreamKeepers::Impl> {
  /// A question of this host.
  struct Ask {
    StreamKey key;
    std::optional<ServiceName> service; ///< that must have begun it, if there is only one
    Done done;
    std::set<Address> asked;
    std::set<Address> answered; ///< that they do not know it
    int sends = 0;
  };

  CoreEnv &env;
  const FleetView &view;
  StreamKeepersHooks hooks;
  StreamOrigins origins;
  std::map<std::uint64_t, Ask> asks;
  std::uint64_t lastId;

  /// Passes records on to other hosts, a part of them in each step.
  struct Sharing {
    std::set<Address> receivers; ///< keepers that get their records; see `recorders`
    std::set<Address> recorders; ///< get each record; if both are empty, all keepers get theirs
    std::vector<StreamKey> keys; ///< not yet passed on
  };
  std::optional<Sharing> sharing;
  std::set<Address> nextReceivers; ///< once `sharing` is done
  std::set<Address> nextRecorders; ///< the same
  std::set<Address> recorders;     ///< other hosts that write the archive
  bool isRecorder = false;

  Impl(CoreEnv &env, const FleetView &view, StreamKeepersHooks hooks)
      : env(env), view(view), hooks(std::move(hooks)), lastId(randomQuestionId(env)) {}

  void record(const StreamKey &key, const StreamOrigin &origin, Duration lifetime) {
    const bool changed = origins.record(key, origin, lifetime, env.now());
    if (wasReplaced(origin))
      origins.doubt(key);
    if (changed)
      archive(key);
  }

  void archive(const StreamKey &key) {
    if (isRecorder && hooks.archive)
      hooks.archive(key);
  }

  /// Returns true if this host knows that another version runs under the writer's name by now.
  bool wasReplaced(const StreamOrigin &origin) const {
    auto *state = view.find(origin.writer.endpoint);
    return state && state->entry.incarnation > origin.writer.incarnation &&
           state->entry.softwareVersion != origin.version;
  }

  /// Returns true if the stream began after the writer's successor had started.
  bool beganAfterReplacement(const StreamOrigin &origin, Instant began) const {
    if (!wasReplaced(origin))
      return false;
    const auto &entry = view.find(origin.writer.endpoint)->entry;
    const Duration age = std::chrono::seconds(env.wallSeconds() - entry.startedAtSeconds);
    return began >= env.now() - age - config::FleetMaxClockError;
  }

  void onRecord(const StreamRecord &it) {
    const auto clampAge = [](Duration d) {
      return std::clamp<Duration>(d, Duration(), config::FleetMaxStreamAge);
    };
    const Instant now = env.now();
    const Instant began = now - clampAge(it.age);
    const bool changed =
        origins.merge(it.key, {.origin = it.origin,
                               .since = began,
                               .expiresAt = now + clampAge(it.lifetime),
                               .doubtful = it.doubtful || beganAfterReplacement(it.origin, began)});
    if (changed)
      archive(it.key);
  }

  void share(std::set<Address> receivers, std::set<Address> newRecorders = {}) {
    if (origins.size() == 0)
      return;
    logLine(LogLevel::Info, "records of streams passed on",
            {{"records", origins.size()},
             {"receivers", receivers.size()},
             {"recorders", newRecorders.size()}});
    const bool isRunning = sharing.has_value();
    sharing = Sharing{.receivers = std::move(receivers),
                      .recorders = std::move(newRecorders),
                      .keys = origins.keys()};
    if (!isRunning)
      env.after(StepPause, [self = shared_from_this()] { self->shareStep(); });
  }

  void shareStep() {
    std::map<Address, StreamRecords> messages;
    for (std::size_t n = 0; n < RecordsPerStep && !sharing->keys.empty(); ++n) {
      addToMessages(sharing->keys.back(), messages);
      sharing->keys.pop_back();
    }
    for (auto &[to, message] : messages)
      hooks.send(to, message);
    if (!sharing->keys.empty())
      return env.after(StepPause, [self = shared_from_this()] { self->shareStep(); });
    sharing.reset();
    if (!nextReceivers.empty() || !nextRecorders.empty())
      share(std::exchange(nextReceivers, {}), std::exchange(nextRecorders, {}));
  }

  /// Returns the hosts that are to get the record now.
  std::set<Address> receiversOf(const StreamKey &key) const {
    std::set<Address> out = sharing->recorders;
    const bool toAllKeepers = sharing->receivers.empty() && sharing->recorders.empty();
    for (auto &it : hooks.keepers(key, Keepers))
      if (toAllKeepers || sharing->receivers.count(it) > 0)
        out.insert(it);
    return out;
  }

  /// Adds a record to the messages to those receivers that should keep it, and sends full messages.
  void addToMessages(const StreamKey &key, std::map<Address, StreamRecords> &messages) {
    auto *it = origins.find(key);
    if (!it)
      return;
    const Instant now = env.now();
    const StreamRecord record{.key = key,
                              .origin = it->origin,
                              .age = now - it->since,
                              .lifetime = it->expiresAt - now,
                              .doubtful = it->doubtful};
    for (auto &to : receiversOf(key)) {
      auto &message = messages[to];
      message.records.push_back(record);
      if (message.records.size() >= RecordsPerMessage)
        hooks.send(to, messages.extract(to).mapped());
    }
  }

  OriginAnswer ownAnswer(const StreamKey &key) const {
    auto *it = origins.find(key);
    if (!it)
      return {};
    OriginAnswer out{
        .origin = it->origin, .source = OriginSource::OwnRecord, .age = env.now() - it->since};
    if (it->doubtful) {
      out.origin.reset();
      out.source = OriginSource::Doubtful;
    }
    return out;
  }

  void find(const StreamKey &key, const std::vector<ServiceWeight> &services, const Done &done) {
    const OriginAnswer own = ownAnswer(key);
    if (own.source != OriginSource::Unknown)
      return done(own);
    Ask ask{.key = key, .done = done};
    if (services.size() == 1)
      ask.service = services.front().service;
    const std::uint64_t id = ++lastId;
    asks.emplace(id, std::move(ask));
    send(id);
  }

  /// Asks the hosts that have not answered, and gives up after MaxAsks times.
  void send(std::uint64_t id) {
    auto it = asks.find(id);
    if (it == asks.end())
      return;
    auto &ask = it->second;
    if (ask.sends++ >= MaxAsks)
      return finishUnknown(id);
    for (auto &to : hooks.keepers(ask.key, ask.sends == 1 ? AskedAtFirst : AskedAgain)) {
      if (ask.answered.count(to) > 0)
        continue;
      ask.asked.insert(to);
      hooks.send(to, StreamQuestion{.id = id, .key = ask.key});
    }
    if (ask.asked.size() == ask.answered.size())
      return finishUnknown(id);
    env.after(config::FleetStreamAnswerTimeout,
              [self = shared_from_this(), id] { self->send(id); });
  }

  /// No host knows the stream. Its version is certain if the service has had no other, or if the
  /// archive has the stream.
  void finishUnknown(std::uint64_t id) {
    const auto &ask = asks.at(id);
    const StreamKey key = ask.key;
    const bool allAnswered = ask.asked.size() == ask.answered.size();
    const OriginAnswer answer{.source =
                                  allAnswered ? OriginSource::Unknown : OriginSource::NoAnswer};
    const auto service = ask.service;
    auto finishRead = takeFinish(id);
    if (!service || !hooks.findOnlyVersion)
      return searchArchive(key, answer, finishRead);
    hooks.findOnlyVersion(*service, [self = shared_from_this(), key, finishRead, service,
                                     answer](const RecordedVersion &recorded) {
      OriginAnswer out = answer;
      if (!recorded.only) {
        out.source = recorded.answered ? answer.source : OriginSource::NoAnswer;
        return self->searchArchive(key, out, finishRead);
      }
      out.origin = StreamOrigin{.service = *service, .version = *recorded.only, .writer = {}};
      out.source = OriginSource::OnlyVersion;
      finishRead(out);
    });
  }

  /// `answer` is the one to give if the archive has no record.
  void searchArchive(const StreamKey &key, const OriginAnswer &answer, const Done &finishRead) {
    if (!hooks.findArchived)
      return finishRead(answer);
    hooks.findArchived(key,
                       [self = shared_from_this(), answer, finishRead](const ArchiveAnswer &found) {
                         if (found.stream)
                           return self->judge(*found.stream, finishRead);
                         OriginAnswer out = answer;
                         out.source = found.answered ? answer.source : OriginSource::NoAnswer;
                         finishRead(out);
                       });
  }

  /// An archived record is believed if the endpoint itself says that it still is the incarnation
  /// that was taken for the writer of the stream's events. Its version cannot have been another
  /// one.
  void judge(const ArchivedStream &stream, const Done &finishRead) {
    const Duration age = std::chrono::seconds(env.wallSeconds() - stream.beganAt);
    OriginAnswer out{.source = OriginSource::Doubtful, .age = std::max(age, Duration())};
    const auto &writer = stream.origin.writer;
    const auto *state = view.find(writer.endpoint);
    if (stream.doubtful || !state || state->entry.incarnation != writer.incarnation)
      return finishRead(out);
    hooks.confirmIncarnation(
        state->entry, [self = shared_from_this(), stream, finishRead, out](bool confirmed) mutable {
          if (confirmed)
            return finishRead(self->takeFromArchive(stream, out.age));
          out.source = OriginSource::NoAnswer;
          finishRead(out);
        });
  }

  OriginAnswer takeFromArchive(const ArchivedStream &stream, Duration age) {
    const Instant now = env.now();
    const Duration left = std::chrono::seconds(stream.endsAt - env.wallSeconds());
    origins.merge(stream.key,
                  {.origin = stream.origin, .since = now - age, .expiresAt = now + left});
    OriginAnswer out = ownAnswer(stream.key);
    if (out.origin)
      out.source = OriginSource::Archive;
    return out;
  }

  void finish(std::uint64_t id, const OriginAnswer &answer) { takeFinish(id)(answer); }

  /// Ends the question and returns a function that passes on its answer.
  std::function<void(OriginAnswer)> takeFinish(std::uint64_t id) {
    auto node = asks.extract(id);
    Ask &ask = node.mapped();
    return [done = std::move(ask.done), asked = static_cast<int>(ask.asked.size()),
            answered = static_cast<int>(ask.answered.size())](OriginAnswer answer) {
      answer.asked = asked;
      answer.answered = answered;
      done(answer);
    };
  }

  void onAnswer(const StreamAnswer &message, const Address &from) {
    auto it = asks.find(message.id);
    if (it == asks.end() || it->second.asked.count(from) == 0)
      return; // given up or answered before
    auto &ask = it->second;
    ask.answered.insert(from);
    if (message.doubtful)
      return finish(message.id, {.source = OriginSource::Doubtful, .age = message.age});
    if (message.origin)
      return finish(
          message.id,
          {.origin = message.origin, .source = OriginSource::OtherHost, .age = message.age});
    if (ask.answered.size() == ask.asked.size())
      finishUnknown(message.id);
  }
};

StreamKeepers::StreamKeepers(CoreEnv &env, const FleetView &view, StreamKeepersHooks hooks)
    : impl(std::make_shared<Impl>(env, view, std::move(hooks))) {}

StreamKeepers::~StreamKeepers() = default;

void StreamKeepers::record(const StreamKey &key, const StreamOrigin &origin, Duration lifetime) {
  impl->record(key, origin, lifetime);
  std::set<Address> receivers = impl->recorders;
  for (auto &to : impl->hooks.keepers(key, Keepers))
    receivers.insert(to);
  for (auto &to : receivers)
    impl->hooks.send(to, StreamBegun{.key = key, .origin = origin, .lifetime = lifetime});
}

void StreamKeepers::setRecorders(const std::vector<Address> &hosts) {
  std::set<Address> others(hosts.begin(), hosts.end());
  const bool isRecorder = others.erase(Address{}) > 0;
  std::set<Address> added;
  std::set_difference(others.begin(), others.end(), impl->recorders.begin(), impl->recorders.end(),
                      std::inserter(added, added.end()));
  impl->recorders = std::move(others);
  if (!std::exchange(impl->isRecorder, isRecorder) && isRecorder)
    archiveAll();
  if (added.empty())
    return;
  if (impl->sharing)
    impl->nextRecorders.merge(added);
  else
    impl->share({}, std::move(added));
}

std::optional<ArchivedStream> StreamKeepers::archived(const StreamKey &key) const {
  auto *it = impl->origins.find(key);
  const Instant now = impl->env.now();
  if (!it || it->expiresAt <= now)
    return std::nullopt;
  const std::int64_t wallNow = impl->env.wallSeconds();
  const auto seconds = [](Duration d) {
    return std::chrono::duration_cast<std::chrono::seconds>(d).count();
  };
  return ArchivedStream{.key = key,
                        .origin = it->origin,
                        .beganAt = wallNow - seconds(now - it->since),
                        .endsAt = wallNow + seconds(it->expiresAt - now) + 1,
                        .doubtful = it->doubtful};
}

void StreamKeepers::archiveAll() {
  for (auto &it : impl->origins.keys())
    impl->archive(it);
}

bool StreamKeepers::isTrusted(const StreamKey &key) {
  auto *it = impl->origins.find(key);
  return it && !it->doubtful;
}

void StreamKeepers::find(const StreamKey &key, const std::vector<ServiceWeight> &services,
                         const Done &done) {
  impl->find(key, services, done);
}

void StreamKeepers::onBegun(const StreamBegun &message, const Address &from) {
  const auto lifetime =
      std::clamp<Duration>(message.lifetime, Duration(), config::FleetMaxStreamAge);
  impl->record(message.key, message.origin, lifetime);
  if (!impl->wasReplaced(message.origin))
    return;
  const StreamRecord doubt{
      .key = message.key, .origin = message.origin, .lifetime = lifetime, .doubtful = true};
  impl->hooks.send(from, StreamRecords{{doubt}});
}

void StreamKeepers::shareWith(const Address &host) {
  if (impl->sharing)
    impl->nextReceivers.insert(host);
  else
    impl->share({host});
}

void StreamKeepers::shareAll() { impl->share({}); }

void StreamKeepers::onRecords(const StreamRecords &message) {
  for (auto &it : message.records)
    impl->onRecord(it);
}

void StreamKeepers::onQuestion(const StreamQuestion &message, const Address &from) {
  const OriginAnswer own = impl->ownAnswer(message.key);
  impl->hooks.send(from, StreamAnswer{.id = message.id,
                                      .origin = own.origin,
                                      .doubtful = own.source == OriginSource::Doubtful,
                                      .age = own.age});
}

void StreamKeepers::onAnswer(const StreamAnswer &message, const Address &from) {
  impl->onAnswer(message, from);
}

void StreamKeepers::onReplaced(const EndpointIncarnation &current, const SoftwareVersion &version,
                               Instant from) {
  impl->origins.onReplaced(current, version, from);
}

void StreamKeepers::expire() { impl->origins.expire(impl->env.now()); }

std::size_t StreamKeepers::size() const { return impl->origins.size(); }

} // namespace catkin
