#include "core/distribution/overlay.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

constexpr std::string_view NoAddress;

ControlHello makeHello(const Blackboard &Board) {
  ControlHello Hello;
  Hello.m_Host = Board.m_Options.m_Host;
  Hello.m_Zone = Board.m_Options.m_Zone;
  Hello.m_Incarnation = Board.m_Options.m_Incarnation;
  Hello.m_Address = Board.m_Options.m_LinkAddress;
  Hello.m_Held = Board.held(Stream::Configuration).m_Stamp;
  Hello.m_Applied = Board.appliedStamp();
  Hello.m_HostList = Board.held(Stream::Hosts).m_Stamp;
  return Hello;
}

void recordHeld(const Blackboard &Board, ControlLink &Link, Stream Which,
                const VersionStamp &Held) {
  PeerStream &Theirs = Link.m_Streams[indexOf(Which)];
  if (Theirs.m_Held == Held)
    return;
  Theirs.m_Held = Held;
  Theirs.m_HeldSince = Board.m_Now;
}

void recordAnnounced(const Blackboard &Board, ControlLink &Link) {
  for (const Stream Which : AllStreams)
    Link.m_Streams[indexOf(Which)].m_Announced = Board.held(Which).m_Stamp;
}

Duration ago(const Blackboard &Board, const std::optional<TimePoint> &Then) {
  return Then.has_value() ? Board.m_Now - *Then : NeverCalled;
}

void recordSourceCall(const Blackboard &Board, std::optional<TimePoint> &Known,
                      Duration Ago) {
  if (Ago < Duration(0) || Ago > std::chrono::hours(24))
    return;
  const TimePoint Then = Board.m_Now - Ago;
  if (!Known.has_value() || *Known < Then)
    Known = Then;
}

std::string describeLink(const ControlLink &Link) {
  return "peer=" + (Link.m_Host.empty() ? Link.m_Address : Link.m_Host);
}

bool isPending(const ControlLink &Link) {
  return Link.m_State != LinkState::Up;
}

} // namespace

bool Overlay::isBackedOff(const Blackboard &Board,
                          const std::string &Address) const {
  const auto Found = m_Failures.find(Address);
  return Found != m_Failures.end() && Found->second.m_Until > Board.m_Now;
}

void Overlay::recordFailure(Blackboard &Board, const std::string &Address) {
  if (Address == NoAddress)
    return;
  constexpr Duration FirstBackoff = std::chrono::milliseconds(200);
  constexpr unsigned MaxDoublings = 6;
  Failure &Entry = m_Failures[Address];
  const Duration Backoff =
      FirstBackoff * (1U << std::min(Entry.m_Count, MaxDoublings));
  ++Entry.m_Count;
  Entry.m_Until = Board.m_Now + Board.jitter(Backoff / 2, Backoff);
}

void Overlay::open(Blackboard &Board, const std::string &Address) {
  ControlLink Link;
  Link.m_Id = ++m_LastLink;
  Link.m_Address = Address;
  Link.m_Opened = Board.m_Now;
  Link.m_LastReceived = Board.m_Now;
  Board.m_Links.emplace(Link.m_Id, Link);
  Board.m_Commands.emplace_back(OpenControlLink{Link.m_Id, Address});
}

void Overlay::close(Blackboard &Board, LinkId Id, std::string_view Reason,
                    bool IsFailure) {
  const auto Found = Board.m_Links.find(Id);
  if (Found == Board.m_Links.end())
    return;
  const ControlLink Link = std::move(Found->second);
  Board.m_Links.erase(Found);
  m_MustAdjust = true;
  Board.m_Commands.emplace_back(CloseControlLink{Id});
  if (Link.m_State == LinkState::Up)
    Board.report(EventId::ControlLinkClosed,
                 describeLink(Link) + " reason=" + std::string(Reason));
  if (!IsFailure)
    return;
  recordFailure(Board, Link.m_Address);
  if (Link.m_State == LinkState::Up)
    Board.report(EventId::NeighbourReplaced,
                 describeLink(Link) + " reason=" + std::string(Reason));
}

