#include "rig-3.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>

namespace rig {

namespace {

using Clock = std::chrono::steady_clock;
const auto Start = Clock::now();

std::mt19937_64 &generator() {
  static thread_local std::mt19937_64 it{std::random_device{}()};
  return it;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

sockaddr_in socketAddress(const std::string &ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

} // namespace

Record *record = nullptr;

double now() { return std::chrono::duration<double>(Clock::now() - Start).count(); }

void sleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void sleepUntil(double at) { sleepFor(at - now()); }

std::uint64_t unixMillis() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

bool hasTrouble() {
  const char *text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

std::string machineIp(int n) {
  static const auto net = [] {
    std::mt19937 random{std::random_device{}()};
    return "127." + std::to_string(16 + random() % 200) + "." + std::to_string(1 + random() % 250) +
           ".";
  }();
  return net + std::to_string(n);
}

std::string newId() {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(generator()()));
  return out;
}

void Record::add(const std::string &line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", now());
  const std::lock_guard lock(mutex);
  out << time << line << std::endl;
}

void note(const std::string &line) { record->add(line); }

void fail(const std::string &reason) {
  note("could not run: " + reason);
  std::cerr << "could not run: " << reason << "\n";
  removeFolder();
  std::_Exit(2);
}

const std::string &folder() {
  static const std::string path = [] {
    std::string text = std::filesystem::temp_directory_path().string() + "/case-XXXXXX";
    if (!::mkdtemp(text.data()))
      fail("no temporary folder");
    return text;
  }();
  return path;
}

void removeFolder() {
  if (std::getenv("KEEP_LOGS")) {
    std::cerr << "logs are kept in " << folder() << "\n";
    return;
  }
  std::error_code ec;
  std::filesystem::remove_all(folder(), ec);
}

std::string Head::field(const std::string &name) const {
  auto it = fields.find(lower(name));
  return it == fields.end() ? std::string() : it->second;
}

// ---- Channel -----------------------------------------------------------------------------------

Channel::~Channel() {
  const int it = fd.exchange(-1);
  if (it >= 0)
    ::close(it);
}

void Channel::end(bool abortive) {
  const int it = fd.load();
  if (it < 0)
    return;
  // The descriptor stays open until the thread that uses the channel has noticed.
  const sockaddr nowhere{.sa_family = AF_UNSPEC, .sa_data = {}};
  if (abortive)
    ::connect(it, &nowhere, sizeof nowhere); // resets the connection at once
  else
    ::shutdown(it, SHUT_RDWR);
}

std::unique_ptr<Channel> Channel::connect(const std::string &ip, int port, double seconds) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return nullptr;
  const auto to = socketAddress(ip, port);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0 &&
      errno != EINPROGRESS) {
    ::close(fd);
    return nullptr;
  }
  pollfd p{.fd = fd, .events = POLLOUT, .revents = 0};
  int error = 0;
  socklen_t size = sizeof error;
  const bool ready = ::poll(&p, 1, static_cast<int>(seconds * 1000)) == 1;
  ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!ready || error != 0) {
    ::close(fd);
    return nullptr;
  }
  return std::make_unique<Channel>(fd);
}

bool Channel::write(const std::string &bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const int it = fd.load();
    if (it < 0)
      return false;
    const auto n = ::send(it, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n > 0) {
      done += static_cast<std::size_t>(n);
      continue;
    }
    if (n < 0 && errno != EAGAIN && errno != EINTR)
      return false;
    pollfd p{.fd = it, .events = POLLOUT, .revents = 0};
    if (::poll(&p, 1, 10000) != 1)
      return false;
  }
  return true;
}

bool Channel::fill(double deadline) {
  timedOut = false;
  for (;;) {
    const int it = fd.load();
    if (it < 0)
      return false;
    const double left = deadline - now();
    if (left <= 0) {
      timedOut = true;
      return false;
    }
    pollfd p{.fd = it, .events = POLLIN, .revents = 0};
    const int ready = ::poll(&p, 1, std::max(1, static_cast<int>(std::min(left, 60.0) * 1000)));
    if (ready < 0 && errno != EINTR)
      return false;
    if (ready != 1)
      continue;
    char buf[16384];
    const auto n = ::recv(it, buf, sizeof buf, 0);
    if (n > 0) {
      buffer.append(buf, static_cast<std::size_t>(n));
      return true;
    }
    if (n == 0 || (errno != EAGAIN && errno != EINTR))
      return false;
  }
}

