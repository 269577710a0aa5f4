#include "dandelionfall/core/team.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace dandelionfall::core {

namespace {

/// Limit of a team's priority: combined with that of a route it still travels
/// as a signed integer of 32 bits.
constexpr std::uint32_t MaxTeamPriority =
    std::numeric_limits<std::int16_t>::max();
constexpr double MaxQuota = 1e9;

// Names travel in header fields, keys are compared with those in requests.
bool isVisible(char Character) { return Character > ' ' && Character < '\x7f'; }

bool isQuotaValue(double Value) {
  return std::isfinite(Value) && Value >= 0 && Value <= MaxQuota;
}

} // namespace

KeyDigest digestOf(std::string_view Key) {
  const XXH128_hash_t Hash = XXH3_128bits(Key.data(), Key.size());
  return {Hash.high64, Hash.low64};
}

TeamTable::TeamTable(const std::vector<TeamDefinition> &Definitions) {
  for (const TeamDefinition &Each : Definitions) {
    for (const std::string &Key : Each.m_Keys)
      m_ByKey.emplace(digestOf(Key), m_Teams.size());
    m_Teams.push_back(Each.m_Team);
  }
}

const Team *TeamTable::findByKey(std::string_view Key) const {
  const auto Found = m_ByKey.find(digestOf(Key));
  return Found == m_ByKey.end() ? nullptr : &m_Teams[Found->second];
}

const Team *TeamTable::findByName(std::string_view Name) const {
  const auto Found =
      std::find_if(m_Teams.begin(), m_Teams.end(),
                   [Name](const Team &Each) { return Each.m_Name == Name; });
  return Found == m_Teams.end() ? nullptr : &*Found;
}

std::optional<TeamFault>
findTeamFault(const std::vector<TeamDefinition> &Definitions) {
  std::set<std::string_view> Names;
  std::set<std::string_view> Keys;
  for (std::size_t Index = 0; Index < Definitions.size(); ++Index) {
    const Team &Each = Definitions[Index].m_Team;
    const std::string What = "team " + Each.m_Name;
    if (Each.m_Name.empty())
      return TeamFault{Index, "a team has no name", "name each team"};
    if (!std::all_of(Each.m_Name.begin(), Each.m_Name.end(), isVisible))
      return TeamFault{Index, "the name of a team can't be sent to targets",
                       "write it without blanks and control characters"};
    if (!Names.insert(Each.m_Name).second)
      return TeamFault{Index, What + " is defined twice",
                       "define each name once"};
    if (Each.m_Priority > MaxTeamPriority)
      return TeamFault{Index, What + " has an invalid priority",
                       "use at most " + std::to_string(MaxTeamPriority)};
    if (!isQuotaValue(Each.m_Quota.m_RatePerSecond) ||
        !isQuotaValue(Each.m_Quota.m_Burst))
      return TeamFault{Index, What + " has an invalid rate or burst",
                       "write numbers from 0 to 1e9"};
    for (const std::string &Key : Definitions[Index].m_Keys) {
      if (Key.empty())
        return TeamFault{Index, What + " has an empty key", "remove it"};
      if (!Keys.insert(Key).second)
        return TeamFault{Index, What + " has a key that is listed before",
                         "give each key to one team, once"};
    }
  }
  return std::nullopt;
}

} // namespace dandelionfall::core
