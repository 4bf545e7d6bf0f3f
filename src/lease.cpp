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

// A host that is not among the candidates waits longer, so that the candidates go first.
constexpr Duration OutsiderDelay = std::chrono::milliseconds(2000);

std::string format(const LeaseRecord &r) {
  json::array formers;
  for (auto &it : r.formers)
    formers.push_back(json::object{{"host", it.host.value}, {"incarnation", it.incarnation}});
  return json::serialize(json::object{{"holder", r.holder.value},
                                      {"incarnation", r.incarnation},
                                      {"address", r.address.empty() ? "" : r.address.toString()},
                                      {"term", r.term},
                                      {"renewal", r.renewal},
                                      {"write_id", r.writeId},
                                      {"formers", formers}});
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
                .formers = {}};
  in.objects("formers", [&](JsonReader &it) {
    r.formers.push_back({it.name<HostName>("host"), it.unsignedInt("incarnation")});
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
  LeaseRecord newest; ///< highest term seen from anywhere
  LeaseRecord stored; ///< last record read from the platform
  std::uint64_t storedVersion = 0;
  Instant storedChanged; ///< when storedVersion was first seen
  bool everRead = false;
  bool holding = false;
  bool renewalFailed = false; ///< the newest attempt was not answered
  bool stopped = false;
  bool plannerLost = false;
  bool busy = false; ///< a platform call is under way
  Instant valid;
  std::uint64_t writes = 0;
  std::vector<LeaseHolder> formers;    ///< written with the next renewal
  std::map<std::string, Instant> sent; ///< own writes of unknown fate, with the time of sending

  Impl(CoreEnv &env, LeaseOptions options, Acquired acquired, Lost lost)
      : env(env), options(std::move(options)), acquired(std::move(acquired)),
        lost(std::move(lost)) {}

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

  Instant validity(Instant sentAt) const {
    return sentAt + config::LeaseTtl - config::LeaseHolderMargin;
  }

  void step() {
    if (stopped)
      return;
    auto self = shared_from_this();
    env.after(config::LeaseRenewInterval, [self] { self->step(); });
    if (busy)
      return;
    if (holding)
      renew();
    else if (isCandidate() || plannerLost || !everRead)
      readStored();
  }

  void readStored() {
    busy = true;
    env.platform().get(LeaseKey, [self = shared_from_this()](StoreStatus s, const StoreObject &o) {
      self->busy = false;
      self->onRead(s, o);
    });
  }

  void onRead(StoreStatus status, const StoreObject &object) {
    if (stopped)
      return;
    if (status == StoreStatus::NotFound)
      return acquire(LeaseRecord{}, 0);
    if (status != StoreStatus::Ok)
      return;
    auto record = parse(object.value);
    if (!record)
      return; // an operator's mistake in the store; never overwritten blindly
    note(*record, object.version);
    if (isMine(*record) && record->term >= newest.term)
      return confirm(*record);
    if (holding)
      return drop();
    if (mayAcquire(*record))
      acquire(*record, object.version);
  }

  /// Takes up a record read from the platform.
  void note(const LeaseRecord &record, std::uint64_t version) {
    if (!everRead || version != storedVersion)
      storedChanged = env.now();
    everRead = true;
    storedVersion = version;
    stored = record;
    if (record.term >= newest.term)
      newest = record;
  }

  /// The stored record is this process's own: a write whose reply was lost has taken effect.
  void confirm(const LeaseRecord &record) {
    auto it = sent.find(record.writeId);
    if (it != sent.end())
      valid = std::max(valid, validity(it->second));
    sent.clear();
    if (!holding)
      become(record);
  }

  bool mayAcquire(const LeaseRecord &record) const {
    // A former process of this host has ended, so that nobody else needs to wait for its lease.
    if (record.holder == options.host)
      return true;
    const auto unchanged = env.now() - storedChanged;
    if (record.holder.empty())
      return isCandidate() || unchanged >= OutsiderDelay;
    if (unchanged < config::LeaseTtl + config::LeaseCandidateMargin)
      return false;
    return isCandidate() ||
           unchanged >= config::LeaseTtl + config::LeaseCandidateMargin + OutsiderDelay;
  }

  std::string nextWriteId() {
    return options.host.value + "/" + std::to_string(options.incarnation) + "/" +
           std::to_string(++writes);
  }

  void write(LeaseRecord record, std::uint64_t version,
             const std::function<void(StoreStatus, const StoreObject &)> &done) {
    record.writeId = nextWriteId();
    auto sentAt = env.now();
    sent[record.writeId] = sentAt;
    busy = true;
    env.platform().put(
        LeaseKey, format(record), version,
        [self = shared_from_this(), record, sentAt, done](StoreStatus s, const StoreObject &o) {
          self->busy = false;
          self->renewalFailed = s == StoreStatus::Unreachable || s == StoreStatus::Unknown;
          if (s == StoreStatus::Ok) {
            self->sent.clear();
            self->valid = self->validity(sentAt);
            self->note(record, o.version);
          }
          done(s, o);
        });
  }

  /// Former holders of the next record: those of the last one, and its holder. A process of this
  /// same host has ended, since this one has replaced it.
  std::vector<LeaseHolder> formersAfter(const LeaseRecord &last) const {
    auto formers = last.formers;
    LeaseHolder holder{last.holder, last.incarnation};
    if (!holder.host.empty() && std::count(formers.begin(), formers.end(), holder) == 0)
      formers.push_back(holder);
    std::erase_if(formers, [this](auto &it) { return it.host == options.host; });
    return formers;
  }

  void acquire(const LeaseRecord &last, std::uint64_t version) {
    LeaseRecord mine{.holder = options.host,
                     .incarnation = options.incarnation,
                     .address = options.address,
                     .term = std::max(last.term, newest.term) + 1,
                     .renewal = 0,
                     .writeId = {},
                     .formers = formersAfter(last)};
    write(mine, version, [self = shared_from_this(), mine](StoreStatus s, auto &) {
      if (self->stopped)
        return self->giveBack(1, [] {});
      if (s == StoreStatus::Ok)
        self->become(mine);
      // Conflict: another host was first. Unknown: the next read tells.
    });
  }

  void become(const LeaseRecord &mine) {
    holding = true;
    newest = mine;
    formers = mine.formers;
    std::vector<std::string> names;
    for (auto &it : mine.formers)
      names.push_back(it.host.value);
    env.decision({.kind = DecisionKind::Lease,
                  .chosen = options.host.value,
                  .alternatives = std::move(names),
                  .reason = "acquired term " + std::to_string(mine.term)});
    acquired(mine);
  }

  void renew() {
    auto record = stored;
    ++record.renewal;
    record.formers = formers;
    write(record, storedVersion, [self = shared_from_this()](StoreStatus s, auto &) {
      if (s == StoreStatus::Conflict || s == StoreStatus::Unknown)
        self->readStored();
    });
  }

  void drop() {
    if (!holding)
      return;
    holding = false;
    env.decision({.kind = DecisionKind::Lease,
                  .chosen = newest.holder.value,
                  .reason = "lost to term " + std::to_string(newest.term)});
    lost();
  }

  /// Writes the record without a holder, if it is this process's own. A renewal under way or a lost
  /// reply is waited out, because its version is needed.
  void giveBack(int attempts, Task done) {
    if (attempts == 0 || !isMine(stored))
      return env.after(Duration(0), std::move(done));
    auto again = [self = shared_from_this(), attempts, done] {
      self->giveBack(attempts - 1, done);
    };
    if (busy)
      return env.after(config::LeaseReleaseRetry, again);
    auto record = stored;
    // Orders that it has already sent may still be on their way.
    record.formers = formers;
    record.formers.push_back({options.host, options.incarnation});
    record.holder = HostName();
    record.address = Address{};
    write(record, storedVersion, [self = shared_from_this(), again, done](StoreStatus s, auto &) {
      if (s == StoreStatus::Ok || s == StoreStatus::Unreachable)
        return done();
      self->env.platform().get(LeaseKey, [self, again](StoreStatus s, const StoreObject &o) {
        auto record = s == StoreStatus::Ok ? parse(o.value) : std::nullopt;
        if (record)
          self->note(*record, o.version);
        again();
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
  impl->step();
}

void Lease::setFormers(std::vector<LeaseHolder> formers) { impl->formers = std::move(formers); }

void Lease::setPlannerLost(bool lost) { impl->plannerLost = lost; }

void Lease::release(std::function<void()> done) {
  impl->stopped = true;
  if (impl->holding) {
    impl->holding = false;
    impl->lost();
  }
  impl->giveBack(config::LeaseReleaseAttempts, std::move(done));
}

bool Lease::held() const { return impl->holding; }

bool Lease::uncertain() const {
  return impl->holding && impl->env.now() >= impl->valid && !impl->renewalFailed;
}

Instant Lease::validUntil() const { return impl->valid; }

const LeaseRecord &Lease::newest() const { return impl->newest; }

void Lease::observe(std::uint64_t term, const HostName &holder, const Address &address) {
  // A report of another host names the term but not its holder; the address is filled in by the
  // first message that has it. Without it this host could not ask the planner for replicas.
  bool names = term == impl->newest.term && impl->newest.address.empty() && !address.empty();
  if (term < impl->newest.term || (term == impl->newest.term && !names))
    return;
  impl->newest = {.holder = holder, .address = address, .term = term};
  if (impl->holding)
    impl->drop();
}

} // namespace catkin
