#include "dandelionfall/core/store_reader.h"

#include "core/registry/call_backoff.h"
#include "core/registry/limits.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

namespace {

/// Name and watch parameters of a mode.
struct ModeRow {
  const char *m_Name;
  Duration m_Wait;
  /// Minimum time between a change and the next watch.
  Duration m_Interval;
  ReadConsistency m_Consistency;
};

/// Rows in the order of `WatchMode`.
constexpr ModeRow Modes[] = {
    {"alone", MaxWatchWait, MinWatchInterval, ReadConsistency::Linearizable},
    {"publishing", PublisherWatchWait, MinWatchInterval,
     ReadConsistency::Linearizable},
    {"following", FollowerWatchWait, FollowerWatchInterval,
     ReadConsistency::Serializable},
    {"fed", FollowerWatchWait, FollowerWatchInterval,
     ReadConsistency::Serializable},
};

const ModeRow &rowOf(WatchMode Mode) {
  return Modes[static_cast<std::size_t>(Mode)];
}

std::size_t bytesOf(const std::vector<StoreRecord> &Records) {
  std::size_t Bytes = 0;
  for (const StoreRecord &Record : Records)
    Bytes += Record.m_Value == nullptr ? 0 : Record.m_Value->size();
  return Bytes;
}

bool isLarge(const StoreRecord &Record) {
  return Record.m_Value != nullptr &&
         Record.m_Value->size() > MaxSmallRecordBytes;
}

/// \returns whether a reply has a large value that a later one replaces.
bool hasReplacedLarge(const std::vector<StoreRecord> &Records) {
  std::set<std::string_view> Keys;
  return std::any_of(Records.begin(), Records.end(),
                     [&Keys](const StoreRecord &Each) {
                       return isLarge(Each) && !Keys.insert(Each.m_Key).second;
                     });
}

bool hasLargeAfter(const std::vector<StoreRecord> &Records, Revision Known) {
  return std::any_of(Records.begin(), Records.end(),
                     [Known](const StoreRecord &Each) {
                       return isLarge(Each) && Each.m_Revision > Known;
                     });
}

} // namespace

const char *nameOf(WatchMode Mode) { return rowOf(Mode).m_Name; }

void StoreReader::start(TimePoint Now) { issueCall(Now); }

WatchRecords StoreReader::makeWatch() const {
  const bool IsTold =
      m_Mode == WatchMode::Following || m_Mode == WatchMode::Fed;
  const ModeRow &Row = rowOf((m_CatchingUp || mayReadEarlierHistory()) && IsTold
                                 ? WatchMode::Alone
                                 : m_Mode);
  const Duration Wait =
      m_AnswerAtOnce || m_Failures > 0 ? Duration{0} : Row.m_Wait;
  return {m_LastCall,
          m_History.counterIn(m_KnownRevision),
          Wait,
          Wait + CallTimeout,
          Row.m_Consistency,
          ""};
}

// A store that was away for a moment may have come back from an older copy and
// have passed the known revision since.
StoreReader::Purpose StoreReader::nextPurpose() const {
  if (!m_Watching || m_ListsInstead || !m_NextPageAfter.empty())
    return Purpose::List;
  if (!m_IsUnverified || !m_Evidence || m_History.hasEra() ||
      makeWatch().m_Consistency != ReadConsistency::Linearizable)
    return Purpose::Watch;
  // What precedes the last change proves nothing, and a large record costs as
  // much as a listing.
  return m_Evidence->m_Value == nullptr || isLarge(*m_Evidence)
             ? Purpose::List
             : Purpose::CompareRecord;
}

bool StoreReader::needsNoCall() const {
  return m_Mode == WatchMode::Fed && m_Watching && !m_CatchingUp &&
         m_Failures == 0;
}

void StoreReader::endCall() {
  m_ListsInstead = false;
  m_CallAt.reset();
  m_LastWatch.reset();
  if (std::exchange(m_CallPending, false))
    m_Commands.emplace_back(AbandonCall{m_LastCall});
}

void StoreReader::issueCall(TimePoint Now) {
  m_CallAt.reset();
  if (needsNoCall())
    return;
  m_CallPending = true;
  m_CalledAt = Now;
  ++m_LastCall;
  m_LastWatch.reset();
  m_Purpose = nextPurpose();
  if (m_NextPageAfter.empty())
    m_KnownAtCall = m_KnownRevision;
  if (m_Purpose == Purpose::Watch) {
    m_LastWatch = makeWatch();
    m_LastConsistency = m_LastWatch->m_Consistency;
    m_Commands.emplace_back(*m_LastWatch);
    return;
  }
  if (m_Purpose == Purpose::CompareRecord) {
    m_Compared = *m_Evidence;
    m_ComparedAsOf = m_EvidenceAsOf;
    m_LastConsistency = ReadConsistency::Linearizable;
    m_Commands.emplace_back(ListRecords{m_LastCall, "", CallTimeout,
                                        m_LastConsistency, m_Compared.m_Key});
    return;
  }
  // A later page may be read serializably, since its revision shows whether it
  // is at least as new as the first one. Right after the counter went back such
  // a state can be of the earlier history.
  m_LastConsistency = m_NextPageAfter.empty() || m_PageWasStale ||
                              provesNextHistory() || mayReadEarlierHistory()
                          ? ReadConsistency::Linearizable
                          : ReadConsistency::Serializable;
  m_Commands.emplace_back(ListRecords{m_LastCall, m_NextPageAfter, CallTimeout,
                                      m_LastConsistency, ""});
}

