#include "lease_p.h"

#include "config.h"
#include "json_p.h"

#include <algorithm>
#include <map>
#include <string>

#include <xxhash.h>

namespace catkin {

namespace {

constexpr auto LeaseKey = "planner/lease";

// A host that is not a candidate waits longer than the candidates before it acquires the lease.
constexpr Duration NonCandidateDelay = std::chrono::milliseconds(2000);
// More terms than are given out between two restores of the store. Each era has its own range, so
// that a host that knows nothing of an era that was lost gives out a higher term than any of it.
constexpr std::uint64_t TermsPerEra = 1000;

std::string format(const LeaseRecord &r) {
  json::array formerHolders;
  for (auto &it : r.formerHolders)
    formerHolders.push_back(json::object{{"host", it.host.value}, {"incarnation", it.incarnation}});
  json::object out{{"holder", r.holder.value},
                   {"incarnation", r.incarnation},
                   {"address", r.address.empty() ? "" : r.address.toString()},
                   {"term", r.term},
                   {"renewal", r.renewal},
                   {"write_id", r.writeId},
                   {"formers", formerHolders}};
  if (r.era > 0)
    out["era"] = r.era;
  return json::serialize(out);
}

std::optional<LeaseRecord> parse(const std::string &text) {
  json::object object;
  if (!parseObject(text, object))
    return std::nullopt;
  JsonReader in(object);
  LeaseRecord r{.holder = in.name<HostName>("holder"),
                .incarnation = in.unsignedInt("incarnation"),
                .address = in.address("address"),
                .term = in.unsignedInt("term"),
                .renewal = in.unsignedInt("renewal"),
                .writeId = in.text("write_id"),
                .formerHolders = {},
                .era = in.unsignedInt("era")};
  in.objects("formers", [&](JsonReader &it) {
    r.formerHolders.push_back({it.name<HostName>("host"), it.unsignedInt("incarnation")});
  });
  return in.ok ? std::optional(r) : std::nullopt;
}

} // namespace

struct Lease::Impl : std::enable_shared_from_this<Lease::Impl> {
  CoreEnv &env;
  LeaseOptions options;
  Acquired acquired;
  Lost lost;
  std::vector<HostName> candidates;
  LeaseRecord newest;       ///< record of the highest term seen in the store or announced
  LeaseRecord storedRecord; ///< record last read from or written to the platform's store
  std::uint64_t storedVersion = 0;
  Instant storedChanged; ///< when `storedVersion` was first seen
  bool everRead = false; ///< the stored record has been read
  bool holding = false;
  bool renewalFailed = false; ///< the newest write was not answered
  bool stopped = false;
  bool plannerLost = false;
  bool callPending = false;  ///< a call to the platform has not been answered
  std::uint64_t era = 0;     ///< newest one that an answer of the store has named
  bool eraKnown = false;     ///< the store has answered
  bool isLastHolder = false; ///< this host held the lease when the store came back
  Instant restoredAt;        ///< when this host noticed the last restore; default value if none
  Instant leaseEnd;          ///< end of the validity, margin subtracted
  std::uint64_t writes = 0;
  std::vector<LeaseHolder> formerHolders; ///< written with the next renewal
  /// Own writes with an unknown outcome: time of sending by write id.
  std::map<std::string, Instant> unconfirmedWrites;

  Impl(CoreEnv &env, LeaseOptions options, Acquired acquired, Lost lost)
      : env(env), options(std::move(options)), acquired(std::move(acquired)),
        lost(std::move(lost)) {}

  /// True if fewer than `config::LeaseCandidates` other hosts, the current holder not counted, have
  /// a higher rendezvous hash for the newest term. Every host is a candidate while the list of
  /// hosts is empty; a host that is missing from the list is none.
  bool isCandidate() const {
    if (candidates.empty())
      return true;
    auto rank = [&](const HostName &host) {
      return XXH64(host.value.data(), host.value.size(), newest.term);
    };
    auto mine = rank(options.host);
    if (std::count(candidates.begin(), candidates.end(), options.host) == 0)
      return false;
    auto before = std::count_if(candidates.begin(), candidates.end(), [&](auto &it) {
      return it != options.host && it != newest.holder && rank(it) > mine;
    });
    return before < static_cast<std::ptrdiff_t>(config::LeaseCandidates);
  }

