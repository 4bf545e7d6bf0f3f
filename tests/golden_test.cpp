#include "cluster_p.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>

/// Golden-file tests of whole sessions. A file holds the decision log of a cluster, interleaved
/// with the steps of the session and the planner's replies. CATKIN_UPDATE_GOLDEN=1 rewrites the
/// files.
namespace catkin::harness {
namespace {

using namespace std::chrono_literals;

constexpr Duration LongDeadline = 60s;
// Gives models of 30 GB, so that the estimates in the log have the magnitude of a real cold start.
constexpr std::uint64_t UnitBytes = 1'000'000'000;

bool isNumber(const std::string &text) {
  return !text.empty() && std::all_of(text.begin(), text.end(),
                                      [](unsigned char c) { return std::isdigit(c) != 0; });
}

/// Formats a decision as one line of the log.
std::string describe(const Decision &d) {
  std::ostringstream out;
  out << toString(d.kind);
  if (!d.plan.empty())
    out << " plan " << d.plan.value;
  if (!d.model.empty())
    out << " model " << d.model.value;
  // Omits versions of platform objects: they count all writes, so any unrelated write changes them.
  if (!d.chosen.empty() && !(d.kind == DecisionKind::Quota && isNumber(d.chosen)))
    out << " -> " << d.chosen;
  out << ": " << d.reason;
  return out.str();
}

/// Runs a cluster and builds the text of its golden file.
class Session {
public:
  explicit Session(const ClusterOptions &options) : cluster(options) {}

  /// Adds the description of a step to the text.
  void addStep(const std::string &what) { addEntry("#", what); }

  /// Requests the model at a host. The planner's reply is added to the text when it arrives.
  void requestModel(std::size_t host, const ModelName &model) {
    auto name = cluster.hosts[host].self.host.value;
    cluster.ensure(host, model, LongDeadline, [this, name, model](const EnsureReply &r) {
      std::ostringstream out;
      out << "reply to " << name << " for " << model.value << ": " << toString(r.outcome);
      if (!r.endpoint.empty())
        out << " on " << r.endpoint.value;
      if (r.outcome == EnsureOutcome::Loading)
        out << ", ready in " << toMillis(r.estimate) << " ms";
      if (r.outcome == EnsureOutcome::Refused)
        out << ", " << r.reason << ", come back in " << toMillis(r.retryAfter) << " ms";
      addEntry("<", out.str());
    });
  }

  void requestModelAtAllHosts(const ModelName &model) {
    addStep("first requests for " + model.value + " at every host");
    for (std::size_t i = 0; i < cluster.hosts.size(); ++i)
      requestModel(i, model);
  }

  void run(Duration d) { cluster.world.run(d); }

  /// Adds the models held by each engine to the text.
  void showReplicas() {
    for (auto &[name, engine] : cluster.world.engines()) {
      std::string text = name.value + " holds";
      for (auto &[model, it] : engine.models)
        text += " " + model.value + (it.ready ? "" : " (loading)");
      addStep(text);
    }
  }

  /// Adds the list revision of each host to the text.
  void showRevisions() {
    for (auto &it : cluster.hosts)
      addStep(it.self.host.value + " has revision " + std::to_string(it.revisions.back()));
  }

  std::string text() {
    addDecisions();
    return out.str();
  }

  Cluster cluster;

private:
  void addEntry(const char *marker, const std::string &what) {
    addDecisions();
    addLine(cluster.world.now(), marker, what);
  }

  /// Adds the decisions made since the last call.
  void addDecisions() {
    auto &log = cluster.world.decisions();
    for (; writtenDecisions < log.size(); ++writtenDecisions)
      addLine(log[writtenDecisions].first, cluster.world.decisionHosts()[writtenDecisions].value,
              describe(log[writtenDecisions].second));
  }

  void addLine(Instant when, const std::string &who, const std::string &what) {
    out << std::fixed << std::setprecision(3) << std::setw(8) << toSeconds(when.time_since_epoch())
        << ' ' << who << ' ' << what << '\n';
  }

