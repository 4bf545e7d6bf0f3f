#include "config_sync_p.h"

#include "config.h"

#include <algorithm>
#include <map>
#include <set>

namespace catkin {

namespace {

const std::string ListsKey = "config/lists";
constexpr std::string_view PeerMethod = "lists";

std::string toHex(std::uint64_t n) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string s;
  for (int shift = 60; shift >= 0; shift -= 4)
    s += Digits[(n >> shift) & 15];
  return s;
}

/// Parses the lists of a stored object. An object that does not exist counts as empty lists of
/// revision 0. Returns nothing if the object could not be read or parsed.
std::optional<Lists> parseStoredLists(StoreStatus status, const StoreObject &object) {
  if (status == StoreStatus::NotFound)
    return Lists{};
  if (status != StoreStatus::Ok)
    return std::nullopt;
  auto parsed = parseLists(object.value);
  if (auto *lists = std::get_if<Lists>(&parsed))
    return std::move(*lists);
  return std::nullopt;
}

} // namespace

struct ConfigSync::Impl : std::enable_shared_from_this<ConfigSync::Impl> {
  /// An operator's edit that has no outcome yet.
  struct Edit {
    ListKind kind = ListKind::Plans;
    std::string document;
    std::uint64_t expectedRevision = 0; ///< revision that the operator read
    std::string editId;
    EditDone done;
    Instant deadline;
    std::optional<Lists> editedLists;
    std::uint64_t objectVersion = 0;
    bool writeOutcomeUnknown = false; ///< the reply to a write was lost
  };
  using EditPtr = std::shared_ptr<Edit>;

  Impl(Env &env, ConfigSyncOptions options, AppliedCallback onApplied)
      : env(env), options(std::move(options)), onApplied(std::move(onApplied)) {}

  Env &env;
  ConfigSyncOptions options;
  AppliedCallback onApplied;
  bool stopped = false;
  bool started = false;
  bool isReady = false;
  ListsPtr lists = std::make_shared<const Lists>();
  std::uint64_t objectVersion = 0; ///< newest version read from the platform
  Instant watchStart;
  std::set<Address> answeredPeers;      ///< peers that have returned their lists during an outage
  std::set<Address> pendingPeers;       ///< peers with a call under way
  std::optional<Lists> newestPeerLists; ///< newest lists from peers, not in force yet
  /// Edit ids of recent revisions, to find the outcome of an edit that a later one replaced.
  std::map<std::uint64_t, std::string> editIds;

  /// Wraps a callback so that it does nothing after this object has ended.
  template <class F> auto guarded(F f) {
    return [self = weak_from_this(), f](auto &&...args) {
      auto impl = self.lock();
      if (impl && !impl->stopped)
        f(*impl, args...);
    };
  }

  // ---- Following the platform ------------------------------------------------------------------

  void start() {
    if (!std::exchange(started, true))
      read();
  }

  void read() {
    env.platform().get(ListsKey,
                       guarded([](Impl &impl, StoreStatus status, const StoreObject &object) {
                         impl.onRead(status, object);
                       }));
  }

  void onRead(StoreStatus status, const StoreObject &object) {
    if (status != StoreStatus::Ok && status != StoreStatus::NotFound) {
      askPeers();
      env.after(config::ConfigRetryInterval, guarded([](Impl &impl) { impl.read(); }));
      return;
    }
    onObject(status, object);
    watch();
  }

  void watch() {
    watchStart = env.now();
    env.platform().watch(ListsKey, objectVersion, config::ConfigWatchWait,
                         guarded([](Impl &impl, StoreStatus status, const StoreObject &object) {
                           impl.onWatched(status, object);
                         }));
  }

  void onWatched(StoreStatus status, const StoreObject &object) {
    if (status == StoreStatus::Ok)
      onObject(status, object);
    // A watch that ends at once without a change must not be repeated at once.
    bool waited = env.now() - watchStart >= config::ConfigRetryInterval;
    if (status == StoreStatus::Ok || (status == StoreStatus::NotFound && waited))
      watch();
    else
      env.after(config::ConfigRetryInterval, guarded([](Impl &impl) { impl.watch(); }));
  }

