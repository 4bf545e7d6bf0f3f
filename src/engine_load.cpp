#include "engine_load_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace catkin {

namespace {

constexpr double TokensPerSecond = 38'700; // nominal pace of reading
constexpr double PieceTokens = 4096;       // prompts are read in pieces of this size
constexpr double StepSeconds = 0.00547;    // of a batch with one request
// The step takes about twice as long with a full batch.
constexpr double FullBatch = 64;
// A piece of a less urgent prompt is in progress when the request arrives. Of what lies behind that
// piece only a part delays the request, since admitted prompts are read side by side.
constexpr double LessUrgentShare = 0.2;
// An urgent request takes the next free place, a less urgent one queues behind the others.
constexpr double QueueSeconds = 0.5; // of one request in a place
constexpr Duration PaceHalfLife = std::chrono::seconds(20);
// One absurd observation, such as a lost packet, must not outweigh several others.
constexpr double MaxLogRatio = 2;
// The nominal pace counts as this many observations.
constexpr double PriorWeight = 0.7;
// Pauses are measured over at least this many events, since several may arrive together.
constexpr int GapsPerObservation = 12;
// While engines read prompts, pauses show the load instead of the pace.
constexpr double MaxTokensForGaps = 1000;
constexpr double GapWeight = 1;
constexpr double FirstEventWeight = 0.5; // it depends on the load, which is known imprecisely
// Connection, network and other delays that do not depend on the pace.
constexpr double FixedSeconds = 0.01;

std::size_t levelOf(int priority) {
  return std::min(static_cast<std::size_t>(std::max(priority, 0)), UrgencyLevels - 1);
}

double sum(const std::array<double, UrgencyLevels> &values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

double stepSeconds(double generating) { return StepSeconds * (1 + generating / FullBatch); }

/// Rounding errors and an endpoint that was registered anew must not leave a negative rest.
void reduce(double &value, double by) { value = std::max(0.0, value - by); }

} // namespace

double readSeconds(double tokens) { return tokens / TokensPerSecond; }

EngineTokens &EngineTokens::operator+=(const EngineTokens &other) {
  for (std::size_t i = 0; i < unread.size(); ++i)
    unread[i] += other.unread[i];
  reading += other.reading;
  held += other.held;
  paceWeight += other.paceWeight;
  paceLogSum += other.paceLogSum;
  return *this;
}

bool EngineTokens::empty() const {
  constexpr double MinWeight = 0.2;
  return held <= 0 && paceWeight < MinWeight;
}

EngineRun EngineLoadModel::onSent(const EngineRequest &request, int requests, int slots,
                                  Instant now) {
  EngineRun run{.request = request, .sentAt = now};
  if (!request.hasTokens())
    return run;
  run.expectedSeconds = nominalSeconds(request, requests, slots);
  own.unread[levelOf(request.priority)] += request.promptTokens;
  own.reading += 1;
  own.held += request.promptTokens + request.answerTokens;
  return run;
}

void EngineLoadModel::onEvents(EngineRun &run, int n, int requests, Instant now) {
  if (!run.request.hasTokens())
    return;
  if (!run.begun) {
    run.begun = true;
    reduce(own.unread[levelOf(run.request.priority)], run.request.promptTokens);
    reduce(own.reading, 1);
    observe(toSeconds(now - run.sentAt), run.expectedSeconds, FirstEventWeight, now);
    run.gapsSince = now;
    run.gapCount = 0;
    return;
  }
  run.gapCount += n;
  if (run.gapCount < GapsPerObservation)
    return;
  if (sum(own.unread) + sum(peers.unread) < MaxTokensForGaps) {
    const double generating = std::max(0.0, requests - own.reading - peers.reading);
    observe(toSeconds(now - run.gapsSince) / run.gapCount, stepSeconds(generating), GapWeight, now);
  }
  run.gapsSince = now;
  run.gapCount = 0;
}

void EngineLoadModel::onEnded(const EngineRun &run, bool wasRunning, Instant now) {
  if (!run.request.hasTokens())
    return;
  reduce(own.held, run.request.promptTokens + run.request.answerTokens);
  if (run.begun)
    return;
  reduce(own.unread[levelOf(run.request.priority)], run.request.promptTokens);
  reduce(own.reading, 1);
  // The engine would have needed at least this time. An earlier end says nothing.
  const double seconds = toSeconds(now - run.sentAt);
  if (wasRunning && seconds > run.expectedSeconds)
    observe(seconds, run.expectedSeconds, FirstEventWeight, now);
}

void EngineLoadModel::forgetPace() { own.paceWeight = own.paceLogSum = 0; }

double EngineLoadModel::retention(Instant now) const {
  return std::exp2(-toSeconds(now - observedAt) / toSeconds(PaceHalfLife));
}

void EngineLoadModel::observe(double observedSeconds, double expectedSeconds, double weight,
                              Instant now) {
  const double ratio = (observedSeconds + FixedSeconds) / (expectedSeconds + FixedSeconds);
  const double kept = retention(now);
  observedAt = now;
  own.paceWeight = own.paceWeight * kept + weight;
  own.paceLogSum =
      own.paceLogSum * kept + weight * std::clamp(std::log(ratio), -MaxLogRatio, MaxLogRatio);
}

EngineTokens EngineLoadModel::ownTokens(Instant now) const {
  EngineTokens out = own;
  const double kept = retention(now);
  out.paceWeight *= kept;
  out.paceLogSum *= kept;
  return out;
}

double EngineLoadModel::peerTokensAhead(int priority) const {
  double out = 0;
  for (std::size_t i = 0; i <= levelOf(priority); ++i)
    out += peers.unread[i];
  return out;
}

double EngineLoadModel::slowness(Instant now) const {
  if (own.paceWeight + peers.paceWeight <= 0)
    return 1;
  const double kept = own.paceWeight > 0 ? retention(now) : 0;
  const double weight = own.paceWeight * kept + peers.paceWeight;
  return std::exp((own.paceLogSum * kept + peers.paceLogSum) / (weight + PriorWeight));
}

double EngineLoadModel::nominalSeconds(const EngineRequest &request, int requests,
                                       int slots) const {
  const std::size_t level = levelOf(request.priority);
  double ahead = peerTokensAhead(request.priority);
  for (std::size_t i = 0; i <= level; ++i)
    ahead += own.unread[i];
  const double behind = std::max(0.0, sum(own.unread) + sum(peers.unread) - ahead);
  const double piece = std::min(behind, PieceTokens);
  const double tokens = ahead + piece + LessUrgentShare * (behind - piece) + request.promptTokens;
  const double generating = std::max(0.0, requests - own.reading - peers.reading);
  const double queued = std::max(0, requests + 1 - slots);
  const double queueShare = static_cast<double>(level + 1) / UrgencyLevels;
  return readSeconds(tokens) + 2 * stepSeconds(generating) +
         queueShare * queued * QueueSeconds / std::max(slots, 1);
}

} // namespace catkin
