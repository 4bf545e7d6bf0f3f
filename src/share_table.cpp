#include "config.h"
#include "share_targets_p.h"
#include "shares_p.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace catkin {

namespace json = boost::json;

namespace {

constexpr std::string_view SharesPrefix = "shares/";
// Decay of a host's demand per report. The demand outlasts a few reports, so that a short pause
// does not move the host's share.
constexpr double DemandDecay = 0.8;
// A donor that has not acknowledged its lowered share after this time is no longer expected to free
// units soon, and further donors are asked.
constexpr auto LoweringTimeout = std::chrono::seconds(2);
// While more hosts have demand than there are units, the units rotate among them at this interval.
constexpr auto RotationInterval = std::chrono::seconds(2);
// A smaller relative increase of a token rate does not cause a write.
constexpr double RateTolerance = 0.01;
constexpr double RateEpsilon = 1e-9;
// A share's version consists of the planner's term and a counter in the low bits. So the shares of
// a newer planner replace those that an older one announced but did not record.
constexpr int VersionCounterBits = 32;

/// Part of a grant.
struct Amount {
  int concurrency = 0;
  double tokens = 0; ///< per second
  bool empty() const { return concurrency == 0 && tokens <= 0; }
  friend bool operator==(const Amount &, const Amount &) = default;
};

Amount componentwiseMin(const Amount &a, const Amount &b) {
  return {std::min(a.concurrency, b.concurrency), std::min(a.tokens, b.tokens)};
}

/// The share that one host process holds of a plan.
struct HolderShare {
  Amount recorded;           ///< as in the stored table; the process never uses more
  std::uint64_t version = 0; ///< version that `recorded` is announced with
  bool lowering = false;     ///< `lowered` is announced instead of `recorded`
  Amount lowered;
  std::uint64_t loweredVersion = 0;
  Instant loweredAt;
  bool acknowledged = false; ///< the process uses no more than `lowered`
  bool ended = false;
};
using HolderShares = std::map<HolderId, HolderShare>;

/// The shares of a plan as stored in shares/<plan>.
struct Table {
  std::uint64_t term = 0;
  std::string writeId; ///< identifies the write, so that its writer recognises it when reading back
  std::uint64_t grantRevision = 0; ///< revision of the lists that the grant is from
  Amount grant;
  std::map<HolderId, Amount> holders;
};

std::string encode(const Table &t) {
  json::array holders;
  for (auto &[id, it] : t.holders)
    holders.push_back(json::object{{"host", id.host.value},
                                   {"incarnation", id.incarnation},
                                   {"concurrency", it.concurrency},
                                   {"tokens_per_second", it.tokens}});
  return json::serialize(json::object{{"term", t.term},
                                      {"write_id", t.writeId},
                                      {"grant_revision", t.grantRevision},
                                      {"grant_concurrency", t.grant.concurrency},
                                      {"grant_tokens_per_second", t.grant.tokens},
                                      {"holders", holders}});
}

std::string textOf(const json::value &v) {
  auto &s = v.as_string();
  return {s.data(), s.size()};
}

/// Returns nothing if the text is not a valid table.
std::optional<Table> decode(const std::string &text) {
  json::error_code ec;
  auto v = json::parse(text, ec);
  if (ec)
    return std::nullopt;
  try {
    auto &o = v.as_object();
    Table t{.term = o.at("term").to_number<std::uint64_t>(),
            .writeId = textOf(o.at("write_id")),
            .grantRevision = o.at("grant_revision").to_number<std::uint64_t>(),
            .grant = {o.at("grant_concurrency").to_number<int>(),
                      o.at("grant_tokens_per_second").to_number<double>()}};
    for (auto &it : o.at("holders").as_array()) {
      HolderId id{HostName(textOf(it.at("host"))), it.at("incarnation").to_number<std::uint64_t>()};
      t.holders[id] = {it.at("concurrency").to_number<int>(),
                       it.at("tokens_per_second").to_number<double>()};
    }
    return t;
  } catch (const std::exception &) {
    return std::nullopt; // a field is missing or has the wrong type
  }
}

/// Last report of a host process about one plan.
struct Report {
  PlanUse use;
  double demand = 0;
};

/// A host process that reports to this planner.
struct Holder {
  Instant lastReportAt;
  std::map<PlanName, Report> reports;
};

/// The planner's state of one plan.
struct PlanState {
  std::uint64_t objectVersion = 0;
  std::uint64_t grantRevision = 0; ///< newest lists that any planner used for this table
  Amount grant;                    ///< as recorded
  HolderShares holderShares;
  bool writtenInTerm = false;       ///< written in this term, so older planners can no longer write
  bool busy = false;                ///< a write or read is under way
  bool blocked = false;             ///< a newer planner has written
  bool dirty = true;                ///< changed since the last call of rebalancePlan
  bool writeOutcomeUnknown = false; ///< a write at objectVersion may still take effect
  Instant nextWriteAt;              ///< earliest time of the next rebalancing write
  Table pending;                    ///< table of the write under way
};

/// Shares that the planner wants the live holders of a plan to have.
struct DesiredShares {
  std::map<HolderId, int> targets;
  std::vector<HolderId> receivers; ///< most urgent first
  bool urgent = false;             ///< a host with demand has no share
};

int sumRecordedConcurrency(const HolderShares &holderShares) {
  return std::accumulate(holderShares.begin(), holderShares.end(), 0,
                         [](int n, auto &it) { return n + it.second.recorded.concurrency; });
}

} // namespace

