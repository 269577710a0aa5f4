/// \file
/// Hash rings over the hosts, from which each node takes its neighbours.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_NEIGHBOUR_RINGS_H
#define DANDELIONFALL_CORE_DISTRIBUTION_NEIGHBOUR_RINGS_H

#include "dandelionfall/core/host_list.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dandelionfall::core {

/// Rings within a node's availability zone; each gives two neighbours.
inline constexpr std::size_t ZoneRingCount = 3;

/// Hosts placed on rings by the hash of their names. A node's neighbours are
/// the nearest usable hosts before and after it, so they hardly change when
/// other hosts come and go, and a node that returns finds the ones it had.
class NeighbourRings {
public:
  NeighbourRings() = default;

  /// \param List the hosts; kept by the rings.
  /// \param Host the node's own host, which the list need not have.
  /// \param Zone its availability zone.
  NeighbourRings(HostListPtr List, const std::string &Host,
                 const std::string &Zone);

  /// Chooses neighbours: two on each ring within the availability zone, two on
  /// a ring of the hosts of all others.
  /// \param Usable tells whether a host may be chosen.
  /// \returns the chosen hosts, each once; pointers into the list.
  std::vector<const HostEntry *>
  choose(const std::function<bool(const HostEntry &)> &Usable) const;

private:
  struct Position {
    std::uint64_t m_Hash = 0;
    std::uint32_t m_Index = 0;
  };
  struct Ring {
    std::vector<Position> m_Positions;
    std::uint64_t m_OwnHash = 0;
  };
  void addNearest(const Ring &Searched,
                  const std::function<bool(const HostEntry &)> &Usable,
                  std::vector<const HostEntry *> &Chosen) const;

  HostListPtr m_List;
  std::array<Ring, ZoneRingCount> m_ZoneRings;
  Ring m_CrossZoneRing;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_NEIGHBOUR_RINGS_H
