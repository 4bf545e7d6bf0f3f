#pragma once

#include "env_p.h"
#include "guards_p.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// At-most-once execution of non-idempotent calls, recorded in the platform as
/// calls/<service>/<hash of plan and key>.
namespace catkin {

/// An answer of a service, stored for replay.
struct StoredAnswer {
  int status = 0;
  std::string contentType;
  std::string body;
  bool truncated = false; ///< body was over the limit and only its beginning is stored
};

struct CallKey {
  PlanName plan;
  ServiceName service;
  std::string idempotencyKey;
  std::string
      requestHash; ///< of method, path and body: the same key with another request is refused
};

enum class ClaimOutcome {
  Granted,     ///< this attempt may send the call
  Replay,      ///< the call ran; the stored answer is given
  MayHaveRun,  ///< an earlier attempt may have run; final
  InProgress,  ///< another attempt runs and did not end before the deadline
  KeyReused,   ///< same key with a different request
  Unavailable, ///< the platform cannot record the claim; the call did not run
  Count
};
template <> struct EnumNames<ClaimOutcome> {
  static constexpr std::array<std::string_view, 6> Table{
      "granted", "replay", "may_have_run", "in_progress", "key_reused", "unavailable"};
};

struct ClaimResult {
  ClaimOutcome outcome = ClaimOutcome::Unavailable;
  std::string attemptId; ///< for Granted
  StoredAnswer answer;   ///< for Replay
  Duration retryAfter{0};
};

struct LedgerOptions {
  HostName host;
  std::uint64_t incarnation = 0;
  Guards guards;
};

class Ledger {
public:
  using ClaimDone = std::function<void(const ClaimResult &)>;
  /// True if the host process of that incarnation may still be running.
  using AliveCheck = std::function<bool(const HostName &, std::uint64_t incarnation)>;

  Ledger(Env &env, LedgerOptions options, AliveCheck isAlive);
  ~Ledger();

  /// Asks for the right to send a call. Answers by `deadline`.
  void claim(const CallKey &key, Instant deadline, ClaimDone done);
  /// The call ran and was answered. Retried until stored or `CallRecordRetention` is over.
  void finish(const CallKey &key, const std::string &attemptId, const StoredAnswer &answer);
  /// No byte of the call was sent. Erases the claim, so that a retry may run.
  void abandon(const CallKey &key, const std::string &attemptId);
  /// The call was sent and its answer is lost: retries get MayHaveRun at once.
  void markLost(const CallKey &key, const std::string &attemptId);
  /// Erases records older than the retention time. Call about once a minute on one host. Given the
  /// services, each call looks at one of 256 parts of their records; without, at all records.
  void expire(const std::vector<ServiceName> &services = {});
  /// Claims granted or being recorded by this process and not yet finished.
  std::size_t openClaimCount() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