struct ShareTable::Impl : std::enable_shared_from_this<ShareTable::Impl> {
  Impl(Env &env, Guards guards) : env(env), guards(guards) {}

  Env &env;
  Guards guards;
  ListsPtr lists;
  std::uint64_t term = 0;
  std::uint64_t leadershipEpoch = 0; ///< replies to store calls of an earlier term are dropped
  std::uint64_t versionCounter = 0;
  bool leading = false;
  bool loaded = false;
  std::map<PlanName, PlanState> plans;
  std::map<HolderId, Holder> holders;
  /// By host; older incarnations have ended as well.
  std::map<HostName, std::uint64_t> newestEndedIncarnation;
  /// Cache of the shares announced to each holder. The hosts' long polls read them several times a
  /// second, and they seldom change. sharesOf builds a missing entry.
  mutable std::map<HolderId, std::vector<HostShare>> announced;
  /// Plan of the last write. The next tick starts after it, so that all plans share the write
  /// budget.
  PlanName lastWrittenPlan;
  double writeBudget = 1;
  Instant budgetRefilledAt;
  Instant platformRetryAt;

  // ---- Leadership ------------------------------------------------------------------------------

  void lead(std::uint64_t newTerm) {
    resign();
    term = newTerm;
    leading = true;
    versionCounter = 0;
    read();
  }

  void resign() {
    ++leadershipEpoch;
    leading = false;
    loaded = false;
    plans.clear();
    holders.clear();
    announced.clear();
  }

  /// Wraps a callback so that it does nothing after this object or the current term has ended.
  template <class F> auto guarded(F f) {
    return [self = weak_from_this(), at = leadershipEpoch, f](auto &&...args) {
      auto impl = self.lock();
      if (impl && impl->leadershipEpoch == at)
        f(*impl, args...);
    };
  }

  void read() {
    env.platform().list(
        std::string(SharesPrefix),
        guarded([](Impl &impl, StoreStatus status, const std::vector<StoreObject> &objects) {
          impl.onRead(status, objects);
        }));
  }

  void onRead(StoreStatus status, const std::vector<StoreObject> &objects) {
    if (status != StoreStatus::Ok) {
      env.after(config::ShareRetryInterval, guarded([](Impl &impl) { impl.read(); }));
      return;
    }
    for (auto &it : objects)
      loadStoredTable(plans[PlanName(it.key.substr(SharesPrefix.size()))], it);
    loaded = true;
  }

  /// Loads a plan's stored table. Its shares are announced only once written in this term.
  void loadStoredTable(PlanState &state, const StoreObject &object) {
    auto table = decode(object.value).value_or(Table{});
    state.objectVersion = object.version;
    state.grantRevision = std::max(state.grantRevision, table.grantRevision);
    state.grant = table.grant;
    state.blocked = table.term > term;
    state.writtenInTerm = false;
    state.writeOutcomeUnknown = false;
    state.dirty = true;
    announced.clear();
    state.holderShares.clear();
    for (auto &[id, amount] : table.holders)
      state.holderShares[id] = {.recorded = amount, .ended = hasEnded(id)};
  }

