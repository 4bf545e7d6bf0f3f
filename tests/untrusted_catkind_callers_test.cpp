#include "crowd_p.h"
#include "process_cluster_p.h"

#include <gtest/gtest.h>

#include <iostream>
#include <string>

namespace catkin {
namespace {

constexpr std::size_t HeldMegabytes = 24;
constexpr std::size_t MaxMegabytes = 2 * HeldMegabytes;
constexpr std::size_t BodyBytes = 1024 * 1024 - 1000;
constexpr std::size_t MaxConnections = 100;
constexpr std::size_t MaxDescriptors = 2 * MaxConnections;
constexpr int Callers = 200;

class UntrustedCatkindCallers : public ::testing::Test {
protected:
  UntrustedCatkindCallers()
      : cluster({.hosts = 2,
                 .engines = 1,
                 .hostFlags = {"--max-held-mb", std::to_string(HeldMegabytes), "--max-connections",
                               std::to_string(MaxConnections)}}) {}
  void SetUp() override {
    ASSERT_TRUE(cluster.isReady()) << cluster.error;
    ASSERT_TRUE(pollUntil([&] { return isServed(); }));
  }
  bool isServed() const {
    return isWholeAnswer(cluster.requestCompletion(0, ProcessCluster::Model, "p"),
                         ProcessCluster::Model, "p");
  }
  /// Waiting would only show that idle connections end at their timeout.
  bool isServedAtOnce() const {
    constexpr int MaxTries = 20;
    for (int i = 0; i < MaxTries; ++i)
      if (isServed())
        return true;
    return false;
  }
  void expectServes(const std::string &text, bool atOnce) const {
    const Crowd crowd(cluster.hostAddress(0), Callers, text, true);
    EXPECT_TRUE(crowd.waitUntilSent());
    EXPECT_TRUE(atOnce ? isServedAtOnce() : pollUntil([&] { return isServed(); }));
    const std::size_t descriptors = openDescriptors(cluster.hostProcess(0));
    const std::size_t peak = peakMegabytes(cluster.hostProcess(0));
    std::cout << "peak " << peak << " MB, " << descriptors << " descriptors\n";
    EXPECT_GT(peak, 0U) << "the process has ended";
    EXPECT_LE(peak, MaxMegabytes);
    EXPECT_LE(descriptors, MaxDescriptors);
  }

  ProcessCluster cluster;
};

// Guards against idle connections that keep all other callers out.
TEST_F(UntrustedCatkindCallers, IdleConnectionsMakeRoom) { expectServes({}, true); }

// Guards against bodies that hold memory forever since their end never arrives.
TEST_F(UntrustedCatkindCallers, UnfinishedBodiesFitTheLimit) {
  expectServes("POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                   std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes - 10, 'x'),
               false);
}

} // namespace
} // namespace catkin