  void onObject(StoreStatus status, const StoreObject &object) {
    objectVersion = std::max(objectVersion, object.version);
    auto read = parseStoredLists(status, object);
    if (!read)
      return logRejection("the stored lists are not valid");
    isReady = true;
    applyIfNewer(std::move(*read));
  }

  /// Puts the lists in force if they are newer than the current ones.
  void applyIfNewer(Lists next) {
    editIds[next.revision] = next.editId;
    while (editIds.size() > config::RememberedEdits)
      editIds.erase(editIds.begin());
    bool isNewer = next.revision > lists->revision;
    bool isOther = next.revision != lists->revision;
    if (!(options.guards.rejectOlderRevision ? isNewer : isOther))
      return;
    lists = std::make_shared<const Lists>(std::move(next));
    env.decision({.kind = DecisionKind::Config,
                  .chosen = std::to_string(lists->revision),
                  .reason = "applied"});
    if (onApplied)
      onApplied(lists);
  }

  void logRejection(const std::string &reason) {
    env.decision({.kind = DecisionKind::Config, .reason = reason});
  }

  // ---- Peers -----------------------------------------------------------------------------------

  void askPeers() {
    if (isReady)
      return;
    for (auto &it : options.peers)
      if (!answeredPeers.contains(it))
        requestLists(it);
  }

  void requestLists(const Address &peer) {
    if (!pendingPeers.insert(peer).second)
      return;
    env.peers().call(peer, std::string(PeerMethod), "{}", config::RpcTimeout,
                     guarded([peer](Impl &impl, RpcStatus status, const std::string &result) {
                       impl.onPeerAnswer(peer, status, result);
                     }));
  }

  /// A peer that has no lists itself returns an empty answer, which does not count.
  void onPeerAnswer(const Address &peer, RpcStatus status, const std::string &result) {
    pendingPeers.erase(peer);
    if (status != RpcStatus::Ok)
      return;
    auto parsed = parseLists(result);
    if (!std::holds_alternative<Lists>(parsed))
      return;
    answeredPeers.insert(peer);
    onPeerLists(std::get<Lists>(std::move(parsed)));
  }

  /// Handles the lists of a peer. Until this host is ready, only the newest is kept; it is applied
  /// once more than half of the peers have returned theirs.
  void onPeerLists(Lists next) {
    if (isReady || !options.guards.rejectOlderRevision)
      applyIfNewer(std::move(next));
    else if (!newestPeerLists || next.revision > newestPeerLists->revision)
      newestPeerLists = std::move(next);
    if (isReady || answeredPeers.size() * 2 <= options.peers.size())
      return;
    isReady = true;
    if (newestPeerLists)
      applyIfNewer(std::move(*newestPeerLists));
  }

  void onRevisionSeen(std::uint64_t revision, const Address &from) {
    if (revision > lists->revision)
      requestLists(from);
  }

  std::string document() const { return isReady ? formatLists(*lists) : std::string(); }

  // ---- Edits -----------------------------------------------------------------------------------

  void edit(ListKind kind, std::string document, std::uint64_t expectedRevision, EditDone done) {
    auto e = std::make_shared<Edit>();
    e->kind = kind;
    e->document = std::move(document);
    e->expectedRevision = expectedRevision;
    e->editId = toHex(env.random()) + toHex(env.random());
    e->done = std::move(done);
    e->deadline = env.now() + config::EditTimeout;
    readForEdit(e);
  }

  /// Reads the stored lists for an edit: as its base, or after a lost reply to find its outcome.
  void readForEdit(const EditPtr &e) {
    env.platform().get(ListsKey,
                       guarded([e](Impl &impl, StoreStatus status, const StoreObject &object) {
                         if (e->writeOutcomeUnknown)
                           impl.onReadBack(e, status, object);
                         else
                           impl.onBaseRead(e, status, object);
                       }));
  }

  void onBaseRead(const EditPtr &e, StoreStatus status, const StoreObject &object) {
    auto base = parseStoredLists(status, object);
    if (!base)
      return finishEdit(e, EditOutcome::NotAccepted);
    if (base->revision != e->expectedRevision)
      return finishEdit(e, EditOutcome::Conflict, base->revision);
    auto editedLists = replaceList(*base, e->kind, e->document, e->editId);
    if (auto *errors = std::get_if<ListErrors>(&editedLists))
      return finishEdit(e, EditOutcome::Invalid, base->revision, std::move(*errors));
    e->editedLists = std::get<Lists>(std::move(editedLists));
    e->objectVersion = object.version;
    writeEdit(e);
  }

