#include "ledger_p.h"

#include "config.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <map>

namespace catkin {

namespace json = boost::json;

namespace {

enum class RecordState { Started, Done, Lost, Count };

} // namespace

template <> struct EnumNames<RecordState> {
  static constexpr std::array<std::string_view, 3> Table{"started", "done", "lost"};
};

namespace {

constexpr std::string_view CallsPrefix = "calls/";
constexpr std::uint64_t ExpiryParts = 256; // one for each first byte of the key's hash

/// The stored record of a call.
struct Record {
  std::string attempt;
  HostName host;
  std::uint64_t incarnation = 0;
  RecordState state = RecordState::Started;
  std::string requestHash;
  std::int64_t createdAt = 0; ///< wall-clock seconds
  StoredAnswer answer;        ///< for RecordState::Done
};

std::string toHex(const unsigned char *data, std::size_t n) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string s;
  for (std::size_t i = 0; i < n; ++i) {
    s += Digits[data[i] >> 4];
    s += Digits[data[i] & 15];
  }
  return s;
}

std::string sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned n = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &n, EVP_sha256(), nullptr);
  return toHex(digest.data(), n);
}

// Answers are stored in base64, since JSON strings cannot hold arbitrary bytes.
std::string toBase64(std::string_view bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  auto n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                           reinterpret_cast<const unsigned char *>(bytes.data()),
                           static_cast<int>(bytes.size()));
  out.resize(n);
  return out;
}

std::optional<std::string> fromBase64(std::string_view text) {
  std::string out(text.size() / 4 * 3 + 3, '\0');
  auto n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                           reinterpret_cast<const unsigned char *>(text.data()),
                           static_cast<int>(text.size()));
  if (n < 0)
    return std::nullopt;
  // EVP_DecodeBlock counts the padding as decoded bytes.
  auto padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  out.resize(n - padding);
  return out;
}

std::string objectKeyOf(const CallKey &key) {
  return std::string(CallsPrefix) + key.service.value + "/" +
         sha256Hex(key.plan.value + '\0' + key.idempotencyKey);
}

std::string encode(const Record &r) {
  json::object o{{"attempt", r.attempt},         {"host", r.host.value},
                 {"incarnation", r.incarnation}, {"state", std::string(toString(r.state))},
                 {"request", r.requestHash},     {"created", r.createdAt}};
  if (r.state == RecordState::Done)
    o["answer"] = json::object{{"status", r.answer.status},
                               {"content_type", toBase64(r.answer.contentType)},
                               {"body", toBase64(r.answer.body)},
                               {"truncated", r.answer.truncated}};
  return json::serialize(o);
}

std::string textOf(const json::object &o, std::string_view field) {
  auto &s = o.at(field).as_string();
  return {s.data(), s.size()};
}

StoredAnswer decodeAnswer(const json::object &o) {
  return {.status = o.at("status").to_number<int>(),
          .contentType = fromBase64(textOf(o, "content_type")).value(),
          .body = fromBase64(textOf(o, "body")).value(),
          .truncated = o.at("truncated").as_bool()};
}

/// Returns nothing if the text is not a valid record.
std::optional<Record> decode(const std::string &text) {
  json::error_code ec;
  auto v = json::parse(text, ec);
  if (ec || !v.is_object())
    return std::nullopt;
  try {
    auto &o = v.get_object();
    Record r{.attempt = textOf(o, "attempt"),
             .host = HostName(textOf(o, "host")),
             .incarnation = o.at("incarnation").to_number<std::uint64_t>(),
             .state = parseEnum<RecordState>(textOf(o, "state")).value(),
             .requestHash = textOf(o, "request"),
             .createdAt = o.at("created").to_number<std::int64_t>()};
    if (r.state == RecordState::Done)
      r.answer = decodeAnswer(o.at("answer").as_object());
    return r;
  } catch (const std::exception &) {
    return std::nullopt; // a field is missing or has the wrong type
  }
}

} // namespace

struct Ledger::Impl : std::enable_shared_from_this<Ledger::Impl> {
  /// State of an attempt of this process.
  enum class Phase {
    Claiming,   ///< the record is being created
    Running,    ///< the claim was granted
    Storing,    ///< the call ended and its result is being written
    Abandoning, ///< the record is being erased
  };

