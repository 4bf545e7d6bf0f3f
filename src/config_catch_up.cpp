#include "config_catch_up_p.h"

#include "config.h"

#include <algorithm>

namespace catkin {

CatchUpStep ConfigCatchUp::nextStep(std::uint64_t version, const std::vector<ConfigHolder> &holders,
                                    bool storeConnected, Instant now, std::uint64_t random) {
  std::uint64_t newest = version;
  for (auto &it : holders)
    newest = std::max(newest, it.version);
  if (newest <= version) {
    behindFrom.reset();
    return {};
  }
  if (!behindFrom || version >= targetVersion)
    setTarget(newest, now);
  if (storeConnected && now - *behindFrom < config::FleetConfigGrace)
    return {};
  CatchUpStep step;
  step.readStore = storeConnected && !std::exchange(storeReadRequested, true);
  if (!asking && now >= nextAskAt)
    step.hostToAsk = chooseHolder(holders, random);
  asking = asking || step.hostToAsk;
  return step;
}

void ConfigCatchUp::onAnswer(Instant now) {
  asking = false;
  // Without a growing pause, a configuration that this host cannot read would be fetched
  // repeatedly.
  nextAskAt = now + askBackoff;
  askBackoff = std::min<Duration>(2 * askBackoff, config::FleetConfigAskPauseMax);
}

void ConfigCatchUp::setTarget(std::uint64_t version, Instant now) {
  behindFrom = now;
  targetVersion = version;
  storeReadRequested = false;
  nextAskAt = now;
  askBackoff = config::FleetConfigAskPause;
  askedHosts.clear();
}

/// Chooses a host that has not been asked yet, if possible in this data centre. The choice is
/// random so that many hosts that are out of date do not all ask the same one.
std::optional<Address> ConfigCatchUp::chooseHolder(const std::vector<ConfigHolder> &holders,
                                                   std::uint64_t random) {
  std::vector<const ConfigHolder *> candidates;
  for (auto &it : holders)
    if (it.version >= targetVersion && askedHosts.count(it.address) == 0)
      candidates.push_back(&it);
  if (candidates.empty()) {
    askedHosts.clear(); // all were asked: start over at the next call
    return std::nullopt;
  }
  auto firstDistant = std::stable_partition(candidates.begin(), candidates.end(),
                                            [](auto *it) { return it->nearby; });
  if (firstDistant != candidates.begin())
    candidates.erase(firstDistant, candidates.end());
  const Address &chosen = candidates[random % candidates.size()]->address;
  askedHosts.insert(chosen);
  return chosen;
}

} // namespace catkin
