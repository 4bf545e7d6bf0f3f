#include "async_p.h"
#include "log_p.h"
#include "request_forwarder_p.h"

#include <algorithm>

/// The team of a request's caller: its key and its quota.
namespace catkin {

/// Finds the team that holds the request's key. Returns a refusal if the request needs a key and
/// has none that is valid.
std::optional<RequestForwarder::Refusal> RequestForwarder::identifyTeam() {
  identifiesTeam = !config->teams.empty();
  if (!identifiesTeam)
    return std::nullopt;
  auto *owner = caller.apiKey ? config->teams.findByKey(*caller.apiKey) : nullptr;
  if (owner)
    team = *owner;
  // Judged once, when the request has arrived: it was sent before, and the bound on revoked keys
  // counts from then. A wait or a retry does not need a new proof.
  const bool areKeysCurrent = !g.hooks.areKeysCurrent || g.hooks.areKeysCurrent();
  if (route.keyless) {
    if (!areKeysCurrent)
      team.reset(); // the key may have been taken away
    return std::nullopt;
  }
  const bool mayReject = owner || !g.hooks.mayRejectKeys || g.hooks.mayRejectKeys();
  if (!areKeysCurrent || !mayReject)
    return Refusal{503, "it is not known whether the API keys are current"};
  if (!owner)
    return Refusal{401, "the API key is missing or unknown"};
  return std::nullopt;
}

/// Charges the request to its team's quota. Returns a refusal if the quota has no room for it.
asio::awaitable<std::optional<RequestForwarder::Refusal>> RequestForwarder::chargeQuota() {
  if (!team || !team->quota.isLimited() || !g.hooks.acquireQuota)
    co_return std::nullopt;
  const TeamQuota &quota = team->quota;
  double cost = 1;
  if (quota.unit == QuotaUnit::Tokens)
    cost = caller.tokens ? static_cast<double>(caller.tokens->prompt + caller.tokens->output)
                         : quota.plainTokens;
  const auto decision = co_await waitForCallback<QuotaDecision>(
      [&](auto done) { g.hooks.acquireQuota(*team, cost, std::move(done)); });
  const bool isCharged = decision.result == QuotaResult::Granted;
  g.metrics.onQuota(team->name, toString(decision.result), isCharged ? cost : 0);
  switch (decision.result) {
  case QuotaResult::Granted:
    co_return std::nullopt;
  case QuotaResult::Exceeded:
    co_return Refusal{429, "the quota of the team is used up", decision.retryAfter};
  default:
    co_return Refusal{503, "the quota of the team is not known", decision.retryAfter};
  }
}

/// Returns the urgency of the request; 0 is the highest.
int RequestForwarder::priority() const {
  return team ? team->priority.value_or(route.priority) : route.priority;
}

} // namespace catkin
