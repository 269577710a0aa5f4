#include "core/registry/feed_follower.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dandelionfall::core::registry {

namespace {

/// Avoided nodes of an availability zone from which other zones are preferred:
/// the whole zone may be unreachable.
constexpr std::ptrdiff_t MaxAvoidedInZone = 3;

} // namespace

FeedFollower::FeedFollower(const std::string &OwnAddress, std::string OwnZone,
                           bool SendsProbes)
    : m_Candidates(OwnAddress, std::move(OwnZone)),
      m_PatchFeed(XXH3_64bits(OwnAddress.data(), OwnAddress.size()) %
                  FollowedFeeds),
      m_SendsProbes(SendsProbes) {}

FeedFollower::Slot *FeedFollower::findSlot(LinkId Link) {
  auto *Found =
      std::find_if(m_Slots.begin(), m_Slots.end(), [Link](const Slot &Each) {
        return Each && Each->m_Link == Link;
      });
  return Found == m_Slots.end() ? nullptr : Found;
}

// A feed that has not answered yet is given the time of a silent one.
TimePoint FeedFollower::reliableUntil(const Feed &Followed) {
  TimePoint Until = Followed.m_HeardAt + FeedSilenceLimit;
  if (Followed.m_ConfirmedAt)
    Until = std::min(Until, *Followed.m_ConfirmedAt + ConfirmationLimit);
  Until += Followed.m_NotListened;
  return Followed.m_GraceUntil ? std::max(Until, *Followed.m_GraceUntil)
                               : Until;
}

bool FeedFollower::wantsPatches(std::size_t Index, TimePoint Now) const {
  const Slot &Preferred = m_Slots[m_PatchFeed];
  return Index == m_PatchFeed || !Preferred || !Preferred->m_IsComplete ||
         Now >= reliableUntil(*Preferred);
}

void FeedFollower::askForPatches(TimePoint Now) {
  for (std::size_t Index = 0; Index < m_Slots.size(); ++Index) {
    Slot &Each = m_Slots[Index];
    if (!Each || !Each->m_Opened)
      continue;
    const bool Wanted = wantsPatches(Index, Now);
    if (Wanted != Each->m_WantsPatches)
      sendFollow(*Each, Wanted);
  }
}

bool FeedFollower::askAgain(LinkId Link, const LargeRevisions &Bases,
                            TimePoint Now) {
  Slot *Found = findSlot(Link);
  if (Found == nullptr)
    return true;
  if (Now < (*Found)->m_NextAskAt)
    return false;
  (*Found)->m_NextAskAt = Now + NoticeInterval;
  sendFollow(**Found, true, Bases);
  return true;
}

bool FeedFollower::takePatchesFrom(LinkId Link, const LargeRevisions &Bases,
                                   TimePoint Now) {
  if (const Slot *Found = findSlot(Link))
    m_PatchFeed = static_cast<std::size_t>(Found - m_Slots.data());
  const bool IsAsked = askAgain(Link, Bases, Now);
  askForPatches(Now);
  return IsAsked;
}

void FeedFollower::confirmPatches(LinkId Link, const LargeRevisions &Bases) {
  if (Slot *Found = findSlot(Link))
    sendFollow(**Found, (*Found)->m_WantsPatches, Bases);
}

void FeedFollower::sendFollow(Feed &Followed, bool WantsPatches,
                              const LargeRevisions &Bases) {
  Followed.m_WantsPatches = WantsPatches;
  m_Commands.emplace_back(SendControl{
      Followed.m_Link, FollowRevisions{m_Held, WantsPatches, m_Retained, Bases,
                                       Followed.m_ReceivedPatches}});
}

std::size_t FeedFollower::reliableFeeds(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(m_Slots.begin(), m_Slots.end(), [Now](const Slot &Each) {
        return Each && Each->m_ConfirmedAt && Now < reliableUntil(*Each);
      }));
}

bool FeedFollower::hasCompleteFeed(TimePoint Now) const {
  return std::any_of(m_Slots.begin(), m_Slots.end(), [Now](const Slot &Each) {
    return Each && Each->m_IsComplete && Now < reliableUntil(*Each);
  });
}

ConfirmedRevision FeedFollower::newest(TimePoint Now) const {
  ConfirmedRevision Result;
  for (const Slot &Each : m_Slots) {
    if (!Each || !Each->m_ConfirmedAt || Now >= reliableUntil(*Each))
      continue;
    Result.m_Revision = std::max(Result.m_Revision, Each->m_Revision);
    Result.m_ConfirmedAt = std::max(Result.m_ConfirmedAt, Each->m_ConfirmedAt);
  }
  return Result;
}

void FeedFollower::onNodes(std::vector<NodeAddress> Nodes, TimePoint Now) {
  if (!m_Candidates.replace(std::move(Nodes)))
    return;
  for (Slot &Each : m_Slots) {
    if (Each && !m_Candidates.contains(Each->m_Node))
      close(Each);
  }
  onTick(Now);
}

