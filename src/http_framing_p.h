#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Strict rules for where an HTTP/1.1 message ends. Private to the HTTP server and client.
///
/// The parser accepts messages that others may read with another end. A body that it takes for the
/// next request would run as one. These rules refuse each message whose end is open to
/// interpretation. Their errors are those of the parser, so that a request gets 400 and an answer
/// counts as malformed.
namespace catkin {

enum class MessageKind { Request, Response };

/// Checks the head of one message, which may arrive in pieces.
class HeadCheck {
public:
  explicit HeadCheck(MessageKind kind) : kind(kind) {}

  /// Checks the next bytes of the message. What follows the empty line that ends the head is
  /// ignored. Returns an error if the message has a transfer coding other than a single `chunked`,
  /// a transfer coding beside a length or in HTTP/1.0, lengths that differ or are no plain numbers,
  /// a folded line, a field without a proper name, or a line end or control character inside a
  /// line.
  boost::beast::error_code feed(std::string_view bytes);

private:
  boost::beast::error_code checkLine(std::string_view text);
  boost::beast::error_code addField(std::string_view text);
  boost::beast::error_code addLength(std::string_view value);
  boost::beast::error_code addCoding(std::string_view value);

  MessageKind kind;
  std::string line;                  ///< the beginning of a line that is not yet complete
  std::optional<std::string> length; ///< that the message names
  bool hasCoding = false;
  bool hasStartLine = false;
  bool isOld = false; ///< HTTP/1.0
  bool isDone = false;
};

/// Checks the line before a chunk of a body, for the parser's on_chunk_header(). Sets an error if
/// anything but extensions follows the size, or the extensions contain control characters.
void checkChunkHeader(std::uint64_t size, boost::beast::string_view extensions,
                      boost::beast::error_code &ec);

} // namespace catkin
