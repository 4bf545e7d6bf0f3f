#include "call_window_p.h"
#include "fleet_peers_p.h"
#include "fleet_world_p.h"
#include "request_permits_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

/// Plays fleets of 3 to 300 hosts before one endpoint that names a limit of requests, on a virtual
/// clock, and checks what the endpoint and the callers get.
namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

constexpr auto Step = 10ms;
constexpr auto Latency = 2ms;
constexpr auto ReactionTime = 3000ms; // allowed by the platform after the first such answer
const EndpointIncarnation Endpoint{EndpointName("e"), 1};

struct SimulationOptions {
  int hosts = 3;
  double limit = 1;           ///< requests a second that the endpoint names
  double requestsPerHost = 2; ///< requests a second that each host would like to send
  Duration maxDelay{};        ///< for which a request can wait
  double messageLoss = 0;     ///< share of lost datagrams
};

/// A fleet with its callers and one endpoint.
class Simulation {
public:
  explicit Simulation(SimulationOptions o) : options(o) {
    for (int i = 0; i < options.hosts; ++i)
      addHost();
    introduceHosts();
  }

  /// Runs for `d`; hosts send requests at the rate of the options, and heartbeats.
  void run(Duration d) {
    const Instant end = env.now() + d;
    while (env.now() < end) {
      if (steps++ % HeartbeatSteps == 0)
        sendHeartbeats();
      sendRequests();
      env.run(Step);
    }
  }

  /// Adds a host that the others learn of at once.
  void join() {
    addHost();
    introduceHosts();
  }

  /// Returns the host that the first reachable host takes for the issuer.
  int issuer() {
    for (auto &it : hosts)
      if (it->reachable) {
        const Address address =
            it->peers.responsibleHost(Endpoint.endpoint.value, false, env.now());
        return address.empty() ? it->number : address.port - 1;
      }
    return -1;
  }

  /// A host that is not reachable neither sends nor receives. `frozen`: nor does it send requests.
  void setReachable(int host, bool on, bool frozen) {
    hosts[static_cast<std::size_t>(host)]->reachable = on;
    hosts[static_cast<std::size_t>(host)]->frozen = frozen;
  }

  /// Largest number of calls of all hosts in a window after the time that the platform allows.
  int largestWindowCount() const {
    const auto first = std::lower_bound(calls.begin(), calls.end(), start + ReactionTime);
    return catkin::largestWindowCount({first, calls.end()}, LimitWindow);
  }

  std::ptrdiff_t callsSince(Instant from) const {
    return calls.end() - std::lower_bound(calls.begin(), calls.end(), from);
  }

  std::optional<double> hostLimit(int host) const {
    return hosts[static_cast<std::size_t>(host)]->view.signals().limits().find(Endpoint).perSecond;
  }

  Instant now() const { return env.now(); }

  SimulationOptions options;
  std::optional<double> namedLimit = options.limit;
  int denied = 0;
  int messages = 0; ///< requests for permits and their answers

private:
  static constexpr int HeartbeatSteps = config::FleetHeartbeat / Step;

  struct Host {
    int number = 0;
    bool reachable = true;
    bool frozen = false;
    FleetView view;
    FleetPeers peers;
    std::unique_ptr<RequestPermits> permits;
    double due = 0; ///< requests to send
    explicit Host(FleetHostEntry entry) : peers(std::move(entry)) {}
  };