  bool isMine(const LeaseRecord &r) const {
    return r.holder == options.host && r.incarnation == options.incarnation;
  }

  Instant leaseEndFor(Instant sentAt) const {
    return sentAt + config::LeaseTtl - config::LeaseHolderMargin;
  }

  /// Renews or reads the lease once in each renewal interval. A lease that may have expired is read
  /// first: if the store has come back from an older copy meanwhile, another holder's record may
  /// have the version that this host would renew.
  void tick() {
    if (stopped)
      return;
    auto self = shared_from_this();
    env.after(config::LeaseRenewInterval, [self] { self->tick(); });
    if (callPending)
      return;
    if (holding && env.now() < leaseEnd)
      renew();
    else if (holding || isCandidate() || plannerLost || !everRead)
      readStored();
  }

  void readStored() {
    callPending = true;
    env.platform().get(LeaseKey, [self = shared_from_this()](StoreStatus s, const StoreObject &o) {
      self->callPending = false;
      self->observeEra(s, o.era);
      self->onRead(s, o);
    });
  }

  /// Gives the lease up if the store has come back from an older copy: it may have forgotten that
  /// another host acquired the lease meanwhile.
  void observeEra(StoreStatus status, std::uint64_t answerEra) {
    const bool answered = status == StoreStatus::Ok || status == StoreStatus::Conflict ||
                          status == StoreStatus::NotFound;
    if (!answered)
      return;
    const bool isFirst = !std::exchange(eraKnown, true);
    if (answerEra <= era)
      return;
    era = answerEra;
    if (isFirst)
      return;
    restoredAt = env.now();
    storedChanged = env.now();
    unconfirmedWrites.clear();
    // While the lease was valid, no other host can have acquired it.
    isLastHolder = holding && env.now() < leaseEnd;
    loseLease("the store has come back from an older copy");
  }

  /// True until every lease that was granted before the last restore has run out.
  bool mayEarlierLeaseHold() const {
    return restoredAt != Instant{} &&
           env.now() - restoredAt < config::LeaseTtl + config::LeaseCandidateMargin;
  }

  /// True if the record was written before the last restore, so that newer ones may be lost.
  bool isFromEarlierEra(const LeaseRecord &record) const { return record.era < era; }

  void onRead(StoreStatus status, const StoreObject &object) {
    if (stopped)
      return;
    if (status == StoreStatus::NotFound)
      return mayEarlierLeaseHold() && !isLastHolder ? void() : acquire(LeaseRecord{}, 0);
    if (status != StoreStatus::Ok) {
      renewalFailed = renewalFailed || holding;
      return;
    }
    auto record = parse(object.value);
    if (!record)
      return; // perhaps edited by an operator: an unreadable record is not overwritten
    updateStored(*record, object.version);
    if (isMine(*record) && record->term >= newest.term && !isFromEarlierEra(*record))
      return confirmOwnWrite(*record);
    if (holding)
      return loseLease();
    if (mayAcquire(*record))
      acquire(*record, object.version);
  }

  /// Updates the local copy with a record that was read from or written to the platform's store.
  void updateStored(const LeaseRecord &record, std::uint64_t version) {
    if (!everRead || version != storedVersion)
      storedChanged = env.now();
    everRead = true;
    storedVersion = version;
    storedRecord = record;
    if (record.term >= newest.term)
      newest = record;
  }

  /// Handles a stored record that is this process's own: a write whose reply was lost took effect.
  void confirmOwnWrite(const LeaseRecord &record) {
    auto it = unconfirmedWrites.find(record.writeId);
    if (it != unconfirmedWrites.end())
      leaseEnd = std::max(leaseEnd, leaseEndFor(it->second));
    unconfirmedWrites.clear();
    if (!holding)
      becomeHolder(record);
    else if (env.now() >= leaseEnd)
      renew();
  }

