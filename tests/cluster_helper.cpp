#include "cluster_p.h"

#include "json_p.h"

namespace catkin::harness {

namespace {

constexpr std::uint64_t EngineUnits = 100;
constexpr std::uint64_t ModelUnits = 30;

constexpr std::uint64_t AdapterUnits = 1;
constexpr int Concurrency = 16;

json::object plansOf(int concurrency, std::uint64_t unitBytes) {
  json::object grant{{"models", 100},
                     {"concurrency", concurrency},
                     {"tokens_per_second", 1000},
                     {"accelerator_bytes", 100000 * unitBytes}};
  json::object plan{{"name", "dispatch"},
                    {"keys", json::array{hashKey("example")}},
                    {"priority", "normal"},
                    {"grant", grant}};
  return {{"plans", json::array{plan}}};
}

std::string listsDocument(std::uint64_t revision, const std::string &editId,
                          const ClusterOptions &o) {
  json::array modelList;
  json::array names;
  for (int i = 0; i < o.models; ++i) {
    modelList.push_back(
        json::object{{"name", Cluster::model(i).value}, {"bytes", ModelUnits * o.unitBytes}});
    names.emplace_back(Cluster::model(i).value);
  }
  for (int i = 0; i < o.adapters; ++i) {
    modelList.push_back(json::object{{"name", Cluster::adapter(i).value},
                                     {"bytes", AdapterUnits * o.unitBytes},
                                     {"base", Cluster::model(0).value}});
    names.emplace_back(Cluster::adapter(i).value);
  }
  json::object use{{"plan", "dispatch"}, {"models", names}, {"services", json::array{}}};
  return json::serialize(json::object{{"revision", revision},
                                      {"edit_id", editId},
                                      {"plans", plansOf(Concurrency, o.unitBytes)},
                                      {"uses", json::object{{"models", modelList},
                                                            {"services", json::array{}},
                                                            {"uses", json::array{use}}}}});
}

} // namespace

Cluster::Cluster(const ClusterOptions &options) : world(options.seed), options(options) {
  for (int i = 0; i < options.engines; ++i)
    world.addEngine({.name = engineName(i),
                     .address = {"10.0.1.1", static_cast<std::uint16_t>(100 + i)},
                     .dataCentre = DataCentreName(i % 2 == 0 ? "buda-a" : "pest-b"),
                     .checksFencing = !options.mixedFencing || i % 2 == 0,
                     .memoryBytes = EngineUnits * options.unitBytes});
  hosts.resize(static_cast<std::size_t>(options.hosts));
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    auto n = static_cast<std::uint16_t>(i + 1);
    hosts[i].self = {.host = HostName("host-" + std::to_string(n)),
                     .callerAddress = {"10.0.0.1", n},
                     .peerAddress = {"10.0.0.2", n},
                     .dataCentre = DataCentreName(i % 2 == 0 ? "buda-a" : "pest-b")};
    setHostListed(i, Liveness::Live, Duration(0));
  }
}

void Cluster::setHostListed(std::size_t host, Liveness liveness, Duration lag) {
  world.setNode({.kind = ListedKind::Host,
                 .name = hosts[host].self.host.value,
                 .address = hosts[host].self.callerAddress,
                 .dataCentre = hosts[host].self.dataCentre,
                 .liveness = liveness},
                lag);
}

void Cluster::putLists(std::uint64_t revision, const std::string &editId) {
  world.putObject("config/lists", listsDocument(revision, editId, options));
}

std::string Cluster::plansDocument(int concurrency) const {
  return json::serialize(plansOf(concurrency, options.unitBytes));
}

void Cluster::start(std::size_t host) {
  auto &it = hosts[host];
  ++it.self.incarnation;
  it.process = world.addProcess(it.self.host, it.self.peerAddress, it.self.incarnation);
  std::vector<Address> peers;
  for (auto &other : hosts)
    if (other.self.host != it.self.host)
      peers.push_back(other.self.peerAddress);
  it.table.clear();
  it.shares.clear();
  it.control = std::make_unique<Control>(
      *it.process,
      ControlOptions{.self = it.self,
                     .peers = peers,
                     .planner = {.retention = "lru"},
                     .guards = options.guards},
      ControlHooks{
          .listsApplied = [&it](const ListsPtr &l) { it.revisions.push_back(l->revision); },
          .tableChanged = [&it](const auto &entries) { it.table = entries; },
          .sharesChanged = [&it](const auto &shares) { it.shares = shares; },
          .nodesListed = {},
          .fillReport =
              [&it](SyncRequest &request) {
                for (auto &share : it.shares)
                  request.plans.push_back({.plan = share.plan, .shareVersion = share.version});
              }});
  it.process->onCall([&it](const auto &method, const auto &params, auto done) {
    it.control->onCall(method, params, std::move(done));
  });
  it.running = true;
  it.control->start();
}

void Cluster::kill(std::size_t host) {
  world.kill(hosts[host].process);
  hosts[host].control.reset();
  hosts[host].running = false;
}

void Cluster::restart(std::size_t host) {
  kill(host);
  start(host);
}

bool Cluster::startAll() {
  putLists(1, "first");
  world.run(std::chrono::milliseconds(1)); // makes the nodes visible in the host list
  for (std::size_t i = 0; i < hosts.size(); ++i)
    start(i);
  return world.runUntil(
      [this] {
        for (auto &it : hosts)
          if (!it.control->isReady())
            return false;
        return true;
      },
      std::chrono::seconds(30));
}

std::size_t Cluster::activePlanners() const {
  std::size_t n = 0;
  for (auto &it : hosts) {
    bool acts = it.running && !it.process->frozen() && it.control->isPlanner();
    n += acts && world.now() < it.control->orderLimit() ? 1 : 0;
  }
  return n;
}

int Cluster::plannerIndex() const {
  for (std::size_t i = 0; i < hosts.size(); ++i)
    if (hosts[i].running && hosts[i].control->isPlanner() &&
        world.now() < hosts[i].control->orderLimit())
      return static_cast<int>(i);
  return -1;
}

bool Cluster::isLoaded(std::size_t host, const ModelName &model) const {
  for (auto &it : hosts[host].table)
    if (it.model == model && it.state == ReplicaState::Loaded)
      return true;
  return false;
}

void Cluster::ensure(std::size_t host, const ModelName &model, Duration remaining,
                     std::function<void(const EnsureReply &)> done) {
  auto &it = hosts[host];
  if (!done)
    done = [](const EnsureReply &) {};
  it.control->ensure({.requestId = "r",
                      .model = model,
                      .plan = PlanName("dispatch"),
                      .host = it.self.host,
                      .dataCentre = it.self.dataCentre,
                      .remaining = remaining},
                     done);
}

} // namespace catkin::harness
