#include "fleet_peers_p.h"
#include "fleet_world_p.h"
#include "stream_keepers_p.h"

#include <gtest/gtest.h>

/// Plays fleets of 3 to 300 hosts on a virtual clock that record which version began each stream,
/// and hosts that die, freeze, lose messages or hear nonsense.
namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

constexpr auto Latency = 2ms;
constexpr auto Lifetime = 20s;
constexpr int Streams = 200;
const ServiceName Service("s");
const EndpointIncarnation Writer{EndpointName("e"), 1};

/// The hosts of a fleet, each with its records.
class KeeperFleet {
public:
  explicit KeeperFleet(int n) {
    for (int i = 0; i < n; ++i)
      addHost(i);
    introduceHosts();
  }

  void addHost(int number) { hosts.push_back(makeHost(entryOf(number))); }

  /// All hosts hear all others that are reachable.
  void introduceHosts() {
    for (auto &it : hosts)
      for (auto &other : hosts)
        if (it != other)
          hear(*it, *other);
  }

  /// Starts a host again, with none of its records.
  void restart(int number) {
    auto &old = at(number);
    FleetHostEntry entry = old.entry;
    ++entry.incarnation;
    auto &slot = hosts.at(static_cast<std::size_t>(number));
    retired.push_back(std::move(slot));
    slot = makeHost(entry);
    for (auto &it : hosts) {
      if (it == slot)
        continue;
      hear(*it, *slot);
      hear(*slot, *it);
    }
  }

  void begin(int host, const StreamKey &key, const std::string &version = "v1") {
    at(host).streams->record(
        key, {.service = Service, .version = SoftwareVersion(version), .writer = Writer}, Lifetime);
  }

  /// Returns the answer that a host gets.
  OriginAnswer ask(int host, const StreamKey &key) {
    std::optional<OriginAnswer> out;
    const Instant from = env.now();
    at(host).streams->find(key, {{.service = Service}}, [&](auto &it) { out = it; });
    while (!out)
      env.run(1ms);
    askTime = env.now() - from;
    return *out;
  }

  void setReachable(int host, bool on) { at(host).reachable = on; }
  int size() const { return static_cast<int>(hosts.size()); }

  /// A host's data, public for checks of the records.
  struct Host {
    FleetHostEntry entry;
    bool reachable = true;
    FleetView view;
    FleetPeers peers;
    std::unique_ptr<StreamKeepers> streams;
    explicit Host(const FleetHostEntry &it) : entry(it), peers(it) {}
  };
  Host &at(int n) { return *hosts.at(static_cast<std::size_t>(n)); }

  FakeEnv env;
  RecordedVersion recorded{.answered = true, .only = {}}; ///< what the store says
  double messageLoss = 0;
  int messages = 0;
  Duration askTime{};

private:
  static FleetHostEntry entryOf(int number) {
    return {.host = HostName("h" + std::to_string(number)),
            .incarnation = 1,
            .peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)},
            .dataCentre = DataCentreName("a")};
  }

  std::unique_ptr<Host> makeHost(const FleetHostEntry &entry) {
    auto out = std::make_unique<Host>(entry);
    auto *host = out.get();
    host->streams = std::make_unique<StreamKeepers>(
        env, host->view,
        StreamKeepersHooks{
            .keepers =
                [this, host](auto &key, int count) {
                  return host->peers.rankedHosts(key.hash, count, env.now());
                },
            .send = [this, host](auto &to, auto &message) { send(*host, to, message); },
            .findOnlyVersion = [this](auto &, auto done) { done(recorded); }});
    return out;
  }

  /// The first host hears the second one if that is reachable.
  void hear(Host &host, const Host &other) {
    host.peers.put(other.entry);
    if (!other.reachable)
      return;
    const auto appeared = host.peers.onHeartbeat(
        {.host = other.entry.host, .incarnation = other.entry.incarnation, .ready = true},
        env.now());
    if (appeared)
      host.streams->shareWith(*appeared);
  }

  void send(Host &from, const Address &to, const FleetMessage &message) {
    ++messages;
    const bool isLost = static_cast<double>(env.random() % 1000) < messageLoss * 1000;
    if (!from.reachable || isLost)
      return;
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    ASSERT_TRUE(decoded);
    env.after(Latency, [this, to, decoded, from = from.entry.peerAddress] {
      auto &target = at(to.port - 1);
      if (!target.reachable)
        return;
      if (auto *m = std::get_if<StreamBegun>(&*decoded))
        target.streams->onBegun(*m, from);
      else if (auto *m = std::get_if<StreamRecords>(&*decoded))
        target.streams->onRecords(*m);
      else if (auto *m = std::get_if<StreamQuestion>(&*decoded))
        target.streams->onQuestion(*m, from);
      else if (auto *m = std::get_if<StreamAnswer>(&*decoded))
        target.streams->onAnswer(*m, from);
    });
  }

  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Host>> retired; ///< processes that have ended
};

