#pragma once

#include "control_p.h"
#include "harness_p.h"

#include <memory>
#include <string>
#include <vector>

/// Several hosts' control loops over one World, with a scripted load on top.
namespace catkin::harness {

struct ClusterOptions {
  std::uint64_t seed = 1;
  int hosts = 4;
  int engines = 4;
  int models = 6;
  int adapters = 0;            ///< of model 0
  std::uint64_t unitBytes = 1; ///< a model has 30 units, an engine 100
  bool mixedFencing = true;    ///< every second engine ignores fencing tokens
  Guards guards;
};

struct TestHost {
  Member self;
  std::shared_ptr<Process> process;
  std::unique_ptr<Control> control;
  std::vector<RouteEntry> table;
  std::vector<HostShare> shares;
  std::vector<std::uint64_t> revisions; ///< in the order in which they came into force
  bool running = false;
};

class Cluster {
public:
  explicit Cluster(const ClusterOptions &options);

  /// Starts hosts, writes lists and runs until every host is ready. False if that takes too long.
  bool startAll();
  void start(std::size_t host);
  void kill(std::size_t host);
  /// Kills and starts again as a new process, as the platform does with a replaced host.
  void restart(std::size_t host);

  /// Hosts that act as planner and may order endpoints that ignore fencing, at this moment.
  std::size_t activePlanners() const;
  int plannerIndex() const; ///< -1: none
  bool isLoaded(std::size_t host, const ModelName &model) const;
  void ensure(std::size_t host, const ModelName &model, Duration remaining,
              std::function<void(const EnsureReply &)> done = {});
  /// The list of plans, with the grant's concurrency.
  std::string plansDocument(int concurrency) const;
  /// Writes lists as an operator would, directly in the platform.
  void putLists(std::uint64_t revision, const std::string &editId);
  void setHostListed(std::size_t host, Liveness liveness, Duration lag);

  static ModelName model(int i) { return ModelName("model-" + std::to_string(i)); }
  static ModelName adapter(int i) { return ModelName("adapter-" + std::to_string(i)); }
  static EndpointName engineName(int i) { return EndpointName("engine-" + std::to_string(i)); }

  World world;
  std::vector<TestHost> hosts;

private:
  ClusterOptions options;
};

} // namespace catkin::harness
