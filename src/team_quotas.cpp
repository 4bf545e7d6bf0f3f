#include "team_quotas_p.h"

#include "config.h"
#include "log_p.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace catkin {

namespace {

constexpr int MaxIssuerAsks = 2; // since a datagram may be lost; then the second host is asked once
constexpr int MaxRounds = 2;     // if another host becomes the issuer meanwhile
constexpr Duration NoAnswerRetryAfter = std::chrono::milliseconds(300);
// Other hosts take this one for silent after 1.8 s without a heartbeat, that is after a pause of
// 1.3 s, and may then issue its quotas.
constexpr Duration MaxPause = std::chrono::milliseconds(1200);
// After a pause, this host takes the others for silent until their heartbeats have arrived.
constexpr Duration PeersReturnTime = config::FleetHeartbeat + std::chrono::milliseconds(100);
// A denial is not applied longer, since the limit may have been raised.
constexpr Duration MaxHold = std::chrono::seconds(2);
// Grants are kept while the same question may arrive again.
constexpr Duration GrantRetention = std::chrono::seconds(2);
constexpr std::size_t MaxKeptGrants = 16384;
// Roles of teams without requests are checked in this many heartbeats, which saves processor time
// in large fleets.
constexpr std::size_t RoleCheckParts = 4;

/// A quota with the configuration that it is from.
struct VersionedQuota {
  TeamQuota quota;
  std::uint64_t version = 0;
};

/// What a denial tells about the bucket: it has no room for more than `room` at `since`, and that
/// grows at most by `perSecond`.
struct Hold {
  TeamQuota quota; ///< another one ends the hold
  QuotaResult result = QuotaResult::Exceeded;
  double room = 0;
  double perSecond = 0;
  Instant since;
  Instant until;
};

} // namespace

struct TeamQuotas::Impl : std::enable_shared_from_this<Impl> {
  struct Ask {
    TeamName team;
    VersionedQuota known;
    double cost = 0;
    Done done;
    Address issuer; ///< that has been asked
    int sends = 0;  ///< since then
    int rounds = 0; ///< issuers that have been asked
    int total = 0;  ///< messages sent
  };
  using Question = std::pair<Address, std::uint64_t>;

  CoreEnv &env;
  FleetView &view;
  const FleetPeers &peers;
  TeamQuotasHooks hooks;
  QuotaIssuer issuer;
  std::map<std::uint64_t, Ask> asks;
  std::uint64_t lastId;
  std::map<TeamName, Hold> holds;
  std::set<Question> granted;
  std::deque<std::pair<Instant, Question>> grantTimes; ///< of `granted`, oldest first
  Instant lastBootTime;
  Instant trustsPeersFrom; ///< after a pause
  std::size_t heartbeats = 0;

  Impl(CoreEnv &env, FleetView &view, const FleetPeers &peers, QuotaOptions options,
       TeamQuotasHooks h)
      : env(env), view(view), peers(peers), hooks(std::move(h)), issuer(options, env.now()),
        lastId(randomQuestionId(env)), lastBootTime(env.bootTime()) {}

  /// Returns the hosts ranked first and second for a team's quota, as far as there are any. This
  /// host has an empty address.
  std::vector<Address> rank(const TeamName &team) const {
    return peers.responsibleHosts("quota/" + team.value, 2, hooks.leaving(), env.now());
  }

  /// Detects that this process or machine was stopped. Another host may have issued the quotas.
  void noticePause() {
    const Instant boot = env.bootTime();
    const Duration pause = boot - std::exchange(lastBootTime, boot);
    if (pause <= MaxPause)
      return;
    if (view.config() && !view.config()->teams.empty())
      logLine(LogLevel::Warn, "this host was stopped and gives up the quotas that it issued",
              {{"for_ms", toMillis(pause)}});
    issuer.onInterrupted();
    trustsPeersFrom = env.now() + PeersReturnTime;
  }

