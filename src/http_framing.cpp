#include "http_framing_p.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

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

} // namespace

error_code HeadCheck::addLength(std::string_view value) {
  if (!isLength(value))
    return http::error::bad_content_length;
  if (length.value_or(std::string(value)) != value)
    return http::error::multiple_content_length;
  length = value;
  return {};
}

error_code HeadCheck::addCoding(std::string_view value) {
  if (hasCoding || !boost::beast::iequals(value, "chunked"))
    return http::error::bad_transfer_encoding;
  hasCoding = true;
  return {};
}

error_code HeadCheck::addField(std::string_view text) {
  if (Spaces.find(text.front()) != std::string_view::npos)
    return http::error::bad_obs_fold;
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || !isToken(text.substr(0, colon)))
    return http::error::bad_field;
  const auto name = text.substr(0, colon);
  const auto value = trim(text.substr(colon + 1));
  if (boost::beast::iequals(name, "Content-Length"))
    return addLength(value);
  if (boost::beast::iequals(name, "Transfer-Encoding"))
    return addCoding(value);
  return {};
}

/// Checks a line without its end.
error_code HeadCheck::checkLine(std::string_view text) {
  if (hasControl(text))
    return http::error::bad_line_ending;
  if (!std::exchange(hasStartLine, true)) {
    isOld =
        kind == MessageKind::Request ? text.ends_with(" HTTP/1.0") : text.starts_with("HTTP/1.0 ");
    return {};
  }
  if (!text.empty())
    return addField(text);
  isDone = true;
  return hasCoding && (length || isOld) ? http::error::bad_transfer_encoding : error_code();
}

error_code HeadCheck::feed(std::string_view bytes) {
  while (!isDone && !bytes.empty()) {
    const auto lineFeed = bytes.find('\n');
    const std::size_t n = lineFeed == std::string_view::npos ? bytes.size() : lineFeed + 1;
    line += bytes.substr(0, n);
    bytes.remove_prefix(n);
    if (!line.ends_with(LineEnd))
      continue;
    line.resize(line.size() - LineEnd.size());
    if (const error_code ec = checkLine(std::exchange(line, {})))
      return ec;
  }
  return {};
}

void checkChunkHeader(std::uint64_t, boost::beast::string_view extensions, error_code &ec) {
  const std::string_view text(extensions.data(), extensions.size());
  if (!text.empty() && (text.front() != ';' || hasControl(text)))
    ec = http::error::bad_chunk_extension;
}

} // namespace catkin
