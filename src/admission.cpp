#include "admission_p.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <limits>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkin {

namespace {

constexpr auto ClassCount = static_cast<std::size_t>(Priority::Count);
// Relative number of starts of each priority class while all classes have requests that can start.
// The lowest class has a share too, so that a plan of low priority is slow but never starved.
constexpr std::array<int, ClassCount> ClassWeight{1, 4, 16};
// Lower bound of a request's cost, used if its service time is unknown or very short. It bounds how
// many cheap requests of one plan can start before an expensive one of another plan.
constexpr Duration MinCost = std::chrono::milliseconds(20);
constexpr Duration MaxCost = std::chrono::seconds(2);
// Interval between checks of all queued requests against their deadlines. New requests and those
// for a model with a new estimate are checked in the next pump.
constexpr Duration ReviewInterval = std::chrono::milliseconds(50);
// The time between starts of a plan is an exponentially decayed mean. With fewer starts than this
// the mean is too inaccurate to refuse requests at the end of a queue; until then the estimate uses
// only the time since the last start.
constexpr double StartDecay = 0.95;
constexpr double MinStartsForEstimate = 6;

/// A queued request and its callback.
struct QueueEntry {
  Admission::Ticket ticket = 0;
  WaitingRequest request;
  Admission::Done done;
};
using QueueEntries = std::list<QueueEntry>;

/// Requests of one plan in one priority class, by model, so that requests for a cold model do not
/// block requests for loaded ones.
struct PlanQueue {
  Duration deficit{0}; ///< of the deficit round robin
  std::map<ModelName, QueueEntries> models;
};

/// The queues of one priority class.
struct PriorityClass {
  int credit = 0; ///< of the weighted round robin between classes
  std::map<PlanName, PlanQueue> plans;
  PlanName lastServedPlan;
};

/// Start rate of a plan's queued requests, from which the wait for its share is estimated.
struct PlanState {
  std::size_t waiting = 0;
  bool blocked = false;  ///< its share is in full use
  Instant blockedSince;  ///< last start; if none, when the share was first in full use
  double gapSeconds = 0; ///< decayed sum of the times between starts while blocked
  double starts = 0;     ///< decayed count of these starts
  /// Mean time between starts; 0 if too few were seen.
  Duration startInterval() const {
    return starts < MinStartsForEstimate ? Duration{0} : fromSeconds(gapSeconds / starts);
  }
};

/// Readiness of a model that requests wait for.
struct ModelState {
  std::size_t waiting = 0;
  bool ready = false;
  Instant notReadySince;
  std::optional<Instant> readyAt; ///< estimate, if one is known
};

/// Where a ticket's request is queued.
struct Position {
  std::size_t priority;
  PlanName plan;
  ModelName model;
  QueueEntries::iterator it;
};

/// Cost of a request in the deficit round robin.
Duration costOf(const QueueEntry &w) { return std::clamp(w.request.serviceTime, MinCost, MaxCost); }

} // namespace

struct Admission::Impl {
  AcquireShare acquire;
  ModelReady ready;
  Guards guards;
  std::array<PriorityClass, ClassCount> classes;
  std::unordered_map<PlanName, PlanState> plans;
  std::unordered_map<ModelName, ModelState> models;
  std::map<Ticket, Position> positions;
  std::vector<Ticket> newTickets; ///< enqueued since the last pump
  std::set<ModelName> changedEstimates;
  Ticket lastTicket = 0;
  Instant lastReview;
  bool pumping = false;
  bool pumpAgain = false;

  // State of one pass of startAll().
  std::set<PlanName> plansWithoutShare;
  std::unordered_map<ModelName, bool> readyCache;

  /// Takes a request out of its queue.
  QueueEntry remove(Ticket ticket) {
    auto at = positions.find(ticket);
    auto &p = at->second;
    auto &queue = classes[p.priority].plans[p.plan].models[p.model];
    QueueEntry w = std::move(*p.it);
    queue.erase(p.it);
    --plans[p.plan].waiting;
    --models[p.model].waiting;
    positions.erase(at);
    return w;
  }

  void finish(Ticket ticket, const AdmissionResult &result) {
    QueueEntry w = remove(ticket);
    w.done(result);
  }

  // ---- Starting ---------------------------------------------------------------------------------

  /// Calls `ready` at most once per model and start, and records changes of the state.
  bool isModelReady(const ModelName &model, Instant now) {
    auto [it, fresh] = readyCache.try_emplace(model, false);
    if (!fresh)
      return it->second;
    it->second = ready(model);
    auto &state = models[model];
    if (!it->second && state.ready)
      state.notReadySince = now;
    state.ready = it->second;
    if (state.ready)
      state.readyAt.reset();
    return it->second;
  }

