#include "engine_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace catkin::standin {

namespace {

constexpr auto LoadRetryDelay = std::chrono::milliseconds(500);
constexpr auto LoadCheckInterval = std::chrono::milliseconds(100);
constexpr auto RemoteLoadTimeout = std::chrono::minutes(30);

json::array toJson(const std::vector<ModelName> &names) {
  json::array list;
  for (const auto &it : names)
    list.emplace_back(it.value);
  return list;
}

json::object toJson(const EndpointReport &report, EngineRole role) {
  json::array models;
  for (const auto &it : report.models)
    models.push_back(json::object{{"model", it.model.value},
                                  {"ready", it.ready},
                                  {"bytes", it.bytes},
                                  {"in_flight", it.inFlight}});
  return {{"endpoint", report.endpoint.value},
          {"incarnation", report.incarnation},
          {"checks_fencing", report.checksFencing},
          {"leaving", report.leaving},
          {"generation", report.generation},
          {"term", report.term},
          {"memory_bytes", report.memoryBytes},
          {"models", std::move(models)},
          {"memory_cache", toJson(report.memoryCache)},
          {"disk_cache", toJson(report.diskCache)},
          {"running", report.running},
          {"queued", report.queued},
          {"role", toString(role)}};
}

Duration transferTime(std::uint64_t bytes, double bytesPerSecond) {
  return fromSeconds(static_cast<double>(bytes) / bytesPerSecond);
}

HttpRequest transferRequest(const EngineOrder &order) {
  HttpRequest request(http::verb::post, "/loads", 11);
  request.body() = json::serialize(json::object{
      {"model", order.model.value}, {"bytes", order.bytes}, {"adapter", !order.base.empty()}});
  return request;
}

} // namespace

EngineStandin::EngineStandin(asio::any_io_executor e, EngineOptions o)
    : Standin(e, {.listen = o.listen}), options(std::move(o)), executor(std::move(e)),
      client(executor), memory(options.memory), batch(options.batch), prefixes(options.prefixes),
      loadFigures(options.reportLag) {
  batch.onQueued = [this] { this->recordLoadFigures(); };
}

asio::awaitable<void> EngineStandin::handle(HttpExchange &exchange, const Target &target) {
  using E = EngineStandin;
  static constexpr std::array<Route<E>, 9> Routes{{
      {http::verb::post, "/v1/completions", &E::handleCompletion},
      {http::verb::post, "/v1/chat/completions", &E::handleCompletion},
      {http::verb::get, "/engine/status", &E::getStatus},
      {http::verb::post, "/engine/orders", &E::handleOrder},
      {http::verb::get, "/engine/cache-events", &E::getCacheEvents},
      {http::verb::post, "/engine/kv/export", &E::exportKv},
      {http::verb::post, "/engine/kv/import", &E::importKv},
      {http::verb::get, "/engine/faults", &E::getFaults},
      {http::verb::post, "/control", &E::handleControl},
  }};
  newestConnection = std::max(newestConnection, exchange.connectionId());
  if (isSilent(exchange) && target.path != "/control")
    co_await holdWithoutReply(exchange);
  else
    co_await runRoute(*this, Routes, exchange, target);
}

EndpointReport EngineStandin::currentReport() const {
  auto report = memory.report();
  report.running = batch.running();
  report.queued = batch.queued();
  return report;
}

/// Reports the replicas as they are now and the load figures of `reportLag` ago.
asio::awaitable<void> EngineStandin::getStatus(HttpExchange &exchange, const Target &) {
  auto report = memory.report();
  const auto &load = loadFigures.read(now());
  report.running = load.running;
  report.queued = load.queued;
  for (auto &it : report.models) {
    const auto found = load.inFlight.find(it.model.value);
    it.inFlight = found == load.inFlight.end() ? 0 : found->second;
  }
  co_await answerJson(exchange, toJson(report, memory.role));
}

asio::awaitable<void> EngineStandin::handleOrder(HttpExchange &exchange, const Target &) {
  JsonFields fields(exchange.request().body());
  const auto kindText = fields.text("kind");
  if (kindText == "role") {
    co_await handleRoleOrder(exchange, fields);
    co_return;
  }
  const auto kind = parseEnum<OrderKind>(kindText);
  EngineOrder order;
  order.term = fields.count("term", 0);
  order.orderId = fields.text("order_id");
  order.model = ModelName(fields.text("model"));
  order.base = ModelName(fields.text("base"));
  order.bytes = fields.count("bytes", 0);
  if (!fields.error().empty() || !kind) {
    co_await answerProblem(exchange, 400,
                           fields.error().empty() ? "unknown kind of order" : fields.error());
    co_return;
  }
  order.kind = *kind;
  if (order.kind != OrderKind::Claim && order.model.empty()) {
    co_await answerProblem(exchange, 400, "the order needs a model");
    co_return;
  }
  const auto result = memory.apply(order);
  if (result.loadId != 0)
    startLoad(std::make_shared<const LoadTask>(LoadTask{order, result.loadId}));
  if (order.kind == OrderKind::Unload)
    loadWaiters.notifyAll();
  co_await answerOrder(exchange, result.status);
}

