#pragma once

#include "config.h"
#include "planner_p.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// State of the planner and the steps of its protocol, shared by the planner's source files only.
namespace catkin {

/// Where a replica stands between the decision to load it and its end.
enum class Phase {
  Queued,           ///< decided; waits for memory, grant, base or the weight store; not recorded
  Recording,        ///< intent is being written
  Ordering,         ///< recorded; the load order is to be sent, in flight, or of unknown fate
  Loading,          ///< the engine accepted the order
  Ready,            ///< loaded
  Releasing,        ///< marked in the table; waits for acknowledgements and idleness
  RecordingRelease, ///< intent to unload is being written
  Unloading,        ///< the unload order is to be sent, in flight, or of unknown fate
  Reserved,         ///< unloaded, but a former planner may still send an order
  Count
};

/// Answer owed to a host once the load is recorded.
struct PendingEnsure {
  EnsureRequest request;
  Instant deadline;
  Planner::EnsureDone done;
};

struct Replica : PlannedReplica {
  Phase phase = Phase::Queued;
  CopySource source = CopySource::Remote;
  bool unconfirmed = false;   ///< a former planner's, and not confirmed by the endpoint since
  bool prewarmed = false;     ///< loaded ahead of use
  bool orderInFlight = false; ///< sent, not answered
  bool orderSent = false;     ///< an order may have reached the endpoint
  bool loadRefused = false;   ///< the load order was refused
  Instant deadline{};         ///< earliest deadline of a request that waits for it
  Instant decidedAt{};
  Instant sentAt{};
  Instant acceptedAt{};
  Instant readyAt{};
  Instant nextTry{};
  Instant ignoreReportsBefore{}; ///< reports asked for before are too old
  Duration expectedLoad{0};
  int inFlight = 0;                 ///< by the endpoint's report
  std::uint64_t releaseVersion = 0; ///< table version that marks it as releasing
  Instant releaseAckedAt{};         ///< when all hosts were seen to have applied that version
  std::vector<PendingEnsure> pendingEnsures;

  bool isAdapter() const { return !base.empty(); }
  bool isCommitted() const { return phase != Phase::Queued; } ///< its order may be on its way
  bool isLoadUnderWay() const { return phase <= Phase::Loading; }
};

/// Content of endpoints/<name>.
struct EndpointRecord {
  std::uint64_t term = 0;
  std::string writeId; ///< recognises one's own write when its reply was lost
  std::vector<PlannedReplica> replicas;
};

std::string encodeEndpointRecord(const EndpointRecord &record);
std::optional<EndpointRecord> decodeEndpointRecord(std::string_view text);

struct Endpoint {
  EndpointName name;
  Address address;
  DataCentreName dataCentre;
  Liveness liveness = Liveness::Gone; ///< by the host list
  bool drained = false;               ///< by an operator
  std::map<ModelName, Replica> replicas;

  EndpointReport report; ///< newest; its figures lag
  Instant reportAskedAt{};
  bool claimed = false; ///< this incarnation has accepted the current term
  bool claimTried = false;
  bool claimInFlight = false;
  Instant nextClaim{};
  bool reachable = false;
  Instant silentSince{};
  Instant avoidUntil{};
  std::uint64_t orderEpoch = 0; ///< changes when an order is sent or answered
  bool pollInFlight = false;
  Instant pollAt{};      ///< scheduled in the poll queue
  Instant extraPollAt{}; ///< earliest extra poll that is scheduled

  std::uint64_t recordVersion = 0;
  bool recordMalformed = false; ///< not overwritten; the endpoint gets no orders
  bool writeInFlight = false;
  bool dirty = false; ///< the record is behind
  int refusedWrites = 0;
  std::string writeId;
  std::string writeValue;
  std::vector<std::function<void(bool)>> writeCallbacks;
  std::vector<std::function<void(bool)>> nextWriteCallbacks;

