#include "endpoint_choice_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

/// Plays a busy day at a reduced scale against the choice of endpoints, with a small queueing model
/// of engines in place of a network.
namespace catkin {
namespace {

using namespace std::chrono_literals;

constexpr int Hosts = 61, Engines = 60, DataCentres = 3, Slots = 64, Events = 58;
constexpr double RunSeconds = 30, RatePerSecond = 200, Peak = 1.6; // of the mean rate
constexpr double Memory = 232'000;
constexpr double ReportInterval = 0.5, ReportDelay = 0.2;
constexpr double CutFrom = 12, CutUntil = 17; // the last data centre reaches no other one
constexpr double BytesPerEvent = 80;
const ServiceName Service("llm");

/// How requests are sent.
enum class Rule { Today, New, NeverLeave, AlwaysLeave };

/// A kind of requests; its index is its priority.
struct Kind {
  double share, objective, minTokens, maxTokens, skew;
};
constexpr std::array<Kind, 3> Kinds{
    {{0.45, 0.5, 500, 1160, 1}, {0.3, 1, 2000, 16'400, 1}, {0.25, 6, 1000, 45'000, 4}}};

struct Call {
  int kind = 0, host = 0, engine = 0, eventsLeft = Events;
  double arrivedAt = 0, prompt = 0, unread = 0;
  std::uint64_t affinity = 0;
  bool begun = false;
  EngineRun run;
};
using CallPtr = std::shared_ptr<Call>;

struct Engine {
  double pace = 1, slowUntil = 0, tokens = 0;
  std::vector<CallPtr> waiting, batch;
  std::deque<std::uint64_t> kept; // affinity values
  bool busy = false;
};

/// What callers get, over the whole run.
struct Result {
  std::array<double, Kinds.size()> asked{}, inTime{};
  double crossedMegabytes = 0, busiest = 0; ///< busiest engine: its tokens relative to the mean
  int crashes = 0;
  double share(int kind) const { return inTime[kind] / asked[kind]; }
};

class World {
public:
  World(Rule rule, bool readsUrgentFirst)
      : rule(rule), readsUrgentFirst(readsUrgentFirst), engines(Engines), views(Hosts),
        policies(Hosts) {
    FleetConfig config{.version = 1};
    config.services[Service] = {.name = Service, .hasEngines = true, .engine = {.tokens = Memory}};
    for (auto &view : views) {
      view.setConfig(config);
      for (int i = 0; i < Engines; ++i)
        view.putEndpoint({.name = nameOf(i),
                          .service = Service,
                          .dataCentre = dataCentreOf(i),
                          .slots = Slots,
                          .incarnation = 1},
                         at(0));
    }
    for (int i = 0; i < Engines; ++i)
      engines[i].pace = i % 4 == 1 ? 0.34 + 0.2 * uniform() : 0.9 + 0.3 * uniform();
  }

  Result run() {
    scheduleArrival();
    report();
    after(1, [this] { stall(); });
    while (!events.empty() && now < RunSeconds + 20) {
      const Event event = events.top();
      events.pop();
      now = event.first.first;
      event.second();
    }
    double most = 0, all = 0;
    for (auto &it : engines) {
      most = std::max(most, it.tokens);
      all += it.tokens;
    }
    result.busiest = most * Engines / all;
    return result;
  }

private:
  using Event = std::pair<std::pair<double, int>, std::function<void()>>; // time and order
  struct Later {
    bool operator()(const Event &a, const Event &b) const { return a.first > b.first; }
  };
  static Instant at(double seconds) { return Instant(1h) + fromSeconds(seconds); }
  static EndpointName nameOf(int engine) { return EndpointName("i-" + std::to_string(engine)); }
  static DataCentreName dataCentreOf(int i) {
    return DataCentreName(std::to_string(i % DataCentres));
  }
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }
  void after(double d, const std::function<void()> &what) {
    events.push({{now + d, ++order}, what});
  }
  bool isCut(int a, int b) const {
    const bool crosses =
        (a % DataCentres == DataCentres - 1) != (b % DataCentres == DataCentres - 1);
    return crosses && now >= CutFrom && now < CutUntil;
  }

  /// The peaks of the data centres follow one another.
  void scheduleArrival() {
    after(-std::log(1 - uniform()) / (RatePerSecond * Peak), [this] {
      const int host = static_cast<int>(uniform() * Hosts);
      const double phase = now / RunSeconds + 1.0 * (host % DataCentres) / DataCentres;
      if (uniform() * Peak < 1 + (Peak - 1) * std::sin(2 * M_PI * phase))
        send(makeCall(host), {});
      if (now < RunSeconds)
        scheduleArrival();
    });
  }

