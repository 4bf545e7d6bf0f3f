#include "metrics_p.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <mutex>
#include <set>
#include <sstream>
#include <tuple>
#include <utility>

namespace catkin {

namespace {

// Each team adds a handful of time series on every host.
constexpr std::size_t MaxTeamsInMetrics = 64;

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

// Upper bounds in seconds, finest around the targets: 0.49 s to the first token, 26 ms between
// tokens.
const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.49, 0.6, 0.8, 1, 2, 4, 8, 16, 32, 64, 128};
const prometheus::Histogram::BucketBoundaries GapBuckets{0.002, 0.005, 0.01, 0.015, 0.02, 0.026,
                                                         0.035, 0.05,  0.1,  0.25,  1,    2};

constexpr std::array<std::pair<const char *, double MetricsGauges::*>, 6> GaugeTable{{
    {"waiting", &MetricsGauges::waiting},
    {"in_flight", &MetricsGauges::inFlight},
    {"connections", &MetricsGauges::connections},
    {"ready", &MetricsGauges::ready},
    {"planner", &MetricsGauges::planner},
    {"config_revision", &MetricsGauges::configRevision},
}};

constexpr std::array<std::pair<const char *, double FleetGauges::*>, 9> FleetGaugeTable{{
    {"in_flight", &FleetGauges::inFlight},
    {"ready", &FleetGauges::ready},
    {"planner", &FleetGauges::planner},
    {"config_version", &FleetGauges::configVersion},
    {"config_behind_seconds", &FleetGauges::configBehindSeconds},
    {"endpoints", &FleetGauges::endpoints},
    {"peers_alive", &FleetGauges::peersAlive},
    {"store_connected", &FleetGauges::storeConnected},
    {"quarantined_traits", &FleetGauges::quarantinedTraits},
}};

template <class Table>
std::array<prometheus::Gauge *, std::tuple_size_v<Table>> addGauges(prometheus::Registry &registry,
                                                                    const Table &table) {
  std::array<prometheus::Gauge *, std::tuple_size_v<Table>> gauges{};
  for (std::size_t i = 0; i < gauges.size(); ++i)
    gauges[i] = &BuildGauge()
                     .Name(std::string("catkin_") + table[i].first)
                     .Help("State of this host")
                     .Register(registry)
                     .Add({});
  return gauges;
}

std::string serialize(const prometheus::Registry &registry) {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry.Collect());
  return out.str();
}

} // namespace

struct Metrics::Impl {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter> &requests = BuildCounter()
                                                          .Name("catkin_requests_total")
                                                          .Help("Requests by plan, kind and result")
                                                          .Register(registry);
  prometheus::Family<prometheus::Counter> &refusals = BuildCounter()
                                                          .Name("catkin_refusals_total")
                                                          .Help("Refused requests by reason")
                                                          .Register(registry);
  prometheus::Family<prometheus::Counter> &failures = BuildCounter()
                                                          .Name("catkin_failed_attempts_total")
                                                          .Help("Failed attempts by failure")
                                                          .Register(registry);
  prometheus::Family<prometheus::Counter> &tokens =
      BuildCounter().Name("catkin_tokens_total").Help("Tokens relayed by plan").Register(registry);
  prometheus::Counter &resumes = BuildCounter()
                                     .Name("catkin_stream_resumes_total")
                                     .Help("Streams resumed on another replica")
                                     .Register(registry)
                                     .Add({});
  prometheus::Family<prometheus::Histogram> &firstEvent =
      BuildHistogram()
          .Name("catkin_first_event_seconds")
          .Help("Time from a request to its first event")
          .Register(registry);
  prometheus::Histogram &warmFirstEvent = firstEvent.Add({{"cold", "no"}}, LatencyBuckets);
  prometheus::Histogram &coldFirstEvent = firstEvent.Add({{"cold", "yes"}}, LatencyBuckets);
  prometheus::Histogram &eventGap = BuildHistogram()
                                        .Name("catkin_event_gap_seconds")
                                        .Help("Time between two events of a stream")
                                        .Register(registry)
                                        .Add({}, GapBuckets);
  std::array<prometheus::Gauge *, GaugeTable.size()> gauges = addGauges(registry, GaugeTable);
};

Metrics::Metrics() : impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::onRequest(const PlanName &plan, std::string_view kind, std::string_view result) {
  impl->requests
      .Add({{"plan", plan.value}, {"kind", std::string(kind)}, {"result", std::string(result)}})
      .Increment();
}

void Metrics::onRefusal(std::string_view reason) {
  impl->refusals.Add({{"reason", std::string(reason)}}).Increment();
}

void Metrics::onFailedAttempt(std::string_view failure) {
  impl->failures.Add({{"failure", std::string(failure)}}).Increment();
}

void Metrics::onResume() { impl->resumes.Increment(); }

void Metrics::onTokens(const PlanName &plan, unsigned tokens) {
  impl->tokens.Add({{"plan", plan.value}}).Increment(tokens);
}

void Metrics::onFirstEvent(Duration d, bool cold) {
  (cold ? impl->coldFirstEvent : impl->warmFirstEvent).Observe(toSeconds(d));
}

void Metrics::onEventGap(Duration d) { impl->eventGap.Observe(toSeconds(d)); }

