#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// All limits and defaults of the system. The type of a duration gives its unit.
namespace catkin::config {

using namespace std::chrono_literals;

// Bounds on untrusted input.
constexpr std::size_t MaxHeaderBytes = 16 * 1024;
constexpr std::size_t MaxBodyBytes = 1024 * 1024;
constexpr std::size_t MaxListBytes = 1000 * 1000; // the platform stores values up to 1 MB
constexpr std::size_t MaxListDepth = 8;
constexpr std::uint64_t MaxGrantModels = 100'000;
constexpr std::uint64_t MaxGrantConcurrency = 1'000'000;
constexpr double MaxGrantTokensPerSecond = 1e9;
constexpr std::uint64_t MaxModelOrGrantBytes = 1ULL << 50; // in the operators' lists
constexpr std::size_t MaxConnectionsPerHost = 4096;
constexpr std::size_t MaxNameLength = 128;
constexpr std::size_t MaxIdempotencyKeyLength = 256;
constexpr auto RequestReadTimeout = 10s;

// Planner lease. A candidate waits for longer than the TTL and the holder stops before the TTL, so
// that two hosts never plan at once even if their clocks drift apart by several per cent.
constexpr auto LeaseTtl = 3000ms;
constexpr auto LeaseRenewInterval = 1000ms;
constexpr auto LeaseHolderMargin = 500ms;
constexpr auto LeaseCandidateMargin = 500ms;
constexpr std::size_t LeaseCandidates = 3;
constexpr int LeaseReleaseAttempts = 20;
constexpr auto LeaseReleaseRetry = 50ms;

// Control loop between hosts.
constexpr auto SyncMaxWait = 1000ms;
constexpr auto SyncRetry = 200ms;
constexpr auto SyncPokeInterval = 50ms; // shortest time between extra syncs besides the long poll
constexpr auto ControlTick = 50ms;
constexpr auto PlannerLostAfter = 1500ms; // silence after which this host reads the lease itself
constexpr auto RefuseWithoutPlannerAfter = 8s; // longer than an ordinary failover
constexpr auto MemberTimeout = 3000ms;
constexpr auto HostListInterval = 2000ms;
constexpr auto EndpointStatusInterval = 1000ms;
constexpr auto RpcTimeout = 2000ms;
constexpr auto OrderTimeout = 2000ms;
constexpr auto PlatformTimeout = 2000ms;
constexpr auto HistorySaveInterval = 600s; // 2 MB at 1,990 models, which is 3.5 kB/s
constexpr auto HistoryRetryInterval = 2s;
constexpr std::size_t HistoryPartBytes = 400 * 1000; // escaping may double the size of text
constexpr int OperatorWriteAttempts = 5;
constexpr auto ConfigWatchWait = 30s;

// Shares of a plan's grant. The platform accepts several hundred writes per second in total; moving
// a share between two hosts takes one write.
constexpr double ShareWritesPerSecond = 20.0;
constexpr auto SharePlanInterval = 500ms; // between two rebalancing writes for one plan
constexpr auto ShareRetryInterval = 500ms;

// Configuration.
constexpr auto ConfigRetryInterval = 500ms;
constexpr auto EditTimeout = 15s; // an edit with lost replies is then reported as `unknown`
constexpr std::size_t RememberedEdits = 64;

// Weight store: the load that it serves at full speed.
constexpr int WeightStoreConcurrentLoads = 4;
constexpr double WeightStoreLoadsPerSecond = 2.0;
constexpr int WeightStoreAdaptersInFlight = 30;

// Planner. A status call transfers about half a kilobyte, so that these poll rates use most of the
// host's control traffic of 14 KB/s. In a small fleet, each endpoint is polled once per
// EndpointStatusInterval.
constexpr int LoadedEndpointPollsPerSecond = 20;
constexpr int EmptyEndpointPollsPerSecond = 10;
constexpr std::size_t MaxClaimsInFlight = 64;
constexpr int RecordErasesPerSecond = 5;
// Besides intents. The platform accepts several hundred writes per second in total.
constexpr int RecordWritesPerSecond = 100;
constexpr auto ProcessPauseThreshold = 3s; // gap between two ticks, normally ControlTick apart
constexpr auto OrderRetryInterval = 500ms;
constexpr auto EndpointSilentAfter = 3s;    // its replicas then no longer count as available
constexpr auto RefusedOrderGrace = 500ms;   // a duplicate of a refused order arrives well before
constexpr auto RefusedEndpointPause = 5s;   // no new load on an endpoint that refused one
constexpr auto IdleBeforeRelease = 2s;      // longer than the lag of the hosts' reports
constexpr auto ReleaseEstimate = 1500ms;    // table to all hosts, status call, unload
constexpr auto HostReportTimeout = 5s;      // requests of a host silent for longer no longer count
constexpr auto RetentionSweepInterval = 2s; // period of checking each replica in a small fleet
constexpr int RetentionChecksPerSecond = 200;
constexpr auto PrewarmInterval = 5s;
constexpr auto PrewarmDeadline = 60s;
constexpr auto ReplacementDeadline = 30s;
// A replica is added when each existing one has held this many requests for ScaleUpAfter. Engines
// batch requests, so that an extra replica gains little below that. A replica is removed when the
// remaining ones would hold at most half as many each for ScaleDownAfter.
constexpr int RequestsPerReplica = 16;
constexpr auto ScaleUpAfter = 10s;
constexpr auto ScaleDownAfter = 60s;

// Requests.
constexpr auto DefaultDeadline = 30s;
constexpr auto MaxDeadline = 120s;
constexpr auto SilenceTimeout = 2000ms;
constexpr auto ServiceSilenceTimeout = 10s; // a plain service sends nothing while it works
constexpr auto CallerCheckInterval = 50ms;  // for a waiting request whose caller may have gone
constexpr auto AdmissionInterval = 10ms;
constexpr auto EnsureInterval = 1s; // a waiting request asks again in case the planner changed
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t PrefixHintBytes = 512; // of the prompt; shared beginnings are mostly longer
constexpr auto ConnectTimeout = 500ms;
constexpr int EjectAfterFailures = 3;
constexpr auto EjectionTime = 5s;
constexpr double RetryRatio = 0.1; // retries allowed per request
constexpr double RetryFloorPerSecond = 3.0;
constexpr double RetryBurst = 30.0; // enough to resume all streams of one lost endpoint at once
constexpr std::size_t MaxWaitingPerPlan = 1024;
constexpr auto AddressesMaxAge = 5s;
constexpr auto StopLinger = AddressesMaxAge + 1s; // callers have then asked for addresses again
constexpr auto GracefulStopTimeout = 130s;        // longer than the longest request

// Non-idempotent calls.
constexpr std::size_t MaxStoredAnswerBytes = 64 * 1024;
constexpr auto CallRecordRetention = 24h;
constexpr auto CallWatchWait = 1000ms; // a watch does not report that a claim was erased
constexpr auto CallRetryMin = 100ms;
constexpr auto CallRetryMax = 5000ms;
constexpr auto CallRetryAfter = 2000ms; // sent to callers while claims cannot be recorded
// Interval between two erasures of old records, which use a small part of the platform's writes.
constexpr auto CallEraseInterval = 20ms;
constexpr std::size_t MaxExpiredPerRun = 2000;

// Fleet: a host that routes to endpoints which register themselves in the platform's store.
constexpr auto FleetAvoidMin = 500ms; // doubles with each further failure, up to four times
constexpr int FleetAvoidAfter = 3;    // failed answers in a row
// The planner's notice of an engine's models overrides the registry entry for this long.
constexpr auto FleetNoticeMaxAge = 4s;
// An endpoint is avoided for this long for a model that it reported as missing. Adapter loads slow
// each other down, so that the endpoint may have finished loading the model a moment later.
constexpr auto FleetModelMissingTime = 200ms;
// Endpoints register again within about two seconds after the registry has become available.
constexpr auto FleetReregistrationTime = 2500ms;
constexpr auto FleetHeartbeat = 500ms;
constexpr auto FleetPeerSilentAfter = 1800ms; // three heartbeats and some delay
constexpr int FleetDistantHeartbeats = 2;     // one in this many is also sent to other data centres
constexpr auto FleetDistantPeerSilentAfter = FleetDistantHeartbeats * FleetPeerSilentAfter;
constexpr int FleetMaxSmallFleetHosts = 16; // the store supports this many close watches
// Hosts in each data centre of a larger fleet that watch the store closely and forward messages.
constexpr int FleetSentinels = 2;
// Two heartbeats and some delay. A host without a message from a sentinel for longer watches the
// store itself.
constexpr auto FleetSentinelSilentAfter = 1300ms;
// Hosts other than sentinels read the registry at this interval, well within the history that the
// store keeps.
constexpr auto FleetNonSentinelReadInterval = 8s;
// A working watch delivers a configuration sooner than this after another host's heartbeat has
// announced it, even during the pause that follows the previous change.
constexpr auto FleetConfigGrace = 400ms;
constexpr auto FleetConfigCheckInterval = 100ms; // while the host is behind
constexpr auto FleetConfigAskPause = 300ms;      // between two requests; doubles each time
constexpr auto FleetConfigAskPauseMax = 5s;
constexpr auto FleetConfigSilenceTimeout = 500ms; // of a host that was asked
// For an object or page of at most 1 MB over a slow link that carries other traffic. An aborted
// transfer would only have to start again from the beginning.
constexpr auto FleetTransferTime = 6s;
constexpr auto FleetPlannerSilentAfter = 2500ms; // two heartbeats to distant hosts and some delay
constexpr auto FleetDistantPlannerSilentAfter = 4s; // in a large fleet, through two relays
constexpr auto FleetNeedRepeatInterval = 250ms;     // a waiting request asks the planner again
constexpr auto FleetDemandInterval = 500ms;
constexpr auto FleetConnectTimeout = 400ms;
constexpr auto FleetMaxConnectionIdle = 1500ms; // a connection idle for longer is not reused
constexpr auto FleetRetryAfterMin = 200ms;
constexpr auto FleetRetryAfterMax = 2000ms;
constexpr auto FleetAddressesMaxAge = 1s; // some callers keep addresses three times as long
// Measured from the start of a stop. Callers have then had three quarters of the longest time for
// which they keep addresses to move to other hosts.
constexpr auto FleetLongRequestRefusalDelay = 2300ms;
constexpr auto FleetPlanTick = 50ms;
constexpr auto FleetStatusInterval = 1500ms; // status calls to an idle engine
constexpr auto FleetStatusRetry = 60ms;      // while an order is due to complete
// A load from a local copy takes the time given in the configuration. Reports show the loaded model
// later.
constexpr auto FleetLocalLoadMargin = 20ms;
constexpr auto FleetOrderTimeout = 600ms;
// Permits for calls to an endpoint that has named a limit of requests. A call waits for its permit
// for FleetPermitMaxWait at most; a host that takes over the issuing waits as long for the permits
// of the former issuer.
constexpr auto FleetPermitMaxWait = 1500ms;
constexpr auto FleetPermitTakeoverPause = FleetPermitMaxWait;
constexpr auto FleetPermitTimeout = 100ms;      // then the issuer is asked again
constexpr auto FleetStreamAnswerTimeout = 80ms; // then the keepers of a stream are asked again
constexpr auto FleetMaxClockError = 2s;         // of hosts and endpoints, and of whole seconds
constexpr auto FleetMaxStreamAge = std::chrono::minutes(30); // until a caller last takes it up
constexpr auto FleetConfirmTimeout = 500ms; // for an endpoint to confirm its incarnation
// Before the end of a stop, for the answers to requests that it ends. An endpoint that stops work
// at the deadline reports this a little later than that.
constexpr auto FleetStopAnswerTime = 200ms;
constexpr auto FleetStopMin = 4000ms; // callers that keep addresses longest have then left
constexpr std::size_t FleetBodyBytes = 4 * 1024 * 1024 + 4096;
constexpr std::size_t FleetHeaderBytes = 32 * 1024;
constexpr std::size_t FleetBufferedBytes = 64 * 1024 * 1024;
// Largest buffered part of an endpoint's answer: a whole answer or one event of a stream.
constexpr std::size_t FleetAnswerBytes = 4 * 1024 * 1024;
constexpr std::size_t FleetHeldAnswersBytes = 32 * 1024 * 1024; // of all requests together
// A planner may receive one report from every engine at the same time.
constexpr std::size_t FleetReportBytes = 128 * 1024;
constexpr std::size_t FleetStorePageBytes = 4 * 1024 * 1024; // the store sends at most about 1 MB

} // namespace catkin::config
