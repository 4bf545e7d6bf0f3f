#pragma once

#include "control_p.h"
#include "harness_p.h"

#include <memory>
#include <string>
#include <vector>

/// Cluster of hosts that run their control loops over one World. The test sends the requests.
namespace catkin::harness {

struct ClusterOptions {
  std::uint64_t seed = 1;
  int hosts = 4;
  int engines = 4;
  int models = 6;
  int adapters = 0;            ///< number of adapters of model 0
  std::uint64_t unitBytes = 1; ///< bytes per unit; a model has 30 units, an engine 100
  bool mixedFencing = true;    ///< if true, every second engine ignores fencing tokens
  Guards guards;
};

struct TestHost {
  Member self;
  std::shared_ptr<Process> process;
  std::unique_ptr<Control> control;
  std::vector<RouteEntry> table;
  std::vector<HostShare> shares;
  std::vector<std::uint64_t> revisions; ///< applied revisions, oldest first
  bool running = false;
};

class Cluster {
public:
  explicit Cluster(const ClusterOptions &options);

  /// Writes the lists, starts all hosts and runs until every host is ready. Returns false if a host
  /// is not ready within 30 s.
  bool startAll();
  void start(std::size_t host);
  void kill(std::size_t host);
  /// Kills the host and starts a new process for it, as the platform does with a replaced host.
  void restart(std::size_t host);

  /// Returns the number of running hosts that hold the planner lease and may currently send orders
  /// to endpoints that ignore fencing.
  std::size_t activePlanners() const;
  /// Returns the index of the planner whose lease is valid, or -1.
  int plannerIndex() const;
  /// Returns true if the routing table of `host` has a loaded replica of `model`.
  bool isLoaded(std::size_t host, const ModelName &model) const;
  /// Asks the control loop of `host` for a replica of `model`; `remaining` is the time to the
  /// request's deadline.
  void ensure(std::size_t host, const ModelName &model, Duration remaining,
              std::function<void(const EnsureReply &)> done = {});
  /// Returns the document of plans, with `concurrency` as the grant of the only plan.
  std::string plansDocument(int concurrency) const;
  /// Stores a lists document directly in the platform, without a host.
  void putLists(std::uint64_t revision, const std::string &editId);
  /// Sets the entry of the host in the platform's host list, visible after `lag`.
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
