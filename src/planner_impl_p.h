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

/// Internal state of the planner, shared by its source files.
namespace catkin {

/// Stages of a replica from the decision to load it until its removal.
enum class Phase {
  Queued,           ///< waits for memory, grant, base or the weight store; not recorded
  Recording,        ///< the intent to load is being written
  Ordering,         ///< recorded; the load order is unsent, in flight or of unknown result
  Loading,          ///< the engine has accepted the load order
  Ready,            ///< loaded
  Releasing,        ///< marked in the routing table; waits until no host uses it
  RecordingRelease, ///< the intent to unload is being written
  Unloading,        ///< the unload order is unsent, in flight or of unknown result
  Reserved,         ///< unloaded; memory stays reserved for a former planner's order
  Count
};

/// An ensure request that is answered once the load is recorded.
struct PendingEnsure {
  EnsureRequest request;
  Instant deadline;
  Planner::EnsureDone done;
};

/// A replica with the state of its load or release.
struct Replica : PlannedReplica {
  Phase phase = Phase::Queued;
  CopySource source = CopySource::Remote; ///< where the endpoint loads the copy from
  bool unconfirmed = false;   ///< recorded by a former planner, not yet reported by the endpoint
  bool prewarmed = false;     ///< loaded ahead of use
  bool orderInFlight = false; ///< an order has been sent and not answered
  bool orderSent = false;     ///< an order may have reached the endpoint
  bool loadRefused = false;   ///< the load order was refused
  Instant deadline{};         ///< earliest deadline of the waiting requests
  Instant decidedAt{};
  Instant sentAt{};
  Instant acceptedAt{};
  Instant readyAt{};
  Instant nextTry{};                ///< when the next order may be sent
  Instant ignoreReportsBefore{};    ///< reports requested earlier are out of date
  Duration expectedLoad{0};         ///< expected duration of the load
  int inFlight = 0;                 ///< requests, from the endpoint's report
  std::uint64_t releaseVersion = 0; ///< table version that marks it as releasing
  Instant releaseAckedAt{};         ///< when all hosts were known to have applied it
  std::vector<PendingEnsure> pendingEnsures;

  bool isAdapter() const { return !base.empty(); }
  /// True once the load is being recorded: the replica counts against memory and is stored.
  bool isCommitted() const { return phase != Phase::Queued; }
  /// True until the load is complete.
  bool isLoadUnderWay() const { return phase <= Phase::Loading; }
};

/// Content of endpoints/<name>.
struct EndpointRecord {
  std::uint64_t term = 0;
  std::string writeId; ///< identifies the write if its reply is lost
  std::vector<PlannedReplica> replicas;
};

/// Encodes a record as JSON.
std::string encodeEndpointRecord(const EndpointRecord &record);
/// Decodes a record. Empty if the text is malformed.
std::optional<EndpointRecord> decodeEndpointRecord(std::string_view text);

/// An endpoint with its replicas, reports, claim and record.
struct Endpoint {
  EndpointName name;
  Address address;
  DataCentreName dataCentre;
  Liveness liveness = Liveness::Gone; ///< from the host list
  bool drained = false;               ///< by an operator
  std::map<ModelName, Replica> replicas;

  EndpointReport report;   ///< the newest; its figures lag behind
  Instant reportAskedAt{}; ///< when the newest reconciled report was requested
  bool claimed = false;    ///< this incarnation has accepted the current term
  bool claimTried = false; ///< a claim was answered or failed
  bool claimInFlight = false;
  Instant nextClaim{};
  bool reachable = false;
  Instant silentSince{};        ///< first failed call since the last answer; zero if it answers
  Instant avoidUntil{};         ///< no new loads until then
  std::uint64_t orderEpoch = 0; ///< changes when an order is sent or answered
  bool pollInFlight = false;
  Instant pollAt{};      ///< next regular poll, as entered in the poll queue
  Instant extraPollAt{}; ///< earliest scheduled extra poll

  std::uint64_t recordVersion = 0;
  bool recordMalformed = false; ///< the record is not overwritten, and the endpoint gets no orders
  bool writeInFlight = false;
  bool dirty = false;    ///< the stored record is out of date
  int refusedWrites = 0; ///< of the current write
  std::string writeId;
  std::string writeValue;
  std::vector<std::function<void(bool)>> writeCallbacks;     ///< of the write in flight
  std::vector<std::function<void(bool)>> nextWriteCallbacks; ///< of the write after it

