#pragma once

#include "attempt_p.h"
#include "endpoint_search_p.h"
#include "event_relay_p.h"
#include "fleet_gateway_impl_p.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

/// One request in the gateway.
namespace catkin {

/// Forwards one request and relays its answer. It is defined in five files: the way of a request
/// from its arrival to the choice of an endpoint (request_forwarder.cpp), the team of its caller
/// (request_access.cpp), one attempt at an endpoint (request_attempt.cpp), the software version of
/// a stream (request_resumption.cpp), and answers of this host itself with the log
/// (request_outcome.cpp).
class RequestForwarder {
public:
  RequestForwarder(std::shared_ptr<FleetGateway::Impl> gateway, HttpExchange &exchange)
      : sharedGateway(std::move(gateway)), g(*sharedGateway), exchange(exchange),
        waitTimer(g.executor), answerMemory(*g.memory, MemoryKind::Answer),
        copyMemory(*g.memory, MemoryKind::ForwardedCopy), arrivedAt(g.hooks.now()) {
    g.requests.insert(this);
    exchange.onCallerGone([this] { onCallerGone(); });
  }
  ~RequestForwarder() {
    g.requests.erase(this);
    exchange.onCallerGone({});
  }
  RequestForwarder(const RequestForwarder &) = delete;
  RequestForwarder &operator=(const RequestForwarder &) = delete;

  asio::awaitable<void> run();
  /// Ends the request as at its deadline, since the process stops.
  void endByStop();

private:
  static constexpr int MaxSends = 6; ///< of one request, including refused sends
  static constexpr std::string_view QuarantineReason = "engines crash on this request";
  /// A model that is about to be loaded is present after this many answers that it is missing. If
  /// it is not, another host may know a better endpoint.
  static constexpr int MaxMissingAnswers = 2;
  /// Answers to other requests that are skipped on a kept connection before the right one.
  static constexpr int MaxSurplusAnswers = 4;

  /// Finished: the caller has got its answer, or has gone. Failed: `failure` has the reason.
  enum class AttemptOutcome { Finished, Failed };

  /// An error answer of this host itself.
  struct Refusal {
    unsigned status = 0;
    std::string_view reason;
    std::optional<Duration> retryAfter; ///< estimated from the endpoints if empty
  };

  std::optional<Refusal> prepare();
  std::optional<Refusal> resolveRoute(const HttpRequest &request);
  std::optional<Refusal> checkService();
  std::optional<Refusal> identifyTeam();
  asio::awaitable<std::optional<Refusal>> chargeQuota();
  int priority() const;
  asio::awaitable<std::optional<Refusal>> findOrigin();
  Duration originLifetime() const;
  StreamKey ownStreamKey() const;
  Duration retryAfterUnknownOrigin(OriginSource source) const;
  void onStreamBegun(const FleetEndpoint &from);
  bool hasLostItsOrigin() const;
  asio::awaitable<const EndpointState *> seekVersion();
  bool needsConfirmation(const EndpointState &endpoint) const;
  asio::awaitable<bool> ensureVersionRecorded(const FleetEndpoint &to);
  void askForIncarnation(const FleetEndpoint &to, std::function<void(bool)> done) const;
  asio::awaitable<bool> confirmIncarnation(const FleetEndpoint &to);
  bool isQuarantined();
  Duration quarantineRetryAfter() const;
  asio::awaitable<const EndpointState *> findEndpoint();
  asio::awaitable<bool> waitForViewChange();
  Instant waitDeadline() const;
  asio::awaitable<void> pause(Duration d);
  Duration maxModelWait() const;
  Duration retryAfter() const;
  const EndpointState *choose();
  EngineRequest engineRequest() const;
  EndpointSearchOptions searchOptions() const;
  void onBytesRelayed(std::size_t bytes);
  asio::awaitable<bool> obtainPermit(const FleetEndpoint &to);
  asio::awaitable<Permit> askForPermit(const FleetEndpoint &to, Duration maxDelay);
  Duration maxPermitWait() const;
  asio::awaitable<bool> reserveCopy();
  asio::awaitable<AttemptOutcome> sendTo(const FleetEndpoint &to);
  void onAnswerBegun();
  asio::awaitable<void> readAnswerHead(HttpStream &stream, const FleetEndpoint &from);
  AnswerHead decodeHead(const HttpStream &stream, const FleetEndpoint &from) const;
  bool provesNotRun(const HttpStream &stream, const FleetEndpoint &from) const;
  asio::awaitable<bool> confirmRefusal(HttpStream &stream, const FleetEndpoint &from);
  void recordSignals(const FleetEndpoint &from, Instant sentAt);
  asio::awaitable<AttemptOutcome> relayCompleteAnswer(HttpStream &stream, const AnswerHead &head);
  asio::awaitable<AttemptOutcome> relayEvents(HttpStream &stream, const FleetEndpoint &from);
  bool endsTooEarly(const http::response_header<> &head) const;
  AttemptOutcome rejectAnswerWithoutMemory();
  asio::awaitable<bool> forwardEvents(const std::string &events, const http::response_header<> &,
                                      const FleetEndpoint &from);
  AttemptFailure failureOf(const HttpStream &stream) const;
  HttpTimeouts timeouts() const;
  bool canAbandon(const EndpointName &silent);
  bool tryReserveRetry(AttemptFailure why);
  asio::awaitable<void> refuse(unsigned status, std::string_view reason,
                               std::optional<Duration> after = std::nullopt);
  asio::awaitable<void> finishUnanswered();
  std::string_view notRunReason() const;
  asio::awaitable<void> respondWithFallback();
  /// True if no further endpoint may receive the request, and those that may have reported too
  /// often that they do not hold the model.
  bool isModelMissingEverywhere() const {
    return search->hasReachedEndpointLimit() && missingAnswers > MaxMissingAnswers;
  }
  void onCallerGone();
  void cancelPending();
  void logRequest(unsigned status, std::string_view outcome);
  void logFailedAttempt(const FleetEndpoint &to);
  boost::json::object describeChoice(const EndpointState &chosen) const;
  Duration remainingTime() const {
    return endedByStop ? Duration::zero() : limit - (g.hooks.now() - arrivedAt);
  }
  bool isDeadlinePassed() const { return remainingTime() <= Duration::zero(); }

