#pragma once

#include "http_framing_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <new>
#include <stdexcept>

/// Reads HTTP messages from a socket. Private to the HTTP server and client.
///
/// The parser throws on input that it cannot hold, such as a field of a trailer over 64 KB. Beast's
/// own read operations call it in their completion handlers, from where an exception would end the
/// process. Here an exception becomes the error of the read. A head that breaks the strict rules of
/// http_framing_p.h fails too: each message needs a HeadCheck, and its parser checkChunkHeader() as
/// its on_chunk_header().
namespace catkin {

/// Parses what the buffer holds. Returns need_more if that is no whole part of the message.
template <bool IsRequest>
boost::beast::error_code parseBuffered(boost::beast::flat_buffer &buffer,
                                       boost::beast::http::basic_parser<IsRequest> &parser,
                                       HeadCheck &headCheck) {
  boost::beast::error_code ec;
  try {
    const auto bytes = buffer.cdata();
    const std::size_t n = parser.put(bytes, ec);
    const bool isSound = !ec || ec == boost::beast::http::error::need_more;
    // The parser takes the lines of a head as they arrive.
    const auto headError = headCheck.feed({static_cast<const char *>(bytes.data()), n});
    if (isSound && headError)
      ec = headError;
    buffer.consume(n);
  } catch (const std::length_error &) {
    ec = boost::beast::http::error::header_limit;
  } catch (const std::bad_alloc &) {
    ec = boost::beast::http::error::body_limit;
  }
  return ec;
}

/// Parses the next part of a message: its head, or some of its body. Reads from the socket if the
/// buffer does not hold all of that part.
template <bool IsRequest>
boost::asio::awaitable<boost::beast::error_code>
readPart(boost::asio::ip::tcp::socket &socket, boost::beast::flat_buffer &buffer,
         boost::beast::http::basic_parser<IsRequest> &parser, HeadCheck &headCheck) {
  namespace http = boost::beast::http;
  constexpr std::size_t MaxReadBytes = 64 * 1024;
  constexpr std::size_t MinReadBytes = 512;
  for (;;) {
    if (buffer.size() > 0) {
      const auto ec = parseBuffered(buffer, parser, headCheck);
      if (ec != http::error::need_more)
        co_return ec;
    }
    const std::size_t space = buffer.max_size() - buffer.size();
    if (space == 0)
      co_return http::error::buffer_overflow;
    const std::size_t size = std::min(std::max(MinReadBytes, buffer.capacity() - buffer.size()),
                                      std::min(MaxReadBytes, space));
    auto [ec, n] = co_await socket.async_read_some(
        buffer.prepare(size), boost::asio::as_tuple(boost::asio::use_awaitable));
    buffer.commit(n);
    if (ec == boost::asio::error::eof) {
      if (!parser.got_some())
        co_return http::error::end_of_stream;
      ec = {};
      parser.put_eof(ec);
      co_return ec;
    }
    if (ec)
      co_return ec;
  }
}

} // namespace catkin