std::string Metrics::text(const MetricsGauges &gauges) {
  for (std::size_t i = 0; i < GaugeTable.size(); ++i)
    impl->gauges[i]->Set(gauges.*GaugeTable[i].second);
  return serialize(impl->registry);
}

struct FleetMetrics::Impl {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter> &requests = BuildCounter()
                                                          .Name("catkin_requests_total")
                                                          .Help("Requests by kind and outcome")
                                                          .Register(registry);
  prometheus::Family<prometheus::Counter> &failures = BuildCounter()
                                                          .Name("catkin_failed_attempts_total")
                                                          .Help("Failed attempts by failure")
                                                          .Register(registry);
  prometheus::Family<prometheus::Counter> &permits =
      BuildCounter()
          .Name("catkin_permits_total")
          .Help("Permits for requests to endpoints with a limit, by result")
          .Register(registry);
  prometheus::Family<prometheus::Counter> &quotaRequests =
      BuildCounter()
          .Name("catkin_quota_requests_total")
          .Help("Requests for a part of a team's quota, by team and result")
          .Register(registry);
  prometheus::Family<prometheus::Counter> &quotaUnits =
      BuildCounter()
          .Name("catkin_quota_units_total")
          .Help("Tokens or requests charged to a team's quota")
          .Register(registry);
  std::set<TeamName> teams; ///< with time series of their own
  std::mutex teamsLock;
  prometheus::Family<prometheus::Counter> &resumptions =
      BuildCounter()
          .Name("catkin_resumptions_total")
          .Help("Streams that callers have taken up, by outcome")
          .Register(registry);
  prometheus::Family<prometheus::Counter> &left =
      BuildCounter()
          .Name("catkin_left_requests_total")
          .Help("Requests sent to other data centres, by reason")
          .Register(registry);
  prometheus::Family<prometheus::Counter> &leftBytes =
      BuildCounter()
          .Name("catkin_left_bytes_total")
          .Help("Bytes exchanged with endpoints of other data centres, by reason")
          .Register(registry);
  prometheus::Family<prometheus::Histogram> &durations =
      BuildHistogram()
          .Name("catkin_request_seconds")
          .Help("Time from a request to the end of its answer, by kind")
          .Register(registry);
  prometheus::Histogram &firstEvent = BuildHistogram()
                                          .Name("catkin_first_event_seconds")
                                          .Help("Time from a request to its first event")
                                          .Register(registry)
                                          .Add({}, LatencyBuckets);
  prometheus::Histogram &modelWait = BuildHistogram()
                                         .Name("catkin_model_wait_seconds")
                                         .Help("Time that a request waited for its model")
                                         .Register(registry)
                                         .Add({}, LatencyBuckets);
  std::array<prometheus::Gauge *, FleetGaugeTable.size()> gauges =
      addGauges(registry, FleetGaugeTable);
};

FleetMetrics::FleetMetrics() : impl(std::make_unique<Impl>()) {}
FleetMetrics::~FleetMetrics() = default;

void FleetMetrics::onRequest(std::string_view kind, std::string_view outcome, Duration duration) {
  impl->requests.Add({{"kind", std::string(kind)}, {"outcome", std::string(outcome)}}).Increment();
  impl->durations.Add({{"kind", std::string(kind)}}, LatencyBuckets).Observe(toSeconds(duration));
}

void FleetMetrics::onFirstEvent(Duration d) { impl->firstEvent.Observe(toSeconds(d)); }

void FleetMetrics::onModelWait(Duration d) { impl->modelWait.Observe(toSeconds(d)); }

void FleetMetrics::onFailedAttempt(std::string_view failure) {
  impl->failures.Add({{"failure", std::string(failure)}}).Increment();
}

void FleetMetrics::onLeft(std::string_view reason, std::size_t bytes) {
  impl->left.Add({{"reason", std::string(reason)}}).Increment();
  onBytesFromElsewhere(reason, bytes);
}

void FleetMetrics::onBytesFromElsewhere(std::string_view reason, std::size_t bytes) {
  impl->leftBytes.Add({{"reason", std::string(reason)}}).Increment(static_cast<double>(bytes));
}

void FleetMetrics::onResumption(std::string_view outcome) {
  impl->resumptions.Add({{"outcome", std::string(outcome)}}).Increment();
}

void FleetMetrics::onPermit(bool granted) {
  impl->permits.Add({{"result", granted ? "granted" : "denied"}}).Increment();
}

void FleetMetrics::onQuota(const TeamName &team, std::string_view result, double charged) {
  std::string label = "other";
  {
    const std::lock_guard guard(impl->teamsLock);
    if (impl->teams.size() < MaxTeamsInMetrics)
      impl->teams.insert(team);
    if (impl->teams.count(team) > 0)
      label = team.value;
  }
  impl->quotaRequests.Add({{"team", label}, {"result", std::string(result)}}).Increment();
  impl->quotaUnits.Add({{"team", label}}).Increment(charged);
}

std::string FleetMetrics::text(const FleetGauges &gauges) {
  for (std::size_t i = 0; i < FleetGaugeTable.size(); ++i)
    impl->gauges[i]->Set(gauges.*FleetGaugeTable[i].second);
  return serialize(impl->registry);
}

} // namespace catkin
