#include "rig.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace rig {

namespace {

const Clock::time_point ProgramStart = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;

std::string line(int status) {
  const char *text = status == 200   ? "OK"
                     : status == 201 ? "Created"
                     : status == 202 ? "Accepted"
                     : status == 404 ? "Not Found"
                     : status == 409 ? "Conflict"
                     : status == 410 ? "Gone"
                     : status == 421 ? "Misdirected Request"
                     : status == 503 ? "Service Unavailable"
                                     : "Other";
  return "HTTP/1.1 " + std::to_string(status) + " " + text + "\r\n";
}

std::string json(int status, const std::string &body) {
  return line(status) +
         "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Text of the value of a key in a flat search of a JSON text; empty if it is missing.
std::string rawValue(const std::string &text, const std::string &key) {
  auto at = text.find("\"" + key + "\":");
  if (at == std::string::npos)
    return {};
  at += key.size() + 3;
  std::size_t depth = 0;
  bool quoted = false;
  for (std::size_t i = at; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\')
        ++i;
      else if (c == '"')
        quoted = false;
      continue;
    }
    if (c == '"')
      quoted = true;
    else if (c == '{' || c == '[')
      ++depth;
    else if ((c == '}' || c == ']' || c == ',') && depth == 0)
      return text.substr(at, i - at);
    else if (c == '}' || c == ']')
      --depth;
  }
  return text.substr(at);
}

std::string unquoted(const std::string &text) {
  return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

std::uint64_t unixMillis() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

std::string queryValue(const std::string &target, const std::string &key) {
  for (auto *mark : {"?", "&"}) {
    const auto at = target.find(mark + key + "=");
    if (at == std::string::npos)
      continue;
    const auto from = at + key.size() + 2;
    return target.substr(from, target.find('&', from) - from);
  }
  return {};
}

} // namespace

double now() { return std::chrono::duration<double>(Clock::now() - ProgramStart).count(); }

void sleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void openRecord(const std::string &path) { recordFile.open(path); }

void record(const std::string &text) {
  const std::lock_guard lock(recordMutex);
  char buf[32];
  std::snprintf(buf, sizeof buf, "%8.3f ", now());
  if (recordFile)
    recordFile << buf << text << std::endl;
  else
    std::fprintf(stderr, "%s%s\n", buf, text.c_str());
}

// ---- HTTP --------------------------------------------------------------------------------------

std::string Message::header(const std::string &name) const {
  for (auto &[key, value] : fields)
    if (strcasecmp(key.c_str(), name.c_str()) == 0)
      return value;
  return {};
}

std::string Message::method() const { return first.substr(0, first.find(' ')); }

std::string Message::target() const {
  const auto from = first.find(' ') + 1;
  return first.substr(from, first.find(' ', from) - from);
}

int Message::status() const {
  return first.size() > 12 ? std::atoi(first.substr(9, 3).c_str()) : 0;
}

Channel::~Channel() { close(); }

void Channel::close() {
  if (fd >= 0)
    ::close(fd);
  fd = -1;
}

void Channel::reset() {
  if (fd < 0)
    return;
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close();
}

bool Channel::write(const std::string &bytes) {
  std::size_t done = 0;
  while (fd >= 0 && done < bytes.size()) {
    const auto n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return fd >= 0;
}

bool Channel::fill(double deadline) {
  if (fd < 0)
    return false;
  const double left = deadline - now();
  pollfd wait{fd, POLLIN, 0};
  if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0)
    return false;
  char buf[65536];
  const auto n = ::recv(fd, buf, sizeof buf, 0);
  if (n <= 0)
    return false;
  buffer.append(buf, static_cast<std::size_t>(n));
  return true;
}

bool Channel::waitForInput(double seconds) {
  if (!buffer.empty() || fd < 0)
    return true;
  pollfd wait{fd, POLLIN, 0};
  return ::poll(&wait, 1, static_cast<int>(seconds * 1000)) != 0;
}

bool Channel::isClosed() {
  char c = 0;
  return fd < 0 || ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool Channel::read(Message &out, bool isResponse, double deadline) {
  out = {};
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill(deadline))
      return false;
  std::istringstream head(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  std::string text;
  while (std::getline(head, text)) {
    if (!text.empty() && text.back() == '\r')
      text.pop_back();
    if (out.first.empty()) {
      out.first = text;
      continue;
    }
    const auto colon = text.find(':');
    auto value = colon == std::string::npos ? "" : text.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    out.fields.emplace_back(text.substr(0, colon), value);
  }
  const auto take = [&](std::size_t n, std::string &to) {
    while (buffer.size() < n)
      if (!fill(deadline))
        return false;
    to += buffer.substr(0, n);
    buffer.erase(0, n);
    return true;
  };
  if (out.header("Transfer-Encoding") == "chunked") {
    for (;;) {
      std::size_t at = 0;
      while ((at = buffer.find("\r\n")) == std::string::npos)
        if (!fill(deadline))
          return false;
      const auto n = std::strtoul(buffer.c_str(), nullptr, 16);
      buffer.erase(0, at + 2);
      std::string piece;
      std::string ignored;
      if (!take(n, piece) || !take(2, ignored))
        return false;
      if (n == 0)
        return true;
      out.body += piece;
    }
  }
  const auto length = out.header("Content-Length");
  if (!length.empty())
    return take(std::strtoul(length.c_str(), nullptr, 10), out.body);
  if (!isResponse)
    return true;
  while (fill(deadline)) {
  }
  out.body = std::exchange(buffer, {});
  return isClosed();
}

std::string Channel::readAll(double deadline) {
  while (fill(deadline)) {
  }
  return std::exchange(buffer, {});
}

std::unique_ptr<Channel> connectTo(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (fd < 0 || ::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0) {
    if (fd >= 0)
      ::close(fd);
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_unique<Channel>(fd);
}

Server::Server(int port, Handler handler) {
  listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (::bind(listener, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 ||
      ::listen(listener, 512) != 0 ||
      ::getsockname(listener, reinterpret_cast<sockaddr *>(&at), &size) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  boundPort = ntohs(at.sin_port);
  acceptor = std::thread([fd = listener, handler = std::move(handler), stopped = stopped] {
    while (!*stopped) {
      const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        if (*stopped)
          return;
        sleepFor(0.01);
        continue;
      }
      const int on = 1;
      ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([client, handler] {
        Channel channel(client);
        handler(channel);
      }).detach();
    }
  });
}

Server::~Server() {
  *stopped = true;
  ::shutdown(listener, SHUT_RDWR);
  acceptor.join();
  ::close(listener);
}

// ---- Store -------------------------------------------------------------------------------------

Store::Store() {
  server = std::make_unique<Server>(0, [this](Channel &it) { serve(it, nullptr); });
}

int Store::addPort(std::shared_ptr<std::atomic<bool>> turnsAway) {
  furtherPorts.push_back(
      std::make_unique<Server>(0, [this, turnsAway](Channel &it) { serve(it, turnsAway.get()); }));
  return furtherPorts.back()->port();
}

std::string Store::describe(const std::string &name, const Object &object) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision) +
         R"(,"create_revision":1,"finalizers":[],"deleting":false},"specification":)" +
         object.specification + R"(,"status":null})";
}

void Store::change(const std::string &kind, const std::string &name, bool removed,
                   const std::string &specification) {
  auto &objects = kinds[kind];
  ++revision;
  auto &object = objects[name];
  if (!removed)
    object = {revision, specification};
  events.push_back({revision, kind, removed, describe(name, object)});
  if (removed)
    objects.erase(name);
  changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name,
                const std::string &specification) {
  const std::lock_guard lock(mutex);
  change(kind, name, false, specification);
}

void Store::remove(const std::string &kind, const std::string &name) {
  const std::lock_guard lock(mutex);
  if (kinds[kind].count(name) > 0)
    change(kind, name, true, {});
}

std::string Store::get(const std::string &kind, const std::string &name) {
  const std::lock_guard lock(mutex);
  auto it = kinds[kind].find(name);
  return it == kinds[kind].end() ? std::string() : it->second.specification;
}

std::string Store::watch(const std::string &kind, std::uint64_t from, double wait,
                         std::unique_lock<std::mutex> &lock) {
  const auto until = Clock::now() + std::chrono::duration<double>(wait);
  std::string list;
  for (;;) {
    for (auto &it : events)
      if (it.kind == kind && it.revision > from)
        list += std::string(list.empty() ? "" : ",") + R"({"removed":)" +
                (it.removed ? "true" : "false") + R"(,"object":)" + it.object + "}";
    if (!list.empty() || down ||
        changed.wait_until(lock, std::chrono::time_point_cast<Clock::duration>(until)) ==
            std::cv_status::timeout)
      break;
  }
  return json(200, R"({"events":[)" + list + R"(],"as_of":)" + std::to_string(revision) + "}");
}

std::string Store::answer(const Message &request) {
  std::unique_lock lock(mutex);
  if (down)
    return json(503, "{}");
  const auto target = request.target();
  const std::string prefix = "/api/objects/";
  if (target.rfind(prefix, 0) != 0)
    return json(404, "{}");
  const auto path = target.substr(prefix.size(), target.find('?') - prefix.size());
  const auto slash = path.find('/');
  const auto kind = path.substr(0, slash);
  auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
  auto &objects = kinds[kind];
  if (request.method() == "GET" && !queryValue(target, "watch").empty())
    return watch(kind, std::strtoull(queryValue(target, "watch").c_str(), nullptr, 10),
                 std::atof(queryValue(target, "wait_ms").c_str()) / 1000, lock);
  if (request.method() == "GET" && name.empty()) {
    std::string items;
    for (auto &[key, it] : objects)
      items += (items.empty() ? "" : ",") + describe(key, it);
    return json(200, R"({"items":[)" + items + R"(],"truncated":false,"as_of":)" +
                         std::to_string(revision) + "}");
  }
  if (name.empty())
    name = unquoted(rawValue(request.body, "name"));
  auto found = objects.find(name);
  const bool exists = found != objects.end();
  if (request.method() == "GET")
    return exists ? json(200, describe(name, found->second)) : json(404, "{}");
  auto condition = rawValue(request.body, "revision");
  if (condition.empty())
    condition = queryValue(target, "revision");
  const bool wrong = !condition.empty() && exists &&
                     std::strtoull(condition.c_str(), nullptr, 10) != found->second.revision;
  if ((request.method() == "POST" && exists) || wrong)
    return json(409, describe(name, found->second));
  if (request.method() != "POST" && !exists)
    return json(404, "{}");
  if (request.method() == "DELETE") {
    change(kind, name, true, {});
    return json(200, "{}");
  }
  change(kind, name, false, rawValue(request.body, "specification"));
  return json(request.method() == "POST" ? 201 : 200, describe(name, objects[name]));
}

void Store::serve(Channel &channel, const std::atomic<bool> *turnsAway) {
  const auto refuses = [&] { return turnsAway && *turnsAway; };
  Message request;
  while (channel.read(request, false, now() + 600)) {
    const auto text = refuses() ? json(503, "{}") : answer(request);
    // A watch that was waiting tells nothing of what has happened since.
    if (!channel.write(refuses() ? json(503, "{}") : text))
      return;
  }
}

// ---- Engines -----------------------------------------------------------------------------------

void Runs::add(const Run &run) {
  record("run at " + run.engine + " id=" + run.id + " " + run.first +
         " body=" + std::to_string(run.bodyBytes) +
         (run.lastEventId.empty() ? "" : " last-event-id=" + run.lastEventId));
  const std::lock_guard lock(mutex);
  runs.push_back(run);
}

std::vector<Run> Runs::all() {
  const std::lock_guard lock(mutex);
  return runs;
}

int Runs::countOf(const std::string &id) {
  int n = 0;
  for (auto &it : all())
    n += it.id == id ? 1 : 0;
  return n;
}

Engine::Engine(std::string id, std::string service, Runs &runs, std::vector<std::string> models)
    : id(std::move(id)), service(std::move(service)), runs(runs),
      models(models.begin(), models.end()), born(unixMillis()) {
  server = std::make_unique<Server>(0, [this](Channel &it) { serve(it); });
}

void Engine::addRun(const Message &request) {
  runs.add({now(), id, request.header("Request-Id"), request.first, request.header("Last-Event-Id"),
            request.body.size()});
}

std::string Engine::modelList() const {
  std::string held;
  for (auto &it : models)
    held += (held.empty() ? "" : ",") + (R"({"name":")" + it + R"(","version":1,"adapters":[]})");
  return "[" + held + R"(],"at_hand":{"in_memory":[],"on_disk":["m0"]})";
}

std::string Engine::entry(const std::string &state) const {
  const std::lock_guard lock(mutex);
  return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port()) +
         R"(","zone":"zone-a","version":")" + version + R"(","slots":64,"state":")" + state +
         R"(","cold_left_ms":0,"stage":"both","models":)" + modelList() + R"(,"sequence":)" +
         std::to_string(sequence) + R"(,"born":)" + std::to_string(born) + "}";
}

