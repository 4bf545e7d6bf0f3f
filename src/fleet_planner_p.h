#pragma once

#include "fleet_messages_p.h"
#include "fleet_view_p.h"
#include "lease_p.h"
#include "model_placement_p.h"

#include <functional>
#include <memory>

/// The planner of the fleet. The host that holds the lease orders engines to load and unload models
/// and adapters. Each order contains the lease's term as fencing token and the number of orders
/// that the engine has accepted, so that a delayed order cannot take effect after a newer one.
namespace catkin {

/// An order as sent to an engine.
struct EngineCommand {
  PlacementAction action = PlacementAction::Load;
  ModelRef model;
  std::uint64_t term = 0; ///< fencing token
  HostName holder;        ///< host that holds the lease
  /// Orders that the engine must have accepted so far; otherwise it answers Busy.
  std::uint64_t expectedOrderCount = 0;
};

/// Answer of an engine to a command.
enum class CommandResult {
  Accepted,
  AlreadyHolds, ///< the ordered state is reached: loaded, or no longer loaded
  Busy,         ///< another order is being carried out, or the order count differs
  Fenced,       ///< the engine has seen a higher term
  WrongEngine,  ///< another endpoint uses this address now
  Invalid,
  NotSent,
  Unknown, ///< sent but not answered; the engine may still carry it out
  Count
};
template <> struct EnumNames<CommandResult> {
  static constexpr std::array<std::string_view, 8> Table{"accepted", "already_holds", "busy",
                                                         "fenced",   "wrong_engine",  "invalid",
                                                         "not_sent", "unknown"};
};

/// Sends commands and status requests to engines. Callbacks never run before the call returns.
class EngineControl {
public:
  virtual ~EngineControl() = default;
  using CommandDone = std::function<void(CommandResult)>;
  /// Gets no status if the engine did not answer or its answer was not valid.
  using StatusDone = std::function<void(std::optional<EngineStatus>)>;
  virtual void sendCommand(const FleetEndpoint &to, const EngineCommand &command,
                           CommandDone done) = 0;
  virtual void requestStatus(const FleetEndpoint &to, StatusDone done) = 0;

  /// Gets what an engine announces in its answer to a call that was sent at `sentAt`, before the
  /// callback of that call.
  using AnnouncementHandler = std::function<void(const EndpointIncarnation &,
                                                 const EndpointAnnouncements &, Instant sentAt)>;
  void setAnnouncementHandler(AnnouncementHandler handler) { onAnnouncement = std::move(handler); }

protected:
  void announce(const EndpointIncarnation &from, const EndpointAnnouncements &announced,
                Instant sentAt) const {
    if (onAnnouncement)
      onAnnouncement(from, announced, sentAt);
  }

private:
  AnnouncementHandler onAnnouncement;
};

struct FleetPlannerOptions {
  HostName host;
  std::uint64_t incarnation = 0;
  Address address; ///< where other hosts send model needs and demand reports
  /// Pause between the acquisition of the lease and the first order, for engines that do not check
  /// the fencing token.
  Duration firstOrderDelay{};
  /// Window in which the weight store limits the number of loads.
  Duration ceilingWindow = std::chrono::seconds(5);
};

/// Sends the planner's messages.
struct FleetPlannerLinks {
  std::function<void(const HoldingsNotices &)> broadcast; ///< to all hosts including this one
  std::function<void(const Address &to, const HoldingsNotices &)> send;
  AcquirePermit acquirePermit; ///< if empty, every call is permitted
  /// Called when this host becomes the planner; `isFirst`: of a fleet that has had none before. May
  /// be empty.
  std::function<void(bool isFirst)> termBegan;
};

/// Acquires the lease and plans while this host holds it.
class FleetPlanner {
public:
  FleetPlanner(CoreEnv &env, FleetView &view, EngineControl &engines, FleetPlannerOptions options,
               FleetPlannerLinks links);
  ~FleetPlanner();

  /// Starts to observe or acquire the lease.
  void start();
  /// Stops planning and releases the lease. Calls `done` at the end.
  void stop(std::function<void()> done);
  /// Sets the hosts that may become the planner.
  void setCandidates(std::vector<HostName> hosts);
  /// Says whether the planner has been silent for too long. If so, this host observes the lease.
  void setPlannerLost(bool lost);
  bool isActive() const; ///< true if this host holds a valid lease
  /// Address of the current planner; empty if unknown.
  Address address() const;
  std::uint64_t term() const; ///< highest known term
  /// Handles a message that names the planner's term and address.
  void observe(std::uint64_t term, const Address &address);
  /// Handles a host's need for a model. If engines hold it, `from` gets their holdings at once.
  void onNeed(const ModelNeed &need, const Address &from);
  /// Handles a host's report of its requests.
  void onDemand(const DemandReport &report);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
