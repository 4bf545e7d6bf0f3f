#pragma once

#include "types_p.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The teams of a configuration: who may send requests, and how many.
namespace catkin {

/// SHA-256 of an API key. Keys themselves are not kept.
using ApiKeyDigest = std::array<unsigned char, 32>;
ApiKeyDigest digestOf(std::string_view apiKey);
/// Returns the digest as hexadecimal digits.
std::string toText(const ApiKeyDigest &digest);
/// Parses the format of toText(). Empty if the text is not a digest.
std::optional<ApiKeyDigest> parseDigest(std::string_view text);

enum class QuotaUnit { Requests, Tokens, Count };
template <> struct EnumNames<QuotaUnit> {
  static constexpr std::array<std::string_view, 2> Table{"requests", "tokens"};
};

/// What a team may send to all hosts together.
struct TeamQuota {
  QuotaUnit unit = QuotaUnit::Requests;
  double perSecond = 0;   ///< 0 if there is no limit
  double burst = 0;       ///< that may be sent at once after a quiet time
  double plainTokens = 0; ///< for a request that does not say how many tokens it has
  bool isLimited() const { return perSecond > 0; }
  friend bool operator==(const TeamQuota &, const TeamQuota &) = default;
};

/// A customer that shares the system with others.
struct Team {
  TeamName name;
  std::vector<ApiKeyDigest> keys;
  std::optional<int> priority; ///< takes precedence over the route's; 0 is the highest
  TeamQuota quota;
};

/// Finds teams by key and by name.
class TeamDirectory {
public:
  /// Adds a team. Returns an empty text, or why the team is invalid; nothing is added then.
  std::string add(Team team);
  /// Returns the team that holds the key; null if none does.
  const Team *findByKey(std::string_view apiKey) const;
  /// Returns null if there is no such team.
  const Team *find(const TeamName &name) const;
  bool empty() const { return teams.empty(); }
  const std::map<TeamName, Team> &all() const { return teams; }
  std::size_t keyCount() const { return owners.size(); } ///< of all teams

private:
  std::map<TeamName, Team> teams;
  std::map<ApiKeyDigest, TeamName> owners;
};

} // namespace catkin
