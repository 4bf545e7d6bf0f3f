#include "membership_p.h"

#include <gtest/gtest.h>

namespace catkin {
namespace {

using namespace std::chrono_literals;

Member makeMember(const char *host, std::uint64_t incarnation, std::uint16_t port) {
  return {.host = HostName(host), .incarnation = incarnation, .callerAddress = {"127.0.0.1", port}};
}

ListedNode makeListedHost(const char *host, Liveness liveness) {
  return {.kind = ListedKind::Host, .name = host, .liveness = liveness};
}

constexpr Instant Start{1h};

// Guards against sending callers to hosts that are leaving, overloaded or silent.
TEST(Membership, CallersAreSentOnlyToUsableHosts) {
  Membership m;
  m.onSync(makeMember("a", 1, 1), Start);
  auto busy = makeMember("b", 1, 2);
  busy.overloaded = true;
  m.onSync(busy, Start);
  m.onSync(makeMember("c", 1, 3), Start);
  m.onSync(makeMember("d", 1, 4), Start - 1min);
  m.setListedHosts({makeListedHost("a", Liveness::Live), makeListedHost("c", Liveness::Leaving)});
  EXPECT_EQ(m.callerAddresses(Start, 0, {}), (std::vector<Address>{{"127.0.0.1", 1}}));
}

// Guards against all callers connecting to the same host because they get the same address order.
TEST(Membership, OrderIsSpreadOverCallers) {
  Membership m;
  for (std::uint16_t i = 1; i <= 3; ++i)
    m.onSync(makeMember(std::string(1, static_cast<char>('a' + i)).c_str(), 1, i), Start);
  EXPECT_EQ(m.callerAddresses(Start, 0, {}).front().port, 1);
  EXPECT_EQ(m.callerAddresses(Start, 1, {}).front().port, 2);
  EXPECT_EQ(m.callerAddresses(Start, 5, {}).front().port, 3);
}

// Guards against releasing the shares of a running process because the host list is out of date: a
// restarted host may still be listed as gone because its former process ended.
TEST(Membership, ListDoesNotEndAProcessThatReports) {
  Membership m;
  m.setListedHosts({makeListedHost("a", Liveness::Live)});
  m.onSync(makeMember("a", 2, 1), Start);
  m.setListedHosts({makeListedHost("a", Liveness::Gone)});
  EXPECT_TRUE(m.hasEnded(HostName("a"), 1, Start));
  EXPECT_FALSE(m.hasEnded(HostName("a"), 2, Start + 1s));
  EXPECT_TRUE(m.hasEnded(HostName("a"), 2, Start + 1min));
}

// Guards against treating a new host as gone because the host list does not contain it yet.
TEST(Membership, UnlistedHostIsNotGone) {
  Membership m;
  m.onSync(makeMember("a", 1, 1), Start);
  m.setListedHosts({makeListedHost("b", Liveness::Live)});
  EXPECT_FALSE(m.hasEnded(HostName("a"), 1, Start + 1min));
  m.setListedHosts({});
  EXPECT_TRUE(m.hasEnded(HostName("b"), 1, Start));
}

} // namespace
} // namespace catkin
