#include "membership_p.h"

#include "config.h"

#include <algorithm>

namespace catkin {

void Membership::onSync(const Member &member, Instant now) {
  auto &row = rows[member.host];
  if (member.incarnation < row.member.incarnation)
    return; // delayed message of a process that a newer one has replaced
  row = {member, now};
}

void Membership::setMembers(const std::vector<Member> &members) {
  std::map<HostName, Row> next;
  for (auto &it : members)
    next[it.host] = {it, Instant::max()};
  // A newer incarnation that reported here is kept, since it proves that the older process ended.
  for (auto &[host, row] : rows) {
    auto it = next.find(host);
    if (it != next.end() && it->second.member.incarnation < row.member.incarnation)
      it->second = row;
  }
  rows = std::move(next);
}

void Membership::startObserving(Instant now) {
  for (auto &[host, row] : rows)
    row.lastReportAt = std::min(row.lastReportAt, now);
}

void Membership::setListedHosts(const std::vector<ListedNode> &hosts) {
  std::map<HostName, Liveness> next;
  for (auto &it : hosts)
    next[HostName(it.name)] = it.liveness;
  // A host that disappears from the list is gone. A host that was never listed may be new.
  for (auto &[host, liveness] : listedLiveness)
    next.try_emplace(host, Liveness::Gone);
  listedLiveness = std::move(next);
}

std::vector<Member> Membership::liveMembers(Instant now) const {
  std::vector<Member> found;
  for (auto &[host, row] : rows) {
    if (isSilent(row, now) || row.member.liveness == Liveness::Gone)
      continue;
    auto member = row.member;
    auto it = listedLiveness.find(host);
    if (it != listedLiveness.end() && it->second == Liveness::Leaving)
      member.liveness = Liveness::Leaving;
    found.push_back(std::move(member));
  }
  return found;
}

std::vector<Member> Membership::allMembers() const {
  std::vector<Member> found;
  for (auto &[host, row] : rows)
    found.push_back(row.member);
  return found;
}

std::vector<Address> Membership::callerAddresses(Instant now, std::uint64_t seed,
                                                 const DataCentreName &nearest) const {
  std::vector<Address> near;
  std::vector<Address> far;
  for (auto &it : liveMembers(now)) {
    if (it.liveness != Liveness::Live || it.overloaded)
      continue;
    (it.dataCentre == nearest ? near : far).push_back(it.callerAddress);
  }
  auto rotate = [seed](std::vector<Address> &list) {
    if (!list.empty())
      std::rotate(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(seed % list.size()),
                  list.end());
  };
  rotate(near);
  rotate(far);
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

bool Membership::hasEnded(const HostName &host, std::uint64_t incarnation, Instant now) const {
  auto it = rows.find(host);
  if (it != rows.end()) {
    auto &member = it->second.member;
    if (member.incarnation > incarnation)
      return true;
    if (member.incarnation == incarnation && member.liveness == Liveness::Gone)
      return true;
    if (member.incarnation == incarnation && !isSilent(it->second, now))
      return false;
  }
  auto entry = listedLiveness.find(host);
  return entry != listedLiveness.end() && entry->second == Liveness::Gone;
}

bool Membership::isSilent(const Row &row, Instant now) {
  return row.lastReportAt < now && now - row.lastReportAt > config::MemberTimeout;
}

} // namespace catkin
