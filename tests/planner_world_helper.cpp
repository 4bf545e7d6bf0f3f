#include "planner_world_p.h"

namespace catkin::harness {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
std::uint16_t nextPort = 1;

} // namespace

PlannerHost::PlannerHost(World &w, const std::string &name, PlannerOptions options)
    : process(w.addProcess(HostName(name), Address{"10.0.0.1", nextPort++})), world(w) {
  options.host = HostName(name);
  planner = std::make_unique<Planner>(*process, std::move(options));
}

void PlannerHost::start(ListsPtr lists) {
  planner->setLists(std::move(lists));
  tick();
}

void PlannerHost::tick() {
  process->read([self = shared_from_this()](StoreStatus status, const auto &nodes) {
    if (status == StoreStatus::Ok)
      self->planner->setEndpoints(nodes);
  });
  if (acknowledgeAll)
    planner->setAcknowledgedVersion(planner->table().version());
  planner->tick();
  process->after(TickInterval, [self = shared_from_this()] { self->tick(); });
}

void PlannerHost::lead(std::uint64_t term, bool formerHolderEnded, Duration orderLimit) {
  planner->lead(term, formerHolderEnded);
  planner->setOrderLimit(world.now() + orderLimit);
}

std::shared_ptr<EnsureReply> PlannerHost::ensure(const std::string &plan, const std::string &model,
                                                 Duration remaining) {
  auto reply = std::make_shared<EnsureReply>();
  reply->outcome = EnsureOutcome::Count;
  EnsureRequest request{.requestId = "r",
                        .model = ModelName(model),
                        .plan = PlanName(plan),
                        .host = process->name(),
                        .remaining = remaining};
  process->after(Duration(0), [self = shared_from_this(), request, reply] {
    self->planner->ensure(request, [reply](const EnsureReply &r) { *reply = r; });
  });
  return reply;
}

ListsPtr makeLists(int plans, Grant grant, const std::vector<Model> &models) {
  auto lists = std::make_shared<Lists>();
  lists->revision = 1;
  for (auto &it : models)
    lists->models[it.name] = it;
  for (int i = 0; i < plans; ++i) {
    PlanName name("p" + std::to_string(i));
    lists->plans[name] = {.name = name, .grant = grant};
    lists->uses[name].plan = name;
    for (auto &it : models)
      lists->uses[name].models.push_back(it.name);
  }
  return lists;
}

std::vector<Model> makeModels(int n, std::uint64_t bytes) {
  std::vector<Model> models(static_cast<std::size_t>(n));
  for (std::size_t i = 0; i < models.size(); ++i) {
    models[i].name = ModelName("m" + std::to_string(i));
    models[i].bytes = bytes;
  }
  return models;
}

FakeEngine makeEngine(int i, std::uint64_t memoryBytes, bool checksFencing) {
  return {.name = EndpointName("e" + std::to_string(i)),
          .address = {"10.0.1.1", static_cast<std::uint16_t>(i + 1)},
          .dataCentre = DataCentreName("dc"),
          .checksFencing = checksFencing,
          .memoryBytes = memoryBytes};
}

std::optional<ReplicaState> tableState(const Planner &planner, const std::string &model,
                                       const std::string &endpoint) {
  for (auto &it : planner.table().entriesOf(ModelName(model)))
    if (it.endpoint.value == endpoint)
      return it.state;
  return std::nullopt;
}

} // namespace catkin::harness
