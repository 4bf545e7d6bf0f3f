#include "digest_book_p.h"

#include "config.h"

namespace catkin {

namespace {

// Relays send one a second; one may be lost.
constexpr Duration DirectLifetime = std::chrono::milliseconds(2500);
constexpr Duration PassedOnLifetime = std::chrono::milliseconds(3500);

} // namespace

void DigestBook::onDigests(const FleetDigests &message, Instant now) {
  if (message.passedOn)
    passedOn = {message, now};
  else if (!message.digests.empty())
    direct[message.digests.front().dataCentre] = {message, now};
}

std::optional<FleetDigests> DigestBook::toPassOn(Instant now) const {
  FleetDigests out{.passedOn = true, .digests = {}, .loads = {}};
  std::map<EndpointName, int> loads;
  for (auto &[dataCentre, it] : direct) {
    if (now - it.at >= DirectLifetime)
      continue;
    out.digests.push_back(it.message.digests.front());
    catkin::addLoads(it.message.loads, loads);
  }
  out.loads = listLoads(loads);
  return out.digests.empty() ? std::nullopt : std::optional(out);
}

void DigestBook::addLoads(std::map<EndpointName, int> &loads, Instant now) const {
  bool anyDirect = false;
  for (auto &[dataCentre, it] : direct) {
    if (now - it.at >= DirectLifetime)
      continue;
    anyDirect = true;
    catkin::addLoads(it.message.loads, loads);
  }
  if (!anyDirect && passedOn && now - passedOn->at < PassedOnLifetime)
    catkin::addLoads(passedOn->message.loads, loads);
}

} // namespace catkin
