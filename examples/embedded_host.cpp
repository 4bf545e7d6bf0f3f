#include "catkin/catkin.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

/// Runs one host inside a program of its own and prints its figures for a few seconds.
/// Arguments: host name, data centre, the three listen addresses and the platform's address.
int main(int argc, char **argv) {
  if (argc != 7) {
    std::fprintf(stderr, "usage: embedded-host HOST DATA-CENTRE LISTEN PEER-LISTEN "
                         "OPERATOR-LISTEN PLATFORM\n");
    return 1;
  }
  const char *key = std::getenv("CATKIN_OPERATOR_KEY");
  catkin::Init init{.host = argv[1],
                    .dataCentre = argv[2],
                    .listen = argv[3],
                    .peerListen = argv[4],
                    .operatorListen = argv[5],
                    .platform = argv[6],
                    .operatorKey = key ? key : ""};
  std::string error;
  auto host = catkin::Host::create(init, error);
  if (!host) {
    std::fprintf(stderr, "%s\n", error.c_str());
    return 1;
  }
  for (int i = 0; i < 5; ++i) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    auto stats = host->stats();
    std::printf("ready %d planner %d active %zu\n", stats.ready, stats.planner, stats.active);
  }
  return 0;
}
