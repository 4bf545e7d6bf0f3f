#pragma once

#include "config.h"
#include "dispatcher_p.h"
#include "gateway_p.h"
#include "lists_p.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

/// State and helper functions shared by the gateway's request handlers. Private to gateway*.cpp.
namespace catkin {

/// State of one gateway. Thread-safe unless noted. Lock order: lists, then the dispatcher's locks.
class GatewayCore : public std::enable_shared_from_this<GatewayCore> {
public:
  GatewayCore(asio::any_io_executor strand, asio::any_io_executor pool, GatewayOptions options,
              DecisionLog &decisions);

  /// Current configuration lists; null before the first were applied.
  ListsPtr lists() const;
  void setLists(ListsPtr lists);
  /// New request id of 16 hexadecimal digits.
  std::string newId();
  /// Call when requests are queued: requests cold models and shares, and starts the tick. May be
  /// called from any thread.
  void onRequestsWaiting();
  /// Writes a refusal to the decision log and the metrics.
  void recordRefusal(const std::string &requestId, const PlanName &plan, const ModelName &model,
                     const AdmissionResult &result);

  const asio::any_io_executor strand;
  const GatewayOptions options;
  DecisionLog &decisions;
  GatewayDependencies dependencies; ///< set before the first request, used on the strand
  HttpClient client;
  Dispatcher dispatcher;
  Metrics metrics;
  std::function<std::size_t()> connectionCount;
  std::function<std::string()> limitMetrics;
  std::atomic<bool> stopping = false;
  std::atomic<std::size_t> activeRequests = 0;

private:
  /// State of the ensure requests for one model and plan.
  struct EnsureState {
    bool inProgress = false; ///< a request waits for its reply
    Instant updatedAt;       ///< time of the last request or reply; earlier after a refusal
  };

  /// Pumps the dispatcher and schedules itself while requests wait.
  void tick();
  /// Sends ensure requests for cold models that are due, and requests a sync for missing shares.
  void ensureColdModels(Instant now);
  /// Asks the planner for a replica of the group's model.
  void sendEnsure(const WaitingGroup &group, Instant now);
  void onEnsureReply(const WaitingGroup &group, const EnsureReply &reply);

  mutable std::mutex listsLock;
  ListsPtr currentLists;
  std::atomic<std::uint64_t> lastId;
  std::atomic<bool> wakePosted = false;

  // Used on the strand only.
  bool ticking = false;
  Instant lastEnsureScan;
  std::map<std::pair<ModelName, PlanName>, EnsureState> ensureStates;
};
using GatewayCorePtr = std::shared_ptr<GatewayCore>;

/// Polls whether the caller of one request has disconnected. Must be used on the request's strand;
/// the action runs there at most once.
class CallerWatch {
public:
  explicit CallerWatch(HttpExchange &exchange) : state(std::make_shared<State>(exchange)) {}
  ~CallerWatch();
  CallerWatch(const CallerWatch &) = delete;
  CallerWatch &operator=(const CallerWatch &) = delete;

  /// Starts polling on the executor.
  void start(const asio::any_io_executor &executor);
  bool isCallerGone() const { return state->gone || state->exchange->isCallerGone(); }
  /// Replaces the action to run when the caller disconnects; empty for none.
  void setOnCallerGone(std::function<void()> action) { state->onGone = std::move(action); }

private:
  struct State {
    explicit State(HttpExchange &e) : exchange(&e) {}
    HttpExchange *exchange;
    std::unique_ptr<asio::steady_timer> timer;
    std::function<void()> onGone;
    bool gone = false;
    bool finished = false;
  };
  static asio::awaitable<void> run(std::shared_ptr<State> state);

  std::shared_ptr<State> state;
};

/// A request whose caller has been authenticated.
struct CallerRequest {
  GatewayCorePtr core;
  HttpExchange &exchange;
  CallerWatch &watch;
  std::string id;
  ListsPtr lists;
  const Plan &plan; ///< part of `lists`
  Instant arrived;
  Instant deadline;
};

/// Value of a header; empty if absent.
std::string_view headerOf(const HttpRequest &request, std::string_view name);
/// Path of the request's target, without the query.
std::string_view pathOf(const HttpRequest &request);
/// Value of X-Attempt-Id of an answer; empty if absent.
std::string_view attemptIdOf(const http::response_header<> &head);
/// "outcome" of a problem+json body; Count if it is absent or invalid.
RunOutcome outcomeOf(const std::string &body);

/// Sends a problem+json answer and counts the request. `kind` is a label of the metric.
asio::awaitable<void> answerProblem(CallerRequest &request, std::string_view kind, unsigned status,
                                    RunOutcome outcome, std::string_view detail,
                                    Duration retryAfter = Duration::zero());
/// Answers a request that admission or the planner refused: 429 if the plan's own limit caused it,
/// else 503. `mayHaveRun`: an earlier attempt may have run.
asio::awaitable<void> answerRefusal(CallerRequest &request, std::string_view kind,
                                    const AdmissionResult &result, bool mayHaveRun);

/// Waits for a share and a replica. The outcome is Cancelled if the caller disconnects meanwhile.
asio::awaitable<DispatchResult> dispatch(CallerRequest &request,
                                         const DispatchRequest &dispatchRequest);

/// Sends a request to an endpoint and returns its answer as a stream; null if the caller
/// disconnects meanwhile.
asio::awaitable<std::unique_ptr<HttpStream>> openEndpointStream(CallerRequest &request,
                                                                const Address &to,
                                                                HttpRequest message,
                                                                HttpTimeouts timeouts);
/// Reads a body until it ends or exceeds `limit` bytes. A body longer than the limit is returned
/// with the piece that exceeded it and without the rest.
asio::awaitable<std::string> readBody(HttpStream &stream, std::size_t limit);

/// Serves /v1/completions, or /v1/chat/completions if `chat` is true.
asio::awaitable<void> handleCompletion(CallerRequest &request, bool chat);
/// Serves /v1/services/.
asio::awaitable<void> handleService(CallerRequest &request);

} // namespace catkin
