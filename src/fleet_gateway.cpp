#include "fleet_gateway_p.h"

#include "attempt_p.h"
#include "buffer_budget_p.h"
#include "config.h"
#include "endpoint_search_p.h"
#include "event_relay_p.h"
#include "json_p.h"
#include "log_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

namespace catkin {

namespace {

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
// Share of its time that a request waits for its model; the rest is needed to run. A request with
// more time keeps only as much as a first event takes at a busy engine.
constexpr double WaitShare = 0.6;
constexpr Duration FirstEventTime = std::chrono::milliseconds(1500);
// Before the end of a stop: a request whose model comes later could not end in time.
constexpr Duration StopRunTime = std::chrono::milliseconds(2500);
constexpr Duration StopCheck = std::chrono::milliseconds(250); // of requests that wait
// An idempotent request that got no answer in this share of its time is tried elsewhere.
constexpr double SilentShare = 0.4;
constexpr double ResumeSilence = 1.8; // latency objectives without a byte of a resumable stream
constexpr Duration MinResumeSilence = std::chrono::milliseconds(1500);
// An endpoint that ends work at the deadline says so a little after it.
constexpr Duration AnswerGrace = std::chrono::milliseconds(60);
// An engine that loads or drops a model refuses its requests for some tens of milliseconds, or for
// longer while runs of the model end. Doubles with each refusal.
constexpr Duration RefusedPause = std::chrono::milliseconds(30);
constexpr int MaxSends = 6; // of one request, counting refused ones
// A model that is about to be loaded is there by then; else another host may know a better
// endpoint.
constexpr int MaxMissingAnswers = 2;

/// Seconds with a fraction, as callers accept them.
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
  BufferBudget buffers{
      {.perAnswer = config::FleetAnswerBytes, .total = config::FleetHeldAnswersBytes}};
  FleetMetrics metrics;
  DemandMeter demand;
  std::map<std::pair<EndpointName, ModelRef>, int> running;
  int active = 0;
  Instant refuseFrom = Instant::max();
  Instant stopEnd = Instant::max();

  Impl(const asio::any_io_executor &executor, FleetView &view, const RequestCodec &codec,
       FleetGatewayOptions options, FleetGatewayHooks hooks)
      : executor(executor), view(view), codec(codec), options(std::move(options)),
        hooks(std::move(hooks)), client(executor), budget(this->options.budget) {}
};

namespace {

/// One request on its way through this host.
class Relay {
public:
  Relay(FleetGateway::Impl &gateway, HttpExchange &exchange)
      : g(gateway), exchange(exchange), wakeUp(g.executor), held(g.buffers),
        arrivedAt(g.hooks.now()) {
    ++g.active;
    exchange.onCallerGone([this] { onCallerGone(); });
  }
  ~Relay() {
    --g.active;
    exchange.onCallerGone({});
  }
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  asio::awaitable<void> run();

private:
  enum class Attempt { Ended, Failed };

  struct Refusal {
    unsigned status = 0;
    std::string_view reason;
  };

  std::optional<Refusal> prepare();
  std::optional<Refusal> findRouteOf(const HttpRequest &request);
  std::optional<Refusal> findService();
  asio::awaitable<const EndpointState *> findEndpoint();
  asio::awaitable<bool> waitForModel();
  Instant waitEnd() const;
  asio::awaitable<void> pause(Duration d);
  Duration longestWait() const;
  Duration retryAfter() const;
  const EndpointState *choose() const;
  asio::awaitable<Attempt> attempt(const FleetEndpoint &to);
  void noteSignals(const FleetEndpoint &from);
  asio::awaitable<Attempt> relayWhole(HttpStream &stream, const AnswerHead &head);
  asio::awaitable<Attempt> relayEvents(HttpStream &stream);
  Attempt tooLong();
  asio::awaitable<bool> forwardEvents(const std::string &events, const http::response_header<> &);
  AttemptFailure failureOf(const HttpStream &stream) const;
  HttpTimeouts timeouts() const;
  bool mayLeave(const EndpointName &silent);
  bool mayRepeatNow(AttemptFailure why);
  asio::awaitable<void> refuse(unsigned status, std::string_view reason);
  asio::awaitable<void> giveUp();
  std::string_view whyNotRun() const;
  asio::awaitable<void> respondFallback();
  /// The endpoints that the request may go to go on saying that they do not hold the model.
  bool givenUpByAll() const { return search->usedUp() && missingAnswers > MaxMissingAnswers; }
  void onCallerGone();
  void logEnd(unsigned status, std::string_view outcome);
  void logAttempt(const FleetEndpoint &to);
  boost::json::object describeChoice(const EndpointState &chosen) const;
  Duration left() const { return limit - (g.hooks.now() - arrivedAt); }
  bool late() const { return left() <= Duration::zero(); }

