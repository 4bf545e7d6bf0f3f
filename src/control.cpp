#include "control_p.h"

#include "config.h"
#include "history_store_p.h"
#include "json_p.h"
#include "operator_state_p.h"

#include <algorithm>
#include <set>

namespace catkin {

namespace {

constexpr auto DrainsKey = "operator/drains"; // record of the drained endpoints

std::vector<ListedNode> filterByKind(const std::vector<ListedNode> &nodes, ListedKind kind) {
  std::vector<ListedNode> found;
  std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(found),
               [kind](auto &it) { return it.kind == kind; });
  return found;
}

bool hasSameVersions(const std::vector<HostShare> &a, const std::vector<HostShare> &b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](auto &x, auto &y) { return x.plan == y.plan && x.version == y.version; });
}

/// The fields of a member that the planner sends to other hosts. The revision is left out: it
/// changes often and only the planner needs it, to report it to operators.
Member publishedFields(Member m) {
  m.revision = 0;
  return m;
}

bool hasSamePublishedFields(const Member &a, const Member &b) {
  return a.host == b.host && a.incarnation == b.incarnation && a.callerAddress == b.callerAddress &&
         a.peerAddress == b.peerAddress && a.liveness == b.liveness && a.overloaded == b.overloaded;
}

} // namespace

struct Control::Impl : std::enable_shared_from_this<Control::Impl> {
  /// A sync request that waits on the planner until there is news for the host.
  struct PendingSync {
    SyncRequest request;
    Instant until;
    std::function<void(const SyncReply &)> done;
  };
  /// What the planner last received from one host and sent to it.
  struct HostSyncState {
    std::uint64_t incarnation = 0;
    std::uint64_t acknowledgedTable = 0;
    std::vector<HostShare> sentShares;
  };

  Env &env;
  ControlOptions options;
  ControlHooks hooks;
  Membership membership;
  Lease lease;
  Planner planner;
  ShareTable shares;
  ConfigSync config;
  HistoryStore history;

  bool stopped = false;
  // State of the planner.
  std::vector<PendingSync> pendingSyncs;
  std::map<HostName, HostSyncState> hostStates;
  std::map<HostName, std::vector<PlanUse>> planUses;
  std::set<EndpointName> drainedEndpoints;
  std::vector<Member> publishedMembers;
  std::uint64_t membersVersion = 0;
  std::vector<LeaseHolder> formerHolders;   ///< earlier planners that may still send orders
  std::vector<LeaseHolder> resignedHolders; ///< former holders whose last orders may arrive
  bool termStartPending = false;            ///< the lease is held, but the term has not started
  // State of every host.
  RouteTable table;
  std::uint64_t tableTerm = 0;
  std::uint64_t seenMembersVersion = 0;
  Instant lastPlannerReply;
  Instant lastRequestedSync;
  bool tableReceived = false;
  bool hostListRead = false;
  std::size_t contactTurn = 0;

  Impl(Env &env, ControlOptions o, ControlHooks h)
      : env(env), options(std::move(o)), hooks(std::move(h)),
        lease(
            env,
            {.host = options.self.host,
             .incarnation = options.self.incarnation,
             .address = options.self.peerAddress},
            [this](auto &mine) { onLeaseAcquired(mine); }, [this] { onLeaseLost(); }),
        planner(env, makePlannerOptions(options)), shares(env, options.guards),
        config(env, {.peers = options.peers, .guards = options.guards},
               [this](const ListsPtr &lists) { onLists(lists); }),
        history(
            env, [this] { return planner.saveHistory(); },
            [this](std::string_view text) { planner.restoreHistory(text); }) {}

  static PlannerOptions makePlannerOptions(const ControlOptions &options) {
    auto out = options.planner;
    out.host = options.self.host;
    out.guards = options.guards;
    return out;
  }

  void start() {
    lastPlannerReply = env.now();
    config.start();
    lease.start();
    readHostList();
    tick();
    syncLoop();
  }

