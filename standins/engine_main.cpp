#include "engine_p.h"
#include "standin_main_p.h"

#include <chrono>

namespace {

using namespace catkin;
using namespace catkin::standin;

/// Settings whose type or unit on the command line differs from that in EngineOptions.
struct Arguments {
  std::string listen = "127.0.0.1:0";
  std::string name = "engine";
  std::string weights;
  std::uint64_t incarnation = 0;
  bool noFencing = false;
  bool overcommitFaults = false;
  double memoryGb = 16;
  double tokenMs = 10;
  double loadOverheadMs = 50;
  double reportLagMs = 500;
  double eventLagMs = 1000;
};

void addMemorySettings(CLI::App &app, Arguments &a, EngineMemoryOptions &o) {
  addSetting(app, "name", a.name, "Name of the endpoint");
  addSetting(app, "incarnation", a.incarnation, "Number of this start; 0 takes it from the clock");
  addSetting(app, "generation", o.generation, "Accelerator generation");
  addSetting(app, "memory-gb", a.memoryGb, "Accelerator memory in 10^9 bytes")
      ->check(CLI::PositiveNumber);
  addSetting(app, "ignore-fencing", a.noFencing, "Accept orders with an old fencing token");
  addSetting(app, "overcommit-faults", a.overcommitFaults,
             "Accept loads that do not fit and count them as faults");
  addSetting(app, "memory-cache-entries", o.memoryCacheEntries, "Checkpoints kept in host memory");
  addSetting(app, "disk-cache-entries", o.diskCacheEntries, "Checkpoints kept on disk");
  addSetting(app, "memory-cache", o.memoryCache, "Checkpoints in host memory from the start")
      ->delimiter(',');
  addSetting(app, "disk-cache", o.diskCache, "Checkpoints on disk from the start")->delimiter(',');
}

void addBatchSettings(CLI::App &app, Arguments &a, BatchOptions &o) {
  addSetting(app, "max-batch", o.maxRunning, "Requests that run at once")
      ->check(CLI::PositiveNumber);
  addSetting(app, "max-queue", o.maxQueued, "Requests that wait to join the batch");
  addSetting(app, "token-ms", a.tokenMs, "Time per token of a request that runs alone");
  addSetting(app, "batch-slowdown", o.slowdownPerRequest,
             "Share of the token time that each further request adds");
  addSetting(app, "prefill-tokens-per-second", o.prefillTokensPerSecond,
             "Prompt tokens processed per second")
      ->check(CLI::PositiveNumber);
}

void addLoadSettings(CLI::App &app, Arguments &a, EngineOptions &o) {
  addSetting(app, "weights", a.weights,
             "Weight store ip:port; without one, --remote-speed is used");
  addSetting(app, "remote-speed", o.remoteBytesPerSecond, "Bytes per second without a weight store")
      ->check(CLI::PositiveNumber);
  addSetting(app, "disk-speed", o.diskBytesPerSecond, "Bytes per second from disk")
      ->check(CLI::PositiveNumber);
  addSetting(app, "memory-speed", o.memoryBytesPerSecond, "Bytes per second from host memory")
      ->check(CLI::PositiveNumber);
  addSetting(app, "load-overhead-ms", a.loadOverheadMs, "Time added to each checkpoint load");
  addSetting(app, "report-lag-ms", a.reportLagMs, "Age of the load figures in the status");
}

void addPrefixSettings(CLI::App &app, Arguments &a, PrefixCacheOptions &o) {
  addSetting(app, "prefix-entries", o.entries, "Prompt prefixes kept");
  addSetting(app, "event-lag-ms", a.eventLagMs, "Age of cache events when published");
  addSetting(app, "event-gap", o.eventGap, "Share of cache events never published");
  addSetting(app, "seed", o.seed, "Seed of the choice of unpublished cache events");
}

/// Copies the arguments into the options. Returns an error text, empty on success.
std::string apply(const Arguments &a, EngineOptions &o) {
  if (!a.weights.empty()) {
    o.weights = parseAddress(a.weights);
    if (!o.weights)
      return "--weights must be ip:port";
  }
  o.memory.endpoint = EndpointName(a.name);
  o.memory.incarnation = a.incarnation;
  if (a.incarnation == 0)
    o.memory.incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
  o.memory.memoryBytes = static_cast<std::uint64_t>(a.memoryGb * 1e9);
  o.memory.checksFencing = !a.noFencing;
  o.memory.checksMemory = !a.overcommitFaults;
  o.batch.tokenTime = fromFractionalMillis(a.tokenMs);
  o.loadOverhead = fromFractionalMillis(a.loadOverheadMs);
  o.reportLag = fromFractionalMillis(a.reportLagMs);
  o.prefixes.eventLag = fromFractionalMillis(a.eventLagMs);
  return {};
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Stand-in for a model engine");
  Arguments arguments;
  EngineOptions options;
  addSetting(app, "listen", arguments.listen, "Address ip:port; port 0 picks a free one");
  addMemorySettings(app, arguments, options.memory);
  addBatchSettings(app, arguments, options.batch);
  addLoadSettings(app, arguments, options);
  addPrefixSettings(app, arguments, options.prefixes);
  CLI11_PARSE(app, argc, argv);
  if (const auto error = apply(arguments, options); !error.empty()) {
    std::fprintf(stderr, "catkin-engine: %s\n", error.c_str());
    return 2;
  }
  return runStandin("catkin-engine", arguments.listen,
                    [&](const asio::any_io_executor &executor, const Address &address) {
                      options.listen = address;
                      return std::make_unique<EngineStandin>(executor, options);
                    });
}
