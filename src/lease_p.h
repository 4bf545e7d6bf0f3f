#pragma once

#include "env_p.h"
#include "messages_p.h"

#include <functional>
#include <memory>
#include <vector>

/// The planner lease: object planner/lease {holder, incarnation, address, term, renewal}.
namespace catkin {

/// A host process that held the lease.
struct LeaseHolder {
  HostName host;
  std::uint64_t incarnation = 0;
  friend auto operator<=>(const LeaseHolder &, const LeaseHolder &) = default;
};

struct LeaseRecord {
  HostName holder; ///< empty: released
  std::uint64_t incarnation = 0;
  Address address;
  std::uint64_t term = 0;
  std::uint64_t renewal = 0; ///< grows with each renewal
  std::string writeId;       ///< recognises one's own write when its reply was lost
  /// Former holders, of any earlier term, that are not known to have ended or to have resigned. A
  /// paused one may still send an order, however many terms later.
  std::vector<LeaseHolder> formerHolders;
};

struct LeaseOptions {
  HostName host;
  std::uint64_t incarnation = 0;
  Address address;
};

class Lease {
public:
  /// Called when this host becomes the holder.
  using Acquired = std::function<void(const LeaseRecord &mine)>;
  /// Called when another holder was seen or the lease was released.
  using Lost = std::function<void()>;

  Lease(CoreEnv &env, LeaseOptions options, Acquired acquired, Lost lost);
  ~Lease();

  /// Hosts that may be candidates; the first few by rendezvous hash of (host, term) are.
  void setCandidates(std::vector<HostName> hosts);
  /// Starts observing, and acquiring if this host is a candidate.
  void start();
  /// Former holders still to be recorded; written with the next renewal. Holder only.
  void setFormerHolders(std::vector<LeaseHolder> formerHolders);
  /// The planner does not answer this host: observe the lease even if not a candidate.
  void setPlannerLost(bool lost);
  /// Gives the lease up so that the next candidate can take it at once. No more acquiring.
  void release(std::function<void()> done);

  bool isHeld() const; ///< a newer term has not been seen, whether or not the TTL has run out
  /// The TTL has run out although no renewal has failed: this process was paused, and another may
  /// have taken over. Ends with the next answer of the platform, or with its failure to answer.
  bool mayHaveExpired() const;
  Instant validUntil() const;        ///< by this host's clock, margin subtracted; holder only
  const LeaseRecord &newest() const; ///< newest record seen from anywhere
  /// A record or term learned from another host.
  void observe(std::uint64_t term, const HostName &holder, const Address &address);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
