#pragma once

#include "team_directory_p.h"
#include "types_p.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Data types of the fleet: the configuration of routes and services, the endpoints behind them and
/// the models that engines hold. A deployment's adapter fills them in; all other code only reads
/// them.
namespace catkin {

/// What requests may have in common that crashes an engine, from what few of them share to what
/// many do.
enum class TraitKind {
  ExactRequest, ///< target, caller, body and all headers that a repeat of the request keeps
  Request,      ///< target, caller and body
  PromptPart,   ///< a part of the prompt
  Count
};
template <> struct EnumNames<TraitKind> {
  static constexpr std::array<std::string_view, 3> Table{"exact_request", "request", "prompt_part"};
};

/// A property by which requests that crash engines are recognised. Ordered by kind first.
struct RequestTrait {
  TraitKind kind = TraitKind::PromptPart;
  std::uint64_t id = 0; ///< of the part, or a hash of the request
  friend auto operator<=>(const RequestTrait &, const RequestTrait &) = default;
};
/// Returns the trait as a short text for logs and messages: a hexadecimal number, after a letter
/// for the kinds other than parts of prompts.
std::string traitText(const RequestTrait &trait);
/// Parses the result of traitText(). Empty if the text is not one.
std::optional<RequestTrait> parseTrait(std::string_view text);

/// Kind of a route's calls. It decides what may be retried after a failure of unknown outcome.
enum class CallKind { Idempotent, NonIdempotent, Stream, Count };
template <> struct EnumNames<CallKind> {
  static constexpr std::array<std::string_view, 3> Table{"idempotent", "non_idempotent", "stream"};
};

/// A service of a route and its share of the traffic.
struct ServiceWeight {
  ServiceName service;
  double weight = 1; ///< relative to the weights of the route's other services
};

/// Rules for the requests of one host name and path prefix.
struct FleetRoute {
  std::string name;
  std::string host;       ///< value of the Host header
  std::string pathPrefix; ///< begins and ends with a slash
  CallKind kind = CallKind::Idempotent;
  Duration timeout{};     ///< longest time to serve a request, counted from its arrival
  Duration objective{};   ///< latency objective of the answer, or of the first event of a stream
  Duration eventGap{};    ///< objective for the pause between two events of a stream
  int priority = 0;       ///< 0 is the highest
  int maxEndpoints = 1;   ///< one request is sent to at most this many endpoints
  bool resumable = false; ///< a broken stream may continue at another endpoint
  bool keyless = false;   ///< requests need no API key
  std::vector<ServiceWeight> services;
};

/// Size of a model and its load times by the source of the weights.
struct ModelSpec {
  ModelName name;
  double megabytes = 0;
  Duration remoteLoad{}; ///< from the weight store, while that is not busy
  Duration diskLoad{};
  Duration memoryLoad{};
  double adapterMegabytes = 0; ///< of each adapter
};

/// Limits of each engine of a service and the models that it may load.
struct EngineSpec {
  double megabytes = 0;      ///< for models and adapters together
  int maxAdapters = 0;       ///< that an engine can hold, over all its models
  double tokens = 0;         ///< of the requests that an engine can hold; 0 if not known
  double loadsPerSecond = 1; ///< limit of the weight store, over all engines
  std::map<ModelName, ModelSpec> models;
};

/// A service that routes refer to.
struct FleetService {
  ServiceName name;
  bool hasEngines = false; ///< its endpoints are model engines
  EngineSpec engine;       ///< only if it has engines
};

/// The configuration of all routes and services.
struct FleetConfig {
  std::uint64_t version = 0; ///< grows with each change
  std::vector<FleetRoute> routes;
  std::map<ServiceName, FleetService> services;
  TeamDirectory teams; ///< empty if requests need no key
};

/// Size of a request to a model.
struct TokenCount {
  std::int64_t prompt = 0;
  std::int64_t output = 0; ///< at most
};

/// A model in an engine's memory and its loaded adapters.
struct HeldModel {
  ModelName model;
  std::vector<std::string> adapters;
  friend bool operator==(const HeldModel &, const HeldModel &) = default;
};

/// The models in an engine's memory after it had accepted `orderCount` orders.
struct LoadedModels {
  std::uint64_t orderCount = 0;
  std::vector<HeldModel> models;
};

/// Models that an engine has in its memory or in its caches, at one point in time.
struct EngineHoldings {
  std::uint64_t orderCount = 0; ///< orders accepted since the engine started
  std::vector<HeldModel> models;
  std::vector<ModelName> inMemory; ///< copies of weights in host memory
  std::vector<ModelName> onDisk;
};

/// An endpoint as it has registered itself.
struct FleetEndpoint {
  EndpointName name;
  ServiceName service;
  Address address;
  DataCentreName dataCentre;
  SoftwareVersion softwareVersion;
  int slots = 1; ///< at least 1
  Liveness liveness = Liveness::Live;
  std::uint64_t incarnation = 0;
  std::int64_t startedAtSeconds = 0; ///< Unix time by the endpoint's clock
  StoreRevision revision;            ///< of this registration
  EngineHoldings holdings;
};

/// One incarnation of an endpoint: the time between two of its restarts.
struct EndpointIncarnation {
  EndpointName endpoint;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const EndpointIncarnation &, const EndpointIncarnation &) = default;
};

