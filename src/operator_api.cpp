#include "operator_api_p.h"

#include "async_p.h"
#include "json_p.h"
#include "operator_state_p.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace catkin {

namespace {

constexpr std::string_view Prefix = "/operator/v1/";
constexpr std::size_t MaxDecisionsShown = 100;

using Reply = asio::awaitable<HttpResponse>;

HttpResponse makeResponse(http::status status, std::string body,
                          std::string_view type = "application/json") {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, boost::beast::string_view(type.data(), type.size()));
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

/// Response with a problem+json body. `errors` are the errors of a list.
HttpResponse makeProblem(http::status status, std::string_view title, std::string_view detail = {},
                         json::array errors = {}) {
  json::object body{{"title", json::string_view(title.data(), title.size())},
                    {"status", static_cast<unsigned>(status)}};
  if (!detail.empty())
    body["detail"] = json::string_view(detail.data(), detail.size());
  if (!errors.empty())
    body["errors"] = std::move(errors);
  return makeResponse(status, json::serialize(body), "application/problem+json");
}

json::array errorsToJson(const ListErrors &errors) {
  json::array out;
  for (auto &it : errors)
    out.push_back(json::object{{"path", it.path}, {"message", it.message}});
  return out;
}

void setRevision(HttpResponse &response, std::uint64_t revision) {
  response.set(http::field::etag, "\"" + std::to_string(revision) + "\"");
}

/// Parses the revision of `If-Match: "7"`. Returns nothing for any other text.
std::optional<std::uint64_t> parseIfMatch(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"')
    return std::nullopt;
  text = text.substr(1, text.size() - 2);
  std::uint64_t n = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return n;
}

/// Compares two texts in a time that does not depend on the position of a difference.
bool equalsInConstantTime(std::string_view a, std::string_view b) {
  unsigned char difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t i = 0; i < a.size(); ++i)
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(i < b.size() ? b[i] : 0);
  return difference == 0;
}

HttpResponse makeEditResponse(const EditResult &result) {
  struct Row {
    EditOutcome outcome;
    http::status status;
    std::string_view title;
  };
  static constexpr std::array Rows{
      Row{EditOutcome::Accepted, http::status::ok, "accepted"},
      Row{EditOutcome::Conflict, http::status::precondition_failed, "another operator was first"},
      Row{EditOutcome::Invalid, http::status::unprocessable_entity, "the list is invalid"},
      Row{EditOutcome::NotAccepted, http::status::service_unavailable,
          "not accepted: the platform did not write the edit"},
      Row{EditOutcome::Unknown, http::status::gateway_timeout,
          "unknown: the platform's reply was lost and reading back failed"}};
  auto row = std::find_if(Rows.begin(), Rows.end(),
                          [&](auto &it) { return it.outcome == result.outcome; });
  auto response =
      result.outcome == EditOutcome::Accepted
          ? makeResponse(row->status, json::serialize(json::object{{"revision", result.revision},
                                                                   {"read_back", result.readBack}}))
          : makeProblem(row->status, row->title, {}, errorsToJson(result.errors));
  setRevision(response, result.revision);
  return response;
}

/// Serves the requests of operators.
class OperatorApi : public std::enable_shared_from_this<OperatorApi> {
public:
  explicit OperatorApi(OperatorApiOptions options) : options(std::move(options)) {}

  asio::awaitable<void> handle(HttpExchange &exchange) {
    auto response = co_await routeRequest(exchange.request());
    response.keep_alive(exchange.request().keep_alive());
    co_await exchange.respond(std::move(response));
  }

private:
  Reply routeRequest(const HttpRequest &request) {
    std::string_view target(request.target().data(), request.target().size());
    std::string_view given(request[http::field::authorization].data(),
                           request[http::field::authorization].size());
    if (options.key.empty() || !equalsInConstantTime("Bearer " + options.key, given))
      co_return makeProblem(http::status::unauthorized, "wrong operator key");
    if (!target.starts_with(Prefix))
      co_return makeProblem(http::status::not_found, "no such resource");
    target.remove_prefix(Prefix.size());
    if (target.starts_with("lists/"))
      co_return co_await handleList(request, target.substr(6));
    if (target == "drain")
      co_return co_await handleDrain(request);
    if (request.method() != http::verb::get)
      co_return makeProblem(http::status::method_not_allowed, "only GET is allowed here");
    if (target == "decisions")
      co_return decisionsResponse();
    const std::string name(target);
    co_return co_await handleView(name);
  }

  template <class Result>
  using ControlCall = std::function<void(Control &, std::function<void(Result)>)>;

  /// Runs `start` on Control's executor and waits for its callback. `start` refers to an object of
  /// the waiting caller, and closures with captured values are made by plain functions: g++ 12
  /// destroys the captures of a closure twice if the closure is a temporary in a coroutine.
  template <class Result> asio::awaitable<Result> callControl(const ControlCall<Result> &start) {
    auto begin = [&](std::function<void(Result)> done) {
      asio::post(options.strand, [self = shared_from_this(), start, done = std::move(done)] {
        start(self->options.control, done);
      });
    };
    co_return co_await waitForCallback<Result>(begin);
  }

