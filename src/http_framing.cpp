#include "http_framing_p.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace catkin {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view Spaces = " \t";
constexpr std::string_view Separators = "\"(),/:;<=>?@[\\]{}";

bool isControl(char c) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7f;
  const auto value = static_cast<unsigned char>(c);
  return (value < FirstPrintable && c != '\t') || value == Delete;
}

bool hasControl(std::string_view text) { return std::any_of(text.begin(), text.end(), isControl); }

/// Returns true if the text may be the name of a field.
bool isToken(std::string_view text) {
  constexpr unsigned char FirstNonAscii = 0x80;
  const auto isPart = [](char c) {
    return !isControl(c) && static_cast<unsigned char>(c) < FirstNonAscii &&
           Spaces.find(c) == std::string_view::npos && Separators.find(c) == std::string_view::npos;
  };
  return !text.empty() && std::all_of(text.begin(), text.end(), isPart);
}

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(Spaces);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(Spaces) - first + 1);
}

bool isDigit(char c) { return c >= '0' && c <= '9'; }

/// Returns true if the text is a plain number that fits into 64 bits.
bool isLength(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
  return !text.empty() && std::all_of(text.begin(), text.end(), isDigit) && ec == std::errc() &&
         end == text.data() + text.size();
}

/// What the head says of the end of its message.
struct Framing {
  std::optional<std::string_view> length;
  bool hasCoding = false;
};

error_code addLength(Framing &framing, std::string_view value) {
  if (!isLength(value))
    return http::error::bad_content_length;
  if (framing.length.value_or(value) != value)
    return http::error::multiple_content_length;
  framing.length = value;
  return {};
}

error_code addCoding(Framing &framing, std::string_view value) {
  if (framing.hasCoding || !boost::beast::iequals(value, "chunked"))
    return http::error::bad_transfer_encoding;
  framing.hasCoding = true;
  return {};
}

error_code addField(Framing &framing, std::string_view line) {
  if (Spaces.find(line.front()) != std::string_view::npos)
    return http::error::bad_obs_fold;
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
    return http::error::bad_field;
  const auto name = line.substr(0, colon);
  const auto value = trim(line.substr(colon + 1));
  if (boost::beast::iequals(name, "Content-Length"))
    return addLength(framing, value);
  if (boost::beast::iequals(name, "Transfer-Encoding"))
    return addCoding(framing, value);
  return {};
}

/// Removes the first line from the text and returns it without its end.
std::string_view takeLine(std::string_view &text) {
  const auto end = text.find(LineEnd);
  const auto line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + LineEnd.size());
  return line;
}

} // namespace

error_code checkHead(std::string_view bytes, MessageKind kind) {
  const auto startLine = takeLine(bytes);
  if (hasControl(startLine))
    return http::error::bad_line_ending;
  const bool isOld = kind == MessageKind::Request ? startLine.ends_with(" HTTP/1.0")
                                                  : startLine.starts_with("HTTP/1.0 ");
  Framing framing;
  for (auto line = takeLine(bytes); !line.empty(); line = takeLine(bytes)) {
    if (hasControl(line))
      return http::error::bad_line_ending;
    if (const error_code ec = addField(framing, line))
      return ec;
  }
  if (framing.hasCoding && (framing.length || isOld))
    return http::error::bad_transfer_encoding;
  return {};
}

void checkChunkHeader(std::uint64_t, boost::beast::string_view extensions, error_code &ec) {
  const std::string_view text(extensions.data(), extensions.size());
  if (!text.empty() && (text.front() != ';' || hasControl(text)))
    ec = http::error::bad_chunk_extension;
}

} // namespace catkin
