#pragma once

#include "types_p.h"

#include <deque>
#include <map>

/// Bounds the retries of requests per service, over all hosts together. In any time window, the
/// bound is a share of the requests plus an allowance. Hosts do not coordinate: each may use the
/// share of its own requests and an equal part of the allowance. The sum stays within the bound
/// during any network partition, as long as each host knows the number of hosts.
namespace catkin {

struct RetryBudgetOptions {
  double ratio = 0.2;    ///< retries per request
  double allowance = 56; ///< further retries per window, of all hosts together
  Duration window = std::chrono::seconds(10);
};

/// One host's part of the retry budget.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions options) : options(options) {}

  /// Counts one new request.
  void onRequest(const ServiceName &service, Instant now);
  /// Returns true if the budget allows one more retry.
  bool allows(const ServiceName &service, int hosts, Instant now);
  /// Counts one retry if the budget allows it. Returns false and counts nothing otherwise.
  bool tryConsume(const ServiceName &service, int hosts, Instant now);

private:
  struct Window {
    std::deque<Instant> requests;
    std::deque<Instant> retries;
  };
  /// Removes entries that are older than the window.
  void expire(Window &window, Instant now) const;

  RetryBudgetOptions options;
  std::map<ServiceName, Window> windows;
};

} // namespace catkin