StreamKey keyOf(int n) { return streamKey("request-" + std::to_string(n)); }

FleetEndpoint makeEndpoint(std::uint64_t incarnation, const std::string &version) {
  return {.name = Writer.endpoint,
          .service = Service,
          .softwareVersion = SoftwareVersion(version),
          .incarnation = incarnation};
}

class StreamKeepersOf : public ::testing::TestWithParam<int> {
protected:
  /// Returns how many of the streams that host 0 has begun are known to the last host.
  int countKnown() {
    int n = 0;
    for (int i = 0; i < Streams; ++i) {
      const auto answer = fleet.ask(fleet.size() - 1, keyOf(i));
      n += answer.origin && answer.origin->version == SoftwareVersion("v1") ? 1 : 0;
    }
    return n;
  }

  void beginAll() {
    for (int i = 0; i < Streams; ++i)
      fleet.begin(0, keyOf(i));
  }

  KeeperFleet fleet{GetParam()};
};

// Guards against a stream that goes on at the version of an old registration: a keeper has read a
// newer one.
TEST_P(StreamKeepersOf, HostTrustsARecordThatItsKeepersDoubt) {
  for (int i = 1; i < fleet.size(); ++i)
    fleet.at(i).view.putEndpoint(makeEndpoint(2, "v2"), fleet.env.now());
  beginAll();
  fleet.env.run(3 * Latency);
  for (int i = 0; i < Streams; ++i)
    EXPECT_FALSE(fleet.at(0).streams->isTrusted(keyOf(i))) << i;
}

TEST_P(StreamKeepersOf, OriginsDieWithTheHostThatServed) {
  beginAll();
  fleet.env.run(Latency);
  fleet.setReachable(0, false);
  EXPECT_EQ(countKnown(), Streams);
}

// The views of the hosts differ from those at the time of the record.
TEST_P(StreamKeepersOf, OriginsAreSoughtElsewhereAfterHostsHaveComeAndGone) {
  beginAll();
  fleet.env.run(3s); // then the first host counts as dead
  fleet.setReachable(0, false);
  fleet.addHost(fleet.size());
  fleet.introduceHosts();
  EXPECT_EQ(countKnown(), Streams);
}

TEST_P(StreamKeepersOf, OriginsAreLostWithMessages) {
  fleet.messageLoss = 0.2;
  beginAll();
  fleet.env.run(Latency);
  fleet.setReachable(0, false);
  EXPECT_GE(countKnown(), Streams * 9 / 10);
}

TEST_P(StreamKeepersOf, UnknownStreamIsSoughtForLongOrEverywhere) {
  const auto answer = fleet.ask(1, keyOf(0));
  EXPECT_FALSE(answer.origin);
  EXPECT_EQ(answer.source, OriginSource::Unknown);
  EXPECT_LE(fleet.askTime, 10ms);
  EXPECT_LE(fleet.messages, 2 * StreamKeepers::AskedAtFirst);
}

TEST_P(StreamKeepersOf, FrozenHostsHoldUpTheAnswer) {
  beginAll();
  fleet.env.run(Latency);
  for (int i = 0; i + 1 < fleet.size(); ++i)
    fleet.setReachable(i, false);
  const int host = fleet.size() - 1;
  int unanswered = 0;
  for (int i = 0; i < Streams; ++i) {
    const auto answer = fleet.ask(host, keyOf(i));
    EXPECT_LE(fleet.askTime, 200ms);
    unanswered += answer.source == OriginSource::NoAnswer ? 1 : 0;
    EXPECT_TRUE(answer.origin || answer.source == OriginSource::NoAnswer);
  }
  EXPECT_EQ(unanswered, GetParam() > 4 ? unanswered : 0);
}

