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
      figures(options.reportLag) {
  batch.onQueued = [this] { this->noteLoad(); };
}

asio::awaitable<void> EngineStandin::handle(HttpExchange &exchange, const Target &target) {
  using E = EngineStandin;
  static constexpr std::array<Route<E>, 9> Routes{{
      {http::verb::post, "/v1/completions", &E::complete},
      {http::verb::post, "/v1/chat/completions", &E::complete},
      {http::verb::get, "/engine/status", &E::getStatus},
      {http::verb::post, "/engine/orders", &E::takeOrder},
      {http::verb::get, "/engine/cache-events", &E::getCacheEvents},
      {http::verb::post, "/engine/kv/export", &E::exportKv},
      {http::verb::post, "/engine/kv/import", &E::importKv},
      {http::verb::get, "/engine/faults", &E::getFaults},
      {http::verb::post, "/control", &E::control},
  }};
  newestConnection = std::max(newestConnection, exchange.connectionId());
  if (silent(exchange) && target.path != "/control")
    co_await holdSilent(exchange);
  else
    co_await runRoute(*this, Routes, exchange, target);
}

EndpointReport EngineStandin::freshReport() const {
  auto report = memory.report();
  report.running = batch.running();
  report.queued = batch.queued();
  return report;
}

/// Replicas are reported as they are, load figures as of the lag ago.
asio::awaitable<void> EngineStandin::getStatus(HttpExchange &exchange, const Target &) {
  auto report = memory.report();
  const auto &load = figures.read(now());
  report.running = load.running;
  report.queued = load.queued;
  for (auto &it : report.models) {
    const auto found = load.inFlight.find(it.model.value);
    it.inFlight = found == load.inFlight.end() ? 0 : found->second;
  }
  co_await answerJson(exchange, toJson(report, memory.role));
}

asio::awaitable<void> EngineStandin::takeOrder(HttpExchange &exchange, const Target &) {
  Fields fields(exchange.request().body());
  const auto kindText = fields.text("kind");
  if (kindText == "role") {
    co_await takeRoleOrder(exchange, fields);
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
    co_await answerProblem(exchange, 400, "needs a model");
    co_return;
  }
  const auto result = memory.apply(order);
  if (result.loadId != 0)
    startLoad(std::make_shared<const LoadTask>(LoadTask{order, result.loadId}));
  if (order.kind == OrderKind::Unload)
    loads.notifyAll();
  co_await answerOrder(exchange, result.status);
}

asio::awaitable<void> EngineStandin::takeRoleOrder(HttpExchange &exchange, Fields &fields) {
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
                          {"report", toJson(freshReport(), memory.role)}};
  co_await answerJson(exchange, body, status == OrderStatus::Ok ? 200 : 409);
}

void EngineStandin::startLoad(std::shared_ptr<const LoadTask> load) {
  asio::co_spawn(executor, runLoad(std::move(load)), asio::detached);
}

asio::awaitable<void> EngineStandin::runLoad(std::shared_ptr<const LoadTask> load) {
  const bool wanted = co_await waitForBase(*load);
  if (!wanted)
    co_return;
  co_await fetch(*load);
  memory.finishLoad(load->order.model, load->id);
  loads.notifyAll();
}

/// Waits until an adapter's base is ready. False if the load has been dropped.
asio::awaitable<bool> EngineStandin::waitForBase(const LoadTask &load) {
  const auto &order = load.order;
  const std::string key;
  while (memory.loading(order.model, load.id) && !order.base.empty() && !memory.ready(order.base))
    co_await loads.wait(key, LoadCheckInterval);
  co_return memory.loading(order.model, load.id);
}

asio::awaitable<void> EngineStandin::fetch(const LoadTask &load) {
  const auto &order = load.order;
  const auto source = memory.source(order.model);
  if (source == CopySource::Remote)
    co_await fetchRemote(load);
  else
    co_await sleepFor(transferTime(order.bytes, source == CopySource::Disk
                                                    ? options.diskBytesPerSecond
                                                    : options.memoryBytesPerSecond));
  if (order.base.empty())
    co_await sleepFor(options.loadOverhead);
}

/// Fetches from the weight store, again if that fails, until the load is no longer wanted.
asio::awaitable<void> EngineStandin::fetchRemote(const LoadTask &load) {
  const auto &order = load.order;
  if (!options.weights) {
    co_await sleepFor(transferTime(order.bytes, options.remoteBytesPerSecond));
    co_return;
  }
  HttpTimeouts timeouts;
  timeouts.silence = RemoteLoadTimeout;
  timeouts.total = RemoteLoadTimeout;
  while (memory.loading(order.model, load.id)) {
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

asio::awaitable<void> EngineStandin::control(HttpExchange &exchange, const Target &) {
  Fields fields(exchange.request().body());
  const bool leaving = fields.flag("leaving", memory.leaving);
  const bool silence = fields.flag("silent", false);
  const bool all = fields.flag("silent_all", silentAll);
  const double slow = fields.number("slow", batch.slow);
  if (!fields.error().empty() || slow <= 0) {
    co_await answerProblem(exchange, 400,
                           fields.error().empty() ? "slow must be above 0" : fields.error());
    co_return;
  }
  memory.leaving = leaving;
  batch.slow = slow;
  silentAll = all;
  if (silence)
    silentUpTo = newestConnection;
  const json::object body{{"leaving", leaving}, {"silent_all", silentAll}, {"slow", slow}};
  co_await answerJson(exchange, body);
}

} // namespace catkin::standin
