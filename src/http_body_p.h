#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <string>
#include <utility>

/// The body of an HTTP message while it is read. Private to the HTTP server and client.
namespace catkin {

/// A body in memory that is as large as the bytes that have arrived. http::string_body reserves
/// what the head announces, so a peer that announces an enormous length would exhaust the memory.
struct ArrivedBody {
  using value_type = std::string;

  /// Receives the body from the parser.
  class Reader {
  public:
    template <bool IsRequest, class Fields>
    Reader(boost::beast::http::header<IsRequest, Fields> &, value_type &body) : body(body) {}

    void init(const boost::optional<std::uint64_t> &, boost::beast::error_code &ec) { ec = {}; }

    template <class Buffers> std::size_t put(const Buffers &buffers, boost::beast::error_code &ec) {
      ec = {};
      std::size_t n = 0;
      for (const boost::asio::const_buffer it : boost::beast::buffers_range_ref(buffers)) {
        body.append(static_cast<const char *>(it.data()), it.size());
        n += it.size();
      }
      return n;
    }

    void finish(boost::beast::error_code &ec) { ec = {}; }

  private:
    value_type &body;
  };
  using reader = Reader; // the name that the parser looks for
};

/// Returns a message that has been read as one that handlers and callers use.
template <bool IsRequest>
boost::beast::http::message<IsRequest, boost::beast::http::string_body>
toStringMessage(boost::beast::http::message<IsRequest, ArrivedBody> &&from) {
  boost::beast::http::message<IsRequest, boost::beast::http::string_body> out;
  out.base() = std::move(from.base());
  out.body() = std::move(from.body());
  return out;
}

} // namespace catkin
