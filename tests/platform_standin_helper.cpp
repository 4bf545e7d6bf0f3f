#include "platform_standin_p.h"

#include "fleet_standin_response_p.h"
#include "json_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

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

constexpr auto HostName = "h.example";
// The stand-ins take what the hosts forward, so that only the hosts' limits apply.
constexpr std::size_t StandinBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t StandinBufferedBytes = 512 * 1024 * 1024;

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
                                {"weights_mb", StandinModelMegabytes},
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
  json::array routes{makeRoute("r", "/s/", "streaming", config.timeout, StandinModelService),
                     makeRoute("once", "/u/", "unsafe", config.onceTimeout, StandinPlainService)};
  if (config.extraRoute)
    routes.push_back(makeRoute("extra", "/x/", "unsafe", 3s, StandinPlainService));
  json::object service{{"name", StandinModelService},
                       {"health_path", "/health"},
                       {"connection_cap", 100},
                       {"engine", engine}};
  json::object plain{
      {"name", StandinPlainService}, {"health_path", "/health"}, {"connection_cap", 100}};
  json::object out{
      {"version", version}, {"routes", routes}, {"services", json::array{service, plain}}};
  if (!config.teams.empty())
    out["tenants"] = config.teams;
  return out;
}

} // namespace

namespace {

/// Returns the path of the log of one host.
std::string logPath(const std::string &directory, int n) {
  return directory + "/host-" + std::to_string(n) + ".log";
}

} // namespace

PlatformCluster::PlatformCluster(int hosts, const std::vector<std::set<std::string>> &held,
                                 PlatformClusterOptions options)
    : ports(hosts * PortsPerHost), dataCentres(options.dataCentres),
      moreSettings(std::move(options.settings)),
      directory(makeTemporaryDirectory("catkin-platform-")) {
  auto serve = [this](HttpHandler handler) {
    servers.push_back(
        std::make_unique<HttpServer>(io.get_executor(),
                                     HttpServerOptions{.listen = {"127.0.0.1", 0},
                                                       .maxBodyBytes = StandinBodyBytes,
                                                       .maxBufferedBytes = StandinBufferedBytes},
                                     std::move(handler)));
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
                                 << "\nbounds.require_fencing=true\nbounds.budget_slack=50\n"
                                 << moreSettings;
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

pid_t PlatformCluster::hostProcess(int n) {
  const std::lock_guard lock(childrenMutex);
  return children.at(n);
}

bool PlatformCluster::isHostReady(int n) const {
  return statusOf(callOnce(readinessAddress(n), {.target = "/api/ready"})) == 200;
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
  auto result = callOnce(directoryAddress(host), {.target = "/api/resolve?name=h.example&zone=z"});
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
