#include "core/registry/patch_requests.h"

#include "core/registry/limits.h"

namespace dandelionfall::core::registry {

void PatchRequests::onChanges(LinkId Link, const RecordChanges &Changes,
                              TimePoint Now) {
  const bool HoldsAll = m_Registry.holdsAll(Changes.m_Large);
  if (HoldsAll && Changes.m_Patches.empty())
    return;
  m_Follower.setHeld(m_Registry.revision(), m_Registry.retainedVersion());
  const LargeRevisions Bases = m_Registry.basesOf(Changes.m_Large);
  if (HoldsAll)
    return m_Follower.confirmPatches(Link, Bases);
  if (!Changes.m_Patches.empty() && m_Follower.askAgain(Link, Bases, Now))
    return;
  const TimePoint Until = m_Expected ? m_Expected->m_Until : Now + PatchDelay;
  m_Expected = {Link, Changes.m_Large, Until};
}

void PatchRequests::onTick(TimePoint Now) {
  if (!m_Expected || Now < m_Expected->m_Until)
    return;
  if (!m_Registry.holdsAll(m_Expected->m_Large)) {
    const LargeRevisions Bases = m_Registry.basesOf(m_Expected->m_Large);
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
