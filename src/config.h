#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Every limit and default of the system, in one place. Durations carry their unit in the type.
namespace catkin::config {

using namespace std::chrono_literals;

// Bounds on untrusted input.
constexpr std::size_t MaxHeaderBytes = 16 * 1024;
constexpr std::size_t MaxBodyBytes = 1024 * 1024;
constexpr std::size_t MaxListBytes = 1000 * 1000; // the platform holds values up to a megabyte
constexpr std::size_t MaxListDepth = 8;
constexpr std::uint64_t MaxGrantModels = 100'000;
constexpr std::uint64_t MaxGrantConcurrency = 1'000'000;
constexpr double MaxGrantTokensPerSecond = 1e9;
constexpr std::uint64_t MaxModelOrGrantBytes = 1ULL << 50; // of a model or of a grant
constexpr std::size_t MaxConnectionsPerHost = 4096;
constexpr std::size_t MaxNameLength = 128;
constexpr std::size_t MaxIdempotencyKeyLength = 256;
constexpr auto RequestReadTimeout = 10s;

// Planner lease. A candidate waits longer than the TTL, and the holder stops earlier, so that a
// clock drift of several per cent between two hosts cannot make both act.
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
constexpr auto SyncPokeInterval = 50ms; // at most this often besides the long poll
constexpr auto ControlTick = 50ms;
constexpr auto PlannerLostAfter = 1500ms;      // then this host looks at the lease itself
constexpr auto RefuseWithoutPlannerAfter = 8s; // longer than an ordinary failover
constexpr auto MemberTimeout = 3000ms;
constexpr auto HostListInterval = 2000ms;
constexpr auto EndpointStatusInterval = 1000ms;
constexpr auto RpcTimeout = 2000ms;
constexpr auto OrderTimeout = 2000ms;
constexpr auto PlatformTimeout = 2000ms;
constexpr auto HistorySaveInterval = 600s; // 2 MB at 1,990 models: 3.5 kB/s
constexpr auto HistoryRetryInterval = 2s;
constexpr std::size_t HistoryPartBytes = 400 * 1000; // text may double in size when escaped
constexpr int OperatorWriteAttempts = 5;
constexpr auto ConfigWatchWait = 30s;

// Shares. The platform takes several hundred writes a second for everything; a transfer is one
// write.
constexpr double ShareWritesPerSecond = 20.0;
constexpr auto SharePlanInterval = 500ms; // between two rebalancing writes of one plan
constexpr auto ShareRetryInterval = 500ms;

// Configuration.
constexpr auto ConfigRetryInterval = 500ms;
constexpr auto EditTimeout = 15s; // until an edit with lost replies is answered `unknown`
constexpr std::size_t RememberedEdits = 64;

// Weight store: what it serves at full speed.
constexpr int WeightStoreConcurrentLoads = 4;
constexpr double WeightStoreLoadsPerSecond = 2.0;
constexpr int WeightStoreAdaptersInFlight = 30;

// Planner. A status call costs about half a kilobyte, so that this many a second take most of the
// host's control traffic of 14 KB/s; with few endpoints each is read every EndpointStatusInterval.
constexpr int LoadedEndpointPollsPerSecond = 20;
constexpr int EmptyEndpointPollsPerSecond = 10;
constexpr std::size_t MaxClaimsInFlight = 64;
constexpr int RecordErasesPerSecond = 5;
constexpr int RecordWritesPerSecond = 100; // besides intents; the platform takes several hundred
constexpr auto ProcessPauseThreshold = 3s; // between two ticks, which come every ControlTick
constexpr auto OrderRetryInterval = 500ms;
constexpr auto EndpointSilentAfter = 3s;    // its replicas no longer count as available
constexpr auto RefusedOrderGrace = 500ms;   // a duplicate of a refused order arrives well before
constexpr auto RefusedEndpointPause = 5s;   // no new load after it refused one
constexpr auto IdleBeforeRelease = 2s;      // longer than the lag of the hosts' reports
constexpr auto ReleaseEstimate = 1500ms;    // table to all hosts, status, unload
constexpr auto HostReportTimeout = 5s;      // a silent host's requests no longer count
constexpr auto RetentionSweepInterval = 2s; // each replica is looked at this often in a small fleet
constexpr int RetentionChecksPerSecond = 200;
constexpr auto PrewarmInterval = 5s;
constexpr auto PrewarmDeadline = 60s;
constexpr auto ReplacementDeadline = 30s;
// A second replica pays when each one has had this many requests for some time: engines batch, so
// that fewer gain little. It goes when the others would stay at half of that.
constexpr int RequestsPerReplica = 16;
constexpr auto ScaleUpAfter = 10s;
constexpr auto ScaleDownAfter = 60s;

// Requests.
constexpr auto DefaultDeadline = 30s;
constexpr auto MaxDeadline = 120s;
constexpr auto SilenceTimeout = 2000ms;
constexpr auto ServiceSilenceTimeout = 10s; // a plain service sends nothing while it works
constexpr auto CallerCheckInterval = 50ms;  // how often a waiting request looks for a caller gone
constexpr auto AdmissionInterval = 10ms;
constexpr auto EnsureInterval = 1s; // a waiting request asks again, in case the planner changed
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t PrefixHintBytes = 512; // of the prompt; shared beginnings are mostly longer
constexpr auto ConnectTimeout = 500ms;
constexpr int EjectAfterFailures = 3;
constexpr auto EjectionTime = 5s;
constexpr double RetryRatio = 0.1; // retries allowed as a share of requests
constexpr double RetryFloorPerSecond = 3.0;
constexpr double RetryBurst = 30.0; // enough to resume the streams of one lost endpoint at once
constexpr std::size_t MaxWaitingPerPlan = 1024;
constexpr auto AddressesMaxAge = 5s;
constexpr auto StopLinger = AddressesMaxAge + 1s; // callers ask for addresses again before
constexpr auto GracefulStopTimeout = 130s;        // longer than the longest request

// Non-idempotent calls.
constexpr std::size_t MaxStoredAnswerBytes = 64 * 1024;
constexpr auto CallRecordRetention = 24h;
constexpr auto CallWatchWait = 1000ms; // a watch does not report that a claim was erased
constexpr auto CallRetryMin = 100ms;
constexpr auto CallRetryMax = 5000ms;
constexpr auto CallRetryAfter = 2000ms; // told to callers while claims cannot be recorded
// Old records are erased one after another at this interval, a small part of the platform's writes.
constexpr auto CallEraseInterval = 20ms;
constexpr std::size_t MaxExpiredPerRun = 2000;

// Fleet: a host before endpoints that register themselves in the platform's store.
constexpr auto FleetAvoidMin = 500ms; // doubles with each further failure in a row, four times
constexpr int FleetAvoidAfter = 3;    // failed answers in a row
constexpr auto FleetNoticeMaxAge = 4s;
// An adapter takes longer to load while many do, so that an endpoint which refused a model as
// missing may have it a moment later.
constexpr auto FleetModelMissingTime = 200ms;
// Endpoints are back in the registry within about two seconds of its return.
constexpr auto FleetReregistrationTime = 2500ms;
constexpr auto FleetHeartbeat = 500ms;
constexpr auto FleetPeerSilentAfter = 1800ms; // three heartbeats and some delay
constexpr int FleetDistantHeartbeats = 2;     // one in so many goes to other data centres
constexpr auto FleetDistantPeerSilentAfter = FleetDistantHeartbeats * FleetPeerSilentAfter;
constexpr int FleetMaxSmallFleetHosts = 16; // hosts; the store bears as many close watches
// Hosts of each data centre of a larger fleet that watch the store closely and pass messages on.
constexpr int FleetSentinels = 2;
// Two heartbeats and some delay. A host that has heard no sentinel for longer watches itself.
constexpr auto FleetSentinelSilentAfter = 1300ms;
// The others read the registry at this interval, well within the history that the store keeps.
constexpr auto FleetNonSentinelReadInterval = 8s;
// A watch that is heard brings a configuration sooner than this after another host's heartbeat,
// also in the pause after the change before it.
constexpr auto FleetConfigGrace = 400ms;
constexpr auto FleetConfigCheckInterval = 100ms; // of a host that is behind
constexpr auto FleetConfigAskPause =
    300ms; // between two questions to other hosts; doubles each time
constexpr auto FleetConfigAskPauseMax = 5s;
constexpr auto FleetConfigSilenceTimeout = 500ms; // of a host that was asked
// For an object or page of 1 MB at most, over a slow link that carries other traffic. A transfer
// that was given up would only begin again.
constexpr auto FleetTransferTime = 6s;
constexpr auto FleetPlannerSilentAfter = 2500ms; // two heartbeats to distant hosts and some delay
constexpr auto FleetDistantPlannerSilentAfter = 4s; // in a large fleet, through two relays
constexpr auto FleetNeedRepeatInterval = 250ms;     // a waiting request asks the planner again
constexpr auto FleetDemandInterval = 500ms;
constexpr auto FleetConnectTimeout = 400ms;
constexpr auto FleetMaxConnectionIdle = 1500ms; // a connection idle for longer is not used again
constexpr auto FleetRetryAfterMin = 200ms;
constexpr auto FleetRetryAfterMax = 2000ms;
constexpr auto FleetAddressesMaxAge = 1s; // some callers keep addresses three times as long
// After the begin of a stop: by then callers have had three quarters of that time to leave.
constexpr auto FleetLongRequestRefusalDelay = 2300ms;
constexpr auto FleetPlanTick = 50ms;
constexpr auto FleetStatusInterval = 1500ms; // status calls to an idle engine
constexpr auto FleetStatusRetry = 60ms;      // while an order should be complete
// A load from a local copy takes as long as the configuration says; reports show it later.
constexpr auto FleetLocalLoadMargin = 20ms;
constexpr auto FleetOrderTimeout = 600ms;
constexpr auto FleetStopMin = 4000ms; // callers that keep addresses longest have left by then
constexpr std::size_t FleetBodyBytes = 4 * 1024 * 1024 + 4096;
constexpr std::size_t FleetHeaderBytes = 32 * 1024;
constexpr std::size_t FleetBufferedBytes = 64 * 1024 * 1024;
// Of an endpoint's answer that is held back: a whole one, or one event of a stream.
constexpr std::size_t FleetAnswerBytes = 4 * 1024 * 1024;
constexpr std::size_t FleetHeldAnswersBytes = 32 * 1024 * 1024; // of all requests together
// A planner may have as many reports under way as there are engines.
constexpr std::size_t FleetReportBytes = 128 * 1024;
constexpr std::size_t FleetStorePageBytes = 4 * 1024 * 1024; // the store sends about 1 MB at most

} // namespace catkin::config
