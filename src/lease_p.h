#pragma once

#include "env_p.h"
#include "messages_p.h"

#include <functional>
#include <memory>
#include <vector>

/// The planner lease: the host that holds it is the planner. The platform's store keeps it as
/// object planner/lease {holder, incarnation, address, term, renewal, write_id, formers, era}. Each
/// new holder increments the term, which serves as fencing token.
///
/// A store that comes back from an older copy has forgotten the newest holders and terms. The
/// record names the era of the store in which it was written. After a restore no record counts
/// until every lease of the earlier era must have run out, and the next term leaves out those that
/// may have been given out in the time that was lost.
namespace catkin {

/// A host process that holds or held the lease.
struct LeaseHolder {
  HostName host;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const LeaseHolder &, const LeaseHolder &) = default;
};

/// The stored lease.
struct LeaseRecord {
  HostName holder; ///< empty if the lease was released
  std::uint64_t incarnation = 0;
  Address address;
  std::uint64_t term = 0;
  std::uint64_t renewal = 0; ///< incremented by each renewal
  std::string writeId;       ///< identifies a write whose reply was lost
  /// Former holders of any earlier term that are not known to have exited or resigned. A paused one
  /// may still send an order, however many terms later.
  std::vector<LeaseHolder> formerHolders;
  std::uint64_t era = 0; ///< of the store when the record was written
  /// No lease had been recorded before this one was acquired. Not stored.
  bool isFirst = false;
};

struct LeaseOptions {
  HostName host;
  std::uint64_t incarnation = 0;
  Address address;
};

/// Acquires, renews and observes the planner lease for one host.
class Lease {
public:
  /// Called when this host becomes the holder.
  using Acquired = std::function<void(const LeaseRecord &mine)>;
  /// Called when another holder has been seen or this host has released the lease.
  using Lost = std::function<void()>;

  Lease(CoreEnv &env, LeaseOptions options, Acquired acquired, Lost lost);
  ~Lease();

  /// Hosts from which the candidates are chosen: the first `config::LeaseCandidates` by rendezvous
  /// hash of (host, term).
  void setCandidates(std::vector<HostName> hosts);
  /// Starts to observe the lease, and to acquire it when it is free.
  void start();
  /// Replaces the recorded former holders with the next renewal. Only for the holder.
  void setFormerHolders(std::vector<LeaseHolder> formerHolders);
  /// Says whether the planner is unreachable from this host. If so, this host observes the lease
  /// even if it is not a candidate.
  void setPlannerLost(bool lost);
  /// Releases the lease, so that another candidate can acquire it at once, and stops acquiring it.
  /// Calls `done` at the end, also if the release failed.
  void release(std::function<void()> done);

  /// True if this host holds the lease and has not seen a newer term, whether or not the TTL has
  /// expired.
  bool isHeld() const;
  /// True if the TTL has expired although no renewal has failed. This process was paused then, and
  /// another host may hold the lease now. Lasts until the platform answers or fails to answer.
  bool mayHaveExpired() const;
  Instant validUntil() const;        ///< end by this host's clock less the margin; holder only
  const LeaseRecord &newest() const; ///< record of the highest known term
  /// Handles a term that another host has announced. `holder` and `address` may be empty.
  void observe(std::uint64_t term, const HostName &holder, const Address &address);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