bool Channel::readHead(Head &head, double deadline) {
  head = {};
  bytesLeft.reset();
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill(deadline))
      return false;
  const std::string text = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  std::size_t at = text.find("\r\n");
  const std::string first = text.substr(0, at);
  const auto space = first.find(' ');
  const auto second = first.find(' ', space + 1);
  if (first.starts_with("HTTP/")) {
    head.status = std::atoi(first.c_str() + space + 1);
  } else {
    head.method = first.substr(0, space);
    head.target = first.substr(space + 1, second - space - 1);
  }
  for (at += 2; at < text.size();) {
    const auto lineEnd = text.find("\r\n", at);
    const std::string line = text.substr(at, lineEnd - at);
    at = lineEnd + 2;
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    head.fields[lower(line.substr(0, colon))] = value;
  }
  return true;
}

bool Channel::readRequestBody(Head &head, double deadline) {
  if (head.field("Transfer-Encoding") == "" && head.field("Content-Length") == "")
    return true;
  for (bool ended = false; !ended;) {
    std::string part;
    if (!readPart(head, part, ended, deadline))
      return false;
    head.body += part;
  }
  return true;
}

bool Channel::readPart(const Head &head, std::string &part, bool &ended, double deadline) {
  part.clear();
  ended = false;
  const bool chunked = head.field("Transfer-Encoding") == "chunked";
  const auto length = head.field("Content-Length");
  if (!chunked && length.empty()) { // ends with the channel
    if (buffer.empty() && !fill(deadline)) {
      ended = !timedOut;
      return ended;
    }
    part.swap(buffer);
    return true;
  }
  if (!chunked) {
    if (!bytesLeft)
      bytesLeft = std::strtoull(length.c_str(), nullptr, 10);
    if (*bytesLeft == 0) {
      ended = true;
      return true;
    }
    if (buffer.empty() && !fill(deadline))
      return false;
    const auto n = std::min<std::uint64_t>(*bytesLeft, buffer.size());
    part = buffer.substr(0, n);
    buffer.erase(0, n);
    *bytesLeft -= n;
    ended = *bytesLeft == 0;
    return true;
  }
  std::size_t end = 0;
  while ((end = buffer.find("\r\n")) == std::string::npos)
    if (!fill(deadline))
      return false;
  const auto size = std::strtoull(buffer.c_str(), nullptr, 16);
  while (buffer.size() < end + 2 + size + 2)
    if (!fill(deadline))
      return false;
  part = buffer.substr(end + 2, size);
  buffer.erase(0, end + 2 + size + 2);
  ended = size == 0;
  return true;
}

// ---- Server ------------------------------------------------------------------------------------

Server::Server(std::string ip, int port, Handler handler)
    : ip(std::move(ip)), port(port), handler(std::move(handler)) {}

void Server::start() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const auto at = socketAddress(ip, port);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 ||
      ::listen(fd, 512) != 0)
    fail("cannot listen on " + ip + ":" + std::to_string(port));
  listener = fd;
  acceptor = std::thread([this, fd] {
    for (;;) {
      const int it = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (it < 0) {
        if (errno == EINTR || errno == ECONNABORTED)
          continue;
        return;
      }
      const int yes = 1;
      ::setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      auto channel = std::make_shared<Channel>(it);
      int number = 0;
      {
        const std::lock_guard lock(mutex);
        number = nextChannel++;
        channels[number] = channel;
      }
      std::thread([this, number, channel = std::move(channel)]() mutable {
        Head head;
        while (channel->readHead(head, now() + 600) && channel->readRequestBody(head, now() + 60) &&
               handler(*channel, head)) {
        }
        const std::lock_guard lock(mutex);
        channels.erase(number);
        channel.reset(); // closes the channel
        changed.notify_all();
      }).detach();
    }
  });
}

void Server::end(bool abortive) {
  if (listener >= 0) {
    ::shutdown(listener, SHUT_RDWR);
    acceptor.join();
    ::close(listener);
    listener = -1;
  }
  std::unique_lock lock(mutex);
  for (auto &[n, it] : channels)
    it->end(abortive);
  changed.wait_for(lock, std::chrono::seconds(5), [this] { return channels.empty(); });
}