void Overlay::onOpened(Blackboard &Board, LinkId Id, bool Inbound) {
  if (Inbound) {
    const auto Count =
        std::count_if(Board.m_Links.begin(), Board.m_Links.end(),
                      [](const auto &Entry) { return Entry.second.m_Inbound; });
    if (static_cast<std::size_t>(Count) >= MaxInboundLinks) {
      Board.m_Commands.emplace_back(CloseControlLink{Id});
      return;
    }
    ControlLink Link;
    Link.m_Id = Id;
    Link.m_Inbound = true;
    Link.m_Opened = Board.m_Now;
    Board.m_Links.emplace(Id, Link);
  }
  const auto Found = Board.m_Links.find(Id);
  if (Found == Board.m_Links.end())
    return;
  ControlLink &Link = Found->second;
  Link.m_State = LinkState::Open;
  Link.m_LastReceived = Board.m_Now;
  Link.m_NextHeartbeat =
      Board.m_Now + Board.jitter(HeartbeatInterval / 2, HeartbeatInterval);
  Board.send(Link, makeHello(Board));
  recordAnnounced(Board, Link);
}

void Overlay::onClosed(Blackboard &Board, LinkId Id) {
  const auto Found = Board.m_Links.find(Id);
  if (Found == Board.m_Links.end())
    return;
  const ControlLink Link = std::move(Found->second);
  Board.m_Links.erase(Found);
  m_MustAdjust = true;
  recordFailure(Board, Link.m_Address);
  if (Link.m_State != LinkState::Up)
    return;
  Board.report(EventId::ControlLinkClosed,
               describeLink(Link) + " reason=closed-by-peer");
}

void Overlay::onHello(Blackboard &Board, ControlLink &Link,
                      const ControlHello &Hello) {
  const LinkId Id = Link.m_Id;
  if (Hello.m_Host == Board.m_Options.m_Host) {
    // The address belongs to this node itself; the unlimited backoff prevents
    // further connections to it.
    const std::string Own = Link.m_Address;
    close(Board, Id, "own-address", false);
    if (!Own.empty())
      m_Failures[Own] = {1, TimePoint::max()};
    return;
  }
  Link.m_State = LinkState::Up;
  Link.m_Host = Hello.m_Host;
  Link.m_Zone = Hello.m_Zone;
  Link.m_Incarnation = Hello.m_Incarnation;
  if (Link.m_Inbound)
    Link.m_Address = Hello.m_Address;
  recordHeld(Board, Link, Stream::Configuration, Hello.m_Held);
  recordHeld(Board, Link, Stream::Hosts, Hello.m_HostList);
  if (!Board.m_Ready)
    Board.m_MinReadyVersion =
        std::max(Board.m_MinReadyVersion, Hello.m_Held.m_Version);
  m_Failures.erase(Link.m_Address);
  m_MustAdjust = true;
  Board.report(EventId::ControlLinkOpened, describeLink(Link));
  std::vector<LinkId> Surplus;
  for (const auto &[OtherId, Other] : Board.m_Links) {
    if (OtherId == Id || Other.m_State != LinkState::Up ||
        Other.m_Host != Hello.m_Host)
      continue;
    const bool SameStart = Other.m_Incarnation == Hello.m_Incarnation;
    const bool Crossed = SameStart && Other.m_Inbound != Link.m_Inbound;
    // If both nodes opened a link to each other, both ends keep the one opened
    // by the host with the smaller name. Of two links in the same direction,
    // the newer one is kept.
    const bool OwnFirst = Board.m_Options.m_Host < Hello.m_Host;
    const bool KeepOther = Crossed && Other.m_Inbound != OwnFirst;
    Surplus.push_back(KeepOther ? Id : OtherId);
  }
  for (const LinkId Each : Surplus)
    close(Board, Each, "surplus", false);
}

void Overlay::onHeartbeat(Blackboard &Board, ControlLink &Link,
                          const Heartbeat &Beat) const {
  recordHeld(Board, Link, Stream::Configuration, Beat.m_Held);
  recordHeld(Board, Link, Stream::Hosts, Beat.m_HostList);
  recordSourceCall(Board, Board.m_LastSourceCall, Beat.m_SourceCalledAgo);
  recordSourceCall(Board, Board.m_LastSourceAnswer, Beat.m_SourceAnsweredAgo);
}