  // ---- Reports ---------------------------------------------------------------------------------

  bool hasEnded(const HolderId &id) const {
    auto it = newestEndedIncarnation.find(id.host);
    return it != newestEndedIncarnation.end() && id.incarnation <= it->second;
  }

  void onSync(const HolderId &id, const std::vector<PlanUse> &uses) {
    if (hasEnded(id))
      return;
    auto [entry, added] = holders.try_emplace(id);
    auto &holder = entry->second;
    holder.lastReportAt = env.now();
    if (added) {
      if (id.incarnation > 0) // a newer process of a host proves that the former ones have ended
        onHolderEnded({id.host, id.incarnation - 1});
      markAllDirty();
    }
    for (auto &use : uses) {
      auto &report = holder.reports[use.plan];
      bool same = use.inFlight == report.use.inFlight && use.waiting == report.use.waiting;
      report.use = use;
      report.demand = std::max<double>(use.inFlight + use.waiting, report.demand * DemandDecay);
      auto plan = plans.find(use.plan);
      if (plan == plans.end())
        continue;
      plan->second.dirty |= !same || use.waiting > 0;
      acknowledge(plan->second, id, use.shareVersion);
    }
  }

  void acknowledge(PlanState &state, const HolderId &id, std::uint64_t version) {
    auto it = state.holderShares.find(id);
    if (it == state.holderShares.end() || !it->second.lowering || it->second.acknowledged)
      return;
    it->second.acknowledged = version >= it->second.loweredVersion;
    state.dirty |= it->second.acknowledged;
  }

  void onHolderEnded(const HolderId &id) {
    auto &newest = newestEndedIncarnation[id.host];
    newest = std::max(newest, id.incarnation);
    std::erase_if(holders, [&](auto &it) { return hasEnded(it.first); });
    std::erase_if(announced, [&](auto &it) { return hasEnded(it.first); });
    for (auto &[plan, state] : plans)
      for (auto &[holder, it] : state.holderShares)
        if (!it.ended && hasEnded(holder)) {
          it.ended = true;
          state.dirty = true;
        }
  }

  void markAllDirty() {
    for (auto &[plan, state] : plans)
      state.dirty = true;
  }

  // ---- Decisions -------------------------------------------------------------------------------

  void tick() {
    refillBudget();
    if (!leading || !loaded || !lists || env.now() < platformRetryAt)
      return;
    for (auto &[name, plan] : lists->plans)
      plans.try_emplace(name);
    std::vector<PlanName> order;
    for (auto &[name, state] : plans)
      order.push_back(name);
    std::rotate(order.begin(), std::upper_bound(order.begin(), order.end(), lastWrittenPlan),
                order.end());
    for (auto &it : order)
      if (rebalancePlan(it, plans.at(it)))
        lastWrittenPlan = it;
  }

  void refillBudget() {
    auto dt = toSeconds(env.now() - budgetRefilledAt);
    budgetRefilledAt = env.now();
    writeBudget =
        std::min(config::ShareWritesPerSecond, writeBudget + dt * config::ShareWritesPerSecond);
  }

  Grant grantOf(const PlanName &plan) const {
    auto it = lists->plans.find(plan);
    return it == lists->plans.end() ? Grant{} : it->second.grant;
  }

  /// Takes the next step for a plan: announces lowered shares, or writes a new table. Returns true
  /// if a write was sent.
  bool rebalancePlan(const PlanName &plan, PlanState &state) {
    bool olderLists = lists->revision < state.grantRevision;
    if (state.busy || state.blocked || !state.dirty || olderLists || writeBudget < 1)
      return false;
    auto grant = grantOf(plan);
    auto desired = computeDesiredShares(plan, state, grant);
    bool isDue = env.now() >= state.nextWriteAt;
    if (!isDue && !desired.urgent && state.writtenInTerm)
      return false;
    if (state.writtenInTerm)
      startLowering(plan, state, grant, desired);
    auto table = nextTable(state, grant, desired);
    if (state.objectVersion == 0 && table.holders.empty())
      return false; // a new plan has no table before its first host
    if (table.holders.empty() && !lists->plans.contains(plan)) {
      eraseTable(plan, state);
      return true;
    }
    if (state.writtenInTerm && !shouldWrite(state, table)) {
      state.dirty = hasPendingRebalance(state, grant, desired);
      return false;
    }
    write(plan, state, std::move(table));
    return true;
  }

