#include "config.h"
#include "fleet_world_p.h"
#include "stream_archive_p.h"
#include "stream_keepers_p.h"

#include <gtest/gtest.h>

/// Plays recorders that archive streams in a store that is away, restored or loses answers, and
/// hosts that start and know nothing else.
namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

constexpr auto WriteTime = 2500ms; // for a recorder to write what it was told of
constexpr auto ReadTime = 100ms;
constexpr std::int64_t Lifetime = 30; // of a record, in seconds
const ServiceName Service("s");

/// The clock of the time of day runs, as records name it.
class ArchiveEnv : public FakeEnv {
public:
  std::int64_t wallSeconds() const override {
    return std::chrono::duration_cast<std::chrono::seconds>(now().time_since_epoch()).count();
  }
};

/// Lists the objects of a FakeStore.
class StoreFeed : public ObjectFeed {
public:
  explicit StoreFeed(FakeEnv &env) : env(env) {}
  void list(const std::string &kind, const std::string &, FeedDone done) override {
    ++lists;
    FeedPage page;
    if (!env.store.down) {
      page = {.status = FeedStatus::Ok, .revision = {era, env.store.version()}};
      for (auto &[key, it] : env.store.objects)
        if (key.starts_with(kind + "/") && it.version > 0)
          page.objects.push_back({.name = key.substr(kind.size() + 1),
                                  .revision = {era, it.version},
                                  .content = boost::json::string(it.value)});
    }
    env.after(4ms, [done, page] { done(page); });
  }
  void get(const std::string &, const std::string &, FeedDone) override {}
  void watch(const std::string &, StoreRevision, const WatchLimits &, FeedDone) override {}

  int lists = 0;
  std::uint64_t era = 0;

private:
  FakeEnv &env;
};

StreamKey keyOf(int n) { return streamKey("request-" + std::to_string(n)); }

/// A recorder and the streams that it has been told of.
struct Recorder {
  ArchiveEnv &env;
  StoreFeed &feed;
  std::map<StreamKey, ArchivedStream> streams;
  StreamArchiveWriter writer;

  Recorder(ArchiveEnv &env, StoreFeed &feed, const std::string &host)
      : env(env), feed(feed),
        writer(env, feed, host,
               {.find =
                    [this](auto &key) {
                      auto it = streams.find(key);
                      return it == streams.end() ? std::nullopt : std::optional(it->second);
                    },
                .storeEra = [this] { return this->feed.era; }}) {}

  void begin(int n, const std::string &version = "v1", int endpoint = 0) {
    const std::int64_t now = env.wallSeconds();
    streams[keyOf(n)] = {.key = keyOf(n),
                         .origin = {.service = Service,
                                    .version = SoftwareVersion(version),
                                    .writer = {EndpointName("e" + std::to_string(endpoint)), 7}},
                         .beganAt = now,
                         .endsAt = now + Lifetime};
    writer.add(keyOf(n));
  }
};

class StreamArchive : public ::testing::Test {
protected:
  /// Returns what a host that has just started reads.
  ArchiveAnswer read(int n) {
    StreamArchiveReader reader(env, feed);
    return readWith(reader, n);
  }

  ArchiveAnswer readWith(StreamArchiveReader &reader, int n) {
    std::optional<ArchiveAnswer> out;
    reader.find(keyOf(n), [&](auto &it) { out = it; });
    env.run(ReadTime);
    return out.value_or(ArchiveAnswer{});
  }

  std::string versionOf(int n) {
    const auto answer = read(n);
    return answer.stream ? answer.stream->origin.version.value : std::string();
  }

  ArchiveEnv env;
  StoreFeed feed{env};
  Recorder recorder{env, feed, "h1"};
};

