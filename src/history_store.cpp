#include "history_store_p.h"

#include "config.h"
#include "json_p.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace catkin {

namespace {

constexpr std::string_view KeyPrefix = "planner/history/";

/// One stored object of a save.
struct Part {
  std::string saveId;
  std::uint64_t term = 0; ///< term of the planner that wrote it
  std::size_t parts = 0;  ///< number of parts of the save
  std::string data;
};

std::string partKey(std::size_t index) {
  // The fixed width makes the store list the parts in order.
  auto digits = std::to_string(index);
  return std::string(KeyPrefix) + std::string(4 - std::min<std::size_t>(digits.size(), 4), '0') +
         digits;
}

std::string format(const Part &p) {
  return json::serialize(
      json::object{{"save_id", p.saveId}, {"term", p.term}, {"parts", p.parts}, {"data", p.data}});
}

bool parse(const std::string &text, Part &out) {
  json::object object;
  if (!parseObject(text, object))
    return false;
  JsonReader in(object);
  out = {.saveId = in.text("save_id"),
         .term = in.unsignedInt("term"),
         .parts = in.unsignedInt("parts"),
         .data = in.text("data")};
  return in.ok && out.parts > 0;
}

/// Joins the parts of a save. Returns an empty text if one is missing or belongs to another save.
std::string joinParts(const std::vector<StoreObject> &objects) {
  std::string text;
  Part first;
  for (std::size_t i = 0; i < objects.size(); ++i) {
    Part part;
    if (objects[i].key != partKey(i) || !parse(objects[i].value, part))
      return {};
    if (i == 0)
      first = part;
    if (part.saveId != first.saveId)
      return {};
    text += part.data;
    if (i + 1 == first.parts)
      return text;
  }
  return {};
}

} // namespace

struct HistoryStore::Impl : std::enable_shared_from_this<HistoryStore::Impl> {
  Env &env;
  Save save;
  Restore restore;
  std::uint64_t term = 0;
  /// Number of lead() calls, to ignore replies to calls of an earlier term.
  std::uint64_t session = 0;
  bool leading = false; ///< between lead() and resign()
  bool wasRestored = false;
  bool retryScheduled = false;
  std::map<std::string, std::uint64_t> versions; ///< of the stored objects, by key
  std::uint64_t saveCount = 0;

  Impl(Env &env, Save save, Restore restore)
      : env(env), save(std::move(save)), restore(std::move(restore)) {}

  bool isCurrent(std::uint64_t s) const { return leading && s == session; }

  void read() {
    env.platform().list(std::string(KeyPrefix), [self = shared_from_this(), s = session](
                                                    StoreStatus status, const auto &objects) {
      if (!self->isCurrent(s))
        return;
      if (status == StoreStatus::Ok)
        return self->onRead(objects);
      self->env.after(config::HistoryRetryInterval, [self, s] {
        if (self->isCurrent(s))
          self->read();
      });
    });
  }

  void onRead(const std::vector<StoreObject> &objects) {
    versions.clear();
    for (auto &it : objects)
      versions[it.key] = it.version;
    if (auto text = joinParts(objects); !text.empty())
      restore(text);
    wasRestored = true;
    scheduleSave();
  }

  void scheduleSave() {
    env.after(config::HistorySaveInterval, [self = shared_from_this(), s = session] {
      if (!self->isCurrent(s))
        return;
      self->writeParts();
      self->scheduleSave();
    });
  }

  void writeParts() {
    auto text = save();
    if (text.empty())
      return;
    auto count = (text.size() + config::HistoryPartBytes - 1) / config::HistoryPartBytes;
    auto id = std::to_string(term) + "-" + std::to_string(++saveCount);
    for (std::size_t i = 0; i < count; ++i)
      writePart(partKey(i),
                {.saveId = id,
                 .term = term,
                 .parts = count,
                 .data = text.substr(i * config::HistoryPartBytes, config::HistoryPartBytes)});
  }

  /// A failed write leaves parts of two saves in the store, which joinParts() rejects. The next
  /// save replaces them.
  void writePart(const std::string &key, const Part &part) {
    env.platform().put(key, format(part), versions[key],
                       [self = shared_from_this(), s = session, key](StoreStatus status,
                                                                     const StoreObject &object) {
                         if (!self->isCurrent(s))
                           return;
                         if (status == StoreStatus::Ok)
                           self->versions[key] = object.version;
                         else if (status == StoreStatus::Conflict || status == StoreStatus::Unknown)
                           self->refreshVersion(key);
                       });
  }

  /// Saves again after a short pause. If it waited for the next save interval, a former planner
  /// with the same interval could cause a conflict each time.
  void scheduleRetry(const std::string &key, std::uint64_t version) {
    versions[key] = version;
    if (std::exchange(retryScheduled, true))
      return;
    env.after(config::HistoryRetryInterval, [self = shared_from_this(), s = session] {
      self->retryScheduled = false;
      if (self->isCurrent(s))
        self->writeParts();
    });
  }

  /// Reads the version again after a lost reply or a conflict. A save of a newer planner must not
  /// be overwritten. A save of a former planner that has not noticed the end of its term must be.
  void refreshVersion(const std::string &key) {
    env.platform().get(key, [self = shared_from_this(), s = session,
                             key](StoreStatus status, const StoreObject &object) {
      Part part;
      if (!self->isCurrent(s) || status != StoreStatus::Ok || !parse(object.value, part))
        return;
      if (part.term <= self->term)
        return self->scheduleRetry(key, object.version);
    });
  }
};

HistoryStore::HistoryStore(Env &env, Save save, Restore restore)
    : impl(std::make_shared<Impl>(env, std::move(save), std::move(restore))) {}

HistoryStore::~HistoryStore() { impl->leading = false; }

void HistoryStore::lead(std::uint64_t term) {
  impl->term = term;
  ++impl->session;
  impl->leading = true;
  impl->wasRestored = false;
  impl->read();
}

void HistoryStore::resign() { impl->leading = false; }

bool HistoryStore::isRestored() const { return impl->wasRestored; }

} // namespace catkin