bool FeedFollower::onLinkOpened(LinkId Link, TimePoint Now) {
  Slot *Found = findSlot(Link);
  if (Found == nullptr)
    return false;
  Feed &Opened = **Found;
  Opened.m_Opened = true;
  Opened.m_NextFollowAt = Now + FollowInterval;
  const auto Index = static_cast<std::size_t>(Found - m_Slots.data());
  sendFollow(Opened, wantsPatches(Index, Now));
  if (m_SendsProbes)
    Opened.m_Probes.start(Now);
  sendDueProbe(Opened, Now);
  return true;
}

void FeedFollower::onLinkClosed(LinkId Link, TimePoint Now) {
  if (Slot *Found = findSlot(Link)) {
    drop(*Found, "the link was closed", LostFeedDelay, Now);
    onTick(Now);
  }
}

std::string FeedFollower::onNotice(LinkId Link, const RevisionNotice &Notice,
                                   TimePoint Now) {
  Slot *Found = findSlot(Link);
  if (Found == nullptr)
    return "";
  Feed &Sender = **Found;
  std::string Address = Sender.m_Node.m_Address;
  if (Notice.m_Refused) {
    drop(*Found, "refused", RefusedFeedDelay, Now);
    onTick(Now);
    return Address;
  }
  Sender.m_ReceivedPatches += Notice.m_Changes.m_Patches.empty() ? 0 : 1;
  Sender.m_HeardAt = Now;
  Sender.m_NotListened = Duration{0};
  Sender.m_GraceUntil.reset();
  Sender.m_Revision = Notice.m_Revision;
  Sender.m_IsComplete = Notice.m_Changes.m_IsComplete;
  if (const auto ProvedAt = Sender.m_Probes.provedAt(Notice))
    Sender.m_Proof = RevisionProof{Notice.m_Revision, *ProvedAt};
  m_Losses = 0;
  if (!std::exchange(Sender.m_ConfirmedAt, Now - Notice.m_ConfirmedAgo))
    report(EventId::FeedFollowed, Sender,
           "revision=" + formatRevision(Notice.m_Revision));
  askForPatches(Now);
  return Address;
}

void FeedFollower::onOutdatedNotice(LinkId Link, const RevisionNotice &Notice,
                                    TimePoint Now) {
  Slot *Found = findSlot(Link);
  if (Found == nullptr)
    return;
  (*Found)->m_HeardAt = Now;
  (*Found)->m_NotListened = Duration{0};
  (*Found)->m_GraceUntil.reset();
  (*Found)->m_IsComplete = false;
  (*Found)->m_ReceivedPatches += Notice.m_Changes.m_Patches.empty() ? 0 : 1;
}

const std::optional<RevisionProof> &FeedFollower::proofOf(LinkId Link) const {
  static const std::optional<RevisionProof> None;
  const auto Found =
      std::find_if(m_Slots.begin(), m_Slots.end(), [Link](const Slot &Each) {
        return Each && Each->m_Link == Link;
      });
  return Found == m_Slots.end() ? None : (*Found)->m_Proof;
}

void FeedFollower::sendDueProbe(Feed &Followed, TimePoint Now) {
  if (const auto Probe = Followed.m_Probes.takeDue(Now))
    m_Commands.emplace_back(SendControl{Followed.m_Link, *Probe});
}

void FeedFollower::setHeld(Revision Held, Version Retained) {
  const bool IsOther = historyOf(Held) != historyOf(m_Held);
  m_Held = Held;
  m_Retained = Retained;
  if (!IsOther)
    return;
  for (Slot &Each : m_Slots) {
    if (Each && Each->m_Opened)
      sendFollow(*Each, Each->m_WantsPatches);
  }
}

bool FeedFollower::isInFailingZone(const NodeAddress &Node) const {
  const auto Avoided = std::count_if(
      m_AvoidedUntil.begin(), m_AvoidedUntil.end(),
      [&](const auto &Each) { return Each.first.m_Zone == Node.m_Zone; });
  return Avoided >= MaxAvoidedInZone;
}

const NodeAddress *FeedFollower::choose(std::size_t Index) const {
  const Slot &Other = m_Slots[(Index + 1) % m_Slots.size()];
  const auto IsFree = [&](const NodeAddress &Node) {
    return !m_AvoidedUntil.contains(Node) && (!Other || Other->m_Node != Node);
  };
  const auto IsInNewZone = [&](const NodeAddress &Node) {
    return IsFree(Node) && (!Other || Other->m_Node.m_Zone != Node.m_Zone);
  };
  const auto IsInGoodZone = [&](const NodeAddress &Node) {
    return IsInNewZone(Node) && !isInFailingZone(Node);
  };
  const auto Find = [&](const auto &IsSuitable) -> const NodeAddress * {
    const std::vector<NodeAddress> *First = &m_Candidates.inZone();
    const std::vector<NodeAddress> *Second = &m_Candidates.inOtherZones();
    if (Index > 0)
      std::swap(First, Second);
    for (const auto *Nodes : {First, Second}) {
      const auto Found = std::find_if(Nodes->begin(), Nodes->end(), IsSuitable);
      if (Found != Nodes->end())
        return &*Found;
    }
    return nullptr;
  };
  if (const NodeAddress *Good = Find(IsInGoodZone))
    return Good;
  if (const NodeAddress *InNewZone = Find(IsInNewZone))
    return InNewZone;
  return Find(IsFree);
}