void Server::stop() { end(true); }

void Server::exitCleanly() { end(false); }

std::size_t Server::connections() {
  const std::lock_guard lock(mutex);
  return channels.size();
}

std::string response(int status, const std::string &fields, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- Store -------------------------------------------------------------------------------------

Store::Store()
    : server(machineIp(Machine), Port,
             [this](Channel &channel, const Head &head) { return handle(channel, head); }) {}

json::object Store::describe(const std::string &name, const Object &object) const {
  return {{"metadata", json::object{{"name", name},
                                    {"revision", object.revision},
                                    {"create_revision", object.created},
                                    {"finalizers", json::array{}},
                                    {"deleting", false}}},
          {"specification", object.specification},
          {"status", object.status}};
}

void Store::change(const std::string &kind, const std::string &name, json::value specification) {
  auto [it, isNew] = kinds[kind].try_emplace(name);
  auto &object = it->second;
  if (!isNew && object.specification == specification)
    return;
  object.specification = std::move(specification);
  object.revision = ++revision;
  if (isNew)
    object.created = revision;
  events.push_back({revision, kind, false, describe(name, object)});
  changed.notify_all();
}

bool Store::erase(const std::string &kind, const std::string &name) {
  auto it = kinds[kind].find(name);
  if (it == kinds[kind].end())
    return false;
  it->second.revision = ++revision;
  events.push_back({revision, kind, true, describe(name, it->second)});
  kinds[kind].erase(it);
  changed.notify_all();
  return true;
}

void Store::put(const std::string &kind, const std::string &name, const json::value &content) {
  const std::lock_guard lock(mutex);
  change(kind, name, content);
}

void Store::remove(const std::string &kind, const std::string &name) {
  const std::lock_guard lock(mutex);
  erase(kind, name);
}

json::value Store::content(const std::string &kind, const std::string &name) {
  const std::lock_guard lock(mutex);
  auto it = kinds[kind].find(name);
  return it == kinds[kind].end() ? json::value() : it->second.specification;
}

void Store::cutWatches(const std::string &kind) {
  const std::lock_guard lock(mutex);
  ++cuts[kind];
  changed.notify_all();
}

int Store::waitingWatches(const std::string &kind, double seconds) {
  const std::lock_guard lock(mutex);
  const double until = now() - seconds;
  return static_cast<int>(std::count_if(watching[kind].begin(), watching[kind].end(),
                                        [&](double since) { return since <= until; }));
}

int Store::lists(const std::string &kind) {
  const std::lock_guard lock(mutex);
  return listed[kind];
}

bool Store::handle(Channel &channel, const Head &head) {
  const std::string text = answer(head);
  return !text.empty() && channel.write(text);
}

std::string Store::watch(const std::string &kind, std::uint64_t from, int waitMs) {
  std::unique_lock lock(mutex);
  json::array found;
  const auto collect = [&] {
    for (auto it = events.rbegin(); it != events.rend() && it->revision > from; ++it)
      if (it->kind == kind)
        found.insert(found.begin(), json::object{{"removed", it->removed}, {"object", it->object}});
    return !found.empty();
  };
  const int cutsBefore = cuts[kind];
  const auto since = watching[kind].insert(now());
  changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                   [&] { return cuts[kind] != cutsBefore || collect(); });
  watching[kind].erase(since);
  if (cuts[kind] != cutsBefore)
    return {};
  return response(200, "Content-Type: application/json\r\n",
                  json::serialize(json::object{{"events", found}, {"as_of", revision}}));
}

