#include "core/registry/prefix_watch.h"

#include "core/registry/call_backoff.h"
#include "core/registry/limits.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::registry {

void PrefixWatch::setActive(bool Active, Revision Known, TimePoint Now) {
  if (std::exchange(m_Active, Active) == Active)
    return;
  if (Active) {
    m_After = Known;
    m_Failures = 0;
    return issueCall(Now);
  }
  m_CallAt.reset();
  if (std::exchange(m_CallPending, false))
    m_Commands.emplace_back(AbandonCall{m_LastCall});
}

void PrefixWatch::issueCall(TimePoint /*Now*/) {
  m_CallAt.reset();
  m_CallPending = true;
  ++m_Calls;
  m_Commands.emplace_back(WatchRecords{
      ++m_LastCall, m_After, PrefixWatchWait, PrefixWatchWait + CallTimeout,
      ReadConsistency::Linearizable, m_Prefix});
}

void PrefixWatch::onReply(StoreReply Reply, Revision Known, TimePoint Now) {
  if (!m_CallPending || Reply.m_Call != m_LastCall)
    return;
  m_CallPending = false;
  if (Reply.m_Outcome == StoreOutcome::Failed) {
    m_CallAt = Now + retryDelay(++m_Failures, m_Random);
    return;
  }
  m_Failures = 0;
  m_After = std::max({m_After, Known, Reply.m_AsOf});
  m_CallAt = Now + PrefixWatchInterval;
  // After a compaction the watch of all records lists what was missed.
  if (!Reply.m_Records.empty())
    m_Commands.emplace_back(std::move(Reply.m_Records));
}

void PrefixWatch::onTick(TimePoint Now) {
  if (m_CallAt && Now >= *m_CallAt)
    issueCall(Now);
}

std::vector<PrefixWatchCommand> PrefixWatch::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core::registry
