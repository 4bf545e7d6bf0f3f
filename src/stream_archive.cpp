#include "stream_archive_p.h"

#include "json_p.h"
#include "log_p.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace catkin {

namespace {

// A stream in a segment: three hexadecimal numbers of fixed width, its key, when it began and for
// how many seconds the record is needed.
constexpr std::size_t KeyDigits = 16;
constexpr std::size_t BeganDigits = 9;
constexpr std::size_t LifetimeDigits = 4;
constexpr std::size_t StreamDigits = KeyDigits + BeganDigits + LifetimeDigits;
constexpr std::int64_t MaxLifetimeSeconds = 0xffff;
constexpr Duration RetryPause = std::chrono::seconds(1); // after a failed write

void appendHex(std::uint64_t value, std::size_t digits, std::string &out) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  for (std::size_t n = digits; n-- > 0;)
    out += Digits[(value >> (n * BitsPerDigit)) & 0xf];
}

std::optional<std::uint64_t> readHex(std::string_view text) {
  constexpr int Base = 16;
  std::uint64_t out = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out, Base);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return out;
}

void appendStream(const ArchivedStream &it, std::string &out) {
  const auto lifetime = std::clamp<std::int64_t>(it.endsAt - it.beganAt, 0, MaxLifetimeSeconds);
  appendHex(it.key.hash, KeyDigits, out);
  appendHex(static_cast<std::uint64_t>(std::max<std::int64_t>(it.beganAt, 0)), BeganDigits, out);
  appendHex(static_cast<std::uint64_t>(lifetime), LifetimeDigits, out);
}

/// Adds the streams of one group. Returns false if the text is malformed.
bool readStreams(std::string_view text, const ArchivedStream &group,
                 std::vector<ArchivedStream> &out) {
  if (text.size() % StreamDigits != 0)
    return false;
  for (; !text.empty(); text.remove_prefix(StreamDigits)) {
    const auto key = readHex(text.substr(0, KeyDigits));
    const auto began = readHex(text.substr(KeyDigits, BeganDigits));
    const auto lifetime = readHex(text.substr(KeyDigits + BeganDigits, LifetimeDigits));
    if (!key || !began || !lifetime)
      return false;
    ArchivedStream it = group;
    it.key = {*key};
    it.beganAt = static_cast<std::int64_t>(*began);
    it.endsAt = it.beganAt + static_cast<std::int64_t>(*lifetime);
    out.push_back(std::move(it));
  }
  return true;
}

} // namespace

// The streams of one writer are a group, since most of a record is the name of its writer.
std::string formatArchiveSegment(const ArchiveSegment &segment) {
  using Group = std::tuple<EndpointIncarnation, ServiceName, SoftwareVersion, bool>;
  std::map<Group, std::string> groups;
  for (auto &it : segment.streams)
    appendStream(it, groups[{it.origin.writer, it.origin.service, it.origin.version, it.doubtful}]);
  json::array list;
  for (auto &[group, streams] : groups) {
    auto &[writer, service, version, doubtful] = group;
    list.push_back(json::object{{"endpoint", writer.endpoint.value},
                                {"incarnation", writer.incarnation},
                                {"service", service.value},
                                {"version", version.value},
                                {"doubtful", doubtful},
                                {"streams", streams}});
  }
  return json::serialize(json::object{{"era", segment.era},
                                      {"ends", static_cast<std::uint64_t>(segment.endsAt)},
                                      {"groups", std::move(list)}});
}

std::optional<ArchiveSegment> parseArchiveSegment(std::string_view text) {
  json::object object;
  if (!parseObject(text, object))
    return std::nullopt;
  JsonReader in(object);
  ArchiveSegment out{.era = in.unsignedInt("era"),
                     .endsAt = static_cast<std::int64_t>(in.unsignedInt("ends"))};
  in.objects("groups", [&](JsonReader &it) {
    const ArchivedStream group{
        .origin = {.service = it.name<ServiceName>("service"),
                   .version = it.name<SoftwareVersion>("version"),
                   .writer = {it.name<EndpointName>("endpoint"), it.unsignedInt("incarnation")}},
        .doubtful = it.flag("doubtful")};
    it.ok = it.ok && readStreams(it.text("streams"), group, out.streams);
  });
  return in.ok ? std::optional(std::move(out)) : std::nullopt;
}

namespace {

/// A segment and its object.
struct StoredSegment {
  std::string name;
  StoreRevision revision;
  std::optional<ArchiveSegment> content; ///< empty if it cannot be read
};

/// Reads all segments. `done` gets nothing if the store does not answer.
class ArchiveList : public std::enable_shared_from_this<ArchiveList> {
public:
  using Done = std::function<void(std::optional<std::vector<StoredSegment>>)>;
  ArchiveList(ObjectFeed &feed, Done done) : feed(feed), done(std::move(done)) {}

