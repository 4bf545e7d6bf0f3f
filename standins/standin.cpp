#include "standin_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace catkin::standin {

namespace {

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);

std::string percentDecode(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    const char *digits = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, code, 16).ptr == digits + 2) {
      out += static_cast<char>(code);
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

} // namespace

Instant now() {
  return Instant(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

asio::awaitable<void> sleepFor(Duration d) {
  const auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor, d);
  co_await timer.async_wait(Tuple);
}

Target parseTarget(std::string_view text) {
  Target target;
  const auto mark = text.find('?');
  target.path = percentDecode(text.substr(0, mark));
  std::string_view query = mark == std::string_view::npos ? "" : text.substr(mark + 1);
  while (!query.empty()) {
    const auto end = query.find('&');
    const auto pair = query.substr(0, end);
    const auto equals = pair.find('=');
    target.query[percentDecode(pair.substr(0, equals))] =
        equals == std::string_view::npos ? "" : percentDecode(pair.substr(equals + 1));
    query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
  }
  return target;
}

std::uint64_t numberOr(const std::string &text, std::uint64_t fallback) {
  std::uint64_t n = 0;
  const char *end = text.data() + text.size();
  auto [stop, ec] = std::from_chars(text.data(), end, n);
  return text.empty() || ec != std::errc() || stop != end ? fallback : n;
}

JsonFields::JsonFields(std::string_view body) {
  boost::system::error_code ec;
  auto value = json::parse(body, ec);
  if (ec || !value.is_object())
    errorText = "the body must be a JSON object";
  else
    fields = std::move(value.as_object());
}

void JsonFields::setError(std::string_view name, std::string_view expected) {
  if (errorText.empty())
    errorText = std::string(name) + " must be " + std::string(expected);
}

std::string JsonFields::text(std::string_view name, std::string fallback) {
  const auto *value = find(name);
  if (!value)
    return fallback;
  if (value->is_string())
    return std::string(value->as_string());
  setError(name, "a string");
  return fallback;
}

double JsonFields::number(std::string_view name, double fallback) {
  const auto *value = find(name);
  if (!value)
    return fallback;
  boost::system::error_code ec;
  const auto n = value->to_number<double>(ec);
  if (!ec && n >= 0)
    return n;
  setError(name, "a number that is not negative");
  return fallback;
}

std::uint64_t JsonFields::count(std::string_view name, std::uint64_t fallback) {
  const auto *value = find(name);
  if (!value)
    return fallback;
  boost::system::error_code ec;
  const auto n = value->to_number<std::uint64_t>(ec);
  if (!ec)
    return n;
  setError(name, "a whole number that is not negative");
  return fallback;
}

bool JsonFields::flag(std::string_view name, bool fallback) {
  const auto *value = find(name);
  if (!value)
    return fallback;
  if (value->is_bool())
    return value->as_bool();
  setError(name, "true or false");
  return fallback;
}

struct Waiters::Waiter {
  Waiter(const asio::any_io_executor &executor, Duration d) : timer(executor, d) {}
  asio::steady_timer timer;
};

asio::awaitable<void> Waiters::wait(const std::string &key, Duration d) {
  const auto executor = co_await asio::this_coro::executor;
  auto waiter = std::make_shared<Waiter>(executor, d);
  const auto it = waiting.emplace(key, waiter);
  co_await waiter->timer.async_wait(Tuple);
  waiting.erase(it);
}

void Waiters::notify(const std::string &key) {
  const auto [begin, end] = waiting.equal_range(key);
  for (auto it = begin; it != end; ++it)
    it->second->timer.cancel();
}

void Waiters::notifyAll() {
  for (auto &it : waiting)
    it.second->timer.cancel();
}

Standin::Standin(asio::any_io_executor executor, HttpServerOptions options)
    : server(std::move(executor), std::move(options),
             [this](HttpExchange &exchange) { return this->dispatch(exchange); }) {}

asio::awaitable<void> Standin::dispatch(HttpExchange &exchange) {
  const auto text = exchange.request().target();
  const Target target = parseTarget({text.data(), text.size()});
  co_await handle(exchange, target);
}

asio::awaitable<void> answerProblem(HttpExchange &exchange, unsigned status,
                                    std::string_view detail, Duration retryAfter) {
  co_await exchange.respond(problemResponse(status, RunOutcome::NotRun, detail, retryAfter));
}

asio::awaitable<void> answerJson(HttpExchange &exchange, const json::object &body,
                                 unsigned status) {
  auto response = jsonResponse(json::serialize(body));
  response.result(status);
  co_await exchange.respond(std::move(response));
}

} // namespace catkin::standin