  // ---- Configuration and host list ------------------------------------------------------------

  void onLists(const ListsPtr &lists) {
    planner.setLists(lists);
    shares.setLists(lists);
    options.self.revision = lists->revision;
    env.decision({.kind = DecisionKind::Config,
                  .chosen = std::to_string(lists->revision),
                  .reason = "lists in force"});
    if (hooks.listsApplied)
      hooks.listsApplied(lists);
  }

  void readHostList() {
    if (stopped)
      return;
    env.hostList().read([self = shared_from_this()](StoreStatus s, const auto &nodes) {
      if (s == StoreStatus::Ok && !self->stopped)
        self->onHostList(nodes);
      self->env.after(config::HostListInterval, [self] { self->readHostList(); });
    });
  }

  void onHostList(const std::vector<ListedNode> &nodes) {
    hostListRead = true;
    membership.setListedHosts(filterByKind(nodes, ListedKind::Host));
    planner.setEndpoints(filterByKind(nodes, ListedKind::Engine));
    if (hooks.nodesListed)
      hooks.nodesListed(nodes);
  }

  // ---- Planner side ----------------------------------------------------------------------------

  void onLeaseAcquired(const LeaseRecord &mine) {
    membership.startObserving(env.now());
    hostStates.clear();
    publishedMembers.clear();
    formerHolders = mine.formerHolders;
    resignedHolders.clear();
    termStartPending = true;
    startTermWhenReady();
  }

  /// Starts the term once this host has read the lists and the endpoints. A planner without them
  /// would refuse every request without need.
  void startTermWhenReady() {
    if (!termStartPending || !hostListRead || !config.isReady())
      return;
    termStartPending = false;
    planner.setOrderLimit(lease.validUntil());
    planner.lead(lease.newest().term, formerHolders.empty());
    shares.lead(lease.newest().term);
    history.lead(lease.newest().term);
    readDrains();
  }

  void readDrains() {
    env.platform().get(DrainsKey, [self = shared_from_this()](StoreStatus s, const auto &object) {
      if (s == StoreStatus::Ok)
        self->applyDrains(parseDrains(object.value));
    });
  }

  void applyDrains(const std::set<EndpointName> &next) {
    for (auto &it : drainedEndpoints)
      if (!next.contains(it))
        planner.drain(it, false);
    for (auto &it : next)
      planner.drain(it, true);
    drainedEndpoints = next;
  }

  static std::set<EndpointName> parseDrains(const std::string &text) {
    std::set<EndpointName> names;
    json::object object;
    if (!parseObject(text, object))
      return names;
    auto *list = object.if_contains("endpoints");
    if (list && list->is_array())
      for (auto &it : list->get_array())
        if (it.is_string())
          names.insert(EndpointName(std::string_view(it.get_string())));
    return names;
  }

  /// Adds or removes an endpoint in the record of drained endpoints. Failed writes, such as
  /// conflicts, are repeated up to `attempts` times in all.
  void recordDrain(const EndpointName &endpoint, bool on, int attempts,
                   const std::function<void(bool)> &done) {
    if (attempts == 0)
      return done(false);
    env.platform().get(DrainsKey, [self = shared_from_this(), endpoint, on, attempts,
                                   done](StoreStatus s, const StoreObject &object) {
      if (s != StoreStatus::Ok && s != StoreStatus::NotFound)
        return done(false);
      auto next = parseDrains(object.value);
      if (on)
        next.insert(endpoint);
      else
        next.erase(endpoint);
      json::array names;
      for (auto &it : next)
        names.emplace_back(it.value);
      auto text = json::serialize(json::object{{"endpoints", names}});
      self->env.platform().put(
          DrainsKey, text, object.version,
          [self, endpoint, on, attempts, next, done](StoreStatus s, const auto &) {
            // The change is idempotent, so a write of unknown outcome is repeated as well.
            if (s != StoreStatus::Ok)
              return self->recordDrain(endpoint, on, attempts - 1, done);
            self->applyDrains(next);
            done(true);
          });
    });
  }

