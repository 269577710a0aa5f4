#include "dandelionfall/core/store_reader.h"

#include "core/registry/limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

void StoreReader::start(TimePoint Now) { issueCall(Now); }

void StoreReader::issueCall(TimePoint Now) {
  m_CallAt.reset();
  m_CallPending = true;
  const std::uint64_t Call = ++m_LastCall;
  if (m_Watching) {
    m_Commands.emplace_back(WatchRecords{Call, m_KnownRevision, MaxWatchWait,
                                         MaxWatchWait + CallTimeout});
    return;
  }
  (void)Now;
  m_Commands.emplace_back(ListRecords{Call, m_NextPageAfter, CallTimeout});
}

void StoreReader::onReply(StoreReply Reply, TimePoint Now) {
  if (!m_CallPending || Reply.m_Call != m_LastCall)
    return;
  m_CallPending = false;
  if (Reply.m_Outcome == StoreOutcome::Failed)
    return onFailure(Reply, Now);
  m_Failures = 0;
  setReachable(true, "");
  if (Reply.m_Outcome == StoreOutcome::HistoryCompacted) {
    m_Watching = false;
    m_ListedRecords.clear();
    m_NextPageAfter.clear();
    return issueCall(Now);
  }
  if (m_Watching)
    return onChanges(std::move(Reply), Now);
  onPage(std::move(Reply), Now);
}

void StoreReader::onPage(StoreReply Reply, TimePoint Now) {
  if (m_NextPageAfter.empty())
    m_FirstPageAsOf = Reply.m_AsOf;
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
  if (m_FirstPageAsOf >= m_KnownRevision) {
    m_KnownRevision = m_FirstPageAsOf;
    m_Commands.emplace_back(
        RecordsRead{std::exchange(m_ListedRecords, {}), m_FirstPageAsOf});
  }
  m_ListedRecords.clear();
  issueCall(Now);
}

void StoreReader::onChanges(StoreReply Reply, TimePoint Now) {
  if (Reply.m_AsOf > m_KnownRevision) {
    m_KnownRevision = Reply.m_AsOf;
    m_Commands.emplace_back(
        RecordsChanged{std::move(Reply.m_Records), Reply.m_AsOf});
    m_CallAt = Now + MinWatchInterval;
    return;
  }
  issueCall(Now);
}

void StoreReader::onFailure(const StoreReply &Reply, TimePoint Now) {
  ++m_Failures;
  if (m_Failures >= UnreachableAfterFailures)
    setReachable(false, Reply.m_Fault);
  const unsigned Doublings = std::min(m_Failures - 1, 8U);
  const Duration Delay =
      std::min(FirstRetryDelay * (1U << Doublings), MaxRetryDelay);
  // Jitter spreads out readers that lost the store at the same time.
  std::uniform_int_distribution<Duration::rep> Jitter(Delay.count() / 2,
                                                      Delay.count());
  m_CallAt = Now + Duration(Jitter(m_Random));
}

void StoreReader::onPeerRecords(Revision AsOf, TimePoint Now) {
  if (AsOf <= m_KnownRevision)
    return;
  m_KnownRevision = AsOf;
  m_Watching = true;
  m_ListedRecords.clear();
  m_NextPageAfter.clear();
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

void StoreReader::onTick(TimePoint Now) {
  if (m_CallAt && Now >= *m_CallAt)
    issueCall(Now);
}

std::vector<StoreReaderCommand> StoreReader::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core
