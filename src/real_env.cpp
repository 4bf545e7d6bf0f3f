#include "real_env_p.h"

#include "async_p.h"
#include "config.h"
#include "json_p.h"
#include "rpc_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace catkin {

namespace {

// A watch without an answer counts as lost this long after its requested maximum wait.
constexpr Duration WatchMargin = std::chrono::seconds(2);

/// True if a response with status code `code` arrived.
bool hasStatus(const HttpResult &result, unsigned code) {
  return result.status == HttpTransferStatus::Ok && result.response.result_int() == code;
}

StoreObject readObject(JsonReader &in) {
  return {in.text("key"), in.unsignedInt("version"), in.text("value")};
}

/// Passes the object of a response with code 200, or the status of a failed call, to `done`. A body
/// that cannot be parsed is reported as Unknown.
void finishObject(const HttpResult &result, const std::string &key, const StoreGetDone &done) {
  StoreObject object{.key = key};
  if (!hasStatus(result, 200)) {
    json::object body;
    if (result.status == HttpTransferStatus::Ok && parseObject(result.response.body(), body))
      object.version = JsonReader(body).unsignedInt("version");
    return done(failedStatus(result), object);
  }
  json::object body;
  if (!parseObject(result.response.body(), body))
    return done(StoreStatus::Unknown, object);
  JsonReader in(body);
  auto found = readObject(in);
  found.key = key;
  done(in.ok ? StoreStatus::Ok : StoreStatus::Unknown, found);
}

/// Makes a write conditional on the current version (0: the object must not exist).
void setExpectedVersion(HttpRequest &request, std::uint64_t expected) {
  if (expected == 0)
    request.set(http::field::if_none_match, "*");
  else
    request.set(http::field::if_match, '"' + std::to_string(expected) + '"');
}

ListedNode readNode(JsonReader &in) {
  ListedNode node;
  node.kind = in.enumerator("kind", ListedKind::Engine);
  node.name = in.text("name");
  node.service = in.name<ServiceName>("service");
  node.address = in.address("address");
  node.dataCentre = in.name<DataCentreName>("data_centre");
  node.liveness = in.enumerator("liveness", Liveness::Live);
  return node;
}

std::vector<ModelName> readNames(const json::object &object, std::string_view key) {
  std::vector<ModelName> names;
  auto *list = object.if_contains(key);
  if (!list || !list->is_array())
    return names;
  for (auto &it : list->get_array())
    if (it.is_string())
      names.emplace_back(std::string_view(it.get_string()));
  return names;
}

/// Reads an engine's report. `ok` tells whether it is complete and well-formed.
EndpointReport readReport(const json::object &object, bool &ok) {
  JsonReader in(object);
  EndpointReport report;
  report.endpoint = in.name<EndpointName>("endpoint");
  report.incarnation = in.unsignedInt("incarnation");
  report.checksFencing = in.flag("checks_fencing");
  report.leaving = in.flag("leaving");
  report.generation = in.integer("generation");
  report.term = in.unsignedInt("term");
  report.memoryBytes = in.unsignedInt("memory_bytes");
  in.objects("models", [&](JsonReader &it) {
    report.models.push_back({it.name<ModelName>("model"), it.flag("ready"), it.unsignedInt("bytes"),
                             it.integer("in_flight")});
  });
  report.memoryCache = readNames(object, "memory_cache");
  report.diskCache = readNames(object, "disk_cache");
  report.running = in.integer("running");
  report.queued = in.integer("queued");
  ok = in.ok && !report.endpoint.empty();
  return report;
}

std::string formatOrder(const EngineOrder &order) {
  json::object body;
  body["kind"] = toString(order.kind);
  body["term"] = order.term;
  body["order_id"] = order.orderId;
  body["model"] = order.model.value;
  body["base"] = order.base.value;
  body["bytes"] = order.bytes;
  return json::serialize(body);
}

/// Passes the status of an order and the engine's report to `done`. A response that cannot be
/// parsed is reported as Unknown.
void deliverOrderResult(const HttpResult &result, const OrderDone &done) {
  if (result.status == HttpTransferStatus::NotConnected)
    return done(OrderStatus::Unreachable, {});
  json::object body;
  if (result.status != HttpTransferStatus::Ok || !parseObject(result.response.body(), body))
    return done(OrderStatus::Unknown, {});
  JsonReader in(body);
  auto status = in.enumerator("status", OrderStatus::Unknown);
  auto *report = body.if_contains("report");
  bool ok = report && report->is_object();
  auto parsed = ok ? readReport(report->get_object(), ok) : EndpointReport{};
  if (!in.ok || !ok)
    return done(OrderStatus::Unknown, {});
  done(status, parsed);
}

} // namespace

