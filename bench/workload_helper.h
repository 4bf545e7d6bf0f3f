#pragma once

#include "lists_p.h"
#include "types_p.h"

#include <cstdint>
#include <string>
#include <vector>

/// Seeded request traces of the two deployments. Times are seconds since the first midnight
/// of the trace, a Monday. The first week only builds up history; the three days after it are
/// measured.
namespace catkin::bench {

constexpr int TraceDays = 10;
constexpr int WarmUpDays = 7;
constexpr double DaySeconds = 86400;
constexpr int Hosts = 8;
/// Wall clock of the first midnight: a Monday.
constexpr std::int64_t TraceStart = 20059LL * 86400;

struct EngineSpec {
  std::string name;
  std::string dataCentre;
  int generation = 1;
  std::uint64_t memoryBytes = 0;
  bool checksFencing = true;
  std::vector<ModelName> memoryCache; ///< at the start
  std::vector<ModelName> diskCache;
};

struct TraceRequest {
  double at = 0;
  int host = 0;
  int model = 0; ///< index into Workload::models
  int plan = 0;
  double deadline = 30;
  double service = 1; ///< seconds that the answer takes
};

enum class FaultKind { SlowStore, EngineLost, HostLost, Count };

struct Fault {
  FaultKind kind = FaultKind::SlowStore;
  double at = 0;
  double length = 0;
  int target = 0;    ///< engine or host
  double factor = 1; ///< SlowStore: how many times slower
};

struct Workload {
  std::string name;
  ListsPtr lists;
  std::vector<Model> models; ///< bases first, then adapters
  std::vector<PlanName> plans;
  std::vector<EngineSpec> engines;
  std::vector<std::string> dataCentres;
  std::vector<TraceRequest> requests; ///< by time
  std::vector<Fault> faults;          ///< by time
};

/// A replica uses its part of an engine's memory on this many accelerators.
constexpr double AcceleratorsPerEngine = 2;

Workload makeHivatal(std::uint64_t seed);
Workload makeConfraternita(std::uint64_t seed);

} // namespace catkin::bench
