#include "platform_standin_p.h"

#include "json_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"
#include "standin_p.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>

namespace catkin::platform {

namespace {

using namespace std::chrono_literals;
using standin::sleepFor;

constexpr auto Service = "llm";
constexpr auto PlainService = "app";
constexpr double ModelMegabytes = 60000;
constexpr auto HostName = "h.example";
constexpr std::uint64_t FirstIncarnation = 1'700'000'000'000;
constexpr auto EventPause = 20ms;

HttpResponse makeResponse(unsigned status, const json::value &body = json::object{}) {
  auto response = jsonResponse(json::serialize(body));
  response.result(status);
  return response;
}

std::uint64_t unixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string textOf(boost::beast::string_view s) { return {s.data(), s.size()}; }

json::object makeRoute(const char *name, const char *prefix, const char *kind, Duration timeout,
                       const char *service) {
  const bool stream = std::string_view(kind) == "streaming";
  return {{"name", name},
          {"host", HostName},
          {"path_prefix", prefix},
          {"kind", kind},
          {"timeout_ms", toMillis(timeout)},
          {"objective_ms", 1000},
          {"priority", 1},
          {"service", service},
          {"max_attempts", 2},
          {"resumable", stream},
          {"gap_aim_ms", 400}};
}

json::object makeConfig(std::uint64_t version, const StandinConfig &config) {
  json::array list;
  for (auto *it : {"m0", "m1", "m2", "m3"})
    list.push_back(json::object{{"name", it},
                                {"weights_mb", ModelMegabytes},
                                {"load_s", 0.5},
                                {"disk_s", 0.2},
                                {"warm_s", 0.1},
                                {"adapters", 0},
                                {"adapter_mb", 40.0}});
  json::object engine{{"slots", 8},
                      {"weights_mb", 130000.0},
                      {"adapter_slots", 2},
                      {"loads_per_s", 10.0},
                      {"models", list}};
  json::array routes{makeRoute("r", "/s/", "streaming", config.timeout, Service),
                     makeRoute("once", "/u/", "unsafe", config.onceTimeout, PlainService)};
  if (config.extraRoute)
    routes.push_back(makeRoute("extra", "/x/", "unsafe", 3s, PlainService));
  json::object service{
      {"name", Service}, {"health_path", "/health"}, {"connection_cap", 100}, {"engine", engine}};
  json::object plain{{"name", PlainService}, {"health_path", "/health"}, {"connection_cap", 100}};
  return {{"version", version}, {"routes", routes}, {"services", json::array{service, plain}}};
}

} // namespace

// ---- Store -------------------------------------------------------------------------------------

json::object StandinStore::describe(const std::string &kind, const std::string &name) const {
  auto &it = kinds.at(kind).at(name);
  return {{"metadata", json::object{{"name", name}, {"revision", it.revision}}},
          {"specification", it.content}};
}

void StandinStore::recordEvent(const std::string &kind, bool removed, json::object object) {
  history.push_back({revision, kind, removed, std::move(object)});
  recordCopy();
}

void StandinStore::recordCopy() {
  constexpr auto CopyRetention = 30s;
  copies.push_back({steadyNow(), kinds, revision});
  // The newest of the old ones is the state at that time.
  while (copies.size() > 1 && steadyNow() - copies[1].at > CopyRetention)
    copies.pop_front();
}

void StandinStore::recordLeaseHolder(const json::value &content) {
  json::object record;
  auto *text = content.if_string();
  if (!text || !parseObject({text->data(), text->size()}, record))
    return;
  JsonReader in(record);
  const auto holder = in.text("holder");
  if (!holder.empty())
    leaseHolders[in.unsignedInt("term")].insert(holder + "/" +
                                                std::to_string(in.unsignedInt("incarnation")));
}

void StandinStore::restore(Duration age) {
  const Instant at = steadyNow() - age;
  auto copy = std::find_if(copies.rbegin(), copies.rend(), [&](auto &it) { return it.at <= at; });
  const Copy restored = copy == copies.rend() ? copies.front() : *copy;
  ++era;
  lostKinds = std::exchange(kinds, restored.kinds);
  revision = restored.revision;
  restoredRevision = revision;
  std::erase_if(history, [&](auto &it) { return it.revision > revision; });
  recordCopy();
}

void StandinStore::writeAgain() {
  for (auto *kind : {"config", "servers"}) {
    auto &lost = lostKinds[kind];
    const auto present = kinds[kind];
    for (auto &[name, object] : lost) {
      auto it = present.find(name);
      const bool writtenSince = it != present.end() && it->second.revision > restoredRevision;
      const bool same = it != present.end() && it->second.content == object.content;
      if (!writtenSince && !same)
        put(kind, name, object.content);
    }
    for (auto &[name, object] : present)
      if (lost.count(name) == 0 && object.revision <= restoredRevision)
        remove(kind, name);
  }
}

void StandinStore::put(const std::string &kind, const std::string &name,
                       const json::value &content) {
  kinds[kind][name] = {++revision, content};
  recordEvent(kind, false, describe(kind, name));
}

void StandinStore::putRaw(const std::string &kind, const std::string &name,
                          const std::string &content) {
  const std::string placeholder = "@raw-" + std::to_string(rawContents.size()) + "@";
  rawContents["\"" + placeholder + "\""] = content;
  put(kind, name, json::value(placeholder));
}

void StandinStore::insertRawContents(HttpResponse &response) const {
  for (auto &[placeholder, content] : rawContents)
    for (auto at = response.body().find(placeholder); at != std::string::npos;
         at = response.body().find(placeholder, at + content.size()))
      response.body().replace(at, placeholder.size(), content);
}

void StandinStore::remove(const std::string &kind, const std::string &name) {
  if (kinds[kind].count(name) == 0)
    return;
  auto object = describe(kind, name);
  kinds[kind].erase(name);
  ++revision;
  recordEvent(kind, true, std::move(object));
}

std::string StandinStore::text(const std::string &kind, const std::string &name) const {
  auto it = kinds.find(kind);
  if (it == kinds.end() || it->second.count(name) == 0)
    return {};
  auto *s = it->second.at(name).content.if_string();
  return s ? std::string(s->data(), s->size()) : std::string();
}

int StandinStore::count(const std::string &kind) const {
  auto it = kinds.find(kind);
  return it == kinds.end() ? 0 : static_cast<int>(it->second.size());
}

void StandinStore::dropHistory() {
  history.clear();
  historyFrom = revision;
}

HttpResponse StandinStore::list(const std::string &kind) const {
  json::array items;
  if (auto it = kinds.find(kind); it != kinds.end())
    for (auto &[name, object] : it->second)
      items.push_back(describe(kind, name));
  return makeResponse(200,
                      json::object{{"items", items}, {"truncated", false}, {"as_of", revision}});
}

asio::awaitable<HttpResponse> StandinStore::watch(const std::string &kind, std::uint64_t from,
                                                  Duration wait) {
  // `as_of` must not be later than the events already examined: an event that arrives during the
  // last pause would be skipped by the next watch.
  std::uint64_t seen = from;
  const std::uint64_t eraBefore = era;
  for (Duration waited{}; waited <= wait; waited += 10ms) {
    if (from < historyFrom || from > revision || era != eraBefore)
      co_return makeResponse(410);
    json::array events;
    for (auto &it : history)
      if (it.revision > from && it.kind == kind)
        events.push_back(json::object{{"removed", it.removed}, {"object", it.object}});
    seen = revision;
    if (!events.empty())
      co_return makeResponse(200, json::object{{"events", events}, {"as_of", seen}});
    co_await sleepFor(10ms);
  }
  co_return makeResponse(200, json::object{{"events", json::array{}}, {"as_of", seen}});
}

HttpResponse StandinStore::write(const HttpRequest &request, const std::string &kind,
                                 std::string name) {
  json::object body;
  parseObject(request.body(), body);
  auto &meta = body["metadata"].as_object();
  bool create = request.method() == http::verb::post;
  if (create)
    name = textOf(meta["name"].as_string());
  auto &objects = kinds[kind];
  bool exists = objects.count(name) > 0;
  if (!create && !exists)
    return makeResponse(404);
  auto expected = meta.contains("revision") ? meta["revision"].to_number<std::uint64_t>() : 0;
  if ((create && exists) || (expected > 0 && objects[name].revision != expected))
    return makeResponse(409, describe(kind, name));
  put(kind, name, body["specification"]);
  if (kind == "planner")
    recordLeaseHolder(body["specification"]);
  return makeResponse(200, describe(kind, name));
}

HttpResponse StandinStore::erase(const std::string &kind, const std::string &name) {
  if (kinds[kind].count(name) == 0)
    return makeResponse(404);
  remove(kind, name);
  return makeResponse(200);
}

asio::awaitable<void> StandinStore::handle(HttpExchange &exchange) {
  const HttpRequest request = exchange.request();
  auto target = standin::parseTarget(textOf(request.target()));
  const auto path = target.path.substr(std::string("/api/objects/").size());
  const std::string kind = path.substr(0, path.find('/'));
  const std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
  HttpResponse response = makeResponse(503);
  bool writing = request.method() != http::verb::get;
  if (!down) {
    if (request.method() == http::verb::delete_)
      response = erase(kind, name);
    else if (writing)
      response = write(request, kind, name);
    else if (target.query.count("watch") > 0)
      response =
          co_await watch(kind, standin::numberOr(target.query["watch"], 0),
                         std::chrono::milliseconds(standin::numberOr(target.query["wait_ms"], 0)));
    else if (name.empty())
      response = list(kind);
    else if (kinds[kind].count(name) > 0)
      response = makeResponse(200, describe(kind, name));
    else
      response = makeResponse(404);
  }
  if (writing && answersToLose > 0) {
    --answersToLose;
    exchange.abort();
    co_return;
  }
  insertRawContents(response);
  response.set("Store-Era", std::to_string(era));
  co_await exchange.respond(std::move(response));
}

// ---- Engine ------------------------------------------------------------------------------------

StandinEngine::StandinEngine(std::string id, std::set<std::string> models)
    : id(std::move(id)), models(models), incarnation(FirstIncarnation),
      firstModels(std::move(models)) {}

bool StandinEngine::isDown() const {
  return !crashes.times.empty() && steadyNow() < crashes.times.back() + crashes.downTime;
}

bool StandinEngine::isDeadly(const HttpRequest &request) const {
  if (crashes.deadlyRequests.count({textOf(request.target()), request.body()}) > 0)
    return true;
  const std::string parts = textOf(request["Prompt-Prefix"]);
  const std::string shared = "," + parts.substr(0, parts.rfind(',') + 1); // all but the last
  return std::any_of(crashes.deadlyParts.begin(), crashes.deadlyParts.end(),
                     [&](auto &it) { return shared.find("," + it + ":") != std::string::npos; });
}

void StandinEngine::crash() {
  if (isDown())
    return;
  crashes.times.push_back(steadyNow());
  crashes.onCrashed();
}

void StandinEngine::startAgain(std::set<std::string> heldModels) {
  models = std::move(heldModels);
  acceptedOrders = 0;
  highestTerm = 0;
  holdersByTerm.clear();
  incarnation = std::max(incarnation + 1, unixMillis());
}

void StandinEngine::startAgainWithFirstModels() {
  if (!nextVersions.empty()) {
    version = nextVersions.front();
    nextVersions.pop_front();
  }
  startAgain(firstModels);
}

json::object StandinEngine::registryEntry(const std::string &state) const {
  json::array held;
  for (auto &it : models)
    held.push_back(json::object{{"name", it}, {"version", 1}, {"adapters", json::array{}}});
  return {{"service", Service},  {"address", address.toString()},
          {"zone", "z"},         {"version", version},
          {"slots", 8},          {"state", state},
          {"models", held},      {"sequence", acceptedOrders},
          {"born", incarnation}, {"busy", false}};
}

HttpResponse StandinEngine::applyOrder(const HttpRequest &request) {
  json::object body;
  parseObject(request.body(), body);
  auto term = body["fencing_token"].to_number<std::uint64_t>();
  if (term < highestTerm)
    return makeResponse(412);
  highestTerm = term;
  if (body["expect"].to_number<std::uint64_t>() != acceptedOrders)
    return makeResponse(409);
  auto model = textOf(body["model"].as_string());
  bool load = body["operation"].as_string() == "loading";
  if ((models.count(model) > 0) == load)
    return makeResponse(200);
  ++acceptedOrders;
  orderHolders.insert(textOf(body["holder"].as_string()));
  holdersByTerm[term].insert(textOf(body["holder"].as_string()));
  if (load)
    models.insert(model);
  else
    models.erase(model);
  peakMegabytes = std::max(peakMegabytes, static_cast<double>(models.size()) * ModelMegabytes);
  return makeResponse(202);
}

std::string streamEvent(int n, const std::string &version) {
  return "id: " + std::to_string(n) + "\ndata: e" + std::to_string(n) + " " + version + "\n\n";
}

std::string wholeStream(const std::string &version) {
  std::string out;
  for (int i = 1; i <= StreamEventCount; ++i)
    out += streamEvent(i, version);
  return out;
}

asio::awaitable<void> StandinEngine::sendStream(HttpExchange &exchange) {
  const HttpRequest request = exchange.request();
  ++runs;
  int first = std::atoi(textOf(request["Last-Event-Id"]).c_str()) + 1;
  int cut = std::exchange(cutAfter, 0);
  HttpResponse head{http::status::ok, 11};
  head.set("Request-Id", textOf(request["Request-Id"]));
  head.set("Server-Stamp", id);
  setAnnouncements(head);
  const std::string began = version;
  const std::size_t crashesBefore = crashes.times.size();
  const auto hasCrashed = [&] { return crashes.times.size() > crashesBefore; };
  co_await exchange.startStream(std::move(head));
  co_await sleepFor(eventPause);
  if (!hasCrashed() && isDeadly(request))
    crash();
  for (int i = first; i <= StreamEventCount; ++i) {
    if (hasCrashed() || (cut > 0 && i > cut)) {
      exchange.abort();
      co_return;
    }
    // The run ends when the caller has disconnected.
    if (!co_await exchange.writeChunk(streamEvent(i, began)))
      co_return;
    co_await sleepFor(eventPause);
  }
  co_await exchange.endStream();
}

asio::awaitable<void> StandinEngine::handle(HttpExchange &exchange) {
  const HttpRequest request = exchange.request();
  const std::string target = textOf(request.target());
  if (isDown())
    co_return exchange.abort();
  if (isDeadly(request))
    crashes.deadlyCalls.push_back({steadyNow(), hostOfRequest(request)});
  HttpResponse response = makeResponse(421);
  response.set("Instance", id);
  if (request["Expect-Instance"] == id) {
    limit.onCall(request);
    if (target == "/api/report")
      response = makeResponse(200, registryEntry("ready"));
    else if (target == "/api/order")
      response = applyOrder(request);
    else if (models.count(textOf(request["Model"])) > 0)
      co_return co_await handleModelRequest(exchange);
  }
  setAnnouncements(response);
  co_await exchange.respond(std::move(response));
}

void StandinEngine::setAnnouncements(HttpResponse &response) const {
  if (leaving)
    response.set("Server-Leaving", "1");
  limit.announce(response);
}

void StandinLimit::announce(HttpResponse &response) const {
  if (perSecond)
    response.set("Server-Limit", std::to_string(*perSecond));
}

void StandinLimit::onCall(const HttpRequest &request) {
  calls.push_back({steadyNow(), hostOfRequest(request)});
}

int hostOfRequest(const HttpRequest &request) {
  const auto id = textOf(request["Request-Id"]);
  return id.empty() ? -1 : std::atoi(id.c_str() + 1);
}

asio::awaitable<void> StandinEngine::handleModelRequest(HttpExchange &exchange) {
  if (backoffSeconds <= 0)
    co_return co_await sendStream(exchange);
  ++refusedRequests;
  HttpResponse response = makeResponse(503);
  response.set("Not-Run", "1");
  response.set("Retry-After", std::to_string(backoffSeconds));
  response.set("Request-Id", exchange.request()["Request-Id"]);
  setAnnouncements(response);
  co_await exchange.respond(std::move(response));
}

// ---- Plain endpoint ----------------------------------------------------------------------------

json::object StandinPlainEndpoint::registryEntry() const {
  return {{"service", PlainService},
          {"address", address.toString()},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"sequence", 0},
          {"born", FirstIncarnation}};
}

