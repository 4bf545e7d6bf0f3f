#include "config_freshness_p.h"
#include "fleet_configuration_p.h"
#include "fleet_world_p.h"
#include "freshness_exchange_p.h"

#include <gtest/gtest.h>

namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

const Instant Start{1h};

// Guards against a proof that counts from the answer: the host may have been frozen since.
TEST(ConfigFreshnessTest, StoreAnswerCountsFromItsArrival) {
  ConfigFreshness it;
  EXPECT_FALSE(it.isProvenWithin(1h, Start));
  EXPECT_TRUE(it.onStoreAnswer(Start, 0, Start + 9s));
  EXPECT_EQ(it.age(Start + 9s), Duration(9s));
  EXPECT_TRUE(it.onStoreAnswer(Start - 5s, 0, Start + 9s)); // an earlier call that is answered late
  EXPECT_EQ(it.age(Start + 9s), Duration(9s));
}

// Guards against answers that count from their arrival, and against invalid, repeated and unknown
// ones, also those to a question of an earlier process.
TEST(ConfigFreshnessTest, AnswerOfAnotherHostCountsTooMuch) {
  ConfigFreshness it;
  it.onAsked(7, Start);
  EXPECT_FALSE(it.onAnswer(8, 0s));
  EXPECT_TRUE(it.onAnswer(7, 2s));
  EXPECT_EQ(it.age(Start + 4s), Duration(6s));
  EXPECT_FALSE(it.onAnswer(7, 0s));
  it.onAsked(9, Start);
  EXPECT_FALSE(it.onAnswer(9, -1s));
  it.onAsked(10, Start);
  it.onAsked(11, Start + 11s);
  EXPECT_FALSE(it.onAnswer(10, 0s)); // forgotten
  EXPECT_EQ(it.age(Start + 11s), Duration(13s));
}

// Guards against a store that has come back without the newest version, also before a host started.
TEST(ConfigFreshnessTest, RestoredStoreProvesAnOldVersion) {
  ConfigFreshness it;
  EXPECT_FALSE(it.onStoreAnswer(Start, 1, Start));
  EXPECT_FALSE(it.onStoreAnswer(Start + 1s, 1, Start + 1s));
  EXPECT_TRUE(it.onStoreAnswer(Start + 1s, 1, it.settledAt()));
  EXPECT_FALSE(it.onStoreAnswer(Start + 10s, 2, Start + 10s));
  EXPECT_EQ(it.age(Start + 10s), Duration(9s));
}

/// An environment whose machine can be suspended: the clock of its timers stands still meanwhile.
class SuspendableEnv : public FakeEnv {
public:
  Instant bootTime() const override { return now() + suspended; }
  Duration suspended{};
};

/// A host that has teams and asks another one.
struct Host {
  explicit Host(Duration revokeBound = 5s, bool strict = true)
      : exchange(env, {.strict = strict, .revokeBound = revokeBound},
                 {.version = [this] { return version; },
                  .hasTeams = [] { return true; },
                  .watchesClosely = [this] { return watchesClosely; },
                  .sources = [this] { return sources; },
                  .send = [this](auto &to, auto &message) { sent.emplace_back(to, message); },
                  .readStore = [this] { ++reads; }}) {}

  /// Lets time pass, without a message.
  void pass(Duration d) { env.run(d); }
  /// Passes the newest message of this host on to another one.
  void deliverTo(Host &to) {
    ASSERT_FALSE(sent.empty());
    const auto message = sent.back().second;
    if (auto *question = std::get_if<FreshnessQuestion>(&message))
      to.exchange.onQuestion(*question, {"10.0.0.1", 1});
    else if (auto *answer = std::get_if<FreshnessAnswer>(&message))
      to.exchange.onAnswer(*answer);
  }

  SuspendableEnv env;
  std::uint64_t version = 3;
  bool watchesClosely = true;
  std::vector<Address> sources{{"10.0.0.2", 1}, {"10.0.0.3", 1}};
  std::vector<std::pair<Address, FleetMessage>> sent;
  int reads = 0;
  FreshnessExchange exchange;
};

