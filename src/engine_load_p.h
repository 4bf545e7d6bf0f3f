#pragma once

#include "types_p.h"

#include <array>
#include <cstddef>

/// The load and the pace of one engine as one host knows them, and the time to the first event of a
/// request that follows from them. It uses no sockets and no clock; callers pass in the time.
namespace catkin {

/// Priorities from this one on count as one level.
constexpr std::size_t UrgencyLevels = 3;

/// Size and urgency of one request to an engine.
struct EngineRequest {
  double promptTokens = 0; ///< 0 if unknown, as for plain services
  double answerTokens = 0; ///< at most
  int priority = 0;        ///< 0 is the most urgent
  bool hasTokens() const { return promptTokens > 0; }
};

/// What is in progress at an engine in tokens, and observations of its pace; summed over hosts.
struct EngineTokens {
  /// Prompt tokens of the requests without a first event, by urgency; the most urgent first.
  std::array<double, UrgencyLevels> unread{};
  double reading = 0;    ///< requests that `unread` belongs to
  double held = 0;       ///< prompt and answer tokens of all requests in progress
  double paceWeight = 0; ///< number of recent observations of the pace; old ones count less
  double paceLogSum = 0; ///< weighted sum of the logarithms of observed time / expected time
  EngineTokens &operator+=(const EngineTokens &other);
  /// True if there is nothing to report.
  bool empty() const;
};

/// A request of this host at an engine, from its sending to its end.
struct EngineRun {
  EngineRequest request;
  Instant sentAt;
  double expectedSeconds = 0; ///< from `sentAt` to the first event, at the nominal pace
  bool begun = false;         ///< its first event has arrived
  Instant gapsSince;          ///< start of the measurement of pauses between events
  int gapCount = 0;           ///< pauses since then
};

/// Load and pace of one engine.
class EngineLoadModel {
public:
  /// Records that this host sends a request. `requests` is the number of requests in progress at
  /// the engine before this one, of all hosts.
  EngineRun onSent(const EngineRequest &request, int requests, int slots, Instant now);
  /// Records that `n` further events of the request have arrived.
  void onEvents(EngineRun &run, int n, int requests, Instant now);
  /// Records the end of the request. `wasRunning`: it had reached the engine, so a missing first
  /// event says something about the pace.
  void onEnded(const EngineRun &run, bool wasRunning, Instant now);
  /// Sets what the other hosts report.
  void setPeers(const EngineTokens &tokens) { peers = tokens; }
  /// Forgets the observations of the pace, which belong to another incarnation of the engine.
  void forgetPace();

  /// Returns what this host reports to others.
  EngineTokens ownTokens(Instant now) const;
  /// Returns the tokens that all hosts together have in progress at the engine.
  double heldTokens() const { return own.held + peers.held; }
  /// Returns the unread prompt tokens of other hosts that are read before a request of this
  /// priority.
  double peerTokensAhead(int priority) const;
  /// Returns how many times slower than the nominal pace the engine is.
  double slowness(Instant now) const;
  /// Returns the predicted seconds from the sending of the request to its first event, at the
  /// nominal pace. `requests` are in progress at the engine, which runs `slots` at a time.
  double nominalSeconds(const EngineRequest &request, int requests, int slots) const;

private:
  void observe(double observedSeconds, double expectedSeconds, double weight, Instant now);
  /// Share of the weight of the observations that is left.
  double retention(Instant now) const;

  EngineTokens own;
  EngineTokens peers;
  Instant observedAt;
};

/// Seconds in which an engine of nominal pace reads these prompt tokens.
double readSeconds(double tokens);

} // namespace catkin
