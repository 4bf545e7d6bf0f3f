#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>

#include <cstdint>
#include <string_view>

/// Strict rules for where an HTTP/1.1 message ends. Private to the HTTP server and client.
///
/// The parser accepts messages that others may read with another end. A body that it takes for the
/// next request would run as one. These rules refuse each message whose end is open to
/// interpretation. Their errors are those of the parser, so that a request gets 400 and an answer
/// counts as malformed.
namespace catkin {

enum class MessageKind { Request, Response };

/// Checks a head that has arrived whole, with the empty line that ends it. What follows is ignored.
/// Returns an error if the message has a transfer coding other than a single `chunked`, a transfer
/// coding beside a length or in HTTP/1.0, lengths that differ or are no plain numbers, a folded
/// line, a field without a proper name, or a line end or control character inside a line.
boost::beast::error_code checkHead(std::string_view bytes, MessageKind kind);

/// Checks the line before a chunk of a body, for the parser's on_chunk_header(). Sets an error if
/// anything but extensions follows the size, or the extensions contain control characters.
void checkChunkHeader(std::uint64_t size, boost::beast::string_view extensions,
                      boost::beast::error_code &ec);

} // namespace catkin
