#include "retry_budget_p.h"

#include <algorithm>

namespace catkin {

namespace {

// Part of the budget that is used. The rest is a reserve, since an observer's windows may begin at
// other times than those of this host.
constexpr double UsableShare = 0.8;

} // namespace

void RetryBudget::expire(Window &window, Instant now) const {
  for (auto *it : {&window.requests, &window.retries})
    while (!it->empty() && now - it->front() > options.window)
      it->pop_front();
}

void RetryBudget::onRequest(const ServiceName &service, Instant now) {
  auto &window = windows[service];
  expire(window, now);
  window.requests.push_back(now);
}

bool RetryBudget::allows(const ServiceName &service, int hosts, Instant now) {
  auto &window = windows[service];
  expire(window, now);
  double hostAllowance = options.allowance / std::max(1, hosts);
  double allowed =
      UsableShare * (options.ratio * static_cast<double>(window.requests.size()) + hostAllowance);
  return static_cast<double>(window.retries.size()) + 1 <= allowed;
}

bool RetryBudget::tryConsume(const ServiceName &service, int hosts, Instant now) {
  if (!allows(service, hosts, now))
    return false;
  windows[service].retries.push_back(now);
  return true;
}

} // namespace catkin