  /// Returns the newer of the team's quota as another host and as this one knows it.
  VersionedQuota newest(const TeamName &team, const VersionedQuota &known) const {
    auto *config = view.config();
    auto *own = config && config->version >= known.version ? config->teams.find(team) : nullptr;
    return own ? VersionedQuota{own->quota, config->version} : known;
  }

  /// Returns this host's role for a team; empty if it issues nothing of the quota.
  std::optional<QuotaRole> roleFor(const std::vector<Address> &ranked) const {
    const bool first = ranked.empty() || ranked[0].empty();
    const bool second = !first && ranked.size() > 1 && ranked[1].empty();
    const double alive = peers.aliveShare(env.now());
    // On a side of a partition without a share, two emergency allowances would be too much.
    const bool mayIssue = first || (second && issuingShare(alive) > 0);
    if (!mayIssue || env.now() < trustsPeersFrom)
      return std::nullopt;
    return QuotaRole{.first = first, .alive = alive};
  }

  QuotaDecision decide(const TeamName &team, const VersionedQuota &known, double cost,
                       const std::vector<Address> &ranked) {
    const auto role = roleFor(ranked);
    if (!role)
      return {.result = QuotaResult::Unknown, .retryAfter = NoAnswerRetryAfter};
    const TeamQuota quota = newest(team, known).quota;
    if (!quota.isLimited())
      return {.result = QuotaResult::Granted};
    return issuer.issue(team, quota, cost, *role, env.now());
  }

  void acquire(const Team &team, double cost, Done done) {
    noticePause();
    if (const auto denial = findHold(team, cost))
      return done(*denial);
    const VersionedQuota known{team.quota, view.config() ? view.config()->version : 0};
    const auto ranked = rank(team.name);
    if (ranked.empty() || ranked[0].empty())
      return done(decide(team.name, known, cost, ranked));
    const std::uint64_t id = ++lastId;
    asks.emplace(id, Ask{.team = team.name, .known = known, .cost = cost, .done = std::move(done)});
    send(id);
  }

  /// Asks the issuer, again if no answer comes, then the host that is ranked second.
  void send(std::uint64_t id) {
    auto &ask = asks.at(id);
    const auto ranked = rank(ask.team);
    // Otherwise the emergency allowance of the host behind a new issuer would be used, too.
    if (!ranked.empty() && ranked[0] != ask.issuer && ask.rounds++ < MaxRounds) {
      ask.issuer = ranked[0];
      ask.sends = 0;
    }
    const std::size_t rank = ask.sends++ < MaxIssuerAsks ? 0 : 1;
    if (ask.sends > MaxIssuerAsks + 1 || (rank > 0 && ranked.size() <= rank))
      return finish(id, {.result = QuotaResult::Unknown, .retryAfter = NoAnswerRetryAfter});
    if (ranked.size() <= rank || ranked[rank].empty())
      return finish(id, decide(ask.team, ask.known, ask.cost, ranked));
    hooks.send(ranked[rank],
               QuotaRequest{id, ask.team, ask.known.quota, ask.known.version, ask.cost});
    env.after(config::FleetPermitTimeout, [self = shared_from_this(), id, n = ++ask.total] {
      auto it = self->asks.find(id);
      if (it != self->asks.end() && it->second.total == n)
        self->send(id);
    });
  }

  void finish(std::uint64_t id, const QuotaDecision &decision) {
    auto node = asks.extract(id);
    node.mapped().done(decision);
  }

  /// Refuses a request that the issuer would deny, as far as an earlier denial tells.
  std::optional<QuotaDecision> findHold(const Team &team, double cost) {
    auto it = holds.find(team.name);
    if (it == holds.end())
      return std::nullopt;
    const auto &hold = it->second;
    const Instant now = env.now();
    if (now >= hold.until || hold.quota != team.quota) {
      holds.erase(it);
      return std::nullopt;
    }
    const double room = hold.room + hold.perSecond * toSeconds(now - hold.since);
    if (cost <= room)
      return std::nullopt;
    const Duration wait = hold.perSecond > 0 ? fromSeconds((cost - room) / hold.perSecond)
                                             : Duration(hold.until - now);
    return QuotaDecision{hold.result, wait};
  }

