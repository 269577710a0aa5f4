#include "core/ingress/call_table.h"

#include "core/ingress/limits.h"

#include <utility>

namespace dandelionfall::core::ingress {

namespace {

/// Least status of a failure on the target's side.
constexpr std::uint32_t FirstServerError = 500;

std::vector<TryNumber> copyOf(const std::set<TryNumber> &Numbers) {
  return {Numbers.begin(), Numbers.end()};
}

} // namespace

// Messages of gates.

void CallTable::onAnswer(GatePeer &Peer, LinkId Link, const Answer &Message,
                         TimePoint Now) {
  Try *Ended = findSent(Message.m_Id, Peer);
  if (Ended == nullptr)
    return;
  if (Message.m_Response == nullptr)
    return onFailure(
        Peer, Link,
        {Message.m_Id, "the gate sent no response", Message.m_Capacity}, Now);
  noteEnd(*Ended, Link, Message.m_Capacity, Now);
  const bool Failed = Message.m_Response->m_Status >= FirstServerError;
  Peer.m_Load.noteResult(!Failed, Now);
  const CallId Id = Ended->m_Call;
  noteEnded(*Ended, "status " + std::to_string(Message.m_Response->m_Status));
  endTry(Message.m_Id.m_Sequence);
  Call *Entry = findCall(Id);
  if (Entry == nullptr)
    return;
  if (Failed && tryForBetter(*Entry, Message.m_Response, Now))
    return;
  ServiceView &View = m_Services.use(Entry->m_Service, Now);
  View.m_Budget.noteSuccess(View.m_Profile);
  finish(Id, CallOutcome::Answered, Message.m_Response, "", Now);
}

// A failure that the target made itself may be its own fault alone.
bool CallTable::tryForBetter(Call &Entry, const HttpResponsePtr &Response,
                             TimePoint Now) {
  Entry.m_MayHaveRun = true;
  // Set first, since a retry that comes to nothing ends the call with it.
  Entry.m_FailedAnswer = Response;
  return hasUndisturbed(Entry) || retry(Entry, Now);
}

void CallTable::onRefusal(GatePeer &Peer, LinkId Link, const Refusal &Message,
                          TimePoint Now) {
  const Try *Ended = findSent(Message.m_Id, Peer);
  if (Ended == nullptr)
    return;
  noteEnd(*Ended, Link, Message.m_Capacity, Now);
  noteRefusal(Peer, Message, Now);
  Call *Entry = findCall(Ended->m_Call);
  if (Entry != nullptr && Message.m_RetryAfter > Duration{0} &&
      (Entry->m_RetryAfter == Duration{0} ||
       Message.m_RetryAfter < Entry->m_RetryAfter))
    Entry->m_RetryAfter = Message.m_RetryAfter;
  const bool AtTarget = Message.m_Reason == RefusalReason::TargetRefused;
  endNotRun(Message.m_Id.m_Sequence,
            AtTarget ? "refused by the target"
                     : "refused by the gate, " +
                           std::string(nameOf(Message.m_Reason)),
            Now, AtTarget);
}

void CallTable::noteRefusal(GatePeer &Peer, const Refusal &Message,
                            TimePoint Now) {
  switch (Message.m_Reason) {
  case RefusalReason::Draining:
    Peer.m_Leaving = true;
    break;
  case RefusalReason::ZoneOut:
    Peer.m_OutInVersion = Message.m_Version;
    break;
  case RefusalReason::TargetDown:
  case RefusalReason::UnknownTarget:
    m_Links.pause(Peer, Now);
    break;
  default:
    break;
  }
}

void CallTable::onFailure(GatePeer &Peer, LinkId Link, const Failure &Message,
                          TimePoint Now) {
  const Try *Ended = findSent(Message.m_Id, Peer);
  if (Ended == nullptr)
    return;
  noteEnd(*Ended, Link, Message.m_Capacity, Now);
  if (Ended->m_Call != 0)
    Peer.m_Load.noteResult(false, Now);
  endLost(Message.m_Id.m_Sequence, Message.m_Detail, Now);
}

void CallTable::onInquiryReply(GatePeer &Peer, LinkId Link,
                               const InquiryReply &Message, TimePoint Now) {
  Try *Asked = findSent(Message.m_Id, Peer);
  // Only a link newer than the try's own fences it off.
  if (Asked == nullptr || Asked->m_Link >= Link)
    return;
  if (Message.m_State != LedgerState::NeverRuns) {
    Asked->m_Hedged = false;
    return;
  }
  m_Links.settle(Peer, Message.m_Id, Now);
  m_Links.touch(Peer, Now);
  endNotRun(Message.m_Id.m_Sequence, "the request was lost on the way", Now);
}

void CallTable::noteEnd(const Try &Ended, LinkId Link, const Capacity &Load,
                        TimePoint Now) {
  GatePeer &Peer = *Ended.m_Peer;
  Peer.m_Load.noteReport(Load, Now);
  if (Ended.m_Link == Link)
    m_Links.noteProof(Peer, Link, Ended.m_SentAt);
  m_Links.settle(Peer, Ended.m_Id, Now);
  m_Links.touch(Peer, Now);
}

// Changes of gates and versions.

void CallTable::endOrphans(GatePeer &Peer) {
  for (const TryNumber Number : copyOf(Peer.m_Orphans))
    endTry(Number);
}

void CallTable::onGateRestarted(GatePeer &Peer, TimePoint Now) {
  endOrphans(Peer);
  for (const TryNumber Number : copyOf(Peer.m_Sent))
    endLost(Number, "the gate restarted", Now);
  Peer.m_Load.noteRestart();
}

void CallTable::onGateReady(GatePeer &Peer, TimePoint Now) {
  Inquiry Question;
  for (const TryNumber Number : Peer.m_Sent) {
    Question.m_Ids.push_back(m_Tries.at(Number).m_Id);
    if (Question.m_Ids.size() == MaxIdsSentAtOnce)
      m_Out.send(Peer.m_Link, std::exchange(Question, {}));
  }
  if (!Question.m_Ids.empty())
    m_Out.send(Peer.m_Link, std::move(Question));
  for (const TryNumber Number : copyOf(Peer.m_Waiting))
    send(m_Tries.at(Number), Now);
}

void CallTable::onGateUnreachable(GatePeer &Peer, TimePoint Now) {
  for (const TryNumber Number : copyOf(Peer.m_Waiting))
    endNotRun(Number, "no link to a gate can be opened", Now);
  for (const TryNumber Number : copyOf(Peer.m_Sent)) {
    const auto Found = m_Tries.find(Number);
    if (Found == m_Tries.end() || Found->second.m_Hedged)
      continue;
    Found->second.m_Hedged = true;
    Call &Entry = m_Calls.at(Found->second.m_Call);
    if (!hasUndisturbed(Entry))
      retry(Entry, Now);
  }
}

void CallTable::onGateDead(GatePeer &Peer, TimePoint Now) {
  endOrphans(Peer);
  for (const TryNumber Number : copyOf(Peer.m_Sent))
    endLost(Number, "the gate takes no connection", Now);
}

void CallTable::onConfiguration(TimePoint Now) {
  std::vector<TryNumber> Moved;
  for (const auto &[Id, Entry] : m_Calls) {
    for (const TryNumber Number : Entry.m_Live) {
      const Try &Current = m_Tries.at(Number);
      if (!Current.m_Sent &&
          !m_Services.isCandidate(Entry.m_Service, *Current.m_Peer))
        Moved.push_back(Number);
    }
  }
  for (const TryNumber Number : Moved)
    endNotRun(Number, "the gate was taken out", Now);
}

} // namespace dandelionfall::core::ingress