asio::awaitable<void> StandinPlainEndpoint::handle(HttpExchange &exchange) {
  const HttpRequest request = exchange.request();
  const std::string requestId = textOf(request["Request-Id"]);
  HttpResponse response = makeResponse(421);
  response.set("Instance", id);
  if (request["Expect-Instance"] == id) {
    limit.onCall(request);
    ++runsById[requestId];
    co_await sleepFor(workTime);
    response = makeResponse(200);
    response.body() = "done " + requestId;
    response.set("Server-Stamp", id);
  }
  response.set("Request-Id", requestId);
  limit.announce(response);
  co_await exchange.respond(std::move(response));
}

// ---- Cluster -----------------------------------------------------------------------------------

namespace {

/// Returns the path of the log of one host.
std::string logPath(const std::string &directory, int n) {
  return directory + "/host-" + std::to_string(n) + ".log";
}

} // namespace

PlatformCluster::PlatformCluster(int hosts, const std::vector<std::set<std::string>> &held,
                                 PlatformClusterOptions options)
    : ports(hosts * PortsPerHost), dataCentres(options.dataCentres),
      directory(makeTemporaryDirectory("catkin-platform-")) {
  auto serve = [this](HttpHandler handler) {
    servers.push_back(std::make_unique<HttpServer>(
        io.get_executor(), HttpServerOptions{.listen = {"127.0.0.1", 0}}, std::move(handler)));
    servers.back()->start();
    return servers.back()->address();
  };
  serve([this](HttpExchange &it) { return store.handle(it); });
  auto addProxyIfEnabled = [&](const Address &target,
                               std::vector<std::shared_ptr<FaultProxy>> &proxies) {
    if (!options.proxied)
      return target;
    proxies.push_back(addProxy(target));
    return proxies.back()->address();
  };
  for (std::size_t i = 0; i < held.size(); ++i) {
    engines.push_back(std::make_unique<StandinEngine>("i-" + std::to_string(i), held[i]));
    auto *engine = engines.back().get();
    engine->crashes.onCrashed = [this, engine] { restartAfterCrash(*engine); };
    engine->address = addProxyIfEnabled(
        serve([engine](HttpExchange &it) { return engine->handle(it); }), engineProxies);
    store.put("servers", engine->id, engine->registryEntry("ready"));
  }
  for (int i = 0; i < options.plainEndpoints; ++i) {
    plainEndpoints.push_back(std::make_unique<StandinPlainEndpoint>("p-" + std::to_string(i)));
    auto *plain = plainEndpoints.back().get();
    plain->address = addProxyIfEnabled(
        serve([plain](HttpExchange &it) { return plain->handle(it); }), plainProxies);
    store.put("servers", plain->id, plain->registryEntry());
  }
  for (int i = 0; i < hosts; ++i)
    addProxyIfEnabled(servers.front()->address(), storeProxies);
  store.put("config", "main", makeConfig(++configVersion, {}));
  thread = std::thread([this] {
    auto work = asio::make_work_guard(io);
    io.run();
  });
  for (int i = 0; i < hosts; ++i)
    startHost(i);
}