  bool isLive(const HolderId &id) const {
    auto it = holders.find(id);
    return it != holders.end() && env.now() - it->second.lastReportAt <= config::MemberTimeout;
  }

  static int recordedOf(const PlanState &state, const HolderId &id) {
    auto it = state.holderShares.find(id);
    return it == state.holderShares.end() ? 0 : it->second.recorded.concurrency;
  }

  const Report &reportOf(const HolderId &id, const PlanName &plan) const {
    static const Report None;
    auto holder = holders.find(id);
    if (holder == holders.end())
      return None;
    auto it = holder->second.reports.find(plan);
    return it == holder->second.reports.end() ? None : it->second;
  }

  /// Divides the grant, without the shares of silent processes, among the live holders.
  DesiredShares computeDesiredShares(const PlanName &plan, const PlanState &state,
                                     const Grant &grant) const {
    int available = grant.concurrency;
    for (auto &[id, it] : state.holderShares)
      if (!it.ended && !isLive(id))
        available -= it.recorded.concurrency; // a silent process keeps its share until it has ended
    std::vector<HolderId> ids;
    std::vector<HolderDemand> demands;
    for (auto &[id, it] : holders) {
      if (!isLive(id))
        continue;
      ids.push_back(id);
      demands.push_back({.demand = static_cast<int>(std::lround(reportOf(id, plan).demand))});
    }
    auto seed = XXH64(plan.value.data(), plan.value.size(), 0);
    for (std::size_t i = 0; i < ids.size(); ++i)
      demands[i].order = XXH64(ids[i].host.value.data(), ids[i].host.value.size(), seed);
    auto rotation = env.now().time_since_epoch() / RotationInterval;
    auto units = divideUnits(available, demands, rotation);
    DesiredShares desired;
    for (std::size_t i = 0; i < ids.size(); ++i)
      desired.targets[ids[i]] = units[i];
    findReceivers(plan, state, desired);
    return desired;
  }

  /// Finds the holders whose share is to be raised: those with demand and no share first, then
  /// those whose share is used up, then those without demand or a share.
  void findReceivers(const PlanName &plan, const PlanState &state, DesiredShares &desired) const {
    std::vector<HolderId> saturated;
    std::vector<HolderId> idle;
    for (auto &[id, target] : desired.targets) {
      auto recorded = recordedOf(state, id);
      auto &report = reportOf(id, plan);
      if (target <= recorded)
        continue;
      if (recorded == 0 && report.demand > 0)
        desired.receivers.push_back(id);
      else if (report.use.waiting > 0 || (recorded > 0 && report.use.inFlight >= recorded))
        saturated.push_back(id);
      else if (recorded == 0)
        idle.push_back(id);
    }
    desired.urgent = !desired.receivers.empty();
    desired.receivers.insert(desired.receivers.end(), saturated.begin(), saturated.end());
    desired.receivers.insert(desired.receivers.end(), idle.begin(), idle.end());
  }

  /// The given concurrency with its proportional part of the grant's token rate.
  static Amount proportional(int concurrency, const Grant &grant) {
    if (grant.concurrency == 0)
      return {};
    return {concurrency, grant.tokensPerSecond * concurrency / grant.concurrency};
  }

  /// Announces lower shares to as many donors as the receivers, or a lowered grant, require.
  void startLowering(const PlanName &plan, PlanState &state, const Grant &grant,
                     const DesiredShares &desired) {
    int need = unitsToLower(state, grant, desired);
    std::vector<std::pair<int, HolderId>> donors;
    for (auto &[id, target] : desired.targets) {
      auto it = state.holderShares.find(id);
      if (it == state.holderShares.end() || it->second.lowering || it->second.ended)
        continue;
      donors.emplace_back(it->second.recorded.concurrency - target, id);
    }
    std::sort(donors.rbegin(), donors.rend());
    for (auto &[excess, id] : donors) {
      auto &it = state.holderShares[id];
      auto units = std::clamp(need, 0, std::max(excess, 0));
      need -= units;
      lowerShare(plan, id, it, proportional(it.recorded.concurrency - units, grant));
    }
  }