  std::ostringstream out;
  std::size_t writtenDecisions = 0; ///< decisions already added to the text
};

std::vector<std::string> readLines(std::istream &in) {
  std::vector<std::string> lines;
  for (std::string it; std::getline(in, it);)
    lines.push_back(it);
  return lines;
}

/// Compares the text with the golden file, or rewrites the file if CATKIN_UPDATE_GOLDEN is set.
void expectGolden(const std::string &name, const std::string &text) {
  auto path = std::string(CATKIN_SOURCE_DIR "/tests/golden/") + name + ".txt";
  if (std::getenv("CATKIN_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
    return;
  }
  std::ifstream file(path);
  ASSERT_TRUE(file) << path << " is missing; make golden writes it";
  std::istringstream stream(text);
  auto expected = readLines(file);
  auto actual = readLines(stream);
  for (std::size_t i = 0; i < std::max(expected.size(), actual.size()); ++i) {
    auto want = i < expected.size() ? expected[i] : "(end)";
    auto have = i < actual.size() ? actual[i] : "(end)";
    ASSERT_EQ(want, have) << path << " line " << i + 1 << "; make golden rewrites the file";
  }
}

std::string morningStart() {
  Session s({.seed = 1, .hosts = 8, .engines = 3, .models = 10, .unitBytes = UnitBytes});
  EXPECT_TRUE(s.cluster.startAll());
  for (int i = 0; i < 3; ++i)
    s.requestModelAtAllHosts(Cluster::model(i));
  s.run(20s);
  s.showReplicas();
  s.addStep("the other models wake one after the other");
  for (int i = 3; i < 10; ++i) {
    s.requestModel(static_cast<std::size_t>(i) % 8, Cluster::model(i));
    s.run(8s);
  }
  s.run(30s);
  s.showReplicas();
  return s.text();
}

std::string feastDayDeparture() {
  Session s(
      {.seed = 2, .hosts = 8, .engines = 4, .models = 4, .adapters = 8, .unitBytes = UnitBytes});
  EXPECT_TRUE(s.cluster.startAll());
  s.requestModelAtAllHosts(Cluster::model(0));
  s.addStep("at once each host asks for an adapter of its own");
  for (int i = 0; i < 8; ++i)
    s.requestModel(static_cast<std::size_t>(i), Cluster::adapter(i));
  s.run(30s);
  s.showReplicas();
  s.addStep("second wave");
  s.requestModelAtAllHosts(Cluster::model(0));
  for (int i = 0; i < 8; ++i)
    s.requestModel(static_cast<std::size_t>(i), Cluster::adapter(7 - i));
  s.requestModelAtAllHosts(Cluster::model(1));
  s.run(30s);
  s.showReplicas();
  return s.text();
}

std::string outageDuringEdit() {
  Session s({.seed = 3, .hosts = 4, .engines = 4, .unitBytes = UnitBytes});
  EXPECT_TRUE(s.cluster.startAll());
  s.requestModel(0, Cluster::model(0));
  s.run(10s);
  auto edit = [&](std::size_t host, std::uint64_t revision, int concurrency) {
    s.addStep("an operator sets the concurrency to " + std::to_string(concurrency));
    s.cluster.hosts[host].control->config().edit(
        ListKind::Plans, s.cluster.plansDocument(concurrency), revision, [&](const EditResult &r) {
          s.addStep("the edit is answered " + std::string(toString(r.outcome)) + ", revision " +
                    std::to_string(r.revision));
        });
  };
  s.cluster.world.faults().loseWriteReply = 1;
  edit(0, 1, 8);
  s.run(3ms);
  s.addStep("the platform goes down, and the reply is lost");
  s.cluster.world.faults().loseWriteReply = 0;
  s.cluster.world.faults().platformDown = true;
  s.run(60s);
  edit(1, 1, 4);
  s.run(30s);
  for (int i = 1; i < 5; ++i) {
    s.addStep("a cold model is asked for");
    s.requestModel(static_cast<std::size_t>(i) % 4, Cluster::model(i));
    s.run(10s);
  }
  s.showReplicas();
  s.showRevisions();
  s.addStep("the platform is back");
  s.cluster.world.faults().platformDown = false;
  s.run(30s);
  s.showRevisions();
  edit(1, 2, 4);
  s.run(10s);
  s.showRevisions();
  s.showReplicas();
  return s.text();
}

/// Stops a host as a rolling update does, starts it again and waits until it is ready.
void replaceHost(Session &s, std::size_t host) {
  auto &it = s.cluster.hosts[host];
  auto name = it.self.host.value;
  s.addStep(name + " is asked to stop");
  it.control->setLeaving(true);
  s.cluster.setHostListed(host, Liveness::Leaving, 1s);
  s.run(3s);
  bool done = false;
  it.control->stop([&] { done = true; });
  EXPECT_TRUE(s.cluster.world.runUntil([&] { return done; }, 10s)) << name << " did not stop";
  s.addStep(name + " ends");
  s.cluster.kill(host);
  s.run(1s);
  s.cluster.start(host);
  s.cluster.setHostListed(host, Liveness::Live, 1s);
  EXPECT_TRUE(s.cluster.world.runUntil([&] { return it.control->isReady(); }, 30s));
  s.addStep(name + " is ready again");
}

std::string rollingReplacement() {
  Session s({.seed = 4, .hosts = 8, .engines = 4, .unitBytes = UnitBytes});
  EXPECT_TRUE(s.cluster.startAll());
  s.requestModel(0, Cluster::model(0));
  s.run(10s);
  for (std::size_t i = 0; i < s.cluster.hosts.size(); ++i) {
    replaceHost(s, i);
    s.requestModel((i + 1) % s.cluster.hosts.size(), Cluster::model(static_cast<int>(i) % 6));
    s.run(8s);
  }
  s.showReplicas();
  return s.text();
}

// Each test guards against unreviewed changes of decisions, and against a log that differs from run
// to run.
TEST(Golden, MorningStart) { expectGolden("morning_start", morningStart()); }
TEST(Golden, FeastDayDeparture) { expectGolden("feast_day_departure", feastDayDeparture()); }
TEST(Golden, OutageDuringEdit) { expectGolden("outage_during_edit", outageDuringEdit()); }
TEST(Golden, RollingReplacement) { expectGolden("rolling_replacement", rollingReplacement()); }

} // namespace
} // namespace catkin::harness
