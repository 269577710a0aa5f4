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
    // A peer that leaves takes its memory with it.
    if (!Link.isUsable())
      continue;
    ++Result.m_Reachable;
    const VersionStamp &Theirs =
        Link.m_Streams[indexOf(Stream::Configuration)].m_Held;
    const bool Holds = Theirs == Stamp || Theirs.m_Version > Stamp.m_Version;
    if (!Holds)
      continue;
    ++Result.m_Count;
    if (Link.m_Zone != Board.m_Options.m_Zone)
      ++Result.m_InOtherZones;
  }
  return Result;
}

// How many other nodes there can be; without any list every seed may be one.
std::size_t otherNodes(const Blackboard &Board) {
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
  const std::size_t Wanted =
      std::min<std::size_t>(Board.m_Options.m_Holders, otherNodes(Board));
  if (TimedOut)
    return Found.m_Count >= std::min(Wanted, Found.m_Reachable);
  if (Found.m_Count < Wanted)
    return false;
  return Wanted == 0 || !Board.m_HasOtherZones || Found.m_InOtherZones > 0;
}

void apply(Blackboard &Board, const ConfigurationPtr &Version,
           const Holders &Found, bool TimedOut) {
  const std::string Detail =
      "version=" + std::to_string(Version->m_Stamp.m_Version);
  if (TimedOut && !mayApply(Board, Found, false))
    Board.report(EventId::AppliedWithoutHolders,
                 Detail + " holders=" + std::to_string(Found.m_Count));
  Board.m_Applied = Version;
  Board.m_Commands.emplace_back(ApplyConfiguration{Version});
  Board.report(EventId::ConfigurationApplied, Detail);
}

// A started node applies nothing before it has asked its peers and has what
// they named.
bool mayApplyFirst(const Blackboard &Board) {
  if (Board.m_Ready)
    return true;
  return Board.m_PeersAsked && Board.m_HeldConfiguration->m_Stamp.m_Version >=
                                   Board.m_LeastReadyVersion;
}

} // namespace

void Adoption::run(Blackboard &Board) {
  const ConfigurationPtr &Held = Board.m_HeldConfiguration;
  if (Held == nullptr || Held == Board.m_Applied)
    return;
  if (m_Waiting.empty())
    m_WaitingSince = Board.m_Now;
  if (m_Waiting.empty() || m_Waiting.back() != Held)
    m_Waiting.push_back(Held);
  constexpr std::size_t MostWaiting = 4;
  if (m_Waiting.size() > MostWaiting)
    m_Waiting.pop_front();
  if (!mayApplyFirst(Board))
    return;
  const bool TimedOut = Board.m_Now >= m_WaitingSince + HolderTimeout;
  for (std::size_t Index = m_Waiting.size(); Index-- > 0;) {
    const VersionStamp Stamp = m_Waiting[Index]->m_Stamp;
    if (!Board.m_Ready && Stamp.m_Version < Board.m_LeastReadyVersion)
      continue;
    const Holders Found = countHolders(Board, Stamp);
    if (!mayApply(Board, Found, TimedOut))
      continue;
    apply(Board, m_Waiting[Index], Found, TimedOut);
    m_Waiting.erase(m_Waiting.begin(),
                    m_Waiting.begin() + static_cast<std::ptrdiff_t>(Index) + 1);
    m_WaitingSince = Board.m_Now;
    return;
  }
}

TimePoint Adoption::wakeUp(const Blackboard &Board) const {
  const TimePoint Timeout = m_WaitingSince + HolderTimeout;
  if (m_Waiting.empty() || Timeout <= Board.m_Now)
    return TimePoint::max();
  return Timeout;
}

// The version that peers named may be lost with all of them.
void Readiness::giveUpLostVersion(Blackboard &Board) {
  if (Board.appliedStamp().m_Version >= Board.m_LeastReadyVersion)
    return;
  for (const auto &[Id, Link] : Board.m_Links) {
    if (Link.m_State != LinkState::Up ||
        Link.m_Streams[indexOf(Stream::Configuration)].m_Held.m_Version <
            Board.m_LeastReadyVersion)
      continue;
    m_LostSince.reset();
    return;
  }
  if (!m_LostSince.has_value())
    m_LostSince = Board.m_Now;
  if (Board.m_Now < *m_LostSince + LostTimeout)
    return;
  Board.report(EventId::VersionGivenUp,
               "version=" + std::to_string(Board.m_LeastReadyVersion));
  Board.m_LeastReadyVersion = 0;
  m_LostSince.reset();
}

void Readiness::run(Blackboard &Board) {
  if (Board.m_Ready)
    return;
  giveUpLostVersion(Board);
  if (Board.m_Applied == nullptr || !Board.m_PeersAsked)
    return;
  if (Board.appliedStamp().m_Version < Board.m_LeastReadyVersion)
    return;
  Board.m_Ready = true;
  Board.m_Commands.emplace_back(BecomeReady{});
}

TimePoint Readiness::wakeUp(const Blackboard &Board) const {
  if (Board.m_Ready || !m_LostSince.has_value())
    return TimePoint::max();
  return *m_LostSince + LostTimeout;
}

} // namespace dandelionfall::core