  bool checksFencing() const { return report.checksFencing; }
  bool isDeparting() const { return drained || liveness != Liveness::Live || report.leaving; }
  std::uint64_t committedBytes() const;
  std::uint64_t plannedBytes() const; ///< without what is being released
  /// Adapters of the base model that are there or on their way.
  bool hasDependents(const ModelName &base) const;
};

/// Use of a model, summed over hosts.
struct ModelUse {
  int inFlight = 0;
  int waiting = 0;
  Instant lastUse{};
  Instant busySince{};  ///< enough requests for one more replica since then
  Instant quietSince{}; ///< one replica fewer would do since then
  PlanName payer;       ///< plan that last asked
  PlanName refusedPlan; ///< plan that was refused for want of room, until the moment below
  std::string refusedReason;
  Instant refusedUntil{};
  std::set<EndpointName> endpoints;
};

/// A load to be decided as soon as it can be.
struct PendingPlacement {
  PlanName payer;
  Instant deadline{};
};

struct PlanTotals {
  int models = 0;
  std::uint64_t bytes = 0;
};

/// Who wants a load and by when.
struct PlacementQuery {
  Instant deadline{};
  Duration remaining{0};
  bool spareCapacityOnly = false; ///< only into free memory and unused grant
  DataCentreName dataCentre;      ///< of the host that asked; empty: none did
};

struct Placement {
  Endpoint *endpoint = nullptr;
  const Model *base = nullptr; ///< to be loaded first; null if it is there
  std::vector<std::pair<EndpointName, ModelName>> releases;
  Duration estimate{0};
  Duration loadTime{0};
  double cost = 0;
};

struct Planner::Impl : std::enable_shared_from_this<Planner::Impl> {
  Impl(Env &e, PlannerOptions o);

  Env &env;
  PlannerOptions options;
  ListsPtr lists;
  std::unique_ptr<RetentionPolicy> retention;
  std::unique_ptr<PlacementPolicy> placement;
  std::map<EndpointName, Endpoint> endpoints;
  std::map<ModelName, ModelUse> models;
  std::map<ModelName, PendingPlacement> pendingPlacements;
  RouteTable table;
  PlannerStats counters;

  bool isLeading = false;
  bool isReady = false;
  bool formerHolderEnded = false;
  bool recordsRead = false;
  bool platformDown = false;
  int listFailures = 0;
  std::uint64_t currentTerm = 0;
  std::uint64_t session = 0; ///< callbacks of an earlier session are ignored
  std::uint64_t sequence = 0;
  std::uint64_t acknowledgedVersion = 0;
  Instant orderLimit{};
  Instant lastPerSecondTasks{};
  Instant lastPrewarm{};
  Instant lastTick{};
  std::size_t claimsInFlight = 0;
  std::size_t ordersInFlight = 0; ///< of all sessions
  std::set<EndpointName> unclaimed;
  // Endpoints in these sets are not erased, so that the pointers stay valid.
  using EndpointSet = std::map<EndpointName, Endpoint *>;
  EndpointSet activeEndpoints;    ///< with a replica that is not simply loaded
  EndpointSet queuedEndpoints;    ///< with a queued load
  EndpointSet populatedEndpoints; ///< with replicas
  std::size_t replicaCount = 0;   ///< as of the last second
  std::set<EndpointName> dirtyRecords;
  std::set<std::pair<Instant, EndpointName>> pollQueue;
  std::pair<EndpointName, ModelName> retentionCursor;
  double retentionCredit = 0;
  std::vector<std::pair<EnsureRequest, EnsureDone>> deferredEnsures;
  std::vector<Instant> deferredSince;

  struct HostReport {
    Instant receivedAt;
    struct Load {
      ModelUse *use; ///< entries of `models` are never erased
      int inFlight;
      int waiting;
    };
    std::vector<Load> loads;
  };
  std::map<HostName, HostReport> hostReports;

  // Learned load figures.
  std::array<double, static_cast<std::size_t>(CopySource::Count)> bytesPerSecond{};
  double adapterLoadSeconds = 0;
  double storeTokens = 0;
  Instant storeTokensRefilledAt{};
  bool queuedLoadsScheduled = false;

