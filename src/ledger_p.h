#pragma once

#include "env_p.h"
#include "guards_p.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// At-most-once execution of non-idempotent calls. Each call has a record in the platform's store
/// at calls/<service>/<hash of plan and key>, which is created before the call is sent.
namespace catkin {

/// A service's answer, stored to be returned again to retries.
struct StoredAnswer {
  int status = 0;
  std::string contentType;
  std::string body;
  bool truncated = false; ///< the body exceeded config::MaxStoredAnswerBytes and was cut
};

/// Identifies a call. Retries of the call have the same key and request hash.
struct CallKey {
  PlanName plan;
  ServiceName service;
  std::string idempotencyKey;
  std::string requestHash; ///< of method, path and body; the key is refused for another request
};

enum class ClaimOutcome {
  Granted,     ///< this attempt may send the call
  Replay,      ///< the call ran before; its stored answer is returned
  MayHaveRun,  ///< an earlier attempt may have run; retries get the same outcome
  InProgress,  ///< another attempt is running and did not end before the deadline
  KeyReused,   ///< the key was used for a different request
  Unavailable, ///< the claim could not be recorded; the call did not run
  Count
};
template <> struct EnumNames<ClaimOutcome> {
  static constexpr std::array<std::string_view, 6> Table{
      "granted", "replay", "may_have_run", "in_progress", "key_reused", "unavailable"};
};

/// Result of Ledger::claim.
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

/// Claims, completes and expires the call records of one host process.
class Ledger {
public:
  using ClaimDone = std::function<void(const ClaimResult &)>;
  /// Returns true if the host process of that incarnation may still be running.
  using AliveCheck = std::function<bool(const HostName &, std::uint64_t incarnation)>;

  Ledger(Env &env, LedgerOptions options, AliveCheck isAlive);
  ~Ledger();

  /// Claims the right to send a call. Calls `done` once, by `deadline`.
  void claim(const CallKey &key, Instant deadline, ClaimDone done);
  /// Stores the answer of a call that ran. Retries the write until it succeeds or
  /// config::CallRecordRetention is over.
  void finish(const CallKey &key, const std::string &attemptId, const StoredAnswer &answer);
  /// Erases the claim of a call of which no byte was sent, so that a retry may run.
  void abandon(const CallKey &key, const std::string &attemptId);
  /// Records that the call was sent and its answer lost, so that retries get MayHaveRun at once.
  void markLost(const CallKey &key, const std::string &attemptId);
  /// Erases records older than config::CallRecordRetention. Call about once a minute on one host.
  /// With a list of services, each call covers one of 256 parts of their records; without, all
  /// records.
  void expire(const std::vector<ServiceName> &services = {});
  /// Number of attempts of this process that are being claimed, running or being recorded.
  std::size_t openClaimCount() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