void StoreReader::startListing(TimePoint Now) {
  m_Watching = false;
  m_ListsInstead = false;
  m_ListedRecords.clear();
  m_NextPageAfter.clear();
  if (std::exchange(m_CallPending, false))
    m_Commands.emplace_back(AbandonCall{m_LastCall});
  issueCall(Now);
}

void StoreReader::replaceCall(TimePoint Now) {
  if (m_CallPending)
    m_Commands.emplace_back(AbandonCall{m_LastCall});
  m_AnswerAtOnce = true;
  issueCall(Now);
  m_AnswerAtOnce = false;
}

void StoreReader::setMode(WatchMode Mode, TimePoint Now) {
  const WatchMode Previous = std::exchange(m_Mode, Mode);
  if (Previous == Mode)
    return;
  if (needsNoCall())
    return endCall();
  if (Previous == WatchMode::Fed && !m_CallPending && !m_CallAt)
    return replaceCall(Now);
  if (!m_CallPending || !m_LastWatch)
    return;
  const ModeRow &Row = rowOf(Mode);
  const bool IsStale = Row.m_Consistency == ReadConsistency::Linearizable &&
                       m_LastWatch->m_Consistency != Row.m_Consistency;
  if (IsStale || m_LastWatch->m_Wait > Row.m_Wait)
    replaceCall(Now);
}

void StoreReader::onNewerRevision(Revision Seen, TimePoint Now) {
  if (Seen != m_DisprovedRevision)
    m_Missing.add(Seen, m_KnownRevision, Now);
}

// A linearizable reply is as of a moment after any revision seen before its
// call.
void StoreReader::dropDisproved(StoreCounter AsOf) {
  const Revision Highest = m_Missing.removeSeenUntil(m_CalledAt);
  if (Highest > m_History.revisionOf(AsOf))
    m_DisprovedRevision = Highest;
}

std::optional<TimePoint> StoreReader::catchUpAt() const {
  const std::optional<TimePoint> SeenAt = m_Missing.oldestSeenAt();
  // A failed call is repeated after its own delay; a listing reads everything.
  if (!SeenAt || m_CatchingUp || m_Failures > 0 || !m_Watching ||
      m_ListsInstead)
    return std::nullopt;
  if (m_Mode == WatchMode::Fed)
    return *SeenAt + FedCatchUpDelay;
  const bool IsCurrent =
      m_CallPending && m_LastConsistency == ReadConsistency::Linearizable;
  return std::max(*SeenAt, m_CallAt.value_or(m_CalledAt)) +
         (IsCurrent ? FedCatchUpDelay : CatchUpDelay);
}

void StoreReader::setKnownRevision(Revision Known) {
  m_KnownRevision = Known;
  m_Missing.removeUpTo(Known);
}

void StoreReader::catchUp(TimePoint Now) {
  m_CatchingUp = true;
  m_Commands.emplace_back(
      Event{EventId::FollowerBehind,
            std::string("mode=") + nameOf(m_Mode) +
                " known_revision=" + formatRevision(m_KnownRevision) +
                " seen=" + formatRevision(m_Missing.newest())});
  replaceCall(Now);
}

void StoreReader::onReply(StoreReply Reply, TimePoint Now) {
  if (!m_CallPending || Reply.m_Call != m_LastCall)
    return;
  m_CallPending = false;
  const bool IsTooLarge = Reply.m_Outcome == StoreOutcome::TooLarge;
  if (Reply.m_Outcome == StoreOutcome::Failed || (IsTooLarge && !m_LastWatch))
    return onFailure(Reply, Now);
  if (!continuesHistory(Reply, Now))
    return;
  if (Reply.m_Outcome == StoreOutcome::HistoryCompacted) {
    m_Failures = 0;
    // A replica of the store that lags behind can refuse a serializable watch
    // after every listing.
    m_CatchingUp = m_LastConsistency != ReadConsistency::Linearizable;
    return relist(m_Compactions.add(Now), Now);
  }
  if (IsTooLarge) {
    // The same watch would return more each time.
    onAnswer(Now);
    if (m_LastConsistency == ReadConsistency::Linearizable)
      m_CatchingUp = false;
    reportFailure(Reply, Now);
    m_ListsInstead = true;
    m_Watching = false;
    return issueCall(Now);
  }
  if (m_Purpose == Purpose::Watch)
    return onChanges(std::move(Reply), Now);
  if (m_Purpose == Purpose::CompareRecord)
    return onCompared(Reply, Now);
  onPage(std::move(Reply), Now);
}

