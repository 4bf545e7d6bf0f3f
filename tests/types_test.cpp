#include "types_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

// Guards against accepting malformed addresses that later fail to connect or connect elsewhere.
TEST(Types, AddressRejectsMalformedText) {
  EXPECT_EQ(parseAddress("127.0.0.1:80"), (Address{"127.0.0.1", 80}));
  for (auto it : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "256.0.0.1:1",
                  "1.2.3:1", "1.2.3.4.5:1", "localhost:1", "1.2.3.4:1x", "1..3.4:1"})
    EXPECT_FALSE(parseAddress(it)) << it;
}

// Guards against a name table that does not match its enum.
TEST(Types, EnumNamesRoundTrip) {
  EXPECT_EQ(parseEnum<RunOutcome>(toString(RunOutcome::MayHaveRun)), RunOutcome::MayHaveRun);
  EXPECT_EQ(parseEnum<Liveness>("gone"), Liveness::Gone);
  EXPECT_FALSE(parseEnum<Priority>("urgent"));
}

} // namespace
} // namespace catkin
