#pragma once

#include "http_p.h"

#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Load generator and response checker: an open-loop arrival plan, a client of the API, and the
/// report.
namespace catkin {

// ---- Plan ---------------------------------------------------------------------------------------

enum class LoadKind { Completion, LookUp, Confirm, Count };
template <> struct EnumNames<LoadKind> {
  static constexpr std::array<std::string_view, 3> Table{"completion", "look_up", "confirm"};
};

/// One planned request. A confirm call is sent twice.
struct LoadItem {
  Duration at{0}; ///< send time after the start of the run
  LoadKind kind = LoadKind::Completion;
  std::string model; ///< for completions
  std::string prompt;
  bool chat = false;
  bool stream = true;
  bool cold = false; ///< first use of the model in the run, or after ColdAfter without a use
  unsigned maxTokens = 16;
  std::string path; ///< for service calls: path below /v1/services/
  std::string body;
  std::string key;      ///< idempotency key
  Duration repeatAt{0}; ///< after the start of the run: second call with the same key
};

/// Mix of requests of one kind of user.
struct WorkloadProfile {
  std::string_view name;
  double lookUpShare = 0;
  double confirmShare = 0;
  double chatShare = 0;
  double burstShare = 0; ///< share of completions that arrive in a burst
  double modelSkew = 1;  ///< Zipf exponent of the popularity of models
  std::string_view lookUpService;
  std::string_view lookUpPath;
  std::string_view confirmService;
  std::string_view confirmPath;
  std::string_view prompt;
};
/// Returns a null pointer for an unknown name.
const WorkloadProfile *findWorkload(std::string_view name);

/// Settings of a run.
struct LoadOptions {
  std::vector<Address> initialHosts; ///< hosts that are asked for the addresses
  std::string apiKey;
  std::string workload = "hivatal";
  double rate = 20; ///< requests per second, not counting the second call of a confirm request
  Duration duration = std::chrono::seconds(30);
  std::uint64_t seed = 1;
  std::vector<std::string> models; ///< empty: the models that /v1/models lists
  std::string lookUpService;       ///< empty: the service of the workload; "none": no such calls
  std::string confirmService;
  unsigned maxTokens = 16;
  Duration deadline = std::chrono::seconds(30);
  std::size_t maxInFlight = 2000;
  bool allowUnanswered = false; ///< whether a run with unanswered requests can pass
};

/// Returns the requests of a run in order of time. The result depends only on the options and the
/// models.
std::vector<LoadItem> planLoad(const LoadOptions &options, const std::vector<std::string> &models);

// ---- Report -------------------------------------------------------------------------------------

/// Latency histogram. The bucket bounds grow by 5%, from 0.1 ms to some minutes.
class LatencyHistogram {
public:
  void add(Duration d);
  /// Upper bound, in ms, of the bucket that contains the quantile `q` (0 to 1); 0 without values.
  double quantileMs(double q) const;
  std::uint64_t count() const { return total; }

private:
  std::array<std::uint64_t, 320> buckets{};
  std::uint64_t total = 0;
};

/// How a request ended, as the client sees it.
enum class LoadOutcome {
  Whole,      ///< complete and correct response
  NotRun,     ///< refused without running
  MayHaveRun, ///< refused or failed, and may have run
  Cut,        ///< stream ended early with an error, or the connection was lost
  NoHost,     ///< no host could be reached
  Unanswered, ///< no complete response within the deadline plus a margin
  Wrong,      ///< invalid response, or the response to another request
  Count
};
template <> struct EnumNames<LoadOutcome> {
  static constexpr std::array<std::string_view, 7> Table{
      "whole", "not_run", "may_have_run", "cut", "no_host", "unanswered", "wrong"};
};

/// Result of one request.
struct LoadResult {
  LoadOutcome outcome = LoadOutcome::NoHost;
  std::string detail;     ///< for outcomes other than Whole
  Duration firstToken{0}; ///< time to the first text of a stream
  Duration totalTime{0};
  std::uint64_t runNumber = 0; ///< confirm calls: runs of the key, as the service reports
};

/// Counts, latencies and failed checks of a run.
class LoadReport {
public:
  void add(const LoadItem &item, const LoadResult &result);
  /// Counts a request that was not sent because too many requests were in progress.
  void addSkipped() { ++skippedCount; }
  /// Returns one text per failed check; empty if all checks passed.
  std::vector<std::string> failures(bool allowUnanswered) const;
  std::string toJson(const LoadOptions &options) const;
  std::string toTable(const LoadOptions &options) const;
  std::uint64_t count(LoadKind kind, LoadOutcome outcome) const;

private:
  static constexpr auto Kinds = static_cast<std::size_t>(LoadKind::Count);
  static constexpr auto Outcomes = static_cast<std::size_t>(LoadOutcome::Count);
  struct Series {
    std::string name;
    const LatencyHistogram *histogram = nullptr;
  };
  std::vector<Series> series() const;
  void recordExample(const LoadItem &item, const LoadResult &result);

  std::array<std::array<std::uint64_t, Outcomes>, Kinds> counts{};
  LatencyHistogram coldFirstToken;
  LatencyHistogram warmFirstToken;
  std::array<LatencyHistogram, Kinds> totalTimes;
  std::uint64_t skippedCount = 0;
  std::uint64_t repeatedRunCount = 0;
  std::vector<std::string> examples; // first unexpected results
};

// ---- Response checks ----------------------------------------------------------------------------

/// Parses the server-sent events of a completion and compares its text with the expected text.
class StreamChecker {
public:
  explicit StreamChecker(const LoadItem &item);
  /// Parses the next bytes of the stream.
  void feed(std::string_view piece);
  /// Whether any text has been received.
  bool hasStarted() const { return !text.empty(); }
  /// Returns Whole, Cut or Wrong. Valid once the stream has ended.
  LoadOutcome outcome() const;

private:
  void processLine(std::string_view content);
  const LoadItem &item;
  std::string expected;
  std::string incompleteLine;
  std::string text;
  bool doneReceived = false;
  bool errorReceived = false;
  bool malformed = false;
};

/// Checks a response that is not streamed.
LoadResult checkResponse(const LoadItem &item, const HttpResponse &response);

// ---- Run ----------------------------------------------------------------------------------------

/// Sends the planned requests to a running system. The executor must be single-threaded.
class LoadGenerator {
public:
  LoadGenerator(asio::any_io_executor executor, LoadOptions options);
  ~LoadGenerator();
  /// Runs the plan and fills `report`. If it sets `error`, no request was sent.
  asio::awaitable<void> run(LoadReport &report, std::string &error);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
