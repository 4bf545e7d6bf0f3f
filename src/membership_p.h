#pragma once

#include "env_p.h"
#include "messages_p.h"

#include <map>
#include <vector>

/// Hosts known on one host: from syncs on the planner, from the planner's replies elsewhere, and
/// from the platform's lagging list.
namespace catkin {

class Membership {
public:
  /// A host reported itself to this host.
  void onSync(const Member &member, Instant now);
  /// The planner's view replaces this host's own. It stays until the next one: without a planner
  /// the last view is the best there is.
  void setMembers(const std::vector<Member> &members);
  /// This host became the planner: from now on each host must report here itself.
  void startObserving(Instant now);
  /// Hosts of the platform's list.
  void setListedHosts(const std::vector<ListedNode> &hosts);

  /// Hosts that reported within the member timeout, and are not known to have ended.
  std::vector<Member> liveMembers(Instant now) const;
  std::vector<Member> allMembers() const;
  /// Addresses for callers: live, not leaving, not overloaded, rotated by `seed`. Hosts in
  /// `nearest` come first.
  std::vector<Address> callerAddresses(Instant now, std::uint64_t seed,
                                       const DataCentreName &nearest) const;
  /// True if that process has certainly ended: a newer incarnation was seen, it said so itself, or
  /// the platform's list shows the host as gone and it does not report any more. The list lags, so
  /// a host that reports is not gone, whatever the list says.
  bool hasEnded(const HostName &host, std::uint64_t incarnation, Instant now) const;

private:
  struct Row {
    Member member;
    Instant lastReportAt; ///< Instant::max() for a member known from the planner
  };

  static bool isSilent(const Row &row, Instant now);

  std::map<HostName, Row> rows;
  std::map<HostName, Liveness> listedLiveness;
};

} // namespace catkin