  FleetGateway::Impl &g;
  HttpExchange &exchange;
  asio::steady_timer wakeUp;
  BufferBudget::Share held; ///< of the answer or event that is not whole yet
  Instant arrivedAt;
  CallerRequest caller;
  const FleetConfig *config = nullptr;
  std::uint64_t configVersion = 0;
  FleetRoute route; ///< a copy, since the configuration may change meanwhile
  ServiceName service;
  Duration limit{};   ///< for the whole answer
  Duration firstBy{}; ///< for its beginning; the caller leaves then
  HttpStream *current = nullptr;
  std::optional<EndpointSearch> search; ///< set once the service is known
  boost::json::array choices; ///< for the log: each endpoint chosen, and what was known of it
  AttemptState state;
  AttemptFailure failure = AttemptFailure::NotConnected;
  EndpointResult result = EndpointResult::Abandoned;
  AnswerHead lastHead;
  EventRelay events;
  std::optional<HttpResponse> fallback; ///< an endpoint's own failure, if no other does better
  int sends = 0;
  int missingAnswers = 0; ///< that an endpoint does not hold the model
  Duration waited{};
};

void Relay::onCallerGone() {
  wakeUp.cancel();
  if (current)
    current->cancel();
}

/// Reads the request and finds its route and service, or why it cannot be served here.
std::optional<Relay::Refusal> Relay::prepare() {
  caller = g.codec.decode(exchange.request());
  if (auto refusal = findRouteOf(exchange.request()))
    return refusal;
  if (!caller.fault.empty())
    return Refusal{400, caller.fault};
  if (arrivedAt >= g.refuseFrom && arrivedAt + limit > g.stopEnd)
    return Refusal{503, "this host is stopping"};
  return findService();
}

std::optional<Relay::Refusal> Relay::findRouteOf(const HttpRequest &request) {
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
  firstBy = route.kind == CallKind::Stream ? std::min(limit, streamPatience(route)) : limit;
  return std::nullopt;
}

std::optional<Relay::Refusal> Relay::findService() {
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

asio::awaitable<void> Relay::run() {
  const auto refusal = prepare();
  if (refusal) {
    co_await refuse(refusal->status, refusal->reason);
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
    if (exchange.callerGone()) {
      logEnd(0, "caller_gone");
      co_return;
    }
    if (!chosen) {
      co_await giveUp();
      co_return;
    }
    const FleetEndpoint to = chosen->entry;
    choices.push_back(describeChoice(*chosen));
    const Attempt ended = co_await attempt(to);
    if (ended == Attempt::Ended)
      co_return;
    logAttempt(to);
    if (!mayRepeatNow(failure)) {
      co_await giveUp();
      co_return;
    }
    if (failure == AttemptFailure::Refused)
      co_await pause(RefusedPause * (1 << sends));
  }
}

/// Decides by what has failed whether the request goes out once more, and counts the repeat.
bool Relay::mayRepeatNow(AttemptFailure why) {
  if (exchange.callerGone())
    why = AttemptFailure::CallerGone;
  else if (late())
    why = AttemptFailure::DeadlinePassed;
  state.eventsRelayed = events.events();
  state.attempts = static_cast<unsigned>(sends);
  state.retryAllowed = sends < MaxSends;
  auto step = nextStep(why, state);
  state.earlierMayHaveRun = state.earlierMayHaveRun || mayHaveRun(why);
  if (step != NextStep::Retry && step != NextStep::Resume)
    return false;
  bool arrived = why != AttemptFailure::NotConnected;
  if (arrived && !g.budget.take(service, g.hooks.hostCount(), g.hooks.now()))
    return false;
  return true;
}

const EndpointState *Relay::choose() const {
  return search->choose(g.hooks.now(), g.hooks.random());
}

/// The endpoint to send to, after a wait for the model if no endpoint holds it. Null if there is
/// none in time.
asio::awaitable<const EndpointState *> Relay::findEndpoint() {
  if (givenUpByAll())
    co_return nullptr;
  auto *chosen = choose();
  if (chosen || exchange.callerGone())
    co_return chosen;
  if (search->soonestService(g.hooks.now()) >= longestWait() - (g.hooks.now() - arrivedAt)) {
    // The caller is told to come back; the load begins meanwhile.
    if (!caller.model.empty() && !search->usedUp())
      g.hooks.wanted(service, caller.model);
    co_return nullptr;
  }
  if (!caller.model.empty())
    g.hooks.needChanged(service, caller.model, 1);
  const Instant since = g.hooks.now();
  while (!chosen && !exchange.callerGone()) {
    const bool inTime = co_await waitForModel();
    if (!inTime)
      break;
    chosen = choose();
    const bool hopeless = caller.model.empty() && !search->readyAgainIn(g.hooks.now());
    if (hopeless)
      break;
  }
  waited += g.hooks.now() - since;
  if (!caller.model.empty())
    g.hooks.needChanged(service, caller.model, -1);
  // The pointer stays valid: nothing has run since it was chosen.
  co_return chosen;
}

/// When the request stops waiting for its model. A stop of this host brings it nearer.
Instant Relay::waitEnd() const {
  const Instant own = arrivedAt + longestWait();
  return g.stopEnd == Instant::max() ? own : std::min(own, g.stopEnd - StopRunTime);
}

/// Waits for the next change of the view. False once the request has waited long enough.
asio::awaitable<bool> Relay::waitForModel() {
  const Duration d = waitEnd() - g.hooks.now();
  if (d <= Duration::zero())
    co_return false;
  wakeUp.expires_after(std::min(d, StopCheck));
  auto waiter = g.view.waitForChange([this] { wakeUp.cancel(); });
  auto [ec] = co_await wakeUp.async_wait(Tuple);
  g.view.cancelWait(waiter);
  co_return ec || g.hooks.now() < waitEnd();
}

asio::awaitable<void> Relay::pause(Duration d) {
  wakeUp.expires_after(std::min(d, std::max(left(), Duration::zero())));
  auto [ec] = co_await wakeUp.async_wait(Tuple);
  (void)ec; // cancelled when the caller leaves, which the next step notices
}

/// From its arrival, that the request waits for its model.
Duration Relay::longestWait() const {
  return std::max(fromSeconds(toSeconds(firstBy) * WaitShare), firstBy - FirstEventTime);
}

/// Silence ends an answer only if another endpoint can take the request over now. Else a slow
/// answer would be lost for nothing.
bool Relay::mayLeave(const EndpointName &silent) {
  const Instant now = g.hooks.now();
  return search->hasOther(silent, now, g.hooks.random()) &&
         g.budget.allows(service, g.hooks.hostCount(), now);
}

HttpTimeouts Relay::timeouts() const {
  HttpTimeouts t;
  t.connect = std::min<Duration>(config::FleetConnectTimeout, left());
  t.total = left() + AnswerGrace;
  t.silence = t.total;
  // Only a request that may go to a further endpoint gains from leaving a silent one.
  bool elsewhere = search->allowsFurther() && sends + 1 < MaxSends;
  if (!elsewhere)
    t.silence = t.total;
  else if (route.kind == CallKind::Idempotent)
    t.silence = std::min(t.total, fromSeconds(toSeconds(limit) * SilentShare));
  else if (route.resumable)
    t.silence =
        std::min(t.total, std::max(MinResumeSilence,
                                   fromSeconds(toSeconds(route.objective) * ResumeSilence)));
  t.keptIdle = route.kind == CallKind::Idempotent ? Duration(config::FleetMaxConnectionIdle)
                                                  : Duration(config::FleetMaxConnectionIdle) / 4;
  return t;
}

AttemptFailure Relay::failureOf(const HttpStream &stream) const {
  if (exchange.callerGone())
    return AttemptFailure::CallerGone;
  switch (stream.status()) {
  case HttpStatus::NotConnected:
    return AttemptFailure::NotConnected;
  case HttpStatus::Timeout:
    return AttemptFailure::DeadlinePassed;
  case HttpStatus::Silent:
    return AttemptFailure::Silent;
  default:
    return AttemptFailure::Broken;
  }
}

/// Sends the request to one endpoint and relays the answer. Failed leaves the reason in `failure`.
asio::awaitable<Relay::Attempt> Relay::attempt(const FleetEndpoint &to) {
  ForwardOptions options{.to = &to, .timeLeft = left(), .priority = route.priority};
  options.resumeAfter = events.lastId();
  HttpRequest request = g.codec.forward(exchange.request(), options);
  const HttpTimeouts limits = timeouts();
  const std::pair runKey(to.name, caller.model);
  ++sends;
  ++g.running[runKey];
  g.view.onSent(to.name);
  result = EndpointResult::Failed;
  const StreamHooks streamHooks{.started = [this](HttpStream *it) { current = it; },
                                .mayEndSilence = [this, &to] { return mayLeave(to.name); }};
  auto stream = co_await g.client.open(to.address, std::move(request), limits, streamHooks);
  Attempt ended = Attempt::Failed;
  lastHead = {};
  if (stream->status() == HttpStatus::Ok) {
    search->onReceived(to.name);
    lastHead = g.codec.readHead(stream->head(), caller, to);
    noteSignals(to);
    if (lastHead.otherRequest) {
      failure = AttemptFailure::WrongAnswer;
    } else if (lastHead.notRun) {
      failure = AttemptFailure::Refused;
      result = EndpointResult::Refused;
      bool missing = lastHead.status == 421 && !caller.model.empty();
      if (missing && !lastHead.otherEndpoint) {
        ++missingAnswers;
        g.view.onMissing(to.name, caller.model, g.hooks.now());
      }
      if (lastHead.otherEndpoint)
        search->onUnreachable(to.name);
    } else if (state.streaming && lastHead.status == 200) {
      ended = co_await relayEvents(*stream);
    } else {
      ended = co_await relayWhole(*stream, lastHead);
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
  current = nullptr;
  stream.reset();
  bool blameless = failure == AttemptFailure::CallerGone ||
                   (failure == AttemptFailure::DeadlinePassed && limit < MinResumeSilence);
  if (ended == Attempt::Failed && blameless)
    result = EndpointResult::Abandoned;
  if (ended == Attempt::Failed && mayHaveRun(failure))
    search->onFailed(to.name);
  g.view.onEnded(to.name, result, g.hooks.now());
  if (--g.running[runKey] <= 0)
    g.running.erase(runKey);
  co_return ended;
}

/// What the head of an answer says about the endpoint beyond this request.
void Relay::noteSignals(const FleetEndpoint &from) {
  const Instant now = g.hooks.now();
  if (lastHead.otherRequest)
    return; // perhaps not of this endpoint either
  if (lastHead.leaving)
    g.view.onLeaving({from.name, from.incarnation}, now);
  if (lastHead.backoff)
    g.view.onBackoff(from, *lastHead.backoff, now);
}

/// Relays an answer only once it is whole, so that a broken one never looks complete.
asio::awaitable<Relay::Attempt> Relay::relayWhole(HttpStream &stream, const AnswerHead &head) {
  std::string body;
  for (;;) {
    std::string piece = co_await stream.read();
    if (piece.empty())
      break;
    const bool fits = held.resize(body.size() + piece.size());
    if (!fits)
      co_return tooLong();
    body += piece;
  }
  if (stream.status() != HttpStatus::Ok) {
    failure = failureOf(stream);
    co_return Attempt::Failed;
  }
  const bool failed = head.status >= 500;
  result = failed ? EndpointResult::Failed : EndpointResult::Answered;
  if (state.headersSent) { // a resumed stream cannot turn into another answer
    failure = AttemptFailure::Broken;
    co_return Attempt::Failed;
  }
  HttpResponse response;
  response.base() = g.codec.answerHead(stream.head());
  response.body() = std::move(body);
  fallback = std::move(response);
  if (failed && state.idempotent && head.status != 504) {
    failure = AttemptFailure::Broken; // another endpoint may do better
    co_return Attempt::Failed;
  }
  co_await respondFallback();
  co_return Attempt::Ended;
}

/// An answer that does not fit into memory counts as broken; its connection is closed.
Relay::Attempt Relay::tooLong() {
  failure = AttemptFailure::Broken;
  logLine(LogLevel::Warn, "answer too long",
          {{"request", caller.id}, {"held_bytes", g.buffers.usedBytes()}});
  return Attempt::Failed;
}

/// Answers with the newest whole answer of an endpoint.
asio::awaitable<void> Relay::respondFallback() {
  const unsigned status = fallback->result_int();
  const bool delivered = co_await exchange.respond(std::move(*fallback));
  logEnd(status, delivered ? "answered" : "caller_gone");
}

asio::awaitable<bool> Relay::forwardEvents(const std::string &bytes,
                                           const http::response_header<> &head) {
  if (!state.headersSent) {
    state.headersSent = true;
    g.metrics.onFirstEvent(g.hooks.now() - arrivedAt);
    HttpResponse response;
    response.base() = g.codec.answerHead(head);
    const bool started = co_await exchange.startStream(std::move(response));
    if (!started)
      co_return false;
  }
  co_return co_await exchange.writeChunk(bytes);
}

asio::awaitable<Relay::Attempt> Relay::relayEvents(HttpStream &stream) {
  const http::response_header<> head = stream.head();
  bool delivered = true;
  while (delivered) {
    const std::string piece = co_await stream.read();
    if (piece.empty())
      break;
    events.feed(piece);
    const std::string whole = events.take();
    const bool fits = held.resize(events.pendingBytes());
    if (!fits) {
      events.dropPartial();
      co_return tooLong();
    }
    if (!whole.empty())
      delivered = co_await forwardEvents(whole, head);
  }
  if (!delivered || stream.status() != HttpStatus::Ok) {
    events.dropPartial();
    failure = delivered ? failureOf(stream) : AttemptFailure::CallerGone;
    co_return Attempt::Failed;
  }
  result = EndpointResult::Answered;
  const std::string rest = events.takeRest();
  delivered = co_await forwardEvents(rest, head);
  if (delivered)
    delivered = co_await exchange.endStream();
  logEnd(200, delivered ? "answered" : "caller_gone");
  co_return Attempt::Ended;
}

/// The final answer of a request that no endpoint has answered.
asio::awaitable<void> Relay::giveUp() {
  if (exchange.callerGone() || failure == AttemptFailure::CallerGone) {
    exchange.abort();
    logEnd(0, "caller_gone");
    co_return;
  }
  if (fallback) {
    co_await respondFallback();
    co_return;
  }
  if (state.headersSent) {
    exchange.abort();
    logEnd(200, "stream_cut");
    co_return;
  }
  if (state.earlierMayHaveRun) {
    co_await refuse(late() ? 504 : 502, "the endpoint failed");
    co_return;
  }
  co_await refuse(503, whyNotRun());
}

std::string_view Relay::whyNotRun() const {
  if (sends > 0)
    return "not run";
  return caller.model.empty() ? "no endpoint takes the request in time"
                              : "no endpoint holds the model in time";
}

asio::awaitable<void> Relay::refuse(unsigned status, std::string_view reason) {
  const bool notRun = status == 503 || status < 500;
  HttpResponse response =
      problemResponse(status, notRun ? RunOutcome::NotRun : RunOutcome::MayHaveRun, reason);
  if (status == 503)
    response.set(http::field::retry_after, secondsText(retryAfter()));
  logEnd(status, reason);
  const bool delivered = co_await exchange.respond(std::move(response));
  (void)delivered; // a caller that has gone needs no answer
}

/// When an endpoint should take the request, as far as the caller has the time to come back then.
Duration Relay::retryAfter() const {
  // An endpoint that refused the request once may take it a moment later, unless it asked for more
  // time.
  const bool noLoad = caller.model.empty() || sends > 0;
  // A host without a configuration, or one that stops, leaves the request to others.
  if (!search || (noLoad && !search->readyAgainIn(g.hooks.now())))
    return config::FleetRetryAfterMin;
  auto soonest = search->soonestService(g.hooks.now());
  auto latest = std::max<Duration>(left() / 3, config::FleetRetryAfterMin);
  return soonest >= latest ? latest : soonest + config::FleetRetryAfterMin;
}

/// An endpoint with the inputs that made it the choice. The term and age are those of the planner's
/// notice about what it holds; without one its registration counted.
boost::json::object Relay::describeChoice(const EndpointState &chosen) const {
  boost::json::object out{{"endpoint", chosen.entry.name.value},
                          {"own", chosen.ownInFlight},
                          {"peers", chosen.peersInFlight},
                          {"failure_share", chosen.failureShare}};
  if (!chosen.notice || caller.model.empty())
    return out;
  out["notice_term"] = chosen.notice->term;
  out["notice_age_ms"] = toMillis(g.hooks.now() - chosen.noticeAt);
  return out;
}

void Relay::logAttempt(const FleetEndpoint &to) {
  g.metrics.onFailedAttempt(toString(failure));
  logLine(LogLevel::Info, "attempt failed",
          {{"request", caller.id},
           {"endpoint", to.name.value},
           {"incarnation", to.incarnation},
           {"failure", toString(failure)},
           {"status", lastHead.status},
           {"not_run", lastHead.notRun},
           {"events", events.events()},
           {"after_ms", toMillis(g.hooks.now() - arrivedAt)}});
}

void Relay::logEnd(unsigned status, std::string_view outcome) {
  const Duration took = g.hooks.now() - arrivedAt;
  g.metrics.onRequest(route.name.empty() ? "none" : toString(route.kind), outcome, took);
  if (waited > Duration::zero())
    g.metrics.onModelWait(waited);
  logLine(LogLevel::Info, "request",
          {{"request", caller.id},
           {"route", route.name},
           {"service", service.value},
           {"model", toText(caller.model)},
           {"config", configVersion},
           {"choices", choices},
           {"sends", sends},
           {"limit_ms", toMillis(limit)},
           {"waited_ms", toMillis(waited)},
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
  Relay relay(*impl, exchange);
  co_await relay.run();
}

void FleetGateway::setStop(Instant refuseFrom, Instant end) {
  impl->refuseFrom = refuseFrom;
  impl->stopEnd = end;
}

DemandMeter &FleetGateway::demand() { return impl->demand; }

const std::map<std::pair<EndpointName, ModelRef>, int> &FleetGateway::running() const {
  return impl->running;
}

FleetMetrics &FleetGateway::metrics() { return impl->metrics; }

int FleetGateway::active() const { return impl->active; }

} // namespace catkin