std::string Store::answer(const Head &head) {
  const std::string json = "Content-Type: application/json\r\n";
  const std::string prefix = "/api/objects/";
  if (!head.target.starts_with(prefix))
    return response(404, json, "{}");
  const auto mark = head.target.find('?');
  std::string path = head.target.substr(prefix.size(), mark - prefix.size());
  std::map<std::string, std::string> query;
  for (auto at = mark; at != std::string::npos;) {
    const auto next = head.target.find('&', at + 1);
    const auto pair = head.target.substr(at + 1, next - at - 1);
    query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
    at = next;
  }
  const auto slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
  if (head.method == "GET" && query.count("watch") > 0)
    return watch(kind, std::strtoull(query["watch"].c_str(), nullptr, 10),
                 std::atoi(query["wait_ms"].c_str()));
  const std::lock_guard lock(mutex);
  auto &objects = kinds[kind];
  if (head.method == "GET" && name.empty()) {
    ++listed[kind];
    json::array items;
    for (auto &[it, object] : objects)
      items.push_back(describe(it, object));
    return response(
        200, json,
        json::serialize(json::object{{"items", items}, {"truncated", false}, {"as_of", revision}}));
  }
  if (head.method == "GET") {
    auto it = objects.find(name);
    return it == objects.end() ? response(404, json, "{}")
                               : response(200, json, json::serialize(describe(name, it->second)));
  }
  std::optional<std::uint64_t> expected;
  if (query.count("revision") > 0)
    expected = std::strtoull(query["revision"].c_str(), nullptr, 10);
  json::object body;
  if (head.method != "DELETE") {
    boost::system::error_code ec;
    auto value = json::parse(head.body, ec);
    if (ec || !value.is_object() || !value.get_object().contains("metadata"))
      return response(400, json, "{}");
    body = value.get_object();
    auto &meta = body["metadata"].as_object();
    if (meta.contains("revision"))
      expected = meta["revision"].to_number<std::uint64_t>();
    if (head.method == "POST")
      name = std::string(meta["name"].as_string());
  }
  auto it = objects.find(name);
  const bool exists = it != objects.end();
  if (head.method == "POST" && exists)
    return response(409, json, json::serialize(describe(name, it->second)));
  if (head.method != "POST" && !exists)
    return response(404, json, "{}");
  if (expected && exists && it->second.revision != *expected)
    return response(409, json, json::serialize(describe(name, it->second)));
  if (head.method == "DELETE") {
    erase(kind, name);
    return response(200, json, "{}");
  }
  change(kind, name, body["specification"]);
  return response(200, json, json::serialize(describe(name, objects[name])));
}

// ---- Engine ------------------------------------------------------------------------------------

Engine::Engine(Store &store, EngineOptions o)
    : store(store), options(std::move(o)), held(options.models),
      server(machineIp(options.machine), Port,
             [this](Channel &channel, const Head &head) { return handle(channel, head); }) {}

Engine::~Engine() {
  ended = true;
  up = false;
  ++life;
  if (beats.joinable())
    beats.join();
  server.stop();
}

void Engine::start() {
  born = unixMillis();
  ++life;
  up = true;
  server.start();
  report();
  beats = std::thread([this] { beat(); });
}

void Engine::crash() {
  up = false;
  ++life;
  server.stop();
}

void Engine::startAgain(const std::string &version) {
  {
    const std::lock_guard lock(mutex);
    options.version = version;
    born = unixMillis();
    sequence = 0;
    highestTerm = 0;
    held = options.models;
    loading.clear();
  }
  ++life;
  up = true;
  report(); // it is registered before it takes requests
  server.start();
}

void Engine::drain() {
  {
    const std::lock_guard lock(mutex);
    state = "draining";
  }
  report();
}

void Engine::exit() {
  up = false;
  ended = true;
  ++life;
  server.exitCleanly();
}

void Engine::leave() {
  exit();
  store.remove("servers", options.id);
}

void Engine::stopReporting() { up = false; }

/// Ends a load whose time has passed.
void Engine::settle() {
  if (loading.empty() || now() < loadedAt)
    return;
  note("server " + options.id + " holds " + loading);
  held.push_back(std::exchange(loading, {}));
}

void Engine::loseForGood() {
  ended = true;
  crash();
  std::thread([this] {
    sleepFor(3 * Heartbeat);
    store.remove("servers", options.id);
  }).detach();
}