  void readPage(const std::string &after) {
    feed.list(ArchiveKind, after,
              [self = shared_from_this()](const FeedPage &page) { self->onPage(page); });
  }

private:
  void onPage(const FeedPage &page) {
    if (page.status != FeedStatus::Ok)
      return done(std::nullopt);
    for (auto &it : page.objects) {
      auto *text = it.content.if_string();
      auto content = text ? parseArchiveSegment({text->data(), text->size()}) : std::nullopt;
      if (!content)
        logLine(LogLevel::Warn, "segment of the stream archive cannot be read",
                {{"segment", it.name}});
      segments.push_back({it.name, it.revision, std::move(content)});
    }
    if (!page.continueAfter.empty())
      return readPage(page.continueAfter);
    done(std::move(segments));
  }

  ObjectFeed &feed;
  Done done;
  std::vector<StoredSegment> segments;
};

void listArchive(ObjectFeed &feed, ArchiveList::Done done) {
  std::make_shared<ArchiveList>(feed, std::move(done))->readPage({});
}

} // namespace

// ---- Writer ------------------------------------------------------------------------------------

struct StreamArchiveWriter::Impl : std::enable_shared_from_this<StreamArchiveWriter::Impl> {
  /// An object of this host in the store.
  struct Slot {
    std::uint64_t revision = 0; ///< 0 if it does not exist
    std::int64_t endsAt = 0;
  };

  CoreEnv &env;
  ObjectFeed &feed;
  std::string prefix; ///< of the names of this host's segments
  Hooks hooks;
  std::set<StreamKey> pending;  ///< not yet in the store
  std::set<StreamKey> inFlight; ///< in the segment that is being written
  std::map<std::string, Slot> slots;
  bool areSlotsKnown = false;
  bool isBusy = false; ///< a step is scheduled or a call of the store is in progress
  std::optional<Instant> writtenAt;

  Impl(CoreEnv &env, ObjectFeed &feed, const std::string &host, Hooks hooks)
      : env(env), feed(feed), prefix(host + "."), hooks(std::move(hooks)) {}

  void schedule(Duration delay) {
    if (pending.empty() || std::exchange(isBusy, true))
      return;
    if (writtenAt)
      delay = std::max<Duration>(delay, *writtenAt + WritePause - env.now());
    env.after(delay, [self = shared_from_this()] {
      self->areSlotsKnown ? self->write() : self->readSlots();
    });
  }

  void end(Duration delayOfNext) {
    isBusy = false;
    schedule(delayOfNext);
  }

  /// Segments of an earlier process of this host may still be needed.
  void readSlots() {
    listArchive(feed, [self = shared_from_this()](auto segments) {
      if (!segments)
        return self->end(RetryPause);
      self->slots.clear();
      for (auto &it : *segments)
        if (it.name.starts_with(self->prefix))
          self->slots[it.name] = {it.revision.number, it.content ? it.content->endsAt : 0};
      self->areSlotsKnown = true;
      self->write();
    });
  }

  ArchiveSegment takePending() {
    ArchiveSegment out{.era = hooks.storeEra()};
    for (; !pending.empty() && inFlight.size() < MaxStreams; pending.erase(pending.begin())) {
      auto stream = hooks.find(*pending.begin());
      if (!stream)
        continue;
      inFlight.insert(*pending.begin());
      out.endsAt = std::max(out.endsAt, stream->endsAt);
      out.streams.push_back(std::move(*stream));
    }
    return out;
  }

  /// Returns the name of an unused object, or of the one that is needed for the shortest time.
  std::string chooseSlot() {
    auto best = std::min_element(slots.begin(), slots.end(), [](auto &a, auto &b) {
      return a.second.endsAt < b.second.endsAt;
    });
    const bool isFree = best != slots.end() && best->second.endsAt < env.wallSeconds();
    if (isFree || slots.size() >= MaxSegments)
      return best->first;
    std::size_t n = 0;
    while (slots.count(prefix + std::to_string(n)) > 0)
      ++n;
    return prefix + std::to_string(n);
  }

  void write() {
    ArchiveSegment segment = takePending();
    if (segment.streams.empty())
      return end({});
    const std::string name = chooseSlot();
    writtenAt = env.now();
    env.platform().put(std::string(ArchiveKind) + "/" + name, formatArchiveSegment(segment),
                       slots[name].revision,
                       [self = shared_from_this(), name, era = segment.era,
                        ends = segment.endsAt](StoreStatus status, const StoreObject &object) {
                         self->onWritten(name, era, ends, status, object);
                       });
  }

