#include "fleet_world_p.h"
#include "team_quotas_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

/// Plays fleets of 4 to 81 hosts whose callers send more or less than the quota of a team, on a
/// virtual clock, and checks what is admitted in any window and what callers get.
namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

constexpr Duration Step = 10ms;
constexpr Duration Latency = 2ms;
constexpr double MinCost = 1000;
constexpr double MaxCost = 44'000;
constexpr double Slack = 110'000;

struct SimulationOptions {
  int hosts = 4;
  double perSecond = 40'000;
  double load = 5;               ///< what callers send, as a multiple of the quota
  const char *teamName = "team"; ///< determines the issuer
  QuotaOptions quota;
  double maxCost = MaxCost;
  double messageLoss = 0;
};

struct Grant {
  Instant at;
  double cost = 0;
};

class Simulation {
public:
  explicit Simulation(const SimulationOptions &o) : options(o) {
    config.version = 1;
    setQuota(options.perSecond);
    for (int i = 0; i < options.hosts; ++i)
      hosts.push_back(std::make_unique<Host>(entryOf(i)));
    for (auto &it : hosts) {
      it->due = -options.maxCost * static_cast<double>(env.random() % 1000) / 1000;
      start(*it);
    }
  }

  /// Runs for `d`; hosts send heartbeats and admit requests.
  void run(Duration d) {
    for (const Instant end = env.now() + d; env.now() < end; env.run(Step)) {
      if (steps++ % (config::FleetHeartbeat / Step) == 0)
        sendHeartbeats();
      sendRequests();
    }
  }

  /// Lets the hosts hear of each other and their buckets fill.
  void settle() {
    const double load = std::exchange(options.load, 0);
    run(12s);
    options.load = load;
  }

  /// Changes the quota on all hosts.
  void setQuota(double perSecond) {
    team.quota = {.unit = QuotaUnit::Tokens, .perSecond = perSecond, .burst = perSecond};
    config.version += 1;
    config.teams = {};
    EXPECT_EQ(config.teams.add(team), "");
    for (auto &it : hosts)
      it->view.setConfig(config);
  }

  int issuer() const {
    const Address first =
        hosts[0]->peers.responsibleHost("quota/" + team.name.value, false, env.now());
    return first.empty() ? 0 : first.port - 1;
  }

  /// Stops a host; it neither sends nor receives.
  void stop(int host) { at(host).stopped = true; }

  /// Continues a stopped host, which has not noticed the time that has passed.
  void wake(int host) { at(host).stopped = false; }

  /// Starts a host again that has lost its memory.
  void restart(int host) {
    at(host).stopped = false;
    start(at(host));
  }

  /// Puts the first `n` hosts on one side of a partition; 0 ends it.
  void partition(int n) {
    for (auto &it : hosts)
      it->side = it->number < n ? 1 : 0;
  }

  double allowed(double perSecond) const {
    const double n = perSecond * toSeconds(options.quota.window) + perSecond;
    return n * (1 + options.quota.over) + options.quota.slack;
  }

  /// Largest sum of grants in a window that begins at `from` or later.
  double largestWindow(Instant from = {}) const {
    double most = 0;
    double sum = 0;
    auto first = std::lower_bound(grants.begin(), grants.end(), from,
                                  [](auto &it, Instant t) { return it.at < t; });
    for (auto it = first; it != grants.end(); ++it) {
      sum += it->cost;
      for (; it->at - first->at >= options.quota.window; ++first)
        sum -= first->cost;
      most = std::max(most, sum);
    }
    return most;
  }

  double grantedSince(Instant from) const {
    double sum = 0;
    for (auto &it : grants)
      sum += it.at >= from ? it.cost : 0;
    return sum;
  }

  SimulationOptions options;
  FakeEnv env;
  Team team{.name = TeamName(options.teamName)};
  int refused = 0;
  int messages = 0;

private:
  struct Host {
    explicit Host(const FleetHostEntry &entry)
        : number(entry.peerAddress.port - 1), entry(entry), peers(entry) {}
    int number;
    int side = 0;
    bool stopped = false;
    double due = 0; ///< cost of the requests to send
    FleetHostEntry entry;
    FleetView view;
    FleetPeers peers;
    std::unique_ptr<TeamQuotas> quotas;
  };