std::shared_ptr<FaultProxy> PlatformCluster::addProxy(const Address &target) {
  auto proxy = std::make_shared<FaultProxy>(io, target);
  proxy->start();
  return proxy;
}

PlatformCluster::~PlatformCluster() {
  for (auto &[n, pid] : children) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  io.stop();
  thread.join();
}

void PlatformCluster::run(const std::function<void()> &step) {
  std::promise<void> done;
  asio::post(io, [&] {
    step();
    done.set_value();
  });
  done.get_future().wait();
}

std::string PlatformCluster::dataCentreOf(int host) const {
  const int n = host % dataCentres;
  return n == 0 ? "z" : "z" + std::to_string(n);
}

std::string PlatformCluster::settingsPath(int n) const {
  return directory + "/host-" + std::to_string(n) + ".conf";
}

void PlatformCluster::startHost(int n) {
  auto at = [&](int i) { return "127.0.0.1:" + std::to_string(port(n * PortsPerHost + i)); };
  const auto proxied = static_cast<std::size_t>(n) < storeProxies.size();
  const Address storeAddress =
      proxied ? storeProxies[static_cast<std::size_t>(n)]->address() : servers.front()->address();
  std::ofstream(settingsPath(n)) << "node_name=host-" << n
                                 << "\nip_address=127.0.0.1\nzone=" << dataCentreOf(n) << "\n"
                                 << "listen_addresses.front=" << at(0)
                                 << "\nlisten_addresses.ready=" << at(1)
                                 << "\nlisten_addresses.directory=" << at(2)
                                 << "\ninternal_ports=" << port(n * PortsPerHost + 3) << ",65000"
                                 << "\nplatform.address=" << storeAddress.toString()
                                 << "\nbounds.require_fencing=true\nbounds.budget_slack=50\n";
  auto settings = settingsPath(n);
  auto log = logPath(directory, n);
  auto metrics = std::to_string(port(n * PortsPerHost + 4));
  const std::string program = programPath("catkin-platformd");
  pid_t pid = ::fork();
  if (pid == 0) {
    // The hosts must not outlive a test that crashes.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (!std::freopen(log.c_str(), "a", stdout) || !std::freopen(log.c_str(), "a", stderr))
      ::_exit(1);
    ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), "--metrics-port",
            metrics.c_str(), nullptr);
    ::_exit(1);
  }
  const std::lock_guard lock(childrenMutex);
  children[n] = pid;
}

