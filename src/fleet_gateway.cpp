#include "fleet_gateway_p.h"

#include "attempt_p.h"
#include "buffer_budget_p.h"
#include "config.h"
#include "endpoint_search_p.h"
#include "event_relay_p.h"
#include "json_p.h"
#include "log_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

namespace catkin {

namespace {

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
// A request waits for its model for at most this share of its time, since it needs the rest to run.
// A request with a long deadline reserves only FirstEventTime, the time of a first event at a busy
// engine.
constexpr double ModelWaitShare = 0.6;
constexpr Duration FirstEventTime = std::chrono::milliseconds(1500);
// Requests stop waiting for a model this long before the process stops. A request whose model is
// loaded later could not end in time.
constexpr Duration MinRunTimeBeforeStop = std::chrono::milliseconds(2500);
// Interval at which waiting requests check whether the process stops.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(250);
// An idempotent request without an answer after this share of its time is sent to another endpoint.
constexpr double SilenceShare = 0.4;
// Silence timeout of a resumable stream, in latency objectives of its route.
constexpr double ResumeSilence = 1.8;
constexpr Duration MinResumeSilence = std::chrono::milliseconds(1500);
// An endpoint that stops work at the deadline reports this a little later.
constexpr Duration AnswerGrace = std::chrono::milliseconds(60);
// An engine that loads or unloads a model refuses requests for the model for some tens of
// milliseconds, or for longer while running requests of the model end. The pause before the next
// attempt doubles with each attempt.
constexpr Duration RefusalBackoff = std::chrono::milliseconds(30);
constexpr int MaxSends = 6; // of one request, including refused sends
// A model that is about to be loaded is present after this many answers that it is missing. If it
// is not, another host may know a better endpoint.
constexpr int MaxMissingAnswers = 2;
constexpr int MaxPermitDenials = 3; // then the request is refused
constexpr std::string_view QuarantineReason = "engines crash on a part of the prompt";

/// Formats seconds with milliseconds for the Retry-After header.
std::string secondsText(Duration d) {
  std::array<char, 32> buf{};
  auto n = std::snprintf(buf.data(), buf.size(), "%.3f", toSeconds(d));
  return {buf.data(), static_cast<std::size_t>(n)};
}

} // namespace

struct FleetGateway::Impl {
  asio::any_io_executor executor;
  FleetView &view;
  const RequestCodec &codec;
  FleetGatewayOptions options;
  FleetGatewayHooks hooks;
  HttpClient client;
  RetryBudget budget;
  PromptGuard noPromptGuard;
  PromptGuard &promptGuard;
  BufferBudget buffers{
      {.perAnswer = config::FleetAnswerBytes, .total = config::FleetHeldAnswersBytes}};
  FleetMetrics metrics;
  DemandMeter demand;
  std::map<std::pair<EndpointName, ModelRef>, int> runningRequests;
  int activeRequests = 0;
  Instant refuseFrom = Instant::max();
  Instant stopEnd = Instant::max();

  Impl(const asio::any_io_executor &executor, FleetView &view, const RequestCodec &codec,
       FleetGatewayOptions options, FleetGatewayHooks hooks)
      : executor(executor), view(view), codec(codec), options(std::move(options)),
        hooks(std::move(hooks)), client(executor), budget(this->options.budget),
        promptGuard(this->hooks.promptGuard ? *this->hooks.promptGuard : noPromptGuard) {}
};

namespace {

/// Forwards one request and relays its answer.
class RequestForwarder {
public:
  RequestForwarder(FleetGateway::Impl &gateway, HttpExchange &exchange)
      : g(gateway), exchange(exchange), waitTimer(g.executor), bufferReservation(g.buffers),
        arrivedAt(g.hooks.now()) {
    ++g.activeRequests;
    exchange.onCallerGone([this] { onCallerGone(); });
  }
  ~RequestForwarder() {
    --g.activeRequests;
    exchange.onCallerGone({});
  }
  RequestForwarder(const RequestForwarder &) = delete;
  RequestForwarder &operator=(const RequestForwarder &) = delete;

  asio::awaitable<void> run();

private:
  /// Finished: the caller has got its answer, or has gone. Failed: `failure` has the reason.
  enum class AttemptOutcome { Finished, Failed };

  /// An error answer of this host itself.
  struct Refusal {
    unsigned status = 0;
    std::string_view reason;
    std::optional<Duration> retryAfter; ///< estimated from the endpoints if empty
  };

