#pragma once

#include "http_p.h"

#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Load generator and answer checker: an open-loop arrival plan, the caller's side of the API, and
/// the report.
namespace catkin {

// ---- Plan ---------------------------------------------------------------------------------------

enum class LoadKind { Completion, LookUp, Confirm, Count };
template <> struct EnumNames<LoadKind> {
  static constexpr std::array<std::string_view, 3> Table{"completion", "look_up", "confirm"};
};

/// One request of the plan.
struct LoadItem {
  Duration at{0}; ///< from the start
  LoadKind kind = LoadKind::Completion;
  std::string model; ///< completions
  std::string prompt;
  bool chat = false;
  bool stream = true;
  bool cold = false; ///< first use of the model in the run, or after ColdAfter without a use
  unsigned maxTokens = 16;
  std::string path; ///< service calls: path below /v1/services/
  std::string body;
  std::string key;      ///< idempotency key
  Duration repeatAt{0}; ///< from the start: when the call is sent again with the same key
};

/// Mix of requests of one kind of user.
struct WorkloadProfile {
  std::string_view name;
  double lookUpShare = 0;
  double confirmShare = 0;
  double chatShare = 0;
  double burstShare = 0; ///< of completions that arrive as part of a burst
  double modelSkew = 1;  ///< exponent of the popularity of models
  std::string_view lookUpService;
  std::string_view lookUpPath;
  std::string_view confirmService;
  std::string_view confirmPath;
  std::string_view prompt;
};
/// Nothing for an unknown name.
const WorkloadProfile *findWorkload(std::string_view name);

struct LoadOptions {
  std::vector<Address> initialHosts; ///< hosts asked first for addresses
  std::string apiKey;
  std::string workload = "hivatal";
  double rate = 20; ///< requests per second, without the repeats of non-idempotent calls
  Duration duration = std::chrono::seconds(30);
  std::uint64_t seed = 1;
  std::vector<std::string> models; ///< empty: those of /v1/models
  std::string lookUpService;       ///< empty: that of the workload; "none": no such calls
  std::string confirmService;
  unsigned maxTokens = 16;
  Duration deadline = std::chrono::seconds(30);
  std::size_t maxInFlight = 2000;
  bool allowUnanswered = false; ///< unanswered requests do not fail the run
};

/// The requests of a run in order of time: a function of the options and the models alone.
std::vector<LoadItem> planLoad(const LoadOptions &options, const std::vector<std::string> &models);

// ---- Report -------------------------------------------------------------------------------------

/// Latencies in buckets that grow by 5%, from 0.1 ms to some minutes.
class LatencyHistogram {
public:
  void add(Duration d);
  /// Upper bound of the bucket that holds the share `q` of all values; 0 without values.
  double quantileMs(double q) const;
  std::uint64_t count() const { return total; }

private:
  std::array<std::uint64_t, 320> buckets{};
  std::uint64_t total = 0;
};

enum class LoadOutcome {
  Whole,      ///< the whole answer to this request
  NotRun,     ///< refused; did not run
  MayHaveRun, ///< refused or failed; may have run
  Cut,        ///< stream ended early with an error, or the connection broke
  NoHost,     ///< no host could be reached
  Unanswered, ///< no final answer by the deadline and a margin
  Wrong,      ///< an answer that is not the one to this request, or not valid
  Count
};
template <> struct EnumNames<LoadOutcome> {
  static constexpr std::array<std::string_view, 7> Table{
      "whole", "not_run", "may_have_run", "cut", "no_host", "unanswered", "wrong"};
};

/// What one request got.
struct LoadResult {
  LoadOutcome outcome = LoadOutcome::NoHost;
  std::string detail; ///< for outcomes other than Whole
  Duration firstToken{0};
  Duration totalTime{0};
  std::uint64_t runNumber = 0; ///< confirm calls: number of the key's run, as the answer tells
};

class LoadReport {
public:
  void add(const LoadItem &item, const LoadResult &result);
  /// The generator could not send the request in time, because too many were in progress.
  void addSkipped() { ++skippedCount; }
  /// Error texts of the checks that failed; empty if all held.
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
  std::vector<std::string> examples; // the first few unexpected results
};

// ---- Checks of answers --------------------------------------------------------------------------

/// Reads a stream of server-sent events of a completion and compares it with what is expected.
class StreamChecker {
public:
  explicit StreamChecker(const LoadItem &item);
  void feed(std::string_view piece);
  bool hasStarted() const { return !text.empty(); }
  /// Whole, Cut or Wrong, once the stream has ended.
  LoadOutcome outcome() const;

private:
  void processLine(std::string_view content);
  const LoadItem &item;
  std::string expected;
  std::string incompleteLine; // incomplete line
  std::string text;
  bool doneReceived = false;
  bool errorReceived = false;
  bool malformed = false;
};

/// Checks a whole response to an item.
LoadResult checkResponse(const LoadItem &item, const HttpResponse &response);

// ---- Run ----------------------------------------------------------------------------------------

/// Runs the plan against a system. The executor must be single-threaded.
class LoadGenerator {
public:
  LoadGenerator(asio::any_io_executor executor, LoadOptions options);
  ~LoadGenerator();
  /// Fills the report. If `error` is not empty afterwards, nothing was sent.
  asio::awaitable<void> run(LoadReport &report, std::string &error);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
