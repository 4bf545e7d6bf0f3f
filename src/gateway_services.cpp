#include "async_p.h"
#include "attempt_p.h"
#include "gateway_core_p.h"
#include "real_env_p.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace catkin {

namespace {

constexpr std::string_view MetricKind = "service";
constexpr std::string_view ServicePathPrefix = "/v1/services/";
constexpr unsigned MaxAttempts = 4;

// Headers that apply to a single connection or that the gateway sets itself. "authorization" holds
// the caller's key, which must not reach services.
constexpr std::array<std::string_view, 14> NotForwarded{
    "connection",        "keep-alive",   "proxy-connection",
    "transfer-encoding", "te",           "trailer",
    "upgrade",           "host",         "content-length",
    "authorization",     "expect",       "x-attempt-id",
    "x-request-id",      "x-deadline-ms"};

bool isForwarded(std::string_view name) {
  return std::none_of(NotForwarded.begin(), NotForwarded.end(), [&](auto it) {
    return boost::beast::iequals(boost::beast::string_view(it.data(), it.size()),
                                 boost::beast::string_view(name.data(), name.size()));
  });
}

/// Copies the headers that are forwarded.
template <class From, class To> void copyHeaders(const From &from, To &to) {
  for (auto &it : from)
    if (isForwarded({it.name_string().data(), it.name_string().size()}))
      to.insert(it.name_string(), it.value());
}

/// Service and path of a request.
struct ServiceTarget {
  ServiceName service;
  std::string path; ///< with the query, as the service sees it
};

ServiceTarget parseTarget(const HttpRequest &request) {
  std::string_view target(request.target().data(), request.target().size());
  target.remove_prefix(ServicePathPrefix.size());
  auto end = target.find_first_of("/?");
  ServiceTarget out{ServiceName(target.substr(0, end)), "/"};
  if (end == std::string_view::npos)
    return out;
  auto rest = target.substr(end);
  out.path = rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
  return out;
}

AttemptFailure failureOf(HttpTransferStatus status) {
  switch (status) {
  case HttpTransferStatus::NotConnected:
    return AttemptFailure::NotConnected;
  case HttpTransferStatus::Silent:
    return AttemptFailure::Silent;
  case HttpTransferStatus::Timeout:
    return AttemptFailure::DeadlinePassed;
  default:
    return AttemptFailure::Broken;
  }
}

/// Answer of one attempt.
struct ServiceAnswer {
  std::optional<AttemptFailure> failure;
  HttpResponse response; ///< set if there is no failure
};

/// Runs one call of a service. A non-idempotent call is claimed in the ledger before its first byte
/// is sent. It continues if its caller disconnects, so that the answer can be stored for the
/// caller's retry.
class ServiceCall {
public:
  ServiceCall(CallerRequest &request, ServiceTarget target, bool idempotent)
      : request(request), core(*request.core), target(std::move(target)), idempotent(idempotent) {}

  asio::awaitable<void> run();

private:
  asio::awaitable<bool> claim();
  asio::awaitable<void> answerClaim(const ClaimResult &result);
  asio::awaitable<void> replay(const StoredAnswer &answer);
  asio::awaitable<ServiceAnswer> attempt(const DispatchResult &dispatched);
  asio::awaitable<void> deliver(const HttpResponse &answer);
  /// Answers the caller after the last attempt has failed, and abandons the claim or marks it
  /// as lost.
  asio::awaitable<void> answerFailure(NextStep step, AttemptFailure failure);
  NextStep decideNextStep(AttemptFailure failure);
  DispatchRequest dispatchRequest() const;
  HttpRequest buildRequest() const;
  /// Ends the dispatch of an attempt. `healthy`: the endpoint is not at fault.
  void endDispatch(const DispatchResult &dispatched, bool healthy);
  template <class Use> void postToLedger(Use use);
  /// Gives up the claim of a call that has not run.
  void abandon();
  /// Writes the outcome of a claim to the decision log.
  void recordDecision(std::string_view reason);