void PlatformCluster::signalHost(int n, int signal) {
  const std::lock_guard lock(childrenMutex);
  ::kill(children.at(n), signal);
  if (signal != SIGKILL)
    return;
  ::waitpid(children.at(n), nullptr, 0);
  children.erase(n);
}

bool PlatformCluster::isHostReady(int n) const {
  Address ready{"127.0.0.1", port(n * PortsPerHost + 1)};
  return statusOf(callOnce(ready, {.target = "/api/ready"})) == 200;
}

bool PlatformCluster::waitUntilReady() {
  std::string ended;
  const bool isDone = pollUntil([&] {
    ended = describeEndedHost();
    return !ended.empty() || areAllHostsReady();
  });
  if (!ended.empty())
    ADD_FAILURE() << ended;
  return isDone && ended.empty();
}

std::string PlatformCluster::describeEndedHost() {
  const std::lock_guard lock(childrenMutex);
  for (auto it = children.begin(); it != children.end(); ++it) {
    auto text =
        describeEnd(it->second, "host-" + std::to_string(it->first), logPath(directory, it->first));
    if (text.empty())
      continue;
    children.erase(it);
    return text;
  }
  return {};
}

bool PlatformCluster::areAllHostsReady() const {
  for (auto &[n, pid] : children)
    if (!isHostReady(n))
      return false;
  return true;
}

