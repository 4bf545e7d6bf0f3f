#include "workload_helper.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

namespace catkin::bench {

namespace {

constexpr std::uint64_t Giga = 1'000'000'000;
constexpr double Hour = 3600;
constexpr double Minute = 60;

/// Seeded random numbers. It does not use the standard distributions, whose results differ between
/// libraries.
class Draw {
public:
  explicit Draw(std::uint64_t seed) : engine(seed) {}

  double uniform(double low, double high) {
    return low + (high - low) * static_cast<double>(engine() >> 11) * 0x1.0p-53;
  }
  int integer(int low, int high) { return low + static_cast<int>(uniform(0, high - low + 1)); }
  bool chance(double p) { return uniform(0, 1) < p; }
  double exponential(double mean) { return -mean * std::log(1 - uniform(0, 1)); }

  /// Returns `n` different numbers below `limit`.
  std::vector<int> choose(int n, int limit) {
    std::vector<int> all(static_cast<std::size_t>(limit));
    for (int i = 0; i < limit; ++i)
      all[static_cast<std::size_t>(i)] = i;
    for (int i = 0; i < n; ++i)
      std::swap(all[static_cast<std::size_t>(i)],
                all[static_cast<std::size_t>(integer(i, limit - 1))]);
    all.resize(static_cast<std::size_t>(n));
    return all;
  }

private:
  std::mt19937_64 engine;
};

/// Properties of the requests of one activity.
struct Kind {
  int plan = 0;
  double deadline = 30;
  double serviceLow = 1;
  double serviceHigh = 4;
};

/// Adds requests to a workload.
class TraceWriter {
public:
  TraceWriter(Workload &w, Draw &d) : workload(w), draw(d), adaptersOf(w.models.size()) {
    for (std::size_t i = 0; i < w.models.size(); ++i)
      if (w.models[i].isAdapter())
        adaptersOf[baseIndex(w.models[i].base)].push_back(static_cast<int>(i));
  }

  /// Adds one request. Half of the requests for a model with adapters use one of its first
  /// adapters.
  void request(double at, int model, const Kind &kind) {
    const auto &adapters = adaptersOf[static_cast<std::size_t>(model)];
    if (!adapters.empty() && draw.chance(0.5))
      model =
          adapters[std::min(adapters.size() - 1, static_cast<std::size_t>(draw.exponential(1.5)))];
    workload.requests.push_back({.at = at,
                                 .host = draw.integer(0, Hosts - 1),
                                 .model = model,
                                 .plan = kind.plan,
                                 .deadline = kind.deadline,
                                 .service = draw.uniform(kind.serviceLow, kind.serviceHigh)});
  }

  /// Adds `n` requests for a model within `seconds`, at all hosts.
  void burst(double at, int model, int n, double seconds, const Kind &kind) {
    for (int i = 0; i < n; ++i)
      request(at + draw.uniform(0, seconds), model, kind);
  }

  /// Adds requests with random intervals of the given mean.
  void poisson(double from, double to, double meanGap, int model, const Kind &kind) {
    for (double t = from + draw.exponential(meanGap); t < to; t += draw.exponential(meanGap))
      request(t, model, kind);
  }

  void finish() {
    std::ranges::stable_sort(workload.requests, {}, &TraceRequest::at);
    std::ranges::stable_sort(workload.faults, {}, &Fault::at);
  }

private:
  std::size_t baseIndex(const ModelName &base) const {
    auto it = std::ranges::find(workload.models, base, &Model::name);
    return static_cast<std::size_t>(it - workload.models.begin());
  }