  /// Wraps a callback so that it runs only in the session that made it.
  template <class F> auto bindToSession(F f) {
    return [weak = weak_from_this(), boundSession = session, f = std::move(f)](auto &&...args) {
      auto self = weak.lock();
      if (self && self->session == boundSession)
        f(*self, std::forward<decltype(args)>(args)...);
    };
  }
  Endpoint *find(const EndpointName &name);
  Replica *find(const EndpointName &name, const ModelName &model, const std::string &orderId);
  const Model *modelOf(const ModelName &name) const;

  // planner_recovery.cpp: start of a term, claims, what endpoints report.
  void lead(std::uint64_t term, bool holderEnded);
  void resign();
  void onStaleTerm();
  void readRecords();
  void onRecordsRead(StoreStatus status, const std::vector<StoreObject> &objects);
  void mergeRecord(Endpoint &ep, const EndpointRecord &record);
  void requireClaim(Endpoint &ep);
  void sendClaims();
  void onClaimAnswer(Endpoint &ep, OrderStatus status, const EndpointReport &report);
  void becomeReadyIfRecovered();
  void resolveFormerOrders();
  bool applyReport(Endpoint &ep, const EndpointReport &report);
  void onEndpointRestart(Endpoint &ep);
  void reconcile(Endpoint &ep, Instant reportSentAt);
  bool reconcileReplica(Endpoint &ep, Replica &r, const EngineModel *reported);
  void adoptModel(Endpoint &ep, const EngineModel &reported);
  void setEndpoints(const std::vector<ListedNode> &engines);
  void onEndpointGone(Endpoint &ep);

  // planner_records.cpp: conditional updates of endpoints/<name>.
  void writeRecord(Endpoint &ep, std::function<void(bool)> done);
  void markDirty(Endpoint &ep);
  void flushRecords();
  void startWrite(Endpoint &ep);
  void encodeWrite(Endpoint &ep);
  void sendWrite(Endpoint &ep);
  void onWritten(Endpoint &ep, StoreStatus status, const StoreObject &object);
  void readRecordBack(Endpoint &ep);
  void onRecordReadBack(Endpoint &ep, StoreStatus status, const StoreObject &object);
  void finishWrite(Endpoint &ep, bool ok);

  // planner_orders.cpp: orders, polls and the release protocol.
  bool mayOrder(const Endpoint &ep) const;
  void send(const Endpoint &ep, const EngineOrder &order, OrderDone done);
  void beginLoad(Endpoint &ep, Replica &r);
  void recordIntent(Endpoint &ep, Replica &r);
  void onIntentRecorded(const EndpointName &name, const ModelName &model, const std::string &id,
                        bool ok);
  void sendLoad(Endpoint &ep, Replica &r);
  void onLoadAnswer(Endpoint &ep, Replica &r, OrderStatus status, const EndpointReport &report);
  void markReady(Endpoint &ep, Replica &r);
  void startRelease(Endpoint &ep, Replica &r, std::string_view reason);
  void cancelRelease(Endpoint &ep, Replica &r);
  void continueRelease(Endpoint &ep, Replica &r);
  void sendUnload(Endpoint &ep, Replica &r);
  using OrderAnswerHandler = void (Impl::*)(Endpoint &, Replica &, OrderStatus,
                                            const EndpointReport &);
  void sendOrder(Endpoint &ep, Replica &r, OrderKind kind, OrderAnswerHandler onAnswer);
  void onUnloadAnswer(Endpoint &ep, Replica &r, OrderStatus status, const EndpointReport &report);
  void updateReachability(Endpoint &ep, bool reached);
  void poll(Endpoint &ep);
  void schedulePollWithin(Endpoint &ep, Duration d);
  void scheduleLoadPoll(Endpoint &ep);
  void scheduleRegularPoll(Endpoint &ep);
  void pollDueEndpoints();
  void advanceReplicas(Endpoint &ep);
  void updateLoadRate(const Replica &r);
  void addReplica(Endpoint &ep, Replica r);
  void dropReplica(Endpoint &ep, const ModelName &dropped, std::string_view reason,
                   bool placeAgain);
  void publishRoute(Endpoint &ep, const Replica &r);
  void publishRoutes(Endpoint &ep);
  void updateEndpointSets(Endpoint &ep);

