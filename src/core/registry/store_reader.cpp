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

/// Failures, or dropped replies, in a row that are logged.
constexpr unsigned MaxLoggedFailures = 4;

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
  const ModeRow &Row =
      rowOf(m_CatchingUp && IsTold ? WatchMode::Alone : m_Mode);
  const Duration Wait =
      m_AnswerAtOnce || m_Failures > 0 ? Duration{0} : Row.m_Wait;
  return {m_LastCall,         m_KnownRevision,   Wait,
          Wait + CallTimeout, Row.m_Consistency, ""};
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
  if (m_Watching && !m_ListsInstead) {
    m_LastWatch = makeWatch();
    m_LastConsistency = m_LastWatch->m_Consistency;
    m_Commands.emplace_back(*m_LastWatch);
    return;
  }
  // A later page may be read serializably, since its revision shows whether it
  // is at least as new as the first one.
  m_LastConsistency = m_NextPageAfter.empty() || m_PageWasStale
                          ? ReadConsistency::Linearizable
                          : ReadConsistency::Serializable;
  m_Commands.emplace_back(
      ListRecords{m_LastCall, m_NextPageAfter, CallTimeout, m_LastConsistency});
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
void StoreReader::dropDisproved(Revision AsOf) {
  const Revision Highest = m_Missing.removeSeenUntil(m_CalledAt);
  if (Highest > AsOf)
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
                " known_revision=" + std::to_string(m_KnownRevision) +
                " seen=" + std::to_string(m_Missing.newest())});
  replaceCall(Now);
}

void StoreReader::onReply(StoreReply Reply, TimePoint Now) {
  if (!m_CallPending || Reply.m_Call != m_LastCall)
    return;
  m_CallPending = false;
  const bool IsTooLarge = Reply.m_Outcome == StoreOutcome::TooLarge;
  if (Reply.m_Outcome == StoreOutcome::Failed || (IsTooLarge && !m_LastWatch))
    return onFailure(Reply, Now);
  m_Failures = 0;
  setReachable(true, "");
  const bool IsLinearizable =
      m_LastConsistency == ReadConsistency::Linearizable;
  if (IsLinearizable)
    m_ConfirmedAt = Now;
  if (IsLinearizable && m_LastWatch)
    m_CatchingUp = false;
  if (IsLinearizable && Reply.m_Outcome == StoreOutcome::Answered)
    dropDisproved(Reply.m_AsOf);
  if (Reply.m_Outcome == StoreOutcome::HistoryCompacted) {
    // A replica of the store that lags behind can refuse a serializable watch
    // after every listing.
    m_CatchingUp = !IsLinearizable;
    m_Watching = false;
    m_ListedRecords.clear();
    m_NextPageAfter.clear();
    return issueCall(Now);
  }
  if (IsTooLarge) {
    // The same watch would return more each time.
    reportFailure(Reply, Now);
    m_ListsInstead = true;
    m_Watching = false;
    return issueCall(Now);
  }
  if (m_LastWatch)
    return onChanges(std::move(Reply), Now);
  onPage(std::move(Reply), Now);
}

void StoreReader::onPage(StoreReply Reply, TimePoint Now) {
  if (m_NextPageAfter.empty())
    m_FirstPageAsOf = Reply.m_AsOf;
  m_PageWasStale = Reply.m_AsOf < m_FirstPageAsOf;
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
  m_Watching = true;
  m_ListsInstead = m_ListsInstead && !needsNoCall() &&
                   hasLargeAfter(m_ListedRecords, m_KnownRevision);
  if (m_FirstPageAsOf < m_KnownRevision) {
    reportDropped(m_FirstPageAsOf);
  } else {
    m_Dropped = 0;
    setKnownRevision(m_FirstPageAsOf);
    m_Commands.emplace_back(
        RecordsRead{std::exchange(m_ListedRecords, {}), m_FirstPageAsOf});
  }
  m_ListedRecords.clear();
  if (!m_ListsInstead)
    return issueCall(Now);
  m_CallAt = Now + MinWatchInterval;
}

void StoreReader::onChanges(StoreReply Reply, TimePoint Now) {
  if (m_LastConsistency == ReadConsistency::Linearizable &&
      Reply.m_AsOf < m_KnownRevision)
    reportDropped(Reply.m_AsOf);
  if (Reply.m_AsOf > m_KnownRevision) {
    m_Dropped = 0;
    reportCaughtUp(Reply, Now);
    setKnownRevision(Reply.m_AsOf);
    if (!needsNoCall() && hasReplacedLarge(Reply.m_Records)) {
      m_Commands.emplace_back(
          RecordsChanged{std::move(Reply.m_Records), Reply.m_AsOf});
      m_ListsInstead = true;
      return issueCall(Now);
    }
    m_Commands.emplace_back(
        RecordsChanged{std::move(Reply.m_Records), Reply.m_AsOf});
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
            "revision=" + std::to_string(Reply.m_AsOf) +
                " missing_us=" + std::to_string((Now - *SeenAt).count()) +
                " elapsed_us=" + std::to_string((Now - m_CalledAt).count()) +
                " records=" + std::to_string(Reply.m_Records.size()) +
                " bytes=" + std::to_string(bytesOf(Reply.m_Records))});
}

void StoreReader::reportDropped(Revision AsOf) {
  if (++m_Dropped > MaxLoggedFailures)
    return;
  m_Commands.emplace_back(Event{
      EventId::StoreReplyDropped,
      std::string("mode=") + nameOf(m_Mode) + " known_revision=" +
          std::to_string(m_KnownRevision) + " as_of=" + std::to_string(AsOf) +
          " calls=" + std::to_string(m_LastCall)});
}

void StoreReader::reportFailure(const StoreReply &Reply, TimePoint Now) {
  m_Commands.emplace_back(
      Event{EventId::StoreCallFailed,
            std::string("mode=") + nameOf(m_Mode) +
                " known_revision=" + std::to_string(m_KnownRevision) +
                " elapsed_us=" + std::to_string((Now - m_CalledAt).count()) +
                " failures=" + std::to_string(m_Failures) +
                " cause=" + Reply.m_Fault});
}

void StoreReader::onFailure(const StoreReply &Reply, TimePoint Now) {
  ++m_Failures;
  if (m_Failures <= MaxLoggedFailures)
    reportFailure(Reply, Now);
  if (m_Failures >= UnreachableAfterFailures)
    setReachable(false, Reply.m_Fault);
  m_CallAt = Now + retryDelay(m_Failures, m_Random);
}

void StoreReader::onPeerRecords(Revision AsOf, TimePoint Now) {
  if (AsOf <= m_KnownRevision)
    return;
  setKnownRevision(AsOf);
  if (m_ListsInstead && m_Mode != WatchMode::Fed)
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
  if (m_CallPending && m_Reachable)
    issueCall(Now);
}

void StoreReader::setReachable(bool Reachable, const std::string &Cause) {
  if (std::exchange(m_Reachable, Reachable) == Reachable)
    return;
  m_Commands.emplace_back(StoreReachability{Reachable});
  m_Commands.emplace_back(
      Event{Reachable ? EventId::SourceAvailable : EventId::SourceUnavailable,
            "known_revision=" + std::to_string(m_KnownRevision) +
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