  Workload &workload;
  Draw &draw;
  std::vector<std::vector<int>> adaptersOf;
};

struct ModelCounts {
  int small = 0;  ///< 3 to 5 GB, office and dispatch
  int medium = 0; ///< 10 to 20 GB
  int large = 0;  ///< 26 to 34 GB
  int adapters = 0;
  int bases = 0; ///< models that have adapters, from the first on
};

void addModels(Workload &w, Draw &draw, const ModelCounts &counts) {
  auto add = [&](const char *kind, int i, std::uint64_t bytes, ModelName base = {}) {
    w.models.push_back({.name = ModelName(std::string(kind) + "-" + std::to_string(100 + i)),
                        .base = std::move(base),
                        .version = "1",
                        .bytes = bytes});
  };
  auto bytes = [&](double low, double high) {
    return static_cast<std::uint64_t>(draw.uniform(low, high) * 10) * (Giga / 10);
  };
  for (int i = 0; i < counts.small; ++i)
    add("small", i, bytes(3, 5));
  for (int i = 0; i < counts.medium; ++i)
    add("medium", i, bytes(10, 20));
  for (int i = 0; i < counts.large; ++i)
    add("large", i, bytes(26, 34));
  for (int i = 0; i < counts.adapters; ++i)
    add("adapter", i, Giga / 10, w.models[static_cast<std::size_t>(i % counts.bases)].name);
}

struct EngineCounts {
  int large = 0; ///< two new accelerators of 40 GB
  int old = 0;   ///< two old accelerators of 20 GB
  int office = 0;
};

void addEngines(Workload &w, Draw &draw, const EngineCounts &counts) {
  auto add = [&](const char *kind, int i, int generation, std::uint64_t memory, bool fencing) {
    w.engines.push_back({.name = std::string(kind) + "-" + std::to_string(10 + i),
                         .dataCentre = w.dataCentres[w.engines.size() % w.dataCentres.size()],
                         .generation = generation,
                         .memoryBytes = memory,
                         .checksFencing = fencing});
  };
  for (int i = 0; i < counts.large; ++i)
    add("new", i, 3, 80 * Giga, true);
  for (int i = 0; i < counts.old; ++i)
    add("old", i, 1, 40 * Giga, i % 2 == 0);
  for (int i = 0; i < counts.office; ++i)
    add("office", i, 2, 24 * Giga, true);
  for (const auto &model : w.models) {
    if (model.isAdapter() || draw.chance(0.15)) // remote only
      continue;
    for (auto &engine : w.engines) {
      if (draw.chance(0.2))
        engine.diskCache.push_back(model.name);
      if (draw.chance(0.05))
        engine.memoryCache.push_back(model.name);
    }
  }
}

void addLists(Workload &w, std::initializer_list<std::pair<const char *, Priority>> plans) {
  auto lists = std::make_shared<Lists>();
  lists->revision = 1;
  std::uint64_t memory = 0;
  for (const auto &engine : w.engines)
    memory += engine.memoryBytes;
  for (const auto &[name, priority] : plans) {
    PlanName plan(name);
    w.plans.push_back(plan);
    lists->plans[plan] = {.name = plan,
                          .priority = priority,
                          .grant = {.models = 200,
                                    .concurrency = 1000,
                                    .tokensPerSecond = 1e6,
                                    .acceleratorBytes = memory}};
    auto &use = lists->uses[plan];
    use.plan = plan;
    for (const auto &model : w.models)
      use.models.push_back(model.name);
  }
  for (const auto &model : w.models)
    lists->models[model.name] = model;
  w.lists = lists;
}

/// Adds a slow store, the loss of an engine and the loss of a host, each during a burst, and a slow
/// store at a random time.
void addFaults(Workload &w, Draw &draw, const std::vector<double> &bursts) {
  auto measured = bursts;
  std::erase_if(measured, [](double at) { return at < WarmUpDays * DaySeconds; });
  if (measured.size() < 3)
    return;
  auto which = draw.choose(3, static_cast<int>(measured.size()));
  auto burst = [&](std::size_t i) { return measured[static_cast<std::size_t>(which[i])]; };
  w.faults.push_back({.kind = FaultKind::SlowStore,
                      .at = burst(0) - 5 * Minute,
                      .length = 30 * Minute,
                      .factor = 4});
  w.faults.push_back({.kind = FaultKind::SlowStore,
                      .at = draw.uniform(WarmUpDays, TraceDays) * DaySeconds,
                      .length = 60 * Minute,
                      .factor = 4});
  w.faults.push_back({.kind = FaultKind::EngineLost,
                      .at = burst(1) + 20,
                      .length = 10 * Minute,
                      .target = draw.integer(0, static_cast<int>(w.engines.size()) - 1)});
  // Host 0 runs the planner here; its loss is the subject of the fault harness.
  w.faults.push_back({.kind = FaultKind::HostLost,
                      .at = burst(2) + 15,
                      .length = 5 * Minute,
                      .target = draw.integer(1, Hosts - 1)});
}

// ---- Hivatal -----------------------------------------------------------------------------------

constexpr Kind Rounds{.plan = 0, .deadline = 60, .serviceLow = 2, .serviceHigh = 6};
constexpr Kind Dispatch{.plan = 1, .deadline = 20, .serviceLow = 0.3, .serviceHigh = 1};
constexpr Kind Caretakers{.plan = 2, .deadline = 30, .serviceLow = 1, .serviceHigh = 4};

/// A time of day at which a fixed set of models is used every working day.
struct Appointment {
  double hour = 0;
  std::vector<int> models;
  int requestsLow = 0;
  int requestsHigh = 0;
  double tailSeconds = 0; ///< single requests go on for this long
};

class HivatalTrace {
public:
  HivatalTrace(Workload &w, std::uint64_t seed) : workload(w), draw(seed) {}