  static FleetHostEntry entryOf(int number) {
    return {.host = HostName("h" + std::to_string(number)),
            .incarnation = 1,
            .peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)},
            .dataCentre = DataCentreName("a")};
  }

  Host &at(int host) { return *hosts[static_cast<std::size_t>(host)]; }

  void start(Host &host) {
    host.peers = FleetPeers(host.entry);
    for (int i = 0; i < options.hosts; ++i)
      host.peers.put(entryOf(i));
    host.view.setConfig(config);
    host.quotas = std::make_unique<TeamQuotas>(
        env, host.view, host.peers, options.quota,
        TeamQuotasHooks{
            .leaving = [] { return false; },
            .send = [this, &host](auto &to, auto &message) { send(host, to, message); }});
  }

  bool reaches(const Host &from, const Host &to) {
    const bool lost = static_cast<double>(env.random() % 1000) < options.messageLoss * 1000;
    return !lost && !from.stopped && !to.stopped && from.side == to.side;
  }

  void sendHeartbeats() {
    for (auto &from : hosts) {
      if (from->stopped)
        continue;
      from->quotas->expire();
      for (auto &to : hosts)
        if (to != from && reaches(*from, *to))
          to->peers.onHeartbeat({.host = from->entry.host, .incarnation = 1}, env.now());
    }
  }

  void send(Host &from, const Address &to, const FleetMessage &message) {
    ++messages;
    auto &target = at(to.port - 1);
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    if (decoded && reaches(from, target))
      env.after(Latency, [&target, decoded, from = from.entry.peerAddress] {
        if (!target.stopped)
          target.quotas->onMessage(*decoded, from);
      });
  }

  /// Host i gets a share of the load that falls with i, so that the load is uneven.
  void sendRequests() {
    const double weights = options.hosts * (options.hosts + 1) / 2.0;
    for (auto &it : hosts) {
      if (it->stopped)
        continue;
      const double weight = (options.hosts - it->number) / weights;
      it->due += options.load * team.quota.perSecond * weight * toSeconds(Step);
      while (it->due > 0) {
        const auto random = static_cast<double>(env.random() % 1000) / 1000;
        const double cost = std::round(MinCost + (options.maxCost - MinCost) * random);
        it->due -= cost;
        sendRequest(*it, cost);
      }
    }
  }

  void sendRequest(Host &host, double cost) {
    host.quotas->acquire(team, cost, [this, &host, cost](const QuotaDecision &decision) {
      if (decision.result != QuotaResult::Granted)
        ++refused;
      else if (!host.stopped)
        grants.push_back({env.now(), cost});
    });
  }

  FleetConfig config;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Grant> grants;
  int steps = 0;
};

class FloodedQuota : public ::testing::TestWithParam<SimulationOptions> {
protected:
  FloodedQuota() { simulation.settle(); }
  void expectWithinRule() const {
    EXPECT_LE(simulation.largestWindow(), simulation.allowed(perSecond));
  }
  void expectServed() {
    const Instant from = simulation.env.now();
    simulation.run(10s);
    EXPECT_GE(simulation.grantedSince(from), 0.9 * 10 * perSecond);
  }

  Simulation simulation{GetParam()};
  const double perSecond = GetParam().perSecond;
};

// Guards against a team that gets more than its quota, or much less, when it sends far too much.
TEST_P(FloodedQuota, IsExceededOrWasted) {
  simulation.run(10s);
  expectServed();
  expectWithinRule();
}

// Guards against questions of all hosts for each refused request.
TEST_P(FloodedQuota, FloodsTheIssuer) {
  simulation.run(4s);
  const int before = simulation.messages;
  simulation.run(10s);
  // Two messages a question: 300 denials a second and the grants of requests of average cost.
  const double grants = perSecond / MinCost;
  EXPECT_LE(simulation.messages - before, 2 * 10 * (300 + grants));
}