  std::optional<Refusal> prepare();
  std::optional<Refusal> resolveRoute(const HttpRequest &request);
  std::optional<Refusal> findService();
  bool isQuarantined();
  Duration quarantineRetryAfter() const;
  asio::awaitable<const EndpointState *> findEndpoint();
  asio::awaitable<bool> waitForViewChange();
  Instant waitDeadline() const;
  asio::awaitable<void> pause(Duration d);
  Duration maxModelWait() const;
  Duration retryAfter() const;
  const EndpointState *choose() const;
  asio::awaitable<bool> obtainPermit(const FleetEndpoint &to);
  asio::awaitable<Permit> askForPermit(const FleetEndpoint &to, Duration maxDelay);
  Duration maxPermitWait() const;
  asio::awaitable<AttemptOutcome> sendTo(const FleetEndpoint &to);
  void onAnswerBegun();
  void recordSignals(const FleetEndpoint &from, Instant sentAt);
  asio::awaitable<AttemptOutcome> relayCompleteAnswer(HttpStream &stream, const AnswerHead &head);
  asio::awaitable<AttemptOutcome> relayEvents(HttpStream &stream);
  bool endsTooEarly(const http::response_header<> &head) const;
  AttemptOutcome rejectOversizedAnswer();
  asio::awaitable<bool> forwardEvents(const std::string &events, const http::response_header<> &);
  AttemptFailure failureOf(const HttpStream &stream) const;
  HttpTimeouts timeouts() const;
  bool canAbandon(const EndpointName &silent);
  bool tryReserveRetry(AttemptFailure why);
  asio::awaitable<void> refuse(unsigned status, std::string_view reason,
                               std::optional<Duration> after = std::nullopt);
  asio::awaitable<void> finishUnanswered();
  std::string_view notRunReason() const;
  asio::awaitable<void> respondWithFallback();
  /// True if no further endpoint may receive the request, and those that may have reported too
  /// often that they do not hold the model.
  bool isModelMissingEverywhere() const {
    return search->hasReachedEndpointLimit() && missingAnswers > MaxMissingAnswers;
  }
  void onCallerGone();
  void logRequest(unsigned status, std::string_view outcome);
  void logFailedAttempt(const FleetEndpoint &to);
  boost::json::object describeChoice(const EndpointState &chosen) const;
  Duration remainingTime() const { return limit - (g.hooks.now() - arrivedAt); }
  bool isDeadlinePassed() const { return remainingTime() <= Duration::zero(); }

