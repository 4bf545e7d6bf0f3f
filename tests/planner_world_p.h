#pragma once

#include "harness_p.h"
#include "planner_p.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Test fixture: planners in the deterministic harness, without the other parts of a host.
namespace catkin::harness {

constexpr std::uint64_t GB = 1'000'000'000;

/// Runs a planner in its own simulated process and ticks it every 100 ms.
class PlannerHost : public std::enable_shared_from_this<PlannerHost> {
public:
  PlannerHost(World &world, const std::string &name, PlannerOptions options);

  /// Sets the lists and starts ticking. Each tick passes the world's engine list to the planner.
  void start(ListsPtr lists);
  /// Makes the planner leader for a term; it may send orders for `orderLimit` from now.
  void lead(std::uint64_t term, bool formerHolderEnded, Duration orderLimit);
  /// Calls ensure in the process. The outcome of the returned reply is Count until the planner
  /// answers; a frozen or dead process never does.
  std::shared_ptr<EnsureReply> ensure(const std::string &plan, const std::string &model,
                                      Duration remaining = std::chrono::seconds(30));

  std::shared_ptr<Process> process;
  std::unique_ptr<Planner> planner;
  bool acknowledgeAll = true; ///< reports each table version as applied by all hosts at once

private:
  void tick();

  World &world;
};

/// Returns lists with `plans` plans p0, p1, ..., each with the given grant and the use of all
/// `models`.
ListsPtr makeLists(int plans, Grant grant, const std::vector<Model> &models);
/// Returns the models m0 to m(n-1), each of the given size.
std::vector<Model> makeModels(int n, std::uint64_t bytes);
/// Returns the engine e<i> with a unique address.
FakeEngine makeEngine(int i, std::uint64_t memoryBytes, bool checksFencing);
/// Returns the state of a replica in the planner's route table, nullopt if it has no entry.
std::optional<ReplicaState> tableState(const Planner &planner, const std::string &model,
                                       const std::string &endpoint);

} // namespace catkin::harness
