#include "gateway_core_p.h"

#include "async_p.h"
#include "json_p.h"
#include "real_env_p.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace catkin {

namespace {

// Interval between scans for cold models while requests wait. A newly queued request triggers a
// scan of its own, so that a missed wake-up delays it by at most this interval.
constexpr auto EnsureScanInterval = std::chrono::milliseconds(100);

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Bijective bit mixing, so that ids from consecutive counter values differ in all their digits.
std::uint64_t mixBits(std::uint64_t x) {
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

/// True if the refusal is due to the plan's own limits, not to a lack of capacity.
bool isPlanLimit(const std::string &reason) {
  constexpr std::array<std::string_view, 2> Reasons{"queue_full", "share_not_free_in_time"};
  return std::find(Reasons.begin(), Reasons.end(), reason) != Reasons.end();
}

/// Names of the endpoints that could have been chosen and were not.
std::vector<std::string> alternativeNames(const DispatchResult &d) {
  std::vector<std::string> names;
  for (auto &it : d.alternatives)
    if (it != d.endpoint)
      names.push_back(it.value);
  return names;
}

} // namespace

// ---- GatewayCore --------------------------------------------------------------------------------

GatewayCore::GatewayCore(asio::any_io_executor s, asio::any_io_executor pool, GatewayOptions o,
                         DecisionLog &decisions)
    : strand(std::move(s)), options(std::move(o)), decisions(decisions), client(std::move(pool)),
      dispatcher(options.dataCentre, options.guards, &steadyNow), lastId(randomSeed()) {}

ListsPtr GatewayCore::lists() const {
  std::scoped_lock guard(listsLock);
  return currentLists;
}

void GatewayCore::setLists(ListsPtr lists) {
  std::scoped_lock guard(listsLock);
  currentLists = std::move(lists);
}

std::string GatewayCore::newId() {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(mixBits(++lastId)));
  return buf.data();
}

void GatewayCore::onRequestsWaiting() {
  if (wakePosted.exchange(true))
    return;
  asio::post(strand, [self = shared_from_this()] {
    self->wakePosted = false;
    self->ensureColdModels(steadyNow());
    if (!std::exchange(self->ticking, true))
      self->tick();
  });
}

void GatewayCore::tick() {
  dispatcher.pump();
  if (dispatcher.waiting() == 0) {
    ticking = false;
    return;
  }
  auto now = steadyNow();
  if (now - lastEnsureScan >= EnsureScanInterval)
    ensureColdModels(now);
  auto timer = std::make_shared<asio::steady_timer>(strand, config::AdmissionInterval);
  timer->async_wait([self = shared_from_this(), timer](boost::system::error_code ec) {
    if (!ec)
      self->tick();
  });
}

void GatewayCore::ensureColdModels(Instant now) {
  lastEnsureScan = now;
  std::erase_if(ensureStates, [now](auto &it) {
    return !it.second.inProgress && now - it.second.updatedAt > config::EnsureInterval;
  });
  for (auto &group : dispatcher.coldModelGroups()) {
    auto &state = ensureStates[{group.model, group.plan}];
    if (state.inProgress ||
        (state.updatedAt != Instant{} && now - state.updatedAt < config::EnsureInterval))
      continue;
    state = {true, now};
    sendEnsure(group, now);
  }
  if (dispatcher.hasWaitingPlanWithoutShare())
    dependencies.requestSync();
}

void GatewayCore::sendEnsure(const WaitingGroup &group, Instant now) {
  EnsureRequest request{.requestId = group.requestId,
                        .model = group.model,
                        .plan = group.plan,
                        .host = options.host,
                        .dataCentre = options.dataCentre,
                        .remaining = std::max(Duration{0}, group.deadline - now)};
  dependencies.requestSync();
  dependencies.ensure(request, [self = shared_from_this(), group](const EnsureReply &reply) {
    // After a refusal, the next ensure request may follow one scan interval later. While a load is
    // in progress, one a second is enough.
    auto now = steadyNow();
    bool refused = reply.outcome == EnsureOutcome::Refused;
    self->ensureStates[{group.model, group.plan}] = {
        false, refused ? now - config::EnsureInterval + EnsureScanInterval : now};
    self->onEnsureReply(group, reply);
  });
}

void GatewayCore::onEnsureReply(const WaitingGroup &group, const EnsureReply &reply) {
  if (reply.outcome == EnsureOutcome::Loading)
    dispatcher.setModelEstimate(group.model, steadyNow() + reply.estimate);
  if (reply.outcome == EnsureOutcome::Refused)
    dispatcher.refuse(group, reply.retryAfter, reply.reason);
}

void GatewayCore::recordRefusal(const std::string &requestId, const PlanName &plan,
                                const ModelName &model, const AdmissionResult &result) {
  decisions.add({.kind = DecisionKind::Admission,
                 .requestId = requestId,
                 .plan = plan,
                 .model = model,
                 .reason = result.reason});
  metrics.onRefusal(isPlanLimit(result.reason) ? "plan" : "capacity");
}