HttpResult PlatformCluster::post(int host, const char *target, const std::string &id,
                                 const char *deadlineMs, const std::string &model,
                                 const std::string &promptParts) const {
  Call call{.method = "POST", .target = target};
  call.headers = {{"Host", HostName}, {"Request-Id", id}, {"Deadline-Ms", deadlineMs}};
  if (!model.empty())
    call.headers.emplace_back("Model", model);
  if (!promptParts.empty())
    call.headers.emplace_back("Prompt-Prefix", promptParts);
  return callOnce(hostAddress(host), call);
}

std::string PlatformCluster::newRequestId(int host) const {
  return "h" + std::to_string(host) + "-" + std::to_string(++lastRequestId);
}

HttpResult PlatformCluster::requestStream(int host, const std::string &model,
                                          const std::string &promptParts) const {
  return post(host, "/s/x", newRequestId(host), "9000", model, promptParts);
}

HttpResult PlatformCluster::requestStreamAt(int host, const std::string &model,
                                            const std::string &target,
                                            const std::string &body) const {
  Call call{.method = "POST", .target = target, .body = body};
  call.headers = {{"Host", HostName},
                  {"Request-Id", newRequestId(host)},
                  {"Deadline-Ms", "9000"},
                  {"Model", model}};
  return callOnce(hostAddress(host), call);
}

