#include "json_split_p.h"

#include <algorithm>

namespace catkin {

namespace {

/// Walks through a text. A failed step leaves the position undefined.
class JsonScanner {
public:
  explicit JsonScanner(std::string_view text) : text(text) {}

  /// Skips white space and returns the next character; 0 at the end.
  char peek() {
    at = std::min(text.find_first_not_of(" \t\r\n", at), text.size());
    return at < text.size() ? text[at] : '\0';
  }

  /// Skips white space and one character. Returns false if that is another one.
  bool take(char expected) {
    const bool found = peek() == expected;
    at += found ? 1 : 0;
    return found;
  }

  /// Returns the text between the quotes of the string that begins here.
  std::optional<std::string_view> takeString() {
    if (!take('"'))
      return std::nullopt;
    const std::size_t begin = at;
    while (at < text.size() && text[at] != '"')
      at += text[at] == '\\' ? 2 : 1;
    if (at >= text.size())
      return std::nullopt;
    return text.substr(begin, at++ - begin);
  }

  /// Returns the text of the value that begins here. Values in it are not checked, and their depth
  /// has no limit.
  std::optional<std::string_view> takeValue() {
    const char first = peek();
    const std::size_t begin = at;
    if (first == '"') {
      if (!takeString())
        return std::nullopt;
    } else if (first == '{' || first == '[') {
      if (!skipNested())
        return std::nullopt;
    } else {
      at = std::min(text.find_first_of(",]} \t\r\n", at), text.size());
    }
    return at > begin ? std::optional(text.substr(begin, at - begin)) : std::nullopt;
  }

private:
  bool skipNested() {
    std::size_t depth = 0;
    do {
      const char c = peek();
      if (c == '\0' && at >= text.size())
        return false;
      if (c == '"') {
        if (!takeString())
          return false;
        continue;
      }
      depth += c == '{' || c == '[' ? 1 : 0;
      depth -= c == '}' || c == ']' ? 1 : 0;
      ++at;
    } while (depth > 0);
    return true;
  }

  std::string_view text;
  std::size_t at = 0;
};

} // namespace

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text) {
  JsonScanner scanner(text);
  std::vector<JsonMember> out;
  if (!scanner.take('{'))
    return std::nullopt;
  if (scanner.take('}'))
    return out;
  do {
    const auto name = scanner.takeString();
    if (!name || !scanner.take(':'))
      return std::nullopt;
    const auto value = scanner.takeValue();
    if (!value)
      return std::nullopt;
    out.emplace_back(*name, *value);
  } while (scanner.take(','));
  return scanner.take('}') ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text) {
  JsonScanner scanner(text);
  std::vector<std::string_view> out;
  if (!scanner.take('['))
    return std::nullopt;
  if (scanner.take(']'))
    return out;
  do {
    const auto value = scanner.takeValue();
    if (!value)
      return std::nullopt;
    out.push_back(*value);
  } while (scanner.take(','));
  return scanner.take(']') ? std::optional(std::move(out)) : std::nullopt;
}

std::string_view findJsonMember(const std::vector<JsonMember> &members, std::string_view name) {
  auto it = std::find_if(members.begin(), members.end(),
                         [&](auto &member) { return member.first == name; });
  return it == members.end() ? std::string_view() : it->second;
}

} // namespace catkin