  void onDenied(const Ask &ask, const QuotaDecision &decision) {
    const Instant now = env.now();
    Hold hold{.quota = ask.known.quota,
              .result = decision.result,
              .room = 0,
              .perSecond = 0,
              .since = now,
              .until = now + std::min<Duration>(decision.retryAfter, MaxHold)};
    if (decision.result == QuotaResult::Exceeded) {
      hold.perSecond = hold.quota.perSecond;
      hold.room = ask.cost - hold.perSecond * toSeconds(decision.retryAfter);
    } else {
      hold.room = std::max(ask.cost - 1, 0.0);
    }
    holds.insert_or_assign(ask.team, hold);
  }

  void onRequest(const QuotaRequest &request, const Address &from) {
    noticePause();
    const Question question{from, request.id};
    if (granted.count(question) > 0)
      return hooks.send(from, QuotaReply{request.id, {.result = QuotaResult::Granted}});
    const auto decision = decide(request.team, {request.quota, request.configVersion}, request.cost,
                                 rank(request.team));
    if (decision.result == QuotaResult::Granted)
      keepGrant(question);
    hooks.send(from, QuotaReply{request.id, decision});
  }

  void keepGrant(const Question &question) {
    granted.insert(question);
    grantTimes.emplace_back(env.now(), question);
    dropGrants();
  }

  void dropGrants() {
    while (!grantTimes.empty() && (grantTimes.size() > MaxKeptGrants ||
                                   env.now() - grantTimes.front().first > GrantRetention)) {
      granted.erase(grantTimes.front().second);
      grantTimes.pop_front();
    }
  }

  void onReply(const QuotaReply &reply) {
    auto it = asks.find(reply.id);
    if (it == asks.end())
      return; // given up or answered before
    auto &ask = it->second;
    if (reply.decision.result == QuotaResult::Unknown && ask.sends <= MaxIssuerAsks) {
      ask.sends = MaxIssuerAsks; // that host does not take itself for the issuer
      return send(reply.id);
    }
    if (reply.decision.result != QuotaResult::Granted)
      onDenied(ask, reply.decision);
    finish(reply.id, reply.decision);
  }

  void expire() {
    noticePause();
    dropGrants();
    std::erase_if(holds, [&](auto &it) { return env.now() >= it.second.until; });
    checkRoles();
    issuer.expire(env.now());
  }

  /// The issuer has to know since when it issues the quotas of teams that send nothing for a while.
  void checkRoles() {
    const std::size_t part = heartbeats++ % RoleCheckParts;
    auto *config = view.config();
    if (!config || env.now() < trustsPeersFrom)
      return;
    const double alive = peers.aliveShare(env.now());
    std::size_t n = 0;
    for (auto &[name, team] : config->teams.all()) {
      if (n++ % RoleCheckParts != part || !team.quota.isLimited())
        continue;
      const auto ranked = rank(name);
      const bool first = ranked.empty() || ranked[0].empty();
      issuer.setRole(name, team.quota, {.first = first, .alive = alive}, env.now());
    }
  }
};

TeamQuotas::TeamQuotas(CoreEnv &env, FleetView &view, const FleetPeers &peers, QuotaOptions options,
                       TeamQuotasHooks hooks)
    : impl(std::make_shared<Impl>(env, view, peers, options, std::move(hooks))) {}

TeamQuotas::~TeamQuotas() = default;

void TeamQuotas::acquire(const Team &team, double cost, Done done) {
  impl->acquire(team, cost, std::move(done));
}

void TeamQuotas::onMessage(const FleetMessage &message, const Address &from) {
  if (auto *m = std::get_if<QuotaRequest>(&message))
    impl->onRequest(*m, from);
  else if (auto *m = std::get_if<QuotaReply>(&message))
    impl->onReply(*m);
}

void TeamQuotas::expire() { impl->expire(); }

} // namespace catkin
