#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

/// Splits a JSON text into the texts of its members without parsing these. One member that cannot
/// be parsed, since it is nested too deeply or holds a number out of range, hides no other.
namespace catkin {

/// A member of an object: its name as it stands between the quotes, and the text of its value.
using JsonMember = std::pair<std::string_view, std::string_view>;

/// Returns the members of an object. Empty if the text is no object whose ends can be found.
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);
/// Returns the texts of the elements of an array. Empty if the text is no array whose ends can be
/// found.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);
/// Returns the text of the member with this name; empty if there is none.
std::string_view findJsonMember(const std::vector<JsonMember> &members, std::string_view name);

} // namespace catkin
