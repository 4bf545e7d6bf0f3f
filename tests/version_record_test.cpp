#include "config.h"
#include "fleet_world_p.h"
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

} // namespace
} // namespace catkin::fleet
