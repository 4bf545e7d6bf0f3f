#include "process_cluster_p.h"

#include "lists_p.h"
#include "model_text_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace catkin {

namespace json = boost::json;

namespace {

using namespace std::chrono_literals;

constexpr auto WatchdogTime = 60s;
constexpr auto PollInterval = 50ms;
constexpr HttpTimeouts CallTimeouts{.connect = 1s, .silence = 40s, .total = 40s};
constexpr int PortsPerCluster = 50;

const char *const TestPlan = "drivers";
const char *const OperatorKey = "process-test-operator-key";

std::pair<std::string, std::string> bearer(const std::string &key) {
  return {"Authorization", "Bearer " + key};
}

json::value parseBody(const HttpResult &result) {
  boost::system::error_code ec;
  auto value = json::parse(result.response.body(), ec);
  return ec ? json::value() : value;
}

/// Returns the number at a JSON pointer; -1 if there is none.
std::int64_t numberAt(const json::value &value, std::string_view pointer) {
  boost::system::error_code ec;
  const auto *found = value.find_pointer(pointer, ec);
  return found && found->is_number() ? found->to_number<std::int64_t>() : -1;
}

} // namespace

std::string ProcessCluster::plansDocument(int concurrency) {
  return json::serialize(json::object{
      {"plans",
       json::array{json::object{{"name", TestPlan},
                                {"keys", json::array{hashKey(ProcessCluster::Key)}},
                                {"priority", "normal"},
                                {"grant", json::object{{"models", 6},
                                                       {"concurrency", concurrency},
                                                       {"tokens_per_second", 100000},
                                                       {"accelerator_bytes", 48'000'000'000}}}}}}});
}

namespace {

json::object modelEntry(const char *name) {
  return {{"name", name}, {"bytes", 6'000'000'000}, {"version", "1"}};
}

std::string usesDocument() {
  return json::serialize(json::object{
      {"models",
       json::array{modelEntry(ProcessCluster::Model), modelEntry(ProcessCluster::SecondModel)}},
      {"services",
       json::array{json::object{{"name", ProcessCluster::Service}, {"idempotent", false}}}},
      {"uses", json::array{json::object{
                   {"plan", TestPlan},
                   {"models", json::array{ProcessCluster::Model, ProcessCluster::SecondModel}},
                   {"services", json::array{ProcessCluster::Service}}}}}});
}

json::object nodeEntry(const char *kind, const std::string &name, const char *service,
                       const Address &address) {
  return {{"kind", kind},
          {"name", name},
          {"service", service},
          {"address", address.toString()},
          {"data_centre", "buda-a"},
          {"liveness", "live"}};
}

/// Runs in the child process. Uses only calls that are safe after fork in a multithreaded program.
[[noreturn]] void runChild(const char *log, char *const *argv) {
  prctl(PR_SET_PDEATHSIG, SIGKILL); // kills the child when the test is killed
  const int file = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file >= 0) {
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
  }
  execv(argv[0], argv);
  _exit(127);
}

} // namespace

HttpResult callOnce(const Address &to, const Call &call) {
  HttpRequest request;
  request.method_string(call.method);
  request.target(call.target);
  for (const auto &it : call.headers)
    request.insert(it.first, it.second); // also repeated headers
  if (!call.body.empty())
    request.set(http::field::content_type, "application/json");
  request.body() = call.body;
  request.prepare_payload();
  asio::io_context context(1);
  HttpClient client(context.get_executor());
  HttpResult result;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        result = co_await client.request(to, request, CallTimeouts);
      },
      asio::detached);
  context.run();
  return result;
}

unsigned statusOf(const HttpResult &result) {
  return result.status == HttpTransferStatus::Ok ? result.response.result_int() : 0;
}

std::string memberOf(const HttpResult &result, std::string_view name) {
  const auto body = parseBody(result);
  const auto *object = body.if_object();
  const auto *found = object ? object->if_contains(name) : nullptr;
  return found && found->is_string() ? std::string(found->as_string()) : std::string();
}

bool pollUntil(const std::function<bool()> &condition) {
  const auto end = std::chrono::steady_clock::now() + WatchdogTime;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

std::string makeTemporaryDirectory(const std::string &prefix) {
  std::string path = ::testing::TempDir() + prefix + "XXXXXX";
  if (!::mkdtemp(path.data()))
    throw std::runtime_error("cannot create " + path);
  return path;
}

std::string programPath(const std::string &name) {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() / name;
}

std::string describeEnd(pid_t pid, const std::string &name, const std::string &log) {
  int state = 0;
  if (waitpid(pid, &state, WNOHANG) != pid)
    return {};
  std::ifstream in(log);
  std::string line;
  std::string last;
  while (std::getline(in, line))
    if (!line.empty())
      last = line;
  return name + " has ended: " + last;
}

bool isWholeAnswer(const HttpResult &result, const std::string &model, const std::string &prompt,
                   unsigned tokens) {
  if (statusOf(result) != 200)
    return false;
  const auto body = parseBody(result);
  boost::system::error_code ec;
  const auto *text = body.find_pointer("/choices/0/text", ec);
  return text && text->is_string() && text->as_string() == answerText(model, prompt, tokens);
}

ProcessCluster::ProcessCluster(ProcessClusterOptions o)
    : options(std::move(o)), ports(PortsPerCluster),
      directory(makeTemporaryDirectory("catkin-processes-")) {
  setenv("CATKIN_OPERATOR_KEY", OperatorKey, 1);
  startAll();
}

ProcessCluster::~ProcessCluster() {
  for (const auto &it : children)
    kill(it.second, SIGKILL);
  for (const auto &it : children)
    waitpid(it.second, nullptr, 0);
  if (::testing::Test::HasFailure())
    std::fprintf(stderr, "logs of the processes: %s\n", directory.c_str());
  else
    std::filesystem::remove_all(directory);
}

Address ProcessCluster::addressAt(int offset) const {
  return {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(ports.first() + offset)};
}

void ProcessCluster::start(const std::string &name, const std::string &program,
                           std::vector<std::string> flags) {
  flags.insert(flags.begin(), programPath(program));
  std::vector<char *> argv;
  argv.reserve(flags.size() + 1);
  for (auto &it : flags)
    argv.push_back(it.data());
  argv.push_back(nullptr);
  const auto log = logPath(name);
  const pid_t pid = fork();
  if (pid == 0)
    runChild(log.c_str(), argv.data());
  children[name] = pid;
}

void ProcessCluster::startStandins() {
  start("platform", "catkin-platform",
        {"--listen", platformAddress().toString(), "--node-lag-ms", "200"});
  start("weights", "catkin-weights",
        {"--listen", addressAt(1).toString(), "--bytes-per-second", "2e9"});
  start("service", "catkin-service", {"--listen", serviceAddress().toString(), "--name", Service});
  for (int i = 0; i < options.engines; ++i) {
    // Engines count overcommits instead of refusing them: a refusal would hide a planner that
    // relies on it.
    std::vector<std::string> flags{"--name",
                                   "engine-" + std::to_string(i),
                                   "--listen",
                                   engineAddress(i).toString(),
                                   "--weights",
                                   addressAt(1).toString(),
                                   "--overcommit-faults"};
    flags.insert(flags.end(), options.engineFlags.begin(), options.engineFlags.end());
    start("engine-" + std::to_string(i), "catkin-engine", flags);
  }
}

bool ProcessCluster::addNodes() {
  json::array nodes;
  for (int i = 0; i < options.engines; ++i)
    nodes.push_back(nodeEntry("engine", "engine-" + std::to_string(i), "", engineAddress(i)));
  nodes.push_back(nodeEntry("service", "deliveries-1", Service, serviceAddress()));
  for (int i = 0; i < options.hosts; ++i)
    nodes.push_back(nodeEntry("host", "host-" + std::to_string(i), "", hostAddress(i)));
  return control(platformAddress(), "/control/nodes",
                 json::serialize(json::object{{"nodes", nodes}}));
}

HttpResult ProcessCluster::operatorCall(int n, Call call) const {
  call.headers.push_back(bearer(OperatorKey));
  return callOnce(operatorAddress(n), call);
}

std::string ProcessCluster::revisionAt(int n, const std::string &list) const {
  const auto result = operatorCall(n, {.target = "/operator/v1/lists/" + list});
  // The list does not exist before the first edit.
  return statusOf(result) == 200 ? std::string(result.response[http::field::etag]) : "\"0\"";
}

HttpResult ProcessCluster::putList(int n, const std::string &list, const std::string &revision,
                                   const std::string &document) const {
  return operatorCall(n, {.method = "PUT",
                          .target = "/operator/v1/lists/" + list,
                          .body = document,
                          .headers = {{"If-Match", revision}}});
}

std::int64_t ProcessCluster::concurrencyAt(int n) const {
  const auto list = operatorCall(n, {.target = "/operator/v1/lists/plans"});
  return numberAt(parseBody(list), "/plans/0/grant/concurrency");
}

bool ProcessCluster::applyList(const std::string &list, const std::string &document) {
  return pollWhileAllRun(
      [&] { return statusOf(putList(0, list, revisionAt(0, list), document)) == 200; });
}

bool ProcessCluster::pollWhileAllRun(const std::function<bool()> &condition) {
  bool holds = false;
  pollUntil([&] {
    noteEndedProgram();
    holds = error.empty() && condition();
    return holds || !error.empty();
  });
  return holds;
}

void ProcessCluster::noteEndedProgram() {
  for (auto it = children.begin(); it != children.end() && error.empty();) {
    error = describeEnd(it->second, it->first, logPath(it->first));
    it = error.empty() ? std::next(it) : children.erase(it);
  }
}

void ProcessCluster::startAll() {
  startStandins();
  bool done = pollWhileAllRun([&] { return addNodes(); });
  if (!done)
    return fail("the platform did not start");
  for (int i = 0; i < options.hosts; ++i)
    startHost(i);
  done = applyList("plans", plansDocument(60)) && applyList("uses", usesDocument());
  if (!done)
    return fail("the lists were not accepted");
  for (int i = 0; i < options.hosts; ++i) {
    done = pollWhileAllRun([&] { return isHostReady(i); });
    if (!done)
      return fail("host " + std::to_string(i) + " did not become ready");
  }
  // The planner refuses cold requests until it has read the list of nodes and claimed the engines.
  done = pollWhileAllRun([&] { return knownEngineCount() == options.engines; });
  if (!done)
    fail("the planner did not claim the engines");
}

void ProcessCluster::fail(const std::string &reason) {
  if (error.empty()) // a program that has ended is the better reason
    error = reason;
}

int ProcessCluster::knownEngineCount() const {
  const auto body = parseBody(operatorCall(0, {.target = "/operator/v1/endpoints"}));
  boost::system::error_code ec;
  const auto *list = body.find_pointer("/endpoints", ec);
  return list && list->is_array() ? static_cast<int>(list->as_array().size()) : -1;
}

void ProcessCluster::startHost(int n) {
  std::string peers;
  for (int i = 0; i < options.hosts; ++i)
    if (i != n)
      peers += (peers.empty() ? "" : ",") + addressAt(30 + i).toString();
  const auto name = "host-" + std::to_string(n);
  std::vector<std::string> flags{"--host",
                                 name,
                                 "--data-centre",
                                 "buda-a",
                                 "--listen",
                                 hostAddress(n).toString(),
                                 "--peer-listen",
                                 addressAt(30 + n).toString(),
                                 "--operator-listen",
                                 operatorAddress(n).toString(),
                                 "--platform",
                                 platformAddress().toString(),
                                 "--peers",
                                 peers};
  flags.insert(flags.end(), options.hostFlags.begin(), options.hostFlags.end());
  start(name, "catkind", flags);
}

void ProcessCluster::signalHost(int n, int signal) {
  const auto found = children.find("host-" + std::to_string(n));
  if (found != children.end())
    kill(found->second, signal);
}

int ProcessCluster::waitForHostExit(int n) {
  const auto found = children.find("host-" + std::to_string(n));
  int state = 0;
  if (found == children.end() ||
      !pollUntil([&] { return waitpid(found->second, &state, WNOHANG) == found->second; }))
    return -1;
  children.erase(found);
  return WIFEXITED(state) ? WEXITSTATUS(state) : 128 + WTERMSIG(state);
}

bool ProcessCluster::isHostReady(int n) const {
  return statusOf(callOnce(hostAddress(n), {.target = "/readyz"})) == 200;
}

namespace {

const char *const LeaseTarget = "/objects/planner/lease";

/// Returns the JSON value of a platform object; null if there is none.
json::value readRecord(const Address &platform, const std::string &target) {
  const auto result = callOnce(platform, {.target = target});
  boost::system::error_code ec;
  auto value = json::parse(memberOf(result, "value"), ec);
  return ec ? json::value() : value;
}

/// Returns the number of the host that a member of a record names; -1 if it names none.
int hostIndexIn(const json::value &record, std::string_view member, int hosts) {
  const auto *object = record.if_object();
  const auto *name = object ? object->if_contains(member) : nullptr;
  for (int i = 0; name && i < hosts; ++i)
    if (*name == json::value("host-" + std::to_string(i)))
      return i;
  return -1;
}

} // namespace

int ProcessCluster::planner() const {
  return hostIndexIn(readRecord(platformAddress(), LeaseTarget), "holder", options.hosts);
}

int ProcessCluster::callClaimant(const std::string &key) const {
  const auto hash =
      hashKey(std::string(TestPlan) + '\0' + key).substr(std::string_view("sha256:").size());
  const auto target = std::string("/objects/calls/") + Service + "/" + hash;
  return hostIndexIn(readRecord(platformAddress(), target), "host", options.hosts);
}

std::uint64_t ProcessCluster::leaseTerm() const {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, numberAt(readRecord(platformAddress(), LeaseTarget), "/term")));
}

std::vector<int> ProcessCluster::enginesWith(const std::string &model) const {
  std::vector<int> found;
  for (int i = 0; i < options.engines; ++i) {
    const auto status = parseBody(callOnce(engineAddress(i), {.target = "/engine/status"}));
    boost::system::error_code ec;
    const auto *models = status.find_pointer("/models", ec);
    for (const auto &it : models && models->is_array() ? models->as_array() : json::array())
      if (it.at("model") == json::value(model))
        found.push_back(i);
  }
  return found;
}

std::int64_t ProcessCluster::runningEngineRequests() const {
  std::int64_t sum = 0;
  for (int i = 0; i < options.engines; ++i)
    sum +=
        numberAt(parseBody(callOnce(engineAddress(i), {.target = "/engine/status"})), "/running");
  return sum;
}

std::int64_t ProcessCluster::engineFaultCount(const std::string &counter) const {
  std::int64_t sum = 0;
  for (int i = 0; i < options.engines; ++i) {
    const auto n = numberAt(parseBody(callOnce(engineAddress(i), {.target = "/engine/faults"})),
                            "/" + counter);
    if (n < 0)
      return -1;
    sum += n;
  }
  return sum;
}

std::int64_t ProcessCluster::serviceRunCount(const std::string &key) const {
  const auto body = parseBody(callOnce(serviceAddress(), {.target = "/control/runs"}));
  if (numberAt(body, "/total") < 0)
    return -1;
  return std::max<std::int64_t>(0, numberAt(body, "/runs/" + key));
}

bool ProcessCluster::control(const Address &to, const std::string &path, const std::string &body) {
  return statusOf(callOnce(to, {.method = "POST", .target = path, .body = body})) == 200;
}

HttpResult ProcessCluster::requestCompletion(int n, const std::string &model,
                                             const std::string &prompt, unsigned tokens,
                                             bool stream) const {
  const auto body = json::serialize(json::object{
      {"model", model}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}});
  return callOnce(hostAddress(n), {.method = "POST",
                                   .target = "/v1/completions",
                                   .body = body,
                                   .headers = {bearer(Key), {"X-Deadline-Ms", "30000"}}});
}

HttpResult ProcessCluster::requestConfirm(int n, const std::string &key,
                                          const std::string &body) const {
  return callOnce(hostAddress(n),
                  {.method = "POST",
                   .target = std::string("/v1/services/") + Service + "/confirm",
                   .body = body,
                   .headers = {bearer(Key), {"X-Deadline-Ms", "30000"}, {"Idempotency-Key", key}}});
}

} // namespace catkin