void StoreReader::onAnswer(TimePoint ConfirmedAt) {
  m_Failures = 0;
  setReachable(true, "");
  if (m_LastConsistency == ReadConsistency::Linearizable ||
      m_Purpose == Purpose::List)
    m_ConfirmedAt = ConfirmedAt;
}

void StoreReader::onPage(StoreReply Reply, TimePoint Now) {
  if (m_NextPageAfter.empty()) {
    m_FirstPageAsOf = Reply.m_AsOf;
    m_FirstPageCalledAt = m_CalledAt;
    m_FirstPageAt = Now;
    dropDisproved(Reply.m_AsOf);
  }
  m_PageWasStale = Reply.m_AsOf < m_FirstPageAsOf;
  if (m_PageWasStale && m_LastConsistency == ReadConsistency::Linearizable)
    return listSuspected(Reply, Now);
  if (m_PageWasStale)
    return issueCall(Now);
  // An empty page that announces a further one would be requested forever.
  const bool More = Reply.m_HasMore && !Reply.m_Records.empty();
  if (More)
    m_NextPageAfter = Reply.m_Records.back().m_Key;
  std::move(Reply.m_Records.begin(), Reply.m_Records.end(),
            std::back_inserter(m_ListedRecords));
  if (More)
    return issueCall(Now);
  m_NextPageAfter.clear();
  finishListing(Reply, Now);
}

void StoreReader::finishListing(const StoreReply &Last, TimePoint Now) {
  const bool IsComplete =
      m_RequiredKey.empty() ||
      std::any_of(m_ListedRecords.begin(), m_ListedRecords.end(),
                  [this](const StoreRecord &Each) {
                    return Each.m_Key == m_RequiredKey;
                  });
  if (IsComplete)
    m_PartialSince.reset();
  else if (!m_PartialSince)
    m_PartialSince = Now;
  if (m_PartialSince && Now < *m_PartialSince + PartialListingLimit) {
    // A store that has just returned may not have loaded its records yet.
    m_ListedRecords.clear();
    StoreReply Partial;
    Partial.m_AsOf = Last.m_AsOf;
    Partial.m_Fault = "a listing without " + m_RequiredKey;
    return onFailure(Partial, Now);
  }
  onAnswer(m_FirstPageAt);
  m_Watching = true;
  onVerified(Now);
  if (provesNextHistory()) {
    m_History.startNext();
    reportHistory("counter", m_FirstPageAsOf);
  }
  m_CheckedClaim.reset();
  const Revision AsOf = m_History.revisionOf(m_FirstPageAsOf);
  for (StoreRecord &Each : m_ListedRecords)
    Each.m_Revision = m_History.revisionOf(Each.m_Revision);
  m_ListsInstead = m_ListsInstead && !needsNoCall() &&
                   hasLargeAfter(m_ListedRecords, m_KnownRevision);
  if (AsOf >= m_KnownRevision) {
    setKnownRevision(AsOf);
    prove(AsOf, m_FirstPageCalledAt);
    m_Commands.emplace_back(
        RecordsRead{std::exchange(m_ListedRecords, {}), AsOf, m_KnownAtCall});
  }
  m_ListedRecords.clear();
  if (!m_ListsInstead)
    return issueCall(Now);
  m_CallAt = Now + MinWatchInterval;
}

void StoreReader::onChanges(StoreReply Reply, TimePoint Now) {
  if (m_LastConsistency == ReadConsistency::Linearizable) {
    if (Reply.m_AsOf < m_LastWatch->m_After)
      return listSuspected(Reply, Now);
    m_CatchingUp = false;
    m_Dropped.reset();
    m_IsUnverified = m_IsUnverified && !m_History.hasEra();
    dropDisproved(Reply.m_AsOf);
  }
  m_Compactions.reset();
  m_PartialSince.reset();
  onAnswer(Now);
  const Revision AsOf = m_History.revisionOf(Reply.m_AsOf);
  if (m_LastConsistency == ReadConsistency::Linearizable)
    prove(AsOf, m_CalledAt);
  for (StoreRecord &Each : Reply.m_Records)
    Each.m_Revision = m_History.revisionOf(Each.m_Revision);
  if (AsOf > m_KnownRevision) {
    reportCaughtUp(Reply, Now);
    setKnownRevision(AsOf);
    if (!needsNoCall() && hasReplacedLarge(Reply.m_Records)) {
      m_Commands.emplace_back(RecordsChanged{std::move(Reply.m_Records), AsOf});
      m_ListsInstead = true;
      return issueCall(Now);
    }
    m_Commands.emplace_back(RecordsChanged{std::move(Reply.m_Records), AsOf});
    if (!needsNoCall())
      m_CallAt = Now + rowOf(m_Mode).m_Interval;
    return;
  }
  // A replica that lags behind the known revision need not wait.
  if (m_LastConsistency == ReadConsistency::Serializable &&
      Now < m_CalledAt + FollowerWatchInterval) {
    m_CallAt = m_CalledAt + FollowerWatchInterval;
    return;
  }
  issueCall(Now);
}

