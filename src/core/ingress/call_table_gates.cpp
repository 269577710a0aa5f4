#include "core/ingress/call_table.h"

#include "core/ingress/limits.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::ingress {

namespace {

bool isDeparture(RefusalReason Reason) {
  return Reason == RefusalReason::TargetLeaving ||
         Reason == RefusalReason::UnknownTarget ||
         Reason == RefusalReason::OtherTarget;
}

// Copies the numbers, because ending an attempt changes the set.
std::vector<AttemptNumber> copyOf(const std::set<AttemptNumber> &Numbers) {
  return {Numbers.begin(), Numbers.end()};
}

} // namespace

// Messages from gates.

void CallTable::onAnswer(GatePeer &Peer, LinkId Link, const Answer &Message,
                         TimePoint Now) {
  Attempt *Ended = findSent(Message.m_Id, Peer);
  if (Ended == nullptr)
    return;
  if (Message.m_Response == nullptr ||
      !isFinalStatus(Message.m_Response->m_Status))
    return onFailure(
        Peer, Link,
        {Message.m_Id, "the gate sent no valid response", Message.m_Capacity},
        Now);
  recordGateReply(*Ended, Link, Message.m_Capacity, Now);
  recordStatement(*Ended, Message.m_Statement);
  GateLinks::resetBackOff(Peer);
  const bool Failed = Message.m_Response->m_Status >= FirstServerError;
  Peer.m_Load.recordResult(!Failed, Now);
  const CallId Id = Ended->m_Call;
  appendHistory(*Ended,
                "status " + std::to_string(Message.m_Response->m_Status));
  endAttempt(Message.m_Id.m_Sequence);
  Call *Entry = findCall(Id);
  if (Entry == nullptr)
    return;
  m_Router.recordAnswer(*Entry, *Message.m_Response);
  if (Failed && retryServerError(*Entry, Message.m_Response, Now))
    return;
  ServiceView &View = m_Services.findOrAdd(Entry->m_Service, Now);
  View.m_Budget.recordSuccess(View.m_Profile);
  finish(Id, CallOutcome::Answered, Message.m_Response, "", Now);
}

// A server error may be specific to one target, so another one is tried.
bool CallTable::retryServerError(Call &Entry, const HttpResponsePtr &Response,
                                 TimePoint Now) {
  Entry.m_MayHaveRun = true;
  // Set first, because a retry that ends at once finishes the call with this
  // response.
  Entry.m_ServerErrorResponse = Response;
  return hasUnhedgedAttempt(Entry) || retry(Entry, Now);
}

void CallTable::onRefusal(GatePeer &Peer, LinkId Link, const Refusal &Message,
                          TimePoint Now) {
  const Attempt *Ended = findSent(Message.m_Id, Peer);
  if (Ended == nullptr)
    return;
  recordGateReply(*Ended, Link, Message.m_Capacity, Now);
  if (Message.m_Statement)
    recordStatement(*Ended, *Message.m_Statement);
  applyRefusal(Peer, Message, Now);
  Call *Entry = findCall(Ended->m_Call);
  if (Entry != nullptr && Message.m_RetryAfter > Duration{0} &&
      (Entry->m_RetryAfter == Duration{0} ||
       Message.m_RetryAfter < Entry->m_RetryAfter))
    Entry->m_RetryAfter = Message.m_RetryAfter;
  const bool IsSuspect = Message.m_Reason == RefusalReason::Suspect;
  if (Entry != nullptr && (Message.m_Reason == RefusalReason::Quarantined ||
                           (IsSuspect && Ended->m_AsSuspect)))
    Entry->m_IsConfined = true;
  if (Entry != nullptr && isDeparture(Message.m_Reason) &&
      !Entry->m_TargetsAwaitedUntil)
    Entry->m_TargetsAwaitedUntil = Now + MaxTargetsWait;
  // The gate may be that of the target which runs all copies.
  if (Entry != nullptr && IsSuspect && suspectOf(*Entry->m_Request))
    std::erase(Entry->m_TriedGates, Peer.m_Address);
  const bool RefusedByTarget = Message.m_Reason == RefusalReason::TargetRefused;
  endNotRun(Message.m_Id.m_Sequence,
            RefusedByTarget ? "refused by the target"
                            : "refused by the gate, " +
                                  std::string(nameOf(Message.m_Reason)),
            Now, RefusedByTarget);
}

