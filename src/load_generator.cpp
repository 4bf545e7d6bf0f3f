#include "load_generator_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace catkin {

namespace json = boost::json;

namespace {

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
constexpr int MaxConnectAttempts = 4;
constexpr Duration ResponseMargin = std::chrono::seconds(3); // after the deadline
constexpr Duration DiscoveryTimeout = std::chrono::seconds(2);
constexpr Duration DefaultMaxAge = std::chrono::seconds(5);
constexpr Duration DrainInterval = std::chrono::milliseconds(20);

using SteadyClock = std::chrono::steady_clock;

Duration elapsedSince(SteadyClock::time_point startTime) {
  return std::chrono::duration_cast<Duration>(SteadyClock::now() - startTime);
}

json::object completionBody(const LoadItem &item) {
  json::object body;
  body["model"] = item.model;
  if (item.chat) {
    json::object message;
    message["role"] = "user";
    message["content"] = item.prompt;
    body["messages"] = json::array{std::move(message)};
  } else {
    body["prompt"] = item.prompt;
  }
  body["max_tokens"] = item.maxTokens;
  body["stream"] = item.stream;
  return body;
}

HttpRequest buildRequest(const LoadItem &item) {
  HttpRequest request(http::verb::post, "/", 11);
  if (item.kind == LoadKind::Completion) {
    request.target(item.chat ? "/v1/chat/completions" : "/v1/completions");
    request.body() = json::serialize(completionBody(item));
    request.set(http::field::content_type, "application/json");
    return request;
  }
  request.target("/v1/services/" + item.path);
  if (item.kind == LoadKind::LookUp) {
    request.method(http::verb::get);
    return request;
  }
  request.body() = item.body;
  request.set("Idempotency-Key", item.key);
  return request;
}

LoadOutcome outcomeOf(HttpTransferStatus status) {
  switch (status) {
  case HttpTransferStatus::NotConnected:
    return LoadOutcome::NoHost;
  case HttpTransferStatus::Broken:
    return LoadOutcome::Cut;
  case HttpTransferStatus::Malformed:
    return LoadOutcome::Wrong;
  default:
    return LoadOutcome::Unanswered;
  }
}

LoadResult makeFailedResult(HttpTransferStatus status) {
  LoadResult result;
  result.outcome = outcomeOf(status);
  result.detail = std::string(toString(status));
  return result;
}

/// Parses {"addresses":[...],"max_age_s":n}. Returns an empty list if the text has another form.
std::vector<Address> parseAddresses(const std::string &text, Duration &maxAge) {
  std::vector<Address> found;
  boost::system::error_code ec;
  const auto body = json::parse(text, ec);
  const auto *list = body.find_pointer("/addresses", ec);
  if (!list || !list->is_array())
    return found;
  for (const auto &it : list->as_array()) {
    const auto address = it.is_string() ? parseAddress(std::string(it.as_string())) : std::nullopt;
    if (address)
      found.push_back(*address);
  }
  const auto *age = body.find_pointer("/max_age_s", ec);
  maxAge = age && age->is_number() ? fromSeconds(age->to_number<double>(ec)) : DefaultMaxAge;
  return found;
}

/// Parses {"data":[{"id":...},...]} and returns the ids. Returns an empty list for another form.
std::vector<std::string> parseModels(const std::string &text) {
  std::vector<std::string> found;
  boost::system::error_code ec;
  const auto body = json::parse(text, ec);
  const auto *list = body.find_pointer("/data", ec);
  if (!list || !list->is_array())
    return found;
  for (const auto &it : list->as_array()) {
    const auto *id = it.find_pointer("/id", ec);
    if (id && id->is_string())
      found.emplace_back(id->as_string());
  }
  return found;
}

} // namespace