  void make() {
    workload.name = "hivatal";
    workload.dataCentres = {"buda-a", "pest-b", "obuda-c"};
    addModels(workload, draw, {.small = 6, .medium = 26, .large = 8, .adapters = 75, .bases = 15});
    addEngines(workload, draw, {.large = 4, .old = 8, .office = 3});
    addLists(workload, {{"rounds", Priority::Normal},
                        {"dispatch", Priority::High},
                        {"caretakers", Priority::Low}});
    TraceWriter writer(workload, draw);
    drawHabits();
    std::vector<double> bursts;
    for (int day = 0; day < TraceDays; ++day)
      addDay(writer, day, bursts);
    addFaults(workload, draw, bursts);
    writer.finish();
  }

private:
  static constexpr int BaseModels = 40;

  std::vector<int> someDraftingModels(int n) {
    auto chosen = draw.choose(n, BaseModels - 6);
    for (auto &it : chosen)
      it += 6;
    return chosen;
  }

  void drawHabits() {
    const double depotHours[] = {5.75, 6.25, 7.0};
    for (double hour : depotHours)
      depots.push_back({.hour = hour + draw.uniform(-0.3, 0.3),
                        .models = someDraftingModels(7),
                        .requestsLow = 8,
                        .requestsHigh = 30,
                        .tailSeconds = Hour});
    midday = {.hour = 12.5 + draw.uniform(-0.3, 0.3),
              .models = someDraftingModels(5),
              .requestsLow = 5,
              .requestsHigh = 12,
              .tailSeconds = 20 * Minute};
    evening = {.hour = 17.5 + draw.uniform(-0.3, 0.3),
               .models = someDraftingModels(4),
               .requestsLow = 5,
               .requestsHigh = 10,
               .tailSeconds = 10 * Minute};
    caretakers = someDraftingModels(4);
    caretakers.push_back(3);
    caretakers.push_back(4);
    rare = someDraftingModels(16);
  }

  void keepAppointment(TraceWriter &writer, int day, const Appointment &it,
                       std::vector<double> &bursts) {
    double at = day * DaySeconds + it.hour * Hour + draw.uniform(-4, 4) * Minute;
    bursts.push_back(at);
    for (int model : it.models) {
      writer.burst(at, model, draw.integer(it.requestsLow, it.requestsHigh), 90, Rounds);
      writer.poisson(at + 90, at + it.tailSeconds, 4 * Minute, model, Rounds);
    }
  }

  void addRare(TraceWriter &writer, double midnight, double visits) {
    for (int model : rare)
      for (double t = draw.exponential(12 / visits); t < 12; t += draw.exponential(12 / visits))
        writer.burst(midnight + (7 + t) * Hour, model, draw.integer(1, 6), 2 * Minute, Caretakers);
  }

  /// A water incident: many models at once, at no predictable time.
  void addIncident(TraceWriter &writer, double midnight) {
    double at = midnight + draw.uniform(7, 20) * Hour;
    for (int model : someDraftingModels(8))
      writer.burst(at, model, draw.integer(4, 12), 30, Rounds);
  }

  void addDay(TraceWriter &writer, int day, std::vector<double> &bursts) {
    double midnight = day * DaySeconds;
    bool saturday = day % 7 == 5;
    bool sunday = day % 7 == 6;
    addRare(writer, midnight, sunday ? 0.3 : 1.5);
    if (draw.chance(sunday ? 0.1 : 0.5))
      addIncident(writer, midnight);
    if (sunday)
      return;
    for (std::size_t i = 0; i < (saturday ? 1 : depots.size()); ++i)
      keepAppointment(writer, day, depots[i], bursts);
    for (int model = 0; model < 3; ++model)
      writer.poisson(midnight + 6 * Hour, midnight + (saturday ? 13 : 18) * Hour, 90, model,
                     Dispatch);
    if (saturday)
      return;
    keepAppointment(writer, day, midday, bursts);
    keepAppointment(writer, day, evening, bursts);
    for (int model : caretakers)
      writer.poisson(midnight + 8 * Hour, midnight + 20 * Hour, 25 * Minute, model, Caretakers);
  }