// ---- CallerWatch --------------------------------------------------------------------------------

CallerWatch::~CallerWatch() {
  state->finished = true;
  state->onGone = nullptr;
  if (state->timer)
    state->timer->cancel();
}

void CallerWatch::start(const asio::any_io_executor &executor) {
  state->timer = std::make_unique<asio::steady_timer>(executor);
  asio::co_spawn(executor, run(state), asio::detached);
}

asio::awaitable<void> CallerWatch::run(std::shared_ptr<State> state) {
  while (!state->finished && !state->gone) {
    state->timer->expires_after(config::CallerCheckInterval);
    boost::system::error_code ec;
    co_await state->timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (state->finished || !state->exchange->isCallerGone())
      continue;
    state->gone = true;
    if (auto action = std::exchange(state->onGone, nullptr))
      action();
  }
}

// ---- Helpers ------------------------------------------------------------------------------------

std::string_view headerOf(const HttpRequest &request, std::string_view name) {
  auto value = request[boost::beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

std::string_view pathOf(const HttpRequest &request) {
  std::string_view target(request.target().data(), request.target().size());
  return target.substr(0, target.find('?'));
}

std::string_view attemptIdOf(const http::response_header<> &head) {
  auto value = head["X-Attempt-Id"];
  return {value.data(), value.size()};
}

RunOutcome outcomeOf(const std::string &body) {
  json::object object;
  if (!parseObject(body, object))
    return RunOutcome::Count;
  auto *outcome = object.if_contains("outcome");
  if (!outcome || !outcome->is_string())
    return RunOutcome::Count;
  return parseEnum<RunOutcome>(std::string_view(outcome->get_string())).value_or(RunOutcome::Count);
}

asio::awaitable<void> answerProblem(CallerRequest &request, std::string_view kind, unsigned status,
                                    RunOutcome outcome, std::string_view detail,
                                    Duration retryAfter) {
  auto response = problemResponse(status, outcome, detail, retryAfter);
  response.set("X-Request-Id", request.id);
  request.core->metrics.onRequest(request.plan.name, kind, toString(outcome));
  co_await request.exchange.respond(std::move(response));
}

asio::awaitable<void> answerRefusal(CallerRequest &request, std::string_view kind,
                                    const AdmissionResult &result, bool mayHaveRun) {
  auto status = isPlanLimit(result.reason) ? 429U : 503U;
  auto outcome = mayHaveRun ? RunOutcome::MayHaveRun : RunOutcome::NotRun;
  co_await answerProblem(request, kind, status, outcome, result.reason,
                         std::max<Duration>(result.retryAfter, std::chrono::seconds(1)));
}

asio::awaitable<DispatchResult> dispatch(CallerRequest &request,
                                         const DispatchRequest &dispatchRequest) {
  auto core = request.core;
  auto start = [&](std::function<void(DispatchResult)> done) {
    auto ticket = core->dispatcher.start(dispatchRequest, std::move(done));
    request.watch.setOnCallerGone([core, ticket] { core->dispatcher.cancel(ticket); });
    if (core->dispatcher.waiting() > 0)
      core->onRequestsWaiting();
  };
  auto result = co_await waitForCallback<DispatchResult>(start);
  request.watch.setOnCallerGone(nullptr);
  if (result.admission.outcome == AdmissionOutcome::Refused)
    core->recordRefusal(request.id, request.plan.name, dispatchRequest.waiting.model,
                        result.admission);
  if (result.admission.outcome == AdmissionOutcome::Start)
    core->decisions.add({.kind = DecisionKind::Route,
                         .requestId = request.id,
                         .plan = request.plan.name,
                         .model = dispatchRequest.waiting.model,
                         .chosen = result.endpoint.value,
                         .alternatives = alternativeNames(result),
                         .reason = result.reason});
  co_return result;
}

asio::awaitable<std::unique_ptr<HttpStream>> openEndpointStream(CallerRequest &request,
                                                                const Address &to,
                                                                HttpRequest message,
                                                                HttpTimeouts timeouts) {
  auto executor = co_await asio::this_coro::executor;
  auto signal = std::make_shared<asio::cancellation_signal>();
  request.watch.setOnCallerGone([signal] { signal->emit(asio::cancellation_type::terminal); });
  std::unique_ptr<HttpStream> stream;
  try {
    stream = co_await asio::co_spawn(
        executor, request.core->client.open(to, std::move(message), timeouts),
        asio::bind_cancellation_slot(signal->slot(), asio::use_awaitable));
  } catch (const boost::system::system_error &) {
    // Only cancellation throws.
    stream = nullptr;
  }
  request.watch.setOnCallerGone(nullptr);
  if (request.watch.isCallerGone())
    stream = nullptr;
  co_return stream;
}

asio::awaitable<std::string> readBody(HttpStream &stream, std::size_t limit) {
  std::string body;
  for (auto piece = co_await stream.read(); !piece.empty(); piece = co_await stream.read()) {
    body += piece;
    if (body.size() > limit)
      break;
  }
  co_return body;
}

} // namespace catkin