void CallTable::applyRefusal(GatePeer &Peer, const Refusal &Message,
                             TimePoint Now) {
  switch (Message.m_Reason) {
  case RefusalReason::Draining:
    Peer.m_Draining = true;
    break;
  case RefusalReason::ZoneOut:
    Peer.m_ZoneOutVersion = Message.m_Version;
    break;
  case RefusalReason::TargetDown:
  case RefusalReason::UnknownTarget:
    m_Links.backOff(Peer, Now);
    break;
  case RefusalReason::TargetRefused:
    GateLinks::resetBackOff(Peer);
    break;
  case RefusalReason::Overload:
    if (Peer.m_Load.isRateLimited())
      Peer.m_RateCheckInterval =
          std::min(2 * Peer.m_RateCheckInterval, MaxRateCheckInterval);
    break;
  default:
    break;
  }
}

void CallTable::onFailure(GatePeer &Peer, LinkId Link, const Failure &Message,
                          TimePoint Now) {
  const Attempt *Ended = findSent(Message.m_Id, Peer);
  if (Ended == nullptr)
    return;
  recordGateReply(*Ended, Link, Message.m_Capacity, Now);
  if (Ended->m_Call != 0)
    Peer.m_Load.recordResult(false, Now);
  const Call *Entry = findCall(Ended->m_Call);
  if (Message.m_TargetEnd && Entry != nullptr)
    m_Options.m_Quarantine->merge(
        {{fingerprintOf(*Entry->m_Request), false, *Message.m_TargetEnd,
          Duration{0}, Ended->m_AsSuspect}},
        Now);
  endOutcomeUnknown(Message.m_Id.m_Sequence, Message.m_Detail, Now);
}

void CallTable::onInquiryReply(GatePeer &Peer, LinkId Link,
                               const InquiryReply &Message, TimePoint Now) {
  Attempt *Inquired = findSent(Message.m_Id, Peer);
  // Only a reply on a link newer than the attempt's own is conclusive, because
  // the newer link's epoch fences off the attempt.
  if (Inquired == nullptr || Inquired->m_Link >= Link)
    return;
  if (Message.m_State != LedgerState::NeverRuns) {
    Inquired->m_Hedged = false;
    return;
  }
  m_Links.settle(Peer, Message.m_Id, Now);
  m_Links.rescheduleTimer(Peer, Now);
  endNotRun(Message.m_Id.m_Sequence, "the request was lost on the way", Now);
}

void CallTable::recordGateReply(const Attempt &Ended, LinkId Link,
                                const Capacity &Load, TimePoint Now) {
  GatePeer &Peer = *Ended.m_Peer;
  // The gate no longer counts the request, whose end is recorded below.
  Peer.m_Load.recordReport(Load, Now, /*Ending=*/1);
  if (Ended.m_Link == Link)
    m_Links.confirmLink(Peer, Link, Ended.m_SentAt);
  m_Links.settle(Peer, Ended.m_Id, Now);
  m_Links.rescheduleTimer(Peer, Now);
}

void CallTable::recordStatement(const Attempt &Ended,
                                const TargetStatement &Statement) {
  GatePeer &Peer = *Ended.m_Peer;
  Peer.m_StatedBy = Ended.m_Target;
  Peer.m_StatedRate = Statement.m_RequestsPerSecond;
  Peer.m_RateCheckInterval = MinRateCheckInterval;
  if (Statement.m_Leaving && m_Options.m_LeavingTargets->add(Ended.m_Target))
    m_Out.report(EventId::TargetLeaving,
                 "target=" + Ended.m_Target.m_Name +
                     " origin=gate request=" + toString(Ended.m_Id));
}

