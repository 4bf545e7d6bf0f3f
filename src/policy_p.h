#pragma once

#include "types_p.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Retention and placement policies of the planner. A retention policy decides how long an idle
/// replica is kept, a placement policy where a cold model is loaded. Each policy registers a
/// factory function under the name that the settings use.
namespace catkin {

/// Weights of request latency against accelerator use. Costs have an arbitrary common unit.
struct PolicyWeights {
  double coldSecond = 1.0;  ///< cost of one second that a request waits for a cold start
  double idleSecond = 0.01; ///< cost of one accelerator second that a loaded replica is idle
  Duration fixedKeepAlive = std::chrono::seconds(300); ///< only for the fixed policy
};

/// Input of a retention policy about one replica.
struct RetentionInput {
  ModelName model;
  Instant lastUse;               ///< end of the last request
  Duration loadTime;             ///< expected duration of the next cold start after a release
  double acceleratorShare = 1.0; ///< share of the endpoint's accelerators that the replica takes
  Instant now;
  std::int64_t wallSeconds = 0; ///< wall-clock time, for daily patterns
};

/// Decides how long idle replicas are kept and which models are loaded ahead of use. The state per
/// model is bounded.
class RetentionPolicy {
public:
  virtual ~RetentionPolicy() = default;
  /// Records `n` requests that arrived for a model.
  virtual void onArrivals(const ModelName &model, unsigned n, Instant now,
                          std::int64_t wallSeconds) = 0;
  /// True if the idle replica should be released now.
  virtual bool shouldRelease(const RetentionInput &in) = 0;
  /// Value of keeping the replica. Under memory pressure the lowest value is released first.
  virtual double keepValue(const RetentionInput &in) = 0;
  /// Models that should be loaded now although no request waits for them.
  virtual std::vector<ModelName> prewarm(Instant now, std::int64_t wallSeconds) = 0;
  /// Returns the usage history of all models as JSON, for the next planner.
  virtual std::string saveHistory() const { return {}; }
  /// Replaces the usage history by the result of saveHistory().
  virtual void restoreHistory(std::string_view json) { (void)json; }
};

/// An endpoint that could load a model, with the figures that its cost depends on.
struct PlacementCandidate {
  EndpointName endpoint;
  DataCentreName dataCentre;
  CopySource source = CopySource::Remote;
  int generation = 1;
  std::uint64_t freeBytes = 0;
  std::uint64_t loadBytes = 0; ///< bytes to load, including a missing base
  double evictionCost = 0;     ///< sum of keepValue of the replicas to release first
  Duration storeQueue{0};      ///< wait for the weight store if the copy is remote
  Duration expectedLoad{0};    ///< load time without storeQueue
  int running = 0;             ///< requests in progress on the endpoint
  bool baseLoaded = false;     ///< for an adapter: the base is on the endpoint
  bool checksFencing = true;
  bool sameDataCentre = true; ///< as the requesting host
};

/// Ranks candidates: the lowest cost is chosen, and among equals the lowest endpoint name.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  /// Cost of a load on the candidate, in the unit of PolicyWeights.
  virtual double cost(const PlacementCandidate &c) const = 0;
};

using RetentionCreator = std::unique_ptr<RetentionPolicy> (*)(const PolicyWeights &);
using PlacementCreator = std::unique_ptr<PlacementPolicy> (*)(const PolicyWeights &);

/// Registers a policy. Called by static initialisers in the policy's source file. False if the name
/// is taken or `creator` is null.
bool registerRetentionPolicy(std::string_view name, RetentionCreator creator);
bool registerPlacementPolicy(std::string_view name, PlacementCreator creator);

/// Creates a policy by name. Returns null if there is none of that name.
std::unique_ptr<RetentionPolicy> createRetentionPolicy(std::string_view name,
                                                       const PolicyWeights &weights);
std::unique_ptr<PlacementPolicy> createPlacementPolicy(std::string_view name,
                                                       const PolicyWeights &weights);
/// Names of all registered policies in alphabetical order.
std::vector<std::string> retentionPolicyNames();
std::vector<std::string> placementPolicyNames();

} // namespace catkin
