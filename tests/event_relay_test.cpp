#include "event_relay_p.h"

#include <gtest/gtest.h>

#include <chrono>

namespace catkin {
namespace {

using namespace std::chrono_literals;

// Guards against an event that is given out in part or twice, wherever the pieces are cut.
TEST(EventRelayTest, GivesOutWholeEventsOnly) {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
  EventRelay relay;
  std::string out;
  for (char c : stream) {
    relay.feed({&c, 1});
    out += relay.takeCompleteEvents();
  }
  EXPECT_EQ(out, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(relay.lastEventId(), "2");
  EXPECT_EQ(relay.eventCount(), 2U);
  EXPECT_EQ(relay.pendingBytes(), std::string("id: 3\nda").size());
  relay.discardPartialEvent();
  relay.feed("id: 3\ndata: c\n\n");
  EXPECT_EQ(relay.takeCompleteEvents(), "id: 3\ndata: c\n\n");
}

// Guards against a processor kept busy by one long event: each piece was searched with all before
// it, and an endpoint that sent bytes without end held up every other request.
TEST(EventRelayTest, LongEventIsSearchedOnce) {
  EventRelay relay;
  const std::string piece(1024, 'x');
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 16 * 1024; ++i) {
    relay.feed(piece);
    EXPECT_EQ(relay.takeCompleteEvents(), "");
  }
  EXPECT_LT(std::chrono::steady_clock::now() - began, 1s);
}

} // namespace
} // namespace catkin
