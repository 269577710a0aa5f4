// Availability zones that operators take out of service and back.
#include "store_fleet.h"

namespace dandelionfall::test {

using namespace core;

namespace {

/// Time within which a change must be in force.
constexpr Duration ChangeBound = std::chrono::seconds(2);

std::string nameOfZone(std::size_t Zone) {
  return "zone-" + std::to_string(Zone);
}

} // namespace

Revision StoreFleet::takeOutZone(std::size_t Zone) {
  m_ZonesOut.insert(Zone);
  const std::string Name = nameOfZone(Zone);
  const Revision New = m_Store.put("zone/" + Name, Name, m_Now);
  announce();
  return New;
}

Revision StoreFleet::takeBackZone(std::size_t Zone) {
  m_ZonesOut.erase(Zone);
  m_ZonesBackAt.insert_or_assign(Zone, m_Now);
  const Revision New = m_Store.remove("zone/" + nameOfZone(Zone), m_Now);
  announce();
  return New;
}

void StoreFleet::writeZonesAgain() {
  constexpr std::uint64_t RewriteMs = 1900;
  const auto IsAsWritten = [this](std::size_t Zone) {
    const bool IsHeld = m_Store.value("zone/" + nameOfZone(Zone)) != nullptr;
    return IsHeld == m_ZonesOut.contains(Zone);
  };
  for (std::size_t Zone = 0; Zone < m_Options.m_Zones; ++Zone) {
    if (IsAsWritten(Zone))
      continue;
    const auto After = std::chrono::milliseconds(m_Random() % RewriteMs);
    at(m_Now + After, [this, Zone, IsAsWritten] {
      if (m_StoreIsAway || IsAsWritten(Zone))
        return;
      if (m_ZonesOut.contains(Zone))
        takeOutZone(Zone);
      else
        takeBackZone(Zone);
    });
  }
}

void StoreFleet::noteZones(std::size_t Number, const Configuration &Applied) {
  Member &Applying = m_Nodes[Number];
  std::set<std::string> Out;
  for (const auto &[Name, Known] : Applied.m_Zones) {
    if (Known.m_State == ZoneState::Out)
      Out.insert(Name);
  }
  for (const std::size_t Zone : m_ZonesOut) {
    const std::string Name = nameOfZone(Zone);
    // The node may only now learn that it was back for a moment.
    const auto Back = m_ZonesBackAt.find(Zone);
    if (Back != m_ZonesBackAt.end() && m_Now < Back->second + ChangeBound)
      continue;
    if (m_WasRestored && Applying.m_ZonesOut.contains(Name) &&
        !Out.contains(Name))
      m_Violations.push_back("node " + std::to_string(Number) + ": " + Name +
                             " is used again at " +
                             std::to_string(m_Now.time_since_epoch().count()) +
                             " us");
  }
  Applying.m_ZonesOut = std::move(Out);
}

bool StoreFleet::isOut(std::size_t Node, std::size_t Zone) const {
  return m_Nodes[Node].m_ZonesOut.contains(nameOfZone(Zone));
}

std::set<std::size_t> StoreFleet::nodesWith(std::size_t Zone) const {
  std::set<std::size_t> Result;
  for (std::size_t Number = 0; Number < m_Nodes.size(); ++Number) {
    if (m_Nodes[Number].m_Replica != nullptr && !isOut(Number, Zone))
      Result.insert(Number);
  }
  return Result;
}

void StoreFleet::slowReplies(std::size_t Node, Duration Longer) {
  m_Nodes[Node].m_SlowReplies = Longer;
}

} // namespace dandelionfall::test
