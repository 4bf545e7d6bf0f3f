#pragma once

#include "harness_p.h"
#include "planner_p.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Planners over the harness, without the other parts of a host.
namespace catkin::harness {

constexpr std::uint64_t GB = 1'000'000'000;

/// A planner in a process of its own that ticks every 100 ms.
class PlannerHost : public std::enable_shared_from_this<PlannerHost> {
public:
  PlannerHost(World &world, const std::string &name, PlannerOptions options);

  /// Starts ticking. The planner is told of all engines of the world's list at each tick.
  void start(ListsPtr lists);
  void lead(std::uint64_t term, bool formerHolderEnded, Duration orderLimit);
  /// Calls ensure in the process and keeps the answer. A frozen or dead process gives none.
  std::shared_ptr<EnsureReply> ensure(const std::string &plan, const std::string &model,
                                      Duration remaining = std::chrono::seconds(30));

  std::shared_ptr<Process> process;
  std::unique_ptr<Planner> planner;
  bool acknowledgeAll = true; ///< every host applies each table version at once

private:
  void tick();

  World &world;
};

/// Plans p0 to p(n-1), each with the given grant and the use of all `models`.
ListsPtr makeLists(int plans, Grant grant, const std::vector<Model> &models);
/// Models m0 to m(n-1) of that size.
std::vector<Model> makeModels(int n, std::uint64_t bytes);
/// Engine e<i> with an address of its own.
FakeEngine makeEngine(int i, std::uint64_t memoryBytes, bool checksFencing);
/// State of a replica in the planner's table.
std::optional<ReplicaState> tableState(const Planner &planner, const std::string &model,
                                       const std::string &endpoint);

} // namespace catkin::harness
