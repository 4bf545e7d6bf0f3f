#include "../rig.h"

#include <algorithm>
#include <csignal>
#include <sstream>

/// The hosts are stopped and started in turn, as for a new release. Clients whose streams end with
/// the last host take them up at the others. All engines have one version of the software. Without
/// the disruption no host is stopped, and the clients close their channels themselves.
namespace {

constexpr double StopGap = 2;      // between two stops
constexpr double EventPause = 0.1; // of the streams
constexpr int Events = 130;
constexpr int Streams = 24;
constexpr int DeadlineMs = 15000;

bool sendStream(rig::Engine &engine, rig::Channel &channel, const rig::Message &request) {
  const auto id = request.header("Request-Id");
  engine.addRun(request);
  bool open =
      channel.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp-" + id +
                    "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
  const auto last = request.header("Last-Event-Id");
  for (int n = last.empty() ? 1 : std::stoi(last) + 1; open && n <= Events; ++n) {
    rig::sleepFor(EventPause);
    const auto event = "id: " + std::to_string(n) + "\ndata: event\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    open = !channel.isClosed() && channel.write(size + event + "\r\n");
  }
  return open && channel.write("0\r\n\r\n");
}

/// Reads events of a stream until the channel ends, the stream is whole or the time has come.
/// Returns the id of the last whole event.
int readEvents(rig::Channel &channel, double deadline, int &status) {
  const std::string bytes = channel.readAll(deadline);
  status = bytes.size() > 12 ? std::atoi(bytes.substr(9, 3).c_str()) : 0;
  int last = 0;
  const auto end = bytes.rfind("\n\n");
  for (auto at = bytes.find("id: ");
       at != std::string::npos && end != std::string::npos && at < end;
       at = bytes.find("id: ", at + 1))
    last = std::atoi(bytes.c_str() + at + 4);
  return last;
}

std::string streamRequest(const std::string &id, double secondsLeft,
                          const std::string &moreFields) {
  return rig::request("POST", "/chat/x", id, "prompt", static_cast<int>(secondsLeft * 1000),
                      "Model: m0\r\nToken-Count: 100,520\r\nPrompt-Prefix: a1:50," + id +
                          ":50\r\n" + moreFields);
}

struct Client {
  std::string id;
  int eventsBefore = 0; ///< of the first attempt
  int status = 0;       ///< of the newest attempt to take the stream up
  int eventsAfter = 0;
  std::string where;
  bool takenUp() const { return eventsBefore > 0 && !where.empty(); }
  bool wentOn() const { return status == 200 && eventsAfter > eventsBefore; }
};

} // namespace

int main(int argc, char **argv) {
  rig::openRecord(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = argc < 3 || std::string(argv[2]) != "0";
  rig::Deployment deployment(4, 0, 4);
  for (auto &it : deployment.engines)
    it->handler = sendStream;
  deployment.waitUntilReady();
  rig::sleepFor(2);

  const double start = rig::now();
  auto &hosts = deployment.hosts;
  auto &last = *hosts.back();
  const double closeAt = start + StopGap * 3 + 7.7; // when the last host ends
  std::vector<Client> clients(Streams);
  std::vector<std::thread> threads;
  for (int n = 0; n < Streams; ++n)
    threads.emplace_back([&, n] {
      auto &client = clients[static_cast<std::size_t>(n)];
      rig::sleepFor(start + 2 + n * 0.04 - rig::now());
      client.id = rig::newId();
      const double sent = rig::now();
      const double deadline = sent + DeadlineMs / 1000.0;
      auto channel = rig::connectTo(last.port());
      int status = 0;
      if (!channel || !channel->write(streamRequest(client.id, DeadlineMs / 1000.0, "")))
        return;
      client.eventsBefore = readEvents(*channel, trouble ? deadline : closeAt, status);
      channel.reset();
      rig::record("stream id=" + client.id + " at " + last.name + " ended after event " +
                  std::to_string(client.eventsBefore));
      if (client.eventsBefore == 0 || client.eventsBefore >= Events)
        return;
      // A client retries at once, and once more after a third of the time that it has left.
      for (int attempt = 0; attempt < 2 && rig::now() < deadline; ++attempt) {
        auto &host = *hosts[static_cast<std::size_t>((n + attempt) % 3)];
        const auto id = rig::newId();
        auto again = rig::connectTo(host.port());
        client.where = host.name;
        if (!again ||
            !again->write(streamRequest(id, deadline - rig::now(),
                                        "Last-Event-Id: " + std::to_string(client.eventsBefore) +
                                            "\r\nResumes: " + client.id + "\r\n")))
          continue;
        const double wait = std::min(deadline, rig::now() + (attempt == 0 ? 0.6 : 1.0));
        client.eventsAfter = readEvents(*again, wait, client.status);
        rig::record("taken up: id=" + id + " resumes " + client.id + " after event " +
                    std::to_string(client.eventsBefore) + " at " + host.name + ": status " +
                    std::to_string(client.status) + ", last event " +
                    std::to_string(client.eventsAfter));
        if (client.wentOn())
          return;
        rig::sleepFor(std::max(0.0, (deadline - rig::now()) / 3));
      }
    });

  // Each host is stopped in turn, and started again once it has ended.
  std::size_t stopped = 0;
  while (rig::now() < closeAt + 4) {
    if (trouble && stopped < hosts.size() &&
        rig::now() >= start + StopGap * static_cast<double>(stopped)) {
      rig::record("SIGTERM of " + hosts[stopped]->name);
      hosts[stopped++]->signal(SIGTERM);
    }
    for (auto &it : hosts)
      if (it->waitForEnd(0.002)) {
        rig::sleepFor(0.2);
        it->start();
        rig::record(it->name + " has ended and starts again");
      }
    rig::sleepFor(0.02);
  }
  // New streams begin at the hosts that had been in touch.
  for (auto &it : threads)
    it.join();
  int begun = 0;
  for (int n = 0; n < Streams; ++n) {
    auto channel = rig::connectTo(hosts[static_cast<std::size_t>(n % 3)]->port());
    int status = 0;
    if (channel && channel->write(streamRequest(rig::newId(), 2, "")))
      begun += readEvents(*channel, rig::now() + 0.35, status) > 0 ? 1 : 0;
  }
  const auto takenUp =
      std::count_if(clients.begin(), clients.end(), [](const Client &it) { return it.takenUp(); });
  const auto wentOn =
      std::count_if(clients.begin(), clients.end(), [](const Client &it) { return it.wentOn(); });
  rig::record(std::to_string(takenUp) + " streams taken up, of which " + std::to_string(wentOn) +
              " went on; of " + std::to_string(Streams) + " new streams " + std::to_string(begun) +
              " began");
  if (takenUp < 12)
    return 2;
  const double shareOn = static_cast<double>(wentOn) / static_cast<double>(takenUp);
  return shareOn < 0.5 * begun / Streams ? 1 : 0;
}
