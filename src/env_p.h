#pragma once

#include "types_p.h"

#include <map>
#include <string>
#include <vector>

/// Interfaces through which decision code uses time, randomness, the platform, other hosts and
/// endpoints. The daemon implements them on Asio (real_env.cpp), tests implement them by fakes.
/// Every callback runs after the call that takes it has returned, never within it.
namespace catkin {

// ---- Platform's object API -------------------------------------------------------------------

/// Result of a call to the object API.
enum class StoreStatus {
  Ok,
  Conflict,    ///< the expected version was not the current one; nothing was written
  NotFound,    ///< no such object
  Refused,     ///< rejected for another reason (size, call budget); nothing was written
  Unreachable, ///< nothing was sent, so nothing was written
  Unknown,     ///< sent but not answered: a write may or may not have taken effect
  Count
};
template <> struct EnumNames<StoreStatus> {
  static constexpr std::array<std::string_view, 6> Table{"ok",      "conflict",    "not_found",
                                                         "refused", "unreachable", "unknown"};
};

/// An object with its version. The version grows with each write; 0 means that the object does not
/// exist.
struct StoreObject {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  /// Number of times that the store has come back from an older copy, at the time of the answer.
  /// Versions go back with the copy. 0 also if the store does not tell.
  std::uint64_t era = 0;
};

using StoreGetDone = std::function<void(StoreStatus, StoreObject)>;
using StoreListDone = std::function<void(StoreStatus, std::vector<StoreObject>)>;

/// Reads and conditional writes of single objects in the platform's store.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  virtual void get(const std::string &key, StoreGetDone done) = 0;
  /// Writes the object if its current version is `expected` (0: if it does not exist). On Ok, the
  /// object passed to `done` has the new version.
  virtual void put(const std::string &key, std::string value, std::uint64_t expected,
                   StoreGetDone done) = 0;
  /// Erases the object if its current version is `expected`.
  virtual void erase(const std::string &key, std::uint64_t expected, StoreGetDone done) = 0;
};

/// Client of the platform's object API, which also lists and watches objects.
class Platform : public ObjectStore {
public:
  /// Reads all objects whose key starts with `prefix`.
  virtual void list(const std::string &prefix, StoreListDone done) = 0;
  /// Reports Ok as soon as the object's version exceeds `after`, and NotFound if the object has not
  /// changed for `maxWait`.
  virtual void watch(const std::string &key, std::uint64_t after, Duration maxWait,
                     StoreGetDone done) = 0;
};

// ---- The platform's list of hosts and endpoints ------------------------------------------------

/// Kind of an entry in the platform's list.
enum class ListedKind { Host, Engine, Service, Count };
template <> struct EnumNames<ListedKind> {
  static constexpr std::array<std::string_view, 3> Table{"host", "engine", "service"};
};

/// One entry of the list. The list lags: an entry may still be shown as live after its host or
/// endpoint has gone.
struct ListedNode {
  ListedKind kind = ListedKind::Engine;
  std::string name;    ///< host or endpoint name; for a service instance its endpoint name
  ServiceName service; ///< only for ListedKind::Service
  Address address;
  DataCentreName dataCentre;
  Liveness liveness = Liveness::Live;
};

using HostListDone = std::function<void(StoreStatus, std::vector<ListedNode>)>;

/// Reads the platform's list of hosts and endpoints.
class HostList {
public:
  virtual ~HostList() = default;
  virtual void read(HostListDone done) = 0;
};

// ---- Other hosts -----------------------------------------------------------------------------

/// Result of a call to another host.
enum class RpcStatus { Ok, Error, Unreachable, Timeout, Count };
template <> struct EnumNames<RpcStatus> {
  static constexpr std::array<std::string_view, 4> Table{"ok", "error", "unreachable", "timeout"};
};

using RpcDone = std::function<void(RpcStatus, std::string resultJson)>;

/// JSON-RPC client to other hosts. Parameters and results are JSON objects in text form.
class Peers {
public:
  virtual ~Peers() = default;
  /// Calls `method` on the host at `to`. Reports Timeout if no reply comes within `timeout`.
  virtual void call(const Address &to, const std::string &method, std::string paramsJson,
                    Duration timeout, RpcDone done) = 0;
};

// ---- Endpoints ---------------------------------------------------------------------------------

