#include "settings_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace catkin {
namespace {

std::string readFile(const std::string &path) {
  std::ifstream in(std::string(CATKIN_SOURCE_DIR "/") + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

/// Returns the first capture group of every match of `pattern` in `text`.
std::set<std::string> findAll(const std::string &text, const std::string &pattern) {
  std::regex expression(pattern);
  std::set<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), expression), end; it != end; ++it)
    found.insert((*it)[1]);
  return found;
}

// Guards against a settings page that omits a flag or describes a removed one.
TEST(Docs, SettingsPageListsExactlyTheFlags) {
  const char *arguments[] = {"catkind", "--help"};
  auto help = readSettings(2, arguments).helpText;
  auto flags = findAll(help, R"(\n  (--[a-z-]+) )");
  flags.erase("--version");
  flags.erase("--check");
  ASSERT_FALSE(flags.empty());
  auto page = readFile("docs/settings.md");
  EXPECT_EQ(findAll(page, R"(\n\| `(--[a-z-]+)`)"), flags);
  for (auto &it : flags) {
    auto variable = "CATKIN_" + it.substr(2);
    std::transform(variable.begin(), variable.end(), variable.begin(), [](unsigned char c) {
      return c == '-' ? '_' : static_cast<char>(std::toupper(c));
    });
    EXPECT_NE(page.find("`" + variable + "`"), std::string::npos) << variable;
  }
}

// Guards against links in the README to pages that do not exist.
TEST(Docs, ReadmeNamesExistingPages) {
  for (auto &it : findAll(readFile("README.md"), R"((docs/[A-Za-z-]+\.md))"))
    EXPECT_FALSE(readFile(it).empty()) << it;
}

} // namespace
} // namespace catkin
