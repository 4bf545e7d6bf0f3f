#include "list_diff_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

/// Returns the formatted differences of two lists.
std::vector<std::string> diffLines(std::string_view before, std::string_view after) {
  std::vector<DiffLine> changes;
  EXPECT_TRUE(diffLists(before, after, changes));
  std::vector<std::string> out;
  out.reserve(changes.size());
  for (auto &it : changes)
    out.push_back(formatDiff(it));
  return out;
}

// Guards against a diff that omits a change, so that an edit changes more than the operator saw.
TEST(ListDiff, NamesEveryChangeByEntry) {
  auto before = R"({"plans":[{"name":"a","grant":{"models":1}},{"name":"b"}]})";
  auto after = R"({"plans":[{"name":"c"},{"name":"a","grant":{"models":2}}]})";
  EXPECT_EQ(diffLines(before, after), (std::vector<std::string>{R"(- plans[b] {"name":"b"})",
                                                                "~ plans[a].grant.models: 1 -> 2",
                                                                R"(+ plans[c] {"name":"c"})"}));
}

// Guards against reporting a change of the order of entries as an edit.
TEST(ListDiff, OrderDoesNotCount) {
  EXPECT_TRUE(diffLines(R"({"uses":[{"plan":"a"},{"plan":"b"}]})",
                        R"({"uses":[{"plan":"b"},{"plan":"a"}]})")
                  .empty());
}

TEST(ListDiff, RejectsTextThatIsNotAnObject) {
  std::vector<DiffLine> changes;
  EXPECT_FALSE(diffLists("[]", "{}", changes));
}

} // namespace
} // namespace catkin
