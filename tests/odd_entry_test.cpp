#include "decode_p.h"
#include "json_split_p.h"
#include "platform_standin_p.h"
#include "process_cluster_p.h"
#include "real_env_p.h"

#include <gtest/gtest.h>

#include <csignal>
#include <set>

/// Tests with entries of another writer in the platform's store: whatever such an entry holds,
/// hosts go on, follow the others and use no endpoint that it names.
namespace catkin::platform {
namespace {

using namespace std::chrono_literals;

std::string nested(int depth) {
  return std::string(static_cast<std::size_t>(depth), '[') +
         std::string(static_cast<std::size_t>(depth), ']');
}

/// The content of an endpoint's entry in which one field has another value.
std::string entryWith(const std::string &field, const std::string &value) {
  std::map<std::string, std::string> fields{
      {"service", R"("llm")"},  {"address", R"("127.0.0.1:9")"},
      {"zone", R"("z")"},       {"version", R"("v1")"},
      {"slots", "8"},           {"state", R"("ready")"},
      {"models", "[]"},         {"sequence", "0"},
      {"born", "1700000000000"}};
  fields[field] = value;
  std::string out = "{";
  for (auto &[name, text] : fields) {
    out.append(out.size() > 1 ? ",\"" : "\"").append(name);
    out.append("\":").append(text);
  }
  out += "}";
  return out;
}

/// Contents that another writer may leave.
std::vector<std::string> oddContents() {
  std::vector<std::string> out{nested(40),
                               nested(200'000),
                               entryWith("models", nested(5000)),
                               "1e999",
                               "null",
                               "[]",
                               "\"text\"",
                               "\"\xff\xfe\"",
                               "{\"a\":\"\\ud800\"}",
                               "123456789012345678901234567890"};
  for (auto *number : {"1e999", "-1e999", "1e300", "18446744073709551616", "9223372036854775808",
                       "-1", "0.5", "2147483648", "123456789012345678901234567890", "{}", "null"})
    for (auto *field : {"slots", "sequence", "born"})
      out.push_back(entryWith(field, number));
  for (auto *address : {"127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:0",
                        "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1", ":80", "1.2.3.4.5:80",
                        "999.0.0.1:80", "[::1]:80", "host:80", ""})
    out.push_back(entryWith("address", std::string("\"") + address + "\""));
  for (auto *field : {"service", "address", "zone", "slots", "state", "models"})
    out.push_back(entryWith(field, R"([{"a":[1,"x",null]}])"));
  return out;
}

std::string objectText(const std::string &content) {
  return R"({"metadata":{"name":"odd","revision":7},"specification":)" + content + "}";
}

TEST(OddEntry, ContentThatCannotBeParsedHidesTheNameOfItsObject) {
  for (auto &it : oddContents()) {
    const auto object = decodeObject(objectText(it));
    ASSERT_TRUE(object) << it.substr(0, 80);
    EXPECT_EQ(object->name, "odd");
  }
}

TEST(OddEntry, EntryWithAValueOutOfRangeNamesAnEndpoint) {
  const std::set<std::string> harmless{
      entryWith("sequence", "9223372036854775808"), entryWith("born", "9223372036854775808"),
      entryWith("sequence", "2147483648"), entryWith("born", "2147483648")};
  for (auto &it : oddContents()) {
    const auto object = decodeObject(objectText(it));
    ASSERT_TRUE(object);
    if (harmless.count(it) == 0) {
      EXPECT_FALSE(decodeEndpoint(*object)) << it.substr(0, 200);
    }
  }
  EXPECT_TRUE(decodeEndpoint(*decodeObject(objectText(entryWith("slots", "8")))));
}

TEST(OddEntry, TextThatEndsTooEarlyIsReadBeyondItsEnd) {
  const std::string text = objectText(entryWith("models", R"([{"name":"m\\\"]}"},{}])"));
  ASSERT_TRUE(decodeObject(text));
  for (std::size_t n = 0; n < text.size(); ++n) {
    const std::string cut(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(n));
    EXPECT_FALSE(splitJsonObject(cut)) << cut;
    EXPECT_FALSE(decodeObject(cut)) << cut;
  }
}

class OddEntries : public ::testing::TestWithParam<int> {
protected:
  OddEntries() : cluster(GetParam(), {{"m0"}, {"m0"}}) {}

  void putOddEntries(const std::string &prefix) {
    cluster.run([&] {
      int n = 0;
      for (auto &it : oddContents())
        cluster.store.putRaw("servers", prefix + std::to_string(++n), it);
    });
  }

  void expectAllServe() {
    for (int host = 0; host < GetParam(); ++host)
      EXPECT_EQ(statusOf(cluster.requestStream(host, "m0")), 200U) << "host " << host;
  }

  PlatformCluster cluster;
};

TEST_P(OddEntries, HostsEndOrStopFollowingTheListOfEndpoints) {
  ASSERT_TRUE(cluster.waitUntilReady());
  putOddEntries("a-odd-");
  putOddEntries("z-odd-");
  std::this_thread::sleep_for(1s);
  expectAllServe();
  // Changes that follow are heard of: one engine leaves, the other one serves all requests.
  cluster.setEngineState(0, "draining");
  std::this_thread::sleep_for(2s);
  int runsBefore = 0;
  cluster.run([&] { runsBefore = cluster.engines[0]->runs; });
  expectAllServe();
  cluster.run([&] { EXPECT_EQ(cluster.engines[0]->runs, runsBefore); });
  // A host that starts reads the list with the odd entries.
  cluster.signalHost(0, SIGKILL);
  cluster.startHost(0);
  ASSERT_TRUE(cluster.waitUntilReady());
  expectAllServe();
}

TEST_P(OddEntries, OtherKindsKeepHostsFromServing) {
  ASSERT_TRUE(cluster.waitUntilReady());
  cluster.run([&] {
    int n = 0;
    for (auto &it : oddContents()) {
      cluster.store.putRaw("catkin-hosts", "odd-" + std::to_string(++n), it);
      cluster.store.putRaw("config", "odd-" + std::to_string(n), it);
      cluster.store.putRaw("planner", "odd-" + std::to_string(n), it);
    }
  });
  cluster.signalHost(0, SIGKILL);
  cluster.startHost(0);
  ASSERT_TRUE(cluster.waitUntilReady());
  std::this_thread::sleep_for(1s);
  expectAllServe();
}

INSTANTIATE_TEST_SUITE_P(Hosts, OddEntries, ::testing::Values(3, 9));

} // namespace
} // namespace catkin::platform