  /// True if the lease is free or has expired for long enough that this host may acquire it.
  bool mayAcquire(const LeaseRecord &record) const {
    if (isLastHolder && isFromEarlierEra(record))
      return true;
    if (mayEarlierLeaseHold())
      return false;
    // The holder was an earlier process of this host, which has exited: no need to wait for the
    // TTL. If the record may not be the newest one, nobody knows who holds the lease.
    const bool isNewest = !isFromEarlierEra(record);
    if (record.holder == options.host && isNewest)
      return true;
    const auto unchanged = env.now() - storedChanged;
    if (record.holder.empty() && isNewest)
      return isCandidate() || unchanged >= NonCandidateDelay;
    if (unchanged < config::LeaseTtl + config::LeaseCandidateMargin)
      return false;
    return isCandidate() ||
           unchanged >= config::LeaseTtl + config::LeaseCandidateMargin + NonCandidateDelay;
  }

  std::string nextWriteId() {
    return options.host.value + "/" + std::to_string(options.incarnation) + "/" +
           std::to_string(++writes);
  }

  void write(LeaseRecord record, std::uint64_t version,
             const std::function<void(StoreStatus, const StoreObject &)> &done) {
    record.writeId = nextWriteId();
    record.era = era;
    auto sentAt = env.now();
    unconfirmedWrites[record.writeId] = sentAt;
    callPending = true;
    env.platform().put(LeaseKey, format(record), version,
                       [self = shared_from_this(), record, sentAt, done](StoreStatus answer,
                                                                         const StoreObject &o) {
                         self->callPending = false;
                         self->observeEra(answer, o.era);
                         // A condition on a version that was given out again proves nothing.
                         const bool inLaterEra =
                             answer == StoreStatus::Ok && record.era < self->era;
                         const StoreStatus s = inLaterEra ? StoreStatus::Conflict : answer;
                         self->renewalFailed =
                             s == StoreStatus::Unreachable || s == StoreStatus::Unknown;
                         if (s == StoreStatus::Ok) {
                           self->unconfirmedWrites.clear();
                           self->leaseEnd = self->leaseEndFor(sentAt);
                           self->updateStored(record, o.version);
                         }
                         done(s, o);
                       });
  }

  /// Former holders for a record that replaces `last`: those of `last` and its holder. Processes of
  /// this host are left out, because they have exited before this one started.
  std::vector<LeaseHolder> formerHoldersAfter(const LeaseRecord &last) const {
    auto formerHolders = last.formerHolders;
    LeaseHolder holder{last.holder, last.incarnation};
    if (!holder.host.empty() && std::count(formerHolders.begin(), formerHolders.end(), holder) == 0)
      formerHolders.push_back(holder);
    std::erase_if(formerHolders, [this](auto &it) { return it.host == options.host; });
    return formerHolders;
  }

  /// Returns a term above all that may have been given out.
  std::uint64_t nextTerm(const LeaseRecord &last) const {
    const std::uint64_t known = std::max(last.term, newest.term);
    return std::max(known, era * TermsPerEra) + 1;
  }

  void acquire(const LeaseRecord &last, std::uint64_t version) {
    LeaseRecord mine{.holder = options.host,
                     .incarnation = options.incarnation,
                     .address = options.address,
                     .term = nextTerm(last),
                     .renewal = 0,
                     .writeId = {},
                     .formerHolders = formerHoldersAfter(last),
                     .isFirst = last.term == 0 && newest.term == 0};
    write(mine, version, [self = shared_from_this(), mine](StoreStatus s, auto &) {
      if (self->stopped)
        return self->writeRelease(1, [] {});
      if (s == StoreStatus::Ok)
        self->becomeHolder(mine);
      // Conflict: another host acquired it first. Unknown: the next read shows the outcome.
    });
  }

