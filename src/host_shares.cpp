#include "shares_p.h"

#include <algorithm>
#include <cmath>

namespace catkin {

namespace {

// Size of the token bucket, in seconds at the plan's token rate: the burst of an idle plan.
constexpr double BurstSeconds = 1.0;
// Time constant of the token rate reported to the planner.
constexpr double RateWindowSeconds = 1.0;

} // namespace

HostShares::HostShares(Guards guards) : guards(guards) {}

void HostShares::apply(const std::vector<HostShare> &shares, Instant now) {
  for (auto &it : shares) {
    auto [entry, added] = plans.try_emplace(it.plan);
    auto &state = entry->second;
    if (added)
      state.refilledAt = now;
    if (it.version <= state.share.version)
      continue;
    refill(state, now);
    state.share = it;
    updateEffectiveVersion(state);
  }
}

void HostShares::refill(PlanState &state, Instant now) {
  auto dt = std::max(0.0, toSeconds(now - state.refilledAt));
  auto rate = state.share.tokensPerSecond;
  state.tokens = std::min(rate * BurstSeconds, state.tokens + rate * dt);
  state.recentTokens *= std::exp(-dt / RateWindowSeconds);
  state.refilledAt = std::max(state.refilledAt, now);
}

void HostShares::updateEffectiveVersion(PlanState &state) const {
  if (state.inFlight <= state.share.concurrency || !guards.lowerBeforeRaise)
    state.effectiveVersion = state.share.version;
}

bool HostShares::tryAcquire(const PlanName &plan, Instant now) {
  auto it = plans.find(plan);
  if (it == plans.end())
    return false;
  auto &state = it->second;
  refill(state, now);
  // An empty bucket still admits: the length of an answer is not known in advance. The bucket goes
  // negative by it, and later requests wait until it is refilled.
  if (state.inFlight >= state.share.concurrency || state.tokens < 0)
    return false;
  ++state.inFlight;
  return true;
}

void HostShares::release(const PlanName &plan, unsigned tokens, Instant now) {
  onTokens(plan, tokens, now);
  auto it = plans.find(plan);
  if (it == plans.end() || it->second.inFlight == 0)
    return;
  --it->second.inFlight;
  updateEffectiveVersion(it->second);
}

void HostShares::onTokens(const PlanName &plan, unsigned tokens, Instant now) {
  auto it = plans.find(plan);
  if (it == plans.end())
    return;
  refill(it->second, now);
  it->second.tokens -= tokens;
  it->second.recentTokens += tokens;
}

std::vector<PlanUse> HostShares::uses(Instant now) const {
  std::vector<PlanUse> list;
  for (auto &[plan, it] : plans) {
    auto dt = std::max(0.0, toSeconds(now - it.refilledAt));
    list.push_back({.plan = plan,
                    .inFlight = it.inFlight,
                    .tokensPerSecond = it.recentTokens * std::exp(-dt / RateWindowSeconds),
                    .shareVersion = it.effectiveVersion});
  }
  return list;
}

int HostShares::inFlight(const PlanName &plan) const {
  auto it = plans.find(plan);
  return it == plans.end() ? 0 : it->second.inFlight;
}

int HostShares::concurrency(const PlanName &plan) const {
  auto it = plans.find(plan);
  return it == plans.end() ? 0 : it->second.share.concurrency;
}

} // namespace catkin