/// Returns the incarnation that the registration describes.
EndpointIncarnation incarnationOf(const FleetEndpoint &entry);

/// What an endpoint says about itself in the head of any answer.
struct EndpointAnnouncements {
  bool leaving = false; ///< it is about to stop
  /// Requests a second that it takes from all hosts together. Empty if it names no limit.
  std::optional<double> requestsPerSecond;
  bool limitIsUnreadable = false; ///< it names a limit that is not a number of at least 0
  /// It has served a request and names no limit. Other answers without one leave a limit in force,
  /// since an endpoint may name it in the answers to requests only.
  bool servesWithoutLimit = false;
};

/// An engine's report about itself. It is some hundred milliseconds old.
struct EngineStatus {
  std::uint64_t incarnation = 0;
  bool busy = false; ///< the engine is carrying out an order
  EngineHoldings holdings;
};

/// A model with one of its adapters, or the base model if `adapter` is empty.
struct ModelRef {
  ModelName model;
  std::string adapter;
  bool empty() const { return model.empty(); }
  friend auto operator<=>(const ModelRef &, const ModelRef &) = default;
};
/// Returns "model/adapter", or "model" for a base model.
std::string toText(const ModelRef &ref);
/// Parses the format of toText().
ModelRef parseModelRef(std::string_view text);

/// Returns the route of `host` with the longest prefix of the path; null if no route matches.
/// `target` may contain a query string.
const FleetRoute *findRoute(const FleetConfig &config, std::string_view host,
                            std::string_view target);

/// Returns the time after which the caller of a stream disconnects if it gets no first event, or no
/// further event.
Duration streamCallerTimeout(const FleetRoute &route);

/// Chooses one of the route's services at random, by weight. `random` is uniformly distributed.
const ServiceName &pickService(const FleetRoute &route, std::uint64_t random);

/// Returns true if `models` contains the model and, if `ref` names one, the adapter.
bool holds(const std::vector<HeldModel> &models, const ModelRef &ref);
/// Adds the adapter to its model. Does nothing if the model is absent or already has the adapter.
void addAdapter(std::vector<HeldModel> &models, const ModelRef &ref);
/// Removes only the adapter if `ref` names one, else the model with all its adapters.
void removeModelOrAdapter(std::vector<HeldModel> &models, const ModelRef &ref);

/// Where an engine loads a model's weights from. Remote is the weight store.
enum class WeightSource { Memory, Disk, Remote };
/// Returns the fastest source that has the model's weights.
WeightSource sourceOf(const EngineHoldings &holdings, const ModelName &model);
Duration loadTime(const ModelSpec &model, WeightSource source);

/// Returns the megabytes of memory that models and adapters use. A model that the spec does not
/// list counts as the memory of a whole engine, so that nothing is loaded beside it.
double usedMegabytes(const EngineSpec &spec, const std::vector<HeldModel> &models);
/// Returns the number of loaded adapters, over all models.
int countAdapters(const std::vector<HeldModel> &models);

} // namespace catkin
