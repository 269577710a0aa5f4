#include "core/ingress/gate_links.h"

#include "core/ingress/limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionfall::core::ingress {

namespace {

std::string linkDetail(const GatePeer &Peer, LinkId Link) {
  return "gate=" + Peer.m_Address + " link=" + std::to_string(Link);
}

} // namespace

GatePeer &GateLinks::peer(const std::string &Address) {
  std::unique_ptr<GatePeer> &Slot = m_Peers[Address];
  if (Slot == nullptr) {
    Slot = std::make_unique<GatePeer>();
    Slot->m_Address = Address;
  }
  return *Slot;
}

GatePeer *GateLinks::findByLink(LinkId Link) {
  const auto Found = m_Links.find(Link);
  return Found == m_Links.end() ? nullptr : Found->second;
}

bool GateLinks::ensureOpen(GatePeer &Peer, TimePoint Now) {
  if (Peer.m_State != LinkState::Idle)
    return true;
  if (Now < Peer.m_BackoffUntil || m_Links.size() >= MaxLinks)
    return false;
  open(Peer, Now);
  return true;
}

void GateLinks::open(GatePeer &Peer, TimePoint Now) {
  Peer.m_Link = ++m_LastLink;
  Peer.m_State = LinkState::Opening;
  Peer.m_OpenDeadline = Now + OpenTimeout;
  m_Links.emplace(Peer.m_Link, &Peer);
  m_Out.open(Peer.m_Link, Peer.m_Address);
  rescheduleTimer(Peer, Now);
}

void GateLinks::onLinkOpened(LinkId Link, TimePoint Now) {
  GatePeer *Peer = findByLink(Link);
  if (Peer == nullptr || Peer->m_Link != Link ||
      Peer->m_State != LinkState::Opening)
    return;
  Peer->m_State = LinkState::AwaitingWelcome;
  Peer->m_OpenDeadline = Now + OpenTimeout;
  m_Out.send(Link, TrafficHello{m_Options.m_Host, m_Options.m_Incarnation, Link,
                                m_Version, m_Options.m_PullsAnswers});
  rescheduleTimer(*Peer, Now);
}

std::vector<LinkId> GateLinks::readyLinks() const {
  std::vector<LinkId> Result;
  for (const auto &[Link, Peer] : m_Links) {
    if (Peer->m_Link == Link && Peer->m_State == LinkState::Ready)
      Result.push_back(Link);
  }
  return Result;
}

void GateLinks::onWelcome(LinkId Link, const TrafficWelcome &Message,
                          TimePoint Now) {
  GatePeer *Peer = findByLink(Link);
  if (Peer == nullptr || Peer->m_Link != Link ||
      Peer->m_State != LinkState::AwaitingWelcome || Message.m_Epoch != Link)
    return;
  const bool Restarted = Peer->m_Gate && *Peer->m_Gate != Message.m_Gate;
  Peer->m_State = LinkState::Ready;
  Peer->m_Gate = Message.m_Gate;
  Peer->m_FailedOpens = 0;
  Peer->m_RefusedOpens = 0;
  Peer->m_Backoff = Duration{0};
  Peer->m_BackoffUntil = Now;
  Peer->m_ConfirmedAt = Now;
  Peer->m_PongDeadline.reset();
  Peer->m_LastUsed = Now;
  closeReplaced(*Peer);
  m_Out.report(EventId::TrafficLinkOpened,
               linkDetail(*Peer, Link) +
                   " incarnation=" + toString(Message.m_Gate));
  if (Restarted) {
    Peer->m_Draining = false;
    Peer->m_ZoneOutVersion = 0;
    Peer->m_Settled.clear();
    Peer->m_SettleDue.reset();
    m_Listener->onGateRestarted(*Peer, Now);
  }
  Peer->m_Load.recordReport(Message.m_Capacity, Now);
  m_Listener->onGateReady(*Peer, Now);
  if (m_End && !Peer->m_Sent.empty())
    sendPing(*Peer, Now);
  rescheduleTimer(*Peer, Now);
}

void GateLinks::announceEnd(TimePoint End, TimePoint Now) {
  m_End = End;
  for (const auto &[Address, Peer] : m_Peers) {
    if (Peer->m_State != LinkState::Ready || Peer->m_Sent.empty())
      continue;
    sendPing(*Peer, Now);
    rescheduleTimer(*Peer, Now);
  }
}

void GateLinks::onLinkClosed(LinkId Link, TimePoint Now) {
  GatePeer *Peer = findByLink(Link);
  if (Peer == nullptr)
    return;
  m_Links.erase(Link);
  m_Out.report(EventId::TrafficLinkClosed,
               linkDetail(*Peer, Link) + " reason=broken");
  if (Peer->m_Link != Link) {
    std::erase(Peer->m_ReplacedLinks, Link);
    return;
  }
  const bool WasReady = Peer->m_State == LinkState::Ready;
  Peer->m_State = LinkState::Idle;
  Peer->m_Link = 0;
  Peer->m_PongDeadline.reset();
  if (!WasReady)
    return openFailed(*Peer, true, Now);
  if (!Peer->m_Sent.empty())
    open(*Peer, Now);
  else
    Peer->m_BackoffUntil = Now + MinBackoff;
  rescheduleTimer(*Peer, Now);
}

