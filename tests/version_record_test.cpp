#include "config.h"
#include "fleet_world_p.h"
#include "recorded_versions_p.h"
#include "version_record_p.h"

#include <gtest/gtest.h>

/// Plays planners that record the software versions of services in a store that is away, restored
/// or written by others, and hosts that read what is certain.
namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

constexpr auto CallTime = 1s; // for the calls of one update
const ServiceName Service("s");
const std::string Key = "catkin-versions/s";

SoftwareVersions versionsOf(std::initializer_list<const char *> names) {
  SoftwareVersions out;
  for (auto *it : names)
    out.emplace(it);
  return out;
}

class VersionRecords : public ::testing::Test {
protected:
  /// Lets a planner see these versions for a while.
  void see(VersionRecorder &recorder, std::initializer_list<const char *> names) {
    constexpr int Updates = 3;
    for (int n = 0; n < Updates; ++n) {
      recorder.update({{Service, versionsOf(names)}});
      env.run(CallTime);
    }
  }

  /// Returns a planner that begins its term.
  std::unique_ptr<VersionRecorder> begin(bool isFirst) {
    auto out = std::make_unique<VersionRecorder>(env);
    out->beginTerm(isFirst);
    return out;
  }

  RecordedVersion read() {
    std::optional<RecordedVersion> out;
    reader.read(Service, [&](auto &it) { out = it; });
    env.run(CallTime);
    EXPECT_TRUE(out);
    return out.value_or(RecordedVersion{});
  }

  FakeEnv env;
  VersionReader reader{env};
};

TEST_F(VersionRecords, AllHostsForgetTheOnlyVersion) {
  EXPECT_FALSE(read().only);
  see(*begin(true), {"v1"});
  EXPECT_EQ(read().only, SoftwareVersion("v1"));
  see(*begin(false), {"v1"});
  EXPECT_EQ(read().only, SoftwareVersion("v1"));
}

TEST_F(VersionRecords, AllHostsForgetAVersionThatHasLeft) {
  see(*begin(true), {"v1"});
  auto second = begin(false);
  see(*second, {"v1", "v2"});
  see(*second, {"v2"});
  EXPECT_FALSE(read().only);
  auto third = begin(false); // after all hosts were killed
  see(*third, {"v2"});
  EXPECT_FALSE(read().only);
  env.run(config::FleetMaxStreamAge - 30s);
  see(*third, {"v2"});
  EXPECT_FALSE(read().only);
  env.run(30s);
  see(*third, {"v2"});
  EXPECT_EQ(read().only, SoftwareVersion("v2"));
}

TEST_F(VersionRecords, EarlierVersionsWereNeverRecorded) {
  auto recorder = begin(false);
  see(*recorder, {"v2"});
  EXPECT_FALSE(read().only);
  env.run(config::FleetMaxStreamAge);
  see(*recorder, {"v2"});
  EXPECT_EQ(read().only, SoftwareVersion("v2"));
}

TEST_F(VersionRecords, StoreForgetsAVersionByARestore) {
  auto recorder = begin(true);
  see(*recorder, {"v1"});
  const auto copy = env.store.objects;
  const auto version = env.store.version();
  see(*recorder, {"v2"});
  env.store.restore(copy, version);
  EXPECT_FALSE(read().only) << "of an earlier era";
  recorder->onStoreRestored();
  see(*recorder, {"v2"});
  EXPECT_EQ(parseVersionRecord(env.store.objects.at(Key).value)->versions,
            versionsOf({"v1", "v2"}));
}

TEST_F(VersionRecords, AllHostsForgetWhatARestoredStoreHasForgotten) {
  auto recorder = begin(true);
  see(*recorder, {"v1"});
  const auto copy = env.store.objects;
  const auto version = env.store.version();
  see(*recorder, {"v2"});
  env.store.restore(copy, version);
  see(*begin(false), {"v1"});
  EXPECT_FALSE(read().only);
}

TEST_F(VersionRecords, StoreThatIsAwayProvesNothing) {
  auto recorder = begin(true);
  see(*recorder, {"v1"});
  env.store.down = true;
  EXPECT_FALSE(read().answered);
  see(*recorder, {"v1", "v2"});
  env.store.down = false;
  see(*recorder, {"v1", "v2"});
  EXPECT_TRUE(read().answered);
  EXPECT_FALSE(read().only);
}

TEST_F(VersionRecords, FormerPlannerOverwritesANewerRecord) {
  auto former = begin(true);
  see(*former, {"v1"});
  see(*begin(false), {"v1", "v2"});
  see(*former, {"v1", "v3"});
  EXPECT_EQ(parseVersionRecord(env.store.objects.at(Key).value)->versions,
            versionsOf({"v1", "v2", "v3"}));
}

