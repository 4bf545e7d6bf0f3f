#include "types_p.h"

#include <charconv>

namespace catkin {

namespace {

/// Parses a text that consists of one decimal number of at most `max`.
std::optional<unsigned> parseNumber(std::string_view text, unsigned max) {
  unsigned n = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (text.empty() || ec != std::errc() || end != text.data() + text.size() || n > max)
    return std::nullopt;
  return n;
}

bool isIpv4(std::string_view text) {
  for (int part = 0; part < 4; ++part) {
    auto dot = text.find('.');
    if ((dot == std::string_view::npos) != (part == 3))
      return false;
    if (!parseNumber(text.substr(0, dot), 255))
      return false;
    text.remove_prefix(part == 3 ? text.size() : dot + 1);
  }
  return true;
}

} // namespace

std::optional<Address> parseAddress(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos || !isIpv4(text.substr(0, colon)))
    return std::nullopt;
  auto port = parseNumber(text.substr(colon + 1), 65535);
  if (!port || *port == 0)
    return std::nullopt;
  return Address{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port)};
}

} // namespace catkin