  /// Units that have to be freed beyond those that are already being freed.
  int unitsToLower(const PlanState &state, const Grant &grant, const DesiredShares &desired) const {
    int need = sumRecordedConcurrency(state.holderShares) - grant.concurrency;
    for (auto &it : desired.receivers)
      need += desired.targets.at(it) - recordedOf(state, it);
    for (auto &[id, it] : state.holderShares) {
      if (it.ended)
        need -= it.recorded.concurrency;
      else if (it.lowering && shouldExpectLowering(id, it))
        need -= it.recorded.concurrency - it.lowered.concurrency;
    }
    return need;
  }

  /// True if the holder has acknowledged its lowered share or is expected to do so soon.
  bool shouldExpectLowering(const HolderId &id, const HolderShare &it) const {
    return it.acknowledged || (isLive(id) && env.now() - it.loweredAt < LoweringTimeout);
  }

  /// Announces a lower share, unless `amount` is not less than the recorded one.
  void lowerShare(const PlanName &plan, const HolderId &id, HolderShare &it, const Amount &amount) {
    auto lowered = componentwiseMin(it.recorded, amount);
    bool isLess = lowered.concurrency < it.recorded.concurrency ||
                  lowered.tokens < it.recorded.tokens * (1 - RateEpsilon);
    if (!isLess)
      return;
    announced.erase(id);
    it.lowering = true;
    it.lowered = lowered;
    it.loweredVersion = nextVersion();
    it.loweredAt = env.now();
    it.acknowledged = !guards.lowerBeforeRaise;
    env.decision({.kind = DecisionKind::Quota,
                  .plan = plan,
                  .chosen = id.host.value,
                  .reason = "lower to " + std::to_string(lowered.concurrency)});
  }

  std::uint64_t nextVersion() { return (term << VersionCounterBits) | ++versionCounter; }

  /// The next table to record. It leaves out ended holders, applies all acknowledged lowerings, and
  /// assigns the free amount to the receivers, then to the other holders below their target.
  Table nextTable(const PlanState &state, const Grant &grant, const DesiredShares &desired) {
    Table t{.term = term,
            .writeId = std::to_string(term) + "-" + std::to_string(env.random()),
            .grantRevision = lists->revision,
            .grant = {grant.concurrency, grant.tokensPerSecond}};
    auto free = t.grant;
    for (auto &[id, it] : state.holderShares) {
      if (it.ended)
        continue;
      auto amount = it.acknowledged ? it.lowered : it.recorded;
      free.concurrency -= amount.concurrency;
      free.tokens -= amount.tokens;
      if (!amount.empty() || !it.acknowledged)
        t.holders[id] = amount;
    }
    for (auto &it : desired.receivers)
      raiseShare(state, t, free, grant, it, desired.targets.at(it));
    for (auto &[id, target] : desired.targets)
      raiseShare(state, t, free, grant, id, target);
    std::erase_if(t.holders, [](auto &it) { return it.second.empty(); });
    return t;
  }

  /// Raises a holder's share in table `t` towards `target` units, as far as `free` allows.
  static void raiseShare(const PlanState &state, Table &t, Amount &free, const Grant &grant,
                         const HolderId &id, int target) {
    auto it = state.holderShares.find(id);
    if (it != state.holderShares.end() && (it->second.lowering || it->second.ended))
      return;
    auto &amount = t.holders[id];
    auto units = std::clamp(target - amount.concurrency, 0, std::max(free.concurrency, 0));
    amount.concurrency += units;
    free.concurrency -= units;
    auto missing = proportional(amount.concurrency, grant).tokens - amount.tokens;
    auto tokens = std::clamp(missing, 0.0, std::max(free.tokens, 0.0));
    amount.tokens += tokens;
    free.tokens -= tokens;
  }

