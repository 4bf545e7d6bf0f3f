#pragma once

#include "env_p.h"
#include "messages_p.h"

#include <map>
#include <vector>

/// Membership of the hosts as one host knows it. The planner learns it from the hosts' syncs, the
/// others from the planner's replies. Both also read the platform's host list, which lags.
namespace catkin {

/// Table of the known hosts and their liveness.
class Membership {
public:
  /// Records the report that a host sent to this host.
  void onSync(const Member &member, Instant now);
  /// Replaces the members by those of the planner's reply. They do not expire, since nothing newer
  /// is known while there is no planner.
  void setMembers(const std::vector<Member> &members);
  /// Call when this host becomes the planner. From then on members expire unless they report here.
  void startObserving(Instant now);
  /// Updates the liveness that the platform's host list gives.
  void setListedHosts(const std::vector<ListedNode> &hosts);

  /// Hosts that reported within config::MemberTimeout and are not known to have ended.
  std::vector<Member> liveMembers(Instant now) const;
  /// All known hosts, also silent ones.
  std::vector<Member> allMembers() const;
  /// Addresses for callers, of the hosts that are live and neither leaving nor overloaded. Hosts in
  /// data centre `nearest` come first; both groups are rotated by `seed` to spread the callers.
  std::vector<Address> callerAddresses(Instant now, std::uint64_t seed,
                                       const DataCentreName &nearest) const;
  /// True if that process has certainly ended: a newer incarnation reported, the process reported
  /// its own end, or the platform's list shows the host as gone and its reports have stopped. The
  /// list lags, so a host that still reports has not ended, whatever the list shows.
  bool hasEnded(const HostName &host, std::uint64_t incarnation, Instant now) const;

private:
  struct Row {
    Member member;
    Instant lastReportAt; ///< Instant::max() for a member from the planner's reply
  };

  /// True if the last report is older than config::MemberTimeout.
  static bool isSilent(const Row &row, Instant now);

  std::map<HostName, Row> rows;
  std::map<HostName, Liveness> listedLiveness;
};

} // namespace catkin