  CallPtr makeCall(int host) {
    const double pick = uniform();
    const int kind = pick < Kinds[0].share ? 0 : pick < 1 - Kinds[2].share ? 1 : 2;
    auto &it = Kinds[kind];
    ++result.asked[kind];
    const double spread = (it.maxTokens - it.minTokens) * std::pow(uniform(), it.skew);
    const auto affinity = 1 + kind * 100 + static_cast<std::uint64_t>(30 * std::pow(uniform(), 2));
    return std::make_shared<Call>(Call{.kind = kind,
                                       .host = host,
                                       .arrivedAt = now,
                                       .prompt = it.minTokens + spread,
                                       .affinity = affinity});
  }

  void send(const CallPtr &call, std::set<EndpointName> excluded) {
    const EngineRequest request{call->prompt, Events, call->kind};
    EndpointQuery query{.service = Service, .affinity = call->affinity, .excluded = &excluded};
    if (rule != Rule::AlwaysLeave)
      query.dataCentre = dataCentreOf(call->host);
    if (rule != Rule::Today) {
      query.request = request;
      query.bytes = call->prompt + Events * BytesPerEvent;
      query.objective = fromSeconds(Kinds[call->kind].objective);
      query.locality = &policies[call->host];
    }
    for (int i = 0; i < Engines && rule == Rule::NeverLeave; ++i)
      if (i % DataCentres != call->host % DataCentres)
        excluded.insert(nameOf(i));
    auto &view = views[call->host];
    auto *chosen = chooseEndpoint(view, query, at(now), choiceRandom());
    if (!chosen)
      return;
    const EndpointName name = chosen->entry.name;
    call->engine = std::stoi(name.value.substr(2));
    call->run = view.onSent(name, request, at(now));
    view.onSent(name);
    const bool leaves = call->engine % DataCentres != call->host % DataCentres;
    if (isCut(call->host, call->engine)) {
      excluded.insert(name);
      return after(0.4, [this, call, excluded] {
        end(*call, EndpointResult::NotConnected);
        send(call, excluded);
      });
    }
    result.crossedMegabytes += leaves ? (call->prompt + Events * BytesPerEvent) / 1e6 : 0;
    after(leaves ? 0.002 : 0.0003, [this, call] { arrive(call); });
  }

  void end(const Call &call, EndpointResult outcome) {
    views[call.host].onRunEnded(nameOf(call.engine), call.run, outcome, at(now));
    views[call.host].onEnded(nameOf(call.engine), outcome, at(now));
  }

  void arrive(const CallPtr &call) {
    auto &engine = engines[call->engine];
    const bool hit = std::count(engine.kept.begin(), engine.kept.end(), call->affinity) > 0;
    call->unread = hit ? call->prompt / 2 : call->prompt;
    engine.tokens += call->unread;
    engine.waiting.push_back(call);
    double held = 0;
    for (auto *list : {&engine.waiting, &engine.batch})
      for (auto &it : *list)
        held += it->prompt + Events;
    if (held <= Memory)
      return step(engine);
    ++result.crashes;
    for (auto *list : {&engine.waiting, &engine.batch})
      for (auto &it : std::exchange(*list, {}))
        end(*it, EndpointResult::Failed);
  }

  /// Admits requests by priority, reads one piece of their prompts and generates one token of each
  /// other one.
  void step(Engine &engine) {
    const auto sortByUrgency = [](std::vector<CallPtr> &list) {
      std::stable_sort(list.begin(), list.end(),
                       [](auto &a, auto &b) { return a->kind < b->kind; });
    };
    if (engine.busy || (engine.waiting.empty() && engine.batch.empty()))
      return;
    sortByUrgency(engine.waiting);
    for (; engine.batch.size() < Slots && !engine.waiting.empty();
         engine.waiting.erase(engine.waiting.begin()))
      engine.batch.push_back(engine.waiting.front());
    if (readsUrgentFirst)
      sortByUrgency(engine.batch);
    double piece = 4096, generating = 0;
    for (auto &it : engine.batch) {
      const double n = std::min(it->unread, piece);
      generating += it->unread <= 0 ? 1 : 0;
      it->unread -= n;
      piece -= n;
    }
    const double seconds = 0.00547 * (1 + generating / Slots) + (4096 - piece) / 38'700;
    engine.busy = true;
    after(seconds * (now < engine.slowUntil ? 2.5 : 1) / engine.pace,
          [this, &engine] { finishStep(engine); });
  }