  /// Oldest request of the queue whose model is ready; null if none.
  QueueEntry *oldestReadyRequest(PlanQueue &queue, Instant now) {
    QueueEntry *oldest = nullptr;
    for (auto &[model, list] : queue.models) {
      if (list.empty() || !isModelReady(model, now))
        continue;
      if (!oldest || list.front().ticket < oldest->ticket)
        oldest = &list.front();
    }
    return oldest;
  }

  /// A plan that can start a request, and that request.
  struct Candidate {
    PlanQueue *queue;
    QueueEntry *head;
  };

  /// Plans of the class that can start a request, in round-robin order from the one after the plan
  /// served last.
  std::vector<Candidate> startCandidates(PriorityClass &c, Instant now) {
    std::vector<Candidate> found;
    auto visit = [&](auto begin, auto end) {
      for (auto it = begin; it != end; ++it) {
        if (plansWithoutShare.contains(it->first))
          continue;
        if (auto *w = oldestReadyRequest(it->second, now))
          found.push_back({&it->second, w});
      }
    };
    auto next = c.plans.upper_bound(c.lastServedPlan);
    visit(next, c.plans.end());
    visit(c.plans.begin(), next);
    return found;
  }

  /// The request to start next, as chosen by pick(). Credits and deficits change only once the
  /// plan's share was acquired.
  struct Pick {
    QueueEntry *head = nullptr;
    Duration quantum{0};                       ///< added to the plan's deficit
    std::array<bool, ClassCount> contending{}; ///< classes that could start a request
  };

  /// Chooses a plan by deficit round robin. The plan served last is chosen again while its deficit
  /// covers the cost of its next request; then the next plan receives a quantum. The quantum is the
  /// largest cost at the head of a queue, so that one quantum always suffices for a start.
  static void pickPlan(const PriorityClass &c, const std::vector<Candidate> &found, Pick &pick) {
    auto &last = found.back();
    bool lastContinues =
        last.head->request.plan == c.lastServedPlan && last.queue->deficit >= costOf(*last.head);
    if (lastContinues) {
      pick.head = last.head;
      return;
    }
    pick.head = found.front().head;
    for (auto &it : found)
      pick.quantum = std::max(pick.quantum, costOf(*it.head));
  }

  /// Chooses the next request by smooth weighted round robin between the classes that can start
  /// one. `head` is null if none can.
  Pick pick(Instant now) {
    Pick result;
    std::vector<Candidate> best;
    int highest = std::numeric_limits<int>::min();
    for (std::size_t i = ClassCount; i-- > 0;) {
      auto found = startCandidates(classes[i], now);
      result.contending[i] = !found.empty();
      int credit = classes[i].credit + ClassWeight[i];
      if (found.empty() || credit <= highest)
        continue;
      highest = credit;
      best = std::move(found);
    }
    if (!best.empty())
      pickPlan(classes[classOf(*best.front().head)], best, result);
    return result;
  }

  static std::size_t classOf(const QueueEntry &w) {
    return static_cast<std::size_t>(w.request.priority);
  }

  /// Starts requests until no more can start.
  void startAll(Instant now) {
    plansWithoutShare.clear();
    readyCache.clear();
    for (auto next = pick(now); next.head; next = pick(now)) {
      auto plan = next.head->request.plan;
      if (acquire(plan))
        start(next, now);
      else
        markBlocked(plan, now);
    }
    for (auto &[name, state] : plans)
      state.blocked = state.blocked && plansWithoutShare.contains(name);
  }

  /// Updates the credits of the contending classes and the plan's deficit for a start.
  void charge(const Pick &picked) {
    auto &w = *picked.head;
    int total = 0;
    for (std::size_t i = 0; i < ClassCount; ++i)
      if (picked.contending[i]) {
        classes[i].credit += ClassWeight[i];
        total += ClassWeight[i];
      }
    auto &c = classes[classOf(w)];
    c.credit -= total;
    c.lastServedPlan = w.request.plan;
    auto &deficit = c.plans[w.request.plan].deficit;
    deficit = std::min(deficit + picked.quantum, 2 * MaxCost) - costOf(w);
  }

  /// Excludes a plan whose share is in full use from the rest of this pass.
  void markBlocked(const PlanName &plan, Instant now) {
    plansWithoutShare.insert(plan);
    auto &state = plans[plan];
    if (!state.blocked)
      state.blockedSince = now;
    state.blocked = true;
  }

  void start(const Pick &picked, Instant now) {
    auto &w = *picked.head;
    charge(picked);
    recordStart(plans[w.request.plan], now);
    // The start uses capacity of the model, so its readiness must be checked again.
    readyCache.erase(w.request.model);
    finish(w.ticket, {.outcome = AdmissionOutcome::Start});
  }