  /// An attempt whose record this process still has to write or erase.
  struct Attempt {
    std::string objectKey;
    Record record;
    std::uint64_t version = 0; ///< version of the stored record; 0 if unknown
    Phase phase = Phase::Claiming;
    Duration backoff = config::CallRetryMin;
    Instant pendingSince;
  };

  /// A claim without a result yet, or whose create request has an unknown outcome.
  struct Claim {
    std::string objectKey;
    std::string attempt;
    std::string requestHash;
    Instant deadline;
    ClaimDone done;
    bool settled = false;
    bool createOutcomeUnknown = false; ///< the reply to a create request was lost
    bool foundOtherAttempt = false;    ///< another attempt's record exists
    bool rechecked = false;            ///< the record was read once more after it was not found
  };
  using ClaimPtr = std::shared_ptr<Claim>;

  Impl(Env &env, LedgerOptions options, AliveCheck isAlive)
      : env(env), options(std::move(options)), isAlive(std::move(isAlive)) {}

  Env &env;
  LedgerOptions options;
  AliveCheck isAlive;
  bool stopped = false;
  std::map<std::string, Attempt> attempts;                           ///< by attempt id
  std::vector<std::pair<std::string, std::uint64_t>> expiredRecords; ///< key and version
  bool isErasing = false;
  /// Starts at random, so that new planners do not all start at part 0.
  std::uint64_t expiryPart = env.random();

  // ---- Claim -----------------------------------------------------------------------------------

  void claim(const CallKey &key, Instant deadline, ClaimDone done) {
    auto c = std::make_shared<Claim>();
    c->objectKey = objectKeyOf(key);
    c->attempt = newAttemptId();
    c->requestHash = key.requestHash;
    c->deadline = deadline;
    c->done = std::move(done);
    env.after(deadline - env.now(), [self = shared_from_this(), c] { self->onDeadline(c); });
    if (!options.guards.claimBeforeCall)
      return env.after(Duration(0),
                       [self = shared_from_this(), c] { self->grantWithoutRecord(c); });
    // An answer that is not stored yet, such as in an outage of the store, is still known here.
    for (auto &[id, it] : attempts)
      if (it.objectKey == c->objectKey && it.phase == Phase::Storing)
        return env.after(Duration(0), [self = shared_from_this(), c, record = it.record] {
          self->resolveFromRecord(c, record, 0);
        });
    create(c);
  }

  std::string newAttemptId() {
    auto n = env.random();
    return options.host.value + "-" + std::to_string(options.incarnation) + "-" +
           toHex(reinterpret_cast<const unsigned char *>(&n), sizeof(n));
  }

  Record newRecord(const ClaimPtr &c) {
    return {.attempt = c->attempt,
            .host = options.host,
            .incarnation = options.incarnation,
            .requestHash = c->requestHash,
            .createdAt = env.wallSeconds()};
  }

  void create(const ClaimPtr &c) {
    auto [it, added] = attempts.try_emplace(c->attempt);
    if (added)
      it->second = {.objectKey = c->objectKey, .record = newRecord(c), .pendingSince = env.now()};
    env.platform().put(c->objectKey, encode(it->second.record), 0,
                       [self = shared_from_this(), c](StoreStatus status, const StoreObject &o) {
                         if (!self->stopped)
                           self->onCreateReply(c, status, o.version);
                       });
  }

  void onCreateReply(const ClaimPtr &c, StoreStatus status, std::uint64_t version) {
    if (status == StoreStatus::Ok)
      return onCreated(c, version);
    if (status == StoreStatus::Unknown) {
      if (!options.guards.recogniseOwnWrite)
        return onCreated(c, 0);
      if (!std::exchange(c->createOutcomeUnknown, true))
        scheduleGiveUp(c);
      return readRecord(c);
    }
    if (status == StoreStatus::Conflict) {
      c->foundOtherAttempt = !c->createOutcomeUnknown;
      return readRecord(c);
    }
    if (c->createOutcomeUnknown)
      return scheduleReadRecord(c);
    attempts.erase(c->attempt);
    settle(c, {.outcome = ClaimOutcome::Unavailable, .retryAfter = config::CallRetryAfter});
  }