  void finishStep(Engine &engine) {
    engine.busy = false;
    for (auto &it : std::exchange(engine.batch, {})) {
      if (it->unread > 0) {
        engine.batch.push_back(it);
        continue;
      }
      if (!std::exchange(it->begun, true)) {
        result.inTime[it->kind] += now - it->arrivedAt <= Kinds[it->kind].objective ? 1 : 0;
        engine.kept.push_front(it->affinity);
        engine.kept.resize(std::min<std::size_t>(engine.kept.size(), 12));
      }
      views[it->host].onEvents(nameOf(it->engine), it->run, 1, at(now));
      if (--it->eventsLeft > 0)
        engine.batch.push_back(it);
      else
        end(*it, EndpointResult::Answered);
    }
    step(engine);
  }

  /// One engine at a time slows down, in every fifth case for good.
  void stall() {
    auto &engine = engines[static_cast<std::size_t>(uniform() * Engines)];
    engine.slowUntil = now + (uniform() < 0.2 ? RunSeconds : 1.5);
    if (now < RunSeconds)
      after(0.7, [this] { stall(); });
  }

  /// Hosts know what those of their own data centre had 0.2 to 0.7 s ago, and others 1.2 to 1.7 s.
  void report() {
    Snapshot snapshot(Hosts);
    for (int i = 0; i < Hosts; ++i)
      for (auto &[name, it] : views[i].endpoints())
        snapshot[i].push_back({it.ownInFlight, it.load.ownTokens(at(now))});
    snapshots.push_front(std::move(snapshot));
    snapshots.resize(std::min<std::size_t>(snapshots.size(), 3));
    after(ReportDelay, [this] {
      for (int i = 0; i < Hosts && snapshots.size() == 3; ++i)
        applyReports(i);
    });
    if (now < RunSeconds)
      after(ReportInterval, [this] { report(); });
  }

  void applyReports(int host) {
    std::vector<Load> sums(Engines);
    for (int i = 0; i < Hosts; ++i) {
      auto &loads = snapshots[i % DataCentres == host % DataCentres ? 0 : 2][i];
      for (int e = 0; e < Engines && i != host && !isCut(host, i); ++e) {
        sums[e].requests += loads[e].requests;
        sums[e].tokens += loads[e].tokens;
      }
    }
    auto sum = sums.begin();
    for (auto &[name, it] : views[host].endpoints()) {
      views[host].setPeersInFlight(name, sum->requests, sum->tokens);
      ++sum;
    }
  }

  struct Load {
    int requests = 0;
    EngineTokens tokens;
  };
  using Snapshot = std::vector<std::vector<Load>>; // by host and engine, in the order of names

  Rule rule;
  bool readsUrgentFirst;
  std::vector<Engine> engines;
  std::vector<FleetView> views;
  std::vector<LocalityPolicy> policies;
  std::deque<Snapshot> snapshots;
  std::priority_queue<Event, std::vector<Event>, Later> events;
  std::mt19937_64 random{7}, choiceRandom{8}; // the same load for all rules
  int order = 0;
  double now = 0;
  Result result;
};

/// Whether engines read the prompts that they have admitted in this order, or the urgent ones
/// first.
class EngineChoiceLoadTest : public ::testing::TestWithParam<bool> {
protected:
  static Result play(Rule rule, const char *name) {
    const Result it = World(rule, GetParam()).run();
    std::printf("%-12s in time %.3f %.3f %.3f, crossed %.1f MB, crashes %d, busiest %.2f\n", name,
                it.share(0), it.share(1), it.share(2), it.crossedMegabytes, it.crashes, it.busiest);
    return it;
  }
};

// Guards against a rule that serves urgent requests no better than the numbers of requests in
// progress do, or that sends more to other data centres than it must.
TEST_P(EngineChoiceLoadTest, UrgentRequestsAreInTimeAndFewBytesCross) {
  const Result today = play(Rule::Today, "today");
  const Result chosen = play(Rule::New, "new");
  const Result never = play(Rule::NeverLeave, "never leave");
  const Result always = play(Rule::AlwaysLeave, "always leave");
  EXPECT_GT(chosen.share(0), today.share(0) + 0.02);
  EXPECT_GT(chosen.share(1), today.share(1));
  EXPECT_GT(chosen.share(2), today.share(2));
  EXPECT_GE(chosen.share(0), never.share(0) - 0.01);
  EXPECT_LT(chosen.crossedMegabytes, 0.5 * always.crossedMegabytes);
  EXPECT_LE(chosen.crashes, today.crashes);
}
INSTANTIATE_TEST_SUITE_P(Engines, EngineChoiceLoadTest, ::testing::Bool());

} // namespace
} // namespace catkin
