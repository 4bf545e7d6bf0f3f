#include "http_p.h"
#include "operator_client_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <charconv>

namespace catkin {

namespace {

// An edit waits for the platform, which may be slow.
constexpr HttpTimeouts Timeouts{.connect = std::chrono::seconds(1),
                                .silence = std::chrono::seconds(15),
                                .total = std::chrono::seconds(20)};

/// Revision in the ETag of a response; 0 without one.
std::uint64_t revisionOf(const HttpResponse &response) {
  std::string etag(response[http::field::etag]);
  std::erase(etag, '"');
  std::uint64_t n = 0;
  std::from_chars(etag.data(), etag.data() + etag.size(), n);
  return n;
}

HttpRequest makeRequest(const OperatorRequest &in, const std::string &key) {
  HttpRequest out;
  out.method_string(in.method);
  out.target(in.target);
  out.set(http::field::authorization, "Bearer " + key);
  if (in.ifMatch)
    out.set(http::field::if_match, "\"" + std::to_string(*in.ifMatch) + "\"");
  if (!in.body.empty())
    out.set(http::field::content_type, "application/json");
  out.body() = in.body;
  out.prepare_payload();
  return out;
}

HttpResult sendOnce(const Address &to, const HttpRequest &request) {
  asio::io_context context;
  HttpClient client(context.get_executor());
  HttpResult result;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> { result = co_await client.request(to, request, Timeouts); },
      asio::detached);
  context.run();
  return result;
}

} // namespace

OperatorTransport httpOperatorTransport(std::vector<Address> hosts, std::string key) {
  return [hosts = std::move(hosts), key = std::move(key)](const OperatorRequest &in) {
    OperatorResponse out;
    for (auto &it : hosts) {
      auto result = sendOnce(it, makeRequest(in, key));
      if (result.status == HttpTransferStatus::Ok)
        return OperatorResponse{.received = true,
                                .sent = true,
                                .status = static_cast<int>(result.response.result_int()),
                                .revision = revisionOf(result.response),
                                .body = result.response.body()};
      if (result.status != HttpTransferStatus::NotConnected) {
        out.sent = true;
        return out; // the request may have been carried out, so that the caller decides
      }
    }
    return out;
  };
}

} // namespace catkin
