#include "request_forwarder_p.h"

#include "async_p.h"
#include "log_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
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
// An engine that loads or unloads a model refuses requests for the model for some tens of
// milliseconds, or for longer while running requests of the model end. The pause before the next
// attempt doubles with each attempt.
constexpr Duration RefusalBackoff = std::chrono::milliseconds(30);
constexpr int MaxPermitDenials = 3; // then the request is refused
constexpr double BytesPerEvent = 80;
// A caller that names absurd numbers must not disturb the choice for others.
constexpr std::int64_t MinTokens = 1;
constexpr std::int64_t MaxTokens = 1'000'000;

} // namespace

void RequestForwarder::onCallerGone() { cancelPending(); }

void RequestForwarder::endByStop() {
  endedByStop = true;
  logLine(
      LogLevel::Warn, "request ended by the stop of this host",
      {{"request", caller.id}, {"sends", sends}, {"took_ms", toMillis(g.hooks.now() - arrivedAt)}});
  cancelPending();
}

/// Ends the wait or the attempt in progress.
void RequestForwarder::cancelPending() {
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
  service = pickService(route, g.hooks.random());
  if (auto refusal = checkService())
    return refusal;
  if (isQuarantined())
    return Refusal{503, QuarantineReason, quarantineRetryAfter()};
  return std::nullopt;
}

/// Returns true if engines crash on the request, so that it must not be sent.
bool RequestForwarder::isQuarantined() {
  quarantineVerdict = g.crashGuard.judge(caller.traits);
  return quarantineVerdict.kind == QuarantineVerdict::Kind::Quarantined;
}

/// Returns the time until the quarantine may end, within the time in which the caller can retry.
Duration RequestForwarder::quarantineRetryAfter() const {
  const Duration latest = std::max<Duration>(remainingTime() / 3, config::FleetRetryAfterMin);
  return quarantineVerdict.remaining > Duration::zero()
             ? std::min(quarantineVerdict.remaining, latest)
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
  return identifyTeam();
}

std::optional<RequestForwarder::Refusal> RequestForwarder::checkService() {
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
  auto refusal = prepare();
  state.streaming = route.kind == CallKind::Stream;
  if (!refusal && state.streaming && caller.resumption && g.hooks.streamOrigins)
    refusal = co_await findOrigin();
  if (!refusal)
    refusal = co_await chargeQuota();
  if (refusal) {
    co_await refuse(refusal->status, refusal->reason, refusal->retryAfter);
    co_return;
  }
  if (!caller.model.empty())
    g.demand.onRequest(service, caller.model, arrivedAt);
  g.budget.onRequest(service, arrivedAt);
  state.idempotent = route.kind == CallKind::Idempotent || route.resumable;
  search.emplace(g.view, searchOptions());
  if (requiredVersion)
    search->requireVersion(*requiredVersion);
  for (;;) {
    const EndpointState *chosen = co_await findEndpoint();
    if (exchange.isCallerGone()) {
      logRequest(0, "caller_gone");
      co_return;
    }
    if (!chosen || permitDenials >= MaxPermitDenials || hasLostItsOrigin() || endedByStop) {
      co_await finishUnanswered();
      co_return;
    }
    const FleetEndpoint to = chosen->entry;
    choices.push_back(describeChoice(*chosen));
    const bool mustConfirm = needsConfirmation(*chosen);
    const bool recorded = co_await ensureVersionRecorded(to);
    if (!recorded)
      continue;
    const bool permitted = co_await obtainPermit(to);
    if (!permitted)
      continue;
    if (mustConfirm) {
      const bool confirmed = co_await confirmIncarnation(to);
      if (!confirmed)
        continue;
    }
    if (isQuarantined()) { // since the request arrived or was first sent
      co_await finishUnanswered();
      co_return;
    }
    const bool hasMemory = co_await reserveCopy();
    if (!hasMemory) {
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
const EndpointState *RequestForwarder::choose() {
  const Instant now = g.hooks.now();
  const std::uint64_t random = g.hooks.random();
  choice = search->decide(now, random, Duration::zero());
  if (!choice.endpoint)
    choice = search->decide(now, random, maxPermitWait());
  return choice.endpoint;
}

/// Returns the size and urgency of a request to an engine. A request that does not say how many
/// tokens it has counts as one for each byte of its body.
EngineRequest RequestForwarder::engineRequest() const {
  if (caller.model.empty())
    return {};
  const auto bodyBytes = static_cast<std::int64_t>(exchange.request().body().size());
  const TokenCount tokens = caller.tokens.value_or(TokenCount{.prompt = bodyBytes});
  return {.promptTokens = static_cast<double>(std::clamp(tokens.prompt, MinTokens, MaxTokens)),
          .answerTokens = static_cast<double>(std::clamp(tokens.output, MinTokens, MaxTokens)),
          .priority = priority()};
}

EndpointSearchOptions RequestForwarder::searchOptions() const {
  const EngineRequest request = engineRequest();
  return {.service = service,
          .model = caller.model,
          .dataCentre = g.options.dataCentre,
          .affinity = caller.affinity,
          .maxEndpoints = route.maxEndpoints,
          .request = request,
          .bytes = static_cast<double>(exchange.request().body().size()) +
                   BytesPerEvent * request.answerTokens,
          .objective = route.objective,
          .locality = &g.locality};
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
  co_return co_await waitForCallback<Permit>(
      [&](auto done) { g.hooks.acquirePermit(incarnationOf(to), maxDelay, std::move(done)); });
}

/// Returns the endpoint to send to, after a wait for the model if no endpoint holds it. Null if
/// none becomes available in time.
asio::awaitable<const EndpointState *> RequestForwarder::findEndpoint() {
  if (isModelMissingEverywhere())
    co_return nullptr;
  auto *chosen = choose();
  if (!chosen && search->version() && !std::exchange(versionSought, true))
    chosen = co_await seekVersion();
  if (chosen || versionUnrecorded || exchange.isCallerGone())
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

} // namespace catkin