/// Kind of an order to an engine.
enum class OrderKind { Claim, Load, Unload, Count };
template <> struct EnumNames<OrderKind> {
  static constexpr std::array<std::string_view, 3> Table{"claim", "load", "unload"};
};

/// An order to a model engine. `term` is the fencing token: an engine that checks it refuses an
/// order whose term is lower than the highest one it has received. Claim only raises that term.
/// Load and unload are idempotent.
struct EngineOrder {
  OrderKind kind = OrderKind::Claim;
  std::uint64_t term = 0;
  std::string orderId;
  ModelName model;
  ModelName base; ///< for an adapter: the base model that must be loaded first
  std::uint64_t bytes = 0;
};

/// Result of an order to an engine.
enum class OrderStatus {
  Ok,          ///< accepted; the load has started, or the model was already loaded
  StaleTerm,   ///< refused by fencing
  NoMemory,    ///< refused: the load would overcommit accelerator memory
  Busy,        ///< unload refused: requests are in progress
  NotFound,    ///< the model to unload, or the base of the adapter to load, is not loaded
  Unreachable, ///< nothing was sent
  Unknown,     ///< sent but not answered
  Count
};
template <> struct EnumNames<OrderStatus> {
  static constexpr std::array<std::string_view, 7> Table{
      "ok", "stale_term", "no_memory", "busy", "not_found", "unreachable", "unknown"};
};

/// A model or adapter in an engine's accelerator memory.
struct EngineModel {
  ModelName model;
  bool ready = false; ///< false while loading
  std::uint64_t bytes = 0;
  int inFlight = 0;
};

/// Report of an engine about itself. The figures about load lag.
struct EndpointReport {
  EndpointName endpoint;
  std::uint64_t incarnation = 0; ///< changes when the engine restarts with empty memory
  bool checksFencing = false;
  bool leaving = false;
  int generation = 1; ///< accelerator generation; higher is faster
  std::uint64_t term = 0;
  std::uint64_t memoryBytes = 0;
  std::vector<EngineModel> models;
  std::vector<ModelName> memoryCache; ///< checkpoints in host memory
  std::vector<ModelName> diskCache;   ///< checkpoints on the local disk
  int running = 0;
  int queued = 0;
};

using OrderDone = std::function<void(OrderStatus, EndpointReport)>; ///< report sent with the answer
using StatusDone = std::function<void(bool reached, EndpointReport)>;

/// Sends orders to model engines and reads their status.
class Engines {
public:
  virtual ~Engines() = default;
  virtual void order(const Address &to, const EngineOrder &order, OrderDone done) = 0;
  virtual void status(const Address &to, StatusDone done) = 0;
};

// ---- Decision log ------------------------------------------------------------------------------

/// Kind of a decision in the decision log.
enum class DecisionKind { Route, Placement, Release, Admission, Lease, Quota, Config, Call, Count };
template <> struct EnumNames<DecisionKind> {
  static constexpr std::array<std::string_view, 8> Table{
      "route", "placement", "release", "admission", "lease", "quota", "config", "call"};
};

/// One line of the decision log.
struct Decision {
  DecisionKind kind = DecisionKind::Route;
  std::string requestId;
  PlanName plan;
  ModelName model;
  std::string chosen; ///< endpoint, host or version chosen; empty if none
  std::vector<std::string> alternatives;
  std::string reason;
};

// ---- Environment -------------------------------------------------------------------------------

using Task = std::function<void()>;

/// Time, randomness, the platform's store and the decision log.
class CoreEnv {
public:
  virtual ~CoreEnv() = default;
  virtual Instant now() const = 0;
  /// Time of a clock that also advances while the machine is suspended. Its origin may differ from
  /// that of now().
  virtual Instant bootTime() const { return now(); }
  /// Seconds since 1970 of the wall clock, for stored timestamps and daily patterns only.
  virtual std::int64_t wallSeconds() const = 0;
  virtual std::uint64_t random() = 0;
  /// Runs `task` once after `d`. A task cannot be cancelled; it checks whether it is still needed.
  virtual void after(Duration d, Task task) = 0;
  virtual ObjectStore &platform() = 0;
  /// Adds `d` to the decision log.
  virtual void decision(const Decision &d) = 0;
};

/// All interfaces that the decision code of a host uses.
class Env : public CoreEnv {
public:
  Platform &platform() override = 0;
  virtual HostList &hostList() = 0;
  virtual Peers &peers() = 0;
  virtual Engines &engines() = 0;
};

} // namespace catkin