void FeedFollower::open(Slot &Free, const NodeAddress &Node, TimePoint Now) {
  Feed New;
  New.m_Node = Node;
  New.m_Link = ++m_LastLink;
  New.m_HeardAt = Now;
  Free = std::move(New);
  m_Commands.emplace_back(OpenControlLink{m_LastLink, Node.m_Address});
}

void FeedFollower::close(Slot &Open) {
  m_Commands.emplace_back(CloseControlLink{Open->m_Link});
  Open.reset();
}

void FeedFollower::drop(Slot &Open, const char *Cause, Duration AvoidedFor,
                        TimePoint Now) {
  report(EventId::FeedLost, *Open, std::string("cause=") + Cause);
  m_AvoidedUntil.insert_or_assign(Open->m_Node, Now + AvoidedFor);
  constexpr unsigned MaxDoublings = 6;
  const Duration Delay =
      FirstFeedDelay * (1U << std::min(m_Losses++, MaxDoublings));
  m_NextOpenAt = Now + std::min(Delay, MaxFeedDelay);
  close(Open);
}

void FeedFollower::review(TimePoint Now) {
  if (!m_NextReviewAt)
    m_NextReviewAt = Now + FeedReviewInterval;
  if (Now < *m_NextReviewAt)
    return;
  m_NextReviewAt = Now + FeedReviewInterval;
  // At most one feed moves at a time, so that the other one is still there.
  if (reliableFeeds(Now) < m_Slots.size())
    return;
  for (std::size_t Index = 0; Index < m_Slots.size(); ++Index) {
    const NodeAddress *Preferred = choose(Index);
    if (Preferred == nullptr || *Preferred == m_Slots[Index]->m_Node)
      continue;
    close(m_Slots[Index]);
    open(m_Slots[Index], *Preferred, Now);
    return;
  }
}

void FeedFollower::onDelay(Duration Delay, TimePoint Now) {
  for (Slot &Each : m_Slots) {
    if (!Each)
      continue;
    // Both are limited, so that a node that is always late notices a lost feed.
    Each->m_NotListened =
        std::min(Each->m_NotListened + Delay, MaxExcusedSilence);
    if (!Each->m_GraceUntil)
      Each->m_GraceUntil = Now + NoticeInterval + MaxTimerDelay;
  }
}

void FeedFollower::onTick(TimePoint Now) {
  if (m_Stopped)
    return;
  std::erase_if(m_AvoidedUntil,
                [Now](const auto &Each) { return Each.second <= Now; });
  for (Slot &Each : m_Slots) {
    if (!Each)
      continue;
    if (Now >= reliableUntil(*Each)) {
      drop(Each, Each->m_ConfirmedAt ? "silent" : "no answer", LostFeedDelay,
           Now);
    } else if (Each->m_Opened && Now >= Each->m_NextFollowAt) {
      Each->m_NextFollowAt = Now + FollowInterval;
      sendFollow(*Each, Each->m_WantsPatches);
    }
    if (Each)
      sendDueProbe(*Each, Now);
  }
  askForPatches(Now);
  review(Now);
  if (Now < m_NextOpenAt)
    return;
  for (std::size_t Index = 0; Index < m_Slots.size(); ++Index) {
    if (m_Slots[Index])
      continue;
    if (const NodeAddress *Chosen = choose(Index))
      open(m_Slots[Index], *Chosen, Now);
  }
}

void FeedFollower::stop() {
  m_Stopped = true;
  for (Slot &Each : m_Slots) {
    if (Each)
      close(Each);
  }
}

std::optional<TimePoint> FeedFollower::nextWakeUp() const {
  if (m_Stopped)
    return std::nullopt;
  std::optional<TimePoint> Next = m_NextReviewAt;
  const auto Include = [&Next](TimePoint At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  for (std::size_t Index = 0; Index < m_Slots.size(); ++Index) {
    const Slot &Each = m_Slots[Index];
    if (Each) {
      Include(reliableUntil(*Each));
      if (Each->m_Opened)
        Include(Each->m_NextFollowAt);
      if (const auto ProbeAt = Each->m_Probes.nextAt())
        Include(*ProbeAt);
      continue;
    }
    if (choose(Index) != nullptr)
      Include(m_NextOpenAt);
    for (const auto &[Node, Until] : m_AvoidedUntil)
      Include(std::max(Until, m_NextOpenAt));
  }
  return Next;
}

void FeedFollower::report(EventId Id, const Feed &Followed,
                          const std::string &Detail) {
  m_Commands.emplace_back(Event{Id, "node=" + Followed.m_Node.m_Address +
                                        " zone=" + Followed.m_Node.m_Zone +
                                        " " + Detail});
}

std::vector<FeedCommand> FeedFollower::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core::registry