  asio::awaitable<ListsPtr> currentLists() {
    const ControlCall<ListsPtr> read = [](Control &control, auto done) {
      done(control.config().currentLists());
    };
    co_return co_await callControl<ListsPtr>(read);
  }

  static ControlCall<EditResult> makeEditCall(ListKind kind, const std::string &document,
                                              std::uint64_t revision) {
    return [kind, document, revision](Control &control, auto done) {
      control.config().edit(kind, document, revision, std::move(done));
    };
  }

  static ControlCall<bool> makeDrainCall(const HostName &host, const EndpointName &endpoint,
                                         bool on) {
    return [host, endpoint, on](Control &control, auto done) {
      if (host.empty())
        control.drainEndpoint(endpoint, on, std::move(done));
      else
        control.drainHost(host, on, std::move(done));
    };
  }

  static ControlCall<std::string> makeViewCall(const std::string &name) {
    return [name](Control &control, auto done) { control.operatorView(name, std::move(done)); };
  }

  Reply handleList(const HttpRequest &request, std::string_view target) {
    bool validate = target.ends_with("/validate");
    if (validate)
      target.remove_suffix(std::string_view("/validate").size());
    auto kind = parseEnum<ListKind>(target);
    if (!kind)
      co_return makeProblem(http::status::not_found, "no such list", "lists are plans and uses");
    auto lists = co_await currentLists();
    if (!lists)
      co_return makeProblem(http::status::service_unavailable, "the lists have not been read yet");
    if (validate && request.method() == http::verb::post)
      co_return validateList(*lists, *kind, request.body());
    if (!validate && request.method() == http::verb::get) {
      auto response = makeResponse(http::status::ok, formatList(*lists, *kind));
      setRevision(response, lists->revision);
      co_return response;
    }
    if (!validate && request.method() == http::verb::put)
      co_return co_await handleEdit(request, *kind);
    co_return makeProblem(http::status::method_not_allowed, "use GET, PUT or POST .../validate");
  }

  static HttpResponse validateList(const Lists &lists, ListKind kind, const std::string &document) {
    auto result = replaceList(lists, kind, document, "validate");
    if (auto *errors = std::get_if<ListErrors>(&result))
      return makeProblem(http::status::unprocessable_entity, "the list is invalid", {},
                         errorsToJson(*errors));
    return makeResponse(http::status::ok, R"({"valid":true})");
  }

  Reply handleEdit(const HttpRequest &request, ListKind kind) {
    auto revision = parseIfMatch(std::string_view(request[http::field::if_match].data(),
                                                  request[http::field::if_match].size()));
    if (!revision)
      co_return makeProblem(http::status::precondition_required, "If-Match is missing",
                            "send the revision that was read, as in If-Match: \"7\"");
    const auto apply = makeEditCall(kind, request.body(), *revision);
    auto result = co_await callControl<EditResult>(apply);
    co_return makeEditResponse(result);
  }

  Reply handleDrain(const HttpRequest &request) {
    json::object object;
    if (request.method() != http::verb::post || !parseObject(request.body(), object))
      co_return makeProblem(http::status::bad_request, "expected POST with a JSON object");
    JsonReader in(object);
    auto host = in.name<HostName>("host");
    auto endpoint = in.name<EndpointName>("endpoint");
    auto on = object.contains("on") ? in.flag("on") : true;
    if (!in.ok || host.empty() == endpoint.empty())
      co_return makeProblem(http::status::unprocessable_entity,
                            "either a host or an endpoint must be given");
    const auto apply = makeDrainCall(host, endpoint, on);
    auto done = co_await callControl<bool>(apply);
    if (!done)
      co_return makeProblem(http::status::service_unavailable, "not confirmed",
                            "no planner, or no host of that name, responded");
    co_return makeResponse(http::status::ok, R"({"confirmed":true})");
  }

  Reply handleView(const std::string &name) {
    auto names = operatorViewNames();
    if (std::find(names.begin(), names.end(), name) == names.end())
      co_return makeProblem(http::status::not_found, "no such view");
    const auto read = makeViewCall(name);
    auto text = co_await callControl<std::string>(read);
    if (text.empty())
      co_return makeProblem(http::status::service_unavailable, "no planner responded");
    co_return makeResponse(http::status::ok, std::move(text));
  }

  HttpResponse decisionsResponse() const {
    json::array rows;
    for (auto &it : options.decisions.recent(MaxDecisionsShown)) {
      json::array alternatives;
      for (auto &other : it.decision.alternatives)
        alternatives.emplace_back(other);
      rows.push_back(json::object{{"time_us", it.unixMicros},
                                  {"kind", std::string(toString(it.decision.kind))},
                                  {"request", it.decision.requestId},
                                  {"plan", it.decision.plan.value},
                                  {"model", it.decision.model.value},
                                  {"chosen", it.decision.chosen},
                                  {"alternatives", alternatives},
                                  {"reason", it.decision.reason}});
    }
    return makeResponse(http::status::ok, json::serialize(json::object{{"decisions", rows}}));
  }

  OperatorApiOptions options;
};

} // namespace

HttpHandler makeOperatorHandler(OperatorApiOptions options) {
  auto api = std::make_shared<OperatorApi>(std::move(options));
  return [api](HttpExchange &exchange) { return api->handle(exchange); };
}

} // namespace catkin
