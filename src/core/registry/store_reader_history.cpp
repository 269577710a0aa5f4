// How a reader finds that the store has begun another history.
#include "core/registry/call_backoff.h"
#include "core/registry/limits.h"
#include "dandelionfall/core/store_reader.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

// A replica of the store that lags behind may not know the present history.
bool StoreReader::mayReadEarlierHistory() const {
  return m_ReplacedAt && m_CalledAt < *m_ReplacedAt + MaxStaleness;
}

bool StoreReader::continuesHistory(const StoreReply &Reply, TimePoint Now) {
  const bool IsCurrent = m_LastConsistency == ReadConsistency::Linearizable;
  const StoreHistory::Relation Found = m_History.onEra(Reply.m_Era, IsCurrent);
  if (Found == StoreHistory::Relation::Same)
    return true;
  if (Found == StoreHistory::Relation::Earlier) {
    const unsigned Repetition = reportDropped(Reply, Now);
    m_CatchingUp = true;
    m_PageWasStale = m_Purpose == Purpose::List;
    m_CallAt = Now + retryDelay(Repetition, m_Random);
    return false;
  }
  m_Replacements = mayReadEarlierHistory() ? m_Replacements + 1 : 1;
  reportHistory("era", Reply.m_AsOf);
  if (m_Purpose == Purpose::List && m_NextPageAfter.empty() &&
      Reply.m_Outcome == StoreOutcome::Answered)
    return true;
  relist(m_Replacements, Now);
  return false;
}

void StoreReader::onCompared(const StoreReply &Reply, TimePoint Now) {
  const bool IsHeld =
      Reply.m_AsOf >= m_History.counterIn(m_KnownAtCall) &&
      std::any_of(Reply.m_Records.begin(), Reply.m_Records.end(),
                  [&](const StoreRecord &Each) {
                    return Each.m_Key == m_Compared.m_Key &&
                           m_History.revisionOf(Each.m_Revision) ==
                               m_Compared.m_Revision &&
                           Each.m_Value != nullptr &&
                           *Each.m_Value == *m_Compared.m_Value;
                  });
  // Either the record has been written or removed since, or the store has begun
  // another history; a listing shows which.
  if (!IsHeld)
    return relist(m_Dropped.add(Now), Now);
  m_Dropped.reset();
  if (m_ComparedAsOf >= m_KnownRevision)
    onVerified(Now);
  // The next proof, which keys may depend on, should not wait for a change.
  m_AnswerAtOnce = true;
  issueCall(Now);
  m_AnswerAtOnce = false;
}

// The store can have been restored from a copy that lacks only what this node
// has not read.
void StoreReader::onVerified(TimePoint Now) {
  if (std::exchange(m_IsUnverified, false) && !m_History.hasEra() &&
      !m_KeepsWrites)
    m_ProvesFrom = Now + RewriteTime;
}

void StoreReader::prove(Revision Newest, TimePoint CalledAt) {
  if (!m_IsUnverified && (!m_ProvesFrom || CalledAt >= *m_ProvesFrom))
    m_Proof = RevisionProof{Newest, CalledAt};
}

void StoreReader::listSuspected(const StoreReply &Reply, TimePoint Now) {
  relist(reportDropped(Reply, Now), Now);
}

void StoreReader::relist(unsigned Repetition, TimePoint Now) {
  m_Watching = false;
  m_ListedRecords.clear();
  m_NextPageAfter.clear();
  if (Repetition <= 1)
    return issueCall(Now);
  m_CallAt = Now + retryDelay(Repetition, m_Random);
}

bool StoreReader::provesNextHistory() const {
  return m_FirstPageAsOf < m_History.counterIn(m_KnownAtCall) ||
         (m_CheckedClaim &&
          m_FirstPageAsOf < m_History.counterIn(*m_CheckedClaim));
}

RecordsRead StoreReader::restart(RecordsRead Contradicting, TimePoint Now) {
  const Revision Contradicted = Contradicting.m_AsOf;
  const StoreCounter AsOf = counterOf(Contradicted);
  m_History.startNext();
  reportHistory("record", AsOf);
  for (StoreRecord &Each : Contradicting.m_Records)
    Each.m_Revision = m_History.revisionOf(counterOf(Each.m_Revision));
  Contradicting.m_AsOf = m_History.revisionOf(AsOf);
  setKnownRevision(Contradicting.m_AsOf);
  // The proof is that of the listing, or of an earlier history.
  if (m_Proof && m_Proof->m_Revision == Contradicted)
    m_Proof->m_Revision = Contradicting.m_AsOf;
  if (m_CallPending && m_LastWatch &&
      m_LastWatch->m_Consistency == ReadConsistency::Serializable)
    replaceCall(Now);
  return Contradicting;
}

void StoreReader::onLaterHistory(HistoryNumber Found, TimePoint Now) {
  const HistoryNumber Before = m_History.number();
  if (!m_History.follow(Found))
    return;
  m_Commands.emplace_back(
      Event{EventId::StoreHistoryReplaced,
            "history=" + std::to_string(Found) +
                " previous=" + std::to_string(Before) + " cause=node" +
                " known_revision=" + formatRevision(m_KnownRevision)});
  m_ReplacedAt = Now;
  m_PartialSince.reset();
  endCall();
  m_Watching = false;
  m_ListedRecords.clear();
  m_NextPageAfter.clear();
  // Many nodes learn of it at the same time.
  m_CallAt = Now + spreadDelay(HistoryListingSpread, m_Random);
}

bool StoreReader::checkClaim(Revision Claimed, TimePoint Now) {
  if (!m_Watching || historyOf(Claimed) != m_History.number() ||
      Claimed > m_DisprovedRevision || Claimed <= m_KnownRevision)
    return false;
  m_CheckedClaim = Claimed;
  startListing(Now);
  return true;
}

void StoreReader::setEvidence(StoreRecord Newest, Revision AsOf) {
  m_Evidence = std::move(Newest);
  m_EvidenceAsOf = AsOf;
}

unsigned StoreReader::reportDropped(const StoreReply &Reply, TimePoint Now) {
  const unsigned Repetition = m_Dropped.add(Now);
  if (Repetition > MaxLoggedFailures)
    return Repetition;
  m_Commands.emplace_back(
      Event{EventId::StoreReplyDropped,
            std::string("mode=") + nameOf(m_Mode) +
                " known_revision=" + formatRevision(m_KnownRevision) +
                " as_of=" + std::to_string(Reply.m_AsOf) +
                " calls=" + std::to_string(m_LastCall)});
  return Repetition;
}

void StoreReader::reportHistory(const char *Cause, StoreCounter AsOf) {
  if (m_KnownRevision == 0)
    return;
  m_ReplacedAt = m_CalledAt;
  m_Commands.emplace_back(
      Event{EventId::StoreHistoryReplaced,
            "history=" + std::to_string(m_History.number()) + " previous=" +
                std::to_string(historyOf(m_KnownRevision)) + " cause=" + Cause +
                " known_revision=" + formatRevision(m_KnownRevision) +
                " as_of=" + std::to_string(AsOf)});
}

} // namespace dandelionfall::core