TEST_F(StreamArchive, AllHostsForgetAStream) {
  recorder.begin(1, "v1", 3);
  env.run(WriteTime);
  const auto found = read(1);
  ASSERT_TRUE(found.stream);
  EXPECT_EQ(found.stream->origin.service, Service);
  EXPECT_EQ(found.stream->origin.version, SoftwareVersion("v1"));
  EXPECT_EQ(found.stream->origin.writer, (EndpointIncarnation{EndpointName("e3"), 7}));
  EXPECT_EQ(found.stream->endsAt - found.stream->beganAt, Lifetime);
  EXPECT_TRUE(read(2).answered);
  EXPECT_FALSE(read(2).stream);
  env.run(1min);
  EXPECT_FALSE(read(1).stream) << "no longer needed";
}

// Guards against a record in an older copy of the store: that it is doubtful may be lost.
TEST_F(StreamArchive, StoreComesBackOlder) {
  recorder.begin(1);
  env.run(WriteTime);
  env.store.restore(env.store.objects, env.store.version());
  ++feed.era;
  EXPECT_FALSE(read(1).stream);
  recorder.writer.add(keyOf(1));
  env.run(WriteTime);
  EXPECT_EQ(versionOf(1), "v1");
}

// Guards against a recorder that starts again and overwrites what is still needed.
TEST_F(StreamArchive, RecorderStartsAgain) {
  recorder.begin(1);
  env.run(WriteTime);
  Recorder next(env, feed, "h1");
  next.begin(2);
  env.run(WriteTime);
  EXPECT_EQ(versionOf(1), "v1");
  EXPECT_EQ(versionOf(2), "v1");
}

TEST_F(StreamArchive, StoreIsAwayWhileStreamsBegin) {
  env.store.down = true;
  recorder.begin(1);
  env.run(5s);
  EXPECT_FALSE(read(1).answered);
  env.store.down = false;
  env.run(WriteTime);
  EXPECT_EQ(versionOf(1), "v1");
}

// Guards against a call that the store carries out after it has been given up: another write has
// changed the object.
TEST_F(StreamArchive, SegmentIsWrittenByALateCall) {
  recorder.begin(1);
  env.run(WriteTime);
  const std::string name = std::string(ArchiveKind) + "/h1.0";
  ASSERT_GT(env.store.objects.count(name), 0U);
  env.run(1min); // then the segment is not needed
  env.store.put(name, env.store.objects[name].value, env.store.objects[name].version,
                [](auto, auto) {});
  recorder.begin(2);
  env.run(2 * WriteTime);
  EXPECT_EQ(versionOf(2), "v1");
}

// Guards against a stream that goes on at one of two versions which are recorded for its id.
TEST_F(StreamArchive, RecordersDisagree) {
  Recorder other(env, feed, "h2");
  recorder.begin(1, "v1");
  other.begin(1, "v2");
  env.run(WriteTime);
  const auto found = read(1);
  ASSERT_TRUE(found.stream);
  EXPECT_TRUE(found.stream->doubtful);
}

// Guards against segments of another program that are taken for records.
TEST_F(StreamArchive, SegmentCannotBeRead) {
  recorder.begin(1);
  env.run(WriteTime);
  for (auto *text : {"", "[]", "{\"groups\":[{\"streams\":\"12\"}]}",
                     "{\"groups\":[{\"streams\":\"zzzzzzzzzzzzzzzzzzzzzzzzzzzzz\"}]}"})
    EXPECT_FALSE(parseArchiveSegment(text)) << text;
  env.store.put(std::string(ArchiveKind) + "/odd", "odd", 0, [](auto, auto) {});
  EXPECT_EQ(versionOf(1), "v1");
}

// Guards against callers who name streams that never were and have the hosts read the archive.
TEST_F(StreamArchive, UnknownStreamsAreTakenUpAllTheTime) {
  StreamArchiveReader reader(env, feed);
  const auto end = env.now() + 1min;
  for (int n = 0; env.now() < end; ++n)
    readWith(reader, n);
  EXPECT_LE(feed.lists, 4 + toSeconds(1min) / toSeconds(StreamArchiveReader::MaxPause));
}

/// Numbers of hosts.
class StreamArchiveOf : public ::testing::TestWithParam<int> {};