  static FleetHostEntry entryOf(int number) {
    return {.host = HostName("h" + std::to_string(number)),
            .incarnation = 1,
            .peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)},
            .dataCentre = DataCentreName("a")};
  }

  void addHost() {
    const int number = static_cast<int>(hosts.size());
    hosts.push_back(std::make_unique<Host>(entryOf(number)));
    auto &host = *hosts.back();
    host.number = number;
    host.due = static_cast<double>(env.random() % 1000) / 1000;
    host.view.putEndpoint({.name = Endpoint.endpoint, .incarnation = Endpoint.incarnation},
                          env.now());
    host.permits = std::make_unique<RequestPermits>(
        env, host.view,
        RequestPermitsHooks{
            .issuer =
                [this, &host](auto &it) {
                  return host.peers.responsibleHost(it.value, false, env.now());
                },
            .share = [this, &host] { return host.peers.permitShare(env.now()); },
            .send = [this, &host](auto &to, auto &message) { send(host, to, message); }});
  }

  void introduceHosts() {
    for (auto &it : hosts)
      for (auto &other : hosts)
        it->peers.put(entryOf(other->number));
    sendHeartbeats();
  }

  bool isLost() { return static_cast<double>(env.random() % 1000) < options.messageLoss * 1000; }

  void sendHeartbeats() {
    for (auto &from : hosts) {
      if (!from->reachable)
        continue;
      from->permits->expire();
      const FleetHeartbeat message{.host = HostName("h" + std::to_string(from->number)),
                                   .incarnation = 1,
                                   .ready = true,
                                   .limits = from->view.signals().limits().toAnnounce(env.now())};
      for (auto &to : hosts)
        if (to != from && to->reachable && !isLost())
          receiveHeartbeat(*to, message);
    }
  }

  void receiveHeartbeat(Host &to, const FleetHeartbeat &message) {
    to.peers.onHeartbeat(message, env.now());
    for (auto &it : message.limits)
      to.view.onLimitReportedByHost(it, env.now());
  }

  void send(Host &from, const Address &to, const FleetMessage &message) {
    ++messages;
    auto &target = *hosts.at(static_cast<std::size_t>(to.port - 1));
    if (!from.reachable || isLost())
      return;
    env.after(Latency, [&target, message, from = entryOf(from.number).peerAddress] {
      if (!target.reachable)
        return;
      if (auto *m = std::get_if<PermitRequest>(&message))
        target.permits->onRequest(*m, from);
      else if (auto *m = std::get_if<PermitReply>(&message))
        target.permits->onReply(*m);
    });
  }

  void sendRequests() {
    for (auto &it : hosts) {
      if (it->frozen)
        continue;
      for (it->due += options.requestsPerHost * toSeconds(Step); it->due >= 1; it->due -= 1)
        sendRequest(*it);
    }
  }

  void sendRequest(Host &host) {
    auto *state = host.view.find(Endpoint.endpoint);
    if (!host.view.limitOf(state->entry).perSecond)
      return call(host);
    if (env.now() + options.maxDelay < state->permitAfter) {
      ++denied;
      return;
    }
    host.permits->acquire(Endpoint, options.maxDelay, [this, &host](const Permit &permit) {
      if (permit.granted)
        return env.after(permit.delay, [this, &host] { call(host); });
      ++denied;
      host.view.onPermitDenied(Endpoint, permit.delay, env.now());
    });
  }

  void call(Host &host) {
    if (host.frozen)
      return;
    calls.push_back(env.now());
    host.view.onAnnouncements(Endpoint,
                              {.requestsPerSecond = namedLimit, .servesWithoutLimit = !namedLimit},
                              env.now(), env.now());
  }

  FakeEnv env;
  Instant start = env.now();
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Instant> calls;
  int steps = 1;
};

struct FleetSize {
  int hosts = 3;
  double limit = 1;
};

class LimitedEndpoint : public ::testing::TestWithParam<FleetSize> {
protected:
  SimulationOptions makeOptions() const {
    return {.hosts = GetParam().hosts,
            .limit = GetParam().limit,
            .requestsPerHost = std::max(4.0, 8 * GetParam().limit / GetParam().hosts)};
  }
  void expectWithinLimit(const Simulation &simulation) const {
    EXPECT_LE(simulation.largestWindowCount(), allowedInWindow(GetParam().limit));
  }
};

TEST_P(LimitedEndpoint, GetsMoreOrMuchLessThanItsLimit) {
  Simulation simulation(makeOptions());
  simulation.run(20s);
  expectWithinLimit(simulation);
  const Instant from = simulation.now();
  simulation.run(20s);
  EXPECT_GE(simulation.callsSince(from), std::floor(0.8 * GetParam().limit * 20));
}

TEST_P(LimitedEndpoint, GetsMoreThanItsLimitWhileTheIssuerStops) {
  Simulation simulation(makeOptions());
  simulation.run(6s);
  for (int i = 0; i < 2 && i < GetParam().hosts - 1; ++i) {
    simulation.setReachable(simulation.issuer(), false, true);
    simulation.run(7s);
  }
  expectWithinLimit(simulation);
  const Instant from = simulation.now();
  simulation.run(10s);
  EXPECT_GE(simulation.callsSince(from), std::floor(0.3 * GetParam().limit * 10));
}

TEST_P(LimitedEndpoint, GetsMoreThanItsLimitWhileTheIssuerFreezesAndWakes) {
  Simulation simulation(makeOptions());
  simulation.run(6s);
  const int frozen = simulation.issuer();
  simulation.setReachable(frozen, false, true);
  simulation.run(4s);
  simulation.setReachable(frozen, true, false);
  simulation.run(8s);
  expectWithinLimit(simulation);
}

