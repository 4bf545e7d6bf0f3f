#include "platform_p.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace catkin::standin {

namespace {

constexpr std::string_view ObjectsPath = "/objects/";
constexpr auto MaxWatchWait = std::chrono::seconds(60);
constexpr auto CallerCheckInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxRequestBytes = 2 * ObjectStore::MaxValueBytes;
constexpr std::uint64_t InvalidVersion = ~0ULL;

json::object toJson(const StoreObject &object) {
  return {{"key", object.key}, {"version", object.version}, {"value", object.value}};
}

json::object toJson(const ListedNode &node) {
  return {{"kind", toString(node.kind)},          {"name", node.name},
          {"service", node.service.value},        {"address", node.address.toString()},
          {"data_centre", node.dataCentre.value}, {"liveness", toString(node.liveness)}};
}

std::optional<ListedNode> parseNode(const json::value &value, std::string &error) {
  JsonFields fields(value.is_object() ? json::serialize(value) : "");
  ListedNode node;
  const auto kind = parseEnum<ListedKind>(fields.text("kind"));
  const auto liveness = parseEnum<Liveness>(fields.text("liveness", "live"));
  const auto address = parseAddress(fields.text("address"));
  node.name = fields.text("name");
  node.service = ServiceName(fields.text("service"));
  node.dataCentre = DataCentreName(fields.text("data_centre"));
  error = fields.error();
  if (error.empty() && (!kind || !liveness || !address || node.name.empty()))
    error = "a node needs kind, name, address as ip:port, and a valid liveness";
  if (!error.empty())
    return std::nullopt;
  node.kind = *kind;
  node.liveness = *liveness;
  node.address = *address;
  return node;
}

/// Parses a version in quotes, such as "12", from a header. Returns InvalidVersion for another
/// form.
std::uint64_t parseVersion(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"')
    return InvalidVersion;
  return numberOr(std::string(text.substr(1, text.size() - 2)), InvalidVersion);
}

/// Version that a write expects, from If-Match or If-None-Match; empty if neither is valid.
std::optional<std::uint64_t> expectedVersion(const HttpRequest &request) {
  if (request[http::field::if_none_match] == "*")
    return 0;
  const auto text = request[http::field::if_match];
  const auto version = parseVersion({text.data(), text.size()});
  return version == InvalidVersion ? std::nullopt : std::optional(version);
}

bool isWrite(CallKind kind) { return kind == CallKind::Put || kind == CallKind::Erase; }

std::map<std::string, ListedNode> indexByName(const std::vector<ListedNode> &nodes) {
  std::map<std::string, ListedNode> map;
  for (const auto &it : nodes)
    map[it.name] = it;
  return map;
}

} // namespace

std::optional<std::vector<ListedNode>> parseNodes(const json::object &body, std::string &error) {
  const auto *list = body.if_contains("nodes");
  if (!list || !list->is_array()) {
    error = "nodes must be an array";
    return std::nullopt;
  }
  std::vector<ListedNode> nodes;
  nodes.reserve(list->as_array().size());
  for (const auto &it : list->as_array()) {
    auto node = parseNode(it, error);
    if (!node)
      return std::nullopt;
    nodes.push_back(std::move(*node));
  }
  return nodes;
}

PlatformStandin::PlatformStandin(asio::any_io_executor executor, const PlatformOptions &options)
    : Standin(std::move(executor), {.listen = options.listen, .maxBodyBytes = MaxRequestBytes}),
      writeBudget(options.writesPerSecond), readBudget(options.readsPerSecond),
      nodes(options.nodeLag, indexByName(options.nodes)) {}

asio::awaitable<void> PlatformStandin::handle(HttpExchange &exchange, const Target &target) {
  using P = PlatformStandin;
  static constexpr std::array<Route<P>, 8> Routes{{
      {http::verb::get, "/objects", &P::listObjects},
      {http::verb::get, ObjectsPath, &P::getObject},
      {http::verb::put, ObjectsPath, &P::putObject},
      {http::verb::delete_, ObjectsPath, &P::eraseObject},
      {http::verb::get, "/nodes", &P::getNodes},
      {http::verb::post, "/control/faults", &P::setFaults},
      {http::verb::post, "/control/nodes", &P::setNodes},
      {http::verb::get, "/control/stats", &P::getStats},
  }};
  co_await runRoute(*this, Routes, exchange, target);
}

