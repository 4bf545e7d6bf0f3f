#include "platform_standin_p.h"
#include "process_cluster_p.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

namespace catkin::platform {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr std::size_t MemoryMegabytes = 64;
constexpr std::size_t FileDescriptors = 400;
constexpr std::size_t ReservedDescriptors = 200; // for files, as the platform's rules say
constexpr std::size_t BodyBytes = 4 * 1024 * 1024 - 1000;
constexpr int LargeCallers = 60; // 240 MB, four times the memory of the machine
constexpr int IdleCallers = 400;

/// Connections that send the same bytes at the same time and stay open until the object is
/// destroyed.
class Crowd {
public:
  Crowd(const Address &to, int count, std::string text, bool reads)
      : bytes(std::move(text)), total(count), readsAnswers(reads) {
    for (int i = 0; i < count; ++i) {
      sockets.push_back(std::make_unique<tcp::socket>(io));
      start(*sockets.back(), {asio::ip::make_address(to.ip), to.port});
    }
    thread = std::thread([this] { io.run(); });
  }
  ~Crowd() {
    io.stop();
    thread.join();
  }
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  /// Waits until each connection has sent all bytes or was closed.
  bool waitUntilSent() const {
    return pollUntil([this] { return finished == total; });
  }

private:
  void start(tcp::socket &socket, const tcp::endpoint &to) {
    socket.async_connect(to, [this, &socket](boost::system::error_code ec) {
      if (ec) {
        ++finished;
        return;
      }
      if (readsAnswers)
        discardAnswer(socket);
      asio::async_write(socket, asio::buffer(bytes),
                        [this](boost::system::error_code, std::size_t) { ++finished; });
    });
  }
  void discardAnswer(tcp::socket &socket) {
    socket.async_read_some(asio::buffer(scratch),
                           [this, &socket](boost::system::error_code ec, std::size_t) {
                             if (!ec)
                               discardAnswer(socket);
                           });
  }

  const std::string bytes;
  const int total;
  const bool readsAnswers;
  std::atomic<int> finished{0};
  std::array<char, 16 * 1024> scratch{};
  asio::io_context io;
  std::vector<std::unique_ptr<tcp::socket>> sockets;
  std::thread thread;
};

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

/// Returns the peak of the resident memory in MB.
std::size_t peakMegabytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (in >> word)
    if (word == "VmHWM:" && in >> kilobytes)
      break;
  return kilobytes / 1024;
}

std::size_t openDescriptors(pid_t pid) {
  std::error_code ec;
  std::size_t n = 0;
  for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", ec), end;
       !ec && it != end; it.increment(ec))
    ++n;
  return n;
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
