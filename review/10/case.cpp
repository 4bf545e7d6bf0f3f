#include "../rig-2.h"

#include <atomic>
#include <cstdio>

/// Two software versions of the engines serve side by side. All hosts are killed at once and start
/// again. Clients take their broken streams up at hosts that are in touch again.
namespace review {
namespace {

constexpr int Hosts = 5;
constexpr int Streams = 24;
constexpr Millis EventPause{1200};
constexpr Millis Deadline{15000};
constexpr Millis BreakAfter{3200};
constexpr Millis DownTime{1500};
constexpr Millis ContactTime{3000};
constexpr int MaxTries = 4; // of a client that takes its stream up

/// One stream of a client.
struct Stream {
  std::string id;
  Clock::time_point began;
  std::string body; ///< all events that the client has
  bool complete = false;
  int tries = 0;
  bool wentOn = false;
};

Millis timeLeft(const Stream &it) {
  return std::chrono::duration_cast<Millis>(it.began + Deadline - Clock::now());
}

Headers headersOf(const std::string &id, Millis left) {
  return {{"Host", "h.example"},
          {"Request-Id", id},
          {"Model", "m0"},
          {"Token-Count", "300,40"},
          {"Prompt-Prefix", "5c1e07a2:200," + id.substr(1) + ":100"},
          {"Deadline-Ms", std::to_string(left.count())}};
}

/// Returns the part of a body that holds whole events.
std::string wholeEvents(const std::string &body) {
  const auto at = body.rfind("\n\n");
  return at == std::string::npos ? std::string() : body.substr(0, at + 2);
}

std::string versionsIn(const std::string &body) {
  std::string out;
  for (auto *it : {"v1", "v2"})
    if (body.find(it) != std::string::npos)
      out += out.empty() ? it : std::string("+") + it;
  return out;
}

/// Begins a stream. The client leaves once `closeWhen` holds.
void beginStream(Rig &rig, int host, Stream &it, const std::function<bool()> &closeWhen,
                 Record &record) {
  it.began = Clock::now();
  Request request{.target = "/s/x", .headers = headersOf(it.id, Deadline), .limit = Deadline};
  request.onBody = [&](const std::string &) { return !closeWhen(); };
  record.line("sent " + it.id + " to host " + std::to_string(host));
  const Answer answer = send(rig.ip(host), rig.port(), request);
  it.complete = answer.complete;
  it.body = wholeEvents(answer.body);
  record.line("answer " + it.id + " status " + std::to_string(answer.status) + " events " +
              std::to_string(countEvents(it.body)) + " of " + versionsIn(it.body) +
              (answer.complete ? " complete" : " broken off"));
}

/// Takes a stream up until it is complete. The client honours Retry-After.
void takeUp(Rig &rig, int host, Stream &it, Record &record) {
  while (!it.complete && it.tries < MaxTries && timeLeft(it) > Millis(500)) {
    const int events = countEvents(it.body);
    const std::string id = it.id + "f" + std::to_string(++it.tries);
    Request request{
        .target = "/s/x", .headers = headersOf(id, timeLeft(it)), .limit = timeLeft(it)};
    request.headers.emplace_back("Last-Event-Id", std::to_string(events));
    request.headers.emplace_back("Resumes", it.id);
    host = (host + 1) % rig.hostCount();
    record.line("sent " + id + " to host " + std::to_string(host) + " takes up " + it.id +
                " after event " + std::to_string(events));
    const Answer answer = send(rig.ip(host), rig.port(), request);
    const std::string added = answer.status == 200 ? wholeEvents(answer.body) : std::string();
    it.body += added;
    it.complete = answer.status == 200 && answer.complete;
    it.wentOn = it.wentOn || countEvents(added) > 0;
    record.line("answer " + id + " status " + std::to_string(answer.status) + " events " +
                std::to_string(countEvents(added)) + " retry-after " +
                answer.header("Retry-After") +
                (answer.status == 200 ? std::string() : " " + answer.body));
    if (answer.status != 503)
      continue;
    const double pause = std::atof(answer.header("Retry-After").c_str());
    std::this_thread::sleep_for(Millis(static_cast<int>(pause * 1000)));
  }
}

int runCase(const std::string &folder) {
  Record record(folder + "/record.txt");
  Rig rig(Hosts);
  for (auto *it : {"i-a1", "i-a2"})
    rig.addEngine(it, "v1", {"m0"}).eventPause = EventPause;
  for (auto *it : {"i-b1", "i-b2"})
    rig.addEngine(it, "v2", {"m0"}).eventPause = EventPause;
  rig.store.put("config", "main",
                makeConfig(1, {makeRoute("s", "/s/", "streaming", 15000, "llm")}));
  rig.begin();
  if (!rig.waitUntilReady(Millis(20000)))
    return ExitNotRun;
  std::this_thread::sleep_for(ContactTime + Millis(500));

  std::atomic<bool> close = false;
  std::vector<Stream> streams(Streams);
  std::vector<std::thread> clients;
  for (int i = 0; i < Streams; ++i)
    clients.emplace_back([&, i] {
      auto &it = streams[static_cast<std::size_t>(i)];
      it.id = "a" + std::to_string(1000 + i);
      beginStream(
          rig, i % Hosts, it, [&] { return close.load(); }, record);
    });
  std::this_thread::sleep_for(BreakAfter);
  if (hasTrouble()) {
    record.line("all hosts are killed");
    rig.killAll(DownTime);
    record.line("all hosts were started again");
  } else {
    close = true; // the clients break the channels themselves, as the next event comes
    std::this_thread::sleep_for(DownTime);
  }
  for (auto &it : clients)
    it.join();
  clients.clear();
  const auto startedAgain = Clock::now();
  if (!rig.waitUntilReady(Millis(10000)))
    return ExitNotRun;
  std::this_thread::sleep_until(startedAgain + ContactTime + Millis(300));

  record.line("all hosts are in touch, the clients take up their streams");
  std::vector<Stream> fresh(Streams);
  for (int i = 0; i < Streams; ++i) {
    clients.emplace_back(
        [&, i] { takeUp(rig, i % Hosts, streams[static_cast<std::size_t>(i)], record); });
    clients.emplace_back([&, i] {
      auto &it = fresh[static_cast<std::size_t>(i)];
      it.id = "b" + std::to_string(1000 + i);
      beginStream(
          rig, i % Hosts, it, [] { return false; }, record);
    });
  }
  for (auto &it : clients)
    it.join();

  int takenUp = 0;
  int wentOn = 0;
  int mixed = 0;
  int begun = 0;
  for (auto &it : streams) {
    takenUp += it.tries > 0 ? 1 : 0;
    wentOn += it.wentOn ? 1 : 0;
    mixed += versionsIn(it.body).find('+') == std::string::npos ? 0 : 1;
  }
  for (auto &it : fresh)
    begun += it.body.empty() ? 0 : 1;
  const std::string result = "taken up " + std::to_string(takenUp) + ", went on " +
                             std::to_string(wentOn) + ", new streams " + std::to_string(Streams) +
                             ", begun " + std::to_string(begun) + ", of two versions " +
                             std::to_string(mixed);
  record.line(result);
  std::puts(result.c_str());
  if (takenUp < 12)
    return ExitNotRun;
  // The share that goes on is under half of the share of new streams that begin.
  return 2 * wentOn * Streams < begun * takenUp ? ExitBroken : ExitHeld;
}

} // namespace
} // namespace review

int main(int, char **argv) {
  try {
    return review::runCase(argv[1]);
  } catch (const std::exception &e) {
    std::fprintf(stderr, "%s\n", e.what());
    return review::ExitNotRun;
  }
}
