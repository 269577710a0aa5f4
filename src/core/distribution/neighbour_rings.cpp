#include "core/distribution/neighbour_rings.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

std::uint64_t place(std::string_view Host, std::uint64_t RingNumber) {
  return XXH3_64bits_withSeed(Host.data(), Host.size(), RingNumber);
}

} // namespace

NeighbourRings::NeighbourRings(HostListPtr List, const std::string &Host,
                               const std::string &Zone)
    : m_List(std::move(List)) {
  for (std::size_t Number = 0; Number < InsideRings; ++Number)
    m_Inside[Number].m_Own = place(Host, Number);
  m_Outside.m_Own = place(Host, InsideRings);
  for (std::uint32_t Index = 0; Index < m_List->m_Hosts.size(); ++Index) {
    const HostEntry &Entry = m_List->m_Hosts[Index];
    if (Entry.m_Name == Host)
      continue;
    if (Entry.m_Zone != Zone) {
      m_Outside.m_Positions.push_back(
          {place(Entry.m_Name, InsideRings), Index});
      continue;
    }
    for (std::size_t Number = 0; Number < InsideRings; ++Number)
      m_Inside[Number].m_Positions.push_back(
          {place(Entry.m_Name, Number), Index});
  }
  const auto Sort = [](Ring &Value) {
    std::sort(Value.m_Positions.begin(), Value.m_Positions.end(),
              [](const Position &Left, const Position &Right) {
                return std::pair(Left.m_Hash, Left.m_Index) <
                       std::pair(Right.m_Hash, Right.m_Index);
              });
  };
  std::for_each(m_Inside.begin(), m_Inside.end(), Sort);
  Sort(m_Outside);
}

void NeighbourRings::addBothSides(
    const Ring &Source, const std::function<bool(const HostEntry &)> &Usable,
    std::vector<const HostEntry *> &Chosen) const {
  const std::size_t Size = Source.m_Positions.size();
  const auto After = std::lower_bound(
      Source.m_Positions.begin(), Source.m_Positions.end(), Source.m_Own,
      [](const Position &Entry, std::uint64_t Hash) {
        return Entry.m_Hash < Hash;
      });
  const auto Start =
      static_cast<std::size_t>(After - Source.m_Positions.begin());
  const auto AddFirst = [&](auto IndexAt) {
    for (std::size_t Step = 0; Step < Size; ++Step) {
      const Position &At = Source.m_Positions[IndexAt(Step)];
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
  for (const Ring &Inside : m_Inside)
    addBothSides(Inside, Usable, Chosen);
  addBothSides(m_Outside, Usable, Chosen);
  return Chosen;
}

} // namespace dandelionfall::core
