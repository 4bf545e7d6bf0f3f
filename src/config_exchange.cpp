#include "config_exchange_p.h"

#include "config.h"
#include "json_p.h"

#include <utility>

namespace catkin {

namespace {

constexpr auto Path = "/configuration";
// Further hosts are sent to another holder: many may be behind when only one host is known to be
// ahead, and a large object takes its link seconds for each.
constexpr int MaxServed = 4;

constexpr CallLimits Limits{.silence = config::FleetConfigSilenceTimeout,
                            .total = config::FleetConfigSilenceTimeout + config::FleetTransferTime,
                            .maxBodyBytes = config::FleetStorePageBytes};

std::optional<FeedObject> readAnswer(const HttpResult &result) {
  const bool found = result.status == HttpStatus::Ok && result.response.result_int() == 200;
  return found ? parseStored(result.response.body()) : std::nullopt;
}

} // namespace

std::string storedText(const FeedObject &object) {
  return json::serialize(json::object{
      {"name", object.name}, {"revision", object.revision}, {"content", object.content}});
}

std::optional<FeedObject> parseStored(std::string_view text) {
  json::object body;
  if (!parseObject(text, body))
    return std::nullopt;
  JsonReader in(body);
  FeedObject object{.name = in.text("name"), .revision = in.unsignedInt("revision")};
  auto *content = body.if_contains("content");
  if (!in.ok || object.name.empty() || !content)
    return std::nullopt;
  object.content = std::move(*content);
  return object;
}

ConfigExchange::ConfigExchange(const asio::any_io_executor &executor, const Address &listen,
                               std::function<const std::string &()> current)
    : current(std::move(current)),
      server(executor, {.listen = listen}, [this](HttpExchange &it) { return handle(it); }),
      caller(executor, config::FleetConnectTimeout) {}

std::string ConfigExchange::start() { return server.start(); }

asio::awaitable<void> ConfigExchange::handle(HttpExchange &exchange) {
  const std::string text = current(); // a copy, since a newer one may come while it is sent
  HttpResponse response = jsonResponse("{}");
  if (exchange.request().target() != Path || text.empty())
    response.result(http::status::not_found);
  else if (serving >= MaxServed)
    response.result(http::status::service_unavailable);
  else
    response.body() = text;
  ++serving;
  const bool delivered = co_await exchange.respond(std::move(response));
  (void)delivered; // a host that has gone asks again
  --serving;
}

void ConfigExchange::fetch(const Address &from, Done done) {
  HttpRequest request = makeRequest(http::verb::get, Path);
  request.keep_alive(false); // seldom needed, and a kept connection could have gone silent
  caller.call(from, std::move(request), Limits,
              [done = std::move(done)](const HttpResult &result) { done(readAnswer(result)); });
}

} // namespace catkin
