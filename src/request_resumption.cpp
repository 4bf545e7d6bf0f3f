#include "async_p.h"
#include "log_p.h"
#include "request_forwarder_p.h"

#include <algorithm>

/// The software version of a stream: the one that its first event fixes, and the one at which a
/// stream that the caller takes up must go on.
namespace catkin {

namespace {

// A record is needed while the stream lasts and, after its end, until the caller has come back: as
// long as the caller says that it waits, and at least this many timeouts of the route.
constexpr int LifetimeInTimeouts = 2;

// For the registry to be read again.
constexpr Duration MaxVersionWait = std::chrono::milliseconds(250);

constexpr std::string_view UnknownOriginReason = "it is not known which version began the stream";

} // namespace

Duration RequestForwarder::originLifetime() const {
  const Duration wait = caller.deadline.value_or(Duration::zero());
  return std::max<Duration>(route.timeout * LifetimeInTimeouts,
                            std::min<Duration>(wait, config::FleetMaxStreamAge));
}

/// Returns the key of the request's stream: that of the request that brought its first event.
StreamKey RequestForwarder::ownStreamKey() const {
  return streamKey(caller.resumption ? caller.resumption->firstRequestId : caller.id);
}

/// Finds the version at which a stream that the caller takes up must go on. Returns a refusal if it
/// is not known: another version's events would not fit those that the caller has.
asio::awaitable<std::optional<RequestForwarder::Refusal>> RequestForwarder::findOrigin() {
  const std::string &first = caller.resumption->firstRequestId;
  OriginAnswer answer;
  if (!first.empty())
    answer = co_await waitForCallback<OriginAnswer>(
        [this](auto done) { g.streamOrigins.find(ownStreamKey(), route.services, done); });
  const bool servesRoute =
      answer.origin && std::any_of(route.services.begin(), route.services.end(),
                                   [&](auto &it) { return it.service == answer.origin->service; });
  logLine(LogLevel::Info, "stream taken up",
          {{"request", caller.id},
           {"first_request", first},
           {"source", toString(answer.source)},
           {"version", answer.origin ? answer.origin->version.value : std::string()},
           {"service", answer.origin ? answer.origin->service.value : std::string()},
           {"age_ms", toMillis(answer.age)},
           {"asked", answer.asked},
           {"answered", answer.answered}});
  if (!servesRoute) {
    g.metrics.onResumption(toString(answer.origin ? OriginSource::Unknown : answer.source));
    co_return Refusal{503, UnknownOriginReason, retryAfterUnknownOrigin(answer.source)};
  }
  requiredVersion = answer.origin->version;
  service = answer.origin->service;
  co_return checkService();
}

/// A host that has not answered may do so soon. What no host knows will not become known; the
/// caller had better begin the stream anew.
Duration RequestForwarder::retryAfterUnknownOrigin(OriginSource source) const {
  if (source == OriginSource::NoAnswer)
    return config::FleetRetryAfterMin;
  return std::max<Duration>(remainingTime() / 3, config::FleetRetryAfterMin);
}

/// The endpoint has sent the first events of its answer, which are about to be relayed: the stream
/// stays at its version. The other hosts are told before the caller gets the events.
void RequestForwarder::onStreamBegun(const FleetEndpoint &from) {
  search->requireVersion(from.softwareVersion);
  g.streamOrigins.record(
      ownStreamKey(),
      {.service = service, .version = from.softwareVersion, .writer = incarnationOf(from)},
      originLifetime());
  if (caller.resumption)
    g.metrics.onResumption("went_on");
}

/// Returns true if the stream has events whose version is not certain any more, so that it cannot
/// go on.
bool RequestForwarder::hasLostItsOrigin() const {
  return state.streaming && state.headersSent && !g.streamOrigins.isTrusted(ownStreamKey());
}

/// Waits a moment for an endpoint of the stream's version: the registry may have one that has just
/// come back. Returns null if there is none.
asio::awaitable<const EndpointState *> RequestForwarder::seekVersion() {
  if (g.hooks.onVersionMissing)
    g.hooks.onVersionMissing();
  const EndpointState *chosen = nullptr;
  const Instant end = g.hooks.now() + MaxVersionWait;
  while (!chosen && !exchange.isCallerGone() && g.hooks.now() < end) {
    const bool inTime = co_await waitForViewChange();
    if (!inTime)
      break;
    chosen = choose();
  }
  co_return chosen;
}

/// Returns true if the endpoint must confirm its incarnation first: it may have come back with
/// another version, which the events that follow, or the record of the stream, would get wrong.
bool RequestForwarder::needsConfirmation(const EndpointState &endpoint) const {
  const bool canBeTakenUp = state.streaming && route.resumable;
  if (!canBeTakenUp || !g.hooks.confirmIncarnation)
    return false;
  if (search->version())
    return true;
  // An endpoint without models cannot tell; the registry would have to be asked, which is the
  // reason for the doubt.
  return !caller.model.empty() && g.view.isIncarnationDoubtful(endpoint, g.hooks.now());
}

/// Makes sure that the store's record has the version at which the stream is about to begin: a host
/// that knows nothing of the stream relies on the record. Returns false if the endpoint must not
/// get the request now.
asio::awaitable<bool> RequestForwarder::ensureVersionRecorded(const FleetEndpoint &to) {
  const bool canBeTakenUp = state.streaming && route.resumable;
  if (!canBeTakenUp || search->version() || !g.hooks.ensureVersionRecorded)
    co_return true;
  // Without another version there is none at which the stream could go on by mistake.
  const Instant from = g.hooks.now() - config::FleetMaxStreamAge;
  if (!g.view.versions().hasSeenOther(service, to.softwareVersion, from)) {
    g.hooks.ensureVersionRecorded(service, to.softwareVersion, [](bool) {});
    co_return true;
  }
  const bool recorded = co_await waitForCallback<bool>([&](auto done) {
    g.hooks.ensureVersionRecorded(service, to.softwareVersion, std::move(done));
  });
  if (recorded)
    co_return !exchange.isCallerGone() && search->isStillUsable(to);
  search->excludeVersion(to.softwareVersion);
  versionUnrecorded = true;
  logLine(
      LogLevel::Info, "version of the endpoint is not recorded",
      {{"request", caller.id}, {"endpoint", to.name.value}, {"version", to.softwareVersion.value}});
  co_return false;
}

/// Asks the endpoint for its incarnation, once for all requests that wait for the answer.
void RequestForwarder::askForIncarnation(const FleetEndpoint &to,
                                         std::function<void(bool)> done) const {
  const EndpointIncarnation key = incarnationOf(to);
  auto &waiting = g.confirmations[key];
  waiting.push_back(std::move(done));
  if (waiting.size() > 1)
    return;
  g.hooks.confirmIncarnation(to, [gateway = sharedGateway, key](bool confirmed) {
    gateway->view.onConfirmed(key, confirmed, gateway->hooks.now());
    const auto node = gateway->confirmations.extract(key);
    for (auto &it : node.mapped())
      it(confirmed);
  });
}

/// Asks the endpoint whether it still is in the incarnation that this host knows.
asio::awaitable<bool> RequestForwarder::confirmIncarnation(const FleetEndpoint &to) {
  const bool confirmed =
      co_await waitForCallback<bool>([&](auto done) { askForIncarnation(to, std::move(done)); });
  if (confirmed)
    co_return !exchange.isCallerGone() && search->isStillUsable(to);
  search->onUnreachable(to.name);
  logLine(LogLevel::Info, "endpoint does not confirm its incarnation",
          {{"request", caller.id},
           {"endpoint", to.name.value},
           {"incarnation", to.incarnation},
           {"version", to.softwareVersion.value}});
  co_return false;
}

} // namespace catkin