struct LoadGenerator::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::any_io_executor e, LoadOptions o)
      : executor(std::move(e)), options(std::move(o)), client(executor),
        addresses(options.initialHosts) {}

  asio::awaitable<void> run(LoadReport &result, std::string &error);
  asio::awaitable<HttpResult> getFromAnyHost(std::string target);
  asio::awaitable<void> refreshAddresses();
  asio::awaitable<void> readModels();
  asio::awaitable<void> sendAt(std::shared_ptr<const LoadItem> item, Duration at);
  asio::awaitable<void> send(const LoadItem &item);
  asio::awaitable<LoadResult> attempt(const LoadItem &item, Address to);
  asio::awaitable<LoadResult> attemptStream(const LoadItem &item, Address to);
  asio::awaitable<void> sleepUntil(SteadyClock::time_point time);
  void schedule(const std::shared_ptr<const LoadItem> &item, Duration at);
  HttpRequest prepare(const LoadItem &item) const;
  HttpTimeouts timeouts() const;
  Address nextAddress() { return addresses[nextAddressIndex++ % addresses.size()]; }

  asio::any_io_executor executor;
  LoadOptions options;
  HttpClient client;
  LoadReport report;
  std::vector<std::string> models;
  std::vector<Address> addresses;
  std::size_t nextAddressIndex = 0;
  SteadyClock::time_point addressesExpire{};
  bool refreshing = false;
  SteadyClock::time_point startTime{};
  std::size_t inFlight = 0;
};

asio::awaitable<void> LoadGenerator::Impl::sleepUntil(SteadyClock::time_point time) {
  asio::steady_timer timer(executor, time);
  co_await timer.async_wait(Tuple);
}

/// Sends a GET to the known addresses and the initial hosts in turn, from the next address on,
/// until one responds with 200. Returns the last result.
asio::awaitable<HttpResult> LoadGenerator::Impl::getFromAnyHost(std::string target) {
  HttpTimeouts limits;
  limits.silence = DiscoveryTimeout;
  limits.total = DiscoveryTimeout;
  std::vector<Address> candidates = addresses;
  candidates.insert(candidates.end(), options.initialHosts.begin(), options.initialHosts.end());
  HttpResult result;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Address to = candidates[(i + nextAddressIndex) % candidates.size()];
    HttpRequest request(http::verb::get, target, 11);
    request.set(http::field::authorization, "Bearer " + options.apiKey);
    result = co_await client.request(to, std::move(request), limits);
    if (result.status == HttpTransferStatus::Ok && result.response.result() == http::status::ok)
      break;
  }
  co_return result;
}

/// Reads the addresses again once the last list has reached its maximum age. Requests sent in the
/// meantime use the old list.
asio::awaitable<void> LoadGenerator::Impl::refreshAddresses() {
  if (refreshing || SteadyClock::now() < addressesExpire)
    co_return;
  refreshing = true;
  std::string target = "/v1/addresses";
  const auto result = co_await getFromAnyHost(std::move(target));
  Duration maxAge = DefaultMaxAge;
  const auto found = parseAddresses(result.response.body(), maxAge);
  if (!found.empty()) {
    addresses = found;
    nextAddressIndex = 0;
  }
  addressesExpire = SteadyClock::now() + maxAge;
  refreshing = false;
}

asio::awaitable<void> LoadGenerator::Impl::readModels() {
  models = options.models;
  if (!models.empty())
    co_return;
  std::string target = "/v1/models";
  const auto result = co_await getFromAnyHost(std::move(target));
  models = parseModels(result.response.body());
}

/// Builds the request and adds the API key and the deadline.
HttpRequest LoadGenerator::Impl::prepare(const LoadItem &item) const {
  auto request = buildRequest(item);
  request.set(http::field::authorization, "Bearer " + options.apiKey);
  request.set("X-Deadline-Ms", std::to_string(toMillis(options.deadline)));
  return request;
}

HttpTimeouts LoadGenerator::Impl::timeouts() const {
  HttpTimeouts limits;
  limits.silence = options.deadline + ResponseMargin;
  limits.total = options.deadline + ResponseMargin;
  return limits;
}

asio::awaitable<LoadResult> LoadGenerator::Impl::attempt(const LoadItem &item, Address to) {
  auto request = prepare(item);
  const auto limits = timeouts();
  auto result = co_await client.request(to, std::move(request), limits);
  co_return result.status == HttpTransferStatus::Ok ? checkResponse(item, result.response)
                                                    : makeFailedResult(result.status);
}