class FreshnessExchangeTest : public ::testing::Test {
protected:
  void SetUp() override {
    asker.exchange.start();
    source.exchange.onStoreAnswer(source.env.bootTime(), 0);
  }
  Host asker;
  Host source;
};

// Guards against a host that runs keys after it was frozen or suspended.
TEST_F(FreshnessExchangeTest, FrozenHostAcceptsKeys) {
  asker.exchange.onStoreAnswer(asker.env.bootTime(), 0);
  EXPECT_TRUE(asker.exchange.areKeysCurrent());
  asker.env.suspended = 4740ms;
  EXPECT_TRUE(asker.exchange.areKeysCurrent());
  asker.env.suspended = 4750ms;
  EXPECT_FALSE(asker.exchange.areKeysCurrent());
  EXPECT_FALSE(asker.exchange.mayRejectKeys(true, true));
}

// Guards against an answer that waited while the asker was frozen, and then counts from its
// arrival.
TEST_F(FreshnessExchangeTest, FrozenAskerTakesAnOldAnswerForANewOne) {
  ASSERT_EQ(asker.sent.size(), 1U);
  asker.deliverTo(source);
  asker.env.suspended = 6s;
  source.deliverTo(asker);
  EXPECT_FALSE(asker.exchange.areKeysCurrent());
}

// Guards against a source that leaves out the time for which it was frozen or suspended.
TEST_F(FreshnessExchangeTest, FrozenSourceGivesAnOldProof) {
  source.env.suspended = 6s;
  asker.deliverTo(source);
  source.deliverTo(asker);
  EXPECT_FALSE(asker.exchange.areKeysCurrent());
  source.exchange.onStoreAnswer(source.env.bootTime(), 0);
  asker.pass(250ms);
  asker.deliverTo(source);
  source.deliverTo(asker);
  EXPECT_TRUE(asker.exchange.areKeysCurrent());
}

// Guards against a proof from a host with an older version, which lacks the newer one's changes.
TEST_F(FreshnessExchangeTest, HostWithAnotherVersionAnswers) {
  source.version = 2;
  asker.deliverTo(source);
  EXPECT_TRUE(source.sent.empty());
}

// Guards against an answer to the process that ran before a restart: ids must differ.
TEST_F(FreshnessExchangeTest, RestartedHostTakesAnAnswerToItsPredecessor) {
  asker.deliverTo(source);
  Host restarted;
  static_cast<void>(restarted.env.random()); // a seed of its own
  restarted.exchange.start();
  source.deliverTo(restarted);
  EXPECT_FALSE(restarted.exchange.areKeysCurrent());
  EXPECT_FALSE(restarted.exchange.isReady());
}

// Guards against a host that keeps asking one that does not answer, and against a flood of
// questions.
TEST_F(FreshnessExchangeTest, SilentSourceIsAskedForEver) {
  asker.pass(2s);
  EXPECT_EQ(asker.sent.size(), 9U);
  EXPECT_NE(asker.sent[0].first, asker.sent[1].first);
}

// Guards against questions that nobody needs, and against a host whose proof expires between two.
TEST_F(FreshnessExchangeTest, AsksTooOftenOrTooLate) {
  const auto count = asker.sent.size();
  asker.watchesClosely = false;
  for (int i = 0; i < 40; ++i) {
    source.exchange.onStoreAnswer(source.env.bootTime(), 0);
    if (std::holds_alternative<FreshnessQuestion>(asker.sent.back().second))
      asker.deliverTo(source);
    source.deliverTo(asker);
    EXPECT_TRUE(asker.exchange.areKeysCurrent());
    asker.pass(250ms);
    source.pass(250ms);
  }
  EXPECT_EQ(asker.sent.size() - count, 10U); // one a second
  Host lenient(5s, false);
  lenient.exchange.start();
  lenient.pass(10s);
  EXPECT_TRUE(lenient.sent.empty());
  EXPECT_TRUE(lenient.exchange.areKeysCurrent());
  EXPECT_TRUE(lenient.exchange.mayRejectKeys(true, true));
  EXPECT_FALSE(lenient.exchange.mayRejectKeys(false, true));
}