  /// A request that is still in progress when the process ends is destroyed after the gateway.
  std::shared_ptr<FleetGateway::Impl> sharedGateway;
  FleetGateway::Impl &g;
  HttpExchange &exchange;
  asio::steady_timer waitTimer;
  MemoryBudget::Holder answerMemory; ///< of the incomplete answer or event
  MemoryBudget::Holder copyMemory;   ///< of the request that is being sent
  Instant arrivedAt;
  CallerRequest caller;
  const FleetConfig *config = nullptr;
  std::uint64_t configVersion = 0;
  FleetRoute route; ///< a copy, since the configuration may change during the request
  ServiceName service;
  bool identifiesTeam = false; ///< the configuration of the route has teams
  std::optional<Team> team;    ///< that holds the request's key; a copy, as of the route
  std::optional<SoftwareVersion> requiredVersion; ///< of a stream that the caller takes up
  bool versionSought = false;                     ///< the registry was read again for the version
  bool versionUnrecorded = false; ///< a stream cannot begin at an endpoint for lack of a record
  Duration limit{};               ///< for the complete answer, from the request's arrival
  Duration startLimit{};          ///< for the start of the answer; the caller disconnects after it
  bool endedByStop = false;       ///< the process stops before the deadline
  HttpStream *currentStream = nullptr;  ///< of the attempt in progress
  std::optional<EndpointSearch> search; ///< set once the service is known
  EndpointChoice choice;                ///< the newest one
  EngineRun engineRun;                  ///< of the attempt in progress, at an engine
  boost::json::array choices; ///< for the log: each chosen endpoint and the inputs of the choice
  AttemptState state;
  AttemptFailure failure = AttemptFailure::NotConnected;
  EndpointResult result = EndpointResult::Abandoned;
  AnswerHead lastHead;        ///< of the newest attempt
  bool refusalProven = false; ///< the newest attempt's refusal proves that it has not run
  /// The connection of the newest attempt broke before its answer began, as in a crash of the
  /// endpoint that this request or another one at the endpoint has caused.
  bool brokeBeforeFirstEvent = false;
  bool outOfMemory = false;            ///< the request could not be sent for lack of memory
  bool brokenOff = false;              ///< the newest attempt's stream ended too early
  bool answerBegun = false;            ///< that of the newest attempt
  bool sentElsewhere = false;          ///< the newest attempt is in another data centre
  QuarantineVerdict quarantineVerdict; ///< at the arrival, then before each attempt
  EventRelay events;
  std::string streamType; ///< media type of the answer that has begun the stream
  /// Newest complete answer of an endpoint, used if no other endpoint gives a better one.
  std::optional<HttpResponse> fallback;
  std::set<EndpointName> refusedBy; ///< endpoints that have refused the request
  int sends = 0;
  int permitDenials = 0;
  int missingAnswers = 0;   ///< answers that an endpoint does not hold the model
  Duration modelWaitTime{}; ///< total time spent waiting for the model
};

} // namespace catkin
