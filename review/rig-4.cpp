#include "rig-4.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto Service = "wuno96b";       // application service
constexpr auto ModelService = "huvo11a";  // service of model engines
constexpr double RestartDelay = 0.5;      // seconds before the platform starts a process again
constexpr double IdleTimeout = 15;        // seconds, of the stand-ins
constexpr std::size_t MaxHistory = 10000; // events that the store keeps

const Clock::time_point began = Clock::now();

std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool equalsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

sockaddr_in toSocketAddress(const Endpoint &it) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(it.port));
  ::inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
  return out;
}

void setNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string jsonResponse(int status, const json::value &body) {
  return responseText(status, {{"Content-Type", "application/json"}}, json::serialize(body));
}

/// Returns a parameter of the query; empty if it is missing.
std::string parameter(const std::string &target, const std::string &name) {
  std::istringstream query(target.substr(std::min(target.find('?'), target.size())));
  query.get();
  for (std::string pair; std::getline(query, pair, '&');)
    if (pair.rfind(name + "=", 0) == 0)
      return pair.substr(name.size() + 1);
  return {};
}

std::vector<std::string> pathParts(const std::string &target) {
  std::istringstream path(target.substr(0, target.find('?')));
  std::vector<std::string> out;
  for (std::string part; std::getline(path, part, '/');)
    if (!part.empty())
      out.push_back(part);
  return out;
}

/// Splits a head into its start line and its fields.
void parseHead(const std::string &text, Message &out) {
  std::istringstream head(text);
  std::string line;
  std::getline(head, line);
  out.start = line.substr(0, line.find('\r'));
  while (std::getline(head, line)) {
    line = line.substr(0, line.find('\r'));
    const auto colon = line.find(':');
    const auto value = line.find_first_not_of(" \t", colon + 1);
    out.headers.emplace_back(line.substr(0, colon),
                             value == std::string::npos ? "" : line.substr(value));
  }
}

/// Returns the answer of another server at the address, or of one that lacks an id; empty if the
/// request is for this one.
std::string rejection(const Message &request, const std::string &id) {
  const std::string expected = request.header("Expect-Instance");
  if (!expected.empty() && expected != id)
    return responseText(421, {{"Instance", id}, {"Not-Run", "1"}}, "");
  if (request.header("Request-Id").empty())
    return responseText(400, {{"Instance", id}, {"Not-Run", "1"}}, "");
  return {};
}

} // namespace

double seconds() { return std::chrono::duration<double>(Clock::now() - began).count(); }