void GateLinks::openFailed(GatePeer &Peer, bool Refused, TimePoint Now) {
  ++Peer.m_FailedOpens;
  Peer.m_RefusedOpens = Refused ? Peer.m_RefusedOpens + 1 : 0;
  backOff(Peer, Now);
  m_Listener->onGateUnreachable(Peer, Now);
  if (Peer.m_RefusedOpens >= DeadGateRefusedOpens) {
    closeReplaced(Peer);
    m_Listener->onGateDead(Peer, Now);
  }
  // Callers wait for the outcome of sent requests, so the delay stays minimal.
  if (!Peer.m_Sent.empty())
    Peer.m_BackoffUntil = std::min(Peer.m_BackoffUntil, Now + MinBackoff);
  rescheduleTimer(Peer, Now);
}

void GateLinks::backOff(GatePeer &Peer, TimePoint Now) {
  if (Now < Peer.m_BackoffUntil)
    return;
  Peer.m_Backoff = std::clamp(Peer.m_Backoff * 2, MinBackoff, MaxBackoff);
  Peer.m_BackoffUntil = Now + Peer.m_Backoff;
}

void GateLinks::resetBackOff(GatePeer &Peer) { Peer.m_Backoff = Duration{0}; }

void GateLinks::replaceSilentLink(GatePeer &Peer, TimePoint Now) {
  const LinkId Old = Peer.m_Link;
  Peer.m_ReplacedLinks.push_back(Old);
  Peer.m_PongDeadline.reset();
  open(Peer, Now);
  m_Out.report(EventId::EpochRaised,
               linkDetail(Peer, Old) + " epoch=" + std::to_string(Peer.m_Link));
}

void GateLinks::closeLink(LinkId Link, const GatePeer &Peer,
                          const char *Reason) {
  m_Links.erase(Link);
  m_Out.close(Link);
  m_Out.report(EventId::TrafficLinkClosed,
               linkDetail(Peer, Link) + " reason=" + Reason);
}

void GateLinks::closeReplaced(GatePeer &Peer) {
  for (const LinkId Link : std::exchange(Peer.m_ReplacedLinks, {}))
    closeLink(Link, Peer, "replaced");
}

void GateLinks::sendPing(GatePeer &Peer, TimePoint Now) {
  Peer.m_PingSentAt = Now;
  Peer.m_PongDeadline = Now + PongTimeout;
  TrafficPing Message{++Peer.m_PingSequence, m_Version};
  if (m_End)
    Message.m_EndsIn = *m_End - Now - Peer.m_Load.roundTrip();
  m_Out.send(Peer.m_Link, Message);
}

void GateLinks::checkBeforeUse(GatePeer &Peer, TimePoint Now) {
  const bool RecentlyConfirmed = Now - Peer.m_ConfirmedAt < PingInterval;
  if (Peer.m_State != LinkState::Ready || Peer.m_PongDeadline ||
      RecentlyConfirmed)
    return;
  sendPing(Peer, Now);
}

void GateLinks::onPong(LinkId Link, const TrafficPong &Message, TimePoint Now) {
  GatePeer *Peer = findByLink(Link);
  if (Peer == nullptr || Peer->m_Link != Link ||
      Message.m_Sequence != Peer->m_PingSequence)
    return;
  Peer->m_PongDeadline.reset();
  Peer->m_Load.recordReport(Message.m_Capacity, Now);
  Peer->m_Load.recordRoundTrip(Now - Peer->m_PingSentAt);
  confirmLink(*Peer, Link, Peer->m_PingSentAt);
  rescheduleTimer(*Peer, Now);
}

void GateLinks::confirmLink(GatePeer &Peer, LinkId Link, TimePoint SentAt) {
  if (Peer.m_Link == Link)
    Peer.m_ConfirmedAt = std::max(Peer.m_ConfirmedAt, SentAt);
}

void GateLinks::settle(GatePeer &Peer, const RequestId &Id, TimePoint Now) {
  Peer.m_Settled.push_back(Id);
  if (Peer.m_Settled.size() >= MaxIdsSentAtOnce)
    flushSettled(Peer);
  if (!Peer.m_Settled.empty() && !Peer.m_SettleDue)
    Peer.m_SettleDue = Now + SettleDelay;
}

void GateLinks::flushSettled(GatePeer &Peer) {
  Peer.m_SettleDue.reset();
  if (Peer.m_Settled.empty())
    return;
  std::vector<RequestId> Ids = std::exchange(Peer.m_Settled, {});
  // Without a link, the gate forgets the requests itself after their deadlines.
  if (Peer.m_State != LinkState::Ready)
    return;
  m_Out.send(Peer.m_Link, Settled{std::move(Ids)});
}

