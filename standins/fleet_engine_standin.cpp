#include "fleet_standins_p.h"

#include "fleet_standin_response_p.h"
#include "json_p.h"
#include "real_env_p.h"
#include "standin_p.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>

namespace catkin::platform {

namespace {

using namespace std::chrono_literals;
using standin::sleepFor;

constexpr std::uint64_t FirstIncarnation = 1'700'000'000'000;

std::uint64_t unixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

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
  return {{"service", StandinModelService},
          {"address", address.toString()},
          {"zone", "z"},
          {"version", version},
          {"slots", 8},
          {"state", state},
          {"models", held},
          {"sequence", acceptedOrders},
          {"born", incarnation},
          {"busy", false}};
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
  peakMegabytes =
      std::max(peakMegabytes, static_cast<double>(models.size()) * StandinModelMegabytes);
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

json::object StandinPlainEndpoint::registryEntry() const {
  return {{"service", StandinPlainService},
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
    requestsById[requestId] = request;
    co_await sleepFor(workTime);
    response = makeResponse(200);
    response.body() = "done " + requestId + std::string(answerBytes, 'x');
    response.set("Server-Stamp", id);
  }
  response.set("Request-Id", requestId);
  limit.announce(response);
  co_await exchange.respond(std::move(response));
}

} // namespace catkin::platform
