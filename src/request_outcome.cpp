#include "request_forwarder_p.h"

#include "log_p.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace catkin {

namespace {

/// Formats seconds with milliseconds for the Retry-After header.
std::string secondsText(Duration d) {
  std::array<char, 32> buf{};
  auto n = std::snprintf(buf.data(), buf.size(), "%.3f", toSeconds(d));
  return {buf.data(), static_cast<std::size_t>(n)};
}

} // namespace

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
    co_await refuse(isDeadlinePassed() ? 504 : 502,
                    endedByStop ? "this host stops before the endpoint has answered"
                                : "the endpoint failed");
    co_return;
  }
  if (quarantineVerdict.kind == QuarantineVerdict::Kind::Quarantined)
    co_return co_await refuse(503, QuarantineReason, quarantineRetryAfter());
  if (requiredVersion)
    g.metrics.onResumption("no_endpoint");
  co_await refuse(503, notRunReason());
}

std::string_view RequestForwarder::notRunReason() const {
  if (outOfMemory)
    return "this host has no memory for the request";
  if (search->version())
    return "no endpoint of the stream's version takes it in time";
  if (versionUnrecorded)
    return "the version of the endpoints is not recorded";
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
  if (status == 503 || status == 429)
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
                          {"version", chosen.entry.softwareVersion.value},
                          {"own", chosen.ownInFlight},
                          {"peers", chosen.peersInFlight},
                          {"failure_share", chosen.failureShare}};
  if (engineRequest().hasTokens()) {
    out["predicted_ms"] = toMillis(fromSeconds(choice.seconds));
    out["slowness"] = chosen.load.slowness(g.hooks.now());
    out["held_tokens"] = chosen.load.heldTokens();
  }
  if (choice.leaveReason != LeaveReason::None) {
    out["left_because"] = toString(choice.leaveReason);
    out["home_ms"] = toMillis(fromSeconds(choice.homeSeconds));
    out["away_ms"] = toMillis(fromSeconds(choice.awaySeconds));
  }
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
  boost::json::array traits;
  if (brokeBeforeFirstEvent)
    for (auto &it : caller.traits)
      traits.emplace_back(traitText(it));
  logLine(LogLevel::Info, "attempt failed",
          {{"request", caller.id},
           {"endpoint", to.name.value},
           {"incarnation", to.incarnation},
           {"failure", toString(failure)},
           {"status", lastHead.status},
           {"not_run", lastHead.notRun},
           {"events", events.eventCount()},
           {"broke_before_first_event", brokeBeforeFirstEvent},
           {"traits", std::move(traits)},
           {"after_ms", toMillis(g.hooks.now() - arrivedAt)}});
}

void RequestForwarder::logRequest(unsigned status, std::string_view outcome) {
  const Duration took = g.hooks.now() - arrivedAt;
  g.metrics.onRequest(route.name.empty() ? "none" : toString(route.kind), outcome, took);
  if (modelWaitTime > Duration::zero())
    g.metrics.onModelWait(modelWaitTime);
  logLine(
      LogLevel::Info, "request",
      {{"request", caller.id},
       {"route", route.name},
       {"team", team ? team->name.value : std::string()},
       {"service", service.value},
       {"model", toText(caller.model)},
       {"stream_version", search && search->version() ? search->version()->value : std::string()},
       {"config", configVersion},
       {"choices", choices},
       {"sends", sends},
       {"quarantined_trait", quarantineVerdict.kind == QuarantineVerdict::Kind::Clear
                                 ? std::string()
                                 : traitText(quarantineVerdict.trait)},
       {"limit_ms", toMillis(limit)},
       {"waited_ms", toMillis(modelWaitTime)},
       {"took_ms", toMillis(took)},
       {"status", status},
       {"outcome", outcome}});
}

} // namespace catkin