void StoreReader::reportCaughtUp(const StoreReply &Reply, TimePoint Now) {
  const std::optional<TimePoint> SeenAt = m_Missing.oldestSeenAt();
  if (!SeenAt || m_LastConsistency != ReadConsistency::Linearizable)
    return;
  m_Commands.emplace_back(
      Event{EventId::FollowerCaughtUp,
            "revision=" + formatRevision(m_History.revisionOf(Reply.m_AsOf)) +
                " missing_us=" + std::to_string((Now - *SeenAt).count()) +
                " elapsed_us=" + std::to_string((Now - m_CalledAt).count()) +
                " records=" + std::to_string(Reply.m_Records.size()) +
                " bytes=" + std::to_string(bytesOf(Reply.m_Records))});
}

void StoreReader::reportFailure(const StoreReply &Reply, TimePoint Now) {
  m_Commands.emplace_back(
      Event{EventId::StoreCallFailed,
            std::string("mode=") + nameOf(m_Mode) +
                " known_revision=" + formatRevision(m_KnownRevision) +
                " elapsed_us=" + std::to_string((Now - m_CalledAt).count()) +
                " failures=" + std::to_string(m_Failures) +
                " cause=" + Reply.m_Fault});
}

void StoreReader::onFailure(const StoreReply &Reply, TimePoint Now) {
  ++m_Failures;
  m_IsUnverified = true;
  // The next page may be of another history.
  if (!m_History.hasEra()) {
    m_ListedRecords.clear();
    m_NextPageAfter.clear();
  }
  if (m_Failures <= MaxLoggedFailures)
    reportFailure(Reply, Now);
  if (m_Failures >= UnreachableAfterFailures)
    setReachable(false, Reply.m_Fault);
  m_CallAt = Now + retryDelay(m_Failures, m_Random);
}

void StoreReader::onPeerRecords(Revision AsOf, TimePoint Now) {
  if (AsOf <= m_KnownRevision)
    return;
  const bool IsLater = m_History.follow(historyOf(AsOf));
  if (historyOf(AsOf) != m_History.number())
    return;
  setKnownRevision(AsOf);
  m_PartialSince.reset();
  if (IsLater)
    m_ReplacedAt = Now;
  if (m_ListsInstead && m_Mode != WatchMode::Fed && !IsLater)
    return;
  m_Watching = true;
  m_ListsInstead = false;
  m_ListedRecords.clear();
  m_NextPageAfter.clear();
  if (m_Mode == WatchMode::Fed && !m_Missing.oldestSeenAt())
    m_CatchingUp = false;
  if (needsNoCall())
    return endCall();
  // Replaces the pending call; a watch from the older revision would return the
  // same changes again.
  const bool IsOutdated = IsLater || m_Purpose == Purpose::List;
  if (!m_CallPending || !(m_Reachable || IsOutdated))
    return;
  m_Commands.emplace_back(AbandonCall{m_LastCall});
  issueCall(Now);
}

void StoreReader::setReachable(bool Reachable, const std::string &Cause) {
  if (std::exchange(m_Reachable, Reachable) == Reachable)
    return;
  m_Commands.emplace_back(StoreReachability{Reachable});
  m_Commands.emplace_back(
      Event{Reachable ? EventId::SourceAvailable : EventId::SourceUnavailable,
            "known_revision=" + formatRevision(m_KnownRevision) +
                " calls=" + std::to_string(m_LastCall) + " cause=" + Cause});
}

std::optional<TimePoint> StoreReader::nextWakeUp() const {
  const std::optional<TimePoint> CatchUpAt = catchUpAt();
  if (m_CallAt && CatchUpAt)
    return std::min(*m_CallAt, *CatchUpAt);
  return m_CallAt ? m_CallAt : CatchUpAt;
}

void StoreReader::onTick(TimePoint Now) {
  const std::optional<TimePoint> CatchUpAt = catchUpAt();
  if (CatchUpAt && Now >= *CatchUpAt)
    return catchUp(Now);
  if (m_CallAt && Now >= *m_CallAt)
    issueCall(Now);
}

std::vector<StoreReaderCommand> StoreReader::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core
