#pragma once

#include "http_p.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <string>

/// Helpers of the stand-ins for the users' platform.
namespace catkin::platform {

/// Returns a response with a JSON body.
inline HttpResponse makeResponse(unsigned status,
                                 const boost::json::value &body = boost::json::object{}) {
  auto response = jsonResponse(boost::json::serialize(body));
  response.result(status);
  return response;
}

inline std::string textOf(boost::beast::string_view s) { return {s.data(), s.size()}; }

} // namespace catkin::platform
