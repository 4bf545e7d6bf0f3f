#pragma once

#include "http_p.h"

#include <boost/system/error_code.hpp>

#include <string_view>

/// Error responses of the HTTP server to requests that it cannot read.
namespace catkin {

/// Returns the status code of the response to a failed read, or 0 if the connection is closed
/// without one.
unsigned errorStatus(const boost::system::error_code &ec, bool timedOut);
/// Returns the reason that the response gives.
std::string_view errorDetail(unsigned status);

} // namespace catkin
