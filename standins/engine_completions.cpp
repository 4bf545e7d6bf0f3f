#include "engine_p.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace catkin::standin {

namespace {

constexpr Duration CallerCheckInterval = std::chrono::milliseconds(50);
constexpr auto RetryAfterWhenFull = std::chrono::seconds(1);
constexpr std::size_t BytesPerToken = 4;
constexpr double DecodeRolePrefillFactor = 2; // engines in the decode role process prompts slowly

/// Estimated number of tokens of a prompt.
std::size_t promptTokens(std::string_view prompt) { return prompt.size() / BytesPerToken + 1; }

std::string formatHash(std::uint64_t hash) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(hash));
  return {digits.data()};
}

std::optional<std::uint64_t> parseHash(const std::string &text) {
  std::uint64_t hash = 0;
  const char *end = text.data() + text.size();
  auto [stop, ec] = std::from_chars(text.data(), end, hash, 16);
  return text.size() != 16 || ec != std::errc() || stop != end ? std::nullopt : std::optional(hash);
}

/// Content of an exported prefix. importKv() checks it.
std::string kvContent(const std::string &model, std::uint64_t prefix) {
  return textHash(model + "/" + formatHash(prefix));
}

/// Formats token `i` of the completion as a server-sent event.
std::string streamEvent(const CompletionRequest &request, const std::string &id, unsigned i) {
  const auto text = eventText(request.model, request.prompt, i);
  json::object choice{{"index", 0}};
  if (request.chat)
    choice["delta"] = json::object{{"content", text}};
  else
    choice["text"] = text;
  choice["finish_reason"] = i == request.maxTokens ? json::value("length") : json::value(nullptr);
  const json::object event{{"id", id},
                           {"object", request.chat ? "chat.completion.chunk" : "text_completion"},
                           {"model", request.model},
                           {"choices", json::array{std::move(choice)}}};
  return "data: " + json::serialize(event) + "\n\n";
}

/// Body of a response that is not streamed.
json::object completionResponse(const CompletionRequest &request, const std::string &id) {
  const auto text = answerText(request.model, request.prompt, request.maxTokens);
  json::object choice{{"index", 0}, {"finish_reason", "length"}};
  if (request.chat)
    choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
  else
    choice["text"] = text;
  const auto prompt = promptTokens(request.prompt);
  return {{"id", id},
          {"object", request.chat ? "chat.completion" : "text_completion"},
          {"model", request.model},
          {"choices", json::array{std::move(choice)}},
          {"usage", json::object{{"prompt_tokens", prompt},
                                 {"completion_tokens", request.maxTokens},
                                 {"total_tokens", prompt + request.maxTokens}}}};
}

/// Sends an error response that says that the request did not run.
asio::awaitable<void> refuse(HttpExchange &exchange, const std::string &attempt, unsigned status,
                             std::string_view detail, Duration retryAfter = Duration::zero()) {
  auto response = problemResponse(status, RunOutcome::NotRun, detail, retryAfter);
  if (!attempt.empty())
    response.set("X-Attempt-Id", attempt);
  co_await exchange.respond(std::move(response));
}

} // namespace

bool EngineStandin::isSilent(const HttpExchange &exchange) const {
  return allConnectionsSilent || exchange.connectionId() <= lastSilentConnection;
}

/// Keeps the connection open without sending a byte until the caller closes it.
asio::awaitable<void> EngineStandin::holdWithoutReply(HttpExchange &exchange) {
  while (!exchange.isCallerGone())
    co_await sleepFor(CallerCheckInterval);
  exchange.abort();
}

void EngineStandin::recordLoadFigures() {
  LoadFigures next{.running = batch.running(), .queued = batch.queued(), .inFlight = {}};
  for (const auto &it : memory.report().models)
    if (it.inFlight > 0)
      next.inFlight[it.model.value] = it.inFlight;
  loadFigures.set(now(), std::move(next));
}

