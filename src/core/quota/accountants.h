/// \file
/// Selects the nodes that account for the quota of a team.
#ifndef DANDELIONFALL_CORE_QUOTA_ACCOUNTANTS_H
#define DANDELIONFALL_CORE_QUOTA_ACCOUNTANTS_H

#include "dandelionfall/core/configuration.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace dandelionfall::core::quota {

/// What one accountant may grant of a team's quota.
struct QuotaShare {
  /// Number of accountants; each has an equal share.
  std::size_t m_Accountants = 0;
  double m_RatePerSecond = 0;
  double m_Burst = 0;
  friend bool operator==(const QuotaShare &, const QuotaShare &) = default;
};

/// Divides a quota among its accountants, so that in any window of the
/// tolerance their grants are within the bound.
/// \param Quota the quota of the team.
/// \param Tolerance by how much it may be exceeded; equal on all nodes.
/// \param GateCount number of gates in the configuration.
QuotaShare shareOf(const TeamQuota &Quota, const QuotaTolerance &Tolerance,
                   std::size_t GateCount);

/// Hash of a name that is equal on all nodes.
using NameHash = std::uint64_t;
/// \returns the hash of a gate's address or a team's name.
NameHash hashOfName(std::string_view Name);
/// \returns the rank of a gate for a team; the gates with the highest ranks are
/// its accountants.
std::uint64_t accountantRank(NameHash Gate, NameHash Team);

/// A gate's address.
struct GateName {
  NameHash m_Hash = 0;
  std::string m_Address;
  friend bool operator==(const GateName &, const GateName &) = default;
  friend bool operator<(const GateName &Left, const GateName &Right) {
    return std::tie(Left.m_Hash, Left.m_Address) <
           std::tie(Right.m_Hash, Right.m_Address);
  }
};

/// The gates of a configuration, each once, in ascending order.
using GateNames = std::vector<GateName>;

/// \returns the gates of all targets.
GateNames gatesOf(const Configuration &Config);

/// \returns the addresses of the gates with the highest ranks for a team, the
/// highest first.
std::vector<std::string> chooseAccountants(const GateNames &Gates,
                                           std::string_view Team,
                                           std::size_t Count);

} // namespace dandelionfall::core::quota

#endif // DANDELIONFALL_CORE_QUOTA_ACCOUNTANTS_H
