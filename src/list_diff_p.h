#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Differences between two versions of an operators' list, field by field.
namespace catkin {

enum class DiffKind { Added, Removed, Changed, Count };

/// One difference. `before` and `after` are JSON texts; `before` is empty for an added field and
/// `after` for a removed one.
struct DiffLine {
  DiffKind kind = DiffKind::Changed;
  std::string path; ///< path of the field, such as "plans[dispatch].grant.concurrency"
  std::string before;
  std::string after;
};

/// Compares two list documents and appends the differences to `out`. Array entries are matched by
/// their "name" or "plan", and their order is ignored. Returns false if a document is not a JSON
/// object.
bool diffLists(std::string_view before, std::string_view after, std::vector<DiffLine> &out);

/// Formats a difference for the terminal: "+ path value" for an added field, "- path value" for a
/// removed one, "~ path: before -> after" for a changed one.
std::string formatDiff(const DiffLine &line);

} // namespace catkin
