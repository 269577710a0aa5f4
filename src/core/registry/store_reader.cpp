#include "dandelionfall/core/store_reader.h"

#include "core/registry/limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

void StoreReader::start() { call(); }

void StoreReader::call() {
  m_CallAt.reset();
  m_Calling = true;
  const std::uint64_t Call = ++m_LastCall;
  if (m_Watching) {
    const Duration Wait = m_Followed ? ReaderWatchTime : WatchTime;
    m_Commands.emplace_back(
        WatchRecords{Call, m_Known, Wait, Wait + CallTimeout});
    return;
  }
  m_Commands.emplace_back(ListRecords{Call, m_PageAfter, CallTimeout});
}

void StoreReader::onReply(StoreReply Reply, TimePoint Now) {
  if (!m_Calling || Reply.m_Call != m_LastCall)
    return;
  m_Calling = false;
  if (Reply.m_Outcome == StoreOutcome::Failed)
    return onFailure(Reply, Now);
  m_Failures = 0;
  m_AnsweredAt = Now;
  setReachable(true, "");
  if (Reply.m_Outcome == StoreOutcome::HistoryGone) {
    m_Watching = false;
    m_Pages.clear();
    m_PageAfter.clear();
    return call();
  }
  if (m_Watching)
    return onChanges(std::move(Reply), Now);
  onPage(std::move(Reply));
}

void StoreReader::onPage(StoreReply Reply) {
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
    return call();
  m_PageAfter.clear();
  m_Watching = true;
  if (m_FirstPageAsOf >= m_Known) {
    m_Known = m_FirstPageAsOf;
    m_Commands.emplace_back(
        RecordsRead{std::exchange(m_Pages, {}), m_FirstPageAsOf});
  }
  m_Pages.clear();
  call();
}

void StoreReader::onChanges(StoreReply Reply, TimePoint Now) {
  if (Reply.m_AsOf > m_Known) {
    m_Known = Reply.m_AsOf;
    m_Commands.emplace_back(
        RecordsChanged{std::move(Reply.m_Records), Reply.m_AsOf});
    m_CallAt = Now + WatchInterval;
    return;
  }
  call();
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

void StoreReader::onPeerRecords(Revision AsOf) {
  if (AsOf <= m_Known)
    return;
  m_Known = AsOf;
  m_Watching = true;
  m_Pages.clear();
  m_PageAfter.clear();
  // A watch from an older revision would bring the same changes again.
  if (m_Calling && m_Reachable)
    call();
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

void StoreReader::setActive(bool Active, TimePoint Now) {
  if (std::exchange(m_Active, Active) == Active)
    return;
  // The reply to a call that is under way is no longer wanted.
  m_Calling = false;
  m_CallAt.reset();
  m_Failures = 0;
  if (Active)
    m_CallAt = Now;
}

void StoreReader::onTick(TimePoint Now) {
  if (m_CallAt && Now >= *m_CallAt)
    call();
}

std::vector<StoreReaderCommand> StoreReader::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core
