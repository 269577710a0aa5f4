#include "core/gate/link_table.h"

#include "core/gate/limits.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::gate {

HelloResult LinkTable::open(LinkId Link, const TrafficHello &Message,
                            TimePoint Now) {
  HelloResult Result;
  if (m_CurrentCount >= MaxLinks || m_Links.count(Link) > 0)
    return Result;
  const auto [Entry, IsNew] = m_Ingresses.try_emplace(Message.m_Ingress);
  IngressRecord &Ingress = Entry->second;
  if (!IsNew && Message.m_Epoch <= Ingress.m_Epoch)
    return Result;
  Result.m_Accepted = true;
  Result.m_EpochRaised = !IsNew;
  Result.m_Replaced = Ingress.m_Link;
  Ingress.m_Host = Message.m_Host;
  Ingress.m_Epoch = Message.m_Epoch;
  makeCurrent(Ingress, Link);
  Ingress.m_ActiveUntil = std::max(Ingress.m_ActiveUntil, Now);
  m_Links[Link] = {Message.m_Ingress, Message.m_Epoch};
  Result.m_Departed = replaceHost(Message);
  if (m_Ingresses.size() > MaxKnownIngresses)
    Result.m_Evicted = evictOldest();
  return Result;
}

void LinkTable::makeCurrent(IngressRecord &Ingress, LinkId Link) {
  m_CurrentCount += Ingress.m_Link ? 0 : 1;
  if (!Ingress.m_Link) {
    Ingress.m_Link = Link;
    if (Ingress.m_DisconnectedPosition)
      m_Disconnected.erase(*Ingress.m_DisconnectedPosition);
    Ingress.m_DisconnectedPosition.reset();
    return;
  }
  if (Ingress.m_ReplacedLink)
    m_Links.erase(*Ingress.m_ReplacedLink);
  Ingress.m_ReplacedLink = std::exchange(Ingress.m_Link, Link);
}

void LinkTable::close(LinkId Link) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  const auto Ingress = m_Ingresses.find(Found->second.m_Ingress);
  if (Ingress != m_Ingresses.end() && Ingress->second.m_Link == Link) {
    Ingress->second.m_Link.reset();
    --m_CurrentCount;
    Ingress->second.m_DisconnectedPosition =
        m_Disconnected.insert(m_Disconnected.end(), Ingress->first);
  }
  m_Links.erase(Found);
}

const LinkRecord *LinkTable::find(LinkId Link) const {
  const auto Found = m_Links.find(Link);
  return Found == m_Links.end() ? nullptr : &Found->second;
}

bool LinkTable::isCurrent(LinkId Link) const {
  const LinkRecord *Record = find(Link);
  return Record != nullptr && currentLink(Record->m_Ingress) == Link;
}

std::optional<LinkId> LinkTable::currentLink(const Incarnation &Ingress) const {
  const auto Found = m_Ingresses.find(Ingress);
  if (Found == m_Ingresses.end())
    return std::nullopt;
  return Found->second.m_Link;
}

std::vector<LinkId> LinkTable::currentLinks() const {
  std::vector<LinkId> Result;
  for (const auto &[Incarnation, Ingress] : m_Ingresses) {
    if (Ingress.m_Link)
      Result.push_back(*Ingress.m_Link);
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

void LinkTable::extendActiveUntil(const Incarnation &Ingress, TimePoint Until) {
  const auto Found = m_Ingresses.find(Ingress);
  if (Found == m_Ingresses.end())
    return;
  TimePoint &ActiveUntil = Found->second.m_ActiveUntil;
  ActiveUntil = std::max(ActiveUntil, Until);
}

std::optional<TimePoint>
LinkTable::activeUntil(const Incarnation &Ingress) const {
  const auto Found = m_Ingresses.find(Ingress);
  if (Found == m_Ingresses.end())
    return std::nullopt;
  return Found->second.m_ActiveUntil;
}

std::optional<Incarnation> LinkTable::replaceHost(const TrafficHello &Message) {
  const auto [Entry, IsNew] =
      m_Hosts.try_emplace(Message.m_Host, Message.m_Ingress);
  if (IsNew || Entry->second == Message.m_Ingress)
    return std::nullopt;
  const Incarnation Departed = Entry->second;
  Entry->second = Message.m_Ingress;
  // An ingress that still has its link has not departed, even if another
  // ingress now uses its host name.
  if (currentLink(Departed))
    return std::nullopt;
  return Departed;
}

std::optional<Incarnation> LinkTable::evictOldest() {
  if (m_Disconnected.empty())
    return std::nullopt;
  const Incarnation Evicted = m_Disconnected.front();
  m_Disconnected.pop_front();
  const auto Record = m_Ingresses.find(Evicted);
  const auto Host = m_Hosts.find(Record->second.m_Host);
  if (Host != m_Hosts.end() && Host->second == Evicted)
    m_Hosts.erase(Host);
  if (Record->second.m_ReplacedLink)
    m_Links.erase(*Record->second.m_ReplacedLink);
  m_Ingresses.erase(Record);
  return Evicted;
}

} // namespace dandelionfall::core::gate