  /// Refuses a call early if the outcome of its create request stays unknown, so that callers do
  /// not wait until their deadline in an outage. As after a deadline, the record is still read and
  /// erased.
  void scheduleGiveUp(const ClaimPtr &c) {
    env.after(2 * config::PlatformTimeout, [self = shared_from_this(), c] {
      if (c->createOutcomeUnknown && !c->foundOtherAttempt)
        self->onDeadline(c);
    });
  }

  /// Reads the record, which may be of this attempt, of another one, or missing.
  void readRecord(const ClaimPtr &c) {
    if (c->settled && !c->createOutcomeUnknown)
      return removeAttempt(c);
    env.platform().get(c->objectKey,
                       [self = shared_from_this(), c](StoreStatus status, const StoreObject &o) {
                         if (!self->stopped)
                           self->onRecordRead(c, status, o);
                       });
  }

  void scheduleReadRecord(const ClaimPtr &c) {
    env.after(config::CallRetryMin, [self = shared_from_this(), c] {
      if (!self->stopped)
        self->readRecord(c);
    });
  }

  void onRecordRead(const ClaimPtr &c, StoreStatus status, const StoreObject &o) {
    if (status == StoreStatus::Ok)
      return evaluateRecord(c, o);
    if (status == StoreStatus::NotFound) {
      c->foundOtherAttempt = false;
      return c->settled ? recheck(c) : create(c);
    }
    if (c->createOutcomeUnknown || c->foundOtherAttempt)
      return scheduleReadRecord(c);
    removeAttempt(c);
    settle(c, {.outcome = ClaimOutcome::Unavailable, .retryAfter = config::CallRetryAfter});
  }

  /// Reads a missing record once more after a delay. A slow platform may still carry out a create
  /// request after its timeout, and the record would make retries at other hosts wait.
  void recheck(const ClaimPtr &c) {
    if (std::exchange(c->rechecked, true))
      return removeAttempt(c);
    env.after(2 * config::PlatformTimeout, [self = shared_from_this(), c] {
      if (!self->stopped)
        self->readRecord(c);
    });
  }

  /// Handles an existing record: of this attempt, or of another one.
  void evaluateRecord(const ClaimPtr &c, const StoreObject &o) {
    auto record = decode(o.value);
    if (record && record->attempt == c->attempt)
      return onCreated(c, o.version);
    c->createOutcomeUnknown = false;
    c->foundOtherAttempt = true;
    removeAttempt(c);
    if (c->settled)
      return;
    if (!record) // damaged record: the call may have run
      return settle(c, {.outcome = ClaimOutcome::MayHaveRun});
    resolveFromRecord(c, *record, o.version);
  }

  /// Settles a claim by the record of another attempt, or waits until that attempt has ended.
  void resolveFromRecord(const ClaimPtr &c, Record record, std::uint64_t version) {
    if (record.requestHash != c->requestHash)
      return settle(c, {.outcome = ClaimOutcome::KeyReused});
    auto local = attempts.find(record.attempt);
    if (local != attempts.end() && local->second.phase == Phase::Storing)
      record = local->second.record;
    if (record.state == RecordState::Done)
      return settle(c, {.outcome = ClaimOutcome::Replay, .answer = record.answer});
    if (record.state == RecordState::Lost || !mayBeRunning(record))
      return settle(c, {.outcome = ClaimOutcome::MayHaveRun});
    waitForChange(c, version);
  }

  /// True if the process that made the record may still be executing the call.
  bool mayBeRunning(const Record &record) const {
    if (record.host != options.host)
      return isAlive(record.host, record.incarnation);
    return record.incarnation == options.incarnation && attempts.contains(record.attempt);
  }

  void waitForChange(const ClaimPtr &c, std::uint64_t version) {
    auto wait = std::min<Duration>(config::CallWatchWait, c->deadline - env.now());
    if (wait <= Duration(0))
      return onDeadline(c);
    env.platform().watch(c->objectKey, version, wait,
                         [self = shared_from_this(), c](StoreStatus status, const StoreObject &o) {
                           if (self->stopped || c->settled)
                             return;
                           if (status == StoreStatus::Ok)
                             self->evaluateRecord(c, o);
                           else if (status == StoreStatus::NotFound)
                             self->readRecord(c);
                           else
                             self->scheduleReadRecord(c);
                         });
  }

