#include "rig-2.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <future>
#include <random>
#include <stdexcept>

namespace review {

namespace asio = boost::asio;
using namespace catkin;
using namespace catkin::platform;

namespace {

const Clock::time_point StartedAt = Clock::now();

/// The settings of a small deployment, as the platform gives them.
const char *const CommonSettings = R"(role=host
machine_class=front
serves=front,directory
region=kozep-magyar
limits.cpu_share=0.25
limits.cpu_cores=1
limits.memory_mb=260
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=directory
heartbeat_ms=1200
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.lost_ms=200
bounds.config_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=56
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_s=0
bounds.require_fencing=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_over=1.1
bounds.ttl_max_s=5
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
)";

/// Returns a connected socket; -1 if none could be opened.
int connectTo(const std::string &ip, int port, Clock::time_point end) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
  const int flags = ::fcntl(fd, F_GETFL);
  ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  int result = ::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to);
  if (result != 0 && errno == EINPROGRESS) {
    pollfd it{.fd = fd, .events = POLLOUT, .revents = 0};
    const auto left = std::chrono::duration_cast<Millis>(end - Clock::now()).count();
    int error = ETIMEDOUT;
    socklen_t size = sizeof error;
    if (::poll(&it, 1, static_cast<int>(std::clamp<long>(left, 0, 1000))) > 0)
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    result = error == 0 ? 0 : -1;
  }
  if (result == 0) {
    ::fcntl(fd, F_SETFL, flags);
    return fd;
  }
  ::close(fd);
  return -1;
}

/// Decodes the chunks that have arrived. Returns true once the last one has.
bool decodeChunks(const std::string &raw, std::string &out) {
  out.clear();
  std::size_t at = 0;
  for (;;) {
    const auto end = raw.find("\r\n", at);
    if (end == std::string::npos)
      return false;
    const std::size_t n = std::strtoul(raw.c_str() + at, nullptr, 16);
    if (n == 0)
      return true;
    const std::size_t begin = end + 2;
    out += raw.substr(begin, n);
    if (raw.size() < begin + n + 2)
      return false;
    at = begin + n + 2;
  }
}

bool sendAll(int fd, const std::string &text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const auto n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

/// Applies what has arrived to the answer. Returns true once it is complete.
bool parseAnswer(const std::string &raw, Answer &out) {
  const auto end = raw.find("\r\n\r\n");
  if (end == std::string::npos)
    return false;
  out.head = raw.substr(0, end + 2);
  out.status = std::atoi(out.head.c_str() + std::string("HTTP/1.1 ").size());
  const std::string rest = raw.substr(end + 4);
  if (out.header("Transfer-Encoding") == "chunked")
    return decodeChunks(rest, out.body);
  out.body = rest;
  const auto length = out.header("Content-Length");
  return !length.empty() && rest.size() >= std::strtoul(length.c_str(), nullptr, 10);
}

} // namespace

double elapsed() { return std::chrono::duration<double>(Clock::now() - StartedAt).count(); }

