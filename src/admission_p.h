#pragma once

#include "guards_p.h"
#include "types_p.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Requests waiting on one host for a replica or for their plan's share.
namespace catkin {

struct WaitingRequest {
  std::string requestId;
  PlanName plan;
  ModelName model;
  Priority priority = Priority::Normal;
  Instant deadline;
  Duration serviceTime{0}; ///< expected time from start to the first token
};

enum class AdmissionOutcome { Start, Refused, Cancelled, Count };
template <> struct EnumNames<AdmissionOutcome> {
  static constexpr std::array<std::string_view, 3> Table{"start", "refused", "cancelled"};
};

struct AdmissionResult {
  AdmissionOutcome outcome = AdmissionOutcome::Refused;
  Duration retryAfter{0};
  std::string reason;
};

/// Asked before a request starts; true takes the plan's share.
using AcquireShare = std::function<bool(const PlanName &)>;
/// True if a replica of the model can take a request now.
using ModelReady = std::function<bool(const ModelName &)>;

/// Requests of one plan that wait for one model.
struct WaitingGroup {
  ModelName model;
  PlanName plan;
  std::string requestId; ///< of the request with the latest deadline
  Instant deadline;      ///< the latest
  std::size_t count = 0;
};

class Admission {
public:
  using Done = std::function<void(const AdmissionResult &)>;
  using Ticket = std::uint64_t;

  Admission(AcquireShare acquire, ModelReady ready, Guards guards = {});
  ~Admission();

  /// Queues a request. `done` is called from pump(), cancel() or refuse(), never from here.
  Ticket enqueue(const WaitingRequest &request, Instant now, Done done);
  void cancel(Ticket ticket);
  /// Expected time until the model can serve; requests that cannot make it are refused by pump().
  void setModelEstimate(const ModelName &model, Instant readyAt);
  /// Refuses all requests waiting for the model, at once.
  void refuseModel(const ModelName &model, Duration retryAfter, const std::string &reason);
  /// Refuses the requests of one plan that wait for the model and have no later deadline.
  void refuse(const ModelName &model, const PlanName &plan, Instant deadline, Duration retryAfter,
              const std::string &reason);
  /// Starts what can start (priority, then deficit round robin between plans) and refuses what
  /// cannot be served by its deadline. Call after each change and about every 10 ms.
  void pump(Instant now);
  std::size_t waiting() const;
  std::size_t waiting(const PlanName &plan) const;
  std::size_t waiting(const ModelName &model) const;
  /// What is waited for, whether or not the model is ready.
  std::vector<WaitingGroup> waitingGroups() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace catkin
