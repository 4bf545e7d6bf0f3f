#include "load_generator_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CLI/CLI.hpp>

#include <cstdio>

namespace {

using namespace catkin;

/// Settings whose type or unit on the command line differs from that in LoadOptions.
struct Arguments {
  std::vector<std::string> hosts;
  std::string output = "table";
  double durationS = 30;
  double deadlineMs = 30000;
};

void addSettings(CLI::App &app, Arguments &a, LoadOptions &o) {
  app.add_option("--hosts", a.hosts, "Hosts ip:port that are asked for the addresses")
      ->delimiter(',')
      ->required()
      ->envname("CATKIN_HOSTS");
  app.add_option("--key", o.apiKey, "API key")->envname("CATKIN_KEY");
  app.add_option("--workload", o.workload, "hivatal or confraternita")
      ->check(CLI::IsMember({"hivatal", "confraternita"}))
      ->envname("CATKIN_WORKLOAD");
  app.add_option("--rate", o.rate, "Requests per second")
      ->check(CLI::PositiveNumber)
      ->envname("CATKIN_RATE");
  app.add_option("--duration-s", a.durationS, "Length of the run")
      ->check(CLI::PositiveNumber)
      ->envname("CATKIN_DURATION_S");
  app.add_option("--seed", o.seed, "Seed of the plan")->envname("CATKIN_SEED");
  app.add_option("--models", o.models, "Models to use; without them, those of /v1/models")
      ->delimiter(',')
      ->envname("CATKIN_MODELS");
  app.add_option("--look-up-service", o.lookUpService, "Service for look-ups, or none")
      ->envname("CATKIN_LOOK_UP_SERVICE");
  app.add_option("--confirm-service", o.confirmService, "Non-idempotent service, or none")
      ->envname("CATKIN_CONFIRM_SERVICE");
  app.add_option("--max-tokens", o.maxTokens, "Tokens of each completion")
      ->check(CLI::Range(1, 8192))
      ->envname("CATKIN_MAX_TOKENS");
  app.add_option("--deadline-ms", a.deadlineMs, "Deadline of each request")
      ->check(CLI::PositiveNumber)
      ->envname("CATKIN_DEADLINE_MS");
  app.add_option("--max-in-flight", o.maxInFlight, "Requests in progress at once")
      ->envname("CATKIN_MAX_IN_FLIGHT");
  app.add_flag("--allow-unanswered", o.allowUnanswered, "Unanswered requests do not fail the run")
      ->envname("CATKIN_ALLOW_UNANSWERED");
  app.add_option("--output", a.output, "table or json")
      ->check(CLI::IsMember({"table", "json"}))
      ->envname("CATKIN_OUTPUT");
}

/// Copies the arguments into the options. Returns false if an address is invalid.
bool applyArguments(const Arguments &a, LoadOptions &o) {
  for (const auto &it : a.hosts) {
    const auto address = parseAddress(it);
    if (!address)
      return false;
    o.initialHosts.push_back(*address);
  }
  o.duration = fromSeconds(a.durationS);
  o.deadline = fromSeconds(a.deadlineMs / 1000);
  return true;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Load generator and response checker");
  Arguments arguments;
  LoadOptions options;
  addSettings(app, arguments, options);
  CLI11_PARSE(app, argc, argv);
  if (!applyArguments(arguments, options)) {
    std::fprintf(stderr, "catkinload: --hosts must be a list of ip:port\n");
    return 2;
  }
  asio::io_context context(1);
  LoadGenerator generator(context.get_executor(), options);
  LoadReport report;
  std::string error;
  asio::co_spawn(context, generator.run(report, error), asio::detached);
  context.run();
  if (!error.empty()) {
    std::fprintf(stderr, "catkinload: %s\n", error.c_str());
    return 2;
  }
  const auto text = arguments.output == "json" ? report.toJson(options) : report.toTable(options);
  std::fputs(text.c_str(), stdout);
  return report.failures(options.allowUnanswered).empty() ? 0 : 1;
}
