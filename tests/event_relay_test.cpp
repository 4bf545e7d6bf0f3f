#include "event_relay_p.h"

#include <gtest/gtest.h>

#include <chrono>

namespace catkin {
namespace {

using namespace std::chrono_literals;

// Guards against relaying an event partly or twice, wherever the chunk boundaries are.
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

// Guards against taking events whose lines end with carriage returns for one that never ends.
TEST(EventRelayTest, EventsMayHaveCarriageReturns) {
  const std::string stream = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
  EventRelay relay;
  std::string out;
  for (char c : stream) {
    relay.feed({&c, 1});
    out += relay.takeCompleteEvents();
  }
  EXPECT_EQ(out, stream);
  EXPECT_EQ(relay.lastEventId(), "2");
  EXPECT_EQ(relay.eventCount(), 2U);
  EXPECT_FALSE(relay.isInsideEvent());
  relay.feed("\r\nid");
  EXPECT_TRUE(relay.isInsideEvent());
}

// Guards against quadratic processing time for a long event: each chunk was searched together with
// all earlier ones, so an endpoint that sent an endless event delayed every other request.
TEST(EventRelayTest, LongEventIsSearchedOnce) {
  EventRelay relay;
  const std::string piece(1024, 'x');
  const auto startTime = std::chrono::steady_clock::now();
  for (int i = 0; i < 16 * 1024; ++i) {
    relay.feed(piece);
    EXPECT_EQ(relay.takeCompleteEvents(), "");
  }
  EXPECT_LT(std::chrono::steady_clock::now() - startTime, 1s);
}

} // namespace
} // namespace catkin
