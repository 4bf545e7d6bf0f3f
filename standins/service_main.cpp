#include "service_p.h"
#include "standin_main_p.h"

int main(int argc, char **argv) {
  using namespace catkin;
  using namespace catkin::standin;
  CLI::App app("Stand-in for a plain service that counts its runs per idempotency key");
  ServiceOptions options;
  std::string listen = "127.0.0.1:0";
  double delayMs = 0;
  addSetting(app, "listen", listen, "Address ip:port; port 0 picks a free one");
  addSetting(app, "name", options.name, "Name of the service, shown in responses");
  addSetting(app, "delay-ms", delayMs, "Time from the run to its response");
  addSetting(app, "drop-answers", options.dropAnswers, "Share of runs without a response")
      ->check(CLI::Range(0.0, 1.0));
  addSetting(app, "seed", options.seed, "Seed of the choice of dropped responses");
  CLI11_PARSE(app, argc, argv);
  options.delay = fromFractionalMillis(delayMs);
  return runStandin("catkin-service", listen,
                    [&](const asio::any_io_executor &executor, const Address &address) {
                      options.listen = address;
                      return std::make_unique<ServiceStandin>(executor, options);
                    });
}