// Guards against records that are lost with the last host that has not started again.
TEST_P(StreamKeepersOf, OriginsDieWithHostsThatStartAgainInTurn) {
  constexpr int MaxRestarts = 40; // of the first hosts
  beginAll();
  fleet.env.run(Latency);
  for (int n = 0; n < std::min(fleet.size(), MaxRestarts); ++n) {
    fleet.restart(n);
    fleet.env.run(1s);
    fleet.introduceHosts();
  }
  EXPECT_EQ(countKnown(), Streams);
  EXPECT_EQ(fleet.at(fleet.size() - 1).streams->size() > 0, true);
}

// Guards against records that a host missed while it was frozen, after the others have died.
TEST_P(StreamKeepersOf, OriginsBeganWhileTheirKeeperWasFrozen) {
  const int frozen = fleet.size() - 1;
  fleet.setReachable(frozen, false);
  fleet.env.run(10s);
  fleet.introduceHosts();
  beginAll();
  fleet.env.run(1s);
  fleet.setReachable(frozen, true);
  fleet.introduceHosts();
  fleet.env.run(1s);
  const auto address = fleet.at(frozen).entry.peerAddress;
  for (int n = 0; n < frozen; ++n)
    fleet.setReachable(n, false);
  for (int i = 0; i < Streams; ++i) {
    const auto keepers =
        fleet.at(0).peers.rankedHosts(keyOf(i).hash, StreamKeepers::Keepers, fleet.env.now());
    if (std::count(keepers.begin(), keepers.end(), address) > 0) {
      EXPECT_EQ(fleet.ask(frozen, keyOf(i)).source, OriginSource::OwnRecord);
    }
  }
}

// Guards against a stop that takes records with it which a lost message had not copied.
TEST_P(StreamKeepersOf, StoppingHostTakesItsRecordsAlong) {
  fleet.messageLoss = 1;
  beginAll();
  fleet.messageLoss = 0;
  fleet.at(0).streams->shareAll();
  fleet.env.run(1s);
  fleet.setReachable(0, false);
  EXPECT_EQ(countKnown(), Streams);
}

// Guards against a record that is believed though the writer's successor was up before it began.
TEST_P(StreamKeepersOf, PassedOnRecordNamesTheWrongVersion) {
  FleetEndpoint successor = makeEndpoint(2, "v2");
  successor.startedAtSeconds = -60; // the wall clock of the fake environment is at 0
  auto &last = fleet.at(fleet.size() - 1);
  last.view.putEndpoint(successor, fleet.env.now());
  const StreamOrigin origin{.service = Service, .version = SoftwareVersion("v1"), .writer = Writer};
  last.streams->onRecords(
      {{{.key = keyOf(0), .origin = origin, .age = 90s, .lifetime = 20s},
        {.key = keyOf(1), .origin = origin, .age = 30s, .lifetime = 20s},
        {.key = keyOf(2), .origin = origin, .age = 90s, .lifetime = 20s, .doubtful = true}}});
  EXPECT_TRUE(fleet.ask(fleet.size() - 1, keyOf(0)).origin) << "before the successor's start";
  EXPECT_EQ(fleet.ask(fleet.size() - 1, keyOf(1)).source, OriginSource::Doubtful);
  EXPECT_EQ(fleet.ask(fleet.size() - 1, keyOf(2)).source, OriginSource::Doubtful);
}

TEST_P(StreamKeepersOf, StaleEntryNamesTheWrongVersion) {
  for (int i = 0; i < fleet.size(); ++i)
    fleet.at(i).view.putEndpoint(makeEndpoint(1, "v1"), fleet.env.now());
  fleet.begin(0, keyOf(0));
  fleet.env.run(5s);
  fleet.begin(0, keyOf(1));
  fleet.env.run(1s);
  const Instant from = fleet.env.now() - 3s;
  for (int i = 0; i < fleet.size(); ++i)
    fleet.at(i).streams->onReplaced({Writer.endpoint, 2}, SoftwareVersion("v2"), from);
  const int host = fleet.size() - 1;
  EXPECT_TRUE(fleet.ask(host, keyOf(0)).origin) << "written long before";
  EXPECT_EQ(fleet.ask(host, keyOf(1)).source, OriginSource::Doubtful);
}

TEST_P(StreamKeepersOf, HostThatMissedTheReplacementRecordsTheWrongVersion) {
  for (int i = 1; i < fleet.size(); ++i)
    fleet.at(i).view.putEndpoint(makeEndpoint(2, "v2"), fleet.env.now());
  fleet.begin(0, keyOf(0)); // from an entry of the first incarnation
  fleet.env.run(Latency);
  fleet.setReachable(0, false);
  EXPECT_EQ(fleet.ask(fleet.size() - 1, keyOf(0)).source, OriginSource::Doubtful);
}

