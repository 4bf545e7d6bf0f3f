#include "async_p.h"
#include "attempt_p.h"
#include "gateway_core_p.h"
#include "json_p.h"
#include "real_env_p.h"
#include "sse_p.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <xxhash.h>

#include <optional>
#include <variant>

namespace catkin {

namespace {

constexpr std::string_view MetricKind = "completion";
constexpr unsigned MaxAttempts = 8;
constexpr std::size_t MaxEventBytes = 1024 * 1024;
constexpr std::size_t MaxErrorBytes = 64 * 1024;
// Base delay before an attempt at an endpoint that was already tried; doubled with each attempt.
constexpr Duration RetryDelay = std::chrono::milliseconds(25);

/// A parsed completion request.
struct Completion {
  ModelName model;
  bool chat = false;
  bool stream = false;          ///< the caller wants a stream of events
  std::string body;             ///< as sent to engines, with "stream": true
  std::uint64_t prefixHash = 0; ///< hash of promptPrefix()
};

/// First config::PrefixHintBytes bytes of the prompt. Chat messages are serialised as JSON with
/// their role.
std::string promptPrefix(const json::object &body, bool chat) {
  if (!chat)
    return json::serialize(body.at("prompt")).substr(0, config::PrefixHintBytes);
  std::string text;
  for (auto &it : body.at("messages").get_array()) {
    text += json::serialize(it);
    if (text.size() >= config::PrefixHintBytes)
      break;
  }
  return text.substr(0, config::PrefixHintBytes);
}

/// Checks the fields of a completion request. Returns an error message, empty if they are valid.
std::string checkFields(const json::object &body, bool chat) {
  auto *model = body.if_contains("model");
  if (!model || !model->is_string() || model->get_string().empty())
    return "\"model\" must be the name of a model";
  auto *stream = body.if_contains("stream");
  if (stream && !stream->is_bool() && !stream->is_null())
    return "\"stream\" must be true or false";
  if (!chat) {
    auto *prompt = body.if_contains("prompt");
    bool ok = prompt && (prompt->is_string() || prompt->is_array());
    return ok ? "" : "\"prompt\" must be a string or an array";
  }
  auto *messages = body.if_contains("messages");
  if (!messages || !messages->is_array() || messages->get_array().empty())
    return "\"messages\" must be an array with at least one message";
  for (auto &it : messages->get_array())
    if (!it.is_object())
      return "each of \"messages\" must be an object";
  return {};
}

/// Parses a completion request. Returns an error message if it is invalid.
std::variant<Completion, std::string> parseCompletion(const std::string &text, bool chat) {
  json::object body;
  if (!parseObject(text, body))
    return "the body must be a JSON object";
  if (auto fault = checkFields(body, chat); !fault.empty())
    return fault;
  Completion out;
  out.chat = chat;
  out.model = ModelName(std::string_view(body.at("model").get_string()));
  auto *stream = body.if_contains("stream");
  out.stream = stream && stream->is_bool() && stream->get_bool();
  auto start = promptPrefix(body, chat);
  out.prefixHash = XXH64(start.data(), start.size(), 0);
  // Engines are always asked for a stream, and an answer without streaming is merged from its
  // events. An unstreamed answer would send no byte until it is complete, and a dead connection
  // could not be distinguished from a working engine.
  body["stream"] = true;
  if (!out.stream && !body.contains("stream_options"))
    body["stream_options"] = {{"include_usage", true}};
  out.body = json::serialize(body);
  return out;
}

/// How one attempt ended.
struct AttemptEnd {
  std::optional<AttemptFailure> failure; ///< none: the caller has been answered
  bool healthy = true;                   ///< the endpoint is not at fault
  bool modelMissing = false;             ///< the endpoint does not hold the model
};

AttemptEnd failedAttempt(AttemptFailure f) {
  return {.failure = f,
          .healthy = f == AttemptFailure::CallerGone || f == AttemptFailure::DeadlinePassed ||
                     f == AttemptFailure::Refused};
}

AttemptEnd failedAttemptFor(HttpTransferStatus status) {
  switch (status) {
  case HttpTransferStatus::NotConnected:
    return failedAttempt(AttemptFailure::NotConnected);
  case HttpTransferStatus::Silent:
    return failedAttempt(AttemptFailure::Silent);
  case HttpTransferStatus::Timeout:
    return failedAttempt(AttemptFailure::DeadlinePassed);
  default:
    return failedAttempt(AttemptFailure::Broken);
  }
}

/// Runs one completion with retries, and resumes a broken stream at another endpoint.
class CompletionCall {
public:
  CompletionCall(CallerRequest &request, const Completion &completion)
      : request(request), core(*request.core), completion(completion) {}