HttpResult PlatformCluster::requestOnce(int host, std::string &id) const {
  id = newRequestId(host);
  return post(host, "/u/x", id, "2500", {});
}

unsigned PlatformCluster::statusOfExtraRoute(int host) const {
  return statusOf(post(host, "/x/x", newRequestId(host), "2500", {}));
}

void PlatformCluster::changeConfig(const StandinConfig &config) {
  run([&] { store.put("config", "main", makeConfig(++configVersion, config)); });
}

void PlatformCluster::restartEngine(int n) {
  run([&] {
    auto &it = *engines[static_cast<std::size_t>(n)];
    it.startAgain({});
    store.put("servers", it.id, it.registryEntry("ready"));
  });
}

void PlatformCluster::restoreStore(Duration age, Duration downTime) {
  constexpr auto WriteAgainTime = 800ms;
  run([&] { store.down = true; });
  std::this_thread::sleep_for(downTime);
  run([&] {
    store.restore(age + downTime);
    store.down = false;
  });
  std::this_thread::sleep_for(WriteAgainTime);
  run([&] { store.writeAgain(); });
}

void PlatformCluster::clearFaults() {
  run([&] {
    store.down = false;
    store.answersToLose = 0;
    for (auto *list : {&storeProxies, &engineProxies, &plainProxies})
      for (auto &it : *list)
        it->setFaults({});
  });
}

