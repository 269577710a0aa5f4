#include "emulator/world_parts.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::emulator {

namespace {

// Makes link ids at a gate unique across nodes and restarts of a node.
constexpr unsigned GenerationShift = 32;
constexpr unsigned NodeShift = 48;

} // namespace

core::LinkId World::linkId(const Node &TheNode, core::LinkId Number) {
  return (static_cast<core::LinkId>(TheNode.m_Id) << NodeShift) +
         (static_cast<core::LinkId>(TheNode.m_Generation) << GenerationShift) +
         Number;
}

void World::openLink(Node &From, core::LinkId Number,
                     const std::string &Address) {
  Node &To = node(m_NodesByAddress.at(Address));
  const core::LinkId Id = linkId(From, Number);
  // One way for the connection request, one for the reply.
  m_Time.at(m_Time.now() + 2 * latency(From, To),
            [this, &From, &To, Id, Number, Generation = From.m_Generation] {
              if (m_Time.now() < To.m_IsolatedUntil ||
                  From.m_Generation != Generation)
                return;
              if (!To.m_Alive)
                return deliver(From, [this, &From, Number] {
                  From.m_Ingress->onLinkClosed(Number, m_Time.now());
                });
              Link Opened;
              Opened.m_Ingress = From.m_Id;
              Opened.m_Gate = To.m_Id;
              Opened.m_Number = Number;
              Opened.m_IngressGeneration = From.m_Generation;
              Opened.m_GateGeneration = To.m_Generation;
              m_Links[Id] = Opened;
              deliver(From, [this, &From, Number] {
                From.m_Ingress->onLinkOpened(Number, m_Time.now());
              });
            });
}

void World::transmit(core::LinkId Id, Direction Dir,
                     std::function<void()> Arrival) {
  const auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  const Duration Time =
      latency(node(Found->second.m_Ingress), node(Found->second.m_Gate));
  m_Time.at(m_Time.now() + Time,
            [this, Id, Dir, Arrival = std::move(Arrival)]() mutable {
              arrive(Id, Dir, std::move(Arrival));
            });
}

void World::arrive(core::LinkId Id, Direction Dir,
                   std::function<void()> Arrival) {
  const Link &TheLink = m_Links.at(Id);
  const auto Index = static_cast<std::size_t>(Dir);
  if (TheLink.m_Silent[Index])
    return;
  if (m_Time.now() < TheLink.m_DelayedUntil[Index])
    return m_Time.at(TheLink.m_DelayedUntil[Index],
                     [this, Id, Dir, Arrival = std::move(Arrival)]() mutable {
                       arrive(Id, Dir, std::move(Arrival));
                     });
  Node &Ingress = node(TheLink.m_Ingress);
  Node &Gate = node(TheLink.m_Gate);
  if (Dir == Direction::ToIngress) {
    if (TheLink.m_OpenAtIngress &&
        Ingress.m_Generation == TheLink.m_IngressGeneration)
      deliver(Ingress, std::move(Arrival));
    return;
  }
  if (TheLink.m_OpenAtGate && Gate.m_Generation == TheLink.m_GateGeneration)
    deliver(Gate, std::move(Arrival));
}

void World::closeAtIngress(core::LinkId Id) {
  Link &TheLink = m_Links.at(Id);
  TheLink.m_OpenAtIngress = false;
  node(TheLink.m_Ingress)
      .m_Ingress->onLinkClosed(TheLink.m_Number, m_Time.now());
}

void World::closeAtGate(core::LinkId Id) {
  Link &TheLink = m_Links.at(Id);
  TheLink.m_OpenAtGate = false;
  node(TheLink.m_Gate).m_Gate->onLinkClosed(Id, m_Time.now());
}

template <typename Action> void World::forEachLink(NodeId Gate, Action Do) {
  for (auto &[Id, TheLink] : m_Links) {
    if (TheLink.m_Gate == Gate)
      Do(Id, TheLink);
  }
}

void World::silenceLinks(NodeId Gate, Direction Dir) {
  forEachLink(Gate, [Dir](core::LinkId, Link &TheLink) {
    TheLink.m_Silent[static_cast<std::size_t>(Dir)] = true;
  });
}

void World::delayLinks(NodeId Gate, Direction Dir, Duration Time) {
  forEachLink(Gate, [this, Dir, Time](core::LinkId, Link &TheLink) {
    TimePoint &Until = TheLink.m_DelayedUntil[static_cast<std::size_t>(Dir)];
    Until = std::max(Until, m_Time.now() + Time);
  });
}

void World::breakLinks(NodeId Endpoint) {
  for (const auto &[Number, TheLink] : m_Links) {
    if (TheLink.m_Gate != Endpoint && TheLink.m_Ingress != Endpoint)
      continue;
    const core::LinkId Id = Number;
    transmit(Id, Direction::ToIngress, [this, Id] { closeAtIngress(Id); });
    transmit(Id, Direction::ToGate, [this, Id] { closeAtGate(Id); });
  }
}

void World::isolateGate(NodeId Gate, Duration Time) {
  silenceLinks(Gate, Direction::ToGate);
  silenceLinks(Gate, Direction::ToIngress);
  TimePoint &Until = node(Gate).m_IsolatedUntil;
  Until = std::max(Until, m_Time.now() + Time);
}

} // namespace dandelionfall::emulator
