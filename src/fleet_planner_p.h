#pragma once

#include "fleet_messages_p.h"
#include "fleet_view_p.h"
#include "lease_p.h"
#include "model_placement_p.h"

#include <functional>
#include <memory>

/// The planner of the fleet: the one host that holds the lease orders engines to load and drop
/// models and adapters. Every order carries the lease's term as fencing token and the number of
/// orders that the engine has accepted, so that an order carried out late cannot take effect after
/// a newer one.
namespace catkin {

/// An order as it goes to an engine.
struct EngineCommand {
  PlacementAction action = PlacementAction::Load;
  ModelRef model;
  std::uint64_t term = 0;
  HostName holder;
  std::uint64_t expectedOrderCount = 0;
};

enum class CommandResult {
  Accepted,
  AlreadyHolds,
  Busy,        ///< another order is under way, or the order count differs
  Fenced,      ///< a higher term has been seen
  WrongEngine, ///< the address belongs to another endpoint now
  Invalid,
  NotSent,
  Unknown, ///< sent but not answered; may be carried out later
  Count
};
template <> struct EnumNames<CommandResult> {
  static constexpr std::array<std::string_view, 8> Table{"accepted", "already_holds", "busy",
                                                         "fenced",   "wrong_engine",  "invalid",
                                                         "not_sent", "unknown"};
};

/// Sends commands to engines and reads their status. Callbacks run later.
class EngineControl {
public:
  virtual ~EngineControl() = default;
  using CommandDone = std::function<void(CommandResult)>;
  using StatusDone = std::function<void(std::optional<EngineStatus>)>;
  virtual void sendCommand(const FleetEndpoint &to, const EngineCommand &command,
                           CommandDone done) = 0;
  virtual void requestStatus(const FleetEndpoint &to, StatusDone done) = 0;
};

struct FleetPlannerOptions {
  HostName host;
  std::uint64_t incarnation = 0;
  Address address; ///< where other hosts send needs and demand
  /// From the acquisition of the lease to the first order; covers engines that do not check terms.
  Duration firstOrderDelay{};
  Duration ceilingWindow = std::chrono::seconds(5); ///< of the weight store's ceiling
};

struct FleetPlannerLinks {
  std::function<void(const HoldingsNotices &)> broadcast; ///< to all hosts, this one included
  std::function<void(const Address &to, const HoldingsNotices &)> send;
};

class FleetPlanner {
public:
  FleetPlanner(CoreEnv &env, FleetView &view, EngineControl &engines, FleetPlannerOptions options,
               FleetPlannerLinks links);
  ~FleetPlanner();

  void start();
  /// Gives the lease up.
  void stop(std::function<void()> done);
  /// Hosts that may become the planner.
  void setCandidates(std::vector<HostName> hosts);
  /// No planner has been heard for a while, so that this host looks at the lease itself.
  void setPlannerLost(bool lost);
  bool isActive() const; ///< holds a valid lease
  /// Where the planner listens, as this host knows; empty if unknown.
  Address address() const;
  std::uint64_t term() const;
  /// A planner with this term was heard at `address`.
  void observe(std::uint64_t term, const Address &address);
  /// `from` is told at once where the model is.
  void onNeed(const ModelNeed &need, const Address &from);
  void onDemand(const DemandReport &report);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