  void becomeHolder(const LeaseRecord &mine) {
    holding = true;
    isLastHolder = false;
    newest = mine;
    formerHolders = mine.formerHolders;
    std::vector<std::string> names;
    for (auto &it : mine.formerHolders)
      names.push_back(it.host.value);
    env.decision({.kind = DecisionKind::Lease,
                  .chosen = options.host.value,
                  .alternatives = std::move(names),
                  .reason = "acquired term " + std::to_string(mine.term)});
    acquired(mine);
  }

  void renew() {
    auto record = storedRecord;
    ++record.renewal;
    record.formerHolders = formerHolders;
    write(record, storedVersion, [self = shared_from_this()](StoreStatus s, auto &) {
      if (s == StoreStatus::Conflict || s == StoreStatus::Unknown)
        self->readStored();
    });
  }

  void loseLease(const std::string &reason = {}) {
    if (!holding)
      return;
    holding = false;
    env.decision({.kind = DecisionKind::Lease,
                  .chosen = newest.holder.value,
                  .reason = reason.empty() ? "lost to term " + std::to_string(newest.term)
                                           : "lost, " + reason});
    lost();
  }

  /// Writes the record without a holder if the stored one is this process's own. Retries up to
  /// `attempts` times after a pending renewal or a lost reply, because the write needs the current
  /// version.
  void writeRelease(int attempts, Task done) {
    if (attempts == 0 || !isMine(storedRecord))
      return env.after(Duration(0), std::move(done));
    auto retry = [self = shared_from_this(), attempts, done] {
      self->writeRelease(attempts - 1, done);
    };
    if (callPending)
      return env.after(config::LeaseReleaseRetry, retry);
    auto record = storedRecord;
    // Orders that this process has sent may still be in transit.
    record.formerHolders = formerHolders;
    record.formerHolders.push_back({options.host, options.incarnation});
    record.holder = HostName();
    record.address = Address{};
    write(record, storedVersion, [self = shared_from_this(), retry, done](StoreStatus s, auto &) {
      if (s == StoreStatus::Ok || s == StoreStatus::Unreachable)
        return done();
      self->env.platform().get(LeaseKey, [self, retry](StoreStatus s, const StoreObject &o) {
        auto record = s == StoreStatus::Ok ? parse(o.value) : std::nullopt;
        if (record)
          self->updateStored(*record, o.version);
        retry();
      });
    });
  }
};

Lease::Lease(CoreEnv &env, LeaseOptions options, Acquired acquired, Lost lost)
    : impl(std::make_shared<Impl>(env, std::move(options), std::move(acquired), std::move(lost))) {}

Lease::~Lease() { impl->stopped = true; }

void Lease::setCandidates(std::vector<HostName> hosts) { impl->candidates = std::move(hosts); }

void Lease::start() {
  impl->stopped = false;
  impl->tick();
}

void Lease::setFormerHolders(std::vector<LeaseHolder> formerHolders) {
  impl->formerHolders = std::move(formerHolders);
}

void Lease::setPlannerLost(bool lost) { impl->plannerLost = lost; }

void Lease::release(std::function<void()> done) {
  impl->stopped = true;
  if (impl->holding) {
    impl->holding = false;
    impl->lost();
  }
  impl->writeRelease(config::LeaseReleaseAttempts, std::move(done));
}

bool Lease::isHeld() const { return impl->holding; }

bool Lease::mayHaveExpired() const {
  return impl->holding && impl->env.now() >= impl->leaseEnd && !impl->renewalFailed;
}

Instant Lease::validUntil() const { return impl->leaseEnd; }

const LeaseRecord &Lease::newest() const { return impl->newest; }

void Lease::observe(std::uint64_t term, const HostName &holder, const Address &address) {
  // A report of another host contains the term without the holder. The first message with the
  // holder's address adds the address, which this host needs to ask the planner for replicas.
  bool addsAddress = term == impl->newest.term && impl->newest.address.empty() && !address.empty();
  if (term < impl->newest.term || (term == impl->newest.term && !addsAddress))
    return;
  impl->newest = {.holder = holder, .address = address, .term = term};
  if (impl->holding)
    impl->loseLease();
}

} // namespace catkin