  bool checksFencing() const { return report.checksFencing; }
  /// True if the endpoint is drained, not live or leaving, and so gets no new work.
  bool isDeparting() const { return drained || liveness != Liveness::Live || report.leaving; }
  /// Memory of all replicas except queued loads.
  std::uint64_t committedBytes() const;
  /// Memory of all replicas, with queued loads and without replicas that are being released.
  std::uint64_t plannedBytes() const;
  /// True if the endpoint holds adapters of the base model or is to load some.
  bool hasDependents(const ModelName &base) const;
};

/// Use of a model, summed over all hosts.
struct ModelUse {
  int inFlight = 0;
  int waiting = 0;
  Instant lastUse{};
  Instant busySince{};  ///< since when the requests justify one more replica
  Instant quietSince{}; ///< since when one replica fewer would be enough
  PlanName payer;       ///< plan of the last ensure request
  PlanName refusedPlan; ///< plan refused for lack of capacity until refusedUntil
  std::string refusedReason;
  Instant refusedUntil{};
  std::set<EndpointName> endpoints; ///< endpoints with a replica in any phase
};

/// A model that is to be placed as soon as an endpoint has capacity.
struct PendingPlacement {
  PlanName payer;
  Instant deadline{};
};

/// Sums over the replicas that count against a plan's grant.
struct PlanTotals {
  int models = 0;
  std::uint64_t bytes = 0;
};

/// Conditions for the placement of a model.
struct PlacementQuery {
  Instant deadline{};             ///< orders the load queue
  Duration remaining{0};          ///< time left until the deadline
  bool spareCapacityOnly = false; ///< use only free memory and unused grant
  DataCentreName dataCentre;      ///< of the requesting host; empty if there is none
};

/// A possible load of a model on one endpoint.
struct Placement {
  Endpoint *endpoint = nullptr;
  const Model *base = nullptr; ///< to be loaded first; null if none is missing
  std::vector<std::pair<EndpointName, ModelName>> releases; ///< replicas to release first
  Duration estimate{0};                                     ///< until the replica is ready
  Duration loadTime{0};                                     ///< the part of it that loading takes
  double cost = 0;
};

/// Implementation of the planner. Its members are grouped by source file.
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
  bool recordsRead = false;  ///< the records of the former planner have been read
  bool platformDown = false; ///< the last write or read of the records failed
  int listFailures = 0;      ///< failed reads of the records in this term
  std::uint64_t currentTerm = 0;
  std::uint64_t session = 0;             ///< callbacks of an earlier session are ignored
  std::uint64_t sequence = 0;            ///< of order and write ids
  std::uint64_t acknowledgedVersion = 0; ///< table version that all live hosts have applied
  Instant orderLimit{}; ///< no orders to endpoints that ignore fencing tokens from then on
  Instant lastPerSecondTasks{};
  Instant lastPrewarm{};
  Instant lastTick{};
  std::size_t claimsInFlight = 0;
  std::size_t ordersInFlight = 0; ///< of all sessions of this process
  std::set<EndpointName> unclaimed;
  // Endpoints in these sets are never erased from `endpoints`, so the pointers stay valid.
  using EndpointSet = std::map<EndpointName, Endpoint *>;
  EndpointSet activeEndpoints;    ///< with a replica in a phase other than Ready or Reserved
  EndpointSet queuedEndpoints;    ///< with a queued load
  EndpointSet populatedEndpoints; ///< with replicas
  std::size_t replicaCount = 0;   ///< as of the last per-second tasks
  std::set<EndpointName> dirtyRecords;
  std::set<std::pair<Instant, EndpointName>> pollQueue;
  std::pair<EndpointName, ModelName> retentionCursor; ///< replica checked last
  double retentionCredit = 0;                         ///< replicas that may be checked now
  std::vector<std::pair<EnsureRequest, EnsureDone>> deferredEnsures; ///< until the term is ready
  std::vector<Instant> deferredSince;                                ///< arrival of each of them

  /// Newest use of models that one host has reported.
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

  // Measured load rates, and the token bucket of the weight store.
  std::array<double, static_cast<std::size_t>(CopySource::Count)> bytesPerSecond{};
  double adapterLoadSeconds = 0;
  double storeTokens = 0;
  Instant storeTokensRefilledAt{};
  bool queuedLoadsScheduled = false;

  /// Wraps a callback so that it is dropped if the planner or the current session has ended.
  template <class F> auto bindToSession(F f) {
    return [weak = weak_from_this(), boundSession = session, f = std::move(f)](auto &&...args) {
      auto self = weak.lock();
      if (self && self->session == boundSession)
        f(*self, std::forward<decltype(args)>(args)...);
    };
  }
  /// Null if the endpoint is unknown.
  Endpoint *find(const EndpointName &name);
  /// Null if the endpoint has no replica of the model with that order id.
  Replica *find(const EndpointName &name, const ModelName &model, const std::string &orderId);
  /// Null if the lists do not contain the model.
  const Model *modelOf(const ModelName &name) const;

  // planner_recovery.cpp: start of a term, claims and endpoint reports.
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

  // planner_placement.cpp: choice of endpoints, grants, estimates and the load queue.
  bool canLoad(const Endpoint &ep, std::uint64_t bytes) const;
  bool canServe(const Endpoint &ep) const;
  bool isIdle(const Endpoint &ep, const Replica &r) const;
  RetentionInput retentionInput(const Endpoint &ep, const Replica &r) const;
  Duration loadTime(CopySource source, std::uint64_t bytes, bool adapter) const;
  CopySource sourceOf(const Endpoint &ep, const ModelName &model) const;
  Duration storeWait(bool adapter, Instant deadline) const;
  Duration estimateTimeToReady(const Endpoint &ep, const Replica &r) const;
  /// Unused part of a plan's grant; negative if the plan exceeds it.
  struct GrantHeadroom {
    int models = 0;
    std::int64_t bytes = 0;
    std::vector<std::pair<Endpoint *, Replica *>>
        releasable; ///< idle ones of the plan, by keepValue
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
  /// Grant in use by plan, and free slots of the weight store, while queued loads are started.
  struct StartBudget {
    std::map<PlanName, PlanTotals> plans;
    int modelSlots = 0;
    int adapterSlots = 0;
  };
  StartBudget startBudget();
  bool tryReserveStart(const Endpoint &ep, const Replica &r, StartBudget &budget);
  bool tryReserveStoreSlot(const Replica &r, StartBudget &budget);
  void refillStoreTokens();

  // planner.cpp and planner_housekeeping.cpp: requests and periodic work.
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
