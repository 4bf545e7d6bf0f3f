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

/// Reads JSON objects whose fields have known types.
namespace catkin {

namespace json = boost::json;

/// Reads typed fields of one object. A missing field yields the default of its type. A field of
/// another type or out of range clears `ok`. The object must outlive the reader.
class JsonReader {
public:
  explicit JsonReader(const json::object &object) : object(object) {}

  std::string text(std::string_view key);
  std::uint64_t unsignedInt(std::string_view key);
  int integer(std::string_view key);
  double number(std::string_view key);
  bool flag(std::string_view key);
  /// Reads a duration in microseconds.
  Duration micros(std::string_view key) { return Duration(integer64(key)); }
  /// Reads an address of the form "ip:port". A malformed one clears `ok`.
  Address address(std::string_view key);
  /// Reads an array of strings. Members of another type are skipped and clear `ok`.
  std::vector<std::string> texts(std::string_view key);
  /// Reads a string into a name type, such as ModelName.
  template <class N> N name(std::string_view key) { return N(text(key)); }
  /// Reads an enumerator by its name. Returns `fallback` if the field is missing or unknown; an
  /// unknown name clears `ok`.
  template <class E> E enumerator(std::string_view key, E fallback) {
    auto *v = find(key);
    if (!v)
      return fallback;
    auto e = v->is_string() ? parseEnum<E>(std::string_view(v->get_string())) : std::nullopt;
    ok = ok && e.has_value();
    return e.value_or(fallback);
  }
  /// Calls `each` with a reader for every object of an array. Clears `ok` if a member is not an
  /// object or if its reader has cleared its own `ok`.
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

  bool ok = true; ///< no field read so far was malformed

private:
  std::int64_t integer64(std::string_view key);
  template <class N> N wholeNumber(std::string_view key);
  const json::value *find(std::string_view key) const;

  const json::object &object;
};

/// Parses one JSON object. Returns false if the text is anything else or is nested too deeply.
bool parseObject(std::string_view text, json::object &out);

} // namespace catkin