// Guards against an archive whose cost in calls grows with the fleet.
TEST_P(StreamArchiveOf, ManyStreamsCostManyCalls) {
  constexpr int StreamsPerSecond = 4; // of one host
  constexpr int EndpointsPerHost = 2;
  constexpr auto Step = 100ms;
  constexpr auto Time = 60s;
  ArchiveEnv env;
  StoreFeed feed(env);
  Recorder recorder(env, feed, "h1");
  const int perStep = std::max(1, GetParam() * StreamsPerSecond / 10);
  int n = 0;
  for (auto passed = 0ms; passed < Time; passed += Step) {
    for (int i = 0; i < perStep; ++i, ++n)
      recorder.begin(n, n % 2 == 0 ? "v1" : "v2", n % (EndpointsPerHost * GetParam()));
    env.run(Step);
  }
  std::size_t bytes = 0;
  for (auto &[key, it] : env.store.objects)
    bytes += it.value.size();
  std::printf("%d hosts: %d streams, %d writing calls of a recorder, %zu segments of %zu bytes\n",
              GetParam(), n, static_cast<int>(env.store.version()), env.store.objects.size(),
              bytes / env.store.objects.size());
  EXPECT_LE(env.store.version(),
            static_cast<std::uint64_t>(Time / StreamArchiveWriter::WritePause) + 1);
  EXPECT_LE(env.store.objects.size(), StreamArchiveWriter::MaxSegments);
  // All streams whose records are needed and that are not of the last second.
  StreamArchiveReader reader(env, feed);
  const int lastSeconds = n * (static_cast<int>(Lifetime) - 2) / 60;
  const int lastSecond = n * 2 / 60;
  int known = 0;
  for (int i = n - lastSeconds; i < n - lastSecond; ++i)
    reader.find(keyOf(i), [&](auto &it) { known += it.stream ? 1 : 0; });
  env.run(ReadTime);
  EXPECT_EQ(known, lastSeconds - lastSecond);
}

INSTANTIATE_TEST_SUITE_P(Hosts, StreamArchiveOf, ::testing::Values(8, 81, 300));

/// A host that has just started and finds a stream in the archive only.
class ArchivedOrigin : public ::testing::Test {
protected:
  ArchivedOrigin() {
    found = {.answered = true,
             .stream = ArchivedStream{.key = keyOf(1),
                                      .origin = {.service = Service,
                                                 .version = SoftwareVersion("v1"),
                                                 .writer = {EndpointName("e"), 7}},
                                      .beganAt = env.wallSeconds() - 5,
                                      .endsAt = env.wallSeconds() + Lifetime}};
    registerWriter(7, "v1");
  }

  void registerWriter(std::uint64_t incarnation, const std::string &version) {
    view.putEndpoint({.name = EndpointName("e"),
                      .service = Service,
                      .softwareVersion = SoftwareVersion(version),
                      .incarnation = incarnation},
                     env.now());
  }

  OriginAnswer find() {
    OriginAnswer out;
    streams.find(keyOf(1), {{.service = Service}}, [&](auto &it) { out = it; });
    env.run(1s);
    return out;
  }

  ArchiveEnv env;
  FleetView view;
  ArchiveAnswer found;
  bool confirmed = true;
  int questions = 0;
  StreamKeepers streams{
      env,
      view,
      {.keepers = [](auto &, int) { return std::vector<Address>(); },
       .send = [](auto &, auto &) {},
       .findOnlyVersion = [](auto &, auto done) { done(RecordedVersion{.answered = true}); },
       .findArchived = [this](auto &, auto done) { done(found); },
       .confirmIncarnation =
           [this](auto &, auto done) {
             ++questions;
             done(confirmed);
           }}};
};

TEST_F(ArchivedOrigin, WriterIsStillThere) {
  const auto answer = find();
  EXPECT_EQ(answer.source, OriginSource::Archive);
  ASSERT_TRUE(answer.origin);
  EXPECT_EQ(answer.origin->version, SoftwareVersion("v1"));
  EXPECT_EQ(find().source, OriginSource::OwnRecord);
  EXPECT_EQ(questions, 1);
}

