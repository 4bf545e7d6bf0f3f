#include "fleet_world_p.h"
#include "lease_p.h"

#include <gtest/gtest.h>

/// Tests of the planner lease before a store that comes back from an older copy: at no time do two
/// hosts hold it, and no term is given out twice.
namespace catkin::fleet {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Hosts = 3;

class LeaseRestore : public ::testing::Test {
protected:
  struct Host {
    std::unique_ptr<Lease> lease;
    std::uint64_t incarnation = 1;
  };

  void startHost(std::size_t i) {
    const std::string name = "h" + std::to_string(i);
    hosts[i].lease = std::make_unique<Lease>(
        env,
        LeaseOptions{.host = HostName(name),
                     .incarnation = hosts[i].incarnation++,
                     .address = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)}},
        [this, i](const LeaseRecord &mine) { terms[mine.term].push_back(i); }, [] {});
    hosts[i].lease->start();
  }

  void startAll() {
    for (std::size_t i = 0; i < Hosts; ++i)
      startHost(i);
    run(2s);
  }

  /// Runs for `d` and checks in small steps that at most one host holds a valid lease.
  void run(Duration d) {
    constexpr Duration Step = 20ms;
    for (Duration t{}; t < d; t += Step) {
      env.run(Step);
      std::size_t holders = 0;
      for (std::size_t i = 0; i < Hosts; ++i)
        holders += holdsLease(i) ? 1 : 0;
      EXPECT_LE(holders, 1U);
    }
  }

  bool holdsLease(std::size_t i) const {
    auto &lease = hosts[i].lease;
    return lease && lease->isHeld() && env.now() < lease->validUntil();
  }

  /// Returns the host that holds the lease; -1 if none does.
  int holder() const {
    for (std::size_t i = 0; i < Hosts; ++i)
      if (holdsLease(i))
        return static_cast<int>(i);
    return -1;
  }

  /// The store is away for `d` and comes back as it was at the last takeCopy().
  void restore(Duration d) {
    env.store.down = true;
    run(d);
    env.store.restore(copy, copyVersion);
    env.store.down = false;
  }
  void takeCopy() {
    copy = env.store.objects;
    copyVersion = env.store.version();
  }

  void expectTermsOnce() const {
    for (auto &[term, holders] : terms)
      EXPECT_EQ(holders.size(), 1U) << "term " << term;
  }

  FakeEnv env;
  std::array<Host, Hosts> hosts;
  std::map<std::uint64_t, std::vector<std::size_t>> terms; ///< hosts that acquired each
  std::map<std::string, StoreObject> copy;
  std::uint64_t copyVersion = 0;
};

TEST_F(LeaseRestore, NobodyPlansForLongAlthoughTheHolderStayed) {
  startAll();
  takeCopy();
  run(5s);
  const int before = holder();
  restore(500ms);
  run(1500ms);
  EXPECT_EQ(holder(), before);
  run(10s);
  EXPECT_EQ(terms.size(), 2U); // a new term, since orders of lost ones may be under way
  expectTermsOnce();
}

TEST_F(LeaseRestore, TermIsGivenOutTwiceAfterALostTakeover) {
  startAll();
  takeCopy();
  const auto first = static_cast<std::size_t>(holder());
  hosts[first].lease.reset();
  run(8s);
  ASSERT_GE(holder(), 0);
  startHost(first); // reads its own former lease in the copy
  restore(100ms);
  run(12s);
  EXPECT_GE(holder(), 0);
  expectTermsOnce();
}

TEST_F(LeaseRestore, TermIsGivenOutTwiceWhenAllHostsStartAnew) {
  startAll();
  takeCopy();
  const auto first = static_cast<std::size_t>(holder());
  hosts[first].lease.reset();
  run(8s);
  ASSERT_GE(holder(), 0);
  for (auto &it : hosts)
    it.lease.reset();
  restore(1s);
  startAll();
  run(12s);
  EXPECT_GE(holder(), 0);
  expectTermsOnce();
}

TEST_F(LeaseRestore, TermIsGivenOutTwiceWhenTheCopyHasNoLease) {
  takeCopy(); // empty
  startAll();
  const auto before = terms.rbegin()->first;
  for (auto &it : hosts)
    it.lease.reset();
  restore(4s);
  startAll();
  run(12s);
  EXPECT_GE(holder(), 0);
  EXPECT_GT(terms.rbegin()->first, before);
  expectTermsOnce();
}

// Notices of a planner with a lower term are ignored, so that hosts believe the former one.
TEST_F(LeaseRestore, TermGoesBackWhenASecondRestoreLosesTheLease) {
  const std::string record =
      R"({"holder":"h9","incarnation":1,"address":"10.0.0.1:9","term":1001,"renewal":0,)"
      R"("write_id":"w","formers":[],"era":0})";
  env.store.restore({}, 0);
  env.store.restore({{"planner/lease", {.key = "planner/lease", .version = 1, .value = record}}},
                    1);
  startAll();
  run(12s);
  ASSERT_EQ(terms.size(), 1U);
  const auto before = terms.begin()->first;
  for (auto &it : hosts)
    it.lease.reset();
  env.store.restore({}, 0);
  startAll();
  run(12s);
  ASSERT_EQ(terms.size(), 2U);
  EXPECT_EQ(terms.begin()->first, before) << "a lower term was given out later";
}

// The next holder's record has the version that the former one, whose lease has expired, would
// renew.
TEST_F(LeaseRestore, FormerHolderOverwritesTheNextOne) {
  startHost(0);
  run(2s);
  StoreObject lease = env.store.objects.at("planner/lease");
  env.store.down = true;
  run(5s);
  lease.value = R"({"holder":"h9","incarnation":1,"address":"10.0.0.1:9","term":5000,"renewal":0,)"
                R"("write_id":"w","formers":[],"era":1})";
  env.store.restore({{lease.key, lease}}, lease.version);
  env.store.down = false;
  run(2s);
  EXPECT_EQ(env.store.objects.at("planner/lease").value, lease.value);
}

TEST_F(LeaseRestore, TwoRestoresInARow) {
  startAll();
  takeCopy();
  run(3s);
  restore(2s);
  run(1s);
  restore(3s);
  run(15s);
  EXPECT_GE(holder(), 0);
  expectTermsOnce();
}

// The store is back before the old holder's lease has run out; the copy names another holder.
TEST_F(LeaseRestore, HolderOfTheCopyAndHolderOfTheLostTimeBothPlan) {
  startAll();
  const auto first = static_cast<std::size_t>(holder());
  takeCopy();
  hosts[first].lease.reset();
  run(8s);
  startHost(first);
  run(100ms);
  env.store.restore(copy, copyVersion);
  run(15s);
  EXPECT_GE(holder(), 0);
  expectTermsOnce();
}

} // namespace
} // namespace catkin::fleet