TEST_F(VersionRecords, AnotherWriterPutsNonsense) {
  auto recorder = begin(true);
  see(*recorder, {"v1"});
  for (auto *text : {"", "nonsense", "{\"versions\":7}", "{\"versions\":[1],\"complete\":true}"}) {
    env.store.objects.at(Key).value = text;
    EXPECT_FALSE(read().only) << text;
  }
  see(*begin(false), {"v1"});
  EXPECT_FALSE(read().only);
}

TEST_F(VersionRecords, EachStreamCostsACallOfTheStore) {
  constexpr int Streams = 1000;
  see(*begin(true), {"v1"});
  env.store.reads = 0;
  int answers = 0;
  for (int n = 0; n < Streams; ++n) {
    reader.read(Service, [&](auto &it) { answers += it.only ? 1 : 0; });
    env.run(1ms);
  }
  env.run(CallTime);
  EXPECT_EQ(answers, Streams);
  EXPECT_LE(env.store.reads, 6);
}

/// A host that begins streams, beside a planner.
class RecordedVersionsTest : public VersionRecords {
protected:
  /// Returns whether a stream may begin at the version, after as many questions at once.
  bool ensure(const char *version, int questions = 1) {
    int answers = 0;
    bool out = true;
    for (int n = 0; n < questions; ++n)
      host.ensure(Service, SoftwareVersion(version), [&](bool recorded) {
        ++answers;
        out = out && recorded;
      });
    env.run(CallTime);
    EXPECT_EQ(answers, questions);
    return out;
  }

  RecordedVersions host{env};
};

// Guards against a stream at a version that the planner has missed: another host would take the
// recorded one for the only one.
TEST_F(RecordedVersionsTest, PlannerHasNotSeenTheVersionOfAStream) {
  auto planner = begin(true);
  see(*planner, {"v1"});
  EXPECT_TRUE(ensure("v1"));
  EXPECT_EQ(read().only, SoftwareVersion("v1"));
  EXPECT_TRUE(ensure("v2", 3));
  EXPECT_FALSE(read().only);
  see(*planner, {"v1"}); // it has still not seen the other
  see(*planner, {"v1", "v3"});
  EXPECT_EQ(parseVersionRecord(env.store.objects.at(Key).value)->versions,
            versionsOf({"v1", "v2", "v3"}));
}

// Guards against a record that proves nothing since another host than the planner has created it.
TEST_F(RecordedVersionsTest, HostCreatesARecordBeforeThePlanner) {
  EXPECT_FALSE(ensure("v1"));
  EXPECT_EQ(env.store.objects.count(Key), 0U);
  see(*begin(true), {"v1"});
  EXPECT_TRUE(ensure("v1"));
  EXPECT_EQ(read().only, SoftwareVersion("v1"));
}

TEST_F(RecordedVersionsTest, StreamBeginsUnrecordedWhileTheStoreIsAway) {
  see(*begin(true), {"v1"});
  EXPECT_TRUE(ensure("v1"));
  env.store.down = true;
  EXPECT_TRUE(ensure("v1")); // known before
  EXPECT_FALSE(ensure("v2"));
  env.store.down = false;
  EXPECT_TRUE(ensure("v2"));
}

// Guards against a version that the store has forgotten by a restore, and that counts as recorded.
TEST_F(RecordedVersionsTest, StoreForgetsAnAddedVersion) {
  see(*begin(true), {"v1"});
  const auto copy = env.store.objects;
  const auto version = env.store.version();
  EXPECT_TRUE(ensure("v2"));
  env.store.restore(copy, version);
  host.onStoreRestored();
  EXPECT_FALSE(host.has(Service, SoftwareVersion("v2")));
  EXPECT_TRUE(ensure("v2"));
  EXPECT_EQ(parseVersionRecord(env.store.objects.at(Key).value)->versions,
            versionsOf({"v1", "v2"}));
}

// Guards against hosts that add a version only because its endpoint is registered: the planner is
// about to do that, and each attempt is a write.
TEST_F(RecordedVersionsTest, HostWithoutAStreamWritesTheRecord) {
  see(*begin(true), {"v1"});
  const auto before = env.store.version();
  host.prefetch({{Service, versionsOf({"v1", "v2"})}});
  env.run(CallTime);
  EXPECT_TRUE(host.has(Service, SoftwareVersion("v1")));
  EXPECT_FALSE(host.has(Service, SoftwareVersion("v2")));
  EXPECT_EQ(env.store.version(), before);
}

// Guards against streams of a service that is archived only once another one is.
TEST(VersionHistoryTest, ServicesHaveSeveralVersions) {
  const Instant start{1h};
  VersionHistory history;
  history.onSeen(Service, SoftwareVersion("v1"), start);
  history.onSeen(ServiceName("t"), SoftwareVersion("v1"), start);
  EXPECT_TRUE(history.servicesWithSeveral(start).empty());
  history.onSeen(Service, SoftwareVersion("v2"), start + 1s);
  EXPECT_EQ(history.servicesWithSeveral(start), std::set<ServiceName>{Service});
  EXPECT_TRUE(history.servicesWithSeveral(start + 1s).empty());
}

} // namespace
} // namespace catkin::fleet