  void onLeaseLost() {
    termStartPending = false;
    planner.resign();
    shares.resign();
    history.resign();
    for (auto &it : std::exchange(pendingSyncs, {}))
      it.done(makeNotPlannerReply());
  }

  void tick() {
    if (stopped)
      return;
    env.after(config::ControlTick, [self = shared_from_this()] { self->tick(); });
    if (!lease.isHeld())
      return;
    planner.setOrderLimit(lease.validUntil());
    startTermWhenReady();
    if (!planner.isLeading())
      return answerPendingSyncs();
    handleEndedHosts();
    updateMembers();
    planner.setAcknowledgedVersion(acknowledgedVersion());
    planner.tick();
    shares.tick();
    answerPendingSyncs();
  }

  /// Frees the shares of ended processes. A former planner that has ended sends no more orders.
  void handleEndedHosts() {
    auto now = env.now();
    std::erase_if(hostStates, [&](auto &it) {
      return membership.hasEnded(it.first, it.second.incarnation, now);
    });
    std::erase_if(planUses, [&](auto &it) { return !hostStates.contains(it.first); });
    // Includes holders that ended before they reported to this planner.
    for (auto &it : shares.holders())
      if (membership.hasEnded(it.host, it.incarnation, now))
        shares.onHolderEnded(it);
    removeFormerHolders(
        [&](auto &it) { return membership.hasEnded(it.host, it.incarnation, now); });
  }

  /// Removes former planners that cannot send orders any more, as selected by `ended`.
  /// Tells the planner when none are left.
  template <class Ended> void removeFormerHolders(Ended ended) {
    if (std::erase_if(formerHolders, ended) == 0)
      return;
    lease.setFormerHolders(formerHolders);
    if (formerHolders.empty())
      planner.onFormerHolderEnded();
  }

  /// Publishes the members if they have changed, and updates the candidates for the lease.
  void updateMembers() {
    std::vector<Member> next;
    for (auto &it : membership.liveMembers(env.now()))
      next.push_back(publishedFields(it));
    if (std::equal(next.begin(), next.end(), publishedMembers.begin(), publishedMembers.end(),
                   hasSamePublishedFields))
      return;
    publishedMembers = std::move(next);
    ++membersVersion;
    std::vector<HostName> names;
    for (auto &it : publishedMembers)
      if (it.liveness == Liveness::Live)
        names.push_back(it.host);
    lease.setCandidates(std::move(names));
  }

  /// Lowest table version that the live hosts have applied. Silent hosts are left out: if one still
  /// sends a request to a released replica, the endpoint refuses it without running it.
  std::uint64_t acknowledgedVersion() const {
    auto lowest = planner.table().version();
    for (auto &it : publishedMembers) {
      auto state = hostStates.find(it.host);
      lowest = std::min(lowest, state == hostStates.end() ? 0 : state->second.acknowledgedTable);
    }
    return lowest;
  }

  /// Handles the sync of a host, including this one, on the planner.
  void onSync(const SyncRequest &request, const std::function<void(const SyncReply &)> &done) {
    lease.observe(request.term, HostName(), Address{});
    if (!lease.isHeld())
      return done(makeNotPlannerReply());
    membership.onSync(request.self, env.now());
    if (membership.hasEnded(request.self.host, request.self.incarnation, env.now()))
      return done(makeNotPlannerReply()); // delayed message of a process that has been replaced
    auto &state = hostStates[request.self.host];
    if (state.incarnation != request.self.incarnation) {
      state = {.incarnation = request.self.incarnation, .acknowledgedTable = 0, .sentShares = {}};
    }
    if (request.tableTerm == planner.term())
      state.acknowledgedTable = std::max(state.acknowledgedTable, request.tableVersion);
    handleFormerHolderReport(request);
    planner.onModelLoads(request.self.host, request.models);
    planUses[request.self.host] = request.plans;
    shares.onSync({request.self.host, request.self.incarnation}, request.plans);
    config.onRevisionSeen(request.self.revision, request.self.peerAddress);
    pendingSyncs.push_back(
        {request, env.now() + std::min<Duration>(request.maxWait, config::SyncMaxWait), done});
    if (request.maxWait <= Duration(0))
      answerPendingSyncs();
  }

