#pragma once

#include "guards_p.h"
#include "types_p.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Admission control of one host: queues requests until a replica and their plan's share are free,
/// and refuses those that cannot be served by their deadline.
namespace catkin {

/// A request to be queued.
struct WaitingRequest {
  std::string requestId;
  PlanName plan;
  ModelName model;
  Priority priority = Priority::Normal;
  Instant deadline;
  Duration serviceTime{0}; ///< expected time from the start to the first token; 0: unknown
};

/// What became of a queued request.
enum class AdmissionOutcome { Start, Refused, Cancelled, Count };
template <> struct EnumNames<AdmissionOutcome> {
  static constexpr std::array<std::string_view, 3> Table{"start", "refused", "cancelled"};
};

/// Result of a queued request. The other fields are set for Refused.
struct AdmissionResult {
  AdmissionOutcome outcome = AdmissionOutcome::Refused;
  Duration retryAfter{0}; ///< time after which the caller may try again
  std::string reason;
};

/// Takes one unit of the plan's share for a request that is about to start. Returns false if the
/// share is in full use.
using AcquireShare = std::function<bool(const PlanName &)>;
/// Returns true if a replica of the model can take a request now.
using ModelReady = std::function<bool(const ModelName &)>;

/// The queued requests of one plan for one model.
struct WaitingGroup {
  ModelName model;
  PlanName plan;
  std::string requestId; ///< of the request with the latest deadline
  Instant deadline;      ///< the latest of the group
  std::size_t count = 0;
};

/// Queue of requests, scheduled by priority class and by plan. Not thread-safe.
class Admission {
public:
  using Done = std::function<void(const AdmissionResult &)>;
  using Ticket = std::uint64_t;

  Admission(AcquireShare acquire, ModelReady ready, Guards guards = {});
  ~Admission();

  /// Queues a request and returns its ticket for cancel(). `done` is called once, by a later
  /// pump(), cancel(), refuse() or refuseModel(), never by enqueue() itself.
  Ticket enqueue(const WaitingRequest &request, Instant now, Done done);
  /// Ends the request with outcome Cancelled. Does nothing if it is no longer queued.
  void cancel(Ticket ticket);
  /// Sets when the model is expected to serve requests. The next pump() refuses the requests that
  /// would miss their deadline. Does nothing if no request waits for the model.
  void setModelEstimate(const ModelName &model, Instant readyAt);
  /// Refuses all requests that wait for the model, before it returns.
  void refuseModel(const ModelName &model, Duration retryAfter, const std::string &reason);
  /// Refuses the requests of one plan that wait for the model and whose deadline is not after
  /// `deadline`.
  void refuse(const ModelName &model, const PlanName &plan, Instant deadline, Duration retryAfter,
              const std::string &reason);
  /// Starts the requests that can start and refuses those that cannot be served by their deadline.
  /// Priority classes share the starts by weighted round robin, the plans within a class by deficit
  /// round robin. Call after each change and about every 10 ms.
  void pump(Instant now);
  /// Number of queued requests: all, of a plan, or for a model.
  std::size_t waiting() const;
  std::size_t waiting(const PlanName &plan) const;
  std::size_t waiting(const ModelName &model) const;
  /// All queued requests by model and plan, whether or not the model is ready.
  std::vector<WaitingGroup> waitingGroups() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace catkin