  // planner_placement.cpp: where to load, grants, estimates.
  bool canLoad(const Endpoint &ep, std::uint64_t bytes) const;
  bool canServe(const Endpoint &ep) const;
  bool isIdle(const Endpoint &ep, const Replica &r) const;
  RetentionInput retentionInput(const Endpoint &ep, const Replica &r) const;
  Duration loadTime(CopySource source, std::uint64_t bytes, bool adapter) const;
  CopySource sourceOf(const Endpoint &ep, const ModelName &model) const;
  Duration storeWait(bool adapter, Instant deadline) const;
  Duration estimateTimeToReady(const Endpoint &ep, const Replica &r) const;
  struct GrantHeadroom {
    int models = 0;
    std::int64_t bytes = 0;
    std::vector<std::pair<Endpoint *, Replica *>> releasable; ///< own idle replicas, lowest first
  };
  GrantHeadroom grantHeadroom(const Plan &plan, const Model &model);
  bool chooseEvictions(const Endpoint &ep, std::uint64_t need, const Model &model, Placement &p,
                       double &cost) const;
  bool chooseGrantReleases(const GrantHeadroom &headroom, const PlanName &plan, const Model &model,
                           Placement &p);
  std::optional<Placement> evaluateEndpoint(Endpoint &ep, const Model &model, const Plan &plan,
                                            const GrantHeadroom &headroom,
                                            const PlacementQuery &query, Duration storeQueue,
                                            bool evictAnywhere, std::string &reason);
  std::optional<Placement> choosePlacement(const Model &model, const Plan &plan,
                                           const PlacementQuery &query, std::string &reason);
  Replica *commitPlacement(const Model &model, const PlanName &payer, Instant deadline,
                           bool prewarm, const Placement &p, const std::string &requestId);
  void startQueuedLoads();
  /// What loads under way take, while queued ones are considered in turn.
  struct StartBudget {
    std::map<PlanName, PlanTotals> plans;
    int modelSlots = 0;
    int adapterSlots = 0;
  };
  StartBudget startBudget();
  bool tryReserveStart(const Endpoint &ep, const Replica &r, StartBudget &budget);
  bool tryReserveStoreSlot(const Replica &r, StartBudget &budget);
  void refillStoreTokens();

  // planner.cpp: requests and housekeeping.
  void ensure(const EnsureRequest &request, const EnsureDone &done);
  bool joinExistingReplica(const EnsureRequest &request, const EnsureDone &done);
  void answerDeferredEnsures();
  void answerPendingEnsures(Endpoint &ep, Replica &r);
  void retryPendingEnsures(const std::vector<PendingEnsure> &pending);
  void tick();
  void detectPause();
  void runPerSecondTasks();
  void placePendingModels();
  void scaleReplicas();
  void evacuateDepartingEndpoints();
  void dropStuckLoads();
  void checkRetention(Duration elapsed);
  void checkReplicaRetention(Endpoint &ep, Replica &r);
  void enforceGrants();
  void eraseGoneEndpoints();
  void prewarm();
  bool isNeeded(const ModelName &model) const;
  bool isReadyElsewhere(const ModelName &model, const EndpointName &except) const;
  bool replacementFitsGrant(const ModelName &name, const PlanName &payer);
  void onModelLoads(const HostName &host, const std::vector<ModelLoad> &loads);
  void expireHostReports();
  void log(DecisionKind kind, const ModelName &model, std::string chosen, std::string reason,
           const PlanName &plan = {}, const std::string &requestId = {});
};

} // namespace catkin
