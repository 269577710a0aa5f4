// Calls and the credit of their teams' quotas.
#include "core/ingress/call_table.h"
#include "core/quota/limits.h"

#include <utility>

namespace dandelionfall::core::ingress {

void CallTable::dispatchWithCredit(Call &Entry, const Team *Owner,
                                   TimePoint Now) {
  if (Owner == nullptr || Owner->m_Quota.m_RatePerSecond <= 0)
    return dispatchOrConclude(Entry, Now);
  Entry.m_CreditUntil = m_Credits.take(*Owner, Now);
  if (Entry.m_CreditUntil)
    return dispatchOrConclude(Entry, Now);
  Entry.m_AwaitsCredit = true;
  m_Credits.wait(Entry.m_Id, *Owner, Now);
  settleCredits(Now);
}

void CallTable::onCreditGrant(const GatePeer &Peer, const CreditGrant &Message,
                              TimePoint Now) {
  m_Credits.onGrant(Peer.m_Address, Message, Now);
  settleCredits(Now);
}

void CallTable::settleCredits(TimePoint Now) {
  for (const CreditVerdict &Each : m_Credits.takeVerdicts()) {
    Call *Entry = findCall(Each.m_Call);
    if (Entry == nullptr)
      continue;
    Entry->m_AwaitsCredit = false;
    Entry->m_CreditUntil = Each.m_Until;
    if (Each.m_Until) {
      dispatchOrConclude(*Entry, Now);
      continue;
    }
    Entry->m_RetryAfter = Each.m_RetryAfter;
    // Logged with the attempts; a caller has no use for addresses of nodes.
    Entry->m_History += "accountants:" + Each.m_Detail;
    if (Each.m_Denied)
      finish(Each.m_Call, CallOutcome::OverQuota, nullptr,
             "the quota of the team is used up", Now);
    else
      finish(Each.m_Call, CallOutcome::NotRun, nullptr,
             "no accountant of the team's quota responds", Now);
  }
}

void CallTable::releaseCredit(const Call &Ended, bool NeverRuns,
                              TimePoint Now) {
  if (Ended.m_AwaitsCredit)
    m_Credits.leave(Ended.m_Id, Ended.m_Team);
  else if (NeverRuns && Ended.m_CreditUntil)
    m_Credits.giveBack(Ended.m_Team, *Ended.m_CreditUntil, Now);
}

bool CallTable::sendCreditRequest(const std::string &Gate,
                                  const CreditRequest &Request, TimePoint Now) {
  GatePeer &Peer = m_Links.peer(Gate);
  Peer.m_LastUsed = Now;
  if (Peer.m_State == LinkState::Ready) {
    m_Out.send(Peer.m_Link, Request);
    m_Links.checkBeforeUse(Peer, Now);
    m_Links.rescheduleTimer(Peer, Now);
    return true;
  }
  if (Peer.m_State == LinkState::Idle && !m_Links.hasSpareLinks())
    return false;
  if (!m_Links.ensureOpen(Peer, Now))
    return false;
  m_WaitingCreditRequests[Gate].push_back({Request, Now});
  return true;
}

void CallTable::sendWaitingCreditRequests(const GatePeer &Peer, TimePoint Now) {
  const auto Found = m_WaitingCreditRequests.find(Peer.m_Address);
  if (Found == m_WaitingCreditRequests.end())
    return;
  // What an older request was granted could not be used any more.
  for (const auto &[Request, AskedAt] : Found->second) {
    if (Now < AskedAt + quota::LeaseTime)
      m_Out.send(Peer.m_Link, Request);
  }
  m_WaitingCreditRequests.erase(Found);
}

} // namespace dandelionfall::core::ingress