// Guards against a burst of the former issuer and another one of the next.
TEST_P(FloodedQuota, IsExceededWhenTheIssuerIsKilled) {
  simulation.run(500ms);
  for (int i = 0; i < std::max(1, GetParam().hosts / 8); ++i) {
    simulation.stop(simulation.issuer());
    simulation.run(5s);
  }
  expectWithinRule();
  expectServed();
}

// Guards against full buckets at the start, which add up over restarts.
TEST_P(FloodedQuota, IsExceededWhenAllHostsAreKilled) {
  for (int n = 0; n < 3; ++n) {
    simulation.run(1s);
    for (int i = 0; i < GetParam().hosts; ++i)
      simulation.restart(i);
  }
  simulation.run(10s);
  expectWithinRule();
  expectServed();
}

// Guards against a former issuer that goes on with a full bucket.
TEST_P(FloodedQuota, IsExceededWhenAFrozenIssuerWakes) {
  const int frozen = simulation.issuer();
  simulation.stop(frozen);
  simulation.run(4s);
  simulation.wake(frozen);
  simulation.run(10s);
  expectWithinRule();
  expectServed();
}

TEST_P(FloodedQuota, IsExceededWhenMessagesAreLost) {
  simulation.options.messageLoss = 0.2;
  simulation.settle();
  simulation.run(20s);
  expectWithinRule();
}

// Guards against a whole quota on each side of a partition.
TEST_P(FloodedQuota, IsExceededInAPartition) {
  for (int part : {2, 3, 4}) {
    simulation.run(1s);
    simulation.partition(GetParam().hosts / part);
    simulation.run(12s);
    simulation.partition(0);
    simulation.run(10s);
    expectWithinRule();
    expectServed();
    simulation.settle();
  }
}

// Guards against a bucket that keeps the tokens of a former quota.
TEST_P(FloodedQuota, IsExceededWhenItIsLowered) {
  const Instant loweredAt = simulation.env.now();
  simulation.setQuota(perSecond / 4);
  simulation.run(12s);
  EXPECT_LE(simulation.largestWindow(loweredAt), simulation.allowed(perSecond / 4));
  simulation.setQuota(perSecond);
  simulation.run(2s);
  expectServed();
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, FloodedQuota,
    ::testing::Values(SimulationOptions{4, 29'000, 5}, SimulationOptions{4, 483'492, 50},
                      SimulationOptions{18, 29'000, 50}, SimulationOptions{18, 200'000, 5, "t2"},
                      SimulationOptions{81, 29'000, 50}, SimulationOptions{81, 483'492, 5, "t1"}),
    [](auto &it) {
      return std::to_string(it.param.hosts) + "HostsLoad" +
             std::to_string(static_cast<int>(it.param.load));
    });

