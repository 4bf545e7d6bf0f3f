#pragma once

#include "types_p.h"

#include <deque>
#include <map>

/// Bounds repeated sends of requests over all hosts together, per service. The bound is a share of
/// the requests plus an allowance, in any window. Hosts do not ask each other: each may use its own
/// requests' share and an equal part of the allowance, which keeps the sum in bounds however they
/// are cut off from each other, as long as each knows the number of hosts.
namespace catkin {

struct RetryBudgetOptions {
  double ratio = 0.2;
  double allowance = 56; ///< of all hosts together
  Duration window = std::chrono::seconds(10);
};

class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions options) : options(options) {}

  void onRequest(const ServiceName &service, Instant now);
  /// True if the budget allows one more repeat.
  bool allows(const ServiceName &service, int hosts, Instant now);
  /// Takes one repeat if the budget allows it.
  bool tryConsume(const ServiceName &service, int hosts, Instant now);

private:
  struct Window {
    std::deque<Instant> requests;
    std::deque<Instant> retries;
  };
  void expire(Window &window, Instant now) const;

  RetryBudgetOptions options;
  std::map<ServiceName, Window> windows;
};

} // namespace catkin