  /// A former planner that reports under the new term has resigned. Orders that it sent before may
  /// still arrive, so it is removed only after twice the order timeout.
  void handleFormerHolderReport(const SyncRequest &request) {
    LeaseHolder holder{request.self.host, request.self.incarnation};
    auto contains = [&](auto &list) { return std::count(list.begin(), list.end(), holder) > 0; };
    if (request.term < planner.term() || !contains(formerHolders) || contains(resignedHolders))
      return;
    resignedHolders.push_back(holder);
    env.after(2 * config::OrderTimeout, [self = shared_from_this(), holder, term = planner.term()] {
      if (self->planner.isLeading() && self->planner.term() == term)
        self->removeFormerHolders([&](auto &it) { return it == holder; });
    });
  }

  /// Replies to all pending syncs that have news or have reached their time limit.
  void answerPendingSyncs() {
    auto now = env.now();
    std::vector<std::pair<PendingSync, SyncReply>> due;
    std::erase_if(pendingSyncs, [&](PendingSync &it) {
      auto reply = makeReply(it.request);
      if (!hasChanges(it.request, reply) && now < it.until)
        return false;
      due.emplace_back(std::move(it), std::move(reply));
      return true;
    });
    for (auto &[pending, reply] : due) {
      auto state = hostStates.find(pending.request.self.host);
      if (state != hostStates.end())
        state->second.sentShares = reply.shares;
      pending.done(reply);
    }
  }

  bool hasChanges(const SyncRequest &request, const SyncReply &reply) const {
    auto state = hostStates.find(request.self.host);
    return !reply.entries.empty() || !reply.removed.empty() ||
           (planner.isReady() && request.tableTerm != reply.term) ||
           reply.membersVersion != request.membersVersion ||
           reply.revision > request.self.revision ||
           (state != hostStates.end() && !hasSameVersions(reply.shares, state->second.sentShares));
  }

  SyncReply makeNotPlannerReply() const {
    auto &it = lease.newest();
    return {
        .isPlanner = false, .term = it.term, .planner = it.holder, .plannerAddress = it.address};
  }

  /// Until recovery is complete, replies leave the host's table unchanged, so that it routes by the
  /// old one.
  SyncReply makeReply(const SyncRequest &request) const {
    SyncReply reply{.isPlanner = true,
                    .term = lease.newest().term,
                    .planner = options.self.host,
                    .plannerAddress = options.self.peerAddress,
                    .tableVersion = request.tableVersion};
    if (planner.isReady())
      planner.table().fillDelta(request.tableTerm == planner.term() ? request.tableVersion : 0,
                                reply);
    reply.membersVersion = membersVersion;
    if (membersVersion != request.membersVersion || request.term != lease.newest().term)
      reply.members = publishedMembers;
    if (shares.isReady())
      reply.shares = shares.sharesOf({request.self.host, request.self.incarnation});
    reply.revision = options.self.revision;
    return reply;
  }

  // ---- Host side -------------------------------------------------------------------------------

  SyncRequest makeRequest(Duration maxWait) {
    SyncRequest request{.self = options.self,
                        .term = lease.newest().term,
                        .tableTerm = tableTerm,
                        .tableVersion = table.version(),
                        .membersVersion = seenMembersVersion,
                        .maxWait = maxWait};
    if (hooks.fillReport)
      hooks.fillReport(request);
    request.self.overloaded = request.self.overloaded || options.self.overloaded;
    return request;
  }

  void syncLoop() {
    if (stopped)
      return;
    sync(config::SyncMaxWait, [self = shared_from_this()](bool ok) {
      self->env.after(ok ? Duration(0) : Duration(config::SyncRetry), [self] { self->syncLoop(); });
    });
  }