asio::awaitable<LoadResult> LoadGenerator::Impl::attemptStream(const LoadItem &item, Address to) {
  auto request = prepare(item);
  const auto limits = timeouts();
  const auto begin = SteadyClock::now();
  auto stream = co_await client.open(to, std::move(request), limits);
  if (stream->status() != HttpTransferStatus::Ok)
    co_return makeFailedResult(stream->status());
  const bool refused = stream->head().result_int() >= 400;
  StreamChecker checker(item);
  LoadResult result;
  std::string body;
  std::string piece = co_await stream->read();
  while (!piece.empty()) {
    if (refused)
      body += piece;
    else
      checker.feed(piece);
    if (checker.hasStarted() && result.firstToken == Duration::zero())
      result.firstToken = elapsedSince(begin);
    piece = co_await stream->read();
  }
  if (refused) {
    HttpResponse response(stream->head().result(), 11);
    response.body() = std::move(body);
    co_return stream->status() == HttpTransferStatus::Ok ? checkResponse(item, response)
                                                         : makeFailedResult(stream->status());
  }
  result.outcome = checker.outcome();
  result.detail = std::string(toString(stream->status()));
  const bool late = stream->status() == HttpTransferStatus::Silent ||
                    stream->status() == HttpTransferStatus::Timeout;
  if (late && result.outcome == LoadOutcome::Cut)
    result.outcome = LoadOutcome::Unanswered;
  co_return result;
}

/// Sends one request and records its result. Tries another host only if no connection was made, so
/// that no byte of the request has been sent.
asio::awaitable<void> LoadGenerator::Impl::send(const LoadItem &item) {
  co_await refreshAddresses();
  const auto begin = SteadyClock::now();
  LoadResult result;
  for (int i = 0; i < MaxConnectAttempts; ++i) {
    const Address to = nextAddress();
    if (item.kind == LoadKind::Completion && item.stream)
      result = co_await attemptStream(item, to);
    else
      result = co_await attempt(item, to);
    if (result.outcome != LoadOutcome::NoHost)
      break;
  }
  result.totalTime = elapsedSince(begin);
  report.add(item, result);
}

asio::awaitable<void> LoadGenerator::Impl::sendAt(std::shared_ptr<const LoadItem> item,
                                                  Duration at) {
  co_await sleepUntil(startTime + at);
  if (inFlight >= options.maxInFlight) {
    report.addSkipped();
    co_return;
  }
  ++inFlight;
  co_await send(*item);
  --inFlight;
}

void LoadGenerator::Impl::schedule(const std::shared_ptr<const LoadItem> &item, Duration at) {
  auto task = sendAt(item, at);
  asio::co_spawn(executor, std::move(task), asio::detached);
}

asio::awaitable<void> LoadGenerator::Impl::run(LoadReport &result, std::string &error) {
  if (!findWorkload(options.workload) || addresses.empty() || options.rate <= 0) {
    error = "needs a known workload, at least one address and a rate above 0";
    co_return;
  }
  co_await refreshAddresses();
  co_await readModels();
  const auto plan = planLoad(options, models);
  if (plan.empty()) {
    error = "no requests to send: no models are known, or the run is too short";
    co_return;
  }
  startTime = SteadyClock::now();
  Duration end{0};
  for (const auto &it : plan) {
    // Schedules one request at a time, so that there are no more timers than requests in progress.
    co_await sleepUntil(startTime + it.at);
    const auto item = std::make_shared<const LoadItem>(it);
    schedule(item, it.at);
    if (item->kind == LoadKind::Confirm)
      schedule(item, it.repeatAt);
    end = std::max({end, it.at, it.repeatAt});
  }
  co_await sleepUntil(startTime + end + DrainInterval);
  while (inFlight > 0)
    co_await sleepUntil(SteadyClock::now() + DrainInterval);
  result = report;
}

LoadGenerator::LoadGenerator(asio::any_io_executor executor, LoadOptions options)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(options))) {}

LoadGenerator::~LoadGenerator() = default;

asio::awaitable<void> LoadGenerator::run(LoadReport &report, std::string &error) {
  return impl->run(report, error);
}

} // namespace catkin
