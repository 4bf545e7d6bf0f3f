#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Differences between two versions of a list, entry by entry.
namespace catkin {

enum class DiffKind { Added, Removed, Changed, Count };

struct DiffLine {
  DiffKind kind = DiffKind::Changed;
  std::string path; ///< such as "plans[dispatch].grant.concurrency"
  std::string before;
  std::string after;
};

/// Compares two list documents. Entries of arrays are matched by their "name" or "plan"; the order
/// of entries does not count. False if one of them is not a JSON object.
bool diffLists(std::string_view before, std::string_view after, std::vector<DiffLine> &out);

/// One line of text for a person: "+ path value", "- path value" or "~ path: before -> after".
std::string formatDiff(const DiffLine &line);

} // namespace catkin