  /// Syncs once with the planner, on this or another host. `done` receives true if the planner
  /// answered.
  void sync(Duration maxWait, const std::function<void(bool)> &done) {
    lease.setPlannerLost(isPlannerLost());
    if (lease.isHeld()) {
      onSync(makeRequest(maxWait), [self = shared_from_this(), done](const SyncReply &reply) {
        self->env.after(Duration(0), [self, reply, done] { done(self->onReply(reply)); });
      });
      return;
    }
    auto to = isPlannerLost() ? nextSyncTarget() : lease.newest().address;
    if (to.empty())
      to = nextSyncTarget();
    if (to.empty())
      return env.after(config::SyncRetry, [done] { done(false); });
    env.peers().call(to, "sync", encode(makeRequest(maxWait)), maxWait + config::RpcTimeout,
                     [self = shared_from_this(), done](RpcStatus s, const std::string &text) {
                       auto reply = s == RpcStatus::Ok ? decodeSyncReply(text) : std::nullopt;
                       done(reply && self->onReply(*reply));
                     });
  }

  /// Address to sync with while the planner does not answer: alternates between the last known
  /// planner and each peer in turn, to learn of a new planner. Empty if none is known.
  Address nextSyncTarget() {
    auto contacts = options.peers;
    for (auto &it : membership.allMembers())
      if (it.host != options.self.host && !it.peerAddress.empty())
        contacts.push_back(it.peerAddress);
    auto turn = contactTurn++;
    if (contacts.empty() || (turn % 2 == 0 && !lease.newest().address.empty()))
      return lease.newest().address;
    return contacts[(turn / 2) % contacts.size()];
  }

  bool isPlannerLost() const { return env.now() - lastPlannerReply > config::PlannerLostAfter; }

  bool onReply(const SyncReply &reply) {
    if (stopped)
      return false;
    lease.observe(reply.term, reply.planner, reply.plannerAddress);
    if (!reply.isPlanner || reply.term < lease.newest().term)
      return false;
    lastPlannerReply = env.now();
    lease.setPlannerLost(false);
    applyTable(reply);
    if (!reply.members.empty()) {
      seenMembersVersion = reply.membersVersion;
      if (!lease.isHeld())
        membership.setMembers(reply.members);
      setCandidates(reply.members);
    }
    config.onRevisionSeen(reply.revision, reply.plannerAddress);
    if (hooks.sharesChanged)
      hooks.sharesChanged(reply.shares);
    return true;
  }

  void setCandidates(const std::vector<Member> &members) {
    std::vector<HostName> names;
    for (auto &it : members)
      if (it.liveness == Liveness::Live)
        names.push_back(it.host);
    lease.setCandidates(std::move(names));
  }

  /// Applies the reply's routing table or its changes.
  void applyTable(const SyncReply &reply) {
    if (!reply.fullTable && reply.entries.empty() && reply.removed.empty())
      return;
    if (!reply.fullTable && (reply.term != tableTerm || reply.tableVersion <= table.version()))
      return; // a delayed reply
    if (reply.fullTable)
      table = RouteTable();
    table.apply(reply);
    tableTerm = reply.term;
    tableReceived = true;
    if (hooks.tableChanged)
      hooks.tableChanged(table.entries());
  }

  void ensure(const EnsureRequest &request, Instant deadline,
              const std::function<void(const EnsureReply &)> &done) {
    auto remaining = deadline - env.now();
    if (remaining <= Duration(0) ||
        env.now() - lastPlannerReply > Duration(config::RefuseWithoutPlannerAfter))
      return done(makeNoPlannerReply());
    auto attempt = request;
    attempt.remaining = remaining;
    auto onReply = [self = shared_from_this(), request, deadline, done](const EnsureReply &reply) {
      if (reply.outcome != EnsureOutcome::NotPlanner)
        return done(reply);
      self->env.after(config::SyncRetry,
                      [self, request, deadline, done] { self->ensure(request, deadline, done); });
    };
    if (canAnswerEnsure())
      return planner.ensure(attempt, onReply);
    if (lease.isHeld())
      return onReply({.outcome = EnsureOutcome::NotPlanner});
    auto to = lease.newest().address;
    if (to.empty())
      return onReply({.outcome = EnsureOutcome::NotPlanner});
    env.peers().call(to, "ensure", encode(attempt),
                     std::min<Duration>(remaining, config::RpcTimeout),
                     [onReply](RpcStatus s, const std::string &text) {
                       auto reply = s == RpcStatus::Ok ? decodeEnsureReply(text) : std::nullopt;
                       onReply(reply.value_or(EnsureReply{.outcome = EnsureOutcome::NotPlanner}));
                     });
  }

