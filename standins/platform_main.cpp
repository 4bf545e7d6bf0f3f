#include "platform_p.h"
#include "standin_main_p.h"

#include <fstream>
#include <sstream>

int main(int argc, char **argv) {
  using namespace catkin;
  using namespace catkin::standin;
  CLI::App app("Stand-in for the platform: object API and list of hosts and endpoints");
  PlatformOptions options;
  std::string listen = "127.0.0.1:0";
  std::string nodesFile;
  double lagMs = 1000;
  addSetting(app, "listen", listen, "Address ip:port; port 0 picks a free one");
  addSetting(app, "writes-per-second", options.writesPerSecond, "Call budget for writes");
  addSetting(app, "reads-per-second", options.readsPerSecond, "Call budget for reads and watches");
  addSetting(app, "node-lag-ms", lagMs, "Delay until a change is in the list of nodes");
  addSetting(app, "nodes", nodesFile, "File with {\"nodes\":[...]} known from the start");
  CLI11_PARSE(app, argc, argv);

  options.nodeLag = fromFractionalMillis(lagMs);
  if (!nodesFile.empty()) {
    std::ostringstream text;
    text << std::ifstream(nodesFile).rdbuf();
    JsonFields fields(text.str());
    std::string error = fields.error();
    auto nodes = error.empty() ? parseNodes(fields.object(), error) : std::nullopt;
    if (!nodes) {
      std::fprintf(stderr, "catkin-platform: %s: %s\n", nodesFile.c_str(), error.c_str());
      return 2;
    }
    options.nodes = std::move(*nodes);
  }
  return runStandin("catkin-platform", listen,
                    [&](const asio::any_io_executor &executor, const Address &address) {
                      options.listen = address;
                      return std::make_unique<PlatformStandin>(executor, options);
                    });
}