std::string Engine::report() {
  const std::lock_guard lock(mutex);
  if (!loading.empty() && now() >= busyUntil) {
    models.insert(loading);
    loading.clear();
  }
  return json(200, R"({"stage":"both","models":)" + modelList() + R"(,"busy":)" +
                       (loading.empty() ? "false" : "true") + R"(,"sequence":)" +
                       std::to_string(sequence) + R"(,"born":)" + std::to_string(born) +
                       R"(,"queued_requests":0,"running_requests":0,"handles":0})");
}

std::string Engine::order(const Message &request) {
  const std::lock_guard lock(mutex);
  const auto number = [&](const char *key) {
    return std::strtoull(rawValue(request.body, key).c_str(), nullptr, 10);
  };
  const auto model = unquoted(rawValue(request.body, "model"));
  const auto operation = unquoted(rawValue(request.body, "operation"));
  const auto expected = rawValue(request.body, "expect");
  if (number("fencing_token") < highestToken)
    return json(412, "{}");
  highestToken = number("fencing_token");
  const bool otherSequence = !expected.empty() && std::atoi(expected.c_str()) != sequence;
  if (otherSequence || !loading.empty())
    return json(409, "{}");
  ++sequence;
  record("order at " + id + ": " + operation + " " + model);
  if (operation == "unloading") {
    models.erase(model);
    return json(200, "{}");
  }
  constexpr double LoadSeconds = 0.5; // from the engine's disk
  loading = model;
  busyUntil = now() + LoadSeconds;
  return json(202, "{}");
}

