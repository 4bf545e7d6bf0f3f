#pragma once

#include "types_p.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Strategy objects of the planner: how long an idle replica is kept and where a cold model is
/// placed. Each registers itself in a creator table under the name used by the setting.
namespace catkin {

/// How the deployment weighs the two measures.
struct PolicyWeights {
  double coldSecond = 1.0;  ///< cost of one second that a request waits for a cold start
  double idleSecond = 0.01; ///< cost of one accelerator second that a loaded replica is idle
  Duration fixedKeepAlive = std::chrono::seconds(300); ///< only for the fixed rule
};

/// What a retention rule may look at when asked about one replica.
struct RetentionInput {
  ModelName model;
  Instant lastUse;           ///< end of the last request
  Duration loadTime;         ///< expected time of the next cold start if released
  double accelerators = 1.0; ///< share of accelerators that the replica keeps busy
  Instant now;
  std::int64_t wallSeconds = 0; ///< for daily patterns
};

/// Decides how long idle replicas stay and which models are loaded ahead of use. Keeps bounded
/// state per model.
class RetentionPolicy {
public:
  virtual ~RetentionPolicy() = default;
  /// Called for each batch of `n` arrivals for a model.
  virtual void onArrivals(const ModelName &model, unsigned n, Instant now,
                          std::int64_t wallSeconds) = 0;
  /// True if the idle replica should be released now.
  virtual bool shouldRelease(const RetentionInput &in) = 0;
  /// Value of keeping the replica; under memory pressure the lowest goes first.
  virtual double keepValue(const RetentionInput &in) = 0;
  /// Models that should be loaded now although nobody waits for them.
  virtual std::vector<ModelName> prewarm(Instant now, std::int64_t wallSeconds) = 0;
  /// History of all models as JSON, for handing to the next planner; and its inverse.
  virtual std::string saveHistory() const { return {}; }
  virtual void restoreHistory(std::string_view json) { (void)json; }
};

/// One endpoint considered for a load.
struct PlacementCandidate {
  EndpointName endpoint;
  DataCentreName dataCentre;
  CopySource source = CopySource::Remote;
  int generation = 1;
  std::uint64_t freeBytes = 0;
  std::uint64_t loadBytes = 0; ///< bytes to load, base included if it is missing
  double evictionCost = 0;     ///< keepValue of the replicas that must go first
  Duration storeQueue{0};      ///< wait at the weight store if the copy is remote
  Duration expectedLoad{0};    ///< load time after the queue
  int running = 0;             ///< requests on the endpoint
  bool baseLoaded = false;     ///< adapters: the base is already there
  bool checksFencing = true;
  bool sameDataCentre = true; ///< as the host that asked
};

/// Ranks candidates. The lowest cost wins; ties go to the lower endpoint name.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  virtual double cost(const PlacementCandidate &c) const = 0;
};

using RetentionCreator = std::unique_ptr<RetentionPolicy> (*)(const PolicyWeights &);
using PlacementCreator = std::unique_ptr<PlacementPolicy> (*)(const PolicyWeights &);

/// Adds a rule to the creator table. Called from static initialisers of the rule's own file.
bool registerRetentionPolicy(std::string_view name, RetentionCreator creator);
bool registerPlacementPolicy(std::string_view name, PlacementCreator creator);

/// Creates a rule by name; null if there is none.
std::unique_ptr<RetentionPolicy> createRetentionPolicy(std::string_view name,
                                                       const PolicyWeights &weights);
std::unique_ptr<PlacementPolicy> createPlacementPolicy(std::string_view name,
                                                       const PolicyWeights &weights);
std::vector<std::string> retentionPolicyNames();
std::vector<std::string> placementPolicyNames();

} // namespace catkin