  CallerRequest &request;
  GatewayCore &core;
  ServiceTarget target;
  bool idempotent;
  std::optional<CallKey> key; ///< set while this call holds a claim in the ledger
  std::string attemptId;
  std::vector<EndpointName> tried;
  unsigned attempts = 0;
  bool earlierMayHaveRun = false;
};

DispatchRequest ServiceCall::dispatchRequest() const {
  return {.waiting = {.requestId = request.id,
                      .plan = request.plan.name,
                      .model = serviceKey(target.service),
                      .priority = request.plan.priority,
                      .deadline = request.deadline},
          .tried = tried};
}

void ServiceCall::endDispatch(const DispatchResult &dispatched, bool healthy) {
  core.dispatcher.end({.model = serviceKey(target.service),
                       .plan = request.plan.name,
                       .endpoint = dispatched.endpoint,
                       .healthy = healthy});
}

asio::awaitable<void> ServiceCall::run() {
  for (;;) {
    auto dispatched = co_await dispatch(request, dispatchRequest());
    if (dispatched.admission.outcome != AdmissionOutcome::Start) {
      abandon();
      if (dispatched.admission.outcome == AdmissionOutcome::Cancelled)
        co_return request.exchange.abort();
      co_return co_await answerRefusal(request, MetricKind, dispatched.admission,
                                       earlierMayHaveRun);
    }
    bool claimed = true;
    if (!idempotent && !key)
      claimed = co_await claim();
    if (!claimed)
      co_return endDispatch(dispatched, true);
    auto answer = co_await attempt(dispatched);
    endDispatch(dispatched, !answer.failure || *answer.failure == AttemptFailure::Refused ||
                                *answer.failure == AttemptFailure::CallerGone ||
                                *answer.failure == AttemptFailure::DeadlinePassed);
    if (!answer.failure)
      co_return co_await deliver(answer.response);
    core.metrics.onFailedAttempt(toString(*answer.failure));
    tried.push_back(dispatched.endpoint);
    auto step = decideNextStep(*answer.failure);
    earlierMayHaveRun = earlierMayHaveRun || mayHaveRun(*answer.failure);
    if (step != NextStep::Retry)
      co_return co_await answerFailure(step, *answer.failure);
  }
}

NextStep ServiceCall::decideNextStep(AttemptFailure failure) {
  AttemptState state{.idempotent = idempotent,
                     .attempts = attempts,
                     .retryAllowed = true,
                     .earlierMayHaveRun = earlierMayHaveRun};
  auto step = nextStep(failure, state);
  if (step != NextStep::Retry)
    return step;
  state.retryAllowed =
      attempts < MaxAttempts && steadyNow() < request.deadline && core.dispatcher.tryConsumeRetry();
  return nextStep(failure, state);
}

// ---- Ledger -------------------------------------------------------------------------------------

/// Runs `use` with the ledger on the strand.
template <class Use> void ServiceCall::postToLedger(Use use) {
  asio::post(core.strand, [core = request.core, use] { use(*core->dependencies.ledger); });
}

/// Claims the call in the ledger. Returns false if the claim was not granted; the caller has then
/// been answered.
asio::awaitable<bool> ServiceCall::claim() {
  auto &message = request.exchange.request();
  // The separator cannot occur in the method or the path, so different calls have different
  // fingerprints.
  auto fingerprint =
      std::string(message.method_string()) + '\n' + target.path + '\n' + message.body();
  CallKey claimKey{.plan = request.plan.name,
                   .service = target.service,
                   .idempotencyKey = std::string(headerOf(message, "Idempotency-Key")),
                   .requestHash = hashKey(fingerprint)};
  auto start = [&](const std::function<void(ClaimResult)> &done) {
    postToLedger([claimKey, deadline = request.deadline, done](Ledger &ledger) {
      ledger.claim(claimKey, deadline, done);
    });
  };
  auto result = co_await waitForCallback<ClaimResult>(start);
  recordDecision(toString(result.outcome));
  if (result.outcome != ClaimOutcome::Granted) {
    co_await answerClaim(result);
    co_return false;
  }
  key = claimKey;
  attemptId = result.attemptId;
  co_return true;
}

void ServiceCall::recordDecision(std::string_view reason) {
  core.decisions.add({.kind = DecisionKind::Call,
                      .requestId = request.id,
                      .plan = request.plan.name,
                      .model = ModelName(target.service.value),
                      .reason = std::string(reason)});
}

/// Answers a call whose claim was not granted.
asio::awaitable<void> ServiceCall::answerClaim(const ClaimResult &result) {
  struct Row {
    ClaimOutcome outcome;
    unsigned status;
    RunOutcome runOutcome;
    std::string_view detail;
  };
  static constexpr std::array Rows{
      Row{ClaimOutcome::MayHaveRun, 502, RunOutcome::MayHaveRun,
          "an earlier attempt with this key may have run; its answer is lost"},
      Row{ClaimOutcome::InProgress, 409, RunOutcome::MayHaveRun,
          "another attempt with this key is in progress"},
      Row{ClaimOutcome::KeyReused, 422, RunOutcome::NotRun,
          "this idempotency key was used with a different request"},
      Row{ClaimOutcome::Unavailable, 503, RunOutcome::NotRun,
          "the call cannot be recorded now; it did not run"}};
  if (result.outcome == ClaimOutcome::Replay)
    co_return co_await replay(result.answer);
  auto row = std::find_if(Rows.begin(), Rows.end(),
                          [&](auto &it) { return it.outcome == result.outcome; });
  bool retryable =
      row->outcome == ClaimOutcome::InProgress || row->outcome == ClaimOutcome::Unavailable;
  auto wait =
      retryable ? std::max<Duration>(result.retryAfter, std::chrono::seconds(1)) : Duration::zero();
  co_await answerProblem(request, MetricKind, row->status, row->runOutcome, row->detail, wait);
}

/// Sends the stored answer of an earlier attempt with the same key.
asio::awaitable<void> ServiceCall::replay(const StoredAnswer &answer) {
  if (answer.truncated)
    co_return co_await answerProblem(request, MetricKind, 410, RunOutcome::Ran,
                                     "the call ran, but its answer was too large to store");
  HttpResponse response{static_cast<http::status>(answer.status), 11};
  if (!answer.contentType.empty())
    response.set(http::field::content_type, answer.contentType);
  response.set("Idempotent-Replay", "true");
  response.body() = answer.body;
  co_await deliver(response);
}

void ServiceCall::abandon() {
  if (!key)
    return;
  postToLedger([key = *key, id = attemptId](Ledger &ledger) { ledger.abandon(key, id); });
  key.reset();
}

// ---- Attempt ------------------------------------------------------------------------------------

HttpRequest ServiceCall::buildRequest() const {
  auto &from = request.exchange.request();
  HttpRequest out{from.method(), target.path, 11};
  copyHeaders(from, out);
  out.set("X-Attempt-Id", attemptId);
  out.set("X-Request-Id", request.id);
  out.set("X-Plan", request.plan.name.value);
  out.set("X-Deadline-Ms", std::to_string(toMillis(request.deadline - steadyNow())));
  out.body() = from.body();
  out.prepare_payload();
  return out;
}

asio::awaitable<ServiceAnswer> ServiceCall::attempt(const DispatchResult &dispatched) {
  ++attempts;
  auto remaining = request.deadline - steadyNow();
  if (dispatched.endpoint.empty() || remaining <= Duration{0})
    co_return ServiceAnswer{AttemptFailure::NotConnected, {}};
  if (idempotent)
    attemptId = request.id + "-" + std::to_string(attempts);
  HttpTimeouts timeouts{.connect = std::min(core.options.connectTimeout, remaining),
                        .silence = std::min(core.options.serviceSilenceTimeout, remaining),
                        .total = remaining};
  std::unique_ptr<HttpStream> stream;
  if (idempotent)
    stream = co_await openEndpointStream(request, dispatched.address, buildRequest(), timeouts);
  else
    stream = co_await core.client.open(dispatched.address, buildRequest(), timeouts);
  if (!stream)
    co_return ServiceAnswer{AttemptFailure::CallerGone, {}};
  ServiceAnswer answer;
  if (stream->status() == HttpTransferStatus::Ok) {
    answer.response = HttpResponse{stream->head().result(), 11};
    copyHeaders(stream->head(), answer.response);
    answer.response.body() = co_await readBody(*stream, config::MaxAnswerBytes);
  }
  if (stream->status() == HttpTransferStatus::Silent)
    core.client.closeIdleConnections(dispatched.address);
  if (stream->status() != HttpTransferStatus::Ok)
    co_return ServiceAnswer{failureOf(stream->status()), {}};
  if (core.options.guards.matchAnswerId && attemptIdOf(stream->head()) != attemptId)
    co_return ServiceAnswer{AttemptFailure::WrongAnswer, {}};
  if (answer.response.body().size() > config::MaxAnswerBytes)
    co_return ServiceAnswer{AttemptFailure::Broken, {}};
  if (answer.response.result_int() == 503 &&
      outcomeOf(answer.response.body()) == RunOutcome::NotRun)
    co_return ServiceAnswer{AttemptFailure::Refused, {}};
  co_return answer;
}

/// Stores the answer of a claimed call and sends it to the caller.
asio::awaitable<void> ServiceCall::deliver(const HttpResponse &answer) {
  if (key) {
    StoredAnswer stored{.status = static_cast<int>(answer.result_int()),
                        .contentType = std::string(answer[http::field::content_type]),
                        .body = answer.body().substr(0, config::MaxStoredAnswerBytes),
                        .truncated = answer.body().size() > config::MaxStoredAnswerBytes};
    postToLedger(
        [key = *key, id = attemptId, stored](Ledger &ledger) { ledger.finish(key, id, stored); });
  }
  auto response = answer;
  response.set("X-Outcome", "ran");
  response.set("X-Request-Id", request.id);
  core.metrics.onRequest(request.plan.name, MetricKind, toString(RunOutcome::Ran));
  co_await request.exchange.respond(std::move(response));
}

asio::awaitable<void> ServiceCall::answerFailure(NextStep step, AttemptFailure failure) {
  if (key && (step == NextStep::AnswerNotRun))
    abandon();
  if (key)
    postToLedger([key = *key, id = attemptId](Ledger &ledger) { ledger.markLost(key, id); });
  if (step == NextStep::Stop)
    co_return request.exchange.abort();
  auto detail = "the service failed: " + std::string(toString(failure));
  if (step == NextStep::AnswerNotRun)
    co_return co_await answerProblem(request, MetricKind, 503, RunOutcome::NotRun, detail,
                                     std::chrono::seconds(1));
  co_await answerProblem(request, MetricKind, failure == AttemptFailure::DeadlinePassed ? 504 : 502,
                         RunOutcome::MayHaveRun, detail, std::chrono::seconds(idempotent ? 1 : 0));
}

} // namespace

asio::awaitable<void> handleService(CallerRequest &request) {
  auto &message = request.exchange.request();
  auto target = parseTarget(message);
  auto it = request.lists->services.find(target.service);
  if (it == request.lists->services.end())
    co_return co_await answerProblem(request, MetricKind, 404, RunOutcome::NotRun,
                                     "no such service: " + target.service.value);
  if (!request.lists->mayUse(request.plan.name, target.service))
    co_return co_await answerProblem(request, MetricKind, 403, RunOutcome::NotRun,
                                     "the plan may not use " + target.service.value);
  auto idempotencyKey = headerOf(message, "Idempotency-Key");
  if (idempotencyKey.size() > config::MaxIdempotencyKeyLength)
    co_return co_await answerProblem(request, MetricKind, 400, RunOutcome::NotRun,
                                     "Idempotency-Key is too long");
  if (!it->second.idempotent && idempotencyKey.empty())
    co_return co_await answerProblem(request, MetricKind, 400, RunOutcome::NotRun,
                                     "Idempotency-Key is required by this service");
  request.core->dispatcher.onRequest(serviceKey(target.service));
  ServiceCall call(request, std::move(target), it->second.idempotent);
  co_await call.run();
}

} // namespace catkin
