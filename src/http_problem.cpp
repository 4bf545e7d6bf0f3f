#include "http_problem_p.h"

#include <boost/beast/http/error.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>

namespace catkin {

unsigned errorStatus(const boost::system::error_code &ec, bool timedOut) {
  if (timedOut)
    return 408;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    return 431;
  if (ec == http::error::body_limit)
    return 413;
  if (ec == http::error::end_of_stream || ec == http::error::partial_message)
    return 0;
  return ec.category() == http::make_error_code(http::error::bad_method).category() ? 400 : 0;
}

std::string_view errorDetail(unsigned status) {
  switch (status) {
  case 408:
    return "the request did not arrive in time";
  case 413:
    return "the request body is too large";
  case 431:
    return "the request headers are too large";
  case 503:
    return "too many requests are in progress";
  default:
    return "the request is not valid HTTP";
  }
}

HttpResponse problemResponse(unsigned status, RunOutcome outcome, std::string_view detail,
                             Duration retryAfter) {
  HttpResponse response(static_cast<http::status>(status), 11);
  response.set(http::field::content_type, "application/problem+json");
  if (retryAfter > Duration::zero())
    response.set(http::field::retry_after,
                 std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count()));
  const auto title = http::obsolete_reason(static_cast<http::status>(status));
  response.body() = boost::json::serialize(
      boost::json::object{{"type", "about:blank"},
                          {"title", std::string_view(title.data(), title.size())},
                          {"status", status},
                          {"detail", detail},
                          {"outcome", toString(outcome)}});
  return response;
}

HttpResponse jsonResponse(std::string body) {
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

} // namespace catkin
