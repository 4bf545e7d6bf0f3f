#include "admission_p.h"
#include "policy_p.h"
#include "quota_issuer_p.h"
#include "router_p.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <new>
#include <string>
#include <vector>

/// Measures the time and the allocations of single decisions, at the current and the target size.

namespace {

std::atomic<std::uint64_t> allocations{0};

void *countedAllocate(std::size_t n) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void *p = std::malloc(n))
    return p;
  throw std::bad_alloc();
}

} // namespace

void *operator new(std::size_t n) { return countedAllocate(n); }
void *operator new[](std::size_t n) { return countedAllocate(n); }
void operator delete(void *p) noexcept { std::free(p); }
void operator delete[](void *p) noexcept { std::free(p); }
void operator delete(void *p, std::size_t) noexcept { std::free(p); }
void operator delete[](void *p, std::size_t) noexcept { std::free(p); }

namespace catkin::bench {
namespace {

using namespace std::chrono_literals;

/// Size of a deployment. A host's routing table does not depend on the number of hosts, but its
/// part of the traffic does: at the target size 36 waiting requests are two seconds of all traffic
/// of one host.
struct Size {
  const char *name;
  int hosts;
  int engines;
  int models;
  int plans;
  int waiting; ///< requests waiting on the host for other models
};
constexpr Size Sizes[] = {{"today", 8, 25, 60, 6, 30}, {"target", 340, 2300, 1990, 200, 36}};

constexpr Instant Start{std::chrono::hours(1)};

ModelName modelName(int i) { return ModelName("model-" + std::to_string(10000 + i)); }
EndpointName engineName(int i) { return EndpointName("engine-" + std::to_string(10000 + i)); }
PlanName planName(int i) { return PlanName("plan-" + std::to_string(1000 + i)); }

/// Returns a table in which a tenth of the models is loaded on a twentieth of the engines each,
/// another fifth on one engine each, and the others on none.
std::vector<RouteEntry> makeTable(const Size &size) {
  std::vector<RouteEntry> table;
  for (int m = 0; m < size.models; ++m) {
    int replicas = m % 10 == 0 ? std::max(2, size.engines / 20) : (m % 10 < 3 ? 1 : 0);
    for (int r = 0; r < replicas; ++r) {
      int e = (m * 37 + r * 19) % size.engines;
      table.push_back({.model = modelName(m),
                       .endpoint = engineName(e),
                       .address = {"127.0.0.1", static_cast<std::uint16_t>(10000 + e)},
                       .dataCentre = DataCentreName("dc-" + std::to_string(e % 7)),
                       .state = ReplicaState::Loaded,
                       .running = e % 5});
    }
  }
  return table;
}

/// Reports the number of allocations per iteration.
class AllocationCount {
public:
  explicit AllocationCount(benchmark::State &s) : state(s), before(allocations) {}
  ~AllocationCount() {
    state.counters["allocs"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                  benchmark::Counter::kAvgIterations);
  }
  AllocationCount(const AllocationCount &) = delete;
  AllocationCount &operator=(const AllocationCount &) = delete;

private:
  benchmark::State &state;
  std::uint64_t before;
};

void label(benchmark::State &state, const Size &size) {
  state.SetLabel(std::string(size.name) + ": " + std::to_string(size.hosts) + " hosts, " +
                 std::to_string(size.engines) + " engines, " + std::to_string(size.models) +
                 " models");
}

/// Measures one routing decision with start and end of the request, for all loaded models in turn.
void routeDecision(benchmark::State &state) {
  const auto &size = Sizes[state.range(0)];
  Router router({.dataCentre = DataCentreName("dc-0")});
  router.setTable(makeTable(size));
  std::vector<RouteRequest> requests;
  for (int m = 0; m < size.models; m += 10)
    requests.push_back({.model = modelName(m), .prefixHash = static_cast<std::uint64_t>(m / 20)});
  Instant now = Start;
  std::size_t i = 0;
  AllocationCount count(state);
  for (auto _ : state) {
    auto choice = router.choose(requests[i++ % requests.size()], now);
    router.onStart(choice.endpoint, now);
    now += 1ms;
    router.onEnd(choice.endpoint, true, now);
    benchmark::DoNotOptimize(choice);
  }
  label(state, size);
}
BENCHMARK(routeDecision)->Arg(0)->Arg(1);

/// Measures the application of a changed table, which happens at most once per sync.
void routeTable(benchmark::State &state) {
  const auto &size = Sizes[state.range(0)];
  Router router({.dataCentre = DataCentreName("dc-0")});
  auto table = makeTable(size);
  AllocationCount count(state);
  for (auto _ : state)
    router.setTable(table);
  label(state, size);
  state.counters["entries"] = static_cast<double>(table.size());
}
BENCHMARK(routeTable)->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);

std::unique_ptr<Admission> makeAdmission(const Size &size, const ModelName &ready) {
  auto admission = std::make_unique<Admission>([](const PlanName &) { return true; },
                                               [&ready](const ModelName &m) { return m == ready; });
  for (int i = 0; i < size.waiting; ++i) {
    auto model = modelName(1 + i % (size.models - 1));
    admission->enqueue({.requestId = "r",
                        .plan = planName(i % size.plans),
                        .model = model,
                        .deadline = Start + std::chrono::hours(24 * 365)},
                       Start, [](const AdmissionResult &) {});
    admission->setModelEstimate(model, Start + 30s);
  }
  admission->pump(Start);
  return admission;
}

/// Measures the admission of one request, from the queue to its start, while others wait for models
/// that are not loaded.
void admissionDecision(benchmark::State &state) {
  const auto &size = Sizes[state.range(0)];
  const auto ready = modelName(0);
  auto admission = makeAdmission(size, ready);
  WaitingRequest request{
      .requestId = "r", .plan = planName(0), .model = ready, .deadline = Start + 1h};
  std::uint64_t started = 0;
  AllocationCount count(state);
  for (auto _ : state) {
    admission->enqueue(request, Start, [&started](const AdmissionResult &r) {
      started += r.outcome == AdmissionOutcome::Start;
    });
    admission->pump(Start);
  }
  if (started != static_cast<std::uint64_t>(state.iterations()))
    state.SkipWithError("a request was not started");
  label(state, size);
  state.counters["waiting"] = static_cast<double>(admission->waiting());
}
BENCHMARK(admissionDecision)->Arg(0)->Arg(1);

/// Measures an admission round that starts no request. One runs every 10 ms while requests wait.
void admissionIdlePump(benchmark::State &state) {
  const auto &size = Sizes[state.range(0)];
  const auto ready = modelName(0);
  auto admission = makeAdmission(size, ready);
  Instant now = Start;
  AllocationCount count(state);
  for (auto _ : state) {
    now += 10ms;
    admission->pump(now);
  }
  label(state, size);
  state.counters["waiting"] = static_cast<double>(admission->waiting());
}
BENCHMARK(admissionIdlePump)->Arg(0)->Arg(1);

// ---- Policy
// --------------------------------------------------------------------------------------

constexpr std::int64_t WallStart = 20059LL * 86400;

std::unique_ptr<RetentionPolicy> makePolicy(const Size &size) {
  auto policy = createRetentionPolicy("adaptive", {});
  for (int day = 0; day < 13; ++day)
    for (int m = 0; m < size.models; ++m)
      for (int use = 0; use < 4; ++use) {
        auto wall = WallStart + day * 86400LL + (m * 977 + use * 5000) % 86400;
        policy->onArrivals(modelName(m), 1, Start + std::chrono::seconds(wall - WallStart), wall);
      }
  return policy;
}

/// Measures the decision whether to keep one idle replica, without cached results.
void retentionDecision(benchmark::State &state) {
  const auto &size = Sizes[state.range(0)];
  auto policy = makePolicy(size);
  auto wall = WallStart + 13 * 86400LL;
  auto now = Start + std::chrono::seconds(wall - WallStart);
  RetentionInput in{.loadTime = 10s};
  int m = 0;
  AllocationCount count(state);
  for (auto _ : state) {
    state.PauseTiming();
    in.model = modelName(m++ % size.models);
    now += 1min; // earlier decisions are no longer valid
    in.now = now;
    in.wallSeconds = wall;
    in.lastUse = now - 20min;
    state.ResumeTiming();
    benchmark::DoNotOptimize(policy->shouldRelease(in));
  }
  label(state, size);
}
BENCHMARK(retentionDecision)->Arg(0)->Arg(1)->Iterations(20000);

/// Measures the check of all models for prewarming, which runs every 15 s.
void prewarmPass(benchmark::State &state) {
  const auto &size = Sizes[state.range(0)];
  auto policy = makePolicy(size);
  auto wall = WallStart + 13 * 86400LL;
  auto now = Start + std::chrono::seconds(wall - WallStart);
  AllocationCount count(state);
  for (auto _ : state) {
    now += 1min;
    benchmark::DoNotOptimize(policy->prewarm(now, wall));
  }
  label(state, size);
}
BENCHMARK(prewarmPass)->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);

// ---- Quotas of teams
// ---------------------------------------------------------------------------

/// Measures the charge of a request to a quota, while 200 teams send in turn and about half of the
/// requests are denied.
void quotaCharge(benchmark::State &state) {
  constexpr int Teams = 200;
  const TeamQuota quota{.unit = QuotaUnit::Tokens, .perSecond = 1e6, .burst = 1e6};
  std::vector<TeamName> names;
  names.reserve(Teams);
  for (int i = 0; i < Teams; ++i)
    names.emplace_back("team-" + std::to_string(10000 + i));
  QuotaIssuer issuer(QuotaOptions{}, {});
  Instant now = Start;
  std::size_t n = 0;
  AllocationCount count(state);
  for (auto _ : state) {
    now += 50us; // 10 ms between two requests of a team
    benchmark::DoNotOptimize(issuer.issue(names[n++ % Teams], quota, 20'000, {.first = true}, now));
  }
}
BENCHMARK(quotaCharge);

} // namespace
} // namespace catkin::bench

BENCHMARK_MAIN();