// Guards against a restore after which the store is not read again until its next watch.
TEST_F(FreshnessExchangeTest, RestoredStoreIsNotReadAgain) {
  asker.exchange.onStoreAnswer(asker.env.bootTime(), 5);
  EXPECT_FALSE(asker.exchange.areKeysCurrent());
  asker.pass(2s);
  EXPECT_EQ(asker.reads, 1);
  asker.exchange.onStoreAnswer(asker.env.bootTime(), 5);
  EXPECT_TRUE(asker.exchange.areKeysCurrent());
}

/// A store that has one version of the configuration, and hosts that do not answer.
class StoreOfOneVersion : public ObjectFeed, public ConfigSource {
public:
  explicit StoreOfOneVersion(FakeEnv &env) : env(env) {}
  void list(const std::string &, const std::string &, FeedDone done) override {
    env.after(1ms, [done = std::move(done), page = page] { done(page); });
  }
  void get(const std::string &, const std::string &, FeedDone) override {}
  void watch(const std::string &, StoreRevision, const WatchLimits &limits,
             FeedDone done) override {
    env.after(limits.maxWait, [done = std::move(done), revision = page.revision] {
      done(FeedPage{.status = FeedStatus::Ok, .objects = {}, .revision = revision});
    });
  }
  void fetch(const Address &, Done) override {}

  FeedPage page{.status = FeedStatus::Ok,
                .objects = {{.name = "main", .revision = 3, .content = 3}},
                .revision = 3};

private:
  FakeEnv &env;
};

// Guards against a store that has lost the newest version, which another host still has.
TEST(FleetConfigurationTest, StoreProvesAVersionThatIsNotTheNewest) {
  FakeEnv env;
  StoreOfOneVersion store(env);
  std::uint64_t heard = 3;
  int proofs = 0;
  FleetConfiguration it(env, store, store,
                        {.kind = "config", .name = "main", .watch = {.maxWait = 1s}},
                        {.readConfig =
                             [](const FeedObject &object) {
                               FleetConfig config;
                               config.version = object.content.to_number<std::uint64_t>();
                               return std::optional(std::move(config));
                             },
                         .removeSecrets = {},
                         .apply = [](const FleetConfig &) { return true; },
                         .applied = [] {},
                         .holders =
                             [&] {
                               return std::vector<ConfigHolder>{
                                   {.address = {"10.0.0.2", 1}, .version = heard, .nearby = true}};
                             },
                         .upToDate = [&](Instant, std::uint64_t) { ++proofs; },
                         .connectionChanged = {},
                         .restored = {}});
  it.start();
  env.run(500ms);
  EXPECT_EQ(proofs, 1);
  heard = 4;
  it.onPeerVersion(heard);
  env.run(5s);
  EXPECT_EQ(proofs, 1);
  heard = 3; // that host is gone
  env.run(2s);
  EXPECT_EQ(proofs, 1);
  store.page.objects = {{.name = "main", .revision = 4, .content = 4}};
  store.page.revision = 4;
  it.reload();
  env.run(100ms);
  EXPECT_EQ(proofs, 2);
}

TEST(FreshnessMessages, ArriveAsTheyWereSent) {
  const auto question = decodeFleetMessage(encodeFleetMessage(FreshnessQuestion{1ULL << 52U, 9}));
  ASSERT_TRUE(question.has_value());
  EXPECT_EQ(std::get<FreshnessQuestion>(*question).id, 1ULL << 52U);
  EXPECT_EQ(std::get<FreshnessQuestion>(*question).configVersion, 9U);
  const auto answer = decodeFleetMessage(encodeFleetMessage(FreshnessAnswer{4, 1500ms}));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(std::get<FreshnessAnswer>(*answer).age, Duration(1500ms));
}

} // namespace
} // namespace catkin::fleet
