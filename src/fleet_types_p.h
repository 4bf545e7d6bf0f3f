#pragma once

#include "types_p.h"

#include <map>
#include <string>
#include <vector>

/// What the fleet side of a host knows of its surroundings: the configuration of routes and
/// services, the endpoints behind them and the models that engines hold. Plain data; the adapter of
/// a deployment fills it in, and everything else only reads it.
namespace catkin {

/// What may be repeated after a failure of unknown outcome.
enum class CallKind { Idempotent, NonIdempotent, Stream, Count };
template <> struct EnumNames<CallKind> {
  static constexpr std::array<std::string_view, 3> Table{"idempotent", "non_idempotent", "stream"};
};

struct ServiceWeight {
  ServiceName service;
  double weight = 1;
};

struct FleetRoute {
  std::string name;
  std::string host;       ///< value of the Host header
  std::string pathPrefix; ///< begins and ends with a slash
  CallKind kind = CallKind::Idempotent;
  Duration timeout{};   ///< longest time that a request is kept
  Duration objective{}; ///< latency objective: to the answer, or to the first event of a stream
  Duration eventGap{};  ///< longest pause between events of a stream that is still on time
  int priority = 0;     ///< 0 is the most urgent
  int maxEndpoints = 1; ///< one request is sent to at most this many endpoints
  bool resumable = false;
  std::vector<ServiceWeight> services;
};

struct ModelSpec {
  ModelName name;
  double megabytes = 0;
  Duration remoteLoad{}; ///< from the weight store, when it is not busy
  Duration diskLoad{};
  Duration memoryLoad{};
  double adapterMegabytes = 0;
};

/// Limits of each engine of a service and the models that it may load.
struct EngineSpec {
  double megabytes = 0; ///< for models and adapters together
  int maxAdapters = 0;
  double loadsPerSecond = 1; ///< that the weight store allows over all engines
  std::map<ModelName, ModelSpec> models;
};

struct FleetService {
  ServiceName name;
  bool hasEngines = false;
  EngineSpec engine;
};

struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<FleetRoute> routes;
  std::map<ServiceName, FleetService> services;
};

/// A model in an engine's memory with its adapters.
struct HeldModel {
  ModelName model;
  std::vector<std::string> adapters;
  friend bool operator==(const HeldModel &, const HeldModel &) = default;
};

/// The models in an engine's memory once it had accepted so many orders.
struct LoadedModels {
  std::uint64_t orderCount = 0;
  std::vector<HeldModel> models;
};

/// What an engine holds, as of one moment.
struct EngineHoldings {
  std::uint64_t orderCount = 0; ///< orders accepted since the engine started
  std::vector<HeldModel> models;
  std::vector<ModelName> inMemory; ///< copies of weights in host memory
  std::vector<ModelName> onDisk;
};

/// An endpoint as it registered itself.
struct FleetEndpoint {
  EndpointName name;
  ServiceName service;
  Address address;
  DataCentreName dataCentre;
  int slots = 1;
  Liveness liveness = Liveness::Live;
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0; ///< of the store, at which this registration was written
  EngineHoldings holdings;
};

/// An engine's report about itself. It lags by some hundred milliseconds.
struct EngineStatus {
  std::uint64_t incarnation = 0;
  bool busy = false;    ///< an order is being carried out
  bool leaving = false; ///< it is about to end
  EngineHoldings holdings;
};

/// A model with one of its adapters, or the bare model if `adapter` is empty.
struct ModelRef {
  ModelName model;
  std::string adapter;
  bool empty() const { return model.empty(); }
  friend auto operator<=>(const ModelRef &, const ModelRef &) = default;
};
std::string toText(const ModelRef &ref);
/// Splits "model/adapter".
ModelRef parseModelRef(std::string_view text);

/// The route with the longest prefix among those of `host`; null if none fits. `target` may carry a
/// query.
const FleetRoute *findRoute(const FleetConfig &config, std::string_view host,
                            std::string_view target);

/// How long a caller of a stream waits for its first event or between two events before it leaves.
Duration streamCallerTimeout(const FleetRoute &route);

/// Picks a service by weight; `random` is any number.
const ServiceName &pickService(const FleetRoute &route, std::uint64_t random);

/// True if `models` has the model and, if named, the adapter.
bool holds(const std::vector<HeldModel> &models, const ModelRef &ref);
/// Adds the adapter to its model, if that is there and does not have it yet.
void addAdapter(std::vector<HeldModel> &models, const ModelRef &ref);
/// Removes the model with its adapters, or only the adapter if one is named.
void removeModelOrAdapter(std::vector<HeldModel> &models, const ModelRef &ref);

/// Where an engine would load a model's weights from.
enum class WeightSource { Memory, Disk, Remote };
WeightSource sourceOf(const EngineHoldings &holdings, const ModelName &model);
Duration loadTime(const ModelSpec &model, WeightSource source);

/// Megabytes that models and adapters take up. A model that the spec does not list counts as a
/// whole engine, so that nothing is loaded beside it.
double usedMegabytes(const EngineSpec &spec, const std::vector<HeldModel> &models);
int countAdapters(const std::vector<HeldModel> &models);

} // namespace catkin
