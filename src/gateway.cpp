#include "gateway_p.h"

#include "async_p.h"
#include "gateway_core_p.h"
#include "json_p.h"
#include "real_env_p.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace catkin {

namespace {

// A host reports itself as overloaded above this share of the connection limit or this number of
// queued requests.
constexpr double OverloadedConnections = 0.9;
constexpr std::size_t OverloadedWaiting = 2048;
constexpr std::string_view BearerPrefix = "Bearer ";

using Reply = asio::awaitable<void>;

/// Answers a request that was not run, before its caller is known or on a public route.
asio::awaitable<void> sendProblem(HttpExchange &exchange, unsigned status, std::string_view detail,
                                  Duration retryAfter = Duration::zero()) {
  auto response = problemResponse(status, RunOutcome::NotRun, detail, retryAfter);
  if (status == 401)
    response.set(http::field::www_authenticate, "Bearer");
  co_await exchange.respond(std::move(response));
}

/// Time until the deadline of a request, from its header; the default if the header is empty.
/// Returns nothing if it is not a number of milliseconds from 1 to the limit.
std::optional<Duration> parseDeadline(std::string_view text, const GatewayOptions &options) {
  if (text.empty())
    return options.defaultDeadline;
  std::int64_t millis = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), millis);
  if (ec != std::errc() || end != text.data() + text.size() || millis < 1 ||
      millis > toMillis(options.maxDeadline))
    return std::nullopt;
  return Duration(std::chrono::milliseconds(millis));
}

/// Counts a request as active during its lifetime.
class ActiveRequestScope {
public:
  explicit ActiveRequestScope(GatewayCore &core) : core(core) { ++core.activeRequests; }
  ~ActiveRequestScope() { --core.activeRequests; }
  ActiveRequestScope(const ActiveRequestScope &) = delete;
  ActiveRequestScope &operator=(const ActiveRequestScope &) = delete;

private:
  GatewayCore &core;
};

/// Calls `query` with the dependencies on the strand and returns its result.
template <class Result, class Query>
asio::awaitable<Result> queryControl(const GatewayCorePtr &core, Query query) {
  auto start = [&](std::function<void(Result)> done) {
    asio::post(core->strand, [core, query, done] { done(query(core->dependencies)); });
  };
  co_return co_await waitForCallback<Result>(start);
}

Reply handleHealthz(GatewayCorePtr, HttpExchange &exchange) {
  co_await exchange.respond(jsonResponse(R"({"status":"ok"})"));
}

Reply handleReadyz(GatewayCorePtr core, HttpExchange &exchange) {
  bool ready =
      co_await queryControl<bool>(core, [](auto &dependencies) { return dependencies.ready(); });
  if (core->stopping)
    co_return co_await sendProblem(exchange, 503, "the host is stopping");
  if (!ready || !core->lists())
    co_return co_await sendProblem(
        exchange, 503, "the configuration lists or the routing table are not available yet",
        std::chrono::seconds(1));
  co_await exchange.respond(jsonResponse(R"({"status":"ready"})"));
}

Reply handleMetrics(GatewayCorePtr core, HttpExchange &exchange) {
  auto gauges = co_await queryControl<MetricsGauges>(core, [](auto &dependencies) {
    return MetricsGauges{.ready = dependencies.ready() ? 1.0 : 0.0,
                         .planner = dependencies.isPlanner() ? 1.0 : 0.0};
  });
  auto lists = core->lists();
  gauges.waiting = static_cast<double>(core->dispatcher.waiting());
  gauges.inFlight = core->dispatcher.inFlight();
  gauges.connections = core->connectionCount ? static_cast<double>(core->connectionCount()) : 0;
  gauges.configRevision = lists ? static_cast<double>(lists->revision) : 0;
  HttpResponse response{http::status::ok, 11};
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  response.body() = core->metrics.text(gauges);
  if (core->limitMetrics)
    response.body() += core->limitMetrics();
  co_await exchange.respond(std::move(response));
}

Reply handleAddresses(GatewayCorePtr core, HttpExchange &exchange) {
  auto seed = std::hash<std::string>{}(core->newId());
  auto found = co_await queryControl<std::vector<Address>>(
      core, [seed](auto &dependencies) { return dependencies.addresses(seed); });
  if (core->stopping)
    std::erase(found, core->options.advertise);
  json::array list;
  for (auto &it : found)
    list.emplace_back(it.toString());
  json::object body;
  body["addresses"] = std::move(list);
  body["max_age_s"] =
      std::chrono::duration_cast<std::chrono::seconds>(config::AddressesMaxAge).count();
  co_await exchange.respond(jsonResponse(json::serialize(body)));
}

Reply handleModels(CallerRequest &request) {
  json::array data;
  for (auto &[name, model] : request.lists->models) {
    if (!request.lists->mayUse(request.plan.name, name))
      continue;
    json::object row{{"id", name.value}, {"object", "model"}};
    row["ready"] = request.core->dispatcher.hasUsableReplica(name);
    if (model.isAdapter())
      row["base"] = model.base.value;
    data.push_back(std::move(row));
  }
  json::object body{{"object", "list"}};
  body["data"] = std::move(data);
  co_await request.exchange.respond(jsonResponse(json::serialize(body)));
}

Reply handleTextCompletions(CallerRequest &request) { return handleCompletion(request, false); }
Reply handleChatCompletions(CallerRequest &request) { return handleCompletion(request, true); }