json::object Engine::entry() {
  const std::lock_guard lock(mutex);
  settle();
  json::array models;
  for (auto &it : held)
    models.push_back(json::object{{"name", it}, {"version", 1}, {"adapters", json::array{}}});
  const double cold = std::max(0.0, coldUntil - now());
  json::object out{{"service", options.service},
                   {"address", machineIp(options.machine) + ":" + std::to_string(Port)},
                   {"zone", options.zone},
                   {"version", options.version},
                   {"slots", options.slots},
                   {"state", state},
                   {"cold_left_ms", static_cast<std::int64_t>(cold * 1000)},
                   {"sequence", sequence},
                   {"born", born}};
  if (options.hasModels) {
    out["stage"] = "both";
    out["models"] = models;
  }
  return out;
}

void Engine::report() {
  store.put("servers", options.id, entry());
  if (reported)
    reported();
}

void Engine::beat() {
  for (double next = now() + Heartbeat; !ended; next += Heartbeat) {
    while (!ended && now() < next)
      sleepFor(0.02);
    if (!ended && up)
      report();
  }
}

std::vector<Run> Engine::runs() {
  const std::lock_guard lock(mutex);
  return ran;
}

bool Engine::handleOrder(Channel &channel, const Head &head) {
  json::object body;
  boost::system::error_code ec;
  auto value = json::parse(head.body, ec);
  if (ec || !value.is_object())
    return channel.write(response(400, "", ""));
  body = value.get_object();
  const std::lock_guard lock(mutex);
  settle();
  if (!body.contains("holder") || !body.contains("fencing_token"))
    return channel.write(response(400, "", ""));
  const auto term = body["fencing_token"].to_number<std::uint64_t>();
  if (term < highestTerm)
    return channel.write(response(412, "", ""));
  highestTerm = term;
  if (body.contains("expect") && body["expect"].to_number<std::uint64_t>() != sequence)
    return channel.write(response(409, "", ""));
  if (!loading.empty())
    return channel.write(response(409, "", ""));
  const std::string model(body["model"].as_string());
  const auto it = std::find(held.begin(), held.end(), model);
  const bool load = body["operation"].as_string() == "loading";
  if (load == (it != held.end()))
    return channel.write(response(200, "", ""));
  ++sequence;
  note("order to " + options.id + ": " + (load ? "load " : "unload ") + model);
  if (load) {
    loading = model;
    loadedAt = now() + options.loadSeconds;
  } else {
    held.erase(it);
  }
  return channel.write(response(202, "", ""));
}

bool Engine::handle(Channel &channel, const Head &head) {
  const std::string instance = "Instance: " + options.id + "\r\n";
  const std::string id = head.field("Request-Id");
  const std::string echo = id.empty() ? "" : "Request-Id: " + id + "\r\n";
  const std::string expected = head.field("Expect-Instance");
  if (!expected.empty() && expected != options.id)
    return channel.write(response(421, instance + echo + "Not-Run: 1\r\n", ""));
  if (head.target == "/health")
    return channel.write(response(state == "ready" ? 200 : 503, instance, ""));
  if (head.target == "/api/report" && options.hasModels) {
    auto out = entry();
    {
      const std::lock_guard lock(mutex);
      out["busy"] = !loading.empty();
    }
    out["queued_requests"] = 0;
    out["running_requests"] = 0;
    out["kv_used"] = 0;
    out["kv_total"] = 232000;
    out["handles"] = 0;
    return channel.write(
        response(200, instance + "Content-Type: application/json\r\n", json::serialize(out)));
  }
  if (head.target == "/api/order" && options.hasModels)
    return handleOrder(channel, head);
  if (id.empty())
    return channel.write(response(400, instance + "Not-Run: 1\r\n", ""));
  if (options.hasModels) {
    const std::lock_guard lock(mutex);
    settle();
    if (std::find(held.begin(), held.end(), head.field("Model")) == held.end())
      return channel.write(response(421, echo + "Not-Run: 1\r\n", ""));
  }
  {
    const std::lock_guard lock(mutex);
    ran.push_back({id, now(), options.id, options.version, head.field("Tenant")});
  }
  if (head.target.starts_with(options.streamPrefix))
    return sendStream(channel, head);
  sleepFor(options.workSeconds);
  return channel.write(response(
      200, echo + "Server-Stamp: " + options.id + "\r\nKeep-Alive: timeout=30\r\n", "done " + id));
}