void PlatformCluster::restartAfterCrash(StandinEngine &engine) {
  auto timer = std::make_shared<asio::steady_timer>(io, engine.crashes.downTime);
  timer->async_wait([this, timer, &engine](boost::system::error_code) {
    engine.startAgainWithFirstModels();
    store.put("servers", engine.id, engine.registryEntry("ready"));
  });
}

std::pair<std::string, std::uint64_t> PlatformCluster::lease() {
  std::string text;
  run([&] { text = store.text("planner", "lease"); });
  json::object record;
  if (!parseObject(text, record))
    return {};
  JsonReader in(record);
  return {in.text("holder"), in.unsignedInt("term")};
}

std::vector<std::string> PlatformCluster::directoryAddresses(int host) const {
  Address directoryAddress{"127.0.0.1", port(host * PortsPerHost + 2)};
  auto result = callOnce(directoryAddress, {.target = "/api/resolve?name=h.example&zone=z"});
  json::object body;
  std::vector<std::string> out;
  if (!parseObject(result.response.body(), body) || !body.contains("addresses"))
    return out;
  for (auto &it : body["addresses"].as_array())
    out.emplace_back(textOf(it.as_string()));
  return out;
}

void PlatformCluster::setEngineState(int engine, const std::string &state) {
  run([&] {
    auto &it = *engines[static_cast<std::size_t>(engine)];
    store.put("servers", it.id, it.registryEntry(state));
  });
}

} // namespace catkin::platform