void CallTable::onLeavingNotice(const LeavingNotice &Message) {
  for (const TargetInstance &Each : Message.m_Targets) {
    if (m_Options.m_LeavingTargets->add(Each))
      m_Out.report(EventId::TargetLeaving,
                   "target=" + Each.m_Name + " origin=notice");
  }
}

// Changes of gates and versions.

void CallTable::endOrphans(GatePeer &Peer) {
  for (const AttemptNumber Number : copyOf(Peer.m_Orphans))
    endAttempt(Number);
}

void CallTable::onGateRestarted(GatePeer &Peer, TimePoint Now) {
  endOrphans(Peer);
  for (const AttemptNumber Number : copyOf(Peer.m_Sent))
    endOutcomeUnknown(Number, "the gate restarted", Now);
  Peer.m_Load.recordRestart();
}

void CallTable::onGateReady(GatePeer &Peer, TimePoint Now) {
  // A gate that has restarted must know the evidence and the leaving targets
  // before it gets requests.
  if (!m_Options.m_LeavingTargets->empty())
    m_Out.send(Peer.m_Link,
               LeavingNotice{m_Options.m_LeavingTargets->snapshot()});
  if (!m_Options.m_Quarantine->empty())
    m_Out.send(Peer.m_Link, CrashNotice{m_Options.m_Quarantine->snapshot(Now)});
  Inquiry NextInquiry;
  for (const AttemptNumber Number : Peer.m_Sent) {
    NextInquiry.m_Ids.push_back(m_Attempts.at(Number).m_Id);
    if (NextInquiry.m_Ids.size() == MaxIdsSentAtOnce)
      m_Out.send(Peer.m_Link, std::exchange(NextInquiry, {}));
  }
  if (!NextInquiry.m_Ids.empty())
    m_Out.send(Peer.m_Link, std::move(NextInquiry));
  sendWaitingCreditRequests(Peer, Now);
  for (const AttemptNumber Number : copyOf(Peer.m_Waiting))
    send(m_Attempts.at(Number), Now);
}

void CallTable::onGateUnreachable(GatePeer &Peer, TimePoint Now) {
  m_WaitingCreditRequests.erase(Peer.m_Address);
  for (const AttemptNumber Number : copyOf(Peer.m_Waiting))
    endNotRun(Number, "no link to a gate can be opened", Now);
  for (const AttemptNumber Number : copyOf(Peer.m_Sent)) {
    const auto Found = m_Attempts.find(Number);
    if (Found == m_Attempts.end() || Found->second.m_Hedged)
      continue;
    Found->second.m_Hedged = true;
    Call &Entry = m_Calls.at(Found->second.m_Call);
    if (!hasUnhedgedAttempt(Entry))
      retry(Entry, Now);
  }
}

void CallTable::onGateDead(GatePeer &Peer, TimePoint Now) {
  endOrphans(Peer);
  for (const AttemptNumber Number : copyOf(Peer.m_Sent))
    endOutcomeUnknown(Number, "the gate takes no connection", Now);
}

void CallTable::onConfiguration(TimePoint Now) {
  m_Freshness.setApplied(version());
  m_Credits.onConfiguration(*m_Services.configuration(), Now);
  std::vector<AttemptNumber> Affected;
  for (const auto &[Id, Entry] : m_Calls) {
    for (const AttemptNumber Number : Entry.m_OpenAttempts) {
      const Attempt &Current = m_Attempts.at(Number);
      if (!Current.m_Sent &&
          !m_Services.isCandidate(Entry.m_Service, *Current.m_Peer))
        Affected.push_back(Number);
    }
  }
  for (const AttemptNumber Number : Affected)
    endNotRun(Number, "the gate was taken out", Now);
  dispatchAwaiting(Now);
}

void CallTable::dispatchAwaiting(TimePoint Now) {
  std::vector<CallId> Awaiting;
  for (const auto &[Id, Entry] : m_Calls) {
    if (Entry.m_AwaitsTargets)
      Awaiting.push_back(Id);
  }
  for (const CallId Id : Awaiting) {
    Call &Entry = m_Calls.at(Id);
    endTargetsWait(Entry);
    dispatchOrConclude(Entry, Now);
  }
}

} // namespace dandelionfall::core::ingress