void sleepSeconds(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

bool withTrouble() {
  const char *text = std::getenv("TROUBLE");
  return !text || std::string_view(text) != "0";
}

void Record::line(const std::string &text) {
  const std::lock_guard lock(mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f  ", seconds());
  out << time << text << std::endl;
  std::cout << time << text << std::endl;
}

// ---- Messages ----------------------------------------------------------------------------------

std::string Message::header(std::string_view name) const {
  for (auto &[key, value] : headers)
    if (equalsIgnoringCase(key, name))
      return value;
  return {};
}

std::string Message::target() const {
  const auto from = start.find(' ');
  return from == std::string::npos ? "" : start.substr(from + 1, start.rfind(' ') - from - 1);
}

int Message::status() const {
  return complete && start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string requestText(const std::string &line, const Headers &headers, const std::string &body) {
  std::string out = line + " HTTP/1.1\r\n";
  for (auto &[key, value] : headers)
    out += key + ": " + value + "\r\n";
  if (!body.empty())
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

std::string responseText(int status, const Headers &headers, const std::string &body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (auto &[key, value] : headers)
    out += key + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Message call(const Endpoint &to, const std::string &text, double timeoutSeconds) {
  Socket socket = Socket::connectTo(to);
  if (!socket.isOpen() || !socket.send(text))
    return {};
  return socket.read(timeoutSeconds);
}

// ---- Sockets -----------------------------------------------------------------------------------

Socket &Socket::operator=(Socket &&o) noexcept {
  close();
  fd = std::exchange(o.fd, -1);
  rest = std::move(o.rest);
  return *this;
}

Socket Socket::connectTo(const Endpoint &to) {
  Socket out(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = toSocketAddress(to);
  if (::connect(out.fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
    out.close();
  else
    setNoDelay(out.fd);
  return out;
}

std::string Socket::readBytes(double timeoutSeconds) {
  for (const double until = seconds() + timeoutSeconds; fill(until);) {
  }
  return std::exchange(rest, {});
}

Message Socket::readHead(double timeoutSeconds) {
  const double until = seconds() + timeoutSeconds;
  Message out;
  auto end = rest.find("\r\n\r\n");
  for (; end == std::string::npos; end = rest.find("\r\n\r\n"))
    if (!fill(until))
      return out;
  parseHead(rest.substr(0, end), out);
  rest.erase(0, end + 4);
  out.complete = true;
  return out;
}

void Socket::close() {
  if (fd >= 0)
    ::close(fd);
  fd = -1;
}

bool Socket::send(std::string_view text) {
  while (!text.empty()) {
    const auto n = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

/// Waits for more bytes. Returns false at the end of the connection or of the time.
bool Socket::fill(double until) {
  pollfd waiting{.fd = fd, .events = POLLIN, .revents = 0};
  const int left = static_cast<int>((until - seconds()) * 1000);
  if (fd < 0 || left <= 0 || ::poll(&waiting, 1, left) <= 0)
    return false;
  char buf[16384];
  const auto n = ::recv(fd, buf, sizeof buf, 0);
  if (n <= 0)
    return false;
  rest.append(buf, static_cast<std::size_t>(n));
  return true;
}

Message Socket::read(double timeoutSeconds) {
  const double until = seconds() + timeoutSeconds;
  Message out = readHead(timeoutSeconds);
  if (!std::exchange(out.complete, false))
    return out;
  if (out.header("Transfer-Encoding") == "chunked") {
    for (;;) {
      auto at = rest.find("\r\n");
      for (; at == std::string::npos; at = rest.find("\r\n"))
        if (!fill(until))
          return out;
      const auto size = std::strtoul(rest.c_str(), nullptr, 16);
      while (rest.size() < at + 2 + size + 2)
        if (!fill(until))
          return out;
      out.body += rest.substr(at + 2, size);
      rest.erase(0, at + 2 + size + 2);
      if (size == 0)
        break;
    }
    out.complete = true;
    return out;
  }
  const auto length = std::strtoul(out.header("Content-Length").c_str(), nullptr, 10);
  while (rest.size() < length)
    if (!fill(until))
      return out;
  out.body = rest.substr(0, length);
  rest.erase(0, length);
  out.complete = true;
  return out;
}

// ---- Server ------------------------------------------------------------------------------------

Server::Server(const std::string &ip, Handler h) : at{ip, 0}, handler(std::move(h)) {
  listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = toSocketAddress(at);
  socklen_t size = sizeof address;
  if (::bind(listener, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
      ::listen(listener, 1024) != 0 ||
      ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) != 0)
    std::_Exit(CouldNotRun);
  at.port = ntohs(address.sin_port);
  thread = std::thread([this] { acceptLoop(); });
}

Server::~Server() {
  stopped = true;
  ::shutdown(listener, SHUT_RDWR);
  ::close(listener);
  thread.join();
}

void Server::acceptLoop() {
  while (!stopped) {
    const int fd = ::accept(listener, nullptr, nullptr);
    if (fd < 0)
      continue;
    setNoDelay(fd);
    // The threads end with the program.
    std::thread([this, fd] {
      Socket socket(fd);
      for (bool open = true; open && !stopped;) {
        const Message request = socket.read(IdleTimeout);
        open = request.complete && handler(socket, request);
      }
    }).detach();
  }
}

// ---- Store -------------------------------------------------------------------------------------

Store::Store(const std::string &ip)
    : server(ip, [this](Socket &s, const Message &m) { return handle(s, m); }) {}

json::value Store::describe(const std::string &name, const Object &object) const {
  return json::object{{"metadata", json::object{{"name", name},
                                                {"revision", object.revision},
                                                {"create_revision", object.created},
                                                {"finalizers", json::array()},
                                                {"deleting", false}}},
                      {"specification", object.content},
                      {"status", nullptr}};
}

json::value Store::set(const std::string &kind, const std::string &name,
                       const json::value &content) {
  auto &object = kinds[kind][name];
  if (object.revision > 0 && object.content == content)
    return describe(name, object);
  object.revision = ++revision;
  object.created = object.created == 0 ? revision : object.created;
  object.content = content;
  history.push_back({revision, kind, false, describe(name, object)});
  if (history.size() > MaxHistory)
    history.pop_front();
  changed.notify_all();
  return describe(name, object);
}

void Store::put(const std::string &kind, const std::string &name, const json::value &content) {
  const std::lock_guard lock(mutex);
  set(kind, name, content);
}

bool Store::handle(Socket &socket, const Message &request) { return socket.send(respond(request)); }

std::string Store::respond(const Message &request) {
  const auto parts = pathParts(request.target());
  if (parts.size() < 3 || parts[0] != "api" || parts[1] != "objects")
    return responseText(404, {}, "");
  const std::string &kind = parts[2];
  const std::string name = parts.size() > 3 ? parts[3] : "";
  const std::string method = request.method();
  const std::string from = parameter(request.target(), "watch");
  if (method == "GET" && name.empty() && !from.empty())
    return watch(kind, std::stoull(from),
                 std::atof(parameter(request.target(), "wait_ms").c_str()) / 1000);
  const std::lock_guard lock(mutex);
  if (method == "GET" && name.empty())
    return list(kind);
  if (method == "POST" || method == "PUT")
    return write(request, kind, name);
  auto it = kinds[kind].find(name);
  if (it == kinds[kind].end())
    return responseText(404, {}, "");
  if (method == "DELETE")
    return erase(kind, name,
                 std::strtoull(parameter(request.target(), "revision").c_str(), nullptr, 10));
  return jsonResponse(200, describe(name, it->second));
}

std::string Store::list(const std::string &kind) const {
  json::array items;
  if (auto it = kinds.find(kind); it != kinds.end())
    for (auto &[name, object] : it->second)
      items.push_back(describe(name, object));
  return jsonResponse(200,
                      json::object{{"items", items}, {"truncated", false}, {"as_of", revision}});
}

std::string Store::watch(const std::string &kind, std::uint64_t from, double wait) {
  const auto until = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                        std::chrono::duration<double>(wait));
  std::unique_lock lock(mutex);
  for (;;) {
    if (history.size() == MaxHistory && history.front().revision > from + 1)
      return responseText(410, {}, "");
    json::array events;
    for (auto &it : history)
      if (it.revision > from && it.kind == kind)
        events.push_back(json::object{{"object", it.object}, {"removed", it.removed}});
    if (!events.empty() || changed.wait_until(lock, until) == std::cv_status::timeout)
      return jsonResponse(200, json::object{{"events", events}, {"as_of", revision}});
  }
}

std::string Store::write(const Message &request, const std::string &kind, std::string name) {
  boost::system::error_code ec;
  const json::value body = json::parse(request.body, ec);
  if (ec || !body.is_object())
    return responseText(400, {}, "");
  const json::object &meta = body.at("metadata").as_object();
  const bool creates = request.method() == "POST";
  if (creates)
    name = std::string(meta.at("name").as_string());
  auto &objects = kinds[kind];
  auto it = objects.find(name);
  if (!creates && it == objects.end())
    return responseText(404, {}, "");
  const auto *expected = meta.if_contains("revision");
  const bool conflicts =
      it != objects.end() &&
      (creates || (expected && expected->to_number<std::uint64_t>() != it->second.revision));
  if (conflicts)
    return jsonResponse(409, describe(name, it->second));
  return jsonResponse(200, set(kind, name, body.at("specification")));
}

std::string Store::erase(const std::string &kind, const std::string &name, std::uint64_t expected) {
  auto it = kinds[kind].find(name);
  if (expected > 0 && expected != it->second.revision)
    return jsonResponse(409, describe(name, it->second));
  const json::value gone = describe(name, it->second);
  kinds[kind].erase(it);
  history.push_back({++revision, kind, true, gone});
  changed.notify_all();
  return jsonResponse(200, gone);
}

// ---- Servers -----------------------------------------------------------------------------------

PlainServer::PlainServer(const std::string &ip, std::string name, Record &r)
    : id(std::move(name)), born(unixMillis()), record(r),
      server(ip, [this](Socket &s, const Message &m) { return handle(s, m); }) {}

json::value PlainServer::entry(const std::string &service, const std::string &zone) const {
  return json::object{{"service", service}, {"address", server.address().text()},
                      {"zone", zone},       {"version", "v1"},
                      {"slots", 6},         {"state", "ready"},
                      {"cold_left_ms", 0},  {"sequence", 0},
                      {"born", born}};
}

bool PlainServer::handle(Socket &socket, const Message &request) {
  if (const auto text = rejection(request, id); !text.empty())
    return socket.send(text);
  ++runCount;
  const std::string requestId = request.header("Request-Id");
  record.line("server " + id + " runs request " + requestId);
  sleepSeconds(0.03);
  return socket.send(
      responseText(200, {{"Request-Id", requestId}, {"Server-Stamp", id + ".1"}}, "done"));
}

ModelServer::ModelServer(const std::string &ip, std::string name, std::string m, Record &r)
    : id(std::move(name)), model(std::move(m)), born(unixMillis()), record(r),
      server(ip, [this](Socket &s, const Message &q) { return handle(s, q); }) {}

json::object ModelServer::state() const {
  const std::lock_guard lock(mutex);
  json::array held(adapters.begin(), adapters.end());
  return {
      {"stage", "both"},
      {"models", json::array{json::object{{"name", model}, {"version", 1}, {"adapters", held}}}},
      {"sequence", orders},
      {"born", born}};
}

json::value ModelServer::entry(const std::string &service, const std::string &zone) const {
  json::object out = state();
  out["service"] = service;
  out["address"] = server.address().text();
  out["zone"] = zone;
  out["version"] = "v1";
  out["slots"] = 64;
  out["state"] = "ready";
  out["cold_left_ms"] = 0;
  return out;
}

/// Loads and unloads the adapters a1 and a2; other orders are invalid.
std::string ModelServer::order(const Message &request) {
  boost::system::error_code ec;
  const json::value body = json::parse(request.body, ec);
  const auto *adapter = ec || !body.is_object() ? nullptr : body.as_object().if_contains("adapter");
  const std::string name = adapter && adapter->is_string() ? adapter->as_string().c_str() : "";
  if (name != "a1" && name != "a2") {
    ++invalidCount;
    return responseText(400, {{"Instance", id}}, "");
  }
  const std::lock_guard lock(mutex);
  const auto *expected = body.as_object().if_contains("expect");
  if (expected && expected->to_number<int>() != orders)
    return responseText(409, {{"Instance", id}}, "");
  ++orders;
  std::erase(adapters, name);
  if (body.at("operation").as_string() == "loading")
    adapters.push_back(name);
  return responseText(202, {{"Instance", id}}, "");
}

bool ModelServer::stream(Socket &socket, const Message &request) {
  constexpr int Events = 13;
  const std::string requestId = request.header("Request-Id");
  const std::string wanted = request.header("Model");
  const std::string adapter = wanted.substr(std::min(wanted.find('/') + 1, wanted.size()));
  bool present = wanted == model;
  if (wanted.rfind(model + "/", 0) == 0) {
    const std::lock_guard lock(mutex);
    present = std::count(adapters.begin(), adapters.end(), adapter) > 0;
  }
  if (!present)
    return socket.send(
        responseText(421, {{"Request-Id", requestId}, {"Instance", id}, {"Not-Run", "1"}}, ""));
  ++runCount;
  record.line("engine " + id + " runs request " + requestId);
  bool open =
      socket.send("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nServer-Stamp: " + id +
                  ".1\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  for (int n = 1; open && n <= Events; ++n) {
    const std::string event = "id: " + std::to_string(n) + "\ndata: piece\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    open = socket.send(size + event + "\r\n");
    sleepSeconds(0.02);
  }
  return open && socket.send("0\r\n\r\n");
}

bool ModelServer::handle(Socket &socket, const Message &request) {
  const std::string expected = request.header("Expect-Instance");
  if (!expected.empty() && expected != id)
    return socket.send(rejection(request, id));
  if (request.target() == "/api/report") {
    json::object report = state();
    report["busy"] = false;
    report["queued_requests"] = 0;
    report["running_requests"] = 0;
    report["kv_used"] = 0;
    report["kv_total"] = 232000;
    report["handles"] = 0;
    return socket.send(jsonResponse(200, report));
  }
  if (request.target() == "/api/order")
    return socket.send(order(request));
  if (const auto text = rejection(request, id); !text.empty())
    return socket.send(text);
  return stream(socket, request);
}

// ---- Hosts -------------------------------------------------------------------------------------

Host::Host(std::string n, std::string address, std::string zone, Machine m, Endpoint store,
           std::string folder, Record &r)
    : name(std::move(n)), ip(std::move(address)), machine(m),
      settingsPath(folder + "/" + name + ".conf"), logPath(folder + "/" + name + ".log"),
      record(r) {
  std::ofstream(settingsPath) << "node_name=" << name << "\nrole=host\nmachine_class=front"
                              << "\nserves=front,directory\nip_address=" << ip << "\nzone=" << zone
                              << "\nregion=sicilia-ovest"
                              << "\nlisten_addresses.front=" << ip << ":" << FrontPort
                              << "\nlisten_addresses.ready=" << ip << ":18141"
                              << "\nlisten_addresses.directory=" << ip << ":18143"
                              << "\ninternal_ports=17380,17395\nfirst_start=true"
                              << "\nlimits.cpu_share=0.25\nlimits.cpu_cores=1"
                              << "\nlimits.memory_mb=" << machine.memoryMb
                              << "\nlimits.file_descriptors=" << machine.descriptors
                              << "\nlimits.link_mbps=1000.0\nlimits.disk_mb=0"
                              << "\ndiscovery=platform\nentry=directory\nheartbeat_ms=1200"
                              << "\nbounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8"
                              << "\nbounds.config_ms=2000\nbounds.budget_ratio=0.2"
                              << "\nbounds.budget_window_s=10\nbounds.budget_slack=56"
                              << "\nbounds.require_fencing=true\nbounds.lease_ms=3000"
                              << "\nbounds.ceiling_window_s=5\nbounds.ceiling_over=1.1"
                              << "\nplatform.address=" << store.text()
                              << "\nplatform.form=objects\nplatform.writes_per_s=400"
                              << "\nplatform.reads_per_s=2000\nplatform.history_s=20\n";
  startProcess();
  thread = std::thread([this] { watch(); });
}

Host::~Host() {
  stopped = true;
  thread.join();
  if (pid <= 0)
    return;
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
}

/// Runs the command of the deploy file.
void Host::startProcess() {
  const std::string node = "CATKINTHREAD_NODE_FILE=" + settingsPath;
  const pid_t child = ::fork();
  if (child != 0) {
    pid = child;
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (!std::freopen(logPath.c_str(), "a", stdout) || !std::freopen(logPath.c_str(), "a", stderr))
    std::_Exit(CouldNotRun);
  std::string program = "target/bin/catkin-platformd";
  std::string flag = "--metrics-port";
  std::string port = "9464";
  std::string variable = node;
  char *arguments[] = {program.data(), flag.data(), port.data(), nullptr};
  char *environment[] = {variable.data(), nullptr};
  ::execve(program.c_str(), arguments, environment);
  std::_Exit(CouldNotRun);
}

/// Returns the private memory of the process. Files that it has mapped are not counted.
int Host::privateMegabytes() const {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  for (int kilobytes = 0; in >> word;)
    if (word == "RssAnon:" && in >> kilobytes)
      return kilobytes / 1024;
  return 0;
}

/// Does what the platform does: ends a process whose memory exceeds that of the machine, and starts
/// a process that has ended again.
void Host::watch() {
  constexpr double Interval = 0.02;
  while (!stopped) {
    sleepSeconds(Interval);
    nowMegabytes = privateMegabytes();
    peak = std::max<int>(peak, nowMegabytes);
    int status = 0;
    const bool ended = ::waitpid(pid, &status, WNOHANG) == pid;
    if (ended) {
      ++endCount;
      record.line(name + " has ended by itself, wait status " + std::to_string(status));
    } else if (nowMegabytes > machine.memoryMb) {
      record.line(name + " holds " + std::to_string(nowMegabytes) + " MB, over the " +
                  std::to_string(machine.memoryMb) + " MB of its machine, and is killed");
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
      ++killCount;
    } else {
      continue;
    }
    pid = -1;
    sleepSeconds(RestartDelay);
    if (!stopped)
      startProcess();
  }
}

bool Host::isReady() const {
  return call({ip, 18141}, requestText("GET /api/ready", {{"Host", ip}}, ""), 1).status() == 200;
}

bool Host::waitUntilReady(double timeoutSeconds) const {
  for (const double until = seconds() + timeoutSeconds; seconds() < until; sleepSeconds(0.1))
    if (isReady())
      return true;
  return false;
}

// ---- Deployment --------------------------------------------------------------------------------

namespace {

json::object route(const std::string &name, const std::string &prefix, const std::string &kind,
                   int timeoutMs, const std::string &service) {
  return {{"name", name},
          {"host", Deployment::HostName},
          {"path_prefix", prefix},
          {"kind", kind},
          {"timeout_ms", timeoutMs},
          {"objective_ms", 800},
          {"priority", 2},
          {"service", service},
          {"max_attempts", 1},
          {"session_affinity", kind == "streaming"},
          {"resumable", false},
          {"gap_aim_ms", 400}};
}

json::object configuration() {
  const json::object model{
      {"name", Deployment::Model}, {"weights_mb", 65500.0}, {"load_s", 6.0}, {"adapters", 2},
      {"adapter_mb", 40.0},        {"warm_s", 0.38},        {"disk_s", 0.49}};
  const json::object engine{{"slots", 64},
                            {"kv_capacity_tokens", 232000},
                            {"models", json::array{model}},
                            {"weights_mb", 140000.0},
                            {"adapter_slots", 8},
                            {"loads_per_s", 2.1}};
  return {{"version", 7},
          {"routes", json::array{route("closure", "/puxa403/", "unsafe", 1200, Service),
                                 route("brief", "/lohu930/", "streaming", 6000, ModelService)}},
          {"services", json::array{json::object{{"name", ModelService},
                                                {"health_path", "/health"},
                                                {"connection_cap", 370},
                                                {"engine", engine}},
                                   json::object{{"name", Service},
                                                {"health_path", "/health"},
                                                {"connection_cap", 110}}}},
          {"limits", json::object{{"header_bytes", Deployment::HeaderBytes},
                                  {"body_bytes", Deployment::BodyBytes},
                                  {"header_timeout_ms", 3000},
                                  {"idle_timeout_ms", 15000}}}};
}

/// Returns the first three numbers of loopback addresses that no other run is likely to use.
std::string randomNetwork() {
  std::random_device random;
  return "127." + std::to_string(10 + random() % 200) + "." + std::to_string(random() % 250) + ".";
}

std::string temporaryFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "catkin-review-XXXXXX").string();
  if (!::mkdtemp(path.data()))
    std::_Exit(CouldNotRun);
  return path;
}

} // namespace

Deployment::Deployment(const std::string &recordPath, Machine machine)
    : record(recordPath), folder(temporaryFolder()), network(randomNetwork()) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::string servers = network + "1";
  store = std::make_unique<Store>(servers);
  const std::vector<std::string> zones{"trapani", "marsala", "sciacca"};
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const std::string id = "p-" + std::to_string(i);
    plainServers.push_back(std::make_unique<PlainServer>(servers, id, record));
    store->put("servers", id, plainServers.back()->entry(Service, zones[i]));
  }
  for (std::size_t i = 0; i < 2; ++i) {
    const std::string id = "m-" + std::to_string(i);
    modelServers.push_back(std::make_unique<ModelServer>(servers, id, Model, record));
    store->put("servers", id, modelServers.back()->entry(ModelService, zones[i]));
  }
  store->put("config", "main", configuration());
  for (std::size_t i = 0; i < zones.size(); ++i)
    hosts.push_back(std::make_unique<Host>("front-" + zones[i] + "-1",
                                           network + std::to_string(11 + i), zones[i], machine,
                                           store->address(), folder, record));
}

Deployment::~Deployment() {
  hosts.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
}

bool Deployment::waitUntilReady() {
  const bool ready =
      std::all_of(hosts.begin(), hosts.end(), [](auto &it) { return it->waitUntilReady(15); });
  record.line(ready ? "all hosts are ready" : "the hosts have not become ready");
  return ready;
}

int Deployment::ask(std::size_t host) {
  const std::string id = "ordinary-" + std::to_string(++lastRequest);
  const int status =
      call(hosts[host]->callers(),
           requestText("POST /puxa403/2f",
                       {{"Host", HostName}, {"Request-Id", id}, {"Deadline-Ms", "2500"}},
                       "closure"),
           3)
          .status();
  record.line("host " + std::to_string(host) + " answers request " + id + " with " +
              std::to_string(status));
  return status;
}

} // namespace rig