  FleetGateway::Impl &g;
  HttpExchange &exchange;
  asio::steady_timer waitTimer;
  BufferBudget::Reservation bufferReservation; ///< for the incomplete answer or event
  Instant arrivedAt;
  CallerRequest caller;
  const FleetConfig *config = nullptr;
  std::uint64_t configVersion = 0;
  FleetRoute route; ///< a copy, since the configuration may change during the request
  ServiceName service;
  Duration limit{};      ///< for the complete answer, from the request's arrival
  Duration startLimit{}; ///< for the start of the answer; the caller disconnects after it
  HttpStream *currentStream = nullptr;  ///< of the attempt in progress
  std::optional<EndpointSearch> search; ///< set once the service is known
  boost::json::array choices; ///< for the log: each chosen endpoint and the inputs of the choice
  AttemptState state;
  AttemptFailure failure = AttemptFailure::NotConnected;
  EndpointResult result = EndpointResult::Abandoned;
  AnswerHead lastHead; ///< of the newest attempt
  /// The connection of the newest attempt broke before its answer began, as in a crash of the
  /// endpoint that this request or another one at the endpoint has caused.
  bool brokeBeforeFirstEvent = false;
  bool brokenOff = false;      ///< the newest attempt's stream ended too early
  bool answerBegun = false;    ///< that of the newest attempt
  PromptVerdict promptVerdict; ///< at the arrival, then before each attempt
  EventRelay events;
  /// Newest complete answer of an endpoint, used if no other endpoint gives a better one.
  std::optional<HttpResponse> fallback;
  int sends = 0;
  int permitDenials = 0;
  int missingAnswers = 0;   ///< answers that an endpoint does not hold the model
  Duration modelWaitTime{}; ///< total time spent waiting for the model
};

void RequestForwarder::onCallerGone() {
  waitTimer.cancel();
  if (currentStream)
    currentStream->cancel();
}

/// Decodes the request and finds its route and service. Returns a refusal if it cannot be served.
std::optional<RequestForwarder::Refusal> RequestForwarder::prepare() {
  caller = g.codec.decode(exchange.request());
  if (auto refusal = resolveRoute(exchange.request()))
    return refusal;
  if (!caller.rejectionReason.empty())
    return Refusal{400, caller.rejectionReason};
  if (arrivedAt >= g.refuseFrom && arrivedAt + limit > g.stopEnd)
    return Refusal{503, "this host is stopping"};
  if (auto refusal = findService())
    return refusal;
  if (isQuarantined())
    return Refusal{503, QuarantineReason, quarantineRetryAfter()};
  return std::nullopt;
}

/// Returns true if engines crash on a part of the prompt, so that the request must not be sent.
bool RequestForwarder::isQuarantined() {
  promptVerdict = g.promptGuard.judge(caller.sharedParts);
  return promptVerdict.kind == PromptVerdict::Kind::Quarantined;
}

/// Returns the time until the quarantine may end, within the time in which the caller can retry.
Duration RequestForwarder::quarantineRetryAfter() const {
  const Duration latest = std::max<Duration>(remainingTime() / 3, config::FleetRetryAfterMin);
  return promptVerdict.remaining > Duration::zero() ? std::min(promptVerdict.remaining, latest)
                                                    : latest;
}

std::optional<RequestForwarder::Refusal>
RequestForwarder::resolveRoute(const HttpRequest &request) {
  config = g.view.config();
  if (!config)
    return Refusal{503, "no configuration is known yet"};
  configVersion = config->version;
  auto target = request.target();
  auto *found = findRoute(*config, caller.host, {target.data(), target.size()});
  if (!found)
    return Refusal{404, "no route matches"};
  route = *found;
  limit = std::min(caller.deadline.value_or(route.timeout), route.timeout);
  startLimit = route.kind == CallKind::Stream ? std::min(limit, streamCallerTimeout(route)) : limit;
  return std::nullopt;
}

std::optional<RequestForwarder::Refusal> RequestForwarder::findService() {
  service = pickService(route, g.hooks.random());
  auto it = config->services.find(service);
  const bool engines = it != config->services.end() && it->second.hasEngines;
  if (!engines) {
    caller.model = {};
    return std::nullopt;
  }
  if (caller.model.empty())
    return Refusal{400, "the service needs a model"};
  if (it->second.engine.models.count(caller.model.model) == 0)
    return Refusal{404, "the service has no such model"};
  return std::nullopt;
}

asio::awaitable<void> RequestForwarder::run() {
  const auto refusal = prepare();
  if (refusal) {
    co_await refuse(refusal->status, refusal->reason, refusal->retryAfter);
    co_return;
  }
  if (!caller.model.empty())
    g.demand.onRequest(service, caller.model, arrivedAt);
  g.budget.onRequest(service, arrivedAt);
  state.idempotent = route.kind == CallKind::Idempotent || route.resumable;
  state.streaming = route.kind == CallKind::Stream;
  search.emplace(g.view, EndpointSearchOptions{.service = service,
                                               .model = caller.model,
                                               .dataCentre = g.options.dataCentre,
                                               .affinity = caller.affinity,
                                               .maxEndpoints = route.maxEndpoints});
  for (;;) {
    const EndpointState *chosen = co_await findEndpoint();
    if (exchange.isCallerGone()) {
      logRequest(0, "caller_gone");
      co_return;
    }
    if (!chosen || permitDenials >= MaxPermitDenials) {
      co_await finishUnanswered();
      co_return;
    }
    const FleetEndpoint to = chosen->entry;
    choices.push_back(describeChoice(*chosen));
    const bool permitted = co_await obtainPermit(to);
    if (!permitted)
      continue;
    if (isQuarantined()) { // since the request arrived or was first sent
      co_await finishUnanswered();
      co_return;
    }
    const AttemptOutcome attemptOutcome = co_await sendTo(to);
    if (attemptOutcome == AttemptOutcome::Finished)
      co_return;
    logFailedAttempt(to);
    if (!tryReserveRetry(failure)) {
      co_await finishUnanswered();
      co_return;
    }
    if (failure == AttemptFailure::Refused)
      co_await pause(RefusalBackoff * (1 << sends));
  }
}

/// Decides by the failure whether the request is sent again. Returns true and takes the retry from
/// the budget if so. An attempt without a connection uses no budget.
bool RequestForwarder::tryReserveRetry(AttemptFailure why) {
  if (exchange.isCallerGone())
    why = AttemptFailure::CallerGone;
  else if (isDeadlinePassed())
    why = AttemptFailure::DeadlinePassed;
  state.eventsRelayed = events.eventCount();
  state.attempts = static_cast<unsigned>(sends);
  state.retryAllowed = sends < MaxSends;
  auto step = nextStep(why, state);
  state.earlierMayHaveRun = state.earlierMayHaveRun || mayHaveRun(why);
  if (step != NextStep::Retry && step != NextStep::Resume)
    return false;
  bool arrived = why != AttemptFailure::NotConnected;
  if (arrived && !g.budget.tryConsume(service, g.hooks.hostCount(), g.hooks.now()))
    return false;
  return true;
}

/// Returns the best endpoint that can take the request now. Only if there is none, an endpoint for
/// whose permit the request would have to wait.
const EndpointState *RequestForwarder::choose() const {
  const Instant now = g.hooks.now();
  const std::uint64_t random = g.hooks.random();
  auto *chosen = search->choose(now, random, Duration::zero());
  return chosen ? chosen : search->choose(now, random, maxPermitWait());
}

Duration RequestForwarder::maxPermitWait() const {
  return std::clamp<Duration>(waitDeadline() - g.hooks.now(), Duration::zero(),
                              config::FleetPermitMaxWait);
}

/// Obtains the permission to send to the endpoint if it has named a limit of requests, which may
/// include a wait. Returns false if there is none, or if the endpoint must not get the request any
/// more; the next choice takes that into account.
asio::awaitable<bool> RequestForwarder::obtainPermit(const FleetEndpoint &to) {
  if (!g.view.limitOf(to).perSecond)
    co_return true;
  const bool hasOther = search->hasAlternative(to.name, g.hooks.now(), g.hooks.random());
  const Duration maxDelay = hasOther ? Duration::zero() : maxPermitWait();
  const Permit permit = co_await askForPermit(to, maxDelay);
  g.metrics.onPermit(permit.granted);
  auto &choice = choices.back().as_object();
  choice["permit"] = permit.granted;
  choice["permit_delay_ms"] = toMillis(permit.delay);
  if (!permit.granted) {
    ++permitDenials;
    g.view.onPermitDenied(incarnationOf(to), permit.delay, g.hooks.now());
    co_return false;
  }
  if (permit.delay > Duration::zero())
    co_await pause(permit.delay);
  co_return !exchange.isCallerGone() && search->isStillUsable(to);
}

asio::awaitable<Permit> RequestForwarder::askForPermit(const FleetEndpoint &to, Duration maxDelay) {
  auto start = [this, endpoint = incarnationOf(to), maxDelay](auto handler) {
    auto resume = std::make_shared<decltype(handler)>(std::move(handler));
    // Resumes the coroutine from the executor, since the hook may answer before it returns.
    auto done = [resume, executor = g.executor](const Permit &permit) {
      asio::post(executor, [resume, permit] { std::move (*resume)(permit); });
    };
    g.hooks.acquirePermit(endpoint, maxDelay, std::move(done));
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Permit)>(
      std::move(start), asio::use_awaitable);
}

/// Returns the endpoint to send to, after a wait for the model if no endpoint holds it. Null if
/// none becomes available in time.
asio::awaitable<const EndpointState *> RequestForwarder::findEndpoint() {
  if (isModelMissingEverywhere())
    co_return nullptr;
  auto *chosen = choose();
  if (chosen || exchange.isCallerGone())
    co_return chosen;
  if (search->shortestWait(g.hooks.now()) >= maxModelWait() - (g.hooks.now() - arrivedAt)) {
    // The caller is told to retry later, and the load begins in the meantime.
    if (!caller.model.empty() && !search->hasReachedEndpointLimit())
      g.hooks.onModelUnavailable(service, caller.model);
    co_return nullptr;
  }
  if (!caller.model.empty())
    g.hooks.onModelNeedChanged(service, caller.model, 1);
  const Instant since = g.hooks.now();
  while (!chosen && !exchange.isCallerGone()) {
    const bool inTime = co_await waitForViewChange();
    if (!inTime)
      break;
    if (isQuarantined())
      break;
    chosen = choose();
    const bool cannotBecomeReady = caller.model.empty() && !search->timeUntilReady(g.hooks.now());
    if (cannotBecomeReady)
      break;
  }
  modelWaitTime += g.hooks.now() - since;
  if (!caller.model.empty())
    g.hooks.onModelNeedChanged(service, caller.model, -1);
  // The pointer is valid: no other coroutine has run since the choice.
  co_return chosen;
}

/// Returns when the request stops waiting for its model. A stop of this host makes it earlier.
Instant RequestForwarder::waitDeadline() const {
  const Instant own = arrivedAt + maxModelWait();
  return g.stopEnd == Instant::max() ? own : std::min(own, g.stopEnd - MinRunTimeBeforeStop);
}

/// Waits for the next change of the view, or for StopCheckInterval. Returns false if the request
/// must not wait any longer.
asio::awaitable<bool> RequestForwarder::waitForViewChange() {
  const Duration d = waitDeadline() - g.hooks.now();
  if (d <= Duration::zero())
    co_return false;
  waitTimer.expires_after(std::min(d, StopCheckInterval));
  auto waiter = g.view.waitForChange([this] { waitTimer.cancel(); });
  auto [ec] = co_await waitTimer.async_wait(Tuple);
  g.view.cancelWait(waiter);
  co_return ec || g.hooks.now() < waitDeadline();
}

/// Waits for `d`, but not beyond the deadline.
asio::awaitable<void> RequestForwarder::pause(Duration d) {
  waitTimer.expires_after(std::min(d, std::max(remainingTime(), Duration::zero())));
  auto [ec] = co_await waitTimer.async_wait(Tuple);
  (void)ec; // cancelled if the caller disconnects, which the next step detects
}

/// Returns the longest time from its arrival that the request waits for its model.
Duration RequestForwarder::maxModelWait() const {
  return std::max(fromSeconds(toSeconds(startLimit) * ModelWaitShare), startLimit - FirstEventTime);
}

/// Returns true if a silent attempt may be abandoned. That needs another endpoint that can take the
/// request now, and a retry in the budget; otherwise a slow answer would be lost without a gain.
bool RequestForwarder::canAbandon(const EndpointName &silent) {
  const Instant now = g.hooks.now();
  return search->hasAlternative(silent, now, g.hooks.random()) &&
         g.budget.allows(service, g.hooks.hostCount(), now);
}

HttpTimeouts RequestForwarder::timeouts() const {
  HttpTimeouts t;
  t.connect = std::min<Duration>(config::FleetConnectTimeout, remainingTime());
  t.total = remainingTime() + AnswerGrace;
  t.silence = t.total;
  // Only a request that may be sent to a further endpoint gains from a silence timeout.
  bool canTryAnother = search->allowsEndpointAfterNext() && sends + 1 < MaxSends;
  if (!canTryAnother)
    t.silence = t.total;
  else if (route.kind == CallKind::Idempotent)
    t.silence = std::min(t.total, fromSeconds(toSeconds(limit) * SilenceShare));
  else if (route.resumable)
    t.silence =
        std::min(t.total, std::max(MinResumeSilence,
                                   fromSeconds(toSeconds(route.objective) * ResumeSilence)));
  t.maxIdleForReuse = route.kind == CallKind::Idempotent
                          ? Duration(config::FleetMaxConnectionIdle)
                          : Duration(config::FleetMaxConnectionIdle) / 4;
  return t;
}

AttemptFailure RequestForwarder::failureOf(const HttpStream &stream) const {
  if (exchange.isCallerGone())
    return AttemptFailure::CallerGone;
  switch (stream.status()) {
  case HttpTransferStatus::NotConnected:
    return AttemptFailure::NotConnected;
  case HttpTransferStatus::Timeout:
    return AttemptFailure::DeadlinePassed;
  case HttpTransferStatus::Silent:
    return AttemptFailure::Silent;
  default:
    return AttemptFailure::Broken;
  }
}

/// Sends the request to one endpoint and relays the answer.
asio::awaitable<RequestForwarder::AttemptOutcome>
RequestForwarder::sendTo(const FleetEndpoint &to) {
  ForwardOptions options{.to = &to, .timeLeft = remainingTime(), .priority = route.priority};
  options.lastEventId = events.lastEventId();
  HttpRequest request = g.codec.buildForwardedRequest(exchange.request(), options);
  const HttpTimeouts limits = timeouts();
  const std::pair runKey(to.name, caller.model);
  const Instant sentAt = g.hooks.now();
  ++sends;
  answerBegun = false;
  brokenOff = false;
  const bool isProbe = promptVerdict.kind == PromptVerdict::Kind::Probe;
  if (isProbe)
    g.promptGuard.onProbeSent(promptVerdict.part);
  ++g.runningRequests[runKey];
  g.view.onSent(to.name);
  result = EndpointResult::Failed;
  const StreamHooks streamHooks{.started = [this](HttpStream *it) { currentStream = it; },
                                .shouldFailOnSilence = [this, &to] { return canAbandon(to.name); }};
  auto stream = co_await g.client.open(to.address, std::move(request), limits, streamHooks);
  AttemptOutcome attemptOutcome = AttemptOutcome::Failed;
  lastHead = {};
  if (stream->status() == HttpTransferStatus::Ok) {
    search->onReceived(to.name);
    lastHead = g.codec.readHead(stream->head(), caller, to);
    recordSignals(to, sentAt);
    if (lastHead.wrongRequest) {
      failure = AttemptFailure::WrongAnswer;
    } else if (lastHead.notRun) {
      failure = AttemptFailure::Refused;
      result = EndpointResult::Refused;
      bool missing = lastHead.status == 421 && !caller.model.empty();
      if (missing && !lastHead.wrongEndpoint) {
        ++missingAnswers;
        g.view.onModelMissing(to.name, caller.model, g.hooks.now());
      }
      if (lastHead.wrongEndpoint)
        search->onUnreachable(to.name);
    } else if (state.streaming && lastHead.status == 200) {
      attemptOutcome = co_await relayEvents(*stream);
    } else {
      attemptOutcome = co_await relayCompleteAnswer(*stream, lastHead);
    }
  } else {
    failure = failureOf(*stream);
    if (failure == AttemptFailure::NotConnected) {
      search->onUnreachable(to.name);
      result = EndpointResult::NotConnected;
    } else {
      search->onReceived(to.name);
    }
  }
  brokeBeforeFirstEvent = attemptOutcome == AttemptOutcome::Failed && !exchange.isCallerGone() &&
                          (brokenOff || stream->status() == HttpTransferStatus::Broken) &&
                          !answerBegun;
  if (brokeBeforeFirstEvent)
    g.promptGuard.onBrokenBeforeAnswer(to, caller.sharedParts);
  else if (isProbe && !answerBegun)
    g.promptGuard.onProbeEnded(promptVerdict.part);
  currentStream = nullptr;
  stream.reset();
  bool isEndpointBlameless =
      failure == AttemptFailure::CallerGone ||
      (failure == AttemptFailure::DeadlinePassed && limit < MinResumeSilence);
  if (attemptOutcome == AttemptOutcome::Failed && isEndpointBlameless)
    result = EndpointResult::Abandoned;
  if (attemptOutcome == AttemptOutcome::Failed && mayHaveRun(failure))
    search->onFailed(to.name);
  g.view.onEnded(to.name, result, g.hooks.now());
  if (--g.runningRequests[runKey] <= 0)
    g.runningRequests.erase(runKey);
  co_return attemptOutcome;
}

/// Records that the prompt has not crashed the endpoint.
void RequestForwarder::onAnswerBegun() {
  if (!std::exchange(answerBegun, true))
    g.promptGuard.onAnswerBegun(caller.sharedParts);
}

/// Records what the head of an answer announces about the endpoint itself.
void RequestForwarder::recordSignals(const FleetEndpoint &from, Instant sentAt) {
  const Instant now = g.hooks.now();
  if (lastHead.wrongRequest || lastHead.wrongEndpoint)
    return; // the answer does not come from this endpoint, or may not
  g.view.onAnnouncements(incarnationOf(from), lastHead.announced, sentAt, now);
  if (lastHead.backoff)
    g.view.onBackoff(from, *lastHead.backoff, now);
}

/// Relays an answer only once it is complete, so that a broken one never looks complete.
asio::awaitable<RequestForwarder::AttemptOutcome>
RequestForwarder::relayCompleteAnswer(HttpStream &stream, const AnswerHead &head) {
  std::string body;
  for (;;) {
    std::string piece = co_await stream.read();
    if (piece.empty())
      break;
    const bool fits = bufferReservation.resize(body.size() + piece.size());
    if (!fits)
      co_return rejectOversizedAnswer();
    body += piece;
  }
  if (stream.status() != HttpTransferStatus::Ok) {
    failure = failureOf(stream);
    co_return AttemptOutcome::Failed;
  }
  const bool failed = head.status >= 500;
  if (!failed)
    onAnswerBegun();
  result = failed ? EndpointResult::Failed : EndpointResult::Answered;
  if (state.headersSent) { // a resumed stream cannot be replaced by another answer
    failure = AttemptFailure::Broken;
    co_return AttemptOutcome::Failed;
  }
  HttpResponse response;
  response.base() = g.codec.headForCaller(stream.head());
  response.body() = std::move(body);
  fallback = std::move(response);
  if (failed && state.idempotent && head.status != 504) {
    failure = AttemptFailure::Broken; // another endpoint may succeed
    co_return AttemptOutcome::Failed;
  }
  co_await respondWithFallback();
  co_return AttemptOutcome::Finished;
}

/// Fails an attempt whose answer exceeds the buffer budget. It counts as broken; its connection is
/// closed.
RequestForwarder::AttemptOutcome RequestForwarder::rejectOversizedAnswer() {
  failure = AttemptFailure::Broken;
  logLine(LogLevel::Warn, "answer too long",
          {{"request", caller.id}, {"held_bytes", g.buffers.usedBytes()}});
  return AttemptOutcome::Failed;
}

/// Answers with the newest complete answer of an endpoint.
asio::awaitable<void> RequestForwarder::respondWithFallback() {
  const unsigned status = fallback->result_int();
  const bool delivered = co_await exchange.respond(std::move(*fallback));
  logRequest(status, delivered ? "answered" : "caller_gone");
}

/// Sends events to the caller, after the status line if that has not been sent. Returns false if
/// the caller has gone.
asio::awaitable<bool> RequestForwarder::forwardEvents(const std::string &bytes,
                                                      const http::response_header<> &head) {
  if (!state.headersSent) {
    state.headersSent = true;
    g.metrics.onFirstEvent(g.hooks.now() - arrivedAt);
    HttpResponse response;
    response.base() = g.codec.headForCaller(head);
    const bool started = co_await exchange.startStream(std::move(response));
    if (!started)
      co_return false;
  }
  co_return co_await exchange.writeChunk(bytes);
}

/// Returns true if a stream that has ended was broken off: inside an event, or before its first
/// event if only the end of the connection marks its end.
bool RequestForwarder::endsTooEarly(const http::response_header<> &head) const {
  const bool endsWithConnection = head.find(http::field::content_length) == head.end() &&
                                  head.find(http::field::transfer_encoding) == head.end();
  return events.isInsideEvent() || (endsWithConnection && events.eventCount() == 0);
}

asio::awaitable<RequestForwarder::AttemptOutcome>
RequestForwarder::relayEvents(HttpStream &stream) {
  const http::response_header<> head = stream.head();
  bool delivered = true;
  while (delivered) {
    const std::string piece = co_await stream.read();
    if (piece.empty())
      break;
    events.feed(piece);
    const std::string whole = events.takeCompleteEvents();
    const bool fits = bufferReservation.resize(events.pendingBytes());
    if (!fits) {
      events.discardPartialEvent();
      co_return rejectOversizedAnswer();
    }
    if (whole.empty())
      continue;
    onAnswerBegun();
    delivered = co_await forwardEvents(whole, head);
  }
  if (!delivered || stream.status() != HttpTransferStatus::Ok) {
    events.discardPartialEvent();
    failure = delivered ? failureOf(stream) : AttemptFailure::CallerGone;
    co_return AttemptOutcome::Failed;
  }
  if (endsTooEarly(head)) {
    events.discardPartialEvent();
    failure = AttemptFailure::Broken;
    brokenOff = true;
    co_return AttemptOutcome::Failed;
  }
  result = EndpointResult::Answered;
  const std::string rest = events.takeRemainder();
  delivered = co_await forwardEvents(rest, head);
  if (delivered)
    delivered = co_await exchange.endStream();
  logRequest(200, delivered ? "answered" : "caller_gone");
  co_return AttemptOutcome::Finished;
}

/// Sends the final answer of a request that no endpoint has answered successfully.
asio::awaitable<void> RequestForwarder::finishUnanswered() {
  if (exchange.isCallerGone() || failure == AttemptFailure::CallerGone) {
    exchange.abort();
    logRequest(0, "caller_gone");
    co_return;
  }
  if (fallback) {
    co_await respondWithFallback();
    co_return;
  }
  if (state.headersSent) {
    exchange.abort();
    logRequest(200, "stream_cut");
    co_return;
  }
  if (state.earlierMayHaveRun) {
    co_await refuse(isDeadlinePassed() ? 504 : 502, "the endpoint failed");
    co_return;
  }
  if (promptVerdict.kind == PromptVerdict::Kind::Quarantined)
    co_return co_await refuse(503, QuarantineReason, quarantineRetryAfter());
  co_await refuse(503, notRunReason());
}

std::string_view RequestForwarder::notRunReason() const {
  if (sends > 0)
    return "not run";
  if (search->timeUntilPermit(g.hooks.now()))
    return "the request limit of the endpoints is used up";
  return caller.model.empty() ? "no endpoint takes the request in time"
                              : "no endpoint holds the model in time";
}

/// Answers with an error of this host.
asio::awaitable<void> RequestForwarder::refuse(unsigned status, std::string_view reason,
                                               std::optional<Duration> after) {
  const bool notRun = status == 503 || status < 500;
  HttpResponse response =
      problemResponse(status, notRun ? RunOutcome::NotRun : RunOutcome::MayHaveRun, reason);
  if (status == 503)
    response.set(http::field::retry_after, secondsText(after.value_or(retryAfter())));
  logRequest(status, reason);
  const bool delivered = co_await exchange.respond(std::move(response));
  (void)delivered; // no answer is needed if the caller has gone
}

/// Returns the estimated time until an endpoint takes the request, for the Retry-After header. It
/// is bounded by a third of the remaining time, so that the caller can still retry.
Duration RequestForwarder::retryAfter() const {
  // An endpoint that refused the request once may accept it a moment later, unless it asked for a
  // longer backoff.
  const bool noLoad = caller.model.empty() || sends > 0;
  // Other hosts can serve the request at once if this host has no configuration or is stopping.
  if (!search)
    return config::FleetRetryAfterMin;
  const Instant now = g.hooks.now();
  const auto permitWait = search->timeUntilPermit(now);
  if (noLoad && !permitWait && !search->timeUntilReady(now))
    return config::FleetRetryAfterMin;
  auto soonest = std::min(search->shortestWait(now), permitWait.value_or(Duration::max()));
  auto latest = std::max<Duration>(remainingTime() / 3, config::FleetRetryAfterMin);
  return soonest >= latest ? latest : soonest + config::FleetRetryAfterMin;
}

/// Describes a chosen endpoint and the inputs of the choice for the log. The term and age are those
/// of the planner's notice of its models; without a notice, the registration was used.
boost::json::object RequestForwarder::describeChoice(const EndpointState &chosen) const {
  boost::json::object out{{"endpoint", chosen.entry.name.value},
                          {"own", chosen.ownInFlight},
                          {"peers", chosen.peersInFlight},
                          {"failure_share", chosen.failureShare}};
  const RequestLimit limit = g.view.limitOf(chosen.entry);
  if (limit.perSecond)
    out["limit_per_second"] = *limit.perSecond;
  if (!chosen.notice || caller.model.empty())
    return out;
  out["notice_term"] = chosen.notice->term;
  out["notice_age_ms"] = toMillis(g.hooks.now() - chosen.noticeAt);
  return out;
}

void RequestForwarder::logFailedAttempt(const FleetEndpoint &to) {
  g.metrics.onFailedAttempt(toString(failure));
  boost::json::array parts;
  if (brokeBeforeFirstEvent)
    for (auto it : caller.sharedParts)
      parts.emplace_back(promptPartText(it));
  logLine(LogLevel::Info, "attempt failed",
          {{"request", caller.id},
           {"endpoint", to.name.value},
           {"incarnation", to.incarnation},
           {"failure", toString(failure)},
           {"status", lastHead.status},
           {"not_run", lastHead.notRun},
           {"events", events.eventCount()},
           {"broke_before_first_event", brokeBeforeFirstEvent},
           {"prompt_parts", std::move(parts)},
           {"after_ms", toMillis(g.hooks.now() - arrivedAt)}});
}

void RequestForwarder::logRequest(unsigned status, std::string_view outcome) {
  const Duration took = g.hooks.now() - arrivedAt;
  g.metrics.onRequest(route.name.empty() ? "none" : toString(route.kind), outcome, took);
  if (modelWaitTime > Duration::zero())
    g.metrics.onModelWait(modelWaitTime);
  logLine(LogLevel::Info, "request",
          {{"request", caller.id},
           {"route", route.name},
           {"service", service.value},
           {"model", toText(caller.model)},
           {"config", configVersion},
           {"choices", choices},
           {"sends", sends},
           {"quarantined_part", promptVerdict.kind == PromptVerdict::Kind::Clear
                                    ? std::string()
                                    : promptPartText(promptVerdict.part)},
           {"limit_ms", toMillis(limit)},
           {"waited_ms", toMillis(modelWaitTime)},
           {"took_ms", toMillis(took)},
           {"status", status},
           {"outcome", outcome}});
}

} // namespace

FleetGateway::FleetGateway(const asio::any_io_executor &executor, FleetView &view,
                           const RequestCodec &codec, FleetGatewayOptions options,
                           FleetGatewayHooks hooks)
    : impl(std::make_shared<Impl>(executor, view, codec, std::move(options), std::move(hooks))) {}

FleetGateway::~FleetGateway() = default;

asio::awaitable<void> FleetGateway::handle(HttpExchange &exchange) {
  RequestForwarder forwarder(*impl, exchange);
  co_await forwarder.run();
}

void FleetGateway::setStop(Instant refuseFrom, Instant end) {
  impl->refuseFrom = refuseFrom;
  impl->stopEnd = end;
}

DemandMeter &FleetGateway::demand() { return impl->demand; }

const std::map<std::pair<EndpointName, ModelRef>, int> &FleetGateway::runningRequests() const {
  return impl->runningRequests;
}

FleetMetrics &FleetGateway::metrics() { return impl->metrics; }

int FleetGateway::activeRequests() const { return impl->activeRequests; }

} // namespace catkin
