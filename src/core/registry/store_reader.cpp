#include "dandelionfall/core/store_reader.h"

#include "core/registry/limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

void StoreReader::start(TimePoint Now) { call(Now); }

void StoreReader::call(TimePoint Now) {
  m_CallAt.reset();
  m_Calling = true;
  const std::uint64_t Call = ++m_LastCall;
  if (m_Watching) {
    m_Commands.emplace_back(
        WatchRecords{Call, m_Known, WatchTime, WatchTime + CallTimeout});
    return;
  }
  (void)Now;
  m_Commands.emplace_back(ListRecords{Call, m_PageAfter, CallTimeout});
}

void StoreReader::onReply(StoreReply Reply, TimePoint Now) {
  if (!m_Calling || Reply.m_Call != m_LastCall)
    return;
  m_Calling = false;
  if (Reply.m_Outcome == StoreOutcome::Failed)
    return onFailure(Reply, Now);
  m_Failures = 0;
  setReachable(true, "");
  if (Reply.m_Outcome == StoreOutcome::HistoryGone) {
    m_Watching = false;
    m_Pages.clear();
    m_PageAfter.clear();
    return call(Now);
  }
  if (m_Watching)
    return onChanges(std::move(Reply), Now);
  onPage(std::move(Reply), Now);
}

void StoreReader::onPage(StoreReply Reply, TimePoint Now) {
  if (m_PageAfter.empty())
    m_FirstPageAsOf = Reply.m_AsOf;
  // A page that names a further one but holds nothing would be asked for
  // for ever.
  const bool More = Reply.m_More && !Reply.m_Records.empty();
  if (More)
    m_PageAfter = Reply.m_Records.back().m_Key;
  std::move(Reply.m_Records.begin(), Reply.m_Records.end(),
            std::back_inserter(m_Pages));
  if (More)
    return call(Now);
  m_PageAfter.clear();
  m_Watching = true;
  if (m_FirstPageAsOf >= m_Known) {
    m_Known = m_FirstPageAsOf;
    m_Commands.emplace_back(
        RecordsRead{std::exchange(m_Pages, {}), m_FirstPageAsOf});
  }
  m_Pages.clear();
  call(Now);
}

void StoreReader::onChanges(StoreReply Reply, TimePoint Now) {
  if (Reply.m_AsOf > m_Known) {
    m_Known = Reply.m_AsOf;
    m_Commands.emplace_back(
        RecordsChanged{std::move(Reply.m_Records), Reply.m_AsOf});
    m_CallAt = Now + WatchInterval;
    return;
  }
  call(Now);
}

void StoreReader::onFailure(const StoreReply &Reply, TimePoint Now) {
  ++m_Failures;
  if (m_Failures >= FailuresOfLostStore)
    setReachable(false, Reply.m_Fault);
  const unsigned Doublings = std::min(m_Failures - 1, 8U);
  const Duration Pause = std::min(FirstPause * (1U << Doublings), LongestPause);
  // Readers that lost the store together come back spread out.
  std::uniform_int_distribution<Duration::rep> Jitter(Pause.count() / 2,
                                                      Pause.count());
  m_CallAt = Now + Duration(Jitter(m_Random));
}

void StoreReader::onPeerRecords(Revision AsOf, TimePoint Now) {
  if (AsOf <= m_Known)
    return;
  m_Known = AsOf;
  m_Watching = true;
  m_Pages.clear();
  m_PageAfter.clear();
  // A watch from an older revision would bring the same changes again.
  if (m_Calling && m_Reachable)
    call(Now);
}

void StoreReader::setReachable(bool Reachable, const std::string &Cause) {
  if (std::exchange(m_Reachable, Reachable) == Reachable)
    return;
  m_Commands.emplace_back(StoreReachability{Reachable});
  m_Commands.emplace_back(
      Event{Reachable ? EventId::SourceAvailable : EventId::SourceUnavailable,
            "known_revision=" + std::to_string(m_Known) +
                " calls=" + std::to_string(m_LastCall) + " cause=" + Cause});
}

void StoreReader::onTick(TimePoint Now) {
  if (m_CallAt && Now >= *m_CallAt)
    call(Now);
}

std::vector<StoreReaderCommand> StoreReader::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core
