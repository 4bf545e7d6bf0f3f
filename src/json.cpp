#include "json_p.h"

#include <cmath>
#include <limits>

namespace catkin {

const json::value *JsonReader::find(std::string_view key) const { return object.if_contains(key); }

std::string JsonReader::text(std::string_view key) {
  auto *v = find(key);
  if (!v)
    return {};
  if (!v->is_string()) {
    ok = false;
    return {};
  }
  return std::string(std::string_view(v->get_string()));
}

std::vector<std::string> JsonReader::texts(std::string_view key) {
  std::vector<std::string> out;
  auto *v = find(key);
  if (!v)
    return out;
  ok = ok && v->is_array();
  if (!v->is_array())
    return out;
  for (auto &it : v->get_array()) {
    ok = ok && it.is_string();
    if (it.is_string())
      out.emplace_back(std::string_view(it.get_string()));
  }
  return out;
}

std::int64_t JsonReader::integer64(std::string_view key) { return wholeNumber<std::int64_t>(key); }

std::uint64_t JsonReader::unsignedInt(std::string_view key) {
  return wholeNumber<std::uint64_t>(key);
}

template <class N> N JsonReader::wholeNumber(std::string_view key) {
  auto *v = find(key);
  if (!v)
    return 0;
  // Beyond this, a number with a fraction or an exponent need not be the one that was written, and
  // its conversion may be undefined.
  constexpr double MaxExact = 1ULL << 53;
  const bool isInexact = v->is_double() && !(std::abs(v->get_double()) <= MaxExact);
  boost::system::error_code ec;
  const N n = isInexact ? 0 : v->to_number<N>(ec);
  ok = ok && !ec && !isInexact;
  return ec ? 0 : n;
}

int JsonReader::integer(std::string_view key) {
  auto n = integer64(key);
  if (n < std::numeric_limits<int>::min() || n > std::numeric_limits<int>::max()) {
    ok = false;
    return 0;
  }
  return static_cast<int>(n);
}

double JsonReader::number(std::string_view key) {
  auto *v = find(key);
  if (!v)
    return 0;
  if (!v->is_number()) {
    ok = false;
    return 0;
  }
  return v->to_number<double>();
}

bool JsonReader::flag(std::string_view key) {
  auto *v = find(key);
  if (!v)
    return false;
  if (!v->is_bool()) {
    ok = false;
    return false;
  }
  return v->get_bool();
}

Address JsonReader::address(std::string_view key) {
  auto it = text(key);
  if (it.empty())
    return {};
  auto a = parseAddress(it);
  ok = ok && a.has_value();
  return a.value_or(Address{});
}

bool parseObject(std::string_view text, json::object &out) {
  boost::system::error_code ec;
  auto v = json::parse(json::string_view(text.data(), text.size()), ec);
  if (ec || !v.is_object())
    return false;
  out = std::move(v.get_object());
  return true;
}

} // namespace catkin
