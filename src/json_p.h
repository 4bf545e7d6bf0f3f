#pragma once

#include "types_p.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

/// Reading of JSON objects whose fields have known types.
namespace catkin {

namespace json = boost::json;

/// Reads typed fields of one object. A missing field gives the type's default; a field of another
/// type or out of range clears `ok`.
class JsonReader {
public:
  explicit JsonReader(const json::object &object) : object(object) {}

  std::string text(std::string_view key);
  std::uint64_t unsignedInt(std::string_view key);
  int integer(std::string_view key);
  double number(std::string_view key);
  bool flag(std::string_view key);
  /// A duration in microseconds.
  Duration micros(std::string_view key) { return Duration(integer64(key)); }
  Address address(std::string_view key);
  /// Members of an array of texts; one of another type clears `ok`.
  std::vector<std::string> texts(std::string_view key);
  template <class N> N name(std::string_view key) { return N(text(key)); }
  template <class E> E enumerator(std::string_view key, E fallback) {
    auto *v = find(key);
    if (!v)
      return fallback;
    auto e = v->is_string() ? parseEnum<E>(std::string_view(v->get_string())) : std::nullopt;
    ok = ok && e.has_value();
    return e.value_or(fallback);
  }
  /// Calls `each` with a reader of every object in an array; false results clear `ok`.
  template <class Each> void objects(std::string_view key, Each each) {
    auto *v = find(key);
    if (!v)
      return;
    if (!v->is_array()) {
      ok = false;
      return;
    }
    for (auto &it : v->get_array()) {
      if (!it.is_object()) {
        ok = false;
        return;
      }
      JsonReader in(it.get_object());
      each(in);
      ok = ok && in.ok;
    }
  }

  const json::object &raw() const { return object; }

  bool ok = true;

private:
  std::int64_t integer64(std::string_view key);
  const json::value *find(std::string_view key) const;

  const json::object &object;
};

/// Parses text that must be one JSON object. False if it is not, or is nested too deeply.
bool parseObject(std::string_view text, json::object &out);

} // namespace catkin
