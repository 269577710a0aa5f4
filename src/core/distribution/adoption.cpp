#include "core/distribution/adoption.h"

#include <algorithm>

namespace dandelionfall::core {

namespace {

struct Holders {
  std::size_t m_Count = 0;
  std::size_t m_InOtherZones = 0;
  std::size_t m_Reachable = 0;
};

Holders countHolders(const Blackboard &Board, const VersionStamp &Stamp) {
  Holders Result;
  for (const auto &[Id, Link] : Board.m_Links) {
    // A leaving peer does not count: its copy disappears with its process.
    if (!Link.isUsable())
      continue;
    ++Result.m_Reachable;
    const VersionStamp &HeldByPeer =
        Link.m_Streams[indexOf(Stream::Configuration)].m_Held;
    const bool Holds =
        HeldByPeer == Stamp || HeldByPeer.m_Version > Stamp.m_Version;
    if (!Holds)
      continue;
    ++Result.m_Count;
    if (Link.m_Zone != Board.m_Options.m_Zone)
      ++Result.m_InOtherZones;
  }
  return Result;
}

// Number of other nodes that can hold a version: the known hosts or the seeds,
// whichever are more, since no host may be known yet. Counting stops at the
// number of holders in the options, because no more are ever required.
std::size_t countOtherNodes(const Blackboard &Board) {
  std::size_t Others = 0;
  for (const HostEntry &Entry : Board.m_Candidates->m_Hosts) {
    if (Entry.m_Name != Board.m_Options.m_Host)
      ++Others;
    if (Others >= Board.m_Options.m_Holders)
      return Others;
  }
  std::size_t Seeds = 0;
  for (const std::string &Address : Board.m_Options.m_Seeds) {
    if (Address != Board.m_Options.m_LinkAddress)
      ++Seeds;
  }
  return std::max(Others, Seeds);
}

bool mayApply(const Blackboard &Board, const Holders &Found, bool TimedOut) {
  const std::size_t Required =
      std::min<std::size_t>(Board.m_Options.m_Holders, countOtherNodes(Board));
  if (TimedOut)
    return Found.m_Count >= std::min(Required, Found.m_Reachable);
  if (Found.m_Count < Required)
    return false;
  return Required == 0 || !Board.m_HasOtherZones || Found.m_InOtherZones > 0;
}

void apply(Blackboard &Board, const ConfigurationPtr &NewVersion,
           const Holders &Found, bool TimedOut) {
  const std::string Detail =
      "version=" + std::to_string(NewVersion->m_Stamp.m_Version);
  if (TimedOut && !mayApply(Board, Found, false))
    Board.report(EventId::AppliedWithoutHolders,
                 Detail + " holders=" + std::to_string(Found.m_Count));
  Board.m_Applied = NewVersion;
  Board.m_Commands.emplace_back(ApplyConfiguration{NewVersion});
  Board.report(EventId::ConfigurationApplied, Detail);
}

// After its start, a node applies no version until it has queried its peers and
// holds the highest version that they reported.
bool mayApplyFirst(const Blackboard &Board) {
  if (Board.m_Ready)
    return true;
  return Board.m_PeersQueried && Board.m_HeldConfiguration->m_Stamp.m_Version >=
                                     Board.m_MinReadyVersion;
}

} // namespace

void Adoption::run(Blackboard &Board) {
  const ConfigurationPtr &Held = Board.m_HeldConfiguration;
  if (Held == nullptr || Held == Board.m_Applied)
    return;
  if (m_WaitingVersions.empty())
    m_WaitingVersionsSince = Board.m_Now;
  if (m_WaitingVersions.empty() || m_WaitingVersions.back() != Held)
    m_WaitingVersions.push_back(Held);
  constexpr std::size_t MaxWaiting = 4;
  if (m_WaitingVersions.size() > MaxWaiting)
    m_WaitingVersions.pop_front();
  if (!mayApplyFirst(Board))
    return;
  const bool TimedOut = Board.m_Now >= m_WaitingVersionsSince + HolderTimeout;
  for (std::size_t Index = m_WaitingVersions.size(); Index-- > 0;) {
    const VersionStamp Stamp = m_WaitingVersions[Index]->m_Stamp;
    if (!Board.m_Ready && Stamp.m_Version < Board.m_MinReadyVersion)
      continue;
    const Holders Found = countHolders(Board, Stamp);
    if (!mayApply(Board, Found, TimedOut))
      continue;
    apply(Board, m_WaitingVersions[Index], Found, TimedOut);
    m_WaitingVersions.erase(m_WaitingVersions.begin(),
                            m_WaitingVersions.begin() +
                                static_cast<std::ptrdiff_t>(Index) + 1);
    m_WaitingVersionsSince = Board.m_Now;
    return;
  }
}

TimePoint Adoption::wakeUp(const Blackboard &Board) const {
  const TimePoint Timeout = m_WaitingVersionsSince + HolderTimeout;
  if (m_WaitingVersions.empty() || Timeout <= Board.m_Now)
    return TimePoint::max();
  return Timeout;
}

// If all peers that reported the version have failed, it can be lost, and the
// node would never become ready.
void Readiness::abandonLostVersion(Blackboard &Board) {
  if (Board.appliedStamp().m_Version >= Board.m_MinReadyVersion)
    return;
  for (const auto &[Id, Link] : Board.m_Links) {
    if (Link.m_State != LinkState::Up ||
        Link.m_Streams[indexOf(Stream::Configuration)].m_Held.m_Version <
            Board.m_MinReadyVersion)
      continue;
    m_VersionLostSince.reset();
    return;
  }
  if (!m_VersionLostSince.has_value())
    m_VersionLostSince = Board.m_Now;
  if (Board.m_Now < *m_VersionLostSince + LostVersionTimeout)
    return;
  Board.report(EventId::VersionGivenUp,
               "version=" + std::to_string(Board.m_MinReadyVersion));
  Board.m_MinReadyVersion = 0;
  m_VersionLostSince.reset();
}

void Readiness::run(Blackboard &Board) {
  if (Board.m_Ready)
    return;
  abandonLostVersion(Board);
  if (Board.m_Applied == nullptr || !Board.m_PeersQueried)
    return;
  if (Board.appliedStamp().m_Version < Board.m_MinReadyVersion)
    return;
  Board.m_Ready = true;
  Board.m_Commands.emplace_back(BecomeReady{});
}

TimePoint Readiness::wakeUp(const Blackboard &Board) const {
  if (Board.m_Ready || !m_VersionLostSince.has_value())
    return TimePoint::max();
  return *m_VersionLostSince + LostVersionTimeout;
}

} // namespace dandelionfall::core