  void onCreated(const ClaimPtr &c, std::uint64_t version) {
    auto it = attempts.find(c->attempt);
    if (it == attempts.end())
      return;
    it->second.version = version;
    // In a process that was paused, the reply may arrive long after the claim was settled.
    if (!c->settled && env.now() < c->deadline) {
      it->second.phase = Phase::Running;
      return settle(c, {.outcome = ClaimOutcome::Granted, .attemptId = c->attempt});
    }
    onDeadline(c);
    it->second.phase = Phase::Abandoning;
    updateRecord(c->attempt);
  }

  /// Used only if tests switch Guards::claimBeforeCall off.
  void grantWithoutRecord(const ClaimPtr &c) {
    attempts[c->attempt] = {.objectKey = c->objectKey,
                            .record = newRecord(c),
                            .phase = Phase::Running,
                            .pendingSince = env.now()};
    settle(c, {.outcome = ClaimOutcome::Granted, .attemptId = c->attempt});
  }

  void onDeadline(const ClaimPtr &c) {
    if (stopped)
      return;
    auto outcome = c->foundOtherAttempt ? ClaimOutcome::InProgress : ClaimOutcome::Unavailable;
    settle(c, {.outcome = outcome, .retryAfter = config::CallRetryAfter});
  }

  /// Reports the result of a claim, once.
  void settle(const ClaimPtr &c, const ClaimResult &result) {
    if (std::exchange(c->settled, true))
      return;
    env.decision({.kind = DecisionKind::Call,
                  .requestId = c->attempt,
                  .chosen = c->objectKey,
                  .reason = std::string(toString(result.outcome))});
    c->done(result);
  }

  void removeAttempt(const ClaimPtr &c) { attempts.erase(c->attempt); }

  // ---- After the call --------------------------------------------------------------------------

  Attempt *findRunningAttempt(const std::string &attemptId) {
    auto it = attempts.find(attemptId);
    return it == attempts.end() || it->second.phase != Phase::Running ? nullptr : &it->second;
  }

  void storeOutcome(const std::string &attemptId, RecordState state, const StoredAnswer &answer) {
    auto *a = findRunningAttempt(attemptId);
    if (!a)
      return;
    a->record.state = state;
    a->record.answer = answer;
    if (answer.body.size() > config::MaxStoredAnswerBytes) {
      a->record.answer.body.resize(config::MaxStoredAnswerBytes);
      a->record.answer.truncated = true;
    }
    a->phase = Phase::Storing;
    a->pendingSince = env.now();
    updateRecord(attemptId);
  }

  void abandon(const std::string &attemptId) {
    auto *a = findRunningAttempt(attemptId);
    if (!a)
      return;
    a->phase = Phase::Abandoning;
    a->pendingSince = env.now();
    updateRecord(attemptId);
  }

  /// Writes or erases the record of an attempt that has ended. Repeated until it takes effect or
  /// config::CallRecordRetention is over.
  void updateRecord(const std::string &id) {
    auto it = attempts.find(id);
    if (stopped || it == attempts.end())
      return;
    auto &a = it->second;
    if (env.now() - a.pendingSince > config::CallRecordRetention) {
      attempts.erase(it);
      return;
    }
    auto done = [self = shared_from_this(), id](StoreStatus status, const StoreObject &) {
      if (!self->stopped)
        self->onRecordUpdated(id, status);
    };
    if (a.phase == Phase::Abandoning)
      env.platform().erase(a.objectKey, a.version, done);
    else
      env.platform().put(a.objectKey, encode(a.record), a.version, done);
  }

  void scheduleRecordUpdate(const std::string &id) {
    auto &a = attempts.at(id);
    env.after(a.backoff, [self = shared_from_this(), id] { self->updateRecord(id); });
    a.backoff = std::min<Duration>(a.backoff * 2, config::CallRetryMax);
  }