  asio::awaitable<void> run();

private:
  asio::awaitable<AttemptEnd> attempt(const DispatchResult &dispatched);
  /// Relays or merges the events of the stream until it ends.
  asio::awaitable<AttemptEnd> relay(HttpStream &stream, const Address &from);
  asio::awaitable<AttemptEnd> handleErrorResponse(HttpStream &stream);
  asio::awaitable<bool> onEvent(const SseEvent &event);
  asio::awaitable<bool> finish();
  /// Answers the caller after the last attempt has failed.
  asio::awaitable<void> answerFailure(NextStep step, AttemptFailure failure);
  asio::awaitable<void> cutStream(std::string_view detail);
  asio::awaitable<void> backOff(const DispatchResult &dispatched);
  HttpRequest buildRequest() const;
  NextStep decideNextStep(AttemptFailure failure);
  void recordEvent();

  CallerRequest &request;
  GatewayCore &core;
  const Completion &completion;
  AnswerMerger merger;
  std::vector<EndpointName> tried;
  std::string attemptId;
  unsigned attempts = 0;
  unsigned relayed = 0; ///< number of events sent to the caller or merged
  bool headersSent = false;
  bool earlierMayHaveRun = false;
  bool coldStart = false; ///< no replica was usable when the request arrived
  Instant attemptStarted;
  Instant lastEvent;
};

asio::awaitable<void> CompletionCall::run() {
  coldStart = !core.dispatcher.hasUsableReplica(completion.model);
  for (;;) {
    DispatchRequest dispatchRequest{
        .waiting = {.requestId = request.id,
                    .plan = request.plan.name,
                    .model = completion.model,
                    // Resuming a broken stream has priority over requests that have not started.
                    .priority = relayed > 0 ? Priority::High : request.plan.priority,
                    .deadline = request.deadline,
                    .serviceTime = core.dispatcher.serviceTime(completion.model)},
        .prefixHash = completion.prefixHash,
        .tried = tried};
    auto dispatched = co_await dispatch(request, dispatchRequest);
    if (dispatched.admission.outcome == AdmissionOutcome::Cancelled)
      co_return request.exchange.abort();
    if (dispatched.admission.outcome == AdmissionOutcome::Refused) {
      if (headersSent)
        co_return co_await cutStream(dispatched.admission.reason);
      co_return co_await answerRefusal(request, MetricKind, dispatched.admission,
                                       earlierMayHaveRun);
    }
    co_await backOff(dispatched);
    auto end = co_await attempt(dispatched);
    core.dispatcher.end({.model = completion.model,
                         .plan = request.plan.name,
                         .endpoint = dispatched.endpoint,
                         .healthy = end.healthy,
                         .modelMissing = end.modelMissing});
    if (!end.failure)
      co_return;
    core.metrics.onFailedAttempt(toString(*end.failure));
    tried.push_back(dispatched.endpoint);
    auto step = decideNextStep(*end.failure);
    earlierMayHaveRun = earlierMayHaveRun || mayHaveRun(*end.failure);
    if (step == NextStep::Resume)
      core.metrics.onResume();
    if (step != NextStep::Retry && step != NextStep::Resume)
      co_return co_await answerFailure(step, *end.failure);
  }
}

NextStep CompletionCall::decideNextStep(AttemptFailure failure) {
  AttemptState state{.idempotent = true,
                     .streaming = true,
                     .eventsRelayed = relayed,
                     .attempts = attempts,
                     .retryAllowed = true,
                     .headersSent = headersSent,
                     .earlierMayHaveRun = earlierMayHaveRun};
  auto step = nextStep(failure, state);
  if (step != NextStep::Retry && step != NextStep::Resume)
    return step;
  state.retryAllowed =
      attempts < MaxAttempts && steadyNow() < request.deadline && core.dispatcher.tryConsumeRetry();
  return nextStep(failure, state);
}

/// Delays another attempt at an endpoint that was already tried.
asio::awaitable<void> CompletionCall::backOff(const DispatchResult &dispatched) {
  if (std::find(tried.begin(), tried.end(), dispatched.endpoint) == tried.end())
    co_return;
  asio::steady_timer timer(co_await asio::this_coro::executor, RetryDelay * (1U << attempts));
  co_await timer.async_wait(asio::use_awaitable);
}

HttpRequest CompletionCall::buildRequest() const {
  auto out =
      makeRequest(http::verb::post, completion.chat ? "/v1/chat/completions" : "/v1/completions",
                  completion.body);
  out.set("X-Attempt-Id", attemptId);
  out.set("X-Request-Id", request.id);
  auto priority = toString(request.plan.priority);
  out.set("X-Priority", boost::beast::string_view(priority.data(), priority.size()));
  if (relayed > 0)
    out.set("X-Resume-From", std::to_string(relayed));
  return out;
}

asio::awaitable<AttemptEnd> CompletionCall::attempt(const DispatchResult &dispatched) {
  ++attempts;
  // The request was admitted, but no replica was left to choose; nothing was sent.
  if (dispatched.endpoint.empty())
    co_return failedAttempt(AttemptFailure::NotConnected);
  attemptId = request.id + "-" + std::to_string(attempts);
  attemptStarted = steadyNow();
  auto remaining = request.deadline - attemptStarted;
  if (remaining <= Duration{0})
    co_return failedAttempt(attempts == 1 ? AttemptFailure::NotConnected
                                          : AttemptFailure::DeadlinePassed);
  HttpTimeouts timeouts{.connect = std::min(core.options.connectTimeout, remaining),
                        .silence = core.options.silenceTimeout,
                        .total = remaining};
  auto stream = co_await openEndpointStream(request, dispatched.address, buildRequest(), timeouts);
  if (!stream)
    co_return failedAttempt(AttemptFailure::CallerGone);
  if (stream->status() == HttpTransferStatus::Silent)
    core.client.closeIdleConnections(dispatched.address);
  if (stream->status() != HttpTransferStatus::Ok)
    co_return failedAttemptFor(stream->status());
  if (core.options.guards.matchAnswerId && attemptIdOf(stream->head()) != attemptId) {
    stream->cancel();
    co_return failedAttempt(AttemptFailure::WrongAnswer);
  }
  if (stream->head().result() != http::status::ok)
    co_return co_await handleErrorResponse(*stream);
  request.watch.setOnCallerGone([&stream] { stream->cancel(); });
  auto end = co_await relay(*stream, dispatched.address);
  request.watch.setOnCallerGone(nullptr);
  co_return end;
}

asio::awaitable<AttemptEnd> CompletionCall::relay(HttpStream &stream, const Address &from) {
  SseSplitter splitter(MaxEventBytes);
  for (auto piece = co_await stream.read(); !piece.empty(); piece = co_await stream.read()) {
    splitter.feed(piece);
    unsigned events = 0;
    while (auto event = splitter.next()) {
      if (event->isDone()) {
        core.dispatcher.onTokens(request.plan.name, events);
        bool delivered = co_await finish();
        co_await stream.read(); // reads the end, so that the connection can be reused
        co_return delivered ? AttemptEnd{} : failedAttempt(AttemptFailure::CallerGone);
      }
      bool accepted = co_await onEvent(*event);
      if (!accepted)
        co_return failedAttempt(request.watch.isCallerGone() ? AttemptFailure::CallerGone
                                                             : AttemptFailure::Broken);
      ++events;
    }
    core.dispatcher.onTokens(request.plan.name, events);
    if (splitter.isOverLimit() || merger.bytes() > config::MaxAnswerBytes)
      co_return failedAttempt(AttemptFailure::Broken);
  }
  if (request.watch.isCallerGone())
    co_return failedAttempt(AttemptFailure::CallerGone);
  if (stream.status() == HttpTransferStatus::Silent)
    core.client.closeIdleConnections(from);
  // A body that ends without [DONE] lacks its last events.
  co_return failedAttemptFor(stream.status());
}

void CompletionCall::recordEvent() {
  auto now = steadyNow();
  if (relayed == 0) {
    core.metrics.onFirstEvent(now - request.arrived, coldStart);
    core.dispatcher.onFirstByte(completion.model, now - attemptStarted);
  } else {
    core.metrics.onEventGap(now - lastEvent);
  }
  lastEvent = now;
  core.metrics.onTokens(request.plan.name, 1);
}

/// Relays or merges one event. Returns false if the caller has disconnected or the event cannot be
/// parsed.
asio::awaitable<bool> CompletionCall::onEvent(const SseEvent &event) {
  // Results of co_await are assigned to a variable before they are tested: g++ 12 miscompiles a
  // co_await within a condition in a coroutine whose outermost block has no local variable.
  bool delivered = true;
  recordEvent();
  if (!completion.stream) {
    if (!merger.add(event.data))
      co_return false;
    ++relayed;
    co_return !request.watch.isCallerGone();
  }
  if (!headersSent) {
    HttpResponse head{http::status::ok, 11};
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-cache");
    head.set("X-Request-Id", request.id);
    headersSent = true;
    delivered = co_await request.exchange.startStream(std::move(head));
    if (!delivered)
      co_return false;
  }
  delivered = co_await request.exchange.writeChunk(event.raw);
  if (delivered)
    ++relayed;
  co_return delivered;
}

/// Completes the answer. Returns false if the caller has disconnected.
asio::awaitable<bool> CompletionCall::finish() {
  core.metrics.onRequest(request.plan.name, MetricKind, toString(RunOutcome::Ran));
  if (completion.stream && headersSent) {
    bool ok = co_await request.exchange.writeChunk("data: [DONE]\n\n");
    co_return ok &&co_await request.exchange.endStream();
  }
  HttpResponse response{http::status::ok, 11};
  response.set("X-Request-Id", request.id);
  if (completion.stream) {
    response.set(http::field::content_type, "text/event-stream");
    response.body() = "data: [DONE]\n\n";
  } else {
    response.set(http::field::content_type, "application/json");
    response.body() = merger.answer();
  }
  co_return co_await request.exchange.respond(std::move(response));
}

/// Handles an answer other than 200. An error in the request itself is passed on to the caller; a
/// refusal or an error of the endpoint becomes a failed attempt.
asio::awaitable<AttemptEnd> CompletionCall::handleErrorResponse(HttpStream &stream) {
  auto status = stream.head().result_int();
  auto type = std::string(stream.head()[http::field::content_type]);
  auto body = co_await readBody(stream, MaxErrorBytes);
  if (stream.status() != HttpTransferStatus::Ok)
    co_return failedAttemptFor(stream.status());
  auto outcome = outcomeOf(body);
  bool notRun = outcome == RunOutcome::NotRun;
  bool requestFault = status / 100 == 4 && status != 404 && status != 408 && status != 429;
  if (requestFault && !headersSent) {
    auto known = outcome == RunOutcome::Count ? RunOutcome::MayHaveRun : outcome;
    co_await answerProblem(request, MetricKind, status,
                           earlierMayHaveRun ? RunOutcome::MayHaveRun : known,
                           "the engine rejected the request: " + body);
    co_return AttemptEnd{};
  }
  if (notRun) {
    auto end = failedAttempt(AttemptFailure::Refused);
    end.modelMissing = status == 404;
    co_return end;
  }
  co_return failedAttempt(AttemptFailure::Broken);
}

asio::awaitable<void> CompletionCall::answerFailure(NextStep step, AttemptFailure failure) {
  auto detail = "the endpoint failed: " + std::string(toString(failure));
  switch (step) {
  case NextStep::Stop:
    request.exchange.abort();
    co_return;
  case NextStep::CutStream:
    co_return co_await cutStream(detail);
  case NextStep::AnswerNotRun:
    co_return co_await answerProblem(request, MetricKind, 503, RunOutcome::NotRun, detail,
                                     std::chrono::seconds(1));
  default:
    co_return co_await answerProblem(request, MetricKind,
                                     failure == AttemptFailure::DeadlinePassed ? 504 : 502,
                                     RunOutcome::MayHaveRun, detail, std::chrono::seconds(1));
  }
}

/// Ends a stream whose status line has been sent, with an error event and without [DONE].
asio::awaitable<void> CompletionCall::cutStream(std::string_view detail) {
  core.metrics.onRequest(request.plan.name, MetricKind, toString(RunOutcome::MayHaveRun));
  json::object error{{"error",
                      {{"message", json::string_view(detail.data(), detail.size())},
                       {"outcome", toString(RunOutcome::MayHaveRun)},
                       {"events", relayed}}}};
  co_await request.exchange.writeChunk("event: error\ndata: " + json::serialize(error) + "\n\n");
  co_await request.exchange.endStream();
}

} // namespace

asio::awaitable<void> handleCompletion(CallerRequest &request, bool chat) {
  auto parsed = parseCompletion(request.exchange.request().body(), chat);
  if (auto *fault = std::get_if<std::string>(&parsed))
    co_return co_await answerProblem(request, MetricKind, 400, RunOutcome::NotRun, *fault);
  auto &completion = std::get<Completion>(parsed);
  if (!request.lists->model(completion.model))
    co_return co_await answerProblem(request, MetricKind, 404, RunOutcome::NotRun,
                                     "no such model: " + completion.model.value);
  if (!request.lists->mayUse(request.plan.name, completion.model))
    co_return co_await answerProblem(request, MetricKind, 403, RunOutcome::NotRun,
                                     "the plan may not use " + completion.model.value);
  request.core->dispatcher.onRequest(completion.model);
  CompletionCall call(request, completion);
  co_await call.run();
}

} // namespace catkin