void Overlay::onGoAway(Blackboard &Board, ControlLink &Link) {
  if (std::exchange(Link.m_Leaving, true))
    return;
  m_MustAdjust = true;
  Board.report(EventId::NeighbourReplaced,
               describeLink(Link) + " reason=leaving");
}

void Overlay::extendDeadlinesAfterPause(Blackboard &Board) {
  constexpr Duration PauseLimit = std::chrono::seconds(2);
  const Duration Pause = Board.m_Now - std::exchange(m_LastRun, Board.m_Now);
  if (Pause < PauseLimit)
    return;
  // The process was paused: messages that peers sent in the meantime are still
  // unread, so the peers must not be treated as silent yet.
  for (auto &[Id, Link] : Board.m_Links) {
    Link.m_LastReceived =
        std::max(Link.m_LastReceived, Board.m_Now - SilenceLimit / 2);
    if (isPending(Link))
      Link.m_Opened = std::max(Link.m_Opened, Board.m_Now - OpenTimeout / 2);
  }
}

void Overlay::closeSilent(Blackboard &Board) {
  std::vector<LinkId> Silent;
  for (const auto &[Id, Link] : Board.m_Links) {
    const bool IsSilent =
        isPending(Link) ? Board.m_Now >= Link.m_Opened + OpenTimeout
                        : Board.m_Now >= Link.m_LastReceived + SilenceLimit;
    if (IsSilent)
      Silent.push_back(Id);
  }
  for (const LinkId Id : Silent)
    close(Board, Id, "silent", true);
}

void Overlay::sendHeartbeats(Blackboard &Board) {
  for (auto &[Id, Link] : Board.m_Links) {
    if (Link.m_State != LinkState::Up || Board.m_Now < Link.m_NextHeartbeat)
      continue;
    Link.m_NextHeartbeat =
        Board.m_Now + Board.jitter(HeartbeatInterval - HeartbeatInterval / 10,
                                   HeartbeatInterval + HeartbeatInterval / 10);
    Heartbeat Beat;
    Beat.m_Sequence = ++m_LastHeartbeat;
    Beat.m_Held = Board.held(Stream::Configuration).m_Stamp;
    Beat.m_Applied = Board.appliedStamp();
    Beat.m_HostList = Board.held(Stream::Hosts).m_Stamp;
    Beat.m_SourceCalledAgo = ago(Board, Board.m_LastSourceCall);
    Beat.m_SourceAnsweredAgo = ago(Board, Board.m_LastSourceAnswer);
    Board.send(Link, Beat);
    recordAnnounced(Board, Link);
  }
}

void Overlay::addSeeds(Blackboard &Board, std::vector<std::string> &Desired) {
  constexpr std::size_t MaxSeedLinks = 3;
  if (m_Seeds.empty()) {
    m_Seeds = Board.m_Options.m_Seeds;
    std::shuffle(m_Seeds.begin(), m_Seeds.end(), Board.m_Random);
  }
  std::size_t Added = 0;
  for (const std::string &Address : m_Seeds) {
    if (Added == MaxSeedLinks)
      return;
    if (Address == Board.m_Options.m_LinkAddress || isBackedOff(Board, Address))
      continue;
    Desired.push_back(Address);
    ++Added;
  }
}

std::vector<std::string> Overlay::desiredAddresses(Blackboard &Board) {
  if (m_RingsList != Board.m_Candidates) {
    m_RingsList = Board.m_Candidates;
    m_Rings = NeighbourRings(m_RingsList, Board.m_Options.m_Host,
                             Board.m_Options.m_Zone);
    m_QuerySince = Board.m_Now;
  }
  std::map<std::string_view, const ControlLink *> UpLinks;
  for (const auto &[Id, Link] : Board.m_Links) {
    if (Link.m_State == LinkState::Up)
      UpLinks[Link.m_Host] = &Link;
  }
  const auto Usable = [&](const HostEntry &Entry) {
    const auto Found = UpLinks.find(Entry.m_Name);
    if (Found != UpLinks.end())
      return !Found->second->m_Leaving;
    return Entry.m_State == HostState::Live &&
           !isBackedOff(Board, Entry.m_Address);
  };
  std::vector<std::string> Desired;
  for (const HostEntry *Entry : m_Rings.choose(Usable)) {
    const auto Found = UpLinks.find(Entry->m_Name);
    Desired.push_back(Found == UpLinks.end() ? Entry->m_Address
                                             : Found->second->m_Address);
  }
  if (Desired.empty() || UpLinks.empty())
    addSeeds(Board, Desired);
  if (!Board.m_NewerVersionAddress.empty() &&
      !isBackedOff(Board, Board.m_NewerVersionAddress))
    Desired.push_back(Board.m_NewerVersionAddress);
  return Desired;
}

