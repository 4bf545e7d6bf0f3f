#include "config_exchange_p.h"

#include "config.h"
#include "json_p.h"

#include <utility>

namespace catkin {

namespace {

constexpr auto ConfigPath = "/configuration";
// Further requests are refused so that those hosts ask another one: many hosts may be out of date
// while only one is known to have the new version, and sending a large object to each of them takes
// seconds on that host's link.
constexpr int MaxActiveResponses = 4;

constexpr CallLimits FetchLimits{.silence = config::FleetConfigSilenceTimeout,
                                 .total =
                                     config::FleetConfigSilenceTimeout + config::FleetTransferTime,
                                 .maxBodyBytes = config::FleetStorePageBytes};

std::optional<FeedObject> readAnswer(const HttpResult &result) {
  const bool found = result.status == HttpTransferStatus::Ok && result.response.result_int() == 200;
  return found ? parseConfigObject(result.response.body()) : std::nullopt;
}

} // namespace

std::string formatConfigObject(const FeedObject &object) {
  return json::serialize(json::object{
      {"name", object.name}, {"revision", object.revision.number}, {"content", object.content}});
}

std::optional<FeedObject> parseConfigObject(std::string_view text) {
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
                               std::function<const std::string &()> currentText)
    : currentText(std::move(currentText)),
      server(executor, {.listen = listen}, [this](HttpExchange &it) { return handle(it); }),
      caller(executor, config::FleetConnectTimeout) {}

std::string ConfigExchange::start() { return server.start(); }

asio::awaitable<void> ConfigExchange::handle(HttpExchange &exchange) {
  const std::string text = currentText(); // copied, since the text may be replaced while it is sent
  HttpResponse response = jsonResponse("{}");
  if (exchange.request().target() != ConfigPath || text.empty())
    response.result(http::status::not_found);
  else if (activeResponses >= MaxActiveResponses)
    response.result(http::status::service_unavailable);
  else
    response.body() = text;
  ++activeResponses;
  const bool delivered = co_await exchange.respond(std::move(response));
  (void)delivered; // a host whose connection broke asks again
  --activeResponses;
}

void ConfigExchange::fetch(const Address &from, Done done) {
  HttpRequest request = makeRequest(http::verb::get, ConfigPath);
  request.keep_alive(false); // calls are rare, and an idle connection may have died unnoticed
  caller.call(from, std::move(request), FetchLimits,
              [done = std::move(done)](const HttpResult &result) { done(readAnswer(result)); });
}

} // namespace catkin