void GateLinks::clearKeepOpen() {
  for (const auto &[Address, Peer] : m_Peers) {
    Peer->m_KeepOpen = false;
    Peer->m_Listed = false;
  }
}

void GateLinks::removeUnused(TimePoint Now) {
  for (auto Next = m_Peers.begin(); Next != m_Peers.end();) {
    const auto Current = Next++;
    const GatePeer &Peer = *Current->second;
    if (isNeeded(Peer) || Peer.m_Listed || Peer.m_State != LinkState::Idle ||
        !Peer.m_ReplacedLinks.empty() || !Peer.m_Orphans.empty() ||
        Now < Peer.m_BackoffUntil)
      continue;
    m_Timers.erase(Current->first);
    m_Peers.erase(Current);
  }
}

bool GateLinks::isNeeded(const GatePeer &Peer) const {
  return Peer.m_KeepOpen || !Peer.m_Waiting.empty() || !Peer.m_Sent.empty();
}

std::optional<TimePoint> GateLinks::pingDue(const GatePeer &Peer) const {
  if (Peer.m_PongDeadline)
    return std::nullopt;
  if (!Peer.m_Sent.empty())
    return Peer.m_ConfirmedAt + PingInterval;
  if (!Peer.m_KeepOpen)
    return std::nullopt;
  return std::max(Peer.m_ConfirmedAt, Peer.m_PingSentAt) + IdlePingInterval;
}

std::optional<TimePoint> GateLinks::idleDue(const GatePeer &Peer) const {
  if (isNeeded(Peer) || !Peer.m_Orphans.empty())
    return std::nullopt;
  return Peer.m_LastUsed + IdleTimeout;
}

std::optional<TimePoint> GateLinks::nextDue(const GatePeer &Peer) const {
  if (Peer.m_State == LinkState::Idle)
    return isNeeded(Peer) ? std::optional(Peer.m_BackoffUntil) : std::nullopt;
  if (Peer.m_State != LinkState::Ready)
    return Peer.m_OpenDeadline;
  std::optional<TimePoint> Due;
  for (const std::optional<TimePoint> &Other :
       {Peer.m_PongDeadline, Peer.m_SettleDue, pingDue(Peer), idleDue(Peer)}) {
    if (Other && (!Due || *Other < *Due))
      Due = Other;
  }
  return Due;
}

void GateLinks::rescheduleTimer(GatePeer &Peer, TimePoint Now) {
  const std::optional<TimePoint> Due = nextDue(Peer);
  if (!Due)
    return m_Timers.erase(Peer.m_Address);
  // An early timer costs less than rescheduling it for each message.
  m_Timers.setNoLater(Peer.m_Address, std::max(*Due, Now + MinTimerStep));
}

void GateLinks::onTick(TimePoint Now) {
  while (const std::optional<std::string> Address = m_Timers.takeDue(Now)) {
    const auto Found = m_Peers.find(*Address);
    if (Found == m_Peers.end())
      continue;
    check(*Found->second, Now);
  }
}

void GateLinks::check(GatePeer &Peer, TimePoint Now) {
  if (Peer.m_State == LinkState::Ready) {
    checkReady(Peer, Now);
  } else if (Peer.m_State == LinkState::Idle) {
    if (isNeeded(Peer) && Now >= Peer.m_BackoffUntil &&
        !ensureOpen(Peer, Now)) // The limit of links is reached.
      backOff(Peer, Now);
  } else if (Now >= Peer.m_OpenDeadline) {
    closeLink(Peer.m_Link, Peer, "timeout");
    Peer.m_State = LinkState::Idle;
    Peer.m_Link = 0;
    openFailed(Peer, false, Now);
  }
  rescheduleTimer(Peer, Now);
}

void GateLinks::checkReady(GatePeer &Peer, TimePoint Now) {
  if (Peer.m_SettleDue && Now >= *Peer.m_SettleDue)
    flushSettled(Peer);
  if (Peer.m_PongDeadline && Now >= *Peer.m_PongDeadline) {
    // If this process was suspended, the pong may have arrived without having
    // been read yet.
    if (Now >= *Peer.m_PongDeadline + SuspensionThreshold)
      Peer.m_PongDeadline = Now + PongTimeout;
    else
      return replaceSilentLink(Peer, Now);
  }
  const std::optional<TimePoint> Ping = pingDue(Peer);
  if (Ping && Now >= *Ping)
    sendPing(Peer, Now);
  const std::optional<TimePoint> Idle = idleDue(Peer);
  if (!Idle || Now < *Idle)
    return;
  closeLink(Peer.m_Link, Peer, "idle");
  Peer.m_State = LinkState::Idle;
  Peer.m_Link = 0;
}

} // namespace dandelionfall::core::ingress
