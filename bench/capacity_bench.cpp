#include "lists_p.h"
#include "messages_p.h"
#include "route_table_p.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <unistd.h>

/// Measures size, processor time and memory of the hosts' state and messages at three sizes each.
/// docs/CAPACITY.md derives its slopes from the results.
namespace {

using namespace catkin;

constexpr int Repeats = 20;

/// Resident memory of this process in bytes.
double residentBytes() {
  std::ifstream in("/proc/self/statm");
  long total = 0;
  long resident = 0;
  in >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Mean time of one call in microseconds.
double microsOf(const std::function<void()> &call) {
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < Repeats; ++i)
    call();
  std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
  return spent.count() / Repeats;
}

std::string padded(const char *prefix, int i) {
  char buf[64];
  std::snprintf(buf, sizeof buf, "%s-%05d", prefix, i);
  return buf;
}

/// Returns lists with `n` models, one plan for every ten models, and thirty models in each plan.
Lists makeLists(int n) {
  Lists lists;
  lists.revision = 1;
  lists.editId = "edit";
  for (int i = 0; i < n; ++i) {
    ModelName name(padded("model", i));
    lists.models[name] = {.name = name, .base = {}, .version = "2026.1", .bytes = 16000000000};
  }
  for (int i = 0; i < n / 10; ++i) {
    PlanName name(padded("plan", i));
    lists.plans[name] = {.name = name,
                         .keys = {hashKey(name.value)},
                         .priority = Priority::Normal,
                         .grant = {4, 32, 1000, 100000000000}};
    Use use{.plan = name, .models = {}, .services = {}};
    for (int k = 0; k < 30; ++k)
      use.models.emplace_back(padded("model", (i * 10 + k) % n));
    lists.uses[name] = std::move(use);
  }
  return lists;
}

void measureLists(int n) {
  auto document = formatLists(makeLists(n));
  auto before = residentBytes();
  std::vector<std::variant<Lists, ListErrors>> kept;
  auto micros = microsOf([&] { kept.push_back(parseLists(document)); });
  auto memory = (residentBytes() - before) / Repeats;
  std::printf("lists     models %5d  document %8zu B  parse %9.0f us  memory %9.0f B\n", n,
              document.size(), micros, memory);
}

RouteEntry makeEntry(int i) {
  return {.model = ModelName(padded("model", i)),
          .endpoint = EndpointName(padded("drafting", i % 2300)),
          .address = {"10.20.30.40", 8000},
          .dataCentre = DataCentreName("obuda-c"),
          .state = ReplicaState::Loaded,
          .leaving = false,
          .generation = 2,
          .running = 3,
          .queued = 0};
}

void measureTable(int n) {
  RouteTable table;
  for (int i = 0; i < n; ++i)
    table.set(makeEntry(i));
  SyncReply full;
  table.fillDelta(0, full);
  auto text = encode(full);
  auto encodeMicros = microsOf([&] { (void)encode(full); });
  auto decodeMicros = microsOf([&] { (void)decodeSyncReply(text); });
  auto version = table.version();
  auto entry = makeEntry(1);
  entry.running = 9;
  entry.state = ReplicaState::Releasing;
  table.set(entry);
  SyncReply delta;
  table.fillDelta(version, delta);
  std::printf("table     replicas %5d  full %8zu B  encode %7.0f us  decode %7.0f us  one change "
              "%zu B\n",
              n, text.size(), encodeMicros, decodeMicros, encode(delta).size());
}

Member makeMember(int i) {
  return {.host = HostName(padded("host", i)),
          .incarnation = 1796358591249128,
          .callerAddress = {"10.20.30.40", 8000},
          .peerAddress = {"10.20.30.40", 9000},
          .dataCentre = DataCentreName("obuda-c"),
          .liveness = Liveness::Live,
          .overloaded = false,
          .revision = 0};
}

void measureMembers(int n) {
  SyncReply reply;
  for (int i = 0; i < n; ++i)
    reply.members.push_back(makeMember(i));
  auto text = encode(reply);
  auto micros = microsOf([&] { (void)decodeSyncReply(text); });
  std::printf("members   hosts %5d  full %8zu B  decode %7.0f us\n", n, text.size(), micros);
}

/// Measures a host's report with `n` models in use and a third as many plans.
void measureReport(int n) {
  SyncRequest request{.self = makeMember(1), .term = 9, .tableTerm = 9, .tableVersion = 1234};
  for (int i = 0; i < n; ++i)
    request.models.push_back({ModelName(padded("model", i)), 3, 2, 1});
  for (int i = 0; i < n / 3; ++i)
    request.plans.push_back({PlanName(padded("plan", i)), 2, 1, 100.5, 38654705665});
  auto text = encode(request);
  auto micros = microsOf([&] { (void)encode(request); });
  auto decodeMicros = microsOf([&] { (void)decodeSyncRequest(text); });
  std::printf("report    models in use %3d  %6zu B  encode %6.1f us  decode %6.1f us\n", n,
              text.size(), micros, decodeMicros);
}

} // namespace

int main() {
  for (int n : {60, 600, 1990})
    measureLists(n);
  for (int n : {60, 600, 2300})
    measureTable(n);
  for (int n : {8, 49, 340})
    measureMembers(n);
  for (int n : {3, 12, 48})
    measureReport(n);
  return 0;
}