  Workload &workload;
  Draw draw;
  std::vector<Appointment> depots;
  Appointment midday;
  Appointment evening;
  std::vector<int> caretakers;
  std::vector<int> rare;
};

// ---- Confraternita -----------------------------------------------------------------------------

constexpr Kind Briefing{.plan = 0, .deadline = 60, .serviceLow = 2, .serviceHigh = 6};
constexpr Kind Bearers{.plan = 1, .deadline = 30, .serviceLow = 1, .serviceHigh = 4};
constexpr Kind Permits{.plan = 2, .deadline = 30, .serviceLow = 0.5, .serviceHigh = 2};

class ConfraternitaTrace {
public:
  ConfraternitaTrace(Workload &w, std::uint64_t seed) : workload(w), draw(seed) {}

  void make() {
    workload.name = "confraternita";
    workload.dataCentres = {"trapani", "marsala", "sciacca", "erice"};
    addModels(workload, draw, {.small = 4, .medium = 11, .large = 5, .adapters = 40, .bases = 10});
    addEngines(workload, draw, {.large = 3, .old = 6, .office = 4});
    addLists(workload, {{"captains", Priority::High},
                        {"wardens", Priority::Normal},
                        {"police", Priority::Normal}});
    TraceWriter writer(workload, draw);
    drawHabits();
    std::vector<double> bursts;
    for (int day = 0; day < TraceDays; ++day)
      addDay(writer, day, bursts);
    addFaults(workload, draw, bursts);
    writer.finish();
  }

private:
  static constexpr int BaseModels = 20;

  struct Procession {
    double hour = 0;
    std::vector<int> models;
  };

  std::vector<int> someDraftingModels(int n) {
    auto chosen = draw.choose(n, BaseModels - 4);
    for (auto &it : chosen)
      it += 4;
    return chosen;
  }

  void drawHabits() {
    const double hours[] = {10, 12.5, 17, 19.5, 21};
    for (double hour : hours)
      processions.push_back(
          {.hour = hour + draw.uniform(-0.4, 0.4), .models = someDraftingModels(5)});
    bearers = someDraftingModels(4);
    permits = someDraftingModels(6);
  }

  void addFeast(TraceWriter &writer, double midnight, std::vector<double> &bursts) {
    for (const auto &it : processions) {
      if (!draw.chance(0.85))
        continue;
      double at = midnight + it.hour * Hour + draw.uniform(-6, 6) * Minute;
      bursts.push_back(at);
      for (int model : it.models) {
        writer.burst(at, model, draw.integer(10, 40), 2 * Minute, Briefing);
        writer.poisson(at + 2 * Minute, at + 1.5 * Hour, 3 * Minute, model, Briefing);
      }
    }
    for (int model = 0; model < 2; ++model)
      writer.poisson(midnight + 8 * Hour, midnight + 22 * Hour, 3 * Minute, model, Permits);
    for (int model : bearers)
      writer.poisson(midnight + 9 * Hour, midnight + 23 * Hour, 8 * Minute, model, Bearers);
    // Barrier closures by the police, at no predictable time.
    double closure = midnight + draw.uniform(9, 22) * Hour;
    for (int model : someDraftingModels(6))
      writer.burst(closure, model, draw.integer(5, 15), 40, Permits);
  }

  void addQuiet(TraceWriter &writer, double midnight) {
    for (int model = 0; model < 2; ++model)
      writer.poisson(midnight + 9 * Hour, midnight + 14 * Hour, 15 * Minute, model, Permits);
    for (int model : permits)
      for (double t = draw.exponential(5); t < 10; t += draw.exponential(5))
        writer.burst(midnight + (8 + t) * Hour, model, draw.integer(1, 4), 2 * Minute, Permits);
    if (!draw.chance(0.3))
      return;
    double rehearsal = midnight + draw.uniform(16, 21) * Hour;
    for (int model : someDraftingModels(4))
      writer.burst(rehearsal, model, draw.integer(5, 10), 60, Briefing);
  }

  void addDay(TraceWriter &writer, int day, std::vector<double> &bursts) {
    static constexpr int Feasts[] = {1, 4, 6, 8, 10, 13};
    if (std::ranges::find(Feasts, day) != std::end(Feasts))
      addFeast(writer, day * DaySeconds, bursts);
    else
      addQuiet(writer, day * DaySeconds);
  }

  Workload &workload;
  Draw draw;
  std::vector<Procession> processions;
  std::vector<int> bearers;
  std::vector<int> permits;
};

} // namespace

Workload makeHivatal(std::uint64_t seed) {
  Workload workload;
  HivatalTrace(workload, seed).make();
  return workload;
}

Workload makeConfraternita(std::uint64_t seed) {
  Workload workload;
  ConfraternitaTrace(workload, seed).make();
  return workload;
}

} // namespace catkin::bench
