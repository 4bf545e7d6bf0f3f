#include "request_forwarder_p.h"

#include "log_p.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace catkin {

namespace {

// An idempotent request without an answer after this share of its time is sent to another endpoint.
constexpr double SilenceShare = 0.4;
// Silence timeout of a resumable stream, in latency objectives of its route.
constexpr double ResumeSilence = 1.8;
constexpr Duration MinResumeSilence = std::chrono::milliseconds(1500);
// An endpoint that stops work at the deadline reports this a little later.
constexpr Duration AnswerGrace = std::chrono::milliseconds(60);
// Copies of other requests are sent within a few milliseconds, so that a wait often helps.
constexpr Duration CopyCheckInterval = std::chrono::milliseconds(20);
constexpr int MaxCopyChecks = 20;

/// Returns true if an answer may belong to another request, or to none: a success or a redirection
/// without the mark of the endpoint, or a failure that does not name the request on a connection
/// with earlier answers. Refusals have checks of their own.
bool mayBelongToAnother(const AnswerHead &head, bool isOnReusedConnection) {
  constexpr unsigned FirstFailure = 400;
  if (head.wrongRequest || head.status < FirstFailure)
    return head.wrongRequest || !head.isAuthentic;
  const bool isRefusal = head.notRun || head.promisesNotRun;
  return !isRefusal && !head.hasRequestId && isOnReusedConnection;
}

/// Returns the type of an answer's body in lower case, without its parameters.
std::string mediaType(const http::response_header<> &head) {
  const auto field = head[http::field::content_type];
  std::string out(field.data(), std::min(field.find(';'), field.size()));
  std::erase_if(out, [](char c) { return c == ' ' || c == '\t'; });
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

} // namespace

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
  if (endedByStop && stream.status() != HttpTransferStatus::NotConnected)
    return AttemptFailure::DeadlinePassed;
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

/// Reserves memory for the copy of the request that is sent to an endpoint. Returns false if there
/// is none within a short time.
asio::awaitable<bool> RequestForwarder::reserveCopy() {
  const std::size_t bytes = exchange.request().body().size();
  for (int i = 0; i < MaxCopyChecks && !exchange.isCallerGone() && !isDeadlinePassed(); ++i) {
    if (copyMemory.resize(bytes, g.hooks.now()) == MemoryBudget::Outcome::Granted)
      co_return true;
    co_await pause(CopyCheckInterval);
  }
  outOfMemory = true;
  co_return false;
}

/// Sends the request to one endpoint and relays the answer.
asio::awaitable<RequestForwarder::AttemptOutcome>
RequestForwarder::sendTo(const FleetEndpoint &to) {
  ForwardOptions options{.to = &to,
                         .timeLeft = remainingTime(),
                         .priority = priority(),
                         .identifiesTeam = identifiesTeam,
                         .team = team ? team->name : TeamName()};
  options.lastEventId = events.lastEventId();
  HttpRequest request = g.codec.buildForwardedRequest(exchange.request(), options);
  const HttpTimeouts limits = timeouts();
  const std::pair runKey(to.name, caller.model);
  const Instant sentAt = g.hooks.now();
  ++sends;
  answerBegun = false;
  brokenOff = false;
  const bool isProbe = quarantineVerdict.kind == QuarantineVerdict::Kind::Probe;
  if (isProbe)
    g.crashGuard.onProbeSent(quarantineVerdict.trait);
  ++g.runningRequests[runKey];
  engineRun = g.view.onSent(to.name, engineRequest(), sentAt);
  g.view.onSent(to.name);
  sentElsewhere = to.dataCentre != g.options.dataCentre;
  if (sentElsewhere)
    g.metrics.onLeft(toString(choice.leaveReason), exchange.request().body().size());
  result = EndpointResult::Failed;
  const StreamHooks streamHooks{.started = [this](HttpStream *it) { currentStream = it; },
                                .shouldFailOnSilence = [this, &to] { return canAbandon(to.name); },
                                // A connection with a wrong answer must not be used again.
                                .mayReadFurther = true,
                                .requestSent = [this] { copyMemory.charge(0, g.hooks.now()); }};
  auto stream = co_await g.client.open(to.address, std::move(request), limits, streamHooks);
  copyMemory.charge(0, g.hooks.now());
  AttemptOutcome attemptOutcome = AttemptOutcome::Failed;
  lastHead = {};
  if (stream->status() == HttpTransferStatus::Ok)
    co_await readAnswerHead(*stream, to);
  if (stream->status() == HttpTransferStatus::Ok) {
    search->onReceived(to.name);
    recordSignals(to, sentAt);
    if (lastHead.wrongRequest) {
      failure = AttemptFailure::WrongAnswer;
    } else if ((lastHead.promisesNotRun || lastHead.notRun) && !refusalProven) {
      failure = AttemptFailure::Unproven;
    } else if (lastHead.notRun) {
      failure = AttemptFailure::Refused;
      refusedBy.insert(to.name);
      result = EndpointResult::Refused;
      bool missing = lastHead.status == 421 && !caller.model.empty();
      if (missing && !lastHead.wrongEndpoint) {
        ++missingAnswers;
        g.view.onModelMissing(to.name, caller.model, g.hooks.now());
      }
      if (lastHead.wrongEndpoint)
        search->onUnreachable(to.name);
    } else if (state.streaming && lastHead.status == 200) {
      attemptOutcome = co_await relayEvents(*stream, to);
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
    g.crashGuard.onBrokenBeforeAnswer(to, caller.traits);
  else if (isProbe && !answerBegun)
    g.crashGuard.onProbeEnded(quarantineVerdict.trait);
  currentStream = nullptr;
  if (attemptOutcome == AttemptOutcome::Failed && failure == AttemptFailure::WrongAnswer)
    stream->cancel(); // more bytes that belong to no request may follow
  stream.reset();
  bool isEndpointBlameless =
      failure == AttemptFailure::CallerGone ||
      (failure == AttemptFailure::DeadlinePassed && limit < MinResumeSilence);
  if (attemptOutcome == AttemptOutcome::Failed && isEndpointBlameless)
    result = EndpointResult::Abandoned;
  if (attemptOutcome == AttemptOutcome::Failed && mayHaveRun(failure))
    search->onFailed(to.name);
  g.view.onRunEnded(to.name, engineRun, result, g.hooks.now());
  g.view.onEnded(to.name, result, g.hooks.now());
  if (--g.runningRequests[runKey] <= 0)
    g.runningRequests.erase(runKey);
  co_return attemptOutcome;
}

/// Decodes the head of the newest answer on the connection.
AnswerHead RequestForwarder::decodeHead(const HttpStream &stream, const FleetEndpoint &from) const {
  AnswerHead out = g.codec.readHead(stream.head(), caller, from);
  out.wrongRequest = mayBelongToAnother(out, stream.isOnReusedConnection());
  return out;
}

/// Reads the head of the answer. An endpoint may send an earlier answer once more where the answer
/// to a request that may run only once is due. It is skipped if its id or the marker shows that.
asio::awaitable<void> RequestForwarder::readAnswerHead(HttpStream &stream,
                                                       const FleetEndpoint &from) {
  lastHead = decodeHead(stream, from);
  refusalProven = lastHead.notRun;
  if (state.idempotent)
    co_return;
  for (int n = 0; lastHead.wrongRequest && stream.isOnReusedConnection() && n < MaxSurplusAnswers;
       ++n) {
    const bool hasNext = co_await stream.readNextHead();
    if (!hasNext)
      co_return;
    lastHead = decodeHead(stream, from);
  }
  refusalProven = lastHead.notRun && provesNotRun(stream, from);
  if (lastHead.notRun && !lastHead.wrongRequest && !refusalProven)
    refusalProven = co_await confirmRefusal(stream, from);
}

/// Returns true if the refusal can only be the answer to this request: a connection that has served
/// nothing before has no earlier answers. One that ends has no later ones, but the refusal may be a
/// copy of one that the endpoint has given to this request on any connection.
bool RequestForwarder::provesNotRun(const HttpStream &stream, const FleetEndpoint &from) const {
  const bool mayBeCopy = refusedBy.count(from.name) > 0;
  return lastHead.hasRequestId &&
         (!stream.isOnReusedConnection() || (!stream.keepsConnection() && !mayBeCopy));
}

/// Finds out whether a refusal is the answer to this request or an earlier one sent once more: the
/// next answer on the connection is the one to the marker or to this request. Returns true if the
/// refusal holds. `lastHead` is the newest answer to this request.
asio::awaitable<bool> RequestForwarder::confirmRefusal(HttpStream &stream,
                                                       const FleetEndpoint &from) {
  const AnswerHead refusal = lastHead;
  const auto finish = [&](bool holds, std::string_view outcome) {
    logLine(LogLevel::Info, "refusal checked by a marker",
            {{"request", caller.id},
             {"endpoint", from.name.value},
             {"has_id", refusal.hasRequestId},
             {"result", outcome}});
    return holds;
  };
  const bool sent = co_await stream.sendFurther(g.codec.buildMarker());
  for (int n = 0; sent && n < MaxSurplusAnswers; ++n) {
    const bool hasNext = co_await stream.readNextHead();
    if (!hasNext)
      break;
    if (g.codec.answersMarker(stream.head())) {
      lastHead = refusal;
      co_return finish(true, "holds");
    }
    lastHead = decodeHead(stream, from);
    if (!lastHead.wrongRequest) // a second answer, hence the first was surplus
      co_return finish(false, lastHead.promisesNotRun ? "unproven" : "answered");
  }
  lastHead = refusal;
  co_return finish(false, "unproven");
}

/// Counts bytes of an answer that come from another data centre.
void RequestForwarder::onBytesRelayed(std::size_t bytes) {
  if (sentElsewhere)
    g.metrics.onBytesFromElsewhere(toString(choice.leaveReason), bytes);
}

/// Records that the request has not crashed the endpoint.
void RequestForwarder::onAnswerBegun() {
  if (!std::exchange(answerBegun, true))
    g.crashGuard.onAnswerBegun(caller.traits);
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
    const auto outcome =
        growText(answerMemory, body, piece.size(), config::FleetAnswerBytes, g.hooks.now());
    if (outcome != MemoryBudget::Outcome::Granted)
      co_return rejectAnswerWithoutMemory();
    body += piece;
    onBytesRelayed(piece.size());
  }
  if (stream.status() != HttpTransferStatus::Ok) {
    failure = failureOf(stream);
    co_return AttemptOutcome::Failed;
  }
  stream.release();
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

/// Fails an attempt whose answer is too long or finds no memory. It counts as broken; its
/// connection is closed.
RequestForwarder::AttemptOutcome RequestForwarder::rejectAnswerWithoutMemory() {
  failure = AttemptFailure::Broken;
  logLine(LogLevel::Warn, "answer too long",
          {{"request", caller.id}, {"held_bytes", g.memory->usedBytes()}});
  return AttemptOutcome::Failed;
}

/// Answers with the newest complete answer of an endpoint.
asio::awaitable<void> RequestForwarder::respondWithFallback() {
  const unsigned status = fallback->result_int();
  answerMemory.charge(0, g.hooks.now()); // the server counts it until the caller has read it
  const bool delivered = co_await exchange.respond(std::move(*fallback));
  logRequest(status, delivered ? "answered" : "caller_gone");
}

/// Sends events to the caller, after the status line if that has not been sent. Returns false if
/// the caller has gone.
asio::awaitable<bool> RequestForwarder::forwardEvents(const std::string &bytes,
                                                      const http::response_header<> &head,
                                                      const FleetEndpoint &from) {
  if (!state.headersSent) {
    state.headersSent = true;
    streamType = mediaType(head);
    onStreamBegun(from);
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
RequestForwarder::relayEvents(HttpStream &stream, const FleetEndpoint &from) {
  const http::response_header<> head = stream.head();
  // An endpoint may report an error with a success status, in a body that is not part of the
  // stream.
  if (state.headersSent && mediaType(head) != streamType) {
    failure = AttemptFailure::Broken;
    brokenOff = true;
    co_return AttemptOutcome::Failed;
  }
  bool delivered = true;
  while (delivered) {
    const std::string piece = co_await stream.read();
    if (piece.empty())
      break;
    onBytesRelayed(piece.size());
    const unsigned before = events.eventCount();
    events.feed(piece);
    const std::string whole = events.takeCompleteEvents();
    if (const unsigned n = events.eventCount() - before; n > 0)
      g.view.onEvents(from.name, engineRun, static_cast<int>(n), g.hooks.now());
    const auto outcome = answerMemory.resize(events.pendingBytes(), g.hooks.now());
    if (outcome != MemoryBudget::Outcome::Granted) {
      events.discardPartialEvent();
      co_return rejectAnswerWithoutMemory();
    }
    if (whole.empty())
      continue;
    onAnswerBegun();
    delivered = co_await forwardEvents(whole, head, from);
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
  delivered = co_await forwardEvents(rest, head, from);
  if (delivered)
    delivered = co_await exchange.endStream();
  logRequest(200, delivered ? "answered" : "caller_gone");
  co_return AttemptOutcome::Finished;
}

} // namespace catkin
