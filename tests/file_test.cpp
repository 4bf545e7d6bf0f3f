#include "file_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

// Guards against treating an unreadable key or list file as an empty one.
TEST(File, FaultNamesPathAndReason) {
  std::string text;
  std::string fault;
  EXPECT_FALSE(readTextFile("/nonexistent/key", text, fault));
  EXPECT_EQ(fault, "/nonexistent/key: No such file or directory");
  EXPECT_FALSE(readTextFile("/", text, fault)) << "a directory is not a file";
  EXPECT_TRUE(readTextFile(CATKIN_SOURCE_DIR "/README.md", text, fault));
  EXPECT_EQ(text.rfind("# catkinthread", 0), 0U);
}

} // namespace
} // namespace catkin