asio::awaitable<void> EngineStandin::handleCompletion(HttpExchange &exchange,
                                                      const Target &target) {
  const auto &request = exchange.request();
  CompletionJob job;
  job.attempt = std::string(request["X-Attempt-Id"]);
  std::string error;
  auto parsed =
      parseCompletion(request.body(), target.path.find("chat") != std::string::npos, error);
  const std::string priorityText(request["X-Priority"]);
  const auto priority =
      priorityText.empty() ? std::optional(Priority::Normal) : parseEnum<Priority>(priorityText);
  const std::string resumeText(request["X-Resume-From"]);
  const auto resume = resumeText.empty() ? 0 : numberOr(resumeText, ~0ULL);
  if (parsed && (!priority || resume > parsed->maxTokens))
    error = "X-Priority or X-Resume-From is not valid";
  if (!error.empty()) {
    co_await refuse(exchange, job.attempt, 400, error);
    co_return;
  }
  job.request = std::move(*parsed);
  job.priority = *priority;
  job.resumeFrom = static_cast<unsigned>(resume);
  co_await runCompletion(exchange, job);
}

asio::awaitable<void> EngineStandin::runCompletion(HttpExchange &exchange,
                                                   const CompletionJob &job) {
  const ModelName model(job.request.model);
  if (memory.leaving) {
    ++memory.faults.requestsWhileLeaving;
    co_await refuse(exchange, job.attempt, 503, "the engine is leaving");
    co_return;
  }
  if (memory.role == EngineRole::Prefill) {
    co_await refuse(exchange, job.attempt, 503, "the engine only computes prompts");
    co_return;
  }
  if (!memory.beginRequest(model)) {
    co_await refuse(exchange, job.attempt, 404, "the model is not loaded");
    co_return;
  }
  const auto enterResult = co_await batch.enter(job.priority, exchange);
  recordLoadFigures();
  if (enterResult == BatchEnterResult::Entered) {
    co_await generate(exchange, job);
    batch.leave();
  }
  memory.endRequest(model);
  recordLoadFigures();
  if (enterResult == BatchEnterResult::Full)
    co_await refuse(exchange, job.attempt, 503, "the engine is full", RetryAfterWhenFull);
  else if (enterResult == BatchEnterResult::CallerGone)
    exchange.abort();
}

asio::awaitable<void> EngineStandin::generate(HttpExchange &exchange, const CompletionJob &job) {
  const bool proceed = co_await prefill(exchange, job);
  if (!proceed)
    exchange.abort();
  else if (job.request.stream)
    co_await sendStreamedCompletion(exchange, job);
  else
    co_await sendWholeCompletion(exchange, job);
}

/// Waits for `d` while the caller is connected. Returns false if the caller has disconnected. On a
/// silent connection, returns only after the caller has disconnected.
asio::awaitable<bool> EngineStandin::waitWhileConnected(HttpExchange &exchange, Duration d) {
  const Instant end = now() + d;
  while (now() < end && !exchange.isCallerGone())
    co_await sleepFor(std::min(end - now(), CallerCheckInterval));
  if (isSilent(exchange))
    co_await holdWithoutReply(exchange);
  co_return !exchange.isCallerGone();
}

/// Processes the prompt; a cached prefix takes no time. Returns false if the caller has
/// disconnected.
asio::awaitable<bool> EngineStandin::prefill(HttpExchange &exchange, const CompletionJob &job) {
  const ModelName model(job.request.model);
  const auto hash = prefixHash(job.request.prompt);
  std::size_t tokens = promptTokens(job.request.prompt) + job.resumeFrom;
  if (prefixes.touch(model, hash))
    tokens -= std::min(tokens, PrefixHashBytes / BytesPerToken);
  Duration time = batch.prefillTime(tokens);
  if (memory.role == EngineRole::Decode)
    time = fromSeconds(toSeconds(time) * DecodeRolePrefillFactor);
  const bool proceed = co_await waitWhileConnected(exchange, time);
  if (!proceed)
    co_return false;
  prefixes.store(model, hash, now());
  co_return true;
}

