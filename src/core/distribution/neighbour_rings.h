/// \file
/// Hash rings of hosts, from which each node chooses its neighbours.
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

/// Number of rings within a node's availability zone; each provides two
/// neighbours.
inline constexpr std::size_t ZoneRingCount = 3;

/// Places hosts on rings by the hash of their names. A node's neighbours are
/// the nearest usable hosts before and after it on each ring, so few neighbours
/// change when hosts are added or removed, and a node that restarts gets the
/// same neighbours again.
class NeighbourRings {
public:
  NeighbourRings() = default;

  /// \param List the hosts; the rings share ownership.
  /// \param Host the node's own host, which need not be in the list.
  /// \param Zone the node's availability zone.
  NeighbourRings(HostListPtr List, const std::string &Host,
                 const std::string &Zone);

  /// Chooses two neighbours on each ring within the availability zone and two
  /// on the ring of the hosts of all other zones.
  /// \param Usable returns whether a host can be chosen.
  /// \returns the chosen hosts without duplicates, as pointers into the list.
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