// Guards against refusals of a team that keeps to its quota, also while its issuer is killed or
// answers get lost.
TEST(TeamQuotasTest, TeamWithinItsQuotaIsRefused) {
  for (int hosts : {4, 18, 81}) {
    Simulation simulation(
        {.hosts = hosts, .load = 0.7, .quota = {.slack = Slack}, .maxCost = 20'000});
    simulation.settle();
    simulation.run(20s);
    simulation.stop(simulation.issuer());
    simulation.run(20s);
    EXPECT_EQ(simulation.refused, 0) << hosts;
  }
}

// Guards against a request larger than the burst that is never admitted, or that makes a window
// exceed the rule.
TEST(QuotaIssuerTest, LargeRequestNeedsAFullBucket) {
  QuotaIssuer issuer({.window = 8s, .over = 0.1}, {});
  const TeamName team("t");
  const TeamQuota quota{.unit = QuotaUnit::Tokens, .perSecond = 1000, .burst = 1000};
  const double debt = 450;
  Instant now{1h};
  issuer.setRole(team, quota, {.first = true}, now);
  now += 1s; // the bucket is full
  EXPECT_EQ(issuer.issue(team, quota, 1000 + debt + 500, {.first = true}, now).result,
            QuotaResult::Exceeded);
  now += 500ms;
  EXPECT_EQ(issuer.issue(team, quota, 1000 + debt + 500, {.first = true}, now).result,
            QuotaResult::Granted);
  const auto denied = issuer.issue(team, quota, 1, {.first = true}, now);
  EXPECT_EQ(denied.result, QuotaResult::Exceeded);
  EXPECT_GE(denied.retryAfter, 501ms);
  EXPECT_LE(denied.retryAfter, 520ms);
  EXPECT_EQ(issuer.issue(team, quota, 1, {.first = true}, now + denied.retryAfter).result,
            QuotaResult::Granted);
}

/// One host with a fleet of two, whose messages are recorded.
struct TwoHosts {
  explicit TwoHosts(bool otherIsAlive) {
    peers.put({.host = HostName("b"), .incarnation = 1, .peerAddress = other});
    if (otherIsAlive)
      peers.onHeartbeat({.host = HostName("b"), .incarnation = 1}, env.now());
    // One of few teams whose quota the other host issues.
    for (int i = 0; peers.responsibleHost("quota/" + team.name.value, false, env.now()).empty() &&
                    i < 64 && otherIsAlive;
         ++i)
      team.name = TeamName("t" + std::to_string(i));
  }
  /// Returns the result if it is known at once, otherwise Count.
  QuotaResult acquire(double cost) {
    result = QuotaResult::Count;
    quotas.acquire(team, cost, [this](const QuotaDecision &it) { result = it.result; });
    return result;
  }
  QuotaResult result = QuotaResult::Count;
  FakeEnv env;
  FleetView view;
  FleetPeers peers{{.host = HostName("a"), .peerAddress = {"127.0.0.1", 1}}};
  const Address other{"127.0.0.1", 2};
  Team team{.name = TeamName("t"), .quota = {.perSecond = 10, .burst = 10}};
  std::vector<FleetMessage> sent;
  TeamQuotas quotas{
      env,
      view,
      peers,
      {},
      {.leaving = [] { return false; }, .send = [this](auto &, auto &m) { sent.push_back(m); }}};
};

// Guards against charging a repeated question twice.
TEST(TeamQuotasTest, RepeatedQuestionIsChargedTwice) {
  TwoHosts host(false);
  for (int i = 0; i < 20; ++i, host.env.run(500ms))
    host.quotas.expire();
  for (std::uint64_t id : {7, 7, 7, 8}) {
    host.quotas.onMessage(QuotaRequest{id, host.team.name, host.team.quota, 1, 1}, host.other);
    EXPECT_EQ(std::get<QuotaReply>(host.sent.back()).decision.result, QuotaResult::Granted);
  }
}

// Guards against a question for each request of a flood, and against a denial that outlasts its
// time or a change of the quota.
TEST(TeamQuotasTest, DenialIsForgottenOrKeptTooLong) {
  TwoHosts host(true);
  EXPECT_EQ(host.acquire(6), QuotaResult::Count); // asks
  const auto id = std::get<QuotaRequest>(host.sent.at(0)).id;
  host.quotas.onMessage(QuotaReply{id, {QuotaResult::Exceeded, 500ms}}, host.other);
  EXPECT_EQ(host.acquire(6), QuotaResult::Exceeded);
  EXPECT_EQ(host.acquire(9), QuotaResult::Exceeded);
  EXPECT_EQ(host.sent.size(), 1U);
  host.team.quota.perSecond = 20;
  EXPECT_EQ(host.acquire(6), QuotaResult::Count);
  EXPECT_EQ(host.sent.size(), 2U);
  // A late answer counts for nothing.
  host.env.run(400ms);
  const auto lateId = std::get<QuotaRequest>(host.sent.at(1)).id;
  host.quotas.onMessage(QuotaReply{lateId, {QuotaResult::Exceeded, 1h}}, host.other);
  EXPECT_NE(host.acquire(6), QuotaResult::Exceeded);
}

// Guards against shares of two sides of a partition that add up to more than the quota.
TEST(QuotaIssuerTest, SharesAddUpToMoreThanTheQuota) {
  for (int hosts = 2; hosts <= 96; ++hosts)
    for (int side = 1; side < hosts; ++side) {
      const double part = static_cast<double>(side) / hosts;
      EXPECT_LE(issuingShare(part) + issuingShare(1 - part), 1.0001);
    }
  EXPECT_GT(issuingShare(2.0 / 3), 0.999);
}

} // namespace
} // namespace catkin::fleet
