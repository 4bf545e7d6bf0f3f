#include "standin_main_p.h"
#include "weights_p.h"

int main(int argc, char **argv) {
  using namespace catkin;
  using namespace catkin::standin;
  CLI::App app("Stand-in for the rate-limited weight store");
  WeightsOptions options;
  std::string listen = "127.0.0.1:0";
  addSetting(app, "listen", listen, "Address ip:port; port 0 picks a free one");
  addSetting(app, "bytes-per-second", options.bytesPerSecond, "Full speed of one transfer")
      ->check(CLI::PositiveNumber);
  addSetting(app, "loads-per-second", options.loadsPerSecond,
             "Checkpoint transfers started per second")
      ->check(CLI::PositiveNumber);
  addSetting(app, "loads-at-full-speed", options.loadsAtFullSpeed, "Checkpoints at full speed")
      ->check(CLI::PositiveNumber);
  addSetting(app, "adapters-at-full-speed", options.adaptersAtFullSpeed, "Adapters at full speed")
      ->check(CLI::PositiveNumber);
  addSetting(app, "seed", options.seed, "Seed of the adapters' transfer times");
  CLI11_PARSE(app, argc, argv);
  return runStandin("catkin-weights", listen,
                    [&](const asio::any_io_executor &executor, const Address &address) {
                      options.listen = address;
                      return std::make_unique<WeightsStandin>(executor, options);
                    });
}
