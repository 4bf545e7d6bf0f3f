#include "team_directory_p.h"

#include <charconv>
#include <cmath>

#include <openssl/sha.h>

namespace catkin {

namespace {

bool isAmount(double value) { return std::isfinite(value) && value >= 0; }

} // namespace

ApiKeyDigest digestOf(std::string_view apiKey) {
  ApiKeyDigest out;
  SHA256(reinterpret_cast<const unsigned char *>(apiKey.data()), apiKey.size(), out.data());
  return out;
}

std::string toText(const ApiKeyDigest &digest) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string out;
  out.reserve(2 * digest.size());
  for (auto it : digest) {
    out += Digits[it >> 4U];
    out += Digits[it & 0xfU];
  }
  return out;
}

std::optional<ApiKeyDigest> parseDigest(std::string_view text) {
  constexpr int Hexadecimal = 16;
  ApiKeyDigest out{};
  if (text.size() != 2 * out.size())
    return std::nullopt;
  for (auto &it : out) {
    auto [end, ec] = std::from_chars(text.data(), text.data() + 2, it, Hexadecimal);
    if (ec != std::errc() || end != text.data() + 2)
      return std::nullopt;
    text.remove_prefix(2);
  }
  return out;
}

std::string TeamDirectory::add(Team team) {
  if (team.name.empty())
    return "a team has no name";
  if (teams.count(team.name) > 0)
    return "the team " + team.name.value + " is listed twice";
  const TeamQuota &quota = team.quota;
  if (!isAmount(quota.perSecond) || !isAmount(quota.burst) || !isAmount(quota.plainTokens))
    return "the team " + team.name.value + " has a quota that is not a number of at least 0";
  for (auto &it : team.keys) {
    auto owner = owners.find(it);
    if (owner != owners.end() && owner->second != team.name)
      return "the teams " + owner->second.value + " and " + team.name.value + " share a key";
  }
  for (auto &it : team.keys)
    owners.emplace(it, team.name);
  const TeamName name = team.name;
  teams.emplace(name, std::move(team));
  return {};
}

const Team *TeamDirectory::findByKey(std::string_view apiKey) const {
  auto it = owners.find(digestOf(apiKey));
  return it == owners.end() ? nullptr : find(it->second);
}

const Team *TeamDirectory::find(const TeamName &name) const {
  auto it = teams.find(name);
  return it == teams.end() ? nullptr : &it->second;
}

} // namespace catkin