  /// True if the table is worth a write: it records a lowering, the end of a holder or a changed
  /// grant, or raises a share (a token rate by more than RateTolerance). The grant is recorded so
  /// that a planner with older lists does not raise shares beyond it.
  static bool shouldWrite(const PlanState &state, const Table &table) {
    if (!(table.grant == state.grant))
      return true;
    for (auto &[id, it] : state.holderShares)
      if (it.ended || it.acknowledged)
        return true;
    return std::any_of(table.holders.begin(), table.holders.end(), [&](auto &entry) {
      auto it = state.holderShares.find(entry.first);
      auto oldAmount = it == state.holderShares.end() ? Amount{} : it->second.recorded;
      return entry.second.concurrency > oldAmount.concurrency ||
             entry.second.tokens > oldAmount.tokens * (1 + RateTolerance) + RateTolerance;
    });
  }

  /// True if the plan needs further steps even without a new report.
  bool hasPendingRebalance(const PlanState &state, const Grant &grant,
                           const DesiredShares &desired) const {
    return !desired.receivers.empty() ||
           sumRecordedConcurrency(state.holderShares) > grant.concurrency;
  }

  // ---- Writing ---------------------------------------------------------------------------------

  static std::string keyOf(const PlanName &plan) { return std::string(SharesPrefix) + plan.value; }

  void write(const PlanName &plan, PlanState &state, Table table) {
    writeBudget -= 1;
    state.busy = true;
    state.dirty = false;
    state.nextWriteAt = env.now() + config::SharePlanInterval;
    state.pending = std::move(table);
    env.platform().put(keyOf(plan), encode(state.pending), state.objectVersion,
                       guarded([plan](Impl &impl, StoreStatus status, const StoreObject &object) {
                         impl.onWritten(plan, status, object.version);
                       }));
  }

  void onWritten(const PlanName &plan, StoreStatus status, std::uint64_t version) {
    auto &state = plans.at(plan);
    bool assumeWritten = status == StoreStatus::Unknown && !guards.recogniseOwnWrite;
    if (status == StoreStatus::Ok || assumeWritten)
      return commit(plan, state, version);
    if (status == StoreStatus::Unknown || status == StoreStatus::Conflict) {
      state.writeOutcomeUnknown |= status == StoreStatus::Unknown;
      return readBack(plan);
    }
    state.busy = false;
    state.dirty = true;
    onPlatformUnavailable();
  }

  void readBack(const PlanName &plan) {
    env.platform().get(keyOf(plan),
                       guarded([plan](Impl &impl, StoreStatus status, const StoreObject &object) {
                         impl.onReadBack(plan, status, object);
                       }));
  }

  void onReadBack(const PlanName &plan, StoreStatus status, const StoreObject &object) {
    auto &state = plans.at(plan);
    bool isMissing = status == StoreStatus::NotFound;
    if (status != StoreStatus::Ok && !isMissing) {
      env.after(config::ShareRetryInterval, guarded([plan](Impl &impl) { impl.readBack(plan); }));
      return;
    }
    auto table = isMissing ? std::nullopt : decode(object.value);
    if (table && table->writeId == state.pending.writeId)
      return commit(plan, state, object.version);
    state.busy = false;
    state.dirty = true;
    if (object.version != state.objectVersion)
      loadStoredTable(state, object);
  }

  /// Takes over the pending table, which is now stored, and announces its shares.
  void commit(const PlanName &plan, PlanState &state, std::uint64_t version) {
    state.objectVersion = version;
    state.grantRevision = std::max(state.grantRevision, state.pending.grantRevision);
    state.grant = state.pending.grant;
    state.busy = false;
    state.writeOutcomeUnknown = false;
    auto old = std::exchange(state.holderShares, {});
    for (auto &[id, amount] : state.pending.holders) {
      auto it = old.find(id);
      HolderShare held = it == old.end() ? HolderShare{} : it->second;
      if (held.acknowledged && held.lowered == amount)
        held = {.recorded = amount, .version = held.loweredVersion, .ended = held.ended};
      else if (!state.writtenInTerm || !(held.recorded == amount))
        held = {.recorded = amount, .version = nextVersion(), .ended = held.ended};
      held.ended |= hasEnded(id);
      if (it == old.end() || held.version != it->second.version)
        announced.erase(id);
      state.holderShares[id] = held;
    }
    for (auto &[id, it] : old)
      if (!state.holderShares.contains(id))
        announced.erase(id);
    state.writtenInTerm = true;
    state.dirty = true;
    env.decision({.kind = DecisionKind::Quota,
                  .plan = plan,
                  .chosen = std::to_string(version),
                  .reason = "shares recorded"});
  }