  /// False also while a planner that was paused does not know whether it still holds the lease.
  /// Callers then retry. Otherwise it would refuse, without need, models that only endpoints
  /// without fencing can serve.
  bool canAnswerEnsure() const { return planner.isLeading() && !lease.mayHaveExpired(); }

  static EnsureReply makeNoPlannerReply() {
    return {.outcome = EnsureOutcome::Refused,
            .retryAfter = config::LeaseTtl + config::RpcTimeout,
            .reason = "no planner answers"};
  }

  // ---- Calls from other hosts -------------------------------------------------------------------

  void handleSync(const std::string &params, const std::function<void(std::string)> &done) {
    auto request = decodeSyncRequest(params);
    if (!request)
      return done({});
    onSync(*request, [done](const SyncReply &reply) { done(encode(reply)); });
  }

  void handleEnsure(const std::string &params, const std::function<void(std::string)> &done) {
    auto request = decodeEnsureRequest(params);
    if (!request)
      return done({});
    if (!canAnswerEnsure())
      return done(encode(EnsureReply{.outcome = EnsureOutcome::NotPlanner}));
    planner.ensure(*request, [done](const EnsureReply &reply) { done(encode(reply)); });
  }

  void handleLists(const std::string &, const std::function<void(std::string)> &done) {
    done(config.document());
  }

  /// Parameters {"on":bool}: makes this host leave or come back.
  void handleDrain(const std::string &params, const std::function<void(std::string)> &done) {
    json::object object;
    if (!parseObject(params, object))
      return done({});
    JsonReader in(object);
    auto on = in.flag("on");
    if (!in.ok)
      return done({});
    setLeaving(on);
    done("{}");
  }

  /// Parameters {"endpoint":string,"on":bool}; fails unless this host is the planner.
  void handleDrainEndpoint(const std::string &params,
                           const std::function<void(std::string)> &done) {
    json::object object;
    if (!parseObject(params, object) || !planner.isLeading())
      return done({});
    JsonReader in(object);
    auto endpoint = in.name<EndpointName>("endpoint");
    auto on = in.flag("on");
    if (!in.ok || endpoint.empty())
      return done({});
    recordDrain(endpoint, on, config::OperatorWriteAttempts,
                [done](bool ok) { done(ok ? "{}" : ""); });
  }

  /// Parameters {"view":string}; fails unless this host is the planner.
  void handleView(const std::string &params, const std::function<void(std::string)> &done) {
    json::object object;
    if (!parseObject(params, object) || !planner.isLeading())
      return done({});
    JsonReader in(object);
    auto lists = config.currentLists();
    done(catkin::operatorView(in.text("view"), {.planner = planner,
                                                .shares = shares,
                                                .membership = membership,
                                                .uses = planUses,
                                                .lists = lists.get(),
                                                .plannerHost = options.self.host,
                                                .now = env.now()}));
  }

  /// Calls a method of the planner: `localHandler` if this host is the planner, else by RPC. `done`
  /// receives empty text on failure.
  void callPlanner(const std::string &method, const std::string &params,
                   void (Impl::*localHandler)(const std::string &,
                                              const std::function<void(std::string)> &),
                   const std::function<void(std::string)> &done) {
    if (planner.isLeading())
      return (this->*localHandler)(params, done);
    if (lease.newest().address.empty())
      return done({});
    env.peers().call(lease.newest().address, method, params, config::RpcTimeout,
                     [done](RpcStatus s, const std::string &text) {
                       done(s == RpcStatus::Ok ? text : std::string());
                     });
  }

