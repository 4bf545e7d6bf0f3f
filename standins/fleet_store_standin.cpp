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

} // namespace

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

asio::awaitable<std::optional<HttpResponse>>
StandinStore::watch(const std::string &kind, std::uint64_t from, Duration wait) {
  // `as_of` must not be later than the events already examined: an event that arrives during the
  // last pause would be skipped by the next watch.
  std::uint64_t seen = from;
  const std::uint64_t eraBefore = era;
  const int cutsBefore = watchCuts[kind];
  for (Duration waited{}; waited <= wait; waited += 10ms) {
    if (watchCuts[kind] != cutsBefore)
      co_return std::nullopt;
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
    else if (target.query.count("watch") > 0) {
      auto answer =
          co_await watch(kind, standin::numberOr(target.query["watch"], 0),
                         std::chrono::milliseconds(standin::numberOr(target.query["wait_ms"], 0)));
      if (!answer) {
        exchange.abort();
        co_return;
      }
      response = std::move(*answer);
    } else if (name.empty())
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

} // namespace catkin::platform