/// Applies the simulated outage and delay and the call limit. Returns false if it has responded or
/// aborted the connection.
asio::awaitable<bool> PlatformStandin::admit(HttpExchange &exchange, CallKind kind) {
  ++counter(kind);
  if (!faults.down && faults.delay > Duration::zero())
    co_await sleepFor(faults.delay);
  if (faults.down) {
    exchange.abort();
    co_return false;
  }
  if ((isWrite(kind) ? writeBudget : readBudget).tryConsume(now()))
    co_return true;
  ++counter(CallKind::Refused);
  co_await answerProblem(exchange, 429, "over the call budget", std::chrono::seconds(1));
  co_return false;
}

asio::awaitable<void> PlatformStandin::getObject(HttpExchange &exchange, const Target &target) {
  const std::string key = target.path.substr(ObjectsPath.size());
  const auto after = target.query.find("after");
  const bool proceed =
      co_await admit(exchange, after == target.query.end() ? CallKind::Get : CallKind::Watch);
  if (!proceed)
    co_return;
  if (after != target.query.end()) {
    const auto version = numberOr(after->second, InvalidVersion);
    const auto wait = target.query.find("wait_ms");
    const auto millis = wait == target.query.end() ? 0 : numberOr(wait->second, InvalidVersion);
    if (version == InvalidVersion || millis == InvalidVersion) {
      co_await answerProblem(exchange, 400, "after and wait_ms must be whole numbers");
      co_return;
    }
    const auto limit = static_cast<std::uint64_t>(toMillis(MaxWatchWait));
    co_await watch(exchange, key, version,
                   std::chrono::milliseconds(static_cast<std::int64_t>(std::min(millis, limit))));
    co_return;
  }
  const auto object = store.get(key);
  if (object)
    co_await answerJson(exchange, toJson(*object));
  else
    co_await answerProblem(exchange, 404, "no such object");
}

/// Responds when the version exceeds `after`, or with 304 after `wait`. A deleted object counts as
/// unchanged.
asio::awaitable<void> PlatformStandin::watch(HttpExchange &exchange, const std::string &key,
                                             std::uint64_t after, Duration wait) {
  const Instant end = now() + wait;
  ++waitingWatches;
  auto object = store.get(key);
  while ((!object || object->version <= after) && now() < end && !faults.down &&
         !exchange.isCallerGone()) {
    co_await watchers.wait(key, std::min<Duration>(end - now(), CallerCheckInterval));
    object = store.get(key);
  }
  --waitingWatches;
  if (faults.down)
    exchange.abort();
  else if (object && object->version > after)
    co_await answerJson(exchange, toJson(*object));
  else
    co_await exchange.respond(HttpResponse(http::status::not_modified, 11));
}

asio::awaitable<void> PlatformStandin::listObjects(HttpExchange &exchange, const Target &target) {
  const bool proceed = co_await admit(exchange, CallKind::List);
  if (!proceed)
    co_return;
  const auto prefix = target.query.find("prefix");
  json::array items;
  for (const auto &it : store.list(prefix == target.query.end() ? "" : prefix->second))
    items.push_back(toJson(it));
  const json::object body{{"items", std::move(items)}};
  co_await answerJson(exchange, body);
}

asio::awaitable<void> PlatformStandin::putObject(HttpExchange &exchange, const Target &target) {
  const bool proceed = co_await admit(exchange, CallKind::Put);
  if (!proceed)
    co_return;
  const std::string key = target.path.substr(ObjectsPath.size());
  const auto expected = expectedVersion(exchange.request());
  if (!expected) {
    co_await answerProblem(exchange, 428, "needs If-Match: \"<version>\" or If-None-Match: *");
    co_return;
  }
  const auto result = store.put(key, exchange.request().body(), *expected);
  if (result.first == StoreStatus::Ok)
    watchers.notify(key);
  co_await answerWriteResult(exchange, key, result);
}