  void setLeaving(bool on) {
    options.self.liveness = on ? Liveness::Leaving : Liveness::Live;
    if (on)
      lease.release([] {});
    else
      lease.start();
    sync(Duration(0), [](bool) {});
  }

  void stop(const std::function<void()> &done) {
    options.self.liveness = Liveness::Gone;
    lease.release([self = shared_from_this(), done] {
      self->sync(Duration(0), [self, done](bool) {
        self->stopped = true;
        done();
      });
    });
  }
};

Control::Control(Env &env, ControlOptions options, ControlHooks hooks)
    : impl(std::make_shared<Impl>(env, std::move(options), std::move(hooks))) {}

Control::~Control() { impl->stopped = true; }

void Control::start() { impl->start(); }

void Control::setLeaving(bool on) { impl->setLeaving(on); }

void Control::stop(const std::function<void()> &done) { impl->stop(done); }

void Control::onCall(const std::string &method, const std::string &paramsJson,
                     const std::function<void(std::string)> &done) {
  struct Method {
    std::string_view name;
    void (Impl::*handle)(const std::string &, const std::function<void(std::string)> &);
  };
  static constexpr std::array Methods{Method{"sync", &Impl::handleSync},
                                      Method{"ensure", &Impl::handleEnsure},
                                      Method{"lists", &Impl::handleLists},
                                      Method{"drain", &Impl::handleDrain},
                                      Method{"drain_endpoint", &Impl::handleDrainEndpoint},
                                      Method{"view", &Impl::handleView}};
  for (auto &it : Methods)
    if (it.name == method)
      return ((*impl).*it.handle)(paramsJson, done);
  done({});
}

void Control::ensure(const EnsureRequest &request,
                     const std::function<void(const EnsureReply &)> &done) {
  impl->ensure(request, impl->env.now() + request.remaining, done);
}

void Control::requestSync() {
  auto now = impl->env.now();
  if (now - impl->lastRequestedSync < Duration(config::SyncPokeInterval))
    return;
  impl->lastRequestedSync = now;
  impl->sync(Duration(0), [](bool) {});
}

void Control::operatorView(const std::string &name, const std::function<void(std::string)> &done) {
  impl->callPlanner("view", json::serialize(json::object{{"view", name}}), &Impl::handleView, done);
}

void Control::drainEndpoint(const EndpointName &endpoint, bool on,
                            const std::function<void(bool)> &done) {
  impl->callPlanner(
      "drain_endpoint", json::serialize(json::object{{"endpoint", endpoint.value}, {"on", on}}),
      &Impl::handleDrainEndpoint, [done](const std::string &result) { done(!result.empty()); });
}

void Control::drainHost(const HostName &host, bool on, const std::function<void(bool)> &done) {
  if (host == impl->options.self.host) {
    impl->setLeaving(on);
    return done(true);
  }
  for (auto &it : impl->membership.allMembers())
    if (it.host == host)
      return impl->env.peers().call(
          it.peerAddress, "drain", json::serialize(json::object{{"on", on}}), config::RpcTimeout,
          [done](RpcStatus s, const std::string &) { done(s == RpcStatus::Ok); });
  done(false);
}

bool Control::isReady() const { return impl->config.isReady() && impl->tableReceived; }

bool Control::isPlanner() const { return impl->lease.isHeld(); }

Instant Control::orderLimit() const { return impl->lease.validUntil(); }

const LeaseRecord &Control::plannerLease() const { return impl->lease.newest(); }

ConfigSync &Control::config() { return impl->config; }

Membership &Control::membership() { return impl->membership; }

Planner &Control::planningState() { return impl->planner; }

ShareTable &Control::shareTable() { return impl->shares; }

} // namespace catkin
