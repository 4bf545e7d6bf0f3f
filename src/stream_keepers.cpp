#include "stream_keepers_p.h"

#include "config.h"

#include <algorithm>
#include <set>
#include <utility>

namespace catkin {

namespace {

constexpr int MaxAsks = 2; // for one stream, since a datagram may be lost

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
  std::uint64_t lastId = 0;

  Impl(CoreEnv &env, const FleetView &view, StreamKeepersHooks hooks)
      : env(env), view(view), hooks(std::move(hooks)) {}

  void record(const StreamKey &key, const StreamOrigin &origin, Duration lifetime) {
    origins.record(key, origin, lifetime, env.now());
    if (wasReplaced(origin))
      origins.doubt(key);
  }

  /// Returns true if this host knows that another version runs under the writer's name by now.
  bool wasReplaced(const StreamOrigin &origin) const {
    auto *state = view.find(origin.writer.endpoint);
    return state && state->entry.incarnation > origin.writer.incarnation &&
           state->entry.softwareVersion != origin.version;
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

  /// No host knows the stream. Its version is certain only if the service has had no other.
  void finishUnknown(std::uint64_t id) {
    const auto &ask = asks.at(id);
    const bool allAnswered = ask.asked.size() == ask.answered.size();
    const OriginAnswer answer{.source =
                                  allAnswered ? OriginSource::Unknown : OriginSource::NoAnswer};
    if (!ask.service || !hooks.findOnlyVersion)
      return finish(id, answer);
    const ServiceName service = *ask.service;
    auto finishRead = takeFinish(id);
    hooks.findOnlyVersion(service, [finishRead, service, answer](const RecordedVersion &recorded) {
      OriginAnswer out = answer;
      if (recorded.only) {
        out.origin = StreamOrigin{.service = service, .version = *recorded.only, .writer = {}};
        out.source = OriginSource::OnlyVersion;
      } else if (!recorded.answered) {
        out.source = OriginSource::NoAnswer;
      }
      finishRead(out);
    });
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
  for (auto &to : impl->hooks.keepers(key, Keepers))
    impl->hooks.send(to, StreamBegun{.key = key, .origin = origin, .lifetime = lifetime});
}

bool StreamKeepers::isTrusted(const StreamKey &key) {
  auto *it = impl->origins.find(key);
  return it && !it->doubtful;
}

void StreamKeepers::find(const StreamKey &key, const std::vector<ServiceWeight> &services,
                         const Done &done) {
  impl->find(key, services, done);
}

void StreamKeepers::onBegun(const StreamBegun &message) {
  impl->record(message.key, message.origin,
               std::clamp<Duration>(message.lifetime, Duration(), config::FleetMaxStreamAge));
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