void Engine::crash() {
  const std::lock_guard lock(mutex);
  record(id + " crashes");
  down = true;
  ++epoch;
}

void Engine::startAgain(const std::string &newVersion) {
  const std::lock_guard lock(mutex);
  models.clear();
  loading.clear();
  sequence = 0;
  highestToken = 0;
  version = newVersion;
  born = unixMillis();
  down = false;
  record(id + " starts again at version " + newVersion + ", empty");
}

std::string Engine::softwareVersion() {
  const std::lock_guard lock(mutex);
  return version;
}

std::set<std::string> Engine::heldModels() {
  const std::lock_guard lock(mutex);
  if (!loading.empty() && now() >= busyUntil) {
    models.insert(loading);
    loading.clear();
  }
  return models;
}

std::string Engine::response(const Message &request, const std::string &body,
                             const std::string &moreFields) {
  return line(200) + "Request-Id: " + request.header("Request-Id") + "\r\nServer-Stamp: stamp-" +
         request.header("Request-Id") + "\r\n" + moreFields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void Engine::serve(Channel &channel) {
  const int began = epoch;
  const auto isGone = [&] { return down || epoch != began; };
  Message request;
  for (;;) {
    if (isGone())
      return channel.reset();
    const bool arrived = channel.waitForInput(0.02);
    if (isGone())
      return channel.reset();
    if (!arrived)
      continue;
    if (!channel.read(request, false, now() + 20))
      return;
    const auto expected = request.header("Expect-Instance");
    std::string answer;
    if (!expected.empty() && expected != id)
      answer = line(421) + "Instance: " + id + "\r\nContent-Length: 0\r\n\r\n";
    else if (request.target() == "/api/report")
      answer = report();
    else if (request.target() == "/api/order")
      answer = order(request);
    else if (handler) {
      if (!handler(*this, channel, request))
        return;
      continue;
    } else {
      addRun(request);
      sleepFor(workSeconds);
      answer = response(request, "answer to " + request.header("Request-Id"));
    }
    if (isGone())
      return channel.reset();
    if (!channel.write(answer))
      return;
  }
}

// ---- Hosts -------------------------------------------------------------------------------------

int freePorts(int count) {
  for (int first = 21000 + (::getpid() * 37) % 8000; first < 32000; first += count) {
    bool allFree = true;
    for (int i = 0; i < count && allFree; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_port = htons(static_cast<std::uint16_t>(first + i));
      at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      allFree = ::bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0;
      ::close(fd);
    }
    if (allFree)
      return first;
  }
  std::exit(2);
}

Host::Host(const std::string &name, int firstPort, int storePort, const std::string &directory)
    : name(name), firstPort(firstPort), settings(directory + "/" + name + ".conf"),
      log(directory + "/" + name + ".log") {
  const auto at = [&](int n) { return "127.0.0.1:" + std::to_string(firstPort + n); };
  std::ofstream out(settings);
  out << "node_name=" << name << "\nrole=host\nmachine_class=front\nserves=front,directory\n"
      << "ip_address=127.0.0.1\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n"
      << "listen_addresses.front=" << at(0) << "\nlisten_addresses.ready=" << at(1)
      << "\nlisten_addresses.control=" << at(2) << "\nlisten_addresses.directory=" << at(3)
      << "\ninternal_ports=" << firstPort + 4 << "," << firstPort + 6
      << "\nseeds=\nfirst_start=true\ntolerance_member=false\nlimits.cpu_share=0.25\n"
      << "limits.cpu_cores=1\nlimits.memory_mb=260\nlimits.file_descriptors=4100\n"
      << "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=directory\n"
      << "heartbeat_ms=1200\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n"
      << "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
      << "bounds.lost_ms=200\nbounds.config_ms=2000\nbounds.budget_ratio=0.2\n"
      << "bounds.budget_window_s=10\nbounds.budget_slack=56\nbounds.recovery_s=12\n"
      << "bounds.pass_ms=120\nbounds.require_fencing=true\nbounds.lease_ms=3000\n"
      << "bounds.thaw_ms=300\nbounds.ceiling_window_s=5\nbounds.ceiling_over=1.1\n"
      << "bounds.ttl_max_s=5\nplatform.address=127.0.0.1:" << storePort
      << "\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
      << "platform.history_s=20\nplatform.value_bytes=1048576\n";
}

Host::~Host() {
  signal(SIGKILL);
  waitForEnd(5);
}

void Host::start() {
  const std::string metrics = std::to_string(firstPort + 7);
  pid = ::fork();
  if (pid != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL); // a host must not outlive the case
  const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(fd, 1);
  ::dup2(fd, 2);
  ::setenv("CATKINTHREAD_NODE_FILE", settings.c_str(), 1);
  ::execl("target/bin/catkin-platformd", "catkin-platformd", "--metrics-port", metrics.c_str(),
          static_cast<char *>(nullptr));
  std::perror("catkin-platformd");
  std::_Exit(2);
}

void Host::signal(int number) const {
  if (pid > 0)
    ::kill(pid, number);
}

bool Host::waitForEnd(double seconds) {
  const double end = now() + seconds;
  while (pid > 0 && now() < end) {
    if (::waitpid(pid, nullptr, WNOHANG) == pid)
      pid = -1;
    else
      sleepFor(0.01);
  }
  return pid <= 0;
}

bool Host::isReady() const {
  auto channel = connectTo(firstPort + 1);
  Message answer;
  return channel && channel->write("GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n") &&
         channel->read(answer, true, now() + 1) && answer.status() == 200;
}

std::string Host::lastLogLine() const {
  std::ifstream in(log);
  std::string last;
  for (std::string text; std::getline(in, text);)
    last = text.substr(0, 300);
  return last;
}

Deployment::Deployment(int hostCount, int plainEngines, int modelEngines) {
  std::signal(SIGPIPE, SIG_IGN);
  char path[] = "/tmp/review-XXXXXX";
  if (!::mkdtemp(path))
    std::exit(2);
  directory = path;
  record("directory of settings and logs: " + directory);
  for (int i = 0; i < plainEngines; ++i)
    engines.push_back(std::make_unique<Engine>("i-plain" + std::to_string(i), "plain", runs,
                                               std::vector<std::string>{}));
  for (int i = 0; i < modelEngines; ++i)
    engines.push_back(std::make_unique<Engine>("i-model" + std::to_string(i), "models", runs,
                                               std::vector<std::string>{"m0"}));
  writeConfig(1);
  for (auto &it : engines)
    registerEngine(*it, "ready");
  const int first = freePorts(hostCount * 8);
  for (int i = 0; i < hostCount; ++i) {
    turnedAway.push_back(std::make_shared<std::atomic<bool>>(false));
    hosts.push_back(std::make_unique<Host>("front-a-" + std::to_string(i + 1), first + i * 8,
                                           store.addPort(turnedAway.back()), directory));
  }
  for (auto &it : hosts)
    it->start();
}

Deployment::~Deployment() {
  hosts.clear();
  std::error_code ignored;
  std::filesystem::remove_all(directory, ignored);
}

void Deployment::registerEngine(const Engine &engine, const std::string &state) {
  store.put("servers", engine.id, engine.entry(state));
}

void Deployment::writeConfig(int version) {
  const std::string routes =
      R"({"name":"once","host":"h.example","path_prefix":"/once/","kind":"unsafe",)"
      R"("timeout_ms":10000,"objective_ms":150,"priority":2,"service":"plain","max_attempts":2},)"
      R"({"name":"safe","host":"h.example","path_prefix":"/safe/","kind":"safe",)"
      R"("timeout_ms":2500,"objective_ms":150,"priority":2,"service":"plain","max_attempts":2},)"
      R"({"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming",)"
      R"("timeout_ms":13000,"objective_ms":2000,"priority":1,"service":"models",)"
      R"("max_attempts":2,"session_affinity":true,"resumable":true,"gap_aim_ms":400},)"
      R"({"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"streaming",)"
      R"("timeout_ms":15000,"objective_ms":500,"priority":0,"service":"models",)"
      R"("max_attempts":2,"session_affinity":true,"resumable":true,"gap_aim_ms":400})";
  const std::string models =
      R"({"name":"m0","weights_mb":65500.0,"load_s":6.0,"adapters":0,"adapter_mb":40.0,)"
      R"("warm_s":0.38,"disk_s":0.49})";
  store.put("config", "main",
            R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
                R"(],"services":[{"name":"plain","health_path":"/health","connection_cap":110,)"
                R"("protocol":"h1","tls":false},{"name":"models","health_path":"/health",)"
                R"("connection_cap":370,"protocol":"h1","tls":false,"engine":{"slots":64,)"
                R"("kv_capacity_tokens":232000,"weights_mb":140000.0,"adapter_slots":8,)"
                R"("loads_per_s":2.1,"models":[)" +
                models +
                R"(]}}],"limits":{"header_bytes":16384,"body_bytes":4194304,)"
                R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

void Deployment::waitUntilReady() {
  const double end = now() + 15;
  for (auto &it : hosts)
    while (!it->isReady()) {
      if (now() > end) {
        record("a host is not ready in time");
        std::fprintf(stderr, "a host is not ready in time\n");
        for (auto &host : hosts)
          host->signal(SIGKILL);
        std::_Exit(2);
      }
      sleepFor(0.05);
    }
  sleepFor(3); // hosts hear of each other
}

KeptClients::KeptClients(Deployment &deployment, int perHost, double end) : deployment(deployment) {
  for (auto &it : deployment.hosts)
    for (int n = 0; n < perHost; ++n)
      threads.emplace_back(
          [this, port = it->port(), host = it->name, end] { runClient(port, host, end); });
}

void KeptClients::runClient(int port, const std::string &host, double end) {
  std::unique_ptr<Channel> channel;
  bool kept = false;
  while (now() < end) {
    if (!channel) {
      channel = connectTo(port);
      kept = false;
    }
    if (!channel) {
      sleepFor(0.1);
      continue;
    }
    const auto id = newId();
    Message answer;
    const bool sent = channel->write(request("POST", "/once/x", id, "body", 2500));
    if (sent && channel->read(answer, true, now() + 3)) {
      ++answered;
      kept = true;
      continue;
    }
    if (kept && channel->isClosed()) {
      const std::lock_guard lock(mutex);
      closed.push_back({id, host});
    }
    channel.reset();
  }
}

void KeptClients::join() {
  for (auto &it : threads)
    it.join();
}

int KeptClients::recordLost(const std::string &faulty) {
  int lost = 0;
  for (auto &it : closed)
    for (auto &run : deployment.runs.all())
      if (run.id == it.id && run.engine != faulty) {
        record("LOST: " + it.host + " passed id=" + it.id + " on to the sound engine " +
               run.engine + " and closed the kept channel without an answer");
        ++lost;
      }
  return lost;
}

std::string newId() {
  static std::atomic<int> last{0};
  char buf[32];
  std::snprintf(buf, sizeof buf, "%08x%08x", static_cast<unsigned>(::getpid()),
                static_cast<unsigned>(++last));
  return buf;
}

std::string request(const std::string &method, const std::string &target, const std::string &id,
                    const std::string &body, int deadlineMs, const std::string &moreFields) {
  std::string out = method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
                    "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + moreFields;
  if (method == "POST")
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

} // namespace rig