bool hasTrouble() {
  const char *text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

Record::Record(const std::string &file) : path(file) { std::ofstream(path, std::ios::trunc); }

void Record::line(const std::string &text) {
  const std::lock_guard lock(mutex);
  std::ofstream out(path, std::ios::app);
  char at[32];
  std::snprintf(at, sizeof at, "%8.3f ", elapsed());
  out << at << text << '\n';
}

std::string Answer::header(const std::string &name) const {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos)
    return {};
  const auto begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

Answer send(const std::string &ip, int port, const Request &request) {
  Answer out;
  const auto end = Clock::now() + request.limit;
  const int fd = connectTo(ip, port, end);
  if (fd < 0)
    return out;
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (auto &[name, value] : request.headers)
    text += name + ": " + value + "\r\n";
  if (!request.body.empty() || request.method == "POST")
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  text += "\r\n" + request.body;
  std::string raw;
  bool open = sendAll(fd, text);
  while (open && !out.complete && Clock::now() < end) {
    pollfd it{.fd = fd, .events = POLLIN, .revents = 0};
    const auto left = std::chrono::duration_cast<Millis>(end - Clock::now()).count() + 1;
    if (::poll(&it, 1, static_cast<int>(left)) <= 0)
      continue;
    char buf[16 * 1024];
    const auto n = ::recv(fd, buf, sizeof buf, 0);
    if (n <= 0)
      break;
    raw.append(buf, static_cast<std::size_t>(n));
    out.complete = parseAnswer(raw, out);
    open = !request.onBody || request.onBody(out.body);
  }
  ::close(fd);
  return out;
}

int countEvents(const std::string &body) {
  int n = 0;
  for (auto at = body.find("\n\n"); at != std::string::npos; at = body.find("\n\n", at + 2))
    ++n;
  return n;
}

Rig::Rig(int hosts, const std::string &moreSettings) : hosts(hosts), moreSettings(moreSettings) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string path = "/tmp/catkin-review-XXXXXX";
  if (!::mkdtemp(path.data()))
    throw std::runtime_error("no temporary folder");
  directory = path;
  std::random_device random;
  const std::string net =
      "127." + std::to_string(16 + random() % 200) + "." + std::to_string(random() % 250) + ".";
  for (int i = 0; i < hosts; ++i)
    ips.push_back(net + std::to_string(10 + i));
  storeAddress = serve([this](HttpExchange &it) { return store.handle(it); }).toString();
}

Rig::~Rig() {
  for (auto &[n, pid] : children)
    ::kill(pid, SIGKILL);
  for (auto &[n, pid] : children)
    ::waitpid(pid, nullptr, 0);
  io.stop();
  if (thread.joinable())
    thread.join();
}

Address Rig::serve(HttpHandler handler) {
  servers.push_back(std::make_unique<HttpServer>(
      io.get_executor(), HttpServerOptions{.listen = {"127.0.0.1", 0}}, std::move(handler)));
  const auto fault = servers.back()->start();
  if (!fault.empty())
    throw std::runtime_error(fault);
  return servers.back()->address();
}

StandinEngine &Rig::addEngine(const std::string &id, const std::string &version,
                              const std::set<std::string> &models) {
  engines.push_back(std::make_unique<StandinEngine>(id, models));
  auto *engine = engines.back().get();
  engine->version = version;
  engine->crashes.onCrashed = [this, engine] { restartAfterCrash(*engine); };
  engine->address = serve([engine](HttpExchange &it) { return engine->handle(it); });
  store.put("servers", engine->id, engine->registryEntry("ready"));
  return *engine;
}

void Rig::restartAfterCrash(StandinEngine &engine) {
  auto timer = std::make_shared<asio::steady_timer>(io, engine.crashes.downTime);
  timer->async_wait([this, timer, &engine](boost::system::error_code) {
    engine.startAgain({}); // engines restart empty
    store.put("servers", engine.id, engine.registryEntry("ready"));
  });
}

void Rig::begin() {
  thread = std::thread([this] {
    auto work = asio::make_work_guard(io);
    io.run();
  });
  for (int i = 0; i < hosts; ++i)
    startHost(i);
}

void Rig::run(const std::function<void()> &step) {
  std::promise<void> done;
  asio::post(io, [&] {
    step();
    done.set_value();
  });
  done.get_future().wait();
}