  void writeEdit(const EditPtr &e) {
    env.platform().put(ListsKey, formatLists(*e->editedLists), e->objectVersion,
                       guarded([e](Impl &impl, StoreStatus status, const StoreObject &) {
                         impl.onWritten(e, status);
                       }));
  }

  void onWritten(const EditPtr &e, StoreStatus status) {
    if (status == StoreStatus::Ok)
      return acceptEdit(e);
    if (status == StoreStatus::Unknown && options.guards.recogniseOwnWrite)
      e->writeOutcomeUnknown = true;
    bool nothingSent = status == StoreStatus::Refused || status == StoreStatus::Unreachable;
    if (e->writeOutcomeUnknown)
      return nothingSent ? scheduleReadForEdit(e) : readForEdit(e);
    if (status == StoreStatus::Conflict)
      return readCurrent(e);
    finishEdit(e, EditOutcome::NotAccepted);
  }

  /// Reports a conflict with an edit that was written first, and its revision if it can be read.
  void readCurrent(const EditPtr &e) {
    env.platform().get(ListsKey,
                       guarded([e](Impl &impl, StoreStatus status, const StoreObject &object) {
                         auto current = parseStoredLists(status, object);
                         impl.finishEdit(e, EditOutcome::Conflict, current ? current->revision : 0);
                       }));
  }

  /// Finds the outcome of an edit after a lost reply. While the stored revision is still the base
  /// of the edit, the same write is sent again. The store accepts only one of the two writes, since
  /// both name the same object version, so the outcome becomes known.
  void onReadBack(const EditPtr &e, StoreStatus status, const StoreObject &object) {
    auto current = parseStoredLists(status, object);
    if (current)
      applyIfNewer(*current);
    auto seen = editIds.find(e->editedLists->revision);
    if (seen != editIds.end()) {
      if (seen->second == e->editId)
        return acceptEdit(e);
      return finishEdit(e, EditOutcome::Conflict, current ? current->revision : 0);
    }
    bool isReplaced = current && current->revision > e->editedLists->revision;
    if (isReplaced || env.now() >= e->deadline)
      return finishEdit(e, EditOutcome::Unknown, current ? current->revision : 0);
    if (current)
      return writeEdit(e);
    scheduleReadForEdit(e);
  }

  void scheduleReadForEdit(const EditPtr &e) {
    env.after(config::ConfigRetryInterval, guarded([e](Impl &impl) { impl.readForEdit(e); }));
  }

  void acceptEdit(const EditPtr &e) {
    auto revision = e->editedLists->revision;
    isReady = true;
    applyIfNewer(std::move(*e->editedLists));
    finishEdit(e, EditOutcome::Accepted, revision);
  }

  void finishEdit(const EditPtr &e, EditOutcome outcome, std::uint64_t revision = 0,
                  ListErrors errors = {}) {
    env.decision({.kind = DecisionKind::Config,
                  .requestId = e->editId,
                  .chosen = std::to_string(revision),
                  .reason = std::string(toString(outcome))});
    e->done({.outcome = outcome,
             .revision = revision > 0 ? revision : lists->revision,
             .errors = std::move(errors),
             .readBack = e->writeOutcomeUnknown});
  }
};

ConfigSync::ConfigSync(Env &env, ConfigSyncOptions options, AppliedCallback onApplied)
    : impl(std::make_shared<Impl>(env, std::move(options), std::move(onApplied))) {}

ConfigSync::~ConfigSync() { impl->stopped = true; }

void ConfigSync::start() { impl->start(); }

bool ConfigSync::isReady() const { return impl->isReady; }

ListsPtr ConfigSync::currentLists() const { return impl->lists; }

void ConfigSync::onRevisionSeen(std::uint64_t revision, const Address &from) {
  impl->onRevisionSeen(revision, from);
}

std::string ConfigSync::document() const { return impl->document(); }

void ConfigSync::edit(ListKind kind, std::string document, std::uint64_t expectedRevision,
                      EditDone done) {
  impl->edit(kind, std::move(document), expectedRevision, std::move(done));
}

} // namespace catkin
