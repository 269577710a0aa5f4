// How the attempts of a call end.
#include "core/ingress/call_table.h"

#include "core/ingress/limits.h"

#include <algorithm>

namespace dandelionfall::core::ingress {

const Candidate *CallTable::chooseTarget(ServiceView &View, const Call &Entry,
                                         TimePoint Now) {
  const Candidate *Chosen =
      m_Router.choose(View, Entry, version(), suspectOf(*Entry.m_Request), Now);
  if (const auto Change = View.m_Spill.takeChange(Now))
    m_Out.report(EventId::ZoneTrafficChanged, "service=" + Entry.m_Service +
                                                  " zone=" + m_Options.m_Zone +
                                                  " " + *Change);
  return Chosen;
}

void CallTable::endNotRun(AttemptNumber Number, const std::string &Fault,
                          TimePoint Now, bool RefusedByTarget) {
  const CallId Id = m_Attempts.at(Number).m_Call;
  appendHistory(m_Attempts.at(Number), "not run (" + Fault + ")");
  endAttempt(Number);
  Call *Entry = findCall(Id);
  if (Entry == nullptr)
    return;
  Entry->m_LastFault = Fault;
  if (!RefusedByTarget)
    --Entry->m_TargetAttempts;
  dispatchOrConclude(*Entry, Now);
}

bool CallTable::awaitTargets(Call &Entry, TimePoint Now) {
  if (!Entry.m_OpenAttempts.empty() || !Entry.m_TargetsAwaitedUntil ||
      Now >= *Entry.m_TargetsAwaitedUntil)
    return false;
  Entry.m_AwaitsTargets = true;
  m_Deadlines.setNoLater(Entry.m_Id, *Entry.m_TargetsAwaitedUntil);
  return true;
}

void CallTable::endTargetsWait(Call &Entry) {
  Entry.m_AwaitsTargets = false;
  m_Deadlines.set(Entry.m_Id, Entry.m_Deadline);
}

void CallTable::endOutcomeUnknown(AttemptNumber Number,
                                  const std::string &Fault, TimePoint Now) {
  const CallId Id = m_Attempts.at(Number).m_Call;
  appendHistory(m_Attempts.at(Number), "may have run (" + Fault + ")");
  endAttempt(Number);
  Call *Entry = findCall(Id);
  if (Entry == nullptr)
    return;
  Entry->m_LastFault = Fault;
  retryOrConclude(*Entry, Now);
}

void CallTable::appendHistory(const Attempt &Ended, const std::string &End) {
  Call *Entry = findCall(Ended.m_Call);
  if (Entry == nullptr || Entry->m_History.size() > MaxHistoryBytes)
    return;
  Entry->m_History += (Entry->m_History.empty() ? "" : ",") +
                      std::to_string(Ended.m_Id.m_Sequence) + "@" +
                      Ended.m_Peer->m_Address + ":" + End;
}

void CallTable::endAttempt(AttemptNumber Number) {
  const auto Found = m_Attempts.find(Number);
  const Attempt &Ended = Found->second;
  GatePeer &Peer = *Ended.m_Peer;
  Peer.m_Waiting.erase(Number);
  Peer.m_Sent.erase(Number);
  m_OrphanCount -= Peer.m_Orphans.erase(Number);
  if (Ended.m_Sent)
    Peer.m_Load.recordEnded();
  if (Call *Entry = findCall(Ended.m_Call)) {
    std::erase(Entry->m_OpenAttempts, Number);
    Entry->m_LastAttempt = Number;
  }
  m_AttemptTimeouts.erase(Number);
  m_OrphanTimeouts.erase(Number);
  m_Attempts.erase(Found);
}

void CallTable::detach(Attempt &Current, TimePoint Deadline, TimePoint Now) {
  const AttemptNumber Number = Current.m_Id.m_Sequence;
  GatePeer &Peer = *Current.m_Peer;
  Current.m_Call = 0;
  if (!Current.m_Sent)
    return endAttempt(Number);
  // Breaking off what the target has begun could leave it half done.
  if (!m_PlannedEnd.hasCome(Now))
    cancel(Current);
  if (m_OrphanCount >= MaxOrphans) {
    m_Links.settle(Peer, Current.m_Id, Now);
    m_Links.rescheduleTimer(Peer, Now);
    return endAttempt(Number);
  }
  m_AttemptTimeouts.erase(Number);
  Peer.m_Sent.erase(Number);
  Peer.m_Orphans.insert(Number);
  ++m_OrphanCount;
  m_OrphanTimeouts.set(Number, std::max(Deadline, Now) + OrphanGrace);
}

void CallTable::cancel(const Attempt &Current) {
  const GatePeer &Peer = *Current.m_Peer;
  if (Peer.m_State == LinkState::Ready)
    m_Out.send(Peer.m_Link, Cancel{Current.m_Id});
}

} // namespace dandelionfall::core::ingress