asio::awaitable<void> EngineStandin::sendStreamedCompletion(HttpExchange &exchange,
                                                            const CompletionJob &job) {
  HttpResponse head(http::status::ok, 11);
  head.set(http::field::content_type, "text/event-stream");
  head.set(http::field::cache_control, "no-cache");
  if (!job.attempt.empty())
    head.set("X-Attempt-Id", job.attempt);
  bool open = co_await exchange.startStream(std::move(head));
  for (unsigned i = job.resumeFrom + 1; open && i <= job.request.maxTokens; ++i) {
    open = co_await waitWhileConnected(exchange, batch.tokenTime());
    if (open)
      open = co_await exchange.writeChunk(streamEvent(job.request, job.attempt, i));
  }
  if (open)
    open = co_await exchange.writeChunk("data: [DONE]\n\n");
  if (open)
    co_await exchange.endStream();
}

asio::awaitable<void> EngineStandin::sendWholeCompletion(HttpExchange &exchange,
                                                         const CompletionJob &job) {
  for (unsigned i = job.resumeFrom + 1; i <= job.request.maxTokens; ++i) {
    const bool open = co_await waitWhileConnected(exchange, batch.tokenTime());
    if (open)
      continue;
    exchange.abort();
    co_return;
  }
  auto response = jsonResponse(json::serialize(completionResponse(job.request, job.attempt)));
  if (!job.attempt.empty())
    response.set("X-Attempt-Id", job.attempt);
  co_await exchange.respond(std::move(response));
}

asio::awaitable<void> EngineStandin::getCacheEvents(HttpExchange &exchange, const Target &target) {
  const auto after = target.query.find("after");
  json::array list;
  for (const auto &it :
       prefixes.events(after == target.query.end() ? 0 : numberOr(after->second, 0), now()))
    list.push_back(json::object{{"seq", it.seq},
                                {"model", it.model.value},
                                {"prefix_hash", formatHash(it.prefix)},
                                {"stored", it.stored}});
  const json::object body{{"events", std::move(list)}};
  co_await answerJson(exchange, body);
}

asio::awaitable<void> EngineStandin::exportKv(HttpExchange &exchange, const Target &) {
  JsonFields fields(exchange.request().body());
  const ModelName model(fields.text("model"));
  const auto prompt = fields.text("prompt");
  if (!fields.error().empty()) {
    co_await answerProblem(exchange, 400, fields.error());
    co_return;
  }
  const auto hash = prefixHash(prompt);
  if (!memory.isReady(model)) {
    co_await answerProblem(exchange, 404, "the model is not loaded");
    co_return;
  }
  if (memory.role == EngineRole::Prefill && !prefixes.touch(model, hash)) {
    const bool proceed =
        co_await waitWhileConnected(exchange, batch.prefillTime(promptTokens(prompt)));
    if (!proceed)
      co_return;
    prefixes.store(model, hash, now());
  }
  if (!prefixes.touch(model, hash)) {
    co_await answerProblem(exchange, 404, "the prefix is not cached");
    co_return;
  }
  const json::object body{{"model", model.value},
                          {"prefix_hash", formatHash(hash)},
                          {"kv", kvContent(model.value, hash)}};
  co_await answerJson(exchange, body);
}

asio::awaitable<void> EngineStandin::importKv(HttpExchange &exchange, const Target &) {
  JsonFields fields(exchange.request().body());
  const ModelName model(fields.text("model"));
  const auto hash = parseHash(fields.text("prefix_hash"));
  if (!hash || fields.text("kv") != kvContent(model.value, *hash)) {
    co_await answerProblem(exchange, 400, "not an exported prefix");
    co_return;
  }
  if (!memory.isReady(model)) {
    co_await answerProblem(exchange, 404, "the model is not loaded");
    co_return;
  }
  prefixes.store(model, *hash, now());
  const json::object body{{"model", model.value}, {"prefix_hash", formatHash(*hash)}};
  co_await answerJson(exchange, body);
}

} // namespace catkin::standin
