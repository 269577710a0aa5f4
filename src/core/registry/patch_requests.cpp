#include "core/registry/patch_requests.h"

#include "core/registry/limits.h"

namespace dandelionfall::core::registry {

void PatchRequests::onChanges(LinkId Link, const RecordChanges &Changes,
                              TimePoint Now) {
  if (m_Registry.holdsAll(Changes.m_Large))
    return;
  m_Follower.setHeld(m_Registry.revision(), m_Registry.retainedVersion());
  if (!Changes.m_Patches.empty() &&
      m_Follower.askAgain(Link, m_Registry.basesOf(Changes.m_Large), Now))
    return;
  const TimePoint Until = m_Expected ? m_Expected->m_Until : Now + PatchDelay;
  m_Expected = {Link, Changes.m_Large, Until};
}

void PatchRequests::onTick(TimePoint Now) {
  if (!m_Expected || Now < m_Expected->m_Until)
    return;
  const LargeRevisions Bases = m_Registry.basesOf(m_Expected->m_Large);
  if (!Bases.empty()) {
    m_Follower.setHeld(m_Registry.revision(), m_Registry.retainedVersion());
    if (!m_Follower.takePatchesFrom(m_Expected->m_Link, Bases, Now)) {
      m_Expected->m_Until = Now + PatchDelay;
      return;
    }
  }
  m_Expected.reset();
}

std::optional<TimePoint> PatchRequests::nextWakeUp() const {
  return m_Expected ? std::optional(m_Expected->m_Until) : std::nullopt;
}

} // namespace dandelionfall::core::registry
