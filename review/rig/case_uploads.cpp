#include "rig.h"

#include <csignal>
#include <cstdlib>

/// Clients upload bodies in chunks, each as long as the configuration allows. The stand-in for the
/// platform kills a host that uses more memory than its settings give it, and starts it again.
namespace {

constexpr double MemoryMegabytes = 260;    // limits.memory_mb
constexpr std::size_t BodyBytes = 4194304; // limits.body_bytes
constexpr int UsualClients = 24;
constexpr double BurstFactor = 2.4;
constexpr double UploadSeconds = 5;
constexpr int Chunks = 64;

struct Outcome {
  std::atomic<int> answered{0};
  std::atomic<int> cut{0};
};

/// Sends one request on a kept channel that has served one before.
void upload(int port, Outcome &outcome) {
  auto channel = rig::connectTo(port);
  rig::Message answer;
  if (!channel || !channel->write(rig::request("POST", "/once/small", rig::newId(), "a", 5000)) ||
      !channel->read(answer, true, rig::now() + 5))
    return;
  const auto id = rig::newId();
  const double start = rig::now();
  bool written =
      channel->write("POST /once/upload HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: 10000\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string piece(BodyBytes / Chunks, 'x');
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  for (int i = 0; written && i < Chunks; ++i) {
    rig::sleepFor(start + UploadSeconds * i / Chunks - rig::now());
    written = channel->write(size + piece + "\r\n");
  }
  written = written && channel->write("0\r\n\r\n");
  const bool whole = written && channel->read(answer, true, rig::now() + 10);
  rig::record("upload id=" + id +
              (whole ? " answered " + answer.first : " ended without an answer"));
  ++(whole ? outcome.answered : outcome.cut);
}

} // namespace

int main(int argc, char **argv) {
  rig::openRecord(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = argc < 3 || std::string(argv[2]) != "0";
  rig::Deployment deployment(3, 4, 0);
  deployment.waitUntilReady();
  auto &host = *deployment.hosts.front();
  for (auto &it : deployment.engines)
    it->workSeconds = 0.3;
  rig::KeptClients keptClients(deployment, 12, rig::now() + 16);
  rig::sleepFor(2);
  const int clients = trouble ? static_cast<int>(UsualClients * BurstFactor) : UsualClients;
  rig::record(std::to_string(clients) + " clients upload " + std::to_string(BodyBytes) +
              " bytes each, in chunks, to " + host.name);
  Outcome outcome;
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i)
    threads.emplace_back([&] { upload(host.port(), outcome); });
  double peak = 0;
  bool killed = false;
  while (outcome.answered + outcome.cut < clients && rig::now() < 60) {
    const double used = killed ? 0 : host.residentMegabytes();
    peak = std::max(peak, used);
    if (used > MemoryMegabytes) {
      rig::record(host.name + " uses " + std::to_string(used) +
                  " MB, over memory_mb: the platform kills it");
      host.signal(SIGKILL);
      killed = host.waitForEnd(5);
      rig::sleepFor(0.3);
      host.start();
    }
    rig::sleepFor(0.005);
  }
  for (auto &it : threads)
    it.join();
  rig::record("peak " + std::to_string(peak) + " MB, answered " + std::to_string(outcome.answered) +
              ", without an answer " + std::to_string(outcome.cut) +
              (killed ? ", the host was killed" : ""));
  keptClients.join();
  const int lost = keptClients.recordLost();
  rig::record(std::to_string(keptClients.answered) + " other requests answered, " +
              std::to_string(lost) + " lost at sound engines; more than three break the rule");
  return lost > 3 ? 1 : 0;
}
