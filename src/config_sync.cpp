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

/// The lists of a stored document; an object that does not exist holds none, at revision 0.
std::optional<Lists> listsOf(StoreStatus status, const StoreObject &object) {
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
  /// An operator's edit on its way.
  struct Edit {
    ListKind kind = ListKind::Plans;
    std::string document;
    std::uint64_t expected = 0; ///< revision that the operator read
    std::string editId;
    EditDone done;
    Instant giveUpAt;
    std::optional<Lists> edited;
    std::uint64_t objectVersion = 0;
    bool uncertain = false; ///< a write was sent and its reply lost
  };
  using EditPtr = std::shared_ptr<Edit>;

  Impl(Env &env, ConfigSyncOptions options, Applied applied)
      : env(env), options(std::move(options)), applied(std::move(applied)) {}

  Env &env;
  ConfigSyncOptions options;
  Applied applied;
  bool stopped = false;
  bool started = false;
  bool isReady = false;
  ListsPtr lists = std::make_shared<const Lists>();
  std::uint64_t objectVersion = 0; ///< newest read from the platform
  Instant watchedSince;
  std::set<Address> answered; ///< peers whose lists were read during an outage
  std::set<Address> asking;
  std::optional<Lists> newestHeard; ///< from peers, not yet in force
  /// Edit id of recent revisions, which tells the fate of an edit that was itself replaced.
  std::map<std::uint64_t, std::string> editIds;

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
    watchedSince = env.now();
    env.platform().watch(ListsKey, objectVersion, config::ConfigWatchWait,
                         guarded([](Impl &impl, StoreStatus status, const StoreObject &object) {
                           impl.onWatched(status, object);
                         }));
  }

  void onWatched(StoreStatus status, const StoreObject &object) {
    if (status == StoreStatus::Ok)
      onObject(status, object);
    // A watch that ends at once without news must not be repeated at once.
    bool waited = env.now() - watchedSince >= config::ConfigRetryInterval;
    if (status == StoreStatus::Ok || (status == StoreStatus::NotFound && waited))
      watch();
    else
      env.after(config::ConfigRetryInterval, guarded([](Impl &impl) { impl.watch(); }));
  }

  void onObject(StoreStatus status, const StoreObject &object) {
    objectVersion = std::max(objectVersion, object.version);
    auto read = listsOf(status, object);
    if (!read)
      return refuse("the stored lists are not valid");
    isReady = true;
    offer(std::move(*read));
  }

  /// Puts lists in force if they are newer than the current ones.
  void offer(Lists next) {
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
    if (applied)
      applied(lists);
  }

  void refuse(const std::string &reason) {
    env.decision({.kind = DecisionKind::Config, .reason = reason});
  }

  // ---- Peers -----------------------------------------------------------------------------------

  void askPeers() {
    if (isReady)
      return;
    for (auto &it : options.peers)
      if (!answered.contains(it))
        ask(it);
  }

  void ask(const Address &peer) {
    if (!asking.insert(peer).second)
      return;
    env.peers().call(peer, std::string(PeerMethod), "{}", config::RpcTimeout,
                     guarded([peer](Impl &impl, RpcStatus status, const std::string &result) {
                       impl.onPeerAnswer(peer, status, result);
                     }));
  }

  /// A peer that knows no lists itself answers without them and does not count.
  void onPeerAnswer(const Address &peer, RpcStatus status, const std::string &result) {
    asking.erase(peer);
    if (status != RpcStatus::Ok)
      return;
    auto parsed = parseLists(result);
    if (!std::holds_alternative<Lists>(parsed))
      return;
    answered.insert(peer);
    heard(std::get<Lists>(std::move(parsed)));
  }

  /// Before the host is ready, peers' lists are collected and the newest is applied at the end.
  void heard(Lists next) {
    if (isReady || !options.guards.rejectOlderRevision)
      offer(std::move(next));
    else if (!newestHeard || next.revision > newestHeard->revision)
      newestHeard = std::move(next);
    if (isReady || answered.size() * 2 <= options.peers.size())
      return;
    isReady = true;
    if (newestHeard)
      offer(std::move(*newestHeard));
  }

  void onRevisionSeen(std::uint64_t revision, const Address &from) {
    if (revision > lists->revision)
      ask(from);
  }

  std::string document() const { return isReady ? formatLists(*lists) : std::string(); }

  // ---- Edits -----------------------------------------------------------------------------------

  void edit(ListKind kind, std::string document, std::uint64_t expected, EditDone done) {
    auto e = std::make_shared<Edit>();
    e->kind = kind;
    e->document = std::move(document);
    e->expected = expected;
    e->editId = toHex(env.random()) + toHex(env.random());
    e->done = std::move(done);
    e->giveUpAt = env.now() + config::EditTimeout;
    readFor(e);
  }

  void readFor(const EditPtr &e) {
    env.platform().get(ListsKey,
                       guarded([e](Impl &impl, StoreStatus status, const StoreObject &object) {
                         if (e->uncertain)
                           impl.onReadBack(e, status, object);
                         else
                           impl.onBaseRead(e, status, object);
                       }));
  }

  void onBaseRead(const EditPtr &e, StoreStatus status, const StoreObject &object) {
    auto base = listsOf(status, object);
    if (!base)
      return answer(e, EditOutcome::NotAccepted);
    if (base->revision != e->expected)
      return answer(e, EditOutcome::Conflict, base->revision);
    auto edited = replaceList(*base, e->kind, e->document, e->editId);
    if (auto *errors = std::get_if<ListErrors>(&edited))
      return answer(e, EditOutcome::Invalid, base->revision, std::move(*errors));
    e->edited = std::get<Lists>(std::move(edited));
    e->objectVersion = object.version;
    write(e);
  }

  void write(const EditPtr &e) {
    env.platform().put(ListsKey, formatLists(*e->edited), e->objectVersion,
                       guarded([e](Impl &impl, StoreStatus status, const StoreObject &) {
                         impl.onWritten(e, status);
                       }));
  }

  void onWritten(const EditPtr &e, StoreStatus status) {
    if (status == StoreStatus::Ok)
      return accept(e);
    if (status == StoreStatus::Unknown && options.guards.recogniseOwnWrite)
      e->uncertain = true;
    bool nothingSent = status == StoreStatus::Refused || status == StoreStatus::Unreachable;
    if (e->uncertain)
      return nothingSent ? readLater(e) : readFor(e);
    if (status == StoreStatus::Conflict)
      return readCurrent(e);
    answer(e, EditOutcome::NotAccepted);
  }

  /// Another edit was first: the answer names the revision it made, if it can be read.
  void readCurrent(const EditPtr &e) {
    env.platform().get(ListsKey,
                       guarded([e](Impl &impl, StoreStatus status, const StoreObject &object) {
                         auto current = listsOf(status, object);
                         impl.answer(e, EditOutcome::Conflict, current ? current->revision : 0);
                       }));
  }

  /// After a lost reply. While the revision is still the one edited, the same write is sent again:
  /// the version admits only one of the two, and its fate becomes known.
  void onReadBack(const EditPtr &e, StoreStatus status, const StoreObject &object) {
    auto current = listsOf(status, object);
    if (current)
      offer(*current);
    auto seen = editIds.find(e->edited->revision);
    if (seen != editIds.end()) {
      if (seen->second == e->editId)
        return accept(e);
      return answer(e, EditOutcome::Conflict, current ? current->revision : 0);
    }
    bool isReplaced = current && current->revision > e->edited->revision;
    if (isReplaced || env.now() >= e->giveUpAt)
      return answer(e, EditOutcome::Unknown, current ? current->revision : 0);
    if (current)
      return write(e);
    readLater(e);
  }

  void readLater(const EditPtr &e) {
    env.after(config::ConfigRetryInterval, guarded([e](Impl &impl) { impl.readFor(e); }));
  }

  void accept(const EditPtr &e) {
    auto revision = e->edited->revision;
    isReady = true;
    offer(std::move(*e->edited));
    answer(e, EditOutcome::Accepted, revision);
  }

  void answer(const EditPtr &e, EditOutcome outcome, std::uint64_t revision = 0,
              ListErrors errors = {}) {
    env.decision({.kind = DecisionKind::Config,
                  .requestId = e->editId,
                  .chosen = std::to_string(revision),
                  .reason = std::string(toString(outcome))});
    e->done({.outcome = outcome,
             .revision = revision > 0 ? revision : lists->revision,
             .errors = std::move(errors),
             .readBack = e->uncertain});
  }
};

ConfigSync::ConfigSync(Env &env, ConfigSyncOptions options, Applied applied)
    : impl(std::make_shared<Impl>(env, std::move(options), std::move(applied))) {}

ConfigSync::~ConfigSync() { impl->stopped = true; }

void ConfigSync::start() { impl->start(); }

bool ConfigSync::ready() const { return impl->isReady; }

ListsPtr ConfigSync::current() const { return impl->lists; }

void ConfigSync::onRevisionSeen(std::uint64_t revision, const Address &from) {
  impl->onRevisionSeen(revision, from);
}

std::string ConfigSync::document() const { return impl->document(); }

void ConfigSync::edit(ListKind kind, std::string document, std::uint64_t expected, EditDone done) {
  impl->edit(kind, std::move(document), expected, std::move(done));
}

} // namespace catkin
