#include "core/distribution/neighbour_rings.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

std::uint64_t ringPosition(std::string_view Host, std::uint64_t RingNumber) {
  return XXH3_64bits_withSeed(Host.data(), Host.size(), RingNumber);
}

} // namespace

NeighbourRings::NeighbourRings(HostListPtr List, const std::string &Host,
                               const std::string &Zone)
    : m_List(std::move(List)) {
  for (std::size_t Number = 0; Number < ZoneRingCount; ++Number)
    m_ZoneRings[Number].m_OwnHash = ringPosition(Host, Number);
  m_CrossZoneRing.m_OwnHash = ringPosition(Host, ZoneRingCount);
  for (std::uint32_t Index = 0; Index < m_List->m_Hosts.size(); ++Index) {
    const HostEntry &Entry = m_List->m_Hosts[Index];
    if (Entry.m_Name == Host)
      continue;
    if (Entry.m_Zone != Zone) {
      m_CrossZoneRing.m_Positions.push_back(
          {ringPosition(Entry.m_Name, ZoneRingCount), Index});
      continue;
    }
    for (std::size_t Number = 0; Number < ZoneRingCount; ++Number)
      m_ZoneRings[Number].m_Positions.push_back(
          {ringPosition(Entry.m_Name, Number), Index});
  }
  const auto Sort = [](Ring &Value) {
    std::sort(Value.m_Positions.begin(), Value.m_Positions.end(),
              [](const Position &Left, const Position &Right) {
                return std::pair(Left.m_Hash, Left.m_Index) <
                       std::pair(Right.m_Hash, Right.m_Index);
              });
  };
  std::for_each(m_ZoneRings.begin(), m_ZoneRings.end(), Sort);
  Sort(m_CrossZoneRing);
}

void NeighbourRings::addNearest(
    const Ring &Searched, const std::function<bool(const HostEntry &)> &Usable,
    std::vector<const HostEntry *> &Chosen) const {
  const std::size_t Size = Searched.m_Positions.size();
  const auto After = std::lower_bound(
      Searched.m_Positions.begin(), Searched.m_Positions.end(),
      Searched.m_OwnHash, [](const Position &Entry, std::uint64_t Hash) {
        return Entry.m_Hash < Hash;
      });
  const auto Start =
      static_cast<std::size_t>(After - Searched.m_Positions.begin());
  const auto AddFirst = [&](auto IndexAt) {
    for (std::size_t Step = 0; Step < Size; ++Step) {
      const Position &At = Searched.m_Positions[IndexAt(Step)];
      const HostEntry &Entry = m_List->m_Hosts[At.m_Index];
      if (std::find(Chosen.begin(), Chosen.end(), &Entry) != Chosen.end())
        continue;
      if (!Usable(Entry))
        continue;
      Chosen.push_back(&Entry);
      return;
    }
  };
  AddFirst([&](std::size_t Step) { return (Start + Step) % Size; });
  AddFirst([&](std::size_t Step) { return (Start + Size - 1 - Step) % Size; });
}

std::vector<const HostEntry *> NeighbourRings::choose(
    const std::function<bool(const HostEntry &)> &Usable) const {
  std::vector<const HostEntry *> Chosen;
  for (const Ring &ZoneRing : m_ZoneRings)
    addNearest(ZoneRing, Usable, Chosen);
  addNearest(m_CrossZoneRing, Usable, Chosen);
  return Chosen;
}

} // namespace dandelionfall::core