bool Engine::sendStream(Channel &channel, const Head &head) {
  const int lifeBefore = life;
  std::string version;
  {
    const std::lock_guard lock(mutex);
    version = options.version;
  }
  const std::string id = head.field("Request-Id");
  const int from = std::atoi(head.field("Last-Event-Id").c_str());
  note("run " + id + " at " + options.id + " version " + version + " from event " +
       std::to_string(from + 1));
  if (!channel.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + options.id +
                     "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int n = from + 1; n <= options.events; ++n) {
    sleepFor(options.eventPause);
    if (life != lifeBefore)
      return false;
    const std::string event =
        "id: " + std::to_string(n) + "\ndata: " + std::to_string(n) + " " + version + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (!channel.write(size + event + "\r\n"))
      return false;
  }
  return channel.write("0\r\n\r\n");
}

// ---- Host --------------------------------------------------------------------------------------

Host::Host(int machine, std::string n, std::string z, std::string moreSettings)
    : name(std::move(n)), address(machineIp(machine)), zone(std::move(z)),
      more(std::move(moreSettings)) {}

Host::~Host() {
  if (pid > 0)
    kill();
}

void Host::start() {
  const std::string settings = folder() + "/" + name + ".conf";
  const auto at = [&](int port) { return address + ":" + std::to_string(port); };
  std::ofstream(settings)
      << "node_name=" << name << "\nrole=host\nmachine_class=front\nserves=front,directory\n"
      << "ip_address=" << address << "\nzone=" << zone << "\nregion=r\n"
      << "listen_addresses.front=" << at(FrontPort) << "\nlisten_addresses.ready=" << at(ReadyPort)
      << "\nlisten_addresses.directory=" << at(8143) << "\ninternal_ports=7380,7395\n"
      << "first_start=" << (first ? "true" : "false") << "\n"
      << "limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\n"
      << "limits.file_descriptors=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
      << "discovery=platform\nentry=directory\nheartbeat_ms=1200\n"
      << "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n"
      << "bounds.grace_s=8\nbounds.lost_ms=200\nbounds.config_ms=2000\n"
      << "bounds.rollback_slack_ms=250\nbounds.outer_ms=5000\nbounds.budget_ratio=0.2\n"
      << "bounds.budget_window_s=10\nbounds.budget_slack=56\nbounds.recovery_s=12\n"
      << "bounds.pass_ms=120\nbounds.retry_s=0\nbounds.require_fencing=true\n"
      << "bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.ceiling_window_s=5\n"
      << "bounds.ceiling_over=1.1\nbounds.ttl_max_s=5\n"
      << "platform.address=" << machineIp(Store::Machine) << ":" << Store::Port
      << "\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
      << "platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
      << more;
  first = false;
  const std::string log = folder() + "/" + name + ".log";
  const std::string program = "target/bin/catkin-platformd";
  if (::access(program.c_str(), X_OK) != 0)
    fail(program + " has not been built");
  pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (descriptorLimit > 0) {
      const auto n = static_cast<rlim_t>(descriptorLimit);
      const rlimit limit{.rlim_cur = n, .rlim_max = n};
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::close(out);
    ::setenv("CATKINTHREAD_NODE_FILE", settings.c_str(), 1);
    ::execl(program.c_str(), program.c_str(), "--metrics-port", "9464", nullptr);
    ::_exit(127);
  }
  startedAt = now();
  note("host " + name + " started");
}

void Host::signal(int number) {
  if (pid > 0)
    ::kill(pid, number);
}

void Host::kill() {
  signal(SIGKILL);
  wait();
}

void Host::wait() {
  if (pid > 0)
    ::waitpid(pid, nullptr, 0);
  pid = -1;
}

bool Host::hasEnded() {
  if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid)
    pid = -1;
  return pid < 0;
}

bool Host::isReady() {
  auto channel = Channel::connect(address, ReadyPort, 0.5);
  Head head;
  return channel &&
         channel->write("GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
         channel->readHead(head, now() + 1) && head.status == 200;
}

void waitUntilReady(std::vector<std::unique_ptr<Host>> &hosts, double seconds) {
  const double end = now() + seconds;
  for (auto &it : hosts) {
    while (!it->isReady()) {
      if (it->hasEnded())
        fail(it->name + " has ended");
      if (now() > end)
        fail(it->name + " does not become ready");
      sleepFor(0.05);
    }
  }
}

} // namespace rig
