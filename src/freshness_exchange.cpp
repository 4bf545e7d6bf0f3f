#include "freshness_exchange_p.h"

#include "config_freshness_p.h"
#include "log_p.h"

#include <algorithm>
#include <utility>

namespace catkin {

namespace {

// Also the time after which another host is asked if there is no answer.
constexpr Duration CheckInterval = std::chrono::milliseconds(250);
// A host that watches the store closely asks others if its own proof is older.
constexpr Duration MaxOwnAge = std::chrono::milliseconds(1500);
// Interval of the questions of other hosts.
constexpr Duration AskInterval = std::chrono::seconds(1);
// Part of the bound that is not used. Clocks of different machines run apart by less than 1 ms in
// 5 s; the rest allows for callers whose own clocks say when they sent a request.
constexpr Duration MaxMargin = std::chrono::milliseconds(250);
constexpr int MarginShare = 4; // of a short bound
// A proof by a watch has the age of the watch when it comes, and twice that before the next one.
constexpr int WatchShare = 4; // of the bound
// Changes of the configuration are in force everywhere after this time. Until then, a new key may
// be unknown.
constexpr Duration KeyChangeTime = std::chrono::seconds(3);
// Two watches of a host that watches closely, and the time to notice that one of them failed.
constexpr Duration MaxContactAge = std::chrono::seconds(5);

} // namespace

struct FreshnessExchange::Impl : std::enable_shared_from_this<Impl> {
  CoreEnv &env;
  FreshnessOptions options;
  FreshnessHooks hooks;
  ConfigFreshness freshness;
  std::optional<Instant> answeredAt; ///< last answer of another host
  std::size_t unanswered = 0;        ///< questions since the last sufficient proof
  bool readScheduled = false;
  bool wereKeysCurrent = true; ///< at the last check

  Impl(CoreEnv &env, FreshnessOptions o, FreshnessHooks h)
      : env(env), options(o), hooks(std::move(h)) {}

  bool isNeeded() const { return options.strict && hooks.version() > 0 && hooks.hasTeams(); }

  Duration acceptedAge() const {
    return options.revokeBound - std::min(MaxMargin, options.revokeBound / MarginShare);
  }

  void check() {
    env.after(CheckInterval, [weak = weak_from_this()] {
      if (auto self = weak.lock())
        self->check();
    });
    if (!isNeeded())
      return;
    const Instant now = env.bootTime();
    logChange(now);
    if (mustAsk(now))
      ask(now);
    else
      unanswered = 0;
  }

  bool mustAsk(Instant now) const {
    if (!freshness.isProvenWithin(MaxOwnAge, now))
      return true;
    return !hooks.watchesClosely() && (!answeredAt || now - *answeredAt >= AskInterval);
  }

  /// Asks the next host, so that one that does not answer or has an old proof is not asked twice in
  /// a row.
  void ask(Instant now) {
    const auto sources = hooks.sources();
    if (sources.empty())
      return;
    const std::uint64_t id = randomQuestionId(env);
    freshness.onAsked(id, now);
    hooks.send(sources[unanswered++ % sources.size()], FreshnessQuestion{id, hooks.version()});
  }

  void onStoreAnswer(Instant sentAt, std::uint64_t era) {
    const Instant now = env.bootTime();
    const bool counts = freshness.onStoreAnswer(sentAt, era, now);
    if (counts || !isNeeded() || std::exchange(readScheduled, true))
      return;
    env.after(freshness.settledAt() - now, [weak = weak_from_this()] {
      auto self = weak.lock();
      if (!self)
        return;
      self->readScheduled = false;
      self->hooks.readStore();
    });
  }

  void onQuestion(const FreshnessQuestion &question, const Address &from) {
    const auto age = freshness.age(env.bootTime());
    if (age && question.configVersion == hooks.version())
      hooks.send(from, FreshnessAnswer{question.id, *age});
  }

  void onAnswer(const FreshnessAnswer &answer) {
    if (!freshness.onAnswer(answer.id, answer.age))
      return;
    const Instant now = env.bootTime();
    if (!freshness.isProvenWithin(MaxOwnAge, now))
      return; // another host may have a younger proof
    answeredAt = now;
    unanswered = 0;
  }

  bool areKeysCurrent() const {
    return !options.strict || freshness.isProvenWithin(acceptedAge(), env.bootTime());
  }

  void logChange(Instant now) {
    const bool areCurrent = areKeysCurrent();
    if (std::exchange(wereKeysCurrent, areCurrent) == areCurrent)
      return;
    const auto age = freshness.age(now);
    logLine(areCurrent ? LogLevel::Info : LogLevel::Warn,
            areCurrent ? "keys are accepted again, the configuration is proven to be current"
                       : "keys are refused, the configuration is not proven to be current",
            {{"version", hooks.version()},
             {"proof_age_ms", age ? toMillis(*age) : -1},
             {"accepted_ms", toMillis(acceptedAge())},
             {"unanswered", unanswered}});
  }
};

FreshnessExchange::FreshnessExchange(CoreEnv &env, FreshnessOptions options, FreshnessHooks hooks)
    : impl(std::make_shared<Impl>(env, options, std::move(hooks))) {}

FreshnessExchange::~FreshnessExchange() = default;

void FreshnessExchange::start() { impl->check(); }

void FreshnessExchange::onStoreAnswer(Instant sentAt, std::uint64_t era) {
  impl->onStoreAnswer(sentAt, era);
}

void FreshnessExchange::onQuestion(const FreshnessQuestion &question, const Address &from) {
  impl->onQuestion(question, from);
}

void FreshnessExchange::onAnswer(const FreshnessAnswer &answer) { impl->onAnswer(answer); }

bool FreshnessExchange::areKeysCurrent() const { return impl->areKeysCurrent(); }

bool FreshnessExchange::mayRejectKeys(bool connected, bool hearsSentinel) const {
  const Instant now = impl->env.bootTime();
  if (impl->options.strict)
    return impl->freshness.isProvenWithin(KeyChangeTime, now);
  return connected && (hearsSentinel || impl->freshness.isProvenWithin(MaxContactAge, now));
}

bool FreshnessExchange::isReady() const {
  return !impl->isNeeded() || impl->freshness.age(impl->env.bootTime()).has_value();
}

Duration FreshnessExchange::limitWatch(Duration wait) const {
  return impl->isNeeded() ? std::min(wait, impl->options.revokeBound / WatchShare) : wait;
}

} // namespace catkin
