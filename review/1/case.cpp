#include "../rig.h"

#include <csignal>

/// One of four engines is faulty for some seconds: it breaks off a fiftieth of its answers, and the
/// head of such an answer names a length that is not that of the body. Clients keep their channels
/// to the hosts. The stand-in for the platform starts a host again that has ended.
namespace {

constexpr int ClientsPerHost = 8;
constexpr double Seconds = 14;
constexpr double FaultySeconds = 5.5;
constexpr int OneIn = 50;
constexpr auto SpoiltLength = "1000000000000000";

} // namespace

int main(int argc, char **argv) {
  rig::openRecord(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = argc < 3 || std::string(argv[2]) != "0";
  rig::Deployment deployment(3, 4, 0);
  for (auto &it : deployment.engines)
    it->workSeconds = 0.3;
  auto &faulty = *deployment.engines.front();
  std::atomic<bool> isFaulty{false};
  std::atomic<int> answers{0};
  std::atomic<int> spoilt{0};
  faulty.handler = [&](rig::Engine &engine, rig::Channel &channel, const rig::Message &request) {
    engine.addRun(request);
    rig::sleepFor(engine.workSeconds);
    if (!isFaulty || ++answers % OneIn != 0)
      return channel.write(rig::Engine::response(request, "answer"));
    ++spoilt;
    rig::record(engine.id + " breaks off its answer to id=" + request.header("Request-Id") +
                ", Content-Length: " + SpoiltLength);
    channel.write("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id") +
                  "\r\nServer-Stamp: stamp\r\nContent-Length: " + SpoiltLength + "\r\n\r\nans");
    rig::sleepFor(0.05);
    return false;
  };
  deployment.waitUntilReady();

  const double start = rig::now();
  const double end = start + Seconds;
  rig::KeptClients clients(deployment, ClientsPerHost, end);
  int ended = 0;
  while (rig::now() < end) {
    isFaulty = trouble && rig::now() > start + 3 && rig::now() < start + 3 + FaultySeconds;
    for (auto &it : deployment.hosts)
      if (it->pid > 0 && it->waitForEnd(0.005)) {
        ++ended;
        rig::record(it->name + " has ended by itself: " + it->lastLogLine());
        rig::sleepFor(0.3);
        it->start();
      }
    rig::sleepFor(0.01);
  }
  clients.join();
  const int lost = clients.recordLost(faulty.id);
  rig::record(std::to_string(clients.answered) + " answered, " + std::to_string(spoilt) +
              " answers broken off, hosts that ended by themselves: " + std::to_string(ended) +
              ", requests lost at sound engines: " + std::to_string(lost) +
              "; more than three break the rule");
  return lost > 3 ? 1 : 0;
}