  void onWritten(const std::string &name, std::uint64_t era, std::int64_t endsAt,
                 StoreStatus status, const StoreObject &object) {
    const bool isWritten = status == StoreStatus::Ok && object.era == era;
    logLine(isWritten ? LogLevel::Debug : LogLevel::Warn,
            isWritten ? "streams archived" : "streams not archived",
            {{"segment", name},
             {"streams", inFlight.size()},
             {"status", toString(status)},
             {"era", object.era}});
    if (isWritten) {
      slots[name] = {object.version, endsAt};
      inFlight.clear();
      return end({});
    }
    // The store may have carried the call out, or may do so later.
    areSlotsKnown = false;
    pending.merge(inFlight);
    inFlight.clear();
    end(RetryPause);
  }
};

StreamArchiveWriter::StreamArchiveWriter(CoreEnv &env, ObjectFeed &feed, const std::string &host,
                                         Hooks hooks)
    : impl(std::make_shared<Impl>(env, feed, host, std::move(hooks))) {}

StreamArchiveWriter::~StreamArchiveWriter() = default;

void StreamArchiveWriter::add(const StreamKey &key) {
  if (impl->pending.size() >= MaxPending)
    impl->pending.erase(impl->pending.begin());
  impl->pending.insert(key);
  impl->schedule(FirstWriteDelay);
}

// ---- Reader ------------------------------------------------------------------------------------

struct StreamArchiveReader::Impl : std::enable_shared_from_this<StreamArchiveReader::Impl> {
  CoreEnv &env;
  ObjectFeed &feed;
  std::map<StreamKey, ArchivedStream> streams;
  std::vector<std::pair<StreamKey, Done>> waiting; ///< for the next list
  bool isScheduled = false;                        ///< the next list
  Duration pause = MinPause;
  std::optional<Instant> readAt; ///< beginning of the newest list

  Impl(CoreEnv &env, ObjectFeed &feed) : env(env), feed(feed) {}

  std::optional<ArchivedStream> lookUp(const StreamKey &key) const {
    auto it = streams.find(key);
    const bool isNeeded = it != streams.end() && it->second.endsAt >= env.wallSeconds();
    return isNeeded ? std::optional(it->second) : std::nullopt;
  }

  void find(const StreamKey &key, Done done) {
    const auto known = lookUp(key);
    const Duration delay =
        readAt ? std::max<Duration>(*readAt + pause - env.now(), Duration()) : Duration();
    if (known || (delay > MaxWait && !isScheduled))
      return done({.answered = true, .stream = known});
    waiting.emplace_back(key, std::move(done));
    if (!std::exchange(isScheduled, true))
      env.after(delay, [self = shared_from_this()] { self->read(); });
  }

  void read() {
    isScheduled = false;
    readAt = env.now();
    listArchive(feed, [self = shared_from_this(), asked = std::exchange(waiting, {})](
                          auto segments) { self->onRead(segments, asked); });
  }

  void onRead(const std::optional<std::vector<StoredSegment>> &segments,
              const std::vector<std::pair<StreamKey, Done>> &asked) {
    if (segments)
      load(*segments);
    std::size_t found = 0;
    for (auto &it : asked)
      found += lookUp(it.first) ? 1 : 0;
    if (segments)
      pause = found > 0 ? MinPause : std::min<Duration>(2 * pause, MaxPause);
    logLine(LogLevel::Info, "stream archive read",
            {{"answered", segments.has_value()},
             {"streams", streams.size()},
             {"asked", asked.size()},
             {"found", found}});
    for (auto &[key, done] : asked)
      done({.answered = segments.has_value(), .stream = lookUp(key)});
  }

  void load(const std::vector<StoredSegment> &segments) {
    streams.clear();
    for (auto &it : segments)
      if (it.content && it.content->era == it.revision.era &&
          it.content->endsAt >= env.wallSeconds())
        for (auto &stream : it.content->streams)
          add(stream);
  }

  /// Two recorders write each stream, and each of them again if its record changes.
  void add(const ArchivedStream &stream) {
    auto [it, isNew] = streams.try_emplace(stream.key, stream);
    auto &known = it->second;
    known.doubtful = known.doubtful || stream.doubtful ||
                     known.origin.service != stream.origin.service ||
                     known.origin.version != stream.origin.version;
    known.endsAt = std::max(known.endsAt, stream.endsAt);
  }
};

StreamArchiveReader::StreamArchiveReader(CoreEnv &env, ObjectFeed &feed)
    : impl(std::make_shared<Impl>(env, feed)) {}

StreamArchiveReader::~StreamArchiveReader() = default;

void StreamArchiveReader::find(const StreamKey &key, Done done) {
  impl->find(key, std::move(done));
}

void StreamArchiveReader::expire() {
  std::erase_if(impl->streams,
                [&](auto &it) { return it.second.endsAt < impl->env.wallSeconds(); });
}

} // namespace catkin