  void onRecordUpdated(const std::string &id, StoreStatus status) {
    bool nothingSent = status == StoreStatus::Refused || status == StoreStatus::Unreachable;
    bool assumeDone = status == StoreStatus::Unknown && !options.guards.recogniseOwnWrite;
    if (status == StoreStatus::Ok || assumeDone)
      attempts.erase(id);
    else if (nothingSent)
      scheduleRecordUpdate(id);
    else
      env.platform().get(attempts.at(id).objectKey,
                         [self = shared_from_this(), id](StoreStatus s, const StoreObject &o) {
                           if (!self->stopped)
                             self->onReadBack(id, s, o);
                         });
  }

  /// Checks whether a write or an erase of unknown outcome has taken effect.
  void onReadBack(const std::string &id, StoreStatus status, const StoreObject &o) {
    if (status != StoreStatus::Ok && status != StoreStatus::NotFound)
      return scheduleRecordUpdate(id);
    auto &a = attempts.at(id);
    auto record = status == StoreStatus::Ok ? decode(o.value) : std::nullopt;
    bool isOwn = record && record->attempt == id;
    bool isStored = isOwn && a.phase == Phase::Storing && record->state == a.record.state;
    if (!isOwn || isStored) {
      attempts.erase(id);
      return;
    }
    a.version = o.version;
    scheduleRecordUpdate(id);
  }

  // ---- Expiry ----------------------------------------------------------------------------------

  void expire(const std::vector<ServiceName> &services) {
    if (services.empty())
      return expirePrefix(std::string(CallsPrefix));
    auto part = static_cast<unsigned char>(expiryPart++ % ExpiryParts);
    for (auto &it : services)
      expirePrefix(std::string(CallsPrefix) + it.value + "/" + toHex(&part, 1));
  }

  void expirePrefix(const std::string &prefix) {
    env.platform().list(prefix, [self = shared_from_this()](
                                    StoreStatus status, const std::vector<StoreObject> &objects) {
      if (!self->stopped && status == StoreStatus::Ok)
        self->queueExpired(objects);
    });
  }

  void queueExpired(const std::vector<StoreObject> &objects) {
    auto oldest =
        env.wallSeconds() -
        std::chrono::duration_cast<std::chrono::seconds>(config::CallRecordRetention).count();
    for (auto &it : objects) {
      if (expiredRecords.size() >= config::MaxExpiredPerRun)
        break;
      auto record = decode(it.value);
      if (record && record->createdAt < oldest && !attempts.contains(record->attempt))
        expiredRecords.emplace_back(it.key, it.version);
    }
    if (!std::exchange(isErasing, true))
      eraseNext();
  }

  /// Erases one record per config::CallEraseInterval. A later run repeats an erase that failed.
  void eraseNext() {
    isErasing = !stopped && !expiredRecords.empty();
    if (!isErasing)
      return;
    auto [key, version] = expiredRecords.back();
    expiredRecords.pop_back();
    env.platform().erase(key, version, [](StoreStatus, const StoreObject &) {});
    env.after(config::CallEraseInterval, [self = shared_from_this()] { self->eraseNext(); });
  }
};

Ledger::Ledger(Env &env, LedgerOptions options, AliveCheck isAlive)
    : impl(std::make_shared<Impl>(env, std::move(options), std::move(isAlive))) {}

Ledger::~Ledger() { impl->stopped = true; }

void Ledger::claim(const CallKey &key, Instant deadline, ClaimDone done) {
  impl->claim(key, deadline, std::move(done));
}

void Ledger::finish(const CallKey &, const std::string &attemptId, const StoredAnswer &answer) {
  impl->storeOutcome(attemptId, RecordState::Done, answer);
}

void Ledger::abandon(const CallKey &, const std::string &attemptId) { impl->abandon(attemptId); }

void Ledger::markLost(const CallKey &, const std::string &attemptId) {
  impl->storeOutcome(attemptId, RecordState::Lost, {});
}

void Ledger::expire(const std::vector<ServiceName> &services) { impl->expire(services); }

std::size_t Ledger::openClaimCount() const { return impl->attempts.size(); }

} // namespace catkin