void Overlay::closeSurplus(Blackboard &Board,
                           const std::vector<std::string> &Desired) {
  constexpr Duration MinAge = std::chrono::seconds(5);
  std::vector<LinkId> Surplus;
  for (const auto &[Id, Link] : Board.m_Links) {
    const bool IsDesired = std::find(Desired.begin(), Desired.end(),
                                     Link.m_Address) != Desired.end();
    if (Link.m_Inbound || IsDesired || isPending(Link) ||
        Board.m_Now < Link.m_Opened + MinAge)
      continue;
    Surplus.push_back(Id);
  }
  for (const LinkId Id : Surplus)
    close(Board, Id, "surplus", false);
}

void Overlay::adjustLinks(Blackboard &Board) {
  if (m_RingsList == Board.m_Candidates && !m_MustAdjust &&
      Board.m_Now < m_NextAdjustment)
    return;
  m_MustAdjust = false;
  const Duration Interval =
      Board.m_Ready ? HeartbeatInterval : HeartbeatInterval / 5;
  m_NextAdjustment = Board.m_Now + Board.jitter(Interval / 2, Interval);
  const std::vector<std::string> Desired = desiredAddresses(Board);
  m_DesiredCount = Desired.size();
  closeSurplus(Board, Desired);
  m_MustAdjust = false;
  for (const std::string &Address : Desired) {
    const bool Known = std::any_of(Board.m_Links.begin(), Board.m_Links.end(),
                                   [&Address](const auto &Entry) {
                                     return Entry.second.m_Address == Address;
                                   });
    if (!Known && !Board.m_Draining)
      open(Board, Address);
  }
}

void Overlay::updatePeersQueried(Blackboard &Board) {
  if (Board.m_Ready)
    return;
  if (Board.m_Now >= m_QuerySince + QueryTimeout) {
    Board.m_PeersQueried = true;
    return;
  }
  bool IsPending = false;
  bool IsListNewer = false;
  std::size_t Up = 0;
  for (const auto &[Id, Link] : Board.m_Links) {
    IsPending = IsPending || (!Link.m_Inbound && isPending(Link));
    if (Link.m_State != LinkState::Up)
      continue;
    ++Up;
    IsListNewer =
        IsListNewer || Link.m_Streams[indexOf(Stream::Hosts)].m_Held.m_Version >
                           Board.held(Stream::Hosts).m_Stamp.m_Version;
  }
  const bool IsAlone = Board.m_Candidates->m_Hosts.size() <= 1 &&
                       Board.m_Options.m_Seeds.empty() &&
                       Board.m_Options.m_AssumedHosts <= 1;
  Board.m_PeersQueried = !IsPending && !IsListNewer && (Up > 0 || IsAlone) &&
                         m_RingsList == Board.m_Candidates;
}

void Overlay::run(Blackboard &Board) {
  if (m_LastRun == TimePoint()) {
    m_LastRun = Board.m_Now;
    m_QuerySince = Board.m_Now;
  }
  extendDeadlinesAfterPause(Board);
  closeSilent(Board);
  adjustLinks(Board);
  sendHeartbeats(Board);
  updatePeersQueried(Board);
}

TimePoint Overlay::wakeUp(const Blackboard &Board) const {
  TimePoint Next = m_NextAdjustment;
  if (!Board.m_Ready && m_QuerySince + QueryTimeout > Board.m_Now)
    Next = std::min(Next, m_QuerySince + QueryTimeout);
  for (const auto &[Id, Link] : Board.m_Links) {
    if (isPending(Link)) {
      Next = std::min(Next, Link.m_Opened + OpenTimeout);
      continue;
    }
    Next = std::min(
        {Next, Link.m_NextHeartbeat, Link.m_LastReceived + SilenceLimit});
  }
  return Next;
}

} // namespace dandelionfall::core