asio::awaitable<void> EngineStandin::handleRoleOrder(HttpExchange &exchange, JsonFields &fields) {
  const auto term = fields.count("term", 0);
  const auto role = parseEnum<EngineRole>(fields.text("role"));
  if (!fields.error().empty() || !role) {
    co_await answerProblem(exchange, 400, "role must be mixed, prefill or decode");
    co_return;
  }
  co_await answerOrder(exchange, memory.changeRole(term, *role));
}

asio::awaitable<void> EngineStandin::answerOrder(HttpExchange &exchange, OrderStatus status) {
  const json::object body{{"status", toString(status)},
                          {"report", toJson(currentReport(), memory.role)}};
  co_await answerJson(exchange, body, status == OrderStatus::Ok ? 200 : 409);
}

void EngineStandin::startLoad(std::shared_ptr<const LoadTask> load) {
  asio::co_spawn(executor, runLoad(std::move(load)), asio::detached);
}

asio::awaitable<void> EngineStandin::runLoad(std::shared_ptr<const LoadTask> load) {
  const bool stillWanted = co_await waitForBase(*load);
  if (!stillWanted)
    co_return;
  co_await fetchModel(*load);
  memory.finishLoad(load->order.model, load->id);
  loadWaiters.notifyAll();
}

/// Waits until the base model of an adapter is ready. Returns false if the model has been unloaded.
asio::awaitable<bool> EngineStandin::waitForBase(const LoadTask &load) {
  const auto &order = load.order;
  const std::string key;
  while (memory.isLoading(order.model, load.id) && !order.base.empty() &&
         !memory.isReady(order.base))
    co_await loadWaiters.wait(key, LoadCheckInterval);
  co_return memory.isLoading(order.model, load.id);
}

/// Takes the time that a load from the nearest copy takes.
asio::awaitable<void> EngineStandin::fetchModel(const LoadTask &load) {
  const auto &order = load.order;
  const auto source = memory.copySource(order.model);
  if (source == CopySource::Remote)
    co_await fetchFromWeightStore(load);
  else
    co_await sleepFor(transferTime(order.bytes, source == CopySource::Disk
                                                    ? options.diskBytesPerSecond
                                                    : options.memoryBytesPerSecond));
  if (order.base.empty())
    co_await sleepFor(options.loadOverhead);
}

/// Fetches from the weight store. Retries until it succeeds or the model has been unloaded.
asio::awaitable<void> EngineStandin::fetchFromWeightStore(const LoadTask &load) {
  const auto &order = load.order;
  if (!options.weights) {
    co_await sleepFor(transferTime(order.bytes, options.remoteBytesPerSecond));
    co_return;
  }
  HttpTimeouts timeouts;
  timeouts.silence = RemoteLoadTimeout;
  timeouts.total = RemoteLoadTimeout;
  while (memory.isLoading(order.model, load.id)) {
    auto request = transferRequest(order);
    const auto result = co_await client.request(*options.weights, std::move(request), timeouts);
    if (result.status == HttpTransferStatus::Ok && result.response.result() == http::status::ok)
      co_return;
    co_await sleepFor(LoadRetryDelay);
  }
}

asio::awaitable<void> EngineStandin::getFaults(HttpExchange &exchange, const Target &) {
  const auto &faults = memory.faults;
  const json::object body{{"overcommits", faults.overcommits},
                          {"refused_no_memory", faults.refusedNoMemory},
                          {"stale_orders", faults.staleOrders},
                          {"busy_unloads", faults.busyUnloads},
                          {"loads_while_leaving", faults.loadsWhileLeaving},
                          {"requests_while_leaving", faults.requestsWhileLeaving},
                          {"requests_not_loaded", faults.requestsNotLoaded},
                          {"used_bytes", memory.usedBytes()}};
  co_await answerJson(exchange, body);
}

/// Changes the simulated faults: leaving, slowness and silent connections.
asio::awaitable<void> EngineStandin::handleControl(HttpExchange &exchange, const Target &) {
  JsonFields fields(exchange.request().body());
  const bool leaving = fields.flag("leaving", memory.leaving);
  const bool silenceConnections = fields.flag("silent", false);
  const bool silenceAll = fields.flag("silent_all", allConnectionsSilent);
  const double slowdown = fields.number("slow", batch.slowdown);
  if (!fields.error().empty() || slowdown <= 0) {
    co_await answerProblem(exchange, 400,
                           fields.error().empty() ? "slow must be above 0" : fields.error());
    co_return;
  }
  memory.leaving = leaving;
  batch.slowdown = slowdown;
  allConnectionsSilent = silenceAll;
  if (silenceConnections)
    lastSilentConnection = newestConnection;
  const json::object body{
      {"leaving", leaving}, {"silent_all", allConnectionsSilent}, {"slow", slowdown}};
  co_await answerJson(exchange, body);
}

} // namespace catkin::standin