TEST_P(StreamKeepersOf, OneIdNamesStreamsOfTwoVersions) {
  fleet.begin(0, keyOf(0), "v1");
  fleet.begin(1, keyOf(0), "v2");
  fleet.env.run(Latency);
  EXPECT_FALSE(fleet.ask(fleet.size() - 1, keyOf(0)).origin);
}

// Guards against the version of another stream: an answer to a question of the host's earlier
// process comes to its present one.
TEST(StreamKeepersTest, AnswerToAnEarlierProcessIsTakenForThisStream) {
  KeeperFleet fleet(3);
  constexpr int Host = 2;
  fleet.begin(0, keyOf(0), "v1");
  fleet.begin(0, keyOf(1), "v2");
  fleet.env.run(Latency);
  fleet.restart(Host);
  fleet.at(Host).streams->find(keyOf(0), {{.service = Service}}, [](auto &) {});
  fleet.restart(Host);
  const auto answer = fleet.ask(Host, keyOf(1));
  ASSERT_TRUE(answer.origin);
  EXPECT_EQ(answer.origin->version, SoftwareVersion("v2"));
}

INSTANTIATE_TEST_SUITE_P(Hosts, StreamKeepersOf, ::testing::Values(3, 30, 300));

TEST(StreamOrigins, RecordsGrowWithoutBound) {
  StreamOrigins origins(100);
  const Instant now{1h};
  const StreamOrigin origin{.service = Service, .version = SoftwareVersion("v1"), .writer = Writer};
  for (int i = 0; i < 1000; ++i)
    origins.record(keyOf(i), origin, Lifetime + 1ms * i, now);
  EXPECT_EQ(origins.size(), 100U);
  EXPECT_TRUE(origins.find(keyOf(999)));
  EXPECT_FALSE(origins.find(keyOf(0)));
  origins.expire(now + Lifetime + 1h);
  EXPECT_EQ(origins.size(), 0U);
}

TEST(StreamOrigins, ResumedStreamOutlivesItsRecord) {
  StreamOrigins origins;
  const Instant now{1h};
  const StreamOrigin origin{.service = Service, .version = SoftwareVersion("v1"), .writer = Writer};
  origins.record(keyOf(0), origin, Lifetime, now);
  origins.record(keyOf(0), origin, Lifetime, now + Lifetime / 2);
  origins.expire(now + Lifetime);
  ASSERT_TRUE(origins.find(keyOf(0)));
  EXPECT_FALSE(origins.find(keyOf(0))->doubtful);
  EXPECT_EQ(origins.find(keyOf(0))->since, now);
}

TEST(VersionHistory, VersionThatIsGoneMayHaveBegunTheStream) {
  VersionHistory history;
  const Instant now{1h};
  const SoftwareVersion first("v1");
  const SoftwareVersion second("v2");
  history.onSeen(Service, first, now);
  EXPECT_FALSE(history.hasSeenOther(Service, first, now));
  history.onSeen(Service, second, now + 30s);
  EXPECT_TRUE(history.hasSeenOther(Service, first, now)) << "both since then";
  EXPECT_TRUE(history.hasSeenOther(Service, second, now)) << "both since then";
  EXPECT_FALSE(history.hasSeenOther(Service, second, now + 10s));
  EXPECT_FALSE(history.hasSeenOther(ServiceName("other"), first, now));
}

// Guards against a stream that goes on at a version which is only believed to be the only one.
TEST_P(StreamKeepersOf, UnknownStreamGoesOnWithoutAProof) {
  beginAll();
  fleet.env.run(Latency);
  const StreamKey forgotten = keyOf(Streams);
  const int host = fleet.size() - 1;
  fleet.recorded = {.answered = true, .only = {}};
  EXPECT_EQ(fleet.ask(host, forgotten).source, OriginSource::Unknown);
  fleet.recorded = {.answered = false, .only = {}};
  EXPECT_EQ(fleet.ask(host, forgotten).source, OriginSource::NoAnswer);
  fleet.recorded = {.answered = true, .only = SoftwareVersion("v1")};
  const auto proved = fleet.ask(host, forgotten);
  EXPECT_EQ(proved.source, OriginSource::OnlyVersion);
  EXPECT_EQ(proved.origin->version, SoftwareVersion("v1"));
}

} // namespace
} // namespace catkin::fleet