TEST_P(LimitedEndpoint, GetsMoreThanItsLimitWhileHostsJoin) {
  Simulation simulation(makeOptions());
  simulation.run(5s);
  for (int i = 0; i < 6; ++i) {
    simulation.join();
    simulation.run(1s);
  }
  simulation.run(6s);
  expectWithinLimit(simulation);
}

TEST_P(LimitedEndpoint, GetsMoreThanItsLimitWhileMessagesAreLost) {
  auto options = makeOptions();
  options.messageLoss = 0.2;
  Simulation simulation(options);
  simulation.run(25s);
  expectWithinLimit(simulation);
}

TEST_P(LimitedEndpoint, GetsMoreThanItsLimitFromAHostWithoutTouch) {
  Simulation simulation(makeOptions());
  simulation.run(5s);
  simulation.setReachable(simulation.issuer(), false, false);
  simulation.run(12s);
  expectWithinLimit(simulation);
}

TEST_P(LimitedEndpoint, KeepsItsLimitAfterItNoLongerNamesIt) {
  Simulation simulation(makeOptions());
  simulation.run(8s);
  simulation.namedLimit.reset();
  simulation.run(2s + fromSeconds(3 / GetParam().limit));
  for (int i = 0; i < GetParam().hosts; ++i)
    EXPECT_FALSE(simulation.hostLimit(i).has_value()) << i;
}

TEST_P(LimitedEndpoint, MakesTheHostsAskTooOften) {
  Simulation simulation(makeOptions());
  simulation.run(6s);
  const int before = simulation.messages;
  simulation.run(10s);
  // One question and answer a host and second, and those of the calls themselves.
  EXPECT_LE(simulation.messages - before, 20 * (GetParam().hosts + 4 * GetParam().limit));
}

INSTANTIATE_TEST_SUITE_P(Fleets, LimitedEndpoint,
                         ::testing::Values(FleetSize{3, 0.4}, FleetSize{3, 20}, FleetSize{40, 1},
                                           FleetSize{300, 0.2}, FleetSize{300, 1},
                                           FleetSize{300, 50}),
                         [](auto &it) {
                           return std::to_string(it.param.hosts) + "HostsLimitTenths" +
                                  std::to_string(static_cast<int>(it.param.limit * 10));
                         });

// Guards against requests that are refused although the next permit comes in time for them.
TEST(RequestPermitsTest, RequestThatCanWaitIsDeniedAFreePlace) {
  Simulation simulation(
      {.hosts = 8, .limit = 2, .requestsPerHost = 0.2, .maxDelay = config::FleetPermitMaxWait});
  simulation.run(10s);
  const int before = simulation.denied;
  simulation.run(20s);
  EXPECT_LE(simulation.denied - before, 2);
}

// Guards against an answer to an earlier call that ends a limit named since then.
TEST(RequestLimitsTest, OlderAnswerEndsTheLimit) {
  RequestLimits limits;
  const Instant t0{1h};
  EXPECT_TRUE(limits.onAnswer(Endpoint, 2.0, t0, t0 + 1s));
  EXPECT_FALSE(limits.onAnswer(Endpoint, std::nullopt, t0 + 500ms, t0 + 2s));
  EXPECT_EQ(limits.find(Endpoint).perSecond, 2.0);
  EXPECT_TRUE(limits.onAnswer(Endpoint, std::nullopt, t0 + 1s, t0 + 3s));
  EXPECT_FALSE(limits.find(Endpoint).perSecond.has_value());
}

// Guards against a late report of another host that brings back a limit that has ended.
TEST(RequestLimitsTest, OlderReportBringsTheLimitBack) {
  RequestLimits limits;
  const Instant t0{1h};
  limits.onAnswer(Endpoint, 2.0, t0, t0);
  const RequestLimit old = limits.find(Endpoint);
  limits.onAnswer(Endpoint, std::nullopt, t0 + 1s, t0 + 1s);
  EXPECT_FALSE(limits.onReportedByHost(old, t0 + 2s));
  EXPECT_FALSE(limits.find(Endpoint).perSecond.has_value());
  EXPECT_TRUE(limits.onAnswer(Endpoint, 3.0, t0 + 3s, t0 + 3s));
}

// Guards against a limit that outlives a restart of the endpoint.
TEST(RequestLimitsTest, LimitHoldsForAnotherIncarnation) {
  RequestLimits limits;
  limits.onAnswer(Endpoint, 2.0, Instant(1h), Instant(1h));
  EXPECT_FALSE(limits.find({Endpoint.endpoint, 2}).perSecond.has_value());
}

} // namespace
} // namespace catkin::fleet
