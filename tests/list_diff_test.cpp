#include "list_diff_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

std::vector<std::string> lines(std::string_view before, std::string_view after) {
  std::vector<DiffLine> found;
  EXPECT_TRUE(diffLists(before, after, found));
  std::vector<std::string> out;
  out.reserve(found.size());
  for (auto &it : found)
    out.push_back(formatDiff(it));
  return out;
}

// Guards against an operator applying an edit that changes more than the diff showed.
TEST(ListDiff, NamesEveryChangeByEntry) {
  auto before = R"({"plans":[{"name":"a","grant":{"models":1}},{"name":"b"}]})";
  auto after = R"({"plans":[{"name":"c"},{"name":"a","grant":{"models":2}}]})";
  EXPECT_EQ(lines(before, after), (std::vector<std::string>{R"(- plans[b] {"name":"b"})",
                                                            "~ plans[a].grant.models: 1 -> 2",
                                                            R"(+ plans[c] {"name":"c"})"}));
}

// Guards against reporting a mere change of order as an edit.
TEST(ListDiff, OrderDoesNotCount) {
  EXPECT_TRUE(
      lines(R"({"uses":[{"plan":"a"},{"plan":"b"}]})", R"({"uses":[{"plan":"b"},{"plan":"a"}]})")
          .empty());
}

TEST(ListDiff, RejectsTextThatIsNotAnObject) {
  std::vector<DiffLine> found;
  EXPECT_FALSE(diffLists("[]", "{}", found));
}

} // namespace
} // namespace catkin