Instant steadyNow() {
  return Instant(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::uint64_t newIncarnation() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

StoreStatus failedStatus(const HttpResult &result) {
  if (result.status == HttpTransferStatus::NotConnected)
    return StoreStatus::Unreachable;
  if (result.status != HttpTransferStatus::Ok)
    return StoreStatus::Unknown;
  switch (result.response.result_int()) {
  case 404:
    return StoreStatus::NotFound;
  case 409:
  case 412:
    return StoreStatus::Conflict;
  default:
    // Other client errors are refusals. A server error may have occurred after the write.
    return result.response.result_int() / 100 == 4 ? StoreStatus::Refused : StoreStatus::Unknown;
  }
}

HttpRequest makeRequest(http::verb verb, const std::string &target, std::string body) {
  HttpRequest request{verb, target, 11};
  if (!body.empty())
    request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

std::string escapeKey(std::string_view key) {
  constexpr std::string_view Plain = "-._~/";
  constexpr std::string_view Hex = "0123456789ABCDEF";
  std::string out;
  for (char c : key) {
    auto byte = static_cast<unsigned char>(c);
    if ((byte < 128 && std::isalnum(byte)) || Plain.find(c) != std::string_view::npos) {
      out += c;
      continue;
    }
    out += {'%', Hex[byte >> 4U], Hex[byte & 15U]};
  }
  return out;
}

HttpCaller::HttpCaller(const Strand &strand, Duration connectTimeout)
    : strand(strand), connectTimeout(connectTimeout), client(std::make_shared<HttpClient>(strand)) {
}

void HttpCaller::call(const Address &to, HttpRequest request, CallLimits limits, Done done) {
  HttpTimeouts timeouts{.connect = std::min(connectTimeout, limits.total),
                        .silence = limits.silence,
                        .total = limits.total};
  // A coroutine does not keep the captures of its lambda alive, so that all values are arguments.
  auto run = [](Strand strand, std::shared_ptr<HttpClient> client, Address to, HttpRequest request,
                HttpTimeouts timeouts, std::size_t maxBodyBytes,
                Done done) -> asio::awaitable<void> {
    auto result = co_await client->request(to, std::move(request), timeouts, maxBodyBytes);
    if (result.status == HttpTransferStatus::Silent || result.status == HttpTransferStatus::Timeout)
      client->closeIdleConnections(to);
    asio::post(strand, [done = std::move(done), result = std::move(result)] { done(result); });
  };
  asio::co_spawn(
      strand,
      run(strand, client, to, std::move(request), timeouts, limits.maxBodyBytes, std::move(done)),
      asio::detached);
}

void PlatformHttp::get(const std::string &key, StoreGetDone done) {
  caller->call(
      address, makeRequest(http::verb::get, "/objects/" + escapeKey(key)), config::PlatformTimeout,
      [key, done = std::move(done)](const HttpResult &result) { finishObject(result, key, done); });
}

void PlatformHttp::list(const std::string &prefix, StoreListDone done) {
  caller->call(address, makeRequest(http::verb::get, "/objects?prefix=" + escapeKey(prefix)),
               config::PlatformTimeout, [done = std::move(done)](const HttpResult &result) {
                 json::object body;
                 if (!hasStatus(result, 200))
                   return done(failedStatus(result), {});
                 if (!parseObject(result.response.body(), body))
                   return done(StoreStatus::Unknown, {});
                 std::vector<StoreObject> items;
                 JsonReader in(body);
                 in.objects("items", [&](JsonReader &it) { items.push_back(readObject(it)); });
                 done(in.ok ? StoreStatus::Ok : StoreStatus::Unknown, std::move(items));
               });
}

void PlatformHttp::put(const std::string &key, std::string value, std::uint64_t expected,
                       StoreGetDone done) {
  auto request = makeRequest(http::verb::put, "/objects/" + escapeKey(key), std::move(value));
  setExpectedVersion(request, expected);
  caller->call(
      address, std::move(request), config::PlatformTimeout,
      [key, done = std::move(done)](const HttpResult &result) { finishObject(result, key, done); });
}

void PlatformHttp::erase(const std::string &key, std::uint64_t expected, StoreGetDone done) {
  auto request = makeRequest(http::verb::delete_, "/objects/" + escapeKey(key));
  setExpectedVersion(request, expected);
  caller->call(address, std::move(request), config::PlatformTimeout,
               [key, done = std::move(done)](const HttpResult &result) {
                 bool erased = hasStatus(result, 200) || hasStatus(result, 204);
                 done(erased ? StoreStatus::Ok : failedStatus(result), StoreObject{.key = key});
               });
}

void PlatformHttp::watch(const std::string &key, std::uint64_t after, Duration maxWait,
                         StoreGetDone done) {
  auto target = "/objects/" + escapeKey(key) + "?after=" + std::to_string(after) +
                "&wait_ms=" + std::to_string(toMillis(maxWait));
  caller->call(address, makeRequest(http::verb::get, target), maxWait + WatchMargin,
               [key, done = std::move(done)](const HttpResult &result) {
                 if (hasStatus(result, 304))
                   return done(StoreStatus::NotFound, StoreObject{.key = key});
                 finishObject(result, key, done);
               });
}

void HostListHttp::read(HostListDone done) {
  caller->call(address, makeRequest(http::verb::get, "/nodes"), config::PlatformTimeout,
               [done = std::move(done)](const HttpResult &result) {
                 json::object body;
                 if (!hasStatus(result, 200))
                   return done(failedStatus(result), {});
                 if (!parseObject(result.response.body(), body))
                   return done(StoreStatus::Unknown, {});
                 std::vector<ListedNode> nodes;
                 JsonReader in(body);
                 in.objects("nodes", [&](JsonReader &it) { nodes.push_back(readNode(it)); });
                 done(in.ok ? StoreStatus::Ok : StoreStatus::Unknown, std::move(nodes));
               });
}

void PeersRpc::call(const Address &to, const std::string &method, std::string paramsJson,
                    Duration timeout, RpcDone done) {
  // The id is a signed integer on the wire. It only has to differ between concurrent calls.
  lastId = lastId == std::numeric_limits<int>::max() ? 1 : lastId + 1;
  auto body = encodeRpcRequest(method, paramsJson, lastId);
  caller->call(to, makeRequest(http::verb::post, "/rpc", std::move(body)), timeout,
               [id = lastId, done = std::move(done)](const HttpResult &result) {
                 if (result.status == HttpTransferStatus::NotConnected)
                   return done(RpcStatus::Unreachable, {});
                 if (result.status != HttpTransferStatus::Ok)
                   return done(RpcStatus::Timeout, {});
                 auto response = decodeRpcResponse(result.response.body(), id);
                 if (!response.ok)
                   return done(RpcStatus::Error, response.error);
                 done(RpcStatus::Ok, response.resultJson);
               });
}

void EnginesHttp::order(const Address &to, const EngineOrder &order, OrderDone done) {
  caller->call(
      to, makeRequest(http::verb::post, "/engine/orders", formatOrder(order)), config::OrderTimeout,
      [done = std::move(done)](const HttpResult &result) { deliverOrderResult(result, done); });
}

void EnginesHttp::status(const Address &to, StatusDone done) {
  caller->call(to, makeRequest(http::verb::get, "/engine/status"), config::OrderTimeout,
               [done = std::move(done)](const HttpResult &result) {
                 json::object body;
                 bool ok = hasStatus(result, 200) && parseObject(result.response.body(), body);
                 auto report = ok ? readReport(body, ok) : EndpointReport{};
                 done(ok, ok ? report : EndpointReport{});
               });
}

RealEnv::RealEnv(const Strand &strand, const RealEnvOptions &options, DecisionLog &log)
    : strand(strand), log(log), generator(std::random_device()()),
      caller(std::make_shared<HttpCaller>(strand, options.connectTimeout)),
      platformHttp(caller, options.platform), hostListHttp(caller, options.platform),
      peersRpc(caller), enginesHttp(caller) {}

Instant RealEnv::now() const { return steadyNow(); }

std::int64_t RealEnv::wallSeconds() const {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

void RealEnv::after(Duration d, Task task) {
  auto timer = std::make_shared<asio::steady_timer>(strand, d);
  timer->async_wait([timer, task = std::move(task)](boost::system::error_code ec) {
    if (!ec)
      task();
  });
}

HttpHandler makePeerHandler(Strand strand, PeerCall call) {
  return [strand, call](HttpExchange &exchange) -> asio::awaitable<void> {
    HttpResponse response{http::status::ok, 11};
    response.set(http::field::content_type, "application/json");
    auto request = decodeRpcRequest(exchange.request().body());
    if (request.ok) {
      auto start = [&](const std::function<void(std::string)> &done) {
        asio::post(strand, [call, method = request.method, params = request.paramsJson, done] {
          call(method, params, done);
        });
      };
      auto result = co_await waitForCallback<std::string>(start);
      constexpr int InvalidRequest = -32600;
      response.body() =
          result.empty()
              ? encodeRpcError(InvalidRequest, "unknown method or malformed parameters", request.id)
              : encodeRpcResult(result, request.id);
    } else {
      response.body() = request.errorResponse;
    }
    response.prepare_payload();
    co_await exchange.respond(std::move(response));
  };
}

} // namespace catkin
