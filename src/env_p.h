#pragma once

#include "types_p.h"

#include <map>
#include <string>
#include <vector>

/// The narrow interfaces through which decision code reaches time, randomness, the platform, other
/// hosts and endpoints. The daemon implements them on Asio (real_env.cpp), the tests by fakes.
/// Every callback runs later, never inside the call that takes it.
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

/// An object with its version. Versions of one object only grow; 0 means "does not exist".
struct StoreObject {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

using StoreGetDone = std::function<void(StoreStatus, StoreObject)>;
using StoreListDone = std::function<void(StoreStatus, std::vector<StoreObject>)>;

/// Client of the platform's object API.
/// Single objects of the platform's store.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  virtual void get(const std::string &key, StoreGetDone done) = 0;
  /// Writes if the current version is `expected` (0: only if absent). On Ok the object carries the
  /// new version.
  virtual void put(const std::string &key, std::string value, std::uint64_t expected,
                   StoreGetDone done) = 0;
  virtual void erase(const std::string &key, std::uint64_t expected, StoreGetDone done) = 0;
};

class Platform : public ObjectStore {
public:
  /// All objects whose key starts with `prefix`.
  virtual void list(const std::string &prefix, StoreListDone done) = 0;
  /// Answers Ok as soon as the version exceeds `after`, NotFound if unchanged for `maxWait`.
  virtual void watch(const std::string &key, std::uint64_t after, Duration maxWait,
                     StoreGetDone done) = 0;
};

// ---- The platform's lagging list of hosts and endpoints ----------------------------------------

enum class ListedKind { Host, Engine, Service, Count };
template <> struct EnumNames<ListedKind> {
  static constexpr std::array<std::string_view, 3> Table{"host", "engine", "service"};
};

/// One entry of the list. The list lags and may show an entry as live after it has gone.
struct ListedNode {
  ListedKind kind = ListedKind::Engine;
  std::string name;    ///< host or endpoint name; for a service instance its endpoint name
  ServiceName service; ///< only for ListedKind::Service
  Address address;
  DataCentreName dataCentre;
  Liveness liveness = Liveness::Live;
};

using HostListDone = std::function<void(StoreStatus, std::vector<ListedNode>)>;

/// Reader of the host list.
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
  virtual void call(const Address &to, const std::string &method, std::string paramsJson,
                    Duration timeout, RpcDone done) = 0;
};

// ---- Endpoints ---------------------------------------------------------------------------------

enum class OrderKind { Claim, Load, Unload, Count };
template <> struct EnumNames<OrderKind> {
  static constexpr std::array<std::string_view, 3> Table{"claim", "load", "unload"};
};

/// An order to a model engine. `term` is the fencing token; engines that check it refuse an order
/// whose term is below the highest they have seen. Claim only raises that term. Load and unload are
/// idempotent.
struct EngineOrder {
  OrderKind kind = OrderKind::Claim;
  std::uint64_t term = 0;
  std::string orderId;
  ModelName model;
  ModelName base; ///< for an adapter: the base model that must be loaded first
  std::uint64_t bytes = 0;
};

enum class OrderStatus {
  Ok,          ///< accepted; a load has started or was already there
  StaleTerm,   ///< refused by fencing
  NoMemory,    ///< refused: would overcommit accelerator memory
  Busy,        ///< unload refused: requests in progress
  NotFound,    ///< unload or adapter load of a model that is not there
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

/// What an engine reports about itself. Load figures lag.
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
  std::vector<ModelName> diskCache;
  int running = 0;
  int queued = 0;
};

using OrderDone = std::function<void(OrderStatus, EndpointReport)>; ///< report as of the answer
using StatusDone = std::function<void(bool reached, EndpointReport)>;

/// Sends orders to model engines and reads their status.
class Engines {
public:
  virtual ~Engines() = default;
  virtual void order(const Address &to, const EngineOrder &order, OrderDone done) = 0;
  virtual void status(const Address &to, StatusDone done) = 0;
};

// ---- Decision log ------------------------------------------------------------------------------

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

// ---- Everything together -----------------------------------------------------------------------

using Task = std::function<void()>;

/// Time, randomness, the platform's store and the decision log.
class CoreEnv {
public:
  virtual ~CoreEnv() = default;
  virtual Instant now() const = 0;
  /// Wall-clock seconds since 1970, for stored timestamps and daily patterns only.
  virtual std::int64_t wallSeconds() const = 0;
  virtual std::uint64_t random() = 0;
  /// Runs `task` once after `d`. There is no cancel: tasks check whether they are still wanted.
  virtual void after(Duration d, Task task) = 0;
  virtual ObjectStore &platform() = 0;
  virtual void decision(const Decision &d) = 0;
};

/// All of a host's surroundings.
class Env : public CoreEnv {
public:
  Platform &platform() override = 0;
  virtual HostList &hostList() = 0;
  virtual Peers &peers() = 0;
  virtual Engines &engines() = 0;
};

} // namespace catkin
