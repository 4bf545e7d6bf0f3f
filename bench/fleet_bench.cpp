#include "demand_meter_p.h"
#include "endpoint_choice_p.h"
#include "event_relay_p.h"
#include "fleet_messages_p.h"
#include "model_placement_p.h"

#include <benchmark/benchmark.h>

/// Measures the processor time of a fleet host for each request, event and message, at the sizes of
/// small and large deployments.
namespace {

using namespace catkin;

const ServiceName Service("llm");
const DataCentreName DataCentre("x");
const Instant Now(std::chrono::hours(1));
constexpr int ModelsHeld = 3;

ModelName modelName(int i) { return ModelName("model-" + std::to_string(i)); }

HeldModel heldModel(int i) { return {modelName(i), {"a1", "a2"}}; }

FleetEndpoint makeEndpoint(int i, int models) {
  FleetEndpoint it{.name = EndpointName("i-" + std::to_string(i)),
                   .service = Service,
                   .address = {"10.0.0.1", 1},
                   .dataCentre = DataCentre,
                   .slots = 64,
                   .incarnation = 1};
  for (int n = 0; n < ModelsHeld; ++n)
    it.holdings.models.push_back(heldModel((i * ModelsHeld + n) % models));
  return it;
}

/// Arguments: endpoints, models.
void chooseEndpointBench(benchmark::State &state) {
  FleetView view;
  const auto models = static_cast<int>(state.range(1));
  for (int i = 0; i < state.range(0); ++i)
    view.putEndpoint(makeEndpoint(i, models), Now);
  std::uint64_t random = 0;
  for (auto _ : state) {
    EndpointQuery query{.service = Service,
                        .model = {modelName(static_cast<int>(random) % models), {}},
                        .dataCentre = DataCentre,
                        .affinity = ++random};
    benchmark::DoNotOptimize(chooseEndpoint(view, query, Now, random));
  }
}
BENCHMARK(chooseEndpointBench)->Args({15, 39})->Args({143, 288})->Args({600, 1200});

/// Arguments: endpoints, prompt tokens; 0 for the choice by the number of requests.
void chooseEngineBench(benchmark::State &state) {
  FleetView view;
  for (int i = 0; i < state.range(0); ++i) {
    auto endpoint = makeEndpoint(i, ModelsHeld);
    endpoint.dataCentre = DataCentreName(std::string(1, static_cast<char>('x' + i % 3)));
    view.putEndpoint(endpoint, Now);
    view.setPeersInFlight(endpoint.name, i % 9,
                          {.unread = {900.0 * (i % 5), 0, 700.0 * (i % 11)}, .reading = 2});
  }
  LocalityPolicy locality;
  std::uint64_t random = 0;
  for (auto _ : state) {
    EndpointQuery query{.service = Service,
                        .model = {modelName(0), {}},
                        .dataCentre = DataCentre,
                        .affinity = ++random,
                        .request = {.promptTokens = static_cast<double>(state.range(1))},
                        .locality = &locality};
    benchmark::DoNotOptimize(chooseEndpoint(view, query, Now, random));
  }
}
BENCHMARK(chooseEngineBench)->ArgsProduct({{140, 2300}, {0, 900}})->Unit(benchmark::kMicrosecond);

/// Argument: routes.
void findRouteBench(benchmark::State &state) {
  FleetConfig config{.version = 1};
  for (int i = 0; i < state.range(0); ++i) {
    FleetRoute route{.name = "r" + std::to_string(i),
                     .host = "h" + std::to_string(i % 7) + ".example",
                     .pathPrefix = "/p" + std::to_string(i) + "/"};
    config.routes.push_back(route);
  }
  for (auto _ : state)
    benchmark::DoNotOptimize(findRoute(config, "h3.example", "/p10/x"));
}
BENCHMARK(findRouteBench)->Arg(49)->Arg(1530);

void relayEventBench(benchmark::State &state) {
  EventRelay relay;
  const std::string event = "id: 12\ndata: " + std::string(80, 'x') + "\n\n";
  for (auto _ : state) {
    relay.feed(event);
    benchmark::DoNotOptimize(relay.takeCompleteEvents());
  }
}
BENCHMARK(relayEventBench);

/// Argument: endpoints with requests in progress.
void heartbeatBench(benchmark::State &state) {
  FleetHeartbeat heartbeat{.host = HostName("host-1"), .incarnation = 1, .ready = true};
  for (int i = 0; i < state.range(0); ++i)
    heartbeat.loads.push_back({EndpointName("i-" + std::to_string(i)), 3});
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string text = encodeFleetMessage(heartbeat);
    bytes = text.size();
    benchmark::DoNotOptimize(decodeFleetMessage(text));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(heartbeatBench)->Arg(2)->Arg(10);

/// Argument: models with requests.
void demandBench(benchmark::State &state) {
  DemandMeter meter;
  int i = 0;
  for (auto _ : state)
    meter.onRequest(Service, {modelName(++i % static_cast<int>(state.range(0))), {}}, Now);
}
BENCHMARK(demandBench)->Arg(39)->Arg(288);

/// One round of the planner. Arguments: engines, models.
void planBench(benchmark::State &state) {
  const auto models = static_cast<int>(state.range(1));
  EngineSpec spec{.megabytes = 200'000, .maxAdapters = 8, .loadsPerSecond = 30};
  for (int i = 0; i < models; ++i)
    spec.models.emplace(modelName(i), ModelSpec{.name = modelName(i),
                                                .megabytes = 60'000,
                                                .remoteLoad = std::chrono::seconds(13),
                                                .diskLoad = std::chrono::seconds(1),
                                                .memoryLoad = std::chrono::milliseconds(400),
                                                .adapterMegabytes = 40});
  PlacementInput input{.now = Now, .spec = &spec, .maxRemoteLoadsInWindow = 10};
  input.demandState = PlacementInput::DemandState::Known;
  for (int i = 0; i < state.range(0); ++i) {
    PlacementEngine engine{.name = EndpointName("i-" + std::to_string(i))};
    engine.models = makeEndpoint(i, models).holdings.models;
    input.engines.push_back(engine);
  }
  for (int i = 0; i < models; ++i)
    input.demand[modelName(i)] = {.perSecond = i < 10 ? 10.0 : 0.1};
  for (auto _ : state)
    benchmark::DoNotOptimize(planPlacement(input));
}
BENCHMARK(planBench)->Args({12, 39})->Args({140, 288})->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