  /// Adds a start of a blocked plan to the mean time between starts.
  static void recordStart(PlanState &state, Instant now) {
    if (!state.blocked)
      return;
    state.gapSeconds = state.gapSeconds * StartDecay + toSeconds(now - state.blockedSince);
    state.starts = state.starts * StartDecay + 1;
    state.blockedSince = now;
  }

  // ---- Refusing ---------------------------------------------------------------------------------

  /// Estimates when the model can serve requests. Without an estimate from the planner, the
  /// remaining time is assumed to equal the time waited so far; after an estimate has passed, the
  /// time since then.
  static Instant modelReadyTime(const ModelState &m, Instant now) {
    if (m.ready)
      return now;
    if (!m.readyAt)
      return now + (now - m.notReadySince);
    return std::max(*m.readyAt, now + std::max(Duration{0}, now - *m.readyAt));
  }

  /// Estimates when the plan's share admits a request that has `ahead` others of its plan before
  /// it. If the queue has stalled for longer than the mean predicts, it is assumed to stall for as
  /// long again.
  static Instant shareFreeTime(const PlanState &p, std::size_t ahead, Instant now) {
    if (!p.blocked)
      return now;
    Duration stalled = now - p.blockedSince;
    return now + std::max(p.startInterval() * static_cast<std::int64_t>(ahead + 1), stalled);
  }

  /// Refuses the request if it cannot be served by its deadline. Returns true if it was refused.
  bool refuseIfLate(const QueueEntry &w, std::size_t ahead, Instant now) {
    auto modelReadyAt = modelReadyTime(models[w.request.model], now);
    auto shareFreeAt = shareFreeTime(plans[w.request.plan], ahead, now);
    auto startAt = std::max(modelReadyAt, shareFreeAt);
    if (startAt + w.request.serviceTime <= w.request.deadline)
      return false;
    const char *reason = startAt == now                ? "deadline_too_short"
                         : modelReadyAt >= shareFreeAt ? "model_not_ready_in_time"
                                                       : "share_not_free_in_time";
    finish(w.ticket, {AdmissionOutcome::Refused, startAt - now, reason});
    return true;
  }

  /// Number of other requests of the same plan in the same and higher priority classes, an upper
  /// bound of those that start before this one.
  std::size_t countAhead(const Position &p) {
    std::size_t n = 0;
    for (std::size_t i = p.priority; i < ClassCount; ++i) {
      auto it = classes[i].plans.find(p.plan);
      if (it == classes[i].plans.end())
        continue;
      for (auto &[model, list] : it->second.models)
        n += list.size();
    }
    return n > 0 ? n - 1 : 0;
  }

  /// Applies the queue limit and the deadline check to requests enqueued since the last pump.
  void checkNewRequests(Instant now) {
    auto tickets = std::exchange(newTickets, {});
    for (auto it : tickets) {
      auto at = positions.find(it);
      if (at == positions.end())
        continue;
      auto &w = *at->second.it;
      auto &plan = plans[w.request.plan];
      if (plan.waiting > config::MaxWaitingPerPlan) {
        auto wait = shareFreeTime(plan, plan.waiting, now) - now;
        finish(it, {AdmissionOutcome::Refused, wait, "queue_full"});
      } else if (guards.refuseWhenLate) {
        refuseIfLate(w, countAhead(at->second), now);
      }
    }
  }

  /// Checks all queued requests against their deadlines.
  void refuseLateRequests(Instant now) {
    lastReview = now;
    // Higher classes come first, and older requests within a class. A refused request no longer
    // counts as ahead of the later ones of its plan.
    std::unordered_map<PlanName, std::size_t> ahead;
    for (std::size_t i = ClassCount; i-- > 0;)
      for (auto it : ticketsOf(i)) {
        auto at = positions.find(it);
        if (at == positions.end())
          continue;
        auto &n = ahead[at->second.plan];
        if (!refuseIfLate(*at->second.it, n, now))
          ++n;
      }
  }

  /// Tickets of a priority class, oldest first.
  std::vector<Ticket> ticketsOf(std::size_t priority) const {
    std::vector<Ticket> tickets;
    for (auto &[name, plan] : classes[priority].plans)
      for (auto &[model, list] : plan.models)
        for (auto &w : list)
          tickets.push_back(w.ticket);
    std::sort(tickets.begin(), tickets.end());
    return tickets;
  }

  std::vector<Ticket> ticketsOf(const ModelName &model) const {
    std::vector<Ticket> tickets;
    for (auto &[ticket, p] : positions)
      if (p.model == model)
        tickets.push_back(ticket);
    return tickets;
  }

