#include "planner_impl_p.h"

#include <boost/json.hpp>

/// Conditional updates of endpoints/<name> in the platform's store. Each endpoint has at most one
/// write in flight. A write contains all decisions made before it is sent.
namespace catkin {

namespace {

constexpr auto KeyPrefix = "endpoints/";
constexpr Duration WriteRetryInterval = std::chrono::milliseconds(250);
constexpr int MaxRefusedWrites = 4; // of one write; then the platform counts as down

std::string keyOf(const Endpoint &ep) { return KeyPrefix + ep.name.value; }

/// State under which a replica is stored.
ReplicaState recordedState(const Replica &r) {
  if (r.phase <= Phase::Loading)
    return ReplicaState::Intended;
  // A release that is only marked in the routing table can still be cancelled, unless a former
  // planner ordered it.
  bool decided = r.phase > Phase::Releasing || (r.phase == Phase::Releasing && r.unresolved);
  return decided ? ReplicaState::Releasing : ReplicaState::Loaded;
}

/// Throws if the object is malformed.
PlannedReplica decodeReplica(const boost::json::object &o) {
  auto state = parseEnum<ReplicaState>(std::string_view(o.at("state").as_string()));
  if (!state)
    throw std::invalid_argument("state");
  auto text = [&o](const char *key) { return std::string(o.at(key).as_string()); };
  return {.model = ModelName(text("model")),
          .base = ModelName(text("base")),
          .bytes = o.at("bytes").to_number<std::uint64_t>(),
          .state = *state,
          .term = o.at("term").to_number<std::uint64_t>(),
          .orderId = text("order_id"),
          .payer = PlanName(text("payer")),
          .unresolved = o.at("unresolved").as_bool()};
}

} // namespace

std::string encodeEndpointRecord(const EndpointRecord &record) {
  boost::json::array replicas;
  for (auto &it : record.replicas)
    replicas.push_back({{"model", it.model.value},
                        {"base", it.base.value},
                        {"bytes", it.bytes},
                        {"state", std::string(toString(it.state))},
                        {"term", it.term},
                        {"order_id", it.orderId},
                        {"payer", it.payer.value},
                        {"unresolved", it.unresolved}});
  return boost::json::serialize(boost::json::object{
      {"term", record.term}, {"write_id", record.writeId}, {"replicas", std::move(replicas)}});
}

std::optional<EndpointRecord> decodeEndpointRecord(std::string_view text) {
  try {
    auto value = boost::json::parse({text.data(), text.size()});
    auto &o = value.as_object();
    EndpointRecord r{.term = o.at("term").to_number<std::uint64_t>(),
                     .writeId = std::string(o.at("write_id").as_string())};
    for (auto &it : o.at("replicas").as_array())
      r.replicas.push_back(decodeReplica(it.as_object()));
    return r;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

/// Notes that the endpoint's record has to be written.
void Planner::Impl::markDirty(Endpoint &ep) {
  ep.dirty = true;
  dirtyRecords.insert(ep.name);
}

/// Writes the endpoint's record. Calls `done` with true once a record with all decisions made so
/// far is stored, or with false if it could not be stored.
void Planner::Impl::writeRecord(Endpoint &ep, std::function<void(bool)> done) {
  ep.nextWriteCallbacks.push_back(std::move(done));
  if (!ep.writeInFlight)
    startWrite(ep);
}

/// Writes some of the records that are out of date, at most RecordWritesPerSecond.
void Planner::Impl::flushRecords() {
  auto names = dirtyRecords;
  int writesLeft = config::RecordWritesPerSecond;
  for (auto &name : names) {
    if (writesLeft-- == 0)
      return;
    auto *ep = find(name);
    if (!ep || ep->recordMalformed) {
      dirtyRecords.erase(name);
      continue;
    }
    if (!ep->writeInFlight)
      startWrite(*ep);
    // While the platform is down, one write a second is enough to detect its return.
    if (platformDown)
      return;
  }
}

void Planner::Impl::startWrite(Endpoint &ep) {
  ep.writeInFlight = true;
  ep.dirty = false;
  dirtyRecords.erase(ep.name);
  ep.refusedWrites = 0;
  ep.writeCallbacks = std::exchange(ep.nextWriteCallbacks, {});
  encodeWrite(ep);
  sendWrite(ep);
}

void Planner::Impl::encodeWrite(Endpoint &ep) {
  ep.writeId = options.host.value + ":" + std::to_string(currentTerm) + ":" +
               std::to_string(++sequence) + ":" + std::to_string(env.random());
  EndpointRecord content{.term = currentTerm, .writeId = ep.writeId};
  for (auto &[model, r] : ep.replicas) {
    if (!r.isCommitted())
      continue;
    PlannedReplica copy = r;
    copy.state = recordedState(r);
    content.replicas.push_back(std::move(copy));
  }
  ep.writeValue = encodeEndpointRecord(content);
}

void Planner::Impl::sendWrite(Endpoint &ep) {
  auto done = [name = ep.name](Impl &self, StoreStatus status, const StoreObject &object) {
    if (auto *it = self.find(name))
      self.onWritten(*it, status, object);
  };
  env.platform().put(keyOf(ep), ep.writeValue, ep.recordVersion, bindToSession(done));
}

void Planner::Impl::onWritten(Endpoint &ep, StoreStatus status, const StoreObject &object) {
  switch (status) {
  case StoreStatus::Ok:
    ep.recordVersion = object.version;
    return finishWrite(ep, true);
  case StoreStatus::Conflict:
  case StoreStatus::NotFound:
  case StoreStatus::Unknown:
    return readRecordBack(ep);
  case StoreStatus::Refused: {
    if (++ep.refusedWrites >= MaxRefusedWrites)
      return finishWrite(ep, false);
    auto retry = [name = ep.name](Impl &self) {
      if (auto *it = self.find(name))
        self.sendWrite(*it);
    };
    return env.after(WriteRetryInterval, bindToSession(retry));
  }
  default:
    return finishWrite(ep, false);
  }
}

void Planner::Impl::readRecordBack(Endpoint &ep) {
  auto done = [name = ep.name](Impl &self, StoreStatus status, const StoreObject &object) {
    if (auto *it = self.find(name))
      self.onRecordReadBack(*it, status, object);
  };
  env.platform().get(keyOf(ep), bindToSession(done));
}

/// Determines from the stored object whether the write took effect. If it did not, the write is
/// repeated with the version that was read, so that the first write can no longer take effect, and
/// with the decisions made since.
void Planner::Impl::onRecordReadBack(Endpoint &ep, StoreStatus status, const StoreObject &object) {
  if (status == StoreStatus::NotFound) {
    ep.recordVersion = 0;
    encodeWrite(ep);
    return sendWrite(ep);
  }
  if (status != StoreStatus::Ok)
    return finishWrite(ep, false);
  auto stored = decodeEndpointRecord(object.value);
  if (!stored) {
    ep.recordMalformed = true;
    log(DecisionKind::Placement, {}, ep.name.value, "record is malformed; endpoint not used");
    return finishWrite(ep, false);
  }
  if (stored->term > currentTerm)
    return onStaleTerm();
  bool changed = object.version != ep.recordVersion;
  ep.recordVersion = object.version;
  if (stored->writeId == ep.writeId)
    return finishWrite(ep, true);
  // A write of a former planner took effect after this planner had read the record.
  if (changed && stored->term < currentTerm)
    mergeRecord(ep, *stored);
  encodeWrite(ep);
  sendWrite(ep);
}

/// Ends a write: calls its callbacks and starts the next one if requested.
void Planner::Impl::finishWrite(Endpoint &ep, bool ok) {
  auto name = ep.name;
  ep.writeInFlight = false;
  platformDown = !ok && !ep.recordMalformed;
  if (!ok)
    markDirty(ep);
  auto done = std::exchange(ep.writeCallbacks, {});
  for (auto &it : done)
    it(ok);
  auto *now = find(name);
  if (now && isLeading && !now->writeInFlight && !now->nextWriteCallbacks.empty())
    startWrite(*now);
}

} // namespace catkin
