#include "messages_p.h"

#include <gtest/gtest.h>

#include <random>

namespace catkin {
namespace {

SyncRequest makeSampleRequest() {
  SyncRequest m{.self = {.host = HostName("entry-1"),
                         .incarnation = 7,
                         .callerAddress = {"127.0.0.1", 8001},
                         .peerAddress = {"127.0.0.1", 9001},
                         .dataCentre = DataCentreName("buda-a"),
                         .liveness = Liveness::Leaving,
                         .overloaded = true,
                         .revision = 3},
                .term = 4,
                .tableTerm = 4,
                .tableVersion = 12,
                .membersVersion = 2,
                .maxWait = std::chrono::seconds(1)};
  m.models.push_back({ModelName("hygiene"), 5, 2, 1});
  m.plans.push_back({PlanName("dispatch"), 2, 1, 12.5, 9});
  return m;
}

// Guards against a field that is encoded under one name and decoded under another.
TEST(Messages, RoundTripKeepsEveryField) {
  auto text = encode(makeSampleRequest());
  auto m = decodeSyncRequest(text);
  ASSERT_TRUE(m);
  EXPECT_EQ(encode(*m), text);

  SyncReply reply{.isPlanner = true, .term = 3, .planner = HostName("entry-2")};
  reply.plannerAddress = {"127.0.0.1", 9002};
  reply.tableVersion = 8;
  reply.fullTable = true;
  reply.entries.push_back({.model = ModelName("hygiene"),
                           .endpoint = EndpointName("drafting-1"),
                           .address = {"127.0.0.1", 7001},
                           .dataCentre = DataCentreName("pest-b"),
                           .state = ReplicaState::Loaded,
                           .leaving = true,
                           .generation = 2,
                           .running = 4,
                           .queued = 1});
  reply.removed.emplace_back(ModelName("old"), EndpointName("drafting-2"));
  reply.membersVersion = 6;
  reply.members.push_back(makeSampleRequest().self);
  reply.shares.push_back({PlanName("dispatch"), 2, 5, 100.5});
  reply.revision = 11;
  auto decoded = decodeSyncReply(encode(reply));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(encode(*decoded), encode(reply));

  EnsureReply ensure{EnsureOutcome::Loading, EndpointName("drafting-1"), Duration(5), Duration(6),
                     "joined"};
  EXPECT_EQ(encode(*decodeEnsureReply(encode(ensure))), encode(ensure));
}

// Guards against a crash, or an incomplete message that is accepted, when a peer runs another
// version or a message is damaged.
TEST(Messages, DamagedTextIsRejectedOrStaysReadable) {
  EXPECT_FALSE(decodeSyncRequest("[]"));
  EXPECT_FALSE(decodeSyncRequest(R"({"self":{"host":""}})"));
  EXPECT_FALSE(decodeSyncReply(R"({"term":-1})"));
  EXPECT_FALSE(decodeSyncReply(R"({"entries":[1]})"));
  EXPECT_FALSE(decodeEnsureReply(R"({"outcome":"perhaps"})"));
  std::mt19937 random(1);
  auto text = encode(makeSampleRequest());
  for (int i = 0; i < 2000; ++i) {
    auto damaged = text;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    auto m = decodeSyncRequest(damaged);
    if (m) {
      EXPECT_FALSE(m->self.host.empty());
    }
  }
}

} // namespace
} // namespace catkin