  /// Checks the requests of models whose estimate has changed.
  void recheckChangedModels(Instant now) {
    auto changed = std::exchange(changedEstimates, {});
    for (auto &model : changed)
      for (auto it : ticketsOf(model))
        if (auto at = positions.find(it); at != positions.end())
          refuseIfLate(*at->second.it, 0, now);
  }

  /// One pass of pump().
  void pumpOnce(Instant now) {
    startAll(now);
    checkNewRequests(now);
    if (guards.refuseWhenLate) {
      recheckChangedModels(now);
      if (now - lastReview >= ReviewInterval)
        refuseLateRequests(now);
    }
    dropEmptyQueues();
  }

  void dropEmptyQueues() {
    for (auto &c : classes) {
      for (auto &[name, plan] : c.plans)
        std::erase_if(plan.models, [](auto &it) { return it.second.empty(); });
      std::erase_if(c.plans, [](auto &it) { return it.second.models.empty(); });
      if (c.plans.empty())
        c.credit = 0;
    }
    std::erase_if(models, [](auto &it) { return it.second.waiting == 0; });
  }
};

Admission::Admission(AcquireShare acquire, ModelReady ready, Guards guards)
    : impl(std::make_unique<Impl>()) {
  impl->acquire = std::move(acquire);
  impl->ready = std::move(ready);
  impl->guards = guards;
}

Admission::~Admission() = default;

Admission::Ticket Admission::enqueue(const WaitingRequest &request, Instant now, Done done) {
  auto ticket = ++impl->lastTicket;
  auto priority = static_cast<std::size_t>(request.priority);
  auto &list = impl->classes[priority].plans[request.plan].models[request.model];
  list.push_back({ticket, request, std::move(done)});
  impl->positions.emplace(ticket,
                          Position{priority, request.plan, request.model, std::prev(list.end())});
  ++impl->plans[request.plan].waiting;
  auto &model = impl->models[request.model];
  if (model.waiting++ == 0)
    model.notReadySince = now;
  impl->newTickets.push_back(ticket);
  return ticket;
}

void Admission::cancel(Ticket ticket) {
  if (impl->positions.contains(ticket))
    impl->finish(ticket, {.outcome = AdmissionOutcome::Cancelled});
}

void Admission::setModelEstimate(const ModelName &model, Instant readyAt) {
  auto it = impl->models.find(model);
  if (it == impl->models.end())
    return;
  it->second.readyAt = readyAt;
  impl->changedEstimates.insert(model);
}

void Admission::refuseModel(const ModelName &model, Duration retryAfter,
                            const std::string &reason) {
  for (auto it : impl->ticketsOf(model))
    if (impl->positions.contains(it))
      impl->finish(it, {AdmissionOutcome::Refused, retryAfter, reason});
}

void Admission::refuse(const ModelName &model, const PlanName &plan, Instant deadline,
                       Duration retryAfter, const std::string &reason) {
  for (auto it : impl->ticketsOf(model)) {
    auto at = impl->positions.find(it);
    if (at == impl->positions.end() || at->second.plan != plan)
      continue;
    if (at->second.it->request.deadline <= deadline)
      impl->finish(it, {AdmissionOutcome::Refused, retryAfter, reason});
  }
}

std::vector<WaitingGroup> Admission::waitingGroups() const {
  std::map<std::pair<ModelName, PlanName>, WaitingGroup> found;
  for (auto &[ticket, p] : impl->positions) {
    auto &row = found[{p.model, p.plan}];
    ++row.count;
    if (row.count > 1 && p.it->request.deadline <= row.deadline)
      continue;
    row.model = p.model;
    row.plan = p.plan;
    row.requestId = p.it->request.requestId;
    row.deadline = p.it->request.deadline;
  }
  std::vector<WaitingGroup> rows;
  rows.reserve(found.size());
  for (auto &it : found)
    rows.push_back(std::move(it.second));
  return rows;
}

void Admission::pump(Instant now) {
  // A callback may call pump() again; its pass runs after the current one.
  impl->pumpAgain = true;
  if (impl->pumping)
    return;
  impl->pumping = true;
  while (std::exchange(impl->pumpAgain, false))
    impl->pumpOnce(now);
  impl->pumping = false;
}

std::size_t Admission::waiting() const { return impl->positions.size(); }

std::size_t Admission::waiting(const PlanName &plan) const {
  auto it = impl->plans.find(plan);
  return it == impl->plans.end() ? 0 : it->second.waiting;
}

std::size_t Admission::waiting(const ModelName &model) const {
  auto it = impl->models.find(model);
  return it == impl->models.end() ? 0 : it->second.waiting;
}

} // namespace catkin
