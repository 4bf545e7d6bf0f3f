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

/// Parts of the gateway that its request handlers share. Private to gateway*.cpp.
namespace catkin {

/// State of one gateway. Lock order: lists, then the dispatcher's locks.
class GatewayCore : public std::enable_shared_from_this<GatewayCore> {
public:
  GatewayCore(asio::any_io_executor strand, asio::any_io_executor pool, GatewayOptions options,
              DecisionLog &decisions);

  ListsPtr lists() const;
  void setLists(ListsPtr lists);
  std::string newId();
  /// Requests wait: ask for cold models and shares, and start the tick. From any thread.
  void onRequestsWaiting();
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
  std::atomic<bool> stopping = false;
  std::atomic<std::size_t> activeRequests = 0;

private:
  struct EnsureState {
    bool inProgress = false;
    Instant updatedAt;
  };

  void tick();
  void ensureColdModels(Instant now);
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

/// Watches whether the caller of one request has gone. Lives on the request's strand; `onGone` runs
/// there at most once.
class CallerWatch {
public:
  explicit CallerWatch(HttpExchange &exchange) : state(std::make_shared<State>(exchange)) {}
  ~CallerWatch();
  CallerWatch(const CallerWatch &) = delete;
  CallerWatch &operator=(const CallerWatch &) = delete;

  void start(const asio::any_io_executor &executor);
  bool isCallerGone() const { return state->gone || state->exchange->callerGone(); }
  /// Replaces the action to take when the caller goes; empty for none.
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

/// A request whose caller is known.
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

std::string_view headerOf(const HttpRequest &request, std::string_view name);
std::string_view pathOf(const HttpRequest &request);
/// Value of X-Attempt-Id of an answer.
std::string_view attemptIdOf(const http::response_header<> &head);
/// "outcome" of a problem+json body; Count if there is none.
RunOutcome outcomeOf(const std::string &body);

/// Sends a problem. `kind` labels the metric.
asio::awaitable<void> answerProblem(CallerRequest &request, std::string_view kind, unsigned status,
                                    RunOutcome outcome, std::string_view detail,
                                    Duration retryAfter = Duration::zero());
/// Answer to a request that admission or the planner refused. `mayHaveRun`: an earlier attempt may
/// have run.
asio::awaitable<void> answerRefusal(CallerRequest &request, std::string_view kind,
                                    const AdmissionResult &result, bool mayHaveRun);

/// Waits for a share and a replica; gives outcome Cancelled if the caller goes meanwhile.
asio::awaitable<DispatchResult> dispatch(CallerRequest &request,
                                         const DispatchRequest &dispatchRequest);

/// Opens a request to an endpoint. Null if the caller went away meanwhile.
asio::awaitable<std::unique_ptr<HttpStream>> openEndpointStream(CallerRequest &request,
                                                                const Address &to,
                                                                HttpRequest message,
                                                                HttpTimeouts timeouts);
/// Reads a body up to `limit` bytes; the rest is cut off.
asio::awaitable<std::string> readBody(HttpStream &stream, std::size_t limit);

asio::awaitable<void> handleCompletion(CallerRequest &request, bool chat);
asio::awaitable<void> handleService(CallerRequest &request);

} // namespace catkin
