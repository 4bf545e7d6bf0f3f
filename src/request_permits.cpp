#include "request_permits_p.h"

#include "config.h"
#include "log_p.h"

#include <map>
#include <utility>

namespace catkin {

namespace {

constexpr int MaxAsks = 2; // for one permit, since a datagram may be lost
// Longer than any call waits for a permit, so that a request goes elsewhere or is refused.
constexpr Permit NoIssuer{.granted = false, .delay = config::FleetPermitMaxWait * 4 / 3};

} // namespace

struct RequestPermits::Impl : std::enable_shared_from_this<Impl> {
  struct Ask {
    EndpointIncarnation endpoint;
    Duration maxDelay{};
    Done done;
    int sends = 0;
  };

  CoreEnv &env;
  FleetView &view;
  RequestPermitsHooks hooks;
  PermitIssuer issuer;
  std::map<std::uint64_t, Ask> asks;
  std::uint64_t lastId = 0;

  Impl(CoreEnv &env, FleetView &view, RequestPermitsHooks hooks)
      : env(env), view(view), hooks(std::move(hooks)) {}

  RequestLimit limitOf(const EndpointIncarnation &endpoint) const {
    return view.signals().limits().find(endpoint);
  }

  Permit issue(const RequestLimit &limit, Duration maxDelay) {
    if (!limit.perSecond)
      return {.granted = true};
    return issuer.issue(limit, hooks.share(), maxDelay, env.now());
  }

  void acquire(const EndpointIncarnation &endpoint, Duration maxDelay, Done done) {
    const bool issuesItself = hooks.issuer(endpoint.endpoint).empty();
    const RequestLimit limit = limitOf(endpoint);
    if (issuesItself || !limit.perSecond)
      return done(issue(limit, maxDelay));
    const std::uint64_t id = ++lastId;
    asks.emplace(id, Ask{.endpoint = endpoint, .maxDelay = maxDelay, .done = std::move(done)});
    send(id);
  }

  /// Sends the request for a permit, again if no answer comes, and then gives up.
  void send(std::uint64_t id) {
    auto it = asks.find(id);
    if (it == asks.end())
      return;
    auto &ask = it->second;
    if (ask.sends++ >= MaxAsks)
      return giveUp(id);
    const Address to = hooks.issuer(ask.endpoint.endpoint);
    if (to.empty()) // this host has become the issuer
      return finish(id, issue(limitOf(ask.endpoint), ask.maxDelay));
    hooks.send(to, PermitRequest{id, limitOf(ask.endpoint), ask.maxDelay});
    env.after(config::FleetPermitTimeout, [self = shared_from_this(), id] { self->send(id); });
  }

  void giveUp(std::uint64_t id) {
    logLine(LogLevel::Warn, "no answer to a request for a permit",
            {{"endpoint", asks.at(id).endpoint.endpoint.value},
             {"issuer", hooks.issuer(asks.at(id).endpoint.endpoint).toString()}});
    finish(id, NoIssuer);
  }

  void finish(std::uint64_t id, const Permit &permit) {
    auto node = asks.extract(id);
    node.mapped().done(permit);
  }

  void onRequest(const PermitRequest &request, const Address &from) {
    view.onLimitReportedByHost(request.limit, env.now());
    const RequestLimit limit = limitOf(request.limit.endpoint);
    const bool issuesItself = hooks.issuer(limit.endpoint.endpoint).empty();
    const Permit permit = issuesItself ? issue(limit, request.maxDelay) : NoIssuer;
    hooks.send(from, PermitReply{request.id, limit, permit});
  }

  void onReply(const PermitReply &reply) {
    view.onLimitReportedByHost(reply.limit, env.now());
    auto it = asks.find(reply.id);
    if (it == asks.end())
      return; // given up or answered before
    finish(reply.id, reply.permit);
  }
};

RequestPermits::RequestPermits(CoreEnv &env, FleetView &view, RequestPermitsHooks hooks)
    : impl(std::make_shared<Impl>(env, view, std::move(hooks))) {}

RequestPermits::~RequestPermits() = default;

void RequestPermits::acquire(const EndpointIncarnation &endpoint, Duration maxDelay, Done done) {
  impl->acquire(endpoint, maxDelay, std::move(done));
}

void RequestPermits::onRequest(const PermitRequest &request, const Address &from) {
  impl->onRequest(request, from);
}

void RequestPermits::onReply(const PermitReply &reply) { impl->onReply(reply); }

void RequestPermits::expire() { impl->issuer.expire(impl->env.now()); }

} // namespace catkin