  void eraseTable(const PlanName &plan, PlanState &state) {
    writeBudget -= 1;
    state.busy = true;
    env.platform().erase(keyOf(plan), state.objectVersion,
                         guarded([plan](Impl &impl, StoreStatus status, const StoreObject &) {
                           impl.onErased(plan, status);
                         }));
  }

  void onErased(const PlanName &plan, StoreStatus status) {
    if (status == StoreStatus::Ok) {
      plans.erase(plan);
      announced.clear();
      return;
    }
    if (status == StoreStatus::Refused || status == StoreStatus::Unreachable) {
      plans.at(plan).busy = false;
      return onPlatformUnavailable();
    }
    plans.at(plan).pending = {};
    readBack(plan);
  }

  /// Handles an outage of the store, in which no share can move: cancels lowerings under way,
  /// unless the grant itself was lowered or an earlier write may still take effect.
  void onPlatformUnavailable() {
    platformRetryAt = env.now() + config::ShareRetryInterval;
    for (auto &[plan, state] : plans) {
      if (state.busy || state.writeOutcomeUnknown ||
          sumRecordedConcurrency(state.holderShares) > grantOf(plan).concurrency)
        continue;
      for (auto &[id, it] : state.holderShares)
        if (it.lowering) {
          announced.erase(id);
          it = {.recorded = it.recorded, .version = nextVersion(), .ended = it.ended};
        }
    }
  }

  std::vector<HolderId> holdersOfShares() const {
    std::set<HolderId> ids;
    for (auto &[plan, state] : plans)
      for (auto &[id, it] : state.holderShares)
        if (!it.ended)
          ids.insert(id);
    return {ids.begin(), ids.end()};
  }

  bool hasAcknowledged(const HolderId &id) const {
    return std::none_of(plans.begin(), plans.end(), [&](auto &entry) {
      auto it = entry.second.holderShares.find(id);
      return it != entry.second.holderShares.end() && it->second.lowering &&
             !it->second.acknowledged;
    });
  }

  std::vector<HostShare> sharesOf(const HolderId &id) const {
    auto [entry, added] = announced.try_emplace(id);
    if (added)
      entry->second = collectShares(id);
    return entry->second;
  }

  std::vector<HostShare> collectShares(const HolderId &id) const {
    std::vector<HostShare> list;
    for (auto &[plan, state] : plans) {
      auto it = state.holderShares.find(id);
      if (!state.writtenInTerm || it == state.holderShares.end())
        continue;
      auto &held = it->second;
      auto &amount = held.lowering ? held.lowered : held.recorded;
      list.push_back({.plan = plan,
                      .version = held.lowering ? held.loweredVersion : held.version,
                      .concurrency = amount.concurrency,
                      .tokensPerSecond = amount.tokens});
    }
    return list;
  }
};

ShareTable::ShareTable(Env &env, Guards guards) : impl(std::make_shared<Impl>(env, guards)) {}

ShareTable::~ShareTable() = default;

void ShareTable::lead(std::uint64_t term) { impl->lead(term); }

void ShareTable::resign() { impl->resign(); }

void ShareTable::setLists(ListsPtr lists) {
  impl->lists = std::move(lists);
  impl->markAllDirty();
}

std::vector<HolderId> ShareTable::holders() const { return impl->holdersOfShares(); }

void ShareTable::onSync(const HolderId &holder, const std::vector<PlanUse> &uses) {
  impl->onSync(holder, uses);
}

void ShareTable::onHolderEnded(const HolderId &holder) { impl->onHolderEnded(holder); }

void ShareTable::tick() { impl->tick(); }

std::vector<HostShare> ShareTable::sharesOf(const HolderId &holder) const {
  return impl->sharesOf(holder);
}

bool ShareTable::hasAcknowledged(const HolderId &holder) const {
  return impl->hasAcknowledged(holder);
}

int ShareTable::recordedConcurrency(const PlanName &plan) const {
  auto it = impl->plans.find(plan);
  return it == impl->plans.end() ? 0 : sumRecordedConcurrency(it->second.holderShares);
}

bool ShareTable::isReady() const { return impl->loaded; }

} // namespace catkin
