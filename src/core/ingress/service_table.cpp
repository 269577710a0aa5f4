#include "core/ingress/service_table.h"

#include "core/ingress/limits.h"
#include "core/ingress/rendezvous.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::ingress {

void ServiceTable::setConfiguration(ConfigurationPtr Config, TimePoint Now) {
  m_Config = std::move(Config);
  std::erase_if(m_Views, [Now](const auto &Entry) {
    return Now - Entry.second.m_LastUsed > IdleTimeout;
  });
  m_Links.clearKeepOpen();
  for (auto &[Name, View] : m_Views)
    rebuild(Name, View, Now);
  m_Links.removeUnused(Now);
}

bool ServiceTable::setLeavingHosts(HostNames Hosts, TimePoint Now) {
  if (Hosts == m_LeavingHosts)
    return false;
  m_LeavingHosts = std::move(Hosts);
  if (m_Config == nullptr)
    return false;
  setConfiguration(m_Config, Now);
  return true;
}

ServiceView &ServiceTable::findOrAdd(const std::string &Name, TimePoint Now) {
  const auto [Found, Added] = m_Views.try_emplace(Name);
  if (Added)
    rebuild(Name, Found->second, Now);
  Found->second.m_LastUsed = Now;
  return Found->second;
}

bool ServiceTable::isCandidate(const std::string &Name,
                               const GatePeer &Peer) const {
  const auto Found = m_Views.find(Name);
  if (Found == m_Views.end())
    return false;
  const std::vector<Candidate> &All = Found->second.m_Candidates;
  return std::any_of(All.begin(), All.end(), [&Peer](const Candidate &Next) {
    return Next.m_Peer == &Peer;
  });
}

void ServiceTable::rebuild(const std::string &Name, ServiceView &View,
                           TimePoint Now) {
  View.m_Service.reset();
  View.m_Candidates.clear();
  const auto Found = m_Config->m_Services.find(Name);
  if (Found == m_Config->m_Services.end())
    return;
  View.m_Service = Found->second;
  View.m_Profile = m_Config->m_Profiles.at(View.m_Service->m_Profile);
  for (const Target &Next : View.m_Service->m_Targets) {
    if (!isZoneIn(*m_Config, Next.m_Zone) ||
        m_LeavingHosts.contains(Next.m_Host))
      continue;
    GatePeer &Peer = m_Links.peer(Next.m_GateAddress);
    Peer.m_Listed = true;
    View.m_Candidates.push_back({&Next, &Peer, distanceTo(Next.m_Zone)});
  }
  preopenLinks(View, Now);
}

Distance ServiceTable::distanceTo(const std::string &ZoneName) const {
  if (ZoneName == m_Options.m_Zone)
    return Distance::SameZone;
  const auto Own = m_Config->m_Zones.find(m_Options.m_Zone);
  const auto Other = m_Config->m_Zones.find(ZoneName);
  const bool SameRegion = Own != m_Config->m_Zones.end() &&
                          Own->second.m_Region == Other->second.m_Region;
  return SameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

std::uint64_t ServiceTable::rank(const Candidate &Of) const {
  // Each ingress uses a different order, which spreads the links over all
  // targets. It does not depend on the version, so links are kept.
  return rendezvousRank(Of.m_Peer->m_Address, m_Options.m_Seed);
}

void ServiceTable::preopenLinks(ServiceView &View, TimePoint Now) {
  std::vector<const Candidate *> Nearest;
  for (const Candidate &Next : View.m_Candidates)
    Nearest.push_back(&Next);
  std::stable_sort(Nearest.begin(), Nearest.end(),
                   [this](const Candidate *Left, const Candidate *Right) {
                     return std::pair(Left->m_Distance, rank(*Left)) <
                            std::pair(Right->m_Distance, rank(*Right));
                   });
  Nearest.resize(std::min(Nearest.size(), PreopenedLinksPerService));
  for (const Candidate *Next : Nearest) {
    Next->m_Peer->m_KeepOpen = true;
    m_Links.ensureOpen(*Next->m_Peer, Now);
    m_Links.rescheduleTimer(*Next->m_Peer, Now);
  }
}

} // namespace dandelionfall::core::ingress