// Guards against a guess: another incarnation may have written the events under the same name.
TEST_F(ArchivedOrigin, WriterHasStartedAgain) {
  registerWriter(8, "v1");
  EXPECT_EQ(find().source, OriginSource::Doubtful);
  EXPECT_FALSE(find().origin);
}

// Guards against a registration that is older than its endpoint.
TEST_F(ArchivedOrigin, WriterDoesNotConfirmItsIncarnation) {
  confirmed = false;
  EXPECT_EQ(find().source, OriginSource::NoAnswer);
  EXPECT_FALSE(find().origin);
}

TEST_F(ArchivedOrigin, WriterHasLeft) {
  view.removeEndpoint(EndpointName("e"), env.now());
  EXPECT_EQ(find().source, OriginSource::Doubtful);
}

TEST_F(ArchivedOrigin, RecordIsDoubtful) {
  found.stream->doubtful = true;
  EXPECT_EQ(find().source, OriginSource::Doubtful);
}

TEST_F(ArchivedOrigin, StoreDoesNotAnswer) {
  found = {};
  EXPECT_EQ(find().source, OriginSource::NoAnswer);
}

/// A host with records that learns which hosts are recorders.
class RecorderChange : public ArchivedOrigin {
protected:
  RecorderChange() {
    for (int n = 0; n < Streams; ++n)
      keepers.record(
          keyOf(n),
          {.service = Service, .version = SoftwareVersion("v1"), .writer = {EndpointName("e"), 7}},
          30s);
    sent.clear();
  }

  static constexpr int Streams = 100;
  std::map<Address, int> sent; ///< records by receiver
  std::set<StreamKey> archived;
  StreamKeepers keepers{env,
                        view,
                        {.keepers = [](auto &, int) { return std::vector<Address>(); },
                         .send =
                             [this](auto &to, auto &message) {
                               if (auto *m = std::get_if<StreamRecords>(&message))
                                 sent[to] += static_cast<int>(m->records.size());
                               else if (std::holds_alternative<StreamBegun>(message))
                                 ++sent[to];
                             },
                         .findOnlyVersion = {},
                         .findArchived = {},
                         .archive = [this](auto &key) { archived.insert(key); },
                         .confirmIncarnation = {}}};
  const Address first{"127.0.0.1", 1};
  const Address second{"127.0.0.1", 2};
  const Address third{"127.0.0.1", 3};
};

// Guards against streams that began before a service had a second version.
TEST_F(RecorderChange, RecordersAreTooLateForStreams) {
  keepers.setRecorders({first, second});
  env.run(1s);
  EXPECT_EQ(sent, (std::map<Address, int>{{first, Streams}, {second, Streams}}));
}

// Guards against streams that only a recorder that has died has been told of.
TEST_F(RecorderChange, RecorderIsReplaced) {
  keepers.setRecorders({first, second});
  env.run(1s);
  keepers.setRecorders({second, third});
  keepers.setRecorders({second, third});
  env.run(1s);
  EXPECT_EQ(sent, (std::map<Address, int>{{first, Streams}, {second, Streams}, {third, Streams}}));
}

TEST_F(RecorderChange, ThisHostBecomesARecorder) {
  EXPECT_TRUE(archived.empty());
  keepers.setRecorders({Address{}, first});
  EXPECT_EQ(archived.size(), static_cast<std::size_t>(Streams));
}

// Guards against a write for each copy of a record that other hosts pass on.
TEST_F(RecorderChange, RecordIsPassedOnAgain) {
  keepers.setRecorders({Address{}});
  archived.clear();
  const StreamRecord known{.key = keyOf(1),
                           .origin = {.service = Service,
                                      .version = SoftwareVersion("v1"),
                                      .writer = {EndpointName("e"), 7}},
                           .lifetime = 30s};
  keepers.onRecords({{known}});
  EXPECT_TRUE(archived.empty());
}

} // namespace
} // namespace catkin::fleet
