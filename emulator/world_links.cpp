#include "emulator/world_parts.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::emulator {

namespace {

// Makes the links of different nodes, and of different starts of one, differ at
// a gate.
constexpr unsigned GenerationShift = 32;
constexpr unsigned NodeShift = 48;

} // namespace

core::LinkId World::linkId(const Node &Of, core::LinkId Number) {
  return (static_cast<core::LinkId>(Of.m_Id) << NodeShift) +
         (static_cast<core::LinkId>(Of.m_Generation) << GenerationShift) +
         Number;
}

void World::openLink(Node &From, core::LinkId Number,
                     const std::string &Address) {
  Node &To = node(m_ByAddress.at(Address));
  const core::LinkId Id = linkId(From, Number);
  // One way to ask, one to be told.
  m_Time.at(m_Time.now() + 2 * latency(From, To),
            [this, &From, &To, Id, Number, Generation = From.m_Generation] {
              if (m_Time.now() < To.m_CutOffUntil ||
                  From.m_Generation != Generation)
                return;
              if (!To.m_Alive)
                return give(From, [this, &From, Number] {
                  From.m_Ingress->onLinkClosed(Number, m_Time.now());
                });
              Link Opened;
              Opened.m_Ingress = From.m_Id;
              Opened.m_Gate = To.m_Id;
              Opened.m_Number = Number;
              Opened.m_IngressGeneration = From.m_Generation;
              Opened.m_GateGeneration = To.m_Generation;
              m_Links[Id] = Opened;
              give(From, [this, &From, Number] {
                From.m_Ingress->onLinkOpened(Number, m_Time.now());
              });
            });
}

void World::carry(core::LinkId Id, Direction Way,
                  std::function<void()> Arrival) {
  const auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  const Duration Time =
      latency(node(Found->second.m_Ingress), node(Found->second.m_Gate));
  m_Time.at(m_Time.now() + Time,
            [this, Id, Way, Arrival = std::move(Arrival)]() mutable {
              arrive(Id, Way, std::move(Arrival));
            });
}

void World::arrive(core::LinkId Id, Direction Way,
                   std::function<void()> Arrival) {
  const Link &On = m_Links.at(Id);
  const auto Index = static_cast<std::size_t>(Way);
  if (On.m_Silent[Index])
    return;
  if (m_Time.now() < On.m_HeldUntil[Index])
    return m_Time.at(On.m_HeldUntil[Index],
                     [this, Id, Way, Arrival = std::move(Arrival)]() mutable {
                       arrive(Id, Way, std::move(Arrival));
                     });
  Node &Ingress = node(On.m_Ingress);
  Node &Gate = node(On.m_Gate);
  if (Way == Direction::ToIngress) {
    if (On.m_OpenAtIngress && Ingress.m_Generation == On.m_IngressGeneration)
      give(Ingress, std::move(Arrival));
    return;
  }
  if (On.m_OpenAtGate && Gate.m_Generation == On.m_GateGeneration)
    give(Gate, std::move(Arrival));
}

void World::closeAtIngress(core::LinkId Id) {
  Link &On = m_Links.at(Id);
  On.m_OpenAtIngress = false;
  node(On.m_Ingress).m_Ingress->onLinkClosed(On.m_Number, m_Time.now());
}

void World::closeAtGate(core::LinkId Id) {
  Link &On = m_Links.at(Id);
  On.m_OpenAtGate = false;
  node(On.m_Gate).m_Gate->onLinkClosed(Id, m_Time.now());
}

template <typename Action> void World::eachLink(NodeId Of, Action Do) {
  for (auto &[Id, On] : m_Links) {
    if (On.m_Gate == Of)
      Do(Id, On);
  }
}

void World::silenceLinks(NodeId Gate, Direction Way) {
  eachLink(Gate, [Way](core::LinkId, Link &On) {
    On.m_Silent[static_cast<std::size_t>(Way)] = true;
  });
}

void World::holdLinks(NodeId Gate, Direction Way, Duration Time) {
  eachLink(Gate, [this, Way, Time](core::LinkId, Link &On) {
    TimePoint &Until = On.m_HeldUntil[static_cast<std::size_t>(Way)];
    Until = std::max(Until, m_Time.now() + Time);
  });
}

void World::breakLinks(NodeId Of) {
  for (const auto &[Number, On] : m_Links) {
    if (On.m_Gate != Of && On.m_Ingress != Of)
      continue;
    const core::LinkId Id = Number;
    carry(Id, Direction::ToIngress, [this, Id] { closeAtIngress(Id); });
    carry(Id, Direction::ToGate, [this, Id] { closeAtGate(Id); });
  }
}

void World::cutOff(NodeId Gate, Duration Time) {
  silenceLinks(Gate, Direction::ToGate);
  silenceLinks(Gate, Direction::ToIngress);
  TimePoint &Until = node(Gate).m_CutOffUntil;
  Until = std::max(Until, m_Time.now() + Time);
}

} // namespace dandelionfall::emulator
