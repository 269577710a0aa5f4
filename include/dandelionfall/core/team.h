/// \file
/// Teams: callers that share API keys, a priority and a quota.
#ifndef DANDELIONFALL_CORE_TEAM_H
#define DANDELIONFALL_CORE_TEAM_H

#include "dandelionfall/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dandelionfall::core {

/// Requests per second that a team may have run, over all nodes together.
struct TeamQuota {
  /// 0 means no limit.
  double m_RatePerSecond = 0;
  /// Requests in excess of the rate that may come at once.
  double m_Burst = 0;
  friend bool operator==(const TeamQuota &, const TeamQuota &) = default;
};

/// By how much all nodes together may exceed a quota: in any window, a team's
/// requests are at most (rate x window + burst) x (1 + overage) + slack.
struct QuotaTolerance {
  Duration m_Window = std::chrono::seconds(5);
  double m_Overage = 0;
  double m_Slack = 0;
  friend bool operator==(const QuotaTolerance &,
                         const QuotaTolerance &) = default;
};

/// A team without its keys.
struct Team {
  std::string m_Name;
  /// 0 is the highest; goes before the priority of a route.
  std::uint32_t m_Priority = 0;
  TeamQuota m_Quota;
  friend bool operator==(const Team &, const Team &) = default;
};

/// A team as the operators define it.
struct TeamDefinition {
  Team m_Team;
  std::vector<std::string> m_Keys;
  friend bool operator==(const TeamDefinition &,
                         const TeamDefinition &) = default;
};

/// Digest of a key (XXH3, 128 bits). Tables hold digests only, so that no key
/// appears in an event or a status page.
struct KeyDigest {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;
  friend bool operator==(const KeyDigest &, const KeyDigest &) = default;
};

/// \returns the digest of a key.
KeyDigest digestOf(std::string_view Key);

/// The teams of a configuration, found by key.
class TeamTable {
public:
  /// \param Definitions teams without a fault, see `findTeamFault`.
  explicit TeamTable(const std::vector<TeamDefinition> &Definitions);

  /// Finds a team by one of its keys; takes the same time for any key.
  /// \returns the team, or null if no team holds the key.
  const Team *findByKey(std::string_view Key) const;
  /// \returns the team of that name, or null.
  const Team *findByName(std::string_view Name) const;
  /// \returns all teams.
  const std::vector<Team> &teams() const { return m_Teams; }

private:
  struct DigestHash {
    std::size_t operator()(const KeyDigest &Digest) const {
      return static_cast<std::size_t>(Digest.m_Low);
    }
  };

  std::vector<Team> m_Teams;
  std::unordered_map<KeyDigest, std::size_t, DigestHash> m_ByKey;
};

/// A fault in the definition of a team.
struct TeamFault {
  /// Number of the team in the definitions.
  std::size_t m_Index = 0;
  std::string m_Fault;
  std::string m_Remedy;
};

/// Checks names, keys, priorities and quotas.
/// \param Definitions the teams.
/// \returns the first fault, without the text of a key; nothing if there is
/// none.
std::optional<TeamFault>
findTeamFault(const std::vector<TeamDefinition> &Definitions);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_TEAM_H