void Rig::startHost(int n) {
  const std::string &ip = ips[static_cast<std::size_t>(n)];
  const std::string settings = directory + "/host-" + std::to_string(n) + ".conf";
  const std::string log = directory + "/host-" + std::to_string(n) + ".log";
  std::ofstream(settings) << "node_name=front-z-" << n << "\nip_address=" << ip
                          << "\nzone=z\nzones.z=kozep-magyar\nlisten_addresses.front=" << ip << ":"
                          << FrontPort << "\nlisten_addresses.ready=" << ip << ":" << ReadyPort
                          << "\nlisten_addresses.directory=" << ip << ":" << DirectoryPort
                          << "\ninternal_ports=7380,7395\nfirst_start=true\nplatform.address="
                          << storeAddress << "\n"
                          << CommonSettings << moreSettings;
  const std::string variable = "CATKINTHREAD_NODE_FILE=" + settings;
  const char *path = std::getenv("PATH");
  const std::string pathVariable = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
  const char *environment[] = {variable.c_str(), pathVariable.c_str(), nullptr};
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execle("target/bin/catkin-platformd", "target/bin/catkin-platformd", "--metrics-port", "9464",
             nullptr, environment);
    ::_exit(127);
  }
  children[n] = pid;
}

void Rig::signalHost(int n, int signal) {
  auto it = children.find(n);
  if (it != children.end())
    ::kill(it->second, signal);
}

void Rig::killAll(Millis downTime) {
  for (auto &[n, pid] : children)
    ::kill(pid, SIGKILL);
  for (auto &[n, pid] : children)
    ::waitpid(pid, nullptr, 0);
  children.clear();
  std::this_thread::sleep_for(downTime);
  for (int i = 0; i < hosts; ++i)
    startHost(i);
}

bool Rig::isRunning(int n) {
  auto it = children.find(n);
  if (it == children.end())
    return false;
  if (::waitpid(it->second, nullptr, WNOHANG) != it->second)
    return true;
  children.erase(it);
  return false;
}

bool Rig::isReady(int n) const {
  const Request request{.method = "GET",
                        .target = "/api/ready",
                        .headers = {{"Host", "ready"}, {"Connection", "close"}},
                        .limit = Millis(500)};
  return send(ip(n), ReadyPort, request).status == 200;
}

bool Rig::waitUntilReady(Millis limit) const {
  const auto end = Clock::now() + limit;
  for (int n = 0; n < hosts;) {
    if (isReady(n)) {
      ++n;
      continue;
    }
    if (Clock::now() > end)
      return false;
    std::this_thread::sleep_for(Millis(50));
  }
  return true;
}

json::object makeRoute(const std::string &name, const std::string &prefix, const std::string &kind,
                       int timeoutMs, const std::string &service) {
  return {{"name", name},
          {"host", "h.example"},
          {"path_prefix", prefix},
          {"kind", kind},
          {"timeout_ms", timeoutMs},
          {"objective_ms", 1000},
          {"priority", 1},
          {"service", service},
          {"max_attempts", 2},
          {"resumable", kind == "streaming"},
          {"gap_aim_ms", 1500}};
}

json::object makeConfig(std::uint64_t version, const json::array &routes) {
  json::array models;
  for (auto *it : {"m0", "m1", "m2", "m3"})
    models.push_back(json::object{{"name", it},
                                  {"weights_mb", StandinModelMegabytes},
                                  {"load_s", 6.0},
                                  {"disk_s", 0.5},
                                  {"warm_s", 0.4},
                                  {"adapters", 0},
                                  {"adapter_mb", 40.0}});
  const json::object engine{
      {"slots", 64},        {"weights_mb", 140000.0},       {"adapter_slots", 8},
      {"loads_per_s", 2.1}, {"kv_capacity_tokens", 232000}, {"models", models}};
  const json::object llm{{"name", StandinModelService},
                         {"health_path", "/health"},
                         {"connection_cap", 370},
                         {"engine", engine}};
  const json::object plain{
      {"name", StandinPlainService}, {"health_path", "/health"}, {"connection_cap", 110}};
  return {{"version", version},
          {"routes", routes},
          {"services", json::array{llm, plain}},
          {"limits", json::object{{"header_bytes", 16384},
                                  {"body_bytes", 4194304},
                                  {"header_timeout_ms", 5000},
                                  {"idle_timeout_ms", 30000}}}};
}

} // namespace review
