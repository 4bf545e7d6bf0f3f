#include "list_diff_p.h"

#include "json_p.h"

#include <map>

namespace catkin {

namespace {

std::string toText(const json::value &v) { return json::serialize(v); }

/// Identifies an array entry by its field "name" or "plan", or a plain value by its text.
std::string entryKey(const json::value &v) {
  if (v.is_object())
    for (auto key : {"name", "plan"})
      if (auto *it = v.get_object().if_contains(key); it && it->is_string())
        return std::string(std::string_view(it->get_string()));
  return v.is_string() ? std::string(std::string_view(v.get_string())) : toText(v);
}

/// Children of an object or array by the last part of their path, ".<key>" or "[<entry>]".
std::map<std::string, const json::value *> children(const json::value &v) {
  std::map<std::string, const json::value *> out;
  if (v.is_object())
    for (auto &it : v.get_object())
      out["." + std::string(std::string_view(it.key()))] = &it.value();
  if (v.is_array())
    for (auto &it : v.get_array())
      out["[" + entryKey(it) + "]"] = &it;
  return out;
}

/// Appends the differences between `a` and `b`, both at `path`, to `out`.
void compare(const std::string &path, const json::value &a, const json::value &b,
             std::vector<DiffLine> &out) {
  bool isSameContainer = (a.is_object() && b.is_object()) || (a.is_array() && b.is_array());
  if (!isSameContainer) {
    if (a != b)
      out.push_back({DiffKind::Changed, path, toText(a), toText(b)});
    return;
  }
  auto before = children(a);
  auto after = children(b);
  for (auto &[name, it] : before)
    if (!after.contains(name))
      out.push_back({DiffKind::Removed, path + name, toText(*it), {}});
  for (auto &[name, it] : after) {
    auto old = before.find(name);
    if (old == before.end())
      out.push_back({DiffKind::Added, path + name, {}, toText(*it)});
    else
      compare(path + name, *old->second, *it, out);
  }
}

} // namespace

bool diffLists(std::string_view before, std::string_view after, std::vector<DiffLine> &out) {
  json::object a;
  json::object b;
  if (!parseObject(before, a) || !parseObject(after, b))
    return false;
  compare({}, json::value(a), json::value(b), out);
  for (auto &it : out)
    if (it.path.starts_with('.'))
      it.path.erase(0, 1);
  return true;
}

std::string formatDiff(const DiffLine &line) {
  switch (line.kind) {
  case DiffKind::Added:
    return "+ " + line.path + " " + line.after;
  case DiffKind::Removed:
    return "- " + line.path + " " + line.before;
  default:
    return "~ " + line.path + ": " + line.before + " -> " + line.after;
  }
}

} // namespace catkin
