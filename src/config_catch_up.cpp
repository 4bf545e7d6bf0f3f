#include "config_catch_up_p.h"

#include "config.h"

#include <algorithm>

namespace catkin {

CatchUpStep ConfigCatchUp::next(std::uint64_t version, const std::vector<ConfigHolder> &holders,
                                bool storeConnected, Instant now, std::uint64_t random) {
  std::uint64_t newest = version;
  for (auto &it : holders)
    newest = std::max(newest, it.version);
  if (newest <= version) {
    since.reset();
    return {};
  }
  if (!since || version >= wanted)
    aimAt(newest, now);
  if (storeConnected && now - *since < config::FleetConfigGrace)
    return {};
  CatchUpStep step;
  step.readStore = storeConnected && !std::exchange(storeRead, true);
  if (!asking && now >= askFrom)
    step.ask = choose(holders, random);
  asking = asking || step.ask;
  return step;
}

void ConfigCatchUp::onAnswer(Instant now) {
  asking = false;
  // A configuration that this host cannot read would be sent again and again.
  askFrom = now + askPause;
  askPause = std::min<Duration>(2 * askPause, config::FleetConfigAskPauseMax);
}

void ConfigCatchUp::aimAt(std::uint64_t version, Instant now) {
  since = now;
  wanted = version;
  storeRead = false;
  askFrom = now;
  askPause = config::FleetConfigAskPause;
  asked.clear();
}

/// One that was not asked yet, if possible in this data centre, chosen at random so that many hosts
/// behind do not ask the same one.
std::optional<Address> ConfigCatchUp::choose(const std::vector<ConfigHolder> &holders,
                                             std::uint64_t random) {
  std::vector<const ConfigHolder *> fit;
  for (auto &it : holders)
    if (it.version >= wanted && asked.count(it.address) == 0)
      fit.push_back(&it);
  if (fit.empty()) {
    asked.clear(); // each has had its turn
    return std::nullopt;
  }
  auto firstFar =
      std::stable_partition(fit.begin(), fit.end(), [](auto *it) { return it->nearby; });
  if (firstFar != fit.begin())
    fit.erase(firstFar, fit.end());
  const Address &chosen = fit[random % fit.size()]->address;
  asked.insert(chosen);
  return chosen;
}

} // namespace catkin