/// A route that needs no key.
struct PublicRoute {
  std::string_view path;
  Reply (*handle)(GatewayCorePtr, HttpExchange &);
};
constexpr std::array<PublicRoute, 4> PublicRoutes{{{"/healthz", handleHealthz},
                                                   {"/readyz", handleReadyz},
                                                   {"/metrics", handleMetrics},
                                                   {"/v1/addresses", handleAddresses}}};

/// A route that needs the key of a plan.
struct AuthenticatedRoute {
  std::string_view path;
  http::verb method; ///< unknown: any
  bool isPrefix;     ///< `path` matches all paths that begin with it
  Reply (*handle)(CallerRequest &);
};
constexpr std::array<AuthenticatedRoute, 4> AuthenticatedRoutes{
    {{"/v1/completions", http::verb::post, false, handleTextCompletions},
     {"/v1/chat/completions", http::verb::post, false, handleChatCompletions},
     {"/v1/models", http::verb::get, false, handleModels},
     {"/v1/services/", http::verb::unknown, true, handleService}}};

/// Authenticates the caller, parses the deadline and calls the route's handler.
Reply handleAuthenticated(const GatewayCorePtr &core, HttpExchange &exchange,
                          const AuthenticatedRoute &route) {
  auto arrived = steadyNow();
  auto &message = exchange.request();
  auto lists = core->lists();
  if (core->stopping)
    co_return co_await sendProblem(exchange, 503, "the host is stopping", std::chrono::seconds(1));
  if (!lists)
    co_return co_await sendProblem(exchange, 503, "the configuration lists are not available yet",
                                   std::chrono::seconds(1));
  auto authorization = headerOf(message, "Authorization");
  auto *plan = authorization.starts_with(BearerPrefix)
                   ? lists->planOfKey(authorization.substr(BearerPrefix.size()))
                   : nullptr;
  if (!plan)
    co_return co_await sendProblem(exchange, 401, "missing or unknown API key");
  auto deadline = parseDeadline(headerOf(message, "X-Deadline-Ms"), core->options);
  if (!deadline)
    co_return co_await sendProblem(exchange, 400,
                                   "X-Deadline-Ms must be from 1 to " +
                                       std::to_string(toMillis(core->options.maxDeadline)));
  CallerWatch watch(exchange);
  CallerRequest request{.core = core,
                        .exchange = exchange,
                        .watch = watch,
                        .id = core->newId(),
                        .lists = lists,
                        .plan = *plan,
                        .arrived = arrived,
                        .deadline = arrived + *deadline};
  watch.start(co_await asio::this_coro::executor);
  co_await route.handle(request);
}

/// Finds the route of a request and handles it.
Reply handleRequest(GatewayCorePtr core, HttpExchange &exchange) {
  ActiveRequestScope count(*core);
  auto path = pathOf(exchange.request());
  auto method = exchange.request().method();
  for (auto &it : PublicRoutes) {
    if (it.path != path)
      continue;
    if (method != http::verb::get && method != http::verb::head)
      co_return co_await sendProblem(exchange, 405, "only GET is allowed here");
    co_return co_await it.handle(core, exchange);
  }
  for (auto &it : AuthenticatedRoutes) {
    if (it.isPrefix ? !path.starts_with(it.path) : path != it.path)
      continue;
    if (it.method != http::verb::unknown && it.method != method)
      co_return co_await sendProblem(exchange, 405, "this method is not allowed here");
    co_return co_await handleAuthenticated(core, exchange, it);
  }
  co_await sendProblem(exchange, 404, "no such resource");
}

} // namespace

struct Gateway::Impl {
  GatewayCorePtr core;
};

Gateway::Gateway(asio::any_io_executor strand, asio::any_io_executor pool, GatewayOptions options,
                 DecisionLog &decisions)
    : impl(std::make_shared<Impl>()) {
  impl->core = std::make_shared<GatewayCore>(std::move(strand), std::move(pool), std::move(options),
                                             decisions);
}

Gateway::~Gateway() = default;

ControlHooks Gateway::hooks() {
  auto core = impl->core;
  ControlHooks hooks;
  hooks.listsApplied = [core](ListsPtr lists) { core->setLists(std::move(lists)); };
  hooks.tableChanged = [core](auto &entries) { core->dispatcher.setTable(entries); };
  hooks.sharesChanged = [core](auto &shares) { core->dispatcher.setShares(shares); };
  hooks.nodesListed = [core](auto &nodes) { core->dispatcher.setNodes(nodes); };
  hooks.fillReport = [core](SyncRequest &report) {
    core->dispatcher.fillReport(report);
    auto limit = OverloadedConnections * static_cast<double>(core->options.maxConnections);
    auto connections = core->connectionCount ? core->connectionCount() : 0;
    report.self.overloaded =
        static_cast<double>(connections) > limit || core->dispatcher.waiting() > OverloadedWaiting;
  };
  return hooks;
}

void Gateway::setDependencies(GatewayDependencies dependencies) {
  impl->core->dependencies = std::move(dependencies);
}

HttpHandler Gateway::handler() {
  return [core = impl->core](HttpExchange &exchange) { return handleRequest(core, exchange); };
}

void Gateway::setLimitMetrics(std::function<std::string()> text) {
  impl->core->limitMetrics = std::move(text);
}

void Gateway::setConnectionCount(std::function<std::size_t()> count) {
  impl->core->connectionCount = std::move(count);
}

void Gateway::beginStop() { impl->core->stopping = true; }

std::size_t Gateway::activeRequests() const { return impl->core->activeRequests; }

} // namespace catkin
