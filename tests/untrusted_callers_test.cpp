#include "crowd_p.h"
#include "platform_standin_p.h"
#include "process_cluster_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <string>

namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t MemoryMegabytes = 64;
constexpr std::size_t FileDescriptors = 400;
constexpr std::size_t ReservedDescriptors = 200; // for files, as the platform's rules say
constexpr std::size_t BodyBytes = 4 * 1024 * 1024 - 1000;
constexpr int LargeCallers = 60; // 240 MB, four times the memory of the machine
constexpr int IdleCallers = 400;

std::string requestHead(const char *target, const std::string &fields) {
  return std::string("POST ") + target +
         " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: h0-crowd\r\nDeadline-Ms: 9000\r\n"
         "Model: m0\r\n" +
         fields + "\r\n";
}

std::string requestWithBody(std::size_t missing) {
  return requestHead("/s/x", "Content-Length: " + std::to_string(BodyBytes) + "\r\n") +
         std::string(BodyBytes - missing, 'x');
}

class UntrustedCallers : public ::testing::Test {
protected:
  UntrustedCallers()
      : cluster(1, {{"m0", "m1"}, {"m2", "m3"}},
                {.plainEndpoints = 1,
                 .settings = "limits.memory_mb=" + std::to_string(MemoryMegabytes) +
                             "\nlimits.file_descriptors=" + std::to_string(FileDescriptors) +
                             "\n"}) {}
  void SetUp() override {
    ASSERT_TRUE(cluster.waitUntilReady());
    ASSERT_TRUE(pollUntil([&] { return isServed(); }));
    // The requests of the crowd overlap.
    cluster.run([&] { cluster.engines[0]->eventPause = 200ms; });
  }
  bool isServed() {
    const auto result = cluster.requestStream(0, "m0");
    return statusOf(result) == 200 && result.response.body() == wholeStream("v1");
  }
  unsigned statusOfBody(std::size_t bytes) {
    return statusOf(cluster.requestStreamAt(0, "m0", "/s/x", std::string(bytes, 'x')));
  }
  /// Checks that the host is alive, has stayed within its machine and serves a request.
  void expectServes(const Crowd &crowd) {
    EXPECT_TRUE(crowd.waitUntilSent());
    const pid_t pid = cluster.hostProcess(0);
    std::size_t descriptors = openDescriptors(pid);
    EXPECT_TRUE(pollUntil([&] { return isServed(); }));
    descriptors = std::max(descriptors, openDescriptors(pid));
    const std::size_t peak = peakMegabytes(pid);
    std::cout << "peak " << peak << " MB, " << descriptors << " descriptors\n";
    EXPECT_GT(peak, 0U) << "the process has ended";
    EXPECT_LE(peak, MemoryMegabytes);
    EXPECT_LE(descriptors, FileDescriptors - ReservedDescriptors);
  }
  void runCrowd(int count, std::string text, bool reads = true) {
    const Crowd crowd(cluster.hostAddress(0), count, std::move(text), reads);
    expectServes(crowd);
  }

  PlatformCluster cluster;
};

// Guards against memory exhaustion by complete bodies and the copies that are forwarded.
TEST_F(UntrustedCallers, WholeBodiesFitTheMachine) { runCrowd(LargeCallers, requestWithBody(0)); }

// Guards against bodies that hold memory forever since their end never arrives.
TEST_F(UntrustedCallers, UnfinishedBodiesFitTheMachine) {
  runCrowd(LargeCallers, requestWithBody(10));
}

// Guards against bodies without a length that are not counted, or counted late.
TEST_F(UntrustedCallers, UnfinishedChunkedBodiesFitTheMachine) {
  std::string text = requestHead("/s/x", "Transfer-Encoding: chunked\r\n");
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  for (std::size_t n = 0; n + 0x10000 < BodyBytes; n += 0x10000)
    text += chunk;
  runCrowd(LargeCallers, text);
}

// Guards against memory for heads that are not counted.
TEST_F(UntrustedCallers, HalfHeadsFitTheMachine) {
  runCrowd(IdleCallers, "POST /s/x HTTP/1.1\r\nX-Pad: " + std::string(16 * 1024 - 64, 'x'));
}

// Guards against answers that stay in memory since their callers do not read them.
TEST_F(UntrustedCallers, UnreadAnswersFitTheMachine) {
  cluster.run([&] { cluster.plainEndpoints[0]->answerBytes = BodyBytes; });
  runCrowd(LargeCallers, requestHead("/u/x", "Content-Length: 0\r\n"), false);
}

// Guards against idle connections that take the descriptors for endpoints, hosts and the store.
TEST_F(UntrustedCallers, IdleConnectionsLeaveDescriptors) { runCrowd(IdleCallers, {}); }

// Guards against idle connections to the other addresses of a host, which share its descriptors.
TEST_F(UntrustedCallers, DirectoryAndReadinessKeepAnswering) {
  const Crowd directory(cluster.directoryAddress(0), IdleCallers, "GET /", true);
  const Crowd readiness(cluster.readinessAddress(0), IdleCallers, {}, true);
  EXPECT_TRUE(readiness.waitUntilSent());
  EXPECT_TRUE(pollUntil([&] { return cluster.isHostReady(0); }));
  EXPECT_TRUE(pollUntil([&] { return cluster.directoryAddresses(0).size() == 1; }));
  expectServes(directory);
}

// Guards against small requests that are refused for as long as large ones stall.
TEST_F(UntrustedCallers, SmallBodiesPassStalledLargeOnes) {
  const Crowd stalled(cluster.hostAddress(0), LargeCallers, requestWithBody(10), true);
  EXPECT_TRUE(pollUntil([&] { return statusOfBody(64 * 1024) == 200; }));
  expectServes(stalled);
}

// Guards against all kinds of crowds together, each of which fits the machine alone.
TEST_F(UntrustedCallers, CrowdsTogetherFitTheMachine) {
  cluster.run([&] { cluster.plainEndpoints[0]->answerBytes = BodyBytes; });
  const Address to = cluster.hostAddress(0);
  const Crowd idle(to, IdleCallers / 4, {}, true);
  const Crowd whole(to, LargeCallers / 2, requestWithBody(0), true);
  const Crowd unfinished(to, LargeCallers / 2, requestWithBody(10), true);
  const Crowd unread(to, LargeCallers / 2, requestHead("/u/x", "Content-Length: 0\r\n"), false);
  EXPECT_TRUE(unread.waitUntilSent());
  EXPECT_TRUE(whole.waitUntilSent());
  expectServes(unfinished);
}

// Guards against limits that refuse the largest allowed request although nothing else is running.
TEST_F(UntrustedCallers, SingleLargestBodyIsServed) { EXPECT_EQ(statusOfBody(BodyBytes), 200U); }

} // namespace
} // namespace catkin::platform
