#include "connection_table_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

const Instant Start{1h};

class ConnectionTableTest : public ::testing::Test {
protected:
  bool add(std::uint64_t id, Instant now) {
    return table.tryAdd(id, now, [this, id](ConnectionTable::CloseMode) { closed.push_back(id); });
  }
  /// Lets a connection serve a request that ends at `now`.
  void serve(std::uint64_t id, Instant now) {
    table.onRequest(id);
    table.onWaiting(id, now);
  }
  ConnectionTable table{3};
  std::vector<std::uint64_t> closed;
};

// Guards against a caller that loses its connection while there are some that never sent a request.
TEST_F(ConnectionTableTest, ConnectionsWithoutARequestAreClosedFirst) {
  for (std::uint64_t id : {1, 2, 3})
    EXPECT_TRUE(add(id, Start + id * 1ms));
  serve(1, Start + 1s);
  EXPECT_TRUE(add(4, Start + 5s));
  EXPECT_EQ(closed, std::vector<std::uint64_t>({2}));
  table.remove(2);
  serve(3, Start + 6s);
  serve(4, Start + 7s);
  EXPECT_TRUE(add(5, Start + 9s));
  EXPECT_EQ(closed, std::vector<std::uint64_t>({2, 1}));
}

// Guards against requests that are lost with their connection.
TEST_F(ConnectionTableTest, RequestsInProgressKeepTheirConnections) {
  for (std::uint64_t id : {1, 2, 3}) {
    EXPECT_TRUE(add(id, Start));
    table.onRequest(id);
  }
  EXPECT_FALSE(add(4, Start + 1h));
  table.onWaiting(2, Start + 1h);
  EXPECT_FALSE(add(4, Start + 1h + 500ms)); // its caller may be about to reuse it
  EXPECT_TRUE(add(4, Start + 1h + 1s));
  EXPECT_EQ(closed, std::vector<std::uint64_t>({2}));
  EXPECT_EQ(table.refusals(), 2U);
}

// Guards against a limit that is exceeded since a connection to be closed got a request just then.
TEST_F(ConnectionTableTest, ConnectionThatGoesOnCountsAgain) {
  for (std::uint64_t id : {1, 2, 3})
    EXPECT_TRUE(add(id, Start));
  EXPECT_TRUE(add(4, Start));
  ASSERT_EQ(closed.size(), 1U);
  table.onRequest(closed[0]);
  for (std::uint64_t id : {1, 2, 3, 4})
    table.onRequest(id);
  EXPECT_FALSE(add(5, Start));
}

// Guards against descriptors that are used up by connections that are being closed.
TEST_F(ConnectionTableTest, ClosingConnectionsAreBounded) {
  std::uint64_t id = 0;
  while (id < 1000 && add(id, Start))
    ++id;
  EXPECT_LT(table.size(), 50U);
}

} // namespace
} // namespace catkin