asio::awaitable<void> PlatformStandin::eraseObject(HttpExchange &exchange, const Target &target) {
  const bool proceed = co_await admit(exchange, CallKind::Erase);
  if (!proceed)
    co_return;
  const std::string key = target.path.substr(ObjectsPath.size());
  const auto expected = expectedVersion(exchange.request());
  if (!expected || *expected == 0) {
    co_await answerProblem(exchange, 428, "needs If-Match: \"<version>\"");
    co_return;
  }
  co_await answerWriteResult(exchange, key, store.erase(key, *expected));
}

asio::awaitable<void>
PlatformStandin::answerWriteResult(HttpExchange &exchange, const std::string &key,
                                   std::pair<StoreStatus, std::uint64_t> result) {
  if (shouldLoseReply()) {
    ++counter(CallKind::LostReply);
    exchange.abort();
    co_return;
  }
  switch (result.first) {
  case StoreStatus::Ok: {
    const json::object body{{"key", key}, {"version", result.second}};
    co_await answerJson(exchange, body);
  } break;
  case StoreStatus::Conflict: {
    const json::object body{{"version", result.second}};
    co_await answerJson(exchange, body, 412);
  } break;
  case StoreStatus::NotFound:
    co_await answerProblem(exchange, 404, "no such object");
    break;
  default:
    co_await answerProblem(exchange, 413, "values are limited to 1 MB");
  }
}

/// Whether to drop the response to a write that has been applied.
bool PlatformStandin::shouldLoseReply() {
  return faults.loseReplies > 0 &&
         std::uniform_real_distribution<double>()(random) < faults.loseReplies;
}

asio::awaitable<void> PlatformStandin::getNodes(HttpExchange &exchange, const Target &) {
  const bool proceed = co_await admit(exchange, CallKind::Nodes);
  if (!proceed)
    co_return;
  json::array list;
  for (const auto &it : nodes.read(now()))
    list.push_back(toJson(it.second));
  const json::object body{{"nodes", std::move(list)}};
  co_await answerJson(exchange, body);
}

asio::awaitable<void> PlatformStandin::setFaults(HttpExchange &exchange, const Target &) {
  JsonFields fields(exchange.request().body());
  Faults next;
  next.down = fields.flag("down", faults.down);
  next.delay = std::chrono::milliseconds(
      fields.count("delay_ms", static_cast<std::uint64_t>(toMillis(faults.delay))));
  next.loseReplies = fields.number("lose_replies", faults.loseReplies);
  const auto seed = fields.count("seed", 0);
  if (!fields.error().empty()) {
    co_await answerProblem(exchange, 400, fields.error());
    co_return;
  }
  faults = next;
  if (fields.object().contains("seed"))
    random.seed(seed);
  watchers.notifyAll();
  const json::object body{{"down", faults.down}};
  co_await answerJson(exchange, body);
}

asio::awaitable<void> PlatformStandin::setNodes(HttpExchange &exchange, const Target &) {
  JsonFields fields(exchange.request().body());
  std::string error = fields.error();
  std::optional<std::vector<ListedNode>> changes;
  if (error.empty())
    changes = parseNodes(fields.object(), error);
  if (!changes) {
    co_await answerProblem(exchange, 400, error);
    co_return;
  }
  NodeMap next = nodes.latest();
  for (const auto &it : *changes)
    next[it.name] = it;
  const auto size = next.size();
  nodes.set(now(), std::move(next));
  const json::object body{{"nodes", size}};
  co_await answerJson(exchange, body);
}

asio::awaitable<void> PlatformStandin::getStats(HttpExchange &exchange, const Target &) {
  json::object body;
  for (std::size_t i = 0; i < counts.size(); ++i)
    body[toString(static_cast<CallKind>(i))] = counts[i];
  body["waiting_watches"] = waitingWatches;
  body["objects"] = store.size();
  co_await answerJson(exchange, body);
}

} // namespace catkin::standin
